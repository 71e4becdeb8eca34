//! The control thread: follows the platform's store, publishes views and advances roll-outs.

use std::collections;
use std::net;
use std::panic;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time;

use rand::RngExt as _;
use toucanwall_platform::era;
use toucanwall_platform::object;
use toucanwall_platform::operator;
use toucanwall_platform::registration;
use toucanwall_platform::store;
use toucanwall_policy::canary;
use toucanwall_policy::relay as policy_relay;
use toucanwall_policy::server_notices;
use toucanwall_routing::host;
use toucanwall_routing::local_state;
use toucanwall_routing::name;
use toucanwall_routing::position;
use toucanwall_routing::rollout;
use toucanwall_routing::server;
use toucanwall_routing::settings;
use toucanwall_routing::view;

use crate::change_feed;
use crate::clock;
use crate::cold_starts;
use crate::crashes;
use crate::datagrams;
use crate::ingress;
use crate::limits;
use crate::metrics;
use crate::peers;
use crate::relay;
use crate::rollouts;
use crate::store_event;
use crate::store_writer;
use crate::view_log;

/// Interval at which expired servers and pending roll-out steps are checked, in milliseconds.
const TICK_INTERVAL_MS: u64 = 100;
/// Time after which a roll-out state is written again if the store has not reported it, in
/// milliseconds.
const REWRITE_AFTER_MS: u64 = 700;
/// Longest random delay before a host writes that a part of prompts is blocked, for each host that
/// may write it, in milliseconds.
const BLOCK_DELAY_PER_HOST_MS: u64 = 5;
/// Longest such delay however many hosts there are, in milliseconds.
const BLOCK_DELAY_MAX_MS: u64 = 1_500;
/// Interval at which expired crash reports are looked for, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 60_000;
/// Longest time for which the control thread waits without messages about limits, in milliseconds.
const MAX_LIMITS_WAIT_MS: u64 = 60_000;
/// Time after which this host's entry is written again if the store has not shown it, in
/// milliseconds: longer than a write and the batching delay for changes of hosts.
const REREGISTER_AFTER_MS: u64 = 1_500;
/// Longest random delay before a host writes its entry again, or the state of a roll-out, for each
/// host, in milliseconds. The store loses those of many hosts at once.
const REWRITE_DELAY_PER_HOST_MS: u64 = 5;
/// Longest such delay however many hosts there are, in milliseconds.
const REWRITE_DELAY_MAX_MS: u64 = 1_000;
/// Number of heartbeats after which the platform removes the entry of a silent server, and one that
/// may be under way.
const SERVER_EXPIRY_HEARTBEATS: u64 = 4;

/// Dependencies of the control thread.
#[derive(Debug)]
pub struct Inputs {
    /// Settings of the host.
    pub settings: Arc<settings::Settings>,
    /// This host's entry in the store.
    pub host: host::HostEntry,
    /// The monotonic clock.
    pub clock: clock::Clock,
    /// Channel on which views are published.
    pub views: tokio::sync::watch::Sender<Arc<view::View>>,
    /// What the backend servers have said of themselves, shared with the traffic thread.
    pub notices: Arc<Mutex<server_notices::ServerNotices>>,
    /// Limits that servers name, shared with the traffic thread.
    pub limits: Arc<limits::Limits>,
    /// Cold servers, shared with the traffic thread.
    pub cold_starts: Arc<cold_starts::ColdStarts>,
    /// Requests under which servers ended, shared with the traffic thread.
    pub crashes: Arc<crashes::Crashes>,
    /// Roll-outs known to this host, shared with the traffic thread.
    pub rollouts: Arc<rollouts::Rollouts>,
    /// Metrics of the host.
    pub metrics: Arc<metrics::Metrics>,
}

/// A command to the control thread.
#[derive(Debug)]
pub enum Command {
    /// Announce to the other hosts that this one is stopping.
    AnnounceStop,
    /// Remove this host's entry from the store and signal completion.
    RemoveHost(tokio::sync::oneshot::Sender<()>),
}

