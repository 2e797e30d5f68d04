//! Metrics in the format of Prometheus: made, registered and told as text.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry, Result,
    TextEncoder,
};

/// The metrics of one process.
#[derive(Debug, Default)]
pub struct Metrics(Registry);

impl Metrics {
    /// A counter.
    ///
    /// # Errors
    /// Its name is taken.
    pub fn counter(&self, name: &str, help: &str) -> Result<IntCounter> {
        let counter = IntCounter::new(name, help)?;
        self.0.register(Box::new(counter.clone()))?;
        Ok(counter)
    }

    /// Counters by labels.
    ///
    /// # Errors
    /// Their name is taken.
    pub fn counter_vec(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec> {
        let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
        self.0.register(Box::new(counters.clone()))?;
        Ok(counters)
    }

    /// A figure that goes up and down.
    ///
    /// # Errors
    /// Its name is taken.
    pub fn gauge(&self, name: &str, help: &str) -> Result<IntGauge> {
        let gauge = IntGauge::new(name, help)?;
        self.0.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    /// Times in seconds, with the upper bounds of their buckets.
    ///
    /// # Errors
    /// Their name is taken.
    pub fn histogram(&self, name: &str, help: &str, buckets: &[f64]) -> Result<Histogram> {
        let opts = HistogramOpts::new(name, help).buckets(buckets.to_vec());
        let histogram = Histogram::with_opts(opts)?;
        self.0.register(Box::new(histogram.clone()))?;
        Ok(histogram)
    }

    /// All metrics as text.
    ///
    /// # Errors
    /// They cannot be written.
    pub fn text(&self) -> Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.0.gather(), &mut text)?;
        Ok(text)
    }
}
