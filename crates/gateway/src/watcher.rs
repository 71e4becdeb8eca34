//! Watches the objects of one kind in the platform's store.

use std::sync::Arc;
use std::time;

use rand::RngExt as _;
use toucanwall_platform::era;
use toucanwall_platform::object;
use toucanwall_platform::store;
use toucanwall_routing::position;

use crate::metrics;
use crate::reachability;
use crate::store_event;

/// Time for which a call waits for a change, in milliseconds: half of what the store allows. The
/// wait is long because every call to the store has a cost.
const WATCH_WAIT_MS: u64 = 15_000;
/// Time for which a call waits for a change during recovery from a failed call, in milliseconds.
const RECOVERY_WAIT_MS: u64 = 1_000;
/// Time after a failed call for which calls wait for [`RECOVERY_WAIT_MS`] only, in milliseconds. A
/// store that is dropping its history may accept a waiting call and never answer it.
const RECOVERY_MS: u64 = 5_000;
/// Shortest backoff after a failed call, in milliseconds.
const MIN_BACKOFF_MS: u64 = 50;
/// Longest backoff after failed calls, in milliseconds. It bounds the delay between the store's
/// recovery and its detection by this host.
const MAX_BACKOFF_MS: u64 = 500;
/// Time that a call needs to tell of a change, in milliseconds, besides the batching delay.
const ANSWER_MS: u64 = 300;

/// Sends the changes of one kind of object until the receiver is closed.
#[derive(Debug)]
pub struct Watcher {
    kind: object::Kind,
    store: store::StoreClient,
    /// Delay after received changes before the next call, in milliseconds, so that further changes
    /// are batched.
    batch_ms: u64,
    tracker: reachability::Tracker,
    events: tokio::sync::mpsc::UnboundedSender<store_event::Event>,
    metrics: Arc<metrics::Metrics>,
    /// Position up to which changes are known; `None` until the objects have been listed.
    position: Option<position::Position>,
    /// Consecutive failed calls.
    failures: u32,
    /// End of the recovery period, during which calls wait for a short time only.
    recovers_until: tokio::time::Instant,
}

/// Whether to make another call or to stop because the receiver is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    Call,
    Stop,
}

impl Watcher {
    /// Creates a watcher of a kind; changes within `batch_ms` of each other are sent as one event.
    #[must_use]
    pub fn new(
        kind: object::Kind,
        store: store::StoreClient,
        batch_ms: u64,
        tracker: reachability::Tracker,
        events: tokio::sync::mpsc::UnboundedSender<store_event::Event>,
        metrics: Arc<metrics::Metrics>,
    ) -> Self {
        let recovers_until = tokio::time::Instant::now();
        Self {
            kind,
            store,
            batch_ms,
            tracker,
            events,
            metrics,
            position: None,
            failures: 0,
            recovers_until,
        }
    }

    /// Watches until the receiver is closed.
    pub async fn run(mut self) {
        while self.step().await == Next::Call {}
    }

    async fn step(&mut self) -> Next {
        // Calls to an unreachable store have a cost and show no more than the probe does.
        let mut states = self.tracker.subscribe();
        let reachable = states.wait_for(|state| state.is_reachable).await.map(|state| *state);
        let Ok(current) = reachable else { return Next::Stop };
        let (latest_era, position) = (self.store.latest_era().clone(), self.position);
        let result = tokio::select! {
            result = self.call_store() => result,
            () = store_restored(&latest_era, position) => {
                log::info!(
                    target: "toucanwall", kind = self.kind.as_str();
                    "the store was restored from a copy; listing the objects again"
                );
                self.restart();
                return Next::Call;
            }
            // The pending call may have been lost.
            changed = states.wait_for(|state| *state != current) => {
                self.restart();
                return if changed.is_ok() { Next::Call } else { Next::Stop };
            }
        };
        self.metrics.record_store_call(self.kind.as_str(), result.is_err());
        match result {
            Ok(None) => Next::Call,
            Ok(Some(event)) => self.send_event(event).await,
            Err(store::StoreError::Restored) => {
                self.restart();
                Next::Call
            }
            Err(error) => self.recover(&error).await,
        }
    }

