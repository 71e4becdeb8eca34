//! Snapshots of the deployment state, which requests are routed by.

use std::collections;
use std::sync::Arc;

use crate::configuration;
use crate::host;
use crate::name;
use crate::rollout;
use crate::server;

/// A snapshot of the deployment state as one host knows it.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// The configuration in force, once one is known.
    pub configuration: Option<Arc<configuration::Configuration>>,
    /// Since when the store has not answered, in milliseconds of the monotonic clock; the view may
    /// be out of date from then on.
    pub store_lost_since_ms: Option<u64>,
    /// Whether all lists that routing needs have been received at least once.
    pub has_lists: bool,
    /// Backend servers that accept new requests, by service.
    pub ready_servers:
        Arc<collections::BTreeMap<name::ServiceName, Vec<Arc<server::BackendServer>>>>,
    /// All known backend servers, by id.
    pub all_servers: Arc<collections::BTreeMap<name::ServerId, Arc<server::BackendServer>>>,
    /// Roll-outs by service.
    pub rollouts: Arc<collections::BTreeMap<name::ServiceName, Arc<rollout::Rollout>>>,
    /// Registered router hosts, including this one.
    pub hosts: Arc<collections::BTreeMap<name::HostName, Arc<host::HostEntry>>>,
    /// Registered hosts that do not answer this one.
    pub silent_hosts: Arc<collections::BTreeSet<name::HostName>>,
}

impl View {
    /// Version of the configuration in force.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.configuration.as_ref().map(|configuration| configuration.version())
    }

    /// How long the store has not answered, in milliseconds; zero while it does.
    #[must_use]
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        self.store_lost_since_ms.map_or(0, |lost_since_ms| now_ms.saturating_sub(lost_since_ms))
    }

    /// Whether the view holds all that routing needs.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.configuration.is_some() && self.has_lists
    }

    /// Backend servers of a service that accept new requests.
    #[must_use]
    pub fn ready_servers_of(&self, service: &name::ServiceName) -> &[Arc<server::BackendServer>] {
        self.ready_servers.get(service).map_or(&[], Vec::as_slice)
    }

    /// Hosts that callers may be sent to: those that accept requests and are not silent.
    pub fn callable_hosts(&self) -> impl Iterator<Item = &Arc<host::HostEntry>> {
        self.serving_hosts().filter(|host| !self.silent_hosts.contains(&host.name))
    }

    /// Hosts that are registered as accepting requests.
    pub fn serving_hosts(&self) -> impl Iterator<Item = &Arc<host::HostEntry>> {
        self.hosts.values().filter(|host| host.phase == host::Phase::Serving)
    }

    /// Number of hosts that are registered as accepting requests; at least one, since the calling host is one itself.
    #[must_use]
    pub fn serving_host_count(&self) -> u64 {
        u64::try_from(self.serving_hosts().count()).unwrap_or(u64::MAX).max(1)
    }

    /// The rank of a host among the serving hosts for a key, by rendezvous hashing; 0 is the first.
    #[must_use]
    pub fn rank_of(&self, host: &name::HostName, key: u64) -> u64 {
        self.rank_among(host, key, &collections::BTreeSet::new())
    }

    /// Like [`rank_of`](Self::rank_of), with the `preferred` hosts before all others.
    #[must_use]
    pub fn rank_among(
        &self,
        host: &name::HostName,
        key: u64,
        preferred: &collections::BTreeSet<&name::HostName>,
    ) -> u64 {
        let weight = |name: &name::HostName| {
            let hash = xxhash_rust::xxh3::xxh3_64_with_seed(name.as_str().as_bytes(), key);
            (preferred.contains(name), hash)
        };
        let own = weight(host);
        let preceding =
            self.serving_hosts().filter(|other| other.name != *host && weight(&other.name) > own);
        u64::try_from(preceding.count()).unwrap_or(u64::MAX)
    }
}
