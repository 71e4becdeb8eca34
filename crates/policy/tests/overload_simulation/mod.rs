//! Simulates hosts and engines under overload, with the policy's placement, forecasts and admission.
//!
//! The rates, sizes, targets and values of the kinds are those of the reference deployment "address
//! look-up" of docs/LOAD.md, for 8 of its 60 servers. Engines read one prompt at a time and are busy
//! for three quarters of the time at the usual rate.

use std::collections;
use std::sync::Arc;

use rand::RngExt as _;
use rand::SeedableRng as _;
use toucanwall_policy::admission;
use toucanwall_policy::competition;
use toucanwall_policy::forecast;
use toucanwall_policy::placement;
use toucanwall_routing::generation;
use toucanwall_routing::number;
use toucanwall_routing::server;

const SERVERS: usize = 8;
const SLOTS: usize = 16;
/// A host receives about as many requests as one of the reference deployment.
const HOSTS: usize = 12;
const ORGANISATIONS: usize = 8;
/// Prompt tokens that an engine reads per millisecond.
const TOKENS_PER_MS: u64 = 65;
/// Time between two events of a stream, in milliseconds.
const EVENT_INTERVAL_MS: u64 = 25;
const DURATION_MS: u64 = 30_000;
/// Start and end of the overload, in milliseconds.
const OVERLOAD_MS: std::ops::Range<u64> = 6_000..18_000;
/// Length of a window in which the value served is measured, in milliseconds.
const WINDOW_MS: u64 = 2_000;
/// Time after which a caller that does not wait comes back, in milliseconds.
const IMPATIENT_MS: u64 = 50;
/// Number of times that a caller comes back.
const MAX_RETURNS: u32 = 10;

/// A kind of request: name, prompt tokens, events, rate per second, target, deadline, and
/// values in time and late.
struct Kind {
    name: &'static str,
    tokens: u64,
    events: u64,
    per_s: f64,
    target_ms: u64,
    deadline_ms: u64,
    value: f64,
    late_value: f64,
}

const KINDS: [Kind; 3] = [
    Kind {
        name: "bulk clean-up",
        tokens: 9_190,
        events: 7,
        per_s: 33.2,
        target_ms: 1_000,
        deadline_ms: 6_000,
        value: 3.5,
        late_value: 0.72,
    },
    Kind {
        name: "normalise",
        tokens: 2_368,
        events: 3,
        per_s: 35.6,
        target_ms: 1_000,
        deadline_ms: 4_000,
        value: 1.2,
        late_value: 0.56,
    },
    Kind {
        name: "suggest",
        tokens: 715,
        events: 35,
        per_s: 5.1,
        target_ms: 2_000,
        deadline_ms: 15_000,
        value: 0.61,
        late_value: 0.46,
    },
];

/// Rule by which first attempts are admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// Only requests whose first byte is expected after their deadline are rejected.
    Deadline,
    /// [`Rule::Deadline`], and requests compete for the service.
    Competition,
}

/// What overloads the service.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Factor of the rate of each kind.
    pub kind_factors: [f64; 3],
    /// Factor of the rate of the first organisation.
    pub organisation_factor: f64,
    /// Whether rejected callers come back at once, not when they are told to.
    pub is_impatient: bool,
    /// Priority of each kind.
    pub priorities: [u32; 3],
}

/// What callers got while the service was overloaded and afterwards.
#[derive(Debug, Clone, Copy)]
pub struct Outcome {
    /// Value served, as part of the value of all responses in time.
    pub value: f64,
    /// The same in the worst two windows.
    pub worst_windows: f64,
    /// The same of the worst kind.
    pub worst_kind: f64,
    /// The same of the worst organisation.
    pub worst_organisation: f64,
    /// The same of the kinds of the highest priority.
    pub urgent: f64,
    /// Part of the requests that were served, of the worst kind or organisation, relative to all.
    pub least_served: f64,
    /// Rejections by the competition while less than half of the places were taken.
    pub early_rejections: u64,
    /// Rejections by the competition.
    pub rejections: u64,
}

struct Call {
    kind: usize,
    organisation: usize,
    host: usize,
    arrived_ms: u64,
    returns: u32,
    value: f64,
}

struct Job {
    call: usize,
    units: u64,
    sent_ms: u64,
    tokens_left: u64,
    events_left: u64,
    next_event_ms: u64,
    first_byte_ms: Option<u64>,
}

#[derive(Default)]
struct Engine {
    running: collections::VecDeque<Job>,
    waiting: Vec<Job>,
}

