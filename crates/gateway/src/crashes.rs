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
use toucanwall_policy::crash_causes;
use toucanwall_policy::crash_history;
use toucanwall_routing::name;
use toucanwall_routing::position;
use toucanwall_routing::server;

use crate::rollouts;

/// Time after which an entry is written again if the store does not show it, in milliseconds.
const REWRITE_AFTER_MS: u64 = 1_500;
/// Time after the head of a response until which its request counts as just begun, in milliseconds.
const START_MS: u64 = 500;
/// Time for which a request that was given up may be the cause of its server's end, in
/// milliseconds. Servers crash shortly after they begin an answer, whether or not it is awaited.
const GIVEN_UP_MS: u64 = 500;
/// Time for which a request that was given up is remembered, in milliseconds: reports of other hosts that
/// noticed the end of its server arrive within it.
const GIVEN_UP_RETENTION_MS: u64 = 3_000;
/// Maximum number of requests in a report, which bounds its size.
const MAX_REPORTED: usize = 128;
/// Age of an answer up to which an earlier build counts its request as just begun, in milliseconds.
const JUST_BEGUN_MS: u64 = 150;
/// Age of an answer that an earlier build reports as going on, in milliseconds.
const GOING_ON_MS: u64 = 300;
/// Maximum number of requests that were given up and are remembered.
const MAX_GIVEN_UP: usize = 256;

/// Requests and parts of prompts under which servers ended, as known to this host.
#[derive(Debug)]
pub struct Crashes {
    knowledge: Mutex<Knowledge>,
    /// Crashes that this host noticed and has not reported yet.
    unreported: Mutex<collections::BTreeMap<crash_history::ServerRun, InFlight>>,
    /// Requests that were given up lately, with their servers, oldest first.
    given_up: Mutex<collections::VecDeque<GivenUp>>,
    /// Parts of which it is logged that they are suspected.
    suspected: Mutex<collections::BTreeSet<u64>>,
    /// Number of times that a part was blocked.
    blocks: tokio::sync::watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct Knowledge {
    history: crash_history::CrashHistory,
    causes: crash_causes::CrashCauses,
}

/// Requests of this host that were in flight when a server ended.
#[derive(Debug, Default)]
struct InFlight {
    content_hashes: collections::BTreeSet<u64>,
    suspects: Vec<crash_causes::Suspect>,
}

#[derive(Debug)]
struct GivenUp {
    at_ms: u64,
    run: crash_history::ServerRun,
    suspect: crash_causes::Suspect,
}

/// Whether a request may be sent to servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may be sent.
    Allowed,
    /// It may be sent once, and not again if the server ends.
    Suspected,
    /// It may not be sent at present.
    Held {
        /// Time until the matter is decided, in milliseconds.
        retry_after_ms: u64,
    },
    /// The whole request ended too many servers.
    RequestBlocked {
        /// Time until one of the crashes is forgotten, in milliseconds.
        retry_after_ms: u64,
    },
    /// A part of its prompt ends servers.
    PartBlocked,
}

/// An entry in the store about servers that ended.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
pub enum Entry {
    /// A server ended while it ran requests.
    Crash(Report),
    /// A part of prompts is innocent of crashes.
    Clearance(Clearance),
    /// A part of prompts crashes servers; no request with it is sent as long as the entry exists.
    Block(Block),
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
    /// Generation requests that the server was running.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<Suspect>,
}

/// A generation request that a server was running when it ended.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Suspect {
    /// Hash of the whole request.
    #[serde_as(as = "serde_with::hex::Hex")]
    pub content_hash: [u8; 8],
    /// How far the answer had come, in the words of earlier builds.
    pub progress: Progress,
    /// Time since the head of the response, in milliseconds; absent while the request waits, and in
    /// reports of earlier builds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answering_ms: Option<u64>,
    /// Hashes of the parts of its prompt that other requests may share, in order.
    #[serde_as(as = "Vec<serde_with::hex::Hex>")]
    pub part_hashes: Vec<[u8; 8]>,
}

/// How far an answer had come when its server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// The response had not begun.
    Waiting,
    /// The response had begun, and no event had arrived.
    Begun,
    /// Events had arrived, the first of them recently.
    Streaming,
}

