//! How much of a service's traffic goes to the version that a roll-out brings in, and when the
//! roll-out is over.
//!
//! Answers the load pattern of a version that fails or slows down at once, later, under load or for
//! one kind of request only. In the first half of the time that the operator gives, sessions keep
//! their version, and only requests without a session try the new one. Then a part of all traffic
//! goes there, so that it is seen failing before it matters, and all of it just long enough before
//! the end that few requests are left at the version before. Each host judges what it sees itself and
//! what the hosts behind it report; one that finds the version bad reverts the roll-out for all.

use std::collections;

use toucanwall_routing::number;
use toucanwall_routing::rollout;

use crate::rollout as sequential;

/// Part of the requests that a bad version may get which it gets before all traffic moves; the rest
/// covers what goes there between the move and a verdict.
const EXPOSED_BEFORE_MOVE: f64 = 0.4;
/// Largest part of the traffic that goes to a version before all of it moves.
const PART_MAX: f64 = 0.3;
/// Part of the requests without a session that try the version from the start, of the part that a
/// bad version may get.
const EARLY_PART: f64 = 0.25;
/// Time after the first half in which sessions still keep their version, in milliseconds: hosts
/// learn of an order at slightly different times.
const HALF_MARGIN_MS: u64 = 400;
/// Time before the end at which all traffic moves to the new version, in milliseconds: streams of
/// the version before need some seconds to end.
const MOVE_BEFORE_END_MS: u64 = 6_000;
/// Time before the end at which the roll-out is declared complete, in milliseconds: leaves room for
/// a store that is slow to answer.
const COMPLETE_BEFORE_END_MS: u64 = 1_500;
/// Largest part of the time that the move and what follows may take.
const END_PART: u64 = 4;
/// Answers of the version before from which its own rate of bad answers is taken.
const BASELINE_MIN: u64 = 10;
/// Rate of bad answers of the new version above that of the one before that is accepted.
const ACCEPTED_EXCESS: f64 = 0.03;
/// Rate above that of the one before that must be stopped.
const STOPPED_EXCESS: f64 = 0.2;
/// Evidence at which one host alone calls the version bad, as the logarithm of how much more likely
/// it is bad than good: a good one gets there once in `e^6`, about four hundred, answers. Where many
/// hosts judge, each needs as much more as there are others that could be wrong.
const STOP_AT: f64 = 6.0;
/// Smallest rate of bad answers that is told from none.
const RATE_MIN: f64 = 0.01;
/// Largest rate that the comparison works with.
const RATE_MAX: f64 = 0.95;
/// An answer this many times as slow as the middle one of the version before may be slow.
const SLOW_FACTOR: u64 = 4;
/// Part of the answers of the version before that come sooner than an answer that is slow.
const SLOW_QUANTILE_PERCENT: usize = 95;
/// Times that are needed to tell slow answers.
const TIMES_MIN: usize = 10;
/// First-byte times of the version before that are kept for each kind of request.
const TIMES_MAX: usize = 64;

/// What a roll-out is about.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Plan {
    /// Time that the operator gives, in milliseconds.
    pub duration_ms: u64,
    /// Part of the service's requests that a bad version may get.
    pub exposure_fraction: f64,
    /// Hosts that judge the version.
    pub hosts: u64,
}

/// What decides about one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// A hash that is the same for all requests of a session, on all hosts.
    pub key: u64,
    /// Whether it belongs to a session.
    pub has_session: bool,
}

/// Which side of a roll-out a version is on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The version before.
    Before,
    /// The version that is brought in.
    Target,
}

impl Side {
    /// The side in log lines.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Before => "before",
            Self::Target => "target",
        }
    }
}

/// What is to be done about a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing now.
    Wait,
    /// Say that it is under way.
    Announce,
    /// Say that it is complete.
    Complete,
    /// Say that the version is bad.
    Revert,
}

/// One roll-out as one host sees it.
#[derive(Debug)]
pub struct Canary {
    plan: Plan,
    /// Time that had passed when this host learned of it, in milliseconds.
    passed_ms: u64,
    learned_ms: u64,
    before: sequential::Evidence,
    target: sequential::Evidence,
    /// Answers of the target that no other host has been told of.
    unreported: sequential::Evidence,
    /// Evidence against the target: a cumulative sum that good answers take no lower than zero, so
    /// that a version that turns bad late is found as fast as one that was bad at once.
    against: f64,
    /// Times to the first byte of the version before, by kind of request.
    times_ms: collections::BTreeMap<u64, collections::VecDeque<u64>>,
    is_bad: bool,
}

impl Canary {
    /// A roll-out that this host has just learned of, `passed_ms` after its order.
    #[must_use]
    pub fn new(plan: Plan, passed_ms: u64, now_ms: u64) -> Self {
        Self {
            plan,
            passed_ms,
            learned_ms: now_ms,
            before: sequential::Evidence::default(),
            target: sequential::Evidence::default(),
            unreported: sequential::Evidence::default(),
            against: 0.0,
            times_ms: collections::BTreeMap::new(),
            is_bad: false,
        }
    }

    /// The side that serves a request.
    #[must_use]
    pub fn side(&self, state: rollout::State, request: Request, now_ms: u64) -> Side {
        match state {
            rollout::State::Completed => Side::Target,
            rollout::State::Reverted => Side::Before,
            rollout::State::Ordered | rollout::State::InProgress if self.is_bad => Side::Before,
            rollout::State::Ordered | rollout::State::InProgress => {
                let part = self.part(request.has_session, self.elapsed_ms(now_ms));
                if unit(request.key) < part { Side::Target } else { Side::Before }
            }
        }
    }

