//! Metrics of an entry on the platform, in the Prometheus text format.

use crate::cell::advice::load::AdviceLoad;
use crate::cell::stats::CellStats;
use crate::clock::Millis;
use crate::order::OrderOutcome;
use crate::platform::connector::Counts;
use crate::registry;
use prometheus::{Histogram, IntCounter, IntCounterVec, IntGauge};
use std::sync::atomic::Ordering;

/// Upper bounds of the histogram buckets for durations, in seconds.
const BUCKETS_SECONDS: [f64; 11] =
    [0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5];

/// The metrics of an entry. If the entry owns several cells, the gauges about a cell show the one
/// that was updated last.
#[derive(Debug)]
pub(super) struct Metrics {
    registry: registry::Metrics,
    requests: IntCounterVec,
    request_time: Histogram,
    orders: IntCounterVec,
    order_time: Histogram,
    /// Connections that were closed for others, by what there was too little of.
    pub evicted_clients: IntCounterVec,
    client_connections: IntGauge,
    request_bytes: IntGauge,
    append_time: Histogram,
    advice_time: Histogram,
    /// The age at delivery of answers of the advice service that were held back.
    late_advice: Histogram,
    /// Answers of the advice service that reached no owner in time.
    pub dropped_advice: IntCounter,
    dropped_lines: IntGauge,
    open_jobs: IntGauge,
    runs: IntGauge,
    waiting_steps: IntGauge,
    workers: IntGauge,
    heard_workers: IntGauge,
    unheard_lasting: IntGauge,
    truncated_reports: IntGauge,
    worker_connections: IntGauge,
    worker_connections_opened: IntGauge,
    worker_calls_unconnected: IntGauge,
    worker_calls_broken: IntGauge,
    worker_calls_timed_out: IntGauge,
    connected_entries: IntGauge,
    crashed_workers: IntGauge,
    abandoned_jobs: IntGauge,
    restarted_workers: IntGauge,
    expired_waits: IntGauge,
    limited_passes: IntGauge,
    started_on_time: IntGauge,
    started_late: IntGauge,
    started_aged: IntGauge,
    advice_clients: IntGauge,
    advice_busy: IntGauge,
    advice_queued: IntGauge,
    advice_oldest: IntGauge,
    answers_used: IntGauge,
    answers_fruitless: IntGauge,
    stops: IntGauge,
    stops_rejected: IntGauge,
    /// Takeovers of a cell by this entry.
    pub takeovers: IntCounter,
    admission_limit: IntGauge,
    /// Whether this entry has the map of cells.
    pub has_map: IntGauge,
    /// Failure domains that the operators drain.
    pub drained_domains: IntGauge,
}

