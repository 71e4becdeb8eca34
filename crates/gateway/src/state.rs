//! State of the gateway that all requests share.

use std::collections;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic;

use toucanwall_policy::forecast;
use toucanwall_policy::placement;
use toucanwall_policy::repetition;
use toucanwall_policy::retry_quota;
use toucanwall_policy::server_notices;
use toucanwall_policy::shutdown;
use toucanwall_routing::name;
use toucanwall_routing::server;
use toucanwall_routing::settings;
use toucanwall_routing::view;

use crate::clock;
use crate::cold_starts;
use crate::crashes;
use crate::limits;
use crate::memory_budget;
use crate::metrics;
use crate::pool;
use crate::rollouts;

/// State of the gateway that all requests share.
#[derive(Debug)]
pub struct GatewayState {
    /// Settings of the host.
    pub settings: Arc<settings::Settings>,
    /// Monotonic clock.
    pub clock: clock::Clock,
    /// Latest view of the deployment.
    pub view: tokio::sync::watch::Receiver<Arc<view::View>>,
    /// Pool of connections to backend servers.
    pub pool: Arc<pool::Pool>,
    /// Memory for bytes of callers and servers.
    pub memory_budget: memory_budget::MemoryBudget,
    /// Load of the backend servers, as known to this host.
    pub placement: Mutex<placement::Placement>,
    /// What the backend servers have said of themselves, shared with the control thread.
    notices: Arc<Mutex<server_notices::ServerNotices>>,
    /// Limits that servers name, shared with the control thread.
    pub limits: Arc<limits::Limits>,
    /// Cold servers, shared with the control thread.
    pub cold_starts: Arc<cold_starts::ColdStarts>,
    /// Roll-outs in progress.
    pub rollouts: Arc<rollouts::Rollouts>,
    /// Requests under which servers ended.
    pub crashes: Arc<crashes::Crashes>,
    /// Counters and histograms.
    pub metrics: Arc<metrics::Metrics>,
    /// Number of requests that have been received and have no complete response yet.
    pub open_requests: atomic::AtomicUsize,
    /// Number of open connections from callers.
    pub open_connections: atomic::AtomicUsize,
    /// Progress of the host from serving to shutdown.
    pub lifecycle: Lifecycle,
    retry_quotas: Mutex<collections::BTreeMap<name::ServiceName, retry_quota::RetryQuota>>,
    forecasts: Mutex<collections::BTreeMap<ForecastKey, forecast::Forecast>>,
    durations: Mutex<collections::BTreeMap<name::RouteName, shutdown::Durations>>,
    stream_paces: Mutex<collections::BTreeMap<PaceKey, repetition::StreamPace>>,
}

/// What the state of a host is made from; the control thread shares most of it.
#[derive(Debug)]
pub struct Inputs {
    /// Settings of the host.
    pub settings: Arc<settings::Settings>,
    /// Monotonic clock.
    pub clock: clock::Clock,
    /// Latest view of the deployment.
    pub view: tokio::sync::watch::Receiver<Arc<view::View>>,
    /// What the backend servers have said of themselves.
    pub notices: Arc<Mutex<server_notices::ServerNotices>>,
    /// Limits that servers name.
    pub limits: Arc<limits::Limits>,
    /// Cold servers.
    pub cold_starts: Arc<cold_starts::ColdStarts>,
    /// Roll-outs in progress.
    pub rollouts: Arc<rollouts::Rollouts>,
    /// Requests under which servers ended.
    pub crashes: Arc<crashes::Crashes>,
    /// Counters and histograms.
    pub metrics: Arc<metrics::Metrics>,
}

/// Key of a latency forecast: a service and the model that it runs.
pub type ForecastKey = (name::ServiceName, Option<name::ModelName>);

/// Key of the pace of streams: a route and the model that answers.
pub type PaceKey = (name::RouteName, Option<name::ModelName>);

/// Current [`Stage`] of a host, which only advances, and when the host ends.
#[derive(Debug, Default)]
pub struct Lifecycle {
    stage: atomic::AtomicU8,
    /// When all open requests are answered, in milliseconds, once the host shuts down.
    ends_ms: tokio::sync::watch::Sender<Option<u64>>,
}

/// Stage of a host between serving and shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// The host accepts requests.
    Serving,
    /// The host accepts requests, and tells callers to use other hosts.
    Leaving,
    /// The host refuses new requests and finishes those in progress.
    Draining,
}

