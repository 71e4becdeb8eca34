//! Replica of the configuration, whose changes are committed to the platform and gossiped.
//!
//! Change `n` is the object `config/log/n`, created only if absent. That conditional create
//! commits the change, and the object also serves as the audit entry. A host only advances to
//! higher revisions, so its configuration never reverts.

use std::collections;
use std::net;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::freshness;
use crate::parts;
use crate::platform;

/// Key prefix of the objects that hold the changes.
pub const LOG_PREFIX: &str = "config/log/";
/// Key of the object that holds a snapshot of the configuration at some revision.
pub const SNAPSHOT_KEY: &str = "config/snapshot";
/// Maximum time for which a watch call waits, in milliseconds.
pub const WATCH_WAIT_MS: u64 = 2_000;
/// Number of hosts to which each host pushes a change that is new to it.
pub const FANOUT: usize = 4;
/// Number of peers that must answer before a starting host is ready without the platform.
pub const STARTUP_PEERS_MIN: usize = 3;
/// Maximum number of recent changes retained to bring peers up to date.
const HISTORY_MAX: usize = 256;
/// Maximum number of changes read by one call.
const LIST_LIMIT: u32 = 256;
/// Initial delay before a failed call is retried, in milliseconds.
const RETRY_MIN_MS: u64 = 200;
/// Maximum delay before a failed call is retried, in milliseconds.
const RETRY_MAX_MS: u64 = 3_000;

/// A committed change; stored as JSON so that the audit log is human-readable.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Change {
    /// The revision that the change produces from the preceding revision.
    pub revision: u64,
    /// Author of the change.
    pub author: Arc<str>,
    /// Reason given by the author.
    pub reason: Arc<str>,
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Distinguishes a writer's own object from that of a concurrent writer.
    pub nonce: u64,
    /// The changed and removed parts.
    pub difference: parts::Difference,
    /// Digest of all parts after the change.
    pub digest: u64,
}

/// The full configuration at a revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    /// The revision.
    pub revision: u64,
    /// The parts of the configuration.
    pub parts: parts::Parts,
}

/// A message between hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Requests the changes after a revision.
    Fetch {
        /// The latest revision known to the sender.
        known_revision: u64,
    },
    /// Changes in revision order; empty if the receiver is up to date.
    Changes(Vec<Change>),
    /// The full configuration, if the retained changes do not reach back far enough.
    Snapshot(Snapshot),
}

/// An effect that the caller of [`ConfigReplica`] must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a message to one host.
    Send {
        /// Address of the host.
        to: net::SocketAddr,
        /// The message.
        message: Message,
    },
    /// Push a message to [`FANOUT`] random hosts.
    Gossip(Message),
    /// Call the platform; the reply goes to [`ConfigReplica::handle_reply`].
    Call(platform::Call),
    /// The platform confirmed that the local revision is the latest.
    Confirmed {
        /// When the confirming call was sent, in milliseconds.
        sent_ms: u64,
    },
    /// A later revision took effect on this host.
    Advanced {
        /// The revision.
        revision: u64,
    },
    /// A change did not apply and was discarded; the configuration is fetched again.
    Mismatch {
        /// The revision of the change, or zero if the platform's snapshot is malformed.
        revision: u64,
    },
}

/// How a host learns of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It watches the platform on behalf of its data centre.
    Watcher,
    /// It learns from peers and calls the platform only if its last confirmation is too old.
    Follower,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Reads the snapshot.
    Snapshot,
    /// Reads the changes after the local revision.
    Log,
    /// Has read all changes; a watcher now watches for more.
    CaughtUp,
}

#[derive(Debug)]
struct PendingCall {
    sent_ms: u64,
    kind: CallKind,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallKind {
    Snapshot,
    Log,
    Watch,
}

/// The copy of the configuration on this host.
#[derive(Debug)]
pub struct ConfigReplica {
    snapshot: Snapshot,
    digest: u64,
    history: collections::VecDeque<Change>,
    stage: Stage,
    /// Version of the store after which the next watch call reports changes.
    watch_after: platform::Version,
    pending_call: Option<PendingCall>,
    next_call_ms: u64,
    retry_delay_ms: u64,
    answered_peers: collections::BTreeSet<net::SocketAddr>,
    is_ready: bool,
}

impl ConfigReplica {
    /// Creates an empty replica.
    #[must_use]
    pub fn new(now_ms: u64) -> Self {
        Self {
            snapshot: Snapshot::default(),
            digest: parts::Parts::default().digest(),
            history: collections::VecDeque::new(),
            stage: Stage::Snapshot,
            watch_after: 0,
            pending_call: None,
            next_call_ms: now_ms,
            retry_delay_ms: RETRY_MIN_MS,
            answered_peers: collections::BTreeSet::new(),
            is_ready: false,
        }
    }

