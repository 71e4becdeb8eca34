//! A stand-in for the platform's metadata store.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::Json;
use crate::record::Record;

/// Longest wait of a watch.
const MAX_WAIT_MS: u64 = 30_000;

type Key = (String, String);

/// What the store holds; a copy can be kept and restored.
#[derive(Clone, Default)]
pub struct Contents {
    revision: u64,
    objects: BTreeMap<Key, Json>,
    /// Revision, kind and event of each change.
    events: Vec<(u64, String, Json)>,
}

struct State {
    contents: Contents,
    era: u64,
    /// Whether connections are closed at once.
    is_away: bool,
    /// Raised when all open connections are to be closed.
    epoch: u64,
    connections: Vec<TcpStream>,
    /// Kind of which the answers to watches are lost.
    lost_kind: Option<String>,
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let contents = Contents { revision: 1, ..Contents::default() };
        let state = State {
            contents,
            era: 1,
            is_away: false,
            epoch: 0,
            connections: Vec::new(),
            lost_kind: None,
        };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let store = Self { state, record: record.clone(), address };
        let acceptor = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = acceptor.clone();
                if store.lock().is_away {
                    continue;
                }
                store.lock().connections.extend(stream.try_clone());
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object as the operator or a server does; returns its revision.
    pub fn put(&self, kind: &str, name: &str, spec: &Json) -> u64 {
        let mut state = self.lock();
        let former = state.contents.objects.get(&key(kind, name));
        if former.is_some_and(|object| object.get("spec") == spec) {
            // A write that changes nothing does not raise the revision.
            return state.contents.revision;
        }
        let revision = state.contents.write(kind, name, |object| object.set("spec", spec.clone()));
        drop(state);
        self.state.1.notify_all();
        self.record.line(&format!("store: {kind}/{name} written at revision {revision}: {spec}"));
        revision
    }

    /// Removes an object as the operator or a server does.
    pub fn remove(&self, kind: &str, name: &str) {
        let revision = self.lock().contents.remove(kind, name);
        self.state.1.notify_all();
        self.record.line(&format!("store: {kind}/{name} removed at revision {revision}"));
    }

    pub fn revision(&self) -> u64 {
        self.lock().contents.revision
    }

    pub fn has(&self, kind: &str, name: &str) -> bool {
        self.lock().contents.objects.contains_key(&key(kind, name))
    }

    /// The status of an object; null without one.
    pub fn status(&self, kind: &str, name: &str) -> Json {
        self.lock().contents.read(kind, name).1.get("status").clone()
    }

    /// Takes a copy of all that the store holds.
    pub fn copy(&self) -> Contents {
        self.lock().contents.clone()
    }

    /// Loses the answers to watches of a kind from now on, or no answers any more. A connection on
    /// which an answer was lost returns nothing further.
    pub fn lose_answers(&self, kind: Option<&str>) {
        self.lock().lost_kind = kind.map(str::to_owned);
        self.record.line(&format!("store: answers to watches that are lost: {kind:?}"));
    }

    /// Goes away: closes all connections and refuses new ones.
    pub fn go_away(&self) {
        let mut state = self.lock();
        state.is_away = true;
        state.epoch += 1;
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
        drop(state);
        self.state.1.notify_all();
        self.record.line("store: away");
    }

