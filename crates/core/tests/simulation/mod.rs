//! A deterministic simulation of a few hosts with fakes of everything they communicate with.
//!
//! All random choices come from one seed. Messages between hosts are lost, duplicated, delayed
//! and reordered; hosts crash, pause and are replaced; the platform is unavailable or slow,
//! loses replies and applies writes late; operators change the configuration concurrently.

mod backends;
mod callers;
mod check;
mod document;
mod platform;

use std::collections;
use std::net;
use std::sync::Arc;

use rand::RngExt as _;
use rand::SeedableRng as _;
use toucanwall_coordination::identity;
use toucanwall_coordination::platform as object_store;
use toucanwall_core::Host;
use toucanwall_core::action;
use toucanwall_core::counter;
use toucanwall_core::envelope;
use toucanwall_core::event;
use toucanwall_core::host;
use toucanwall_core::message;

pub use check::Violation;

/// Time between two ticks of a host, in milliseconds.
const TICK_MS: u64 = 50;
/// Time for which the platform must stay available for the hosts to learn of a change, in
/// milliseconds.
///
/// A change that is accepted just before an outage, while no host that watches is running,
/// reaches no host until the outage ends. Hosts cannot distinguish this from an outage without
/// a change.
const PROPAGATION_MS: u64 = 5_000;
/// Number of slots, each of which runs one host at a time.
const HOST_SLOTS: usize = 4;
/// Number of ledger shards; few, so that hosts compete for them.
const LEDGER_SHARDS: u32 = 2;
/// Wall-clock time at the start of a run, in seconds since the Unix epoch.
const WALL_START_S: u64 = 1_700_000_000;

/// Settings of a run.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Duration of the phase with faults and new requests, in milliseconds.
    pub fault_phase_ms: u64,
    /// Duration of the phase after it, in which the hosts recover, in milliseconds.
    pub recovery_phase_ms: u64,
    /// Probability that a message between hosts is lost, in percent.
    pub loss_percent: u32,
}

/// Statistics of one or more runs.
#[derive(Debug, Clone, Copy, Default)]
pub struct Report {
    /// Events that the hosts handled.
    pub steps: u64,
    /// Requests that callers made, not counting repeated sends.
    pub requests: u64,
    /// Sends that got a complete answer.
    pub answered: u64,
    /// Executions of calls with an idempotency key.
    pub effects: u64,
    /// Injected faults, including outages, partitions and planned stops.
    pub faults: u64,
    /// Dispatched requests without a bill because their host was lost before a backup had them,
    /// or together with its backups.
    pub bills_lost_with_host: u64,
}

impl Report {
    /// Adds the statistics of another run.
    pub fn add(&mut self, other: Self) {
        self.steps += other.steps;
        self.requests += other.requests;
        self.answered += other.answered;
        self.effects += other.effects;
        self.faults += other.faults;
        self.bills_lost_with_host += other.bills_lost_with_host;
    }
}

/// Something that the simulation does at a scheduled time.
#[derive(Debug)]
enum Task {
    Tick {
        slot: usize,
        generation: u64,
    },
    Deliver {
        slot: usize,
        /// Generation for which the event is meant; any if there is none.
        generation: Option<u64>,
        event: event::Event,
    },
    ExecutePlatformCall {
        slot: usize,
        generation: u64,
        id: action::CallId,
        call: object_store::Call,
        /// Time until which a watch waits for new objects.
        until_ms: u64,
    },
    /// Execute a call that already ended with an unknown outcome.
    ExecuteDelayedCall {
        call: object_store::Call,
    },
    EndAttempt {
        slot: usize,
        generation: u64,
        dispatch: action::Dispatch,
    },
    SendNewRequest,
    ResendRequest {
        request_index: usize,
    },
    ChangeConfiguration,
    InjectFault,
    StartHost {
        slot: usize,
    },
}

