//! Cold servers, as their entries and responses show.

use std::collections;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use toucanwall_platform::object;
use toucanwall_platform::registration;
use toucanwall_platform::response;
use toucanwall_policy::cold_starts;
use toucanwall_policy::server_run;
use toucanwall_routing::configuration;
use toucanwall_routing::name;
use toucanwall_routing::position;
use toucanwall_routing::server;
use toucanwall_routing::settings;
use toucanwall_routing::view;

use crate::attempt;
use crate::metrics;
use crate::state;

/// Cold servers and the requests that this host may send to them.
#[derive(Debug)]
pub struct ColdStarts {
    /// `None` if the deployment has no limits for cold servers.
    bounds: Option<settings::ColdBounds>,
    known: Mutex<Known>,
}

#[derive(Debug)]
struct Known {
    policy: cold_starts::ColdStarts,
    /// Servers that were logged as cold, and not as warm since.
    cold: collections::BTreeSet<name::ServerId>,
    /// Servers of which a malformed figure was logged, and no valid one was seen since.
    malformed: collections::BTreeSet<name::ServerId>,
}

/// Whether a request may be sent to a server now, as far as cold servers go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permission {
    /// The server is not cold.
    Open,
    /// The server is cold, and the request is counted.
    Counted {
        /// When it was counted, in milliseconds.
        at_ms: u64,
    },
    /// The server is cold, and gets no request from this host now.
    Denied,
}

impl ColdStarts {
    /// Creates the state of a host that knows nothing.
    #[must_use]
    pub fn new(own_name: name::HostName, bounds: &settings::Bounds) -> Self {
        Self {
            bounds: bounds.cold_bounds,
            known: Mutex::new(Known {
                policy: cold_starts::ColdStarts::new(own_name, bounds.contact_ms),
                cold: collections::BTreeSet::new(),
                malformed: collections::BTreeSet::new(),
            }),
        }
    }

    /// Takes over what a new view says of hosts and limits. A server that gets requests again, as at the
    /// end of an evacuation, may have become cold meanwhile.
    pub fn update_view(&self, before: &view::View, after: &view::View, now_ms: u64) {
        let Some(bounds) = self.bounds else { return };
        let mut known = self.lock();
        known.policy.set_limits(limits(after, bounds));
        let hosts = after.serving_hosts().map(|host| host.name.clone());
        known.policy.set_hosts(hosts, after.store_lost_since_ms.is_some(), now_ms);
        for server in after.all_servers.values().filter(|server| has_returned(before, server)) {
            let change = known.policy.record_return(server, now_ms);
            known.log_change(server, change, "return", now_ms);
        }
    }

    /// Records what a server's entry says of how long it stays cold.
    pub fn record_entry(
        &self,
        server: &server::BackendServer,
        object: &object::Object,
        position: position::Position,
        now_ms: u64,
    ) {
        if self.bounds.is_none() {
            return;
        }
        let notice = registration::decode_cold_remaining(object);
        let mut known = self.lock();
        let remaining_ms = known.remaining_ms(&server.id, notice);
        let change = known.policy.record_entry(server, position, remaining_ms, now_ms);
        known.log_change(server, change, "entry", now_ms);
    }

    /// The servers that get no request from this host now, since they are cold.
    #[must_use]
    pub fn held_back<'a, I>(&self, servers: I, now_ms: u64) -> collections::BTreeSet<name::ServerId>
    where
        I: IntoIterator<Item = &'a Arc<server::BackendServer>>,
    {
        if self.bounds.is_none() {
            return collections::BTreeSet::new();
        }
        let known = self.lock();
        let is_held_back = |server: &&Arc<server::BackendServer>| {
            known.policy.availability(server, now_ms)
                == cold_starts::Availability::Cold { may_send: false }
        };
        servers.into_iter().filter(is_held_back).map(|server| server.id.clone()).collect()
    }

    /// Counts a request that is about to be written to a server.
    pub fn take(&self, server: &server::BackendServer, now_ms: u64) -> Permission {
        if self.bounds.is_none() {
            return Permission::Open;
        }
        let mut known = self.lock();
        match known.policy.availability(server, now_ms) {
            cold_starts::Availability::Open => Permission::Open,
            cold_starts::Availability::Cold { .. } if known.policy.take(server, now_ms) => {
                Permission::Counted { at_ms: now_ms }
            }
            cold_starts::Availability::Cold { .. } => Permission::Denied,
        }
    }

    /// Takes back a request of which nothing was written.
    pub fn give_back(&self, id: &name::ServerId, permission: Permission) {
        if let Permission::Counted { at_ms } = permission {
            self.lock().policy.give_back(id, at_ms);
        }
    }

