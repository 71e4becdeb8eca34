//! Identity of a host.

use std::fmt;
use std::net;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Identifier of one run of a host, drawn at random at each start.
///
/// An address does not identify a host: after a restart or a replacement the address is the
/// same and the id is another.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct HostId(pub u64);

impl fmt::Display for HostId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for HostId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

/// The description of itself that a host announces to its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HostInfo {
    /// Identifier of this run.
    pub id: HostId,
    /// Wall-clock start time in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Address on which the host accepts connections from its peers.
    pub peer_address: net::SocketAddr,
    /// Address on which the host accepts requests from callers.
    pub caller_address: net::SocketAddr,
    /// Data centre that the host runs in.
    pub data_centre: Arc<str>,
    /// Region of the data centre.
    pub region: Arc<str>,
}
