//! A retry budget, which keeps retries from multiplying load.

/// Initial budget, in thousandths of a retry.
const INITIAL_MILLI: u64 = 3_000;
/// Budget that each request adds, in thousandths of a retry.
const PER_REQUEST_MILLI: u64 = 100;
/// Maximum budget, in thousandths of a retry.
const MAX_BUDGET_MILLI: u64 = 50_000;

/// A budget that allows retries for a tenth of the requests, plus a few initial ones.
#[derive(Debug)]
pub struct RetryBudget {
    remaining_milli: u64,
}

impl RetryBudget {
    /// Creates a budget with the initial retries.
    #[must_use]
    pub fn new() -> Self {
        Self { remaining_milli: INITIAL_MILLI }
    }

    /// Records a request's first attempt, which adds to the budget.
    pub fn record_request(&mut self) {
        self.remaining_milli = (self.remaining_milli + PER_REQUEST_MILLI).min(MAX_BUDGET_MILLI);
    }

    /// Takes one retry from the budget; returns false if none is left.
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