/// The loss of a host.
#[derive(Debug)]
struct HostLoss {
    at_ms: u64,
    /// Hosts that held a backup of each of its open requests, by bill number.
    backup_holders: collections::BTreeMap<u64, collections::BTreeSet<identity::HostId>>,
    has_answered_without_backup: bool,
}

/// A place that runs one host at a time, under a fixed address.
#[derive(Debug)]
struct Slot {
    host: Option<Host>,
    /// Number of hosts that were started in the slot so far.
    generation: u64,
    paused_until_ms: u64,
    revision: u64,
    is_stopping: bool,
}

/// The hosts and the fakes around them.
#[derive(Debug)]
pub struct Simulation {
    now_ms: u64,
    /// Number of tasks scheduled so far, which orders those of the same time.
    sequence: u64,
    /// Scheduled tasks by time and sequence number.
    queue: collections::BTreeMap<(u64, u64), Task>,
    rng: rand_chacha::ChaCha8Rng,
    settings: Settings,
    slots: Vec<Slot>,
    platform: platform::FakePlatform,
    backends: backends::FakeBackends,
    callers: callers::FakeCallers,
    /// Start and end of each time in which the platform was unavailable or lost replies.
    outages: Vec<(u64, u64)>,
    partition_until_ms: u64,
    /// Slots on the side of the partition that cannot reach the platform.
    partitioned_slots: collections::BTreeSet<usize>,
    withdrawn_since: collections::BTreeMap<Arc<str>, u64>,
    leaving_since: collections::BTreeMap<net::SocketAddr, u64>,
    lost_hosts: collections::BTreeMap<identity::HostId, HostLoss>,
    /// Slots and generations of the lost hosts.
    lost_generations: collections::BTreeSet<(usize, u64)>,
    violations: Vec<Violation>,
    report: Report,
    is_recovering: bool,
    is_tracing: bool,
}

impl Simulation {
    /// Creates a simulation; the same seed and settings give the same run.
    pub fn new(seed: u64, settings: Settings) -> Self {
        let mut simulation = Self {
            now_ms: 1_000,
            sequence: 0,
            queue: collections::BTreeMap::new(),
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            settings,
            slots: Vec::new(),
            platform: platform::FakePlatform::default(),
            backends: backends::FakeBackends::default(),
            callers: callers::FakeCallers::default(),
            outages: Vec::new(),
            partition_until_ms: 0,
            partitioned_slots: collections::BTreeSet::new(),
            withdrawn_since: collections::BTreeMap::new(),
            leaving_since: collections::BTreeMap::new(),
            lost_hosts: collections::BTreeMap::new(),
            lost_generations: collections::BTreeSet::new(),
            violations: Vec::new(),
            report: Report::default(),
            is_recovering: false,
            is_tracing: false,
        };
        document::store_first_revision(&mut simulation.platform);
        backends::register_servers(&mut simulation.platform);
        for slot in 0..HOST_SLOTS {
            simulation.slots.push(Slot {
                host: None,
                generation: 0,
                paused_until_ms: 0,
                revision: 0,
                is_stopping: false,
            });
            simulation.start_host(slot);
        }
        for _ in 0..3 {
            let at_ms = simulation.now_ms + 4_000 + simulation.rng.random_range(0..4_000);
            simulation.schedule(at_ms, Task::ChangeConfiguration);
            simulation.schedule(at_ms, Task::InjectFault);
            simulation.schedule(at_ms, Task::SendNewRequest);
        }
        simulation
    }

    /// Prints the hosts' log lines and the events of the simulation.
    #[allow(dead_code, reason = "only the `randomised` example enables tracing")]
    pub fn enable_trace(&mut self) {
        self.is_tracing = true;
    }

