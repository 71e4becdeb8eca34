//! Which backend server a request goes to.

use std::collections;
use std::net;
use std::sync::Arc;

use rand::RngExt as _;

/// Failures in a row after which a server is set aside.
const FAILURES_TO_EJECT: u32 = 3;
/// Time for which a server is first set aside, in milliseconds.
const EJECT_MS: u64 = 2_000;
/// Longest time for which a server is set aside, in milliseconds.
const EJECT_MAX_MS: u64 = 60_000;
/// Largest part of a pool that may be set aside, in percent.
const EJECTED_MAX_PERCENT: usize = 50;
/// Age after which a load report counts for nothing, in milliseconds.
const REPORT_MAX_AGE_MS: u64 = 5_000;
/// Requests that a warm prefix may cost a server over the better of two choices.
const AFFINITY_SLACK: u64 = 4;
/// Servers that are drawn before every one is looked at.
const DRAWS_MAX: usize = 8;
/// Most prefixes that are remembered.
const PREFIXES_MAX: usize = 65_536;

/// A backend server as the host list shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Pool that it belongs to.
    pub pool: Arc<str>,
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// What it has loaded, as `model@version`; empty for a plain service.
    pub loaded: collections::BTreeSet<Arc<str>>,
}

#[derive(Debug, Default)]
struct Health {
    in_flight: u64,
    reported: u64,
    in_flight_at_report: u64,
    reported_ms: Option<u64>,
    failures: u32,
    ejections: u32,
    ejected_until_ms: u64,
}

/// What a request asks of a server.
#[derive(Debug, Clone, Copy)]
pub struct Wanted<'a> {
    /// The pool.
    pub pool: &'a str,
    /// `model@version` that must be loaded, or nothing for a plain service.
    pub item: Option<&'a str>,
    /// Hash of the prompt's prefix, if it has one worth keeping together.
    pub prefix: Option<u64>,
    /// Most requests that one server runs at a time.
    pub slots: u64,
    /// Servers that must not be used.
    pub excluded: &'a collections::BTreeSet<net::SocketAddr>,
}

/// Servers that take work, by pool and loaded item; the empty item lists a whole pool.
type Index = collections::BTreeMap<(Arc<str>, Arc<str>), Arc<[net::SocketAddr]>>;

/// What the end of a request says about its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Nothing speaks against it.
    Fine,
    /// It failed the request.
    Failed,
    /// It takes no connections.
    Unreachable,
}

/// The outcome of a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// Send the request there.
    Server(net::SocketAddr),
    /// Every server that could run it is full.
    Full,
    /// No server has it.
    NoServer,
}

/// The backend servers and how busy each is.
#[derive(Debug, Default)]
pub struct Balancer {
    servers: collections::BTreeMap<net::SocketAddr, Server>,
    /// Servers that take work, by pool and what they have loaded; built anew after a change.
    index: Option<Index>,
    health: collections::BTreeMap<net::SocketAddr, Health>,
    prefixes: collections::BTreeMap<u64, net::SocketAddr>,
}

impl Balancer {
    /// No servers yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds or replaces a server.
    pub fn put(&mut self, server: Server) {
        self.servers.insert(server.address, server);
        self.index = None;
    }

    /// Removes a server from the list.
    pub fn remove(&mut self, address: net::SocketAddr) {
        self.servers.remove(&address);
        self.index = None;
        if self.health.get(&address).is_some_and(|health| health.in_flight == 0) {
            self.health.remove(&address);
        }
    }

    /// The servers.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Whether a server may be given new work.
    #[must_use]
    pub fn takes_work(&self, address: net::SocketAddr) -> bool {
        self.servers.get(&address).is_some_and(|server| !server.is_leaving)
    }

    /// Chooses a server: the warm one if it is not much busier, else the better of two.
    pub fn choose<R>(&mut self, wanted: Wanted<'_>, now_ms: u64, rng: &mut R) -> Choice
    where
        R: rand::Rng,
    {
        let able = self.able(wanted);
        let Some(able) = able.filter(|able| !able.is_empty()) else { return Choice::NoServer };
        let mut open = self.draw_open(&able, wanted, now_ms, rng);
        if open.is_empty() {
            // Few are open, if any: look at each one.
            let rest: Vec<_> =
                able.iter().copied().filter(|a| !wanted.excluded.contains(a)).collect();
            if rest.is_empty() {
                return Choice::NoServer;
            }
            let healthy = self.without_ejected(&rest, now_ms);
            open = healthy.into_iter().filter(|a| self.load(*a, now_ms) < wanted.slots).collect();
        }
        if open.is_empty() {
            return Choice::Full;
        }
        let better = self.better_of_two(&open, now_ms, rng);
        let chosen = self.warm(wanted, better, now_ms).unwrap_or(better);
        if let Some(prefix) = wanted.prefix {
            self.remember(prefix, chosen);
        }
        Choice::Server(chosen)
    }

    /// Notes that a request was sent to a server.
    pub fn start(&mut self, address: net::SocketAddr) {
        self.health.entry(address).or_default().in_flight += 1;
    }

    /// Notes that a request at a server has ended.
    pub fn end(&mut self, address: net::SocketAddr, outcome: Outcome, now_ms: u64) {
        let health = self.health.entry(address).or_default();
        health.in_flight = health.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Fine => {
                health.failures = 0;
                health.ejections = 0;
                return;
            }
            Outcome::Failed => health.failures += 1,
            Outcome::Unreachable => health.failures = FAILURES_TO_EJECT,
        }
        if health.failures >= FAILURES_TO_EJECT && now_ms >= health.ejected_until_ms {
            let pause_ms = EJECT_MS.saturating_mul(1 << health.ejections.min(5));
            health.ejected_until_ms = now_ms + pause_ms.min(EJECT_MAX_MS);
            health.ejections += 1;
            health.failures = 0;
        }
    }

