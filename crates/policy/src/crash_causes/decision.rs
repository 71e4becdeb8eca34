//! Decides which parts are suspected, tested and blocked, from the evidence of all crashes.

use std::collections;

use super::CONFINED_AFTER_MS;
use super::CrashCauses;
use super::MAX_PARTS;
use super::MOMENTS_TO_BLOCK;
use super::Suspect;
use super::evidence;
use super::isolation;
use super::likelihood;
use super::probation;
use crate::crash_history;

/// Crashes at different moments from which a part is blocked although it was not tested.
const MOMENTS_WITHOUT_TEST: usize = 6;
/// Fraction of the crashes that such a part must explain, and one that is blocked after a test whatever
/// its score.
const COVERAGE_TO_BLOCK: f64 = 0.8;
/// Time after a block from which crashes show that it did not end them, in milliseconds: requests that
/// were in flight have ended, and other hosts have learned of it.
const BLOCK_EFFECT_MS: u64 = 2_000;
/// Time after a crash for which no part is tested, in milliseconds: in a run with real processes, reports of
/// other hosts came up to 600 ms late, and three hosts tested a part that had just crashed a server.
const REPORT_MS: u64 = 700;
/// Crashes at different moments that show that a block did not end them.
const MOMENTS_AFTER_BLOCK: f64 = 2.0;
/// Score from which a part is blocked: the odds against chance are a hundred to one, and no other part
/// fits the crashes nearly as well.
const BLOCK_SCORE: f64 = 4.6;
/// Score by which a part must exceed each other part at the same crashes: odds of twenty to one.
const BLOCK_MARGIN: f64 = 3.0;
/// Fraction of the crashes of a part at which another one must have been in flight to count as an
/// alternative.
const RIVAL_FRACTION: f64 = 0.5;
/// Fraction of the crashes of a part from which another part explains them as well.
const SAME_CRASHES_FRACTION: f64 = 0.8;
/// Score from which requests with a part are not sent to further servers after a crash.
const SUSPECT_SCORE: f64 = 3.0;
/// Crashes at different moments from which requests with any part that was in flight at one of them are
/// confined to few servers.
const MOMENTS_TO_CONFINE: f64 = 2.0;
/// Crashes at different moments from which a part may be suspected.
const MOMENTS_TO_SUSPECT: usize = 2;
/// Crashes at different moments from which a part that no server has answered in full since is strongly
/// suspected whatever its score: a cause with a large share of the requests gets none.
const UNCLEARED_MOMENTS_TO_TEST: f64 = 5.0;
/// Crashed servers from which such a part is strongly suspected after fewer moments: a frequent cause ends
/// all servers of a small service almost at once.
const UNCLEARED_CRASHES_TO_TEST: usize = 5;
/// Crashes at different moments that are needed for that; a failing rack is a single one.
const UNCLEARED_MOMENTS_MIN: f64 = 3.0;
/// Error by which sums of the weights of crashes may be too low.
const ROUNDING: f64 = 1e-6;
/// Share of the requests from which a part is not strongly suspected for that reason alone: tests would
/// stop most of the traffic.
const MAX_SHARE_TO_TEST: f64 = 0.5;
/// Different requests that must have been in flight: one request by itself, with its retries, is
/// the matter of [`crash_history`].
const CONTENTS_TO_BLOCK: usize = 3;
/// Crashes at different moments after which a part is blocked whatever its score, if it was in
/// flight at nearly all crashes and no answer cleared it: parts that most requests have in common
/// get no score.
const MOMENTS_WITHOUT_SCORE: f64 = 12.0;
/// Fraction of the crashes that such a part must explain.
const COVERAGE_WITHOUT_SCORE: f64 = 0.9;
/// Score from which answers with a part are reported: other hosts compare a cause with it.
const CLEAR_SCORE: f64 = 1.0;
/// Crashes at different moments from which answers with a part are reported whatever its score.
const MOMENTS_TO_CLEAR: usize = 6;

