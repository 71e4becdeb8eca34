//! Rendezvous hashing: each key ranks the hosts in an order of its own.

use crate::identity;

/// The weight of a host for a key; the highest weight comes first.
#[must_use]
pub fn weight(key: u64, host: identity::HostId) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&host.0.to_le_bytes());
    xxhash_rust::xxh3::xxh3_64(&bytes)
}

/// The host that ranks first for a key.
#[must_use]
pub fn first<I>(key: u64, hosts: I) -> Option<identity::HostId>
where
    I: IntoIterator<Item = identity::HostId>,
{
    hosts.into_iter().max_by_key(|host| (weight(key, *host), *host))
}

/// The `count` hosts that rank first for a key, in order.
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