/// Sender of commands to the control thread.
pub type Commands = tokio::sync::mpsc::UnboundedSender<Command>;

/// Starts the control thread.
///
/// Other hosts connect to `peer_listener` to receive store events, and send datagrams to
/// `datagram_socket`.
///
/// # Errors
/// The thread cannot be started.
pub fn start(
    inputs: Inputs,
    peer_listener: net::TcpListener,
    datagram_socket: net::UdpSocket,
) -> std::io::Result<Commands> {
    let (sender, receiver) = tokio::sync::mpsc::unbounded_channel();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let (peer_listener, datagram_socket) = {
        let _guard = runtime.enter();
        let datagram_socket = datagrams::DatagramSocket::new(datagram_socket, inputs.host.run_id)?;
        (tokio::net::TcpListener::from_std(peer_listener)?, datagram_socket)
    };
    thread::Builder::new().name("control".to_owned()).spawn(move || {
        runtime.block_on(async {
            let control = Control::new(inputs, datagram_socket);
            tokio::spawn(Arc::clone(&control.relay).accept(peer_listener));
            control.run(receiver).await;
        });
    })?;
    Ok(sender)
}

/// The state of the control thread.
#[derive(Debug)]
struct Control {
    inputs: Inputs,
    local_state: local_state::LocalState,
    writes: tokio::sync::mpsc::UnboundedSender<store_writer::Write>,
    /// Forwards store events to other hosts.
    relay: Arc<relay::Relay>,
    /// The other hosts that this one watches.
    peers: peers::Peers,
    /// Reports of servers that ended.
    crash_entries: crashes::EntryLog,
    /// When expired crash reports are looked for next, in milliseconds.
    next_expiry_ms: u64,
    /// When a write of this host's entry was last requested, in milliseconds; `None` once the host
    /// has withdrawn its entry.
    registered_ms: Option<u64>,
    /// The latest era of the store that this host has heard of.
    latest_era: era::LatestEra,
    /// Latest known position of each kind of object.
    positions: collections::BTreeMap<object::Kind, position::Position>,
    /// Era of the latest list of any kind.
    era: position::Era,
    /// When this host next looks whether the store has lost what it wrote, in milliseconds, since it
    /// found that something is missing.
    rewrite_due_ms: Option<u64>,
    /// Roll-out states that were written recently, with the time of the write in milliseconds.
    recent_writes: Vec<(rollout::Rollout, u64)>,
}

impl Control {
    /// Creates the control thread's state and starts the store writer.
    ///
    /// Must be called within the control thread's runtime, because it spawns a task.
    fn new(inputs: Inputs, datagram_socket: datagrams::DatagramSocket) -> Self {
        let (writes, receiver) = tokio::sync::mpsc::unbounded_channel();
        let latest_era = era::LatestEra::new();
        let store_writer = store_writer::StoreWriter::new(
            store::StoreClient::new(inputs.settings.store_address, latest_era.clone()),
            inputs.settings.host.as_str().into(),
            Arc::clone(&inputs.metrics),
        );
        tokio::spawn(store_writer.run(receiver));
        let relay = Arc::new(relay::Relay::new(&inputs.host, Arc::clone(&inputs.rollouts)));
        let peers = peers::Peers::new(
            inputs.host.name.clone(),
            inputs.settings.bounds.contact_ms,
            datagram_socket,
            Arc::clone(&inputs.rollouts),
            Arc::clone(&inputs.limits),
            inputs.clock,
        );
        let mut local_state = local_state::LocalState::new(inputs.settings.bounds.contact_ms);
        if inputs.settings.bounds.evacuation_ms.is_some() {
            local_state = local_state.await_evacuations();
        }
        Self {
            inputs,
            local_state,
            writes,
            relay,
            peers,
            crash_entries: crashes::EntryLog::default(),
            next_expiry_ms: 0,
            registered_ms: None,
            latest_era,
            positions: collections::BTreeMap::new(),
            era: position::Era::default(),
            rewrite_due_ms: None,
            recent_writes: Vec::new(),
        }
    }

