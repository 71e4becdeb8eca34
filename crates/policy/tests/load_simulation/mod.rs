//! A simulation of model servers of uneven speed, and of hosts that place requests on them.

#![allow(dead_code, reason = "the example and the tests read different figures")]

use std::collections;
use std::sync::Arc;

use rand::RngExt as _;
use rand::SeedableRng as _;
use toucanwall_policy::placement;
use toucanwall_routing::generation;
use toucanwall_routing::name;
use toucanwall_routing::server;

type Rng = rand_chacha::ChaCha8Rng;

const TICK_MS: u64 = 2;
const SERVERS: usize = 60;
/// Concurrent requests of a server.
const SLOTS: usize = 64;
/// Prompt tokens that a server of usual speed reads in a millisecond if it does nothing else.
const PROMPT_TOKENS_PER_MS: f64 = 22.0;
/// Share of a server's time that reading prompts takes if there are prompts to read and streams.
const PROMPT_SHARE: f64 = 0.7;
/// Time of a decoding step at a server of usual speed, in milliseconds, and what each running request
/// adds to it.
const STEP_MS: f64 = 18.0;
const STEP_PER_REQUEST_MS: f64 = 0.4;
/// Time for which a server caches a prompt part, in milliseconds.
const PART_CACHE_MS: u64 = 10_000;
/// Prompts that requests share their first part with.
const SHARED_PARTS: u64 = 400;
/// Percentage of a prompt that is in the shared part.
const SHARED_PERCENT: u64 = 60;
/// Time between two changes of a neighbour's disturbance, in milliseconds.
const DISTURBANCE_MS: f64 = 600.0;
/// Percentage of the servers that a neighbour disturbs.
const DISTURBED_PERCENT: usize = 15;
/// Number of intervals between events that a host measures of a response.
const MEASURED_EVENTS: usize = 16;
const WINDOW_MS: u64 = 200;
/// Time that the simulation runs before figures count, in milliseconds: speeds must be learned.
const WARM_UP_MS: u64 = 120_000;
const END_MS: u64 = 140_000;

/// How hosts choose a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// Any server.
    Random,
    /// The less loaded of two servers.
    TwoChoices,
    /// The placement without speeds and without the fourth figure of the reports.
    WithoutSpeed,
    /// The placement with learned speeds alone.
    LearnedSpeed,
    /// The placement with the fourth figure alone.
    ReportedSpeed,
    /// The placement with both.
    Policy,
}

/// How the speeds of the servers differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Speeds {
    /// Not at all.
    Equal,
    /// By lasting factors of 0.6, 1.0 and 1.6.
    Uneven,
    /// As `Uneven`, and neighbours slow some servers for some time.
    Disturbed,
}

/// How hosts learn of load reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// All hosts receive each report.
    Broadcast,
    /// A host receives the latest report with the response to a request.
    Responses,
}

#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub rule: Rule,
    pub hosts: usize,
    pub speeds: Speeds,
    pub delivery: Delivery,
    /// Time between two reports of a server.
    pub report_ms: u64,
    /// Requests of the licence desk, relative to its usual load.
    pub load: f64,
}

#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Mean over the windows of the busiest server's held requests for its speed over the mean.
    pub busiest_over_mean: f64,
    /// Time from sending a request until the server begins with it, 99th percentile.
    pub waiting_p99_ms: u64,
    /// Time to the first event, 99th percentile.
    pub first_event_p99_ms: u64,
    /// Time to the first event, mean.
    pub first_event_mean_ms: f64,
    /// Share of the responses with the first event within the target of their kind.
    pub in_time: f64,
    /// Share of the prompt tokens that servers had cached.
    pub cached: f64,
    /// Mean error of the learned speeds, in percent of the usual time; zero if none are learned.
    pub speed_error_percent: f64,
}

#[derive(Debug, Clone, Copy)]
struct Kind {
    prompt_tokens: u64,
    events: u64,
    per_s: f64,
    target_ms: u64,
}

/// Request kinds of the licence desk.
const KINDS: [Kind; 3] = [
    Kind { prompt_tokens: 9_190, events: 13, per_s: 78.7, target_ms: 3_000 },
    Kind { prompt_tokens: 2_368, events: 6, per_s: 100.0, target_ms: 2_000 },
    Kind { prompt_tokens: 715, events: 69, per_s: 81.5, target_ms: 1_500 },
];

struct Running {
    host: usize,
    kind: Kind,
    generation: generation::GenerationRequest,
    sent_ms: u64,
    begun_ms: Option<u64>,
    prompt_left: f64,
    events: u64,
    progress: f64,
    event_at_ms: u64,
    intervals_ms: Vec<u64>,
}

