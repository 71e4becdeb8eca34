//! A set of numbers kept as intervals.

use std::collections;

use serde::Deserialize;
use serde::Serialize;

/// A set of numbers; neighbours share one interval, so dense sets stay small.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct IntervalSet {
    /// First to last number of each interval, both included.
    intervals: collections::BTreeMap<u64, u64>,
}

impl IntervalSet {
    /// Whether the set holds a number.
    #[must_use]
    pub fn contains(&self, number: u64) -> bool {
        self.intervals.range(..=number).next_back().is_some_and(|(_, last)| number <= *last)
    }

    /// Adds a number; returns false if the set held it already.
    pub fn insert(&mut self, number: u64) -> bool {
        if self.contains(number) {
            return false;
        }
        let before = number.checked_sub(1).and_then(|end| self.interval_ending_at(end));
        let first = before.unwrap_or(number);
        let after = number.checked_add(1).and_then(|next| self.intervals.remove(&next));
        self.intervals.insert(first, after.unwrap_or(number));
        true
    }

    /// How many intervals the set has.
    #[must_use]
    pub fn interval_count(&self) -> usize {
        self.intervals.len()
    }

    fn interval_ending_at(&self, end: u64) -> Option<u64> {
        let (first, last) = self.intervals.range(..=end).next_back()?;
        (*last == end).then_some(*first)
    }
}
