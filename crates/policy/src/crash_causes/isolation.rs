//! Sends requests with a suspected part to few servers, which bounds the loss and tells suspects apart.
//!
//! All hosts choose the same servers for a part, by rendezvous hashing, so that a crash there speaks
//! against the few parts that were sent there. The servers are as many as the part's share of the
//! requests needs: a part that all requests have in common is not confined at all.

use std::cmp;

use super::likelihood;

/// How the requests with a suspected part are confined.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Isolation {
    /// Decides which servers are chosen; the same at all hosts.
    pub seed: u64,
    /// Its share of the requests.
    pub share: f64,
}

impl Isolation {
    /// Number of servers, among so many, to which requests with the part are sent.
    pub fn server_count(&self, servers: usize) -> usize {
        let needed = likelihood::approximate(servers) * self.share;
        let is_needed = |count: &usize| likelihood::approximate(*count) < needed;
        cmp::max((0..servers).take_while(is_needed).count(), 1)
    }

    /// Fraction of the servers, among so many, to which requests with the part are sent.
    pub fn fraction_of(&self, servers: usize) -> f64 {
        let count = likelihood::approximate(self.server_count(servers));
        (count / likelihood::approximate(servers.max(1))).min(1.0)
    }

    /// Keeps the servers to which requests with the part are sent; `id_of` returns the id of a server.
    pub fn retain_servers<S, F>(&self, servers: &mut Vec<S>, id_of: F)
    where
        F: Fn(&S) -> &str,
    {
        let count = self.server_count(servers.len());
        servers.sort_by_cached_key(|server| cmp::Reverse(self.weight(id_of(server))));
        servers.truncate(count);
    }

    /// Removes the first server to which requests with the part are sent.
    pub fn remove_first<S, F>(&self, servers: &mut Vec<S>, id_of: F)
    where
        F: Fn(&S) -> &str,
    {
        let by_weight = servers.iter().enumerate().max_by_key(|(_, it)| self.weight(id_of(it)));
        if let Some(index) = by_weight.map(|(index, _)| index) {
            servers.remove(index);
        }
    }

    fn weight(&self, id: &str) -> u64 {
        xxhash_rust::xxh3::xxh3_64_with_seed(id.as_bytes(), self.seed)
    }
}
