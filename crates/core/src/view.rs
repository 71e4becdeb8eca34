//! What a host shows to callers, operators and metrics.

use std::net;
use std::sync::Arc;

use serde::Serialize;
use toucanwall_coordination::membership;

use crate::counter;

/// A picture of a host at one moment.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Whether the host takes requests.
    pub is_ready: bool,
    /// Why it does not, or `ready`.
    pub readiness: &'static str,
    /// Revision of the configuration in force.
    pub revision: u64,
    /// Digest of the configuration in force.
    pub digest: u64,
    /// Hosts that callers may use, in order of preference.
    pub addresses: Vec<net::SocketAddr>,
    /// Members as this host sees them.
    pub members: Vec<MemberView>,
    /// Requests in flight.
    pub requests_in_flight: usize,
    /// Bytes of ledger entries that are not durable yet.
    pub ledger_pending_bytes: usize,
    /// Requests kept for other hosts.
    pub backups_kept: usize,
    /// Counts.
    pub counters: counter::Counters,
}

/// A member as shown.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct MemberView {
    /// Its identity.
    pub id: String,
    /// Where other hosts connect.
    pub peer_address: net::SocketAddr,
    /// Where callers connect.
    pub caller_address: net::SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Its state.
    pub status: &'static str,
}

/// The name of a member's state.
#[must_use]
pub fn status_name(status: membership::Status) -> &'static str {
    match status {
        membership::Status::Alive => "alive",
        membership::Status::Leaving => "leaving",
        membership::Status::Suspect => "suspect",
        membership::Status::Dead => "dead",
    }
}