impl Metrics {
    /// Registers all metrics, at zero.
    ///
    /// # Errors
    /// Two metrics have the same name.
    pub fn new() -> prometheus::Result<Self> {
        let registry = registry::Metrics::default();
        let counts =
            |name: &str, help: &str, labels: &[&str]| registry.counter_vec(name, help, labels);
        let gauge = |name: &str, help: &str| registry.gauge(name, help);
        let times = |name: &str, help: &str| registry.histogram(name, help, &BUCKETS_SECONDS);
        Ok(Self {
            requests: counts("sprucerudder_calls_total", "Callers' calls", &["call", "status"])?,
            request_time: times("sprucerudder_call_seconds", "Time of callers' calls")?,
            orders: counts(
                "sprucerudder_orders_total",
                "Orders to workers",
                &["order", "outcome"],
            )?,
            order_time: times("sprucerudder_order_seconds", "Time of orders to workers")?,
            evicted_clients: counts(
                "sprucerudder_clients_evicted_total",
                "Connections of clients that were closed for others",
                &["why"],
            )?,
            client_connections: gauge(
                "sprucerudder_client_connections",
                "Open connections of callers",
            )?,
            request_bytes: gauge(
                "sprucerudder_request_bytes",
                "Memory that callers' requests hold beyond that of their connections",
            )?,
            append_time: times("sprucerudder_append_seconds", "Time of appends to the store")?,
            advice_time: times("sprucerudder_advice_seconds", "Time of questions for advice")?,
            late_advice: times(
                "sprucerudder_advice_late_seconds",
                "Age at delivery of advice that was held until an owner was connected",
            )?,
            dropped_advice: registry.counter(
                "sprucerudder_advice_dropped_total",
                "Answers of the advice service that reached no owner in time",
            )?,
            dropped_lines: gauge("sprucerudder_log_lines_dropped", "Log lines that found no room")?,
            open_jobs: gauge("sprucerudder_jobs_open", "Open jobs at the owner")?,
            runs: gauge("sprucerudder_runs", "Runs whose room is taken")?,
            waiting_steps: gauge(
                "sprucerudder_steps_waiting",
                "Steps with tasks that need a worker",
            )?,
            workers: gauge("sprucerudder_workers", "Workers in use")?,
            heard_workers: gauge(
                "sprucerudder_workers_heard",
                "Workers that answered their last call",
            )?,
            unheard_lasting: gauge(
                "sprucerudder_lasting_tasks_unheard",
                "Lasting tasks whose runs are on workers that do not report",
            )?,
            truncated_reports: gauge(
                "sprucerudder_reports_truncated",
                "Workers whose last report may not have listed all ends",
            )?,
            worker_connections: gauge(
                "sprucerudder_worker_connections",
                "Open connections to workers",
            )?,
            worker_connections_opened: gauge(
                "sprucerudder_worker_connections_opened",
                "Connections that were opened to workers, since the takeover",
            )?,
            worker_calls_unconnected: gauge(
                "sprucerudder_worker_calls_unconnected",
                "Calls to workers that could not be connected, since the takeover",
            )?,
            worker_calls_broken: gauge(
                "sprucerudder_worker_calls_broken",
                "Calls to workers whose connection ended before the response, since the takeover",
            )?,
            worker_calls_timed_out: gauge(
                "sprucerudder_worker_calls_timed_out",
                "Calls to workers without a response in time, since the takeover",
            )?,
            connected_entries: gauge(
                "sprucerudder_entries_connected",
                "Other entries with an open connection to this owner",
            )?,
            crashed_workers: gauge(
                "sprucerudder_workers_crashed",
                "Workers that crashed with something running, since the takeover",
            )?,
            abandoned_jobs: gauge(
                "sprucerudder_jobs_given_up",
                "Jobs given up for crashes under a task, since the takeover",
            )?,
            restarted_workers: gauge(
                "sprucerudder_workers_restarted",
                "Workers that started again under their ids, since the takeover",
            )?,
            expired_waits: gauge(
                "sprucerudder_waits_expired",
                "Waits that a deadline ended and not the event, since the takeover",
            )?,
            limited_passes: gauge(
                "sprucerudder_passes_limited",
                "Scheduling passes that left waiting steps to the next one, since the takeover",
            )?,
            started_on_time: gauge(
                "sprucerudder_jobs_started_on_time",
                "Jobs that could be on time at their first start, since the takeover",
            )?,
            started_late: gauge(
                "sprucerudder_jobs_started_late",
                "Jobs that could not be on time any more at their first start, since the takeover",
            )?,
            started_aged: gauge(
                "sprucerudder_jobs_started_aged",
                "Late jobs that started first because of their age, since the takeover",
            )?,
            advice_clients: gauge(
                "sprucerudder_advice_clients",
                "Entries that can send requests to the advice service",
            )?,
            advice_busy: gauge(
                "sprucerudder_advice_clients_busy",
                "Those of them that wait for an answer",
            )?,
            advice_queued: gauge(
                "sprucerudder_advice_requests_queued",
                "Requests for advice that wait for an entry",
            )?,
            advice_oldest: gauge(
                "sprucerudder_advice_oldest_request_ms",
                "How long the oldest of them has waited, in milliseconds",
            )?,
            answers_used: gauge(
                "sprucerudder_advice_answers_used",
                "Answers after which a task was assigned, since the takeover",
            )?,
            answers_fruitless: gauge(
                "sprucerudder_advice_answers_fruitless",
                "Answers after which none was, since the takeover",
            )?,
            stops: gauge(
                "sprucerudder_preemptions",
                "Runs stopped for more urgent steps, since the takeover",
            )?,
            stops_rejected: gauge(
                "sprucerudder_preemptions_rejected",
                "Steps for which no run was stopped, by reason once each, since the takeover",
            )?,
            has_map: gauge(
                "sprucerudder_map_loaded",
                "Whether the map of cells is loaded, without which an entry serves nobody",
            )?,
            admission_limit: gauge(
                "sprucerudder_admission_limit",
                "Tasks a second that an overloaded owner accepts; 0 without a limit",
            )?,
            drained_domains: gauge(
                "sprucerudder_domains_drained",
                "Failure domains in which no task is started",
            )?,
            takeovers: registry.counter("sprucerudder_takeovers_total", "Takeovers of the cell")?,
            registry,
        })
    }