impl GatewayState {
    /// Creates the state of a host that has received no requests.
    #[must_use]
    pub fn new(inputs: Inputs) -> Self {
        let Inputs {
            settings,
            clock,
            view,
            notices,
            limits,
            cold_starts,
            rollouts,
            crashes,
            metrics,
        } = inputs;
        let memory_budget = memory_budget::MemoryBudget::new(settings.memory_bytes);
        Self {
            settings,
            clock,
            view,
            pool: Arc::new(pool::Pool::default()),
            memory_budget,
            placement: Mutex::new(placement::Placement::new()),
            notices,
            limits,
            cold_starts,
            rollouts,
            crashes,
            metrics,
            open_requests: atomic::AtomicUsize::new(0),
            open_connections: atomic::AtomicUsize::new(0),
            lifecycle: Lifecycle::default(),
            retry_quotas: Mutex::new(collections::BTreeMap::new()),
            forecasts: Mutex::new(collections::BTreeMap::new()),
            durations: Mutex::default(),
            stream_paces: Mutex::default(),
        }
    }

    /// Returns the latest view.
    #[must_use]
    pub fn view(&self) -> Arc<view::View> {
        Arc::clone(&self.view.borrow())
    }

    /// Locks the load information of the backend servers.
    pub fn placement(&self) -> MutexGuard<'_, placement::Placement> {
        self.placement.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks what the backend servers have said of themselves.
    pub fn notices(&self) -> MutexGuard<'_, server_notices::ServerNotices> {
        self.notices.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The servers of a service that accept new requests now or after a pause.
    #[must_use]
    pub fn staying_servers(&self, service: &name::ServiceName) -> Vec<Arc<server::BackendServer>> {
        let (view, now_ms) = (self.view(), self.clock.now_ms());
        let notices = self.notices();
        let stays = |server: &&Arc<server::BackendServer>| {
            notices.acceptance(server, now_ms) != server_notices::Acceptance::Leaving
        };
        view.ready_servers_of(service).iter().filter(stays).cloned().collect()
    }

    /// Keeps the servers that accept new requests now.
    pub fn retain_accepting(&self, servers: &mut Vec<Arc<server::BackendServer>>) {
        let now_ms = self.clock.now_ms();
        let notices = self.notices();
        servers.retain(|server| {
            notices.acceptance(server, now_ms) == server_notices::Acceptance::Accepts
        });
    }

    /// Whether a server that was chosen earlier accepts new requests now.
    #[must_use]
    pub fn current_acceptance(&self, server: &server::BackendServer) -> server_notices::Acceptance {
        let view = self.view();
        match view.all_servers.get(&server.id) {
            Some(known)
                if known.address == server.address
                    && known.started_unix_ms == server.started_unix_ms =>
            {
                self.notices().acceptance(known, self.clock.now_ms())
            }
            Some(_) | None => server_notices::Acceptance::Leaving,
        }
    }

    /// Whether any of these servers accepts new requests, and if not, for which reason.
    #[must_use]
    pub fn earliest_acceptance(
        &self,
        servers: &[Arc<server::BackendServer>],
    ) -> server_notices::Acceptance {
        let now_ms = self.clock.now_ms();
        let notices = self.notices();
        let acceptances = servers.iter().map(|server| notices.acceptance(server, now_ms));
        server_notices::earliest(acceptances)
    }

    /// Counts a request of a service towards its retry budget.
    pub fn record_request(&self, service: &name::ServiceName) {
        let hosts = self.view().serving_host_count();
        self.with_retry_quota(service, |quota| quota.record_request(hosts, self.clock.now_ms()));
    }

    /// Takes a retry from the retry budget of a service; returns whether one was available.
    #[must_use]
    pub fn try_take_retry(&self, service: &name::ServiceName) -> bool {
        let hosts = self.view().serving_host_count();
        let now_ms = self.clock.now_ms();
        let (is_taken, usage) = self.with_retry_quota(service, |quota| {
            (quota.try_take(hosts, now_ms), quota.usage(hosts, now_ms))
        });
        self.metrics.record_retry(service, is_taken, usage);
        is_taken
    }

    /// Returns the retries that a service may spend on escalation; some are reserved for failures.
    #[must_use]
    pub fn spare_retries(&self, service: &name::ServiceName) -> u64 {
        let hosts = self.view().serving_host_count();
        self.with_retry_quota(service, |quota| quota.escalation_retries(hosts, self.clock.now_ms()))
    }