    /// Notes an answer: whether the server failed it, or how long its first byte took.
    pub fn note(
        &mut self,
        side: Side,
        kind: u64,
        has_failed: bool,
        first_byte_ms: Option<u64>,
        now_ms: u64,
    ) {
        match side {
            Side::Before => {
                self.before.add(has_failed);
                let times = self.times_ms.entry(kind).or_default();
                times.extend(first_byte_ms);
                if times.len() > TIMES_MAX {
                    times.pop_front();
                }
            }
            Side::Target => {
                // While all traffic moves, engines read prompts that they have never seen, and any
                // version is slow.
                let can_be_slow = self.elapsed_ms(now_ms) < self.move_ms();
                let is_slow = can_be_slow && first_byte_ms.is_some_and(|ms| self.is_slow(kind, ms));
                self.unreported.add(has_failed || is_slow);
                self.target.add(has_failed || is_slow);
                self.weigh(has_failed || is_slow);
            }
        }
    }

    /// Answers of the target that this host has seen since the last call.
    pub fn take_unreported(&mut self) -> sequential::Evidence {
        std::mem::take(&mut self.unreported)
    }

    /// Takes the answers of the target that another host has seen.
    pub fn merge(&mut self, seen: sequential::Evidence) {
        self.target.merge(seen);
        // Good ones first: a report covers a moment in which their order says nothing.
        for _ in seen.bad..seen.answers {
            self.weigh(false);
        }
        for _ in 0..seen.bad {
            self.weigh(true);
        }
    }

    /// What is to be done now; hosts with a longer delay leave it to the others.
    #[must_use]
    pub fn step(&self, state: rollout::State, now_ms: u64, delay_ms: u64) -> Step {
        if state.is_final() {
            return Step::Wait;
        }
        let elapsed_ms = self.elapsed_ms(now_ms).saturating_sub(delay_ms);
        let complete_ms = self.plan.duration_ms - self.before_end_ms(COMPLETE_BEFORE_END_MS);
        match state {
            _ if self.is_bad => Step::Revert,
            _ if elapsed_ms >= complete_ms => Step::Complete,
            rollout::State::Ordered if self.elapsed_ms(now_ms) >= delay_ms => Step::Announce,
            _ => Step::Wait,
        }
    }

    /// What was seen of the version before and of the target: answers, and bad ones among them.
    #[must_use]
    pub fn evidence(&self) -> (sequential::Evidence, sequential::Evidence) {
        (self.before, self.target)
    }

    /// Time since the order, in milliseconds.
    #[must_use]
    pub fn elapsed_ms(&self, now_ms: u64) -> u64 {
        self.passed_ms + now_ms.saturating_sub(self.learned_ms)
    }

    /// Part of the requests that goes to the target; never shrinks.
    fn part(&self, has_session: bool, elapsed_ms: u64) -> f64 {
        let trial_ms = self.plan.duration_ms / 2 + HALF_MARGIN_MS;
        if elapsed_ms >= self.move_ms() {
            return 1.0;
        }
        let early = self.plan.exposure_fraction * EARLY_PART;
        if elapsed_ms >= trial_ms {
            let exposed_ms = EXPOSED_BEFORE_MOVE
                * self.plan.exposure_fraction
                * number::saturating_f64(self.plan.duration_ms);
            let length_ms = number::saturating_f64(self.move_ms().saturating_sub(trial_ms).max(1));
            return (exposed_ms / length_ms).clamp(early, PART_MAX.max(early));
        }
        if has_session { 0.0 } else { early }
    }

    /// Time from the order to the move of all traffic, in milliseconds.
    fn move_ms(&self) -> u64 {
        self.plan.duration_ms - self.before_end_ms(MOVE_BEFORE_END_MS)
    }

    /// A time before the end, shortened where the whole roll-out is short.
    fn before_end_ms(&self, wanted_ms: u64) -> u64 {
        let scaled_ms = self.plan.duration_ms / END_PART * wanted_ms / MOVE_BEFORE_END_MS;
        wanted_ms.min(scaled_ms)
    }

    fn weigh(&mut self, is_bad: bool) {
        let baseline = if self.before.answers < BASELINE_MIN { 0.0 } else { rate(self.before) };
        let good_rate = (baseline + ACCEPTED_EXCESS).clamp(RATE_MIN, RATE_MAX - STOPPED_EXCESS);
        let bad_rate = good_rate + STOPPED_EXCESS;
        let step = if is_bad {
            (bad_rate / good_rate).ln()
        } else {
            ((1.0 - bad_rate) / (1.0 - good_rate)).ln()
        };
        self.against = (self.against + step).max(0.0);
        let stop_at = STOP_AT + number::saturating_f64(self.plan.hosts.max(1)).ln() / 2.0;
        self.is_bad = self.is_bad || self.against >= stop_at;
    }

    fn is_slow(&self, kind: u64, first_byte_ms: u64) -> bool {
        let Some(times) = self.times_ms.get(&kind).filter(|times| times.len() >= TIMES_MIN) else {
            return false;
        };
        let mut sorted: Vec<u64> = times.iter().copied().collect();
        sorted.sort_unstable();
        let middle_ms = sorted[sorted.len() / 2].max(1);
        let high_ms = sorted[sorted.len() * SLOW_QUANTILE_PERCENT / 100];
        first_byte_ms > (middle_ms * SLOW_FACTOR).max(high_ms)
    }
}

/// A hash as a number from 0 to 1.
fn unit(key: u64) -> f64 {
    let high = u32::try_from(key >> 32).unwrap_or(u32::MAX);
    f64::from(high) / f64::from(u32::MAX)
}

fn rate(evidence: sequential::Evidence) -> f64 {
    if evidence.answers == 0 {
        0.0
    } else {
        number::saturating_f64(evidence.bad) / number::saturating_f64(evidence.answers)
    }
}