struct Host {
    placement: placement::Placement,
    forecast: forecast::Forecast,
    competition: competition::Competition,
}

struct Simulation {
    scenario: Scenario,
    rule: Rule,
    servers: Vec<Arc<server::BackendServer>>,
    engines: Vec<Engine>,
    hosts: Vec<Host>,
    calls: Vec<Call>,
    rng: rand_chacha::ChaCha8Rng,
    rejections: u64,
    early_rejections: u64,
}

fn backend(index: usize) -> Arc<server::BackendServer> {
    Arc::new(server::BackendServer {
        id: format!("s-{index}").into(),
        service: "look-up".into(),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: "dc-1".into(),
        version: "v1".into(),
        slots: u32::try_from(SLOTS).unwrap_or(u32::MAX),
        readiness: server::Readiness::Ready,
        started_unix_ms: None,
    })
}

fn generation(kind: usize) -> generation::GenerationRequest {
    generation::GenerationRequest {
        prompt_tokens: KINDS[kind].tokens,
        output_max_tokens: KINDS[kind].events,
        ..generation::GenerationRequest::default()
    }
}

/// Passes what placement needs to know about a request of a kind to `operation`.
fn with_request<F, T>(kind: usize, operation: F) -> T
where
    F: FnOnce(placement::Request<'_>) -> T,
{
    let (generation, data_centre) = (generation(kind), "dc-1".into());
    operation(placement::Request {
        generation: Some(&generation),
        data_centre: &data_centre,
        in_flight_max: 1_000,
        relative_cost_percent: 100,
    })
}

/// The mean of the outcomes of several seeds, with the sums of the rejections.
pub fn mean(outcomes: &[Outcome]) -> Outcome {
    let count = number::saturating_f64(outcomes.len() as u64);
    let mean_of = |field: fn(&Outcome) -> f64| outcomes.iter().map(field).sum::<f64>() / count;
    Outcome {
        value: mean_of(|it| it.value),
        worst_windows: mean_of(|it| it.worst_windows),
        worst_kind: mean_of(|it| it.worst_kind),
        worst_organisation: mean_of(|it| it.worst_organisation),
        urgent: mean_of(|it| it.urgent),
        least_served: mean_of(|it| it.least_served),
        early_rejections: outcomes.iter().map(|it| it.early_rejections).sum(),
        rejections: outcomes.iter().map(|it| it.rejections).sum(),
    }
}

/// Runs a scenario.
pub fn simulate(scenario: Scenario, rule: Rule, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(scenario, rule, seed);
    let mut returning: collections::BTreeMap<u64, Vec<usize>> = collections::BTreeMap::new();
    for now_ms in 0..DURATION_MS + 15_000 {
        let mut due = returning.remove(&now_ms).unwrap_or_default();
        if now_ms < DURATION_MS {
            due.extend(simulation.new_calls(now_ms));
        }
        for call in due {
            if let Some(return_ms) = simulation.receive(call, now_ms) {
                returning.entry(return_ms).or_default().push(call);
            }
        }
        for engine in 0..SERVERS {
            simulation.advance(engine, now_ms);
        }
    }
    simulation.outcome()
}

impl Simulation {
    fn new(scenario: Scenario, rule: Rule, seed: u64) -> Self {
        let host = |_| Host {
            placement: placement::Placement::new(),
            forecast: forecast::Forecast::new(),
            competition: competition::Competition::new(),
        };
        Self {
            scenario,
            rule,
            servers: (0..SERVERS).map(backend).collect(),
            engines: (0..SERVERS).map(|_| Engine::default()).collect(),
            hosts: (0..HOSTS).map(host).collect(),
            calls: Vec::new(),
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            rejections: 0,
            early_rejections: 0,
        }
    }

    fn priority(&self, kind: usize) -> u32 {
        self.scenario.priorities[kind]
    }

    fn new_calls(&mut self, now_ms: u64) -> Vec<usize> {
        let mut calls = Vec::new();
        let is_overloaded = OVERLOAD_MS.contains(&now_ms);
        for (kind, organisation) in
            (0..KINDS.len()).flat_map(|kind| (0..ORGANISATIONS).map(move |it| (kind, it)))
        {
            let share = 1.0 / number::saturating_f64(ORGANISATIONS as u64);
            let mut per_ms = KINDS[kind].per_s * share / 1_000.0;
            if is_overloaded {
                per_ms *= self.scenario.kind_factors[kind];
                if organisation == 0 {
                    per_ms *= self.scenario.organisation_factor;
                }
            }
            if self.rng.random::<f64>() < per_ms {
                let host = self.rng.random_range(0..HOSTS);
                let (arrived_ms, returns, value) = (now_ms, 0, 0.0);
                self.calls.push(Call { kind, organisation, host, arrived_ms, returns, value });
                calls.push(self.calls.len() - 1);
            }
        }
        calls
    }

    /// Lets a host decide on a call; returns when the caller comes back if it is rejected.
    fn receive(&mut self, index: usize, now_ms: u64) -> Option<u64> {
        let call = &self.calls[index];
        let (kind, host) = (call.kind, call.host);
        let deadline_ms = call.arrived_ms + KINDS[kind].deadline_ms;
        let (returns, organisation) = (call.returns, call.organisation);
        if now_ms >= deadline_ms {
            return None;
        }
        let placement = &self.hosts[host].placement;
        let choice = with_request(kind, |request| {
            let excluded = collections::BTreeSet::new();
            placement.choose(request, &self.servers, &excluded, now_ms, &mut self.rng)
        });
        let placement::Choice::Server { server, units } = choice else { return None };
        let expected_ms = self.hosts[host].forecast.predict_ms(units, now_ms);
        let rejection_ms = match admission::decide(expected_ms, deadline_ms - now_ms) {
            admission::Decision::Refuse { retry_after_ms } => Some(retry_after_ms),
            admission::Decision::Admit if self.rule == Rule::Deadline => None,
            admission::Decision::Admit => {
                match self.compete(kind, organisation, host, expected_ms, now_ms) {
                    competition::Decision::Admit => None,
                    competition::Decision::Reject { retry_after_ms } => {
                        self.record_rejection();
                        Some(retry_after_ms)
                    }
                }
            }
        };
        if let Some(retry_after_ms) = rejection_ms {
            if returns == MAX_RETURNS {
                return None;
            }
            self.calls[index].returns += 1;
            self.calls[index].host = self.rng.random_range(0..HOSTS);
            let jitter_ms = self.rng.random_range(0..=retry_after_ms);
            let told_ms = retry_after_ms + jitter_ms;
            let delay_ms = if self.scenario.is_impatient { IMPATIENT_MS } else { told_ms };
            return Some(now_ms + delay_ms);
        }
        let placement = &mut self.hosts[host].placement;
        with_request(kind, |request| placement.record_start(&server.id, request, now_ms));
        let engine = self.servers.iter().position(|it| it.id == server.id).expect("known server");
        self.engines[engine].waiting.push(Job {
            call: index,
            units,
            sent_ms: now_ms,
            tokens_left: KINDS[kind].tokens,
            events_left: KINDS[kind].events,
            next_event_ms: 0,
            first_byte_ms: None,
        });
        None
    }

    fn compete(
        &mut self,
        kind: usize,
        organisation: usize,
        host: usize,
        expected_ms: Option<u64>,
        now_ms: u64,
    ) -> competition::Decision {
        let priority = self.priority(kind);
        let Host { placement, competition, .. } = &mut self.hosts[host];
        let load = || {
            let mut load = competition::Load::default();
            for server in &self.servers {
                if let Some((running, waiting)) = placement.reported_load(&server.id, now_ms) {
                    load.running += u64::from(running);
                    load.waiting += u64::from(waiting);
                    load.places += u64::from(server.slots);
                }
            }
            load
        };
        let request = competition::Request {
            organisation: Some(&format!("o-{organisation}").into()),
            kind: &KINDS[kind].name.into(),
            priority,
            expected_ms,
            target_left_ms: KINDS[kind].target_ms,
        };
        competition.decide(request, load, now_ms)
    }

    fn record_rejection(&mut self) {
        self.rejections += 1;
        let taken: usize = self.engines.iter().map(|it| it.running.len() + it.waiting.len()).sum();
        self.early_rejections += u64::from(taken * 2 < SERVERS * SLOTS);
    }

    /// Lets an engine work for a millisecond.
    fn advance(&mut self, engine: usize, now_ms: u64) {
        self.end_jobs(engine, now_ms);
        while self.engines[engine].running.len() < SLOTS {
            let waiting = &self.engines[engine].waiting;
            let first = (0..waiting.len()).min_by_key(|index| {
                let job = &waiting[*index];
                (self.priority(self.calls[job.call].kind), job.sent_ms)
            });
            let Some(first) = first else { break };
            let job = self.engines[engine].waiting.remove(first);
            self.engines[engine].running.push_back(job);
        }
        let mut budget = TOKENS_PER_MS;
        let Engine { running, waiting } = &mut self.engines[engine];
        let load = (u32::try_from(running.len()), u32::try_from(waiting.len()));
        for job in running.iter_mut() {
            if job.first_byte_ms.is_some() {
                continue;
            }
            let read = job.tokens_left.min(budget);
            (job.tokens_left, budget) = (job.tokens_left - read, budget - read);
            if job.tokens_left > 0 {
                break;
            }
            job.first_byte_ms = Some(now_ms);
            job.next_event_ms = now_ms + EVENT_INTERVAL_MS;
            job.events_left -= 1;
            let call = &self.calls[job.call];
            let host = &mut self.hosts[call.host];
            let first_byte_ms = now_ms - job.sent_ms;
            host.forecast.record(job.units, first_byte_ms, now_ms);
            let id = &self.servers[engine].id;
            host.placement.record_first_byte(id, KINDS[call.kind].tokens);
            let (running, waiting) = (load.0.unwrap_or(u32::MAX), load.1.unwrap_or(u32::MAX));
            host.placement.record_load(id, running, waiting, None, now_ms);
        }
        for job in running.iter_mut() {
            if job.first_byte_ms.is_some() && job.events_left > 0 && now_ms >= job.next_event_ms {
                job.events_left -= 1;
                job.next_event_ms = now_ms + EVENT_INTERVAL_MS;
            }
        }
    }

    /// Takes away the jobs that are complete or whose callers have left.
    fn end_jobs(&mut self, engine: usize, now_ms: u64) {
        let calls = &self.calls;
        let is_over = |job: &Job| {
            let call = &calls[job.call];
            job.events_left == 0 || now_ms >= call.arrived_ms + KINDS[call.kind].deadline_ms
        };
        let Engine { running, waiting } = &mut self.engines[engine];
        let (ended, kept): (Vec<_>, Vec<_>) = running.drain(..).partition(is_over);
        let (left, kept_waiting): (Vec<_>, Vec<_>) = waiting.drain(..).partition(is_over);
        (*running, *waiting) = (kept.into(), kept_waiting);
        for job in ended.into_iter().chain(left) {
            let call = &mut self.calls[job.call];
            let kind = &KINDS[call.kind];
            let placement = &mut self.hosts[call.host].placement;
            let id = &self.servers[engine].id;
            if job.first_byte_ms.is_none() {
                placement.record_first_byte(id, kind.tokens);
            }
            placement.record_end(id, placement::Outcome::Fine, now_ms);
            if let (0, Some(first_byte_ms)) = (job.events_left, job.first_byte_ms) {
                let is_late = first_byte_ms > call.arrived_ms + kind.target_ms;
                call.value = if is_late { kind.late_value } else { kind.value };
            }
        }
    }

    fn outcome(&self) -> Outcome {
        let value_of = |key: &dyn Fn(&Call) -> u64| {
            let mut sums: collections::BTreeMap<u64, (f64, f64)> = collections::BTreeMap::new();
            for call in &self.calls {
                let sum = sums.entry(key(call)).or_default();
                sum.0 += call.value;
                sum.1 += KINDS[call.kind].value;
            }
            let mut parts: Vec<_> = sums.values().map(|(got, offered)| got / offered).collect();
            parts.sort_unstable_by(f64::total_cmp);
            parts
        };
        let served_of = |is_in: &dyn Fn(&Call) -> bool| {
            let group = || self.calls.iter().filter(|call| is_in(call));
            let served = group().filter(|call| call.value > 0.0).count() as u64;
            number::saturating_f64(served) / number::saturating_f64(group().count() as u64)
        };
        let windows = value_of(&|call| call.arrived_ms / WINDOW_MS);
        let kinds = (0..KINDS.len()).map(|kind| served_of(&|call| call.kind == kind));
        let organisations = (0..ORGANISATIONS).map(|it| served_of(&|call| call.organisation == it));
        let least = kinds.chain(organisations).fold(f64::INFINITY, f64::min);
        Outcome {
            value: value_of(&|_| 0)[0],
            worst_windows: f64::midpoint(windows[0], windows[1]),
            worst_kind: value_of(&|call| call.kind as u64)[0],
            worst_organisation: value_of(&|call| call.organisation as u64)[0],
            urgent: self.urgent_value(),
            least_served: least / served_of(&|_| true),
            early_rejections: self.early_rejections,
            rejections: self.rejections,
        }
    }

    fn urgent_value(&self) -> f64 {
        let urgent = || self.calls.iter().filter(|call| self.scenario.priorities[call.kind] == 0);
        let offered: f64 = urgent().map(|call| KINDS[call.kind].value).sum();
        urgent().map(|call| call.value).sum::<f64>() / offered
    }
}
