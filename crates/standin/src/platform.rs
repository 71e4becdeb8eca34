//! A stand-in of the platform's object API, with switches for outages and lost replies.

use std::collections;
use std::net;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic;
use std::time;

use base64::Engine as _;
use poem::web;
use serde::Deserialize;

use crate::server;

/// The faults that the stand-in shows.
#[derive(Debug, Clone, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Every call is refused.
    pub is_out: bool,
    /// So many writes take effect but their reply is lost.
    pub lose_replies: u64,
    /// Every call takes this much longer, in milliseconds.
    pub delay_ms: u64,
}

/// Calls that were taken.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Calls {
    /// Creates, updates and deletes.
    pub writes: u64,
    /// Reads and lists.
    pub reads: u64,
    /// Watches.
    pub watches: u64,
}

#[derive(Debug, Default)]
struct Store {
    version: u64,
    objects: collections::BTreeMap<String, (u64, Vec<u8>)>,
    faults: Faults,
    calls: Calls,
}

/// The objects, shared with the server.
#[derive(Debug, Clone)]
pub struct Platform {
    store: Arc<Mutex<Store>>,
    changed: Arc<tokio::sync::watch::Sender<u64>>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct ListQuery {
    prefix: String,
    #[serde(default)]
    after: String,
    #[serde(default)]
    limit: Option<usize>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct WatchQuery {
    prefix: String,
    after: u64,
    wait_ms: u64,
}

enum Condition {
    Absent,
    Version(u64),
    Any,
}

impl Platform {
    /// An empty store.
    #[must_use]
    pub fn new() -> Self {
        let (changed, _) = tokio::sync::watch::channel(0);
        Self { store: Arc::default(), changed: Arc::new(changed) }
    }

    /// Serves the store at an address.
    ///
    /// # Errors
    /// The address is in use or not one of this machine.
    pub async fn serve(&self, address: net::SocketAddr) -> std::io::Result<server::Running> {
        let routes = poem::Route::new()
            .at("/v1/objects/*key", poem::get(read).put(write).delete(delete))
            .at("/v1/list", poem::get(list))
            .at("/v1/watch", poem::get(watch))
            .at("/switch", poem::post(switch))
            .at("/calls", poem::get(calls));
        let routes = poem::Route::new().nest("/", poem::EndpointExt::data(routes, self.clone()));
        server::serve(address, routes, Arc::new(atomic::AtomicBool::new(false))).await
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Calls taken so far.
    #[must_use]
    pub fn calls(&self) -> Calls {
        self.lock().calls
    }

    /// Stores an object whatever was there; returns its version.
    #[expect(clippy::must_use_candidate, reason = "the version is a by-product")]
    pub fn put(&self, key: &str, value: &[u8]) -> Option<u64> {
        self.write(key, &Condition::Any, value.to_vec())
    }

    /// The objects under a prefix.
    #[must_use]
    pub fn under(&self, prefix: &str) -> Vec<(String, Vec<u8>)> {
        let store = self.lock();
        let range = store.objects.range(prefix.to_owned()..);
        range
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, (_, value))| (key.clone(), value.clone()))
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self, key: &str, condition: &Condition, value: Vec<u8>) -> Option<u64> {
        let mut store = self.lock();
        let known = store.objects.get(key).map(|(version, _)| *version);
        let holds = match condition {
            Condition::Absent => known.is_none(),
            Condition::Version(version) => known == Some(*version),
            Condition::Any => true,
        };
        if !holds {
            return None;
        }
        store.version += 1;
        let version = store.version;
        store.objects.insert(key.to_owned(), (version, value));
        drop(store);
        self.changed.send_replace(version);
        Some(version)
    }

    fn listing<F>(&self, prefix: &str, limit: usize, is_wanted: F) -> serde_json::Value
    where
        F: Fn(&str, u64) -> bool,
    {
        let store = self.lock();
        let objects: Vec<serde_json::Value> = store
            .objects
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, (version, _))| is_wanted(key, *version))
            .take(limit)
            .map(|(key, (version, value))| {
                let value = base64::engine::general_purpose::STANDARD.encode(value);
                serde_json::json!({ "key": key, "version": version, "value": value })
            })
            .collect();
        serde_json::json!({ "version": store.version, "objects": objects })
    }

    /// Applies the faults to a call; returns an answer where it goes no further.
    async fn enter(&self) -> Option<poem::Response> {
        let faults = self.lock().faults.clone();
        if faults.delay_ms > 0 {
            tokio::time::sleep(time::Duration::from_millis(faults.delay_ms)).await;
        }
        faults.is_out.then(unavailable)
    }

    /// Whether the reply to a write is to be lost.
    fn loses_reply(&self) -> bool {
        let mut store = self.lock();
        let loses = store.faults.lose_replies > 0;
        store.faults.lose_replies -= u64::from(loses);
        loses
    }
}