    /// Runs the simulation to its end and returns the statistics and the violated invariants.
    pub fn run(mut self) -> (Report, Vec<Violation>) {
        let fault_phase_end_ms = self.now_ms + self.settings.fault_phase_ms;
        self.run_until(fault_phase_end_ms);
        self.stop_faults();
        let end_ms = self.now_ms + self.settings.recovery_phase_ms;
        self.run_until(self.now_ms + self.settings.recovery_phase_ms / 2);
        self.send_undispatched_keys();
        self.run_until(end_ms);
        self.check_at_end();
        (self.report, self.violations)
    }

    fn run_until(&mut self, end_ms: u64) {
        while let Some(first) = self.queue.first_entry() {
            let at_ms = first.key().0;
            if at_ms > end_ms || self.violations.len() > 3 {
                return;
            }
            let task = first.remove();
            self.now_ms = at_ms;
            self.run_task(task);
        }
    }

    fn run_task(&mut self, task: Task) {
        match task {
            Task::Tick { slot, generation } => self.tick(slot, generation),
            Task::Deliver { slot, generation, event } => self.deliver(slot, generation, event),
            Task::ExecutePlatformCall { slot, generation, id, call, until_ms } => {
                self.execute_platform_call(slot, generation, id, call, until_ms);
            }
            Task::ExecuteDelayedCall { call } => drop(self.platform.execute(&call)),
            Task::EndAttempt { slot, generation, dispatch } => {
                self.end_attempt(slot, generation, &dispatch);
            }
            Task::SendNewRequest => self.send_new_request(),
            Task::ResendRequest { request_index } => self.resend_request(request_index),
            Task::ChangeConfiguration => self.change_configuration(),
            Task::InjectFault => self.inject_fault(),
            Task::StartHost { slot } => self.start_host(slot),
        }
    }

    /// Returns the earliest time at which the hosts could learn of a change: when it was accepted,
    /// or the end of the outages that follow within [`PROPAGATION_MS`]. If none follows, the hosts
    /// are assumed to know it.
    fn earliest_propagation_ms(&self, accepted_ms: u64) -> u64 {
        let mut at_ms = accepted_ms;
        for (start_ms, end_ms) in &self.outages {
            if *start_ms < at_ms + PROPAGATION_MS && *end_ms > at_ms {
                at_ms = *end_ms;
            }
        }
        at_ms
    }

    fn schedule(&mut self, at_ms: u64, task: Task) {
        self.sequence += 1;
        self.queue.insert((at_ms, self.sequence), task);
    }

    /// Returns true with a probability of `percent`.
    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn start_host(&mut self, slot: usize) {
        if self.slots[slot].host.is_some() {
            return;
        }
        let generation = self.slots[slot].generation + 1;
        let config = host::Config {
            info: identity::HostInfo {
                id: identity::HostId(self.rng.random()),
                started_ms: self.now_ms,
                peer_address: peer_address(slot),
                caller_address: caller_address(slot),
                data_centre: Arc::from(format!("dc-{}", slot % 2)),
                region: Arc::from("region"),
            },
            seed_hosts: (0..HOST_SLOTS).map(peer_address).collect(),
            ledger_shards: LEDGER_SHARDS,
            keys: envelope::Keys::try_from("1:secret-of-the-test-hosts")
                .expect("the keys are valid"),
            has_rating: true,
            address_ttl_ms: 1_000,
            shutdown_ms: 30_000,
            seed: self.rng.random(),
        };
        let host = Host::new(config, self.host_now());
        self.slots[slot] = Slot {
            host: Some(host),
            generation,
            paused_until_ms: 0,
            revision: 0,
            is_stopping: false,
        };
        self.schedule(self.now_ms, Task::Tick { slot, generation });
    }

    fn host_now(&self) -> host::Now {
        host::Now { mono_ms: self.now_ms, wall_s: WALL_START_S + self.now_ms / 1_000 }
    }

    fn tick(&mut self, slot: usize, generation: u64) {
        if self.slots[slot].generation != generation || self.slots[slot].host.is_none() {
            return;
        }
        let paused_until_ms = self.slots[slot].paused_until_ms;
        if self.now_ms < paused_until_ms {
            self.schedule(paused_until_ms, Task::Tick { slot, generation });
            return;
        }
        self.handle_event(slot, event::Event::Tick);
        self.schedule(self.now_ms + TICK_MS, Task::Tick { slot, generation });
    }

