//! Placement of requests on backend servers by the estimated cost at each server.
//!
//! Many hosts read the same stale load reports and would flood whichever server looked idle, so a
//! host adds the requests that it has sent since the report. Long prompts are expensive where their
//! parts are not cached, so a request goes to the server that rendezvous hashing selects for its
//! shared parts, unless that server is busier than reading the parts again would cost. Where servers
//! differ in speed, the cost is the time that the work takes there, and servers of close cost share
//! the requests.

use std::collections;
use std::sync::Arc;

use toucanwall_routing::generation;
use toucanwall_routing::name;
use toucanwall_routing::server;

use crate::even_choice;
use crate::server_speed;

/// Age from which a server's load report is ignored, in milliseconds: typical requests take about
/// this long, so those that ran then have ended.
const REPORT_MAX_AGE_MS: u64 = 2_000;
/// Age up to which a report shows how many places are taken, in milliseconds. With 2 s, and
/// no rejections below 60 percent of the places, three percent of those in the simulation came while
/// less than half of the places were taken.
const FRESH_REPORT_AGE_MS: u64 = 1_000;
/// Age from which a report no longer says how long work takes at the server, in milliseconds: it
/// changes many times a second.
const WORK_TIME_MAX_AGE_MS: u64 = 500;
/// Range of the reported times of work that are believed, in percent of the usual time.
const REPORTED_PERCENT: (u32, u32) = (25, 400);
/// Consecutive failures after which a server is ejected.
const FAILURES_BEFORE_EJECTION: u32 = 3;
/// Duration of a server's first ejection, in milliseconds; doubles with each further one. A crashed
/// server needs some seconds to return.
const BASE_EJECTION_MS: u64 = 1_000;
/// Maximum duration of an ejection, in milliseconds.
const MAX_EJECTION_MS: u64 = 8_000;
/// Maximum part of a service's servers that is ejected, in percent: if more of them fail, the fault
/// is not with single servers.
const MAX_EJECTION_PERCENT: usize = 50;
/// Cost of one running request for the next one, in prompt tokens: they share decoding steps.
const RUNNING_REQUEST_COST_TOKENS: u64 = 150;
/// Cost of one waiting request for the next one, in prompt tokens, if its size is not known.
const WAITING_REQUEST_COST_TOKENS: u64 = 3_000;
/// Cost of an expected output token at a server that takes twice as long as the fastest, in prompt
/// tokens.
const OUTPUT_TOKEN_COST_TOKENS: u64 = 20;
/// Cost of a server in another data centre, in prompt tokens; breaks ties between equal servers.
const REMOTE_DATA_CENTRE_COST_TOKENS: u64 = 100;
/// Time for which an engine is assumed to cache a prompt part that it has read, in milliseconds.
const PART_CACHE_TTL_MS: u64 = 8_000;
/// Number of this host's concurrent requests at a server that comes back from a pause; each request
/// that the server accepts raises it by one.
const SLOW_START_REQUESTS: u32 = 1;
/// Number of concurrent requests from which a server that came back from a pause has no limit of its
/// own.
const SLOW_START_END_REQUESTS: u32 = 32;
/// Number of remembered prompt parts of a server above which expired ones are removed.
const PRUNE_PARTS_ABOVE: usize = 2_048;

/// What a request requires of a server.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// The generation request; none for a plain service.
    pub generation: Option<&'a generation::GenerationRequest>,
    /// Data centre of this host.
    pub data_centre: &'a name::DataCentre,
    /// Maximum number of this host's concurrent requests at one server.
    pub in_flight_max: u32,
    /// Cost of a token relative to the smallest model, in percent.
    pub relative_cost_percent: u64,
}

/// How a request to a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The server worked as expected.
    Fine,
    /// The server declined the request, as an overloaded one does.
    Declined,
    /// The server failed the request.
    Failed,
    /// The server accepts no connections.
    Unreachable,
    /// This host cancelled the request, which says nothing about the server.
    Cancelled,
}

/// The result of choosing a server.
#[derive(Debug, Clone)]
pub enum Choice {
    /// Send the request to this server.
    Server {
        /// The chosen server.
        server: Arc<server::BackendServer>,
        /// Estimated time to the first byte, in prompt tokens of the smallest model that a server of
        /// usual speed reads in it.
        units: u64,
    },
    /// Every suitable server has reached this host's limit of concurrent requests.
    Full,
    /// No suitable server is left.
    NoServer,
}

/// The load and health of the backend servers as this host knows them.
#[derive(Debug, Default)]
pub struct Placement {
    loads: collections::BTreeMap<name::ServerId, Load>,
    speeds: server_speed::ServerSpeeds,
}

