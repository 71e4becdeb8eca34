//! Canary analysis of a roll-out: which part of a service's traffic the new version gets, and when
//! the roll-out is completed or reverted.
//!
//! The new version may fail or slow down at once, later, under load or for one kind of request
//! only. In the first half of the roll-out's duration, sessions keep their version, and only
//! requests without a session try the new one. Then a part of all traffic goes to the new version,
//! so that failures show while few requests are affected. All traffic is cut over in the last tenth
//! of the duration. Until the end the new version gets no more than a bad one may get, whatever its
//! answers show: some versions fail only under a load that does not come before the end. Each host
//! judges by its own answers and by the reports of other hosts; a host that finds the new version
//! bad reverts the roll-out for all.

use std::collections;

use toucanwall_routing::number;
use toucanwall_routing::rollout;

use crate::sequential_test as sequential;

/// Part of the exposure allowed for a bad version that is used between the first half and the
/// cutover; with [`EARLY_FRACTION`] and the cutover itself it stays below the whole.
const EXPOSURE_BEFORE_CUTOVER: f64 = 0.2;
/// Maximum fraction of the traffic that the new version gets before the cutover.
const MAX_FRACTION_BEFORE_CUTOVER: f64 = 0.3;
/// Fraction of the requests without a session that the new version gets from the start, relative to
/// the exposure allowed for a bad version.
const EARLY_FRACTION: f64 = 0.2;
/// Time after the first half in which sessions still keep their version, in milliseconds: hosts
/// learn of a roll-out at slightly different times.
const SESSION_PHASE_MARGIN_MS: u64 = 400;
/// Time between the cutover and the end, in milliseconds: streams of the old version need some
/// seconds to end.
const CUTOVER_BEFORE_END_MS: u64 = 6_000;
/// Divisor of the duration: the time from the cutover to the end is at most a tenth of it.
const CUTOVER_DIVISOR: u64 = 10;
/// Time before the end at which the roll-out is marked as completed, in milliseconds: leaves room
/// for a store that is slow to answer.
const COMPLETE_BEFORE_END_MS: u64 = 1_500;
/// Divisor of the duration: the time from the completion to the end is at most this part of it, so
/// that requests to the old version may end after the cutover.
const COMPLETE_DIVISOR: u64 = 20;
/// Answers of the old version that are needed to estimate its rate of bad answers.
const MIN_BASELINE_ANSWERS: u64 = 10;
/// Rate of bad answers, above that of the old version, that is accepted.
const ACCEPTED_EXCESS: f64 = 0.03;
/// Rate of bad answers, above the accepted one, that must lead to a revert.
const REJECTED_EXCESS: f64 = 0.2;
/// Evidence at which a host that judges alone reverts, as the logarithm of the likelihood ratio of
/// bad to good: a good version reaches it by chance once in `e^6`, about four hundred, answers.
/// With several hosts the threshold is higher, since each of them could be wrong.
const REVERT_THRESHOLD: f64 = 6.0;
/// Minimum rate of bad answers in the comparison; lower ones cannot be told from zero.
const MIN_RATE: f64 = 0.01;
/// Maximum rate of bad answers in the comparison.
const MAX_RATE: f64 = 0.95;
/// An answer counts as slow only if it takes more than this many times the median of the old
/// version.
const SLOW_FACTOR: u64 = 4;
/// An answer counts as slow only if it takes longer than this percentile of the old version.
const SLOW_PERCENTILE: usize = 95;
/// Latency samples of the old version that are needed to recognise slow answers.
const MIN_LATENCY_SAMPLES: usize = 10;
/// Maximum number of latency samples of the old version that are kept for each kind of request.
const MAX_LATENCY_SAMPLES: usize = 64;

/// Parameters of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Plan {
    /// Duration that the operator set, in milliseconds.
    pub duration_ms: u64,
    /// Fraction of the service's requests that a bad version may get.
    pub exposure_fraction: f64,
    /// Number of hosts that judge the version.
    pub hosts: u64,
}

/// The properties of a request that decide which version it gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// A hash that is the same for all requests of a session, on all hosts.
    pub key: u64,
    /// Whether the request belongs to a session.
    pub has_session: bool,
}

/// The two sides that a roll-out compares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The old version.
    Baseline,
    /// The new version.
    Target,
}

impl Side {
    /// The name of the side in log lines.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Baseline => "before",
            Self::Target => "target",
        }
    }
}

/// What to do next about a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Nothing yet.
    Wait,
    /// Mark the roll-out as in progress.
    MarkStarted,
    /// Mark the roll-out as completed.
    Complete,
    /// Mark the roll-out as reverted, since the new version is bad.
    Revert,
}

