//! Limits that servers name for the requests that they take from all hosts together.
//!
//! Hosts see neither each other's requests nor, at each moment, the same hosts. So a few *issuers* for
//! each server, chosen by rendezvous hashing, issue *permits*: each at its part of the limit, and saves
//! up no more than one. A host sends a request to a limited server only with a permit, which it asks
//! the issuers for and which expires soon. However many hosts there are, the requests of a time are
//! bounded by the limit, one permit for each issuer, and the lifetime of permits. While hosts may
//! disagree on who the issuers are, each issues so much less that the issuers of two disjoint views
//! hold the bound together.
//!
//! A limit is in force until a response without one, to a request that was sent after the latest
//! response with it. It says nothing about the server's health.

mod demand;
mod issuer;
mod message;
mod named_limit;
mod rate;

use std::collections;

use rand::RngExt as _;
use rand::SeedableRng as _;
use toucanwall_routing::name;
use toucanwall_routing::server;
use xxhash_rust::xxh3;

use crate::server_run;

pub use demand::Permit;
pub use message::Body;
pub use message::Message;
pub use message::Observation;
pub use message::PermitRequest;
pub use message::Permits;
pub use named_limit::Change;
pub use rate::Rate;

/// Number of hosts that issue permits for a server: with a second one, requests go on when the first
/// is lost.
const ISSUERS: usize = 2;
/// Part of a limit that is issued while hosts may disagree on who the issuers are, in percent.
const UNSETTLED_PERCENT: u64 = 58;
/// Lowest rate at which permits are issued: at a lower limit nobody would learn of its end.
const MIN_RATE: rate::Rate = rate::Rate::from_per_1000_s(100);
/// Hosts that a host tells when it learns that a server names a limit, or no longer does; each of them
/// does the same.
const TOLD_HOSTS: usize = 3;
/// Age of an observation from which it is not passed on, in milliseconds.
const NEWS_MAX_AGE_MS: u64 = 5_000;
/// Time for which a limit is remembered after it has ended or the entry of its server has vanished, in
/// milliseconds.
const RETENTION_MS: u64 = 600_000;

/// The limits that servers have named, as known to one host, and its permits.
#[derive(Debug)]
pub struct ServerLimits {
    own_name: name::HostName,
    /// Time after a change of the hosts until their views count as the same, in milliseconds.
    settling_ms: u64,
    /// The registered hosts in order, this one among them once it is registered.
    hosts: Vec<name::HostName>,
    hosts_changed_ms: u64,
    has_silent_hosts: bool,
    limits: collections::BTreeMap<name::ServerId, named_limit::Limit>,
    /// Receivers, servers and bodies of messages to send; the rest says what is known when they are sent.
    outbox: Vec<(name::HostName, name::ServerId, Body)>,
    next_number: u64,
    rng: rand_chacha::ChaCha8Rng,
}

/// Whether a request may be sent to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// The server names no limit.
    Unlimited,
    /// The server names a limit, and there are permits.
    Permitted {
        /// Their number.
        permits: usize,
    },
    /// The server names a limit, and there is no permit.
    Exhausted,
}

