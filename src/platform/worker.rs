//! Decodes the entries by which workers list themselves, and sends orders to workers.

use crate::cell::workers::connection_limit::ConnectionLimit;
use crate::clock::Millis;
use crate::id::Name;
use crate::order::{
    EndReason, EndedTask, OrderOutcome, Refusal, ReportError, RunningTask, StartOrder, WorkerInfo,
    WorkerReport,
};
use crate::platform::http::{HttpClient, HttpError, HttpResponse, uri};
use crate::workload::{ParseKeyError, Resources, TaskKey};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::CONTENT_TYPE;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::net::SocketAddr;
use std::sync::OnceLock;
use thiserror::Error;

/// The topic in which workers list themselves, each under its ID.
pub const TOPIC: &str = "keyed.servers";
/// The most ends that a worker lists at once. The others follow once these are confirmed.
const MAX_LISTED_ENDS: usize = 500;
/// The header with the instance of a worker for which a request is meant.
const INSTANCE_HEADER: &str = "X-Sprucerudder-Expected-Instance";

#[derive(Debug, Deserialize)]
struct RawCapacity {
    cpu: u64,
    mem_mb: u64,
    gpu: u64,
}

#[derive(Debug, Deserialize)]
struct RawWorker {
    service: Name,
    address: Name,
    zone: Name,
    state: Name,
    capacity: RawCapacity,
    labels: Vec<Name>,
    born: Option<Millis>,
    /// The minimum time until the worker leaves. Only present while it is draining.
    remaining_ms: Option<f64>,
    // The following fields aren't used, but an entry without them was not written by a worker.
    #[serde(rename = "version")]
    _version: Name,
    #[serde(rename = "slots")]
    _slots: u64,
    #[serde(rename = "cold_remaining_ms")]
    _cold: f64,
    #[serde(rename = "seq")]
    _seq: u64,
}

/// Why an entry isn't the valid entry of a worker.
#[derive(Debug, Error)]
pub enum WorkerEntryError {
    /// The entry isn't JSON, or fields are missing or have the wrong type.
    #[error("not a worker entry: {0}")]
    Syntax(#[from] serde_json::Error),
    /// The state is unknown.
    #[error("unknown worker state {0:?}")]
    State(Name),
    /// The worker offers more than any worker has.
    #[error("impossible worker capacity {0:?}")]
    Capacity(Resources),
    /// The address is invalid.
    #[error("invalid worker address {0:?}")]
    Address(Name),
}

/// Decodes the entry by which a worker lists itself. An entry may come from another writer, so it only counts as a
/// worker's if all of it can be decoded.
///
/// # Errors
/// See [`WorkerEntryError`].
pub fn parse_worker_entry(id: Name, text: &[u8]) -> Result<WorkerInfo, WorkerEntryError> {
    let raw: RawWorker = serde_json::from_slice(text)?;
    if raw.address.parse::<SocketAddr>().is_err() {
        return Err(WorkerEntryError::Address(raw.address));
    }
    let is_draining = match &*raw.state {
        "ready" => false,
        "draining" => true,
        _ => return Err(WorkerEntryError::State(raw.state)),
    };
    if is_draining && raw.remaining_ms.is_none() {
        // Without this time the worker may leave at any moment, so its tasks are moved at once.
        log::warn!("event=drain-time-missing worker={id}");
    }
    let remaining = Millis(raw.remaining_ms.unwrap_or(0.0).max(0.0) as u64);
    let RawCapacity { cpu, mem_mb, gpu } = raw.capacity;
    let capacity = Resources { cpu, mem: mem_mb, gpu };
    if !Resources::UNKNOWN.can_fit(&capacity) {
        return Err(WorkerEntryError::Capacity(capacity));
    }
    Ok(WorkerInfo {
        id,
        started_at: raw.born,
        service: raw.service,
        addr: raw.address,
        domain: raw.zone,
        capacity,
        labels: raw.labels,
        leaves_in: is_draining.then_some(remaining),
    })
}

/// The body of a `/run-start` request.
#[derive(Serialize)]
struct RawStart<'a> {
    task: String,
    run: u64,
    spec: &'a str,
    until_ms: u64,
    fence: u64,
    #[serde(skip_serializing_if = "str::is_empty")]
    checkpoint: &'a str,
    #[serde(skip_serializing_if = "str::is_empty")]
    ticket: &'a str,
}

/// The body of a `/run-stop` request.
#[derive(Serialize)]
struct RawStop {
    task: String,
    run: u64,
    fence: u64,
}

/// The body of a `/pace` request.
#[derive(Serialize)]
struct RawPace {
    task: String,
    run: u64,
    percent: u32,
    fence: u64,
}

