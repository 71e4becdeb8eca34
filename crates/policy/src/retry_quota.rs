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
const USED_PERCENT: u64 = 70;

/// Part of the budget that is kept for failures, in percent: several times the share of requests that
/// fail on a calm day.
const FAILURE_RESERVE_PERCENT: u64 = 25;
/// Most repeats that are kept for failures: a host meets few of them at a time.
const MAX_FAILURE_RESERVE: u64 = 3;
/// Thousandths in a whole, in which ratios are kept.
const MILLI_PER_RETRY: u64 = 1_000;

/// What the deployment allows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats on top.
    pub allowance: u64,
    /// Length of the window in which they are counted, in milliseconds.
    pub window_ms: u64,
}

/// One host's budget for one service.
#[derive(Debug)]
pub struct RetryQuota {
    limits: RetryLimits,
    /// What is added before a budget is cut to whole repeats, in thousandths: as likely to be anything
    /// below a whole one, so that hosts with a budget below one spend what they have together.
    rounding_milli: u64,
    requests: window::SlidingWindow,
    taken: window::SlidingWindow,
}

impl RetryQuota {
    /// A fresh budget.
    #[must_use]
    pub fn new<R>(limits: RetryLimits, rng: &mut R) -> Self
    where
        R: rand::Rng,
    {
        Self {
            limits,
            rounding_milli: rng.random_range(0..MILLI_PER_RETRY),
            requests: window::SlidingWindow::new(limits.window_ms),
            taken: window::SlidingWindow::new(limits.window_ms),
        }
    }

    /// Notes a request for the service.
    pub fn record_request(&mut self, now_ms: u64) {
        self.requests.record(now_ms);
    }

    /// Takes one repeat, if the budget has one left.
    pub fn try_take(&mut self, host_count: u64, now_ms: u64) -> bool {
        let is_available = self.remaining(host_count, now_ms) > 0;
        if is_available {
            self.taken.record(now_ms);
        }
        is_available
    }

    /// Repeats that are left.
    pub fn remaining(&mut self, host_count: u64, now_ms: u64) -> u64 {
        self.budget(host_count, now_ms).saturating_sub(self.taken.count(now_ms))
    }

    /// Repeats that are left for second runs by choice; some are kept for failures.
    pub fn remaining_optional(&mut self, host_count: u64, now_ms: u64) -> u64 {
        let budget = self.budget(host_count, now_ms);
        // A host with few requests has a budget of few: a fixed reserve would take all of it.
        let reserve = (budget * FAILURE_RESERVE_PERCENT / 100).min(MAX_FAILURE_RESERVE);
        budget.saturating_sub(reserve + self.taken.count(now_ms))
    }

    fn budget(&mut self, host_count: u64, now_ms: u64) -> u64 {
        let from_requests = self.requests.count(now_ms) * to_milli(self.limits.ratio);
        let allowance = self.limits.allowance * MILLI_PER_RETRY / host_count.max(1);
        let budget_milli = (from_requests + allowance) * USED_PERCENT / 100;
        (budget_milli + self.rounding_milli) / MILLI_PER_RETRY
    }
}

fn to_milli(ratio: f64) -> u64 {
    number::saturating_u64(ratio * number::saturating_f64(MILLI_PER_RETRY))
}
