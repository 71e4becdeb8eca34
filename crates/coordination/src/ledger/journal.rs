//! Entries of this host that are not durable yet.

use std::collections;

use crate::identity;
use crate::ledger::entry;
use crate::ledger::message;

/// Time after which an entry without a verdict is sent again, in milliseconds.
pub const RESEND_MS: u64 = 400;
/// Most bytes of entries that wait, in bytes.
pub const PENDING_MAX_BYTES: usize = 32 * 1024 * 1024;
/// Most entries in one message.
const MESSAGE_MAX: usize = 512;

/// Entries for the owner of one shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// The shard.
    pub shard: u32,
    /// The entries.
    pub submissions: Vec<message::Submission>,
}

#[derive(Debug)]
struct Pending {
    shard: u32,
    entry: entry::Entry,
    bytes: usize,
    next_send_ms: u64,
}

/// The entries of this host that wait for a verdict.
#[derive(Debug, Default)]
pub struct Journal {
    pending: collections::BTreeMap<u64, Pending>,
    next_number: u64,
    pending_bytes: usize,
}

impl Journal {
    /// An empty journal.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether new requests must be refused, since their bills could not be kept.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.pending_bytes >= PENDING_MAX_BYTES
    }

    /// Number of entries that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether no entry waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Bytes of the entries that wait.
    #[must_use]
    pub fn pending_bytes(&self) -> usize {
        self.pending_bytes
    }

    /// Takes an entry and keeps it until its verdict; returns its number.
    pub fn submit(&mut self, shard: u32, entry: entry::Entry) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        let bytes = entry_bytes(&entry);
        self.pending_bytes += bytes;
        self.pending.insert(
            number,
            Pending {
                shard,
                entry,
                bytes,
                next_send_ms: 0,
            },
        );
        number
    }

    /// Entries that are due, by shard.
    pub fn due(&mut self, now_ms: u64) -> Vec<Outgoing> {
        let mut by_shard: collections::BTreeMap<u32, Vec<message::Submission>> =
            collections::BTreeMap::new();
        for (number, pending) in &mut self.pending {
            let submissions = by_shard.entry(pending.shard).or_default();
            if now_ms >= pending.next_send_ms && submissions.len() < MESSAGE_MAX {
                pending.next_send_ms = now_ms + RESEND_MS;
                let entry = pending.entry.clone();
                submissions.push(message::Submission {
                    number: *number,
                    entry,
                });
            }
        }
        by_shard
            .into_iter()
            .filter(|(_, submissions)| !submissions.is_empty())
            .map(|(shard, submissions)| Outgoing { shard, submissions })
            .collect()
    }

    /// Takes a verdict; returns the entry if it was still waiting.
    pub fn decide(&mut self, number: u64) -> Option<entry::Entry> {
        let pending = self.pending.remove(&number)?;
        self.pending_bytes -= pending.bytes;
        Some(pending.entry)
    }
}

/// The shard that holds a claim.
#[must_use]
pub fn shard_of_claim(key: entry::ClaimKey, shards: u32) -> u32 {
    shard_of_hash(xxhash_rust::xxh3::xxh3_64(&key.0.to_le_bytes()), shards)
}

/// The shard that holds the bills of a host; one shard a host keeps its messages few.
#[must_use]
pub fn shard_of_bills(host: identity::HostId, shards: u32) -> u32 {
    shard_of_hash(xxhash_rust::xxh3::xxh3_64(&host.0.to_le_bytes()), shards)
}

fn shard_of_hash(hash: u64, shards: u32) -> u32 {
    u32::try_from(hash % u64::from(shards.max(1))).unwrap_or(0)
}

/// Memory that an entry takes, roughly, in bytes.
fn entry_bytes(entry: &entry::Entry) -> usize {
    let extra = match entry {
        entry::Entry::Claim { .. } | entry::Entry::Release { .. } => 0,
        entry::Entry::Settle { answer, .. } => answer.body.as_ref().map_or(0, |body| body.len()),
        entry::Entry::Bill(bill) => bill.organisation.len() + bill.item.len(),
    };
    size_of::<Pending>() + extra
}
