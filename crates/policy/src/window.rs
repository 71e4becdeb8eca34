//! Event counts over a sliding window of time.

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
