//! A simulation of servers that ask for pauses, and of hosts that send requests to them.

#![allow(dead_code, reason = "the example and the tests read different figures")]

use std::collections;
use std::sync::Arc;

use rand::RngExt as _;
use rand::SeedableRng as _;
use toucanwall_policy::admission;
use toucanwall_policy::placement;
use toucanwall_policy::retry_quota;
use toucanwall_policy::server_notices;
use toucanwall_routing::name;
use toucanwall_routing::server;

type Rng = rand_chacha::ChaCha8Rng;

/// Time from a host to a server, and back, in milliseconds.
const NETWORK_MS: u64 = 2;
/// Mean time for which a server runs a request, in milliseconds.
const SERVICE_MS: f64 = 200.0;
/// Concurrent requests of a server.
const SLOTS: usize = 4;
/// Requests that wait at a server, above which it declines.
const QUEUE_MAX: usize = 8;
/// Time after which a request is of no use, in milliseconds.
const DEADLINE_MS: u64 = 8_000;
/// Servers that a request is sent to at most.
const MAX_ATTEMPTS: u32 = 2;
/// Concurrent requests of a host at one server.
const IN_FLIGHT_MAX: u32 = 64;
/// Priority of all requests.
const PRIORITY: u32 = 1;
/// Time after a request for a pause from which sends count, in milliseconds.
const NOTICE_MS: u64 = 500;
/// Time after which all hosts know what one was told, in milliseconds.
const TELL_MS: u64 = 250;
/// When servers pause, or the load rises, in milliseconds.
pub const TROUBLE_AT_MS: u64 = 15_000;
/// Length of a span for which the served share is measured, in milliseconds.
pub const SPAN_MS: u64 = 250;
const END_MS: u64 = 40_000;
const LIMITS: retry_quota::RetryLimits =
    retry_quota::RetryLimits { ratio: 0.2, allowance: 50, window_ms: 10_000 };

/// What hosts do when a server asks for a pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// They send on.
    Ignore,
    /// They send nothing until the end of the pause.
    Obey,
    /// As `Obey`, and they tell each other.
    ObeyAndTell,
    /// The policy, but with all of a host's load at the end of a pause.
    NoSlowStart,
    /// The policy.
    Policy,
}

/// Why servers pause.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Trouble {
    /// A share of the servers declines everything for the length of a pause.
    Share(f64),
    /// The load is multiplied for five seconds; servers ask for a pause when they are full.
    Overload(f64),
}

#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub rule: Rule,
    pub trouble: Trouble,
    pub hosts: usize,
    pub servers: usize,
    pub requests_per_s: f64,
    pub pause_ms: u64,
}

#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Most requests from one host that reached a server within a pause.
    pub sends_within_pause: usize,
    /// Most retries in a window beyond what all hosts together are allowed; negative if fewer.
    pub retries_over_budget: i64,
    /// Share of the requests that were served, by when they came, from the beginning of the trouble.
    pub served: Vec<f64>,
    /// Requests that servers declined from the beginning of the trouble on, for each request.
    pub declined: f64,
}

impl Outcome {
    /// Share of the requests that were served in a time since the beginning of the trouble.
    pub fn served_between(&self, from_ms: u64, to_ms: u64) -> f64 {
        let index = |at_ms: u64| usize::try_from(at_ms / SPAN_MS).unwrap_or(0);
        let spans = &self.served[index(from_ms)..index(to_ms)];
        spans.iter().sum::<f64>() / f64::from(u32::try_from(spans.len().max(1)).unwrap_or(1))
    }

    /// Time from `from_ms` until nine tenths of the requests are served for two seconds.
    pub fn back_after_ms(&self, from_ms: u64) -> Option<u64> {
        let settled = |at_ms: &u64| self.served_between(*at_ms, at_ms + 2_000) >= 0.9;
        let end_ms = END_MS - TROUBLE_AT_MS - 2_000;
        (from_ms..end_ms)
            .step_by(usize::try_from(SPAN_MS).unwrap_or(1))
            .find(settled)
            .map(|at_ms| at_ms - from_ms)
    }
}

#[derive(Debug, Clone)]
struct Request {
    host: usize,
    came_ms: u64,
    attempts: u32,
    excluded: collections::BTreeSet<name::ServerId>,
}

#[derive(Debug)]
enum Event {
    Comes,
    Returns { request: Request },
    Arrives { server: usize, request: Request },
    Ends { server: usize },
    Answered { server: usize, request: Request },
    Declined { server: usize, request: Request, pause_ms: u64 },
    Told { server: usize, until_ms: u64 },
}

