//! Runs of a backend server, told apart under the same id.

use std::net;

use serde::Deserialize;
use serde::Serialize;
use toucanwall_routing::server;

/// A run of a server, as far as it can be told from others under the same id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServerRun {
    address: net::SocketAddr,
    started_unix_ms: Option<u64>,
}

impl ServerRun {
    /// The run that an entry of the registry shows.
    #[must_use]
    pub fn of(server: &server::BackendServer) -> Self {
        Self { address: server.address, started_unix_ms: server.started_unix_ms }
    }

    /// Whether this run started after another one under the same id. Without both start times only
    /// another address tells two runs apart.
    #[must_use]
    pub fn is_later_than(self, other: Self) -> bool {
        match (self.started_unix_ms, other.started_unix_ms) {
            (Some(own_ms), Some(other_ms)) => own_ms > other_ms,
            _ => self.address != other.address,
        }
    }
}
