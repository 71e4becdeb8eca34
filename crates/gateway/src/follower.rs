//! Follows one kind of object in the platform's store.

use std::net;
use std::sync::Arc;
use std::time;

use rand::RngExt as _;
use toucanwall_platform::object;
use toucanwall_platform::store;

use crate::metrics;
use crate::news;
use crate::reach;

/// Time that a call waits for a change, in milliseconds: half of what the store allows, since each
/// call is priced.
const WAIT_MS: u64 = 15_000;
/// Time that a call waits for a change after a call that failed, in milliseconds.
const SETTLE_WAIT_MS: u64 = 1_000;
/// Time after a call that failed in which calls wait for [`SETTLE_WAIT_MS`] only, in milliseconds: a
/// store that is dropping history may keep a call waiting that it will not answer.
const SETTLE_MS: u64 = 5_000;
/// First pause after a call without an answer, in milliseconds.
const PAUSE_MIN_MS: u64 = 50;
/// Longest pause after calls without an answer, in milliseconds: bounds how much later than the
/// store's return a host hears of it.
const PAUSE_MAX_MS: u64 = 500;

/// Follows one kind until nobody listens any more.
#[derive(Debug)]
pub struct Follower {
    kind: object::Kind,
    store: store::StoreClient,
    /// Time for which changes gather after some have come, in milliseconds.
    gather_ms: u64,
    reach: reach::Shared,
    news: tokio::sync::mpsc::UnboundedSender<news::News>,
    metrics: Arc<metrics::Metrics>,
    /// Revision up to which changes are known; nothing before the first list.
    revision: Option<u64>,
    failures: u32,
    /// Until when calls wait for a short time only.
    settles_until: tokio::time::Instant,
}

/// Whether somebody still listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    Call,
    Stop,
}

impl Follower {
    /// Follows a kind; changes that come within `gather_ms` of each other come together.
    #[must_use]
    pub fn new(
        kind: object::Kind,
        address: net::SocketAddr,
        gather_ms: u64,
        reach: reach::Shared,
        news: tokio::sync::mpsc::UnboundedSender<news::News>,
        metrics: Arc<metrics::Metrics>,
    ) -> Self {
        let store = store::StoreClient::new(address);
        let settles_until = tokio::time::Instant::now();
        Self {
            kind,
            store,
            gather_ms,
            reach,
            news,
            metrics,
            revision: None,
            failures: 0,
            settles_until,
        }
    }

    /// Follows until nobody listens any more.
    pub async fn run(mut self) {
        while self.step().await == Next::Call {}
    }

    async fn step(&mut self) -> Next {
        // Calls to a store that is away are priced and say no more than the pulse does.
        let mut reach = self.reach.subscribe();
        let waited = reach.wait_for(|reach| reach.is_up).await.map(|reach| *reach);
        let Ok(up) = waited else { return Next::Stop };
        let result = tokio::select! {
            result = self.call() => result,
            // What waits may have been lost.
            changed = reach.wait_for(|reach| *reach != up) => {
                self.start_over();
                return if changed.is_ok() { Next::Call } else { Next::Stop };
            }
        };
        self.metrics.store_call(self.kind.as_str(), result.is_err());
        match result {
            Ok(None) => Next::Call,
            Ok(Some(news)) => self.pass_on(news).await,
            Err(error) => self.recover(&error).await,
        }
    }

    async fn call(&mut self) -> Result<Option<news::News>, store::StoreError> {
        match self.revision {
            None => self.list().await.map(Some),
            Some(revision) => self.watch(revision).await,
        }
    }

    async fn pass_on(&mut self, news: news::News) -> Next {
        self.failures = 0;
        if self.news.send(news).is_err() {
            return Next::Stop;
        }
        tokio::time::sleep(time::Duration::from_millis(self.gather_ms)).await;
        Next::Call
    }

    async fn recover(&mut self, error: &store::StoreError) -> Next {
        log::info!(
            target: "toucanwall", kind = self.kind.as_str(), revision = self.revision,
            why = error.to_string(); "the store's changes are asked for again"
        );
        self.start_over();
        self.reach.doubt();
        self.failures += 1;
        let longest_ms = (PAUSE_MIN_MS << self.failures.min(8)).min(PAUSE_MAX_MS);
        let pause_ms = rand::rng().random_range(PAUSE_MIN_MS..=longest_ms);
        tokio::time::sleep(time::Duration::from_millis(pause_ms)).await;
        Next::Call
    }

    /// Notes up to which revision changes are known.
    fn advance(&mut self, revision: Option<u64>) {
        self.revision = revision;
        if self.kind == object::Kind::Configuration {
            self.reach.set_configuration_revision(revision.unwrap_or(0));
        }
    }

    /// Lists anew with the next call, which tells what changes may have been missed.
    fn start_over(&mut self) {
        self.store.disconnect();
        self.revision = None;
        self.settles_until = tokio::time::Instant::now() + time::Duration::from_millis(SETTLE_MS);
    }

    async fn list(&mut self) -> Result<news::News, store::StoreError> {
        let mut objects: Vec<object::Object> = Vec::new();
        let mut revision = None;
        loop {
            let after = objects.last().map(|object| Arc::clone(&object.metadata.name));
            let page = self.store.list(self.kind, after.as_deref()).await?;
            let is_last = !page.has_more || page.entries.is_empty();
            // Changes after the first page may be missing in the later ones.
            let revision = *revision.get_or_insert(page.revision);
            objects.extend(page.entries);
            if is_last {
                self.advance(Some(revision));
                let listing = news::Listing { kind: self.kind, revision, objects };
                return Ok(news::News::Listed(listing));
            }
        }
    }

    async fn watch(&mut self, revision: u64) -> Result<Option<news::News>, store::StoreError> {
        let is_settled = tokio::time::Instant::now() >= self.settles_until;
        let wait_ms = if is_settled { WAIT_MS } else { SETTLE_WAIT_MS };
        let changes = self.store.watch(self.kind, revision, wait_ms).await?;
        let difference = news::Difference {
            kind: self.kind,
            after: revision,
            revision: changes.revision.max(revision),
            changes: changes.events,
        };
        self.advance(Some(difference.revision));
        let has_changes = !difference.changes.is_empty();
        Ok(has_changes.then_some(news::News::Changed(difference)))
    }
}
