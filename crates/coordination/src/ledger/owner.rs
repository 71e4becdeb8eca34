//! The owner of one shard: batches entries and appends them to the shard's log.

use std::collections;
use std::mem;
use std::sync::Arc;

use crate::identity;
use crate::ledger::entry;
use crate::ledger::message;
use crate::ledger::queue;
use crate::ledger::state;
use crate::platform;

/// Shortest time between two writes with claims, for each shard of the ledger, in milliseconds.
///
/// The gap grows with the shards, so that all of them together stay under 250 writes a second.
pub const CLAIM_GAP_PER_SHARD_MS: u64 = 4;
/// Shortest time between two writes with bills alone, for each shard, in milliseconds.
pub const BILL_GAP_PER_SHARD_MS: u64 = 16;
/// Batches after which a checkpoint is written.
pub const CHECKPOINT_EVERY: u64 = 256;
/// Largest object that is written, in bytes.
pub const OBJECT_MAX_BYTES: usize = 1_000_000;
/// Most entries in one batch.
const BATCH_MAX: usize = 2_048;
/// Most batches read by one call.
const LIST_LIMIT: u32 = 128;
/// First pause after a call without an answer, in milliseconds.
const RETRY_MIN_MS: u64 = 50;
/// Longest pause after a call without an answer, in milliseconds.
const RETRY_MAX_MS: u64 = 2_000;

/// What the caller of [`Owner`] is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Ask the platform; the reply goes to [`Owner::reply`].
    Call(platform::Call),
    /// Tell a host what became of its entries.
    Verdicts {
        /// The host.
        to: identity::HostId,
        /// The verdicts.
        decided: Vec<message::Decided>,
    },
    /// Another host wrote to the shard as well; it lost or won a create.
    Raced,
    /// The state has grown too large for one object, so no checkpoint is written.
    CheckpointTooLarge,
}

/// A batch on its way to the platform.
#[derive(Debug)]
struct Write {
    value: Arc<[u8]>,
    batch: entry::Batch,
    waiting: Vec<queue::Waiting>,
}

#[derive(Debug)]
enum Phase {
    /// Not the owner.
    Idle,
    /// Reads the checkpoint.
    ReadCheckpoint,
    /// Reads the batches after the checkpoint.
    ReadLog,
    /// Up to date, as far as known.
    Ready,
    /// Creates the next batch; repeated until the answer is definite.
    Writing(Write),
    /// The create met an object: reads it to see whose it is.
    ReadingBack(Write),
    /// Writes a checkpoint.
    Checkpointing,
}

/// The owner of one shard, or a host that may become it.
#[derive(Debug)]
pub struct Owner {
    me: identity::HostId,
    shard: u32,
    shards: u32,
    last_write_ms: Option<u64>,
    phase: Phase,
    is_wanted: bool,
    is_asked: bool,
    state: state::ShardState,
    checkpoint_version: Option<platform::Version>,
    checkpoint_next: u64,
    queue: queue::Queue,
    next_nonce: u64,
    next_call_ms: u64,
    retry_ms: u64,
}

impl Owner {
    /// A host's part in one of `shards` shards, not the owner yet; `nonce` must be random.
    #[must_use]
    pub fn new(me: identity::HostId, shard: u32, shards: u32, nonce: u64) -> Self {
        Self {
            me,
            shard,
            shards,
            last_write_ms: None,
            phase: Phase::Idle,
            is_wanted: false,
            is_asked: false,
            state: state::ShardState::default(),
            checkpoint_version: None,
            checkpoint_next: 0,
            queue: queue::Queue::default(),
            next_nonce: nonce,
            next_call_ms: 0,
            retry_ms: RETRY_MIN_MS,
        }
    }

    /// Says whether this host should own the shard.
    pub fn set_wanted(&mut self, is_wanted: bool) {
        self.is_wanted = is_wanted;
        if is_wanted && matches!(self.phase, Phase::Idle) {
            // What was known when the shard was last owned may be old, but is a prefix.
            self.phase = Phase::ReadCheckpoint;
        }
    }

