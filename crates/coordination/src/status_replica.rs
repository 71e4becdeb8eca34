//! Replica of the platform's status objects on every host.
//!
//! Each object carries its version in the platform, and a host accepts only higher versions,
//! so the replicas converge whatever the order of the messages. A few watchers in each data
//! centre watch the platform; all other hosts learn of changes from peers.

use std::collections;
use std::net;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::config_replica;
use crate::freshness;
use crate::platform;

/// Key prefix of the status objects.
pub const PREFIX: &str = "status/";
/// Maximum number of objects read by one call.
const LIST_LIMIT: u32 = 500;
/// Initial delay before a failed call is retried, in milliseconds.
const RETRY_MIN_MS: u64 = 200;
/// Maximum delay before a failed call is retried, in milliseconds; also the minimum interval
/// between two fetches of all objects from peers.
const RETRY_MAX_MS: u64 = 3_000;

/// Summary of a replica, which hosts compare to detect that their replicas differ.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Position {
    /// Highest object version.
    pub version: platform::Version,
    /// Order-independent digest of all keys and versions.
    pub digest: u64,
}

/// A message between hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Requests the objects with a version higher than `after`.
    Fetch {
        /// The version; zero requests all objects.
        after: platform::Version,
    },
    /// Status objects.
    Objects(Vec<platform::Object>),
}

/// An effect that the caller of [`StatusReplica`] must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a message to one host.
    Send {
        /// Address of the host.
        to: net::SocketAddr,
        /// The message.
        message: Message,
    },
    /// Push a message to a few random hosts.
    Gossip(Message),
    /// Call the platform; the reply goes to [`StatusReplica::handle_reply`].
    Call(platform::Call),
    /// Status objects changed.
    Changed(Vec<platform::Object>),
    /// The platform confirmed that the replica is up to date.
    Confirmed {
        /// When the confirming call was sent, in milliseconds.
        sent_ms: u64,
    },
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Stage {
    /// Lists the objects after this key.
    List { after: String },
    /// All objects are listed; only changes are read.
    Watch,
}

/// The copy of the status objects on this host.
#[derive(Debug)]
pub struct StatusReplica {
    objects: collections::BTreeMap<Arc<str>, platform::Object>,
    position: Position,
    stage: Stage,
    /// Version of the store after which the next watch call reports changes.
    watch_after: platform::Version,
    call_sent_ms: Option<u64>,
    next_call_ms: u64,
    retry_delay_ms: u64,
    last_full_fetch_ms: u64,
}

impl StatusReplica {
    /// Creates an empty replica.
    #[must_use]
    pub fn new(now_ms: u64) -> Self {
        Self {
            objects: collections::BTreeMap::new(),
            position: Position::default(),
            stage: Stage::List { after: String::new() },
            watch_after: 0,
            call_sent_ms: None,
            next_call_ms: now_ms,
            retry_delay_ms: RETRY_MIN_MS,
            last_full_fetch_ms: 0,
        }
    }

