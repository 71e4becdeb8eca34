//! Which version a request's failed attempts count against.
//!
//! Some requests fail on every server, and callers send them again, so that a new version which
//! happens to get them looks bad. A request without a session that failed on the new version is
//! therefore tried next on the old one: only if that succeeds was it the version that failed. The
//! caller also has a better chance than with another try on the new version. Sessions stay on their
//! version, and their failures count.

use crate::canary;

/// Whether an attempt has failed because of the version of its server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Attribution {
    /// No attempt has failed.
    #[default]
    None,
    /// An attempt has failed on a server of this side.
    Suspected(Option<canary::Side>),
    /// The request counts no more.
    Settled,
}

impl Attribution {
    /// Records a failed attempt.
    pub fn record_failure(&mut self, side: Option<canary::Side>, has_session: bool) {
        let is_target = side == Some(canary::Side::Target);
        *self = match *self {
            Self::None => Self::Suspected(side),
            Self::Suspected(_) if !has_session && !is_target => Self::Settled,
            unchanged => unchanged,
        };
    }

    /// Whether the new version is avoided in further attempts of a request without a session.
    #[must_use]
    pub fn avoids_target(self) -> bool {
        self == Self::Suspected(Some(canary::Side::Target))
    }

    /// Whether no attempt has failed.
    #[must_use]
    pub fn is_none(self) -> bool {
        self == Self::None
    }

    /// Takes the failure that counts, once the request succeeds or is given up: the side of the server
    /// that failed, which is `None` if the service has no roll-out.
    pub fn settle(&mut self) -> Option<Option<canary::Side>> {
        match *self {
            Self::Suspected(side) => {
                *self = Self::Settled;
                Some(side)
            }
            Self::None | Self::Settled => None,
        }
    }
}