/// A host's report that answers with a part went on after crashes.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Clearance {
    /// Hash of the part.
    #[serde_as(as = "serde_with::hex::Hex")]
    pub cleared_part: [u8; 8],
    /// Runs of servers of whose crashes the part is cleared.
    pub runs: Vec<Run>,
    /// For how long the answer went on, in milliseconds, if it was not complete.
    #[serde(default = "earlier_survival_ms")]
    pub survived_ms: Option<u64>,
    /// When the host wrote the report, in milliseconds since the Unix epoch.
    pub noticed_unix_ms: u64,
}

/// A run of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Run {
    /// Id of the server.
    pub server: name::ServerId,
    /// When the server had started, in milliseconds since the Unix epoch.
    pub started_unix_ms: Option<u64>,
}

/// The decision that a part crashes servers.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Block {
    /// Hash of the part.
    #[serde_as(as = "serde_with::hex::Hex")]
    pub blocked_part: [u8; 8],
}

/// Entries in the store, and this host's own ones that should be there.
#[derive(Debug, Default)]
pub struct EntryLog {
    /// Entries that the store shows.
    stored: collections::BTreeMap<Arc<str>, StoredEntry>,
    own: collections::BTreeMap<Arc<str>, OwnEntry>,
    /// Number of entries made by this run.
    made: u64,
}

#[derive(Debug)]
struct StoredEntry {
    /// When the entry was made, in milliseconds since the Unix epoch; `None` if it never expires.
    made_unix_ms: Option<u64>,
    blocked_part: Option<u64>,
    position: position::Position,
}

#[derive(Debug)]
struct OwnEntry {
    entry: Entry,
    /// When it is written first, or was written last, in milliseconds.
    write_after_ms: u64,
}

/// For how long an answer went on that an earlier build reports.
#[expect(clippy::unnecessary_wraps, reason = "the type of the field")]
fn earlier_survival_ms() -> Option<u64> {
    Some(GOING_ON_MS)
}

impl From<&crash_causes::Suspect> for Suspect {
    fn from(suspect: &crash_causes::Suspect) -> Self {
        let (progress, answering_ms) = match suspect.progress {
            crash_causes::Progress::Waiting => (Progress::Waiting, None),
            crash_causes::Progress::Answering { since_ms } if since_ms < JUST_BEGUN_MS => {
                (Progress::Begun, Some(since_ms))
            }
            crash_causes::Progress::Answering { since_ms } => (Progress::Streaming, Some(since_ms)),
        };
        Self {
            content_hash: suspect.content_hash.to_be_bytes(),
            progress,
            answering_ms,
            part_hashes: suspect.parts.iter().map(|part| part.to_be_bytes()).collect(),
        }
    }
}

impl From<&Suspect> for crash_causes::Suspect {
    fn from(suspect: &Suspect) -> Self {
        let parts = suspect.part_hashes.iter().take(crash_causes::MAX_PARTS);
        let progress = match (suspect.progress, suspect.answering_ms) {
            (Progress::Waiting, _) => crash_causes::Progress::Waiting,
            (_, Some(since_ms)) => crash_causes::Progress::Answering { since_ms },
            (Progress::Begun, None) => crash_causes::Progress::Answering { since_ms: 0 },
            (Progress::Streaming, None) => {
                crash_causes::Progress::Answering { since_ms: GOING_ON_MS }
            }
        };
        Self {
            content_hash: u64::from_be_bytes(suspect.content_hash),
            progress,
            parts: parts.map(|part| u64::from_be_bytes(*part)).collect(),
        }
    }
}

impl From<crash_history::ServerRun> for Run {
    fn from(run: crash_history::ServerRun) -> Self {
        Self { server: run.server, started_unix_ms: run.started_unix_ms }
    }
}

impl From<&Run> for crash_history::ServerRun {
    fn from(run: &Run) -> Self {
        Self { server: run.server.clone(), started_unix_ms: run.started_unix_ms }
    }
}

impl Entry {
    fn made_unix_ms(&self) -> Option<u64> {
        match self {
            Self::Crash(report) => Some(report.noticed_unix_ms),
            Self::Clearance(clearance) => Some(clearance.noticed_unix_ms),
            Self::Block(_) => None,
        }
    }

    /// Name of the entry, if all hosts give it the same one.
    fn common_name(&self) -> Option<Arc<str>> {
        match self {
            Self::Block(block) => {
                let part = u64::from_be_bytes(block.blocked_part);
                Some(format!("blocked-{part:016x}").into())
            }
            Self::Crash(_) | Self::Clearance(_) => None,
        }
    }
}

