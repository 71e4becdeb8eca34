//! A session with one relay: receives its messages and decides when to leave it.

use std::collections;
use std::io;
use std::sync::Arc;
use std::time;

use toucanwall_platform::era;
use toucanwall_platform::object;
use toucanwall_platform::store;
use toucanwall_policy::relay;

use crate::change_feed;
use crate::clock;
use crate::frame;
use crate::metrics;
use crate::rollouts;
use crate::store_event;
use crate::subscription;

/// Interval between two health checks of the relay, in milliseconds.
const HEALTH_CHECK_INTERVAL_MS: u64 = 100;

/// Reason for leaving a relay whose connection is still open.
const UNHEALTHY_RELAY: &str =
    "the relay is silent or has lost the store, which this host can reach";

/// A session of this host with one relay.
#[derive(Debug)]
pub struct RelaySession {
    subscription: subscription::Subscription,
    health: relay::RelayHealth,
    clock: clock::Clock,
    events: tokio::sync::mpsc::UnboundedSender<store_event::Event>,
    metrics: Arc<metrics::Metrics>,
    rollouts: Arc<rollouts::Rollouts>,
    host: Arc<str>,
    latest_era: era::LatestEra,
    /// Client for this host's own probes of the store; `None` while a probe is running.
    store: Option<store::StoreClient>,
    /// The running probe of the store.
    probe: Option<tokio::task::JoinHandle<(store::StoreClient, bool)>>,
    /// Kinds of objects that this host follows and the relay has not listed. It lists those that it
    /// follows before its first heartbeat.
    unlisted: collections::BTreeSet<object::Kind>,
    /// Watches the kinds that the relay does not follow, since it is of an earlier build.
    watchers: tokio::task::JoinSet<()>,
    inputs: change_feed::WatchInputs,
    /// The reachability of the store that was last reported.
    has_store: Option<bool>,
    ticks: tokio::time::Interval,
}

/// What the change feed does after a step.
#[derive(Debug)]
pub enum Next {
    /// Continue with this relay.
    Continue,
    /// Leave the relay, for the given reason.
    Leave(String),
}

impl RelaySession {
    /// Starts a session with a relay that has just accepted this host.
    #[must_use]
    pub fn new(subscription: subscription::Subscription, inputs: &change_feed::Inputs) -> Self {
        let mut ticks =
            tokio::time::interval(time::Duration::from_millis(HEALTH_CHECK_INTERVAL_MS));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        Self {
            subscription,
            health: relay::RelayHealth::new(inputs.clock.now_ms()),
            clock: inputs.clock,
            events: inputs.events.clone(),
            metrics: Arc::clone(&inputs.metrics),
            rollouts: Arc::clone(&inputs.rollouts),
            host: inputs.host.name.as_str().into(),
            latest_era: inputs.latest_era.clone(),
            store: Some(inputs.store_client()),
            probe: None,
            unlisted: change_feed::followed_kinds(&inputs.settings).into_iter().collect(),
            watchers: tokio::task::JoinSet::new(),
            inputs: inputs.watch_inputs(),
            has_store: None,
            ticks,
        }
    }

    /// Waits for a message, a probe result or a health check, and handles it.
    pub async fn step(&mut self) -> Next {
        tokio::select! {
            frame = self.subscription.next_frame() => self.handle_frame(frame),
            (store, has_answered) = probe_finished(&mut self.probe) => {
                self.probe = None;
                self.store = Some(store);
                self.handle_probe_result(has_answered)
            }
            _ = self.ticks.tick() => match self.send_reports().await {
                Ok(()) => self.check_health(),
                Err(error) => Next::Leave(error.to_string()),
            },
        }
    }

    /// Sends this host's new roll-out reports to the relay.
    async fn send_reports(&mut self) -> io::Result<()> {
        let reports = self.rollouts.take_unreported();
        if reports.is_empty() { Ok(()) } else { self.subscription.send_reports(&reports).await }
    }

