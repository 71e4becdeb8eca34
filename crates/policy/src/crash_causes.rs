//! Finds the part of a prompt that crashes backend servers, among the requests that were in flight.
//!
//! A part may crash each server that begins to answer a prompt with it, whatever else the prompt
//! holds, so requests that are unlike except for that part end server after server. Hosts share, for
//! each crash, which requests were in flight and how far their answers had come. From that each host
//! decides which parts to block:
//!
//! - A part is a suspect of a crash if a request with it was in flight. That says most if its answer
//!   had begun and no event had arrived, since servers crash as they begin to answer.
//! - An answer that began after a crash and went on clears its parts of that crash.
//! - The score of a part is the logarithm of a likelihood ratio: how improbable it is that the part
//!   was in flight at all of its crashes by chance. Parts that many requests share are in flight at
//!   nearly every crash, so a crash says little about them.
//! - The part with the highest score explains its crashes, which then say nothing against others.
//!
//! A part whose score suffices is held for [`HOLD_MS`], in which other hosts may clear it, and is
//! then blocked for good.

use std::cmp;
use std::collections;
use std::sync::Arc;

use rand::RngExt as _;

use crate::crash_history;

/// Crashes at different moments that a part needs before it is blocked.
pub const MOMENTS_TO_BLOCK: usize = 4;
/// Time for which a part is held before it is blocked for good, in milliseconds. Longer than the
/// delay of a clearance and its way through the store.
pub const HOLD_MS: u64 = 600;
/// Score from which a part is blocked: the odds against chance are a thousand to one.
const BLOCK_SCORE: f64 = 6.9;
/// Score from which requests with a part are not sent to further servers after a crash.
const SUSPECT_SCORE: f64 = 3.0;
/// Crashes at different moments from which a part may be suspected.
const MOMENTS_TO_SUSPECT: usize = 2;
/// Different requests that must have been in flight: one request by itself, with its retries, is
/// the matter of [`crash_history`].
const CONTENTS_TO_BLOCK: usize = 3;
/// Crashes at different moments after which a part is blocked whatever its score, if it was in
/// flight at nearly all crashes and no answer cleared it: parts that most requests have in common
/// get no score.
const MOMENTS_WITHOUT_SCORE: usize = 12;
/// Fraction of the crashes that such a part must explain.
const COVERAGE_WITHOUT_SCORE: f64 = 0.9;
/// Crashes at different moments from which answers with a part are reported whatever its score.
const MOMENTS_TO_CLEAR: usize = 6;
/// Crashes within this time count as one, in milliseconds: a failing rack ends many servers at once.
const MOMENT_MS: u64 = 100;
/// Longest random delay of a clearance, in milliseconds. Other hosts may be faster, and one report
/// suffices.
const CLEARANCE_DELAY_MS: u64 = 200;
/// Maximum number of crashes that are remembered; the oldest are forgotten first.
const MAX_CRASHES: usize = 512;
/// Maximum number of requests in flight that are counted for a crash, those that say most first.
pub const MAX_SUSPECTS: usize = 32;
/// Maximum number of parts of a request that are counted, from the first.
pub const MAX_PARTS: usize = 32;
/// Smallest estimate of the probability that a part is in flight by chance.
const CHANCE_MIN: f64 = 0.001;
/// Probability that the answer that ends a server has begun and shows no event yet, if that of some
/// request has. The head of the response may be lost with the server.
const CAUSE_HAS_BEGUN: f64 = 0.7;
/// Probability that the answer that ends a server has shown events, or that another request with the
/// same part has been answered by the same server without harm.
const CAUSE_STREAMS: f64 = 0.1;
/// Smallest estimate of the number of other requests of a kind at a crash.
const OTHERS_MIN: f64 = 0.25;

/// How far the answer to a request had come when its server ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// The response had not begun.
    #[default]
    Waiting,
    /// The response had begun, and no event had arrived.
    Begun,
    /// Events had arrived, the first of them recently.
    Streaming,
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

/// Whether a request with certain parts may be sent to servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// It may be sent.
    Allowed,
    /// It may be sent to one server, since one of its parts may crash servers.
    Suspected,
    /// It may not be sent now; another host may still clear the part.
    Held,
    /// One of its parts crashes servers.
    Blocked,
}

