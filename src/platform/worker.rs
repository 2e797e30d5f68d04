//! Workers: how they list themselves and how they are told what to run.

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

/// The topic in which workers list themselves, each under its id.
pub const TOPIC: &str = "keyed.servers";
/// Names the life of a worker that a call is meant for.
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
    /// Only while it drains: the least time until it leaves.
    remaining_ms: Option<f64>,
    // Not used, but an entry without them comes from another writer.
    #[serde(rename = "version")]
    _version: Name,
    #[serde(rename = "slots")]
    _slots: u64,
    #[serde(rename = "cold_remaining_ms")]
    _cold: f64,
    #[serde(rename = "seq")]
    _seq: u64,
}

/// Why an entry names no worker.
#[derive(Debug, Error)]
pub enum WorkerEntryError {
    /// It is no text, or fields are missing or of another type.
    #[error("it is not the entry of a worker: {0}")]
    Syntax(#[from] serde_json::Error),
    /// The platform knows no such state.
    #[error("there is no state {0:?}")]
    State(Name),
    /// It cannot be called there.
    #[error("{0:?} is not an address")]
    Address(Name),
}

/// Reads a worker's own entry. Other writers may have put one there: unless all of it can be read it
/// names no worker.
///
/// # Errors
/// See [`ListedError`].
pub fn parse_worker_entry(id: Name, text: &[u8]) -> Result<WorkerInfo, WorkerEntryError> {
    let raw: RawWorker = serde_json::from_slice(text)?;
    if raw.address.parse::<SocketAddr>().is_err() {
        return Err(WorkerEntryError::Address(raw.address));
    }
    let leaves = match &*raw.state {
        "ready" => false,
        "draining" => true,
        _ => return Err(WorkerEntryError::State(raw.state)),
    };
    if leaves && raw.remaining_ms.is_none() {
        // It may be gone at any moment: what runs there is moved.
        log::warn!("event=worker-without-time-left worker={id}");
    }
    let left = Millis(raw.remaining_ms.unwrap_or(0.0).max(0.0) as u64);
    let RawCapacity { cpu, mem_mb, gpu } = raw.capacity;
    Ok(WorkerInfo {
        id,
        started_at: raw.born,
        service: raw.service,
        addr: raw.address,
        domain: raw.zone,
        capacity: Resources { cpu, mem: mem_mb, gpu },
        labels: raw.labels,
        leaves_in: leaves.then_some(left),
    })
}

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

#[derive(Serialize)]
struct RawStop {
    task: String,
    run: u64,
    fence: u64,
}

#[derive(Serialize)]
struct RawPace {
    task: String,
    run: u64,
    percent: u32,
    fence: u64,
}

#[derive(Serialize)]
struct RawHold {
    fence: u64,
    last_seen: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    until_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    wait_ms: Option<u64>,
}

#[derive(Deserialize, Default)]
struct RawAnswer {
    clock_ms: Option<f64>,
    #[serde(default)]
    reason: String,
}

/// Task, run, saved progress, percent, and a gauge that is not there in the first half second.
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

/// Number, task, run, how it ended, saved progress.
#[derive(Deserialize)]
struct RawEnded<'a>(u64, #[serde(borrow)] Cow<'a, str>, u64, Cow<'a, str>, Cow<'a, str>);

#[derive(Deserialize)]
struct RawReport<'a> {
    born: Option<Millis>,
    clock_ms: f64,
    #[serde(default, borrow)]
    running: Vec<RawRunning<'a>>,
    #[serde(default, borrow)]
    ended: Vec<RawEnded<'a>>,
}

/// The client of one life of one worker.
#[derive(Debug, Clone)]
pub struct WorkerClient {
    http: HttpClient,
    addr: Name,
    id: Name,
    fence: u64,
}

impl WorkerClient {
    /// A client that gives orders with `fence` to the life `id` at `addr`.
    pub fn new(http: HttpClient, addr: Name, id: Name, fence: u64) -> Self {
        Self { http, addr, id, fence }
    }

