//! Receives changes of the platform's store from the store itself or from a relay, which is a host
//! that watches the store for others.

use std::collections;
use std::sync::Arc;
use std::time;

use toucanwall_platform::era;
use toucanwall_platform::object;
use toucanwall_platform::store;
use toucanwall_policy::relay as policy;
use toucanwall_routing::host;
use toucanwall_routing::name;
use toucanwall_routing::settings;
use toucanwall_routing::view;

use crate::clock;
use crate::metrics;
use crate::reachability;
use crate::relay;
use crate::relay_session;
use crate::rollouts;
use crate::store_event;
use crate::store_probe;
use crate::subscription;
use crate::watcher;

/// The batching delay between two watch calls is the deadline for a change divided by this number.
/// One call then returns many changes, and most of the time until the deadline is left.
const BATCH_DIVISOR: u64 = 4;
/// The batching delay for changes of hosts and for reports of crashes is the time after which a
/// silent host is out of contact divided by this number. Most of that time is needed to notice that
/// a host is silent.
const CONTACT_BATCH_DIVISOR: u64 = 6;
/// Shortest time for which a host watches the store, and interval at which it then looks for a
/// relay, in milliseconds. After this time, hosts that start together have registered and restarted
/// relays are ready.
const MIN_WATCH_MS: u64 = 3_000;
/// Time for which a relay is not tried again after it failed or refused, in milliseconds.
const RELAY_RETRY_DELAY_MS: u64 = 3_000;
/// Relays that are tried before falling back to the store, since each attempt may take the whole
/// response timeout.
const MAX_RELAYS_TRIED: usize = 2;
/// Rounds in which a starting host looks for a relay, since relays that start at the same time need
/// some time to become ready.
const MAX_START_ROUNDS: u32 = 3;
/// Delay between two of these rounds, in milliseconds.
const START_ROUND_DELAY_MS: u64 = 200;

/// Dependencies of a change feed.
#[derive(Debug)]
pub struct Inputs {
    /// Settings of the host.
    pub settings: Arc<settings::Settings>,
    /// This host's entry in the store.
    pub host: Arc<host::HostEntry>,
    /// The monotonic clock.
    pub clock: clock::Clock,
    /// Forwards store events to other hosts while this host watches the store.
    pub relay: Arc<relay::Relay>,
    /// The latest era of the store that this host has heard of.
    pub latest_era: era::LatestEra,
    /// The latest view, which contains the other hosts.
    pub view: tokio::sync::watch::Receiver<Arc<view::View>>,
    /// Channel on which store events are sent.
    pub events: tokio::sync::mpsc::UnboundedSender<store_event::Event>,
    /// Roll-outs, on which this host reports its observations to the relay.
    pub rollouts: Arc<rollouts::Rollouts>,
    /// Metrics of the host.
    pub metrics: Arc<metrics::Metrics>,
}

/// Dependencies of the watchers of the store.
#[derive(Debug)]
pub struct WatchInputs {
    settings: Arc<settings::Settings>,
    latest_era: era::LatestEra,
    tracker: reachability::Tracker,
    events: tokio::sync::mpsc::UnboundedSender<store_event::Event>,
    metrics: Arc<metrics::Metrics>,
}

/// Receives store events from the current source and sends them to the control thread.
#[derive(Debug)]
pub struct ChangeFeed {
    inputs: Inputs,
    /// Relays that failed or refused recently, with the time of the failure in milliseconds.
    failed_relays: collections::BTreeMap<name::HostName, u64>,
}

/// The source of store events.
enum Source {
    Store,
    Relay(Box<subscription::Subscription>),
}

impl Inputs {
    /// Creates a client of the store.
    #[must_use]
    pub fn store_client(&self) -> store::StoreClient {
        store::StoreClient::new(self.settings.store_address, self.latest_era.clone())
    }

    /// What watchers of the store need.
    #[must_use]
    pub fn watch_inputs(&self) -> WatchInputs {
        let max_age_ms = self.settings.bounds.contact_ms * 2 / 3;
        WatchInputs {
            settings: Arc::clone(&self.settings),
            latest_era: self.latest_era.clone(),
            tracker: reachability::Tracker::new(self.clock, max_age_ms),
            events: self.events.clone(),
            metrics: Arc::clone(&self.metrics),
        }
    }
}