impl Knowledge {
    fn record_suspects(
        &mut self,
        run: &crash_history::ServerRun,
        noticed_unix_ms: u64,
        suspects: &[crash_causes::Suspect],
        now_ms: u64,
    ) {
        if self.causes.record_crash(run, noticed_unix_ms, suspects, now_ms) {
            self.history.excuse(std::slice::from_ref(run));
        }
    }
}

impl Default for Crashes {
    fn default() -> Self {
        Self {
            knowledge: Mutex::default(),
            unreported: Mutex::default(),
            given_up: Mutex::default(),
            suspected: Mutex::default(),
            blocks: tokio::sync::watch::Sender::new(0),
        }
    }
}

impl Crashes {
    /// Creates an empty record.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether a request may be sent to servers.
    #[must_use]
    pub fn verdict(&self, content_hash: u64, part_hashes: &[u64], now_ms: u64) -> Verdict {
        let knowledge = lock(&self.knowledge);
        let part_verdict = knowledge.causes.verdict(part_hashes);
        if part_verdict == crash_causes::Verdict::Blocked {
            return Verdict::PartBlocked;
        }
        let content_verdict = knowledge.history.verdict(content_hash, now_ms);
        if let crash_history::Verdict::Blocked { retry_after_ms } = content_verdict {
            return Verdict::RequestBlocked { retry_after_ms };
        }
        match part_verdict {
            crash_causes::Verdict::Held => Verdict::Held { retry_after_ms: crash_causes::HOLD_MS },
            crash_causes::Verdict::Suspected => Verdict::Suspected,
            crash_causes::Verdict::Allowed | crash_causes::Verdict::Blocked => Verdict::Allowed,
        }
    }

