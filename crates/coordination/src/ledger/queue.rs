//! Entries that wait at the owner of their shard.

use std::collections;

use crate::identity;
use crate::ledger::entry;
use crate::ledger::message;

/// Most entries waiting at one owner.
pub const QUEUE_MAX: usize = 65_536;

/// An entry waiting for its verdict.
#[derive(Debug, Clone)]
pub struct Waiting {
    /// The host that wants the verdict.
    pub from: identity::HostId,
    /// The entry.
    pub submission: message::Submission,
}

/// Entries in the order in which they came, each once.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: collections::VecDeque<Waiting>,
    known: collections::BTreeSet<(identity::HostId, u64)>,
    urgent: usize,
}

impl Queue {
    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether an entry waits that holds a request up.
    #[must_use]
    pub fn has_urgent(&self) -> bool {
        self.urgent > 0
    }

    /// Adds an entry unless it waits already or the queue is full; its sender sends it again.
    pub fn push(&mut self, waiting: Waiting) {
        if self.waiting.len() < QUEUE_MAX && self.known.insert(key(&waiting)) {
            self.urgent += usize::from(is_urgent(&waiting));
            self.waiting.push_back(waiting);
        }
    }

    /// Puts entries back at the front, in their order.
    pub fn put_back(&mut self, entries: Vec<Waiting>) {
        for waiting in entries.into_iter().rev() {
            if self.known.insert(key(&waiting)) {
                self.urgent += usize::from(is_urgent(&waiting));
                self.waiting.push_front(waiting);
            }
        }
    }

    /// Takes up to `count` entries.
    pub fn take(&mut self, count: usize) -> Vec<Waiting> {
        let count = count.min(self.waiting.len());
        let taken: Vec<Waiting> = self.waiting.drain(..count).collect();
        for waiting in &taken {
            self.known.remove(&key(waiting));
            self.urgent -= usize::from(is_urgent(waiting));
        }
        taken
    }

    /// Drops everything; the senders send it to the next owner.
    pub fn clear(&mut self) {
        self.waiting.clear();
        self.known.clear();
        self.urgent = 0;
    }
}

fn is_urgent(waiting: &Waiting) -> bool {
    !matches!(waiting.submission.entry, entry::Entry::Bill(_))
}

fn key(waiting: &Waiting) -> (identity::HostId, u64) {
    (waiting.from, waiting.submission.number)
}
