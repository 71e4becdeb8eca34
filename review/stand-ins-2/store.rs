//! Stand-in for the platform's store of objects.

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json;

#[derive(Clone)]
struct Object {
    created: u64,
    revision: u64,
    spec: String,
    status: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind and text of each change.
    events: Vec<(u64, String, String)>,
}

/// A store on loopback; clones share its state.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Object {
    fn text(&self, name: &str) -> String {
        format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"created_at\":{},\"finalizers\":[],\
             \"deletion_pending\":false}},\"spec\":{},\"status\":{}}}",
            self.revision, self.created, self.spec, self.status
        )
    }
}

impl State {
    fn write(
        &mut self,
        kind: &str,
        name: &str,
        spec: Option<&str>,
        status: Option<&str>,
    ) -> String {
        self.revision += 1;
        let revision = self.revision;
        let fresh =
            Object { created: revision, revision, spec: "null".into(), status: "null".into() };
        let object = self.objects.entry((kind.into(), name.into())).or_insert(fresh);
        object.revision = revision;
        object.spec = spec.map_or_else(|| object.spec.clone(), str::to_owned);
        object.status = status.map_or_else(|| object.status.clone(), str::to_owned);
        let text = object.text(name);
        self.events.push((
            revision,
            kind.into(),
            format!("{{\"object\":{text},\"deleted\":false}}"),
        ));
        text
    }

    fn delete(&mut self, kind: &str, name: &str) {
        if let Some(mut object) = self.objects.remove(&(kind.into(), name.into())) {
            self.revision += 1;
            object.revision = self.revision;
            let event = format!("{{\"object\":{},\"deleted\":true}}", object.text(name));
            self.events.push((self.revision, kind.into(), event));
        }
    }
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State { revision: 1, ..State::default() };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            address: listener.local_addr()?,
        };
        let acceptor = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = acceptor.clone();
                thread::spawn(move || drop(store.serve(stream)));
            }
        });
        Ok(store)
    }

    /// Creates or replaces an object, as the operator and servers do.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.state.0.lock().unwrap().write(kind, name, Some(spec), None);
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let request = http::read_request(&mut reader)?;
            let (status, body) = self.execute(&request);
            write!(
                writer,
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nStore-Era: 1\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            )?;
        }
    }

    fn execute(&self, request: &http::Request) -> (u16, String) {
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|it| it.split_once('=')).collect();
        let parts: Vec<String> = path.split('/').skip(2).map(decode).collect();
        let body = json::fields(&String::from_utf8_lossy(&request.body));
        let field = |name: &str| body.get(name).cloned();
        let metadata = json::fields(&field("metadata").unwrap_or_default());
        let condition =
            metadata.get("revision").map(String::as_str).or(query.get("revision").copied());
        let condition = condition.and_then(|text| text.parse::<u64>().ok()).filter(|it| *it != 0);
        let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
        if let (Some(after), [kind]) = (query.get("watch"), parts.as_slice()) {
            let wait_ms = query.get("wait_ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
            return self.watch(kind, after.parse().unwrap_or(0), wait_ms);
        }
        let mut state = self.state.0.lock().unwrap();
        let stored = |state: &State, kind: &str, name: &str| {
            state.objects.get(&(kind.to_owned(), name.to_owned())).cloned()
        };
        let answer = match (request.method.as_str(), parts.as_slice()) {
            ("GET", [kind]) => {
                let entries = state.objects.iter().filter(|((of, _), _)| of == kind);
                let entries: Vec<_> = entries.map(|((_, name), it)| it.text(name)).collect();
                let at = state.revision;
                (200, format!("{{\"entries\":[{}],\"more\":false,\"at\":{at}}}", entries.join(",")))
            }
            ("GET", [kind, name]) => match stored(&state, kind, name) {
                Some(object) => (200, object.text(name)),
                None => (404, "null".into()),
            },
            ("POST", [kind]) => {
                let name = json::unquote(metadata.get("name").map_or("", String::as_str));
                match stored(&state, kind, &name) {
                    Some(object) => (409, object.text(&name)),
                    None => (200, state.write(kind, &name, field("spec").as_deref(), None)),
                }
            }
            ("PUT", [kind, name, rest @ ..]) => match stored(&state, kind, name) {
                None => (404, "null".into()),
                Some(object) if condition.is_some_and(|it| it != object.revision) => {
                    (409, object.text(name))
                }
                Some(_) if rest == ["status"] => {
                    (200, state.write(kind, name, None, field("status").as_deref()))
                }
                Some(_) => (200, state.write(kind, name, field("spec").as_deref(), None)),
            },
            ("DELETE", [kind, name]) => match stored(&state, kind, name) {
                None => (404, "null".into()),
                Some(object) if condition.is_some_and(|it| it != object.revision) => {
                    (409, object.text(name))
                }
                Some(_) => {
                    state.delete(kind, name);
                    (200, "null".into())
                }
            },
            _ => (404, "null".into()),
        };
        drop(state);
        self.state.1.notify_all();
        answer
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.0.lock().unwrap();
        loop {
            if after > state.revision {
                return (410, "null".into());
            }
            let events = state.events.iter().filter(|(at, of, _)| *at > after && of == kind);
            let events: Vec<_> = events.map(|(_, _, text)| text.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = state.revision;
                return (200, format!("{{\"events\":[{}],\"at\":{at}}}", events.join(",")));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
