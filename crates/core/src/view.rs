//! The state of a host that callers, operators and metrics can see.

use std::net;
use std::sync::Arc;

use serde::Serialize;
use toucanwall_coordination::membership;

use crate::counter;

/// The visible state of a host at one moment.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Whether the host accepts requests.
    pub is_ready: bool,
    /// Code of the reason for which it does not, or `ready`.
    pub readiness: &'static str,
    /// Revision of the configuration in force.
    pub revision: u64,
    /// Digest of the configuration in force.
    pub digest: u64,
    /// Caller addresses of the hosts to use, in order of preference.
    pub addresses: Vec<net::SocketAddr>,
    /// Members of the group of hosts, as this host sees them.
    pub members: Vec<MemberView>,
    /// Requests in flight.
    pub requests_in_flight: usize,
    /// Size in bytes of the ledger entries that are not durable yet.
    pub ledger_pending_bytes: usize,
    /// Number of requests of other hosts that this host keeps a backup of.
    pub backups_kept: usize,
    /// Counters since the host started.
    pub counters: counter::Counters,
}

/// A member of the group of hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct MemberView {
    /// Host id.
    pub id: String,
    /// Address on which it listens for other hosts.
    pub peer_address: net::SocketAddr,
    /// Address on which it listens for callers.
    pub caller_address: net::SocketAddr,
    /// Name of its data centre.
    pub data_centre: Arc<str>,
    /// Membership status, as [`status_name`] gives it.
    pub status: &'static str,
}

/// Returns the name under which a membership status is shown.
#[must_use]
pub fn status_name(status: membership::Status) -> &'static str {
    match status {
        membership::Status::Alive => "alive",
        membership::Status::Leaving => "leaving",
        membership::Status::Suspect => "suspect",
        membership::Status::Dead => "dead",
    }
}