/// The state of one roll-out at one host.
#[derive(Debug)]
pub struct Canary {
    plan: Plan,
    /// Time since the start of the roll-out when this host learned of it, in milliseconds.
    elapsed_at_creation_ms: u64,
    created_ms: u64,
    baseline: sequential::Evidence,
    target: sequential::Evidence,
    /// Answers of the new version that have not been reported to another host yet.
    unreported: sequential::Evidence,
    /// Evidence against the new version, as a cumulative sum (CUSUM): good answers lower it to zero
    /// at most, so that a version that turns bad late is found as fast as one that is bad from the
    /// start.
    cusum: f64,
    /// Times to the first byte at the old version, by kind of request.
    baseline_latencies_ms: collections::BTreeMap<u64, collections::VecDeque<u64>>,
    is_bad: bool,
}

impl Canary {
    /// Creates the state for a roll-out that started `elapsed_at_creation_ms` ago.
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

    /// The side that a request is sent to.
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

    /// Records an answer: whether the server failed, and the time to the first byte if there was
    /// one. `kind` groups requests whose times can be compared.
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
                // After the cutover engines read prompts that they have not cached, so that any
                // version is slow.
                let can_be_slow = self.elapsed_ms(now_ms) < self.cutover_ms();
                let is_slow = can_be_slow && first_byte_ms.is_some_and(|ms| self.is_slow(kind, ms));
                self.unreported.add(has_failed || is_slow);
                self.target.add(has_failed || is_slow);
                self.update_cusum(has_failed || is_slow);
            }
        }
    }

    /// Takes the evidence on the new version that was recorded since the last call.
    pub fn take_unreported(&mut self) -> sequential::Evidence {
        std::mem::take(&mut self.unreported)
    }

    /// Adds the evidence on the new version that another host has reported.
    pub fn merge_report(&mut self, report: sequential::Evidence) {
        self.target.merge(report);
        // Good answers first: a report does not tell the order of its answers.
        for _ in report.bad..report.answers {
            self.update_cusum(false);
        }
        for _ in 0..report.bad {
            self.update_cusum(true);
        }
    }

    /// The next action at this host.
    ///
    /// `delay_ms` differs between hosts, so that usually only one of them marks the roll-out as
    /// started or completed; a revert is not delayed.
    #[must_use]
    pub fn next_action(&self, state: rollout::State, now_ms: u64, delay_ms: u64) -> Action {
        if state.is_final() {
            return Action::Wait;
        }
        let elapsed_ms = self.elapsed_ms(now_ms).saturating_sub(delay_ms);
        let lead_ms = COMPLETE_BEFORE_END_MS.min(self.plan.duration_ms / COMPLETE_DIVISOR);
        let complete_ms = self.plan.duration_ms - lead_ms;
        match state {
            _ if self.is_bad => Action::Revert,
            _ if elapsed_ms >= complete_ms => Action::Complete,
            rollout::State::Ordered if self.elapsed_ms(now_ms) >= delay_ms => Action::MarkStarted,
            _ => Action::Wait,
        }
    }

    /// The evidence on the old version and on the new one.
    #[must_use]
    pub fn evidence(&self) -> (sequential::Evidence, sequential::Evidence) {
        (self.baseline, self.target)
    }

    /// Time since the start of the roll-out, in milliseconds.
    #[must_use]
    pub fn elapsed_ms(&self, now_ms: u64) -> u64 {
        self.elapsed_at_creation_ms + now_ms.saturating_sub(self.created_ms)
    }

    /// Fraction of the requests that the new version gets; never decreases.
    fn target_fraction(&self, has_session: bool, elapsed_ms: u64) -> f64 {
        let session_phase_end_ms = self.plan.duration_ms / 2 + SESSION_PHASE_MARGIN_MS;
        if elapsed_ms >= self.cutover_ms() {
            return 1.0;
        }
        let early_fraction = self.plan.exposure_fraction * EARLY_FRACTION;
        if elapsed_ms >= session_phase_end_ms {
            let exposed_ms = EXPOSURE_BEFORE_CUTOVER
                * self.plan.exposure_fraction
                * number::saturating_f64(self.plan.duration_ms);
            let length_ms = number::saturating_f64(
                self.cutover_ms().saturating_sub(session_phase_end_ms).max(1),
            );
            return (exposed_ms / length_ms)
                .clamp(early_fraction, MAX_FRACTION_BEFORE_CUTOVER.max(early_fraction));
        }
        if has_session { 0.0 } else { early_fraction }
    }

    /// Time from the start of the roll-out to the cutover, in milliseconds.
    fn cutover_ms(&self) -> u64 {
        let lead_ms = CUTOVER_BEFORE_END_MS.min(self.plan.duration_ms / CUTOVER_DIVISOR);
        self.plan.duration_ms - lead_ms
    }

    fn update_cusum(&mut self, is_bad: bool) {
        let baseline_rate =
            if self.baseline.answers < MIN_BASELINE_ANSWERS { 0.0 } else { rate(self.baseline) };
        let good_rate =
            (baseline_rate + ACCEPTED_EXCESS).clamp(MIN_RATE, MAX_RATE - REJECTED_EXCESS);
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
        let percentile_ms = sorted[sorted.len() * SLOW_PERCENTILE / 100];
        first_byte_ms > (median_ms * SLOW_FACTOR).max(percentile_ms)
    }
}

/// Maps a hash to a number from 0 to 1.
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
