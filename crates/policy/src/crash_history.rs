//! Requests under which backend servers ended, recognised by a hash of their content.
//!
//! A request may crash each server that begins to run it, and it comes back, at any host. Without a
//! record, each try takes down another server until a service has none left. Hosts therefore share
//! which contents were in flight when a server ended, and reject a content for which that happened
//! [`CRASHES_TO_BLOCK`] times.
//!
//! Unlike [`crate::poison`], suspects are not held back until another one has succeeded: callers of
//! the users' platform come back within seconds, and most suspects are innocent.

use std::collections;

use toucanwall_routing::name;

/// Runs of servers that must end under a content before it is rejected. One or two crashes may be a
/// coincidence: all requests in flight on a server are suspects if it crashes.
pub const CRASHES_TO_BLOCK: usize = 3;
/// The same for a content that some server ran successfully. Many callers may ask for it at once,
/// so that it is in flight on each server that ends for another reason.
const CRASHES_TO_BLOCK_SUCCEEDED: usize = 6;
/// Crashes under a content count together if its answers had gone on for times that differ by less
/// than this, in milliseconds: a stream that is resumed after each crash of a rack is innocent.
const AGREEMENT_MS: u64 = 500;
/// Time for which a crash is remembered, in milliseconds.
pub const CRASH_TTL_MS: u64 = 3_600_000;
/// Maximum number of contents under which a server ended.
const MAX_SUSPECTS: usize = 16_384;
/// Part of the contents that is forgotten at once if there is no room for another one.
const EVICTED_FRACTION: usize = 16;
/// Maximum number of runs of servers that ended for a known reason.
const MAX_EXCUSED: usize = 1_024;
/// Maximum number of contents in each of the two generations of successful ones.
const MAX_SUCCEEDED: usize = 8_192;

/// A run of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerRun {
    /// Id of the server.
    pub server: name::ServerId,
    /// When the run started, in milliseconds since the Unix epoch; tells apart two runs under the
    /// same id.
    pub started_unix_ms: Option<u64>,
}

/// Whether a content may be sent to servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may be sent.
    Allowed,
    /// It ended too many servers.
    Blocked {
        /// Time until one of the crashes is forgotten, in milliseconds.
        retry_after_ms: u64,
    },
}

/// A crash under a content.
#[derive(Debug, Clone, Copy)]
struct Crash {
    /// When it was noticed, in milliseconds.
    at_ms: u64,
    /// For how long the content had been answered, in milliseconds.
    answered_ms: u64,
}

/// What a host knows of contents under which servers ended.
#[derive(Debug, Default)]
pub struct CrashHistory {
    /// Each run of a server that ended under a content.
    crashes: collections::BTreeMap<u64, collections::BTreeMap<ServerRun, Crash>>,
    /// Contents that servers ran successfully, in two generations of which the older is dropped
    /// once the newer is full.
    succeeded: collections::BTreeSet<u64>,
    succeeded_before: collections::BTreeSet<u64>,
    /// Runs of servers that ended for a known reason, of which no content is a suspect.
    excused: collections::BTreeSet<ServerRun>,
}

impl CrashHistory {
    /// Creates an empty history.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether a content may be sent to servers.
    #[must_use]
    pub fn verdict(&self, content_hash: u64, now_ms: u64) -> Verdict {
        let Some(crashes) = self.crashes.get(&content_hash) else { return Verdict::Allowed };
        let limit = if self.has_succeeded(content_hash) {
            CRASHES_TO_BLOCK_SUCCEEDED
        } else {
            CRASHES_TO_BLOCK
        };
        // A cause crashes servers at about the same moment of its answer each time.
        let blocked_ms = crashes.values().filter_map(|first| {
            let agreeing = crashes.values().filter(|crash| {
                let later_ms = crash.answered_ms.checked_sub(first.answered_ms);
                later_ms.is_some_and(|later_ms| later_ms < AGREEMENT_MS)
            });
            let mut remaining_ms: Vec<_> = agreeing
                .map(|crash| (crash.at_ms + CRASH_TTL_MS).saturating_sub(now_ms))
                .filter(|remaining_ms| *remaining_ms > 0)
                .collect();
            remaining_ms.sort_unstable_by(|a, b| b.cmp(a));
            remaining_ms.get(limit - 1).copied()
        });
        match blocked_ms.max() {
            Some(retry_after_ms) => Verdict::Blocked { retry_after_ms },
            None => Verdict::Allowed,
        }
    }

    /// Records that a server ran a content successfully, which clears it.
    pub fn record_success(&mut self, content_hash: u64) {
        if self.succeeded.len() >= MAX_SUCCEEDED {
            self.succeeded_before = std::mem::take(&mut self.succeeded);
        }
        self.succeeded.insert(content_hash);
        self.crashes.remove(&content_hash);
    }

    /// Records that a run of a server ended under a content that had been answered for some time;
    /// returns whether that is news which other hosts should learn.
    pub fn record_crash(
        &mut self,
        content_hash: u64,
        run: ServerRun,
        answered_ms: u64,
        now_ms: u64,
    ) -> bool {
        if self.excused.contains(&run) {
            return false;
        }
        if !self.crashes.contains_key(&content_hash) {
            self.make_room(now_ms);
        }
        let crashes = self.crashes.entry(content_hash).or_default();
        let is_new = crashes.insert(run, Crash { at_ms: now_ms, answered_ms }).is_none();
        is_new && !self.has_succeeded(content_hash)
    }

    /// Takes the crashes of these runs out of all accounts, since a part of prompts caused them.
    pub fn excuse(&mut self, runs: &[ServerRun]) {
        for run in runs {
            if self.excused.len() >= MAX_EXCUSED {
                self.excused.pop_first();
            }
            self.excused.insert(run.clone());
            for crashes in self.crashes.values_mut() {
                crashes.remove(run);
            }
        }
        self.crashes.retain(|_, crashes| !crashes.is_empty());
    }

    fn has_succeeded(&self, content_hash: u64) -> bool {
        self.succeeded.contains(&content_hash) || self.succeeded_before.contains(&content_hash)
    }

    fn make_room(&mut self, now_ms: u64) {
        if self.crashes.len() < MAX_SUSPECTS {
            return;
        }
        let is_recent = |crash: &Crash| now_ms < crash.at_ms + CRASH_TTL_MS;
        self.crashes.retain(|_, runs| runs.values().any(is_recent));
        if self.crashes.len() < MAX_SUSPECTS {
            return;
        }
        // Contents under which many servers ended stay; most others have been in flight at a single
        // crash and are innocent.
        let weight_of = |runs: &collections::BTreeMap<ServerRun, Crash>| {
            (runs.len(), runs.values().map(|crash| crash.at_ms).max())
        };
        let mut by_weight: Vec<_> =
            self.crashes.iter().map(|(hash, runs)| (weight_of(runs), *hash)).collect();
        by_weight.sort_unstable();
        for (_, content_hash) in by_weight.iter().take(MAX_SUSPECTS / EVICTED_FRACTION) {
            self.crashes.remove(content_hash);
        }
    }
}
