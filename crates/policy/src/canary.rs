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

use crate::sequential_test as sequential;

/// Part of the requests that a bad version may get which it gets before all traffic moves; the rest
/// covers what goes there between the move and a verdict.
const EXPOSURE_BEFORE_CUTOVER: f64 = 0.4;
/// Largest part of the traffic that goes to a version before all of it moves.
const MAX_FRACTION_BEFORE_CUTOVER: f64 = 0.3;
/// Part of the requests without a session that try the version from the start, of the part that a
/// bad version may get.
const EARLY_FRACTION: f64 = 0.25;
/// Time after the first half in which sessions still keep their version, in milliseconds: hosts
/// learn of an order at slightly different times.
const SESSION_PHASE_MARGIN_MS: u64 = 400;
/// Time before the end at which all traffic moves to the new version, in milliseconds: streams of
/// the version before need some seconds to end.
const CUTOVER_BEFORE_END_MS: u64 = 6_000;
/// Time before the end at which the roll-out is declared complete, in milliseconds: leaves room for
/// a store that is slow to answer.
const COMPLETE_BEFORE_END_MS: u64 = 1_500;
/// Largest part of the time that the move and what follows may take.
const END_PHASE_DIVISOR: u64 = 4;
/// Answers of the version before from which its own rate of bad answers is taken.
const MIN_BASELINE_ANSWERS: u64 = 10;
/// Rate of bad answers of the new version above that of the one before that is accepted.
const ACCEPTED_EXCESS: f64 = 0.03;
/// Rate above that of the one before that must be stopped.
const REJECTED_EXCESS: f64 = 0.2;
/// Evidence at which one host alone calls the version bad, as the logarithm of how much more likely
/// it is bad than good: a good one gets there once in `e^6`, about four hundred, answers. Where many
/// hosts judge, each needs as much more as there are others that could be wrong.
const REVERT_THRESHOLD: f64 = 6.0;
/// Smallest rate of bad answers that is told from none.
const MIN_RATE: f64 = 0.01;
/// Largest rate that the comparison works with.
const MAX_RATE: f64 = 0.95;
/// An answer this many times as slow as the middle one of the version before may be slow.
const SLOW_FACTOR: u64 = 4;
/// Part of the answers of the version before that come sooner than an answer that is slow.
const SLOW_QUANTILE_PERCENT: usize = 95;
/// Times that are needed to tell slow answers.
const MIN_LATENCY_SAMPLES: usize = 10;
/// First-byte times of the version before that are kept for each kind of request.
const MAX_LATENCY_SAMPLES: usize = 64;

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
    Baseline,
    /// The version that is brought in.
    Target,
}

impl Side {
    /// The side in log lines.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Baseline => "before",
            Self::Target => "target",
        }
    }
}

/// What is to be done about a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Nothing now.
    Wait,
    /// Say that it is under way.
    MarkStarted,
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
    elapsed_at_creation_ms: u64,
    created_ms: u64,
    baseline: sequential::Evidence,
    target: sequential::Evidence,
    /// Answers of the target that no other host has been told of.
    unreported: sequential::Evidence,
    /// Evidence against the target: a cumulative sum that good answers take no lower than zero, so
    /// that a version that turns bad late is found as fast as one that was bad at once.
    cusum: f64,
    /// Times to the first byte of the version before, by kind of request.
    baseline_latencies_ms: collections::BTreeMap<u64, collections::VecDeque<u64>>,
    is_bad: bool,
}

impl Canary {
    /// A roll-out that this host has just learned of, `passed_ms` after its order.
    #[must_use]
    pub fn new(plan: Plan, elapsed_at_creation_ms: u64, now_ms: u64) -> Self {
        Self {
            plan,
            elapsed_at_creation_ms,
            created_ms: now_ms,
            baseline: sequential::Evidence::default(),
            target: sequential::Evidence::default(),
            unreported: sequential::Evidence::default(),
            cusum: 0.0,
            baseline_latencies_ms: collections::BTreeMap::new(),
            is_bad: false,
        }
    }

    /// The side that serves a request.
    #[must_use]
    pub fn side(&self, state: rollout::State, request: Request, now_ms: u64) -> Side {
        match state {
            rollout::State::Completed => Side::Target,
            rollout::State::Reverted => Side::Baseline,
            rollout::State::Ordered | rollout::State::InProgress if self.is_bad => Side::Baseline,
            rollout::State::Ordered | rollout::State::InProgress => {
                let target_fraction =
                    self.target_fraction(request.has_session, self.elapsed_ms(now_ms));
                if unit_interval(request.key) < target_fraction {
                    Side::Target
                } else {
                    Side::Baseline
                }
            }
        }
    }

    /// Notes an answer: whether the server failed it, or how long its first byte took.
    pub fn record_answer(
        &mut self,
        side: Side,
        kind: u64,
        has_failed: bool,
        first_byte_ms: Option<u64>,
        now_ms: u64,
    ) {
        match side {
            Side::Baseline => {
                self.baseline.add(has_failed);
                let latencies = self.baseline_latencies_ms.entry(kind).or_default();
                latencies.extend(first_byte_ms);
                if latencies.len() > MAX_LATENCY_SAMPLES {
                    latencies.pop_front();
                }
            }
            Side::Target => {
                // While all traffic moves, engines read prompts that they have never seen, and any
                // version is slow.
                let can_be_slow = self.elapsed_ms(now_ms) < self.cutover_ms();
                let is_slow = can_be_slow && first_byte_ms.is_some_and(|ms| self.is_slow(kind, ms));
                self.unreported.add(has_failed || is_slow);
                self.target.add(has_failed || is_slow);
                self.update_cusum(has_failed || is_slow);
            }
        }
    }

