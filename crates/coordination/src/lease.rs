//! A lease stored in one object, with a monotonically increasing fencing token.

use serde::Deserialize;
use serde::Serialize;

use crate::identity;
use crate::platform;

/// The stored form of a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The host that holds the lease.
    pub holder: identity::HostId,
    /// Increases by one whenever the lease is acquired, also by its previous holder; sent along
    /// with every command of the holder.
    pub fencing_token: u64,
    /// Counts renewals, so that other hosts can see that the holder is still active.
    pub renewals: u64,
}

/// The next action for a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Nothing to do.
    Wait,
    /// Send a call to the platform.
    Call(platform::Call),
}

/// One host's view of a lease.
///
/// The holder relies on the lease only until `duration_ms` after it *sent* the last successful
/// write. Other hosts may take the lease over once they have observed no renewal for twice that
/// time on their own clock; the conditional update lets only one of them succeed. Clocks of
/// different hosts are never compared.
#[derive(Debug)]
pub struct Lease {
    local_id: identity::HostId,
    key: String,
    duration_ms: u64,
    observed: Option<Observed>,
    pending_call: Option<PendingCall>,
    held_until_ms: u64,
    next_call_ms: u64,
}

#[derive(Debug)]
struct Observed {
    record: LeaseRecord,
    /// Version of the object; zero if it must be read before the next write.
    version: platform::Version,
    unchanged_since_ms: u64,
}

#[derive(Debug)]
struct PendingCall {
    /// The record that the call writes; `None` for a read.
    record: Option<LeaseRecord>,
    sent_ms: u64,
}

impl Lease {
    /// Creates a lease stored in the object `key`, not held yet.
    #[must_use]
    pub fn new(local_id: identity::HostId, key: &str, duration_ms: u64) -> Self {
        Self {
            local_id,
            key: key.to_owned(),
            duration_ms,
            observed: None,
            pending_call: None,
            held_until_ms: 0,
            next_call_ms: 0,
        }
    }

    /// Returns the fencing token if this host holds the lease at `now_ms`.
    #[must_use]
    pub fn fencing_token(&self, now_ms: u64) -> Option<u64> {
        let observed =
            self.observed.as_ref().filter(|observed| observed.record.holder == self.local_id)?;
        (now_ms < self.held_until_ms).then_some(observed.record.fencing_token)
    }

    /// Treats the lease as expired, as after a pause of this host.
    pub fn invalidate(&mut self) {
        self.held_until_ms = 0;
        self.pending_call = None;
    }

    /// Advances the time; called while this host wants to hold the lease.
    pub fn tick(&mut self, now_ms: u64) -> Step {
        if self.pending_call.is_some() || now_ms < self.next_call_ms {
            return Step::Wait;
        }
        self.next_call_ms = now_ms + self.duration_ms / 3;
        let step = self.next_call(now_ms);
        if let Step::Call(call) = &step {
            self.pending_call = Some(PendingCall { record: written_record(call), sent_ms: now_ms });
        }
        step
    }

    /// Handles the reply to the pending call.
    pub fn handle_reply(&mut self, reply: platform::Reply, now_ms: u64) {
        let Some(pending_call) = self.pending_call.take() else {
            return;
        };
        match (reply, pending_call.record) {
            (platform::Reply::Written { version }, Some(record)) => {
                self.held_until_ms = pending_call.sent_ms + self.duration_ms;
                self.observe(record, version, now_ms);
            }
            (platform::Reply::Found(object), None) => self.handle_read(&object, now_ms),
            (platform::Reply::Absent, None) => self.observed = None,
            // An indefinite or conflicting write is resolved by reading the object back.
            _ => self.forget_version(),
        }
    }

    fn next_call(&self, now_ms: u64) -> Step {
        let Some(observed) = &self.observed else {
            let record = LeaseRecord { holder: self.local_id, fencing_token: 1, renewals: 0 };
            return Step::Call(platform::Call::Create {
                key: self.key.clone(),
                value: encode(&record),
            });
        };
        let is_held = observed.record.holder == self.local_id && now_ms < self.held_until_ms;
        let is_expired = now_ms >= observed.unchanged_since_ms + 2 * self.duration_ms;
        if observed.version == 0 || !(is_held || is_expired) {
            return Step::Call(platform::Call::Read { key: self.key.clone() });
        }
        let fencing_token = observed.record.fencing_token + u64::from(!is_held);
        let renewals = observed.record.renewals + 1;
        let record = LeaseRecord { holder: self.local_id, fencing_token, renewals };
        Step::Call(platform::Call::Update {
            key: self.key.clone(),
            version: observed.version,
            value: encode(&record),
        })
    }

    fn handle_read(&mut self, object: &platform::Object, now_ms: u64) {
        if let Ok(record) = postcard::from_bytes::<LeaseRecord>(&object.value) {
            self.observe(record, object.version, now_ms);
        }
    }

    fn observe(&mut self, record: LeaseRecord, version: platform::Version, now_ms: u64) {
        let is_same = self.observed.as_ref().is_some_and(|observed| observed.record == record);
        let unchanged_since_ms = match &self.observed {
            Some(observed) if is_same => observed.unchanged_since_ms,
            _ => now_ms,
        };
        self.observed = Some(Observed { record, version, unchanged_since_ms });
    }

    /// Makes the next call read the object.
    fn forget_version(&mut self) {
        if let Some(observed) = &mut self.observed {
            observed.version = 0;
        } else {
            let record = LeaseRecord { holder: identity::HostId(0), fencing_token: 0, renewals: 0 };
            self.observed = Some(Observed { record, version: 0, unchanged_since_ms: 0 });
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
