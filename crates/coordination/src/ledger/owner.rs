//! The owner of one shard, which appends submitted entries to the shard's log in batches.

use std::collections;
use std::mem;
use std::sync::Arc;

use crate::identity;
use crate::ledger::entry;
use crate::ledger::message;
use crate::ledger::queue;
use crate::ledger::state;
use crate::platform;

/// Minimum time between two writes with claims, for each shard of the ledger, in milliseconds.
///
/// The gap grows with the number of shards so that all shards together make at most 250 writes a
/// second.
pub const CLAIM_GAP_PER_SHARD_MS: u64 = 4;
/// Minimum time between two writes of bills alone, for each shard, in milliseconds.
pub const BILL_GAP_PER_SHARD_MS: u64 = 16;
/// Number of batches after which a checkpoint is written.
pub const CHECKPOINT_EVERY: u64 = 256;
/// Maximum size of a checkpoint object, in bytes.
pub const OBJECT_MAX_BYTES: usize = 1_000_000;
/// Maximum number of entries in one batch.
const BATCH_MAX: usize = 2_048;
/// Maximum number of batches read by one call.
const LIST_LIMIT: u32 = 128;
/// Initial delay before a failed call is retried, in milliseconds.
const RETRY_MIN_MS: u64 = 50;
/// Maximum delay before a failed call is retried, in milliseconds.
const RETRY_MAX_MS: u64 = 2_000;

/// An effect that the caller of [`Owner`] must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Call the platform; the reply goes to [`Owner::handle_reply`].
    Call(platform::Call),
    /// Send a host the outcomes of its submissions.
    Outcomes {
        /// The host.
        to: identity::HostId,
        /// The outcomes.
        outcomes: Vec<message::SubmissionOutcome>,
    },
    /// Another host created a batch that this host tried to create.
    WriteConflict,
    /// The state exceeds [`OBJECT_MAX_BYTES`], so no checkpoint was written.
    CheckpointTooLarge,
}

/// A batch that is being written to the platform.
#[derive(Debug)]
struct Write {
    value: Arc<[u8]>,
    batch: entry::Batch,
    queued: Vec<queue::QueuedEntry>,
}

#[derive(Debug)]
enum Phase {
    /// Is not the owner.
    Idle,
    /// Reads the checkpoint.
    ReadCheckpoint,
    /// Reads the batches after the checkpoint.
    ReadLog,
    /// Has read the log to its last known end.
    Ready,
    /// Creates the next batch; repeated until the result is definite.
    Writing(Write),
    /// The batch object exists already: reads it to find out who wrote it.
    ReadingBack(Write),
    /// Writes a checkpoint.
    Checkpointing,
}

/// A host's role in one shard: its owner or a candidate.
#[derive(Debug)]
pub struct Owner {
    local_id: identity::HostId,
    shard: u32,
    shard_count: u32,
    last_write_ms: Option<u64>,
    phase: Phase,
    is_assigned: bool,
    has_pending_call: bool,
    state: state::ShardState,
    checkpoint_version: Option<platform::Version>,
    checkpoint_next_sequence: u64,
    queue: queue::Queue,
    next_nonce: u64,
    next_call_ms: u64,
    retry_delay_ms: u64,
}

impl Owner {
    /// Creates a candidate for one of `shard_count` shards; `nonce` must be random.
    #[must_use]
    pub fn new(local_id: identity::HostId, shard: u32, shard_count: u32, nonce: u64) -> Self {
        Self {
            local_id,
            shard,
            shard_count,
            last_write_ms: None,
            phase: Phase::Idle,
            is_assigned: false,
            has_pending_call: false,
            state: state::ShardState::default(),
            checkpoint_version: None,
            checkpoint_next_sequence: 0,
            queue: queue::Queue::default(),
            next_nonce: nonce,
            next_call_ms: 0,
            retry_delay_ms: RETRY_MIN_MS,
        }
    }