/// What a host does next.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// A part is blocked from now on; other hosts should learn it.
    Block {
        /// Hash of the part.
        part: u64,
        /// Server runs whose crashes it explains.
        runs: Vec<crash_history::ServerRun>,
        /// Its score.
        score: f64,
    },
    /// Answers with a part that other hosts may suspect went on after these crashes; other hosts
    /// should learn it.
    Clear {
        /// Hash of the part.
        part: u64,
        /// Server runs of whose crashes the part is cleared.
        runs: Vec<crash_history::ServerRun>,
    },
}

/// What a host knows of the crashes of servers and their possible causes.
#[derive(Debug, Default)]
pub struct CrashCauses {
    crashes: collections::BTreeMap<crash_history::ServerRun, Crash>,
    accounts: collections::BTreeMap<u64, Account>,
    blocked: collections::BTreeSet<u64>,
    /// When each part that is held was first held, in milliseconds.
    held: collections::BTreeMap<u64, u64>,
    suspected: collections::BTreeSet<u64>,
    has_news: bool,
}

#[derive(Debug, Default)]
struct Crash {
    /// When this host learned of it, on its monotonic clock in milliseconds; `None` if it knows
    /// only that some part is cleared of it.
    learned_ms: Option<u64>,
    /// Earliest time at which a host noticed it, in milliseconds since the Unix epoch.
    noticed_unix_ms: u64,
    suspects: Vec<Suspect>,
    cleared_parts: collections::BTreeSet<u64>,
    /// Whether a blocked part was in flight.
    is_explained: bool,
}

/// Crashes of which a part is a suspect.
#[derive(Debug, Default)]
struct Account {
    runs: collections::BTreeMap<crash_history::ServerRun, Evidence>,
    /// When this host reports that it saw answers with the part, in milliseconds.
    clearance_due_ms: Option<u64>,
}

/// What a crash says about a part.
#[derive(Debug, Default, Clone)]
struct Evidence {
    noticed_unix_ms: u64,
    /// How far the answers to requests with the part had come.
    progress: Progress,
    /// Whether an answer to any request had just begun.
    any_has_begun: bool,
    /// Number of requests with the part that were in flight.
    requests: u32,
    contents: collections::BTreeSet<u64>,
    /// Position of the part in the prompts.
    depth: usize,
    /// Whether this host has seen an answer with the part that began after the crash and went on.
    is_survived: bool,
}

/// Totals over the crashes that no blocked part explains.
#[derive(Debug, Clone, Copy, Default)]
struct Totals {
    crashes: f64,
    /// Crashes at which an answer had just begun.
    crashes_with_begun: f64,
    /// Requests in flight at the crashes.
    requests: f64,
    /// Those of which the answers had just begun.
    begun: f64,
    /// Those of which events had arrived.
    streaming: f64,
}

/// Probabilities that a part that causes nothing is in flight at a crash.
#[derive(Debug, Clone, Copy)]
struct Chances {
    /// That a request with it waits.
    waiting: f64,
    /// That an answer with it has just begun.
    begun: f64,
    /// That events of an answer with it have arrived.
    streaming: f64,
}

/// The evidence against a part.
#[derive(Debug, Clone, Copy)]
struct Summary {
    moments: usize,
    contents: usize,
    score: f64,
    /// Fraction of the crashes of which the part is a suspect.
    coverage: f64,
    depth: usize,
}

impl CrashCauses {
    /// Creates a host's knowledge of no crashes.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether a request with these parts may be sent.
    #[must_use]
    pub fn verdict(&self, parts: &[u64]) -> Verdict {
        let of_part = |part: &u64| {
            if self.blocked.contains(part) {
                Verdict::Blocked
            } else if self.held.contains_key(part) {
                Verdict::Held
            } else if self.suspected.contains(part) {
                Verdict::Suspected
            } else {
                Verdict::Allowed
            }
        };
        parts.iter().map(of_part).max().unwrap_or(Verdict::Allowed)
    }

    /// Parts that are blocked.
    #[must_use]
    pub fn blocked_parts(&self) -> &collections::BTreeSet<u64> {
        &self.blocked
    }

