//! A budget for retries, so that a failing upstream is not met by a storm.

/// What one request adds, in thousandths of a retry.
const DEPOSIT: u32 = 100;
/// What one retry costs.
const COST: u32 = 1_000;
/// The most that can be saved up.
const MAX: u32 = 20_000;

/// A token bucket: one retry for ten requests.
#[derive(Debug)]
pub struct Budget {
    saved: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self { saved: MAX / 2 }
    }
}

impl Budget {
    /// A request came.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + DEPOSIT).min(MAX);
    }

    /// Takes one retry out; `false` if there is none.
    pub fn withdraw(&mut self) -> bool {
        let rest = self.saved.checked_sub(COST);
        self.saved = rest.unwrap_or(self.saved);
        rest.is_some()
    }
}
