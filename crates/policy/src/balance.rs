//! Load balancing over the backend servers of a pool: the less loaded of two random servers, with
//! prefix affinity.

use std::collections;
use std::net;
use std::sync::Arc;

use rand::RngExt as _;

/// Consecutive failures after which a server is ejected.
const FAILURES_BEFORE_EJECTION: u32 = 3;
/// Duration of a server's first ejection, in milliseconds; doubles with each further one.
const BASE_EJECTION_MS: u64 = 2_000;
/// Maximum duration of an ejection, in milliseconds.
const MAX_EJECTION_MS: u64 = 60_000;
/// Maximum part of a pool that may be ejected at the same time, in percent.
const MAX_EJECTION_PERCENT: usize = 50;
/// Age from which a load report is ignored, in milliseconds.
const REPORT_MAX_AGE_MS: u64 = 5_000;
/// Number of requests by which the server that holds a prompt's prefix may exceed the less loaded
/// of two servers and still be chosen.
const MAX_AFFINITY_EXCESS: u64 = 4;
/// Number of random draws before all servers are examined.
const MAX_SAMPLES: usize = 8;
/// Maximum number of prefixes that are remembered.
const MAX_PREFIXES: usize = 65_536;

/// A backend server as its entry in the store describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Address that the server listens on.
    pub address: net::SocketAddr,
    /// Pool that the server belongs to.
    pub pool: Arc<str>,
    /// Whether the server accepts no new requests.
    pub is_draining: bool,
    /// Models that are loaded, as `model@version`; empty for a plain service.
    pub loaded: collections::BTreeSet<Arc<str>>,
}

#[derive(Debug, Default)]
struct Health {
    in_flight: u64,
    reported_running: u64,
    in_flight_at_report: u64,
    reported_ms: Option<u64>,
    failures: u32,
    ejections: u32,
    ejected_until_ms: u64,
}

/// What a request requires of a server.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Pool to choose from.
    pub pool: &'a str,
    /// `model@version` that must be loaded; none for a plain service.
    pub item: Option<&'a str>,
    /// Hash of the prompt's prefix, if requests that share it should go to the same server.
    pub prefix_hash: Option<u64>,
    /// Maximum number of concurrent requests at one server.
    pub slots: u64,
    /// Servers that must not be chosen.
    pub excluded: &'a collections::BTreeSet<net::SocketAddr>,
}

/// Servers that accept requests, by pool and loaded item; the empty item stands for the whole pool.
type Index = collections::BTreeMap<(Arc<str>, Arc<str>), Arc<[net::SocketAddr]>>;

/// What the end of a request says about its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The server worked as expected.
    Success,
    /// The server failed the request.
    Failed,
    /// The server accepts no connections.
    Unreachable,
}

/// The result of choosing a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// Send the request to this server.
    Server(net::SocketAddr),
    /// Every suitable server has reached its limit of concurrent requests.
    Full,
    /// No suitable server exists.
    NoServer,
}

/// The backend servers with their load and health.
#[derive(Debug, Default)]
pub struct Balancer {
    servers: collections::BTreeMap<net::SocketAddr, Server>,
    /// Built lazily; cleared whenever a server changes.
    index: Option<Index>,
    health: collections::BTreeMap<net::SocketAddr, Health>,
    prefix_servers: collections::BTreeMap<u64, net::SocketAddr>,
}

impl Balancer {
    /// Creates a balancer without servers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds or replaces a server.
    pub fn put(&mut self, server: Server) {
        self.servers.insert(server.address, server);
        self.index = None;
    }

    /// Removes a server.
    pub fn remove(&mut self, address: net::SocketAddr) {
        self.servers.remove(&address);
        self.index = None;
        if self.health.get(&address).is_some_and(|health| health.in_flight == 0) {
            self.health.remove(&address);
        }
    }

    /// All servers.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Whether a server accepts new requests.
    #[must_use]
    pub fn accepts_requests(&self, address: net::SocketAddr) -> bool {
        self.servers.get(&address).is_some_and(|server| !server.is_draining)
    }

    /// Chooses the server that holds the prompt's prefix if it is not much busier, and otherwise
    /// the less loaded of two random servers.
    pub fn choose<R>(&mut self, request: Request<'_>, now_ms: u64, rng: &mut R) -> Choice
    where
        R: rand::Rng,
    {
        let ready = self.ready(request);
        let Some(ready) = ready.filter(|ready| !ready.is_empty()) else { return Choice::NoServer };
        let mut available = self.sample_available(&ready, request, now_ms, rng);
        if available.is_empty() {
            // The sample found no available server, so examine all of them.
            let remaining: Vec<_> =
                ready.iter().copied().filter(|a| !request.excluded.contains(a)).collect();
            if remaining.is_empty() {
                return Choice::NoServer;
            }
            let healthy = self.without_ejected(&remaining, now_ms);
            available =
                healthy.into_iter().filter(|a| self.load(*a, now_ms) < request.slots).collect();
        }
        if available.is_empty() {
            return Choice::Full;
        }
        let less_loaded = self.less_loaded_of_two(&available, now_ms, rng);
        let chosen =
            self.prefix_affinity_server(request, less_loaded, now_ms).unwrap_or(less_loaded);
        if let Some(prefix_hash) = request.prefix_hash {
            self.record_prefix(prefix_hash, chosen);
        }
        Choice::Server(chosen)
    }

    /// Records that a request was sent to a server.
    pub fn record_start(&mut self, address: net::SocketAddr) {
        self.health.entry(address).or_default().in_flight += 1;
    }

    /// Records that a request to a server has ended.
    pub fn record_end(&mut self, address: net::SocketAddr, outcome: Outcome, now_ms: u64) {
        let health = self.health.entry(address).or_default();
        health.in_flight = health.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Success => {
                health.failures = 0;
                health.ejections = 0;
                return;
            }
            Outcome::Failed => health.failures += 1,
            Outcome::Unreachable => health.failures = FAILURES_BEFORE_EJECTION,
        }
        if health.failures >= FAILURES_BEFORE_EJECTION && now_ms >= health.ejected_until_ms {
            let ejection_ms = BASE_EJECTION_MS.saturating_mul(1 << health.ejections.min(5));
            health.ejected_until_ms = now_ms + ejection_ms.min(MAX_EJECTION_MS);
            health.ejections += 1;
            health.failures = 0;
        }
    }

