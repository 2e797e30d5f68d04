//! Cost of an owner as a separate process against the simulated platform, by the number of workers
//! and of task starts: CPU time per task start, and memory.
//!
//! `cargo bench --bench owner [-- WORKERS...]`

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use serde_json::json;
use sprucerudder::clock::Millis;
use sprucerudder::platform::http::{HttpClient, uri};
use sprucerudder::standin::process::Process;
use sprucerudder::standin::site::Site;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::{Duration, Instant};

const HOST: &str = "127.77.1.1";
const BASE_PORT: u16 = 20_000;
/// Tasks of a job.
const TASKS_PER_JOB: u32 = 10;
/// Run time of a task, in milliseconds.
const RUN_MS: u32 = 800;
/// Task starts per second and worker: the grown deployments have 745 on 350 workers.
const STARTS_PER_WORKER: f64 = 2.1;
/// Load before the measurement.
const WARM_UP_TIME: Duration = Duration::from_secs(3);
/// Load during the measurement.
const LOAD_TIME: Duration = Duration::from_secs(10);

struct EntryProcess(Process);

impl EntryProcess {
    /// CPU time so far, in clock ticks of a hundredth of a second.
    fn cpu_ticks(&self) -> u64 {
        const USER_TICKS_FIELD: usize = 11;
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.0.id())).unwrap();
        let rest = text.rsplit(')').next().unwrap();
        let fields: Vec<&str> = rest.split_whitespace().collect();
        fields[USER_TICKS_FIELD].parse::<u64>().unwrap()
            + fields[USER_TICKS_FIELD + 1].parse::<u64>().unwrap()
    }

    /// Peak memory so far, in kilobytes.
    fn peak_kb(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.0.id())).unwrap();
        let line = text.lines().find(|line| line.starts_with("VmHWM")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }
}

fn start_entry(site: &Site) -> EntryProcess {
    let path: PathBuf = std::env::temp_dir().join(format!("owner-{}.toml", std::process::id()));
    let program = env!("CARGO_BIN_EXE_sprucerudder");
    EntryProcess(
        Process::start_node(program, &path, &site.settings(0), &[], Stdio::null()).unwrap(),
    )
}

async fn submit(http: &HttpClient, addr: &str, key: u64) -> StatusCode {
    let steps = json!([{"count": TASKS_PER_JOB, "cpu": 300, "mem_mb": 50, "estimate_ms": RUN_MS}]);
    let body = json!({"spec": RUN_MS.to_string(), "steps": steps}).to_string();
    let request = Request::builder()
        .method(Method::POST)
        .uri(uri(addr, &format!("/advised/{key:016x}")).unwrap())
        .header("Host", "desk.example")
        .body(Full::from(Bytes::from(body)))
        .unwrap();
    let answer = http.send(addr, request, Millis(3_000)).await;
    answer.map_or(StatusCode::GATEWAY_TIMEOUT, |answer| answer.status)
}

/// Submits a job per `interval` for `time`, with keys from `first_key` on; returns the number of
/// accepted ones.
async fn submit_evenly(
    http: &HttpClient,
    addr: &str,
    first_key: u64,
    interval: Duration,
    time: Duration,
) -> u64 {
    let started = Instant::now();
    let mut jobs = tokio::task::JoinSet::new();
    let mut count = 0;
    while started.elapsed() < time {
        let (http, addr, key) = (http.clone(), addr.to_string(), first_key + count);
        jobs.spawn(async move { submit(&http, &addr, key).await });
        count += 1;
        let next = interval * count as u32;
        tokio::time::sleep(next.saturating_sub(started.elapsed())).await;
    }
    jobs.join_all().await.into_iter().filter(|status| *status == StatusCode::OK).count() as u64
}

async fn measure(workers: usize) {
    let site = Site::start(HOST, BASE_PORT + workers as u16 * 10, workers).await.unwrap();
    let entry = start_entry(&site);
    let (http, addr) = (HttpClient::default(), site.front_addr(0));
    while submit(&http, &addr, 1).await != StatusCode::OK {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let interval =
        Duration::from_secs_f64(f64::from(TASKS_PER_JOB) / (STARTS_PER_WORKER * workers as f64));
    submit_evenly(&http, &addr, 1_000, interval, WARM_UP_TIME).await;
    let (ticks, starts) = (entry.cpu_ticks(), start_count(&site));
    let started = Instant::now();
    let accepted = submit_evenly(&http, &addr, 1_000_000, interval, LOAD_TIME).await;
    let (time, starts) = (started.elapsed().as_secs_f64(), start_count(&site) - starts);
    let cpu_seconds = (entry.cpu_ticks() - ticks) as f64 / 100.0;
    println!(
        "{workers} workers: {:.0} starts/s, {accepted} jobs, {:.3} cores, {:.0} us per start, {} MB",
        starts as f64 / time,
        cpu_seconds / time,
        cpu_seconds * 1e6 / starts as f64,
        entry.peak_kb() / 1024,
    );
}

fn start_count(site: &Site) -> usize {
    site.workers.iter().map(|worker| worker.starts().len()).sum()
}

#[tokio::main]
async fn main() {
    // Cargo adds flags of its own, such as `--bench`.
    let sizes = std::env::args().skip(1).filter(|arg| !arg.starts_with('-'));
    let sizes: Vec<usize> = sizes.map(|arg| arg.parse().expect("a number of workers")).collect();
    let sizes = if sizes.is_empty() { vec![48, 200, 350] } else { sizes };
    for workers in sizes {
        measure(workers).await;
    }
}
