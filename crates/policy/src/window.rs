//! Event counts and maxima over a sliding window of time.

use std::collections;

/// Number of buckets in a window; an event expires up to one bucket late.
const BUCKETS: u64 = 20;

/// Counts the events in a sliding window of time.
///
/// Events are kept slightly longer than the window, never shorter, so that a limit on the count
/// also holds for every time span of the window's length.
#[derive(Debug)]
pub struct SlidingWindow {
    bucket_ms: u64,
    buckets: collections::VecDeque<(u64, u64)>,
    total: u64,
}

impl SlidingWindow {
    /// Creates an empty window of `length_ms` milliseconds.
    #[must_use]
    pub fn new(length_ms: u64) -> Self {
        let bucket_ms = length_ms.div_ceil(BUCKETS).max(1);
        Self { bucket_ms, buckets: collections::VecDeque::new(), total: 0 }
    }

    /// Records an event.
    pub fn record(&mut self, now_ms: u64) {
        self.evict_expired(now_ms);
        let bucket = now_ms / self.bucket_ms;
        match self.buckets.back_mut() {
            Some((last, count)) if *last >= bucket => *count += 1,
            _ => self.buckets.push_back((bucket, 1)),
        }
        self.total += 1;
    }

    /// Number of events in the window.
    pub fn count(&mut self, now_ms: u64) -> u64 {
        self.evict_expired(now_ms);
        self.total
    }

    fn evict_expired(&mut self, now_ms: u64) {
        let oldest = (now_ms / self.bucket_ms).saturating_sub(BUCKETS);
        while let Some((_, count)) = self.buckets.pop_front_if(|(bucket, _)| *bucket < oldest) {
            self.total -= count;
        }
    }
}

/// The largest value in a sliding window of time.
///
/// Like the events of a [`SlidingWindow`], values are kept slightly longer than the window.
#[derive(Debug)]
pub struct SlidingMax {
    bucket_ms: u64,
    /// Buckets in order of time, each with its largest value, in falling order of the values: one
    /// that a later bucket exceeds is never the maximum again.
    buckets: collections::VecDeque<(u64, u64)>,
}

impl SlidingMax {
    /// Creates an empty window of `length_ms` milliseconds.
    #[must_use]
    pub fn new(length_ms: u64) -> Self {
        let bucket_ms = length_ms.div_ceil(BUCKETS).max(1);
        Self { bucket_ms, buckets: collections::VecDeque::new() }
    }

    /// Records a value and returns the largest one in the window.
    pub fn record(&mut self, value: u64, now_ms: u64) -> u64 {
        let bucket = now_ms / self.bucket_ms;
        let oldest = bucket.saturating_sub(BUCKETS);
        while self.buckets.pop_front_if(|(bucket, _)| *bucket < oldest).is_some() {}
        while self.buckets.pop_back_if(|(_, smaller)| *smaller <= value).is_some() {}
        if self.buckets.back().is_none_or(|(last, _)| *last < bucket) {
            self.buckets.push_back((bucket, value));
        }
        self.buckets.front().map_or(value, |(_, max)| *max)
    }
}
