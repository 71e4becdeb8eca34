//! Many hosts on one clock of their own, with every message sealed and counted.

use std::collections;
use std::net;
use std::sync::Arc;
use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;
use toucanwall_coordination::config_replica;
use toucanwall_coordination::identity;
use toucanwall_coordination::ledger::entry;
use toucanwall_coordination::platform;
use toucanwall_core::Host;
use toucanwall_core::action;
use toucanwall_core::envelope;
use toucanwall_core::event;
use toucanwall_core::host;

use crate::fixture;
use crate::store;

/// Time between two ticks of a host, in milliseconds.
const TICK_MS: u64 = 50;
/// One-way delay between hosts, in milliseconds.
const HOP_MS: u64 = 1;
/// Time that an attempt at a backend server takes, in milliseconds.
const ATTEMPT_MS: u64 = 200;
/// Time before anything is measured, in milliseconds.
const WARM_UP_MS: u64 = 40_000;
/// Part of the requests that may not be repeated: one in so many.
const BOOKING_EVERY: u64 = 50;

/// What is to be measured.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    pub hosts: usize,
    pub document_kb: usize,
    pub requests_per_s: u64,
    pub servers: usize,
    pub data_centres: usize,
    pub shards: u32,
    pub seed: u64,
}

/// What was measured.
#[derive(Debug, Clone, Default)]
pub struct Measured {
    pub messages: u64,
    pub bytes: u64,
    pub busy: time::Duration,
    pub writes: u64,
    pub reads: u64,
    pub waiting_watches: usize,
    pub in_force_ms: Option<u64>,
}

#[derive(Debug)]
enum Happening {
    Tick { slot: usize },
    Sealed { slot: usize, bytes: Vec<u8> },
    Event { slot: usize, event: event::Event },
    Call { slot: usize, id: action::CallId, call: platform::Call, until_ms: u64 },
    Request { slot: usize },
    Change,
    Replace,
}

/// The hosts and their platform.
#[derive(Debug)]
pub struct Cluster {
    plan: Plan,
    now_ms: u64,
    order: u64,
    queue: collections::BTreeMap<(u64, u64), Happening>,
    rng: rand_chacha::ChaCha8Rng,
    keys: envelope::Keys,
    hosts: Vec<Host>,
    store: store::Store,
    value: config_replica::Snapshot,
    changed_ms: u64,
    waiting: usize,
    tickets: u64,
    measured: Measured,
}

impl Cluster {
    /// Hosts that have just started before a platform that holds a document.
    pub fn new(plan: Plan) -> Self {
        let mut cluster = Self {
            plan,
            now_ms: 1_000,
            order: 0,
            queue: collections::BTreeMap::new(),
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(plan.seed),
            keys: envelope::Keys::try_from("1:secret-between-the-hosts").expect("a key"),
            hosts: Vec::new(),
            store: store::Store::default(),
            value: config_replica::Snapshot::default(),
            changed_ms: 0,
            waiting: 0,
            tickets: 0,
            measured: Measured::default(),
        };
        fixture::list_servers(&mut cluster.store, plan.servers);
        let first = fixture::parts(plan.document_kb, 100);
        cluster.value = config_replica::Snapshot { revision: 1, parts: first };
        let snapshot = serde_json::to_vec(&cluster.value).expect("JSON").into();
        cluster.store.put(config_replica::SNAPSHOT_KEY, snapshot);
        for slot in 0..plan.hosts {
            let host = cluster.new_host(slot);
            cluster.hosts.push(host);
            let at_ms = cluster.now_ms + cluster.rng.random_range(0..TICK_MS);
            cluster.push(at_ms, Happening::Tick { slot });
            cluster.push_request(slot);
        }
        cluster
    }

    /// Lets the hosts find each other.
    pub fn warm_up(&mut self) {
        self.run_until(self.now_ms + WARM_UP_MS);
    }

    /// Takes the platform down or up.
    pub fn set_outage(&mut self, is_out: bool) {
        self.store.is_out = is_out;
    }

