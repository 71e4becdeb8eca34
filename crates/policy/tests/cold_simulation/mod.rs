//! A simulation of hosts that send requests to cold servers.
//!
//! Hosts are killed, cut off from the store and started, and learn of it at different times. Requests
//! take up to 100 ms to arrive.

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "all numbers are small and positive"
)]

use std::collections;
use std::net;
use std::sync::Arc;

use rand::RngExt as _;
use rand::SeedableRng as _;
use toucanwall_policy::cold_starts;
use toucanwall_routing::name;
use toucanwall_routing::position;
use toucanwall_routing::server;

type Rng = rand_chacha::ChaCha8Rng;

pub const PER_S: f64 = 22.0;
pub const BOUND: usize = 38;
const SETTLING_MS: u64 = 3_000;
/// Longest time until a host has heard of a change of the hosts, in milliseconds.
const VIEW_DELAY_MAX_MS: u64 = 2_000;
/// Longest time until a host knows that it is cut off, in milliseconds.
const CUT_OFF_NOTICE_MAX_MS: u64 = 2_500;
/// Time after which the entry of a host that does not answer is removed, in milliseconds.
const REMOVAL_MS: u64 = 3_500;
const ARRIVAL_MAX_MS: u64 = 100;
const END_MS: u64 = 40_000;
/// From when the use of the limits is measured, in milliseconds: hosts that have just started send
/// nothing to cold servers.
pub const MEASURED_FROM_MS: u64 = 10_000;

/// What happens to the hosts meanwhile.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// All hosts start within a second, and the first of them know only some of the others.
    StartTogether,
    /// Single hosts are killed, and start again later.
    Kills,
    /// Single hosts are cut off from the store and the other hosts, which remove their entries.
    CutOff,
    /// Half of the hosts are cut off at once and removed; they go on with their last view.
    Partition,
    /// The store is lost for all hosts for ten seconds.
    StoreLost,
    /// Further hosts start, up to twice as many.
    Starts,
    /// The servers end and come back as new runs, of which hosts hear at different times.
    NewRuns,
    /// Kills, cuts, starts and new runs, overlapping.
    All,
}

/// How many requests there are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Demand {
    /// Each host always has a request for each server.
    Endless,
    /// Four times as many as the cold servers take, to random hosts.
    High,
}

#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub hosts: usize,
    pub servers: usize,
    pub fault: Fault,
    pub demand: Demand,
}

#[derive(Debug)]
pub struct Outcome {
    /// Most requests that arrived at a server in a second.
    pub worst_window: usize,
    /// Requests a second to a server, as a share of the rate that it takes.
    pub used: f64,
    /// Used share of the server that got the fewest.
    pub used_min: f64,
}

struct Host {
    name: name::HostName,
    policy: cold_starts::ColdStarts,
    is_alive: bool,
    /// Whether changes reach the host.
    is_connected: bool,
    /// Changes of the registered hosts, or of being cut off, that the host learns of later.
    pending: Vec<(u64, News)>,
    view: Arc<collections::BTreeSet<name::HostName>>,
    knows_cut: bool,
}

#[derive(Clone)]
enum News {
    Hosts(Arc<collections::BTreeSet<name::HostName>>),
    CutOff(bool),
    Run(usize, u64),
}

struct Simulation {
    scenario: Scenario,
    rng: Rng,
    now_ms: u64,
    hosts: Vec<Host>,
    /// Hosts that the store shows.
    registered: collections::BTreeSet<name::HostName>,
    /// Entries that are written or removed later.
    registrations: Vec<(u64, name::HostName, bool)>,
    /// Current run of each server.
    runs: Vec<u64>,
    servers: Vec<server::BackendServer>,
    arrivals: Vec<Vec<u64>>,
}

/// Simulates a scenario with a seed.
pub fn simulate(scenario: Scenario, seed: u64) -> Outcome {
    let mut simulation = Simulation {
        scenario,
        rng: Rng::seed_from_u64(seed),
        now_ms: 0,
        hosts: Vec::new(),
        registered: collections::BTreeSet::new(),
        registrations: Vec::new(),
        runs: vec![1; scenario.servers],
        servers: (0..scenario.servers).map(|number| server(number, 1)).collect(),
        arrivals: vec![Vec::new(); scenario.servers],
    };
    simulation.run()
}

fn server(number: usize, run: u64) -> server::BackendServer {
    server::BackendServer {
        id: name::ServerId::from(format!("server-{number}").as_str()),
        service: name::ServiceName::from("service"),
        address: net::SocketAddr::from(([127, 0, 0, 1], 9)),
        data_centre: name::DataCentre::from("dc"),
        version: name::Version::from("v1"),
        slots: 16,
        readiness: server::Readiness::Ready,
        started_unix_ms: Some(run),
    }
}

