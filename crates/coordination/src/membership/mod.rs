//! Gossip-based membership and failure detection in the manner of SWIM, with suspicion and
//! incarnation numbers.

mod message;
mod updates;

use std::cmp;
use std::collections;
use std::net;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::seq::IteratorRandom as _;

use crate::identity;

pub use message::Effect;
pub use message::Message;
pub use message::Record;
pub use message::Status;

/// Interval between probes, in milliseconds.
pub const PROBE_INTERVAL_MS: u64 = 1_000;
/// Time after which an unanswered probe is repeated indirectly through other hosts, in
/// milliseconds.
pub const DIRECT_PROBE_TIMEOUT_MS: u64 = 300;
/// Interval between exchanges of the full member list, in milliseconds.
pub const SYNC_INTERVAL_MS: u64 = 30_000;
/// Interval between attempts to reach seed addresses and dead members, in milliseconds.
pub const REJOIN_INTERVAL_MS: u64 = 2_000;
/// Time for which the record of a dead member is retained, in milliseconds.
pub const DEAD_TTL_MS: u64 = 600_000;
/// Gap between two events from which a host concludes that it was paused, in milliseconds.
pub const PAUSE_THRESHOLD_MS: u64 = 2_000;
/// Number of hosts asked to probe an unresponsive member.
const INDIRECT_PROBES: usize = 3;
/// Maximum number of unreachable addresses probed at a time.
const REJOIN_PROBES_MAX: usize = 2;

/// A member as seen by this host.
#[derive(Debug, Clone)]
pub struct Member {
    /// The record as disseminated between hosts.
    pub record: Record,
    /// When the status last changed or its suspicion timeout was restarted, in milliseconds of
    /// this host's monotonic clock.
    pub since_ms: u64,
}

#[derive(Debug)]
struct Probe {
    nonce: u64,
    target: identity::HostId,
    sent_ms: u64,
    is_indirect: bool,
}

#[derive(Debug)]
struct RelayedProbe {
    nonce: u64,
    from: net::SocketAddr,
    sent_ms: u64,
}

/// The member list of this host and its failure detector.
#[derive(Debug)]
pub struct Membership {
    local_id: identity::HostId,
    members: collections::BTreeMap<identity::HostId, Member>,
    seed_addresses: collections::BTreeSet<net::SocketAddr>,
    rng: rand_chacha::ChaCha8Rng,
    probe: Option<Probe>,
    probe_order: Vec<identity::HostId>,
    relayed_probes: collections::BTreeMap<u64, RelayedProbe>,
    updates: updates::UpdateQueue,
    next_probe_ms: u64,
    next_sync_ms: u64,
    next_rejoin_ms: u64,
    last_event_ms: u64,
}

impl Membership {
    /// Creates a list with this host as the only member; it joins through the seed addresses.
    #[must_use]
    pub fn new(
        info: identity::HostInfo,
        seed_addresses: collections::BTreeSet<net::SocketAddr>,
        rng_seed: u64,
        now_ms: u64,
    ) -> Self {
        let local_id = info.id;
        let record = Record { info, incarnation: 0, status: Status::Alive, leaving: false };
        let member = Member { record, since_ms: now_ms };
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(rng_seed);
        let next_probe_ms = now_ms + rng.random_range(0..PROBE_INTERVAL_MS);
        let next_sync_ms = now_ms + rng.random_range(0..SYNC_INTERVAL_MS);
        Self {
            local_id,
            members: collections::BTreeMap::from([(local_id, member)]),
            seed_addresses,
            rng,
            probe: None,
            probe_order: Vec::new(),
            relayed_probes: collections::BTreeMap::new(),
            updates: updates::UpdateQueue::default(),
            next_probe_ms,
            next_sync_ms,
            next_rejoin_ms: now_ms,
            last_event_ms: now_ms,
        }
    }

