//! How long runs of a queue take compared with the callers' estimates, learned from completed runs.

use crate::clock::Millis;

/// The weight of a new run in the moving averages: about the last 50 runs count.
const SAMPLE_WEIGHT: f64 = 0.02;
/// The least number of runs from which a limit is derived.
const MIN_SAMPLES: u32 = 20;
/// A run is late when its ratio exceeds the mean by this many mean absolute deviations. For
/// normally distributed run times that is about one run in a thousand.
const LATE_DEVIATIONS: f64 = 4.0;
/// Time that the answer to a start and the reports of a worker may take on the network.
const REPORT_DELAY: Millis = Millis(300);

/// Moving averages of the ratio of run time to estimate.
#[derive(Debug, Default)]
pub struct RunTimes {
    count: u32,
    mean: f64,
    deviation: f64,
    /// The mean ratio on a worker of usual speed.
    usual: f64,
}

impl RunTimes {
    /// Adds a completed run with its estimated and its actual run time, on a worker where runs take
    /// `slowness` times as long as on a usual one.
    pub fn add(&mut self, estimate: Millis, run_time: Millis, slowness: f64) {
        if estimate.0 == 0 {
            return;
        }
        let ratio = run_time.0 as f64 / estimate.0 as f64;
        // The ratio is capped, so that stalled runs do not make long run times look normal.
        let ratio = self.late_ratio().map_or(ratio, |limit| ratio.min(limit));
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.count + 1));
        self.deviation += ((ratio - self.mean).abs() - self.deviation) * weight;
        self.mean += (ratio - self.mean) * weight;
        self.usual += (ratio / slowness - self.usual) * weight;
        self.count += 1;
    }

    /// How long a run with this estimate takes on a worker of usual speed, if enough runs are known.
    pub fn expected(&self, estimate: Millis) -> Option<Millis> {
        let expected = Millis((estimate.0 as f64 * self.usual) as u64);
        (self.count >= MIN_SAMPLES).then_some(expected)
    }

    /// Changes what counts as the usual speed of a worker by a factor.
    pub fn scale(&mut self, factor: f64) {
        self.usual *= factor;
    }

    /// The ratio of run time to estimate beyond which a run is late, if enough runs are known.
    fn late_ratio(&self) -> Option<f64> {
        (self.count >= MIN_SAMPLES).then_some(self.mean + LATE_DEVIATIONS * self.deviation)
    }

    /// The run time after which a run with this estimate is late compared with others of its queue,
    /// if enough runs are known.
    pub fn late_after(&self, estimate: Millis) -> Option<Millis> {
        self.late_ratio().map(|limit| Millis((estimate.0 as f64 * limit) as u64) + REPORT_DELAY)
    }
}