/// Why a part is suspected.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Suspicion {
    /// Score of the part.
    pub score: f64,
    /// Its share of the requests.
    pub share: f64,
    /// Crashes at different moments that count against it.
    pub moments: usize,
    /// Crashes at different moments that it was in flight at and that no answer has cleared it of.
    pub uncleared: f64,
    /// Servers that crashed while it was in flight and that no answer has cleared it of.
    pub crashes: usize,
    /// Since when it has been suspected, in milliseconds.
    pub(super) since_ms: u64,
    /// When the part became strongly suspected.
    strong: Option<StrongSince>,
}

/// When a part became strongly suspected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct StrongSince {
    /// Time, in milliseconds.
    since_ms: u64,
    /// Crashes at different moments that counted against it then.
    moments: usize,
}

impl CrashCauses {
    /// Decides which parts are held and suspected.
    pub(super) fn weigh<R>(&mut self, now_ms: u64, rng: &mut R)
    where
        R: rand::Rng,
    {
        self.reconsider_blocks();
        let mut explained = collections::BTreeSet::new();
        let mut held = collections::BTreeMap::new();
        let (mut sample, mut candidates);
        loop {
            sample = self.sample(&explained);
            candidates = self.candidates(&held, &sample);
            let cause = candidates.iter().find(|(part, it)| {
                let is_cause_by_score = it.is_cause()
                    && self.is_tested(*part, it)
                    && self.stands_out(*part, it, &explained);
                (is_cause_by_score || self.is_cause_by_test(*part, it, &sample))
                    && self.is_most_specific(*part)
            });
            let Some((part, _)) = cause else { break };
            held.insert(*part, self.held.get(part).copied().unwrap_or(now_ms));
            explained.extend(self.runs_of(*part));
        }
        let mut suspected = collections::BTreeMap::new();
        for (part, summary) in candidates.iter().filter(|_| sample.moments() >= MOMENTS_TO_CONFINE)
        {
            let known = self.suspicion(*part);
            let suspicion = Suspicion {
                score: summary.score,
                share: self.shares(*part, &sample).of_requests,
                moments: summary.moments,
                uncleared: summary.coverage * sample.moments(),
                crashes: self.runs_of(*part).len(),
                since_ms: known.map_or(now_ms, |it| it.since_ms),
                strong: known.and_then(|it| it.strong),
            };
            let begun = StrongSince { since_ms: now_ms, moments: suspicion.moments };
            let is_strong = suspicion.is_likely()
                || (suspicion.is_never_answered() && self.is_most_specific(*part));
            let strong = is_strong.then(|| suspicion.strong.unwrap_or(begun));
            suspected.insert(*part, Suspicion { strong, ..suspicion });
        }
        // Crashes that a suspected part may explain do not count against parts without a score.
        for (part, _) in suspected.iter().filter(|(_, suspicion)| suspicion.is_strong()) {
            explained.extend(self.runs_of(*part));
        }
        let sample = self.sample(&explained);
        for (part, _) in candidates {
            let summary = self.summarise(part, &sample);
            if summary.is_some_and(|it| it.is_cause_without_score(sample.moments())) {
                held.insert(part, self.held.get(&part).copied().unwrap_or(now_ms));
                break;
            }
        }
        // A hold may end when a rival becomes known; a test before it counts all the same.
        let before_hold = held.keys().filter_map(|part| Some((*part, *self.suspicion(*part)?)));
        self.suspected_before_hold = before_hold.collect();
        self.held = held;
        let strong = suspected.iter().filter(|(_, suspicion)| suspicion.is_strong());
        let strong = strong.map(|(part, it)| (*part, self.test_schedule(*part, it)));
        self.probation.replace(strong.collect());
        self.suspected = suspected;
        self.schedule_clearances(now_ms, rng);
    }

    /// Whether a server has crashed under a test of a part, or nearly all crashes were under it and a test
    /// would tell no more. Reports that clear a part may come later than those of crashes.
    fn is_tested(&self, part: u64, summary: &likelihood::Summary) -> bool {
        let is_covered =
            summary.moments >= MOMENTS_WITHOUT_TEST && summary.coverage >= COVERAGE_TO_BLOCK;
        is_covered || self.has_crashed_under_test(part)
    }

