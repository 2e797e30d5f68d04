//! A budget for retries, so that a failing upstream is not overloaded by retried requests.

/// The amount that each request adds to the budget, in thousandths of a retry.
const REQUEST_DEPOSIT: u32 = 100;
/// The amount that each retry takes from the budget, in thousandths of a retry.
const RETRY_COST: u32 = 1_000;
/// The largest amount that the budget holds, in thousandths of a retry.
const MAX_SAVED: u32 = 20_000;

/// A token bucket that allows one retry for every ten requests.
#[derive(Debug)]
pub struct RetryBudget {
    saved: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: MAX_SAVED / 2 }
    }
}

impl RetryBudget {
    /// Adds the deposit of one request.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + REQUEST_DEPOSIT).min(MAX_SAVED);
    }

    /// Takes one retry from the budget; returns `false` if the budget does not cover it.
    pub fn withdraw(&mut self) -> bool {
        let rest = self.saved.checked_sub(RETRY_COST);
        self.saved = rest.unwrap_or(self.saved);
        rest.is_some()
    }
}
