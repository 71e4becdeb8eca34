//! What operators see of one host: health, readiness, status and metrics.

use std::net;

use poem::EndpointExt as _;
use poem::IntoEndpoint as _;
use poem::web;
use toucanwall_listener::NoDelayAcceptor;

use crate::control;
use crate::metrics;

/// Listens for operators.
///
/// # Errors
/// The address is in use or not one of this machine.
pub async fn listen(view: control::SharedView, address: net::SocketAddr) -> std::io::Result<()> {
    let acceptor = NoDelayAcceptor::bind(address).await?;
    let routes = poem::Route::new()
        .at("/healthz", poem::get(health))
        .at("/readyz", poem::get(readiness))
        .at("/status", poem::get(status))
        .at("/metrics", poem::get(metrics_text))
        .data(view);
    let endpoint = routes.into_endpoint();
    tokio::spawn(async move {
        if let Err(error) = poem::Server::new_with_acceptor(acceptor).run(endpoint).await {
            log::error!(target: "toucanwall", "operators are no longer served: {error}");
        }
    });
    Ok(())
}

#[poem::handler]
fn health() -> &'static str {
    "ok\n"
}

#[poem::handler]
fn readiness(web::Data(view): web::Data<&control::SharedView>) -> poem::Response {
    let picture = view.get();
    let code = if picture.host.is_ready {
        poem::http::StatusCode::OK
    } else {
        poem::http::StatusCode::SERVICE_UNAVAILABLE
    };
    poem::Response::builder().status(code).body(format!("{}\n", picture.host.readiness))
}

#[poem::handler]
fn status(web::Data(view): web::Data<&control::SharedView>) -> web::Json<serde_json::Value> {
    let picture = view.get();
    web::Json(serde_json::json!({
        "ready": picture.host.readiness,
        "revision": picture.host.revision,
        "digest": format!("{:016x}", picture.host.digest),
        "requests_in_flight": picture.host.requests_in_flight,
        "members": picture.host.members,
    }))
}

#[poem::handler]
fn metrics_text(web::Data(view): web::Data<&control::SharedView>) -> poem::Response {
    match metrics::encode(&view.get()) {
        Ok(text) => poem::Response::builder()
            .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
            .body(text),
        Err(error) => poem::Response::builder()
            .status(poem::http::StatusCode::INTERNAL_SERVER_ERROR)
            .body(error.to_string()),
    }
}
