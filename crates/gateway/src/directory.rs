//! What callers, the platform and operators ask a host: addresses, readiness and metrics.

use std::net;
use std::sync::Arc;

use poem::EndpointExt as _;
use poem::IntoEndpoint as _;
use poem::web;
use rand::seq::SliceRandom as _;
use toucanwall_listener::PromptAcceptor;
use toucanwall_platform::discovery;

use crate::logging;
use crate::traffic;

/// How long callers keep addresses, in seconds: a host that stops is left by most within it.
const TTL_S: u64 = 2;

/// Which questions are answered at an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Questions {
    /// Which addresses to use.
    Addresses,
    /// Whether the host is ready.
    Readiness,
    /// What it counts.
    Metrics,
}

/// Answers questions at an address.
///
/// # Errors
/// The address is in use or not one of this machine.
pub async fn listen(
    questions: Questions,
    traffic: Arc<traffic::Traffic>,
    address: net::SocketAddr,
) -> std::io::Result<()> {
    let acceptor = PromptAcceptor::bind(address).await?;
    let routes = match questions {
        Questions::Addresses => poem::Route::new().at(discovery::PATH, poem::get(addresses)),
        Questions::Readiness => {
            poem::Route::new().at(discovery::READINESS_PATH, poem::get(readiness))
        }
        Questions::Metrics => poem::Route::new().at("/metrics", poem::get(metrics)),
    };
    let endpoint = routes.data(traffic).into_endpoint();
    tokio::spawn(async move {
        if let Err(error) = poem::Server::new_with_acceptor(acceptor).run(endpoint).await {
            log::error!(target: "toucanwall", why = error.to_string(); "questions are no longer answered");
        }
    });
    Ok(())
}

/// Whether a host can serve: it knows the deployment and is not about to stop.
fn is_ready(traffic: &traffic::Traffic) -> bool {
    traffic.intake.stage() == traffic::Stage::Serving && traffic.view().is_complete()
}

#[poem::handler]
fn addresses(
    web::Query(query): web::Query<discovery::Query>,
    web::Data(traffic): web::Data<&Arc<traffic::Traffic>>,
) -> poem::Response {
    let view = traffic.view();
    let mut known: Vec<_> = view
        .serving_hosts()
        .filter(|host| host.name != traffic.settings.host)
        .map(|host| (host.data_centre.as_str() != query.data_centre, host.caller_address))
        .collect();
    if is_ready(traffic) {
        let is_elsewhere = traffic.settings.data_centre.as_str() != query.data_centre;
        known.push((is_elsewhere, traffic.settings.caller_address));
    }
    if known.is_empty() {
        return unavailable();
    }
    known.shuffle(&mut rand::rng());
    known.sort_by_key(|(is_elsewhere, _)| *is_elsewhere);
    let addresses = known.into_iter().map(|(_, address)| address);
    let answer = discovery::Response {
        addresses: addresses.take(discovery::ADDRESSES_MAX).collect(),
        ttl_s: TTL_S.min(traffic.settings.bounds.discovery_ttl_max_ms / 1_000).max(1),
    };
    match serde_json::to_string(&answer) {
        Ok(text) => poem::Response::builder().content_type("application/json").body(text),
        Err(error) => {
            log::error!(target: "toucanwall", why = error.to_string(); "addresses cannot be written");
            unavailable()
        }
    }
}

#[poem::handler]
fn readiness(web::Data(traffic): web::Data<&Arc<traffic::Traffic>>) -> poem::Response {
    if is_ready(traffic) { poem::Response::from("ready\n") } else { unavailable() }
}

#[poem::handler]
fn metrics(web::Data(traffic): web::Data<&Arc<traffic::Traffic>>) -> poem::Response {
    match traffic.metrics.encode(logging::dropped()) {
        Ok(text) => poem::Response::builder()
            .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
            .body(text),
        Err(error) => {
            log::error!(target: "toucanwall", why = error.to_string(); "metrics cannot be written");
            unavailable()
        }
    }
}

fn unavailable() -> poem::Response {
    poem::Response::builder().status(poem::http::StatusCode::SERVICE_UNAVAILABLE).finish()
}
