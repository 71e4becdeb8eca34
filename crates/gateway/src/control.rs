//! The control thread: hears of the store, publishes views and acts on roll-outs.

use std::collections;
use std::net;
use std::sync::Arc;
use std::thread;
use std::time;

use toucanwall_platform::object;
use toucanwall_platform::operator;
use toucanwall_platform::registration;
use toucanwall_routing::host;
use toucanwall_routing::local_state;
use toucanwall_routing::rollout;
use toucanwall_routing::settings;
use toucanwall_routing::view;

use crate::clock;
use crate::feed;
use crate::metrics;
use crate::news;
use crate::registrar;
use crate::relay;
use crate::rollouts;

/// Time between two looks at what is due, in milliseconds.
const TICK_MS: u64 = 100;
/// Time that a host leaves the steps of a roll-out to each host that ranks before it, in
/// milliseconds: several times what a write takes, so that mostly one host writes.
const RANK_DELAY_MS: u64 = 200;
/// Longest time that a host leaves them to others, in milliseconds: well below the time that is
/// kept free at the end of a roll-out.
const RANK_DELAY_MAX_MS: u64 = 800;
/// Time after which the same roll-out state is written again, if it did not show, in milliseconds.
const REWRITE_MS: u64 = 700;

/// What the control thread works with.
#[derive(Debug)]
pub struct Inputs {
    /// Settings of the host.
    pub settings: Arc<settings::Settings>,
    /// This host's entry.
    pub host: host::HostEntry,
    /// The steady clock.
    pub clock: clock::Clock,
    /// Where views are published.
    pub views: tokio::sync::watch::Sender<Arc<view::View>>,
    /// Roll-outs under way.
    pub rollouts: Arc<rollouts::Rollouts>,
    /// What is counted.
    pub metrics: Arc<metrics::Metrics>,
}

/// What the control thread is told.
#[derive(Debug)]
pub enum Command {
    /// Tell the other hosts that this one stops.
    Stopping,
    /// Remove this host's entry, and say when that is done.
    Leave(tokio::sync::oneshot::Sender<()>),
}

/// The way to the control thread.
pub type Commands = tokio::sync::mpsc::UnboundedSender<Command>;

