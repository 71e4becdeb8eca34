//! The deployment state that a host builds up from the store's changes.

use std::collections;
use std::sync::Arc;

use crate::configuration;
use crate::evacuations;
use crate::first_lists;
use crate::host;
use crate::name;
use crate::position;
use crate::rollout;
use crate::rollout_log;
use crate::server;
use crate::view;

/// Time after the store's return in which servers whose entries expired during the outage register
/// again, in milliseconds; guaranteed by the platform.
pub const REREGISTRATION_GRACE_MS: u64 = 2_000;
/// Time for which the departure of a server is remembered, in milliseconds: longer than a copy from
/// which the store is restored may be old.
const DEPARTURE_RETENTION_MS: u64 = 120_000;

/// The deployment state as one host knows it.
///
/// The configuration version never decreases. If a server's entry vanishes during an outage of the
/// store or up to [`REREGISTRATION_GRACE_MS`] after it, the server is kept until that time has
/// passed, since it could not renew its entry.
///
/// A store that is restored from a copy lacks what was written since, and shows again what was removed.
/// Until all writers had time to write again, servers, hosts and roll-outs that it lacks are kept, and
/// servers that had left are not used although it shows them.
#[derive(Debug, Default)]
pub struct LocalState {
    configuration: Option<Arc<configuration::Configuration>>,
    servers: Option<collections::BTreeMap<name::ServerId, ServerEntry>>,
    rollouts: rollout_log::RolloutLog,
    hosts: Option<collections::BTreeMap<name::HostName, Arc<host::HostEntry>>>,
    /// Hosts that the restored store does not show.
    missing_hosts: collections::BTreeSet<name::HostName>,
    /// Servers whose entries were removed, with the time of the removal.
    departed: collections::BTreeMap<name::ServerId, Departure>,
    restoration: Option<Restoration>,
    /// Versions of which servers are known, by service.
    versions: collections::BTreeMap<(name::ServiceName, name::Version), VersionEntry>,
    /// Position up to which roll-outs are known.
    rollouts_position: position::Position,
    /// Longest time for which a version, or a starting host, waits for knowledge of roll-outs, in
    /// milliseconds.
    rollout_wait_ms: u64,
    first_lists: first_lists::FirstLists,
    silent_hosts: collections::BTreeSet<name::HostName>,
    evacuations: evacuations::Evacuations,
    store: StoreState,
}

#[derive(Debug)]
struct ServerEntry {
    server: Arc<server::BackendServer>,
    is_missing: bool,
    /// Whether the server had left before the store was restored from a copy that still holds its
    /// entry.
    has_departed: bool,
}

impl ServerEntry {
    /// The server as this host uses it.
    fn current(&self, evacuations: &evacuations::Evacuations) -> Arc<server::BackendServer> {
        if self.has_departed || evacuations.includes(&self.server.data_centre) {
            let readiness = server::Readiness::Draining;
            return Arc::new(server::BackendServer { readiness, ..(*self.server).clone() });
        }
        Arc::clone(&self.server)
    }
}

/// A run of a server whose entry was removed.
#[derive(Debug)]
struct Departure {
    server: Arc<server::BackendServer>,
    at_ms: u64,
}

/// A version of a service's servers.
#[derive(Debug)]
struct VersionEntry {
    /// Position at which the first server of the version was registered.
    registered: position::Position,
    /// Until when it may wait for knowledge of roll-outs, in milliseconds.
    waits_until_ms: u64,
    /// Whether roll-outs are known up to the registration, or the wait is over.
    is_covered: bool,
}

/// Until when a restored store is not taken at its word, in milliseconds.
#[derive(Debug, Clone, Copy)]
struct Restoration {
    /// End of the time in which hosts register again.
    hosts_until_ms: u64,
    /// End of the time in which the entries of servers that had left expire.
    servers_until_ms: u64,
}

/// Times that the writers of a restored store need, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RewriteTimes {
    /// Time in which hosts register again.
    pub hosts_ms: u64,
    /// Time in which the entry of a server that does not renew it expires.
    pub server_expiry_ms: u64,
}