#[derive(Debug, Default)]
struct Server {
    running: collections::VecDeque<(u64, Request)>,
    waiting: collections::VecDeque<Request>,
    declines_until_ms: u64,
}

struct Host {
    notices: server_notices::ServerNotices,
    /// Ends of pauses, for the rules that are not the policy's.
    paused_until_ms: Vec<u64>,
    placement: placement::Placement,
    quota: retry_quota::RetryQuota,
}

struct Simulation {
    scenario: Scenario,
    rng: Rng,
    now_ms: u64,
    events: collections::BTreeMap<(u64, u64), Event>,
    next_event: u64,
    entries: Vec<Arc<server::BackendServer>>,
    servers: Vec<Server>,
    hosts: Vec<Host>,
    requested_ms: Vec<u64>,
    retried_ms: Vec<u64>,
    arrivals_ms: collections::BTreeMap<(usize, usize), Vec<u64>>,
    pauses: Vec<(usize, usize, u64, u64)>,
    spans: Vec<(u32, u32)>,
    declined: u32,
}

pub fn simulate(scenario: Scenario, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(scenario, seed);
    simulation.run();
    simulation.outcome()
}

impl Simulation {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let mut rng = Rng::seed_from_u64(seed);
        let entry = |number: usize| {
            Arc::new(server::BackendServer {
                id: format!("s-{number}").into(),
                service: "desk".into(),
                address: ([10, 0, 0, 1], u16::try_from(1_000 + number).unwrap_or(0)).into(),
                data_centre: "dc-1".into(),
                version: "v1".into(),
                slots: u32::try_from(SLOTS).unwrap_or(1),
                readiness: server::Readiness::Ready,
                started_unix_ms: Some(1),
            })
        };
        let hosts = (0..scenario.hosts).map(|_| Host {
            notices: server_notices::ServerNotices::new(rng.random()),
            paused_until_ms: vec![0; scenario.servers],
            placement: placement::Placement::new(),
            quota: retry_quota::RetryQuota::new(LIMITS, &mut rng),
        });
        let hosts = hosts.collect();
        let spans = usize::try_from((END_MS - TROUBLE_AT_MS) / SPAN_MS + 1).unwrap_or(0);
        let mut simulation = Self {
            scenario,
            rng,
            now_ms: 0,
            events: collections::BTreeMap::new(),
            next_event: 0,
            entries: (0..scenario.servers).map(entry).collect(),
            servers: (0..scenario.servers).map(|_| Server::default()).collect(),
            hosts,
            requested_ms: Vec::new(),
            retried_ms: Vec::new(),
            arrivals_ms: collections::BTreeMap::new(),
            pauses: Vec::new(),
            spans: vec![(0, 0); spans],
            declined: 0,
        };
        simulation.after(0, Event::Comes);
        simulation
    }

    fn run(&mut self) {
        let mut has_paused = false;
        while let Some(((at_ms, _), event)) = self.events.pop_first() {
            self.now_ms = at_ms;
            if at_ms >= TROUBLE_AT_MS && !std::mem::replace(&mut has_paused, at_ms >= TROUBLE_AT_MS)
            {
                self.begin_trouble();
            }
            match event {
                Event::Comes => self.take_request(),
                Event::Returns { request } => self.dispatch(request),
                Event::Arrives { server, request } => self.arrive(server, request),
                Event::Ends { server } => self.end(server),
                Event::Answered { server, request } => self.answered(server, &request),
                Event::Declined { server, request, pause_ms } => {
                    self.declined(server, request, pause_ms);
                }
                Event::Told { server, until_ms } => self.told(server, until_ms),
            }
        }
    }

    fn after(&mut self, delay_ms: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((self.now_ms + delay_ms, self.next_event), event);
    }

    fn begin_trouble(&mut self) {
        if let Trouble::Share(share) = self.scenario.trouble {
            let servers = f64::from(u32::try_from(self.servers.len()).unwrap_or(u32::MAX));
            let count = toucanwall_routing::number::saturating_u64((servers * share).round());
            for server in self.servers.iter_mut().take(usize::try_from(count).unwrap_or(0)) {
                server.declines_until_ms = TROUBLE_AT_MS + self.scenario.pause_ms;
            }
        }
    }

    fn exponential_ms(&mut self, mean_ms: f64) -> u64 {
        let drawn = -mean_ms * (1.0 - self.rng.random::<f64>()).ln();
        toucanwall_routing::number::saturating_u64(drawn.ceil())
    }

    fn take_request(&mut self) {
        let is_overload = (TROUBLE_AT_MS..TROUBLE_AT_MS + 5_000).contains(&self.now_ms);
        let factor = match self.scenario.trouble {
            Trouble::Overload(factor) if is_overload => factor,
            _ => 1.0,
        };
        if self.now_ms < END_MS {
            // Several requests may come in the same millisecond.
            let per_ms = self.scenario.requests_per_s * factor / 1_000.0;
            let delay_ms = if self.rng.random::<f64>() < 1.0 - 1.0 / per_ms.max(1.0) {
                0
            } else {
                self.exponential_ms(1.0 / per_ms.min(1.0))
            };
            self.after(delay_ms, Event::Comes);
        }
        let host = self.rng.random_range(0..self.hosts.len());
        let host_count = u64::try_from(self.hosts.len()).unwrap_or(u64::MAX);
        self.hosts[host].quota.record_request(host_count, self.now_ms);
        self.requested_ms.push(self.now_ms);
        self.count(self.now_ms, |span| span.0 += 1);
        let excluded = collections::BTreeSet::new();
        self.dispatch(Request { host, came_ms: self.now_ms, attempts: 0, excluded });
    }

    fn dispatch(&mut self, mut request: Request) {
        let host_count = u64::try_from(self.hosts.len()).unwrap_or(u64::MAX);
        let is_late = self.now_ms >= request.came_ms + DEADLINE_MS;
        let accepting = self.accepting(request.host);
        let host = &mut self.hosts[request.host];
        let is_retry = request.attempts > 0;
        if is_late
            || request.attempts >= MAX_ATTEMPTS
            || (is_retry && !host.quota.try_take(host_count, self.now_ms))
        {
            return;
        }
        let data_centre = "dc-1".into();
        let wanted = placement::Request {
            generation: None,
            data_centre: &data_centre,
            in_flight_max: IN_FLIGHT_MAX,
            relative_cost_percent: 100,
        };
        let excluded = &request.excluded;
        let choice =
            host.placement.choose(wanted, &accepting, excluded, self.now_ms, &mut self.rng);
        let placement::Choice::Server { server, .. } = choice else {
            if !is_retry {
                self.reject(request);
            }
            return;
        };
        host.placement.record_start(&server.id, wanted, self.now_ms);
        request.attempts += 1;
        request.excluded.insert(server.id.clone());
        let server = self.entries.iter().position(|entry| entry.id == server.id).unwrap_or(0);
        self.after(NETWORK_MS, Event::Arrives { server, request });
    }

    /// Rejects a request at once while all servers pause; its caller comes back when it is told to.
    fn reject(&mut self, request: Request) {
        let host = &self.hosts[request.host];
        let acceptances = self.entries.iter().map(|it| host.notices.acceptance(it, self.now_ms));
        if let server_notices::Acceptance::Paused { until_ms } =
            server_notices::earliest(acceptances)
        {
            let wait_ms = until_ms - self.now_ms;
            let random = self.rng.random();
            let delay_ms = admission::retry_after_pause_ms(wait_ms, PRIORITY, random);
            let left_ms = (request.came_ms + DEADLINE_MS).saturating_sub(self.now_ms);
            if delay_ms <= left_ms / 3 {
                self.after(delay_ms, Event::Returns { request });
            }
        }
    }

    fn accepting(&self, host: usize) -> Vec<Arc<server::BackendServer>> {
        let host = &self.hosts[host];
        let accepts = |number: usize, entry: &Arc<server::BackendServer>| match self.scenario.rule {
            Rule::Ignore => true,
            Rule::Obey | Rule::ObeyAndTell => self.now_ms >= host.paused_until_ms[number],
            Rule::NoSlowStart | Rule::Policy => {
                host.notices.acceptance(entry, self.now_ms) == server_notices::Acceptance::Accepts
            }
        };
        let entries = self.entries.iter().enumerate();
        entries
            .filter(|(number, entry)| accepts(*number, entry))
            .map(|(_, it)| Arc::clone(it))
            .collect()
    }

    fn arrive(&mut self, server: usize, request: Request) {
        self.arrivals_ms.entry((request.host, server)).or_default().push(self.now_ms);
        if request.attempts > 1 {
            self.retried_ms.push(self.now_ms);
        }
        let state = &mut self.servers[server];
        let left_ms = state.declines_until_ms.saturating_sub(self.now_ms);
        let is_full = state.running.len() >= SLOTS && state.waiting.len() >= QUEUE_MAX;
        let pause_ms = if left_ms > 0 { left_ms } else { self.scenario.pause_ms };
        if left_ms > 0 || is_full {
            self.pauses.push((request.host, server, self.now_ms, self.now_ms + pause_ms));
            self.declined += u32::from(self.now_ms >= TROUBLE_AT_MS);
            self.after(NETWORK_MS, Event::Declined { server, request, pause_ms });
        } else if state.running.len() < SLOTS {
            self.start(server, request);
        } else {
            state.waiting.push_back(request);
        }
    }

    fn start(&mut self, server: usize, request: Request) {
        let run_ms = self.exponential_ms(SERVICE_MS);
        let ends_ms = self.now_ms + run_ms;
        let running = &mut self.servers[server].running;
        let at = running.partition_point(|(other_ms, _)| *other_ms <= ends_ms);
        running.insert(at, (ends_ms, request));
        self.after(run_ms, Event::Ends { server });
    }

    fn end(&mut self, server: usize) {
        let Some((_, request)) = self.servers[server].running.pop_front() else { return };
        self.after(NETWORK_MS, Event::Answered { server, request });
        if let Some(next) = self.servers[server].waiting.pop_front() {
            self.start(server, next);
        }
    }

    fn answered(&mut self, server: usize, request: &Request) {
        let id = &self.entries[server].id;
        let placement = &mut self.hosts[request.host].placement;
        placement.record_acceptance(id);
        placement.record_end(id, placement::Outcome::Fine, self.now_ms);
        if self.now_ms < request.came_ms + DEADLINE_MS {
            self.count(request.came_ms, |span| span.1 += 1);
        }
    }

    fn declined(&mut self, server: usize, request: Request, pause_ms: u64) {
        let entry = Arc::clone(&self.entries[server]);
        let host = &mut self.hosts[request.host];
        host.placement.record_end(&entry.id, placement::Outcome::Declined, self.now_ms);
        let until_ms = self.now_ms + pause_ms;
        host.paused_until_ms[server] = host.paused_until_ms[server].max(until_ms);
        let change = host.notices.record_pause(&entry, pause_ms, self.now_ms);
        let begins = change == server_notices::PauseChange::Begun;
        if self.scenario.rule == Rule::Policy && begins {
            host.placement.record_pause(&entry.id);
        }
        if self.scenario.rule == Rule::ObeyAndTell {
            self.after(TELL_MS, Event::Told { server, until_ms });
        }
        self.dispatch(request);
    }

    fn told(&mut self, server: usize, until_ms: u64) {
        for host in &mut self.hosts {
            host.paused_until_ms[server] = host.paused_until_ms[server].max(until_ms);
        }
    }

    fn count<F>(&mut self, came_ms: u64, change: F)
    where
        F: FnOnce(&mut (u32, u32)),
    {
        if let Some(since_ms) = came_ms.checked_sub(TROUBLE_AT_MS) {
            let span = usize::try_from(since_ms / SPAN_MS).unwrap_or(usize::MAX);
            if let Some(span) = self.spans.get_mut(span) {
                change(span);
            }
        }
    }

    fn outcome(self) -> Outcome {
        let within = |(host, server, at_ms, until_ms): &(usize, usize, u64, u64)| {
            let arrivals = &self.arrivals_ms[&(*host, *server)];
            let before = |end_ms: u64| arrivals.partition_point(|other| *other < end_ms);
            before(*until_ms).saturating_sub(before(at_ms + NOTICE_MS))
        };
        let share = |(came, served): &(u32, u32)| f64::from(*served) / f64::from((*came).max(1));
        let came: u32 = self.spans.iter().map(|(came, _)| came).sum();
        Outcome {
            sends_within_pause: self.pauses.iter().map(within).max().unwrap_or(0),
            retries_over_budget: self.retries_over_budget(),
            served: self.spans.iter().map(share).collect(),
            declined: f64::from(self.declined) / f64::from(came.max(1)),
        }
    }

    /// The largest excess of the retries in a window over the budget of all hosts.
    fn retries_over_budget(&self) -> i64 {
        let window_ms = LIMITS.window_ms;
        let in_window = |times: &[u64], end_ms: u64| {
            let before = |at_ms: u64| times.partition_point(|other| *other < at_ms);
            i64::try_from(before(end_ms) - before(end_ms.saturating_sub(window_ms))).unwrap_or(0)
        };
        let excess = |end_ms: u64| {
            let requests = [0, window_ms / 2, window_ms]
                .map(|earlier| in_window(&self.requested_ms, end_ms.saturating_sub(earlier)));
            let requests = requests.into_iter().max().unwrap_or(0);
            // The ratio is a fifth.
            let allowed = requests / 5 + i64::try_from(LIMITS.allowance).unwrap_or(0);
            in_window(&self.retried_ms, end_ms) - allowed
        };
        (window_ms..END_MS).step_by(100).map(excess).max().unwrap_or(0)
    }
}