    fn handle_frame(&mut self, frame: io::Result<frame::Frame>) -> Next {
        let now_ms = self.clock.now_ms();
        self.health.record_message(now_ms);
        match frame {
            Ok(frame::Frame::Listing(listing)) => {
                self.unlisted.remove(&listing.kind);
                self.send(store_event::Event::Listed(listing));
            }
            Ok(frame::Frame::ChangeSet(change_set)) => {
                self.send(store_event::Event::Changed(change_set));
            }
            Ok(frame::Frame::Heartbeat { store_age_ms, has_store }) => {
                self.health.record_heartbeat(store_age_ms, has_store, now_ms);
                self.watch_unlisted();
                // A store that the relay cannot reach counts as unreachable only once this host's
                // own probe fails too.
                if has_store {
                    self.report_store(true, "");
                }
            }
            Err(error) => return Next::Leave(error.to_string()),
        }
        Next::Continue
    }

    /// Watches the kinds in the store that the relay does not send.
    fn watch_unlisted(&mut self) {
        for kind in std::mem::take(&mut self.unlisted) {
            log::info!(
                target: "toucanwall", kind = kind.as_str();
                "the relay does not follow a kind of objects; watching it in the store"
            );
            self.watchers.spawn(self.inputs.watcher(kind).run());
        }
    }

    fn check_health(&mut self) -> Next {
        match self.health.next_action(self.clock.now_ms()) {
            relay::Action::Continue => Next::Continue,
            relay::Action::ProbeStore => {
                if let Some(store) = self.store.take() {
                    let (host, metrics) = (Arc::clone(&self.host), Arc::clone(&self.metrics));
                    self.probe = Some(tokio::spawn(probe(store, host, metrics)));
                }
                Next::Continue
            }
            relay::Action::Leave => Next::Leave(UNHEALTHY_RELAY.to_owned()),
        }
    }

    fn handle_probe_result(&mut self, has_answered: bool) -> Next {
        match self.health.record_probe(has_answered, self.clock.now_ms()) {
            relay::Verdict::Keep => Next::Continue,
            relay::Verdict::Leave => Next::Leave(UNHEALTHY_RELAY.to_owned()),
            relay::Verdict::Isolated => {
                self.report_store(false, "neither the relay nor this host can reach the store");
                Next::Continue
            }
        }
    }

    /// Sends an event if the reachability of the store has changed.
    fn report_store(&mut self, has_store: bool, reason: &str) {
        if self.has_store.replace(has_store) != Some(has_store) {
            self.send(if has_store {
                store_event::Event::Available
            } else {
                store_event::Event::Unavailable(reason.to_owned())
            });
        }
    }

    fn send(&self, mut event: store_event::Event) {
        event.assume_era(self.latest_era.get());
        if let Some(position) = event.position() {
            self.latest_era.record(position.era);
        }
        if self.events.send(event).is_err() {
            log::debug!(target: "toucanwall", "receiver of store events is closed");
        }
    }
}

/// Probes the store with the cheapest call available.
async fn probe(
    mut store: store::StoreClient,
    host: Arc<str>,
    metrics: Arc<metrics::Metrics>,
) -> (store::StoreClient, bool) {
    let result = store.read_stale(object::Kind::Hosts, &host).await;
    let has_answered = result.as_ref().err().is_none_or(|error| !error.is_outage());
    metrics.record_store_call("look", !has_answered);
    (store, has_answered)
}

/// Waits for the result of the running probe; waits for ever if there is none.
async fn probe_finished(
    probe: &mut Option<tokio::task::JoinHandle<(store::StoreClient, bool)>>,
) -> (store::StoreClient, bool) {
    if let Some(probe) = probe {
        match probe.await {
            Ok(result) => return result,
            Err(error) => {
                log::error!(target: "toucanwall", why = error.to_string(); "probe of the store was aborted");
            }
        }
    }
    std::future::pending().await
}
