//! Each host's share of the deployment's retry budget for a service.
//!
//! Failures come in bursts, and each retry adds to the load that made the request fail.
//! The deployment's budget is a fraction of its requests plus an allowance. A host may use its own
//! share: the fraction of its own requests, and the allowance divided by the number of hosts. The
//! sum therefore stays within the budget even if hosts cannot reach each other. A host that was lost
//! may have used its share just before, so its share is not used by others within the window. A
//! process that has just started knows neither the other hosts nor what its former run has used, so
//! in its first window it has only a small part of the allowance, which the others leave unused.

use rand::RngExt as _;
use toucanwall_routing::number;

use crate::window;

/// Part of its budget that a host uses, in percent; the rest covers windows that do not align with
/// the host's own, and requests that the host counted and the platform did not.
const USED_PERCENT: u64 = 70;

/// Part of the budget that is reserved for failures, in percent: several times the share of
/// requests that fail on a normal day.
const FAILURE_RESERVE_PERCENT: u64 = 25;
/// Maximum number of retries that are reserved for failures: a host sees few failures at a time.
const MAX_FAILURE_RESERVE: u64 = 3;
/// Maximum part of the allowance that a process uses in its first window, in retries: until it knows
/// the other hosts, it cannot tell its share.
const MAX_STARTING_ALLOWANCE: u64 = 2;
/// Ratios and budgets are kept in thousandths.
const MILLI_PER_RETRY: u64 = 1_000;

/// The deployment's retry budget for a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed in each window in addition to the ratio.
    pub allowance: u64,
    /// Length of the window in which requests and retries are counted, in milliseconds.
    pub window_ms: u64,
}

/// One host's share of the retry budget for one service.
#[derive(Debug)]
pub struct RetryQuota {
    limits: RetryLimits,
    /// Added before a budget is rounded down to whole retries, in thousandths: drawn at random for
    /// each host, so that hosts whose budgets are below one retry together use about their sum.
    rounding_milli: u64,
    requests: window::SlidingWindow,
    taken: window::SlidingWindow,
    host_counts: window::SlidingMax,
}

/// Retries of one host for one service in a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Retries that the host may make.
    pub budget: u64,
    /// Retries that it has made.
    pub taken: u64,
}

impl RetryQuota {
    /// Creates a quota without recorded requests; times are counted from the start of the process.
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
            host_counts: window::SlidingMax::new(limits.window_ms),
        }
    }

    /// Records a request to the service while there are `host_count` hosts.
    pub fn record_request(&mut self, host_count: u64, now_ms: u64) {
        self.requests.record(now_ms);
        self.host_counts.record(host_count, now_ms);
    }

    /// Takes one retry, if one is left.
    pub fn try_take(&mut self, host_count: u64, now_ms: u64) -> bool {
        let is_available = self.remaining(host_count, now_ms) > 0;
        if is_available {
            self.taken.record(now_ms);
        }
        is_available
    }

    /// Number of retries that are left.
    pub fn remaining(&mut self, host_count: u64, now_ms: u64) -> u64 {
        let usage = self.usage(host_count, now_ms);
        usage.budget.saturating_sub(usage.taken)
    }

    /// Retries of this host in the window that ends now.
    pub fn usage(&mut self, host_count: u64, now_ms: u64) -> Usage {
        Usage { budget: self.budget(host_count, now_ms), taken: self.taken.count(now_ms) }
    }

    /// Number of retries that may be spent on escalations; a reserve is kept for failures.
    pub fn escalation_retries(&mut self, host_count: u64, now_ms: u64) -> u64 {
        let budget = self.budget(host_count, now_ms);
        // A fixed reserve would use up the whole budget of a host with few requests.
        let reserve = (budget * FAILURE_RESERVE_PERCENT / 100).min(MAX_FAILURE_RESERVE);
        budget.saturating_sub(reserve + self.taken.count(now_ms))
    }

    fn budget(&mut self, host_count: u64, now_ms: u64) -> u64 {
        let from_requests = self.requests.count(now_ms) * to_milli(self.limits.ratio);
        let host_count = self.host_counts.record(host_count, now_ms).max(1);
        let allowance = self.limits.allowance * MILLI_PER_RETRY / host_count;
        if now_ms < self.limits.window_ms {
            let unused = allowance * (100 - USED_PERCENT) / 100;
            let starting = unused.min(MAX_STARTING_ALLOWANCE * MILLI_PER_RETRY);
            let budget_milli = from_requests * USED_PERCENT / 100 + starting;
            return (budget_milli + self.rounding_milli) / MILLI_PER_RETRY;
        }
        let budget_milli = (from_requests + allowance) * USED_PERCENT / 100;
        (budget_milli + self.rounding_milli) / MILLI_PER_RETRY
    }
}

fn to_milli(ratio: f64) -> u64 {
    number::saturating_u64(ratio * number::saturating_f64(MILLI_PER_RETRY))
}
