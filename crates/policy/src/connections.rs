//! How many connections a host has to one server.
//!
//! Answers the load of many short requests that may not be repeated: each has a new connection, and
//! the old ones rest until their server closes them. A server counts those as well, and resets what
//! comes beyond its limit, which leaves the fate of a request open.

/// Part of a server's connections that the hosts use together, in percent: hosts do not learn of each
/// other at the same moment, and the platform checks servers' health over some.
const USED_PERCENT: u64 = 90;
/// Part of a host's connections to a server that may rest, in percent: enough to spare most requests
/// that may be repeated a new one.
const IDLE_PERCENT: u64 = 25;

/// A host's connections to one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Connections in use at a time.
    pub in_flight_max: u32,
    /// Connections that rest at a time.
    pub idle_max: u32,
}

/// The share of one of `hosts` hosts in a server that takes `connections_max` connections.
#[must_use]
pub fn limits_per_host(connections_max: u32, hosts: u64) -> ConnectionLimits {
    let per_host = u64::from(connections_max) * USED_PERCENT / 100 / hosts.max(1);
    let per_host = u32::try_from(per_host).unwrap_or(u32::MAX).max(1);
    let idle_max = u32::try_from(u64::from(per_host) * IDLE_PERCENT / 100).unwrap_or(0);
    ConnectionLimits { in_flight_max: per_host - idle_max, idle_max }
}