    /// Records the number of running requests that a server reported.
    pub fn record_load(&mut self, address: net::SocketAddr, running: u64, now_ms: u64) {
        let health = self.health.entry(address).or_default();
        health.reported_running = running;
        health.in_flight_at_report = health.in_flight;
        health.reported_ms = Some(now_ms);
    }

    /// Requests that a server runs: its last report, corrected by the requests of this host that
    /// started or ended since.
    #[must_use]
    pub fn load(&self, address: net::SocketAddr, now_ms: u64) -> u64 {
        let Some(health) = self.health.get(&address) else {
            return 0;
        };
        let is_recent = health.reported_ms.is_some_and(|at| now_ms < at + REPORT_MAX_AGE_MS);
        if !is_recent {
            return health.in_flight;
        }
        let others = health.reported_running.saturating_sub(health.in_flight_at_report);
        others + health.in_flight
    }

    /// Number of this host's requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u64 {
        self.health.values().map(|health| health.in_flight).sum()
    }

    /// Servers that accept requests and have the required item loaded.
    fn ready(&mut self, request: Request<'_>) -> Option<Arc<[net::SocketAddr]>> {
        let servers = &self.servers;
        let index = self.index.get_or_insert_with(|| build_index(servers));
        let key = (Arc::from(request.pool), Arc::from(request.item.unwrap_or_default()));
        index.get(&key).cloned()
    }

    /// Draws a few random servers and keeps the available ones, so that the cost does not grow with
    /// the pool.
    fn sample_available<R>(
        &self,
        ready: &[net::SocketAddr],
        request: Request<'_>,
        now_ms: u64,
        rng: &mut R,
    ) -> Vec<net::SocketAddr>
    where
        R: rand::Rng,
    {
        let mut available = Vec::new();
        for _ in 0..MAX_SAMPLES {
            let address = ready[rng.random_range(0..ready.len())];
            if !available.contains(&address) && self.is_available(address, request, now_ms) {
                available.push(address);
            }
            if available.len() == 2 {
                break;
            }
        }
        available
    }

    fn is_available(&self, address: net::SocketAddr, request: Request<'_>, now_ms: u64) -> bool {
        let is_ejected =
            self.health.get(&address).is_some_and(|health| now_ms < health.ejected_until_ms);
        !is_ejected
            && !request.excluded.contains(&address)
            && self.load(address, now_ms) < request.slots
    }

    /// Leaves out ejected servers, unless too much of the pool is ejected.
    fn without_ejected(&self, ready: &[net::SocketAddr], now_ms: u64) -> Vec<net::SocketAddr> {
        let is_ejected = |address: &net::SocketAddr| {
            self.health.get(address).is_some_and(|health| now_ms < health.ejected_until_ms)
        };
        let kept: Vec<_> = ready.iter().copied().filter(|address| !is_ejected(address)).collect();
        if kept.len() * 100 < ready.len() * (100 - MAX_EJECTION_PERCENT) {
            ready.to_vec()
        } else {
            kept
        }
    }

    fn less_loaded_of_two<R>(
        &self,
        available: &[net::SocketAddr],
        now_ms: u64,
        rng: &mut R,
    ) -> net::SocketAddr
    where
        R: rand::Rng,
    {
        let first = available[rng.random_range(0..available.len())];
        let second = available[rng.random_range(0..available.len())];
        if self.load(second, now_ms) < self.load(first, now_ms) { second } else { first }
    }

    fn prefix_affinity_server(
        &self,
        request: Request<'_>,
        less_loaded: net::SocketAddr,
        now_ms: u64,
    ) -> Option<net::SocketAddr> {
        let address = *self.prefix_servers.get(&request.prefix_hash?)?;
        let server = self.servers.get(&address)?;
        let has_item = request.item.is_none_or(|item| server.loaded.contains(item));
        let is_suitable = has_item && !server.is_draining && &*server.pool == request.pool;
        let is_lightly_loaded =
            self.load(address, now_ms) <= self.load(less_loaded, now_ms) + MAX_AFFINITY_EXCESS;
        (is_suitable && is_lightly_loaded && self.is_available(address, request, now_ms))
            .then_some(address)
    }

    fn record_prefix(&mut self, prefix_hash: u64, address: net::SocketAddr) {
        if self.prefix_servers.len() >= MAX_PREFIXES
            && !self.prefix_servers.contains_key(&prefix_hash)
        {
            self.prefix_servers.pop_first();
        }
        self.prefix_servers.insert(prefix_hash, address);
    }
}

fn build_index(servers: &collections::BTreeMap<net::SocketAddr, Server>) -> Index {
    let mut lists: collections::BTreeMap<(Arc<str>, Arc<str>), Vec<net::SocketAddr>> =
        collections::BTreeMap::new();
    for server in servers.values().filter(|server| !server.is_draining) {
        let items = server.loaded.iter().cloned().chain([Arc::from("")]);
        for item in items {
            lists.entry((Arc::clone(&server.pool), item)).or_default().push(server.address);
        }
    }
    lists.into_iter().map(|(key, list)| (key, list.into())).collect()
}