impl ServerLimits {
    /// Creates the limits of a host that knows of none. Views of the registered hosts count as the same
    /// `settling_ms` after a change.
    #[must_use]
    pub fn new(own_name: name::HostName, settling_ms: u64, seed: u64) -> Self {
        Self {
            own_name,
            settling_ms,
            hosts: Vec::new(),
            hosts_changed_ms: 0,
            has_silent_hosts: false,
            limits: collections::BTreeMap::new(),
            outbox: Vec::new(),
            next_number: 1,
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Replaces the registered hosts. Some of them may not answer, so that other hosts may have another
    /// view of them.
    pub fn set_hosts<I>(&mut self, hosts: I, has_silent_hosts: bool, now_ms: u64)
    where
        I: IntoIterator<Item = name::HostName>,
    {
        let hosts: Vec<_> = hosts.into_iter().collect();
        if hosts != self.hosts {
            self.hosts = hosts;
            self.hosts_changed_ms = now_ms;
            for (id, limit) in &mut self.limits {
                limit.update_role(is_issuer(&self.hosts, &self.own_name, id), now_ms);
            }
        }
        self.has_silent_hosts = has_silent_hosts;
    }

    /// Records what a response of a server to a request sent at `sent_ms` says: the limit that it names,
    /// if any.
    pub fn record_response(
        &mut self,
        server: &server::BackendServer,
        rate: Option<Rate>,
        sent_ms: u64,
        now_ms: u64,
    ) -> Change {
        if rate.is_none() && !self.limits.contains_key(&server.id) {
            return Change::Unchanged;
        }
        let run = server_run::ServerRun::of(server);
        let change = self.observe(&server.id, run, rate, sent_ms, now_ms, now_ms);
        self.tell_others(&server.id, change, None);
        change
    }

    /// Handles a message of another host; returns what it changes.
    ///
    /// Messages of hosts that are not registered are to be left out.
    pub fn receive(&mut self, from: &name::HostName, message: &Message, now_ms: u64) -> Change {
        let Message { server, run, observation, body } = message;
        let received_ms = now_ms.saturating_sub(observation.received_age_ms);
        let sent_ms = now_ms.saturating_sub(observation.sent_age_ms);
        let is_known = self.limits.contains_key(server);
        let change = if is_known || observation.limit.is_some() {
            self.observe(server, *run, observation.limit, sent_ms, received_ms, now_ms)
        } else {
            Change::Unchanged
        };
        if observation.received_age_ms < NEWS_MAX_AGE_MS {
            self.tell_others(server, change, Some(from));
        }
        let Some(limit) = self.limits.get_mut(server).filter(|limit| limit.run == *run) else {
            return change;
        };
        match body {
            Body::Notice => {}
            Body::PermitRequest(_) if limit.rate.is_none() => {
                self.outbox.push((from.clone(), server.clone(), Body::Notice));
            }
            Body::PermitRequest(request) => {
                if let Some(issuer) = &mut limit.issuer {
                    issuer.request(from, *request, now_ms);
                }
                self.issue(server, now_ms);
            }
            Body::Permits(permits) => limit.receive_permits(from, *permits, now_ms),
        }
        change
    }

    /// Whether a request may be sent to a server now.
    pub fn availability(&mut self, server: &server::BackendServer, now_ms: u64) -> Availability {
        if self.limit_mut(server).is_none() {
            return Availability::Unlimited;
        }
        self.issue(&server.id, now_ms);
        match self.limit_mut(server) {
            None => Availability::Unlimited,
            Some(limit) => match limit.valid_permits(now_ms) {
                0 => Availability::Exhausted,
                permits => Availability::Permitted { permits },
            },
        }
    }

    /// Takes a permit for a request to a server; `None` if there is none.
    ///
    /// A permit is used up even if its request is not sent: its issuer has counted it.
    pub fn take_permit(&mut self, id: &name::ServerId, now_ms: u64) -> Option<Permit> {
        self.issue(id, now_ms);
        let limit = self.limits.get_mut(id)?;
        limit.permits.retain(|permit| permit.is_valid(now_ms));
        // The one that expires first is used first.
        (!limit.permits.is_empty()).then(|| limit.permits.remove(0))
    }

    /// Records that a request would be sent to a server if there were a permit for it.
    pub fn record_demand(&mut self, id: &name::ServerId, priority: u32, now_ms: u64) {
        let own_name = self.own_name.clone();
        let Some(limit) = self.limits.get_mut(id) else { return };
        let Some(rate) = limit.rate else { return };
        let demand = &mut limit.demand;
        demand.record(priority, demand::most_useful_permits(rate), now_ms);
        let priority = demand.priority;
        if let Some(issuer) = &mut limit.issuer {
            let (number, wanted) = (self.next_number, demand.wanted);
            self.next_number += 1;
            issuer.request(&own_name, PermitRequest { number, wanted, priority }, now_ms);
            demand.add_request(own_name, number, wanted, now_ms);
            self.issue(id, now_ms);
        }
    }

    /// Number of requests that it is worthwhile to let wait for permits of a server: a single one if
    /// the latest permit requests have yielded nothing.
    #[must_use]
    pub fn max_waiting(&self, id: &name::ServerId) -> usize {
        match self.limits.get(id) {
            Some(named_limit::Limit { rate: Some(rate), demand, .. }) if demand.unanswered <= 1 => {
                usize::try_from(demand::most_useful_permits(*rate)).unwrap_or(usize::MAX)
            }
            Some(named_limit::Limit { rate: Some(_), .. }) => 1,
            Some(named_limit::Limit { rate: None, .. }) | None => 0,
        }
    }

    /// The limit that a server names.
    #[must_use]
    pub fn rate(&self, id: &name::ServerId) -> Option<Rate> {
        self.limits.get(id).and_then(|limit| limit.rate)
    }

    /// Whether this host issues permits for a server.
    #[must_use]
    pub fn is_issuer(&self, id: &name::ServerId) -> bool {
        self.limits.get(id).is_some_and(|limit| limit.issuer.is_some())
    }

    /// Whether no server names a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.limits.values().all(|limit| limit.rate.is_none())
    }

    /// Issues and asks for permits, and returns the messages to send.
    pub fn take_messages(&mut self, now_ms: u64) -> Vec<(name::HostName, Message)> {
        let ids: Vec<_> = self.limits.keys().cloned().collect();
        for id in &ids {
            self.issue(id, now_ms);
            self.request_permits(id, now_ms);
        }
        let outbox = std::mem::take(&mut self.outbox);
        let message = |(host, id, body): (name::HostName, name::ServerId, Body)| {
            let limit = self.limits.get(&id)?;
            Some((host, limit.message(&id, body, now_ms)))
        };
        outbox.into_iter().filter_map(message).collect()
    }

    /// When messages may be due without a further event, in milliseconds.
    #[must_use]
    pub fn next_due_ms(&self, now_ms: u64) -> Option<u64> {
        if !self.outbox.is_empty() {
            return Some(now_ms);
        }
        let is_settled = self.is_settled(now_ms);
        let due_ms = |limit: &named_limit::Limit| {
            let rate = self.part_of_issuer(limit.rate?, is_settled);
            let issue_ms = limit.issuer.as_ref().and_then(|it| it.next_due_ms(rate, now_ms));
            let demand = &limit.demand;
            let request_ms = demand.is_current(now_ms).then_some(demand.next_request_ms);
            issue_ms.into_iter().chain(request_ms).min()
        };
        self.limits.values().filter_map(due_ms).min()
    }

    /// Forgets limits that ended a while ago, and those of servers that have not been known for a
    /// while.
    pub fn retain_known<F>(&mut self, is_known: F, now_ms: u64)
    where
        F: Fn(&name::ServerId) -> bool,
    {
        self.limits.retain(|id, limit| {
            if is_known(id) {
                limit.last_known_ms = now_ms;
            }
            let is_over =
                limit.rate.is_none() && now_ms >= limit.since_ms.saturating_add(RETENTION_MS);
            !is_over && now_ms < limit.last_known_ms + RETENTION_MS
        });
    }

    /// The limit of this run of a server while one is in force.
    fn limit_mut(&mut self, server: &server::BackendServer) -> Option<&mut named_limit::Limit> {
        let run = server_run::ServerRun::of(server);
        let limit = self.limits.get_mut(&server.id)?;
        (limit.rate.is_some() && !run.is_later_than(limit.run)).then_some(limit)
    }

    fn observe(
        &mut self,
        id: &name::ServerId,
        run: server_run::ServerRun,
        rate: Option<Rate>,
        sent_ms: u64,
        received_ms: u64,
        now_ms: u64,
    ) -> Change {
        let limit =
            self.limits.entry(id.clone()).or_insert_with(|| named_limit::Limit::new(run, now_ms));
        if run.is_later_than(limit.run) {
            *limit = named_limit::Limit::new(run, now_ms);
        } else if limit.run != run {
            return Change::Unchanged;
        }
        limit.last_known_ms = now_ms;
        let change = limit.observe(rate, sent_ms, received_ms);
        if change == Change::Begun {
            limit.update_role(is_issuer(&self.hosts, &self.own_name, id), now_ms);
        }
        change
    }

    /// Tells the issuers and some other hosts that a server names a limit, or no longer does. The issuers
    /// hear of another limit with the requests for permits.
    fn tell_others(&mut self, id: &name::ServerId, change: Change, from: Option<&name::HostName>) {
        let mut told = match change {
            Change::Unchanged => return,
            Change::Raised | Change::Lowered if from.is_some() => return,
            Change::Begun | Change::Raised | Change::Lowered | Change::Ended => {
                issuers(&self.hosts, id)
            }
        };
        if matches!(change, Change::Begun | Change::Ended) && !self.hosts.is_empty() {
            for _ in 0..TOLD_HOSTS {
                told.push(self.hosts[self.rng.random_range(0..self.hosts.len())].clone());
            }
        }
        told.sort();
        told.dedup();
        let others = told.into_iter().filter(|host| *host != self.own_name && Some(host) != from);
        self.outbox.extend(others.map(|host| (host, id.clone(), Body::Notice)));
    }

    /// Issues the permits that have accrued at this host.
    fn issue(&mut self, id: &name::ServerId, now_ms: u64) {
        let is_settled = self.is_settled(now_ms);
        let Some(rate) = self.rate(id).map(|rate| self.part_of_issuer(rate, is_settled)) else {
            return;
        };
        let Some(limit) = self.limits.get_mut(id) else { return };
        let Some(issuer) = &mut limit.issuer else { return };
        issuer.accrue(rate, now_ms);
        for (host, permits) in issuer.issue(now_ms) {
            if host == self.own_name {
                limit.receive_permits(&host, permits, now_ms);
            } else {
                self.outbox.push((host, id.clone(), Body::Permits(permits)));
            }
        }
    }

    /// Asks the other issuers for the permits that are wanted.
    fn request_permits(&mut self, id: &name::ServerId, now_ms: u64) {
        let Some(limit) = self.limits.get_mut(id) else { return };
        let demand = &mut limit.demand;
        if limit.rate.is_none() || !demand.is_current(now_ms) || now_ms < demand.next_request_ms {
            return;
        }
        demand.unanswered = demand.unanswered.saturating_add(1);
        demand.next_request_ms = now_ms + demand::request_interval_ms(demand.unanswered);
        let (wanted, priority) = (demand.wanted, demand.priority);
        let number = self.next_number;
        self.next_number += 1;
        let others = issuers(&self.hosts, id).into_iter().filter(|issuer| *issuer != self.own_name);
        let body = Body::PermitRequest(PermitRequest { number, wanted, priority });
        for issuer in others {
            limit.demand.add_request(issuer.clone(), number, wanted, now_ms);
            self.outbox.push((issuer, id.clone(), body));
        }
    }

    /// Whether all hosts are likely to have the same view of the registered hosts.
    fn is_settled(&self, now_ms: u64) -> bool {
        !self.has_silent_hosts && now_ms >= self.hosts_changed_ms.saturating_add(self.settling_ms)
    }

    /// The rate at which each issuer of a limit issues permits.
    fn part_of_issuer(&self, limit: Rate, is_settled: bool) -> Rate {
        let percent = if is_settled { 100 } else { UNSETTLED_PERCENT };
        let issuers = u64::try_from(self.hosts.len().clamp(1, ISSUERS)).unwrap_or(1);
        Rate::from_per_1000_s(limit.max(MIN_RATE).per_1000_s() * percent / (100 * issuers))
    }
}

/// The hosts that issue permits for a server, in the view of one host.
fn issuers(hosts: &[name::HostName], id: &name::ServerId) -> Vec<name::HostName> {
    let key = xxh3::xxh3_64(id.as_str().as_bytes());
    let weight = |host: &&name::HostName| {
        std::cmp::Reverse(xxh3::xxh3_64_with_seed(host.as_str().as_bytes(), key))
    };
    let mut ranked: Vec<_> = hosts.iter().collect();
    ranked.sort_by_cached_key(weight);
    ranked.into_iter().take(ISSUERS).cloned().collect()
}

fn is_issuer(hosts: &[name::HostName], own_name: &name::HostName, id: &name::ServerId) -> bool {
    issuers(hosts, id).contains(own_name)
}