impl Simulation {
    fn run(&mut self) -> Outcome {
        let hosts = self.scenario.hosts;
        for _ in 0..hosts {
            let starts_ms = match self.scenario.fault {
                Fault::StartTogether => self.rng.random_range(0..1_000),
                _ => 0,
            };
            self.add_host(starts_ms);
        }
        while self.now_ms < END_MS {
            self.update_registry();
            self.inject_faults();
            self.deliver_news();
            self.send();
            self.now_ms += 1;
        }
        self.outcome()
    }

    fn add_host(&mut self, starts_ms: u64) {
        let name = name::HostName::from(format!("host-{}", self.hosts.len()).as_str());
        self.hosts.push(Host {
            name: name.clone(),
            policy: policy(&name),
            is_alive: false,
            is_connected: true,
            pending: Vec::new(),
            view: Arc::default(),
            knows_cut: false,
        });
        self.registrations.push((starts_ms, name, true));
    }

    /// Writes and removes entries that are due, and lets the hosts hear of it.
    fn update_registry(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<_> = self.registrations.extract_if(.., |it| it.0 <= now_ms).collect();
        if due.is_empty() {
            return;
        }
        for (_, name, is_written) in due {
            if is_written {
                self.registered.insert(name.clone());
                self.start(&name);
            } else {
                self.registered.remove(&name);
            }
        }
        let registered = Arc::new(self.registered.clone());
        for host in self.hosts.iter_mut().filter(|host| host.is_alive && host.is_connected) {
            // Hosts that have just started have listed the entries.
            let delay_ms =
                if host.view.is_empty() { 0 } else { self.rng.random_range(0..VIEW_DELAY_MAX_MS) };
            // Changes arrive in order, the latest with all before.
            host.pending.retain(|(at_ms, news)| {
                !matches!(news, News::Hosts(_)) || *at_ms < now_ms + delay_ms
            });
            host.pending.push((now_ms + delay_ms, News::Hosts(Arc::clone(&registered))));
        }
    }

    /// Starts a process, which knows nothing.
    fn start(&mut self, name: &name::HostName) {
        let servers: Vec<_> =
            self.runs.iter().enumerate().map(|(number, run)| server(number, *run)).collect();
        let Some(host) = self.hosts.iter_mut().find(|host| host.name == *name) else { return };
        if host.is_alive {
            return;
        }
        host.policy = policy(name);
        host.is_alive = true;
        host.is_connected = true;
        host.knows_cut = false;
        host.view = Arc::default();
        host.pending.clear();
        for server in servers {
            let position = position::Position::new(position::Era::default(), self.now_ms + 1);
            host.policy.record_entry(&server, position, None, self.now_ms);
        }
    }

    fn inject_faults(&mut self) {
        let (fault, now_ms) = (self.scenario.fault, self.now_ms);
        let is = |kind, every_ms: u64| {
            (fault == kind || fault == Fault::All)
                && now_ms > 5_000
                && now_ms.is_multiple_of(every_ms)
        };
        if is(Fault::Kills, 2_300) {
            self.kill();
        }
        if is(Fault::CutOff, 2_900) {
            let chosen = self.rng.random_range(0..self.hosts.len());
            self.cut_off(chosen);
        }
        if is(Fault::Starts, 700) && self.hosts.len() < 2 * self.scenario.hosts {
            self.add_host(now_ms);
        }
        if is(Fault::NewRuns, 7_100) {
            self.restart_servers();
        }
        if fault == Fault::Partition && now_ms == 12_000 {
            for number in 0..self.hosts.len() / 2 {
                self.cut_off(number);
            }
        }
        if fault == Fault::StoreLost && (now_ms == 12_000 || now_ms == 22_000) {
            for host in &mut self.hosts {
                let at_ms = now_ms + self.rng.random_range(0..CUT_OFF_NOTICE_MAX_MS);
                host.pending.push((at_ms, News::CutOff(now_ms == 12_000)));
            }
        }
    }

    fn kill(&mut self) {
        let chosen = self.rng.random_range(0..self.hosts.len());
        let host = &mut self.hosts[chosen];
        if host.is_alive && host.is_connected {
            host.is_alive = false;
            let name = host.name.clone();
            self.registrations.push((self.now_ms + REMOVAL_MS, name.clone(), false));
            // It starts again under the same name once its entry is gone.
            let back_ms = self.now_ms + self.rng.random_range(1_000..8_000);
            self.registrations.push((back_ms.max(self.now_ms + REMOVAL_MS + 1), name, true));
        }
    }

