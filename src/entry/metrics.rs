//! Prometheus metrics of an entry.

use crate::registry;
use prometheus::{Histogram, IntCounter, IntCounterVec, IntGauge};

/// Upper bounds of the buckets for waiting times, in seconds.
const WAIT_BUCKETS_SECONDS: [f64; 12] =
    [0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0, 2.5, 6.4, 30.0];

/// The metrics of an entry.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: registry::Metrics,
    /// Requests by kind and status.
    pub requests: IntCounterVec,
    /// How long requests waited for a slot.
    pub request_wait: Histogram,
    /// How long tasks waited for a worker.
    pub task_wait: Histogram,
    /// Task starts sent to workers.
    pub starts: IntCounter,
    /// Tasks that ended.
    pub ended: IntCounter,
    /// Retries of requests.
    pub retries: IntCounter,
    /// Appends to the log.
    pub appends: IntCounter,
    /// The revision of the table in force.
    pub revision: IntGauge,
    /// Shards owned here.
    pub shards: IntGauge,
    /// Requests sent to and received from other entries.
    pub peer_messages: IntGauge,
    /// Bytes of these requests and their responses.
    pub peer_bytes: IntGauge,
}

impl Metrics {
    pub fn new() -> prometheus::Result<Self> {
        let registry = registry::Metrics::default();
        let counter = |name: &str, help: &str| registry.counter(name, help);
        let gauge = |name: &str, help: &str| registry.gauge(name, help);
        let histogram =
            |name: &str, help: &str| registry.histogram(name, help, &WAIT_BUCKETS_SECONDS);
        let help = "Requests by kind and status";
        let requests =
            registry.counter_vec("sprucerudder_requests_total", help, &["kind", "status"])?;
        Ok(Self {
            requests,
            request_wait: histogram("sprucerudder_request_wait_seconds", "Wait for a slot")?,
            task_wait: histogram("sprucerudder_task_wait_seconds", "Wait for a worker")?,
            starts: counter("sprucerudder_task_starts_total", "Starts sent to workers")?,
            ended: counter("sprucerudder_tasks_ended_total", "Tasks that ended")?,
            retries: counter("sprucerudder_request_retries_total", "Requests tried again")?,
            appends: counter("sprucerudder_log_appends_total", "Appends to the log")?,
            revision: gauge("sprucerudder_table_revision", "Revision of the table in force")?,
            shards: gauge("sprucerudder_shards_owned", "Shards owned here")?,
            peer_messages: gauge("sprucerudder_peer_messages", "Messages with other entries")?,
            peer_bytes: gauge("sprucerudder_peer_bytes", "Bytes with other entries")?,
            registry,
        })
    }

    /// Records the time that a task waited for a worker, in milliseconds.
    pub fn waited(&self, millis: u64) {
        self.task_wait.observe(millis as f64 / 1000.0);
    }

    /// All metrics in the text format of Prometheus.
    pub fn text(&self) -> String {
        let text = self.registry.text().map(String::from_utf8);
        match text {
            Ok(Ok(text)) => text,
            failed => {
                log::warn!("event=metrics-failed error={failed:?}");
                String::new()
            }
        }
    }
}