struct Server {
    entry: Arc<server::BackendServer>,
    /// Lasting time that work takes, relative to the usual time.
    work_time: f64,
    disturbance: f64,
    is_disturbed: bool,
    disturbed_until_ms: u64,
    waiting: collections::VecDeque<Running>,
    running: Vec<Running>,
    cached_ms: collections::BTreeMap<u64, u64>,
    report: (u32, u32, u32),
    held: u64,
}

struct Simulation {
    scenario: Scenario,
    rng: Rng,
    now_ms: u64,
    hosts: Vec<placement::Placement>,
    entries: Vec<Arc<server::BackendServer>>,
    servers: Vec<Server>,
    data_centre: name::DataCentre,
    waits_ms: Vec<u64>,
    first_events_ms: Vec<u64>,
    in_time: usize,
    ratios: Vec<f64>,
    prompt_tokens: u64,
    cached_tokens: u64,
}

/// Simulates a scenario.
#[must_use]
pub fn simulate(scenario: Scenario, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(scenario, seed);
    while simulation.now_ms < END_MS {
        simulation.tick();
    }
    simulation.outcome()
}

impl Simulation {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let servers: Vec<_> = (0..SERVERS).map(|index| Server::new(scenario, index)).collect();
        Self {
            scenario,
            rng: Rng::seed_from_u64(seed),
            now_ms: 0,
            hosts: (0..scenario.hosts).map(|_| placement::Placement::new()).collect(),
            entries: servers.iter().map(|it| Arc::clone(&it.entry)).collect(),
            servers,
            data_centre: "dc-1".into(),
            waits_ms: Vec::new(),
            first_events_ms: Vec::new(),
            in_time: 0,
            ratios: Vec::new(),
            prompt_tokens: 0,
            cached_tokens: 0,
        }
    }

    fn tick(&mut self) {
        self.now_ms += TICK_MS;
        for kind in KINDS {
            let mean = kind.per_s * self.scenario.load * millis(TICK_MS) / 1_000.0;
            if self.rng.random::<f64>() < mean {
                self.arrive(kind);
            }
        }
        for index in 0..self.servers.len() {
            self.disturb(index);
            self.report(index);
            self.run(index);
        }
        if self.now_ms.is_multiple_of(WINDOW_MS) && self.now_ms > WARM_UP_MS {
            let held = self.servers.iter().map(|it| millis(it.held) * it.work_time);
            let held: Vec<_> = held.collect();
            let mean = held.iter().sum::<f64>() / count(held.len());
            let busiest = held.iter().copied().fold(0.0, f64::max);
            self.ratios.push(busiest / mean.max(1.0));
        }
        if self.now_ms.is_multiple_of(WINDOW_MS) {
            self.servers.iter_mut().for_each(|it| it.held = 0);
        }
    }

    fn arrive(&mut self, kind: Kind) {
        let shared = generation::PromptPart {
            // A few of the shared parts are in most requests.
            id: kind.events * SHARED_PARTS
                + self
                    .rng
                    .random_range(0..SHARED_PARTS)
                    .min(self.rng.random_range(0..SHARED_PARTS)),
            tokens: kind.prompt_tokens * SHARED_PERCENT / 100,
        };
        let own = generation::PromptPart {
            id: self.rng.random(),
            tokens: kind.prompt_tokens - shared.tokens,
        };
        let generation = generation::GenerationRequest {
            prompt_tokens: kind.prompt_tokens,
            output_max_tokens: 4 * kind.events,
            output_hint_tokens: Some(kind.events),
            parts: vec![shared, own],
            ..generation::GenerationRequest::default()
        };
        let host = self.rng.random_range(0..self.hosts.len());
        let index = self.choose(host, &generation);
        let request = request(&generation, &self.data_centre);
        self.hosts[host].record_start(&self.entries[index].id, request, self.now_ms);
        self.servers[index].waiting.push_back(Running {
            host,
            kind,
            generation,
            sent_ms: self.now_ms,
            begun_ms: None,
            prompt_left: 0.0,
            events: 0,
            progress: 0.0,
            event_at_ms: 0,
            intervals_ms: Vec::new(),
        });
    }

    fn choose(&mut self, host: usize, wanted: &generation::GenerationRequest) -> usize {
        let any = [self.rng.random_range(0..SERVERS), self.rng.random_range(0..SERVERS)];
        match self.scenario.rule {
            Rule::Random => any[0],
            Rule::TwoChoices => {
                let load = |index: &usize| {
                    let load =
                        self.hosts[host].expected_load(&self.entries[*index].id, self.now_ms);
                    load.0 + load.1
                };
                any.into_iter().min_by_key(load).unwrap_or(0)
            }
            Rule::WithoutSpeed | Rule::LearnedSpeed | Rule::ReportedSpeed | Rule::Policy => {
                let request = request(wanted, &self.data_centre);
                let excluded = collections::BTreeSet::new();
                let hosts = &self.hosts[host];
                let choice =
                    hosts.choose(request, &self.entries, &excluded, self.now_ms, &mut self.rng);
                match choice {
                    placement::Choice::Server { server, .. } => usize::from(server.address.port()),
                    placement::Choice::Full | placement::Choice::NoServer => any[0],
                }
            }
        }
    }

    fn disturb(&mut self, index: usize) {
        let server = &mut self.servers[index];
        if server.is_disturbed && self.now_ms >= server.disturbed_until_ms {
            let span_ms = -DISTURBANCE_MS * (1.0 - self.rng.random::<f64>()).ln();
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a few seconds at most"
            )]
            let span_ms = span_ms as u64;
            server.disturbed_until_ms = self.now_ms + span_ms;
            server.disturbance =
                if server.disturbance > 1.0 { 1.0 } else { self.rng.random_range(1.2..2.5) };
        }
    }

    /// Makes the load report of a server, staggered over the servers.
    fn report(&mut self, index: usize) {
        let phase_ms = u64::try_from(index).unwrap_or(0) * TICK_MS;
        if !(self.now_ms + phase_ms).is_multiple_of(self.scenario.report_ms) {
            return;
        }
        let server = &mut self.servers[index];
        let small = |length: usize| u32::try_from(length).unwrap_or(u32::MAX);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "between 100 and 250"
        )]
        let percent = (server.disturbance * 100.0) as u32;
        server.report = (small(server.running.len()), small(server.waiting.len()), percent);
        if self.scenario.delivery == Delivery::Broadcast {
            for host in 0..self.hosts.len() {
                self.deliver(host, index);
            }
        }
    }

    fn deliver(&mut self, host: usize, index: usize) {
        let (running, waiting, percent) = self.servers[index].report;
        let is_read = matches!(self.scenario.rule, Rule::ReportedSpeed | Rule::Policy);
        let percent = (is_read && percent > 0).then_some(percent);
        let id = &self.entries[index].id;
        self.hosts[host].record_load(id, running, waiting, percent, self.now_ms);
    }

    fn run(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let server = &mut self.servers[index];
        server.held += u64::try_from(server.running.len() + server.waiting.len()).unwrap_or(0);
        while server.running.len() < SLOTS
            && let Some(mut next) = server.waiting.pop_front()
        {
            let shared = next.generation.parts[0];
            let is_cached =
                server.cached_ms.get(&shared.id).is_some_and(|at| now_ms < at + PART_CACHE_MS);
            let cached = if is_cached { shared.tokens } else { 0 };
            server.cached_ms.insert(shared.id, now_ms);
            next.prompt_left = millis(next.kind.prompt_tokens - cached);
            if now_ms > WARM_UP_MS {
                self.prompt_tokens += next.kind.prompt_tokens;
                self.cached_tokens += cached;
            }
            server.running.push(next);
        }
        let work_ms = millis(TICK_MS) / (server.work_time * server.disturbance);
        let reads = server.running.iter().any(|it| it.prompt_left > 0.0);
        let streams = count(server.running.iter().filter(|it| it.prompt_left <= 0.0).count());
        let prompt_share = match (reads, streams > 0.0) {
            (false, _) => 0.0,
            (true, true) => PROMPT_SHARE,
            (true, false) => 1.0,
        };
        let step_ms = STEP_MS + STEP_PER_REQUEST_MS * streams;
        let steps = work_ms * (1.0 - prompt_share) / step_ms;
        for it in server.running.iter_mut().filter(|it| it.prompt_left <= 0.0) {
            it.progress += steps;
        }
        let mut tokens = work_ms * prompt_share * PROMPT_TOKENS_PER_MS;
        for it in server.running.iter_mut().filter(|it| it.prompt_left > 0.0) {
            if tokens <= 0.0 {
                break;
            }
            if it.begun_ms.is_none() {
                it.begun_ms = Some(now_ms);
                if now_ms > WARM_UP_MS {
                    self.waits_ms.push(now_ms - it.sent_ms);
                }
            }
            let read = it.prompt_left.min(tokens);
            it.prompt_left -= read;
            tokens -= read;
            if it.prompt_left <= 0.0 {
                it.progress = 1.0;
            }
        }
        let mut produced = Vec::new();
        for (position, it) in server.running.iter_mut().enumerate() {
            while it.progress >= 1.0 {
                it.progress -= 1.0;
                it.events += 1;
                if it.events > 1 {
                    it.intervals_ms.push(now_ms - it.event_at_ms);
                }
                it.event_at_ms = now_ms;
                produced.push((position, it.events));
            }
        }
        for (position, event) in produced {
            if event == 1 {
                self.record_first_event(index, position);
            }
        }
        self.end_requests(index);
    }

    fn record_first_event(&mut self, index: usize, position: usize) {
        let it = &self.servers[index].running[position];
        let (host, elapsed_ms) = (it.host, self.now_ms - it.sent_ms);
        let prompt_tokens = it.kind.prompt_tokens;
        if self.now_ms > WARM_UP_MS {
            self.first_events_ms.push(elapsed_ms);
            self.in_time += usize::from(elapsed_ms <= it.kind.target_ms);
        }
        if self.scenario.delivery == Delivery::Responses {
            self.deliver(host, index);
        }
        let placement = &mut self.hosts[host];
        placement.record_first_byte(&self.entries[index].id, prompt_tokens);
    }

    fn end_requests(&mut self, index: usize) {
        let server = &mut self.servers[index];
        let ended: Vec<_> =
            server.running.extract_if(.., |it| it.events >= it.kind.events).collect();
        for mut it in ended {
            let placement = &mut self.hosts[it.host];
            placement.record_end(&self.entries[index].id, placement::Outcome::Fine, self.now_ms);
            it.intervals_ms.truncate(MEASURED_EVENTS);
            it.intervals_ms.sort_unstable();
            if matches!(self.scenario.rule, Rule::LearnedSpeed | Rule::Policy) {
                placement.record_speed(&self.entries[index], &it.intervals_ms, self.now_ms);
            }
        }
    }

    fn outcome(mut self) -> Outcome {
        let errors: Vec<_> = self
            .hosts
            .iter()
            .flat_map(|host| {
                self.servers.iter().map(|it| {
                    // No report is as old as this, so only what was learned counts.
                    let learned = host.work_time_percent(&it.entry, u64::MAX / 2);
                    (f64::from(learned) - it.work_time * 100.0).abs()
                })
            })
            .collect();
        Outcome {
            busiest_over_mean: self.ratios.iter().sum::<f64>() / count(self.ratios.len().max(1)),
            waiting_p99_ms: percentile_99(&mut self.waits_ms),
            first_event_p99_ms: percentile_99(&mut self.first_events_ms),
            first_event_mean_ms: millis(self.first_events_ms.iter().sum())
                / count(self.first_events_ms.len().max(1)),
            in_time: count(self.in_time) / count(self.first_events_ms.len().max(1)),
            cached: millis(self.cached_tokens) / millis(self.prompt_tokens.max(1)),
            speed_error_percent: errors.iter().sum::<f64>() / count(errors.len().max(1)),
        }
    }
}