    async fn run(mut self, mut commands: tokio::sync::mpsc::UnboundedReceiver<Command>) {
        let (events, mut event_receiver) = tokio::sync::mpsc::unbounded_channel();
        self.start_feed(&events);
        self.register(self.inputs.clock.now_ms());
        let ping_interval = time::Duration::from_millis(self.peers.round_interval_ms());
        let mut ping_rounds = tokio::time::interval(ping_interval);
        ping_rounds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut ticks = tokio::time::interval(time::Duration::from_millis(TICK_INTERVAL_MS));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let limits = Arc::clone(&self.inputs.limits);
        loop {
            let limits_due = self.next_limits_due();
            tokio::select! {
                Some(event) = event_receiver.recv() => {
                    contain_panic("store event", || self.handle_event(event));
                    // At start-up the lists of all kinds arrive together; publish a single view for
                    // them.
                    while let Ok(event) = event_receiver.try_recv() {
                        contain_panic("store event", || self.handle_event(event));
                    }
                    self.publish();
                }
                () = self.peers.step() => {}
                () = limits.has_messages() => {}
                () = tokio::time::sleep_until(limits_due) => {}
                _ = ping_rounds.tick() => {
                    let is_store_lost = self.local_state.is_store_lost();
                    self.peers.start_round(is_store_lost, self.inputs.clock.now_ms());
                    if self.update_silent_hosts() {
                        self.publish();
                    }
                }
                _ = ticks.tick() => contain_panic("tick", || self.tick()),
                command = commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
            }
            self.peers.send_limit_messages();
        }
    }

    /// When messages about limits are due, or the end of the longest wait without any.
    fn next_limits_due(&self) -> tokio::time::Instant {
        let now_ms = self.inputs.clock.now_ms();
        let due_ms = self.inputs.limits.next_due_ms(now_ms);
        self.inputs.clock.instant_at(due_ms.unwrap_or(now_ms + MAX_LIMITS_WAIT_MS))
    }

