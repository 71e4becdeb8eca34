//! Counters and latency histograms in the text format of Prometheus.

use prometheus_client::encoding::text;
use prometheus_client::metrics::counter;
use prometheus_client::metrics::family;
use prometheus_client::metrics::gauge;
use prometheus_client::metrics::histogram;
use prometheus_client::registry;
use toucanwall_platform::response;
use toucanwall_policy::retry_quota;
use toucanwall_routing::name;

use crate::attempt;

/// Upper bounds of the latency buckets in seconds; the specified latency targets lie between them.
const LATENCY_BUCKETS_S: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0];

type Label = (&'static str, &'static str);
type CounterFamily = family::Family<Vec<Label>, counter::Counter>;
type ServiceLabel = (&'static str, String);
type ServiceCounterFamily = family::Family<Vec<ServiceLabel>, counter::Counter>;
type ServiceGaugeFamily = family::Family<Vec<ServiceLabel>, gauge::Gauge>;

/// Metrics of a host.
#[derive(Debug)]
pub struct Metrics {
    registry: registry::Registry,
    answered: CounterFamily,
    refused: CounterFamily,
    failed: CounterFamily,
    attempts_failed: CounterFamily,
    interim_responses: counter::Counter,
    leaving_notices: CounterFamily,
    pause_requests: CounterFamily,
    limit_notices: CounterFamily,
    limited_sends: ServiceCounterFamily,
    cold: ColdMetrics,
    retries: ServiceCounterFamily,
    retry_window: ServiceGaugeFamily,
    connections: CounterFamily,
    store_calls: CounterFamily,
    lost_watches: CounterFamily,
    change_sources: CounterFamily,
    answer_seconds: histogram::Histogram,
    first_byte_seconds: histogram::Histogram,
    configuration_version: gauge::Gauge,
    hosts_listed: gauge::Gauge,
    evacuated_data_centres: gauge::Gauge,
    memory: MemoryMetrics,
    dropped_log_lines: gauge::Gauge,
}

/// Metrics of cold servers.
#[derive(Debug, Default)]
struct ColdMetrics {
    servers: ServiceGaugeFamily,
    sends: ServiceCounterFamily,
    holds: ServiceCounterFamily,
}

/// Metrics of the memory for bytes of callers and servers.
#[derive(Debug, Default)]
struct MemoryMetrics {
    used: gauge::Gauge,
    evictions: gauge::Gauge,
    callers_given_up: CounterFamily,
}

impl MemoryMetrics {
    fn register(registry: &mut registry::Registry) -> Self {
        let metrics = Self::default();
        let help = "memory for bytes of callers and servers that is in use";
        registry.register("buffered_bytes", help, metrics.used.clone());
        let help = "bodies and events that were given up because the memory for them was exceeded";
        registry.register("buffers_given_up", help, metrics.evictions.clone());
        let help = "connections of callers that were closed because they did not read";
        registry.register("callers_given_up", help, metrics.callers_given_up.clone());
        metrics
    }
}

impl ColdMetrics {
    fn register(registry: &mut registry::Registry) -> Self {
        let metrics = Self::default();
        let help = "servers that are cold, as known to this host";
        registry.register("cold_servers", help, metrics.servers.clone());
        let help = "requests sent to cold servers";
        registry.register("sends_to_cold_servers", help, metrics.sends.clone());
        let help =
            "choices of a server in which cold servers were left out, by whether another was left";
        registry.register("held_back_from_cold_servers", help, metrics.holds.clone());
        metrics
    }
}

impl Metrics {
    /// Registers all metrics, with no samples.
    #[must_use]
    pub fn new() -> Self {
        let mut registry = registry::Registry::with_prefix("toucanwall");
        let answered = CounterFamily::default();
        registry.register("requests_answered", "answers by class of status", answered.clone());
        let refused = CounterFamily::default();
        registry.register("requests_refused", "requests that were not run", refused.clone());
        let failed = CounterFamily::default();
        registry.register("requests_failed", "requests that may have run", failed.clone());
        let attempts_failed = CounterFamily::default();
        let help = "sends to servers that came to nothing";
        registry.register("attempts_failed", help, attempts_failed.clone());
        let interim_responses = counter::Counter::default();
        let help = "interim responses of servers";
        registry.register("interim_responses", help, interim_responses.clone());
        let leaving_notices = CounterFamily::default();
        let help = "responses by what they say about whether their server is leaving";
        registry.register("leaving_notices", help, leaving_notices.clone());
        let pause_requests = CounterFamily::default();
        let help = "responses that ask for a pause of their server";
        registry.register("pause_requests", help, pause_requests.clone());
        let limit_notices = CounterFamily::default();
        let help = "responses that name a limit of their server";
        registry.register("limit_notices", help, limit_notices.clone());
        let limited_sends = ServiceCounterFamily::default();
        let help = "requests sent to servers while they named a limit";
        registry.register("sends_to_limited_servers", help, limited_sends.clone());
        let cold = ColdMetrics::register(&mut registry);
        let retries = ServiceCounterFamily::default();
        let help = "retries by whether the budget of their service allowed them";
        registry.register("retries", help, retries.clone());
        let retry_window = ServiceGaugeFamily::default();
        let help = "retries of this host in the latest window, and those that it may make";
        registry.register("retry_window", help, retry_window.clone());
        let connections = CounterFamily::default();
        registry.register("server_connections", "connections by age", connections.clone());
        let store_calls = CounterFamily::default();
        registry.register("store_calls", "calls to the platform's store", store_calls.clone());
        let lost_watches = CounterFamily::default();
        registry.register(
            "lost_watches",
            "waiting calls to the store that were found lost, by kind of object",
            lost_watches.clone(),
        );
        let change_sources = CounterFamily::default();
        let help = "times that a host began to hear of changes from a source";
        registry.register("news_sources", help, change_sources.clone());
        let answer_seconds = histogram::Histogram::new(LATENCY_BUCKETS_S);
        let help = "time until an answer, or until the first event of a stream";
        registry.register("answer_seconds", help, answer_seconds.clone());
        let first_byte_seconds = histogram::Histogram::new(LATENCY_BUCKETS_S);
        let help = "time until the first byte from a server";
        registry.register("server_first_byte_seconds", help, first_byte_seconds.clone());
        let configuration_version = gauge::Gauge::default();
        let help = "version of the configuration in force";
        registry.register("configuration_version", help, configuration_version.clone());
        let hosts_listed = gauge::Gauge::default();
        let help = "hosts whose addresses callers are given";
        registry.register("hosts_listed", help, hosts_listed.clone());
        let evacuated_data_centres = gauge::Gauge::default();
        let help = "data centres that the host knows to be evacuated";
        registry.register("evacuated_data_centres", help, evacuated_data_centres.clone());
        let memory = MemoryMetrics::register(&mut registry);
        let dropped_log_lines = gauge::Gauge::default();
        let help = "log lines that found no room";
        registry.register("log_lines_dropped", help, dropped_log_lines.clone());
        Self {
            registry,
            answered,
            refused,
            failed,
            attempts_failed,
            interim_responses,
            leaving_notices,
            pause_requests,
            limit_notices,
            limited_sends,
            cold,
            retries,
            retry_window,
            connections,
            store_calls,
            lost_watches,
            change_sources,
            answer_seconds,
            first_byte_seconds,
            configuration_version,
            hosts_listed,
            evacuated_data_centres,
            memory,
            dropped_log_lines,
        }
    }

    /// Records a response of a server that is forwarded to the caller.
    pub fn record_response(&self, status: u16, took_ms: u64) {
        let class = match status {
            200..300 => "2xx",
            300..400 => "3xx",
            400..500 => "4xx",
            _ => "5xx",
        };
        self.answered.get_or_create(&vec![("status", class)]).inc();
        self.answer_seconds.observe(to_seconds(took_ms));
    }

    /// Records a refused request, which did not run.
    pub fn record_refusal(&self, reason: &'static str) {
        self.refused.get_or_create(&vec![("reason", reason)]).inc();
    }

    /// Records a request that failed and may have run.
    pub fn record_failure(&self, _status: u16, reason: &'static str) {
        self.failed.get_or_create(&vec![("reason", reason)]).inc();
    }

    /// Records a failed attempt.
    pub fn record_attempt_error(&self, error: &attempt::AttemptError) {
        let reason = match error {
            attempt::AttemptError::Leaving => "leaving",
            attempt::AttemptError::Paused => "paused",
            attempt::AttemptError::Limited => "limited",
            attempt::AttemptError::Cold => "cold",
            attempt::AttemptError::Blocked => "blocked",
            attempt::AttemptError::Unreachable(_) => "unreachable",
            attempt::AttemptError::NotWritten => "not_written",
            attempt::AttemptError::Declined(_) => "declined",
            attempt::AttemptError::Broken(_) => "broken",
            attempt::AttemptError::ServerEnded(_) => "server_ended",
            attempt::AttemptError::TimedOut { .. } => "silent",
            attempt::AttemptError::TooLarge(_) => "too_large",
            attempt::AttemptError::Mismatched => "foreign",
            attempt::AttemptError::Unsealed => "unsealed",
            attempt::AttemptError::UnprovedNotRun(_) => "unproved",
            attempt::AttemptError::ServerError(_) => "failed",
        };
        self.attempts_failed.get_or_create(&vec![("reason", reason)]).inc();
    }

    /// Records an interim response of a server.
    pub fn record_interim_response(&self) {
        self.interim_responses.inc();
    }

    /// Records a response that says something about whether its server is leaving.
    pub fn record_leaving_notice(&self, notice: response::LeavingNotice) {
        let notice = match notice {
            response::LeavingNotice::Absent => return,
            response::LeavingNotice::Leaving => "leaving",
            response::LeavingNotice::Malformed => "malformed",
        };
        self.leaving_notices.get_or_create(&vec![("notice", notice)]).inc();
    }

    /// Records a response that may ask for a pause of its server.
    pub fn record_pause_request(&self, pause: response::PauseRequest) {
        let pause = match pause {
            response::PauseRequest::Absent => return,
            response::PauseRequest::For { .. } => "pause",
            response::PauseRequest::Malformed => "malformed",
        };
        self.pause_requests.get_or_create(&vec![("request", pause)]).inc();
    }

    /// Records a response that may name a limit of its server.
    pub fn record_limit_notice(&self, notice: response::LimitNotice) {
        let notice = match notice {
            response::LimitNotice::Absent => return,
            response::LimitNotice::PerThousandSeconds(_) => "limit",
            response::LimitNotice::Malformed => "malformed",
        };
        self.limit_notices.get_or_create(&vec![("notice", notice)]).inc();
    }

    /// Records that a request was sent to a server of a service that names a limit.
    pub fn record_limited_send(&self, service: &name::ServiceName) {
        self.limited_sends.get_or_create(&vec![service_label(service)]).inc();
    }

    /// Sets the number of servers of a service that are cold.
    pub fn set_cold_servers(&self, service: &name::ServiceName, servers: usize) {
        let servers = i64::try_from(servers).unwrap_or(i64::MAX);
        self.cold.servers.get_or_create(&vec![service_label(service)]).set(servers);
    }

    /// Records that a request was sent to a cold server of a service.
    pub fn record_cold_send(&self, service: &name::ServiceName) {
        self.cold.sends.get_or_create(&vec![service_label(service)]).inc();
    }

    /// Records that cold servers of a service were held back from a request, and whether another server
    /// took it.
    pub fn record_cold_hold(&self, service: &name::ServiceName, has_other: bool) {
        let outcome = if has_other { "other_server" } else { "no_server" };
        let labels = vec![service_label(service), ("outcome", outcome.to_owned())];
        self.cold.holds.get_or_create(&labels).inc();
    }

    /// Records whether a retry was allowed, and how much of the budget is used.
    pub fn record_retry(
        &self,
        service: &name::ServiceName,
        is_allowed: bool,
        usage: retry_quota::Usage,
    ) {
        let labels = |key, value: &str| vec![service_label(service), (key, value.to_owned())];
        let outcome = if is_allowed { "allowed" } else { "denied" };
        self.retries.get_or_create(&labels("outcome", outcome)).inc();
        for (figure, count) in [("taken", usage.taken), ("budget", usage.budget)] {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.retry_window.get_or_create(&labels("figure", figure)).set(count);
        }
    }

    /// Records the use of a new or an idle connection to a server.
    pub fn record_connection(&self, is_new: bool) {
        let age = if is_new { "new" } else { "kept" };
        self.connections.get_or_create(&vec![("age", age)]).inc();
    }

    /// Records a call to the store.
    pub fn record_store_call(&self, kind: &'static str, has_failed: bool) {
        let outcome = if has_failed { "failed" } else { "answered" };
        self.store_calls.get_or_create(&vec![("kind", kind), ("outcome", outcome)]).inc();
    }

    /// Sets the memory for bytes of callers and servers that is in use, and how many were given up.
    pub fn set_memory(&self, used_bytes: usize, evictions: u64) {
        self.memory.used.set(i64::try_from(used_bytes).unwrap_or(i64::MAX));
        self.memory.evictions.set(i64::try_from(evictions).unwrap_or(i64::MAX));
    }

    /// Records that a caller's connection was closed because of what it did not read.
    pub fn record_caller_given_up(&self, reason: &'static str) {
        self.memory.callers_given_up.get_or_create(&vec![("reason", reason)]).inc();
    }

    /// Records that a waiting call for changes of a kind was lost.
    pub fn record_lost_watch(&self, kind: &'static str) {
        self.lost_watches.get_or_create(&vec![("kind", kind)]).inc();
    }

    /// Records that the host now receives changes from the store or from another host.
    pub fn record_change_source(&self, source: &'static str) {
        self.change_sources.get_or_create(&vec![("source", source)]).inc();
    }

    /// Records the time to the first byte from a server.
    pub fn record_first_byte(&self, first_byte_ms: u64) {
        self.first_byte_seconds.observe(to_seconds(first_byte_ms));
    }

    /// Sets the version of the active configuration.
    pub fn set_configuration_version(&self, version: u64) {
        self.configuration_version.set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// Sets the number of hosts whose addresses callers are given.
    pub fn set_hosts_listed(&self, hosts: usize) {
        self.hosts_listed.set(i64::try_from(hosts).unwrap_or(i64::MAX));
    }

    /// Sets the number of data centres that the host knows to be evacuated.
    pub fn set_evacuated_data_centres(&self, data_centres: usize) {
        self.evacuated_data_centres.set(i64::try_from(data_centres).unwrap_or(i64::MAX));
    }

    /// Encodes the metrics as text.
    ///
    /// # Errors
    /// The encoder fails.
    pub fn encode(&self, dropped_log_lines: u64) -> Result<String, std::fmt::Error> {
        self.dropped_log_lines.set(i64::try_from(dropped_log_lines).unwrap_or(i64::MAX));
        let mut out = String::new();
        text::encode(&mut out, &self.registry)?;
        Ok(out)
    }
}

fn service_label(service: &name::ServiceName) -> ServiceLabel {
    ("service", service.as_str().to_owned())
}

fn to_seconds(ms: u64) -> f64 {
    std::time::Duration::from_millis(ms).as_secs_f64()
}
