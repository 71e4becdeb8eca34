//! Limits on a host's connections to one server.
//!
//! Many short requests that must not be retried each use a new connection, and the old ones stay
//! idle until the server closes them. A server counts idle connections too and resets those beyond
//! its limit, which leaves the outcome of a request unknown.

/// Part of a server's connections that all hosts use together, in percent: hosts do not learn of
/// each other at the same moment, and the platform uses some connections for health checks.
const USED_PERCENT: u64 = 90;
/// Part of a host's connections to a server that may be idle, in percent: enough that most requests
/// that may be retried need no new connection.
const IDLE_PERCENT: u64 = 25;

/// Limits on a host's connections to one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Maximum number of connections in use.
    pub in_flight_max: u32,
    /// Maximum number of idle connections.
    pub idle_max: u32,
}

/// The limits for each of `hosts` hosts at a server that accepts `connections_max` connections.
#[must_use]
pub fn limits_per_host(connections_max: u32, hosts: u64) -> ConnectionLimits {
    let per_host = u64::from(connections_max) * USED_PERCENT / 100 / hosts.max(1);
    let per_host = u32::try_from(per_host).unwrap_or(u32::MAX).max(1);
    let idle_max = u32::try_from(u64::from(per_host) * IDLE_PERCENT / 100).unwrap_or(0);
    ConnectionLimits { in_flight_max: per_host - idle_max, idle_max }
}
