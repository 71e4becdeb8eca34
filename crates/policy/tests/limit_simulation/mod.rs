//! A simulation of hosts that send requests to a server while it names a limit.
//!
//! Requests that may not be sent go elsewhere. Messages between hosts take a few milliseconds and some are
//! lost; hosts learn of other hosts that start or are lost at different times.

#![allow(dead_code, reason = "the example and the tests read different figures")]
#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "all numbers are small and positive"
)]

use std::cmp;
use std::collections;
use std::net;

use rand::RngExt as _;
use rand::SeedableRng as _;
use toucanwall_policy::server_limits;
use toucanwall_routing::name;
use toucanwall_routing::server;
use xxhash_rust::xxh3;

type Rng = rand_chacha::ChaCha8Rng;

/// Window in which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Time after the first response with a limit from which a host's requests are counted, in
/// milliseconds.
const NOTICE_MS: u64 = 500;
/// Time from a request to its response, in milliseconds.
const RESPONSE_MS: u64 = 60;
/// Longest time that a message between hosts takes, in milliseconds.
const MESSAGE_MAX_MS: u64 = 25;
/// Share of the messages between hosts that is lost.
const MESSAGE_LOSS: f64 = 0.01;
/// Longest time for which a request waits for a permit, in milliseconds.
const WAIT_MS: u64 = 150;
/// Longest time until a host knows that another one has registered or been removed, in milliseconds.
const VIEW_DELAY_MS: u64 = 2_000;
/// Time after which the entry of a lost host is removed, in milliseconds.
const REMOVAL_MS: u64 = 3_000;
/// Time after a change until the views of hosts count as the same, in milliseconds.
const SETTLING_MS: u64 = 3_000;
/// When the server begins to name its limit, in milliseconds.
const LIMITED_AT_MS: u64 = 5_000;
/// From when the use of the limit is measured, in milliseconds.
const MEASURED_FROM_MS: u64 = 12_000;
const END_MS: u64 = 40_000;
/// Time between two troubles, in milliseconds.
const TROUBLE_INTERVAL_MS: u64 = 2_500;
/// Hosts among which [`Rule::FixedFive`] divides the limit.
const FIXED_HOSTS: usize = 5;

/// How hosts keep the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// They do not.
    Ignore,
    /// Each host by itself.
    EachAlone,
    /// Each host keeps an equal part.
    EqualParts,
    /// Five hosts, chosen by a hash, keep a fifth each, and no other host sends anything.
    FixedFive,
    /// The policy.
    Policy,
}

/// What happens to the hosts meanwhile.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    None,
    /// Single hosts are killed and start again.
    Kills,
    /// Single hosts are frozen for a while.
    Freezes,
    /// Single hosts receive no messages of others for a while.
    Cuts,
    /// Further hosts start.
    Starts,
    /// Each half of the hosts knows only the hosts of its own half, and has seen them change.
    TwoViews,
    /// The limit halves and doubles.
    Changes,
    /// All of them but `TwoViews`, overlapping.
    All,
}

/// Which hosts have callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Callers {
    /// All hosts alike.
    Even,
    /// A single host.
    OneHost,
}

/// What becomes of requests that find no permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Others {
    /// Other servers take them at once.
    TakeThem,
    /// There is no other server, so that some of them wait for a permit.
    None,
}

#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub rule: Rule,
    pub others: Others,
    pub trouble: Trouble,
    pub callers: Callers,
    pub hosts: usize,
    pub limit_per_s: f64,
    /// Requests a second for the server, of all hosts.
    pub demand_per_s: f64,
}

/// What a simulation has shown.
#[derive(Debug, Clone, Copy)]
pub struct Figures {
    /// Largest number of requests in a window above the allowed number; negative below it.
    pub most_over: f64,
    /// Windows with more requests than allowed.
    pub windows_over: usize,
    /// Requests that were sent, as a share of those that the limit and the demand permit.
    pub used: f64,
    /// Messages between hosts for each host and second while the server named a limit.
    pub messages_per_s: f64,
    /// From when on the requests of all hosts keep the allowed number, in milliseconds after the first
    /// response with the limit.
    pub held_after_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request { host: usize },
    Response { host: usize, incarnation: u32, sent_ms: u64 },
    Delivery { to: usize, from: usize, message: usize },
    Wake { host: usize },
    Trouble,
    Restart { host: usize },
    Resume { host: usize },
    View { host: usize },
}

