//! What backend servers have said of themselves, apart from what the registry shows now.
//!
//! A server that leaves says so in its entry and in its responses. The two are not in step, either
//! may be missing, and an older list may show the server as ready again. So a host keeps what it has
//! heard for each run of a server. Within a run a notice is never taken back; only a later run of the
//! server ends it.
//!
//! A server may also ask a host for a pause. Each such request has an end of its own, so the latest
//! end counts, and a later, shorter request does not move it. A pause is no failure of the server and
//! is kept by the host that was asked alone. Hosts return at different times, so that the server is
//! not flooded at the end of its pause.

use std::collections;

use toucanwall_routing::name;
use toucanwall_routing::server;
use xxhash_rust::xxh3;

use crate::server_run;

/// Time for which a notice is kept after the entry of its server has vanished, in milliseconds:
/// longer than any list of servers may be out of date.
const RETENTION_MS: u64 = 600_000;

/// Longest time after a pause until a host sends requests again, in percent of the pause.
const RETURN_SPREAD_PERCENT: u64 = 5;
/// Longest time after a pause until a host sends requests again, in milliseconds.
const RETURN_SPREAD_MAX_MS: u64 = 100;

/// What the servers have said of themselves, as known to this host.
#[derive(Debug, Default)]
pub struct ServerNotices {
    /// Decides when this host returns to a server after a pause.
    seed: u64,
    notices: collections::BTreeMap<name::ServerId, Notice>,
}

/// What one run of a server has said of itself.
#[derive(Debug)]
struct Notice {
    run: server_run::ServerRun,
    /// Whether the server has said that it leaves.
    is_leaving: bool,
    /// When this host returns to the server after the latest end of its pauses, in milliseconds; 0
    /// without a pause.
    paused_until_ms: u64,
    /// When the host last knew an entry of the server, or heard the notice, in milliseconds.
    last_known_ms: u64,
}

/// Whether a server accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Acceptance {
    /// The server accepts new requests.
    Accepts,
    /// The server wants no requests from this host for a while.
    Paused {
        /// When this host returns to the server, in milliseconds.
        until_ms: u64,
    },
    /// The server finishes its open requests and shuts down.
    Leaving,
}

/// What a request for a pause changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PauseChange {
    /// The server was not paused.
    Begun,
    /// The server was paused, and now for longer.
    Extended,
    /// The server is paused for at least as long already, or the request is for no time.
    Unchanged,
}

impl ServerNotices {
    /// Creates a record without notices. Hosts with different seeds return at different times after
    /// a pause.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self { seed, ..Self::default() }
    }

    /// Records that a run of a server has said that it leaves; returns whether that is new.
    pub fn record_leaving(&mut self, server: &server::BackendServer, now_ms: u64) -> bool {
        let notice = self.notice_mut(server, now_ms);
        notice.is_some_and(|notice| !std::mem::replace(&mut notice.is_leaving, true))
    }

    /// Records that a run of a server has asked this host for a pause from now on.
    pub fn record_pause(
        &mut self,
        server: &server::BackendServer,
        pause_ms: u64,
        now_ms: u64,
    ) -> PauseChange {
        let spread_ms = self.return_spread_ms(&server.id, pause_ms);
        let Some(notice) = self.notice_mut(server, now_ms) else { return PauseChange::Unchanged };
        let until_ms = now_ms.saturating_add(pause_ms).saturating_add(spread_ms);
        let former_ms = notice.paused_until_ms;
        notice.paused_until_ms = former_ms.max(until_ms);
        if until_ms <= former_ms || pause_ms == 0 {
            PauseChange::Unchanged
        } else if former_ms <= now_ms {
            PauseChange::Begun
        } else {
            PauseChange::Extended
        }
    }

    /// Whether a server accepts new requests, by its entry and by all that it has said before.
    #[must_use]
    pub fn acceptance(&self, server: &server::BackendServer, now_ms: u64) -> Acceptance {
        let notice = self.notice_of(server);
        let is_draining = server.readiness == server::Readiness::Draining;
        match notice {
            _ if is_draining => Acceptance::Leaving,
            Some(notice) if notice.is_leaving => Acceptance::Leaving,
            Some(notice) if now_ms < notice.paused_until_ms => {
                Acceptance::Paused { until_ms: notice.paused_until_ms }
            }
            Some(_) | None => Acceptance::Accepts,
        }
    }

    /// Forgets the notices of servers that have not been known for a while.
    pub fn retain_known<F>(&mut self, is_known: F, now_ms: u64)
    where
        F: Fn(&name::ServerId) -> bool,
    {
        self.notices.retain(|id, notice| {
            if is_known(id) {
                notice.last_known_ms = now_ms;
            }
            now_ms < notice.last_known_ms + RETENTION_MS
        });
    }

    /// Time from the end of a server's pause until this host sends it requests again.
    fn return_spread_ms(&self, id: &name::ServerId, pause_ms: u64) -> u64 {
        let spread_max_ms =
            (pause_ms / 100).saturating_mul(RETURN_SPREAD_PERCENT).min(RETURN_SPREAD_MAX_MS);
        xxh3::xxh3_64_with_seed(id.as_str().as_bytes(), self.seed) % (spread_max_ms + 1)
    }

    /// What this run of a server, or a later one under its id, has said.
    fn notice_of(&self, server: &server::BackendServer) -> Option<&Notice> {
        self.notices
            .get(&server.id)
            .filter(|notice| !server_run::ServerRun::of(server).is_later_than(notice.run))
    }

    /// The record of a run of a server, which replaces that of an earlier one; `None` if a later run
    /// is known.
    fn notice_mut(&mut self, server: &server::BackendServer, now_ms: u64) -> Option<&mut Notice> {
        let run = server_run::ServerRun::of(server);
        let notice = self.notices.entry(server.id.clone()).or_insert_with(|| Notice::new(run));
        if run.is_later_than(notice.run) {
            *notice = Notice::new(run);
        }
        notice.last_known_ms = now_ms;
        (!notice.run.is_later_than(run)).then_some(notice)
    }
}

/// When the first of several servers accepts requests.
#[must_use]
pub fn earliest<I>(acceptances: I) -> Acceptance
where
    I: IntoIterator<Item = Acceptance>,
{
    // The variants are in the order of the time at which they accept requests.
    acceptances.into_iter().min().unwrap_or(Acceptance::Leaving)
}

impl Notice {
    fn new(run: server_run::ServerRun) -> Self {
        Self { run, is_leaving: false, paused_until_ms: 0, last_known_ms: 0 }
    }
}
