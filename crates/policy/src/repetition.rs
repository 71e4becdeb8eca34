//! Whether a repeat of a request (a retry after a failure, an escalation or a resumption of a stream)
//! can still end before the deadline.
//!
//! Under overload, many arrivals at servers are repeats, and one that cannot end in time takes the
//! place of a request that could. A late answer still has value to its caller, so only a repeat that
//! is expected to miss the deadline itself is left out, and one without a forecast is sent.

use std::collections;

/// Number of latest streams of a kind by which the next one is judged.
const REMEMBERED_STREAMS: usize = 32;
/// Number of streams from which the pace of a kind is known.
const MIN_STREAMS: usize = 8;
/// Age from which the pace of a kind is discarded, in milliseconds: it follows the load of the servers,
/// which changes within seconds.
const MAX_AGE_MS: u64 = 10_000;

/// The decision on a repeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to a server.
    Send,
    /// Do not send the request.
    Omit {
        /// Time by which the repeat would miss the deadline, in milliseconds.
        excess_ms: u64,
    },
}

/// Decides on a repeat that is expected to wait `first_byte_ms` for its first byte, whose stream is
/// expected to end `rest_ms` after that, and whose caller waits `remaining_ms` more.
#[must_use]
pub fn decide(first_byte_ms: Option<u64>, rest_ms: Option<u64>, remaining_ms: u64) -> Decision {
    let Some(first_byte_ms) = first_byte_ms else { return Decision::Send };
    let end_ms = first_byte_ms.saturating_add(rest_ms.unwrap_or(0));
    match end_ms.saturating_sub(remaining_ms) {
        0 => Decision::Send,
        excess_ms => Decision::Omit { excess_ms },
    }
}

/// The pace of the latest streams of one kind of request.
///
/// Medians are used, since the pace of a stream whose caller reads slowly is that of the caller.
#[derive(Debug, Default)]
pub struct StreamPace {
    /// Number of events and the time between the first and the last of them, of each stream.
    latest: collections::VecDeque<Sample>,
    updated_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Sample {
    events: u64,
    interval_us: u64,
}

impl StreamPace {
    /// Creates a pace without streams.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a complete stream of `events` events, the last of which arrived `duration_ms` after the
    /// first. Resumed streams are not recorded, since the interruption is not part of the pace.
    pub fn record(&mut self, events: u64, duration_ms: u64, now_ms: u64) {
        let Some(intervals) = events.checked_sub(1) else { return };
        let interval_us = duration_ms.saturating_mul(1_000).checked_div(intervals).unwrap_or(0);
        if self.latest.len() == REMEMBERED_STREAMS {
            self.latest.pop_front();
        }
        self.latest.push_back(Sample { events, interval_us });
        self.updated_ms = now_ms;
    }

    /// The expected time from the next event to the last one of a stream of which `received` events
    /// have arrived, in milliseconds; none without recent streams.
    #[must_use]
    pub fn rest_ms(&self, received: u64, now_ms: u64) -> Option<u64> {
        if self.latest.len() < MIN_STREAMS || now_ms >= self.updated_ms + MAX_AGE_MS {
            return None;
        }
        let events = median(self.latest.iter().map(|sample| sample.events));
        let interval_us = median(self.latest.iter().map(|sample| sample.interval_us));
        let intervals = events.saturating_sub(received.saturating_add(1));
        Some(intervals.saturating_mul(interval_us) / 1_000)
    }
}

fn median<I>(values: I) -> u64
where
    I: Iterator<Item = u64>,
{
    let mut values: Vec<_> = values.collect();
    values.sort_unstable();
    values.get(values.len() / 2).copied().unwrap_or(0)
}
