//! A stand-in of a plain service that counts how often each call took effect.

use std::collections;
use std::net;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic;
use std::time;

use poem::web;

use crate::server;

/// A service.
#[derive(Debug, Clone, Default)]
pub struct Service {
    effects: Arc<Mutex<collections::BTreeMap<String, u64>>>,
    delay_ms: Arc<atomic::AtomicU64>,
    breaks: Arc<atomic::AtomicBool>,
}

impl Service {
    /// A service that nobody has called yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes each call take this long, in milliseconds.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.delay_ms.store(delay_ms, atomic::Ordering::SeqCst);
    }

    /// Makes calls take effect and then break off before the answer.
    pub fn set_aborts_responses(&self, breaks: bool) {
        self.breaks.store(breaks, atomic::Ordering::SeqCst);
    }

    /// How often each body of a writing call took effect.
    #[must_use]
    pub fn executions(&self) -> collections::BTreeMap<String, u64> {
        self.effects.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Serves the service at an address.
    ///
    /// # Errors
    /// The address is in use or not one of this machine.
    pub async fn serve(&self, address: net::SocketAddr) -> std::io::Result<server::RunningServer> {
        let routes = poem::Route::new()
            .at("/effects", poem::get(effects))
            .at("/*path", poem::get(look_up).post(take_effect));
        let routes = poem::Route::new().nest("/", poem::EndpointExt::data(routes, self.clone()));
        server::serve(address, routes, Arc::new(atomic::AtomicBool::new(false))).await
    }
}

#[poem::handler]
fn effects(
    web::Data(service): web::Data<&Service>,
) -> web::Json<collections::BTreeMap<String, u64>> {
    web::Json(service.executions())
}

#[poem::handler]
fn look_up(web::Path(path): web::Path<String>) -> web::Json<serde_json::Value> {
    web::Json(serde_json::json!({ "path": path, "found": true }))
}

#[poem::handler]
async fn take_effect(
    web::Path(path): web::Path<String>,
    body: String,
    web::Data(service): web::Data<&Service>,
) -> poem::Response {
    let number = {
        let mut counts = service.effects.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry(format!("{path} {body}")).or_default() += 1;
        counts.values().sum::<u64>()
    };
    let delay_ms = service.delay_ms.load(atomic::Ordering::SeqCst);
    if delay_ms > 0 {
        tokio::time::sleep(time::Duration::from_millis(delay_ms)).await;
    }
    if service.breaks.load(atomic::Ordering::SeqCst) {
        let broken = futures_util::stream::iter([
            Ok(bytes::Bytes::from_static(b"{")),
            Err(std::io::Error::from(std::io::ErrorKind::ConnectionReset)),
        ]);
        return poem::Response::builder().body(poem::Body::from_bytes_stream(broken));
    }
    let json = serde_json::json!({ "path": path, "number": number });
    poem::Response::builder().content_type("application/json").body(json.to_string())
}