    /// Delivers an event. A paused host handles it when the pause ends; it is dropped if the host
    /// of `generation` is no longer running.
    fn deliver(&mut self, slot: usize, generation: Option<u64>, event: event::Event) {
        let paused_until_ms = self.slots[slot].paused_until_ms;
        if generation.is_some_and(|generation| generation != self.slots[slot].generation)
            || self.slots[slot].host.is_none()
        {
            return;
        }
        if self.now_ms < paused_until_ms {
            self.schedule(paused_until_ms, Task::Deliver { slot, generation, event });
            return;
        }
        self.handle_event(slot, event);
    }

    fn handle_event(&mut self, slot: usize, event: event::Event) {
        self.report.steps += 1;
        self.record_delivery(&event);
        let now = self.host_now();
        let Some(host) = self.slots[slot].host.as_mut() else {
            return;
        };
        let actions = host.handle(event, now);
        self.check_host(slot);
        for action in actions {
            self.carry_out(slot, action);
        }
    }

    fn carry_out(&mut self, slot: usize, action: action::Action) {
        let generation = self.slots[slot].generation;
        match action {
            action::Action::SendPeer { to, message } => self.send_peer(slot, to, message),
            action::Action::CallPlatform { id, call } => self.make_call(slot, generation, id, call),
            action::Action::Dispatch(dispatch) => self.start_attempt(slot, generation, dispatch),
            action::Action::RateAnswer { request_id, attempt } => {
                let score_percent = Some(if self.chance(70) { 90 } else { 10 });
                let event = event::Event::AnswerRated { request_id, attempt, score_percent };
                let at_ms = self.now_ms + 20;
                self.schedule(at_ms, Task::Deliver { slot, generation: Some(generation), event });
            }
            action::Action::Finish { request_id, .. } => self.on_answered(request_id),
            action::Action::Replay { request_id, .. } => self.on_replayed(request_id),
            action::Action::Refuse { request_id, refusal } => self.on_refused(request_id, &refusal),
            action::Action::Fail { request_id, failure } => self.on_failed(request_id, failure),
            action::Action::Stopped => self.on_stopped(slot),
            action::Action::Discard { .. }
            | action::Action::Cancel { .. }
            | action::Action::Reconnect { .. } => {}
            action::Action::Log(line) => self.trace_line(slot, &line.text),
        }
    }

    fn trace_line(&self, slot: usize, text: &str) {
        if self.is_tracing {
            println!("{:>7} host {slot}: {text}", self.now_ms);
        }
    }

    fn send_peer(&mut self, from: usize, to: net::SocketAddr, message: message::Message) {
        let Some(to) = (0..HOST_SLOTS).find(|slot| peer_address(*slot) == to) else {
            return;
        };
        let Some(host) = self.slots[from].host.as_ref() else {
            return;
        };
        let event = event::Event::Peer { from: peer_address(from), sender: host.id(), message };
        let is_partitioned = self.now_ms < self.partition_until_ms
            && self.partitioned_slots.contains(&from) != self.partitioned_slots.contains(&to);
        if is_partitioned || (!self.is_recovering && self.chance(self.settings.loss_percent)) {
            return;
        }
        let copies = if !self.is_recovering && self.chance(3) { 2 } else { 1 };
        for _ in 0..copies {
            let delay_ms = if self.chance(10) { 200 } else { 3 };
            let at_ms = self.now_ms + self.rng.random_range(0..=delay_ms);
            let event = event.clone();
            self.schedule(at_ms, Task::Deliver { slot: to, generation: None, event });
        }
    }

