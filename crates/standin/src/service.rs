//! Stand-in for a plain service that counts how often each write was executed.

use std::collections;
use std::net;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic;
use std::time;

use poem::web;

use crate::server;

/// A plain service; clones share its state.
#[derive(Debug, Clone, Default)]
pub struct Service {
    executions: Arc<Mutex<collections::BTreeMap<String, u64>>>,
    delay_ms: Arc<atomic::AtomicU64>,
    aborts_responses: Arc<atomic::AtomicBool>,
}

impl Service {
    /// Creates a service that has executed no writes.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the delay before the response to a write, in milliseconds.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.delay_ms.store(delay_ms, atomic::Ordering::SeqCst);
    }

    /// Sets whether writes are executed but their responses aborted within the body.
    pub fn set_aborts_responses(&self, aborts_responses: bool) {
        self.aborts_responses.store(aborts_responses, atomic::Ordering::SeqCst);
    }

    /// Returns how often each write was executed, by its path and body.
    #[must_use]
    pub fn executions(&self) -> collections::BTreeMap<String, u64> {
        self.executions.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Serves the service at an address.
    ///
    /// # Errors
    /// The address is in use or does not belong to this machine.
    pub async fn serve(&self, address: net::SocketAddr) -> std::io::Result<server::RunningServer> {
        let routes = poem::Route::new()
            .at("/effects", poem::get(handle_executions))
            .at("/*path", poem::get(handle_read).post(handle_write));
        let routes = poem::Route::new().nest("/", poem::EndpointExt::data(routes, self.clone()));
        server::serve(address, routes, Arc::new(atomic::AtomicBool::new(false))).await
    }
}

#[poem::handler]
fn handle_executions(
    web::Data(service): web::Data<&Service>,
) -> web::Json<collections::BTreeMap<String, u64>> {
    web::Json(service.executions())
}

#[poem::handler]
fn handle_read(web::Path(path): web::Path<String>) -> web::Json<serde_json::Value> {
    web::Json(serde_json::json!({ "path": path, "found": true }))
}

#[poem::handler]
async fn handle_write(
    web::Path(path): web::Path<String>,
    body: String,
    web::Data(service): web::Data<&Service>,
) -> poem::Response {
    let number = {
        let mut executions = service.executions.lock().unwrap_or_else(PoisonError::into_inner);
        *executions.entry(format!("{path} {body}")).or_default() += 1;
        executions.values().sum::<u64>()
    };
    let delay_ms = service.delay_ms.load(atomic::Ordering::SeqCst);
    if delay_ms > 0 {
        tokio::time::sleep(time::Duration::from_millis(delay_ms)).await;
    }
    if service.aborts_responses.load(atomic::Ordering::SeqCst) {
        let aborted = futures_util::stream::iter([
            Ok(bytes::Bytes::from_static(b"{")),
            Err(std::io::Error::from(std::io::ErrorKind::ConnectionReset)),
        ]);
        return poem::Response::builder().body(poem::Body::from_bytes_stream(aborted));
    }
    let json = serde_json::json!({ "path": path, "number": number });
    poem::Response::builder().content_type("application/json").body(json.to_string())
}
