//! Metrics in the text form that Prometheus reads.

use prometheus_client::encoding::text;
use prometheus_client::metrics::counter;
use prometheus_client::metrics::family;
use prometheus_client::metrics::gauge;
use prometheus_client::registry;

use crate::control;

/// The metrics of one picture.
///
/// # Errors
/// The text cannot be written.
pub fn encode(picture: &control::Picture) -> Result<String, std::fmt::Error> {
    let mut registry = registry::Registry::with_prefix("toucanwall");
    for (counted, count) in picture.host.counters.iter() {
        register_count(&mut registry, counted.name(), count);
    }
    register_count(&mut registry, "peer_messages_sent", picture.sent.messages);
    register_count(&mut registry, "peer_bytes_sent", picture.sent.bytes);
    register_count(&mut registry, "peer_messages_dropped", picture.sent.dropped);
    register_gauge(&mut registry, "configuration_revision", picture.host.revision);
    register_gauge(&mut registry, "requests_in_flight", to_u64(picture.host.requests_in_flight));
    register_gauge(
        &mut registry,
        "ledger_pending_bytes",
        to_u64(picture.host.ledger_pending_bytes),
    );
    register_gauge(&mut registry, "backups_kept", to_u64(picture.host.backups_kept));
    register_refusals(&mut registry, picture);
    let mut out = String::new();
    text::encode(&mut out, &registry)?;
    Ok(out)
}

fn register_count(registry: &mut registry::Registry, name: &str, count: u64) {
    let metric = counter::Counter::<u64>::default();
    metric.inc_by(count);
    registry.register(name, name.replace('_', " "), metric);
}

fn register_gauge(registry: &mut registry::Registry, name: &str, value: u64) {
    let metric = gauge::Gauge::<i64>::default();
    metric.set(i64::try_from(value).unwrap_or(i64::MAX));
    registry.register(name, name.replace('_', " "), metric);
}

fn register_refusals(registry: &mut registry::Registry, picture: &control::Picture) {
    let refusals = family::Family::<Vec<(String, String)>, counter::Counter>::default();
    for (reason, count) in picture.host.counters.refusals() {
        let label = vec![("reason".to_owned(), (*reason).to_owned())];
        refusals.get_or_create(&label).inc_by(*count);
    }
    registry.register("requests_refused", "requests refused as not run", refusals);
}

fn to_u64(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}
