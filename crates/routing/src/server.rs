//! Registry entries of backend servers.

use std::net;

use crate::name;

/// One run of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendServer {
    /// Identifies the run.
    pub id: name::ServerId,
    /// The service that it belongs to.
    pub service: name::ServiceName,
    /// Address that the server listens on.
    pub address: net::SocketAddr,
    /// Data centre that the server is in.
    pub data_centre: name::DataCentre,
    /// Version of the server's software.
    pub version: name::Version,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the server accepts new requests.
    pub readiness: Readiness,
    /// When the server started, in milliseconds since the Unix epoch; tells apart two starts under
    /// the same id.
    pub started_unix_ms: Option<u64>,
}

/// Whether a backend server accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// Accepts new requests.
    Ready,
    /// Finishes its open requests and shuts down.
    Draining,
}
