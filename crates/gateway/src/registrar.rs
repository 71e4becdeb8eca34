//! Writes of one host to the platform's store: its own entry, and how far roll-outs are.

use std::net;
use std::sync::Arc;
use std::time;

use serde_json::value;
use toucanwall_platform::object;
use toucanwall_platform::operator;
use toucanwall_platform::store;
use toucanwall_routing::host;
use toucanwall_routing::rollout;

use crate::metrics;

/// Pause between two tries to write, in milliseconds.
const PAUSE_MS: u64 = 250;

/// Something to write.
#[derive(Debug)]
pub enum Order {
    /// This host's entry.
    Host(host::HostEntry),
    /// How far a roll-out is.
    Rollout(rollout::Rollout),
    /// This host's entry goes; the answer is sent when it has gone or cannot.
    Leave(tokio::sync::oneshot::Sender<()>),
}

/// Writes orders one after the other.
#[derive(Debug)]
pub struct Registrar {
    store: store::StoreClient,
    host: Arc<str>,
    metrics: Arc<metrics::Metrics>,
}

impl Registrar {
    /// Writes to the store at `address` for a host.
    #[must_use]
    pub fn new(address: net::SocketAddr, host: Arc<str>, metrics: Arc<metrics::Metrics>) -> Self {
        Self { store: store::StoreClient::new(address), host, metrics }
    }

    /// Carries out orders until nobody gives any.
    pub async fn run(mut self, mut orders: tokio::sync::mpsc::UnboundedReceiver<Order>) {
        while let Some(order) = orders.recv().await {
            match order {
                Order::Host(host) => self.put_host(&host).await,
                Order::Rollout(rollout) => self.put_rollout(&rollout).await,
                Order::Leave(done) => {
                    self.leave().await;
                    if done.send(()).is_err() {
                        log::debug!(target: "toucanwall", "nobody waits for the host's entry to go");
                    }
                }
            }
        }
    }

    /// Writes until it is written: callers do not find a host without its entry.
    async fn put_host(&mut self, host: &host::HostEntry) {
        loop {
            let result = match value::to_raw_value(host) {
                Ok(spec) => self.try_put_host(spec).await,
                Err(error) => {
                    log::error!(target: "toucanwall", why = error.to_string(); "the host's entry cannot be written");
                    return;
                }
            };
            self.metrics.store_call("own_host", result.is_err());
            match result {
                Ok(()) => {
                    log::info!(target: "toucanwall", phase:? = host.phase; "host entry written");
                    return;
                }
                Err(error) => {
                    log::warn!(target: "toucanwall", why = error.to_string(); "host entry not written yet");
                    tokio::time::sleep(time::Duration::from_millis(PAUSE_MS)).await;
                }
            }
        }
    }

    async fn try_put_host(&mut self, spec: Box<value::RawValue>) -> Result<(), store::StoreError> {
        let kind = object::Kind::Hosts;
        match self.store.create(kind, &self.host, spec.clone()).await {
            Ok(_) => Ok(()),
            // An entry of an earlier run, or of a try whose answer was lost, is replaced.
            Err(store::StoreError::Conflict(_)) => {
                self.store.replace(kind, &self.host, 0, spec).await.map(drop)
            }
            Err(error) => Err(error),
        }
    }

    /// Writes once; whoever follows the roll-out finds out whether more is to be done.
    async fn put_rollout(&mut self, rollout: &rollout::Rollout) {
        let result = self.try_put_rollout(rollout).await;
        self.metrics.store_call("rollout_status", result.is_err());
        match result {
            Ok(()) => log::info!(
                target: "toucanwall", service = rollout.service.as_str(),
                version = rollout.target.as_str(), state:? = rollout.state;
                "roll-out state written"
            ),
            Err(error) => log::warn!(
                target: "toucanwall", service = rollout.service.as_str(),
                version = rollout.target.as_str(), state:? = rollout.state,
                why = error.to_string(); "roll-out state not written"
            ),
        }
    }

    async fn try_put_rollout(
        &mut self,
        wanted: &rollout::Rollout,
    ) -> Result<(), store::StoreError> {
        let kind = object::Kind::Rollouts;
        let name = wanted.service.as_str();
        let object = self.store.read(kind, name).await?;
        let malformed = |error: String| store::StoreError::Malformed(error);
        let found = operator::decode_rollout(&object).map_err(|e| malformed(e.to_string()))?;
        let is_settled = found.state.is_final() || found.state == wanted.state;
        if is_settled || found.target != wanted.target {
            return Ok(());
        }
        let status =
            operator::encode_rollout_status(wanted).map_err(|e| malformed(e.to_string()))?;
        // The condition keeps a decision about an order from being written to a later one.
        self.store.replace_status(kind, name, object.metadata.revision, status).await.map(drop)
    }

    async fn leave(&mut self) {
        let kind = object::Kind::Hosts;
        let result = match self.store.read(kind, &self.host).await {
            Ok(object) => self.store.delete(kind, &self.host, object.metadata.revision).await,
            Err(error) => Err(error),
        };
        self.metrics.store_call("own_host", result.is_err());
        if let Err(error) = result {
            log::warn!(target: "toucanwall", why = error.to_string(); "host entry not removed");
        }
    }
}