/// The body of a `/hold` request, which renews leases and waits for a report.
#[derive(Serialize)]
struct RawHold {
    fence: u64,
    last_seen: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    until_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    wait_ms: Option<u64>,
}

/// The body of a response to an order; `reason` says why the worker refused it.
#[derive(Deserialize, Default)]
struct RawResponse {
    clock_ms: Option<f64>,
    #[serde(default)]
    reason: String,
}

/// A running task: task, run number, saved progress, percent, and a gauge that is absent in the first half second.
#[derive(Deserialize)]
struct RawRunning<'a>(
    #[serde(borrow)] Cow<'a, str>,
    u64,
    #[serde(default)] Cow<'a, str>,
    #[serde(default = "hundred")] f64,
    #[serde(default)] Option<f64>,
);

fn hundred() -> f64 {
    100.0
}

/// An ended run: its number among the worker's ended runs, task, run number, how it ended, saved progress.
#[derive(Deserialize)]
struct RawEnded<'a>(u64, #[serde(borrow)] Cow<'a, str>, u64, Cow<'a, str>, Cow<'a, str>);

/// The body of a response to `/hold`.
#[derive(Deserialize)]
struct RawReport<'a> {
    born: Option<Millis>,
    clock_ms: f64,
    #[serde(default, borrow)]
    running: Vec<RawRunning<'a>>,
    #[serde(default, borrow)]
    ended: Vec<RawEnded<'a>>,
}

/// A client for one instance of a worker.
#[derive(Debug, Clone)]
pub struct WorkerClient {
    http: HttpClient,
    addr: Name,
    id: Name,
    fence: u64,
    limit: ConnectionLimit,
}

impl WorkerClient {
    /// Creates a client that sends orders with the fencing token `fence` to the worker instance `id` at `addr`, over
    /// as many connections as `limit` allows.
    pub fn new(http: HttpClient, addr: Name, id: Name, fence: u64, limit: ConnectionLimit) -> Self {
        Self { http, addr, id, fence, limit }
    }

    /// The address of the worker.
    pub fn addr(&self) -> &Name {
        &self.addr
    }

    /// How many connections to the worker are used.
    pub fn limit(&self) -> ConnectionLimit {
        self.limit
    }

    /// Posts a JSON request to the worker instance.
    async fn call<P: Serialize>(
        &self,
        path: &str,
        payload: &P,
        timeout: Millis,
    ) -> Result<HttpResponse, HttpError> {
        let malformed = |err: &dyn std::fmt::Display| {
            HttpError::Malformed(self.addr.to_string(), err.to_string())
        };
        let body = serde_json::to_vec(payload).map_err(|err| malformed(&err))?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(uri(&self.addr, path)?)
            .header(CONTENT_TYPE, "application/json")
            .header(INSTANCE_HEADER, &*self.id)
            .body(Full::from(Bytes::from(body)))
            .map_err(|err| malformed(&err))?;
        self.http.send_limited(&self.addr, Some(self.limit), request, timeout).await
    }

    /// Sends an order and maps its result to an outcome.
    async fn send_order<P: Serialize>(
        &self,
        path: &str,
        payload: &P,
        timeout: Millis,
    ) -> OrderOutcome {
        match self.call(path, payload, timeout).await {
            Ok(response) => parse_outcome(&response),
            Err(err) if err.is_unsent() => OrderOutcome::Unsent,
            Err(err) => {
                log::debug!(
                    "event=order-without-response worker={} path={path} error={err:?}",
                    self.id
                );
                OrderOutcome::Unknown
            }
        }
    }

    /// Starts a run. Unless its lease is renewed, it ends at `until` on the worker's clock.
    pub async fn start(&self, start: &StartOrder, until: u64, timeout: Millis) -> OrderOutcome {
        let payload = RawStart {
            task: start.task.to_string(),
            run: start.run,
            spec: &start.payload,
            until_ms: until,
            fence: self.fence,
            checkpoint: &start.checkpoint,
            ticket: &start.ticket,
        };
        self.send_order("/run-start", &payload, timeout).await
    }

    /// Stops a run. A run that hasn't started yet will never start.
    pub async fn stop(&self, task: TaskKey, run: u64, timeout: Millis) -> OrderOutcome {
        let payload = RawStop { task: task.to_string(), run, fence: self.fence };
        self.send_order("/run-stop", &payload, timeout).await
    }

    /// Limits a run to a percentage of its full speed.
    pub async fn pace(
        &self,
        task: TaskKey,
        run: u64,
        percent: u32,
        timeout: Millis,
    ) -> OrderOutcome {
        let payload = RawPace { task: task.to_string(), run, percent, fence: self.fence };
        self.send_order("/pace", &payload, timeout).await
    }

