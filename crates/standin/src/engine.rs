//! Stand-in for an inference engine: resumable streams, reported load and token usage, and faults.

use std::collections;
use std::net;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic;
use std::time;

use futures_util::StreamExt as _;
use poem::web;

use crate::server;

/// A prompt that contains this word crashes the engine.
pub const POISON_WORD: &str = "POISON";
/// Number of tokens in a response if the request has no `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 16;

/// Latency and faults of an engine.
#[derive(Debug, Clone)]
pub struct Behaviour {
    /// Model versions that are loaded, as `model@version`.
    pub loaded_versions: collections::BTreeSet<String>,
    /// Time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Time between tokens, in milliseconds.
    pub token_interval_ms: u64,
    /// Number of tokens of the response after which a stream stalls, if it does.
    ///
    /// Tokens before the point of resumption count too.
    pub stall_after: Option<u64>,
    /// Number of tokens of the response after which a stream is reset, if it is.
    ///
    /// Tokens before the point of resumption count too.
    pub reset_after: Option<u64>,
}

/// Counts of the requests that an engine executed.
#[derive(Debug, Default)]
pub struct Statistics {
    /// Number of executed requests, by `model@version`.
    pub requests_by_item: collections::BTreeMap<String, u64>,
}

/// An inference engine; clones share its state.
#[derive(Debug, Clone)]
pub struct Engine {
    behaviour: Arc<Mutex<Behaviour>>,
    statistics: Arc<Mutex<Statistics>>,
    running_requests: Arc<atomic::AtomicU64>,
    is_down: Arc<atomic::AtomicBool>,
}

impl Engine {
    /// Creates an engine with a behaviour.
    #[must_use]
    pub fn new(behaviour: Behaviour) -> Self {
        Self {
            behaviour: Arc::new(Mutex::new(behaviour)),
            statistics: Arc::default(),
            running_requests: Arc::default(),
            is_down: Arc::default(),
        }
    }

    /// Serves the engine at an address.
    ///
    /// # Errors
    /// The address is in use or does not belong to this machine.
    pub async fn serve(&self, address: net::SocketAddr) -> std::io::Result<server::RunningServer> {
        let routes = poem::Route::new()
            .at("/v1/chat/completions", poem::post(handle_completion))
            .at("/load", poem::get(handle_load));
        let routes = poem::Route::new().nest("/", poem::EndpointExt::data(routes, self.clone()));
        server::serve(address, routes, Arc::clone(&self.is_down)).await
    }

    /// Sets the behaviour for requests that arrive from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock().unwrap_or_else(PoisonError::into_inner) = behaviour;
    }

    /// Whether the engine crashed, through a poison request or [`server::RunningServer::crash`].
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.is_down.load(atomic::Ordering::SeqCst)
    }

    /// Number of requests executed so far, by `model@version`.
    #[must_use]
    pub fn requests_by_item(&self) -> collections::BTreeMap<String, u64> {
        self.statistics.lock().unwrap_or_else(PoisonError::into_inner).requests_by_item.clone()
    }

    fn behaviour(&self) -> Behaviour {
        self.behaviour.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn count_request(&self, item: &str) {
        let mut statistics = self.statistics.lock().unwrap_or_else(PoisonError::into_inner);
        *statistics.requests_by_item.entry(item.to_owned()).or_default() += 1;
    }
}

/// Counts a request as running until the guard is dropped.
struct RunningRequestGuard(Arc<atomic::AtomicU64>);

impl Drop for RunningRequestGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}

