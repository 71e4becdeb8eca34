//! A simulation of many hosts on a virtual clock.
//!
//! Messages between hosts are signed, verified and counted.

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
/// One-way delay of messages between hosts, in milliseconds.
const PEER_DELAY_MS: u64 = 1;
/// Duration of an attempt at a backend server, in milliseconds.
const ATTEMPT_DURATION_MS: u64 = 200;
/// Time that passes before the measurement, in milliseconds.
const WARM_UP_MS: u64 = 40_000;
/// One in this many requests is not idempotent.
const NON_IDEMPOTENT_INTERVAL: u64 = 50;

/// Settings of a simulation.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    pub hosts: usize,
    pub document_kb: usize,
    /// Requests per second at each host.
    pub requests_per_s: u64,
    /// Number of backend servers.
    pub servers: usize,
    pub data_centres: usize,
    /// Number of ledger shards.
    pub shards: u32,
    pub seed: u64,
}

/// Results of a measurement, as totals of all hosts.
#[derive(Debug, Clone, Default)]
pub struct Measurements {
    /// Messages between hosts.
    pub messages: u64,
    /// Size of these messages after signing.
    pub bytes: u64,
    /// Real time that the hosts took to handle events and to sign and verify messages.
    pub processing_time: time::Duration,
    /// Writes to the platform.
    pub writes: u64,
    /// Reads, lists and watches at the platform.
    pub reads: u64,
    /// Watches open at the end.
    pub open_watches: usize,
    /// Longest time from a configuration change until a host put it in force.
    pub max_in_force_ms: Option<u64>,
}

/// Something that the simulation does at a scheduled time.
#[derive(Debug)]
enum Task {
    Tick { slot: usize },
    DeliverMessage { slot: usize, bytes: Vec<u8> },
    DeliverEvent { slot: usize, event: event::Event },
    Call { slot: usize, id: action::CallId, call: platform::Call, until_ms: u64 },
    SendRequest { slot: usize },
    ChangeConfiguration,
    ReplaceHost,
}

/// The simulated hosts and their platform.
#[derive(Debug)]
pub struct Cluster {
    settings: Settings,
    now_ms: u64,
    /// Number of tasks scheduled so far, which orders those of the same time.
    sequence: u64,
    /// Scheduled tasks by time and sequence number.
    queue: collections::BTreeMap<(u64, u64), Task>,
    rng: rand_chacha::ChaCha8Rng,
    keys: envelope::Keys,
    hosts: Vec<Host>,
    store: store::Store,
    configuration: config_replica::Snapshot,
    last_change_ms: u64,
    open_watches: usize,
    request_count: u64,
    measurements: Measurements,
}

impl Cluster {
    /// Starts the hosts with a platform that holds a configuration document.
    pub fn new(settings: Settings) -> Self {
        let mut cluster = Self {
            settings,
            now_ms: 1_000,
            sequence: 0,
            queue: collections::BTreeMap::new(),
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(settings.seed),
            keys: envelope::Keys::try_from("1:secret-between-the-hosts")
                .expect("the keys are valid"),
            hosts: Vec::new(),
            store: store::Store::default(),
            configuration: config_replica::Snapshot::default(),
            last_change_ms: 0,
            open_watches: 0,
            request_count: 0,
            measurements: Measurements::default(),
        };
        fixture::register_servers(&mut cluster.store, settings.servers);
        let first = fixture::configuration_parts(settings.document_kb, 100);
        cluster.configuration = config_replica::Snapshot { revision: 1, parts: first };
        let snapshot = serde_json::to_vec(&cluster.configuration)
            .expect("the snapshot can be serialised")
            .into();
        cluster.store.put(config_replica::SNAPSHOT_KEY, snapshot);
        for slot in 0..settings.hosts {
            let host = cluster.new_host(slot);
            cluster.hosts.push(host);
            let at_ms = cluster.now_ms + cluster.rng.random_range(0..TICK_MS);
            cluster.schedule(at_ms, Task::Tick { slot });
            cluster.schedule_request(slot);
        }
        cluster
    }

    /// Runs until the hosts have joined the group and loaded the configuration.
    pub fn warm_up(&mut self) {
        self.run_until(self.now_ms + WARM_UP_MS);
    }