    /// Renews the leases of all runs on the worker until `until`, confirms the ended runs up to number `confirmed`, and
    /// waits up to `wait` for another run to end. Returns the worker's report.
    ///
    /// # Errors
    /// See [`ReportError`].
    pub async fn renew(
        &self,
        confirmed: u64,
        until: Option<u64>,
        wait: Millis,
        timeout: Millis,
    ) -> Result<WorkerReport, ReportError> {
        let wait_ms = (wait.0 > 0).then_some(wait.0);
        let payload = RawHold { fence: self.fence, last_seen: confirmed, until_ms: until, wait_ms };
        let response = self.call("/hold", &payload, timeout).await;
        let response = response.map_err(|err| ReportError::NoReply(err.to_string()))?;
        match parse_outcome(&response) {
            OrderOutcome::Done(_) => parse_report(&response.body).map_err(ReportError::NoReply),
            OrderOutcome::Refused(why) => Err(ReportError::Refused(why)),
            other => Err(ReportError::NoReply(format!("{other:?} {}", response.status))),
        }
    }
}

/// Maps a worker's response to the outcome of the order.
fn parse_outcome(response: &HttpResponse) -> OrderOutcome {
    let raw: RawResponse = response.json_or_default();
    match (response.status, raw.reason.as_str()) {
        (status, _) if status.is_success() => OrderOutcome::Done(raw.clock_ms.map(|ms| ms as u64)),
        (StatusCode::CONFLICT, "fence") => OrderOutcome::Refused(Refusal::StaleFence),
        (StatusCode::CONFLICT, "old") => OrderOutcome::Refused(Refusal::StaleRun),
        (StatusCode::CONFLICT, "late") => OrderOutcome::Refused(Refusal::LeaseExpired),
        (StatusCode::CONFLICT, "room") => OrderOutcome::Refused(Refusal::NoCapacity),
        (StatusCode::CONFLICT, "ticket") => OrderOutcome::Refused(Refusal::InvalidTicket),
        (StatusCode::MISDIRECTED_REQUEST, _) => OrderOutcome::Refused(Refusal::OtherIncarnation),
        (StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE, _) => {
            OrderOutcome::Refused(Refusal::Unhealthy)
        }
        (status, _) if status.is_client_error() => OrderOutcome::Refused(Refusal::Malformed),
        _ => OrderOutcome::Unknown,
    }
}

fn parse_report(body: &[u8]) -> Result<WorkerReport, String> {
    let raw: RawReport<'_> = serde_json::from_slice(body).map_err(|err| err.to_string())?;
    Ok(WorkerReport {
        started_at: raw.born,
        clock: raw.clock_ms as u64,
        running: raw.running.iter().map(parse_running).collect::<Result<_, _>>()?,
        ended: raw.ended.iter().map(parse_ended).collect::<Result<_, _>>()?,
        has_more_ends: raw.ended.len() >= MAX_LISTED_ENDS,
    })
}

fn parse_running(row: &RawRunning<'_>) -> Result<RunningTask, String> {
    let RawRunning(task, run, saved, percent, gauge) = row;
    Ok(RunningTask {
        task: parse_task_key(task)?,
        run: *run,
        checkpoint: shared_name(saved),
        pace_percent: *percent as u32,
        gauge: *gauge,
    })
}

/// Converts saved progress to a name. Most runs have saved none, so all empty names share one allocation.
fn shared_name(text: &str) -> Name {
    static EMPTY: OnceLock<Name> = OnceLock::new();
    match text {
        "" => EMPTY.get_or_init(|| "".into()).clone(),
        text => text.into(),
    }
}

fn parse_ended(row: &RawEnded<'_>) -> Result<EndedTask, String> {
    let RawEnded(number, task, run, end_name, saved) = row;
    let reason = match end_name.as_ref() {
        "done" => EndReason::Done,
        "failed" => EndReason::Failed,
        "stopped" => EndReason::Stopped,
        "lapsed" => EndReason::LeaseExpired,
        "broken" => EndReason::GangBroken,
        "alone" => EndReason::GangIncomplete,
        other => return Err(format!("unknown end {other:?} of task {task}")),
    };
    Ok(EndedTask {
        seq: *number,
        task: parse_task_key(task)?,
        run: *run,
        reason,
        checkpoint: shared_name(saved),
    })
}

fn parse_task_key(text: &str) -> Result<TaskKey, String> {
    text.parse().map_err(|err: ParseKeyError| err.to_string())
}
