//! Who a host is.

use std::fmt;
use std::net;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Identity of one run of a host, drawn at random at each start.
///
/// An address identifies nobody: a replaced host has the same address and another id.
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

/// What a host tells others about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HostInfo {
    /// Identity of this run.
    pub id: HostId,
    /// Wall-clock time of the start, in milliseconds since the epoch.
    pub started_ms: u64,
    /// Where other hosts connect.
    pub peer_address: net::SocketAddr,
    /// Where callers connect.
    pub caller_address: net::SocketAddr,
    /// Data centre of the host.
    pub data_centre: Arc<str>,
    /// Region of the data centre.
    pub region: Arc<str>,
}