    /// Starts the change feed, which receives store events directly or through a relay.
    fn start_feed(&self, events: &tokio::sync::mpsc::UnboundedSender<store_event::Event>) {
        let feed = change_feed::ChangeFeed::new(change_feed::Inputs {
            settings: Arc::clone(&self.inputs.settings),
            host: Arc::new(self.inputs.host.clone()),
            clock: self.inputs.clock,
            relay: Arc::clone(&self.relay),
            latest_era: self.latest_era.clone(),
            view: self.inputs.views.subscribe(),
            events: events.clone(),
            rollouts: Arc::clone(&self.inputs.rollouts),
            metrics: Arc::clone(&self.inputs.metrics),
        });
        tokio::spawn(feed.run());
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::AnnounceStop => {
                self.inputs.host.phase = host::Phase::Stopping;
                self.register(self.inputs.clock.now_ms());
            }
            Command::RemoveHost(done) => {
                self.registered_ms = None;
                self.request_write(store_writer::Write::RemoveHost(done));
            }
        }
    }

    /// Requests that this host's entry be written.
    fn register(&mut self, now_ms: u64) {
        self.registered_ms = Some(now_ms);
        self.request_write(store_writer::Write::PutHost(self.inputs.host.clone()));
    }

    /// Whether the store does not show this host's entry, which another host may have removed during
    /// a pause of this one, or the store may have lost.
    fn lacks_registration(&self, now_ms: u64) -> bool {
        let (Some(registered_ms), Some(hosts)) = (self.registered_ms, self.local_state.hosts())
        else {
            return false;
        };
        let own_name = &self.inputs.host.name;
        let stored = hosts.get(own_name).filter(|_| self.local_state.is_host_stored(own_name));
        let is_due = now_ms >= registered_ms + REREGISTER_AFTER_MS;
        is_due && stored.map(Arc::as_ref) != Some(&self.inputs.host)
    }

    /// Writes this host's entry and the states of roll-outs again if the store has lost them.
    fn write_lost_objects(&mut self, now_ms: u64) {
        if self.local_state.is_store_lost() {
            return;
        }
        let lacks_registration = self.lacks_registration(now_ms);
        let lost_rollouts: Vec<_> =
            self.local_state.unstored_rollouts().map(|rollout| (**rollout).clone()).collect();
        if !lacks_registration && lost_rollouts.is_empty() {
            self.rewrite_due_ms = None;
            return;
        }
        let delay_ms = self.spread_delay_ms(REWRITE_DELAY_PER_HOST_MS, REWRITE_DELAY_MAX_MS);
        if now_ms < *self.rewrite_due_ms.get_or_insert(now_ms + delay_ms) {
            return;
        }
        self.rewrite_due_ms = None;
        if lacks_registration {
            log::warn!(
                target: "toucanwall", "the store does not show this host's entry; registering again"
            );
            self.register(now_ms);
        }
        for rollout in lost_rollouts {
            if !self.was_written_recently(&rollout) {
                log::warn!(
                    target: "toucanwall", service = rollout.service.as_str(),
                    version = rollout.target.as_str(), state:? = rollout.state;
                    "the store does not show the state of a roll-out; writing it again"
                );
                self.write_rollout(rollout, now_ms);
            }
        }
    }

    fn write_rollout(&mut self, rollout: rollout::Rollout, now_ms: u64) {
        self.request_write(store_writer::Write::UpdateRollout(rollout.clone()));
        self.recent_writes.push((rollout, now_ms));
    }

    /// Watches the registered hosts after a change of this kind of object.
    fn watch_hosts(&mut self, kind: object::Kind) {
        if kind == object::Kind::Hosts
            && let Some(hosts) = self.local_state.hosts()
        {
            self.peers.set_hosts(hosts);
            self.update_silent_hosts();
        }
    }

    /// Updates the hosts that do not answer this one; returns whether they have changed.
    fn update_silent_hosts(&mut self) -> bool {
        let silent = self.peers.silent_hosts(self.local_state.is_store_lost());
        self.local_state.set_silent_hosts(silent)
    }

    /// Removes the entries of lost hosts that this host is the first to remove.
    fn remove_lost_hosts(&mut self, now_ms: u64) {
        if self.local_state.is_store_lost() {
            return;
        }
        for host in self.peers.take_removals(now_ms) {
            self.request_write(store_writer::Write::RemoveLostHost(host));
        }
    }

    fn request_write(&self, write: store_writer::Write) {
        if self.writes.send(write).is_err() {
            log::error!(target: "toucanwall", "store writer has ended; nothing more is written to the store");
        }
    }

    fn handle_event(&mut self, event: store_event::Event) {
        let now_ms = self.inputs.clock.now_ms();
        self.relay.forward(&event);
        match event {
            store_event::Event::Listed(store_event::Listing { kind, position, objects }) => {
                if self.accept_list(kind, position, now_ms) {
                    self.apply_list(kind, &objects, position.era, now_ms);
                    self.watch_hosts(kind);
                }
            }
            store_event::Event::Changed(store_event::ChangeSet {
                kind, position, changes, ..
            }) => {
                if self.accept_changes(kind, position) {
                    for change in &changes {
                        self.apply_change(kind, change, position, now_ms);
                    }
                    self.watch_hosts(kind);
                }
            }
            store_event::Event::Unavailable(reason) => {
                self.local_state.store_failed(now_ms);
                log::warn!(target: "toucanwall", why = reason; "store lost");
            }
            store_event::Event::Available => {
                self.local_state.store_answered(now_ms);
                log::info!(target: "toucanwall", "store reached");
            }
        }
    }

    /// Records the position of a list and returns true, or returns false if the list is older than the
    /// known state of its kind. It can be older because a relay may lag behind the previous source.
    fn accept_list(
        &mut self,
        kind: object::Kind,
        position: position::Position,
        now_ms: u64,
    ) -> bool {
        let known = self.positions.get(&kind).copied().unwrap_or_default();
        if position < known {
            log_outdated(kind, position, known);
            return false;
        }
        self.set_position(kind, position);
        if position.era > self.era {
            let is_restored = !self.era.is_unstated();
            self.era = position.era;
            if is_restored {
                self.store_restored(now_ms);
            }
        }
        true
    }

    /// Records the position of changes and returns true, or returns false if they are older than the
    /// known state of their kind, or if objects of their era have not been listed.
    fn accept_changes(&mut self, kind: object::Kind, position: position::Position) -> bool {
        let known = self.positions.get(&kind).copied().unwrap_or_default();
        if position < known || position.era != known.era {
            log_outdated(kind, position, known);
            return false;
        }
        self.set_position(kind, position);
        true
    }

    fn set_position(&mut self, kind: object::Kind, position: position::Position) {
        self.positions.insert(kind, position);
        if kind == object::Kind::Rollouts {
            self.local_state.set_rollouts_position(position);
        }
    }

    /// Keeps what the restored store may have lost until its writers have written it again.
    fn store_restored(&mut self, now_ms: u64) {
        let bounds = &self.inputs.settings.bounds;
        log::warn!(
            target: "toucanwall", era = self.era.number(); "the store was restored from a copy"
        );
        let times = local_state::RewriteTimes {
            hosts_ms: bounds.contact_ms,
            server_expiry_ms: bounds.heartbeat_ms * SERVER_EXPIRY_HEARTBEATS,
        };
        self.local_state.store_restored(now_ms, times);
    }

    fn apply_list(
        &mut self,
        kind: object::Kind,
        objects: &[object::Object],
        era: position::Era,
        now_ms: u64,
    ) {
        log::info!(target: "toucanwall", kind = kind.as_str(), objects = objects.len(); "object list received");
        match kind {
            object::Kind::Configuration => {
                for object in objects {
                    self.apply_configuration(object);
                }
            }
            object::Kind::Servers => {
                let servers = objects.iter().filter_map(|object| {
                    let server = registration::decode(object);
                    let server = server.map_err(|error| log_malformed(&error)).ok()?;
                    let (_, position) = stored_at(object, era);
                    self.inputs.cold_starts.record_entry(&server, object, position, now_ms);
                    Some(registered(server, object, era))
                });
                let servers: Vec<_> = servers.collect();
                for registration in &servers {
                    self.note_readiness(&registration.server, now_ms);
                }
                self.local_state.replace_servers(servers, now_ms);
            }
            object::Kind::Rollouts => {
                let rollouts = objects.iter().filter_map(|object| {
                    operator::decode_rollout(object, era)
                        .map_err(|error| log_malformed(&error))
                        .ok()
                });
                self.local_state.replace_rollouts(rollouts.collect());
            }
            object::Kind::Hosts => {
                let hosts = objects.iter().filter_map(change_feed::decode_host).collect();
                self.local_state.replace_hosts(hosts, now_ms);
            }
            object::Kind::CrashReports => {
                self.apply_crash_entries(objects, era, now_ms);
                self.local_state.record_crash_reports();
            }
            object::Kind::Evacuations => {
                let evacuated = objects.iter().map(|object| (&*object.metadata.name).into());
                self.local_state.replace_evacuations(evacuated.collect(), now_ms);
            }
        }
    }

    fn apply_change(
        &mut self,
        kind: object::Kind,
        change: &object::Change,
        position: position::Position,
        now_ms: u64,
    ) {
        let name = &*change.object.metadata.name;
        match (kind, change.is_deleted) {
            (object::Kind::Configuration, false) => self.apply_configuration(&change.object),
            // A deletion leaves the active configuration in place, since there is no newer one.
            (object::Kind::Configuration, true) => {}
            (object::Kind::Servers, false) => match registration::decode(&change.object) {
                Ok(server) => {
                    log::info!(
                        target: "toucanwall", server = name, service = server.service.as_str(),
                        version = server.version.as_str(), readiness:? = server.readiness,
                        revision = change.object.metadata.revision; "server entry"
                    );
                    self.note_readiness(&server, now_ms);
                    let (_, stored) = stored_at(&change.object, position.era);
                    self.inputs.cold_starts.record_entry(&server, &change.object, stored, now_ms);
                    let registration = registered(server, &change.object, position.era);
                    self.local_state.put_server(registration, now_ms);
                }
                Err(error) => {
                    log_malformed(&error);
                    self.local_state.remove_server(name, now_ms);
                }
            },
            (object::Kind::Servers, true) => {
                let removal = self.local_state.remove_server(name, now_ms);
                log::info!(
                    target: "toucanwall", server = name, outcome:? = removal,
                    revision = change.object.metadata.revision; "server entry vanished"
                );
            }
            (object::Kind::Rollouts, false) => {
                match operator::decode_rollout(&change.object, position.era) {
                    Ok(rollout) => {
                        log::info!(
                            target: "toucanwall", service = name, version = rollout.target.as_str(),
                            state:? = rollout.state, revision = change.object.metadata.revision;
                            "roll-out"
                        );
                        self.local_state.put_rollout(rollout);
                    }
                    Err(error) => log_malformed(&error),
                }
            }
            (object::Kind::Rollouts, true) => self.local_state.remove_rollout(name),
            (object::Kind::Hosts, false) => {
                if let Some(host) = change_feed::decode_host(&change.object) {
                    self.local_state.put_host(host);
                }
            }
            (object::Kind::Hosts, true) => self.local_state.remove_host(name),
            (object::Kind::CrashReports, false) => {
                if let Some(entry) = self.learn_crash_entry(&change.object) {
                    let (name, position) = stored_at(&change.object, position.era);
                    self.crash_entries.record_stored(name, position, &entry);
                }
            }
            (object::Kind::CrashReports, true) => self.remove_crash_entry(name),
            (object::Kind::Evacuations, is_deleted) => {
                let data_centre = name::DataCentre::from(name);
                let is_news = if is_deleted {
                    self.local_state.remove_evacuation(&data_centre)
                } else {
                    self.local_state.put_evacuation(data_centre)
                };
                if is_news {
                    log::info!(
                        target: "toucanwall", evacuated = name, is_over = is_deleted,
                        revision = change.object.metadata.revision; "evacuation of a data centre"
                    );
                }
            }
        }
    }

    /// Records that the registry shows a server as leaving, which a later list may not show.
    fn note_readiness(&self, server: &server::BackendServer, now_ms: u64) {
        if server.readiness == server::Readiness::Draining {
            let mut notices = self.inputs.notices.lock().unwrap_or_else(PoisonError::into_inner);
            notices.record_leaving(server, now_ms);
        }
    }

    /// Learns what this or another host has found out about servers that ended under requests.
    fn learn_crash_entry(&mut self, object: &object::Object) -> Option<crashes::Entry> {
        match serde_json::from_str::<crashes::Entry>(object.spec_text()) {
            Ok(entry) => {
                self.inputs.crashes.merge(&entry, self.inputs.clock.now());
                Some(entry)
            }
            Err(error) => {
                log::warn!(
                    target: "toucanwall", entry = &*object.metadata.name, why = error.to_string();
                    "malformed entry about a crash ignored"
                );
                None
            }
        }
    }

    fn apply_crash_entries(&mut self, objects: &[object::Object], era: position::Era, now_ms: u64) {
        let entries: Vec<_> = objects
            .iter()
            .filter_map(|object| Some((object, self.learn_crash_entry(object)?)))
            .collect();
        let stored = entries.iter().map(|(object, entry)| {
            let (name, position) = stored_at(object, era);
            (name, position, entry)
        });
        let delay_ms = self.spread_delay_ms(BLOCK_DELAY_PER_HOST_MS, BLOCK_DELAY_MAX_MS);
        self.crash_entries.replace_stored(stored, era, now_ms + delay_ms);
    }

    /// Learns that an entry about a crash is no longer in the store.
    fn remove_crash_entry(&mut self, name: &str) {
        if let Some(part) = self.crash_entries.record_removed(name) {
            log::warn!(
                target: "toucanwall", part = format!("{part:016x}");
                "the entry that blocked a part of prompts was removed; allowed again"
            );
            self.inputs.crashes.unblock(part);
        }
    }

    /// Writes what this host has found out about servers that ended, and removes expired entries.
    fn write_crash_entries(&mut self, now_ms: u64) {
        let now = self.inputs.clock.now();
        for entry in self.inputs.crashes.take_unreported(now) {
            let delay_ms = match entry {
                // All hosts decide to block the same parts; one of them has to write it.
                crashes::Entry::Block(_) => {
                    self.spread_delay_ms(BLOCK_DELAY_PER_HOST_MS, BLOCK_DELAY_MAX_MS)
                }
                crashes::Entry::Crash(_) | crashes::Entry::Clearance(_) => 0,
            };
            self.crash_entries.add(entry, self.inputs.host.run_id, now_ms + delay_ms);
        }
        if self.local_state.is_store_lost() {
            return;
        }
        for (name, entry) in self.crash_entries.take_due_writes(now_ms) {
            self.request_write(store_writer::Write::CreateCrashEntry(name, entry));
        }
        if now_ms < self.next_expiry_ms {
            return;
        }
        self.next_expiry_ms = now_ms + EXPIRY_INTERVAL_MS;
        self.inputs.crashes.expire(now_ms);
        let view = Arc::clone(&self.inputs.views.borrow());
        for (name, position) in self.crash_entries.expire(now.unix_ms) {
            if view.rank_of(&self.inputs.settings.host, ingress::stable_hash(&name)) == 0 {
                self.request_write(store_writer::Write::RemoveCrashEntry(name, position));
            }
        }
    }

    /// Random delay of a write that each host would make, so that most hosts see that another one
    /// has made it, in milliseconds.
    fn spread_delay_ms(&self, per_host_ms: u64, max_ms: u64) -> u64 {
        let hosts = self.inputs.views.borrow().serving_host_count();
        rand::rng().random_range(0..=hosts.saturating_mul(per_host_ms).min(max_ms))
    }

    fn apply_configuration(&mut self, object: &object::Object) {
        if &*object.metadata.name != object::CONFIGURATION_NAME {
            return;
        }
        match operator::decode_configuration(object) {
            Ok(configuration) => {
                let version = configuration.version();
                let outcome = self.local_state.apply_configuration(configuration);
                log::info!(
                    target: "toucanwall", version = version, outcome:? = outcome,
                    revision = object.metadata.revision; "configuration"
                );
                self.inputs
                    .metrics
                    .set_configuration_version(self.local_state.version().unwrap_or(0));
            }
            Err(error) => log::error!(
                target: "toucanwall", why = error.to_string(), revision = object.metadata.revision,
                in_force = self.local_state.version(); "configuration rejected"
            ),
        }
    }

    fn publish(&self) {
        let view = self.local_state.view();
        let previous = Arc::clone(&self.inputs.views.borrow());
        view_log::log_changes(&previous, &view);
        self.inputs.metrics.set_hosts_listed(view.callable_hosts().count());
        let evacuated = self.local_state.evacuated_count();
        self.inputs.metrics.set_evacuated_data_centres(evacuated);
        self.inputs.limits.set_hosts(
            view.serving_hosts().map(|host| host.name.clone()),
            !view.silent_hosts.is_empty(),
            self.inputs.clock.now_ms(),
        );
        self.inputs.cold_starts.update_view(&previous, &view, self.inputs.clock.now_ms());
        let hosts = view.serving_hosts().map(|host| &host.name);
        self.inputs.crashes.set_hosts(&self.inputs.settings.host, hosts);
        let hosts = view.serving_host_count();
        self.inputs.rollouts.update(&view.rollouts, hosts, self.inputs.clock.now());
        self.inputs.views.send_replace(Arc::new(view));
    }

    /// Whether this roll-out state was written recently and may not be visible in the store yet.
    fn was_written_recently(&self, wanted: &rollout::Rollout) -> bool {
        self.recent_writes
            .iter()
            .any(|(written, _)| written.order == wanted.order && written.state == wanted.state)
    }

    fn tick(&mut self) {
        let now_ms = self.inputs.clock.now_ms();
        self.write_lost_objects(now_ms);
        self.remove_lost_hosts(now_ms);
        self.write_crash_entries(now_ms);
        self.inputs.rollouts.count_overdue(now_ms);
        self.peers.send_rollout_reports();
        let expired = self.local_state.tick(now_ms);
        if !expired.is_empty() {
            log_expired(&expired);
            self.watch_hosts(object::Kind::Hosts);
            self.publish();
        }
        self.recent_writes.retain(|(_, at_ms)| now_ms < at_ms + REWRITE_AFTER_MS);
        let view = Arc::clone(&self.inputs.views.borrow());
        let own_name = &self.inputs.settings.host;
        let delay = |rollout: &rollout::Rollout| {
            // Relays hear of more answers than other hosts.
            let relays = policy_relay::relays(view.serving_hosts());
            let rank = view.rank_among(own_name, rollout.order.revision, &relays);
            canary::StepDelay::of_rank(rank)
        };
        for update in self.inputs.rollouts.pending_updates(self.inputs.clock.now(), delay) {
            if self.was_written_recently(&update.rollout) {
                continue;
            }
            log::info!(
                target: "toucanwall", service = update.rollout.service.as_str(),
                version = update.rollout.target.as_str(), state:? = update.rollout.state,
                why = update.evidence; "roll-out step"
            );
            self.write_rollout(update.rollout, now_ms);
        }
    }
}