    /// Runs for a time with changes and replaced hosts, spread evenly.
    pub fn measure(&mut self, seconds: u64, changes: u64, restarts: usize) -> Measured {
        self.measured = Measured::default();
        self.store.writes = 0;
        self.store.reads = 0;
        let end_ms = self.now_ms + seconds * 1_000;
        for number in 0..changes {
            let at_ms = self.now_ms + 500 + number * (seconds * 1_000 / changes.max(1));
            self.push(at_ms, Happening::Change);
        }
        let restarts = u64::try_from(restarts).unwrap_or(0);
        for number in 0..restarts {
            let at_ms = self.now_ms + 700 + number * (seconds * 1_000 / restarts);
            self.push(at_ms, Happening::Replace);
        }
        self.run_until(end_ms);
        self.measured.writes = self.store.writes;
        self.measured.reads = self.store.reads;
        self.measured.waiting_watches = self.waiting;
        self.measured.clone()
    }

    fn new_host(&mut self, slot: usize) -> Host {
        let data_centre = slot % self.plan.data_centres.max(1);
        let config = host::Config {
            info: identity::HostInfo {
                id: identity::HostId(self.rng.random()),
                started_ms: self.now_ms,
                peer_address: address(1, slot),
                caller_address: address(2, slot),
                data_centre: Arc::from(format!("dc-{data_centre}")),
                region: Arc::from(format!("region-{}", data_centre % 7)),
            },
            seed_hosts: (0..self.plan.hosts.min(3)).map(|seed| address(1, seed)).collect(),
            ledger_shards: self.plan.shards,
            keys: self.keys.clone(),
            has_rating: false,
            address_ttl_ms: 5_000,
            shutdown_ms: 60_000,
            seed: self.rng.random(),
        };
        Host::new(config, self.now())
    }

    fn now(&self) -> host::Now {
        host::Now { mono_ms: self.now_ms, wall_s: 1_700_000_000 + self.now_ms / 1_000 }
    }

    fn push(&mut self, at_ms: u64, happening: Happening) {
        self.order += 1;
        self.queue.insert((at_ms, self.order), happening);
    }

