//! Whether a request can still be answered before its caller leaves.
//!
//! Answers the load pattern of a queue that is longer than callers wait: requests that are bound to
//! miss their deadline take the place of those that could be answered, and their callers learn of it
//! too late to go elsewhere.

/// Shortest time after which a caller is asked back, in milliseconds: queues of engines do not change
/// faster than prompts are read.
const MIN_RETRY_MS: u64 = 300;

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send it.
    Admit,
    /// Say at once that it is not run.
    Refuse {
        /// Time after which it could be answered, if nothing more came, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Judges a request that is expected to wait `expected_ms` for its first byte and has `left_ms`.
#[must_use]
pub fn decide(expected_ms: Option<u64>, remaining_ms: u64) -> Decision {
    match expected_ms {
        Some(expected_ms) if expected_ms > remaining_ms => {
            Decision::Refuse { retry_after_ms: (expected_ms - remaining_ms).max(MIN_RETRY_MS) }
        }
        _ => Decision::Admit,
    }
}