    /// Logs the servers that have become warm, counts the cold ones, and forgets servers that have not
    /// been known for a while.
    pub fn tick<F>(&self, metrics: &metrics::Metrics, is_known: F, now_ms: u64)
    where
        F: Fn(&name::ServerId) -> bool,
    {
        if self.bounds.is_none() {
            return;
        }
        let known = &mut *self.lock();
        known.policy.retain_known(&is_known, now_ms);
        known.malformed.retain(&is_known);
        let mut all_cold = collections::BTreeSet::new();
        for (service, cold) in known.policy.cold_servers(now_ms) {
            let cold: Vec<_> = cold.into_iter().filter(|id| is_known(id)).collect();
            metrics.set_cold_servers(service, cold.len());
            all_cold.extend(cold.into_iter().cloned());
        }
        for id in known.cold.difference(&all_cold) {
            log::info!(target: "toucanwall", server = id.as_str(); "server is no longer cold");
        }
        for id in all_cold.difference(&known.cold) {
            log::info!(target: "toucanwall", server = id.as_str(); "server is cold");
        }
        known.cold = all_cold;
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Known {
    /// The time in a notice. The first of several malformed ones of a server is logged: it may be
    /// repeated with each entry and each response.
    fn remaining_ms(&mut self, id: &name::ServerId, notice: response::ColdNotice) -> Option<u64> {
        match notice {
            response::ColdNotice::Absent => None,
            response::ColdNotice::RemainingMs(remaining_ms) => {
                self.malformed.remove(id);
                Some(remaining_ms)
            }
            response::ColdNotice::Malformed => {
                if self.malformed.insert(id.clone()) {
                    log::warn!(
                        target: "toucanwall", server = id.as_str();
                        "malformed time for which a server stays cold ignored"
                    );
                }
                None
            }
        }
    }

    fn log_change(
        &mut self,
        server: &server::BackendServer,
        change: cold_starts::Change,
        source: &'static str,
        now_ms: u64,
    ) {
        let (id, service) = (server.id.as_str(), server.service.as_str());
        match change {
            cold_starts::Change::Cold => {
                self.cold.insert(server.id.clone());
                let is_sender = self.policy.is_sender(server, now_ms);
                log::info!(
                    target: "toucanwall", server = id, service = service, source = source,
                    is_sender = is_sender; "server is cold"
                );
            }
            cold_starts::Change::Warm => {
                self.cold.remove(&server.id);
                log::info!(
                    target: "toucanwall", server = id, service = service, source = source;
                    "server is no longer cold"
                );
            }
            cold_starts::Change::Unchanged => {}
        }
    }
}

/// Records what the response to a request says of how long its server stays cold.
pub fn record_response(
    state: &state::GatewayState,
    in_flight: &attempt::InFlight,
    head: &response::Head,
) {
    let cold_starts = &state.cold_starts;
    // With 421 another server answers.
    let is_of_server = head.status != hyper::StatusCode::MISDIRECTED_REQUEST
        && head.is_sealed
        && head.matches_attempt == Some(true);
    if cold_starts.bounds.is_none() || !is_of_server || head.cold == response::ColdNotice::Absent {
        return;
    }
    let server = &in_flight.server;
    let mut known = cold_starts.lock();
    if let Some(remaining_ms) = known.remaining_ms(&server.id, head.cold) {
        let now_ms = state.clock.now_ms();
        let change = known.policy.record_response(server, remaining_ms, now_ms);
        known.log_change(server, change, "response", now_ms);
    }
}

/// The limits of cold servers in the configuration of a view.
fn limits(
    view: &view::View,
    bounds: settings::ColdBounds,
) -> collections::BTreeMap<name::ServiceName, cold_starts::Limit> {
    let services = view.configuration.iter().flat_map(|configuration| configuration.services());
    let limit = |service: &Arc<configuration::Service>| {
        let cold = service.cold_start?;
        let limit =
            cold_starts::Limit::new(cold.start_ms, cold.per_s, bounds.overshoot, bounds.tolerance)?;
        Some((service.name.clone(), limit))
    };
    services.filter_map(limit).collect()
}

/// Whether a run of a server accepts requests in a view that follows one in which it did not.
fn has_returned(before: &view::View, server: &server::BackendServer) -> bool {
    let former = before.all_servers.get(&server.id);
    server.readiness == server::Readiness::Ready
        && former.is_some_and(|former| {
            former.readiness == server::Readiness::Draining
                && server_run::ServerRun::of(former) == server_run::ServerRun::of(server)
        })
}
