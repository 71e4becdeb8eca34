//! What all requests of a host share.

use std::collections;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic;

use toucanwall_policy::forecast;
use toucanwall_policy::placement;
use toucanwall_policy::repeats;
use toucanwall_routing::name;
use toucanwall_routing::settings;
use toucanwall_routing::view;

use crate::clock;
use crate::metrics;
use crate::pool;
use crate::rollouts;

/// What all requests of a host share.
#[derive(Debug)]
pub struct GatewayState {
    /// Settings of the host.
    pub settings: Arc<settings::Settings>,
    /// The steady clock.
    pub clock: clock::Clock,
    /// The newest view of the deployment.
    pub view: tokio::sync::watch::Receiver<Arc<view::View>>,
    /// Connections to backend servers.
    pub pool: Arc<pool::Pool>,
    /// What is known of the backend servers' load.
    pub placement: Mutex<placement::Placement>,
    /// Roll-outs under way.
    pub rollouts: Arc<rollouts::Rollouts>,
    /// What is counted.
    pub metrics: Arc<metrics::Metrics>,
    /// Requests that have come in and have no whole answer yet.
    pub open_requests: atomic::AtomicUsize,
    /// Whether the host takes new requests.
    pub lifecycle: Lifecycle,
    retry_budgets: Mutex<collections::BTreeMap<name::ServiceName, repeats::Repeats>>,
    forecasts: Mutex<collections::BTreeMap<ForecastKey, forecast::Forecast>>,
}

/// Work of which the time is forecast: a service, and the model that it is to run.
pub type ForecastKey = (name::ServiceName, Option<name::ModelName>);

/// Whether a host takes new requests.
#[derive(Debug, Default)]
pub struct Lifecycle {
    stage: atomic::AtomicU8,
}

/// How far a host is in stopping.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// It serves.
    Serving,
    /// It serves, and tells callers to go elsewhere.
    Leaving,
    /// It refuses new requests and finishes what it has.
    Draining,
}

impl GatewayState {
    /// Nothing has come in yet.
    #[must_use]
    pub fn new(
        settings: Arc<settings::Settings>,
        clock: clock::Clock,
        view: tokio::sync::watch::Receiver<Arc<view::View>>,
        rollouts: Arc<rollouts::Rollouts>,
        metrics: Arc<metrics::Metrics>,
    ) -> Self {
        Self {
            settings,
            clock,
            view,
            pool: Arc::new(pool::Pool::default()),
            placement: Mutex::new(placement::Placement::new()),
            rollouts,
            metrics,
            open_requests: atomic::AtomicUsize::new(0),
            lifecycle: Lifecycle::default(),
            retry_budgets: Mutex::new(collections::BTreeMap::new()),
            forecasts: Mutex::new(collections::BTreeMap::new()),
        }
    }

    /// The newest view.
    #[must_use]
    pub fn view(&self) -> Arc<view::View> {
        Arc::clone(&self.view.borrow())
    }

    /// What is known of the servers' load.
    pub fn placement(&self) -> MutexGuard<'_, placement::Placement> {
        self.placement.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a request for a service.
    pub fn record_request(&self, service: &name::ServiceName) {
        self.with_retry_budget(service, |budget| budget.request(self.clock.now_ms()));
    }

    /// Takes one repeat out of a service's budget, if one is left.
    #[must_use]
    pub fn try_take_retry(&self, service: &name::ServiceName) -> bool {
        let hosts = self.view().serving_count();
        self.with_retry_budget(service, |budget| budget.try_take(hosts, self.clock.now_ms()))
    }

    /// Repeats that are left in a service's budget for second runs by choice.
    #[must_use]
    pub fn spare_retries(&self, service: &name::ServiceName) -> u64 {
        let hosts = self.view().serving_count();
        self.with_retry_budget(service, |budget| budget.spare(hosts, self.clock.now_ms()))
    }

    /// Learns from the time to a first byte.
    pub fn record_first_byte_time(&self, key: ForecastKey, units: u64, first_byte_ms: u64) {
        let mut forecasts = self.forecasts.lock().unwrap_or_else(PoisonError::into_inner);
        forecasts.entry(key).or_default().learn(units, first_byte_ms, self.clock.now_ms());
    }

    /// The time to the first byte that some work is expected to take, in milliseconds.
    #[must_use]
    pub fn expected_first_byte_ms(&self, key: &ForecastKey, units: u64) -> Option<u64> {
        let forecasts = self.forecasts.lock().unwrap_or_else(PoisonError::into_inner);
        forecasts.get(key).and_then(|forecast| forecast.expect_ms(units, self.clock.now_ms()))
    }

    fn with_retry_budget<F, T>(&self, service: &name::ServiceName, operation: F) -> T
    where
        F: FnOnce(&mut repeats::Repeats) -> T,
    {
        let bounds = self.settings.bounds;
        let allowance = repeats::Allowance {
            ratio: bounds.retry_ratio,
            extra: bounds.retry_allowance,
            window_ms: bounds.retry_window_ms,
        };
        let mut retry_budgets = self.retry_budgets.lock().unwrap_or_else(PoisonError::into_inner);
        operation(
            retry_budgets
                .entry(service.clone())
                .or_insert_with(|| repeats::Repeats::new(allowance, &mut rand::rng())),
        )
    }
}

impl Lifecycle {
    /// How far the host is in stopping.
    #[must_use]
    pub fn stage(&self) -> Stage {
        match self.stage.load(atomic::Ordering::Relaxed) {
            0 => Stage::Serving,
            1 => Stage::Leaving,
            _ => Stage::Draining,
        }
    }

    /// Goes on to a later stage.
    pub fn advance(&self, stage: Stage) {
        let value = match stage {
            Stage::Serving => 0,
            Stage::Leaving => 1,
            Stage::Draining => 2,
        };
        self.stage.fetch_max(value, atomic::Ordering::Relaxed);
    }
}
