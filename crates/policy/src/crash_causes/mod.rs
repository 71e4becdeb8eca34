//! Finds the part of a prompt that crashes backend servers, among the requests that were in flight.
//!
//! A part may crash each server that runs a prompt with it, whatever else the prompt holds, so
//! requests that are unlike except for that part end server after server. Hosts share, for each
//! crash, which requests were in flight and how far their answers had come. From that each host
//! decides which parts to block:
//!
//! - A part is a suspect of a crash if a request with it was in flight.
//! - The score of a part is the logarithm of a likelihood ratio: how improbable it is that the part
//!   was in flight at so many of the crashes by chance (`likelihood`). When in the course of an
//!   answer a cause crashes servers is not known beforehand; it is estimated with the score.
//! - An answer that began after a crash clears its parts of that crash, as far as it went on longer
//!   than the answers that were in flight. A whole answer clears them altogether.
//! - The part with the highest score explains its crashes, which then say nothing against others,
//!   unless another part fits the same crashes nearly as well.
//!
//! Requests with a part that is only suspected go to few servers (`isolation`), so that the next
//! crash tells it from others. A strongly suspected part is tested by one request at a time, on one
//! server (`probation`). A part whose score suffices is held for [`HOLD_MS`], in which other hosts may
//! clear it, and is then blocked for good.

mod decision;
pub mod evidence;
mod isolation;
mod likelihood;
mod probation;
mod traffic;

use std::cmp;
use std::collections;

use rand::RngExt as _;

pub use self::decision::Suspicion;
pub use self::evidence::Progress;
pub use self::evidence::Suspect;
pub use self::evidence::WHOLE_ANSWER_MS;
use crate::crash_history;

/// Crashes at different moments that a part needs before it is blocked.
pub const MOMENTS_TO_BLOCK: usize = 4;
/// Time for which a part is held before it is blocked for good, in milliseconds. Longer than the
/// delay of a clearance and its way through the store.
pub const HOLD_MS: u64 = 600;
/// Time after which all hosts confine the requests with a suspected part, and earlier ones have begun,
/// in milliseconds.
const CONFINED_AFTER_MS: u64 = 700;
/// Longest random delay of a clearance, in milliseconds. Other hosts may be faster, and one report
/// suffices.
const CLEARANCE_DELAY_MS: u64 = 200;
/// Maximum number of crashes that are remembered; the oldest are forgotten first.
const MAX_CRASHES: usize = 512;
/// Maximum number of requests in flight that are counted for a crash. Servers run up to some hundred
/// requests at a time, and the cause may be any of them.
pub const MAX_SUSPECTS: usize = 256;
/// Time after which an answer is reported after the requests that wait, in milliseconds.
const LONG_ANSWER_MS: u64 = 2_000;
/// Maximum number of parts of a request that are counted, from the first.
pub const MAX_PARTS: usize = 32;

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
    /// An answer with a part that other hosts may suspect went on after these crashes; other hosts
    /// should learn it.
    Clear {
        /// Hash of the part.
        part: u64,
        /// Server runs that had crashed before the answer began.
        runs: Vec<crash_history::ServerRun>,
        /// For how long the answer went on, in milliseconds; [`WHOLE_ANSWER_MS`] if it is complete.
        survived_ms: u64,
    },
}