    /// Whether a part is blocked after a crash under a test although its score is low: no server has
    /// answered it in full since nearly all crashes, and that holds for no other part. While all servers
    /// crash one after the other, each part is in flight at most crashes, so that no score is high.
    fn is_cause_by_test(
        &self,
        part: u64,
        summary: &likelihood::Summary,
        sample: &likelihood::Sample,
    ) -> bool {
        summary.coverage >= COVERAGE_TO_BLOCK
            && summary.contents >= CONTENTS_TO_BLOCK
            && is_uncleared(summary.coverage * sample.moments(), self.runs_of(part).len())
            && self.has_crashed_under_test(part)
            && !self.has_rival(part)
    }

    /// Whether a server has crashed under a test of a part, without another one that is suspected more.
    fn has_crashed_under_test(&self, part: u64) -> bool {
        let Some(suspicion) = self.suspicion(part) else { return false };
        let Some(strong) = suspicion.strong else { return false };
        let tested_from_ms = strong.since_ms.saturating_add(CONFINED_AFTER_MS);
        let is_suspected_more = |other: &u64| {
            let other = self.suspected.get(other);
            other.is_some_and(|it| it.is_strong() && it.score > suspicion.score)
        };
        self.runs_of(part).iter().any(|run| {
            let crash = self.crashes.get(run);
            let crash = crash.filter(|it| it.learned_ms.is_some_and(|at| at >= tested_from_ms));
            crash.is_some_and(|it| !self.parts_beside(part, run, it).iter().any(is_suspected_more))
        })
    }

    /// Whether another part explains nearly all crashes of a part as well, in requests without it.
    fn has_rival(&self, part: u64) -> bool {
        let runs = self.runs_of(part);
        let mut crashes_of: collections::BTreeMap<u64, usize> = collections::BTreeMap::new();
        for (run, crash) in runs.iter().filter_map(|run| Some((run, self.crashes.get(run)?))) {
            for other in self.parts_beside(part, run, crash) {
                *crashes_of.entry(other).or_default() += 1;
            }
        }
        let needed = likelihood::approximate(runs.len()) * SAME_CRASHES_FRACTION;
        crashes_of.values().any(|count| likelihood::approximate(*count) >= needed)
    }

    /// Parts that were in flight at a crash in requests without a part, and that no server has answered
    /// in full since.
    fn parts_beside(
        &self,
        part: u64,
        run: &crash_history::ServerRun,
        crash: &evidence::Crash,
    ) -> collections::BTreeSet<u64> {
        let others = crash.suspects.iter().filter(|suspect| !suspect.parts.contains(&part));
        let mut parts: collections::BTreeSet<u64> =
            others.flat_map(|suspect| suspect.parts.iter().copied()).collect();
        parts.retain(|other| {
            let evidence = self.accounts.get(other).and_then(|account| account.runs.get(run));
            evidence.is_some_and(|it| !it.is_refuted())
        });
        parts
    }

    /// What is known against a part that is not blocked.
    fn suspicion(&self, part: u64) -> Option<&Suspicion> {
        self.suspected.get(&part).or_else(|| self.suspected_before_hold.get(&part))
    }

    /// Whether no further part of the same prompts explains nearly all crashes of a part: a prompt with a
    /// cause has the parts before it as well.
    fn is_most_specific(&self, part: u64) -> bool {
        let runs = self.runs_of(part);
        let mut crashes_of: collections::BTreeMap<u64, usize> = collections::BTreeMap::new();
        for (run, crash) in runs.iter().filter_map(|run| Some((run, self.crashes.get(run)?))) {
            let behind = |suspect: &Suspect| {
                let place = suspect.parts.iter().position(|other| *other == part);
                place.map_or(Vec::new(), |place| suspect.parts[place + 1..].to_vec())
            };
            let further: collections::BTreeSet<u64> =
                crash.suspects.iter().flat_map(behind).collect();
            for other in further {
                let evidence = self.accounts.get(&other).and_then(|it| it.runs.get(run));
                if evidence.is_some_and(|it| !it.is_refuted()) {
                    *crashes_of.entry(other).or_default() += 1;
                }
            }
        }
        let needed = likelihood::approximate(runs.len()) * SAME_CRASHES_FRACTION;
        crashes_of.values().all(|count| likelihood::approximate(*count) < needed)
    }

