//! Where a host hears of changes from: the platform's store, or a host that watches it.

use std::collections;
use std::sync::Arc;
use std::time;

use toucanwall_platform::object;
use toucanwall_platform::store;
use toucanwall_policy::relay as policy;
use toucanwall_routing::host;
use toucanwall_routing::name;
use toucanwall_routing::settings;
use toucanwall_routing::view;

use crate::clock;
use crate::follower;
use crate::listening;
use crate::metrics;
use crate::news;
use crate::pulse;
use crate::reach;
use crate::relay;
use crate::rollouts;
use crate::subscription;

/// Part of a bound for which changes gather before they are asked for again: one call then tells of
/// many, and most of the bound is left.
const GATHER_PART: u64 = 4;
/// Time for which changes of hosts gather, in milliseconds: all of them start together, and callers
/// keep addresses for longer than that.
const HOSTS_GATHER_MS: u64 = 2_000;
/// Time for which a host watches the store at least, in milliseconds: hosts that start together have
/// registered by then, and relays that start again are ready.
const WATCH_MIN_MS: u64 = 3_000;
/// Time for which a host that did not relay is not asked again, in milliseconds.
const AVOID_MS: u64 = 3_000;
/// Hosts that are asked before the store is: each may take as long as an answer may.
const ASKED_MAX: usize = 2;
/// Rounds in which a starting host asks for a relay: where all start together, relays need a moment.
const START_ROUNDS: u32 = 3;
/// Time between two such rounds, in milliseconds.
const START_PAUSE_MS: u64 = 200;

/// What a feed works with.
#[derive(Debug)]
pub struct Inputs {
    /// Settings of the host.
    pub settings: Arc<settings::Settings>,
    /// This host's entry.
    pub host: Arc<host::HostEntry>,
    /// The steady clock.
    pub clock: clock::Clock,
    /// Passes on what is heard.
    pub relay: Arc<relay::Relay>,
    /// The newest view, which names the other hosts.
    pub view: tokio::sync::watch::Receiver<Arc<view::View>>,
    /// Where news go.
    pub news: tokio::sync::mpsc::UnboundedSender<news::News>,
    /// Roll-outs under way, of which this host reports what it sees.
    pub rollouts: Arc<rollouts::Rollouts>,
    /// What is counted.
    pub metrics: Arc<metrics::Metrics>,
}

/// Hears of changes and sends them on as news.
#[derive(Debug)]
pub struct Feed {
    inputs: Inputs,
    /// Hosts that did not relay lately, and when they were asked.
    avoided: collections::BTreeMap<name::HostName, u64>,
}

/// Where news come from.
enum Source {
    Store,
    Relay(Box<subscription::Subscription>),
}

impl Feed {
    /// Nothing heard yet.
    #[must_use]
    pub fn new(inputs: Inputs) -> Self {
        Self { inputs, avoided: collections::BTreeMap::new() }
    }

    /// Sends news until nobody listens any more.
    pub async fn run(mut self) {
        let mut source = self.first_source().await;
        while !self.inputs.news.is_closed() {
            source = match source {
                Source::Store => self.watch().await,
                Source::Relay(subscription) => self.listen(*subscription).await,
            };
        }
    }

    /// Reads which hosts there are, and asks one of them.
    async fn first_source(&mut self) -> Source {
        let mut store = store::StoreClient::new(self.inputs.settings.store_address);
        let listed = store.list(object::Kind::Hosts, None).await;
        self.inputs.metrics.store_call(object::Kind::Hosts.as_str(), listed.is_err());
        let page = match listed {
            Ok(page) => page,
            Err(error) => {
                log::warn!(target: "toucanwall", why = error.to_string(); "hosts not read yet");
                return Source::Store;
            }
        };
        let hosts: Vec<_> = page.entries.iter().filter_map(decode_host).map(Arc::new).collect();
        let serving = hosts.iter().filter(|host| host.phase == host::Phase::Serving);
        let role = policy::role(serving, &self.inputs.host);
        for _ in 0..START_ROUNDS {
            let policy::Role::Subscriber(relays) = &role else { return Source::Store };
            if let Some(subscription) = self.ask(relays).await {
                return Source::Relay(Box::new(subscription));
            }
            self.avoided.clear();
            tokio::time::sleep(time::Duration::from_millis(START_PAUSE_MS)).await;
        }
        Source::Store
    }

    /// Watches the store, until another host does it for this one.
    async fn watch(&mut self) -> Source {
        let reach = reach::Shared::new();
        let watching = self.start_watching(&reach);
        self.inputs.relay.set_reach(Some(reach));
        log::info!(target: "toucanwall", "hears of changes from the store");
        self.inputs.metrics.source("store");
        loop {
            tokio::time::sleep(time::Duration::from_millis(WATCH_MIN_MS)).await;
            if self.inputs.news.is_closed() {
                return Source::Store;
            }
            if let Some(policy::Role::Subscriber(relays)) = self.role()
                && let Some(subscription) = self.ask(&relays).await
            {
                self.inputs.relay.set_reach(None);
                drop(watching);
                return Source::Relay(Box::new(subscription));
            }
        }
    }