/// Availability of the platform's store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum StoreState {
    #[default]
    Available,
    LostSince(u64),
    RecoveredSince(u64),
}

/// The outcome of [`LocalState::apply_configuration`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigurationUpdate {
    /// The configuration is in force.
    InForce,
    /// The configuration was ignored: one of the same or a newer version is in force.
    Outdated,
}

/// The outcome of [`LocalState::remove_server`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Removal {
    /// The server was removed.
    Gone,
    /// The server is kept for now, since the store was unavailable.
    Kept,
    /// No such server was known.
    Unknown,
}

/// A server's entry in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Registration {
    /// The server.
    pub server: server::BackendServer,
    /// Position at which the entry was created.
    pub created: position::Position,
}

/// What was dropped or changed because it did not reappear in the store in time.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Expired {
    /// Servers that were removed.
    pub servers: Vec<name::ServerId>,
    /// Hosts that were removed.
    pub hosts: Vec<name::HostName>,
    /// Services whose roll-outs were removed.
    pub rollouts: Vec<name::ServiceName>,
    /// Servers that had left before the store was restored, whose entries were renewed since.
    pub departures: Vec<name::ServerId>,
    /// Versions that are used although it is not known whether they are rolled out.
    pub versions: Vec<(name::ServiceName, name::Version)>,
    /// Data centres whose evacuation the restored store does not show.
    pub evacuations: Vec<name::DataCentre>,
    /// Lists that are awaited no longer before requests are taken.
    pub lists: Vec<first_lists::List>,
}

impl Expired {
    /// Whether nothing was dropped or changed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

impl LocalState {
    /// Creates an empty state. Servers of a version that is new to this host get no requests until
    /// roll-outs are known up to their registration, and the host itself takes none until it has its
    /// first lists, for `rollout_wait_ms` at most.
    #[must_use]
    pub fn new(rollout_wait_ms: u64) -> Self {
        Self { rollout_wait_ms, ..Self::default() }
    }

    /// Puts a configuration in force, unless one of the same or a newer version already is.
    pub fn apply_configuration(
        &mut self,
        configuration: configuration::Configuration,
    ) -> ConfigurationUpdate {
        let in_force = self.configuration.as_ref().map(|known| known.version());
        if in_force.is_some_and(|version| version >= configuration.version()) {
            return ConfigurationUpdate::Outdated;
        }
        self.configuration = Some(Arc::new(configuration));
        ConfigurationUpdate::InForce
    }

    /// Version of the configuration in force.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.configuration.as_ref().map(|configuration| configuration.version())
    }

    /// Replaces the list of servers; those that are not in it are treated as removed.
    pub fn replace_servers(&mut self, servers: Vec<Registration>, now_ms: u64) {
        let retains_missing = self.retains_missing(now_ms);
        let known = self.servers.get_or_insert_default();
        let listed: collections::BTreeSet<name::ServerId> =
            servers.iter().map(|it| it.server.id.clone()).collect();
        for (id, entry) in known.iter_mut() {
            entry.is_missing = !listed.contains(id);
        }
        if !retains_missing {
            self.remove_missing_servers(now_ms);
        }
        for registration in servers {
            let has_departed = self.has_departed(&registration.server, now_ms);
            self.insert_server(registration, has_departed, now_ms);
        }
        self.forget_versions();
    }

    /// Adds or replaces a server that has written its entry.
    pub fn put_server(&mut self, registration: Registration, now_ms: u64) {
        self.departed.remove(&registration.server.id);
        self.insert_server(registration, false, now_ms);
        self.forget_versions();
    }

    fn insert_server(&mut self, registration: Registration, has_departed: bool, now_ms: u64) {
        let Registration { server, created } = registration;
        let key = (server.service.clone(), server.version.clone());
        self.versions.entry(key).or_insert_with(|| VersionEntry {
            registered: created,
            waits_until_ms: now_ms.saturating_add(self.rollout_wait_ms),
            is_covered: created <= self.rollouts_position,
        });
        let known = self.servers.get_or_insert_default();
        let id = server.id.clone();
        let entry = ServerEntry { server: Arc::new(server), is_missing: false, has_departed };
        known.insert(id, entry);
    }

