//! What is known of a crash, and what it says about the parts that were in flight.

use std::collections;
use std::sync::Arc;

use crate::crash_history;

/// Value of [`Evidence::survived_ms`] after a whole answer.
pub const WHOLE_ANSWER_MS: u64 = u64::MAX;

/// How far the answer to a request had come when its server ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// The host had not received the head of the response. A connection that is reset discards what
    /// its receiver has not read, so it may have been sent.
    #[default]
    Waiting,
    /// The host had received the head of the response.
    Answering {
        /// Time since then, in milliseconds.
        since_ms: u64,
    },
}

/// A request that was in flight when a server ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// Hash of the whole request.
    pub content_hash: u64,
    /// How far its answer had come.
    pub progress: Progress,
    /// Hashes of the parts of its prompt that other requests may share, in order.
    pub parts: Arc<[u64]>,
}

/// A server that ended.
#[derive(Debug, Default)]
pub struct Crash {
    /// When this host learned of it, on its monotonic clock in milliseconds; `None` if it knows
    /// only that some part is cleared of it.
    pub learned_ms: Option<u64>,
    /// Earliest time at which a host noticed it, in milliseconds since the Unix epoch.
    pub noticed_unix_ms: u64,
    /// Requests in flight.
    pub suspects: Vec<Suspect>,
    /// For how long answers with a part went on that began after the crash, as other hosts reported.
    pub survived_ms: collections::BTreeMap<u64, u64>,
    /// Whether a blocked part was in flight.
    pub is_explained: bool,
}

/// Crashes of which a part is a suspect.
#[derive(Debug, Default)]
pub struct Account {
    /// What each crash says about the part.
    pub runs: collections::BTreeMap<crash_history::ServerRun, Evidence>,
    /// When this host reports that it saw answers with the part, in milliseconds.
    pub clearance_due_ms: Option<u64>,
}

/// What a crash says about a part.
#[derive(Debug, Default, Clone)]
pub struct Evidence {
    /// Earliest time at which a host noticed the crash, in milliseconds since the Unix epoch.
    pub noticed_unix_ms: u64,
    /// How far the answers to requests with the part had come.
    pub progress: Vec<Progress>,
    /// Hashes of the requests with the part.
    pub contents: collections::BTreeSet<u64>,
    /// Position of the part in the prompts.
    pub depth: usize,
    /// Fraction of the servers to which requests with the part were sent, if they were confined.
    pub confined_to: Option<f64>,
    /// Number of servers that were left, as this host saw it; 0 if it does not know.
    pub servers: usize,
    /// For how long an answer with the part went on that began after the crash, in milliseconds.
    pub survived_ms: Option<u64>,
    /// The value of `survived_ms` that other hosts know.
    pub reported_ms: Option<u64>,
}

impl Progress {
    /// Time since the head of the response, in milliseconds; zero while the request waits.
    #[must_use]
    pub fn since_ms(self) -> u64 {
        match self {
            Self::Waiting => 0,
            Self::Answering { since_ms } => since_ms,
        }
    }
}

impl Crash {
    /// What the crash says about each part that was in flight, except the parts that were answered in
    /// full after it.
    #[must_use]
    pub fn evidence(&self, max_parts: usize) -> collections::BTreeMap<u64, Evidence> {
        let mut by_part: collections::BTreeMap<u64, Evidence> = collections::BTreeMap::new();
        for suspect in &self.suspects {
            for (depth, part) in suspect.parts.iter().take(max_parts).enumerate() {
                let survived_ms = self.survived_ms.get(part).copied();
                if survived_ms == Some(WHOLE_ANSWER_MS) {
                    continue;
                }
                let evidence = by_part.entry(*part).or_default();
                evidence.noticed_unix_ms = self.noticed_unix_ms;
                evidence.progress.push(suspect.progress);
                evidence.contents.insert(suspect.content_hash);
                evidence.depth = evidence.depth.max(depth);
                evidence.survived_ms = survived_ms;
                evidence.reported_ms = survived_ms;
            }
        }
        by_part
    }
}

impl Evidence {
    /// Whether a server has answered a request with the part in full since the crash.
    #[must_use]
    pub fn is_refuted(&self) -> bool {
        self.survived_ms == Some(WHOLE_ANSWER_MS)
    }
}
