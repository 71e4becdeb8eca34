//! How often a service may be sent a request once more, over all hosts together.
//!
//! Answers the load pattern of failures that come together: each failed request that is sent again
//! adds to the load that made it fail. The budget of the whole deployment is a part of its requests
//! and an allowance. A host spends its part of it: the ratio over its own requests, and the
//! allowance divided by the hosts. So the sum holds however hosts are cut off from each other.

use rand::RngExt as _;
use toucanwall_routing::number;

use crate::window;

/// Part of its budget that a host spends; the rest covers windows that its own do not line up
/// with, and requests that it counted and the platform did not.
const SPENT_PERCENT: u64 = 70;

/// Part of the budget that is kept for failures, in percent: several times the share of requests that
/// fail on a calm day.
const KEPT_PERCENT: u64 = 25;
/// Most repeats that are kept for failures: a host meets few of them at a time.
const KEPT_MAX: u64 = 3;
/// Thousandths in a whole, in which ratios are kept.
const WHOLE_MILLI: u64 = 1_000;

/// What the deployment allows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats on top.
    pub extra: u64,
    /// Length of the window in which they are counted, in milliseconds.
    pub window_ms: u64,
}

/// One host's budget for one service.
#[derive(Debug)]
pub struct Repeats {
    allowance: Allowance,
    /// What is added before a budget is cut to whole repeats, in thousandths: as likely to be anything
    /// below a whole one, so that hosts with a budget below one spend what they have together.
    rounding_milli: u64,
    requests: window::Window,
    taken: window::Window,
}

impl Repeats {
    /// A fresh budget.
    #[must_use]
    pub fn new<R>(allowance: Allowance, rng: &mut R) -> Self
    where
        R: rand::Rng,
    {
        Self {
            allowance,
            rounding_milli: rng.random_range(0..WHOLE_MILLI),
            requests: window::Window::new(allowance.window_ms),
            taken: window::Window::new(allowance.window_ms),
        }
    }

    /// Notes a request for the service.
    pub fn request(&mut self, now_ms: u64) {
        self.requests.add(now_ms);
    }

    /// Takes one repeat, if the budget has one left.
    pub fn try_take(&mut self, hosts: u64, now_ms: u64) -> bool {
        let has_one = self.left(hosts, now_ms) > 0;
        if has_one {
            self.taken.add(now_ms);
        }
        has_one
    }

    /// Repeats that are left.
    pub fn left(&mut self, hosts: u64, now_ms: u64) -> u64 {
        self.budget(hosts, now_ms).saturating_sub(self.taken.count(now_ms))
    }

    /// Repeats that are left for second runs by choice; some are kept for failures.
    pub fn spare(&mut self, hosts: u64, now_ms: u64) -> u64 {
        let budget = self.budget(hosts, now_ms);
        // A host with few requests has a budget of few: a fixed reserve would take all of it.
        let kept = (budget * KEPT_PERCENT / 100).min(KEPT_MAX);
        budget.saturating_sub(kept + self.taken.count(now_ms))
    }

    fn budget(&mut self, hosts: u64, now_ms: u64) -> u64 {
        let of_requests = self.requests.count(now_ms) * to_milli(self.allowance.ratio);
        let extra = self.allowance.extra * WHOLE_MILLI / hosts.max(1);
        let budget_milli = (of_requests + extra) * SPENT_PERCENT / 100;
        (budget_milli + self.rounding_milli) / WHOLE_MILLI
    }
}

fn to_milli(ratio: f64) -> u64 {
    number::saturating_u64(ratio * number::saturating_f64(WHOLE_MILLI))
}
