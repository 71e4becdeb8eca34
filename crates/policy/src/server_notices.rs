//! What backend servers have said of themselves, apart from what the registry shows now.
//!
//! A server that leaves says so in its entry and in its responses. The two are not in step, either
//! may be missing, and an older list may show the server as ready again. So a host keeps what it has
//! heard for each run of a server. Within a run a notice is never taken back; only a later run of the
//! server ends it.

use std::collections;
use std::net;

use toucanwall_routing::name;
use toucanwall_routing::server;

/// Time for which a notice is kept after the entry of its server has vanished, in milliseconds:
/// longer than any list of servers may be out of date.
const RETENTION_MS: u64 = 600_000;

/// What the servers have said of themselves, as known to this host.
#[derive(Debug, Default)]
pub struct ServerNotices {
    notices: collections::BTreeMap<name::ServerId, Notice>,
}

/// What one run of a server has said of itself.
#[derive(Debug)]
struct Notice {
    run: Run,
    /// When the host last knew an entry of the server, or heard the notice, in milliseconds.
    last_known_ms: u64,
}

/// A run of a server, as far as it can be told from others under the same id.
#[derive(Debug, Clone, Copy)]
struct Run {
    address: net::SocketAddr,
    started_unix_ms: Option<u64>,
}

/// Whether a server accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acceptance {
    /// The server accepts new requests.
    Accepts,
    /// The server finishes its open requests and shuts down.
    Leaving,
}

impl ServerNotices {
    /// Creates a record without notices.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a run of a server has said that it leaves; returns whether that is new.
    pub fn record_leaving(&mut self, server: &server::BackendServer, now_ms: u64) -> bool {
        let run = Run::of(server);
        match self.notices.get_mut(&server.id) {
            Some(notice) if !run.is_later_than(notice.run) => {
                notice.last_known_ms = now_ms;
                false
            }
            _ => {
                self.notices.insert(server.id.clone(), Notice { run, last_known_ms: now_ms });
                true
            }
        }
    }

    /// Whether a server accepts new requests, by its entry and by all that it has said before.
    #[must_use]
    pub fn acceptance(&self, server: &server::BackendServer) -> Acceptance {
        let has_left =
            self.notices.get(&server.id).is_some_and(|it| !Run::of(server).is_later_than(it.run));
        match server.readiness {
            server::Readiness::Ready if !has_left => Acceptance::Accepts,
            server::Readiness::Ready | server::Readiness::Draining => Acceptance::Leaving,
        }
    }

    /// Forgets the notices of servers that have not been known for a while.
    pub fn retain_known<F>(&mut self, is_known: F, now_ms: u64)
    where
        F: Fn(&name::ServerId) -> bool,
    {
        self.notices.retain(|id, notice| {
            if is_known(id) {
                notice.last_known_ms = now_ms;
            }
            now_ms < notice.last_known_ms + RETENTION_MS
        });
    }
}

impl Run {
    fn of(server: &server::BackendServer) -> Self {
        Self { address: server.address, started_unix_ms: server.started_unix_ms }
    }

    /// Whether this run started after another one under the same id. Without both start times only
    /// another address tells two runs apart.
    fn is_later_than(self, other: Self) -> bool {
        match (self.started_unix_ms, other.started_unix_ms) {
            (Some(own_ms), Some(other_ms)) => own_ms > other_ms,
            _ => self.address != other.address,
        }
    }
}