    /// Returns the summary of this replica.
    #[must_use]
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the objects whose key starts with `prefix`.
    pub fn with_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = &'a platform::Object> {
        self.objects
            .range(Arc::<str>::from(prefix)..)
            .take_while(move |(key, _)| key.starts_with(prefix))
            .map(|(_, object)| object)
    }

    /// Advances the time; `confirmation_age_ms` is the age of the last confirmation, if any.
    pub fn tick(
        &mut self,
        role: config_replica::Role,
        confirmation_age_ms: Option<u64>,
        now_ms: u64,
    ) -> Vec<Effect> {
        let is_stale =
            confirmation_age_ms.is_none_or(|age_ms| age_ms > freshness::FRESH_MAX_AGE_MS);
        let is_up_to_date_follower = role == config_replica::Role::Follower && !is_stale;
        let has_no_call_due = self.stage == Stage::Watch && is_up_to_date_follower;
        if self.call_sent_ms.is_some() || now_ms < self.next_call_ms || has_no_call_due {
            return Vec::new();
        }
        self.call_sent_ms = Some(now_ms);
        vec![Effect::Call(self.call(role))]
    }

    /// Handles the platform's reply to the pending call.
    pub fn handle_reply(&mut self, reply: platform::Reply, now_ms: u64) -> Vec<Effect> {
        let Some(sent_ms) = self.call_sent_ms.take() else {
            return Vec::new();
        };
        let platform::Reply::Listing { objects, version } = reply else {
            self.next_call_ms = now_ms + self.retry_delay_ms;
            self.retry_delay_ms = (self.retry_delay_ms * 2).min(RETRY_MAX_MS);
            return Vec::new();
        };
        self.retry_delay_ms = RETRY_MIN_MS;
        // Objects loaded at the start are already known to the peers and are not gossiped.
        let should_gossip = self.stage == Stage::Watch;
        self.advance_stage(&objects, version);
        let mut effects = self.merge_and_gossip(objects, should_gossip);
        if self.stage == Stage::Watch {
            effects.push(Effect::Confirmed { sent_ms });
        }
        effects
    }

    /// Handles a message from the host at `from`.
    pub fn receive(&mut self, from: net::SocketAddr, message: Message) -> Vec<Effect> {
        match message {
            Message::Fetch { after } => {
                let objects =
                    self.objects.values().filter(|o| o.version > after).cloned().collect();
                vec![Effect::Send { to: from, message: Message::Objects(objects) }]
            }
            Message::Objects(objects) => {
                let should_gossip = self.stage == Stage::Watch;
                self.merge_and_gossip(objects, should_gossip)
            }
        }
    }

    /// Compares this replica with a peer's position and fetches the missing objects.
    pub fn handle_peer_position(
        &mut self,
        from: net::SocketAddr,
        position: Position,
        now_ms: u64,
    ) -> Vec<Effect> {
        let after = if position.version > self.position.version {
            self.position.version
        } else if position.digest != self.position.digest
            && position.version == self.position.version
            && now_ms >= self.last_full_fetch_ms + RETRY_MAX_MS
        {
            self.last_full_fetch_ms = now_ms;
            0
        } else {
            return Vec::new();
        };
        vec![Effect::Send { to: from, message: Message::Fetch { after } }]
    }

    fn merge_and_gossip(
        &mut self,
        objects: Vec<platform::Object>,
        should_gossip: bool,
    ) -> Vec<Effect> {
        let changed = self.merge(objects);
        if changed.is_empty() {
            return Vec::new();
        }
        let gossip = should_gossip.then(|| Effect::Gossip(Message::Objects(changed.clone())));
        gossip.into_iter().chain([Effect::Changed(changed)]).collect()
    }

    fn call(&self, role: config_replica::Role) -> platform::Call {
        match &self.stage {
            Stage::List { after } => platform::Call::List {
                prefix: PREFIX.to_owned(),
                after: after.clone(),
                limit: LIST_LIMIT,
            },
            Stage::Watch => platform::Call::Watch {
                prefix: PREFIX.to_owned(),
                after: self.watch_after,
                wait_ms: match role {
                    config_replica::Role::Watcher => config_replica::WATCH_WAIT_MS,
                    config_replica::Role::Follower => 0,
                },
            },
        }
    }

    fn advance_stage(&mut self, objects: &[platform::Object], version: platform::Version) {
        match &self.stage {
            Stage::List { after } => {
                // The watch starts at the version of the first page, so that it reports changes
                // made while the remaining pages are read.
                if after.is_empty() {
                    self.watch_after = version;
                }
                self.stage = match objects.last() {
                    Some(last) if objects.len() >= LIST_LIMIT as usize => {
                        Stage::List { after: last.key.clone() }
                    }
                    _ => Stage::Watch,
                };
            }
            Stage::Watch => self.watch_after = version,
        }
    }

    fn merge(&mut self, objects: Vec<platform::Object>) -> Vec<platform::Object> {
        let mut changed = Vec::new();
        for object in objects {
            let known = self.objects.get(object.key.as_str()).map(|known| known.version);
            if known.is_some_and(|version| version >= object.version) {
                continue;
            }
            if let Some(version) = known {
                self.position.digest ^= object_digest(&object.key, version);
            }
            self.position.digest ^= object_digest(&object.key, object.version);
            self.position.version = self.position.version.max(object.version);
            self.objects.insert(Arc::from(object.key.as_str()), object.clone());
            changed.push(object);
        }
        changed
    }
}

fn object_digest(key: &str, version: platform::Version) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(key.as_bytes(), version)
}