impl Server {
    fn new(scenario: Scenario, index: usize) -> Self {
        let work_time = match scenario.speeds {
            Speeds::Equal => 1.0,
            Speeds::Uneven | Speeds::Disturbed => [1.0 / 0.6, 1.0, 1.0 / 1.6][index % 3],
        };
        let port = u16::try_from(index).unwrap_or(u16::MAX);
        Self {
            entry: Arc::new(server::BackendServer {
                id: format!("s-{index}").as_str().into(),
                service: "desk".into(),
                address: ([10, 0, 0, 1], port).into(),
                data_centre: "dc-1".into(),
                version: "v1".into(),
                slots: u32::try_from(SLOTS).unwrap_or(u32::MAX),
                readiness: server::Readiness::Ready,
                started_unix_ms: None,
            }),
            work_time,
            disturbance: 1.0,
            is_disturbed: scenario.speeds == Speeds::Disturbed
                && index % 20 < DISTURBED_PERCENT / 5,
            disturbed_until_ms: 0,
            waiting: collections::VecDeque::new(),
            running: Vec::new(),
            cached_ms: collections::BTreeMap::new(),
            report: (0, 0, 0),
            held: 0,
        }
    }
}

fn request<'a>(
    generation: &'a generation::GenerationRequest,
    data_centre: &'a name::DataCentre,
) -> placement::Request<'a> {
    placement::Request {
        generation: Some(generation),
        data_centre,
        in_flight_max: 64,
        relative_cost_percent: 100,
    }
}

fn percentile_99(values: &mut [u64]) -> u64 {
    values.sort_unstable();
    values.get(values.len() * 99 / 100).copied().unwrap_or(0)
}

fn count(length: usize) -> f64 {
    f64::from(u32::try_from(length).unwrap_or(u32::MAX))
}

fn millis(value: u64) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}
