//! A fake of the platform's object store.

use std::collections;
use std::sync::Arc;

use rand::RngExt as _;
use toucanwall_coordination::platform;
use toucanwall_core::action;
use toucanwall_core::event;

use super::Simulation;
use super::Task;

/// The stored objects, and how long the injected faults last.
#[derive(Debug, Default)]
pub struct FakePlatform {
    version: u64,
    objects: collections::BTreeMap<String, (u64, Arc<[u8]>)>,
    pub outage_until_ms: u64,
    pub reply_loss_until_ms: u64,
}

impl FakePlatform {
    /// Stores an object unconditionally.
    pub fn put(&mut self, key: &str, value: Arc<[u8]>) {
        self.version += 1;
        self.objects.insert(key.to_owned(), (self.version, value));
    }

    /// Returns the objects whose key starts with `prefix`.
    pub fn objects_with_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = platform::Object> + 'a {
        self.objects
            .range(prefix.to_owned()..)
            .take_while(move |(key, _)| key.starts_with(prefix))
            .map(|(key, (version, value))| platform::Object {
                key: key.clone(),
                version: *version,
                value: Arc::clone(value),
            })
    }

    /// Executes a call; a watch returns at once, also without objects.
    pub fn execute(&mut self, call: &platform::Call) -> platform::Reply {
        match call {
            platform::Call::Create { key, value } => {
                if self.objects.contains_key(key) {
                    return platform::Reply::Conflict;
                }
                self.put(key, Arc::clone(value));
                platform::Reply::Written { version: self.version }
            }
            platform::Call::Update { key, version, value } => {
                if self.objects.get(key).is_none_or(|(current, _)| current != version) {
                    return platform::Reply::Conflict;
                }
                self.put(key, Arc::clone(value));
                platform::Reply::Written { version: self.version }
            }
            platform::Call::Read { key } => match self.objects.get(key) {
                Some((version, value)) => platform::Reply::Found(platform::Object {
                    key: key.clone(),
                    version: *version,
                    value: Arc::clone(value),
                }),
                None => platform::Reply::Absent,
            },
            platform::Call::List { prefix, after, limit } => {
                let objects = self.objects_with_prefix(prefix).filter(|object| object.key > *after);
                let objects = objects.take(*limit as usize).collect();
                platform::Reply::Listing { objects, version: self.version }
            }
            platform::Call::Watch { prefix, after, .. } => {
                let objects = self
                    .objects_with_prefix(prefix)
                    .filter(|object| object.version > *after)
                    .collect();
                platform::Reply::Listing { objects, version: self.version }
            }
        }
    }
}

impl Simulation {
    pub(super) fn make_call(
        &mut self,
        slot: usize,
        generation: u64,
        id: action::CallId,
        call: platform::Call,
    ) {
        let at_ms = self.now_ms + self.rng.random_range(1..10);
        let wait_ms = match &call {
            platform::Call::Watch { wait_ms, .. } => *wait_ms,
            _ => 0,
        };
        let until_ms = at_ms + wait_ms;
        self.schedule(at_ms, Task::ExecutePlatformCall { slot, generation, id, call, until_ms });
    }

    pub(super) fn execute_platform_call(
        &mut self,
        slot: usize,
        generation: u64,
        id: action::CallId,
        call: platform::Call,
        until_ms: u64,
    ) {
        let is_partitioned =
            self.now_ms < self.partition_until_ms && self.partitioned_slots.contains(&slot);
        if self.now_ms < self.platform.outage_until_ms || is_partitioned {
            self.schedule_reply(slot, generation, id, platform::Reply::Unknown, 2_000);
            return;
        }
        if self.now_ms < self.platform.reply_loss_until_ms && self.chance(40) {
            self.lose_reply(slot, generation, id, call);
            return;
        }
        let reply = self.platform.execute(&call);
        let is_empty =
            matches!(&reply, platform::Reply::Listing { objects, .. } if objects.is_empty());
        let is_watch = matches!(call, platform::Call::Watch { .. });
        if is_watch && is_empty && self.now_ms < until_ms {
            let at_ms = self.now_ms + 100;
            self.schedule(
                at_ms,
                Task::ExecutePlatformCall { slot, generation, id, call, until_ms },
            );
            return;
        }
        let delay_ms = self.rng.random_range(1..10);
        self.schedule_reply(slot, generation, id, reply, delay_ms);
    }

    /// Reports an unknown outcome for a call that is executed at once, later or never.
    fn lose_reply(
        &mut self,
        slot: usize,
        generation: u64,
        id: action::CallId,
        call: platform::Call,
    ) {
        match self.rng.random_range(0..3) {
            0 => drop(self.platform.execute(&call)),
            1 => {
                let at_ms = self.now_ms + self.rng.random_range(100..6_000);
                self.schedule(at_ms, Task::ExecuteDelayedCall { call });
            }
            _ => {}
        }
        let delay_ms = self.rng.random_range(10..2_000);
        self.schedule_reply(slot, generation, id, platform::Reply::Unknown, delay_ms);
    }

    fn schedule_reply(
        &mut self,
        slot: usize,
        generation: u64,
        call: action::CallId,
        reply: platform::Reply,
        delay_ms: u64,
    ) {
        let event = event::Event::PlatformReply { call, reply };
        let at_ms = self.now_ms + delay_ms;
        self.schedule(at_ms, Task::Deliver { slot, generation: Some(generation), event });
    }
}