    /// Whether a listed server is a run that had left before the store was restored.
    fn has_departed(&self, server: &server::BackendServer, now_ms: u64) -> bool {
        let is_restoring = self.restoration.is_some_and(|it| now_ms < it.servers_until_ms);
        let departure = self.departed.get(&server.id).filter(|_| is_restoring);
        departure.is_some_and(|it| {
            it.server.address == server.address
                && it.server.started_unix_ms == server.started_unix_ms
        })
    }

    /// Removes the servers whose entries are missing; returns their ids.
    fn remove_missing_servers(&mut self, now_ms: u64) -> Vec<name::ServerId> {
        let Some(known) = self.servers.as_mut() else { return Vec::new() };
        let gone: Vec<_> = known.extract_if(.., |_, entry| entry.is_missing).collect();
        let departures = gone.iter().map(|(id, entry)| {
            (id.clone(), Departure { server: Arc::clone(&entry.server), at_ms: now_ms })
        });
        self.departed.extend(departures);
        gone.into_iter().map(|(id, _)| id).collect()
    }

    /// Handles the removal of a server's entry from the store.
    pub fn remove_server(&mut self, id: &str, now_ms: u64) -> Removal {
        let retains_missing = self.retains_missing(now_ms);
        let Some(known) = self.servers.as_mut().filter(|known| known.contains_key(id)) else {
            return Removal::Unknown;
        };
        if retains_missing {
            if let Some(entry) = known.get_mut(id) {
                entry.is_missing = true;
            }
            return Removal::Kept;
        }
        if let Some(entry) = known.get_mut(id) {
            entry.is_missing = true;
        }
        self.remove_missing_servers(now_ms);
        self.forget_versions();
        Removal::Gone
    }

    /// Records that roll-outs are known up to a position.
    pub fn set_rollouts_position(&mut self, position: position::Position) {
        self.rollouts_position = self.rollouts_position.max(position);
        for entry in self.versions.values_mut() {
            entry.is_covered |= entry.registered <= self.rollouts_position;
        }
    }

    /// Forgets the versions of which no server is known.
    fn forget_versions(&mut self) {
        let servers = self.servers.iter().flat_map(collections::BTreeMap::values);
        let used: collections::BTreeSet<_> =
            servers.map(|it| (it.server.service.clone(), it.server.version.clone())).collect();
        self.versions.retain(|key, _| used.contains(key));
    }

    /// Whether it is known whether the server's version is rolled out.
    fn is_covered(&self, server: &server::BackendServer) -> bool {
        let key = (server.service.clone(), server.version.clone());
        self.versions.get(&key).is_none_or(|entry| entry.is_covered)
            || self.rollouts.target_of(&server.service) == Some(&server.version)
    }

    /// Records that the store was restored from a copy.
    pub fn store_restored(&mut self, now_ms: u64, times: RewriteTimes) {
        if matches!(self.store, StoreState::Available | StoreState::RecoveredSince(_)) {
            self.store = StoreState::RecoveredSince(now_ms);
        }
        self.restoration = Some(Restoration {
            hosts_until_ms: now_ms.saturating_add(times.hosts_ms),
            servers_until_ms: now_ms.saturating_add(times.server_expiry_ms),
        });
        self.rollouts.store_restored(now_ms, times.hosts_ms);
    }

    /// Records that the store does not answer.
    pub fn store_failed(&mut self, now_ms: u64) {
        if !matches!(self.store, StoreState::LostSince(_)) {
            self.store = StoreState::LostSince(now_ms);
        }
    }

    /// Records that the store answers.
    pub fn store_answered(&mut self, now_ms: u64) {
        if matches!(self.store, StoreState::LostSince(_)) {
            self.store = StoreState::RecoveredSince(now_ms);
        }
    }