    async fn call_store(&mut self) -> Result<Option<store_event::Event>, store::StoreError> {
        match self.position {
            None => self.list().await.map(Some),
            Some(position) => self.watch(position).await,
        }
    }

    async fn send_event(&mut self, event: store_event::Event) -> Next {
        self.failures = 0;
        if self.events.send(event).is_err() {
            return Next::Stop;
        }
        tokio::time::sleep(time::Duration::from_millis(self.batch_ms)).await;
        Next::Call
    }

    async fn recover(&mut self, error: &store::StoreError) -> Next {
        log::info!(
            target: "toucanwall", kind = self.kind.as_str(), position:? = self.position,
            why = error.to_string(); "call to the store failed; listing the objects again"
        );
        self.restart();
        self.tracker.invalidate_pending_calls();
        self.failures += 1;
        let max_backoff_ms = (MIN_BACKOFF_MS << self.failures.min(8)).min(MAX_BACKOFF_MS);
        let backoff_ms = rand::rng().random_range(MIN_BACKOFF_MS..=max_backoff_ms);
        tokio::time::sleep(time::Duration::from_millis(backoff_ms)).await;
        Next::Call
    }

    /// Records the position up to which changes are known.
    fn set_position(&mut self, position: Option<position::Position>) {
        self.position = position;
        match position {
            Some(position) => {
                self.tracker.record_kind(self.kind, position, self.batch_ms + ANSWER_MS);
            }
            None => self.tracker.forget_kind(self.kind),
        }
    }

    /// Makes the next call list all objects, since changes may have been missed.
    fn restart(&mut self) {
        self.store.disconnect();
        self.set_position(None);
        self.recovers_until =
            tokio::time::Instant::now() + time::Duration::from_millis(RECOVERY_MS);
    }

    async fn list(&mut self) -> Result<store_event::Event, store::StoreError> {
        let mut objects: Vec<object::Object> = Vec::new();
        let mut position = None;
        loop {
            let after = objects.last().map(|object| Arc::clone(&object.metadata.name));
            let page = self.store.list(self.kind, after.as_deref()).await?;
            let is_last = !page.has_more;
            let last_name = page.entries.last().map(|object| &object.metadata.name);
            if !is_last && last_name <= after.as_ref() {
                let reason = "a page of a listing does not continue the one before";
                return Err(store::StoreError::Malformed(reason.to_owned()));
            }
            // Objects on earlier pages may have changed by the time a later page is read, so watch
            // from the position of the first page.
            let position = *position.get_or_insert(page.position);
            if page.position.era != position.era {
                return Err(store::StoreError::Restored);
            }
            objects.extend(page.entries);
            if is_last {
                self.set_position(Some(position));
                let listing = store_event::Listing { kind: self.kind, position, objects };
                return Ok(store_event::Event::Listed(listing));
            }
        }
    }

    async fn watch(
        &mut self,
        position: position::Position,
    ) -> Result<Option<store_event::Event>, store::StoreError> {
        let has_recovered = tokio::time::Instant::now() >= self.recovers_until;
        let wait_ms = if has_recovered { WATCH_WAIT_MS } else { RECOVERY_WAIT_MS };
        let changes = self.store.watch(self.kind, position, wait_ms).await?;
        let change_set = store_event::ChangeSet {
            kind: self.kind,
            base_revision: position.revision,
            position: changes.position.max(position),
            changes: changes.events,
        };
        self.set_position(Some(change_set.position));
        let has_changes = !change_set.changes.is_empty();
        Ok(has_changes.then_some(store_event::Event::Changed(change_set)))
    }
}

/// Waits until the store is in a later era than the known changes; waits for ever if none are known.
async fn store_restored(latest_era: &era::LatestEra, known: Option<position::Position>) {
    match known {
        Some(position) => latest_era.later_than(position.era).await,
        None => std::future::pending().await,
    }
}
