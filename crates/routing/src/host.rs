//! Hosts of the product as they register themselves in the platform's store.

use std::net;

use serde::Deserialize;
use serde::Serialize;

use crate::name;

/// One host.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HostEntry {
    /// Its name.
    pub name: name::HostName,
    /// Identity of this run of its process, drawn at random at the start.
    pub run_id: u64,
    /// Start of this run, in milliseconds since the epoch by its own clock.
    pub started_unix_ms: u64,
    /// Where callers connect.
    pub caller_address: net::SocketAddr,
    /// Where other hosts connect.
    pub peer_address: net::SocketAddr,
    /// Where it stands.
    pub data_centre: name::DataCentre,
    /// Region of the data centre.
    pub region: name::Region,
    /// Processor time that it has, in thousandths of a core; zero if its entry does not say.
    #[serde(default)]
    pub cpu_millicores: u64,
    /// What it does.
    pub phase: Phase,
}

/// What a host does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It takes requests.
    Serving,
    /// It finishes what it has and stops.
    Stopping,
}
