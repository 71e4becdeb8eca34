//! Requests to servers that have just started, which crash if they get many at once.
//!
//! A cold server takes `per_s` requests a second from all hosts together; a second with more than
//! `per_s` x overshoot + tolerance is too many. Hosts divide this without messages: for each server
//! a few *senders*, chosen by rendezvous hashing over the registered hosts, send at a fixed interval
//! each, and no other host sends to it. The burst of a sender is a single request, so that the
//! intervals bound each second by a whole number of requests for each sender.
//!
//! Hosts may disagree on who is registered. A host that has just registered sends nothing until all
//! others know of it or know that they are cut off; a host that is cut off, or has seen the senders of
//! a server change, sends 58 % of its share. So the senders of two disjoint views together keep the
//! bound.
//!
//! The load: the servers of a data centre come back together after an evacuation or a power loss, and
//! callers ask for all of their capacity.

mod server_state;
mod share;

use std::collections;

use toucanwall_routing::name;
use toucanwall_routing::position;
use toucanwall_routing::server;
use xxhash_rust::xxh3;

use crate::server_run;

pub use server_state::Change;
pub use share::Limit;
pub use share::Share;
pub use share::WINDOW_MS;

/// Time for which a server is remembered after its entry has vanished, in milliseconds: longer than any
/// list of servers may be out of date.
const RETENTION_MS: u64 = 600_000;
/// Time for which shares do not rise after hosts have gone, in milliseconds: hosts that were removed one
/// after the other may all still run, each with the share of its last view.
const LOST_HOSTS_MS: u64 = 60_000;
/// Time after which callers come back when all servers are cold, in milliseconds, for each step of
/// priority; the same again is spread by chance. A sender's interval has about this length.
const RETRY_AFTER_MS: u64 = 200;
/// Priority from which all requests come back at the same time; 0 is the most urgent.
const LAST_RETURN_PRIORITY: u32 = 3;

/// The cold servers, as known to one host, and the requests that it may send to them.
#[derive(Debug)]
pub struct ColdStarts {
    own_name: name::HostName,
    /// Longest time until a host has heard of a change of the hosts or knows that it is cut off, in
    /// milliseconds.
    settling_ms: u64,
    /// The registered hosts in order, this one among them once it is registered.
    hosts: Vec<name::HostName>,
    /// When the hosts last changed, in milliseconds.
    hosts_changed_ms: u64,
    /// When this host was last cut off, in milliseconds.
    cut_off_ms: Option<u64>,
    /// Number of hosts among which limits were divided when one of them last went, and when it went, in
    /// milliseconds.
    former_hosts: (usize, u64),
    /// When this host first saw its own entry, in milliseconds.
    joined_ms: Option<u64>,
    /// Whether this host may miss changes of the hosts.
    is_cut_off: bool,
    limits: collections::BTreeMap<name::ServiceName, Limit>,
    servers: collections::BTreeMap<name::ServerId, server_state::ServerState>,
}

/// Whether a request may be sent to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// The server is not cold, or its service has no limit for cold servers.
    Open,
    /// The server is cold.
    Cold {
        /// Whether this host may send it a request now.
        may_send: bool,
    },
}

impl ColdStarts {
    /// Creates the state of a host that knows nothing. Other hosts have heard of a change of the hosts,
    /// or know that they are cut off, `settling_ms` after it.
    #[must_use]
    pub fn new(own_name: name::HostName, settling_ms: u64) -> Self {
        Self {
            own_name,
            settling_ms,
            hosts: Vec::new(),
            hosts_changed_ms: 0,
            cut_off_ms: None,
            former_hosts: (0, 0),
            joined_ms: None,
            is_cut_off: false,
            limits: collections::BTreeMap::new(),
            servers: collections::BTreeMap::new(),
        }
    }

    /// Replaces the registered hosts, among them those that do not answer. A host that `is_cut_off` may
    /// miss changes.
    pub fn set_hosts<I>(&mut self, hosts: I, is_cut_off: bool, now_ms: u64)
    where
        I: IntoIterator<Item = name::HostName>,
    {
        if is_cut_off || self.is_cut_off {
            // Changes that were missed may still be on their way when the host is no longer cut off.
            self.cut_off_ms = Some(now_ms);
        }
        self.is_cut_off = is_cut_off;
        let hosts: Vec<_> = hosts.into_iter().collect();
        if hosts == self.hosts {
            return;
        }
        if hosts.len() < self.hosts.len() {
            self.former_hosts = (self.sharing_hosts(now_ms), now_ms);
        }
        self.hosts = hosts;
        self.hosts_changed_ms = now_ms;
        let sharing_hosts = self.sharing_hosts(now_ms);
        let is_registered = self.hosts.contains(&self.own_name);
        self.joined_ms = is_registered.then(|| self.joined_ms.unwrap_or(now_ms));
        for (id, state) in &mut self.servers {
            state.set_senders(senders(&self.hosts, sharing_hosts, &self.own_name, id), now_ms);
        }
    }

