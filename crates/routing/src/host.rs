//! Entries with which router hosts register in the platform's store.

use std::net;

use serde::Deserialize;
use serde::Serialize;

use crate::name;

/// A host's registry entry.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HostEntry {
    /// Name of the host.
    pub name: name::HostName,
    /// Identifies this run of the host's process; drawn at random at start-up.
    pub run_id: u64,
    /// Start of this run, in milliseconds since the Unix epoch by the host's own clock.
    pub started_unix_ms: u64,
    /// Address that callers connect to.
    pub caller_address: net::SocketAddr,
    /// Address that other hosts connect to.
    pub peer_address: net::SocketAddr,
    /// Data centre that the host is in.
    pub data_centre: name::DataCentre,
    /// Region of the data centre.
    pub region: name::Region,
    /// Available CPU time, in thousandths of a core; zero if the entry does not state it.
    #[serde(default)]
    pub cpu_millicores: u64,
    /// Whether the host answers the pings of other hosts. Hosts of earlier builds do not, and their
    /// silence is no evidence that they are lost.
    #[serde(default)]
    pub answers_pings: bool,
    /// Lifecycle phase of the host.
    pub phase: Phase,
}

/// Lifecycle phase of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Accepts requests.
    Serving,
    /// Finishes open requests and shuts down.
    Stopping,
}