    /// Advances the clock; removes and returns what did not reappear in time.
    pub fn tick(&mut self, now_ms: u64) -> Expired {
        let mut expired = Expired::default();
        if let StoreState::RecoveredSince(since_ms) = self.store
            && now_ms >= since_ms + REREGISTRATION_GRACE_MS
        {
            self.store = StoreState::Available;
            expired.servers = self.remove_missing_servers(now_ms);
            self.forget_versions();
        }
        for (key, entry) in &mut self.versions {
            if !entry.is_covered && now_ms >= entry.waits_until_ms {
                entry.is_covered = true;
                expired.versions.push(key.clone());
            }
        }
        if self.configuration.is_some() && self.servers.is_some() {
            expired.lists = self.first_lists.tick(now_ms, self.rollout_wait_ms);
        }
        expired.rollouts = self.rollouts.tick(now_ms);
        self.departed.retain(|_, departure| now_ms < departure.at_ms + DEPARTURE_RETENTION_MS);
        if let Some(restoration) = self.restoration {
            if now_ms >= restoration.hosts_until_ms {
                expired.hosts = self.remove_missing_hosts();
                expired.evacuations = self.evacuations.remove_missing();
            }
            if now_ms >= restoration.servers_until_ms {
                expired.departures = self.readmit_departed_servers();
            }
            if now_ms >= restoration.hosts_until_ms.max(restoration.servers_until_ms) {
                self.restoration = None;
            }
        }
        expired
    }

    fn remove_missing_hosts(&mut self) -> Vec<name::HostName> {
        let missing = std::mem::take(&mut self.missing_hosts);
        if let Some(hosts) = &mut self.hosts {
            hosts.retain(|name, _| !missing.contains(name));
        }
        missing.into_iter().collect()
    }

    /// Uses servers again that had left before the store was restored: by now, the entry of a server
    /// that does not renew it has expired.
    fn readmit_departed_servers(&mut self) -> Vec<name::ServerId> {
        let entries = self.servers.iter_mut().flatten();
        let departed = entries.filter(|(_, entry)| entry.has_departed);
        let readmitted = departed.map(|(id, entry)| {
            entry.has_departed = false;
            id.clone()
        });
        readmitted.collect()
    }

    /// Adds or replaces a roll-out.
    pub fn put_rollout(&mut self, rollout: rollout::Rollout) {
        self.rollouts.put(rollout);
    }

    /// Replaces the list of roll-outs.
    pub fn replace_rollouts(&mut self, rollouts: Vec<rollout::Rollout>) {
        self.first_lists.record(first_lists::List::Rollouts);
        self.rollouts.replace(rollouts);
    }

    /// Records that the reports of crashes, which are kept elsewhere, were listed.
    pub fn record_crash_reports(&mut self) {
        self.first_lists.record(first_lists::List::CrashReports);
    }

    /// Lets the host take requests only once it has the list of evacuations.
    #[must_use]
    pub fn await_evacuations(mut self) -> Self {
        self.first_lists.await_list(first_lists::List::Evacuations);
        self
    }

    /// Records that a data centre is evacuated; returns whether that is news.
    pub fn put_evacuation(&mut self, data_centre: name::DataCentre) -> bool {
        self.evacuations.put(data_centre)
    }

    /// Records that the evacuation of a data centre was taken back; returns whether that is news.
    pub fn remove_evacuation(&mut self, data_centre: &name::DataCentre) -> bool {
        self.evacuations.remove(data_centre)
    }

    /// Number of data centres that are known to be evacuated.
    #[must_use]
    pub fn evacuated_count(&self) -> usize {
        self.evacuations.count()
    }

    /// Replaces the list of evacuations. A restored store may lack some that operators write again.
    pub fn replace_evacuations(
        &mut self,
        evacuated: collections::BTreeSet<name::DataCentre>,
        now_ms: u64,
    ) {
        self.first_lists.record(first_lists::List::Evacuations);
        let retains_missing = self.restoration.is_some_and(|it| now_ms < it.hosts_until_ms);
        self.evacuations.replace(evacuated, retains_missing);
    }

    /// Removes the roll-out of a service.
    pub fn remove_rollout(&mut self, service: &str) {
        self.rollouts.remove(service);
    }