struct Host {
    name: name::HostName,
    limits: server_limits::ServerLimits,
    incarnation: u32,
    is_up: bool,
    /// Until when the host does nothing, in milliseconds.
    frozen_until_ms: u64,
    cut_until_ms: u64,
    /// When the host first received a response with a limit, in milliseconds.
    told_ms: Option<u64>,
    /// Until when its requests do not count, in milliseconds.
    excused_until_ms: u64,
    /// When the host is woken next, in milliseconds.
    wakes_ms: u64,
    /// When requests that wait for a permit go elsewhere, in milliseconds.
    waiting: collections::VecDeque<u64>,
    /// Requests that this host may send by itself, for the simple rules.
    tokens: f64,
    tokens_at_ms: u64,
    rng: Rng,
}

struct Simulation {
    scenario: Scenario,
    hosts: Vec<Host>,
    positions: collections::BTreeMap<name::HostName, usize>,
    registered: collections::BTreeMap<name::HostName, bool>,
    events: collections::BinaryHeap<cmp::Reverse<(u64, u64, Event)>>,
    next_event: u64,
    messages: Vec<server_limits::Message>,
    sent_messages: usize,
    server: server::BackendServer,
    limit_per_s: f64,
    /// Requests sent: time, whether they count.
    sent: Vec<(u64, bool)>,
    rng: Rng,
}

/// Simulates a scenario.
pub fn run(scenario: Scenario, seed: u64) -> Figures {
    let mut simulation = Simulation::new(scenario, seed);
    simulation.run();
    simulation.figures()
}

