//! Queue of submitted entries at the owner of their shard.

use std::collections;

use crate::identity;
use crate::ledger::entry;
use crate::ledger::message;

/// Maximum number of entries queued at one owner.
pub const QUEUE_MAX: usize = 65_536;

/// An entry that waits to be written to the log.
#[derive(Debug, Clone)]
pub struct QueuedEntry {
    /// The host that submitted the entry and gets its outcome.
    pub from: identity::HostId,
    /// The submitted entry.
    pub submission: message::Submission,
}

/// Entries in order of arrival, without duplicates.
#[derive(Debug, Default)]
pub struct Queue {
    entries: collections::VecDeque<QueuedEntry>,
    queued_ids: collections::BTreeSet<(identity::HostId, u64)>,
    urgent_count: usize,
}

impl Queue {
    /// Returns whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether the queue has an urgent entry, that is, any but a bill.
    #[must_use]
    pub fn has_urgent(&self) -> bool {
        self.urgent_count > 0
    }

    /// Adds an entry unless it is already queued or the queue is full. The sender resends an entry
    /// that was not added.
    pub fn push(&mut self, queued: QueuedEntry) {
        if self.entries.len() < QUEUE_MAX && self.queued_ids.insert(key(&queued)) {
            self.urgent_count += usize::from(is_urgent(&queued));
            self.entries.push_back(queued);
        }
    }

    /// Puts entries back at the front in their original order.
    pub fn requeue(&mut self, entries: Vec<QueuedEntry>) {
        for queued in entries.into_iter().rev() {
            if self.queued_ids.insert(key(&queued)) {
                self.urgent_count += usize::from(is_urgent(&queued));
                self.entries.push_front(queued);
            }
        }
    }

    /// Removes and returns up to `count` entries from the front.
    pub fn take(&mut self, count: usize) -> Vec<QueuedEntry> {
        let count = count.min(self.entries.len());
        let taken: Vec<QueuedEntry> = self.entries.drain(..count).collect();
        for queued in &taken {
            self.queued_ids.remove(&key(queued));
            self.urgent_count -= usize::from(is_urgent(queued));
        }
        taken
    }

    /// Drops all entries; their senders resend them to the next owner.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.queued_ids.clear();
        self.urgent_count = 0;
    }
}

fn is_urgent(queued: &QueuedEntry) -> bool {
    !matches!(queued.submission.entry, entry::Entry::Bill(_))
}

fn key(queued: &QueuedEntry) -> (identity::HostId, u64) {
    (queued.from, queued.submission.number)
}
