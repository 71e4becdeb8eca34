//! Roll-outs, which move a service's traffic to servers of another version.

use crate::name;

/// A roll-out as an operator requested it, and its progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rollout {
    /// The service whose traffic is moved.
    pub service: name::ServiceName,
    /// The version that the traffic is moved to.
    pub target: name::Version,
    /// Time allowed for the roll-out, in milliseconds.
    pub duration_ms: u64,
    /// Progress of the roll-out.
    pub state: State,
    /// Store revision at which the operator's request was created; identifies the roll-out, also
    /// across restarts.
    pub order_revision: u64,
    /// When the first host began to act on the request, in milliseconds since the Unix epoch, if
    /// one has recorded it.
    pub started_unix_ms: Option<u64>,
}

/// Progress of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// No host has begun to act on it.
    Ordered,
    /// Part of the traffic goes to the target version.
    InProgress,
    /// All traffic goes to the target version; the other servers are stopped.
    Completed,
    /// The target version was found to be bad; no traffic goes to it.
    Reverted,
}

impl State {
    /// Whether the roll-out has ended.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Reverted)
    }
}