#[derive(Debug, Default)]
struct Load {
    in_flight: u32,
    /// Work of reading the prompts of this host's requests that have not received their first byte.
    pending_prompt_units: u64,
    report: Option<Report>,
    failures: u32,
    ejections: u32,
    ejected_until_ms: u64,
    /// Limit since the server asked for a pause; `None` once it has accepted many requests.
    slow_start: Option<SlowStart>,
    /// When this host last sent each prompt part to the server.
    part_sent_ms: collections::BTreeMap<u64, u64>,
}

/// Limits a host's requests at a server that comes back from a pause.
#[derive(Debug, Clone, Copy)]
struct SlowStart {
    /// Maximum number of concurrent requests, without the earlier ones.
    limit: u32,
    /// Requests in flight from before the pause, which are taken to end before the later ones.
    earlier: u32,
}

#[derive(Debug, Clone, Copy)]
struct Report {
    running: u32,
    waiting: u32,
    own_in_flight: u32,
    /// How long work takes at the server, in percent of the usual time.
    work_time_percent: Option<u32>,
    received_ms: u64,
}

impl Placement {
    /// Creates a placement without any recorded load.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Chooses a server among the `servers` of a service that accept requests.
    pub fn choose<R>(
        &self,
        request: Request<'_>,
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
        let healthy = self.without_ejected(allowed, now_ms);
        let owner = request.generation.and_then(|generation| owner(generation, &healthy));
        let with_room: Vec<_> = healthy
            .into_iter()
            .filter(|server| self.has_room(&server.id, request.in_flight_max))
            .map(|server| (server, self.work_time_percent(server, now_ms)))
            .collect();
        let shortest = with_room.iter().map(|(_, percent)| *percent).min();
        let longest = with_room.iter().map(|(_, percent)| *percent).max();
        let candidates: Vec<_> = with_room
            .into_iter()
            .map(|(server, percent)| {
                let is_owner = owner == Some(&server.id);
                let work = self.work_ahead(request, server, is_owner, now_ms);
                let units = scale(work, percent).saturating_add(request.distance_cost(server));
                let slower_percent = u64::from(percent - shortest.unwrap_or(percent));
                even_choice::Candidate {
                    server,
                    units,
                    cost: units.saturating_add(request.output_cost(slower_percent)),
                    free_capacity: self.free_capacity(server, percent, now_ms),
                }
            })
            .collect();
        let chosen = if shortest == longest {
            even_choice::cheapest(&candidates, rng)
        } else {
            even_choice::proportional(&candidates, rng)
        };
        chosen.map_or(Choice::Full, |it| Choice::Server {
            server: Arc::clone(it.server),
            units: it.units,
        })
    }

    /// Records that a request was sent to a server.
    pub fn record_start(&mut self, id: &name::ServerId, request: Request<'_>, now_ms: u64) {
        let load = self.loads.entry(id.clone()).or_default();
        load.in_flight += 1;
        load.pending_prompt_units =
            load.pending_prompt_units.saturating_add(request.prompt_units());
        for part in request.shared_parts() {
            load.part_sent_ms.insert(part.id, now_ms);
        }
        if load.part_sent_ms.len() > PRUNE_PARTS_ABOVE {
            load.part_sent_ms.retain(|_, at_ms| now_ms < *at_ms + PART_CACHE_TTL_MS);
        }
    }

    /// Records that the first byte of an answer has arrived, so that its prompt has been read.
    pub fn record_first_byte(&mut self, id: &name::ServerId, prompt_units: u64) {
        if let Some(load) = self.loads.get_mut(id) {
            load.pending_prompt_units = load.pending_prompt_units.saturating_sub(prompt_units);
        }
    }

    /// Records that a request to a server has ended; returns whether this ejected the server.
    pub fn record_end(&mut self, id: &name::ServerId, outcome: Outcome, now_ms: u64) -> bool {
        let load = self.loads.entry(id.clone()).or_default();
        load.in_flight = load.in_flight.saturating_sub(1);
        if let Some(slow_start) = &mut load.slow_start {
            slow_start.earlier = slow_start.earlier.saturating_sub(1);
        }
        match outcome {
            Outcome::Fine | Outcome::Declined => {
                load.failures = 0;
                load.ejections = 0;
                return false;
            }
            Outcome::Cancelled => return false,
            Outcome::Failed => load.failures += 1,
            Outcome::Unreachable => load.failures = FAILURES_BEFORE_EJECTION,
        }
        let is_ejected =
            load.failures >= FAILURES_BEFORE_EJECTION && now_ms >= load.ejected_until_ms;
        if is_ejected {
            let ejection_ms =
                BASE_EJECTION_MS.saturating_mul(1 << load.ejections.min(5)).min(MAX_EJECTION_MS);
            load.ejected_until_ms = now_ms + ejection_ms;
            load.ejections += 1;
            load.failures = 0;
        }
        is_ejected
    }