impl WatchInputs {
    /// Creates a watcher of a kind of objects.
    #[must_use]
    pub fn watcher(&self, kind: object::Kind) -> watcher::Watcher {
        let bounds = &self.settings.bounds;
        let batch_ms = match kind {
            object::Kind::Configuration => bounds.config_apply_ms / BATCH_DIVISOR,
            object::Kind::Servers => bounds.drain_ms / BATCH_DIVISOR,
            object::Kind::Hosts | object::Kind::CrashReports => {
                bounds.contact_ms / CONTACT_BATCH_DIVISOR
            }
            object::Kind::Rollouts | object::Kind::Evacuations => 0,
        };
        let store = store::StoreClient::new(self.settings.store_address, self.latest_era.clone());
        let (tracker, events) = (self.tracker.clone(), self.events.clone());
        watcher::Watcher::new(kind, store, batch_ms, tracker, events, Arc::clone(&self.metrics))
    }
}

impl ChangeFeed {
    /// Creates a feed that has not chosen its source yet.
    #[must_use]
    pub fn new(inputs: Inputs) -> Self {
        Self { inputs, failed_relays: collections::BTreeMap::new() }
    }

    /// Sends store events until the receiver is closed.
    pub async fn run(mut self) {
        let mut source = self.initial_source().await;
        while !self.inputs.events.is_closed() {
            source = match source {
                Source::Store => self.watch_store().await,
                Source::Relay(subscription) => self.follow_relay(*subscription).await,
            };
        }
    }

    /// Lists the hosts and subscribes to a relay among them, or falls back to the store.
    async fn initial_source(&mut self) -> Source {
        let mut store = self.inputs.store_client();
        let listed = store.list(object::Kind::Hosts, None).await;
        self.inputs.metrics.record_store_call(object::Kind::Hosts.as_str(), listed.is_err());
        let page = match listed {
            Ok(page) => page,
            Err(error) => {
                log::warn!(target: "toucanwall", why = error.to_string(); "cannot list hosts; watching the store");
                return Source::Store;
            }
        };
        let hosts: Vec<_> = page.entries.iter().filter_map(decode_host).map(Arc::new).collect();
        let serving = hosts.iter().filter(|host| host.phase == host::Phase::Serving);
        let role = policy::role(serving, &self.inputs.host);
        for _ in 0..MAX_START_ROUNDS {
            let policy::Role::Subscriber(relays) = &role else { return Source::Store };
            if let Some(subscription) = self.subscribe_to_any(relays).await {
                return Source::Relay(Box::new(subscription));
            }
            self.failed_relays.clear();
            tokio::time::sleep(time::Duration::from_millis(START_ROUND_DELAY_MS)).await;
        }
        Source::Store
    }

    /// Watches the store until this host's role is to subscribe and a relay accepts it.
    async fn watch_store(&mut self) -> Source {
        let max_age_ms = self.inputs.settings.bounds.contact_ms * 2 / 3;
        let tracker = reachability::Tracker::new(self.inputs.clock, max_age_ms);
        let watchers = self.start_watchers(&tracker);
        self.inputs.relay.set_tracker(Some(tracker));
        log::info!(target: "toucanwall", "receiving changes from the store");
        self.inputs.metrics.record_change_source("store");
        loop {
            tokio::time::sleep(time::Duration::from_millis(MIN_WATCH_MS)).await;
            if self.inputs.events.is_closed() {
                return Source::Store;
            }
            if let Some(policy::Role::Subscriber(relays)) = self.role()
                && let Some(subscription) = self.subscribe_to_any(&relays).await
            {
                self.inputs.relay.set_tracker(None);
                drop(watchers);
                return Source::Relay(Box::new(subscription));
            }
        }
    }

    /// Starts the probe and the watchers of all kinds, which run until the set is dropped.
    fn start_watchers(&self, tracker: &reachability::Tracker) -> tokio::task::JoinSet<()> {
        let settings = &self.inputs.settings;
        let mut watchers = tokio::task::JoinSet::new();
        let probe = store_probe::StoreProbe::new(store_probe::Inputs {
            store: self.inputs.store_client(),
            host: settings.host.as_str().into(),
            tracker: tracker.clone(),
            relay: Arc::clone(&self.inputs.relay),
            events: self.inputs.events.clone(),
            metrics: Arc::clone(&self.inputs.metrics),
        });
        watchers.spawn(probe.run());
        let inputs = WatchInputs { tracker: tracker.clone(), ..self.inputs.watch_inputs() };
        for kind in followed_kinds(settings) {
            watchers.spawn(inputs.watcher(kind).run());
        }
        watchers
    }

