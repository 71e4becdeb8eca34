//! A budget for retries, so that they never multiply load.

/// Retries that are always possible, in thousandths.
const RESERVE_MILLI: u64 = 3_000;
/// What each request adds to the budget, in thousandths of a retry.
const PER_REQUEST_MILLI: u64 = 100;
/// Largest budget, in thousandths of a retry.
const BUDGET_MAX_MILLI: u64 = 50_000;

/// Retries that may still be made: a tenth of the requests, and a few.
#[derive(Debug)]
pub struct RetryBudget {
    left_milli: u64,
}

impl RetryBudget {
    /// A fresh budget.
    #[must_use]
    pub fn new() -> Self {
        Self { left_milli: RESERVE_MILLI }
    }

    /// Notes a first attempt.
    pub fn earn(&mut self) {
        self.left_milli = (self.left_milli + PER_REQUEST_MILLI).min(BUDGET_MAX_MILLI);
    }

    /// Takes one retry; returns false if none is left.
    pub fn spend(&mut self) -> bool {
        let has_one = self.left_milli >= 1_000;
        if has_one {
            self.left_milli -= 1_000;
        }
        has_one
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
