//! How long runs of a queue take against their callers' estimates, learned from those that are done.

use crate::clock::Millis;

/// The weight of one more run: the last 50 or so count.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Fewer runs tell nothing.
const MIN_SAMPLES: u32 = 20;
/// A run is late beyond the mean and this many mean deviations: about one in a thousand is, where
/// run times spread as a bell does.
const LATE_DEVIATIONS: f64 = 4.0;
/// Answers and reports take this much on their way.
const REPORT_DELAY: Millis = Millis(300);

/// The ratio of run times to estimates.
#[derive(Debug, Default)]
pub struct RunTimes {
    count: u32,
    mean: f64,
    deviation: f64,
}

impl RunTimes {
    /// A run took so long.
    pub fn add(&mut self, estimate: Millis, took: Millis) {
        if estimate.0 == 0 {
            return;
        }
        let ratio = took.0 as f64 / estimate.0 as f64;
        // A run that stood still must not teach that standing still is usual.
        let ratio = self.late_ratio().map_or(ratio, |bound| ratio.min(bound));
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.count + 1));
        self.deviation += ((ratio - self.mean).abs() - self.deviation) * weight;
        self.mean += (ratio - self.mean) * weight;
        self.count += 1;
    }

    fn late_ratio(&self) -> Option<f64> {
        (self.count >= MIN_SAMPLES).then_some(self.mean + LATE_DEVIATIONS * self.deviation)
    }

    /// The time after which a run takes far longer than others of its queue, if that is known.
    pub fn late_after(&self, estimate: Millis) -> Option<Millis> {
        self.late_ratio().map(|bound| Millis((estimate.0 as f64 * bound) as u64) + REPORT_DELAY)
    }
}
