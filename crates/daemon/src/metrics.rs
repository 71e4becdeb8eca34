//! Metrics in the `OpenMetrics` text format.

use prometheus_client::encoding::text;
use prometheus_client::metrics::counter;
use prometheus_client::metrics::family;
use prometheus_client::metrics::gauge;
use prometheus_client::registry;

use crate::control;

/// Encodes the metrics of a snapshot.
///
/// # Errors
/// [`std::fmt::Error`] if the text cannot be formatted.
pub fn encode(snapshot: &control::Snapshot) -> Result<String, std::fmt::Error> {
    let mut registry = registry::Registry::with_prefix("toucanwall");
    for (counter_id, count) in snapshot.host.counters.iter() {
        register_counter(&mut registry, counter_id.name(), count);
    }
    register_counter(&mut registry, "peer_messages_sent", snapshot.sent.messages);
    register_counter(&mut registry, "peer_bytes_sent", snapshot.sent.bytes);
    register_counter(&mut registry, "peer_messages_dropped", snapshot.sent.dropped);
    register_gauge(&mut registry, "configuration_revision", snapshot.host.revision);
    register_gauge(&mut registry, "requests_in_flight", to_u64(snapshot.host.requests_in_flight));
    register_gauge(
        &mut registry,
        "ledger_pending_bytes",
        to_u64(snapshot.host.ledger_pending_bytes),
    );
    register_gauge(&mut registry, "backups_kept", to_u64(snapshot.host.backups_kept));
    register_refusals(&mut registry, snapshot);
    let mut encoded = String::new();
    text::encode(&mut encoded, &registry)?;
    Ok(encoded)
}

fn register_counter(registry: &mut registry::Registry, name: &str, count: u64) {
    let metric = counter::Counter::<u64>::default();
    metric.inc_by(count);
    registry.register(name, name.replace('_', " "), metric);
}

fn register_gauge(registry: &mut registry::Registry, name: &str, value: u64) {
    let metric = gauge::Gauge::<i64>::default();
    metric.set(i64::try_from(value).unwrap_or(i64::MAX));
    registry.register(name, name.replace('_', " "), metric);
}

fn register_refusals(registry: &mut registry::Registry, snapshot: &control::Snapshot) {
    let refusals = family::Family::<Vec<(String, String)>, counter::Counter>::default();
    for (reason, count) in snapshot.host.counters.refusals() {
        let label = vec![("reason".to_owned(), (*reason).to_owned())];
        refusals.get_or_create(&label).inc_by(*count);
    }
    registry.register("requests_refused", "requests refused as not run", refusals);
}

fn to_u64(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}
