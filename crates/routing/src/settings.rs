//! Settings that a host's process reads at start-up.

use std::collections;
use std::net;

use crate::name;

/// Settings of a host.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the host.
    pub host: name::HostName,
    /// Data centre that the host is in.
    pub data_centre: name::DataCentre,
    /// Region of the data centre.
    pub region: name::Region,
    /// Regions of the data centres, the host's own among them.
    pub regions: collections::BTreeMap<name::DataCentre, name::Region>,
    /// Address that callers send requests to.
    pub caller_address: net::SocketAddr,
    /// Address of the platform's readiness check.
    pub readiness_address: net::SocketAddr,
    /// Address of the endpoint where callers discover which hosts to use.
    pub discovery_address: net::SocketAddr,
    /// Address that other hosts connect to.
    pub peer_address: net::SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics_address: net::SocketAddr,
    /// Address of the platform's store.
    pub store_address: net::SocketAddr,
    /// CPU time available to the host, in thousandths of a core.
    pub cpu_millicores: u64,
    /// Memory available to the host, in bytes, if the settings state it.
    pub memory_bytes: Option<u64>,
    /// Limits agreed with the platform.
    pub bounds: Bounds,
}

/// Limits agreed with the platform: some that it guarantees, some that it requires.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Deadline for a configuration to take effect, in milliseconds.
    pub config_apply_ms: u64,
    /// Deadline after which a draining server receives no new requests, in milliseconds.
    pub drain_ms: u64,
    /// Time after which a host without contact to the others is out of contact, in milliseconds.
    pub contact_ms: u64,
    /// Interval at which backend servers renew their entries in the store, in milliseconds.
    pub heartbeat_ms: u64,
    /// Time between SIGTERM and SIGKILL, in milliseconds.
    pub grace_ms: u64,
    /// Retries allowed to a service for each request to it.
    pub retry_ratio: f64,
    /// Length of the window in which retries are counted, in milliseconds.
    pub retry_window_ms: u64,
    /// Retries allowed to a service in each window in addition to the ratio.
    pub retry_allowance: u64,
    /// Fraction of a service's requests that may reach a bad version during a roll-out.
    pub exposure_fraction: f64,
    /// Number of a service's requests that may reach a bad version in addition to that fraction.
    pub exposure_allowance: u64,
    /// Deadline after which the servers of an evacuated data centre receive no requests, in
    /// milliseconds; `None` if the deployment has no evacuations.
    pub evacuation_ms: Option<u64>,
    /// Maximum time for which callers cache a discovery response, in milliseconds.
    pub discovery_ttl_max_ms: u64,
    /// Requests that cold servers bear; `None` if the deployment has no limits for cold servers.
    pub cold_bounds: Option<ColdBounds>,
}

/// Requests that cold servers bear in any second beyond the rate that their service names.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBounds {
    /// Factor by which the rate is multiplied.
    pub overshoot: f64,
    /// Requests in addition to that.
    pub tolerance: f64,
}
