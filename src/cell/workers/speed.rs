//! How fast each worker is compared with the others, learned from completed runs.
//!
//! The load that this answers: workers of different speeds run tasks whose objective is little longer
//! than their work. Such a task is late on a slow worker however soon it starts, while work with time
//! to spare is on time there.

use crate::cell::Cell;
use crate::cell::jobs::job::Job;
use crate::clock::Millis;

/// The weight of a new run in the moving average of a worker: about the last twenty runs count, so
/// that a worker that turns slow is noticed within seconds.
const SAMPLE_WEIGHT: f64 = 0.05;
/// The least number of runs from which a worker is classified. Estimates are rough.
const MIN_SAMPLES: u32 = 4;
/// A single run counts as at most this many times slower or faster than expected.
const MAX_RATIO: f64 = 4.0;
/// A worker is fast if its runs take less than this, compared with the mean of the workers.
const FAST_BELOW: f64 = 0.82;
/// A worker is slow if its runs take more than this, compared with the mean of the workers.
const SLOW_ABOVE: f64 = 1.22;
/// Work is tight if its objective is less than this many times its longest chain, in thousandths.
/// Such work is late on a worker that takes some 1.7 times as long as usual.
const TIGHT_BELOW_PERMILLE: u64 = 2_200;

/// How fast a worker is compared with the mean of the workers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum SpeedClass {
    /// Runs take clearly less time than elsewhere.
    Fast,
    /// Runs take about as long as elsewhere, or too few are known.
    #[default]
    Usual,
    /// Runs take clearly more time than elsewhere.
    Slow,
}

impl SpeedClass {
    /// The order in which workers are chosen, lower ones first: tight work goes to the fast ones and
    /// leaves slow ones to work that has time.
    pub fn order(self, is_tight: bool) -> u8 {
        match (is_tight, self) {
            (true, Self::Fast) | (false, Self::Slow) => 0,
            (_, Self::Usual) => 1,
            (true, Self::Slow) | (false, Self::Fast) => 2,
        }
    }
}

/// A moving average of how long runs take on a worker compared with what is expected.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Speed {
    count: u32,
    /// The logarithm of the average ratio.
    log_ratio: f64,
}

impl Speed {
    /// Adds a run that was expected to take `expected` on a usual worker.
    pub fn add(&mut self, expected: Millis, run_time: Millis) {
        if expected.0 == 0 {
            return;
        }
        let ratio = run_time.0.max(1) as f64 / expected.0 as f64;
        let sample = ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO).ln();
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.count + 1));
        self.log_ratio += (sample - self.log_ratio) * weight;
        self.count = self.count.saturating_add(1);
    }

    /// How many times as long as on a usual worker a run takes.
    pub fn ratio(&self) -> f64 {
        self.log_ratio.exp()
    }

    /// The class of the worker.
    pub fn class(&self) -> SpeedClass {
        match self.ratio() {
            _ if self.count < MIN_SAMPLES => SpeedClass::Usual,
            ratio if ratio < FAST_BELOW => SpeedClass::Fast,
            ratio if ratio > SLOW_ABOVE => SpeedClass::Slow,
            _ => SpeedClass::Usual,
        }
    }
}

/// Whether a job has so little time to spare that it should run on fast workers.
pub(in crate::cell) fn is_tight(job: &Job) -> bool {
    let chain = job.summary.critical_path;
    let objective = job.queue.objective_of(chain);
    chain.0 > 0 && objective.0 * 1_000 < chain.0 * TIGHT_BELOW_PERMILLE
}

impl Cell {
    /// Keeps the mean of all workers at the usual speed. Where tight work runs on the fast workers
    /// and other work on the slow ones, the expected run times of both would otherwise drift apart,
    /// until all workers seem alike.
    pub(in crate::cell) fn center_speeds(&mut self) {
        let known = || self.workers.values().map(|worker| &worker.speed);
        let (count, sum) = known()
            .filter(|speed| speed.count >= MIN_SAMPLES)
            .fold((0_u32, 0.0), |(count, sum), speed| (count + 1, sum + speed.log_ratio));
        if count == 0 {
            return;
        }
        let mean = sum / f64::from(count);
        for worker in self.workers.values_mut().filter(|worker| worker.speed.count > 0) {
            worker.speed.log_ratio -= mean;
        }
        for run_times in self.run_times.values_mut() {
            run_times.scale(mean.exp());
        }
    }
}