    /// Returns all members, including dead ones for [`DEAD_TTL_MS`].
    #[must_use]
    pub fn members(&self) -> &collections::BTreeMap<identity::HostId, Member> {
        &self.members
    }

    /// Returns the members that may get new work or own shards.
    pub fn eligible(&self) -> impl Iterator<Item = &Record> {
        self.members.values().map(|member| &member.record).filter(|record| {
            !record.leaving && matches!(record.status, Status::Alive | Status::Suspect)
        })
    }

    /// Returns the ids of the members that may get new work or own shards.
    pub fn eligible_ids(&self) -> impl Iterator<Item = identity::HostId> {
        self.eligible().map(|record| record.info.id)
    }

    /// Returns the peer address of a member.
    #[must_use]
    pub fn address_of(&self, host: identity::HostId) -> Option<net::SocketAddr> {
        self.members.get(&host).map(|member| member.record.info.peer_address)
    }

    /// Returns the addresses of up to `count` random other members that are not dead.
    pub fn sample_addresses(&mut self, count: usize) -> Vec<net::SocketAddr> {
        let local_id = self.local_id;
        self.members
            .values()
            .filter(|m| m.record.info.id != local_id && m.record.status != Status::Dead)
            .map(|member| member.record.info.peer_address)
            .sample(&mut self.rng, count)
    }

    /// Announces to all other members that this host is leaving.
    pub fn leave(&mut self) -> Vec<Effect> {
        self.announce_local_status(true, 0);
        let updates = self.next_updates();
        let others = self.members.values().map(|member| &member.record);
        others
            .filter(|record| record.info.id != self.local_id && record.status != Status::Dead)
            .map(|record| Effect::Send {
                to: record.info.peer_address,
                message: Message::Ping {
                    target: record.info.id,
                    nonce: 0,
                    updates: updates.clone(),
                },
            })
            .collect()
    }

