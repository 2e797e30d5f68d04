//! Callers of the cell: they submit jobs, resubmit them when no answer comes, query job states, and
//! cancel some jobs.

use bytes::Bytes;
use fastrand::Rng;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use serde_json::{Value, json};
use sprucerudder::clock::Millis;
use sprucerudder::platform::http::{HttpClient, HttpError, HttpResponse, uri};
use sprucerudder::standin::site::Workspace;
use sprucerudder::standin::site::worker::CRASH_PREFIX;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// The text of jobs whose tasks run until the job is cancelled.
pub const LASTING_SPEC: &str = "600000";

/// What a caller knows about one of its jobs from the answers that it received.
#[derive(Debug, Clone, Default)]
pub struct CallerView {
    /// Every submission was refused, so the job must never run.
    pub refused: bool,
    /// A submission was accepted.
    pub accepted: bool,
    /// A cancel was requested, whatever its outcome.
    pub cancel_tried: bool,
    /// When a cancel was acknowledged.
    pub cancelled_at: Option<Instant>,
    /// The last job state that was received.
    pub last_state: String,
}

/// A job and what its caller knows about it.
#[derive(Debug, Clone)]
pub struct Job {
    pub key: String,
    /// The text that its tasks are started with: their run time in milliseconds.
    pub spec: String,
    /// Task count and CPU per task (thousandths of a core) of each step; a step depends on the one
    /// before it.
    pub steps: Vec<(u32, u64)>,
    pub view: CallerView,
}

/// All jobs of a run, shared between callers and checks.
pub type Jobs = Arc<Mutex<Vec<Job>>>;

/// Workspaces of the seeds that use them. The limit of each is 1.5 times the CPU of a worker.
pub const WORKSPACES: [Workspace; 2] = [
    Workspace { name: "one", key: "key-one", cpu: 12_000 },
    Workspace { name: "two", key: "key-two", cpu: 12_000 },
];

/// The workspace that a job belongs to, by the job's key or path.
pub fn workspace_of(key: &str) -> &'static Workspace {
    &WORKSPACES[usize::from(key.bytes().last().is_some_and(|byte| byte % 2 == 0))]
}

/// An HTTP client for the entries of a cell.
#[derive(Debug, Clone)]
pub struct Client {
    pub addrs: Vec<String>,
    pub http: HttpClient,
    /// Calls carry the API key of the job's workspace.
    pub sends_keys: bool,
}

impl Client {
    pub async fn call(
        &self,
        entry: usize,
        method: Method,
        path: &str,
        body: &str,
    ) -> Result<HttpResponse, HttpError> {
        let addr = &self.addrs[entry % self.addrs.len()];
        let mut request = Request::builder()
            .method(method)
            .uri(uri(addr, path)?)
            .header("Host", "desk.example")
            .header("X-Sprucerudder-Deadline-Ms", "3000");
        if self.sends_keys {
            request = request.header("Authorization", format!("Bearer {}", workspace_of(path).key));
        }
        let request = request.body(Full::from(Bytes::from(body.to_string()))).unwrap();
        self.http.send(addr, request, Millis(3_500)).await
    }

    /// The state of a job as an entry reports it: `None` without a usable answer, `gone` if the
    /// entry does not know the job.
    pub async fn state(&self, entry: usize, path: &str) -> Option<String> {
        let answer = self.call(entry, Method::GET, path, "").await.ok()?;
        match answer.status {
            StatusCode::GONE => Some("gone".to_string()),
            StatusCode::OK => {
                let value: Value = serde_json::from_slice(&answer.body).ok()?;
                Some(value["state"].as_str()?.to_string())
            }
            _ => None,
        }
    }
}

pub fn job_path(key: &str) -> String {
    format!("/plain/{key}")
}

fn job_body(job: &Job) -> String {
    let steps = job.steps.iter().enumerate().map(|(no, (count, cpu))| {
        let mut step = json!({"count": count, "cpu": cpu, "mem_mb": 100, "estimate_ms": 300});
        if no > 0 {
            step["depends_on"] = json!([no - 1]);
        }
        if job.spec == LASTING_SPEC {
            step["long_running"] = json!(true);
        }
        step
    });
    json!({"spec": job.spec, "steps": steps.collect::<Vec<_>>()}).to_string()
}

