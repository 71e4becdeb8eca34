//! The fleet under test, its backend servers, and what is recorded of them.

use std::collections;
use std::env;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic;
use std::time;

use toucanwall_platform_standin::backend;
use toucanwall_platform_standin::backend::Behaviour;
use toucanwall_platform_standin::proxy;

use crate::gateway_fleet;
use crate::gateway_fleet::GatewayFleet;

/// Number of hosts without `TOUCANWALL_SOAK_HOSTS`.
pub const DEFAULT_HOST_COUNT: usize = 5;
pub const DESK_COUNT: usize = 3;
pub const ENGINE_COUNT: usize = 3;
/// Engines of a service of which all servers crash under a part of a prompt.
pub const FRAGILE_COUNT: usize = 3;
/// Service of these engines.
pub const FRAGILE_SERVICE: &str = "fragile";
/// First part of all prompts.
pub const FIRST_PART: &str = "f1f1";
/// Part under which engines crash.
pub const CRASHING_PART: &str = "bad0";
/// Prefix of the ids of requests with that part.
pub const CRASHING_ID: &str = "bad-";
/// Parts of prompts that crash nothing.
pub const SOUND_PARTS: u64 = 5;
/// Time from the latest sign of a response, if there is one, to the crash.
pub const CRASH_DELAY: time::Duration = time::Duration::from_millis(60);
/// Most events that an engine sends before it crashes.
pub const EVENTS_BEFORE_CRASH_MAX: u64 = 5;
/// Pause between these events.
pub const EVENT_PAUSE: time::Duration = time::Duration::from_millis(50);
/// Time after which a crashed engine is back.
pub const DOWNTIME: time::Duration = time::Duration::from_millis(700);
/// Crashes from which a part may reach servers only a few times more.
pub const CRASH_LIMIT: usize = 5;
/// Requests with the part that may reach servers after that.
pub const LATE_SENDS_MAX: usize = 3;
/// Time for which requests with the part are counted at the end.
pub const COUNTED_TIME: time::Duration = time::Duration::from_secs(2);
/// Time after a response that asks for a pause from which requests of its host are counted.
pub const NOTICE_TIME: time::Duration = time::Duration::from_millis(500);
/// Requests from one host that may reach a server within a pause.
pub const PAUSE_SENDS_MAX: usize = 2;
/// Part of the pauses that all servers of a service ask for.
pub const SERVICE_PAUSES: f64 = 0.3;
/// Path of non-idempotent requests.
pub const BOOKING_PATH: &str = "/book/x";
pub const LAST_EVENT: u64 = 6;
/// Duration for which faults are injected.
pub const FAULT_PHASE: time::Duration = time::Duration::from_secs(6);
/// Time after the last fault until the time limits apply again, as in the `contact_ms` setting.
pub const SETTLE_TIME: time::Duration = time::Duration::from_secs(3);
/// Longest time after the last fault until every host serves requests again.
pub const RECOVERY_TIME: time::Duration = time::Duration::from_secs(12);
/// Time for which a host may complete requests after SIGTERM.
pub const GRACE_PERIOD: time::Duration = time::Duration::from_secs(4);
/// Number of concurrent callers.
pub const CALLER_COUNT: u64 = 6;
/// Window in which requests to a server that names a limit are counted.
pub const LIMIT_WINDOW: time::Duration = time::Duration::from_secs(4);
/// Limits that servers name, in requests a second.
pub const LIMITS: [&str; 3] = ["0.5", "2.2", "10.0"];
/// Time after the disruption of a host in which its connections may end without an answer.
pub const BREAK_TIME: time::Duration = time::Duration::from_secs(3);
/// Time that a slow server takes for a response.
pub const SLOW_RESPONSE: time::Duration = time::Duration::from_millis(1_500);
/// Time for which the store is away before it comes back from a copy.
pub const ABSENCE: time::Duration = time::Duration::from_millis(300);
/// Kinds of objects of which answers to waiting calls are lost.
pub const WATCHED_KINDS: [&str; 5] =
    ["config", "servers", "rollouts", "toucanwall-hosts", "toucanwall-crashes"];
/// Time within which requests end at a server whose leaving was announced in a lost answer, as in the
/// `contact_ms` setting, and some more for requests that are on their way.
pub const LEAVING_TIME: time::Duration = time::Duration::from_millis(3_500);
/// Number of callers that use a connection until it ends.
pub const KEPT_CALLER_COUNT: u64 = 4;

pub type Rng = rand_chacha::ChaCha8Rng;

/// A time in which a server named a limit.
#[derive(Debug, Clone, Copy)]
pub struct LimitPhase {
    /// The server, by index.
    pub server: usize,
    pub limit: &'static str,
    pub begin: time::Instant,
    pub end: time::Instant,
}

/// A request on a kept connection that got no complete response.
#[derive(Debug, Clone)]
pub struct Unanswered {
    pub id: String,
    pub host: usize,
    pub sent: time::Instant,
    pub ended: time::Instant,
}

pub fn host_count() -> usize {
    let Ok(count) = env::var("TOUCANWALL_SOAK_HOSTS") else { return DEFAULT_HOST_COUNT };
    count.parse().expect("TOUCANWALL_SOAK_HOSTS is a number")
}

