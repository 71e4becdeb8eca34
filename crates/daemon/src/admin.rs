//! HTTP API for operators: health, readiness, status and metrics of the host.

use std::net;

use poem::EndpointExt as _;
use poem::IntoEndpoint as _;
use poem::web;
use toucanwall_listener::NoDelayAcceptor;

use crate::control;
use crate::metrics;

/// Binds the address and serves operators in a background task.
///
/// # Errors
/// An I/O error if the address cannot be bound, for example because it is in use.
pub async fn listen(
    shared_snapshot: control::SharedSnapshot,
    address: net::SocketAddr,
) -> std::io::Result<()> {
    let acceptor = NoDelayAcceptor::bind(address).await?;
    let routes = poem::Route::new()
        .at("/healthz", poem::get(health))
        .at("/readyz", poem::get(readiness))
        .at("/status", poem::get(status))
        .at("/metrics", poem::get(metrics_text))
        .data(shared_snapshot);
    let endpoint = routes.into_endpoint();
    tokio::spawn(async move {
        if let Err(error) = poem::Server::new_with_acceptor(acceptor).run(endpoint).await {
            log::error!(target: "toucanwall", "HTTP server for operators failed: {error}");
        }
    });
    Ok(())
}

#[poem::handler]
fn health() -> &'static str {
    "ok\n"
}

#[poem::handler]
fn readiness(web::Data(shared_snapshot): web::Data<&control::SharedSnapshot>) -> poem::Response {
    let snapshot = shared_snapshot.get();
    let code = if snapshot.host.is_ready {
        poem::http::StatusCode::OK
    } else {
        poem::http::StatusCode::SERVICE_UNAVAILABLE
    };
    poem::Response::builder().status(code).body(format!("{}\n", snapshot.host.readiness))
}

#[poem::handler]
fn status(
    web::Data(shared_snapshot): web::Data<&control::SharedSnapshot>,
) -> web::Json<serde_json::Value> {
    let snapshot = shared_snapshot.get();
    web::Json(serde_json::json!({
        "ready": snapshot.host.readiness,
        "revision": snapshot.host.revision,
        "digest": format!("{:016x}", snapshot.host.digest),
        "requests_in_flight": snapshot.host.requests_in_flight,
        "members": snapshot.host.members,
    }))
}

#[poem::handler]
fn metrics_text(web::Data(shared_snapshot): web::Data<&control::SharedSnapshot>) -> poem::Response {
    match metrics::encode(&shared_snapshot.get()) {
        Ok(text) => poem::Response::builder()
            .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
            .body(text),
        Err(error) => poem::Response::builder()
            .status(poem::http::StatusCode::INTERNAL_SERVER_ERROR)
            .body(error.to_string()),
    }
}
