//! Poison requests, which crash the servers that run them; recognised by a hash of their content.

use std::collections;
use std::net;

/// Number of different servers that must crash while a request is in flight before its content is
/// blocked.
pub const CRASHES_TO_BLOCK: usize = 2;
/// Time for which a record is kept after the last crash, in milliseconds.
pub const RECORD_TTL_MS: u64 = 3_600_000;
/// Maximum number of records.
const MAX_RECORDS: usize = 16_384;

/// What is known about a request's content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// No crash is recorded.
    Clear,
    /// A server crashed while the request ran; other requests may have caused it.
    Suspect,
    /// [`CRASHES_TO_BLOCK`] servers crashed while the request ran.
    Blocked,
}

#[derive(Debug)]
struct Record {
    crashed_servers: collections::BTreeSet<net::SocketAddr>,
    is_running: bool,
    updated_ms: u64,
}

/// Crash records by content hash.
#[derive(Debug, Default)]
pub struct PoisonTracker {
    records: collections::BTreeMap<u64, Record>,
}

impl PoisonTracker {
    /// Creates a tracker without records.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// What is known about the content with this hash.
    #[must_use]
    pub fn status(&self, content_hash: u64, now_ms: u64) -> Status {
        match self.records.get(&content_hash) {
            Some(record) if now_ms >= record.updated_ms + RECORD_TTL_MS => Status::Clear,
            Some(record) if record.crashed_servers.len() >= CRASHES_TO_BLOCK => Status::Blocked,
            Some(_) => Status::Suspect,
            None => Status::Clear,
        }
    }

    /// Whether a request may start now: suspect ones run one at a time, until one succeeds.
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

    /// Records that a suspect request has ended, neither crashing its server nor succeeding.
    pub fn record_end(&mut self, content_hash: u64) {
        if let Some(record) = self.records.get_mut(&content_hash) {
            record.is_running = false;
        }
    }

    /// Records that a request succeeded, which clears its content unless it is blocked.
    pub fn record_success(&mut self, content_hash: u64) {
        let is_blocked = self
            .records
            .get(&content_hash)
            .is_some_and(|r| r.crashed_servers.len() >= CRASHES_TO_BLOCK);
        if !is_blocked {
            self.records.remove(&content_hash);
        }
    }

    /// Records that a server crashed while a request was in flight; returns the new status.
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

    /// Servers that crashed while a request with this content ran.
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
