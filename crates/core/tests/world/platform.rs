//! A fake of the platform's store.

use std::collections;
use std::sync::Arc;

use rand::RngExt as _;
use toucanwall_coordination::platform;
use toucanwall_core::action;
use toucanwall_core::event;

use super::Happening;
use super::World;

/// The objects and the faults.
#[derive(Debug, Default)]
pub struct FakePlatform {
    version: u64,
    objects: collections::BTreeMap<String, (u64, Arc<[u8]>)>,
    pub out_until_ms: u64,
    pub flaky_until_ms: u64,
}

impl FakePlatform {
    /// Stores an object whatever was there.
    pub fn put(&mut self, key: &str, value: Arc<[u8]>) {
        self.version += 1;
        self.objects.insert(key.to_owned(), (self.version, value));
    }

    /// The objects under a prefix.
    pub fn under<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = platform::Object> + 'a {
        self.objects
            .range(prefix.to_owned()..)
            .take_while(move |(key, _)| key.starts_with(prefix))
            .map(|(key, (version, value))| platform::Object {
                key: key.clone(),
                version: *version,
                value: Arc::clone(value),
            })
    }

    /// Executes a call.
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
                if self.objects.get(key).is_none_or(|(known, _)| known != version) {
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
                let objects = self.under(prefix).filter(|object| object.key > *after);
                let objects = objects.take(*limit as usize).collect();
                platform::Reply::Listing { objects, version: self.version }
            }
            platform::Call::Watch { prefix, after, .. } => {
                let objects = self.under(prefix).filter(|object| object.version > *after).collect();
                platform::Reply::Listing { objects, version: self.version }
            }
        }
    }
}

impl World {
    pub(super) fn call_platform(
        &mut self,
        slot: usize,
        run: u64,
        id: action::CallId,
        call: platform::Call,
    ) {
        let at_ms = self.now_ms + self.rng.random_range(1..10);
        let wait_ms = match &call {
            platform::Call::Watch { wait_ms, .. } => *wait_ms,
            _ => 0,
        };
        let until_ms = at_ms + wait_ms;
        self.push(at_ms, Happening::PlatformExecutes { slot, run, id, call, until_ms });
    }

    pub(super) fn platform_executes(
        &mut self,
        slot: usize,
        run: u64,
        id: action::CallId,
        call: platform::Call,
        until_ms: u64,
    ) {
        let is_cut = self.now_ms < self.cut_until_ms && self.cut_slots.contains(&slot);
        if self.now_ms < self.platform.out_until_ms || is_cut {
            self.reply(slot, run, id, platform::Reply::Unknown, 2_000);
            return;
        }
        if self.now_ms < self.platform.flaky_until_ms && self.chance(40) {
            self.lose_reply(slot, run, id, call);
            return;
        }
        let reply = self.platform.execute(&call);
        let is_empty =
            matches!(&reply, platform::Reply::Listing { objects, .. } if objects.is_empty());
        let is_watch = matches!(call, platform::Call::Watch { .. });
        if is_watch && is_empty && self.now_ms < until_ms {
            let at_ms = self.now_ms + 100;
            self.push(at_ms, Happening::PlatformExecutes { slot, run, id, call, until_ms });
            return;
        }
        let delay_ms = self.rng.random_range(1..10);
        self.reply(slot, run, id, reply, delay_ms);
    }

    /// The caller hears nothing: the call took effect, never will, or will later.
    fn lose_reply(&mut self, slot: usize, run: u64, id: action::CallId, call: platform::Call) {
        match self.rng.random_range(0..3) {
            0 => drop(self.platform.execute(&call)),
            1 => {
                let at_ms = self.now_ms + self.rng.random_range(100..6_000);
                self.push(at_ms, Happening::PlatformAppliesLate { call });
            }
            _ => {}
        }
        let delay_ms = self.rng.random_range(10..2_000);
        self.reply(slot, run, id, platform::Reply::Unknown, delay_ms);
    }

    fn reply(
        &mut self,
        slot: usize,
        run: u64,
        call: action::CallId,
        reply: platform::Reply,
        delay_ms: u64,
    ) {
        let event = event::Event::PlatformReply { call, reply };
        let at_ms = self.now_ms + delay_ms;
        self.push(at_ms, Happening::Deliver { slot, run: Some(run), event });
    }
}
