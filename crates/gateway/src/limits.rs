//! Limits that servers name, as their responses show and as hosts tell each other.

use std::collections;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic;
use std::time;

use toucanwall_platform::response;
use toucanwall_policy::server_limits;
use toucanwall_routing::name;
use toucanwall_routing::server;

use crate::attempt;
use crate::state;

/// Longest time for which a request waits for a permit if no server takes it without one, in
/// milliseconds.
pub const MAX_WAIT_MS: u64 = 150;

/// The limits that servers name, and the requests that wait for permits.
#[derive(Debug)]
pub struct Limits {
    known: Mutex<server_limits::ServerLimits>,
    waiting: Mutex<collections::BTreeMap<name::ServerId, collections::BTreeSet<Place>>>,
    next_place: atomic::AtomicU64,
    /// Wakes the requests that wait for permits.
    issued: tokio::sync::Notify,
    /// Wakes the control thread, which has messages to send.
    has_messages: tokio::sync::Notify,
}

/// Place of a request among those that wait for permits: by priority, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    priority: u32,
    number: u64,
}

/// Keeps a request's place until it is dropped.
#[derive(Debug)]
pub struct Waiting {
    limits: Arc<Limits>,
    server: name::ServerId,
    place: Place,
}

/// Whether a request may be sent to a server, as far as the server's limit goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permission {
    /// The server names no limit.
    Unlimited,
    /// With this permit.
    Permitted(server_limits::Permit),
    /// There is no permit.
    Denied,
}

impl Limits {
    /// Creates the limits of a host that knows of none.
    #[must_use]
    pub fn new(own_name: name::HostName, settling_ms: u64, seed: u64) -> Self {
        Self {
            known: Mutex::new(server_limits::ServerLimits::new(own_name, settling_ms, seed)),
            waiting: Mutex::default(),
            next_place: atomic::AtomicU64::new(0),
            issued: tokio::sync::Notify::new(),
            has_messages: tokio::sync::Notify::new(),
        }
    }

    /// A place behind all requests of the same priority that wait already.
    pub fn new_place(&self, priority: u32) -> Place {
        Place { priority, number: self.next_place.fetch_add(1, atomic::Ordering::Relaxed) }
    }

    /// The servers for which there is no permit, or none that is left for a request with this place.
    #[must_use]
    pub fn exhausted<'a, I>(
        &self,
        servers: I,
        place: Place,
        now_ms: u64,
    ) -> collections::BTreeSet<name::ServerId>
    where
        I: IntoIterator<Item = &'a Arc<server::BackendServer>>,
    {
        let mut limits = self.lock();
        if limits.is_empty() {
            return collections::BTreeSet::new();
        }
        let waiting = self.lock_waiting();
        let is_exhausted =
            |server: &&Arc<server::BackendServer>| match limits.availability(server, now_ms) {
                server_limits::Availability::Unlimited => false,
                server_limits::Availability::Exhausted => true,
                server_limits::Availability::Permitted { permits } => {
                    permits <= places_before(&waiting, &server.id, place)
                }
            };
        servers.into_iter().filter(is_exhausted).map(|server| server.id.clone()).collect()
    }

    /// Takes a permit for a request that is about to be sent, unless the one that it has still holds.
    pub fn take_permit(
        &self,
        server: &server::BackendServer,
        held: Option<server_limits::Permit>,
        now_ms: u64,
    ) -> Permission {
        let mut limits = self.lock();
        if limits.is_empty()
            || limits.availability(server, now_ms) == server_limits::Availability::Unlimited
        {
            return Permission::Unlimited;
        }
        let held = held.filter(|permit| permit.is_valid(now_ms));
        held.or_else(|| limits.take_permit(&server.id, now_ms))
            .map_or(Permission::Denied, Permission::Permitted)
    }

    /// Records that a request would be sent to a server if there were a permit for it.
    pub fn record_demand(&self, id: &name::ServerId, priority: u32, now_ms: u64) {
        self.lock().record_demand(id, priority, now_ms);
        self.has_messages.notify_one();
    }

    /// Lets a request wait for permits of a server, unless so many wait that it has no prospect.
    pub fn begin_wait(self: &Arc<Self>, id: &name::ServerId, place: Place) -> Option<Waiting> {
        let max_waiting = self.lock().max_waiting(id);
        let mut waiting = self.lock_waiting();
        if places_before(&waiting, id, place) >= max_waiting {
            return None;
        }
        waiting.entry(id.clone()).or_default().insert(place);
        Some(Waiting { limits: Arc::clone(self), server: id.clone(), place })
    }

    /// Replaces the registered hosts, some of which may not answer.
    pub fn set_hosts<I>(&self, hosts: I, has_silent_hosts: bool, now_ms: u64)
    where
        I: IntoIterator<Item = name::HostName>,
    {
        self.lock().set_hosts(hosts, has_silent_hosts, now_ms);
    }

    /// Handles a message of another host.
    pub fn receive(&self, from: &name::HostName, message: &server_limits::Message, now_ms: u64) {
        let (former, change, limit) = {
            let mut limits = self.lock();
            let former = limits.rate(&message.server);
            let change = limits.receive(from, message, now_ms);
            (former, change, limits.rate(&message.server))
        };
        log_change(&message.server, from.as_str(), change, former, limit);
        self.issued.notify_waiters();
    }

    /// Takes the messages that are due.
    #[must_use]
    pub fn take_messages(&self, now_ms: u64) -> Vec<(name::HostName, server_limits::Message)> {
        let mut limits = self.lock();
        if limits.next_due_ms(now_ms).is_none_or(|due_ms| now_ms < due_ms) {
            return Vec::new();
        }
        let messages = limits.take_messages(now_ms);
        self.issued.notify_waiters();
        messages
    }

    /// When messages may be due without a further event, in milliseconds.
    #[must_use]
    pub fn next_due_ms(&self, now_ms: u64) -> Option<u64> {
        self.lock().next_due_ms(now_ms)
    }

    /// Waits until there may be messages to send.
    pub async fn has_messages(&self) {
        self.has_messages.notified().await;
    }

    /// Forgets the limits of servers that have not been known for a while.
    pub fn retain_known<F>(&self, is_known: F, now_ms: u64)
    where
        F: Fn(&name::ServerId) -> bool,
    {
        self.lock().retain_known(is_known, now_ms);
    }

    fn lock(&self) -> MutexGuard<'_, server_limits::ServerLimits> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_waiting(
        &self,
    ) -> MutexGuard<'_, collections::BTreeMap<name::ServerId, collections::BTreeSet<Place>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Waiting {
    /// Waits until permits may have been issued, for `timeout` at most.
    pub async fn wait(&self, timeout: time::Duration) {
        let issued = self.limits.issued.notified();
        // The request looks for a permit again in either case.
        drop(tokio::time::timeout(timeout, issued).await);
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let mut waiting = self.limits.lock_waiting();
        if let Some(places) = waiting.get_mut(&self.server) {
            places.remove(&self.place);
            if places.is_empty() {
                waiting.remove(&self.server);
            }
        }
    }
}

