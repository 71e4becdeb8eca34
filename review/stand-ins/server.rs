//! A stand-in for a backend server.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::http;
use crate::record::Record;

/// An arrival of a request.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at_ms: u64,
    pub attempt_id: String,
    pub target: String,
    pub organisation: String,
    pub last_event_id: String,
}

/// What a server does with a request; returns whether the connection stays open.
pub type Handler = Arc<dyn Fn(&http::Request, &mut http::Connection) -> bool + Send + Sync>;

/// A server; clones share its state.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    executed: Arc<Mutex<Vec<Arrival>>>,
}

impl Server {
    /// Starts a server on loopback that runs each request that is addressed to it.
    pub fn start(id: &str, record: &Record, handler: Handler) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let server = Self { id: id.to_owned(), address, executed: Arc::default() };
        let (acceptor, record) = (server.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, record) = (acceptor.clone(), record.clone());
                let handler = Arc::clone(&handler);
                thread::spawn(move || {
                    server.serve(http::Connection::new(stream), &record, &handler)
                });
            }
        });
        server
    }

    /// The requests that the server has run.
    pub fn executed(&self) -> Vec<Arrival> {
        self.executed.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clone()
    }

    fn serve(&self, mut connection: http::Connection, record: &Record, handler: &Handler) {
        while let Ok(request) = connection.request() {
            let id = request.header("x-toucanwall-attempt-id").to_owned();
            let expected = request.header("x-toucanwall-expected-instance");
            if !expected.is_empty() && expected != self.id {
                let headers =
                    [("X-Toucanwall-Attempt-Id", &*id), ("X-Toucanwall-Instance-Id", &*self.id)];
                if !connection.write(&http::response(421, &headers, b"")) {
                    return;
                }
                continue;
            }
            let arrival = Arrival {
                at_ms: record.now_ms(),
                attempt_id: id.clone(),
                target: request.target.clone(),
                organisation: request.header("x-toucanwall-tenant-id").to_owned(),
                last_event_id: request.header("last-event-id").to_owned(),
            };
            record.line(&format!(
                "server {}: runs {id} {} {} for {:?}, last event {:?}",
                self.id,
                request.method,
                request.target,
                arrival.organisation,
                arrival.last_event_id
            ));
            self.executed.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push(arrival);
            if !handler(&request, &mut connection) {
                return;
            }
        }
    }
}

/// A whole answer with the seal of a server.
pub fn sealed(request: &http::Request, status: u16, body: &[u8]) -> Vec<u8> {
    let id = request.header("x-toucanwall-attempt-id");
    let headers = [("X-Toucanwall-Attempt-Id", id), ("X-Toucanwall-Server-Seal", "seal")];
    http::response(status, &headers, body)
}

/// The entry with which a server of version `v1` registers itself.
pub fn entry(service: &str, address: SocketAddr, state: &str, born: u64) -> crate::json::Json {
    entry_of(service, address, "v1", state, born)
}

/// The entry with which a server registers itself.
pub fn entry_of(
    service: &str,
    address: SocketAddr,
    version: &str,
    state: &str,
    born: u64,
) -> crate::json::Json {
    let text = format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"zone-1\",\
         \"version\":\"{version}\",\"slots\":8,\"state\":\"{state}\",\"cold_remaining_ms\":0,\
         \"sequence\":1,\"born\":{born}}}"
    );
    crate::json::Json::parse(&text).expect("a valid entry")
}