    /// Records requests that were in flight when a server ended; returns whether a blocked part
    /// explains the crash. Several hosts may report the same one.
    pub fn record_crash(
        &mut self,
        run: &crash_history::ServerRun,
        noticed_unix_ms: u64,
        suspects: &[Suspect],
        now_ms: u64,
    ) -> bool {
        let suspects: Vec<_> =
            suspects.iter().filter(|suspect| !suspect.parts.is_empty()).cloned().collect();
        if suspects.is_empty() {
            return self.crashes.get(run).is_some_and(|crash| crash.is_explained);
        }
        self.make_room(run);
        let crash = self.crashes.entry(run.clone()).or_default();
        crash.noticed_unix_ms = match crash.learned_ms {
            Some(_) => crash.noticed_unix_ms.min(noticed_unix_ms),
            None => noticed_unix_ms,
        };
        crash.learned_ms.get_or_insert(now_ms);
        let is_caused =
            |suspect: &Suspect| suspect.parts.iter().any(|part| self.blocked.contains(part));
        let is_explained = crash.is_explained || suspects.iter().any(is_caused);
        for suspect in suspects {
            if !crash.suspects.contains(&suspect) {
                crash.suspects.push(suspect);
            }
        }
        sort_by_weight(&mut crash.suspects);
        let dropped = crash.suspects.split_off(cmp::min(crash.suspects.len(), MAX_SUSPECTS));
        self.uncount_parts(run, &dropped);
        if is_explained {
            self.explain(run);
        } else {
            self.count(run);
        }
        self.has_news = true;
        is_explained
    }

    /// Records that an answer began and went on, which clears its parts of the crashes that this
    /// host knew of before.
    pub fn record_survival(&mut self, parts: &[u64], begun_ms: u64) {
        for part in parts {
            let Some(account) = self.accounts.get_mut(part) else { continue };
            for (run, evidence) in &mut account.runs {
                let learned_ms = self.crashes.get(run).and_then(|crash| crash.learned_ms);
                if !evidence.is_survived && learned_ms.is_some_and(|at_ms| at_ms <= begun_ms) {
                    evidence.is_survived = true;
                    self.has_news = true;
                }
            }
        }
    }

    /// Records that another host saw an answer with a part that went on after these crashes.
    pub fn record_clearance<'a, I>(&mut self, part: u64, runs: I)
    where
        I: IntoIterator<Item = &'a crash_history::ServerRun>,
    {
        for run in runs {
            self.make_room(run);
            self.crashes.entry(run.clone()).or_default().cleared_parts.insert(part);
            if let Some(account) = self.accounts.get_mut(&part) {
                account.runs.remove(run);
            }
        }
        self.drop_empty_account(part);
        self.has_news = true;
    }

    /// Blocks a part, as another host decided; returns the server runs whose crashes it explains.
    pub fn record_block(&mut self, part: u64) -> Vec<crash_history::ServerRun> {
        self.blocked.insert(part);
        self.held.remove(&part);
        self.suspected.remove(&part);
        let runs: Vec<_> = self
            .accounts
            .get(&part)
            .map(|account| account.runs.keys().cloned().collect())
            .unwrap_or_default();
        for run in &runs {
            self.explain(run);
        }
        self.has_news = true;
        runs
    }

    /// Allows a part again, as an operator decided.
    pub fn record_unblock(&mut self, part: u64) {
        self.blocked.remove(&part);
    }

    /// Forgets crashes that this host learned of before `before_ms`.
    pub fn forget_before(&mut self, before_ms: u64) {
        let is_old = |crash: &Crash| crash.learned_ms.is_none_or(|at_ms| at_ms < before_ms);
        let old: Vec<_> =
            self.crashes.iter().filter(|(_, it)| is_old(it)).map(|(run, _)| run.clone()).collect();
        for run in old {
            self.forget(&run);
        }
    }

    /// Weighs the evidence and returns what to do now.
    pub fn advance<R>(&mut self, now_ms: u64, rng: &mut R) -> Vec<Step>
    where
        R: rand::Rng,
    {
        if self.has_news {
            self.has_news = false;
            self.weigh(now_ms, rng);
        }
        let mut steps = self.take_clearances(now_ms);
        let due: Vec<_> = self
            .held
            .iter()
            .filter(|(_, since_ms)| now_ms >= **since_ms + HOLD_MS)
            .map(|(part, _)| *part)
            .collect();
        for part in due {
            let score = self.summary(part, &collections::BTreeSet::new(), self.totals());
            let runs = self.record_block(part);
            steps.push(Step::Block { part, runs, score: score.map_or(0.0, |it| it.score) });
        }
        steps
    }

