//! Which backend server a request goes to, by what each is expected to take for it.
//!
//! Answers two load patterns. Many hosts read the same stale reports, so that whichever server
//! looked idle is flooded: a host adds its own sends since the report. And long prompts are dear
//! where their parts are not cached: a request goes to the server that rendezvous hashing names for
//! its shared parts, unless that server is busier than reading the parts again would cost.

use std::collections;
use std::sync::Arc;

use rand::RngExt as _;
use toucanwall_routing::generation;
use toucanwall_routing::name;
use toucanwall_routing::server;

/// Age at which a server's own report counts for nothing, in milliseconds; requests of the sheets
/// take about this long, so what ran then has ended.
const REPORT_MAX_AGE_MS: u64 = 2_000;
/// Failures in a row after which a server is left out.
const FAILURES_TO_EJECT: u32 = 3;
/// Time for which a server is first left out, in milliseconds; a crashed one needs some seconds.
const EJECT_MS: u64 = 1_000;
/// Longest time for which a server is left out, in milliseconds.
const EJECT_MAX_MS: u64 = 8_000;
/// Largest part of a pool that is left out, in percent: beyond it the pool itself is at fault.
const EJECTED_MAX_PERCENT: usize = 50;
/// What one running request costs the next one, in prompt tokens: the steps that they share.
const RUNNING_TOKENS: u64 = 150;
/// What one waiting request costs the next one, in prompt tokens, where its size is not known.
const WAITING_TOKENS: u64 = 3_000;
/// What another data centre costs, in prompt tokens; decides where servers are equal.
const DISTANCE_TOKENS: u64 = 100;
/// Time for which an engine is taken to keep a part that it has read, in milliseconds.
const PART_KEPT_MS: u64 = 8_000;
/// Most parts that are remembered for one server.
const PARTS_MAX: usize = 2_048;

/// What a request asks of a server.
#[derive(Debug, Clone, Copy)]
pub struct Job<'a> {
    /// What is to be generated; nothing for a plain service.
    pub generation: Option<&'a generation::GenerationRequest>,
    /// Data centre of this host.
    pub data_centre: &'a name::DataCentre,
    /// Requests of this host that one server takes at a time.
    pub in_flight_max: u32,
    /// How much more a token costs than with the smallest model, in percent.
    pub weight_percent: u64,
}

/// How a request at a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// Nothing speaks against the server.
    Fine,
    /// The server failed it.
    Failed,
    /// The server takes no connections.
    Unreachable,
    /// It was broken off from here; that says nothing about the server.
    Cancelled,
}

/// The outcome of a choice.
#[derive(Debug, Clone)]
pub enum Choice {
    /// Send it there.
    Server {
        /// The server.
        server: Arc<server::BackendServer>,
        /// Work that lies before the first byte, in prompt tokens of the smallest model.
        units: u64,
    },
    /// Each server that could take it has all that it can take.
    Full,
    /// No server is left that could take it.
    NoServer,
}

/// What this host knows of the load of the backend servers.
#[derive(Debug, Default)]
pub struct Placement {
    loads: collections::BTreeMap<name::ServerId, Load>,
}

#[derive(Debug, Default)]
struct Load {
    in_flight: u32,
    /// Work of requests of this host whose first byte has not come.
    unread_units: u64,
    report: Option<Report>,
    failures: u32,
    ejections: u32,
    ejected_until_ms: u64,
    /// When this host last sent a prompt with a part there.
    parts: collections::BTreeMap<u64, u64>,
}

#[derive(Debug, Clone, Copy)]
struct Report {
    running: u32,
    waiting: u32,
    own_in_flight: u32,
    at_ms: u64,
}

impl Placement {
    /// Nothing known yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Chooses a server among those of a service that take work.
    pub fn choose<R>(
        &self,
        job: Job<'_>,
        servers: &[Arc<server::BackendServer>],
        excluded: &collections::BTreeSet<name::ServerId>,
        now_ms: u64,
        rng: &mut R,
    ) -> Choice
    where
        R: rand::Rng,
    {
        let allowed: Vec<_> =
            servers.iter().filter(|server| !excluded.contains(&server.id)).collect();
        if allowed.is_empty() {
            return Choice::NoServer;
        }
        let sound = self.without_ejected(allowed, now_ms);
        let owner = job.generation.and_then(|generation| owner(generation, &sound));
        let costs = sound
            .into_iter()
            .filter(|server| self.in_flight(&server.id) < job.in_flight_max)
            .map(|server| (self.cost(job, server, owner == Some(&server.id), now_ms), server));
        // Equal servers are taken in turns by chance, so that hosts do not move together.
        let tied = costs.map(|(cost, server)| ((cost, rng.random::<u32>()), server));
        tied.min_by_key(|(cost, _)| *cost).map_or(Choice::Full, |((units, _), server)| {
            Choice::Server { server: Arc::clone(server), units }
        })
    }

    /// Notes that a request goes to a server.
    pub fn start(&mut self, id: &name::ServerId, job: Job<'_>, now_ms: u64) {
        let load = self.loads.entry(id.clone()).or_default();
        load.in_flight += 1;
        load.unread_units += job.units();
        for part in job.shared_parts() {
            load.parts.insert(part.id, now_ms);
        }
        if load.parts.len() > PARTS_MAX {
            load.parts.retain(|_, at_ms| now_ms < *at_ms + PART_KEPT_MS);
        }
    }

    /// Notes that the first byte of an answer has come.
    pub fn first_byte(&mut self, id: &name::ServerId, units: u64) {
        if let Some(load) = self.loads.get_mut(id) {
            load.unread_units = load.unread_units.saturating_sub(units);
        }
    }