#[poem::handler]
async fn handle_completion(
    request: &poem::Request,
    body: Vec<u8>,
    web::Data(engine): web::Data<&Engine>,
) -> poem::Response {
    let engine = engine.clone();
    let item = request.header("x-toucanwall-item").unwrap_or_default().to_owned();
    let behaviour = engine.behaviour();
    if engine.is_down() || !behaviour.loaded_versions.contains(&item) {
        return poem::Response::builder()
            .status(poem::http::StatusCode::SERVICE_UNAVAILABLE)
            .header("x-not-run", "true")
            .finish();
    }
    engine.count_request(&item);
    let json: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let prompt = json["messages"].to_string();
    let resume_from =
        request.header("x-resume-from").and_then(|text| text.parse().ok()).unwrap_or(0);
    let completion = Completion {
        item,
        output_tokens: json["max_tokens"].as_u64().unwrap_or(DEFAULT_MAX_TOKENS),
        prompt_hash: xxhash_rust::xxh3::xxh3_64(prompt.as_bytes()),
        is_poison: prompt.contains(POISON_WORD),
        resume_from,
    };
    let running_requests = engine.running_requests.fetch_add(1, atomic::Ordering::SeqCst) + 1;
    let guard = RunningRequestGuard(Arc::clone(&engine.running_requests));
    let response = poem::Response::builder()
        .header("x-load-running", running_requests)
        .header("cache-control", "no-cache");
    if json["stream"].as_bool().unwrap_or(false) {
        let body = stream_body(engine, behaviour, completion, guard);
        return response.content_type("text/event-stream").body(body);
    }
    complete_response(&behaviour, &completion, response).await
}

#[poem::handler]
fn handle_load(web::Data(engine): web::Data<&Engine>) -> String {
    engine.running_requests.load(atomic::Ordering::SeqCst).to_string()
}

/// Parameters from which the tokens of a response are derived.
struct Completion {
    item: String,
    output_tokens: u64,
    prompt_hash: u64,
    is_poison: bool,
    resume_from: u64,
}

impl Completion {
    fn token(&self, index: u64) -> String {
        let seed = self.prompt_hash.wrapping_add(index);
        format!("t{index}-{:04x} ", xxhash_rust::xxh3::xxh3_64_with_seed(&[], seed) & 0xffff)
    }

    fn event(&self, index: u64) -> String {
        let json = serde_json::json!({
            "model": self.item,
            "choices": [{ "index": 0, "delta": { "content": self.token(index) } }],
        });
        format!("id: {}\ndata: {json}\n\n", index + 1)
    }
}

fn stream_body(
    engine: Engine,
    behaviour: Behaviour,
    completion: Completion,
    guard: RunningRequestGuard,
) -> poem::Body {
    let first = completion.resume_from;
    let last = completion.output_tokens;
    let events = futures_util::stream::iter(first..=last).then(move |index| {
        let engine = engine.clone();
        let behaviour = behaviour.clone();
        let event =
            if index < last { completion.event(index) } else { "data: [DONE]\n\n".to_owned() };
        let is_crash_point = completion.is_poison && index == first + 1;
        // Moves the guard into the stream, so that the load decreases when it ends or is dropped.
        let _ = &guard;
        async move {
            let delay_ms = match index {
                _ if index == last => 0,
                _ if index == first => behaviour.first_token_ms,
                _ => behaviour.token_interval_ms,
            };
            if behaviour.stall_after == Some(index) {
                std::future::pending::<()>().await;
            }
            if delay_ms > 0 {
                tokio::time::sleep(time::Duration::from_millis(delay_ms)).await;
            }
            if is_crash_point {
                engine.is_down.store(true, atomic::Ordering::SeqCst);
                // Lets the listener close before the streams are reset, as when a process exits.
                tokio::time::sleep(time::Duration::from_millis(server::DOWN_POLL_INTERVAL_MS * 4))
                    .await;
            }
            if engine.is_down() || behaviour.reset_after == Some(index) {
                return Err(std::io::Error::from(std::io::ErrorKind::ConnectionReset));
            }
            Ok(event)
        }
    });
    poem::Body::from_bytes_stream(events)
}

async fn complete_response(
    behaviour: &Behaviour,
    completion: &Completion,
    response: poem::ResponseBuilder,
) -> poem::Response {
    let delay_ms =
        behaviour.first_token_ms + behaviour.token_interval_ms * completion.output_tokens;
    tokio::time::sleep(time::Duration::from_millis(delay_ms)).await;
    let text: String = (0..completion.output_tokens).map(|index| completion.token(index)).collect();
    let json = serde_json::json!({
        "model": completion.item,
        "choices": [{ "index": 0, "message": { "role": "assistant", "content": text } }],
        "usage": { "completion_tokens": completion.output_tokens },
    });
    response
        .header("x-usage-tokens", completion.output_tokens)
        .content_type("application/json")
        .body(json.to_string())
}