    /// When a strongly suspected part is tested.
    fn test_schedule(&self, part: u64, suspicion: &Suspicion) -> probation::Schedule {
        let runs = self.runs_of(part);
        let learned = runs.iter().filter_map(|run| self.crashes.get(run)?.learned_ms);
        let moments = suspicion.strong.map_or(suspicion.moments, |strong| strong.moments);
        let crashes = suspicion.moments.saturating_sub(moments);
        let from_ms =
            learned.max().unwrap_or_default().saturating_add(probation::pause_ms(crashes));
        // Other hosts may still report that the part was in flight at the latest crash.
        let latest_crash = self.crashes.values().filter_map(|crash| crash.learned_ms).max();
        let from_ms = from_ms.max(latest_crash.unwrap_or_default().saturating_add(REPORT_MS));
        // A cause was in flight at each of its crashes, so the longest of its answers had come to the
        // moment at which it crashes servers.
        let evidence = self.accounts.get(&part).into_iter().flat_map(|it| it.runs.values());
        let latest = |it: &evidence::Evidence| it.progress.iter().map(|it| it.since_ms()).max();
        let length_ms = evidence.filter(|it| !it.is_refuted()).filter_map(latest).min();
        probation::Schedule { from_ms, length_ms: length_ms.unwrap_or_default() }
    }

    /// Parts that crashes speak against, those with the highest score first.
    fn candidates(
        &self,
        held: &collections::BTreeMap<u64, u64>,
        sample: &likelihood::Sample,
    ) -> Vec<(u64, likelihood::Summary)> {
        let mut candidates: Vec<_> = self
            .accounts
            .iter()
            .filter(|(part, account)| {
                let is_decided = held.contains_key(part) || self.blocked.contains(part);
                !is_decided && !account.runs.is_empty()
            })
            .filter_map(|(part, _)| Some((*part, self.summarise(*part, sample)?)))
            .collect();
        // The deeper of two parts that are always in flight together is the more specific one.
        candidates.sort_by(|(_, a), (_, b)| {
            b.score.total_cmp(&a.score).then_with(|| b.depth.cmp(&a.depth))
        });
        candidates
    }

    /// Whether no other part fits the crashes that a part may have caused nearly as well. Requests
    /// with both parts say nothing about the other one.
    fn stands_out(
        &self,
        part: u64,
        summary: &likelihood::Summary,
        explained: &collections::BTreeSet<crash_history::ServerRun>,
    ) -> bool {
        let Some(account) = self.accounts.get(&part) else { return false };
        let caused = account.runs.iter().filter(|(run, evidence)| {
            !explained.contains(*run)
                && evidence.progress.iter().any(|progress| summary.window.contains(*progress))
        });
        let caused: collections::BTreeMap<_, _> =
            caused.map(|(run, it)| (run.clone(), it)).collect();
        let crashes: Vec<_> =
            self.crashes.iter().filter(|(run, _)| caused.contains_key(*run)).collect();
        let sample = likelihood::Sample::new(crashes.iter().copied());
        let all = self.sample(explained);
        let shares = |part| self.shares(part, &all);
        let Some(own) =
            sample.summarise(caused.iter().map(|(run, it)| (run, *it)), shares(part), true)
        else {
            return false;
        };
        let mut rivals: collections::BTreeMap<u64, collections::BTreeMap<_, _>> =
            collections::BTreeMap::new();
        for (run, crash) in crashes {
            let others = crash.suspects.iter().filter(|suspect| !suspect.parts.contains(&part));
            let others = evidence::Crash {
                noticed_unix_ms: crash.noticed_unix_ms,
                suspects: others.cloned().collect(),
                survived_ms: crash.survived_ms.clone(),
                ..evidence::Crash::default()
            };
            for (rival, mut evidence) in others.evidence(MAX_PARTS) {
                let known = self.accounts.get(&rival).and_then(|account| account.runs.get(run));
                evidence.survived_ms = known.map_or(evidence.survived_ms, |it| it.survived_ms);
                rivals.entry(rival).or_default().insert(run.clone(), evidence);
            }
        }
        let runs_min = likelihood::approximate(caused.len()) * RIVAL_FRACTION;
        rivals.retain(|_, runs| likelihood::approximate(runs.len()) >= runs_min);
        rivals.into_iter().all(|(rival, runs)| {
            sample
                .summarise(runs.iter(), shares(rival), true)
                .is_none_or(|rival| own.score >= rival.score + BLOCK_MARGIN)
        })
    }