    /// Replaces the limits of cold servers, by service.
    pub fn set_limits(&mut self, limits: collections::BTreeMap<name::ServiceName, Limit>) {
        self.limits = limits;
    }

    /// Records a server's entry: the time for which it stays cold, if the entry states it. An entry
    /// that was known already says nothing new.
    pub fn record_entry(
        &mut self,
        server: &server::BackendServer,
        position: position::Position,
        remaining_ms: Option<u64>,
        now_ms: u64,
    ) -> Change {
        self.update(server, now_ms, |state| state.record_entry(position, remaining_ms, now_ms))
    }

    /// Records that a response of a server states the time for which it stays cold.
    pub fn record_response(
        &mut self,
        server: &server::BackendServer,
        remaining_ms: u64,
        now_ms: u64,
    ) -> Change {
        let run = server_run::ServerRun::of(server);
        // The response of an earlier run says nothing of the current one.
        if self.servers.get(&server.id).is_none_or(|state| state.run != run) {
            return Change::Unchanged;
        }
        self.update(server, now_ms, |state| state.record_response(remaining_ms, now_ms))
    }

    /// Records that a server gets requests again after it got none, as at the end of an evacuation. It
    /// counts as a run that is new to this host, since what it stated before may be out of date.
    pub fn record_return(&mut self, server: &server::BackendServer, now_ms: u64) -> Change {
        self.update(server, now_ms, |state| state.restart(now_ms))
    }

    /// Whether a request may be sent to a server now. A server of which no entry is known is cold, and
    /// gets nothing.
    #[must_use]
    pub fn availability(&self, server: &server::BackendServer, now_ms: u64) -> Availability {
        let Some(limit) = self.limits.get(&server.service) else { return Availability::Open };
        match self.servers.get(&server.id) {
            Some(state) if !state.is_cold(limit.start_ms(), now_ms) => Availability::Open,
            Some(state) => Availability::Cold { may_send: self.may_send(state, limit, now_ms) },
            None => Availability::Cold { may_send: false },
        }
    }

    /// Counts a request that is sent to a server now; returns whether it may be sent.
    #[must_use]
    pub fn take(&mut self, server: &server::BackendServer, now_ms: u64) -> bool {
        match self.availability(server, now_ms) {
            Availability::Open => true,
            Availability::Cold { may_send: false } => false,
            Availability::Cold { may_send: true } => {
                if let Some(state) = self.servers.get_mut(&server.id) {
                    state.last_sent_ms = Some(now_ms);
                }
                true
            }
        }
    }

    /// Takes back a request to a server that was counted at `taken_ms` and of which nothing was
    /// written.
    pub fn give_back(&mut self, id: &name::ServerId, taken_ms: u64) {
        if let Some(state) = self.servers.get_mut(id)
            && state.last_sent_ms == Some(taken_ms)
        {
            // The request before it was sent an interval earlier, so another one may follow at once.
            state.last_sent_ms = None;
        }
    }

    /// Whether a service has a limit for cold servers.
    #[must_use]
    pub fn is_limited(&self, service: &name::ServiceName) -> bool {
        self.limits.contains_key(service)
    }

    /// Whether no service has a limit for cold servers.
    #[must_use]
    pub fn is_off(&self) -> bool {
        self.limits.is_empty()
    }

    /// Whether this host is one of the senders of a server.
    #[must_use]
    pub fn is_sender(&self, server: &server::BackendServer, now_ms: u64) -> bool {
        match (self.limits.get(&server.service), self.servers.get(&server.id)) {
            (Some(limit), Some(state)) => {
                let share = limit.share(self.sharing_hosts(now_ms));
                state.rank().is_some_and(|rank| rank < share.senders)
            }
            _ => false,
        }
    }

    /// Ids of the servers that are cold now, by service.
    #[must_use]
    pub fn cold_servers(
        &self,
        now_ms: u64,
    ) -> collections::BTreeMap<&name::ServiceName, collections::BTreeSet<&name::ServerId>> {
        let mut cold = collections::BTreeMap::<_, collections::BTreeSet<_>>::new();
        for service in self.limits.keys() {
            cold.insert(service, collections::BTreeSet::new());
        }
        for (id, state) in &self.servers {
            let Some(limit) = self.limits.get(&state.service) else { continue };
            if state.is_cold(limit.start_ms(), now_ms) {
                cold.entry(&state.service).or_default().insert(id);
            }
        }
        cold
    }