    /// Returns the revision in force on this host.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.snapshot.revision
    }

    /// Returns the configuration in force on this host.
    #[must_use]
    pub fn parts(&self) -> &parts::Parts {
        &self.snapshot.parts
    }

    /// Returns the digest of the configuration in force on this host.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns whether the platform or enough peers have reported the current configuration.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Advances the time; `confirmation_age_ms` is the age of the last confirmation, if any.
    pub fn tick(
        &mut self,
        role: Role,
        confirmation_age_ms: Option<u64>,
        now_ms: u64,
    ) -> Vec<Effect> {
        if self.pending_call.is_some() || now_ms < self.next_call_ms {
            return Vec::new();
        }
        let is_stale =
            confirmation_age_ms.is_none_or(|age_ms| age_ms > freshness::FRESH_MAX_AGE_MS);
        let kind = match (self.stage, role) {
            (Stage::Snapshot, _) => CallKind::Snapshot,
            (Stage::Log, _) => CallKind::Log,
            (Stage::CaughtUp, Role::Watcher) => CallKind::Watch,
            (Stage::CaughtUp, Role::Follower) if is_stale => CallKind::Log,
            (Stage::CaughtUp, Role::Follower) => return Vec::new(),
        };
        self.pending_call = Some(PendingCall { sent_ms: now_ms, kind });
        vec![Effect::Call(self.call(kind))]
    }

    /// Handles the platform's reply to the pending call.
    pub fn handle_reply(&mut self, reply: platform::Reply, now_ms: u64) -> Vec<Effect> {
        let Some(pending_call) = self.pending_call.take() else {
            return Vec::new();
        };
        match (pending_call.kind, reply) {
            (CallKind::Snapshot, platform::Reply::Found(object)) => {
                self.stage = Stage::Log;
                match parse_snapshot(&object.value) {
                    Some(snapshot) => self.apply_snapshot(snapshot),
                    None => vec![Effect::Mismatch { revision: 0 }],
                }
            }
            (CallKind::Snapshot, platform::Reply::Absent) => {
                self.stage = Stage::Log;
                Vec::new()
            }
            (CallKind::Log | CallKind::Watch, platform::Reply::Listing { objects, version }) => {
                self.retry_delay_ms = RETRY_MIN_MS;
                self.apply_listing(&objects, version, pending_call.sent_ms, now_ms)
            }
            _ => {
                self.next_call_ms = now_ms + self.retry_delay_ms;
                self.retry_delay_ms = (self.retry_delay_ms * 2).min(RETRY_MAX_MS);
                Vec::new()
            }
        }
    }

    /// Handles a message from the host at `from`; `others` counts the other live members.
    pub fn receive(
        &mut self,
        from: net::SocketAddr,
        message: Message,
        others: usize,
    ) -> Vec<Effect> {
        match message {
            Message::Fetch { known_revision } => {
                vec![Effect::Send { to: from, message: self.changes_message(known_revision) }]
            }
            Message::Changes(changes) => {
                self.record_peer_answer(from, others);
                let effects = self.apply_changes(changes);
                self.fetch_after_mismatch(from, effects)
            }
            Message::Snapshot(snapshot) => {
                self.record_peer_answer(from, others);
                self.apply_snapshot(snapshot)
            }
        }
    }

    /// Fetches changes from a peer that announced a later revision, or while this host is starting.
    #[must_use]
    pub fn handle_peer_revision(&self, from: net::SocketAddr, revision: u64) -> Vec<Effect> {
        let is_behind = revision > self.snapshot.revision;
        let is_starting = !self.is_ready && !self.answered_peers.contains(&from);
        if is_behind || is_starting {
            let message = Message::Fetch { known_revision: self.snapshot.revision };
            return vec![Effect::Send { to: from, message }];
        }
        Vec::new()
    }