/// What a host knows of the crashes of servers and their possible causes.
#[derive(Debug, Default)]
pub struct CrashCauses {
    crashes: collections::BTreeMap<crash_history::ServerRun, evidence::Crash>,
    accounts: collections::BTreeMap<u64, evidence::Account>,
    traffic: traffic::Traffic,
    blocked: collections::BTreeSet<u64>,
    /// When each part that is held was first held, in milliseconds.
    held: collections::BTreeMap<u64, u64>,
    suspected: collections::BTreeMap<u64, Suspicion>,
    /// What was known against the parts that are held.
    suspected_before_hold: collections::BTreeMap<u64, Suspicion>,
    probation: probation::Probation,
    /// When a part was blocked last, in milliseconds, until its block is known to have ended the crashes or
    /// not.
    blocked_ms: Option<u64>,
    /// Number of servers among which this host chose last.
    servers: usize,
    /// Whether a request with parts found no server.
    lacks_servers: bool,
    has_news: bool,
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
            } else if self.held.contains_key(part) || !self.probation.allows(*part) {
                Verdict::Held
            } else if self.suspected.get(part).is_some_and(Suspicion::is_strong) {
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

    /// Parts that are suspected but neither held nor blocked.
    #[must_use]
    pub fn suspected_parts(&self) -> &collections::BTreeMap<u64, Suspicion> {
        &self.suspected
    }

    /// Parts that are held.
    pub fn held_parts(&self) -> impl Iterator<Item = u64> + '_ {
        self.held.keys().copied()
    }

    /// Keeps the servers to which a request with a suspected part is sent: the part with the highest
    /// score decides. `id_of` returns the id of a server.
    pub fn confine<S, F>(&mut self, parts: &[u64], servers: &mut Vec<S>, id_of: F)
    where
        F: Fn(&S) -> &str,
    {
        self.servers = servers.len();
        self.lacks_servers = servers.is_empty();
        let suspicions = parts.iter().filter_map(|part| Some((*part, self.suspected.get(part)?)));
        let highest = suspicions.max_by(|(_, a), (_, b)| a.score.total_cmp(&b.score));
        let Some((part, suspicion)) = highest else { return };
        if !suspicion.is_strong() {
            suspicion.isolation(part).retain_servers(servers, id_of);
            return;
        }
        // Parts that are tested at the same time get different servers as far as there are enough.
        let strong = self.suspected.iter().filter(|(_, suspicion)| suspicion.is_strong());
        for (other, suspicion) in strong.take_while(|(other, _)| **other < part) {
            if servers.len() > 1 {
                suspicion.isolation(*other).remove_first(servers, &id_of);
            }
        }
        suspicion.isolation(part).retain_servers(servers, id_of);
    }

    /// Replaces the hosts that may test suspected parts, and names this one.
    pub fn set_hosts<'a, I>(&mut self, own_name: &str, hosts: I)
    where
        I: IntoIterator<Item = &'a str>,
    {
        self.probation.set_hosts(own_name, hosts);
    }

    /// Records that a request is sent to a server.
    pub fn record_start(&mut self, parts: &[u64]) {
        self.probation.record_start(parts);
    }

    /// Records that a request was given up, whose server may still crash.
    pub fn record_given_up(&mut self, parts: &[u64], now_ms: u64) {
        self.probation.record_given_up(parts, now_ms);
    }

    /// Records that a request that was sent to a server has ended.
    pub fn record_end(&mut self, parts: &[u64], in_flight_ms: u64, now_ms: u64) {
        self.probation.record_end(parts);
        self.traffic.record(parts, in_flight_ms, now_ms);
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
        sort_by_progress(&mut crash.suspects);
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

    /// Records that an answer that began at `begun_ms` went on for a time ([`WHOLE_ANSWER_MS`] if it is
    /// complete), which speaks for its parts if this host knew before of a crash that they may have
    /// caused. A cause crashes each server that runs it, so that crashes meanwhile count as well.
    pub fn record_survival(&mut self, parts: &[u64], begun_ms: u64, survived_ms: u64) {
        for part in parts {
            let Some(account) = self.accounts.get_mut(part) else { continue };
            let learned = account.runs.keys().filter_map(|run| self.crashes.get(run)?.learned_ms);
            if learned.min().is_none_or(|first_ms| first_ms > begun_ms) {
                continue;
            }
            for evidence in account.runs.values_mut() {
                if evidence.survived_ms < Some(survived_ms) {
                    evidence.survived_ms = Some(survived_ms);
                    self.has_news = true;
                }
            }
        }
    }

    /// Records that another host saw an answer with a part that began after these crashes and went on
    /// for a time.
    pub fn record_clearance<'a, I>(&mut self, part: u64, runs: I, survived_ms: u64)
    where
        I: IntoIterator<Item = &'a crash_history::ServerRun>,
    {
        for run in runs {
            self.make_room(run);
            let crash = self.crashes.entry(run.clone()).or_default();
            let known_ms = crash.survived_ms.entry(part).or_default();
            *known_ms = cmp::max(*known_ms, survived_ms);
            let Some(account) = self.accounts.get_mut(&part) else { continue };
            if survived_ms == WHOLE_ANSWER_MS {
                account.runs.remove(run);
            } else if let Some(evidence) = account.runs.get_mut(run) {
                evidence.survived_ms = evidence.survived_ms.max(Some(survived_ms));
                evidence.reported_ms = evidence.reported_ms.max(Some(survived_ms));
            }
        }
        self.drop_empty_account(part);
        self.has_news = true;
    }

    /// Blocks a part, as another host decided; returns the server runs whose crashes it explains.
    pub fn record_block(&mut self, part: u64, now_ms: u64) -> Vec<crash_history::ServerRun> {
        if !self.blocked.contains(&part) {
            self.blocked_ms = Some(now_ms);
        }
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
        let is_old =
            |crash: &evidence::Crash| crash.learned_ms.is_none_or(|at_ms| at_ms < before_ms);
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
        self.probation.advance(now_ms, self.lacks_servers);
        let mut steps = self.take_clearances(now_ms);
        let due: Vec<_> = self
            .held
            .iter()
            .filter(|(_, since_ms)| now_ms >= **since_ms + HOLD_MS)
            .map(|(part, _)| *part)
            .collect();
        for part in due {
            let sample = self.sample(&collections::BTreeSet::new());
            let score = self.summarise(part, &sample).map_or(0.0, |summary| summary.score);
            let runs = self.record_block(part, now_ms);
            steps.push(Step::Block { part, runs, score });
        }
        steps
    }

    /// Schedules reports about parts that other hosts may suspect, who have not seen the answers
    /// that this host has.
    fn schedule_clearances<R>(&mut self, now_ms: u64, rng: &mut R)
    where
        R: rand::Rng,
    {
        let sample = self.sample(&collections::BTreeSet::new());
        let is_useful = |part: u64, account: &evidence::Account| {
            let is_news = |it: &evidence::Evidence| it.survived_ms > it.reported_ms;
            if !account.runs.values().any(is_news) {
                return false;
            }
            let shares = self.shares(part, &sample);
            let without_answers = sample.summarise(account.runs.iter(), shares, false);
            without_answers.is_some_and(|it| it.is_worth_clearing())
        };
        let useful: collections::BTreeSet<u64> = self
            .accounts
            .iter()
            .filter(|(part, account)| is_useful(**part, account))
            .map(|(part, _)| *part)
            .collect();
        for (part, account) in &mut self.accounts {
            if !useful.contains(part) {
                account.clearance_due_ms = None;
            } else if account.clearance_due_ms.is_none() {
                let delay_ms = rng.random_range(0..=CLEARANCE_DELAY_MS);
                account.clearance_due_ms = Some(now_ms + delay_ms);
            }
        }
    }

    fn take_clearances(&mut self, now_ms: u64) -> Vec<Step> {
        let is_due = |account: &evidence::Account| {
            account.clearance_due_ms.is_some_and(|due_ms| now_ms >= due_ms)
        };
        let mut steps = Vec::new();
        for (part, account) in &mut self.accounts {
            if !is_due(account) {
                continue;
            }
            account.clearance_due_ms = None;
            let news = account.runs.iter().filter(|(_, it)| it.survived_ms > it.reported_ms);
            let Some(survived_ms) = news.clone().filter_map(|(_, it)| it.survived_ms).max() else {
                continue;
            };
            let survived = news.filter(|(_, it)| it.survived_ms == Some(survived_ms));
            let runs: Vec<_> = survived.map(|(run, _)| run.clone()).collect();
            steps.push(Step::Clear { part: *part, runs, survived_ms });
        }
        for step in &steps {
            if let Step::Clear { part, runs, survived_ms } = step {
                self.record_clearance(*part, runs, *survived_ms);
            }
        }
        steps
    }

    /// The crashes that no blocked part and none of `explained` explains.
    fn sample(
        &self,
        explained: &collections::BTreeSet<crash_history::ServerRun>,
    ) -> likelihood::Sample {
        likelihood::Sample::new(self.crashes.iter().filter(|(run, crash)| {
            !crash.is_explained && !crash.suspects.is_empty() && !explained.contains(*run)
        }))
    }

    /// The evidence against a part at the crashes of a sample.
    fn summarise(&self, part: u64, sample: &likelihood::Sample) -> Option<likelihood::Summary> {
        let account = self.accounts.get(&part)?;
        sample.summarise(account.runs.iter(), self.shares(part, sample), true)
    }

    /// Estimates the shares of a part in the traffic.
    ///
    /// The share at crashes, without one request at each crash as if it were the cause, is too low for
    /// innocent parts; the share of the traffic is too high for a cause, whose requests end early.
    /// Hence the geometric mean.
    fn shares(&self, part: u64, sample: &likelihood::Sample) -> traffic::Shares {
        let runs = || self.accounts.get(&part).into_iter().flat_map(|account| &account.runs);
        let requests = sample.requests_with(runs());
        let crashes = sample.weight_of(runs().map(|(run, _)| run));
        let at_crashes = (requests + 0.5) / (sample.requests() + 1.0);
        let without_cause = (requests - crashes + 0.5) / (sample.requests() - crashes + 1.0);
        let traffic = self.traffic.shares(part, at_crashes);
        let mean = |share: f64| (share * without_cause.clamp(0.0, 1.0)).sqrt();
        traffic::Shares {
            of_requests: mean(traffic.of_requests),
            in_flight: mean(traffic.in_flight),
        }
    }

    /// Crashes that a part may have caused.
    fn runs_of(&self, part: u64) -> Vec<crash_history::ServerRun> {
        let runs = self.accounts.get(&part).into_iter().flat_map(|account| &account.runs);
        runs.filter(|(_, evidence)| !evidence.is_refuted()).map(|(run, _)| run.clone()).collect()
    }

    /// Enters a crash into the accounts of its suspects.
    fn count(&mut self, run: &crash_history::ServerRun) {
        let Some(crash) = self.crashes.get(run) else { return };
        let learned_ms = crash.learned_ms.unwrap_or(0);
        for (part, evidence) in crash.evidence(MAX_PARTS) {
            let is_confined =
                |it: &&Suspicion| learned_ms >= it.since_ms.saturating_add(CONFINED_AFTER_MS);
            let suspicion = self.suspected.get(&part).filter(is_confined);
            let confined_to = suspicion.map(|it| it.isolation(part).fraction_of(self.servers));
            let account = self.accounts.entry(part).or_default();
            let known = account.runs.entry(run.clone()).or_default();
            let survived_ms = known.survived_ms.max(evidence.survived_ms);
            let reported_ms = known.reported_ms.max(evidence.reported_ms);
            let confined_to = known.confined_to.or(confined_to);
            let servers = cmp::max(known.servers, self.servers);
            *known =
                evidence::Evidence { confined_to, servers, survived_ms, reported_ms, ..evidence };
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

/// Sorts requests for reports of limited length: answers that began lately first, then requests that
/// wait. The longer an answer goes on, the less likely it ends its server.
pub fn sort_by_progress(suspects: &mut [Suspect]) {
    suspects.sort_by_key(|suspect| match suspect.progress {
        Progress::Answering { since_ms } => (since_ms >= LONG_ANSWER_MS, 0, since_ms),
        Progress::Waiting => (false, 1, 0),
    });
}
