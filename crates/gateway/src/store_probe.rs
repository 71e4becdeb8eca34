//! Probes the platform's store with the cheapest call available: about once a second, or more often
//! while the store is unreachable or other hosts subscribe to this one.
//!
//! The answer also shows whether anything has changed. If so, each kind of object that this does not
//! confirm is checked for changes that its waiting call has not told of.

use std::sync::Arc;
use std::time;

use toucanwall_platform::object;
use toucanwall_platform::store;
use toucanwall_policy::freshness;
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
}

impl StoreProbe {
    /// Creates a probe that has not called the store yet.
    #[must_use]
    pub fn new(inputs: Inputs) -> Self {
        Self { inputs }
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
            let next_check = self.inputs.tracker.next_check().filter(|_| is_reachable);
            let probing = wait_for_next_probe(is_reachable, &mut subscriber_count);
            match next_check {
                Some(at) => drop(tokio::time::timeout_at(at, probing).await),
                None => probing.await,
            }
        }
    }

    /// Makes one probe; any kind of answer means that the store is reachable.
    async fn probe(&mut self) -> Result<(), store::StoreError> {
        let kind = object::Kind::Configuration;
        let called_at = tokio::time::Instant::now();
        let Some(known) = self.inputs.tracker.known_position(kind) else {
            return self.read_own_entry().await;
        };
        match self.check(kind, known).await {
            Looked::Unanswered => {
                self.read_own_entry().await?;
                // The store answers, but not about changes.
                for (kind, known) in self.inputs.tracker.known_kinds() {
                    self.conclude(kind, known, freshness::Check::Unanswered);
                }
                Ok(())
            }
            Looked::Failed(error) if error.is_outage() => Err(error),
            Looked::Failed(_) => {
                self.inputs.tracker.record_answer(called_at);
                Ok(())
            }
            Looked::Answered(check, position) => {
                self.inputs.tracker.record_answer(called_at);
                self.conclude(kind, known, check);
                if let Some(position) = position {
                    self.check_other_kinds(position).await;
                }
                Ok(())
            }
        }
    }

    /// Reads one object on a new connection; a lost connection says nothing about the store until a
    /// new one was tried.
    async fn read_own_entry(&mut self) -> Result<(), store::StoreError> {
        let Inputs { store, host, tracker, metrics, .. } = &mut self.inputs;
        store.disconnect();
        let called_at = tokio::time::Instant::now();
        let result = store.read_stale(object::Kind::Hosts, host).await;
        metrics.record_store_call("pulse", result.is_err());
        match result {
            Err(error) if error.is_outage() => Err(error),
            _ => {
                tracker.record_answer(called_at);
                Ok(())
            }
        }
    }

    /// Checks the kinds that are not known to be unchanged up to the store's position.
    async fn check_other_kinds(&mut self, store: position::Position) {
        for (kind, known) in self.inputs.tracker.record_position(store) {
            if kind == object::Kind::Configuration {
                continue;
            }
            match self.check(kind, known).await {
                Looked::Answered(check, _) => self.conclude(kind, known, check),
                Looked::Unanswered => {
                    self.inputs.store.disconnect();
                    self.conclude(kind, known, freshness::Check::Unanswered);
                    return;
                }
                Looked::Failed(error) => {
                    log::info!(
                        target: "toucanwall", kind = kind.as_str(), why = error.to_string();
                        "cannot check whether changes were missed"
                    );
                    return;
                }
            }
        }
    }

    /// Asks the store for changes of a kind after a position, without waiting for one.
    async fn check(&mut self, kind: object::Kind, known: position::Position) -> Looked {
        let timeout = time::Duration::from_millis(CHANGES_TIMEOUT_MS);
        let calling = self.inputs.store.read_changes_stale(kind, known);
        let result = tokio::time::timeout(timeout, calling).await;
        let has_failed = !matches!(result, Ok(Ok(_)));
        self.inputs.metrics.record_store_call("pulse", has_failed);
        match result {
            Ok(Ok(changes)) if changes.events.is_empty() => {
                let check = freshness::Check::Unchanged(changes.position);
                Looked::Answered(check, Some(changes.position))
            }
            Ok(Ok(changes)) => Looked::Answered(freshness::Check::Changed, Some(changes.position)),
            Ok(Err(store::StoreError::HistoryExpired)) => {
                Looked::Answered(freshness::Check::Changed, None)
            }
            Ok(Err(store::StoreError::ConnectionLost(_))) | Err(_) => Looked::Unanswered,
            Ok(Err(error)) => Looked::Failed(error),
        }
    }

    /// Acts on a check: makes the watchers list the objects again if a waiting call was lost, and tells
    /// of confirmed roll-outs.
    fn conclude(&mut self, kind: object::Kind, known: position::Position, check: freshness::Check) {
        match self.inputs.tracker.record_check(kind, known, check) {
            freshness::Verdict::Lost => {
                log::warn!(
                    target: "toucanwall", kind = kind.as_str(), known:? = known, check:? = check;
                    "pending watch call was lost; repeating it"
                );
                self.inputs.metrics.record_lost_watch(kind.as_str());
                self.inputs.tracker.invalidate_pending_calls();
            }
            freshness::Verdict::Confirmed(position)
                if kind == object::Kind::Rollouts && position > known =>
            {
                let unchanged = store_event::ChangeSet::unchanged(kind, known, position);
                if self.inputs.events.send(store_event::Event::Changed(unchanged)).is_err() {
                    log::debug!(target: "toucanwall", "receiver of store events is closed");
                }
            }
            freshness::Verdict::Confirmed(_) | freshness::Verdict::Pending => {}
        }
    }
}

/// Result of a call for changes.
enum Looked {
    /// The store answered, at a position unless it no longer knows the changes.
    Answered(freshness::Check, Option<position::Position>),
    /// The call failed for another reason than a lost answer.
    Failed(store::StoreError),
    /// The store did not answer in time, or the connection was lost.
    Unanswered,
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