    /// Sets whether this host is assigned to own the shard.
    pub fn set_assigned(&mut self, is_assigned: bool) {
        self.is_assigned = is_assigned;
        if is_assigned && matches!(self.phase, Phase::Idle) {
            // The state from an earlier ownership may be outdated, but is a prefix of the log.
            self.phase = Phase::ReadCheckpoint;
        }
    }

    /// Returns whether nothing is queued, being read or being written.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Idle | Phase::Ready) && self.queue.is_empty()
    }

    /// Returns whether the log of the shard has been read to its end.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        !matches!(self.phase, Phase::Idle | Phase::ReadCheckpoint | Phase::ReadLog)
    }

    /// Returns the state of the shard as of the last batch read or written.
    #[must_use]
    pub fn state(&self) -> &state::ShardState {
        &self.state
    }

    /// Accepts entries of a host. Entries that are not accepted get no outcome, so that the host
    /// resends them.
    pub fn submit(
        &mut self,
        from: identity::HostId,
        submissions: Vec<message::Submission>,
    ) -> Vec<Effect> {
        if !self.is_assigned {
            return Vec::new();
        }
        let mut outcomes = Vec::new();
        for submission in submissions {
            match self.known_outcome(&submission.entry) {
                Some(outcome) => {
                    outcomes
                        .push(message::SubmissionOutcome { number: submission.number, outcome });
                }
                None => self.queue.push(queue::QueuedEntry { from, submission }),
            }
        }
        outcomes_effect(from, outcomes)
    }

    /// Advances the time; `wall_s` is the wall-clock time in seconds since the Unix epoch.
    pub fn tick(&mut self, now_ms: u64, wall_s: u64) -> Vec<Effect> {
        if self.has_pending_call || now_ms < self.next_call_ms {
            return Vec::new();
        }
        let mut effects = Vec::new();
        if matches!(self.phase, Phase::Ready) {
            self.start_next_write(now_ms, wall_s, &mut effects);
        }
        if let Some(call) = self.next_call(&mut effects) {
            self.has_pending_call = true;
            effects.push(Effect::Call(call));
        }
        effects
    }

    /// Handles the platform's reply to the pending call.
    pub fn handle_reply(&mut self, reply: &platform::Reply, now_ms: u64) -> Vec<Effect> {
        self.has_pending_call = false;
        if matches!(reply, platform::Reply::Unknown) {
            self.next_call_ms = now_ms + self.retry_delay_ms;
            self.retry_delay_ms = (self.retry_delay_ms * 2).min(RETRY_MAX_MS);
            if matches!(self.phase, Phase::Checkpointing) {
                self.phase = Phase::Ready;
                self.checkpoint_version = None;
            }
            return Vec::new();
        }
        self.retry_delay_ms = RETRY_MIN_MS;
        match mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Idle => Vec::new(),
            Phase::ReadCheckpoint => self.handle_checkpoint(reply),
            Phase::ReadLog => self.handle_log(reply),
            Phase::Ready => self.enter(Phase::Ready),
            Phase::Writing(write) => self.handle_write_reply(write, reply, now_ms),
            Phase::ReadingBack(write) => self.handle_read_back(write, reply, now_ms),
            Phase::Checkpointing => self.handle_checkpoint_written(reply),
        }
    }

    fn enter(&mut self, phase: Phase) -> Vec<Effect> {
        self.phase = phase;
        Vec::new()
    }

    fn known_outcome(&self, entry: &entry::Entry) -> Option<entry::EntryOutcome> {
        if !self.is_loaded() {
            return None;
        }
        match self.state.evaluate(entry) {
            // A key that appears free or claimed may have changed since the last write of this
            // host, which only a write can verify. Outcomes that cannot change any more need none.
            state::Evaluation::Known(
                entry::EntryOutcome::Granted | entry::EntryOutcome::InProgress,
            )
            | state::Evaluation::Append(_) => None,
            state::Evaluation::Known(outcome) => Some(outcome),
        }
    }

    fn start_next_write(&mut self, now_ms: u64, wall_s: u64, effects: &mut Vec<Effect>) {
        if !self.is_assigned {
            self.queue.clear();
            self.phase = Phase::Idle;
            return;
        }
        if now_ms < self.next_write_ms() {
            return;
        }
        let queued = self.next_queued(effects);
        if !queued.is_empty() {
            self.phase = Phase::Writing(self.next_write(queued, wall_s));
        } else if self.state.next_sequence >= self.checkpoint_next_sequence + CHECKPOINT_EVERY {
            self.phase = Phase::Checkpointing;
        }
    }

    /// Returns when the next batch may be written; bills wait longer because they block no request.
    fn next_write_ms(&self) -> u64 {
        let Some(last_ms) = self.last_write_ms else { return 0 };
        let gap_ms =
            if self.queue.has_urgent() { CLAIM_GAP_PER_SHARD_MS } else { BILL_GAP_PER_SHARD_MS };
        last_ms + gap_ms * u64::from(self.shard_count)
    }

    /// Takes the entries of the next batch; entries that were resent may have an outcome already.
    fn next_queued(&mut self, effects: &mut Vec<Effect>) -> Vec<queue::QueuedEntry> {
        let mut queued = Vec::new();
        for next in self.queue.take(BATCH_MAX) {
            match self.known_outcome(&next.submission.entry) {
                Some(outcome) => {
                    let known =
                        message::SubmissionOutcome { number: next.submission.number, outcome };
                    effects.extend(outcomes_effect(next.from, vec![known]));
                }
                None => queued.push(next),
            }
        }
        queued
    }

    fn next_write(&mut self, queued: Vec<queue::QueuedEntry>, wall_s: u64) -> Write {
        let entries = queued.iter().map(|w| w.submission.entry.clone()).collect();
        let batch =
            entry::Batch { owner: self.local_id, nonce: self.next_nonce, at_s: wall_s, entries };
        self.next_nonce = self.next_nonce.wrapping_add(1);
        let value = postcard::to_stdvec(&batch).unwrap_or_default().into();
        Write { value, batch, queued }
    }

    fn next_call(&mut self, effects: &mut Vec<Effect>) -> Option<platform::Call> {
        match &self.phase {
            Phase::Idle | Phase::Ready => None,
            Phase::ReadCheckpoint => Some(platform::Call::Read { key: checkpoint_key(self.shard) }),
            Phase::ReadLog => Some(platform::Call::List {
                prefix: log_prefix(self.shard),
                after: self.last_key(),
                limit: LIST_LIMIT,
            }),
            Phase::Writing(write) => Some(platform::Call::Create {
                key: log_key(self.shard, self.state.next_sequence),
                value: Arc::clone(&write.value),
            }),
            Phase::ReadingBack(_) => {
                Some(platform::Call::Read { key: log_key(self.shard, self.state.next_sequence) })
            }
            Phase::Checkpointing => self.checkpoint_call(effects),
        }
    }

    fn checkpoint_call(&mut self, effects: &mut Vec<Effect>) -> Option<platform::Call> {
        let value: Arc<[u8]> = postcard::to_stdvec(&self.state).unwrap_or_default().into();
        self.checkpoint_next_sequence = self.state.next_sequence;
        if value.len() > OBJECT_MAX_BYTES {
            self.phase = Phase::Ready;
            effects.push(Effect::CheckpointTooLarge);
            return None;
        }
        let key = checkpoint_key(self.shard);
        Some(match self.checkpoint_version {
            Some(version) => platform::Call::Update { key, version, value },
            None => platform::Call::Create { key, value },
        })
    }

    fn handle_checkpoint(&mut self, reply: &platform::Reply) -> Vec<Effect> {
        if let platform::Reply::Found(object) = reply
            && let Ok(state) = postcard::from_bytes::<state::ShardState>(&object.value)
        {
            self.checkpoint_version = Some(object.version);
            self.checkpoint_next_sequence = state.next_sequence;
            // The local state may be ahead of the checkpoint; both are prefixes of the same log.
            if state.next_sequence > self.state.next_sequence {
                self.state = state;
            }
        }
        self.enter(Phase::ReadLog)
    }

    fn handle_log(&mut self, reply: &platform::Reply) -> Vec<Effect> {
        let platform::Reply::Listing { objects, .. } = reply else {
            return self.enter(Phase::ReadLog);
        };
        for object in objects {
            // A batch is missing from the log, so loading starts again with the checkpoint.
            if object.key != log_key(self.shard, self.state.next_sequence) {
                return self.enter(Phase::ReadCheckpoint);
            }
            self.apply_stored_batch(&object.value);
        }
        let is_end = objects.len() < LIST_LIMIT as usize;
        let phase = if is_end { Phase::Ready } else { Phase::ReadLog };
        self.enter(phase)
    }

    fn handle_write_reply(
        &mut self,
        write: Write,
        reply: &platform::Reply,
        now_ms: u64,
    ) -> Vec<Effect> {
        match reply {
            platform::Reply::Written { .. } => self.finish_write(write, now_ms),
            platform::Reply::Conflict => self.enter(Phase::ReadingBack(write)),
            _ => self.enter(Phase::Writing(write)),
        }
    }

    fn handle_read_back(
        &mut self,
        write: Write,
        reply: &platform::Reply,
        now_ms: u64,
    ) -> Vec<Effect> {
        match reply {
            platform::Reply::Found(object) if object.value == write.value => {
                self.finish_write(write, now_ms)
            }
            platform::Reply::Found(object) => {
                self.apply_stored_batch(&object.value);
                self.queue.requeue(write.queued);
                // The other writer may have written more batches: reads the log before the retry.
                self.phase = Phase::ReadLog;
                vec![Effect::WriteConflict]
            }
            _ => self.enter(Phase::Writing(write)),
        }
    }

    fn handle_checkpoint_written(&mut self, reply: &platform::Reply) -> Vec<Effect> {
        self.checkpoint_version = match reply {
            platform::Reply::Written { version } => Some(*version),
            // Another host wrote the checkpoint; its version is read at the next load.
            _ => self.checkpoint_version,
        };
        self.enter(Phase::Ready)
    }

    fn finish_write(&mut self, write: Write, now_ms: u64) -> Vec<Effect> {
        let mut by_host: collections::BTreeMap<identity::HostId, Vec<message::SubmissionOutcome>> =
            collections::BTreeMap::new();
        // Outcomes are computed in log order, so that any reader of the log gets the same ones.
        let outcomes_in_order = self.state.apply(&write.batch);
        for (queued, outcome) in write.queued.into_iter().zip(outcomes_in_order) {
            let number = queued.submission.number;
            by_host
                .entry(queued.from)
                .or_default()
                .push(message::SubmissionOutcome { number, outcome });
        }
        self.last_write_ms = Some(now_ms);
        self.phase = Phase::Ready;
        by_host.into_iter().flat_map(|(host, outcomes)| outcomes_effect(host, outcomes)).collect()
    }

    /// Applies a batch from the log; one that cannot be decoded counts as empty.
    fn apply_stored_batch(&mut self, value: &[u8]) {
        let empty =
            || entry::Batch { owner: identity::HostId(0), nonce: 0, at_s: 0, entries: Vec::new() };
        let batch = postcard::from_bytes(value).unwrap_or_else(|_| empty());
        self.state.apply(&batch);
    }

    fn last_key(&self) -> String {
        match self.state.next_sequence.checked_sub(1) {
            Some(last) => log_key(self.shard, last),
            None => log_prefix(self.shard),
        }
    }
}

fn outcomes_effect(to: identity::HostId, outcomes: Vec<message::SubmissionOutcome>) -> Vec<Effect> {
    if outcomes.is_empty() { Vec::new() } else { vec![Effect::Outcomes { to, outcomes }] }
}

/// Returns the key prefix of the batches of a shard.
#[must_use]
pub fn log_prefix(shard: u32) -> String {
    format!("ledger/{shard:04}/log/")
}

/// Returns the key of one batch.
#[must_use]
pub fn log_key(shard: u32, sequence: u64) -> String {
    format!("{}{sequence:016}", log_prefix(shard))
}

/// Returns the key of the checkpoint of a shard.
#[must_use]
pub fn checkpoint_key(shard: u32) -> String {
    format!("ledger/{shard:04}/checkpoint")
}
