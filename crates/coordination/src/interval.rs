//! A set of integers stored as disjoint intervals.

use std::collections;

use serde::Deserialize;
use serde::Serialize;

/// A set of integers in which adjacent values share one interval, so that dense sets stay small.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct IntervalSet {
    /// Maps the first value of each interval to its last value, both inclusive.
    intervals: collections::BTreeMap<u64, u64>,
}

impl IntervalSet {
    /// Returns whether the set contains `number`.
    #[must_use]
    pub fn contains(&self, number: u64) -> bool {
        self.intervals.range(..=number).next_back().is_some_and(|(_, last)| number <= *last)
    }

    /// Inserts `number`; returns false if the set contained it already.
    pub fn insert(&mut self, number: u64) -> bool {
        if self.contains(number) {
            return false;
        }
        let preceding_first = number.checked_sub(1).and_then(|end| self.interval_ending_at(end));
        let first = preceding_first.unwrap_or(number);
        let following_last = number.checked_add(1).and_then(|next| self.intervals.remove(&next));
        self.intervals.insert(first, following_last.unwrap_or(number));
        true
    }

    /// Returns the number of disjoint intervals.
    #[must_use]
    pub fn interval_count(&self) -> usize {
        self.intervals.len()
    }

    fn interval_ending_at(&self, end: u64) -> Option<u64> {
        let (first, last) = self.intervals.range(..=end).next_back()?;
        (*last == end).then_some(*first)
    }
}