    fn call(&self, kind: CallKind) -> platform::Call {
        match kind {
            CallKind::Snapshot => platform::Call::Read { key: SNAPSHOT_KEY.to_owned() },
            CallKind::Log => platform::Call::List {
                prefix: LOG_PREFIX.to_owned(),
                after: log_key(self.snapshot.revision),
                limit: LIST_LIMIT,
            },
            CallKind::Watch => platform::Call::Watch {
                prefix: LOG_PREFIX.to_owned(),
                after: self.watch_after,
                wait_ms: WATCH_WAIT_MS,
            },
        }
    }

    fn apply_listing(
        &mut self,
        objects: &[platform::Object],
        version: platform::Version,
        sent_ms: u64,
        now_ms: u64,
    ) -> Vec<Effect> {
        let changes: Vec<Change> = objects
            .iter()
            .filter_map(|object| serde_json::from_slice(&object.value).ok())
            .collect();
        let is_complete = changes.len() == objects.len();
        let mut effects = self.apply_changes(changes);
        let has_mismatch = effects.iter().any(|e| matches!(e, Effect::Mismatch { .. }));
        if has_mismatch || !is_complete {
            self.stage = Stage::Snapshot;
            self.next_call_ms = now_ms + self.retry_delay_ms;
            return effects;
        }
        if objects.len() < LIST_LIMIT as usize {
            self.stage = Stage::CaughtUp;
            self.watch_after = version;
            self.is_ready = true;
            effects.push(Effect::Confirmed { sent_ms });
        }
        effects
    }

    fn apply_changes(&mut self, changes: Vec<Change>) -> Vec<Effect> {
        let mut applied = Vec::new();
        for change in changes {
            if change.revision <= self.snapshot.revision {
                continue;
            }
            if !self.apply_change(&change) {
                return vec![Effect::Mismatch { revision: change.revision }];
            }
            applied.push(change);
        }
        if applied.is_empty() {
            return Vec::new();
        }
        vec![
            Effect::Advanced { revision: self.snapshot.revision },
            Effect::Gossip(Message::Changes(applied)),
        ]
    }

    /// Applies the next change; returns false if the revision or the digest does not match.
    fn apply_change(&mut self, change: &Change) -> bool {
        if change.revision != self.snapshot.revision + 1 {
            return false;
        }
        let mut parts = self.snapshot.parts.clone();
        parts.apply(&change.difference);
        if parts.digest() != change.digest {
            return false;
        }
        self.snapshot = Snapshot { revision: change.revision, parts };
        self.digest = change.digest;
        self.history.push_back(change.clone());
        if self.history.len() > HISTORY_MAX {
            self.history.pop_front();
        }
        true
    }

    fn apply_snapshot(&mut self, snapshot: Snapshot) -> Vec<Effect> {
        if snapshot.revision <= self.snapshot.revision {
            return Vec::new();
        }
        self.digest = snapshot.parts.digest();
        self.history.clear();
        let revision = snapshot.revision;
        self.snapshot = snapshot;
        vec![Effect::Advanced { revision }]
    }

    fn changes_message(&self, known_revision: u64) -> Message {
        if known_revision >= self.snapshot.revision {
            return Message::Changes(Vec::new());
        }
        let reaches_back =
            self.history.front().is_some_and(|first| first.revision <= known_revision + 1);
        if reaches_back {
            let later = self.history.iter().filter(|change| change.revision > known_revision);
            return Message::Changes(later.cloned().collect());
        }
        Message::Snapshot(self.snapshot.clone())
    }

    fn fetch_after_mismatch(&self, from: net::SocketAddr, effects: Vec<Effect>) -> Vec<Effect> {
        let mut effects = effects;
        if effects.iter().any(|effect| matches!(effect, Effect::Mismatch { .. })) {
            let message = Message::Fetch { known_revision: self.snapshot.revision };
            effects.push(Effect::Send { to: from, message });
        }
        effects
    }

    fn record_peer_answer(&mut self, from: net::SocketAddr, others: usize) {
        self.answered_peers.insert(from);
        if self.answered_peers.len() >= STARTUP_PEERS_MIN.min(others.max(1)) {
            self.is_ready = true;
        }
    }
}

/// Returns the key of the object that holds the change to `revision`.
#[must_use]
pub fn log_key(revision: u64) -> String {
    format!("{LOG_PREFIX}{revision:016}")
}

fn parse_snapshot(value: &[u8]) -> Option<Snapshot> {
    serde_json::from_slice(value).ok()
}
