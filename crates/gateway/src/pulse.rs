//! Looks at the platform's store each second or more often, with the cheapest call that there is.

use std::sync::Arc;
use std::time;

use toucanwall_platform::object;
use toucanwall_platform::store;

use crate::metrics;
use crate::news;
use crate::reach;
use crate::relay;

/// Time between two looks, in milliseconds.
const PULSE_MS: u64 = 1_000;
/// Time between two looks while the store does not answer or other hosts listen, in milliseconds: they
/// leave a host that has been without the store for three times as long.
const PULSE_SHORT_MS: u64 = 400;
/// Time for which changes may wait at the store unheard, in milliseconds: longer than they gather.
const BEHIND_MS: u64 = 1_000;

/// What a pulse works with.
#[derive(Debug)]
pub struct Inputs {
    /// The store.
    pub store: store::StoreClient,
    /// Name of this host.
    pub host: Arc<str>,
    /// Whom to tell about the store's reach.
    pub reach: reach::Shared,
    /// Tells whether other hosts listen to this one.
    pub relay: Arc<relay::Relay>,
    /// Where news go.
    pub news: tokio::sync::mpsc::UnboundedSender<news::News>,
    /// What is counted.
    pub metrics: Arc<metrics::Metrics>,
}

/// Finds outages of the store, and calls that it lost without a word.
#[derive(Debug)]
pub struct Pulse {
    inputs: Inputs,
    /// Revision of the configuration that changes waited behind at the look before, and since when.
    behind: Option<(u64, tokio::time::Instant)>,
}

impl Pulse {
    /// Looks at the store and tells the reach and the news.
    #[must_use]
    pub fn new(inputs: Inputs) -> Self {
        Self { inputs, behind: None }
    }

    /// Looks until nobody listens any more.
    pub async fn run(mut self) {
        // The first look is told in any case: what was known before may be otherwise.
        let mut is_first = true;
        let mut listeners = self.inputs.relay.subscribe_listeners();
        while !self.inputs.news.is_closed() {
            let (is_up, news) = match self.look().await {
                Ok(()) => (true, news::News::Answered),
                Err(error) => (false, news::News::Outage(error.to_string())),
            };
            let has_changed = self.inputs.reach.set_up(is_up);
            if (has_changed || is_first) && self.inputs.news.send(news).is_err() {
                log::debug!(target: "toucanwall", "nobody listens to the store's pulse");
            }
            is_first = false;
            pause(is_up, &mut listeners).await;
        }
    }

    /// One look; an answer of any kind means that the store is there.
    async fn look(&mut self) -> Result<(), store::StoreError> {
        let Inputs { store, host, reach, metrics, .. } = &mut self.inputs;
        let called_at = tokio::time::Instant::now();
        let revision = reach.configuration_revision();
        let result = if revision == 0 {
            store.read_stale(object::Kind::Hosts, host).await.map(|_| false)
        } else {
            let kind = object::Kind::Configuration;
            let changes = store.read_changes_stale(kind, revision).await;
            changes.map(|changes| !changes.events.is_empty())
        };
        metrics.store_call("pulse", result.is_err());
        if result.as_ref().err().is_none_or(|error| !error.is_outage()) {
            reach.answered(called_at);
        }
        match result {
            Err(error) if error.is_outage() => Err(error),
            Err(store::StoreError::HistoryExpired) | Ok(true) => {
                self.find_behind(revision);
                Ok(())
            }
            _ => {
                self.behind = None;
                Ok(())
            }
        }
    }

    /// Changes that the waiting call has not told for a while will not be told by it.
    fn find_behind(&mut self, revision: u64) {
        let now = tokio::time::Instant::now();
        let since = match self.behind {
            Some((behind, since)) if behind == revision => since,
            _ => now,
        };
        self.behind = Some((revision, since));
        if now.duration_since(since) >= time::Duration::from_millis(BEHIND_MS) {
            log::warn!(target: "toucanwall", revision = revision; "a call that waits for changes was lost");
            self.inputs.reach.doubt();
            self.behind = None;
        }
    }
}

/// Waits for the time of the next look; the first host that listens wants to hear soon.
async fn pause(is_up: bool, listeners: &mut tokio::sync::watch::Receiver<usize>) {
    let short = time::Duration::from_millis(PULSE_SHORT_MS);
    if !is_up || *listeners.borrow_and_update() > 0 {
        tokio::time::sleep(short).await;
        return;
    }
    let long = tokio::time::sleep(time::Duration::from_millis(PULSE_MS));
    tokio::select! {
        () = long => {}
        _ = listeners.wait_for(|listeners| *listeners > 0) => {}
    }
}