    /// Decides which parts are held and suspected.
    fn weigh<R>(&mut self, now_ms: u64, rng: &mut R)
    where
        R: rand::Rng,
    {
        let totals = self.totals();
        let mut explained = collections::BTreeSet::new();
        let mut candidates: Vec<_> = self
            .accounts
            .iter()
            .filter(|(_, account)| account.runs.len() >= MOMENTS_TO_SUSPECT)
            .filter_map(|(part, _)| Some((*part, self.summary(*part, &explained, totals)?)))
            .collect();
        // A part that explains more crashes goes first. The deeper of two parts that are always in
        // flight together is the more specific one.
        candidates.sort_by(|(_, a), (_, b)| {
            let by_coverage = b.coverage.total_cmp(&a.coverage);
            by_coverage.then(b.score.total_cmp(&a.score)).then(b.depth.cmp(&a.depth))
        });
        let mut held = collections::BTreeMap::new();
        let mut suspected = collections::BTreeSet::new();
        // Crashes for which a part that explains more of them is not decided yet.
        let mut undecided = collections::BTreeSet::new();
        let mut unscored = Vec::new();
        for (part, _) in candidates {
            let Some(summary) = self.summary(part, &explained, totals) else { continue };
            let runs = self.runs_of(part);
            let is_decidable =
                runs.iter().filter(|run| !undecided.contains(*run)).count() >= MOMENTS_TO_BLOCK;
            if summary.is_cause() && is_decidable {
                held.insert(part, self.held.get(&part).copied().unwrap_or(now_ms));
                explained.extend(runs);
            } else if summary.is_suspect() {
                suspected.insert(part);
                undecided.extend(runs);
            } else {
                unscored.push(part);
            }
        }
        for part in unscored {
            let summary = self.summary(part, &explained, totals);
            if summary.is_some_and(|summary| summary.is_cause_without_score()) {
                held.insert(part, self.held.get(&part).copied().unwrap_or(now_ms));
                explained.extend(self.runs_of(part));
            }
        }
        self.held = held;
        self.suspected = suspected;
        self.schedule_clearances(totals, now_ms, rng);
    }

    /// Schedules reports about parts that other hosts may suspect, who have not seen the answers
    /// that this host has.
    fn schedule_clearances<R>(&mut self, totals: Totals, now_ms: u64, rng: &mut R)
    where
        R: rand::Rng,
    {
        for account in self.accounts.values_mut() {
            let has_survived = account.runs.values().any(|evidence| evidence.is_survived);
            let summary = Summary::of(account.runs.values(), totals);
            let may_be_suspected =
                summary.is_some_and(|it| it.is_suspect() || it.moments >= MOMENTS_TO_CLEAR);
            if !has_survived || !may_be_suspected {
                account.clearance_due_ms = None;
            } else if account.clearance_due_ms.is_none() {
                let delay_ms = rng.random_range(0..=CLEARANCE_DELAY_MS);
                account.clearance_due_ms = Some(now_ms + delay_ms);
            }
        }
    }

    fn take_clearances(&mut self, now_ms: u64) -> Vec<Step> {
        let is_due =
            |account: &Account| account.clearance_due_ms.is_some_and(|due_ms| now_ms >= due_ms);
        let mut steps = Vec::new();
        for (part, account) in &mut self.accounts {
            if !is_due(account) {
                continue;
            }
            account.clearance_due_ms = None;
            let survived = account.runs.iter().filter(|(_, evidence)| evidence.is_survived);
            let runs: Vec<_> = survived.map(|(run, _)| run.clone()).collect();
            steps.push(Step::Clear { part: *part, runs });
        }
        for step in &steps {
            if let Step::Clear { part, runs } = step {
                self.record_clearance(*part, runs);
            }
        }
        steps
    }

