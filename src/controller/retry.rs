//! A budget for retries, so that a failing upstream is not met by a storm.

/// What one request adds, in thousandths of a retry.
const REQUEST_DEPOSIT: u32 = 100;
/// What one retry costs.
const RETRY_COST: u32 = 1_000;
/// The most that can be saved up.
const MAX_SAVED: u32 = 20_000;

/// A token bucket: one retry for ten requests.
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
    /// A request came.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + REQUEST_DEPOSIT).min(MAX_SAVED);
    }

    /// Takes one retry out; `false` if there is none.
    pub fn withdraw(&mut self) -> bool {
        let rest = self.saved.checked_sub(RETRY_COST);
        self.saved = rest.unwrap_or(self.saved);
        rest.is_some()
    }
}
