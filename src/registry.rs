//! Registration of Prometheus metrics and their output in the text format.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry, Result,
    TextEncoder,
};

/// The metrics of one process.
#[derive(Debug, Default)]
pub struct Metrics(Registry);

impl Metrics {
    /// Registers a counter.
    ///
    /// # Errors
    /// The name is already registered.
    pub fn counter(&self, name: &str, help: &str) -> Result<IntCounter> {
        let counter = IntCounter::new(name, help)?;
        self.0.register(Box::new(counter.clone()))?;
        Ok(counter)
    }

    /// Registers a counter with labels.
    ///
    /// # Errors
    /// The name is already registered.
    pub fn counter_vec(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec> {
        let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
        self.0.register(Box::new(counters.clone()))?;
        Ok(counters)
    }

    /// Registers a gauge.
    ///
    /// # Errors
    /// The name is already registered.
    pub fn gauge(&self, name: &str, help: &str) -> Result<IntGauge> {
        let gauge = IntGauge::new(name, help)?;
        self.0.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    /// Registers a histogram of times in seconds; `buckets` are the upper bounds of its buckets.
    ///
    /// # Errors
    /// The name is already registered.
    pub fn histogram(&self, name: &str, help: &str, buckets: &[f64]) -> Result<Histogram> {
        let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
        let histogram = Histogram::with_opts(options)?;
        self.0.register(Box::new(histogram.clone()))?;
        Ok(histogram)
    }

    /// Encodes all metrics in the text format.
    ///
    /// # Errors
    /// A metric cannot be encoded.
    pub fn text(&self) -> Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.0.gather(), &mut text)?;
        Ok(text)
    }
}