    /// Makes the platform unavailable or available again.
    pub fn set_outage(&mut self, is_unavailable: bool) {
        self.store.is_unavailable = is_unavailable;
    }

    /// Runs for `seconds` and returns what was measured; configuration changes and replacements of
    /// hosts are spread evenly over that time.
    pub fn measure(&mut self, seconds: u64, changes: u64, restarts: usize) -> Measurements {
        self.measurements = Measurements::default();
        self.store.writes = 0;
        self.store.reads = 0;
        let end_ms = self.now_ms + seconds * 1_000;
        for number in 0..changes {
            let at_ms = self.now_ms + 500 + number * (seconds * 1_000 / changes.max(1));
            self.schedule(at_ms, Task::ChangeConfiguration);
        }
        let restarts = u64::try_from(restarts).unwrap_or(0);
        for number in 0..restarts {
            let at_ms = self.now_ms + 700 + number * (seconds * 1_000 / restarts);
            self.schedule(at_ms, Task::ReplaceHost);
        }
        self.run_until(end_ms);
        self.measurements.writes = self.store.writes;
        self.measurements.reads = self.store.reads;
        self.measurements.open_watches = self.open_watches;
        self.measurements.clone()
    }

    fn new_host(&mut self, slot: usize) -> Host {
        let data_centre = slot % self.settings.data_centres.max(1);
        let config = host::Config {
            info: identity::HostInfo {
                id: identity::HostId(self.rng.random()),
                started_ms: self.now_ms,
                peer_address: address(1, slot),
                caller_address: address(2, slot),
                data_centre: Arc::from(format!("dc-{data_centre}")),
                region: Arc::from(format!("region-{}", data_centre % 7)),
            },
            seed_hosts: (0..self.settings.hosts.min(3)).map(|slot| address(1, slot)).collect(),
            ledger_shards: self.settings.shards,
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

    fn schedule(&mut self, at_ms: u64, task: Task) {
        self.sequence += 1;
        self.queue.insert((at_ms, self.sequence), task);
    }

    fn run_until(&mut self, end_ms: u64) {
        while let Some(first) = self.queue.first_entry() {
            if first.key().0 > end_ms {
                break;
            }
            let ((at_ms, _), task) = first.remove_entry();
            self.now_ms = at_ms;
            self.run_task(task);
        }
        self.now_ms = end_ms;
    }

    fn run_task(&mut self, task: Task) {
        match task {
            Task::Tick { slot } => {
                self.handle(slot, event::Event::Tick);
                self.schedule(self.now_ms + TICK_MS, Task::Tick { slot });
            }
            Task::DeliverMessage { slot, bytes } => self.receive_message(slot, &bytes),
            Task::DeliverEvent { slot, event } => self.handle(slot, event),
            Task::Call { slot, id, call, until_ms } => self.execute_call(slot, id, call, until_ms),
            Task::SendRequest { slot } => self.send_request(slot),
            Task::ChangeConfiguration => self.change_configuration(),
            Task::ReplaceHost => self.replace_host(),
        }
    }

    fn receive_message(&mut self, slot: usize, bytes: &[u8]) {
        let started = time::Instant::now();
        let envelope =
            envelope::verify(&self.keys, bytes).expect("the message has a valid signature");
        self.measurements.processing_time += started.elapsed();
        let event = event::Event::Peer {
            from: envelope.from,
            sender: envelope.sender,
            message: envelope.message,
        };
        self.handle(slot, event);
    }

    fn handle(&mut self, slot: usize, event: event::Event) {
        let now = self.now();
        let started = time::Instant::now();
        let previous = self.hosts[slot].revision();
        let actions = self.hosts[slot].handle(event, now);
        self.measurements.processing_time += started.elapsed();
        if self.hosts[slot].revision() > previous && self.last_change_ms > 0 {
            let elapsed_ms = self.now_ms - self.last_change_ms;
            self.measurements.max_in_force_ms =
                self.measurements.max_in_force_ms.max(Some(elapsed_ms));
        }
        for action in actions {
            self.carry_out(slot, action);
        }
    }

    fn carry_out(&mut self, slot: usize, action: action::Action) {
        match action {
            action::Action::SendPeer { to, message } => self.send_message(slot, to, message),
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
                self.schedule(
                    self.now_ms + ATTEMPT_DURATION_MS,
                    Task::DeliverEvent { slot, event },
                );
            }
            _ => {}
        }
    }

    fn send_message(
        &mut self,
        slot: usize,
        to: net::SocketAddr,
        message: toucanwall_core::message::Message,
    ) {
        let envelope =
            envelope::Envelope { sender: self.hosts[slot].id(), from: address(1, slot), message };
        let started = time::Instant::now();
        let bytes = envelope::sign(&self.keys, &envelope);
        self.measurements.processing_time += started.elapsed();
        self.measurements.messages += 1;
        self.measurements.bytes += u64::try_from(bytes.len()).unwrap_or(0);
        let to = slot_of(to);
        self.schedule(self.now_ms + PEER_DELAY_MS, Task::DeliverMessage { slot: to, bytes });
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
        self.open_watches += usize::from(wait_ms > 0);
        let at_ms = self.now_ms + 2;
        let until_ms = at_ms + wait_ms;
        self.schedule(at_ms, Task::Call { slot, id, call, until_ms });
    }

    fn execute_call(
        &mut self,
        slot: usize,
        id: action::CallId,
        call: platform::Call,
        until_ms: u64,
    ) {
        let reply = self.store.execute(&call);
        let is_watch = matches!(&call, platform::Call::Watch { wait_ms, .. } if *wait_ms > 0);
        let reply = match reply {
            None if self.now_ms < until_ms => {
                let at_ms = (self.now_ms + 20).min(until_ms);
                self.schedule(at_ms, Task::Call { slot, id, call, until_ms });
                return;
            }
            None => self.store.empty_listing(),
            Some(reply) => reply,
        };
        self.open_watches -= usize::from(is_watch);
        let event = event::Event::PlatformReply { call: id, reply };
        self.schedule(self.now_ms + 2, Task::DeliverEvent { slot, event });
    }

    fn schedule_request(&mut self, slot: usize) {
        if let Some(gap_ms) = 1_000_u64.checked_div(self.settings.requests_per_s) {
            let at_ms = self.now_ms + self.rng.random_range(1..=gap_ms.max(1) * 2);
            self.schedule(at_ms, Task::SendRequest { slot });
        }
    }

    fn send_request(&mut self, slot: usize) {
        self.request_count += 1;
        let is_non_idempotent = self.request_count.is_multiple_of(NON_IDEMPOTENT_INTERVAL);
        let target = if is_non_idempotent {
            let call = Arc::from("POST /bookings");
            event::Target::Service { name: Arc::from("desk"), call }
        } else {
            event::Target::Model(Arc::from("model"))
        };
        let head = event::RequestHead {
            request_id: event::RequestId(self.request_count),
            key_sha256: fixture::key_sha256(0),
            target,
            session: event::SessionRef::None,
            idempotency_key: is_non_idempotent
                .then(|| Arc::from(format!("key-{}", self.request_count))),
            timeout_ms: 10_000,
            class: Arc::from("short"),
            content_digest: self.request_count,
            prefix_hash: None,
            resume_from: 0,
        };
        self.handle(slot, event::Event::Request(Arc::new(head)));
        self.schedule_request(slot);
    }

    fn change_configuration(&mut self) {
        if self.store.is_unavailable {
            return;
        }
        let share_percent = self.rng.random_range(1..100);
        let next = fixture::configuration_parts(self.settings.document_kb, share_percent);
        let change = fixture::next_change(&self.configuration, &next);
        self.configuration = config_replica::Snapshot { revision: change.revision, parts: next };
        let value = serde_json::to_vec(&change).expect("the change can be serialised").into();
        self.store.put(&config_replica::log_key(change.revision), value);
        self.last_change_ms = self.now_ms;
    }

    fn replace_host(&mut self) {
        let slot = self.rng.random_range(0..self.settings.hosts);
        self.hosts[slot] = self.new_host(slot);
    }
}

fn address(network: u8, slot: usize) -> net::SocketAddr {
    let [_, _, high, low] =
        u32::try_from(slot).expect("the slot number fits in an address").to_be_bytes();
    net::SocketAddr::from(([10, network, high, low], 7_000))
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