impl Default for Platform {
    fn default() -> Self {
        Self::new()
    }
}

#[poem::handler]
async fn read(
    web::Path(key): web::Path<String>,
    web::Data(platform): web::Data<&Platform>,
) -> poem::Response {
    if let Some(answer) = platform.enter().await {
        return answer;
    }
    platform.lock().calls.reads += 1;
    match platform.lock().objects.get(&key) {
        Some((version, value)) => {
            poem::Response::builder().header("etag", format!("\"{version}\"")).body(value.clone())
        }
        None => status(poem::http::StatusCode::NOT_FOUND),
    }
}

#[poem::handler]
async fn write(
    request: &poem::Request,
    web::Path(key): web::Path<String>,
    body: Vec<u8>,
    web::Data(platform): web::Data<&Platform>,
) -> poem::Response {
    if let Some(answer) = platform.enter().await {
        return answer;
    }
    platform.lock().calls.writes += 1;
    let condition = match (request.header("if-none-match"), request.header("if-match")) {
        (Some(_), _) => Condition::Absent,
        (None, Some(version)) => Condition::Version(version.parse().unwrap_or(0)),
        (None, None) => Condition::Any,
    };
    let written = platform.write(&key, &condition, body);
    if platform.loses_reply() {
        return unavailable();
    }
    match written {
        Some(version) => json(&serde_json::json!({ "version": version })),
        None => status(poem::http::StatusCode::PRECONDITION_FAILED),
    }
}

#[poem::handler]
async fn delete(
    web::Path(key): web::Path<String>,
    web::Data(platform): web::Data<&Platform>,
) -> poem::Response {
    if let Some(answer) = platform.enter().await {
        return answer;
    }
    platform.lock().calls.writes += 1;
    // An empty value tells watchers that the object is gone.
    match platform.write(&key, &Condition::Any, Vec::new()) {
        Some(_) => status(poem::http::StatusCode::OK),
        None => status(poem::http::StatusCode::NOT_FOUND),
    }
}

#[poem::handler]
async fn list(
    web::Query(query): web::Query<ListQuery>,
    web::Data(platform): web::Data<&Platform>,
) -> poem::Response {
    if let Some(answer) = platform.enter().await {
        return answer;
    }
    platform.lock().calls.reads += 1;
    let limit = query.limit.unwrap_or(usize::MAX);
    json(&platform.listing(&query.prefix, limit, |key, _| key > query.after.as_str()))
}

#[poem::handler]
async fn watch(
    web::Query(query): web::Query<WatchQuery>,
    web::Data(platform): web::Data<&Platform>,
) -> poem::Response {
    if let Some(answer) = platform.enter().await {
        return answer;
    }
    platform.lock().calls.watches += 1;
    let mut changed = platform.changed.subscribe();
    let end = tokio::time::Instant::now() + time::Duration::from_millis(query.wait_ms);
    loop {
        let listing = platform.listing(&query.prefix, usize::MAX, |_, v| v > query.after);
        let has_change = listing["objects"].as_array().is_some_and(|found| !found.is_empty());
        if has_change {
            return platform.enter().await.unwrap_or_else(|| json(&listing));
        }
        if tokio::time::timeout_at(end, changed.changed()).await.is_err() {
            return platform.enter().await.unwrap_or_else(|| json(&listing));
        }
    }
}

#[poem::handler]
fn switch(web::Json(faults): web::Json<Faults>, web::Data(platform): web::Data<&Platform>) {
    platform.set_faults(faults);
}

#[poem::handler]
fn calls(web::Data(platform): web::Data<&Platform>) -> poem::Response {
    let calls = platform.calls();
    let (writes, reads, watches) = (calls.writes, calls.reads, calls.watches);
    json(&serde_json::json!({ "writes": writes, "reads": reads, "watches": watches }))
}

fn json(value: &serde_json::Value) -> poem::Response {
    poem::Response::builder().content_type("application/json").body(value.to_string())
}

fn status(code: poem::http::StatusCode) -> poem::Response {
    poem::Response::builder().status(code).finish()
}

fn unavailable() -> poem::Response {
    status(poem::http::StatusCode::SERVICE_UNAVAILABLE)
}
