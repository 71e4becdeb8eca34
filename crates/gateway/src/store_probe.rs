//! Probes the platform's store with the cheapest call available: about once a second, or more often
//! while the store is unreachable or other hosts subscribe to this one.

use std::sync::Arc;
use std::time;

use toucanwall_platform::object;
use toucanwall_platform::store;
use toucanwall_routing::position;

use crate::metrics;
use crate::reachability;
use crate::relay;
use crate::store_event;

/// Interval between two probes, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 1_000;
/// Interval between two probes while the store is unreachable or other hosts subscribe to this one,
/// in milliseconds. Subscribers leave a relay that the store has not answered for about three times
/// this interval.
const SHORT_PROBE_INTERVAL_MS: u64 = 400;
/// Time for a probe that also looks for changes, in milliseconds. While the store drops its history,
/// it leaves such calls unanswered and still answers others.
const CHANGES_TIMEOUT_MS: u64 = 300;
/// Time for which a probe may see changes that the pending call has not returned, in milliseconds:
/// longer than the batching delay.
const MAX_LAG_MS: u64 = 1_000;

/// Dependencies of a store probe.
#[derive(Debug)]
pub struct Inputs {
    /// Client of the store.
    pub store: store::StoreClient,
    /// Name of this host.
    pub host: Arc<str>,
    /// Records whether the store is reachable.
    pub tracker: reachability::Tracker,
    /// Provides the number of hosts that subscribe to this one.
    pub relay: Arc<relay::Relay>,
    /// Channel on which store events are sent.
    pub events: tokio::sync::mpsc::UnboundedSender<store_event::Event>,
    /// Metrics of the host.
    pub metrics: Arc<metrics::Metrics>,
}

/// Detects outages of the store and pending calls that it has silently dropped.
#[derive(Debug)]
pub struct StoreProbe {
    inputs: Inputs,
    /// Known configuration position that a probe found outdated, and when a probe first found that.
    lag: Option<(position::Position, tokio::time::Instant)>,
}

impl StoreProbe {
    /// Creates a probe that has not called the store yet.
    #[must_use]
    pub fn new(inputs: Inputs) -> Self {
        Self { inputs, lag: None }
    }

    /// Probes the store until the receiver of events is closed.
    pub async fn run(mut self) {
        // The first result is always sent, since the receiver may hold an outdated state from
        // another source.
        let mut is_first = true;
        let mut subscriber_count = self.inputs.relay.subscriber_count_updates();
        while !self.inputs.events.is_closed() {
            let (is_reachable, event) = match self.probe().await {
                Ok(()) => (true, store_event::Event::Available),
                Err(error) => (false, store_event::Event::Unavailable(error.to_string())),
            };
            let has_changed = self.inputs.tracker.set_reachable(is_reachable);
            if (has_changed || is_first) && self.inputs.events.send(event).is_err() {
                log::debug!(target: "toucanwall", "receiver of store events is closed");
            }
            is_first = false;
            wait_for_next_probe(is_reachable, &mut subscriber_count).await;
        }
    }

    /// Makes one probe; any kind of answer means that the store is reachable.
    async fn probe(&mut self) -> Result<(), store::StoreError> {
        let Inputs { store, host, tracker, metrics, .. } = &mut self.inputs;
        let mut called_at = tokio::time::Instant::now();
        let position = tracker.configuration_position();
        let timeout = time::Duration::from_millis(CHANGES_TIMEOUT_MS);
        let mut looked = None;
        if let Some(position) = position {
            let calling = store.read_changes_stale(object::Kind::Configuration, position);
            looked = match tokio::time::timeout(timeout, calling).await {
                Ok(Err(store::StoreError::ConnectionLost(_))) | Err(_) => None,
                Ok(result) => Some(result),
            };
            if looked.is_none() {
                metrics.record_store_call("pulse", true);
            }
        }
        let result = if let Some(changes) = looked {
            changes.map(|changes| !changes.events.is_empty())
        } else {
            // A lost connection says nothing about the store until a new one was tried.
            store.disconnect();
            called_at = tokio::time::Instant::now();
            store.read_stale(object::Kind::Hosts, host).await.map(|_| false)
        };
        metrics.record_store_call("pulse", result.is_err());
        if result.as_ref().err().is_none_or(|error| !error.is_outage()) {
            tracker.record_answer(called_at);
        }
        match result {
            Err(error) if error.is_outage() => Err(error),
            Err(store::StoreError::HistoryExpired) | Ok(true) => {
                self.check_lag(position.unwrap_or_default());
                Ok(())
            }
            _ => {
                self.lag = None;
                Ok(())
            }
        }
    }

    /// Invalidates pending calls if they have not returned known changes within [`MAX_LAG_MS`],
    /// since they will not return them any more.
    fn check_lag(&mut self, position: position::Position) {
        let now = tokio::time::Instant::now();
        let since = match self.lag {
            Some((known, since)) if known == position => since,
            _ => now,
        };
        self.lag = Some((position, since));
        if now.duration_since(since) >= time::Duration::from_millis(MAX_LAG_MS) {
            log::warn!(target: "toucanwall", position:? = position; "pending watch call was lost; repeating it");
            self.inputs.tracker.invalidate_pending_calls();
            self.lag = None;
        }
    }
}

/// Waits until the next probe is due; a first subscriber shortens the wait.
async fn wait_for_next_probe(
    is_reachable: bool,
    subscriber_count: &mut tokio::sync::watch::Receiver<usize>,
) {
    let short = time::Duration::from_millis(SHORT_PROBE_INTERVAL_MS);
    if !is_reachable || *subscriber_count.borrow_and_update() > 0 {
        tokio::time::sleep(short).await;
        return;
    }
    let long = tokio::time::sleep(time::Duration::from_millis(PROBE_INTERVAL_MS));
    tokio::select! {
        () = long => {}
        _ = subscriber_count.wait_for(|count| *count > 0) => {}
    }
}