    /// Lets crashes that a blocked part explains count again if servers go on crashing without it: then
    /// it was not their cause, or not their only one.
    fn reconsider_blocks(&mut self) {
        let Some(blocked_ms) = self.blocked_ms else { return };
        let later = self.crashes.iter().filter(|(_, crash)| {
            !crash.is_explained
                && !crash.suspects.is_empty()
                && crash.learned_ms.is_some_and(|at_ms| at_ms >= blocked_ms + BLOCK_EFFECT_MS)
        });
        if likelihood::Sample::new(later).moments() < MOMENTS_AFTER_BLOCK {
            return;
        }
        self.blocked_ms = None;
        let mut explained = Vec::new();
        for (run, crash) in &mut self.crashes {
            if std::mem::replace(&mut crash.is_explained, false) {
                explained.push(run.clone());
            }
        }
        for run in &explained {
            self.count(run);
        }
    }
}

impl Suspicion {
    /// Whether requests with the part are not sent again after a crash.
    #[must_use]
    pub fn is_strong(&self) -> bool {
        self.strong.is_some()
    }

    fn is_likely(&self) -> bool {
        self.score >= SUSPECT_SCORE && self.moments >= MOMENTS_TO_SUSPECT
    }

    fn is_never_answered(&self) -> bool {
        is_uncleared(self.uncleared, self.crashes) && self.share < MAX_SHARE_TO_TEST
    }

    pub(super) fn isolation(&self, part: u64) -> isolation::Isolation {
        if self.is_strong() {
            // Each test runs on another server, beside other requests than those before.
            let round = u64::try_from(self.moments).unwrap_or(u64::MAX);
            return isolation::Isolation { seed: part.wrapping_add(round), share: 0.0 };
        }
        isolation::Isolation { seed: part, share: self.share }
    }
}

/// Whether so many crashes that no answer has cleared a part of call for a test.
fn is_uncleared(moments: f64, crashes: usize) -> bool {
    let moments = moments + ROUNDING;
    moments >= UNCLEARED_MOMENTS_TO_TEST
        || (moments >= UNCLEARED_MOMENTS_MIN && crashes >= UNCLEARED_CRASHES_TO_TEST)
}

impl likelihood::Summary {
    fn is_cause(&self) -> bool {
        self.score >= BLOCK_SCORE
            && self.moments >= MOMENTS_TO_BLOCK
            && self.contents >= CONTENTS_TO_BLOCK
    }

    pub(super) fn is_worth_clearing(&self) -> bool {
        (self.score >= CLEAR_SCORE && self.moments >= MOMENTS_TO_SUSPECT)
            || self.moments >= MOMENTS_TO_CLEAR
    }

    fn is_cause_without_score(&self, moments: f64) -> bool {
        moments * self.coverage >= MOMENTS_WITHOUT_SCORE
            && self.contents >= CONTENTS_TO_BLOCK
            && self.coverage >= COVERAGE_WITHOUT_SCORE
    }
}