/// Runs a step of the control thread; a panic ends the step and not the thread, without which the
/// host would go on with an outdated view.
fn contain_panic<F>(step: &'static str, run: F)
where
    F: FnOnce(),
{
    if panic::catch_unwind(panic::AssertUnwindSafe(run)).is_err() {
        log::error!(target: "toucanwall", step = step; "internal error; the step was given up");
    }
}

fn registered(
    server: server::BackendServer,
    object: &object::Object,
    era: position::Era,
) -> local_state::Registration {
    let created = position::Position::new(era, object.metadata.created_revision);
    local_state::Registration { server, created }
}

/// Name of an object in the store, and the position of its last change.
fn stored_at(object: &object::Object, era: position::Era) -> (&Arc<str>, position::Position) {
    (&object.metadata.name, position::Position::new(era, object.metadata.revision))
}

fn log_outdated(kind: object::Kind, position: position::Position, known: position::Position) {
    log::info!(
        target: "toucanwall", kind = kind.as_str(), position:? = position, known:? = known;
        "outdated store event ignored"
    );
}

fn log_expired(expired: &local_state::Expired) {
    if !expired.servers.is_empty() {
        log::info!(target: "toucanwall", servers:? = expired.servers; "servers did not re-register after an outage");
    }
    if !expired.hosts.is_empty() || !expired.rollouts.is_empty() {
        log::info!(
            target: "toucanwall", hosts:? = expired.hosts, rollouts:? = expired.rollouts;
            "entries were not written again after the store was restored"
        );
    }
    if !expired.evacuations.is_empty() {
        log::info!(
            target: "toucanwall", evacuated:? = expired.evacuations;
            "evacuations were not written again after the store was restored"
        );
    }
    if !expired.lists.is_empty() {
        log::warn!(
            target: "toucanwall", lists:? = expired.lists;
            "taking requests although these objects have not been listed"
        );
    }
    if !expired.versions.is_empty() {
        log::warn!(
            target: "toucanwall", versions:? = expired.versions;
            "using new versions although roll-outs are not known up to their registration"
        );
    }
    if !expired.departures.is_empty() {
        log::info!(
            target: "toucanwall", servers:? = expired.departures;
            "entries of servers that had left did not expire; using the servers again"
        );
    }
}

fn log_malformed<E>(error: &E)
where
    E: std::error::Error,
{
    log::warn!(target: "toucanwall", why = error.to_string(); "malformed store entry ignored");
}
