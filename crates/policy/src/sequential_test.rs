//! A sequential test of a new version against the current one.

use toucanwall_routing::number;

/// The result of a test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Not enough evidence yet.
    Continue,
    /// The new version is good enough: raise its share.
    Advance,
    /// The new version is bad: withdraw it.
    Stop,
}

/// Parameters of a test.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Plan {
    /// Rate of bad answers of a version that is good enough.
    pub good_rate: f64,
    /// Rate of bad answers at which a version must be withdrawn.
    pub bad_rate: f64,
    /// Accepted probability of stopping a good version.
    pub false_stop_rate: f64,
    /// Accepted probability of advancing a bad version.
    pub false_advance_rate: f64,
}

/// Evidence on one step of a roll-out, for Wald's sequential probability ratio test.
///
/// The counts of several hosts can be added, so each host sends its own counts and no request needs
/// a call to another host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Answers that were rated or failed.
    pub answers: u64,
    /// Answers that failed or were rated below the quality target.
    pub bad: u64,
}

impl Evidence {
    /// Adds one answer.
    pub fn add(&mut self, is_bad: bool) {
        self.answers += 1;
        self.bad += u64::from(is_bad);
    }

    /// Adds the counts of another host.
    pub fn merge(&mut self, other: Self) {
        self.answers += other.answers;
        self.bad += other.bad;
    }

    /// Tests the evidence against the plan.
    #[must_use]
    pub fn evaluate(&self, plan: Plan) -> Verdict {
        let ratio = self.log_likelihood_ratio(plan);
        let stop_threshold = ((1.0 - plan.false_advance_rate) / plan.false_stop_rate).ln();
        let advance_threshold = (plan.false_advance_rate / (1.0 - plan.false_stop_rate)).ln();
        if ratio >= stop_threshold {
            Verdict::Stop
        } else if ratio <= advance_threshold {
            Verdict::Advance
        } else {
            Verdict::Continue
        }
    }

    fn log_likelihood_ratio(&self, plan: Plan) -> f64 {
        let bad = number::saturating_f64(self.bad);
        let good = number::saturating_f64(self.answers - self.bad);
        bad * (plan.bad_rate / plan.good_rate).ln()
            + good * ((1.0 - plan.bad_rate) / (1.0 - plan.good_rate)).ln()
    }
}
