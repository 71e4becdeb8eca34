//! Writes of a host to the platform's store: its own entry and the status of roll-outs.

use std::sync::Arc;
use std::time;

use serde_json::value;
use toucanwall_platform::object;
use toucanwall_platform::operator;
use toucanwall_platform::store;
use toucanwall_routing::host;
use toucanwall_routing::position;
use toucanwall_routing::rollout;

use crate::change_feed;
use crate::crashes;
use crate::metrics;

/// Delay between two attempts to write the host's entry, in milliseconds.
const RETRY_DELAY_MS: u64 = 250;

/// A request to write to the store.
#[derive(Debug)]
pub enum Write {
    /// Create or replace this host's entry.
    PutHost(host::HostEntry),
    /// Remove the entry of another host that is lost, unless it has changed since.
    RemoveLostHost(Arc<host::HostEntry>),
    /// Create an entry about crashes.
    CreateCrashEntry(Arc<str>, crashes::Entry),
    /// Remove an entry about crashes that has not changed since the given position.
    RemoveCrashEntry(Arc<str>, position::Position),
    /// Update the status of a roll-out.
    UpdateRollout(rollout::Rollout),
    /// Remove this host's entry; the sender is notified when it is removed or the attempt has
    /// failed.
    RemoveHost(tokio::sync::oneshot::Sender<()>),
}

/// The outcome of the removal of a lost host's entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Removal {
    /// The entry was removed.
    Done,
    /// The host has registered again, or another host was faster.
    Changed,
}

/// Processes write requests one at a time, in order.
#[derive(Debug)]
pub struct StoreWriter {
    store: store::StoreClient,
    host: Arc<str>,
    metrics: Arc<metrics::Metrics>,
}

impl StoreWriter {
    /// Creates a writer for a host.
    #[must_use]
    pub fn new(store: store::StoreClient, host: Arc<str>, metrics: Arc<metrics::Metrics>) -> Self {
        Self { store, host, metrics }
    }

    /// Processes write requests until the channel is closed.
    pub async fn run(mut self, mut writes: tokio::sync::mpsc::UnboundedReceiver<Write>) {
        while let Some(write) = writes.recv().await {
            match write {
                Write::PutHost(host) => self.put_host(&host).await,
                Write::RemoveLostHost(host) => self.remove_lost_host(&host).await,
                Write::CreateCrashEntry(name, report) => {
                    self.create_crash_entry(&name, &report).await;
                }
                Write::RemoveCrashEntry(name, position) => {
                    self.remove_crash_entry(&name, position).await;
                }
                Write::UpdateRollout(rollout) => self.update_rollout(&rollout).await,
                Write::RemoveHost(done) => {
                    self.remove_host().await;
                    if done.send(()).is_err() {
                        log::debug!(target: "toucanwall", "removal of the host entry is no longer awaited");
                    }
                }
            }
        }
    }

    /// Retries until the host's entry is written, since callers cannot find a host without one.
    async fn put_host(&mut self, host: &host::HostEntry) {
        loop {
            let result = match value::to_raw_value(host) {
                Ok(spec) => self.try_put_host(spec).await,
                Err(error) => {
                    log::error!(target: "toucanwall", why = error.to_string(); "cannot serialise the host entry");
                    return;
                }
            };
            self.metrics.record_store_call("own_host", result.is_err());
            match result {
                Ok(()) => {
                    log::info!(target: "toucanwall", phase:? = host.phase; "host entry written");
                    return;
                }
                Err(error) => {
                    log::warn!(target: "toucanwall", why = error.to_string(); "cannot write the host entry; retrying");
                    tokio::time::sleep(time::Duration::from_millis(RETRY_DELAY_MS)).await;
                }
            }
        }
    }

    async fn try_put_host(&mut self, spec: Box<value::RawValue>) -> Result<(), store::StoreError> {
        let kind = object::Kind::Hosts;
        match self.store.create(kind, &self.host, spec.clone()).await {
            Ok(_) => Ok(()),
            // Replaces the entry of an earlier run, or of an attempt whose answer was lost.
            Err(store::StoreError::Conflict(_)) => {
                self.store.replace(kind, &self.host, None, spec).await.map(drop)
            }
            Err(error) => Err(error),
        }
    }

    /// Attempts the write once; the control thread retries if the store does not show the new
    /// state.
    async fn update_rollout(&mut self, rollout: &rollout::Rollout) {
        let result = self.try_update_rollout(rollout).await;
        self.metrics.record_store_call("rollout_status", result.is_err());
        match result {
            Ok(()) => log::info!(
                target: "toucanwall", service = rollout.service.as_str(),
                version = rollout.target.as_str(), state:? = rollout.state;
                "roll-out state written"
            ),
            Err(error) => log::warn!(
                target: "toucanwall", service = rollout.service.as_str(),
                version = rollout.target.as_str(), state:? = rollout.state,
                why = error.to_string(); "cannot write roll-out state"
            ),
        }
    }