    async fn call<P: Serialize>(
        &self,
        path: &str,
        payload: &P,
        limit: Millis,
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
        self.http.send(&self.addr, request, limit).await
    }

    async fn send_order<P: Serialize>(
        &self,
        path: &str,
        payload: &P,
        limit: Millis,
    ) -> OrderOutcome {
        match self.call(path, payload, limit).await {
            Ok(answer) => parse_outcome(&answer),
            Err(err) if err.is_unsent() => OrderOutcome::Unsent,
            Err(err) => {
                log::debug!("event=order-unanswered worker={} path={path} error={err:?}", self.id);
                OrderOutcome::Unknown
            }
        }
    }

    /// Starts a run that ends by itself at `until` on the worker's clock unless it is renewed.
    pub async fn start(&self, start: &StartOrder, until: u64, limit: Millis) -> OrderOutcome {
        let payload = RawStart {
            task: start.task.to_string(),
            run: start.run,
            spec: &start.payload,
            until_ms: until,
            fence: self.fence,
            checkpoint: &start.checkpoint,
            ticket: &start.ticket,
        };
        self.send_order("/run-start", &payload, limit).await
    }

    /// Stops a run; one that has not begun never will.
    pub async fn stop(&self, task: TaskKey, run: u64, limit: Millis) -> OrderOutcome {
        let payload = RawStop { task: task.to_string(), run, fence: self.fence };
        self.send_order("/run-stop", &payload, limit).await
    }

    /// Lets a run work at a share of its speed, in hundredths.
    pub async fn pace(&self, task: TaskKey, run: u64, percent: u32, limit: Millis) -> OrderOutcome {
        let payload = RawPace { task: task.to_string(), run, percent, fence: self.fence };
        self.send_order("/pace", &payload, limit).await
    }

    /// Renews the lease of all that runs there, confirms ends up to `seen`, and waits up to `wait`
    /// for another one.
    ///
    /// # Errors
    /// See [`ReportError`].
    pub async fn renew(
        &self,
        seen: u64,
        until: Option<u64>,
        wait: Millis,
        limit: Millis,
    ) -> Result<WorkerReport, ReportError> {
        let wait_ms = (wait.0 > 0).then_some(wait.0);
        let payload = RawHold { fence: self.fence, last_seen: seen, until_ms: until, wait_ms };
        let answer = self.call("/hold", &payload, limit).await;
        let answer = answer.map_err(|err| ReportError::NoReply(err.to_string()))?;
        match parse_outcome(&answer) {
            OrderOutcome::Done(_) => parse_report(&answer.body).map_err(ReportError::NoReply),
            OrderOutcome::Refused(why) => Err(ReportError::Refused(why)),
            other => Err(ReportError::NoReply(format!("{other:?} {}", answer.status))),
        }
    }
}

fn parse_outcome(answer: &HttpResponse) -> OrderOutcome {
    let raw: RawAnswer = answer.json_or_default();
    match (answer.status, raw.reason.as_str()) {
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

/// Most runs have saved nothing: one shared empty name for them.
fn shared_name(text: &str) -> Name {
    static EMPTY: OnceLock<Name> = OnceLock::new();
    match text {
        "" => EMPTY.get_or_init(|| "".into()).clone(),
        text => text.into(),
    }
}

fn parse_ended(row: &RawEnded<'_>) -> Result<EndedTask, String> {
    let RawEnded(no, task, run, how, saved) = row;
    let reason = match how.as_ref() {
        "done" => EndReason::Done,
        "failed" => EndReason::Failed,
        "stopped" => EndReason::Stopped,
        "lapsed" => EndReason::LeaseExpired,
        "broken" => EndReason::GangBroken,
        "alone" => EndReason::GangIncomplete,
        other => return Err(format!("{other:?} is not an end of {task}")),
    };
    Ok(EndedTask {
        seq: *no,
        task: parse_task_key(task)?,
        run: *run,
        reason,
        checkpoint: shared_name(saved),
    })
}

fn parse_task_key(text: &str) -> Result<TaskKey, String> {
    text.parse().map_err(|err: ParseKeyError| err.to_string())
}