    /// Comes back, from a copy if there is one.
    pub fn come_back(&self, copy: Option<Contents>) {
        let mut state = self.lock();
        if let Some(copy) = copy {
            let (from, to) = (state.contents.revision, copy.revision);
            // A watch from a revision that the store does not have gets 410.
            state.contents = copy;
            state.era += 1;
            let era = state.era;
            self.record.line(&format!(
                "store: back from a copy; era {era}, revision {to} instead of {from}"
            ));
        } else {
            self.record.line("store: back");
        }
        state.is_away = false;
        drop(state);
        self.state.1.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn serve(&self, stream: TcpStream) {
        let epoch = self.lock().epoch;
        let mut connection = http::Connection::new(stream);
        while let Ok(request) = connection.request() {
            let answer = self.execute(&request, epoch);
            let mut state = self.lock();
            if state.epoch != epoch {
                return;
            }
            let era = state.era.to_string();
            if request.method != "GET" {
                let contents = &mut state.contents;
                let status = answer.as_ref().map(|(status, _)| *status);
                self.record.line(&format!(
                    "store: {} {} answered {status:?} at revision {}",
                    request.method, request.target, contents.revision
                ));
            }
            drop(state);
            let Some((status, body)) = answer else { return };
            if self.loses(&request, &body) {
                self.record.line(&format!("store: the answer to {} is lost", request.target));
                while connection.request().is_ok() {}
                return;
            }
            let headers = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
            let body = body.to_string();
            if !connection.write(&http::response(status, &headers, body.as_bytes())) {
                return;
            }
        }
    }

    fn loses(&self, request: &http::Request, body: &Json) -> bool {
        let state = self.lock();
        let Some(kind) = &state.lost_kind else { return false };
        let is_watch = request.target.starts_with(&format!("/objects/{kind}?watch="));
        is_watch && matches!(body.get("events"), Json::List(events) if !events.is_empty())
    }

    fn execute(&self, request: &http::Request, epoch: u64) -> Option<(u16, Json)> {
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').skip(1).collect();
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or_default();
        let asked = match query.get("revision") {
            Some(revision) => revision.parse().unwrap_or(0),
            None => body.get("metadata").get("revision").as_u64(),
        };
        match (request.method.as_str(), parts.as_slice()) {
            ("GET", [kind]) if query.contains_key("watch") => {
                let revision = query["watch"].parse().ok()?;
                let wait_ms = query.get("wait_ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
                self.watch(kind, revision, wait_ms.min(MAX_WAIT_MS), epoch)
            }
            ("GET", [kind]) => {
                let after = query.get("since_revision").copied().unwrap_or("");
                Some((200, self.lock().contents.list(kind, after)))
            }
            ("GET", [kind, name]) => Some(self.lock().contents.read(kind, name)),
            ("POST", [kind]) => {
                let name = body.get("metadata").get("name").as_text().to_owned();
                let answer = self.lock().contents.create(kind, &name, &body);
                self.state.1.notify_all();
                Some(answer)
            }
            ("PUT", [kind, name]) => Some(self.replace(kind, name, "spec", &body, asked)),
            ("PUT", [kind, name, "status"]) => {
                Some(self.replace(kind, name, "status", &body, asked))
            }
            ("DELETE", [kind, name]) => {
                let mut state = self.lock();
                let (status, object) = state.contents.read(kind, name);
                if status != 200 {
                    return Some((status, object));
                }
                if asked != 0 && object.get("metadata").get("revision").as_u64() != asked {
                    return Some((409, object));
                }
                state.contents.remove(kind, name);
                drop(state);
                self.state.1.notify_all();
                Some((200, object))
            }
            _ => Some((404, Json::Null)),
        }
    }

    fn replace(&self, kind: &str, name: &str, field: &str, body: &Json, asked: u64) -> (u16, Json) {
        let mut state = self.lock();
        let (status, object) = state.contents.read(kind, name);
        if status != 200 {
            return (status, object);
        }
        if asked != 0 && object.get("metadata").get("revision").as_u64() != asked {
            return (409, object);
        }
        if object.get(field) != body.get(field) {
            state.contents.write(kind, name, |object| object.set(field, body.get(field).clone()));
        }
        let answer = state.contents.read(kind, name);
        drop(state);
        self.state.1.notify_all();
        answer
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64, epoch: u64) -> Option<(u16, Json)> {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.lock();
        loop {
            if state.epoch != epoch {
                return None;
            }
            if after > state.contents.revision {
                return Some((410, Json::Null));
            }
            let events = state.contents.events_after(kind, after);
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let mut body = Json::Object(BTreeMap::new());
                body.set("events", Json::List(events));
                body.set("at", state.contents.revision.into());
                return Some((200, body));
            }
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
        }
    }
}

impl Contents {
    fn write<F>(&mut self, kind: &str, name: &str, change: F) -> u64
    where
        F: FnOnce(&mut Json),
    {
        self.revision += 1;
        let revision = self.revision;
        let object = self.objects.entry(key(kind, name)).or_insert_with(|| {
            let text = format!(
                "{{\"metadata\":{{\"name\":{},\"created_at\":{revision},\"finalizers\":[],\
                 \"deletion_pending\":false}},\"spec\":null,\"status\":null}}",
                Json::from(name)
            );
            Json::parse(&text).expect("a valid object")
        });
        change(object);
        let mut metadata = object.get("metadata").clone();
        metadata.set("revision", revision.into());
        object.set("metadata", metadata);
        let event = event(object.clone(), false);
        self.events.push((revision, kind.to_owned(), event));
        revision
    }

    fn remove(&mut self, kind: &str, name: &str) -> u64 {
        if let Some(object) = self.objects.remove(&key(kind, name)) {
            self.revision += 1;
            self.events.push((self.revision, kind.to_owned(), event(object, true)));
        }
        self.revision
    }

    fn create(&mut self, kind: &str, name: &str, body: &Json) -> (u16, Json) {
        let (status, object) = self.read(kind, name);
        if status == 200 {
            return (409, object);
        }
        self.write(kind, name, |object| object.set("spec", body.get("spec").clone()));
        self.read(kind, name)
    }

    fn read(&self, kind: &str, name: &str) -> (u16, Json) {
        let object = self.objects.get(&key(kind, name));
        object.map_or((404, Json::Null), |object| (200, object.clone()))
    }

    fn list(&self, kind: &str, after: &str) -> Json {
        let of_kind = self.objects.iter().filter(|((it, name), _)| it == kind && &**name > after);
        let mut body = Json::Object(BTreeMap::new());
        body.set("entries", Json::List(of_kind.map(|(_, object)| object.clone()).collect()));
        body.set("more", Json::Bool(false));
        body.set("at", self.revision.into());
        body
    }

    fn events_after(&self, kind: &str, after: u64) -> Vec<Json> {
        let later = self.events.iter().filter(|(at, it, _)| *at > after && it == kind);
        later.map(|(_, _, event)| event.clone()).collect()
    }
}

fn key(kind: &str, name: &str) -> Key {
    (kind.to_owned(), name.to_owned())
}

fn event(object: Json, is_deleted: bool) -> Json {
    let mut event = Json::Object(BTreeMap::new());
    event.set("object", object);
    event.set("deleted", Json::Bool(is_deleted));
    event
}