    /// Forgets the servers that have not been known for a while.
    pub fn retain_known<F>(&mut self, is_known: F, now_ms: u64)
    where
        F: Fn(&name::ServerId) -> bool,
    {
        self.servers.retain(|id, state| {
            if is_known(id) {
                state.last_known_ms = now_ms;
            }
            now_ms < state.last_known_ms.saturating_add(RETENTION_MS)
        });
    }

    /// Applies what is heard of a server to its state, which begins anew with another run.
    fn update<F>(&mut self, server: &server::BackendServer, now_ms: u64, apply: F) -> Change
    where
        F: FnOnce(&mut server_state::ServerState),
    {
        let run = server_run::ServerRun::of(server);
        let start_ms = self.limits.get(&server.service).map_or(0, Limit::start_ms);
        let sharing_hosts = self.sharing_hosts(now_ms);
        let state = self.servers.entry(server.id.clone()).or_insert_with(|| {
            let senders = senders(&self.hosts, sharing_hosts, &self.own_name, &server.id);
            // The senders of a server that was not known may have changed with the hosts.
            let changed_ms = self.hosts_changed_ms;
            server_state::ServerState::new(run, server.service.clone(), senders, changed_ms, now_ms)
        });
        let mut was_cold = state.is_cold(start_ms, now_ms) && !state.is_new();
        // Start times may jump backwards, so any other run is a new one.
        if state.run != run {
            was_cold = false;
            state.begin_run(run, now_ms);
        }
        state.service = server.service.clone();
        state.last_known_ms = now_ms;
        apply(state);
        match (was_cold, state.is_cold(start_ms, now_ms)) {
            (false, true) => Change::Cold,
            (true, false) => Change::Warm,
            _ => Change::Unchanged,
        }
    }

    fn may_send(&self, state: &server_state::ServerState, limit: &Limit, now_ms: u64) -> bool {
        let share = limit.share(self.sharing_hosts(now_ms));
        let has_joined =
            self.joined_ms.is_some_and(|at_ms| now_ms >= at_ms.saturating_add(self.settling_ms));
        let is_sender = state.rank().is_some_and(|rank| rank < share.senders);
        has_joined
            && is_sender
            && share.interval_ms(self.is_settled(state, now_ms)).is_some_and(|interval_ms| {
                state.last_sent_ms.is_none_or(|at_ms| now_ms >= at_ms.saturating_add(interval_ms))
            })
    }

    /// Number of hosts among which limits are divided.
    fn sharing_hosts(&self, now_ms: u64) -> usize {
        let (count, gone_ms) = self.former_hosts;
        let is_recent = now_ms < gone_ms.saturating_add(LOST_HOSTS_MS);
        if is_recent { count.max(self.hosts.len()) } else { self.hosts.len() }
    }

    /// Whether this host may send its whole share to a server, since all others have its view of the
    /// senders or know that they are cut off. The additional window is for what these have sent just
    /// before.
    fn is_settled(&self, state: &server_state::ServerState, now_ms: u64) -> bool {
        let unsettled_ms = self.cut_off_ms.max(Some(state.senders_changed_ms())).unwrap_or(0);
        let settled_ms = unsettled_ms.saturating_add(self.settling_ms).saturating_add(WINDOW_MS);
        !self.is_cut_off && now_ms >= settled_ms
    }
}

/// Time after which a caller may come back when all servers of a service are cold, in milliseconds:
/// callers of urgent requests first, spread by a random number.
#[must_use]
pub fn retry_after_ms(priority: u32, random: u64) -> u64 {
    let step_ms = RETRY_AFTER_MS * (u64::from(priority.min(LAST_RETURN_PRIORITY)) + 1);
    step_ms + random % step_ms
}

/// The hosts that may send to a server, in the view of one host.
fn senders(
    hosts: &[name::HostName],
    sharing_hosts: usize,
    own_name: &name::HostName,
    id: &name::ServerId,
) -> server_state::Senders {
    let key = xxh3::xxh3_64(id.as_str().as_bytes());
    let weight = |host: &name::HostName| xxh3::xxh3_64_with_seed(host.as_str().as_bytes(), key);
    let mut ranked: Vec<_> = hosts.iter().map(|host| (weight(host), host)).collect();
    ranked.sort_unstable_by(|one, other| other.cmp(one));
    let rank = ranked.iter().position(|(_, host)| *host == own_name);
    ranked.truncate(share::senders_max(sharing_hosts));
    let hash = ranked.iter().fold(key, |hash, (weight, _)| hash.rotate_left(5) ^ weight);
    server_state::Senders { rank, hash }
}
