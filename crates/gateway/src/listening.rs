//! A host's time with one relay: what it hears there, and when it leaves.

use std::io;
use std::sync::Arc;
use std::time;

use toucanwall_platform::object;
use toucanwall_platform::store;
use toucanwall_policy::relay;

use crate::clock;
use crate::feed;
use crate::frame;
use crate::metrics;
use crate::news;
use crate::rollouts;
use crate::subscription;

/// Time between two looks at the health of the relay, in milliseconds.
const TICK_MS: u64 = 100;

/// Why a relay is left though its connection stands.
const WORSE_OFF: &str = "it is silent or has lost the store, which answers this host";

/// Listens to one relay.
#[derive(Debug)]
pub struct Listening {
    subscription: subscription::Subscription,
    contact: relay::RelayHealth,
    clock: clock::Clock,
    news: tokio::sync::mpsc::UnboundedSender<news::News>,
    metrics: Arc<metrics::Metrics>,
    rollouts: Arc<rollouts::Rollouts>,
    host: Arc<str>,
    /// The way to the store for looks of this host's own; away while one is under way.
    store: Option<store::StoreClient>,
    look: Option<tokio::task::JoinHandle<(store::StoreClient, bool)>>,
    /// What was last said about the store.
    has_store: Option<bool>,
    ticks: tokio::time::Interval,
}

/// What to do after a step.
#[derive(Debug)]
pub enum Next {
    /// Go on listening.
    Listen,
    /// The relay is of no use any more.
    Leave(String),
}

impl Listening {
    /// Begins with a relay that has just answered.
    #[must_use]
    pub fn new(subscription: subscription::Subscription, inputs: &feed::Inputs) -> Self {
        let mut ticks = tokio::time::interval(time::Duration::from_millis(TICK_MS));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        Self {
            subscription,
            contact: relay::RelayHealth::new(inputs.clock.now_ms()),
            clock: inputs.clock,
            news: inputs.news.clone(),
            metrics: Arc::clone(&inputs.metrics),
            rollouts: Arc::clone(&inputs.rollouts),
            host: inputs.host.name.as_str().into(),
            store: Some(store::StoreClient::new(inputs.settings.store_address)),
            look: None,
            has_store: None,
            ticks,
        }
    }

    /// Waits for the next thing and acts on it.
    pub async fn step(&mut self) -> Next {
        tokio::select! {
            frame = self.subscription.next() => self.take(frame),
            (store, has_answered) = finished(&mut self.look) => {
                self.look = None;
                self.store = Some(store);
                self.judge(has_answered)
            }
            _ = self.ticks.tick() => match self.report().await {
                Ok(()) => self.check(),
                Err(error) => Next::Leave(error.to_string()),
            },
        }
    }

    /// Tells the relay what this host has seen of roll-outs.
    async fn report(&mut self) -> io::Result<()> {
        let reports = self.rollouts.take_unreported();
        if reports.is_empty() { Ok(()) } else { self.subscription.report(&reports).await }
    }

    fn take(&mut self, frame: io::Result<frame::Frame>) -> Next {
        let now_ms = self.clock.now_ms();
        self.contact.record_message(now_ms);
        match frame {
            Ok(frame::Frame::Listing(listing)) => self.send(news::News::Listed(listing)),
            Ok(frame::Frame::Difference(difference)) => {
                self.send(news::News::Changed(difference));
            }
            Ok(frame::Frame::Beat { store_age_ms, has_store }) => {
                self.contact.record_heartbeat(store_age_ms, has_store, now_ms);
                // Whether a store that the relay has lost is away is for this host's own look to say.
                if has_store {
                    self.tell(true, "");
                }
            }
            Err(error) => return Next::Leave(error.to_string()),
        }
        Next::Listen
    }

    fn check(&mut self) -> Next {
        match self.contact.next_action(self.clock.now_ms()) {
            relay::Action::Continue => Next::Listen,
            relay::Action::ProbeStore => {
                if let Some(store) = self.store.take() {
                    let (host, metrics) = (Arc::clone(&self.host), Arc::clone(&self.metrics));
                    self.look = Some(tokio::spawn(look(store, host, metrics)));
                }
                Next::Listen
            }
            relay::Action::Leave => Next::Leave(WORSE_OFF.to_owned()),
        }
    }

    fn judge(&mut self, has_answered: bool) -> Next {
        match self.contact.record_probe(has_answered, self.clock.now_ms()) {
            relay::Verdict::Keep => Next::Listen,
            relay::Verdict::Leave => Next::Leave(WORSE_OFF.to_owned()),
            relay::Verdict::Isolated => {
                self.tell(false, "neither the relay nor this host has the store");
                Next::Listen
            }
        }
    }

    /// Says whether the store is there, if that is news.
    fn tell(&mut self, has_store: bool, why: &str) {
        if self.has_store.replace(has_store) != Some(has_store) {
            self.send(if has_store {
                news::News::Answered
            } else {
                news::News::Outage(why.to_owned())
            });
        }
    }

    fn send(&self, news: news::News) {
        if self.news.send(news).is_err() {
            log::debug!(target: "toucanwall", "nobody listens to the relay's news");
        }
    }
}

/// One look at the store, with the cheapest call that there is.
async fn look(
    mut store: store::StoreClient,
    host: Arc<str>,
    metrics: Arc<metrics::Metrics>,
) -> (store::StoreClient, bool) {
    let result = store.read_stale(object::Kind::Hosts, &host).await;
    let has_answered = result.as_ref().err().is_none_or(|error| !error.is_outage());
    metrics.store_call("look", !has_answered);
    (store, has_answered)
}

/// The result of a look that is under way; never comes if there is none.
async fn finished(
    look: &mut Option<tokio::task::JoinHandle<(store::StoreClient, bool)>>,
) -> (store::StoreClient, bool) {
    if let Some(look) = look {
        match look.await {
            Ok(result) => return result,
            Err(error) => {
                log::error!(target: "toucanwall", why = error.to_string(); "a look at the store broke off");
            }
        }
    }
    std::future::pending().await
}