    /// Receives store events from a relay until it is unhealthy or no longer eligible, and returns
    /// the next source.
    async fn follow_relay(&mut self, subscription: subscription::Subscription) -> Source {
        let relay = Arc::clone(&subscription.relay);
        log::info!(
            target: "toucanwall", relay = relay.name.as_str(); "receiving changes from another host"
        );
        self.inputs.metrics.record_change_source("host");
        let mut session = relay_session::RelaySession::new(subscription, &self.inputs);
        loop {
            if let relay_session::Next::Leave(reason) = session.step().await {
                return self.replace_relay(&relay, &reason).await;
            }
            if self.inputs.view.has_changed().unwrap_or(false) {
                self.inputs.view.mark_unchanged();
                if let Some(source) = self.apply_role(&relay).await {
                    return source;
                }
            }
        }
    }

    /// Finds another source after a relay has failed.
    async fn replace_relay(&mut self, relay: &host::HostEntry, reason: &str) -> Source {
        log::warn!(target: "toucanwall", relay = relay.name.as_str(), why = reason; "relay left");
        self.failed_relays.insert(relay.name.clone(), self.inputs.clock.now_ms());
        if let Some(policy::Role::Subscriber(relays)) = self.role()
            && let Some(subscription) = self.subscribe_to_any(&relays).await
        {
            return Source::Relay(Box::new(subscription));
        }
        Source::Store
    }

    /// Finds another source if the current relay is no longer one of the relays for this host.
    async fn apply_role(&mut self, relay: &host::HostEntry) -> Option<Source> {
        match self.role()? {
            policy::Role::Relay => Some(Source::Store),
            policy::Role::Subscriber(relays) => {
                let is_eligible = relays.iter().any(|other| other.name == relay.name);
                if is_eligible {
                    None
                } else {
                    self.subscribe_to_any(&relays).await.map(Box::new).map(Source::Relay)
                }
            }
        }
    }

    /// This host's role, or `None` while no hosts are known.
    fn role(&self) -> Option<policy::Role> {
        let view = Arc::clone(&self.inputs.view.borrow());
        let has_hosts = !view.hosts.is_empty();
        has_hosts.then(|| policy::role(view.serving_hosts(), &self.inputs.host))
    }

    /// Subscribes to the first relay that accepts, skipping those that failed or refused recently.
    async fn subscribe_to_any(
        &mut self,
        relays: &[Arc<host::HostEntry>],
    ) -> Option<subscription::Subscription> {
        let now_ms = self.inputs.clock.now_ms();
        self.failed_relays.retain(|_, failed_at_ms| now_ms < *failed_at_ms + RELAY_RETRY_DELAY_MS);
        let candidates: Vec<_> =
            relays.iter().filter(|relay| !self.failed_relays.contains_key(&relay.name)).collect();
        for relay in candidates.into_iter().take(MAX_RELAYS_TRIED) {
            let kinds = followed_kinds(&self.inputs.settings);
            let own_host = &self.inputs.host;
            match subscription::Subscription::open(Arc::clone(relay), own_host, &kinds).await {
                Ok(subscription) => return Some(subscription),
                Err(error) => {
                    log::info!(
                        target: "toucanwall", relay = relay.name.as_str(),
                        why = error.to_string(); "cannot subscribe to relay; trying the next source"
                    );
                    self.failed_relays.insert(relay.name.clone(), self.inputs.clock.now_ms());
                }
            }
        }
        None
    }
}

/// Decodes the entry of a host; logs and ignores a malformed one.
#[must_use]
pub fn decode_host(object: &object::Object) -> Option<host::HostEntry> {
    let decoded = serde_json::from_str(object.spec_text());
    decoded
        .map_err(|error| {
            log::warn!(
                target: "toucanwall", name = &*object.metadata.name, why = error.to_string();
                "malformed host entry ignored"
            );
        })
        .ok()
}

/// The kinds of objects that hosts follow. A relay serves only those that it follows itself.
#[must_use]
pub fn followed_kinds(settings: &settings::Settings) -> Vec<object::Kind> {
    let has_evacuations = settings.bounds.evacuation_ms.is_some();
    let is_followed = |kind: &object::Kind| has_evacuations || *kind != object::Kind::Evacuations;
    object::Kind::ALL.into_iter().filter(is_followed).collect()
}