    async fn try_update_rollout(
        &mut self,
        wanted: &rollout::Rollout,
    ) -> Result<(), store::StoreError> {
        let kind = object::Kind::Rollouts;
        let name = wanted.service.as_str();
        let stored = self.store.read(kind, name).await?;
        let malformed = |error: String| store::StoreError::Malformed(error);
        let current = operator::decode_rollout(&stored.object, stored.era)
            .map_err(|e| malformed(e.to_string()))?;
        let is_up_to_date = current.state.is_final() || current.state == wanted.state;
        if is_up_to_date || current.target != wanted.target {
            return Ok(());
        }
        let status =
            operator::encode_rollout_status(wanted).map_err(|e| malformed(e.to_string()))?;
        // The condition prevents a decision on one order from being written to a later order.
        self.store.replace_status(kind, name, Some(stored.position()), status).await.map(drop)
    }

    /// Attempts the removal once; the control thread retries if the entry stays.
    async fn remove_lost_host(&mut self, host: &host::HostEntry) {
        let result = self.try_remove_lost_host(host).await;
        self.metrics.record_store_call("lost_host", result.is_err());
        match result {
            Ok(Removal::Done) => log::warn!(
                target: "toucanwall", entry = host.name.as_str(),
                run = format!("{:016x}", host.run_id); "entry of a lost host removed"
            ),
            Ok(Removal::Changed) => log::info!(
                target: "toucanwall", entry = host.name.as_str(),
                run = format!("{:016x}", host.run_id);
                "entry of a lost host kept: it has changed since"
            ),
            Err(error) => log::warn!(
                target: "toucanwall", entry = host.name.as_str(), why = error.to_string();
                "cannot remove the entry of a lost host"
            ),
        }
    }

    async fn try_remove_lost_host(
        &mut self,
        host: &host::HostEntry,
    ) -> Result<Removal, store::StoreError> {
        let kind = object::Kind::Hosts;
        let stored = match self.store.read(kind, host.name.as_str()).await {
            Ok(stored) => stored,
            Err(store::StoreError::NotFound) => return Ok(Removal::Changed),
            Err(error) => return Err(error),
        };
        if change_feed::decode_host(&stored.object).as_ref() != Some(host) {
            return Ok(Removal::Changed);
        }
        match self.store.delete(kind, host.name.as_str(), stored.position()).await {
            Ok(()) => Ok(Removal::Done),
            Err(store::StoreError::Conflict(_) | store::StoreError::NotFound) => {
                Ok(Removal::Changed)
            }
            Err(error) => Err(error),
        }
    }

    /// Attempts the write once; the control thread retries if the store does not show the entry.
    async fn create_crash_entry(&mut self, name: &str, entry: &crashes::Entry) {
        let result = match value::to_raw_value(entry) {
            Ok(spec) => self.store.create(object::Kind::CrashReports, name, spec).await,
            Err(error) => Err(store::StoreError::Malformed(error.to_string())),
        };
        self.metrics.record_store_call("crash_report", result.is_err());
        match (result, entry) {
            (Ok(_) | Err(store::StoreError::Conflict(_)), crashes::Entry::Crash(report)) => {
                log::warn!(
                    target: "toucanwall", report = name, server = report.server.as_str(),
                    contents = report.content_hashes.len(), suspects = report.suspects.len();
                    "server ended under requests; reported"
                );
            }
            (Ok(_) | Err(store::StoreError::Conflict(_)), _) => {
                log::info!(target: "toucanwall", entry = name; "conclusion about crashes reported");
            }
            (Err(error), _) => log::warn!(
                target: "toucanwall", entry = name, why = error.to_string();
                "cannot write an entry about crashes"
            ),
        }
    }

    async fn remove_crash_entry(&mut self, name: &str, position: position::Position) {
        let result = self.store.delete(object::Kind::CrashReports, name, position).await;
        self.metrics.record_store_call("crash_report", result.is_err());
        if let Err(error) = result {
            log::info!(
                target: "toucanwall", report = name, why = error.to_string();
                "cannot remove an expired crash report"
            );
        }
    }

    async fn remove_host(&mut self) {
        let kind = object::Kind::Hosts;
        let result = match self.store.read(kind, &self.host).await {
            Ok(stored) => self.store.delete(kind, &self.host, stored.position()).await,
            Err(error) => Err(error),
        };
        self.metrics.record_store_call("own_host", result.is_err());
        if let Err(error) = result {
            log::warn!(target: "toucanwall", why = error.to_string(); "cannot remove the host entry");
        }
    }
}