    /// Updates the forecast with a measured time to the first byte.
    pub fn record_first_byte_time(&self, key: ForecastKey, units: u64, first_byte_ms: u64) {
        let mut forecasts = self.forecasts.lock().unwrap_or_else(PoisonError::into_inner);
        forecasts.entry(key).or_default().record(units, first_byte_ms, self.clock.now_ms());
    }

    /// Records how long a request of a route has taken until its response was complete.
    pub fn record_duration(&self, route: &name::RouteName, took_ms: u64) {
        let mut durations = self.durations.lock().unwrap_or_else(PoisonError::into_inner);
        durations.entry(route.clone()).or_default().record(took_ms);
    }

    /// How long a request of a route is likely to take at the most, in milliseconds.
    #[must_use]
    pub fn expected_duration_ms(
        &self,
        route: &name::RouteName,
        repetition: shutdown::Repetition,
    ) -> Option<u64> {
        let durations = self.durations.lock().unwrap_or_else(PoisonError::into_inner);
        durations.get(route).and_then(|durations| durations.expected_ms(repetition))
    }

    /// Returns the expected time to the first byte for an amount of work, in milliseconds.
    #[must_use]
    pub fn expected_first_byte_ms(&self, key: &ForecastKey, units: u64) -> Option<u64> {
        let forecasts = self.forecasts.lock().unwrap_or_else(PoisonError::into_inner);
        forecasts.get(key).and_then(|forecast| forecast.predict_ms(units, self.clock.now_ms()))
    }

    /// Records a complete stream of `events` events that arrived within `duration_ms`.
    pub fn record_stream_pace(&self, key: PaceKey, events: u64, duration_ms: u64) {
        let mut paces = self.stream_paces.lock().unwrap_or_else(PoisonError::into_inner);
        paces.entry(key).or_default().record(events, duration_ms, self.clock.now_ms());
    }

    /// Returns the expected time from the next event of a stream to its last one, in milliseconds, if
    /// `received` events have arrived.
    #[must_use]
    pub fn expected_rest_ms(&self, key: &PaceKey, received: u64) -> Option<u64> {
        let paces = self.stream_paces.lock().unwrap_or_else(PoisonError::into_inner);
        paces.get(key).and_then(|pace| pace.rest_ms(received, self.clock.now_ms()))
    }

    fn with_retry_quota<F, T>(&self, service: &name::ServiceName, operation: F) -> T
    where
        F: FnOnce(&mut retry_quota::RetryQuota) -> T,
    {
        let bounds = self.settings.bounds;
        let limits = retry_quota::RetryLimits {
            ratio: bounds.retry_ratio,
            allowance: bounds.retry_allowance,
            window_ms: bounds.retry_window_ms,
        };
        let mut retry_quotas = self.retry_quotas.lock().unwrap_or_else(PoisonError::into_inner);
        operation(
            retry_quotas
                .entry(service.clone())
                .or_insert_with(|| retry_quota::RetryQuota::new(limits, &mut rand::rng())),
        )
    }
}

impl Lifecycle {
    /// Returns the current stage.
    #[must_use]
    pub fn stage(&self) -> Stage {
        match self.stage.load(atomic::Ordering::Relaxed) {
            0 => Stage::Serving,
            1 => Stage::Leaving,
            _ => Stage::Draining,
        }
    }

    /// Records when all open requests are answered, since the host ends then.
    pub fn set_end(&self, ends_ms: u64) {
        self.ends_ms.send_replace(Some(ends_ms));
    }

    /// When all open requests are answered, in milliseconds; `None` while the host does not shut
    /// down.
    #[must_use]
    pub fn ends_ms(&self) -> Option<u64> {
        *self.ends_ms.borrow()
    }

    /// Waits until all open requests have to be answered.
    pub async fn ended(&self, clock: clock::Clock) {
        let mut receiver = self.ends_ms.subscribe();
        // The sender lives as long as this.
        let ends_ms = receiver.wait_for(Option::is_some).await.ok().and_then(|ends_ms| *ends_ms);
        match ends_ms {
            Some(ends_ms) => tokio::time::sleep_until(clock.instant_at(ends_ms)).await,
            None => std::future::pending().await,
        }
    }

    /// Advances to a later stage; an earlier one has no effect.
    pub fn advance(&self, stage: Stage) {
        let value = match stage {
            Stage::Serving => 0,
            Stage::Leaving => 1,
            Stage::Draining => 2,
        };
        self.stage.fetch_max(value, atomic::Ordering::Relaxed);
    }
}