    /// Whether the shard is owned and nothing waits or is being written.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Idle | Phase::Ready) && self.queue.is_empty()
    }

    /// Whether the shard's log has been read to its end.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        !matches!(self.phase, Phase::Idle | Phase::ReadCheckpoint | Phase::ReadLog)
    }

    /// The state that the log adds up to, as far as read.
    #[must_use]
    pub fn state(&self) -> &state::ShardState {
        &self.state
    }

    /// Takes entries of a host; those that are not taken up get no verdict and come again.
    pub fn submit(
        &mut self,
        from: identity::HostId,
        submissions: Vec<message::Submission>,
    ) -> Vec<Effect> {
        if !self.is_wanted {
            return Vec::new();
        }
        let mut decided = Vec::new();
        for submission in submissions {
            match self.known_verdict(&submission.entry) {
                Some(verdict) => {
                    decided.push(message::Decided { number: submission.number, verdict });
                }
                None => self.queue.push(queue::Waiting { from, submission }),
            }
        }
        verdicts(from, decided)
    }

    /// Moves time on.
    pub fn tick(&mut self, now_ms: u64, wall_s: u64) -> Vec<Effect> {
        if self.is_asked || now_ms < self.next_call_ms {
            return Vec::new();
        }
        let mut effects = Vec::new();
        if matches!(self.phase, Phase::Ready) {
            self.leave_ready(now_ms, wall_s, &mut effects);
        }
        if let Some(call) = self.next_call(&mut effects) {
            self.is_asked = true;
            effects.push(Effect::Call(call));
        }
        effects
    }

    /// Takes the platform's reply to the call in flight.
    pub fn reply(&mut self, reply: &platform::Reply, now_ms: u64) -> Vec<Effect> {
        self.is_asked = false;
        if matches!(reply, platform::Reply::Unknown) {
            self.next_call_ms = now_ms + self.retry_ms;
            self.retry_ms = (self.retry_ms * 2).min(RETRY_MAX_MS);
            if matches!(self.phase, Phase::Checkpointing) {
                self.phase = Phase::Ready;
                self.checkpoint_version = None;
            }
            return Vec::new();
        }
        self.retry_ms = RETRY_MIN_MS;
        match mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Idle => Vec::new(),
            Phase::ReadCheckpoint => self.take_checkpoint(reply),
            Phase::ReadLog => self.take_log(reply),
            Phase::Ready => self.stay(Phase::Ready),
            Phase::Writing(write) => self.take_written(write, reply, now_ms),
            Phase::ReadingBack(write) => self.take_read_back(write, reply, now_ms),
            Phase::Checkpointing => self.take_checkpointed(reply),
        }
    }

    fn stay(&mut self, phase: Phase) -> Vec<Effect> {
        self.phase = phase;
        Vec::new()
    }

    fn known_verdict(&self, entry: &entry::Entry) -> Option<entry::Verdict> {
        if !self.is_loaded() {
            return None;
        }
        match self.state.judge(entry) {
            // A claim seen as free or held may have changed since this host last wrote, and only
            // a write tells; what can never change again is said without one.
            state::Judgement::Known(entry::Verdict::Granted | entry::Verdict::InProgress)
            | state::Judgement::Append(_) => None,
            state::Judgement::Known(verdict) => Some(verdict),
        }
    }

    fn leave_ready(&mut self, now_ms: u64, wall_s: u64, effects: &mut Vec<Effect>) {
        if !self.is_wanted {
            self.queue.clear();
            self.phase = Phase::Idle;
            return;
        }
        if now_ms < self.next_write_ms() {
            return;
        }
        let waiting = self.next_waiting(effects);
        if !waiting.is_empty() {
            self.phase = Phase::Writing(self.next_write(waiting, wall_s));
        } else if self.state.next >= self.checkpoint_next + CHECKPOINT_EVERY {
            self.phase = Phase::Checkpointing;
        }
    }

    /// When the next batch may be written: claims hold requests up, bills can wait.
    fn next_write_ms(&self) -> u64 {
        let Some(last_ms) = self.last_write_ms else { return 0 };
        let gap_ms =
            if self.queue.has_urgent() { CLAIM_GAP_PER_SHARD_MS } else { BILL_GAP_PER_SHARD_MS };
        last_ms + gap_ms * u64::from(self.shards)
    }

    /// Takes entries for the next batch; those sent again meanwhile have their verdict already.
    fn next_waiting(&mut self, effects: &mut Vec<Effect>) -> Vec<queue::Waiting> {
        let mut waiting = Vec::new();
        for next in self.queue.take(BATCH_MAX) {
            match self.known_verdict(&next.submission.entry) {
                Some(verdict) => {
                    let decided = message::Decided { number: next.submission.number, verdict };
                    effects.extend(verdicts(next.from, vec![decided]));
                }
                None => waiting.push(next),
            }
        }
        waiting
    }

    fn next_write(&mut self, waiting: Vec<queue::Waiting>, wall_s: u64) -> Write {
        let entries = waiting.iter().map(|w| w.submission.entry.clone()).collect();
        let batch = entry::Batch { owner: self.me, nonce: self.next_nonce, at_s: wall_s, entries };
        self.next_nonce = self.next_nonce.wrapping_add(1);
        let value = postcard::to_stdvec(&batch).unwrap_or_default().into();
        Write { value, batch, waiting }
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
                key: log_key(self.shard, self.state.next),
                value: Arc::clone(&write.value),
            }),
            Phase::ReadingBack(_) => {
                Some(platform::Call::Read { key: log_key(self.shard, self.state.next) })
            }
            Phase::Checkpointing => self.checkpoint_call(effects),
        }
    }

    fn checkpoint_call(&mut self, effects: &mut Vec<Effect>) -> Option<platform::Call> {
        let value: Arc<[u8]> = postcard::to_stdvec(&self.state).unwrap_or_default().into();
        self.checkpoint_next = self.state.next;
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

    fn take_checkpoint(&mut self, reply: &platform::Reply) -> Vec<Effect> {
        if let platform::Reply::Found(object) = reply
            && let Ok(state) = postcard::from_bytes::<state::ShardState>(&object.value)
        {
            self.checkpoint_version = Some(object.version);
            self.checkpoint_next = state.next;
            // One's own state may be ahead of the checkpoint; both are prefixes of one log.
            if state.next > self.state.next {
                self.state = state;
            }
        }
        self.stay(Phase::ReadLog)
    }

    fn take_log(&mut self, reply: &platform::Reply) -> Vec<Effect> {
        let platform::Reply::Listing { objects, .. } = reply else {
            return self.stay(Phase::ReadLog);
        };
        for object in objects {
            if object.key != log_key(self.shard, self.state.next) {
                return self.stay(Phase::ReadCheckpoint);
            }
            self.apply_foreign(&object.value);
        }
        let is_end = objects.len() < LIST_LIMIT as usize;
        let phase = if is_end { Phase::Ready } else { Phase::ReadLog };
        self.stay(phase)
    }

    fn take_written(&mut self, write: Write, reply: &platform::Reply, now_ms: u64) -> Vec<Effect> {
        match reply {
            platform::Reply::Written { .. } => self.finish_write(write, now_ms),
            platform::Reply::Conflict => self.stay(Phase::ReadingBack(write)),
            _ => self.stay(Phase::Writing(write)),
        }
    }

    fn take_read_back(
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
                self.apply_foreign(&object.value);
                self.queue.put_back(write.waiting);
                // Whoever wrote may have written more: read on before trying again.
                self.phase = Phase::ReadLog;
                vec![Effect::Raced]
            }
            _ => self.stay(Phase::Writing(write)),
        }
    }

    fn take_checkpointed(&mut self, reply: &platform::Reply) -> Vec<Effect> {
        self.checkpoint_version = match reply {
            platform::Reply::Written { version } => Some(*version),
            // Somebody else wrote it; the version is learnt at the next load.
            _ => self.checkpoint_version,
        };
        self.stay(Phase::Ready)
    }

    fn finish_write(&mut self, write: Write, now_ms: u64) -> Vec<Effect> {
        let mut by_host: collections::BTreeMap<identity::HostId, Vec<message::Decided>> =
            collections::BTreeMap::new();
        // Verdicts follow the log's order, as any reader of the log would judge.
        let verdicts_in_order = self.state.apply(&write.batch);
        for (waiting, verdict) in write.waiting.into_iter().zip(verdicts_in_order) {
            let number = waiting.submission.number;
            by_host.entry(waiting.from).or_default().push(message::Decided { number, verdict });
        }
        self.last_write_ms = Some(now_ms);
        self.phase = Phase::Ready;
        by_host.into_iter().flat_map(|(host, decided)| verdicts(host, decided)).collect()
    }

    fn apply_foreign(&mut self, value: &[u8]) {
        let empty =
            || entry::Batch { owner: identity::HostId(0), nonce: 0, at_s: 0, entries: Vec::new() };
        let batch = postcard::from_bytes(value).unwrap_or_else(|_| empty());
        self.state.apply(&batch);
    }

    fn last_key(&self) -> String {
        match self.state.next.checked_sub(1) {
            Some(last) => log_key(self.shard, last),
            None => log_prefix(self.shard),
        }
    }
}

fn verdicts(to: identity::HostId, decided: Vec<message::Decided>) -> Vec<Effect> {
    if decided.is_empty() { Vec::new() } else { vec![Effect::Verdicts { to, decided }] }
}

/// Prefix of the batches of a shard.
#[must_use]
pub fn log_prefix(shard: u32) -> String {
    format!("ledger/{shard:04}/log/")
}

/// Key of one batch.
#[must_use]
pub fn log_key(shard: u32, sequence: u64) -> String {
    format!("{}{sequence:016}", log_prefix(shard))
}

/// Key of a shard's checkpoint.
#[must_use]
pub fn checkpoint_key(shard: u32) -> String {
    format!("ledger/{shard:04}/checkpoint")
}
