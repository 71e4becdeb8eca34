//! HTTP endpoints of a host for callers, the platform and operators: addresses of hosts, readiness
//! and metrics.

use std::net;
use std::sync::Arc;

use poem::EndpointExt as _;
use poem::IntoEndpoint as _;
use poem::web;
use rand::seq::SliceRandom as _;
use toucanwall_listener::NoDelayAcceptor;
use toucanwall_platform::discovery;
use toucanwall_routing::name;

use crate::logging;
use crate::state;

/// Time for which callers may cache addresses, in seconds. Most callers leave a stopping host
/// within this time.
const ADDRESS_TTL_S: u64 = 2;

/// Which endpoint is served at a socket address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointKind {
    /// Addresses of the hosts that callers may use.
    Addresses,
    /// Whether the host is ready to serve.
    Readiness,
    /// Metrics of the host.
    Metrics,
}

/// Serves one endpoint at a socket address.
///
/// # Errors
/// The address cannot be bound.
pub async fn listen(
    kind: EndpointKind,
    state: Arc<state::GatewayState>,
    address: net::SocketAddr,
) -> std::io::Result<()> {
    let acceptor = NoDelayAcceptor::bind(address).await?;
    let routes = match kind {
        EndpointKind::Addresses => poem::Route::new().at(discovery::PATH, poem::get(addresses)),
        EndpointKind::Readiness => {
            poem::Route::new().at(discovery::READINESS_PATH, poem::get(readiness))
        }
        EndpointKind::Metrics => poem::Route::new().at("/metrics", poem::get(metrics)),
    };
    let endpoint = routes.data(state).into_endpoint();
    tokio::spawn(async move {
        if let Err(error) = poem::Server::new_with_acceptor(acceptor).run(endpoint).await {
            log::error!(target: "toucanwall", why = error.to_string(); "HTTP endpoint has stopped");
        }
    });
    Ok(())
}

/// Whether the host can serve: it has a complete view of the deployment and is not stopping.
fn is_ready(state: &state::GatewayState) -> bool {
    state.lifecycle.stage() == state::Stage::Serving && state.view().is_complete()
}

#[poem::handler]
fn addresses(
    web::Query(query): web::Query<discovery::Query>,
    web::Data(state): web::Data<&Arc<state::GatewayState>>,
) -> poem::Response {
    let view = state.view();
    let host_name = query.name.to_ascii_lowercase();
    let configuration = view.configuration.as_ref();
    let allowed = configuration.map(|known| known.allowed_regions_of(&host_name));
    // Callers may always use hosts in their own region; these pass requests to allowed ones.
    let is_allowed = |region: &name::Region| {
        region.as_str() == query.region
            || allowed.as_ref().is_none_or(|allowed| allowed.includes(Some(region)))
    };
    let mut candidates: Vec<_> = view
        .callable_hosts()
        .filter(|host| host.name != state.settings.host && is_allowed(&host.region))
        .map(|host| (host.data_centre.as_str() != query.data_centre, host.caller_address))
        .collect();
    if is_ready(state) && is_allowed(&state.settings.region) {
        let is_remote = state.settings.data_centre.as_str() != query.data_centre;
        candidates.push((is_remote, state.settings.caller_address));
    }
    if candidates.is_empty() {
        return service_unavailable();
    }
    candidates.shuffle(&mut rand::rng());
    candidates.sort_by_key(|(is_remote, _)| *is_remote);
    let addresses = candidates.into_iter().map(|(_, address)| address);
    let answer = discovery::Response {
        addresses: addresses.take(discovery::ADDRESSES_MAX).collect(),
        ttl_s: ADDRESS_TTL_S.min(state.settings.bounds.discovery_ttl_max_ms / 1_000).max(1),
    };
    match serde_json::to_string(&answer) {
        Ok(text) => poem::Response::builder().content_type("application/json").body(text),
        Err(error) => {
            log::error!(target: "toucanwall", why = error.to_string(); "cannot serialise addresses");
            service_unavailable()
        }
    }
}

#[poem::handler]
fn readiness(web::Data(state): web::Data<&Arc<state::GatewayState>>) -> poem::Response {
    if is_ready(state) { poem::Response::from("ready\n") } else { service_unavailable() }
}

#[poem::handler]
fn metrics(web::Data(state): web::Data<&Arc<state::GatewayState>>) -> poem::Response {
    match state.metrics.encode(logging::dropped_lines()) {
        Ok(text) => poem::Response::builder()
            .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
            .body(text),
        Err(error) => {
            log::error!(target: "toucanwall", why = error.to_string(); "cannot encode metrics");
            service_unavailable()
        }
    }
}

fn service_unavailable() -> poem::Response {
    poem::Response::builder().status(poem::http::StatusCode::SERVICE_UNAVAILABLE).finish()
}