    /// Answers of the target that this host has seen since the last call.
    pub fn take_unreported(&mut self) -> sequential::Evidence {
        std::mem::take(&mut self.unreported)
    }

    /// Takes the answers of the target that another host has seen.
    pub fn merge_report(&mut self, report: sequential::Evidence) {
        self.target.merge(report);
        // Good ones first: a report covers a moment in which their order says nothing.
        for _ in report.bad..report.answers {
            self.update_cusum(false);
        }
        for _ in 0..report.bad {
            self.update_cusum(true);
        }
    }

    /// What is to be done now; hosts with a longer delay leave it to the others.
    #[must_use]
    pub fn next_action(&self, state: rollout::State, now_ms: u64, delay_ms: u64) -> Action {
        if state.is_final() {
            return Action::Wait;
        }
        let elapsed_ms = self.elapsed_ms(now_ms).saturating_sub(delay_ms);
        let complete_ms = self.plan.duration_ms - self.scaled_lead_ms(COMPLETE_BEFORE_END_MS);
        match state {
            _ if self.is_bad => Action::Revert,
            _ if elapsed_ms >= complete_ms => Action::Complete,
            rollout::State::Ordered if self.elapsed_ms(now_ms) >= delay_ms => Action::MarkStarted,
            _ => Action::Wait,
        }
    }

    /// What was seen of the version before and of the target: answers, and bad ones among them.
    #[must_use]
    pub fn evidence(&self) -> (sequential::Evidence, sequential::Evidence) {
        (self.baseline, self.target)
    }

    /// Time since the order, in milliseconds.
    #[must_use]
    pub fn elapsed_ms(&self, now_ms: u64) -> u64 {
        self.elapsed_at_creation_ms + now_ms.saturating_sub(self.created_ms)
    }

    /// Part of the requests that goes to the target; never shrinks.
    fn target_fraction(&self, has_session: bool, elapsed_ms: u64) -> f64 {
        let session_phase_ms = self.plan.duration_ms / 2 + SESSION_PHASE_MARGIN_MS;
        if elapsed_ms >= self.cutover_ms() {
            return 1.0;
        }
        let early_fraction = self.plan.exposure_fraction * EARLY_FRACTION;
        if elapsed_ms >= session_phase_ms {
            let exposed_ms = EXPOSURE_BEFORE_CUTOVER
                * self.plan.exposure_fraction
                * number::saturating_f64(self.plan.duration_ms);
            let length_ms =
                number::saturating_f64(self.cutover_ms().saturating_sub(session_phase_ms).max(1));
            return (exposed_ms / length_ms)
                .clamp(early_fraction, MAX_FRACTION_BEFORE_CUTOVER.max(early_fraction));
        }
        if has_session { 0.0 } else { early_fraction }
    }

    /// Time from the order to the move of all traffic, in milliseconds.
    fn cutover_ms(&self) -> u64 {
        self.plan.duration_ms - self.scaled_lead_ms(CUTOVER_BEFORE_END_MS)
    }

    /// A time before the end, shortened where the whole roll-out is short.
    fn scaled_lead_ms(&self, lead_ms: u64) -> u64 {
        let scaled_ms = self.plan.duration_ms / END_PHASE_DIVISOR * lead_ms / CUTOVER_BEFORE_END_MS;
        lead_ms.min(scaled_ms)
    }

    fn update_cusum(&mut self, is_bad: bool) {
        let baseline =
            if self.baseline.answers < MIN_BASELINE_ANSWERS { 0.0 } else { rate(self.baseline) };
        let good_rate = (baseline + ACCEPTED_EXCESS).clamp(MIN_RATE, MAX_RATE - REJECTED_EXCESS);
        let bad_rate = good_rate + REJECTED_EXCESS;
        let increment = if is_bad {
            (bad_rate / good_rate).ln()
        } else {
            ((1.0 - bad_rate) / (1.0 - good_rate)).ln()
        };
        self.cusum = (self.cusum + increment).max(0.0);
        let threshold =
            REVERT_THRESHOLD + number::saturating_f64(self.plan.hosts.max(1)).ln() / 2.0;
        self.is_bad = self.is_bad || self.cusum >= threshold;
    }

    fn is_slow(&self, kind: u64, first_byte_ms: u64) -> bool {
        let Some(latencies) = self
            .baseline_latencies_ms
            .get(&kind)
            .filter(|latencies| latencies.len() >= MIN_LATENCY_SAMPLES)
        else {
            return false;
        };
        let mut sorted: Vec<u64> = latencies.iter().copied().collect();
        sorted.sort_unstable();
        let median_ms = sorted[sorted.len() / 2].max(1);
        let high_ms = sorted[sorted.len() * SLOW_QUANTILE_PERCENT / 100];
        first_byte_ms > (median_ms * SLOW_FACTOR).max(high_ms)
    }
}

/// A hash as a number from 0 to 1.
fn unit_interval(key: u64) -> f64 {
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
