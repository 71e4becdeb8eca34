//! Roll-outs, which move a service's traffic to servers of another version.

use crate::name;
use crate::position;

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
    /// Position in the store's history at which the operator's request was created; identifies the
    /// roll-out, also across restarts.
    pub order: position::Position,
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

impl Rollout {
    /// Whether this is the same order as an earlier one, or the same order written again after the
    /// store was restored from a copy.
    #[must_use]
    pub fn continues(&self, earlier: &Self) -> bool {
        self.target == earlier.target
            && (self.order == earlier.order
                || self.order.era > earlier.order.era && self.duration_ms == earlier.duration_ms)
    }

    /// This roll-out with the progress of an earlier state of it, if that was further.
    #[must_use]
    pub fn with_progress_of(self, earlier: &Self) -> Self {
        let state = if self.state.progress() < earlier.state.progress() {
            earlier.state
        } else {
            self.state
        };
        let started_unix_ms = self.started_unix_ms.or(earlier.started_unix_ms);
        Self { state, started_unix_ms, ..self }
    }
}

impl State {
    /// Number of steps behind; both ends have the same.
    fn progress(self) -> u8 {
        match self {
            Self::Ordered => 0,
            Self::InProgress => 1,
            Self::Completed | Self::Reverted => 2,
        }
    }

    /// Whether the roll-out has ended.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Reverted)
    }
}