/// Starts the control thread.
///
/// Other hosts connect at `peer_listener`.
///
/// # Errors
/// The thread cannot be started.
pub fn start(inputs: Inputs, peer_listener: net::TcpListener) -> std::io::Result<Commands> {
    let (sender, receiver) = tokio::sync::mpsc::unbounded_channel();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let peer_listener = {
        let _inside = runtime.enter();
        tokio::net::TcpListener::from_std(peer_listener)?
    };
    thread::Builder::new().name("control".to_owned()).spawn(move || {
        runtime.block_on(async {
            let control = Control::new(inputs);
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
    knowledge: local_state::LocalState,
    orders: tokio::sync::mpsc::UnboundedSender<registrar::Order>,
    /// Passes what this host hears on to others.
    relay: Arc<relay::Relay>,
    /// The store's revision of what is known, by kind.
    revisions: collections::BTreeMap<object::Kind, u64>,
    /// What was last written about roll-outs, and when.
    written: Vec<(rollout::Rollout, u64)>,
}

impl Control {
    /// Must be called within the control thread's runtime.
    fn new(inputs: Inputs) -> Self {
        let (orders, receiver) = tokio::sync::mpsc::unbounded_channel();
        let registrar = registrar::Registrar::new(
            inputs.settings.store_address,
            inputs.settings.host.as_str().into(),
            Arc::clone(&inputs.metrics),
        );
        tokio::spawn(registrar.run(receiver));
        let relay = Arc::new(relay::Relay::new(&inputs.host, Arc::clone(&inputs.rollouts)));
        Self {
            inputs,
            knowledge: local_state::LocalState::new(),
            orders,
            relay,
            revisions: collections::BTreeMap::new(),
            written: Vec::new(),
        }
    }

    async fn run(mut self, mut commands: tokio::sync::mpsc::UnboundedReceiver<Command>) {
        let (news, mut inbox) = tokio::sync::mpsc::unbounded_channel();
        self.follow(&news);
        self.order(registrar::Order::Host(self.inputs.host.clone()));
        let mut ticks = tokio::time::interval(time::Duration::from_millis(TICK_MS));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(news) = inbox.recv() => {
                    self.hear(news);
                    // Lists come together at the start; one view shows them all.
                    while let Ok(news) = inbox.try_recv() {
                        self.hear(news);
                    }
                    self.publish();
                }
                _ = ticks.tick() => self.tick(),
                command = commands.recv() => match command {
                    Some(command) => self.obey(command),
                    None => return,
                },
            }
        }
    }

    /// Starts to hear of changes, and to pass them on to other hosts.
    fn follow(&self, news: &tokio::sync::mpsc::UnboundedSender<news::News>) {
        let feed = feed::Feed::new(feed::Inputs {
            settings: Arc::clone(&self.inputs.settings),
            host: Arc::new(self.inputs.host.clone()),
            clock: self.inputs.clock,
            relay: Arc::clone(&self.relay),
            view: self.inputs.views.subscribe(),
            news: news.clone(),
            rollouts: Arc::clone(&self.inputs.rollouts),
            metrics: Arc::clone(&self.inputs.metrics),
        });
        tokio::spawn(feed.run());
    }

    fn obey(&mut self, command: Command) {
        match command {
            Command::Stopping => {
                self.inputs.host.phase = host::Phase::Stopping;
                self.order(registrar::Order::Host(self.inputs.host.clone()));
            }
            Command::Leave(done) => self.order(registrar::Order::Leave(done)),
        }
    }

    fn order(&self, order: registrar::Order) {
        if self.orders.send(order).is_err() {
            log::error!(target: "toucanwall", "nothing more is written to the store");
        }
    }

    fn hear(&mut self, news: news::News) {
        let now_ms = self.inputs.clock.now_ms();
        self.relay.hear(&news);
        match news {
            news::News::Listed(news::Listing { kind, revision, objects }) => {
                if self.is_new(kind, revision) {
                    self.take_list(kind, &objects, now_ms);
                }
            }
            news::News::Changed(news::Difference { kind, revision, changes, .. }) => {
                if self.is_new(kind, revision) {
                    for change in &changes {
                        self.take_change(kind, change, now_ms);
                    }
                }
            }
            news::News::Outage(why) => {
                self.knowledge.store_failed(now_ms);
                log::warn!(target: "toucanwall", why = why; "store lost");
            }
            news::News::Answered => {
                self.knowledge.store_answered(now_ms);
                log::info!(target: "toucanwall", "store reached");
            }
        }
    }

    /// Whether news of a kind are no older than what is known: another source may be behind.
    fn is_new(&mut self, kind: object::Kind, revision: u64) -> bool {
        let known = self.revisions.entry(kind).or_default();
        if revision < *known {
            log::info!(
                target: "toucanwall", kind = kind.as_str(), revision = revision, known = *known;
                "older news passed over"
            );
            return false;
        }
        *known = revision;
        true
    }

    fn take_list(&mut self, kind: object::Kind, objects: &[object::Object], now_ms: u64) {
        log::info!(target: "toucanwall", kind = kind.as_str(), objects = objects.len(); "list read");
        match kind {
            object::Kind::Configuration => {
                for object in objects {
                    self.take_configuration(object);
                }
            }
            object::Kind::Servers => {
                let servers = objects.iter().filter_map(|object| {
                    registration::decode(object).map_err(|error| log_malformed(&error)).ok()
                });
                self.knowledge.replace_servers(servers.collect(), now_ms);
            }
            object::Kind::Rollouts => {
                let rollouts = objects.iter().filter_map(|object| {
                    operator::decode_rollout(object).map_err(|error| log_malformed(&error)).ok()
                });
                self.knowledge.replace_rollouts(rollouts.collect());
            }
            object::Kind::Hosts => {
                self.knowledge
                    .replace_hosts(objects.iter().filter_map(feed::decode_host).collect());
            }
        }
    }

    fn take_change(&mut self, kind: object::Kind, change: &object::Change, now_ms: u64) {
        let name = &*change.object.metadata.name;
        match (kind, change.is_deleted) {
            (object::Kind::Configuration, false) => self.take_configuration(&change.object),
            // The configuration in force stays: there is none that is newer.
            (object::Kind::Configuration, true) => {}
            (object::Kind::Servers, false) => match registration::decode(&change.object) {
                Ok(server) => {
                    log::info!(
                        target: "toucanwall", server = name, service = server.service.as_str(),
                        version = server.version.as_str(), readiness:? = server.readiness,
                        revision = change.object.metadata.revision; "server entry"
                    );
                    self.knowledge.put_server(server);
                }
                Err(error) => {
                    log_malformed(&error);
                    self.knowledge.remove_server(name, now_ms);
                }
            },
            (object::Kind::Servers, true) => {
                let removal = self.knowledge.remove_server(name, now_ms);
                log::info!(
                    target: "toucanwall", server = name, outcome:? = removal,
                    revision = change.object.metadata.revision; "server entry vanished"
                );
            }
            (object::Kind::Rollouts, false) => match operator::decode_rollout(&change.object) {
                Ok(rollout) => {
                    log::info!(
                        target: "toucanwall", service = name, version = rollout.target.as_str(),
                        state:? = rollout.state, revision = change.object.metadata.revision;
                        "roll-out"
                    );
                    self.knowledge.put_rollout(rollout);
                }
                Err(error) => log_malformed(&error),
            },
            (object::Kind::Rollouts, true) => self.knowledge.remove_rollout(name),
            (object::Kind::Hosts, false) => {
                if let Some(host) = feed::decode_host(&change.object) {
                    self.knowledge.put_host(host);
                }
            }
            (object::Kind::Hosts, true) => self.knowledge.remove_host(name),
        }
    }

    fn take_configuration(&mut self, object: &object::Object) {
        if &*object.metadata.name != object::CONFIGURATION_NAME {
            return;
        }
        match operator::decode_configuration(object) {
            Ok(configuration) => {
                let version = configuration.version();
                let taken = self.knowledge.apply_configuration(configuration);
                log::info!(
                    target: "toucanwall", version = version, outcome:? = taken,
                    revision = object.metadata.revision; "configuration"
                );
                self.inputs.metrics.configuration(self.knowledge.version().unwrap_or(0));
            }
            Err(error) => log::error!(
                target: "toucanwall", why = error.to_string(), revision = object.metadata.revision,
                in_force = self.knowledge.version(); "configuration refused"
            ),
        }
    }

    fn publish(&self) {
        let view = self.knowledge.view();
        let hosts = view.serving_host_count();
        self.inputs.rollouts.take(&view.rollouts, hosts, self.inputs.clock.now());
        self.inputs.views.send_replace(Arc::new(view));
    }

    /// Whether a state was written just now and may not show yet.
    fn has_written(&self, wanted: &rollout::Rollout) -> bool {
        self.written.iter().any(|(written, _)| {
            written.order_revision == wanted.order_revision && written.state == wanted.state
        })
    }

    fn tick(&mut self) {
        let now_ms = self.inputs.clock.now_ms();
        let gone = self.knowledge.tick(now_ms);
        if !gone.is_empty() {
            log::info!(target: "toucanwall", servers:? = gone; "servers did not come back with the store");
            self.publish();
        }
        self.written.retain(|(_, at_ms)| now_ms < at_ms + REWRITE_MS);
        let view = Arc::clone(&self.inputs.views.borrow());
        let me = &self.inputs.settings.host;
        let delay_ms = |rollout: &rollout::Rollout| {
            let rank = view.rank_of(me, rollout.order_revision);
            RANK_DELAY_MS.saturating_mul(rank).min(RANK_DELAY_MAX_MS)
        };
        for due in self.inputs.rollouts.due(self.inputs.clock.now(), delay_ms) {
            if self.has_written(&due.rollout) {
                continue;
            }
            log::info!(
                target: "toucanwall", service = due.rollout.service.as_str(),
                version = due.rollout.target.as_str(), state:? = due.rollout.state,
                why = due.why; "roll-out step"
            );
            self.order(registrar::Order::Rollout(due.rollout.clone()));
            self.written.push((due.rollout, now_ms));
        }
    }
}

fn log_malformed<E>(error: &E)
where
    E: std::error::Error,
{
    log::warn!(target: "toucanwall", why = error.to_string(); "entry left out");
}
