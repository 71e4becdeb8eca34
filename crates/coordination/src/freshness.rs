//! How sure a host may be that it knows the latest configuration.

use serde::Deserialize;
use serde::Serialize;

/// Age of the last confirmation up to which it counts as fresh, in milliseconds.
pub const FRESH_MS: u64 = 6_000;
/// Age after which a host that cannot rule out a partition takes no new work, in milliseconds.
pub const CUT_OFF_MS: u64 = 12_000;
/// Silence of all peers after which a host counts as alone, in milliseconds.
pub const ALONE_MS: u64 = 4_000;
/// Time for which the highest number of hosts counts, in milliseconds.
///
/// Without it hosts that crash one after the other before a partition would make the
/// smaller side of it look like most of them.
pub const PEAK_MS: u64 = 60_000;
/// What a host may conclude about its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// The platform confirmed it a short while ago, here or at a peer.
    Fresh,
    /// The platform is silent, but most hosts are heard: an outage of the platform.
    Unconfirmed,
    /// Neither the platform nor most hosts are heard: a change may have passed unseen.
    CutOff,
}

/// The last confirmation by the platform, as told to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Confirmation {
    /// Its age in milliseconds.
    pub age_ms: u64,
    /// Most live hosts of the last minute, of which more than half must still be heard.
    pub hosts: u32,
    /// Age of that number in milliseconds.
    pub hosts_age_ms: u64,
}

/// When the platform last confirmed the configuration, directly or through peers.
///
/// Hearing most hosts is enough to go on through an outage of the platform, but not to
/// start anew: a host that was cut off, paused or has just started must first catch up with
/// a peer that was not, or be confirmed by the platform.
#[derive(Debug, Clone, Default)]
pub struct Freshness {
    confirmed: Option<Confirmed>,
    lapsed_ms: Option<u64>,
    contact_ms: Option<u64>,
    has_kept_up: bool,
}

#[derive(Debug, Clone, Copy)]
struct Confirmed {
    at_ms: u64,
    hosts: u32,
    hosts_at_ms: u64,
}

impl Freshness {
    /// Starts without a confirmation.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a reply of the platform to a call made at `asked_ms`.
    pub fn confirm(&mut self, asked_ms: u64, hosts_heard: usize) {
        // A reply to a call from before a pause may be as old as the pause.
        if self.lapsed_ms.is_some_and(|at_ms| asked_ms < at_ms) {
            return;
        }
        let hosts = to_u32(hosts_heard);
        self.take(Confirmed { at_ms: asked_ms, hosts, hosts_at_ms: asked_ms });
    }

    /// Notes that a peer answered a question asked at `asked_ms`.
    pub fn contact(&mut self, asked_ms: u64) {
        self.contact_ms = self.contact_ms.max(Some(asked_ms));
    }

    /// Notes that this host has all that a peer had when it answered a question.
    ///
    /// The confirmation is the peer's; a peer that is cut off has none to tell. Only answers
    /// count: any other message may have waited in a buffer for long.
    pub fn catch_up(&mut self, confirmation: Confirmation, asked_ms: u64) {
        let at_ms = asked_ms.saturating_sub(confirmation.age_ms);
        let hosts_at_ms = asked_ms.saturating_sub(confirmation.hosts_age_ms);
        self.take(Confirmed { at_ms, hosts: confirmation.hosts, hosts_at_ms });
    }

    /// Treats everything as lapsed, as after a pause of this host.
    pub fn lapse(&mut self, now_ms: u64) {
        // The number of hosts still counts; the confirmation itself does not.
        *self = Self { confirmed: self.confirmed, lapsed_ms: Some(now_ms), ..Self::default() };
    }

    /// Moves time on: a host that is cut off has to catch up before it relies on peers again.
    pub fn tick(&mut self, now_ms: u64, hosts_heard: usize) {
        if self.has_kept_up && self.standing(now_ms, hosts_heard) == Standing::CutOff {
            self.has_kept_up = false;
        }
    }

    /// The last confirmation, for a peer; a host that is cut off has none to tell.
    #[must_use]
    pub fn confirmation(&self, now_ms: u64, hosts_heard: usize) -> Option<Confirmation> {
        if self.standing(now_ms, hosts_heard) == Standing::CutOff {
            return None;
        }
        let confirmed = self.confirmed?;
        let age_ms = now_ms.saturating_sub(confirmed.at_ms);
        let hosts_age_ms = now_ms.saturating_sub(confirmed.hosts_at_ms);
        Some(Confirmation { age_ms, hosts: confirmed.hosts, hosts_age_ms })
    }

    /// Age of the last confirmation in milliseconds, if there was one.
    #[must_use]
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        let confirmed = self.confirmed.filter(|_| self.lapsed_ms.is_none())?;
        Some(now_ms.saturating_sub(confirmed.at_ms))
    }

    /// What the host may conclude; `hosts_heard` counts the live members, itself included.
    #[must_use]
    pub fn standing(&self, now_ms: u64, hosts_heard: usize) -> Standing {
        let age_ms = self.age_ms(now_ms).unwrap_or(u64::MAX);
        if age_ms <= FRESH_MS {
            Standing::Fresh
        } else if age_ms <= CUT_OFF_MS || self.hears_most(now_ms, hosts_heard) {
            Standing::Unconfirmed
        } else {
            Standing::CutOff
        }
    }

    fn hears_most(&self, now_ms: u64, hosts_heard: usize) -> bool {
        let is_alone = self.contact_ms.is_none_or(|at_ms| now_ms > at_ms + ALONE_MS);
        let hosts = self.confirmed.map_or(0, |confirmed| confirmed.hosts);
        self.has_kept_up && !is_alone && to_u32(hosts_heard) > hosts / 2
    }

    fn take(&mut self, confirmed: Confirmed) {
        self.has_kept_up = true;
        let Some(known) = &mut self.confirmed else {
            self.confirmed = Some(confirmed);
            return;
        };
        if self.lapsed_ms.take().is_some() || confirmed.at_ms > known.at_ms {
            known.at_ms = confirmed.at_ms;
        }
        if confirmed.hosts >= known.hosts || confirmed.at_ms >= known.hosts_at_ms + PEAK_MS {
            known.hosts = confirmed.hosts;
            known.hosts_at_ms = confirmed.hosts_at_ms;
        }
    }
}

fn to_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
