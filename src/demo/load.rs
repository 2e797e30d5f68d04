//! The workloads of the demo's two users: requests and jobs of a news desk before its deadline and
//! of a service that sends reminders.

use crate::clock::Millis;
use crate::demo::cell::Cell;
use anyhow::Result;
use hyper::Method;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::task::JoinSet;

/// Time limit for jobs that are still open when the load ends.
const FINISH_TIMEOUT: Millis = Millis(30_000);
const POLL_INTERVAL: Millis = Millis(100);
/// Number of times that a job is submitted before its caller gives up, and the delay between them.
const MAX_SUBMIT_TRIES: u32 = 5;
const RETRY_DELAY: Millis = Millis(500);

/// Requests of one kind at a constant rate.
struct RequestStream {
    kind: &'static str,
    /// Time between two requests.
    interval: Millis,
    /// Run time on the runner, in milliseconds, as a header value.
    run_ms: &'static str,
    /// Whether each request has an idempotency key.
    has_key: bool,
}

const REQUEST_STREAMS: [RequestStream; 3] = [
    RequestStream { kind: "preview", interval: Millis(25), run_ms: "60", has_key: false },
    RequestStream { kind: "ingest-step", interval: Millis(100), run_ms: "20", has_key: true },
    RequestStream { kind: "render", interval: Millis(25), run_ms: "40", has_key: false },
];

/// The jobs that are submitted periodically, each with the time between two submissions.
fn job_streams() -> Vec<(Millis, Value)> {
    let job = |kind: &str, tasks: u32, gang: bool, cpu: u32, acc: u32, run: u64| {
        let mem = cpu / 2;
        json!({
            "kind": kind, "tasks": tasks, "gang": gang, "cpu": cpu, "mem": mem, "acc": acc,
            "run": run,
        })
    };
    vec![
        (Millis(300), job("build", 1, false, 4_000, 0, 1_200)),
        (Millis(1_500), job("build", 1, false, 2_000, 1, 800)),
        (Millis(2_000), job("build", 4, true, 4_000, 0, 1_000)),
        (Millis(2_500), job("campaign", 30, false, 4_000, 0, 700)),
    ]
}

fn services() -> [Value; 2] {
    ["ingest", "listener"].map(|kind| json!({"kind": kind, "tasks": 2, "cpu": 1_000, "mem": 500}))
}

/// Runs the workloads of both users for `length`. Meanwhile a campaign is cancelled, and half way
/// an entry is stopped. Then waits until all jobs have ended.
pub async fn run(cell: Arc<Cell>, length: Millis) -> Result<()> {
    let until = Millis::now() + length;
    let (_, addr) = cell.entries[0];
    let mut service_jobs = Vec::new();
    let next = Arc::new(AtomicUsize::new(0));
    for service in services() {
        service_jobs.extend(submit_with_retries(&cell, &next, &service).await);
    }
    let mut tasks = JoinSet::new();
    for requests in REQUEST_STREAMS {
        tasks.spawn(send_requests(cell.clone(), next.clone(), requests, until));
    }
    for (interval, job) in job_streams() {
        tasks.spawn(submit_jobs(cell.clone(), next.clone(), interval, job, until));
    }
    tasks.spawn(cancel_campaign(cell.clone()));
    tasks.spawn(stop_entry(cell.clone(), Millis(length.0 / 2)));
    while tasks.join_next().await.is_some() {}
    for id in service_jobs {
        cell.send(addr, Method::DELETE, &format!("/v1/jobs/{id}"), &[], "").await?;
    }
    wait_until_done(&cell, addr).await
}

/// The next entry that is not stopping, in turn, as the platform's load balancer would choose it.
fn next_entry(cell: &Cell, next: &AtomicUsize) -> SocketAddr {
    let open_entries: Vec<SocketAddr> = cell
        .entries
        .iter()
        .filter(|(entry, _)| !entry.is_stopping())
        .map(|(_, addr)| *addr)
        .collect();
    open_entries[next.fetch_add(1, Ordering::Relaxed) % open_entries.len()]
}

async fn send_requests(
    cell: Arc<Cell>,
    next: Arc<AtomicUsize>,
    requests: RequestStream,
    until: Millis,
) {
    let mut timer = tokio::time::interval(requests.interval.duration());
    let mut calls = JoinSet::new();
    let mut count = 0;
    while Millis::now() < until {
        timer.tick().await;
        count += 1;
        let (cell, addr) = (cell.clone(), next_entry(&cell, &next));
        let key = format!("{}-{count}", requests.kind);
        let path = format!("/run/{}", requests.kind);
        calls.spawn(async move {
            let mut headers = vec![("work-millis", requests.run_ms)];
            if requests.has_key {
                headers.push(("idempotency-key", &key));
            }
            let _ = cell.send(addr, Method::POST, &path, &headers, "page").await;
        });
    }
    while calls.join_next().await.is_some() {}
}

async fn submit_jobs(
    cell: Arc<Cell>,
    next: Arc<AtomicUsize>,
    interval: Millis,
    job: Value,
    until: Millis,
) {
    let mut timer = tokio::time::interval(interval.duration());
    while Millis::now() < until {
        timer.tick().await;
        submit_with_retries(&cell, &next, &job).await;
    }
}

/// Submits a job, and retries as callers do while the cell has no owner for it.
async fn submit_with_retries(cell: &Cell, next: &AtomicUsize, job: &Value) -> Option<String> {
    let mut last_error = None;
    for _ in 0..MAX_SUBMIT_TRIES {
        match cell.submit(next_entry(cell, next), job).await {
            Ok(id) => return Some(id),
            Err(err) => last_error = Some(err),
        }
        tokio::time::sleep(RETRY_DELAY.duration()).await;
    }
    last_error.iter().for_each(|err| println!("job not submitted: {err}"));
    None
}

async fn cancel_campaign(cell: Arc<Cell>) {
    let (_, addr) = cell.entries[3];
    let campaign =
        json!({"kind": "campaign", "tasks": 1_000, "cpu": 4_000, "mem": 2_000, "run": 700});
    let Ok(id) = cell.submit(addr, &campaign).await else { return };
    tokio::time::sleep((POLL_INTERVAL + POLL_INTERVAL).duration()).await;
    let _ = cell.send(addr, Method::DELETE, &format!("/v1/jobs/{id}"), &[], "").await;
}

async fn stop_entry(cell: Arc<Cell>, after: Millis) {
    tokio::time::sleep(after.duration()).await;
    let (entry, addr) = &cell.entries[1];
    println!("stopping the entry at {addr}");
    entry.stop().await;
}

/// Waits until no job is queued or running.
async fn wait_until_done(cell: &Cell, addr: SocketAddr) -> Result<()> {
    let begun = Millis::now();
    while Millis::now().since(begun) < FINISH_TIMEOUT {
        let answer = cell.send(addr, Method::GET, "/v1/jobs", &[], "").await?;
        let jobs: Vec<Value> = serde_json::from_slice(&answer.body)?;
        let is_open = |job: &&Value| job["state"] == "queued" || job["state"] == "running";
        if !jobs.iter().any(|job| is_open(&job)) {
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL.duration()).await;
    }
    anyhow::bail!("jobs did not end in time")
}
