//! Requests that take down the servers that run them, recognised by content.

use std::collections;
use std::net;

/// Different servers lost with a request in flight after which it is convicted.
pub const CRASHES_TO_BLOCK: usize = 2;
/// Time for which a suspicion or verdict is kept, in milliseconds.
pub const RECORD_TTL_MS: u64 = 3_600_000;
/// Most contents that are kept.
const MAX_RECORDS: usize = 16_384;

/// What is known of a content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// Nothing is held against it.
    Clear,
    /// A server went down while it ran; others ran there as well.
    Suspect,
    /// It took down as many servers as it may.
    Blocked,
}

#[derive(Debug)]
struct Record {
    crashed_servers: collections::BTreeSet<net::SocketAddr>,
    is_running: bool,
    updated_ms: u64,
}

/// Contents that are suspected or convicted.
#[derive(Debug, Default)]
pub struct PoisonTracker {
    records: collections::BTreeMap<u64, Record>,
}

impl PoisonTracker {
    /// Nothing suspected yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// What is known of a content.
    #[must_use]
    pub fn status(&self, content_hash: u64, now_ms: u64) -> Status {
        match self.records.get(&content_hash) {
            Some(record) if now_ms >= record.updated_ms + RECORD_TTL_MS => Status::Clear,
            Some(record) if record.crashed_servers.len() >= CRASHES_TO_BLOCK => Status::Blocked,
            Some(_) => Status::Suspect,
            None => Status::Clear,
        }
    }

    /// Whether a suspect may start now: one at a time, until a success clears it.
    pub fn try_start(&mut self, content_hash: u64) -> bool {
        match self.records.get_mut(&content_hash) {
            Some(record) if record.is_running => false,
            Some(record) => {
                record.is_running = true;
                true
            }
            None => true,
        }
    }

    /// Notes that a suspect has ended without taking its server down or running to its end.
    pub fn record_end(&mut self, content_hash: u64) {
        if let Some(record) = self.records.get_mut(&content_hash) {
            record.is_running = false;
        }
    }

    /// Notes that a content ran to its end.
    pub fn record_success(&mut self, content_hash: u64) {
        let is_blocked = self
            .records
            .get(&content_hash)
            .is_some_and(|r| r.crashed_servers.len() >= CRASHES_TO_BLOCK);
        if !is_blocked {
            self.records.remove(&content_hash);
        }
    }

    /// Notes that a server went down with a content in flight; returns what is known now.
    pub fn record_crash(
        &mut self,
        content_hash: u64,
        server: net::SocketAddr,
        now_ms: u64,
    ) -> Status {
        self.evict(content_hash, now_ms);
        let record = self.records.entry(content_hash).or_insert(Record {
            crashed_servers: collections::BTreeSet::new(),
            is_running: false,
            updated_ms: now_ms,
        });
        record.crashed_servers.insert(server);
        record.is_running = false;
        record.updated_ms = now_ms;
        self.status(content_hash, now_ms)
    }

    /// Servers that went down while a content ran.
    #[must_use]
    pub fn crashed_servers(&self, content_hash: u64) -> Vec<net::SocketAddr> {
        self.records
            .get(&content_hash)
            .map(|record| record.crashed_servers.iter().copied().collect())
            .unwrap_or_default()
    }

    fn evict(&mut self, content_hash: u64, now_ms: u64) {
        if self.records.len() < MAX_RECORDS || self.records.contains_key(&content_hash) {
            return;
        }
        self.records.retain(|_, record| now_ms < record.updated_ms + RECORD_TTL_MS);
        if self.records.len() >= MAX_RECORDS {
            self.records.pop_first();
        }
    }
}
