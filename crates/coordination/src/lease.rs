//! A lease on an object, with a fencing number that only grows.

use serde::Deserialize;
use serde::Serialize;

use crate::identity;
use crate::platform;

/// The stored form of a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Who holds it.
    pub holder: identity::HostId,
    /// Grows by one with each new holder; goes along with every order.
    pub fencing: u64,
    /// Counts renewals, so that watchers see that the holder is at work.
    pub renewals: u64,
}

/// What to do about a lease next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Nothing to do.
    Wait,
    /// Ask the platform.
    Call(platform::Call),
}

/// One host's view of a lease.
///
/// A holder relies on its lease only until `duration_ms` after it *asked* for it. Others
/// take it over once they have seen no renewal for twice as long by their own clock, and
/// the conditional update lets one of them succeed. Clocks are never compared.
#[derive(Debug)]
pub struct Lease {
    me: identity::HostId,
    key: String,
    duration_ms: u64,
    seen: Option<Seen>,
    asked: Option<Asked>,
    held_until_ms: u64,
    next_ask_ms: u64,
}

#[derive(Debug)]
struct Seen {
    record: LeaseRecord,
    version: platform::Version,
    since_ms: u64,
}

#[derive(Debug)]
struct Asked {
    record: Option<LeaseRecord>,
    at_ms: u64,
}

impl Lease {
    /// A lease on the object `key`, not held yet.
    #[must_use]
    pub fn new(me: identity::HostId, key: &str, duration_ms: u64) -> Self {
        Self {
            me,
            key: key.to_owned(),
            duration_ms,
            seen: None,
            asked: None,
            held_until_ms: 0,
            next_ask_ms: 0,
        }
    }

    /// The fencing number, if this host may rely on the lease now.
    #[must_use]
    pub fn fencing(&self, now_ms: u64) -> Option<u64> {
        let seen = self.seen.as_ref().filter(|seen| seen.record.holder == self.me)?;
        (now_ms < self.held_until_ms).then_some(seen.record.fencing)
    }

    /// Treats the lease as lapsed, as after a pause of this host.
    pub fn lapse(&mut self) {
        self.held_until_ms = 0;
        self.asked = None;
    }

    /// Moves time on while this host wants the lease.
    pub fn tick(&mut self, now_ms: u64) -> Step {
        if self.asked.is_some() || now_ms < self.next_ask_ms {
            return Step::Wait;
        }
        self.next_ask_ms = now_ms + self.duration_ms / 3;
        let step = self.next_call(now_ms);
        if let Step::Call(call) = &step {
            self.asked = Some(Asked { record: written_record(call), at_ms: now_ms });
        }
        step
    }

    /// Takes the reply to the last call.
    pub fn reply(&mut self, reply: platform::Reply, now_ms: u64) {
        let Some(asked) = self.asked.take() else {
            return;
        };
        match (reply, asked.record) {
            (platform::Reply::Written { version }, Some(record)) => {
                self.held_until_ms = asked.at_ms + self.duration_ms;
                self.see(record, version, now_ms);
            }
            (platform::Reply::Found(object), None) => self.read_back(&object, now_ms),
            (platform::Reply::Absent, None) => self.seen = None,
            // A write of unknown fate is settled by reading the object back.
            _ => self.forget_version(),
        }
    }

    fn next_call(&self, now_ms: u64) -> Step {
        let Some(seen) = &self.seen else {
            let record = LeaseRecord { holder: self.me, fencing: 1, renewals: 0 };
            return Step::Call(platform::Call::Create {
                key: self.key.clone(),
                value: encode(&record),
            });
        };
        let is_mine = seen.record.holder == self.me && now_ms < self.held_until_ms;
        let is_silent = now_ms >= seen.since_ms + 2 * self.duration_ms;
        if seen.version == 0 || !(is_mine || is_silent) {
            return Step::Call(platform::Call::Read { key: self.key.clone() });
        }
        let fencing = seen.record.fencing + u64::from(!is_mine);
        let renewals = seen.record.renewals + 1;
        let record = LeaseRecord { holder: self.me, fencing, renewals };
        Step::Call(platform::Call::Update {
            key: self.key.clone(),
            version: seen.version,
            value: encode(&record),
        })
    }

    fn read_back(&mut self, object: &platform::Object, now_ms: u64) {
        if let Ok(record) = postcard::from_bytes::<LeaseRecord>(&object.value) {
            self.see(record, object.version, now_ms);
        }
    }

    fn see(&mut self, record: LeaseRecord, version: platform::Version, now_ms: u64) {
        let is_same = self.seen.as_ref().is_some_and(|seen| seen.record == record);
        let since_ms = match &self.seen {
            Some(seen) if is_same => seen.since_ms,
            _ => now_ms,
        };
        self.seen = Some(Seen { record, version, since_ms });
    }

    fn forget_version(&mut self) {
        if let Some(seen) = &mut self.seen {
            seen.version = 0;
        } else {
            let record = LeaseRecord { holder: identity::HostId(0), fencing: 0, renewals: 0 };
            self.seen = Some(Seen { record, version: 0, since_ms: 0 });
        }
    }
}

fn encode(record: &LeaseRecord) -> std::sync::Arc<[u8]> {
    postcard::to_stdvec(record).unwrap_or_default().into()
}

fn written_record(call: &platform::Call) -> Option<LeaseRecord> {
    match call {
        platform::Call::Create { value, .. } | platform::Call::Update { value, .. } => {
            postcard::from_bytes(value).ok()
        }
        _ => None,
    }
}
