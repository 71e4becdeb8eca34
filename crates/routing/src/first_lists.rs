//! The lists that a starting host waits for before it takes requests.

use std::collections;

/// A list without which a host could route, but would use what other hosts do not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum List {
    /// Roll-outs: without them, a version on trial looks like any other.
    Rollouts,
    /// Reports of crashes: without them, blocked parts of prompts reach servers.
    CrashReports,
    /// Evacuations: without them, servers of an evacuated data centre get requests.
    Evacuations,
}

/// Lists that have not been received since the host started.
///
/// The wait for them is bounded, since a relay of an older build does not send all kinds.
#[derive(Debug)]
pub struct FirstLists {
    missing: collections::BTreeSet<List>,
    /// Since when nothing else is missing, in milliseconds.
    waiting_since_ms: Option<u64>,
}

impl Default for FirstLists {
    fn default() -> Self {
        Self { missing: [List::Rollouts, List::CrashReports].into(), waiting_since_ms: None }
    }
}

impl FirstLists {
    /// Waits for another list.
    pub fn await_list(&mut self, list: List) {
        self.missing.insert(list);
    }

    /// Records that a list was received.
    pub fn record(&mut self, list: List) {
        self.missing.remove(&list);
    }

    /// Whether no list is awaited any more.
    #[must_use]
    pub fn are_complete(&self) -> bool {
        self.missing.is_empty()
    }

    /// Records that nothing else is missing, and gives up the lists that were awaited for
    /// `max_wait_ms` since; returns them.
    pub fn tick(&mut self, now_ms: u64, max_wait_ms: u64) -> Vec<List> {
        let since_ms = *self.waiting_since_ms.get_or_insert(now_ms);
        if now_ms < since_ms + max_wait_ms {
            return Vec::new();
        }
        std::mem::take(&mut self.missing).into_iter().collect()
    }
}