/// The test configuration with a route to the engines that crash.
pub fn configuration(version: u64) -> serde_json::Value {
    let mut configuration = gateway_fleet::configuration(version);
    let mut route = configuration["routes"][2].clone();
    route["name"] = "r-fragile".into();
    route["path_prefix"] = "/lab/".into();
    route["service"] = FRAGILE_SERVICE.into();
    let mut service = configuration["services"][1].clone();
    service["name"] = FRAGILE_SERVICE.into();
    configuration["routes"].as_array_mut().expect("a list").push(route);
    configuration["services"].as_array_mut().expect("a list").push(service);
    configuration
}

/// A gateway fleet that reaches the backend servers and the store through proxies.
pub struct Deployment {
    pub fleet: tokio::sync::RwLock<GatewayFleet>,
    pub desks: Vec<backend::Backend>,
    pub engines: Vec<backend::Backend>,
    /// Engines that crash under [`CRASHING_PART`]; hosts reach them without a proxy.
    pub fragile_engines: Vec<backend::Backend>,
    pub proxies: Vec<proxy::Proxy>,
    pub store_proxy: proxy::Proxy,
    pub violations: Mutex<Vec<String>>,
    /// The host that each request was sent to.
    pub hosts_of_requests: Mutex<collections::BTreeMap<String, usize>>,
    /// Beginnings and ends of disruptions: pauses around such a moment are not counted.
    pub disruptions: Mutex<Vec<(Disrupted, time::Instant)>>,
    pub limit_phases: Mutex<Vec<LimitPhase>>,
    pub unanswered: Mutex<Vec<Unanswered>>,
    pub requests_sent: atomic::AtomicU64,
    pub requests_served: atomic::AtomicU64,
    pub is_finished: atomic::AtomicBool,
}

/// A host that was stopped, started or let go on, or a server whose link was disrupted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disrupted {
    Host(usize),
    /// A host that was killed or frozen, besides the same under `Host`.
    HostUnplanned(usize),
    Server(usize),
}

impl Deployment {
    pub async fn start(crash_moment: backend::CrashMoment) -> Arc<Self> {
        let mut fleet = GatewayFleet::prepare().await;
        let store_proxy = proxy::Proxy::start(fleet.store.address).await;
        fleet.store_address = store_proxy.address;
        fleet.store.put("config", "main", &configuration(2));
        let (mut desks, mut engines, mut proxies) = (Vec::new(), Vec::new(), Vec::new());
        for number in 0..DESK_COUNT + ENGINE_COUNT {
            let (service, default_behaviour) = if number < DESK_COUNT {
                ("desk", Behaviour::Respond)
            } else {
                ("engines", Behaviour::Stream { last: LAST_EVENT })
            };
            let server = backend::Backend::start(&format!("s-{number}"), default_behaviour).await;
            let proxy = proxy::Proxy::start(server.address).await;
            fleet.register_at(service, &server, proxy.address, "ready");
            proxies.push(proxy);
            if number < DESK_COUNT { desks.push(server) } else { engines.push(server) }
        }
        let mut fragile_engines = Vec::new();
        for number in 0..FRAGILE_COUNT {
            let behaviour = Behaviour::Stream { last: LAST_EVENT };
            let server = backend::Backend::start(&format!("f-{number}"), behaviour).await;
            server.crash_on_part(CRASHING_PART, crash_moment, DOWNTIME);
            fleet.register_run(FRAGILE_SERVICE, &server, 1);
            fragile_engines.push(server);
        }
        for _ in 0..host_count() {
            fleet.add_host();
        }
        for index in 0..host_count() {
            fleet.wait_for("the host to be ready", async || fleet.is_ready(index).await).await;
        }
        Arc::new(Self {
            fleet: tokio::sync::RwLock::new(fleet),
            desks,
            engines,
            fragile_engines,
            proxies,
            store_proxy,
            violations: Mutex::new(Vec::new()),
            hosts_of_requests: Mutex::default(),
            disruptions: Mutex::default(),
            limit_phases: Mutex::default(),
            unanswered: Mutex::default(),
            requests_sent: atomic::AtomicU64::new(0),
            requests_served: atomic::AtomicU64::new(0),
            is_finished: atomic::AtomicBool::new(false),
        })
    }

    pub fn record_violation(&self, description: String) {
        self.violations.lock().expect("the lock is not poisoned").push(description);
    }

    /// Number of executions of each booking, by attempt id.
    pub fn bookings(&self) -> collections::BTreeMap<String, usize> {
        let mut bookings = collections::BTreeMap::new();
        let runs = self.desks.iter().flat_map(backend::Backend::executed);
        for run in runs.filter(|run| run.target == BOOKING_PATH) {
            let id = run.headers.get("x-toucanwall-attempt-id").cloned().unwrap_or_default();
            *bookings.entry(id).or_default() += 1;
        }
        bookings
    }

    pub fn crashes(&self) -> usize {
        self.fragile_engines.iter().map(backend::Backend::crashes).sum()
    }

    pub fn record_request(&self, id: &str, host: usize) {
        let mut hosts = self.hosts_of_requests.lock().expect("the lock is not poisoned");
        hosts.insert(id.to_owned(), host);
    }

    pub fn server(&self, index: usize) -> &backend::Backend {
        self.desks.iter().chain(&self.engines).nth(index).expect("a server")
    }
}
