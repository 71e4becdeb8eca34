//! A stand-in of a model engine: streams that resume, load, cost, quality and crashes.

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

/// A prompt with this word takes the engine down.
pub const POISON_WORD: &str = "POISON";
/// Tokens of an answer where the request does not say.
const TOKENS_DEFAULT: u64 = 16;

/// How an engine behaves.
#[derive(Debug, Clone)]
pub struct Behaviour {
    /// What it has loaded, as `model@version`.
    pub loaded_versions: collections::BTreeSet<String>,
    /// Time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Time between tokens, in milliseconds.
    pub token_interval_ms: u64,
    /// Token after which a stream goes silent, if it does.
    pub stall_after: Option<u64>,
    /// Token after which a stream breaks off, if it does.
    pub reset_after: Option<u64>,
}

/// What an engine did.
#[derive(Debug, Default)]
pub struct Record {
    /// Requests run, by `model@version`.
    pub runs: collections::BTreeMap<String, u64>,
}

/// An engine.
#[derive(Debug, Clone)]
pub struct Engine {
    behaviour: Arc<Mutex<Behaviour>>,
    record: Arc<Mutex<Record>>,
    running: Arc<atomic::AtomicU64>,
    is_down: Arc<atomic::AtomicBool>,
}

impl Engine {
    /// An engine with this behaviour.
    #[must_use]
    pub fn new(behaviour: Behaviour) -> Self {
        Self {
            behaviour: Arc::new(Mutex::new(behaviour)),
            record: Arc::default(),
            running: Arc::default(),
            is_down: Arc::default(),
        }
    }

    /// Serves the engine at an address.
    ///
    /// # Errors
    /// The address is in use or not one of this machine.
    pub async fn serve(&self, address: net::SocketAddr) -> std::io::Result<server::RunningServer> {
        let routes = poem::Route::new()
            .at("/v1/chat/completions", poem::post(complete))
            .at("/load", poem::get(load));
        let routes = poem::Route::new().nest("/", poem::EndpointExt::data(routes, self.clone()));
        server::serve(address, routes, Arc::clone(&self.is_down)).await
    }

    /// Changes the behaviour from the next request on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock().unwrap_or_else(PoisonError::into_inner) = behaviour;
    }

    /// Whether a poison request took it down.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.is_down.load(atomic::Ordering::SeqCst)
    }

    /// Requests run so far, by `model@version`.
    #[must_use]
    pub fn runs(&self) -> collections::BTreeMap<String, u64> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner).runs.clone()
    }

    fn behaviour(&self) -> Behaviour {
        self.behaviour.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn note_run(&self, item: &str) {
        let mut record = self.record.lock().unwrap_or_else(PoisonError::into_inner);
        *record.runs.entry(item.to_owned()).or_default() += 1;
    }
}

/// Counts a request as running until it is dropped.
struct RunningGuard(Arc<atomic::AtomicU64>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}

#[poem::handler]
async fn complete(
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
    engine.note_run(&item);
    let json: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let prompt = json["messages"].to_string();
    let resume_from =
        request.header("x-resume-from").and_then(|text| text.parse().ok()).unwrap_or(0);
    let script = Script {
        item,
        tokens: json["max_tokens"].as_u64().unwrap_or(TOKENS_DEFAULT),
        prompt_hash: xxhash_rust::xxh3::xxh3_64(prompt.as_bytes()),
        is_poison: prompt.contains(POISON_WORD),
        resume_from,
    };
    let running = engine.running.fetch_add(1, atomic::Ordering::SeqCst) + 1;
    let guard = RunningGuard(Arc::clone(&engine.running));
    let response = poem::Response::builder()
        .header("x-load-running", running)
        .header("cache-control", "no-cache");
    if json["stream"].as_bool().unwrap_or(false) {
        let body = stream(engine, behaviour, script, guard);
        return response.content_type("text/event-stream").body(body);
    }
    whole(&behaviour, &script, response).await
}

#[poem::handler]
fn load(web::Data(engine): web::Data<&Engine>) -> String {
    engine.running.load(atomic::Ordering::SeqCst).to_string()
}

/// What an engine is to say.
struct Script {
    item: String,
    tokens: u64,
    prompt_hash: u64,
    is_poison: bool,
    resume_from: u64,
}

impl Script {
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

fn stream(engine: Engine, behaviour: Behaviour, script: Script, guard: RunningGuard) -> poem::Body {
    let first = script.resume_from;
    let last = script.tokens;
    let events = futures_util::stream::iter(first..=last).then(move |index| {
        let engine = engine.clone();
        let behaviour = behaviour.clone();
        let text = if index < last { script.event(index) } else { "data: [DONE]\n\n".to_owned() };
        let is_poison = script.is_poison && index == first + 1;
        // The stream owns the guard, so that the load falls when it ends or is dropped.
        let _ = &guard;
        async move {
            let wait_ms = match index {
                _ if index == last => 0,
                _ if index == first => behaviour.first_token_ms,
                _ => behaviour.token_interval_ms,
            };
            if behaviour.stall_after == Some(index) {
                std::future::pending::<()>().await;
            }
            if wait_ms > 0 {
                tokio::time::sleep(time::Duration::from_millis(wait_ms)).await;
            }
            if is_poison {
                engine.is_down.store(true, atomic::Ordering::SeqCst);
                // The listener closes before the streams break off, as when a process ends.
                tokio::time::sleep(time::Duration::from_millis(server::DOWN_POLL_INTERVAL_MS * 4))
                    .await;
            }
            if engine.is_down() || behaviour.reset_after == Some(index) {
                return Err(std::io::Error::from(std::io::ErrorKind::ConnectionReset));
            }
            Ok(text)
        }
    });
    poem::Body::from_bytes_stream(events)
}

async fn whole(
    behaviour: &Behaviour,
    script: &Script,
    response: poem::ResponseBuilder,
) -> poem::Response {
    let wait_ms = behaviour.first_token_ms + behaviour.token_interval_ms * script.tokens;
    tokio::time::sleep(time::Duration::from_millis(wait_ms)).await;
    let text: String = (0..script.tokens).map(|index| script.token(index)).collect();
    let json = serde_json::json!({
        "model": script.item,
        "choices": [{ "index": 0, "message": { "role": "assistant", "content": text } }],
        "usage": { "completion_tokens": script.tokens },
    });
    response
        .header("x-usage-tokens", script.tokens)
        .content_type("application/json")
        .body(json.to_string())
}
