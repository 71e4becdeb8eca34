//! Servers that ended while they ran requests: the traffic thread notices them, the control thread
//! tells the other hosts through the store.

use std::collections;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;
use toucanwall_policy::crash_history;
use toucanwall_routing::name;
use toucanwall_routing::server;

use crate::rollouts;

/// Time after which a report is written again if the store does not show it, in milliseconds.
const REWRITE_AFTER_MS: u64 = 1_500;

/// Contents of requests under which servers ended, as known to this host.
#[derive(Debug, Default)]
pub struct Crashes {
    history: Mutex<crash_history::CrashHistory>,
    /// Crashes that this host noticed and has not reported yet.
    unreported: Mutex<collections::BTreeMap<crash_history::ServerRun, collections::BTreeSet<u64>>>,
}

/// A host's report of a server that ended while it ran requests.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Id of the server.
    pub server: name::ServerId,
    /// When the server had started, in milliseconds since the Unix epoch.
    pub started_unix_ms: Option<u64>,
    /// When the host noticed the crash, in milliseconds since the Unix epoch.
    pub noticed_unix_ms: u64,
    /// Hashes of the contents that the server was running.
    #[serde_as(as = "Vec<serde_with::hex::Hex>")]
    pub content_hashes: Vec<[u8; 8]>,
}

/// Reports in the store, and this host's own ones that should be there.
#[derive(Debug, Default)]
pub struct ReportLog {
    /// Reports that the store shows, with their revisions.
    stored: collections::BTreeMap<Arc<str>, StoredReport>,
    own: collections::BTreeMap<Arc<str>, OwnReport>,
    /// Number of reports made by this run.
    made: u64,
}

#[derive(Debug)]
struct StoredReport {
    noticed_unix_ms: u64,
    revision: u64,
}

#[derive(Debug)]
struct OwnReport {
    report: Report,
    written_ms: Option<u64>,
}

impl Crashes {
    /// Creates an empty record.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether a content may be sent to servers.
    #[must_use]
    pub fn verdict(&self, content_hash: u64, now_ms: u64) -> crash_history::Verdict {
        lock(&self.history).verdict(content_hash, now_ms)
    }

    /// Records that a server ran a content successfully.
    pub fn record_success(&self, content_hash: u64) {
        lock(&self.history).record_success(content_hash);
    }

    /// Records that a server ended while it ran a content for this host.
    pub fn record_crash(&self, content_hash: u64, server: &server::BackendServer, now_ms: u64) {
        let run = crash_history::ServerRun {
            server: server.id.clone(),
            started_unix_ms: server.started_unix_ms,
        };
        if lock(&self.history).record_crash(content_hash, run.clone(), now_ms) {
            lock(&self.unreported).entry(run).or_default().insert(content_hash);
        }
    }

    /// Records the report of a host.
    pub fn merge(&self, report: &Report, now: rollouts::Timestamp) {
        let age_ms = now.unix_ms.saturating_sub(report.noticed_unix_ms);
        let run = crash_history::ServerRun {
            server: report.server.clone(),
            started_unix_ms: report.started_unix_ms,
        };
        let at_ms = now.monotonic_ms.saturating_sub(age_ms);
        if age_ms >= crash_history::CRASH_TTL_MS {
            return;
        }
        let mut history = lock(&self.history);
        for content_hash in &report.content_hashes {
            history.record_crash(u64::from_be_bytes(*content_hash), run.clone(), at_ms);
        }
    }

    /// Takes the crashes that have not been reported yet, one report for each server.
    pub fn take_unreported(&self, now: rollouts::Timestamp) -> Vec<Report> {
        let unreported = std::mem::take(&mut *lock(&self.unreported));
        let to_report =
            |(run, hashes): (crash_history::ServerRun, collections::BTreeSet<u64>)| Report {
                server: run.server,
                started_unix_ms: run.started_unix_ms,
                noticed_unix_ms: now.unix_ms,
                content_hashes: hashes.into_iter().map(u64::to_be_bytes).collect(),
            };
        unreported.into_iter().map(to_report).collect()
    }
}

impl ReportLog {
    /// Adds a report of this host, which is identified by its run.
    pub fn add(&mut self, report: Report, run_id: u64) {
        self.made += 1;
        let name = format!("{run_id:016x}-{}", self.made);
        self.own.insert(name.into(), OwnReport { report, written_ms: None });
    }

    /// Records that the store shows a report.
    pub fn record_stored(&mut self, name: &Arc<str>, revision: u64, report: &Report) {
        let stored = StoredReport { noticed_unix_ms: report.noticed_unix_ms, revision };
        self.stored.insert(Arc::clone(name), stored);
    }

    /// Records that the store no longer shows a report.
    pub fn record_removed(&mut self, name: &str) {
        self.stored.remove(name);
    }

    /// Records that the store shows no reports; those that it does show are recorded next.
    pub fn clear_stored(&mut self) {
        self.stored.clear();
    }

    /// Own reports to write now: new ones, and those that the store does not show, since a write
    /// failed or the store lost it.
    pub fn take_due_writes(&mut self, now_ms: u64) -> Vec<(Arc<str>, Report)> {
        let stored = &self.stored;
        let due = self.own.iter_mut().filter(|(name, own)| {
            let is_recent = own.written_ms.is_some_and(|at_ms| now_ms < at_ms + REWRITE_AFTER_MS);
            !is_recent && !stored.contains_key(*name)
        });
        due.map(|(name, own)| {
            own.written_ms = Some(now_ms);
            (Arc::clone(name), own.report.clone())
        })
        .collect()
    }

    /// Forgets expired reports; returns the names and revisions of those in the store, which some
    /// host has to remove.
    pub fn expire(&mut self, now_unix_ms: u64) -> Vec<(Arc<str>, u64)> {
        let is_expired = |noticed_unix_ms: u64| {
            now_unix_ms.saturating_sub(noticed_unix_ms) >= crash_history::CRASH_TTL_MS
        };
        self.own.retain(|_, own| !is_expired(own.report.noticed_unix_ms));
        let expired = self.stored.iter().filter(|(_, stored)| is_expired(stored.noticed_unix_ms));
        expired.map(|(name, stored)| (Arc::clone(name), stored.revision)).collect()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