    /// Records that a pause of a server begins. After it, the host's load comes back gradually, as the
    /// server accepts requests.
    pub fn record_pause(&mut self, id: &name::ServerId) {
        let load = self.loads.entry(id.clone()).or_default();
        load.slow_start = Some(SlowStart { limit: SLOW_START_REQUESTS, earlier: load.in_flight });
    }

    /// Records that a server has accepted a request.
    pub fn record_acceptance(&mut self, id: &name::ServerId) {
        if let Some(load) = self.loads.get_mut(id) {
            let raised = load.slow_start.map(|it| SlowStart { limit: it.limit + 1, ..it });
            load.slow_start = raised.filter(|it| it.limit < SLOW_START_END_REQUESTS);
        }
    }

    /// Records the load that a server reported.
    ///
    /// `work_time_percent` is how long work takes there at this moment, in percent of the usual time, if
    /// the server says so.
    pub fn record_load(
        &mut self,
        id: &name::ServerId,
        running: u32,
        waiting: u32,
        work_time_percent: Option<u32>,
        now_ms: u64,
    ) {
        let load = self.loads.entry(id.clone()).or_default();
        let own_in_flight = load.in_flight;
        let received_ms = now_ms;
        load.report =
            Some(Report { running, waiting, own_in_flight, work_time_percent, received_ms });
    }

    /// Records the times between the events of a response, in milliseconds and in ascending order, which
    /// show the speed of its server.
    pub fn record_speed(
        &mut self,
        server: &server::BackendServer,
        sorted_intervals_ms: &[u64],
        now_ms: u64,
    ) {
        let reported_percent = self.reported_percent(&server.id, now_ms);
        self.speeds.record(server, sorted_intervals_ms, reported_percent, now_ms);
    }

    /// Forgets servers that are no longer known and have no requests in flight.
    pub fn retain<F>(&mut self, is_known: F)
    where
        F: Fn(&name::ServerId) -> bool,
    {
        self.speeds.retain(&is_known);
        self.loads.retain(|id, load| load.in_flight > 0 || is_known(id));
    }

    /// Number of this host's requests in flight at a server.
    #[must_use]
    pub fn in_flight(&self, id: &name::ServerId) -> u32 {
        self.loads.get(id).map_or(0, |load| load.in_flight)
    }

    /// Whether this host may send another request to a server now.
    fn has_room(&self, id: &name::ServerId, in_flight_max: u32) -> bool {
        let in_flight = self.in_flight(id);
        let slow_start = self.loads.get(id).and_then(|load| load.slow_start);
        in_flight < in_flight_max
            && slow_start.is_none_or(|it| in_flight.saturating_sub(it.earlier) < it.limit)
    }

    /// Expected numbers of running and of waiting requests at a server.
    #[must_use]
    pub fn expected_load(&self, id: &name::ServerId, now_ms: u64) -> (u32, u32) {
        let Some(load) = self.loads.get(id) else { return (0, 0) };
        let recent = load.report.filter(|report| now_ms < report.received_ms + REPORT_MAX_AGE_MS);
        let Some(report) = recent else { return (load.in_flight, 0) };
        let others =
            report.running.saturating_add(report.waiting).saturating_sub(report.own_in_flight);
        let waiting = report.waiting.min(others);
        (load.in_flight.saturating_add(others - waiting), waiting)
    }

    /// Expected numbers of running and of waiting requests at a server, if it has reported its load
    /// within the last second.
    #[must_use]
    pub fn reported_load(&self, id: &name::ServerId, now_ms: u64) -> Option<(u32, u32)> {
        let report = self.loads.get(id)?.report?;
        let is_fresh = now_ms < report.received_ms + FRESH_REPORT_AGE_MS;
        is_fresh.then(|| self.expected_load(id, now_ms))
    }

    /// Time that work takes at a server, in percent of the usual time in its service.
    #[must_use]
    pub fn work_time_percent(&self, server: &server::BackendServer, now_ms: u64) -> u32 {
        let reported_percent = self.reported_percent(&server.id, now_ms);
        self.speeds.work_time_percent(server) * reported_percent / server_speed::USUAL_PERCENT
    }

    /// Time that work takes at a server compared with its own usual time, in percent, as it has
    /// reported recently.
    fn reported_percent(&self, id: &name::ServerId, now_ms: u64) -> u32 {
        let report = self.loads.get(id).and_then(|load| load.report);
        let recent = report.filter(|it| now_ms < it.received_ms + WORK_TIME_MAX_AGE_MS);
        let percent = recent.and_then(|it| it.work_time_percent);
        percent.map_or(server_speed::USUAL_PERCENT, |percent| {
            percent.clamp(REPORTED_PERCENT.0, REPORTED_PERCENT.1)
        })
    }