    fn run_until(&mut self, end_ms: u64) {
        while let Some(first) = self.queue.first_entry() {
            if first.key().0 > end_ms {
                break;
            }
            let ((at_ms, _), happening) = first.remove_entry();
            self.now_ms = at_ms;
            self.happen(happening);
        }
        self.now_ms = end_ms;
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Tick { slot } => {
                self.handle(slot, event::Event::Tick);
                self.push(self.now_ms + TICK_MS, Happening::Tick { slot });
            }
            Happening::Sealed { slot, bytes } => self.open(slot, &bytes),
            Happening::Event { slot, event } => self.handle(slot, event),
            Happening::Call { slot, id, call, until_ms } => self.call(slot, id, call, until_ms),
            Happening::Request { slot } => self.request(slot),
            Happening::Change => self.change(),
            Happening::Replace => self.replace(),
        }
    }

    fn open(&mut self, slot: usize, bytes: &[u8]) {
        let started = time::Instant::now();
        let opened = envelope::verify(&self.keys, bytes).expect("a message of a host");
        self.measured.busy += started.elapsed();
        let event = event::Event::Peer {
            from: opened.from,
            sender: opened.sender,
            message: opened.message,
        };
        self.handle(slot, event);
    }

    fn handle(&mut self, slot: usize, event: event::Event) {
        let now = self.now();
        let started = time::Instant::now();
        let known = self.hosts[slot].revision();
        let actions = self.hosts[slot].handle(event, now);
        self.measured.busy += started.elapsed();
        if self.hosts[slot].revision() > known && self.changed_ms > 0 {
            let took_ms = self.now_ms - self.changed_ms;
            self.measured.in_force_ms = self.measured.in_force_ms.max(Some(took_ms));
        }
        for action in actions {
            self.carry_out(slot, action);
        }
    }

    fn carry_out(&mut self, slot: usize, action: action::Action) {
        match action {
            action::Action::SendPeer { to, message } => self.seal(slot, to, message),
            action::Action::CallPlatform { id, call } => self.start_call(slot, id, call),
            action::Action::Dispatch(dispatch) => {
                let answer = entry::StoredResponse {
                    status: 200,
                    content_type: Arc::from("text/event-stream"),
                    body: None,
                };
                let end = event::AttemptEnd::Answered { tokens: 340, answer };
                let (request_id, attempt) = (dispatch.request_id, dispatch.attempt);
                let event = event::Event::AttemptEnded { request_id, attempt, end };
                self.push(self.now_ms + ATTEMPT_MS, Happening::Event { slot, event });
            }
            _ => {}
        }
    }

    fn seal(
        &mut self,
        slot: usize,
        to: net::SocketAddr,
        message: toucanwall_core::message::Message,
    ) {
        let opened =
            envelope::Envelope { sender: self.hosts[slot].id(), from: address(1, slot), message };
        let started = time::Instant::now();
        let bytes = envelope::sign(&self.keys, &opened);
        self.measured.busy += started.elapsed();
        self.measured.messages += 1;
        self.measured.bytes += u64::try_from(bytes.len()).unwrap_or(0);
        let to = slot_of(to);
        self.push(self.now_ms + HOP_MS, Happening::Sealed { slot: to, bytes });
    }

    fn start_call(&mut self, slot: usize, id: action::CallId, call: platform::Call) {
        let wait_ms = match &call {
            platform::Call::Watch { wait_ms, .. } => *wait_ms,
            _ => 0,
        };
        match &call {
            platform::Call::Create { .. } | platform::Call::Update { .. } => self.store.writes += 1,
            _ => self.store.reads += 1,
        }
        self.waiting += usize::from(wait_ms > 0);
        let at_ms = self.now_ms + 2;
        let until_ms = at_ms + wait_ms;
        self.push(at_ms, Happening::Call { slot, id, call, until_ms });
    }

    fn call(&mut self, slot: usize, id: action::CallId, call: platform::Call, until_ms: u64) {
        let reply = self.store.execute(&call);
        let is_watch = matches!(&call, platform::Call::Watch { wait_ms, .. } if *wait_ms > 0);
        let reply = match reply {
            None if self.now_ms < until_ms => {
                let at_ms = (self.now_ms + 20).min(until_ms);
                self.push(at_ms, Happening::Call { slot, id, call, until_ms });
                return;
            }
            None => self.store.nothing_new(),
            Some(reply) => reply,
        };
        self.waiting -= usize::from(is_watch);
        let event = event::Event::PlatformReply { call: id, reply };
        self.push(self.now_ms + 2, Happening::Event { slot, event });
    }

    fn push_request(&mut self, slot: usize) {
        if let Some(gap_ms) = 1_000_u64.checked_div(self.plan.requests_per_s) {
            let at_ms = self.now_ms + self.rng.random_range(1..=gap_ms.max(1) * 2);
            self.push(at_ms, Happening::Request { slot });
        }
    }

    fn request(&mut self, slot: usize) {
        self.tickets += 1;
        let is_booking = self.tickets.is_multiple_of(BOOKING_EVERY);
        let target = if is_booking {
            let call = Arc::from("POST /bookings");
            event::Target::Service { name: Arc::from("desk"), call }
        } else {
            event::Target::Model(Arc::from("model"))
        };
        let head = event::RequestHead {
            request_id: event::RequestId(self.tickets),
            key_sha256: fixture::key_sha256(0),
            target,
            session: event::SessionRef::None,
            idempotency_key: is_booking.then(|| Arc::from(format!("key-{}", self.tickets))),
            timeout_ms: 10_000,
            class: Arc::from("short"),
            content_digest: self.tickets,
            prefix_hash: None,
            resume_from: 0,
        };
        self.handle(slot, event::Event::Request(Arc::new(head)));
        self.push_request(slot);
    }

    fn change(&mut self) {
        if self.store.is_out {
            return;
        }
        let share = self.rng.random_range(1..100);
        let next = fixture::parts(self.plan.document_kb, share);
        let change = fixture::change(&self.value, &next);
        self.value = config_replica::Snapshot { revision: change.revision, parts: next };
        let value = serde_json::to_vec(&change).expect("JSON").into();
        self.store.put(&config_replica::log_key(change.revision), value);
        self.changed_ms = self.now_ms;
    }

    fn replace(&mut self) {
        let slot = self.rng.random_range(0..self.plan.hosts);
        self.hosts[slot] = self.new_host(slot);
    }
}

fn address(net: u8, slot: usize) -> net::SocketAddr {
    let [_, _, high, low] = u32::try_from(slot).expect("few hosts").to_be_bytes();
    net::SocketAddr::from(([10, net, high, low], 7_000))
}

fn slot_of(address: net::SocketAddr) -> usize {
    match address {
        net::SocketAddr::V4(v4) => {
            let [_, _, high, low] = v4.ip().octets();
            usize::from(high) * 256 + usize::from(low)
        }
        net::SocketAddr::V6(_) => 0,
    }
}
