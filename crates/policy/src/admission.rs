//! Admission control: whether a request can still be answered before its caller gives up.
//!
//! Without it, in a queue longer than callers wait, requests that are bound to miss their deadline
//! take the place of others that could be answered, and their callers learn of it too late to go
//! elsewhere.

/// Minimum retry delay given to a caller, in milliseconds: an engine's queue does not change faster
/// than the engine reads prompts.
const MIN_RETRY_MS: u64 = 300;

/// Time after a pause in which callers come back, in percent of what was left of it. The servers
/// would decline most of them if they came at once.
const RETURN_SPREAD_PERCENT: u64 = 30;
/// Priority from which all requests come back at the same time after a pause; 0 is the most urgent.
const LAST_RETURN_PRIORITY: u32 = 3;

/// Time after which callers come back to servers that have reached their limits, in milliseconds, for
/// each step of priority; the same again is spread by chance.
const RETRY_AFTER_LIMIT_MS: u64 = 500;

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

/// Time after which a caller may come back when all servers of a service pause for `pause_left_ms`,
/// in milliseconds: callers of urgent requests first, spread by a random number.
#[must_use]
pub fn retry_after_pause_ms(pause_left_ms: u64, priority: u32, random: u64) -> u64 {
    let half_spread_ms = (pause_left_ms / 200).saturating_mul(RETURN_SPREAD_PERCENT);
    let rank = u64::from(priority.min(LAST_RETURN_PRIORITY));
    let by_priority_ms = half_spread_ms / u64::from(LAST_RETURN_PRIORITY) * rank;
    let by_chance_ms = random % (half_spread_ms + 1);
    pause_left_ms.saturating_add(by_priority_ms).saturating_add(by_chance_ms)
}

/// Time after which a caller may come back when all servers of a service have reached the limits that
/// they name, in milliseconds: callers of urgent requests first, spread by a random number.
#[must_use]
pub fn retry_after_limit_ms(priority: u32, random: u64) -> u64 {
    let rank = u64::from(priority.min(LAST_RETURN_PRIORITY));
    RETRY_AFTER_LIMIT_MS * (rank + 1) + random % (RETRY_AFTER_LIMIT_MS * (rank + 1))
}
