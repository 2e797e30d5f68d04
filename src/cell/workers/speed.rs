//! How fast a worker runs tasks against others, learned from those that are done.
//!
//! The load that this answers: one worker in three takes 1.3 times as long, and of ten tasks side by side the slowest
//! one decides. Jobs that have little time to spare go to the fast ones as far as there is room.

use crate::cell::Cell;
use crate::cell::jobs::job::Job;
use crate::cell::mechanism::Mechanism;

/// Fewer runs tell nothing: single ones differ by a third from their estimates.
const LEAST: u32 = 6;
/// The weight of one more run.
const WEIGHT: f64 = 0.06;
/// A worker is slow if its runs take this much longer than usual: half of what slow ones were seen to take.
const SLOW: f64 = 1.15;
/// A slow worker takes this much longer, in tenths of a task's time.
const LOSS: u64 = 3;
/// A job has little time to spare if a slow worker would take a third of that.
const PART: u64 = 3;

/// The mean ratio of a worker's run times to the usual ones.
#[derive(Debug, Clone, Copy, Default)]
pub struct Speed {
    count: u32,
    mean: f64,
}

impl Speed {
    /// A run took so many times as long as runs of its queue usually do.
    pub fn add(&mut self, ratio: f64) {
        let weight = WEIGHT.max(1.0 / f64::from(self.count + 1));
        self.mean += (ratio - self.mean) * weight;
        self.count += 1;
    }

    /// Whether it is known to be slow.
    pub fn is_slow(&self) -> bool {
        self.count >= LEAST && self.mean >= SLOW
    }
}

impl Cell {
    /// Whether a job has so little time to spare that it should not run on slow workers.
    pub(in crate::cell) fn is_tight(&self, job: &Job) -> bool {
        let chain = job.work.chain();
        let slack = job.queue.objective(&job.work) - chain;
        let is_lasting = job.work.steps.iter().any(|step| step.lasting);
        !self.bounds.off.has(Mechanism::Fast)
            && !is_lasting
            && chain.0 * LOSS * PART / 10 >= slack.0
    }
}