    /// The evidence against a part, without crashes that it survived or that others explain.
    fn summary(
        &self,
        part: u64,
        explained: &collections::BTreeSet<crash_history::ServerRun>,
        totals: Totals,
    ) -> Option<Summary> {
        let account = self.accounts.get(&part)?;
        let counted = account
            .runs
            .iter()
            .filter(|(run, evidence)| !evidence.is_survived && !explained.contains(*run));
        Summary::of(counted.map(|(_, evidence)| evidence), totals)
    }

    fn runs_of(&self, part: u64) -> Vec<crash_history::ServerRun> {
        let account = self.accounts.get(&part);
        let runs = account.into_iter().flat_map(|account| &account.runs);
        runs.filter(|(_, evidence)| !evidence.is_survived).map(|(run, _)| run.clone()).collect()
    }

    fn totals(&self) -> Totals {
        let open = self.crashes.values().filter(|it| !it.is_explained && !it.suspects.is_empty());
        let mut totals = Totals::default();
        for crash in open {
            let count = |progress| {
                crash.suspects.iter().filter(|suspect| suspect.progress == progress).count()
            };
            let begun = count(Progress::Begun);
            totals.crashes += 1.0;
            totals.crashes_with_begun += if begun > 0 { 1.0 } else { 0.0 };
            totals.requests += approximate(crash.suspects.len());
            totals.begun += approximate(begun);
            totals.streaming += approximate(count(Progress::Streaming));
        }
        totals
    }

    /// Enters a crash into the accounts of its suspects.
    fn count(&mut self, run: &crash_history::ServerRun) {
        let Some(crash) = self.crashes.get(run) else { return };
        let any_has_begun = crash.suspects.iter().any(|it| it.progress == Progress::Begun);
        let mut by_part: collections::BTreeMap<u64, Evidence> = collections::BTreeMap::new();
        for suspect in &crash.suspects {
            for (depth, part) in suspect.parts.iter().take(MAX_PARTS).enumerate() {
                if crash.cleared_parts.contains(part) {
                    continue;
                }
                let evidence = by_part.entry(*part).or_default();
                evidence.noticed_unix_ms = crash.noticed_unix_ms;
                evidence.any_has_begun = any_has_begun;
                evidence.progress = evidence.progress.max(suspect.progress);
                evidence.requests += 1;
                evidence.contents.insert(suspect.content_hash);
                evidence.depth = evidence.depth.max(depth);
            }
        }
        for (part, evidence) in by_part {
            let account = self.accounts.entry(part).or_default();
            let known = account.runs.entry(run.clone()).or_default();
            let is_survived = known.is_survived;
            *known = Evidence { is_survived, ..evidence };
        }
    }

    /// Takes a crash out of all accounts, since a blocked part caused it.
    fn explain(&mut self, run: &crash_history::ServerRun) {
        let Some(crash) = self.crashes.get_mut(run) else { return };
        crash.is_explained = true;
        self.uncount(run);
    }

    fn forget(&mut self, run: &crash_history::ServerRun) {
        self.uncount(run);
        self.crashes.remove(run);
    }

    fn uncount(&mut self, run: &crash_history::ServerRun) {
        let Some(crash) = self.crashes.get(run) else { return };
        let suspects = crash.suspects.clone();
        self.uncount_parts(run, &suspects);
    }

    fn uncount_parts(&mut self, run: &crash_history::ServerRun, suspects: &[Suspect]) {
        for part in suspects.iter().flat_map(|suspect| suspect.parts.iter()) {
            if let Some(account) = self.accounts.get_mut(part) {
                account.runs.remove(run);
            }
            self.drop_empty_account(*part);
        }
    }

    fn drop_empty_account(&mut self, part: u64) {
        if self.accounts.get(&part).is_some_and(|account| account.runs.is_empty()) {
            self.accounts.remove(&part);
        }
    }

    /// Forgets the crash that was learned of first if there is no room for another one.
    fn make_room(&mut self, run: &crash_history::ServerRun) {
        if self.crashes.len() < MAX_CRASHES || self.crashes.contains_key(run) {
            return;
        }
        let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.learned_ms);
        if let Some(oldest) = oldest.map(|(run, _)| run.clone()) {
            self.forget(&oldest);
        }
    }
}

