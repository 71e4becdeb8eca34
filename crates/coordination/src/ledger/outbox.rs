//! Outbox of ledger entries of this host that are not durable yet.

use std::collections;

use crate::identity;
use crate::ledger::entry;
use crate::ledger::message;

/// Initial delay before an entry without an outcome is sent again, in milliseconds.
pub const RESEND_MIN_MS: u64 = 400;
/// Maximum delay before an entry without an outcome is sent again, in milliseconds.
pub const RESEND_MAX_MS: u64 = 6_400;
/// Interval at which collected bills are sent, in milliseconds.
pub const BILL_BATCH_INTERVAL_MS: u64 = 200;
/// Size of the pending entries at which new requests are refused, in bytes.
pub const PENDING_MAX_BYTES: usize = 32 * 1024 * 1024;
/// Maximum number of entries in flight for each shard; further entries wait.
const IN_FLIGHT_MAX: usize = 512;

/// Entries to send to the owner of one shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// The shard.
    pub shard: u32,
    /// The entries.
    pub submissions: Vec<message::Submission>,
}

/// Priority while the platform is slow: requests are blocked on their claims, but not on bills.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Priority {
    /// A claim, its release or its settlement.
    Claim,
    Bill,
}

/// Position of an entry in the queue of its shard: priority, then number.
type SendOrder = (Priority, u64);

#[derive(Debug)]
struct Pending {
    shard: u32,
    entry: entry::Entry,
    bytes: usize,
    next_send_ms: u64,
    resend_delay_ms: u64,
}

/// The pending entries of one shard in send order.
#[derive(Debug, Default)]
struct ShardQueue {
    order: collections::BTreeSet<SendOrder>,
    /// Earliest time at which an entry in flight is due to be sent, in milliseconds.
    next_due_ms: u64,
}

/// The entries of this host that have no outcome yet.
#[derive(Debug, Default)]
pub struct Outbox {
    pending: collections::BTreeMap<u64, Pending>,
    shard_queues: collections::BTreeMap<u32, ShardQueue>,
    next_number: u64,
    pending_bytes: usize,
}

impl Outbox {
    /// Creates an empty outbox.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether new requests must be refused because their bills could not be held.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.pending_bytes >= PENDING_MAX_BYTES
    }

    /// Returns the number of pending entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether no entry is pending.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns the approximate memory use of the pending entries in bytes.
    #[must_use]
    pub fn pending_bytes(&self) -> usize {
        self.pending_bytes
    }

    /// Adds an entry, which is held until its outcome is known; returns its number.
    pub fn submit(&mut self, shard: u32, entry: entry::Entry, now_ms: u64) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        let bytes = entry_bytes(&entry);
        self.pending_bytes += bytes;
        let shard_queue = self.shard_queues.entry(shard).or_default();
        let send_order = send_order(number, &entry);
        let next_send_ms = match send_order.0 {
            Priority::Claim => now_ms,
            Priority::Bill => (now_ms / BILL_BATCH_INTERVAL_MS + 1) * BILL_BATCH_INTERVAL_MS,
        };
        shard_queue.order.insert(send_order);
        shard_queue.next_due_ms = shard_queue.next_due_ms.min(next_send_ms);
        let pending = Pending { shard, entry, bytes, next_send_ms, resend_delay_ms: RESEND_MIN_MS };
        self.pending.insert(number, pending);
        number
    }

    /// Returns the entries that are due to be sent, grouped by shard.
    pub fn due(&mut self, now_ms: u64) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        for (shard, shard_queue) in &mut self.shard_queues {
            if now_ms < shard_queue.next_due_ms {
                continue;
            }
            let submissions = due_submissions(shard_queue, &mut self.pending, now_ms);
            if !submissions.is_empty() {
                outgoing.push(Outgoing { shard: *shard, submissions });
            }
        }
        outgoing
    }

    /// Removes an entry whose outcome is known; returns it if it was still pending.
    pub fn resolve(&mut self, number: u64) -> Option<entry::Entry> {
        let pending = self.pending.remove(&number)?;
        self.pending_bytes -= pending.bytes;
        if let Some(shard_queue) = self.shard_queues.get_mut(&pending.shard) {
            shard_queue.order.remove(&send_order(number, &pending.entry));
            // The next entry may now be sent.
            shard_queue.next_due_ms = 0;
        }
        Some(pending.entry)
    }

    /// Makes all entries due again, as after a change of shard owners.
    pub fn resend_all(&mut self) {
        for pending in self.pending.values_mut() {
            pending.next_send_ms = 0;
            pending.resend_delay_ms = RESEND_MIN_MS;
        }
        for shard_queue in self.shard_queues.values_mut() {
            shard_queue.next_due_ms = 0;
        }
    }
}

fn due_submissions(
    shard_queue: &mut ShardQueue,
    pending: &mut collections::BTreeMap<u64, Pending>,
    now_ms: u64,
) -> Vec<message::Submission> {
    let mut submissions = Vec::new();
    shard_queue.next_due_ms = u64::MAX;
    for (_, number) in shard_queue.order.iter().take(IN_FLIGHT_MAX) {
        let Some(pending) = pending.get_mut(number) else {
            continue;
        };
        if now_ms >= pending.next_send_ms {
            pending.next_send_ms = now_ms + pending.resend_delay_ms;
            pending.resend_delay_ms = (pending.resend_delay_ms * 2).min(RESEND_MAX_MS);
            let entry = pending.entry.clone();
            submissions.push(message::Submission { number: *number, entry });
        }
        shard_queue.next_due_ms = shard_queue.next_due_ms.min(pending.next_send_ms);
    }
    submissions
}

fn send_order(number: u64, entry: &entry::Entry) -> SendOrder {
    match entry {
        entry::Entry::Bill(_) => (Priority::Bill, number),
        _ => (Priority::Claim, number),
    }
}

/// Returns the shard that holds a claim.
#[must_use]
pub fn shard_of_claim(key: entry::ClaimKey, shard_count: u32) -> u32 {
    shard_of_hash(xxhash_rust::xxh3::xxh3_64(&key.0.to_le_bytes()), shard_count)
}

/// Returns the shard that holds the bills of a host; one shard for each host limits the number
/// of messages.
#[must_use]
pub fn shard_of_bills(host: identity::HostId, shard_count: u32) -> u32 {
    shard_of_hash(xxhash_rust::xxh3::xxh3_64(&host.0.to_le_bytes()), shard_count)
}

fn shard_of_hash(hash: u64, shard_count: u32) -> u32 {
    u32::try_from(hash % u64::from(shard_count.max(1))).unwrap_or(0)
}

/// Returns the approximate memory use of an entry in bytes.
fn entry_bytes(entry: &entry::Entry) -> usize {
    let payload_bytes = match entry {
        entry::Entry::Claim { .. } | entry::Entry::Release { .. } => 0,
        entry::Entry::Settle { response, .. } => {
            response.body.as_ref().map_or(0, |body| body.len())
        }
        entry::Entry::Bill(bill) => bill.organisation.len() + bill.item.len(),
    };
    size_of::<Pending>() + payload_bytes
}