/// A job whose tasks mostly run for less than 0.5 s; one job in ten has tasks that outlast a
/// takeover, and a few of these outlast a lease.
fn random_job(rng: &mut Rng) -> Job {
    let run_ms = match rng.u32(0..10) {
        0 => rng.u64(2_000..5_000),
        _ => rng.u64(20..500),
    };
    let steps = (0..rng.u32(1..4)).map(|_| (rng.u32(1..5), rng.u64(300..1_800))).collect();
    let key = format!("{:016x}", rng.u64(1..));
    Job { key, spec: run_ms.to_string(), steps, view: CallerView::default() }
}

/// Submits jobs one at a time until `until`.
pub async fn run_caller(client: Client, jobs: Jobs, mut rng: Rng, until: Instant) {
    while Instant::now() < until {
        let job = random_job(&mut rng);
        let index = {
            let mut jobs = jobs.lock().unwrap();
            jobs.push(job.clone());
            jobs.len() - 1
        };
        submit(&client, &jobs, index, &job, &mut rng).await;
        let cancels = rng.u32(0..8) == 0;
        if cancels {
            tokio::time::sleep(Duration::from_millis(rng.u64(0..400))).await;
            cancel(&client, &jobs, index, &job, &mut rng).await;
        }
        tokio::time::sleep(Duration::from_millis(rng.u64(20..200))).await;
        if let Some(state) = client.state(rng.usize(0..100), &job_path(&job.key)).await {
            jobs.lock().unwrap()[index].view.last_state = state;
        }
    }
}

/// Submits jobs whose tasks crash their workers, one every few seconds, until `until`.
pub async fn run_crash_caller(client: Client, jobs: Jobs, mut rng: Rng, until: Instant) {
    while Instant::now() < until {
        let steps = vec![(rng.u32(1..3), rng.u64(300..1_800))];
        let key = format!("{:016x}", rng.u64(1..));
        let job = Job { key, spec: format!("{CRASH_PREFIX}1"), steps, view: CallerView::default() };
        let index = {
            let mut jobs = jobs.lock().unwrap();
            jobs.push(job.clone());
            jobs.len() - 1
        };
        submit(&client, &jobs, index, &job, &mut rng).await;
        tokio::time::sleep(Duration::from_millis(rng.u64(2_000..5_000))).await;
    }
}

/// Submits a job up to four times under the same key, each time at a random entry, until it is
/// accepted.
pub async fn submit(client: &Client, jobs: &Jobs, index: usize, job: &Job, rng: &mut Rng) {
    const MAX_TRIES: u32 = 4;
    let mut all_refused = true;
    for _ in 0..MAX_TRIES {
        let answer =
            client.call(rng.usize(0..100), Method::POST, &job_path(&job.key), &job_body(job)).await;
        let status = answer.as_ref().map(|answer| answer.status);
        match status {
            Ok(StatusCode::OK) => {
                jobs.lock().unwrap()[index].view.accepted = true;
                return;
            }
            Ok(StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) => {}
            Err(err) if err.is_unsent() => {}
            _ => all_refused = false,
        }
        tokio::time::sleep(Duration::from_millis(rng.u64(50..400))).await;
    }
    jobs.lock().unwrap()[index].view.refused = all_refused;
}

pub async fn cancel(client: &Client, jobs: &Jobs, index: usize, job: &Job, rng: &mut Rng) {
    const MAX_TRIES: u32 = 3;
    jobs.lock().unwrap()[index].view.cancel_tried = true;
    for _ in 0..MAX_TRIES {
        let answer = client.call(rng.usize(0..100), Method::DELETE, &job_path(&job.key), "").await;
        if answer.is_ok_and(|answer| answer.status == StatusCode::OK) {
            jobs.lock().unwrap()[index].view.cancelled_at = Some(Instant::now());
            return;
        }
    }
}
