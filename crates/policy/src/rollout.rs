//! A sequential test of a new version against the current one.

use toucanwall_routing::number;

/// What the evidence says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Not enough evidence yet.
    Continue,
    /// The new version is no worse than allowed: raise its share.
    Advance,
    /// The new version is worse than allowed: withdraw it.
    Stop,
}

/// What the test tells apart.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Plan {
    /// Rate of bad answers of a good version.
    pub good_rate: f64,
    /// Rate of bad answers that must be stopped.
    pub bad_rate: f64,
    /// Chance of stopping a good version.
    pub false_stop: f64,
    /// Chance of advancing a bad version.
    pub false_advance: f64,
}

/// Evidence on one step of a roll-out: Wald's sequential probability ratio test.
///
/// Counts add up over hosts, so each sends its own counts and no request needs a call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Answers that were rated or failed.
    pub answers: u64,
    /// Those rated below the quality target, and failures.
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

    /// Judges the evidence.
    #[must_use]
    pub fn judge(&self, plan: Plan) -> Verdict {
        let ratio = self.log_likelihood_ratio(plan);
        let stop_at = ((1.0 - plan.false_advance) / plan.false_stop).ln();
        let advance_at = (plan.false_advance / (1.0 - plan.false_stop)).ln();
        if ratio >= stop_at {
            Verdict::Stop
        } else if ratio <= advance_at {
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
