//! Rendezvous (highest random weight) hashing: each key ranks the hosts in its own order.

use crate::identity;

/// Returns the weight of a host for a key; the host with the highest weight ranks first.
#[must_use]
pub fn weight(key: u64, host: identity::HostId) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&host.0.to_le_bytes());
    xxhash_rust::xxh3::xxh3_64(&bytes)
}

/// Returns the host that ranks first for a key.
#[must_use]
pub fn first<I>(key: u64, hosts: I) -> Option<identity::HostId>
where
    I: IntoIterator<Item = identity::HostId>,
{
    hosts.into_iter().max_by_key(|host| (weight(key, *host), *host))
}

/// Returns the `count` highest-ranked hosts for a key, in rank order.
#[must_use]
pub fn top<I>(key: u64, hosts: I, count: usize) -> Vec<identity::HostId>
where
    I: IntoIterator<Item = identity::HostId>,
{
    let mut ranked: Vec<_> = hosts.into_iter().collect();
    ranked.sort_by_key(|host| std::cmp::Reverse((weight(key, *host), *host)));
    ranked.truncate(count);
    ranked
}
