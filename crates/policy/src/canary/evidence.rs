//! Evidence on a new version, and its weight against the version.

use std::collections;

use toucanwall_routing::number;

use crate::sequential_test as sequential;

/// Answers of the old version that are needed to estimate its rate of bad answers.
const MIN_BASELINE_ANSWERS: u64 = 10;
/// Rate of bad answers, above that of the old version, that is accepted.
const ACCEPTED_EXCESS: f64 = 0.03;
/// Rate of bad answers, above the accepted one, that must lead to a revert.
const REJECTED_EXCESS: f64 = 0.2;
/// Rate of bad answers, above the accepted one, that is doubted at the completion.
const SLIGHT_EXCESS: f64 = 0.08;
/// Minimum rate of bad answers in the comparison; lower ones cannot be told from zero.
const MIN_RATE: f64 = 0.01;
/// Maximum rate of bad answers in the comparison.
const MAX_RATE: f64 = 0.95;

/// What one or several hosts have observed of a version.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Observations {
    /// Answers, and those of them that failed or began late.
    pub answers: sequential::Evidence,
    /// Answers whose speed could be compared with the old version, and those that were slow.
    pub speeds: sequential::Evidence,
    /// Number of the slow answers that were stalled.
    pub stalled: u64,
    /// Number of answers of which any time could be compared with the old version.
    pub timed: u64,
    /// The part of `answers` that belongs to each route.
    pub routes: collections::BTreeMap<u64, sequential::Evidence>,
}

/// Evidence against the new version, as a cumulative sum (CUSUM): good answers lower it to zero at
/// most, so that a version that turns bad late is found as fast as one that is bad from the start.
#[derive(Debug, Clone, Copy, Default)]
pub struct Cusum(f64);

impl Observations {
    /// Adds further observations.
    pub fn merge(&mut self, other: &Self) {
        self.answers.merge(other.answers);
        self.speeds.merge(other.speeds);
        self.stalled += other.stalled;
        self.timed += other.timed;
        for (route, answers) in &other.routes {
            self.routes.entry(*route).or_default().merge(*answers);
        }
    }
}

impl Cusum {
    /// The logarithm of the likelihood ratio of bad to good.
    pub fn weight(self) -> f64 {
        self.0
    }

    /// Adds evidence on whether the rate of bad answers is the accepted one or
    /// [`REJECTED_EXCESS`] above it.
    pub fn add(&mut self, evidence: sequential::Evidence, accepted_rate: f64) {
        let rejected_rate = accepted_rate + REJECTED_EXCESS;
        // Good answers first: a report does not tell the order of its answers.
        for _ in evidence.bad..evidence.answers {
            let increment = ((1.0 - rejected_rate) / (1.0 - accepted_rate)).ln();
            self.0 = (self.0 + increment).max(0.0);
        }
        for _ in 0..evidence.bad {
            self.0 += (rejected_rate / accepted_rate).ln();
        }
    }
}

/// Rate of bad answers that is accepted of the new version, given those of the old one.
pub fn accepted_rate(baseline: sequential::Evidence) -> f64 {
    let baseline_rate = if baseline.answers < MIN_BASELINE_ANSWERS { 0.0 } else { rate(baseline) };
    (baseline_rate + ACCEPTED_EXCESS).clamp(MIN_RATE, MAX_RATE - REJECTED_EXCESS)
}

/// The logarithm of the likelihood ratio of a fault that must lead to a revert to none.
pub fn weight_of_fault(evidence: sequential::Evidence, accepted_rate: f64) -> f64 {
    log_likelihood_ratio(evidence, accepted_rate, accepted_rate + REJECTED_EXCESS)
}

/// The logarithm of the likelihood ratio of a slight fault to none.
pub fn weight_of_slight_fault(evidence: sequential::Evidence, accepted_rate: f64) -> f64 {
    log_likelihood_ratio(evidence, accepted_rate, accepted_rate + SLIGHT_EXCESS)
}

fn log_likelihood_ratio(
    evidence: sequential::Evidence,
    accepted_rate: f64,
    rejected_rate: f64,
) -> f64 {
    let bad = number::saturating_f64(evidence.bad);
    let good = number::saturating_f64(evidence.answers.saturating_sub(evidence.bad));
    bad * (rejected_rate / accepted_rate).ln()
        + good * ((1.0 - rejected_rate) / (1.0 - accepted_rate)).ln()
}

fn rate(evidence: sequential::Evidence) -> f64 {
    if evidence.answers == 0 {
        0.0
    } else {
        number::saturating_f64(evidence.bad) / number::saturating_f64(evidence.answers)
    }
}
