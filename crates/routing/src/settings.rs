//! What one host's process is told at its start.

use std::net;

use crate::name;

/// Settings of one host.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the host.
    pub host: name::HostName,
    /// Where it stands.
    pub data_centre: name::DataCentre,
    /// Region of the data centre.
    pub region: name::Region,
    /// Where callers send requests.
    pub caller_address: net::SocketAddr,
    /// Where the platform asks whether the host is ready.
    pub readiness_address: net::SocketAddr,
    /// Where callers ask which addresses to use.
    pub discovery_address: net::SocketAddr,
    /// Where other hosts connect.
    pub peer_address: net::SocketAddr,
    /// Where metrics are read.
    pub metrics_address: net::SocketAddr,
    /// The platform's store.
    pub store_address: net::SocketAddr,
    /// Processor time that the host has, in thousandths of a core.
    pub cpu_millicores: u64,
    /// Bounds that the platform promises and expects.
    pub bounds: Bounds,
}

/// Bounds that the platform promises and expects.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Time until a configuration must be in force, in milliseconds.
    pub config_apply_ms: u64,
    /// Time after which a leaving server gets nothing new, in milliseconds.
    pub drain_ms: u64,
    /// Time between SIGTERM and SIGKILL, in milliseconds.
    pub grace_ms: u64,
    /// Repeats that a service may get for each request to it.
    pub retry_ratio: f64,
    /// Length of the window in which repeats are counted, in milliseconds.
    pub retry_window_ms: u64,
    /// Repeats that a service may get on top, in each window.
    pub retry_allowance: u64,
    /// Part of a service's requests that a bad version may get.
    pub exposure_fraction: f64,
    /// Longest time that callers keep an answer of the directory, in milliseconds.
    pub discovery_ttl_max_ms: u64,
}