    /// Advances the time; must be called at least ten times a second.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Effect> {
        let mut effects = self.detect_pause(now_ms);
        self.check_probe(now_ms, &mut effects);
        self.expire_suspicions(now_ms, &mut effects);
        self.relayed_probes.retain(|_, relay| now_ms < relay.sent_ms + PROBE_INTERVAL_MS);
        if now_ms >= self.next_probe_ms {
            self.next_probe_ms = now_ms + PROBE_INTERVAL_MS;
            self.start_probe(now_ms, &mut effects);
        }
        if now_ms >= self.next_sync_ms {
            self.next_sync_ms = now_ms + SYNC_INTERVAL_MS;
            let peers = self.sample_addresses(1);
            self.send_sync(&peers, &mut effects);
        }
        if now_ms >= self.next_rejoin_ms {
            self.next_rejoin_ms = now_ms + REJOIN_INTERVAL_MS;
            self.rejoin(&mut effects);
        }
        effects
    }

    /// Detects a pause of this host; must be called before an event is processed in any other way.
    pub fn detect_pause(&mut self, now_ms: u64) -> Vec<Effect> {
        let gap_ms = now_ms.saturating_sub(self.last_event_ms);
        self.last_event_ms = now_ms;
        if gap_ms < PAUSE_THRESHOLD_MS {
            return Vec::new();
        }
        // Missing answers during a pause of this host are no evidence against other members.
        self.probe = None;
        for member in self.members.values_mut() {
            if member.record.status == Status::Suspect {
                member.since_ms = now_ms;
            }
        }
        self.next_sync_ms = now_ms;
        vec![Effect::Paused { gap_ms }]
    }

    /// Handles a message from the host at `from`.
    pub fn receive(&mut self, from: net::SocketAddr, message: Message, now_ms: u64) -> Vec<Effect> {
        let mut effects = Vec::new();
        match message {
            Message::Ping { target, nonce, updates } => {
                self.merge_records(updates, now_ms, &mut effects);
                self.answer_ping(from, target, nonce, &mut effects);
            }
            Message::Ack { nonce, updates } => {
                self.merge_records(updates, now_ms, &mut effects);
                self.handle_ack(nonce, now_ms, &mut effects);
            }
            Message::PingRequest { nonce, target } => {
                self.relay_ping(from, nonce, target, now_ms, &mut effects);
            }
            Message::Sync { records, wants_reply } => {
                self.merge_records(records, now_ms, &mut effects);
                if wants_reply {
                    let message = Message::Sync { records: self.records(), wants_reply: false };
                    effects.push(Effect::Send { to: from, message });
                }
            }
        }
        effects
    }

    /// Returns the time for which a member stays suspected before it is declared dead, in
    /// milliseconds.
    #[must_use]
    pub fn suspicion_timeout_ms(&self) -> u64 {
        let rounds = u64::from((self.members.len() + 1).ilog2()).max(2);
        (rounds + 1) * PROBE_INTERVAL_MS
    }

    fn records(&self) -> Vec<Record> {
        self.members.values().map(|member| member.record.clone()).collect()
    }

    fn check_probe(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        let Some(probe) = &mut self.probe else { return };
        let (nonce, target, age_ms) = (probe.nonce, probe.target, now_ms - probe.sent_ms);
        if age_ms >= PROBE_INTERVAL_MS {
            self.probe = None;
            self.suspect(target, now_ms, effects);
        } else if age_ms >= DIRECT_PROBE_TIMEOUT_MS && !probe.is_indirect {
            probe.is_indirect = true;
            self.probe_through_others(nonce, target, effects);
        }
    }

    fn probe_through_others(
        &mut self,
        nonce: u64,
        target: identity::HostId,
        effects: &mut Vec<Effect>,
    ) {
        // The connection may have failed while the member is alive, so it is retried on a new one.
        if let Some(address) = self.address_of(target) {
            effects.push(Effect::Reconnect { address });
            let updates = self.next_updates();
            let message = Message::Ping { target, nonce, updates };
            effects.push(Effect::Send { to: address, message });
        }
        for to in self.sample_addresses(INDIRECT_PROBES) {
            effects.push(Effect::Send { to, message: Message::PingRequest { nonce, target } });
        }
    }

    fn start_probe(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        let Some(target) = self.next_target() else {
            return;
        };
        let Some(to) = self.address_of(target) else {
            return;
        };
        let nonce = self.rng.random_range(1..u64::MAX);
        let updates = self.next_updates();
        effects.push(Effect::Send { to, message: Message::Ping { target, nonce, updates } });
        self.probe = Some(Probe { nonce, target, sent_ms: now_ms, is_indirect: false });
    }

    /// Selects members in random order, reshuffled after each full round.
    fn next_target(&mut self) -> Option<identity::HostId> {
        for _ in 0..=self.members.len() {
            if self.probe_order.is_empty() {
                let ids = self.members.keys().copied().filter(|id| *id != self.local_id);
                let count = self.members.len();
                self.probe_order = ids.sample(&mut self.rng, count);
                rand::seq::SliceRandom::shuffle(self.probe_order.as_mut_slice(), &mut self.rng);
            }
            let target = self.probe_order.pop()?;
            let is_probed =
                self.members.get(&target).is_some_and(|m| m.record.status != Status::Dead);
            if is_probed {
                return Some(target);
            }
        }
        None
    }

    fn answer_ping(
        &mut self,
        from: net::SocketAddr,
        target: identity::HostId,
        nonce: u64,
        effects: &mut Vec<Effect>,
    ) {
        if target != self.local_id {
            // The probed run has ended; the list shows the sender which run is at this address now.
            self.send_sync(&[from], effects);
        } else if nonce != 0 {
            let updates = self.next_updates();
            effects.push(Effect::Send { to: from, message: Message::Ack { nonce, updates } });
        }
    }

    fn handle_ack(&mut self, nonce: u64, now_ms: u64, effects: &mut Vec<Effect>) {
        if let Some(relay) = self.relayed_probes.remove(&nonce) {
            let message = Message::Ack { nonce: relay.nonce, updates: Vec::new() };
            effects.push(Effect::Send { to: relay.from, message });
            return;
        }
        let Some(probe) = self.probe.take_if(|probe| probe.nonce == nonce) else {
            return;
        };
        effects.push(Effect::Acked { sent_ms: probe.sent_ms });
        // The answer restarts the suspicion timeout on this host. The other hosts drop their
        // suspicion only when the member refutes it, so it is sent its own record.
        if let Some(member) = self.members.get_mut(&probe.target)
            && member.record.status == Status::Suspect
        {
            member.since_ms = now_ms;
            self.updates.enqueue(probe.target);
            let record = self.members[&probe.target].record.clone();
            let to = record.info.peer_address;
            let target = record.info.id;
            let message = Message::Ping { target, nonce: 0, updates: vec![record] };
            effects.push(Effect::Send { to, message });
        }
    }

    fn relay_ping(
        &mut self,
        from: net::SocketAddr,
        nonce: u64,
        target: identity::HostId,
        now_ms: u64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(to) = self.address_of(target) else {
            return;
        };
        let relay_nonce = self.rng.random_range(1..u64::MAX);
        self.relayed_probes.insert(relay_nonce, RelayedProbe { nonce, from, sent_ms: now_ms });
        let message = Message::Ping { target, nonce: relay_nonce, updates: Vec::new() };
        effects.push(Effect::Send { to, message });
    }

    fn suspect(&mut self, target: identity::HostId, now_ms: u64, effects: &mut Vec<Effect>) {
        let Some(member) = self.members.get(&target) else {
            return;
        };
        if matches!(member.record.status, Status::Alive | Status::Leaving) {
            let record = Record { status: Status::Suspect, ..member.record.clone() };
            self.apply_record(record, now_ms, effects);
        }
    }

    fn expire_suspicions(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        let limit_ms = self.suspicion_timeout_ms();
        let expired: Vec<Record> = self
            .members
            .values()
            .filter(|m| m.record.status == Status::Suspect && now_ms >= m.since_ms + limit_ms)
            .map(|m| Record { status: Status::Dead, ..m.record.clone() })
            .collect();
        for record in expired {
            self.apply_record(record, now_ms, effects);
        }
        self.members
            .retain(|_, m| m.record.status != Status::Dead || now_ms < m.since_ms + DEAD_TTL_MS);
    }

    /// Probes addresses without a known live member: seed addresses and those of dead members.
    ///
    /// The host id zero stands for the unknown host at a seed address. Such a probe is small; a
    /// host with another id that does run there answers with its full member list.
    fn rejoin(&mut self, effects: &mut Vec<Effect>) {
        let mut unreachable: collections::BTreeMap<net::SocketAddr, identity::HostId> =
            self.seed_addresses.iter().map(|seed| (*seed, identity::HostId(0))).collect();
        let (dead, live): (Vec<_>, Vec<_>) = self
            .members
            .values()
            .map(|member| (member.record.info.peer_address, &member.record))
            .partition(|(_, record)| record.status == Status::Dead);
        unreachable.extend(dead.into_iter().map(|(address, record)| (address, record.info.id)));
        for (address, _) in &live {
            unreachable.remove(address);
        }
        let is_alone = live.len() <= 1;
        for (to, target) in unreachable.into_iter().sample(&mut self.rng, REJOIN_PROBES_MAX) {
            if is_alone {
                self.send_sync(&[to], effects);
                continue;
            }
            // A member that is wrongly considered dead refutes it in its answer.
            let subjects = [self.local_id, target];
            let known = subjects.iter().filter_map(|host| self.members.get(host));
            let updates = known.map(|member| member.record.clone()).collect();
            let nonce = self.rng.random_range(1..u64::MAX);
            effects.push(Effect::Send { to, message: Message::Ping { target, nonce, updates } });
        }
    }

    fn send_sync(&self, peers: &[net::SocketAddr], effects: &mut Vec<Effect>) {
        for to in peers {
            let message = Message::Sync { records: self.records(), wants_reply: true };
            effects.push(Effect::Send { to: *to, message });
        }
    }

    fn merge_records(&mut self, records: Vec<Record>, now_ms: u64, effects: &mut Vec<Effect>) {
        for record in records {
            if record.info.id == self.local_id {
                self.refute(&record, now_ms);
            } else if self.supersedes(&record) {
                self.apply_record(record, now_ms, effects);
            }
        }
    }

    fn refute(&mut self, record: &Record, now_ms: u64) {
        let Some(local) = self.members.get(&self.local_id) else {
            return;
        };
        let is_suspected = matches!(record.status, Status::Suspect | Status::Dead);
        if is_suspected && record.incarnation >= local.record.incarnation {
            let leaving = local.record.leaving;
            if let Some(local) = self.members.get_mut(&self.local_id) {
                local.record.incarnation = record.incarnation;
            }
            self.announce_local_status(leaving, now_ms);
        }
    }

    fn announce_local_status(&mut self, leaving: bool, now_ms: u64) {
        if let Some(local) = self.members.get_mut(&self.local_id) {
            local.record.incarnation += 1;
            local.record.leaving = leaving;
            local.record.status = if leaving { Status::Leaving } else { Status::Alive };
            local.since_ms = now_ms.max(local.since_ms);
        }
        self.updates.enqueue(self.local_id);
    }

    fn supersedes(&self, record: &Record) -> bool {
        let Some(known) = self.members.get(&record.info.id) else {
            return true;
        };
        let rank = |record: &Record| (record.incarnation, record.status);
        rank(record).cmp(&rank(&known.record)) == cmp::Ordering::Greater
    }

    fn apply_record(&mut self, record: Record, now_ms: u64, effects: &mut Vec<Effect>) {
        let mut record = record;
        if record.status != Status::Dead && self.is_replaced(&record) {
            record.status = Status::Dead;
        }
        let host = record.info.id;
        let status = record.status;
        if status != Status::Dead {
            self.mark_replaced_dead(&record, now_ms, effects);
        }
        let known = self.members.get(&host).map(|member| member.record.status);
        if known.is_none() && status == Status::Dead {
            return;
        }
        self.members.insert(host, Member { record, since_ms: now_ms });
        self.updates.enqueue(host);
        if known != Some(status) {
            effects.push(Effect::Changed { host, status });
        }
    }

    /// Returns whether a later run at the same address is known.
    fn is_replaced(&self, record: &Record) -> bool {
        self.members.values().map(|member| &member.record.info).any(|other| {
            other.id != record.info.id
                && other.peer_address == record.info.peer_address
                && other.started_ms > record.info.started_ms
        })
    }

    /// Marks earlier runs at the same address as dead: a later start proves that they have ended.
    fn mark_replaced_dead(&mut self, record: &Record, now_ms: u64, effects: &mut Vec<Effect>) {
        let replaced: Vec<Record> = self
            .members
            .values()
            .map(|member| &member.record)
            .filter(|old| {
                old.info.id != record.info.id
                    && old.info.id != self.local_id
                    && old.info.peer_address == record.info.peer_address
                    && old.info.started_ms < record.info.started_ms
                    && old.status != Status::Dead
            })
            .map(|old| Record { status: Status::Dead, ..old.clone() })
            .collect();
        for old in replaced {
            self.apply_record(old, now_ms, effects);
        }
    }

    /// Returns the records to piggyback on the next message.
    fn next_updates(&mut self) -> Vec<Record> {
        let hosts = self.updates.take(self.members.len());
        let known = hosts.iter().filter_map(|host| self.members.get(host));
        known.map(|member| member.record.clone()).collect()
    }
}
