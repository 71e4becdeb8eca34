//! How the version in use answers, as the measure for a new one.

use std::collections;

use crate::canary;
use crate::sequential_test as sequential;

/// When a first byte is slow. It depends much on what servers have cached.
const SLOW_FIRST_BYTE: SlowLimit = SlowLimit { median_percent: 400, percentile: 95 };
/// When a plain answer is slow.
const SLOW_ANSWER: SlowLimit = SlowLimit { median_percent: 200, percentile: 90 };
/// When the events of a stream are slow. Their times hardly depend on what servers have cached.
const SLOW_EVENTS: SlowLimit = SlowLimit { median_percent: 150, percentile: 90 };
/// Time from which an answer or its events are stalled, in percent of the old version's median. A
/// few such answers give away a version that is slow now and then.
const STALLED_MEDIAN_PERCENT: u64 = 400;
/// Answers of the old version from which on older ones count half.
const MAX_HISTORY_ANSWERS: u64 = 400;
/// Latency samples of the old version that are needed to recognise slow answers.
const MIN_LATENCY_SAMPLES: usize = 10;
/// Latency samples of the old version that are needed to recognise stalled answers.
const MIN_STALL_SAMPLES: usize = 4;
/// Maximum number of latency samples of the old version that are kept for each kind of request.
const MAX_LATENCY_SAMPLES: usize = 64;

/// How reliably and how fast servers of the version in use answer.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Recent answers.
    pub(super) answers: sequential::Evidence,
    /// Times to the first byte.
    first_bytes_ms: collections::BTreeMap<u64, LatencySamples>,
    /// Times between the events of streams.
    event_intervals_ms: collections::BTreeMap<u64, LatencySamples>,
}

/// The latest times of one kind of request, in milliseconds.
#[derive(Debug, Clone, Default)]
struct LatencySamples(collections::VecDeque<u64>);

/// When a time is slow compared with those of the old version: if it exceeds both.
#[derive(Debug, Clone, Copy)]
struct SlowLimit {
    /// Part of the median, in percent.
    median_percent: u64,
    /// Percentile of the times.
    percentile: usize,
}

/// How fast an answer of the new version was, compared with the old one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Speed {
    /// Not slow.
    Normal,
    /// Slow, as some answers of the old version are.
    Slow,
    /// Several times as slow as usual.
    Stalled,
}

impl History {
    /// Records an answer of the old version.
    pub fn record(&mut self, kind: u64, answer: canary::Answer) {
        self.answers.add(answer.has_failed);
        if self.answers.answers >= MAX_HISTORY_ANSWERS {
            self.answers.answers /= 2;
            self.answers.bad /= 2;
        }
        if answer.has_failed {
            return;
        }
        self.first_bytes_ms.entry(kind).or_default().record(answer.first_byte_ms);
        if answer.event_interval_ms.is_some() {
            self.event_intervals_ms.entry(kind).or_default().record(answer.event_interval_ms);
        }
    }

    /// Records that a request was given up after it had waited for the first byte for this time. One
    /// that was given up early says nothing about the server.
    pub fn record_given_up(&mut self, kind: u64, waited_ms: u64) {
        if self.is_overdue(kind, waited_ms)
            && let Some(samples) = self.first_bytes_ms.get_mut(&kind)
        {
            samples.record(Some(waited_ms));
        }
    }

    /// Whether a request that has had no first byte for this time is late already, compared with
    /// those of the old version.
    pub(super) fn is_overdue(&self, kind: u64, waited_ms: u64) -> bool {
        let speed = self.compare_first_byte(kind, Some(waited_ms));
        speed.is_some_and(|speed| speed != Speed::Normal)
    }

    /// The samples whose speed later answers are compared with, and those of them that were stalled.
    pub(super) fn stalls(&self) -> sequential::Evidence {
        let is_plain = |kind: &u64| !self.event_intervals_ms.contains_key(kind);
        let plain = self.first_bytes_ms.iter().filter(|(kind, _)| is_plain(kind));
        let samples = plain.map(|(_, samples)| samples).chain(self.event_intervals_ms.values());
        samples.map(LatencySamples::stalls).fold(
            sequential::Evidence::default(),
            |mut total, stalls| {
                total.merge(stalls);
                total
            },
        )
    }

    /// Compares the time to the first byte with those of the old version, if there are enough.
    pub(super) fn compare_first_byte(&self, kind: u64, time_ms: Option<u64>) -> Option<Speed> {
        self.first_bytes_ms.get(&kind)?.compare(time_ms?, SLOW_FIRST_BYTE)
    }

    /// Compares the speed of a stream, or the time of a plain answer, with those of the old version,
    /// if there are enough.
    pub(super) fn compare_speed(&self, kind: u64, answer: canary::Answer) -> Option<Speed> {
        match answer.event_interval_ms {
            Some(time_ms) => self.event_intervals_ms.get(&kind)?.compare(time_ms, SLOW_EVENTS),
            None if self.event_intervals_ms.contains_key(&kind) => None,
            None => self.first_bytes_ms.get(&kind)?.compare(answer.first_byte_ms?, SLOW_ANSWER),
        }
    }
}

impl LatencySamples {
    /// The samples, and those of them that were stalled.
    fn stalls(&self) -> sequential::Evidence {
        let mut sorted: Vec<u64> = self.0.iter().copied().collect();
        sorted.sort_unstable();
        let median_ms = sorted.get(sorted.len() / 2).copied().unwrap_or(0).max(1);
        let mut stalls = sequential::Evidence::default();
        for time_ms in sorted {
            stalls.add(time_ms > median_ms * STALLED_MEDIAN_PERCENT / 100);
        }
        stalls
    }

    fn record(&mut self, time_ms: Option<u64>) {
        self.0.extend(time_ms);
        if self.0.len() > MAX_LATENCY_SAMPLES {
            self.0.pop_front();
        }
    }

    /// Compares a time; `None` if there are not enough samples.
    fn compare(&self, time_ms: u64, limit: SlowLimit) -> Option<Speed> {
        if self.0.len() < MIN_STALL_SAMPLES {
            return None;
        }
        let mut sorted: Vec<u64> = self.0.iter().copied().collect();
        sorted.sort_unstable();
        let median_ms = sorted[sorted.len() / 2].max(1);
        let percentile_ms = sorted[sorted.len() * limit.percentile / 100];
        let slow_ms = percentile_ms.max(median_ms * limit.median_percent / 100);
        Some(match time_ms {
            _ if time_ms > slow_ms.max(median_ms * STALLED_MEDIAN_PERCENT / 100) => Speed::Stalled,
            _ if time_ms > slow_ms && sorted.len() >= MIN_LATENCY_SAMPLES => Speed::Slow,
            _ => Speed::Normal,
        })
    }
}
