//! A budget for retries, so that they never multiply load.

/// Retries that are always possible, in thousandths.
const INITIAL_MILLI: u64 = 3_000;
/// What each request adds to the budget, in thousandths of a retry.
const PER_REQUEST_MILLI: u64 = 100;
/// Largest budget, in thousandths of a retry.
const MAX_BUDGET_MILLI: u64 = 50_000;

/// Retries that may still be made: a tenth of the requests, and a few.
#[derive(Debug)]
pub struct RetryBudget {
    remaining_milli: u64,
}

impl RetryBudget {
    /// A fresh budget.
    #[must_use]
    pub fn new() -> Self {
        Self { remaining_milli: INITIAL_MILLI }
    }

    /// Notes a first attempt.
    pub fn record_request(&mut self) {
        self.remaining_milli = (self.remaining_milli + PER_REQUEST_MILLI).min(MAX_BUDGET_MILLI);
    }

    /// Takes one retry; returns false if none is left.
    pub fn try_spend(&mut self) -> bool {
        let is_available = self.remaining_milli >= 1_000;
        if is_available {
            self.remaining_milli -= 1_000;
        }
        is_available
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