    /// Calls to the store that last until they are dropped.
    fn start_watching(&self, reach: &reach::Shared) -> tokio::task::JoinSet<()> {
        let settings = &self.inputs.settings;
        let address = settings.store_address;
        let news = || self.inputs.news.clone();
        let metrics = || Arc::clone(&self.inputs.metrics);
        let mut watching = tokio::task::JoinSet::new();
        let pulse = pulse::Pulse::new(pulse::Inputs {
            store: store::StoreClient::new(address),
            host: settings.host.as_str().into(),
            reach: reach.clone(),
            relay: Arc::clone(&self.inputs.relay),
            news: news(),
            metrics: metrics(),
        });
        watching.spawn(pulse.run());
        for (kind, gather_ms) in [
            (object::Kind::Configuration, settings.bounds.config_apply_ms / GATHER_PART),
            (object::Kind::Servers, settings.bounds.drain_ms / GATHER_PART),
            (object::Kind::Rollouts, 0),
            (object::Kind::Hosts, HOSTS_GATHER_MS),
        ] {
            let follower =
                follower::Follower::new(kind, address, gather_ms, reach.clone(), news(), metrics());
            watching.spawn(follower.run());
        }
        watching
    }

    /// Listens to a relay until it is to be left; then to another one, or watches the store.
    async fn listen(&mut self, subscription: subscription::Subscription) -> Source {
        let relay = Arc::clone(&subscription.relay);
        log::info!(
            target: "toucanwall", relay = relay.name.as_str(); "hears of changes from another host"
        );
        self.inputs.metrics.source("host");
        let mut listening = listening::Listening::new(subscription, &self.inputs);
        loop {
            if let listening::Next::Leave(why) = listening.step().await {
                return self.leave(&relay, &why).await;
            }
            if self.inputs.view.has_changed().unwrap_or(false) {
                self.inputs.view.mark_unchanged();
                if let Some(source) = self.follow_role(&relay).await {
                    return source;
                }
            }
        }
    }

    /// Finds another source after a relay that is of no use.
    async fn leave(&mut self, relay: &host::HostEntry, why: &str) -> Source {
        log::warn!(target: "toucanwall", relay = relay.name.as_str(), why = why; "relay left");
        self.avoided.insert(relay.name.clone(), self.inputs.clock.now_ms());
        if let Some(policy::Role::Subscriber(relays)) = self.role()
            && let Some(subscription) = self.ask(&relays).await
        {
            return Source::Relay(Box::new(subscription));
        }
        Source::Store
    }

    /// Finds another source where the relay at hand is none by its rank any more.
    async fn follow_role(&mut self, relay: &host::HostEntry) -> Option<Source> {
        match self.role()? {
            policy::Role::Relay => Some(Source::Store),
            policy::Role::Subscriber(relays) => {
                let is_relay = relays.iter().any(|other| other.name == relay.name);
                if is_relay {
                    None
                } else {
                    self.ask(&relays).await.map(Box::new).map(Source::Relay)
                }
            }
        }
    }

    /// The host's role, once other hosts are known.
    fn role(&self) -> Option<policy::Role> {
        let view = Arc::clone(&self.inputs.view.borrow());
        let is_known = !view.hosts.is_empty();
        is_known.then(|| policy::role(view.serving_hosts(), &self.inputs.host))
    }

    /// Asks hosts in turn; those that did not relay lately are passed over.
    async fn ask(&mut self, relays: &[Arc<host::HostEntry>]) -> Option<subscription::Subscription> {
        let now_ms = self.inputs.clock.now_ms();
        self.avoided.retain(|_, asked_ms| now_ms < *asked_ms + AVOID_MS);
        let asked: Vec<_> =
            relays.iter().filter(|relay| !self.avoided.contains_key(&relay.name)).collect();
        for relay in asked.into_iter().take(ASKED_MAX) {
            match subscription::Subscription::open(Arc::clone(relay), &self.inputs.host).await {
                Ok(subscription) => return Some(subscription),
                Err(error) => {
                    log::info!(
                        target: "toucanwall", relay = relay.name.as_str(),
                        why = error.to_string(); "host does not relay"
                    );
                    self.avoided.insert(relay.name.clone(), self.inputs.clock.now_ms());
                }
            }
        }
        None
    }
}

/// The host that an entry names, if it can be read.
#[must_use]
pub fn decode_host(object: &object::Object) -> Option<host::HostEntry> {
    let decoded = serde_json::from_str(object.spec_text());
    decoded
        .map_err(|error| {
            log::warn!(
                target: "toucanwall", name = &*object.metadata.name, why = error.to_string();
                "entry of a host left out"
            );
        })
        .ok()
}