    /// Notes that a request at a server has ended; returns whether the server is left out now.
    pub fn end(&mut self, id: &name::ServerId, ending: Ending, now_ms: u64) -> bool {
        let load = self.loads.entry(id.clone()).or_default();
        load.in_flight = load.in_flight.saturating_sub(1);
        match ending {
            Ending::Fine => {
                load.failures = 0;
                load.ejections = 0;
                return false;
            }
            Ending::Cancelled => return false,
            Ending::Failed => load.failures += 1,
            Ending::Unreachable => load.failures = FAILURES_TO_EJECT,
        }
        let is_ejected = load.failures >= FAILURES_TO_EJECT && now_ms >= load.ejected_until_ms;
        if is_ejected {
            let pause_ms = EJECT_MS.saturating_mul(1 << load.ejections.min(5)).min(EJECT_MAX_MS);
            load.ejected_until_ms = now_ms + pause_ms;
            load.ejections += 1;
            load.failures = 0;
        }
        is_ejected
    }

    /// Takes a server's own report of its load.
    pub fn report(&mut self, id: &name::ServerId, running: u32, waiting: u32, now_ms: u64) {
        let load = self.loads.entry(id.clone()).or_default();
        let own_in_flight = load.in_flight;
        load.report = Some(Report { running, waiting, own_in_flight, at_ms: now_ms });
    }

    /// Forgets servers that are no longer known and have nothing in flight.
    pub fn retain<F>(&mut self, is_known: F)
    where
        F: Fn(&name::ServerId) -> bool,
    {
        self.loads.retain(|id, load| load.in_flight > 0 || is_known(id));
    }

    /// Requests of this host at a server.
    #[must_use]
    pub fn in_flight(&self, id: &name::ServerId) -> u32 {
        self.loads.get(id).map_or(0, |load| load.in_flight)
    }

    /// Requests that a server is expected to hold: running ones and waiting ones.
    #[must_use]
    pub fn expected(&self, id: &name::ServerId, now_ms: u64) -> (u32, u32) {
        let Some(load) = self.loads.get(id) else { return (0, 0) };
        let recent = load.report.filter(|report| now_ms < report.at_ms + REPORT_MAX_AGE_MS);
        let Some(report) = recent else { return (load.in_flight, 0) };
        let others = (report.running + report.waiting).saturating_sub(report.own_in_flight);
        let waiting = report.waiting.min(others);
        (load.in_flight + others - waiting, waiting)
    }

    fn cost(
        &self,
        job: Job<'_>,
        server: &server::BackendServer,
        is_owner: bool,
        now_ms: u64,
    ) -> u64 {
        let (running, waiting) = self.expected(&server.id, now_ms);
        let distance = u64::from(server.data_centre != *job.data_centre) * DISTANCE_TOKENS;
        if job.generation.is_none() {
            // For a plain service a request counts as a part of the server's slots.
            let busy = u64::from(running + waiting) * WAITING_TOKENS;
            return busy / u64::from(server.slots.max(1)) + distance;
        }
        let unread = self.loads.get(&server.id).map_or(0, |load| load.unread_units);
        unread
            + u64::from(running) * RUNNING_TOKENS
            + u64::from(waiting) * WAITING_TOKENS
            + job.weigh(self.uncached_tokens(job, &server.id, is_owner, now_ms))
            + distance
    }

    /// Tokens of the prompt that a server has to read.
    fn uncached_tokens(
        &self,
        job: Job<'_>,
        id: &name::ServerId,
        is_owner: bool,
        now_ms: u64,
    ) -> u64 {
        let load = self.loads.get(id);
        let is_cached = |part: &&generation::PromptPart| {
            let sent_ms = load.and_then(|load| load.parts.get(&part.id));
            is_owner || sent_ms.is_some_and(|at_ms| now_ms < at_ms + PART_KEPT_MS)
        };
        let cached: u64 =
            job.shared_parts().iter().take_while(is_cached).map(|part| part.tokens).sum();
        job.prompt_tokens().saturating_sub(cached)
    }

    /// Leaves out servers that failed lately, unless those are too many.
    fn without_ejected<'a>(
        &self,
        servers: Vec<&'a Arc<server::BackendServer>>,
        now_ms: u64,
    ) -> Vec<&'a Arc<server::BackendServer>> {
        let is_ejected = |id: &name::ServerId| {
            self.loads.get(id).is_some_and(|load| now_ms < load.ejected_until_ms)
        };
        let kept: Vec<_> =
            servers.iter().copied().filter(|server| !is_ejected(&server.id)).collect();
        if kept.len() * 100 < servers.len() * (100 - EJECTED_MAX_PERCENT) { servers } else { kept }
    }
}

impl Job<'_> {
    fn prompt_tokens(&self) -> u64 {
        self.generation.map_or(0, |generation| generation.prompt_tokens)
    }

    /// Work of reading the prompt, in prompt tokens of the smallest model.
    #[must_use]
    pub fn units(&self) -> u64 {
        self.weigh(self.prompt_tokens())
    }

    fn weigh(&self, tokens: u64) -> u64 {
        tokens * self.weight_percent / 100
    }

    fn shared_parts(&self) -> &[generation::PromptPart] {
        self.generation.map_or(&[], generation::GenerationRequest::shared_parts)
    }
}

/// The server that rendezvous hashing names for the shared parts of a prompt.
fn owner<'a>(
    generation: &generation::GenerationRequest,
    servers: &[&'a Arc<server::BackendServer>],
) -> Option<&'a name::ServerId> {
    let deepest = generation.shared_parts().last()?;
    servers
        .iter()
        .max_by_key(|server| rendezvous_weight(deepest.id, server.id.as_str()))
        .map(|server| &server.id)
}

fn rendezvous_weight(key: u64, server: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(server.as_bytes(), key)
}