    /// Counts a request of a caller, by the kind of the call and the status of the answer.
    pub fn observe_call(&self, call: &str, status: u16, took: Millis) {
        self.requests.with_label_values(&[call, &status.to_string()]).inc();
        self.request_time.observe(seconds(took));
    }

    /// Shows the connections of callers and the memory of their requests in bytes.
    pub fn set_clients(&self, connections: usize, bytes: u64) {
        self.client_connections.set(connections as i64);
        self.request_bytes.set(bytes as i64);
    }

    /// Counts an order to a worker, by its outcome.
    pub fn observe_order(&self, is_start: bool, outcome: &OrderOutcome, took: Millis) {
        let outcome = match outcome {
            OrderOutcome::Done(_) => "done",
            OrderOutcome::Refused(_) => "refused",
            OrderOutcome::Unsent => "unsent",
            OrderOutcome::Withheld => "withheld",
            OrderOutcome::Unknown => "unknown",
        };
        let order = if is_start { "start" } else { "stop" };
        self.orders.with_label_values(&[order, outcome]).inc();
        self.order_time.observe(seconds(took));
    }

    /// Records how long it took to store a batch.
    pub fn observe_append(&self, took: Millis) {
        self.append_time.observe(seconds(took));
    }

    /// Records how long the advice service took to answer.
    pub fn observe_advice(&self, took: Millis) {
        self.advice_time.observe(seconds(took));
    }

    /// Records the age of an answer of the advice service that was held back and then delivered.
    pub fn observe_late_advice(&self, age: Millis) {
        self.late_advice.observe(seconds(age));
    }

    /// Shows the connections of an owner to its workers.
    pub fn set_worker_calls(&self, counts: &Counts) {
        let gauges = [
            (&self.worker_connections, &counts.open),
            (&self.worker_connections_opened, &counts.opened),
            (&self.worker_calls_unconnected, &counts.unconnected),
            (&self.worker_calls_broken, &counts.broken),
            (&self.worker_calls_timed_out, &counts.timed_out),
        ];
        for (gauge, count) in gauges {
            gauge.set(count.load(Ordering::Relaxed) as i64);
        }
    }

    /// Sets the gauges about a cell that this entry owns.
    pub fn set_load(&self, load: &CellStats) {
        self.open_jobs.set(load.open_jobs as i64);
        self.runs.set(load.runs as i64);
        self.waiting_steps.set(load.ready_steps as i64);
        self.workers.set(load.workers as i64);
        self.heard_workers.set(load.reachable_workers as i64);
        self.unheard_lasting.set(load.unheard_lasting as i64);
        self.truncated_reports.set(load.truncated_reports as i64);
        self.crashed_workers.set(load.crash_counts.crashed as i64);
        self.abandoned_jobs.set(load.crash_counts.given_up as i64);
        self.restarted_workers.set(load.crash_counts.restarted as i64);
        self.expired_waits.set(load.expired_waits as i64);
        self.limited_passes.set(load.limited_passes as i64);
        self.started_on_time.set(load.first_starts.on_time as i64);
        self.started_late.set(load.first_starts.late as i64);
        self.started_aged.set(load.first_starts.aged as i64);
        self.answers_used.set(load.answers.used as i64);
        self.answers_fruitless.set(load.answers.fruitless as i64);
        self.stops.set(load.stops.stops as i64);
        self.stops_rejected.set(load.stops.rejected as i64);
    }

    /// Sets the gauges about the queue of requests to the advice service.
    pub fn set_advice_load(&self, load: AdviceLoad) {
        self.advice_clients.set(load.clients as i64);
        self.advice_busy.set(load.busy as i64);
        self.advice_queued.set(load.queued as i64);
        self.advice_oldest.set(load.oldest.0 as i64);
    }

    /// Sets the number of other entries that are connected to the owner of a cell.
    pub fn set_connected_entries(&self, count: usize) {
        self.connected_entries.set(count as i64);
    }

    /// Sets the rate of tasks that the owner accepts, if it is limited.
    pub fn set_admission_limit(&self, limit: Option<f64>) {
        self.admission_limit.set(limit.map_or(0, |limit| limit as i64));
    }

    /// Renders all metrics as text. `dropped` is the number of log lines that were dropped because
    /// the log buffer was full.
    ///
    /// # Errors
    /// The metrics cannot be encoded.
    pub fn render(&self, dropped: u64) -> prometheus::Result<Vec<u8>> {
        self.dropped_lines.set(dropped as i64);
        self.registry.text()
    }
}

fn seconds(took: Millis) -> f64 {
    took.0 as f64 / 1_000.0
}
