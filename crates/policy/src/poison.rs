//! Requests that take down the servers that run them, recognised by content.

use std::collections;
use std::net;

/// Different servers lost with a request in flight after which it is convicted.
pub const CRASHES_TO_CONVICT: usize = 2;
/// Time for which a suspicion or verdict is kept, in milliseconds.
pub const VERDICT_MS: u64 = 3_600_000;
/// Most contents that are kept.
const CONTENTS_MAX: usize = 16_384;

/// What is known of a content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Nothing is held against it.
    Clear,
    /// A server went down while it ran; others ran there as well.
    Suspect,
    /// It took down as many servers as it may.
    Convicted,
}

#[derive(Debug)]
struct Record {
    crashed: collections::BTreeSet<net::SocketAddr>,
    is_running: bool,
    seen_ms: u64,
}

/// Contents that are suspected or convicted.
#[derive(Debug, Default)]
pub struct Poison {
    records: collections::BTreeMap<u64, Record>,
}

impl Poison {
    /// Nothing suspected yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// What is known of a content.
    #[must_use]
    pub fn standing(&self, content: u64, now_ms: u64) -> Standing {
        match self.records.get(&content) {
            Some(record) if now_ms >= record.seen_ms + VERDICT_MS => Standing::Clear,
            Some(record) if record.crashed.len() >= CRASHES_TO_CONVICT => Standing::Convicted,
            Some(_) => Standing::Suspect,
            None => Standing::Clear,
        }
    }

    /// Whether a suspect may start now: one at a time, until a success clears it.
    pub fn try_start(&mut self, content: u64) -> bool {
        match self.records.get_mut(&content) {
            Some(record) if record.is_running => false,
            Some(record) => {
                record.is_running = true;
                true
            }
            None => true,
        }
    }

    /// Notes that a suspect has ended without taking its server down or running to its end.
    pub fn end(&mut self, content: u64) {
        if let Some(record) = self.records.get_mut(&content) {
            record.is_running = false;
        }
    }

    /// Notes that a content ran to its end.
    pub fn clear(&mut self, content: u64) {
        let is_convicted =
            self.records.get(&content).is_some_and(|r| r.crashed.len() >= CRASHES_TO_CONVICT);
        if !is_convicted {
            self.records.remove(&content);
        }
    }

    /// Notes that a server went down with a content in flight; returns what is known now.
    pub fn implicate(&mut self, content: u64, server: net::SocketAddr, now_ms: u64) -> Standing {
        self.make_room(content, now_ms);
        let record = self.records.entry(content).or_insert(Record {
            crashed: collections::BTreeSet::new(),
            is_running: false,
            seen_ms: now_ms,
        });
        record.crashed.insert(server);
        record.is_running = false;
        record.seen_ms = now_ms;
        self.standing(content, now_ms)
    }

    /// Servers that went down while a content ran.
    #[must_use]
    pub fn crashed(&self, content: u64) -> Vec<net::SocketAddr> {
        self.records
            .get(&content)
            .map(|record| record.crashed.iter().copied().collect())
            .unwrap_or_default()
    }

    fn make_room(&mut self, content: u64, now_ms: u64) {
        if self.records.len() < CONTENTS_MAX || self.records.contains_key(&content) {
            return;
        }
        self.records.retain(|_, record| now_ms < record.seen_ms + VERDICT_MS);
        if self.records.len() >= CONTENTS_MAX {
            self.records.pop_first();
        }
    }
}