impl Summary {
    /// Sums up what crashes say about a part; `None` without a crash.
    fn of<'a, I>(evidence: I, totals: Totals) -> Option<Self>
    where
        I: Iterator<Item = &'a Evidence>,
    {
        let mut evidence: Vec<_> = evidence.collect();
        evidence.sort_by_key(|it| it.noticed_unix_ms);
        let first = evidence.first()?;
        let requests: f64 = evidence.iter().map(|it| f64::from(it.requests)).sum();
        let chances = totals.chances(approximate(evidence.len()), requests);
        let mut moments = vec![(first.noticed_unix_ms, f64::MIN)];
        let mut contents: collections::BTreeSet<u64> = collections::BTreeSet::new();
        for it in &evidence {
            contents.extend(&it.contents);
            let score = chances.score(it);
            match moments.last_mut() {
                Some((at_ms, highest)) if it.noticed_unix_ms < at_ms.saturating_add(MOMENT_MS) => {
                    *highest = highest.max(score);
                }
                _ => moments.push((it.noticed_unix_ms, score)),
            }
        }
        Some(Self {
            moments: moments.len(),
            contents: contents.len(),
            score: moments.iter().map(|(_, score)| score).sum(),
            coverage: approximate(evidence.len()) / totals.crashes.max(1.0),
            depth: evidence.iter().map(|it| it.depth).max().unwrap_or(0),
        })
    }

    fn is_cause(&self) -> bool {
        self.score >= BLOCK_SCORE
            && self.moments >= MOMENTS_TO_BLOCK
            && self.contents >= CONTENTS_TO_BLOCK
    }

    fn is_suspect(&self) -> bool {
        self.score >= SUSPECT_SCORE && self.moments >= MOMENTS_TO_SUSPECT
    }

    fn is_cause_without_score(&self) -> bool {
        self.moments >= MOMENTS_WITHOUT_SCORE
            && self.contents >= CONTENTS_TO_BLOCK
            && self.coverage >= COVERAGE_WITHOUT_SCORE
    }
}

impl Totals {
    /// Estimates the probabilities that a part is in flight at a crash that it does not cause, from
    /// its share of the requests at the crashes. One request with the part is left out at each of
    /// its crashes, as if it were the cause.
    fn chances(&self, crashes_with_part: f64, requests_with_part: f64) -> Chances {
        let others_with_part = requests_with_part - crashes_with_part + 0.5;
        let others = self.requests - crashes_with_part + 1.0;
        let share = (others_with_part / others.max(1.0)).clamp(0.0, 1.0);
        let crashes = self.crashes.max(1.0);
        let begun_others = (self.begun - self.crashes_with_begun) / crashes + OTHERS_MIN;
        let streaming = self.streaming / crashes + OTHERS_MIN;
        let waiting = (self.requests - self.begun - self.streaming) / crashes + OTHERS_MIN;
        let chance = |requests: f64| (1.0 - (1.0 - share).powf(requests)).max(CHANCE_MIN);
        Chances {
            waiting: chance(waiting),
            begun: chance(begun_others),
            streaming: chance(streaming),
        }
    }
}

impl Chances {
    /// How much a crash says against a part: the logarithm of a likelihood ratio.
    fn score(&self, evidence: &Evidence) -> f64 {
        let (if_cause, by_chance) = match evidence.progress {
            Progress::Begun => (CAUSE_HAS_BEGUN, self.begun),
            Progress::Streaming => (CAUSE_STREAMS, self.streaming),
            Progress::Waiting if evidence.any_has_begun => {
                (1.0 - CAUSE_HAS_BEGUN - CAUSE_STREAMS, self.waiting)
            }
            Progress::Waiting => (1.0 - CAUSE_STREAMS, self.waiting),
        };
        (if_cause / by_chance).ln()
    }
}

/// Sorts requests so that those which say most come first: answers that had just begun.
pub fn sort_by_weight(suspects: &mut [Suspect]) {
    suspects.sort_by_key(|suspect| match suspect.progress {
        Progress::Begun => 0,
        Progress::Streaming => 1,
        Progress::Waiting => 2,
    });
}

fn approximate(count: usize) -> f64 {
    u32::try_from(cmp::min(count, MAX_CRASHES)).map_or(0.0, f64::from)
}