    fn cut_off(&mut self, number: usize) {
        let notice_ms = self.now_ms + self.rng.random_range(500..CUT_OFF_NOTICE_MAX_MS);
        let host = &mut self.hosts[number];
        if host.is_alive && host.is_connected {
            host.is_connected = false;
            host.pending.retain(|(_, news)| !matches!(news, News::Hosts(_)));
            host.pending.push((notice_ms, News::CutOff(true)));
            self.registrations.push((self.now_ms + REMOVAL_MS, host.name.clone(), false));
        }
    }

    fn restart_servers(&mut self) {
        for number in 0..self.runs.len() {
            self.runs[number] += 1;
            self.servers[number] = server(number, self.runs[number]);
            for host in self.hosts.iter_mut().filter(|host| host.is_alive) {
                let at_ms = self.now_ms + self.rng.random_range(0..VIEW_DELAY_MAX_MS);
                host.pending.push((at_ms, News::Run(number, self.runs[number])));
            }
        }
    }

    fn deliver_news(&mut self) {
        let now_ms = self.now_ms;
        for host in self.hosts.iter_mut().filter(|host| host.is_alive) {
            let due: Vec<_> = host.pending.extract_if(.., |(at_ms, _)| *at_ms <= now_ms).collect();
            if due.is_empty() {
                continue;
            }
            for (_, news) in due {
                match news {
                    News::Hosts(hosts) => host.view = hosts,
                    News::CutOff(is_cut_off) => host.knows_cut = is_cut_off,
                    News::Run(number, run) => {
                        let position =
                            position::Position::new(position::Era::default(), now_ms + 1);
                        host.policy.record_entry(&server(number, run), position, None, now_ms);
                    }
                }
            }
            host.policy.set_hosts(host.view.iter().cloned(), host.knows_cut, now_ms);
        }
    }

    fn send(&mut self) {
        let mean = match self.scenario.demand {
            Demand::Endless => {
                // Each pair of a host and a server is looked at every 10 ms.
                for host in 0..self.hosts.len() {
                    if (self.now_ms as usize + host).is_multiple_of(10) {
                        for number in 0..self.scenario.servers {
                            self.try_send(host, number);
                        }
                    }
                }
                return;
            }
            Demand::High => 4.0 * PER_S * self.scenario.servers as f64 / 1_000.0,
        };
        let count = mean as usize + usize::from(self.rng.random_bool(mean.fract()));
        for _ in 0..count {
            let host = self.rng.random_range(0..self.hosts.len());
            let first = self.rng.random_range(0..self.scenario.servers);
            let servers = self.scenario.servers;
            // The request goes to any server that may get one.
            let _sent = (0..servers).any(|step| self.try_send(host, (first + step) % servers));
        }
    }

    fn try_send(&mut self, host: usize, number: usize) -> bool {
        let host = &mut self.hosts[host];
        if !host.is_alive || !host.policy.take(&self.servers[number], self.now_ms) {
            return false;
        }
        let delay_ms = match self.rng.random_range(0..3) {
            0 => 0,
            1 => ARRIVAL_MAX_MS,
            _ => self.rng.random_range(0..=ARRIVAL_MAX_MS),
        };
        self.arrivals[number].push(self.now_ms + delay_ms);
        true
    }

    fn outcome(&mut self) -> Outcome {
        let measured_s = (END_MS - MEASURED_FROM_MS) as f64 / 1_000.0;
        let mut outcome = Outcome { worst_window: 0, used: 0.0, used_min: f64::MAX };
        for arrivals in &mut self.arrivals {
            arrivals.sort_unstable();
            let mut first = 0;
            for (last, at_ms) in arrivals.iter().enumerate() {
                while arrivals[first] + 1_000 <= *at_ms {
                    first += 1;
                }
                outcome.worst_window = outcome.worst_window.max(last - first + 1);
            }
            let measured =
                arrivals.iter().filter(|at_ms| (MEASURED_FROM_MS..END_MS).contains(*at_ms));
            let used = measured.count() as f64 / measured_s / PER_S;
            outcome.used += used / self.scenario.servers as f64;
            outcome.used_min = outcome.used_min.min(used);
        }
        outcome
    }
}

fn policy(name: &name::HostName) -> cold_starts::ColdStarts {
    let mut policy = cold_starts::ColdStarts::new(name.clone(), SETTLING_MS);
    let limit = cold_starts::Limit::new(2 * END_MS, PER_S, 1.5, 5.0).expect("a limit");
    assert_eq!(usize::try_from(limit.bound()), Ok(BOUND));
    policy.set_limits([(name::ServiceName::from("service"), limit)].into());
    policy
}