impl Simulation {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let server = server::BackendServer {
            id: name::ServerId::from(format!("server-{seed}").as_str()),
            service: name::ServiceName::from("service"),
            address: net::SocketAddr::from(([127, 0, 0, 1], 9)),
            data_centre: name::DataCentre::from("dc"),
            version: name::Version::from("v1"),
            slots: 8,
            readiness: server::Readiness::Ready,
            started_unix_ms: Some(1),
        };
        let mut simulation = Self {
            scenario,
            hosts: Vec::new(),
            positions: collections::BTreeMap::new(),
            registered: collections::BTreeMap::new(),
            events: collections::BinaryHeap::new(),
            next_event: 0,
            messages: Vec::new(),
            sent_messages: 0,
            server,
            limit_per_s: scenario.limit_per_s,
            sent: Vec::new(),
            rng: Rng::seed_from_u64(seed),
        };
        for _ in 0..scenario.hosts {
            simulation.add_host(0);
        }
        for host in 0..scenario.hosts {
            simulation.set_view(host, 0);
        }
        simulation.schedule(LIMITED_AT_MS + TROUBLE_INTERVAL_MS, Event::Trouble);
        simulation
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.next_event += 1;
        self.events.push(cmp::Reverse((at_ms, self.next_event, event)));
    }

    fn add_host(&mut self, now_ms: u64) {
        let index = self.hosts.len();
        let name = name::HostName::from(format!("host-{index}").as_str());
        self.registered.insert(name.clone(), true);
        self.positions.insert(name.clone(), index);
        let limits = server_limits::ServerLimits::new(name.clone(), SETTLING_MS, self.rng.random());
        self.hosts.push(Host {
            name,
            limits,
            incarnation: 0,
            is_up: true,
            frozen_until_ms: 0,
            cut_until_ms: 0,
            told_ms: None,
            excused_until_ms: 0,
            wakes_ms: u64::MAX,
            waiting: collections::VecDeque::new(),
            tokens: 1.0,
            tokens_at_ms: 0,
            rng: Rng::seed_from_u64(self.rng.random()),
        });
        if self.scenario.callers == Callers::Even || index == 0 {
            self.schedule_request(index, now_ms);
        }
    }

    fn schedule_request(&mut self, host: usize, now_ms: u64) {
        let callers = match self.scenario.callers {
            Callers::Even => self.scenario.hosts as f64,
            Callers::OneHost => 1.0,
        };
        let mean_ms = 1_000.0 * callers / self.scenario.demand_per_s;
        let random: f64 = self.hosts[host].rng.random();
        let wait_ms = -mean_ms * (1.0 - random).ln();
        self.schedule(now_ms + wait_ms as u64 + 1, Event::Request { host });
    }

    fn run(&mut self) {
        while let Some(cmp::Reverse((now_ms, _, event))) = self.events.pop() {
            if now_ms >= END_MS {
                return;
            }
            self.handle(event, now_ms);
        }
    }

    fn handle(&mut self, event: Event, now_ms: u64) {
        match event {
            Event::Request { host } => {
                self.schedule_request(host, now_ms);
                if self.hosts[host].is_running(now_ms) {
                    self.place(host, now_ms);
                    self.flush(host, now_ms);
                }
            }
            Event::Response { host, incarnation, sent_ms } => {
                self.receive_response(host, incarnation, sent_ms, now_ms);
            }
            Event::Delivery { to, from, message } => {
                if self.hosts[to].frozen_until_ms > now_ms {
                    let at_ms = self.hosts[to].frozen_until_ms;
                    self.schedule(at_ms, Event::Delivery { to, from, message });
                } else if self.hosts[to].is_up {
                    let (name, message) =
                        (self.hosts[from].name.clone(), self.messages[message].clone());
                    self.hosts[to].limits.receive(&name, &message, now_ms);
                    self.serve_waiting(to, now_ms);
                    self.flush(to, now_ms);
                }
            }
            Event::Wake { host } => {
                if self.hosts[host].wakes_ms != now_ms {
                    return;
                }
                self.hosts[host].wakes_ms = u64::MAX;
                if self.hosts[host].is_running(now_ms) {
                    self.serve_waiting(host, now_ms);
                    self.flush(host, now_ms);
                }
            }
            Event::Trouble => {
                self.schedule(now_ms + TROUBLE_INTERVAL_MS, Event::Trouble);
                self.cause_trouble(now_ms);
            }
            Event::Restart { host } => self.restart(host, now_ms),
            Event::Resume { host } => {
                self.hosts[host].wakes_ms = u64::MAX;
                self.serve_waiting(host, now_ms);
                self.flush(host, now_ms);
            }
            Event::View { host } => self.set_view(host, now_ms),
        }
    }

    fn receive_response(&mut self, host: usize, incarnation: u32, sent_ms: u64, now_ms: u64) {
        let is_limited = now_ms >= LIMITED_AT_MS;
        let per_1000_s = (self.limit_per_s * 1_000.0) as u64;
        let rate = is_limited.then(|| server_limits::Rate::from_per_1000_s(per_1000_s));
        let it = &mut self.hosts[host];
        if it.frozen_until_ms > now_ms {
            let at_ms = it.frozen_until_ms;
            self.schedule(at_ms, Event::Response { host, incarnation, sent_ms });
            return;
        }
        if !it.is_up || it.incarnation != incarnation {
            return;
        }
        if is_limited {
            it.told_ms.get_or_insert(now_ms);
        }
        if self.scenario.rule == Rule::Policy {
            it.limits.record_response(&self.server, rate, sent_ms, now_ms);
            self.flush(host, now_ms);
        }
    }

    /// Sends a request to the server if the rule allows it.
    fn place(&mut self, host: usize, now_ms: u64) {
        let is_told = self.hosts[host].told_ms.is_some();
        let hosts = self.scenario.hosts as f64;
        let own_per_s = match self.scenario.rule {
            Rule::Policy => {
                self.place_by_policy(host, now_ms);
                return;
            }
            _ if !is_told => f64::INFINITY,
            Rule::Ignore => f64::INFINITY,
            Rule::EachAlone => self.limit_per_s,
            Rule::EqualParts => self.limit_per_s / hosts,
            Rule::FixedFive if self.is_among_five(host) => self.limit_per_s / FIXED_HOSTS as f64,
            Rule::FixedFive => 0.0,
        };
        let it = &mut self.hosts[host];
        if own_per_s.is_finite() {
            let elapsed_s = (now_ms - it.tokens_at_ms) as f64 / 1_000.0;
            it.tokens = (it.tokens + elapsed_s * own_per_s).min(1.0);
            it.tokens_at_ms = now_ms;
            if it.tokens < 1.0 || own_per_s <= 0.0 {
                return;
            }
            it.tokens -= 1.0;
        }
        self.send(host, now_ms);
    }

    fn is_among_five(&self, host: usize) -> bool {
        let weight = |name: &name::HostName| xxh3::xxh3_64(name.as_str().as_bytes());
        let own = weight(&self.hosts[host].name);
        let before = self.registered.keys().filter(|name| weight(name) > own).count();
        before < FIXED_HOSTS
    }

    fn place_by_policy(&mut self, host: usize, now_ms: u64) {
        let it = &mut self.hosts[host];
        let id = &self.server.id;
        match it.limits.availability(&self.server, now_ms) {
            server_limits::Availability::Unlimited => self.send(host, now_ms),
            server_limits::Availability::Permitted { .. } if it.waiting.is_empty() => {
                if it.limits.take_permit(id, now_ms).is_some() {
                    self.send(host, now_ms);
                }
            }
            _ => {
                it.limits.record_demand(id, 1, now_ms);
                if self.scenario.others == Others::None
                    && it.waiting.len() < it.limits.max_waiting(id)
                {
                    it.waiting.push_back(now_ms + WAIT_MS);
                }
                self.serve_waiting(host, now_ms);
            }
        }
    }

    fn serve_waiting(&mut self, host: usize, now_ms: u64) {
        loop {
            let it = &mut self.hosts[host];
            while it.waiting.front().is_some_and(|until_ms| *until_ms <= now_ms) {
                it.waiting.pop_front();
            }
            if it.waiting.is_empty()
                || it.limits.availability(&self.server, now_ms)
                    == server_limits::Availability::Exhausted
            {
                return;
            }
            it.waiting.pop_front();
            it.limits.take_permit(&self.server.id, now_ms);
            self.send(host, now_ms);
        }
    }

    fn send(&mut self, host: usize, now_ms: u64) {
        let it = &self.hosts[host];
        let is_counted = it.told_ms.is_some_and(|told_ms| now_ms > told_ms + NOTICE_MS)
            && now_ms >= it.excused_until_ms;
        self.sent.push((now_ms, is_counted));
        let incarnation = it.incarnation;
        let event = Event::Response { host, incarnation, sent_ms: now_ms };
        self.schedule(now_ms + RESPONSE_MS, event);
    }

    /// Sends a host's messages and schedules its next ones.
    fn flush(&mut self, host: usize, now_ms: u64) {
        if self.scenario.rule != Rule::Policy {
            return;
        }
        for (to, message) in self.hosts[host].limits.take_messages(now_ms) {
            self.sent_messages += 1;
            let Some(to) = self.positions.get(&to).copied() else { continue };
            let is_cut = [host, to].iter().any(|it| self.hosts[*it].cut_until_ms > now_ms);
            if is_cut || self.rng.random_bool(MESSAGE_LOSS) {
                continue;
            }
            self.messages.push(message);
            let message = self.messages.len() - 1;
            let at_ms = now_ms + self.rng.random_range(1..=MESSAGE_MAX_MS);
            self.schedule(at_ms, Event::Delivery { to, from: host, message });
        }
        if let Some(due_ms) = self.hosts[host].limits.next_due_ms(now_ms) {
            let due_ms = due_ms.max(now_ms + 1);
            if due_ms < self.hosts[host].wakes_ms {
                self.hosts[host].wakes_ms = due_ms;
                self.schedule(due_ms, Event::Wake { host });
            }
        }
    }

    fn cause_trouble(&mut self, now_ms: u64) {
        let trouble = match self.scenario.trouble {
            Trouble::All => {
                [Trouble::Kills, Trouble::Freezes, Trouble::Cuts, Trouble::Starts, Trouble::Changes]
                    [self.rng.random_range(0..5)]
            }
            trouble => trouble,
        };
        // Issuers are hit more often than chance would have it.
        let issuers: Vec<_> = (0..self.hosts.len())
            .filter(|it| self.hosts[*it].limits.is_issuer(&self.server.id))
            .collect();
        let hit = if issuers.is_empty() || self.rng.random_bool(0.5) {
            self.rng.random_range(0..self.hosts.len())
        } else {
            issuers[self.rng.random_range(0..issuers.len())]
        };
        let length_ms = self.rng.random_range(500..5_000);
        match trouble {
            Trouble::None | Trouble::All | Trouble::TwoViews => {}
            Trouble::Kills => {
                self.hosts[hit].is_up = false;
                self.hosts[hit].excused_until_ms = u64::MAX;
                self.schedule(now_ms + length_ms, Event::Restart { host: hit });
                if length_ms > REMOVAL_MS {
                    self.change_registration(hit, false, now_ms + REMOVAL_MS);
                }
            }
            Trouble::Freezes => {
                self.hosts[hit].frozen_until_ms = now_ms + length_ms;
                self.excuse(hit, now_ms + length_ms);
                self.schedule(now_ms + length_ms, Event::Resume { host: hit });
                if length_ms > REMOVAL_MS {
                    self.change_registration(hit, false, now_ms + REMOVAL_MS);
                    self.change_registration(hit, true, now_ms + length_ms);
                }
            }
            Trouble::Cuts => {
                self.hosts[hit].cut_until_ms = now_ms + length_ms;
                self.excuse(hit, now_ms + length_ms);
            }
            Trouble::Starts => {
                self.add_host(now_ms);
                let host = self.hosts.len() - 1;
                self.change_registration(host, true, now_ms);
            }
            Trouble::Changes => {
                let is_halved = self.limit_per_s < self.scenario.limit_per_s;
                self.limit_per_s = self.scenario.limit_per_s * if is_halved { 1.0 } else { 0.5 };
            }
        }
    }

    /// Leaves the requests of a host out of account until it has been in touch for a while.
    fn excuse(&mut self, host: usize, until_ms: u64) {
        let it = &mut self.hosts[host];
        it.excused_until_ms = it.excused_until_ms.max(until_ms + SETTLING_MS);
    }

    fn change_registration(&mut self, host: usize, is_registered: bool, at_ms: u64) {
        self.registered.insert(self.hosts[host].name.clone(), is_registered);
        for host in 0..self.hosts.len() {
            let delay_ms = self.rng.random_range(0..VIEW_DELAY_MS);
            self.schedule(at_ms + delay_ms, Event::View { host });
        }
    }

    fn restart(&mut self, host: usize, now_ms: u64) {
        let seed = self.rng.random();
        let it = &mut self.hosts[host];
        it.limits = server_limits::ServerLimits::new(it.name.clone(), SETTLING_MS, seed);
        it.incarnation += 1;
        it.is_up = true;
        it.told_ms = None;
        it.excused_until_ms = now_ms + SETTLING_MS;
        it.waiting.clear();
        it.wakes_ms = u64::MAX;
        self.change_registration(host, true, now_ms);
    }

    fn set_view(&mut self, host: usize, now_ms: u64) {
        let half = |index: usize| index % 2;
        let is_seen =
            |index: usize| self.scenario.trouble != Trouble::TwoViews || half(index) == half(host);
        let hosts =
            self.hosts.iter().enumerate().filter(|(index, it)| {
                is_seen(*index) && self.registered.get(&it.name) == Some(&true)
            });
        let mut names: Vec<_> = hosts.map(|(_, it)| it.name.clone()).collect();
        names.sort();
        let has_silent_hosts = self.scenario.trouble == Trouble::TwoViews;
        if self.hosts[host].is_up {
            self.hosts[host].limits.set_hosts(names, has_silent_hosts, now_ms);
        }
    }

    fn allowed(&self) -> f64 {
        1.5 * WINDOW_MS as f64 / 1_000.0 * self.scenario.limit_per_s + 5.0
    }

    fn figures(&self) -> Figures {
        let counted: Vec<u64> = self.sent.iter().filter(|it| it.1).map(|it| it.0).collect();
        let allowed = self.allowed();
        let in_window = |times: &[u64], first: usize| {
            let end_ms = times[first] + WINDOW_MS;
            times[first..].iter().take_while(|at_ms| **at_ms < end_ms).count() as f64
        };
        let windows: Vec<_> = (0..counted.len()).map(|it| in_window(&counted, it)).collect();
        let all: Vec<u64> =
            self.sent.iter().map(|it| it.0).filter(|at_ms| *at_ms >= LIMITED_AT_MS).collect();
        let last_over = (0..all.len()).rev().find(|it| in_window(&all, *it) > allowed);
        let measured = all.iter().filter(|at_ms| **at_ms >= MEASURED_FROM_MS).count() as f64;
        let measured_s = (END_MS - MEASURED_FROM_MS) as f64 / 1_000.0;
        let limit_per_s = self.scenario.limit_per_s.min(self.scenario.demand_per_s);
        let limited_s = (END_MS - LIMITED_AT_MS) as f64 / 1_000.0;
        Figures {
            most_over: windows.iter().fold(f64::NEG_INFINITY, |most, it| most.max(*it)) - allowed,
            windows_over: windows.iter().filter(|it| **it > allowed).count(),
            used: measured / (limit_per_s * measured_s),
            messages_per_s: self.sent_messages as f64 / self.hosts.len() as f64 / limited_s,
            held_after_ms: last_over.map_or(0, |it| all[it] - LIMITED_AT_MS),
        }
    }
}

impl Host {
    fn is_running(&self, now_ms: u64) -> bool {
        self.is_up && now_ms >= self.frozen_until_ms
    }
}
