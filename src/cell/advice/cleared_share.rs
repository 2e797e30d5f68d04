//! The share of workers that the advice service clears, learned by queue from its answers.

use std::fmt;

/// The share that is assumed before the first answer: one in two.
const INITIAL_SHARE: f64 = 0.5;
/// The weight of an answer in the moving average. Answers about tens of workers differ by about a
/// tenth, so that eight of them give the share to a few hundredths.
const ANSWER_WEIGHT: f64 = 0.125;
/// The smallest share that requests are sized for, so that a queue that was denied all workers
/// still asks about a limited number.
const MIN_SHARE: f64 = 0.1;

/// A moving average of the share of workers that were cleared.
#[derive(Clone, Copy, PartialEq)]
pub struct ClearedShare(f64);

impl Default for ClearedShare {
    fn default() -> Self {
        Self(INITIAL_SHARE)
    }
}

impl fmt::Debug for ClearedShare {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}", self.0)
    }
}

impl ClearedShare {
    /// Records an answer about workers that were not asked about before.
    pub fn record(&mut self, named: usize, cleared: usize) {
        if named > 0 {
            let share = cleared as f64 / named as f64;
            self.0 += (share - self.0) * ANSWER_WEIGHT;
        }
    }

    /// The number of workers to name so that about this many are cleared.
    pub fn workers_for(self, cleared: usize) -> usize {
        (cleared as f64 / self.0.max(MIN_SHARE)).ceil() as usize
    }
}