    /// Takes a server's own report of the requests that it runs.
    pub fn report(&mut self, address: net::SocketAddr, running: u64, now_ms: u64) {
        let health = self.health.entry(address).or_default();
        health.reported = running;
        health.in_flight_at_report = health.in_flight;
        health.reported_ms = Some(now_ms);
    }

    /// Requests that a server runs, by its last report and what was sent and ended since.
    #[must_use]
    pub fn load(&self, address: net::SocketAddr, now_ms: u64) -> u64 {
        let Some(health) = self.health.get(&address) else {
            return 0;
        };
        let is_recent = health.reported_ms.is_some_and(|at| now_ms < at + REPORT_MAX_AGE_MS);
        if !is_recent {
            return health.in_flight;
        }
        let others = health.reported.saturating_sub(health.in_flight_at_report);
        others + health.in_flight
    }

    /// Requests of this host in flight.
    #[must_use]
    pub fn in_flight(&self) -> u64 {
        self.health.values().map(|health| health.in_flight).sum()
    }

    /// Servers that take work and have what is wanted.
    fn able(&mut self, wanted: Wanted<'_>) -> Option<Arc<[net::SocketAddr]>> {
        let servers = &self.servers;
        let index = self.index.get_or_insert_with(|| build_index(servers));
        let key = (Arc::from(wanted.pool), Arc::from(wanted.item.unwrap_or_default()));
        index.get(&key).cloned()
    }

    /// Draws a few servers and keeps those that may be used, so that a large pool costs no more.
    fn draw_open<R>(
        &self,
        able: &[net::SocketAddr],
        wanted: Wanted<'_>,
        now_ms: u64,
        rng: &mut R,
    ) -> Vec<net::SocketAddr>
    where
        R: rand::Rng,
    {
        let mut open = Vec::new();
        for _ in 0..DRAWS_MAX {
            let address = able[rng.random_range(0..able.len())];
            if !open.contains(&address) && self.is_open(address, wanted, now_ms) {
                open.push(address);
            }
            if open.len() == 2 {
                break;
            }
        }
        open
    }

    fn is_open(&self, address: net::SocketAddr, wanted: Wanted<'_>, now_ms: u64) -> bool {
        let is_ejected =
            self.health.get(&address).is_some_and(|health| now_ms < health.ejected_until_ms);
        !is_ejected
            && !wanted.excluded.contains(&address)
            && self.load(address, now_ms) < wanted.slots
    }

    /// Leaves out servers that were set aside, unless that would take too many.
    fn without_ejected(&self, able: &[net::SocketAddr], now_ms: u64) -> Vec<net::SocketAddr> {
        let is_ejected = |address: &net::SocketAddr| {
            self.health.get(address).is_some_and(|health| now_ms < health.ejected_until_ms)
        };
        let kept: Vec<_> = able.iter().copied().filter(|address| !is_ejected(address)).collect();
        if kept.len() * 100 < able.len() * (100 - EJECTED_MAX_PERCENT) {
            able.to_vec()
        } else {
            kept
        }
    }

    fn better_of_two<R>(
        &self,
        open: &[net::SocketAddr],
        now_ms: u64,
        rng: &mut R,
    ) -> net::SocketAddr
    where
        R: rand::Rng,
    {
        let first = open[rng.random_range(0..open.len())];
        let second = open[rng.random_range(0..open.len())];
        if self.load(second, now_ms) < self.load(first, now_ms) { second } else { first }
    }

    fn warm(
        &self,
        wanted: Wanted<'_>,
        better: net::SocketAddr,
        now_ms: u64,
    ) -> Option<net::SocketAddr> {
        let address = *self.prefixes.get(&wanted.prefix?)?;
        let server = self.servers.get(&address)?;
        let has_it = wanted.item.is_none_or(|item| server.loaded.contains(item));
        let is_able = has_it && !server.is_leaving && &*server.pool == wanted.pool;
        let is_light = self.load(address, now_ms) <= self.load(better, now_ms) + AFFINITY_SLACK;
        (is_able && is_light && self.is_open(address, wanted, now_ms)).then_some(address)
    }

    fn remember(&mut self, prefix: u64, address: net::SocketAddr) {
        if self.prefixes.len() >= PREFIXES_MAX && !self.prefixes.contains_key(&prefix) {
            self.prefixes.pop_first();
        }
        self.prefixes.insert(prefix, address);
    }
}

fn build_index(servers: &collections::BTreeMap<net::SocketAddr, Server>) -> Index {
    let mut lists: collections::BTreeMap<(Arc<str>, Arc<str>), Vec<net::SocketAddr>> =
        collections::BTreeMap::new();
    for server in servers.values().filter(|server| !server.is_leaving) {
        let items = server.loaded.iter().cloned().chain([Arc::from("")]);
        for item in items {
            lists.entry((Arc::clone(&server.pool), item)).or_default().push(server.address);
        }
    }
    lists.into_iter().map(|(key, list)| (key, list.into())).collect()
}