    /// Waits until one of the parts is blocked for good.
    pub async fn part_blocked(&self, part_hashes: &[u64]) {
        if part_hashes.is_empty() {
            return std::future::pending().await;
        }
        let mut blocks = self.blocks.subscribe();
        loop {
            let verdict = lock(&self.knowledge).causes.verdict(part_hashes);
            if verdict == crash_causes::Verdict::Blocked {
                return;
            }
            if blocks.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Records that a server ran a content successfully.
    pub fn record_success(&self, content_hash: u64) {
        lock(&self.knowledge).history.record_success(content_hash);
    }

    /// Replaces the hosts that may test suspected parts, and names this one.
    pub fn set_hosts<'a, I>(&self, own_name: &name::HostName, hosts: I)
    where
        I: IntoIterator<Item = &'a name::HostName>,
    {
        let hosts = hosts.into_iter().map(name::HostName::as_str);
        lock(&self.knowledge).causes.set_hosts(own_name.as_str(), hosts);
    }

    /// Records that a request is sent to a server.
    pub fn record_start_of_request(&self, suspect: &crash_causes::Suspect) {
        if !suspect.parts.is_empty() {
            lock(&self.knowledge).causes.record_start(&suspect.parts);
        }
    }

    /// Records that a request that was sent to a server has ended.
    pub fn record_end_of_request(
        &self,
        suspect: &crash_causes::Suspect,
        in_flight_ms: u64,
        now_ms: u64,
    ) {
        if !suspect.parts.is_empty() {
            lock(&self.knowledge).causes.record_end(&suspect.parts, in_flight_ms, now_ms);
        }
    }

    /// Keeps the servers to which a request may be sent, if a part of its prompt is suspected.
    pub fn confine(&self, part_hashes: &[u64], servers: &mut Vec<Arc<server::BackendServer>>) {
        if let Some((_, shared)) = part_hashes.split_last() {
            lock(&self.knowledge).causes.confine(shared, servers, |server| server.id.as_str());
        }
    }

    /// Records that the answer to a request began and went on for a time, or until it was complete.
    pub fn record_survival(
        &self,
        suspect: &crash_causes::Suspect,
        begun_ms: u64,
        survived_ms: u64,
    ) {
        if !suspect.parts.is_empty() {
            lock(&self.knowledge).causes.record_survival(&suspect.parts, begun_ms, survived_ms);
        }
    }

    /// Records that a request was given up shortly after it was sent or its answer had begun. Its
    /// server may still end because of it.
    pub fn record_given_up(
        &self,
        server: &server::BackendServer,
        suspect: crash_causes::Suspect,
        now_ms: u64,
    ) {
        if suspect.parts.is_empty() {
            return;
        }
        lock(&self.knowledge).causes.record_given_up(&suspect.parts, now_ms);
        let mut given_up = lock(&self.given_up);
        given_up.retain(|it| now_ms < it.at_ms + GIVEN_UP_RETENTION_MS);
        if given_up.len() >= MAX_GIVEN_UP {
            given_up.pop_front();
        }
        given_up.push_back(GivenUp { at_ms: now_ms, run: run_of(server), suspect });
    }

    /// Records that a server ended while it ran a request for this host.
    pub fn record_crash(
        &self,
        server: &server::BackendServer,
        suspect: crash_causes::Suspect,
        now: rollouts::Timestamp,
    ) {
        let run = run_of(server);
        let content_hash = suspect.content_hash;
        let answered_ms = suspect.progress.since_ms();
        let is_news = lock(&self.knowledge).history.record_crash(
            content_hash,
            run.clone(),
            answered_ms,
            now.monotonic_ms,
        );
        // Other hosts take the time from the list of suspects.
        if is_news && answered_ms < START_MS {
            let mut unreported = lock(&self.unreported);
            unreported.entry(run).or_default().content_hashes.insert(content_hash);
        }
        self.record_suspects(server, [suspect], now);
    }

    /// Records that a server has ended, as shown by a refused connection. Requests that were given
    /// up just before may be the cause.
    pub fn record_end(&self, server: &server::BackendServer, now: rollouts::Timestamp) {
        self.record_suspects(server, [], now);
    }

    fn record_suspects<I>(
        &self,
        server: &server::BackendServer,
        suspects: I,
        now: rollouts::Timestamp,
    ) where
        I: IntoIterator<Item = crash_causes::Suspect>,
    {
        let run = run_of(server);
        let is_reported = |suspect: &crash_causes::Suspect| {
            !suspect.parts.is_empty() || suspect.progress.since_ms() >= START_MS
        };
        let mut suspects: Vec<_> = suspects.into_iter().filter(is_reported).collect();
        suspects.extend(self.take_given_up(&run, now.monotonic_ms));
        if suspects.is_empty() {
            return;
        }
        lock(&self.knowledge).record_suspects(&run, now.unix_ms, &suspects, now.monotonic_ms);
        lock(&self.unreported).entry(run).or_default().suspects.extend(suspects);
    }

    /// Takes the requests to a run of a server that were given up shortly before it ended at `ended_ms`.
    fn take_given_up(
        &self,
        run: &crash_history::ServerRun,
        ended_ms: u64,
    ) -> Vec<crash_causes::Suspect> {
        let mut suspects = Vec::new();
        lock(&self.given_up).retain(|it| {
            let given_up_ms = ended_ms.saturating_sub(it.at_ms);
            if it.run != *run || given_up_ms >= GIVEN_UP_MS {
                return ended_ms < it.at_ms + GIVEN_UP_RETENTION_MS;
            }
            let mut suspect = it.suspect.clone();
            if let crash_causes::Progress::Answering { since_ms } = &mut suspect.progress {
                *since_ms += given_up_ms;
            }
            suspects.push(suspect);
            false
        });
        suspects
    }

    /// Records an entry that the store shows.
    pub fn merge(&self, entry: &Entry, now: rollouts::Timestamp) {
        match entry {
            Entry::Crash(report) => self.merge_crash(report, now),
            Entry::Clearance(clearance) => {
                let runs: Vec<crash_history::ServerRun> =
                    clearance.runs.iter().map(Into::into).collect();
                let part = u64::from_be_bytes(clearance.cleared_part);
                let survived_ms = clearance.survived_ms.unwrap_or(crash_causes::WHOLE_ANSWER_MS);
                lock(&self.knowledge).causes.record_clearance(part, &runs, survived_ms);
            }
            Entry::Block(block) => {
                self.block(u64::from_be_bytes(block.blocked_part), now.monotonic_ms);
            }
        }
    }

    fn merge_crash(&self, report: &Report, now: rollouts::Timestamp) {
        let age_ms = now.unix_ms.saturating_sub(report.noticed_unix_ms);
        let run = crash_history::ServerRun {
            server: report.server.clone(),
            started_unix_ms: report.started_unix_ms,
        };
        let at_ms = now.monotonic_ms.saturating_sub(age_ms);
        if age_ms >= crash_history::CRASH_TTL_MS {
            return;
        }
        let mut knowledge = lock(&self.knowledge);
        for content_hash in &report.content_hashes {
            let content_hash = u64::from_be_bytes(*content_hash);
            knowledge.history.record_crash(content_hash, run.clone(), 0, at_ms);
        }
        let suspects: Vec<crash_causes::Suspect> =
            report.suspects.iter().take(crash_causes::MAX_SUSPECTS).map(Into::into).collect();
        for suspect in suspects.iter().filter(|suspect| suspect.progress.since_ms() >= START_MS) {
            let answered_ms = suspect.progress.since_ms();
            knowledge.history.record_crash(suspect.content_hash, run.clone(), answered_ms, at_ms);
        }
        knowledge.record_suspects(&run, report.noticed_unix_ms, &suspects, now.monotonic_ms);
        // Only this host knows of its requests that were given up before the server ended.
        let given_up = self.take_given_up(&run, at_ms);
        if !given_up.is_empty() {
            let noticed_unix_ms = report.noticed_unix_ms;
            knowledge.record_suspects(&run, noticed_unix_ms, &given_up, now.monotonic_ms);
            drop(knowledge);
            lock(&self.unreported).entry(run).or_default().suspects.extend(given_up);
        }
    }

    fn block(&self, part: u64, now_ms: u64) {
        let mut knowledge = lock(&self.knowledge);
        let runs = knowledge.causes.record_block(part, now_ms);
        knowledge.history.excuse(&runs);
        drop(knowledge);
        self.blocks.send_modify(|count| *count += 1);
    }

    /// Allows a part again, since its entry was removed from the store.
    pub fn unblock(&self, part: u64) {
        lock(&self.knowledge).causes.record_unblock(part);
    }

    /// Takes the crashes that have not been reported yet, one report for each server, and the
    /// conclusions that other hosts should learn.
    pub fn take_unreported(&self, now: rollouts::Timestamp) -> Vec<Entry> {
        let unreported = std::mem::take(&mut *lock(&self.unreported));
        let to_report = |(run, mut in_flight): (crash_history::ServerRun, InFlight)| {
            crash_causes::sort_by_progress(&mut in_flight.suspects);
            let suspects = in_flight.suspects.iter().take(MAX_REPORTED);
            Entry::Crash(Report {
                server: run.server,
                started_unix_ms: run.started_unix_ms,
                noticed_unix_ms: now.unix_ms,
                content_hashes: in_flight
                    .content_hashes
                    .into_iter()
                    .map(u64::to_be_bytes)
                    .collect(),
                suspects: suspects.map(Suspect::from).collect(),
            })
        };
        let mut entries: Vec<_> = unreported.into_iter().map(to_report).collect();
        let mut knowledge = lock(&self.knowledge);
        let steps = knowledge.causes.advance(now.monotonic_ms, &mut rand::rng());
        for step in steps {
            entries.push(match step {
                crash_causes::Step::Block { part, runs, score } => {
                    knowledge.history.excuse(&runs);
                    self.blocks.send_modify(|count| *count += 1);
                    log::warn!(
                        target: "toucanwall", part = format!("{part:016x}"), crashes = runs.len(),
                        score = score; "a part of prompts ends servers; blocked"
                    );
                    Entry::Block(Block { blocked_part: part.to_be_bytes() })
                }
                crash_causes::Step::Clear { part, runs, survived_ms } => {
                    let is_whole = survived_ms == crash_causes::WHOLE_ANSWER_MS;
                    let survived_ms = Some(survived_ms).filter(|_| !is_whole);
                    log::info!(
                        target: "toucanwall", part = format!("{part:016x}"), crashes = runs.len(),
                        survived_ms = survived_ms; "a part of prompts is cleared of crashes"
                    );
                    Entry::Clearance(Clearance {
                        cleared_part: part.to_be_bytes(),
                        runs: runs.into_iter().map(Run::from).collect(),
                        survived_ms,
                        noticed_unix_ms: now.unix_ms,
                    })
                }
            });
        }
        self.log_suspicions(&knowledge.causes);
        entries
    }

    /// Logs which parts are suspected from now on, and which no longer.
    fn log_suspicions(&self, causes: &crash_causes::CrashCauses) {
        let mut logged = lock(&self.suspected);
        let suspected = causes.suspected_parts();
        let strong = suspected.iter().filter(|(_, it)| it.is_strong());
        let strong: collections::BTreeMap<u64, _> = strong.map(|(part, it)| (*part, *it)).collect();
        for (part, suspicion) in strong.iter().filter(|(part, _)| !logged.contains(*part)) {
            log::info!(
                target: "toucanwall", part = format!("{part:016x}"), score = suspicion.score,
                crashes = suspicion.moments, share = suspicion.share;
                "a part of prompts is suspected of ending servers"
            );
        }
        for part in logged.iter().filter(|part| !strong.contains_key(*part)) {
            let verdict = causes.verdict(&[*part]);
            log::info!(
                target: "toucanwall", part = format!("{part:016x}"), verdict:? = verdict;
                "suspicion of a part of prompts has ended"
            );
        }
        *logged = strong.into_keys().collect();
    }

    /// Forgets crashes that this host learned of long ago.
    pub fn expire(&self, now_ms: u64) {
        let before_ms = now_ms.saturating_sub(crash_history::CRASH_TTL_MS);
        lock(&self.knowledge).causes.forget_before(before_ms);
    }
}

impl EntryLog {
    /// Adds an entry of this host, which is identified by its run. It is written once
    /// the monotonic clock shows `write_after_ms`, unless the store shows it by then.
    pub fn add(&mut self, entry: Entry, run_id: u64, write_after_ms: u64) {
        self.made += 1;
        let name =
            entry.common_name().unwrap_or_else(|| format!("{run_id:016x}-{}", self.made).into());
        self.own.insert(name, OwnEntry { entry, write_after_ms });
    }

    /// Records that the store shows an entry.
    pub fn record_stored(&mut self, name: &Arc<str>, position: position::Position, entry: &Entry) {
        let blocked_part = match entry {
            Entry::Block(block) => Some(u64::from_be_bytes(block.blocked_part)),
            Entry::Crash(_) | Entry::Clearance(_) => None,
        };
        let stored = StoredEntry { made_unix_ms: entry.made_unix_ms(), blocked_part, position };
        self.stored.insert(Arc::clone(name), stored);
    }

    /// Records that the store no longer shows an entry; returns the part that it blocked. Its
    /// removal is an operator's decision, so this host does not write it again.
    pub fn record_removed(&mut self, name: &str) -> Option<u64> {
        let blocked_part = self.stored.remove(name).and_then(|stored| stored.blocked_part);
        if blocked_part.is_some() {
            self.own.remove(name);
        }
        blocked_part
    }

    /// Replaces the entries by those that the store shows in an era. Blocked parts that a restored store has lost become
    /// own entries, which are written once the monotonic clock shows `write_after_ms`.
    pub fn replace_stored<'a, E>(&mut self, entries: E, era: position::Era, write_after_ms: u64)
    where
        E: IntoIterator<Item = (&'a Arc<str>, position::Position, &'a Entry)>,
    {
        let former = std::mem::take(&mut self.stored);
        for (name, position, entry) in entries {
            self.record_stored(name, position, entry);
        }
        let stored = &self.stored;
        let lost = former
            .into_iter()
            .filter(|(name, former)| former.position.era < era && !stored.contains_key(name));
        for (name, part) in lost.filter_map(|(name, former)| Some((name, former.blocked_part?))) {
            let entry = Entry::Block(Block { blocked_part: part.to_be_bytes() });
            self.own.entry(name).or_insert(OwnEntry { entry, write_after_ms });
        }
    }

    /// Own entries to write now: new ones, and those that the store does not show, since a write
    /// failed or the store lost it.
    pub fn take_due_writes(&mut self, now_ms: u64) -> Vec<(Arc<str>, Entry)> {
        let stored = &self.stored;
        let due = self
            .own
            .iter_mut()
            .filter(|(name, own)| now_ms >= own.write_after_ms && !stored.contains_key(*name));
        due.map(|(name, own)| {
            own.write_after_ms = now_ms + REWRITE_AFTER_MS;
            (Arc::clone(name), own.entry.clone())
        })
        .collect()
    }

    /// Forgets expired entries; returns the names and positions of those in the store, which some
    /// host has to remove.
    pub fn expire(&mut self, now_unix_ms: u64) -> Vec<(Arc<str>, position::Position)> {
        let is_expired = |made_unix_ms: Option<u64>| {
            made_unix_ms.is_some_and(|made_unix_ms| {
                now_unix_ms.saturating_sub(made_unix_ms) >= crash_history::CRASH_TTL_MS
            })
        };
        self.own.retain(|_, own| !is_expired(own.entry.made_unix_ms()));
        let expired = self.stored.iter().filter(|(_, stored)| is_expired(stored.made_unix_ms));
        expired.map(|(name, stored)| (Arc::clone(name), stored.position)).collect()
    }
}

fn run_of(server: &server::BackendServer) -> crash_history::ServerRun {
    crash_history::ServerRun { server: server.id.clone(), started_unix_ms: server.started_unix_ms }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