    fn inject_fault(&mut self) {
        if self.is_recovering {
            return;
        }
        self.report.faults += 1;
        let slot = self.rng.random_range(0..HOST_SLOTS);
        let now_ms = self.now_ms;
        let kind = self.rng.random_range(0..9);
        self.trace_line(slot, &format!("fault {kind}"));
        match kind {
            0 | 1 => self.crash(slot),
            2 | 3 => {
                self.slots[slot].paused_until_ms = now_ms + self.rng.random_range(500..20_000);
            }
            4 => {
                self.platform.outage_until_ms = now_ms + self.rng.random_range(500..15_000);
                self.outages.push((now_ms, self.platform.outage_until_ms));
            }
            5 => {
                self.platform.reply_loss_until_ms = now_ms + self.rng.random_range(500..15_000);
                self.outages.push((now_ms, self.platform.reply_loss_until_ms));
            }
            6 => {
                self.partition_until_ms = now_ms + self.rng.random_range(500..15_000);
                self.partitioned_slots = (0..HOST_SLOTS).filter(|slot| slot % 2 == 0).collect();
            }
            7 => {
                self.slots[slot].is_stopping = true;
                let generation = Some(self.slots[slot].generation);
                self.schedule(
                    now_ms,
                    Task::Deliver { slot, generation, event: event::Event::Stop },
                );
            }
            _ => self.toggle_server_leaving(),
        }
        let at_ms = now_ms + self.rng.random_range(500..6_000);
        self.schedule(at_ms, Task::InjectFault);
    }

    fn crash(&mut self, slot: usize) {
        if let Some(host) = self.slots[slot].host.take() {
            self.record_loss(slot, &host);
            self.disconnect_callers(slot);
            let at_ms = self.now_ms + self.rng.random_range(100..8_000);
            self.schedule(at_ms, Task::StartHost { slot });
        }
    }

    fn record_loss(&mut self, slot: usize, host: &Host) {
        self.lost_generations.insert((slot, self.slots[slot].generation));
        let without_backup = counter::Counter::FinishedWithoutBackup;
        let loss = HostLoss {
            at_ms: self.now_ms,
            backup_holders: host.backup_holders().collect(),
            has_answered_without_backup: host.counters().get(without_backup) > 0,
        };
        self.lost_hosts.insert(host.id(), loss);
    }

    /// Handles the end of a host's graceful shutdown.
    fn on_stopped(&mut self, slot: usize) {
        self.check_stopped(slot);
        self.disconnect_callers(slot);
        let host = self.slots[slot].host.take();
        // The host reached its shutdown deadline with entries that only a backup can still write.
        let view = host.as_ref().map(Host::view).unwrap_or_default();
        if let Some(host) = host.filter(|_| view.ledger_pending_bytes > 0 || view.backups_kept > 0)
        {
            self.record_loss(slot, &host);
        }
        let at_ms = self.now_ms + self.rng.random_range(100..4_000);
        self.schedule(at_ms, Task::StartHost { slot });
    }

    /// Ends all faults and starts the recovery phase.
    fn stop_faults(&mut self) {
        self.is_recovering = true;
        self.platform.outage_until_ms = 0;
        self.platform.reply_loss_until_ms = 0;
        self.partition_until_ms = 0;
        for slot in 0..HOST_SLOTS {
            if self.now_ms < self.slots[slot].paused_until_ms {
                self.slots[slot].paused_until_ms = self.now_ms;
                let generation = self.slots[slot].generation;
                self.schedule(self.now_ms, Task::Tick { slot, generation });
            }
        }
    }
}

fn peer_address(slot: usize) -> net::SocketAddr {
    let port = 1_000 + u16::try_from(slot).expect("the slot number fits in a port");
    net::SocketAddr::from(([10, 0, 0, 1], port))
}

fn caller_address(slot: usize) -> net::SocketAddr {
    let port = 2_000 + u16::try_from(slot).expect("the slot number fits in a port");
    net::SocketAddr::from(([10, 0, 0, 1], port))
}
