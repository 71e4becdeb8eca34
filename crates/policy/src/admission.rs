//! Admission control: whether a request can still be answered before its caller gives up.
//!
//! Without it, in a queue longer than callers wait, requests that are bound to miss their deadline
//! take the place of others that could be answered, and their callers learn of it too late to go
//! elsewhere.

/// Minimum retry delay given to a caller, in milliseconds: an engine's queue does not change faster
/// than the engine reads prompts.
const MIN_RETRY_MS: u64 = 300;

/// The decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to a server.
    Admit,
    /// Refuse the request at once, without running it.
    Refuse {
        /// Time after which the request could be answered if no others arrived, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Decides on a request that is expected to wait `expected_ms` for its first byte and whose caller
/// waits `remaining_ms` more.
#[must_use]
pub fn decide(expected_ms: Option<u64>, remaining_ms: u64) -> Decision {
    match expected_ms {
        Some(expected_ms) if expected_ms > remaining_ms => {
            Decision::Refuse { retry_after_ms: (expected_ms - remaining_ms).max(MIN_RETRY_MS) }
        }
        _ => Decision::Admit,
    }
}
