//! Which host takes the next step of a roll-out.

/// Delay per host that ranks before this one, in milliseconds: several times the duration of a
/// write, so that usually only one host writes.
const RANK_DELAY_MS: u64 = 200;
/// Delay of the completion from which on hosts follow each other more closely, in milliseconds: well
/// below the time that is reserved at the end of a roll-out.
const COMPLETE_SOON_MS: u64 = 800;
/// Delay of the completion per further host, in milliseconds.
const LATE_RANK_DELAY_MS: u64 = 10;

/// Time for which a host leaves the steps of a roll-out to hosts that rank before it.
///
/// While the store shows changes late, a delay that is the same for many hosts makes them all write
/// the step that the first one has written already.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StepDelay {
    /// Delay before the roll-out is marked as started, in milliseconds. Nothing depends on it.
    pub start_ms: u64,
    /// Delay before the roll-out is marked as completed, in milliseconds.
    pub complete_ms: u64,
}

impl StepDelay {
    /// The delay of the host that `rank` others precede.
    #[must_use]
    pub fn of_rank(rank: u64) -> Self {
        let start_ms = RANK_DELAY_MS.saturating_mul(rank);
        let late_ranks = rank.saturating_sub(COMPLETE_SOON_MS / RANK_DELAY_MS);
        let late_ms = LATE_RANK_DELAY_MS.saturating_mul(late_ranks);
        Self { start_ms, complete_ms: start_ms.min(COMPLETE_SOON_MS) + late_ms }
    }
}