    /// The roll-outs of which the store shows less progress than this host knows.
    pub fn unstored_rollouts(&self) -> impl Iterator<Item = &Arc<rollout::Rollout>> {
        self.rollouts.unstored()
    }

    /// Adds or replaces a host.
    pub fn put_host(&mut self, host: host::HostEntry) {
        self.missing_hosts.remove(&host.name);
        self.hosts.get_or_insert_default().insert(host.name.clone(), Arc::new(host));
    }

    /// Replaces the list of hosts.
    pub fn replace_hosts(&mut self, hosts: Vec<host::HostEntry>, now_ms: u64) {
        let retains_missing = self.restoration.is_some_and(|it| now_ms < it.hosts_until_ms);
        let former = self.hosts.replace(collections::BTreeMap::new()).unwrap_or_default();
        self.missing_hosts.clear();
        for host in hosts {
            self.put_host(host);
        }
        if !retains_missing {
            return;
        }
        let known = self.hosts.get_or_insert_default();
        for (name, host) in former {
            if !known.contains_key(&name) {
                known.insert(name.clone(), host);
                self.missing_hosts.insert(name);
            }
        }
    }

    /// The registered hosts, or `None` until they have been listed.
    #[must_use]
    pub fn hosts(&self) -> Option<&collections::BTreeMap<name::HostName, Arc<host::HostEntry>>> {
        self.hosts.as_ref()
    }

    /// Replaces the set of hosts that do not answer this one; returns whether it has changed.
    pub fn set_silent_hosts(&mut self, silent: collections::BTreeSet<name::HostName>) -> bool {
        let has_changed = self.silent_hosts != silent;
        self.silent_hosts = silent;
        has_changed
    }

    /// Whether the store has not answered since it was last reported as lost.
    #[must_use]
    pub fn is_store_lost(&self) -> bool {
        matches!(self.store, StoreState::LostSince(_))
    }

    /// Removes a host.
    pub fn remove_host(&mut self, name: &str) {
        self.missing_hosts.remove(name);
        if let Some(hosts) = &mut self.hosts {
            hosts.remove(name);
        }
    }

    /// Whether the store shows a host that is kept.
    #[must_use]
    pub fn is_host_stored(&self, name: &name::HostName) -> bool {
        !self.missing_hosts.contains(name)
            && self.hosts.as_ref().is_some_and(|hosts| hosts.contains_key(name))
    }

    /// Creates a snapshot of the state.
    #[must_use]
    pub fn view(&self) -> view::View {
        let entries = self.servers.iter().flatten();
        let known: collections::BTreeMap<_, _> =
            entries.map(|(id, entry)| (id.clone(), entry.current(&self.evacuations))).collect();
        let mut servers: collections::BTreeMap<name::ServiceName, Vec<_>> =
            collections::BTreeMap::new();
        for server in known.values() {
            if server.readiness == server::Readiness::Ready {
                servers.entry(server.service.clone()).or_default().push(Arc::clone(server));
            }
        }
        for ready in servers.values_mut() {
            if ready.iter().any(|server| self.is_covered(server)) {
                ready.retain(|server| self.is_covered(server));
            }
        }
        view::View {
            configuration: self.configuration.clone(),
            store_lost_since_ms: match self.store {
                StoreState::LostSince(since_ms) => Some(since_ms),
                StoreState::Available | StoreState::RecoveredSince(_) => None,
            },
            has_lists: self.servers.is_some() && self.first_lists.are_complete(),
            ready_servers: Arc::new(servers),
            all_servers: Arc::new(known),
            rollouts: Arc::new(self.rollouts.all()),
            hosts: Arc::new(self.hosts.clone().unwrap_or_default()),
            silent_hosts: Arc::new(self.silent_hosts.clone()),
        }
    }

    fn retains_missing(&self, now_ms: u64) -> bool {
        match self.store {
            StoreState::Available => false,
            StoreState::LostSince(_) => true,
            StoreState::RecoveredSince(since_ms) => now_ms < since_ms + REREGISTRATION_GRACE_MS,
        }
    }
}