    /// Free slots of a server, each counted by the work that it does in the usual time, in percent.
    fn free_capacity(
        &self,
        server: &server::BackendServer,
        work_time_percent: u32,
        now_ms: u64,
    ) -> u64 {
        let (running, waiting) = self.expected_load(&server.id, now_ms);
        let free_slots = server.slots.saturating_sub(running.saturating_add(waiting));
        u64::from(free_slots) * 10_000 / u64::from(work_time_percent.max(1))
    }

    /// Work until a request's first byte, in prompt tokens of the smallest model.
    fn work_ahead(
        &self,
        request: Request<'_>,
        server: &server::BackendServer,
        is_owner: bool,
        now_ms: u64,
    ) -> u64 {
        let (running, waiting) = self.expected_load(&server.id, now_ms);
        if request.generation.is_none() {
            // At a server of a plain service, a request costs less the more slots the server has.
            let load_cost = (u64::from(running) + u64::from(waiting)) * WAITING_REQUEST_COST_TOKENS;
            return load_cost / u64::from(server.slots.max(1));
        }
        let pending = self.loads.get(&server.id).map_or(0, |load| load.pending_prompt_units);
        let uncached = self.uncached_tokens(request, &server.id, is_owner, now_ms);
        let load_cost = u64::from(running) * RUNNING_REQUEST_COST_TOKENS
            + u64::from(waiting) * WAITING_REQUEST_COST_TOKENS;
        pending.saturating_add(request.scale_to_smallest_model(uncached)).saturating_add(load_cost)
    }

    /// Number of prompt tokens that a server has to read because they are not cached; the owner of
    /// the shared parts is assumed to have cached all of them.
    fn uncached_tokens(
        &self,
        request: Request<'_>,
        id: &name::ServerId,
        is_owner: bool,
        now_ms: u64,
    ) -> u64 {
        let load = self.loads.get(id);
        let is_cached = |part: &&generation::PromptPart| {
            let sent_ms = load.and_then(|load| load.part_sent_ms.get(&part.id));
            is_owner || sent_ms.is_some_and(|at_ms| now_ms < at_ms + PART_CACHE_TTL_MS)
        };
        let cached = request.shared_parts().iter().take_while(is_cached).map(|part| part.tokens);
        request.prompt_tokens().saturating_sub(cached.fold(0, u64::saturating_add))
    }

    /// Leaves out ejected servers, unless too many of them are ejected.
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
        if kept.len() * 100 < servers.len() * (100 - MAX_EJECTION_PERCENT) { servers } else { kept }
    }
}

impl Request<'_> {
    fn prompt_tokens(&self) -> u64 {
        self.generation.map_or(0, |generation| generation.prompt_tokens)
    }

    /// Work of reading the whole prompt, in prompt tokens of the smallest model.
    #[must_use]
    pub fn prompt_units(&self) -> u64 {
        self.scale_to_smallest_model(self.prompt_tokens())
    }

    fn distance_cost(&self, server: &server::BackendServer) -> u64 {
        u64::from(server.data_centre != *self.data_centre) * REMOTE_DATA_CENTRE_COST_TOKENS
    }

    /// Cost of generating the expected output at a server that takes longer than the fastest.
    fn output_cost(&self, slower_percent: u64) -> u64 {
        let tokens = self.generation.map_or(0, |generation| {
            generation.output_hint_tokens.unwrap_or(generation.output_max_tokens)
        });
        let cost = tokens.saturating_mul(OUTPUT_TOKEN_COST_TOKENS);
        cost.saturating_mul(slower_percent) / u64::from(server_speed::USUAL_PERCENT)
    }

    fn scale_to_smallest_model(&self, tokens: u64) -> u64 {
        tokens.saturating_mul(self.relative_cost_percent) / 100
    }

    fn shared_parts(&self) -> &[generation::PromptPart] {
        self.generation.map_or(&[], generation::GenerationRequest::shared_parts)
    }
}

/// Time that work of a server of usual speed takes at a server.
fn scale(units: u64, work_time_percent: u32) -> u64 {
    units.saturating_mul(u64::from(work_time_percent)) / u64::from(server_speed::USUAL_PERCENT)
}

/// The server that rendezvous hashing selects for the last shared part of a prompt.
fn owner<'a>(
    generation: &generation::GenerationRequest,
    servers: &[&'a Arc<server::BackendServer>],
) -> Option<&'a name::ServerId> {
    let last_shared = generation.shared_parts().last()?;
    servers
        .iter()
        .max_by_key(|server| rendezvous_weight(last_shared.id, server.id.as_str()))
        .map(|server| &server.id)
}

fn rendezvous_weight(key: u64, server: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(server.as_bytes(), key)
}
