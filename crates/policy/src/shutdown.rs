//! Whether a host that shuts down still takes a request.
//!
//! Callers learn of other hosts only after a while, so a host goes on to take requests. One that is not
//! finished when the host ends is lost to its caller, who cannot know whether it has run. So the host
//! takes only what is likely to be finished by then, and rejects the rest at once, so that its caller
//! goes to another host.

use std::collections;

/// Number of latest requests of a route by whose durations the next one is judged.
const REMEMBERED_REQUESTS: usize = 64;
/// Number of requests from which the durations of a route are known.
const MIN_REQUESTS: usize = 8;
/// Part of the requests that may take longer than expected, in percent, if they can be sent again.
const LONGER_PERCENT: usize = 10;
/// Time in which a response reaches its caller, in milliseconds.
const RESPONSE_MARGIN_MS: u64 = 50;

/// How long the latest requests of a route have taken until their responses were complete.
#[derive(Debug, Default)]
pub struct Durations {
    latest_ms: collections::VecDeque<u64>,
}

/// What may follow if a request is not finished when the host ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repetition {
    /// The caller can send it again.
    Allowed,
    /// It must not run twice, so that its outcome stays unknown.
    Forbidden,
}

/// The decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Take the request.
    Take,
    /// Reject the request at once; its caller goes to another host.
    Reject,
}

impl Durations {
    /// Records how long a request has taken.
    pub fn record(&mut self, took_ms: u64) {
        if self.latest_ms.len() == REMEMBERED_REQUESTS {
            self.latest_ms.pop_front();
        }
        self.latest_ms.push_back(took_ms);
    }

    /// How long the next request is likely to take at the most; `None` if too few are known.
    #[must_use]
    pub fn expected_ms(&self, repetition: Repetition) -> Option<u64> {
        if self.latest_ms.len() < MIN_REQUESTS {
            return None;
        }
        let mut sorted: Vec<_> = self.latest_ms.iter().copied().collect();
        sorted.sort_unstable();
        let longer = match repetition {
            Repetition::Allowed => sorted.len() * LONGER_PERCENT / 100,
            Repetition::Forbidden => 0,
        };
        sorted.get(sorted.len() - 1 - longer).copied()
    }
}

/// Decides on a request that is answered within `deadline_ms` in any case, at a host that ends in
/// `end_ms`.
#[must_use]
pub fn decide(expected_ms: Option<u64>, deadline_ms: u64, end_ms: u64) -> Decision {
    let longest_ms = expected_ms.unwrap_or(u64::MAX).min(deadline_ms);
    if longest_ms.saturating_add(RESPONSE_MARGIN_MS) <= end_ms {
        Decision::Take
    } else {
        Decision::Reject
    }
}