/// Records what the response to a request says of its server's limit.
pub fn record_response(
    state: &state::GatewayState,
    in_flight: &attempt::InFlight,
    request: &str,
    head: &response::Head,
) {
    state.metrics.record_limit_notice(head.limit);
    let server = &in_flight.server;
    // With 421 another server answers.
    let is_of_server = head.status != hyper::StatusCode::MISDIRECTED_REQUEST;
    let rate = match head.limit {
        response::LimitNotice::PerThousandSeconds(per_1000_s) if is_of_server => {
            Some(server_limits::Rate::from_per_1000_s(per_1000_s))
        }
        response::LimitNotice::Absent
            if is_of_server && head.is_sealed && head.matches_attempt == Some(true) =>
        {
            None
        }
        response::LimitNotice::Malformed => {
            log::warn!(
                target: "toucanwall", request = request, server = server.id.as_str();
                "malformed limit ignored"
            );
            return;
        }
        response::LimitNotice::Absent | response::LimitNotice::PerThousandSeconds(_) => return,
    };
    let (former, change) = {
        let mut limits = state.limits.lock();
        let former = limits.rate(&server.id);
        let now_ms = state.clock.now_ms();
        (former, limits.record_response(server, rate, in_flight.sent_at_ms(), now_ms))
    };
    log_change(&server.id, request, change, former, rate);
    if change != server_limits::Change::Unchanged {
        state.limits.has_messages.notify_one();
        state.limits.issued.notify_waiters();
    }
}

fn log_change(
    server: &name::ServerId,
    source: &str,
    change: server_limits::Change,
    former: Option<server_limits::Rate>,
    limit: Option<server_limits::Rate>,
) {
    if change != server_limits::Change::Unchanged {
        log::info!(
            target: "toucanwall", server = server.as_str(), source = source, change:? = change,
            former_per_1000_s = former.map(server_limits::Rate::per_1000_s),
            per_1000_s = limit.map(server_limits::Rate::per_1000_s);
            "limit of a server"
        );
    }
}

/// Number of requests that wait for permits of a server before a place.
fn places_before(
    waiting: &collections::BTreeMap<name::ServerId, collections::BTreeSet<Place>>,
    id: &name::ServerId,
    place: Place,
) -> usize {
    waiting.get(id).map_or(0, |places| places.range(..place).count())
}
