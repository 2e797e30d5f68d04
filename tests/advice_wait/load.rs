//! Callers that submit jobs at a constant rate, each until it is accepted.

use bytes::Bytes;
use fastrand::Rng;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use serde_json::json;
use sprucerudder::clock::Millis;
use sprucerudder::platform::http::{HttpClient, uri};
use sprucerudder::standin::site::advice::AdvisedQueue;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// Time limit of a submission, as long as the route's.
const CALL_TIMEOUT: Millis = Millis(3_500);

/// The tasks of a step. A step depends on the one before it.
#[derive(Debug, Clone, Copy)]
pub struct Step {
    pub count: u32,
    /// CPU of each task, in thousandths of a core.
    pub cpu: u64,
}

/// A job that was submitted.
#[derive(Debug, Clone)]
pub struct Job {
    pub key: String,
    pub steps: Vec<Step>,
    pub run_ms: u64,
    /// When the answer came that accepted it.
    pub accepted_at: Option<Instant>,
}

impl Job {
    /// A job of several steps.
    pub fn batch(rng: &mut Rng, queue: &AdvisedQueue) -> Self {
        let steps = (0..rng.u32(2..5)).map(|_| Self::random_step(rng)).collect();
        Self { key: random_key(rng, queue), steps, run_ms: rng.u64(200..900), accepted_at: None }
    }

    /// A job of one step with a short task.
    pub fn short(rng: &mut Rng, queue: &AdvisedQueue) -> Self {
        let steps = vec![Step { count: 1, cpu: 200 }];
        Self { key: random_key(rng, queue), steps, run_ms: 50, accepted_at: None }
    }

    fn random_step(rng: &mut Rng) -> Step {
        Step { count: rng.u32(1..4), cpu: rng.u64(300..1_500) }
    }

    fn body(&self) -> String {
        let steps = self.steps.iter().enumerate().map(|(index, step)| {
            let depends_on: Vec<usize> = index.checked_sub(1).into_iter().collect();
            json!({
                "count": step.count, "cpu": step.cpu, "mem_mb": 10, "estimate_ms": self.run_ms,
                "depends_on": depends_on
            })
        });
        let steps: Vec<_> = steps.collect();
        json!({"spec": self.run_ms.to_string(), "steps": steps}).to_string()
    }
}

fn random_key(rng: &mut Rng, queue: &AdvisedQueue) -> String {
    let digits = 16 - queue.key_prefix.len();
    let number = rng.u64(..) >> (4 * queue.key_prefix.len());
    format!("{}{number:0digits$x}", queue.key_prefix)
}

/// All jobs of a run, shared between callers and checks.
pub type Jobs = Arc<Mutex<Vec<Job>>>;

/// Callers of all entries.
#[derive(Debug, Clone)]
pub struct Callers {
    /// Addresses of the entries for callers.
    pub addrs: Vec<String>,
    pub http: HttpClient,
    pub jobs: Jobs,
}

impl Callers {
    /// Submits a job to one entry after the other until it is accepted.
    pub fn submit(&self, queue: AdvisedQueue, job: Job, mut rng: Rng) {
        let callers = self.clone();
        let index = {
            let mut jobs = callers.jobs.lock().unwrap();
            jobs.push(job.clone());
            jobs.len() - 1
        };
        tokio::spawn(async move {
            while !callers.try_submit(&queue, &job, rng.usize(..)).await {
                tokio::time::sleep(Duration::from_millis(rng.u64(100..300))).await;
            }
            callers.jobs.lock().unwrap()[index].accepted_at = Some(Instant::now());
        });
    }

    async fn try_submit(&self, queue: &AdvisedQueue, job: &Job, entry: usize) -> bool {
        let addr = &self.addrs[entry % self.addrs.len()];
        let request = Request::builder()
            .method(Method::POST)
            .uri(uri(addr, &format!("/{}/{}", queue.name, job.key)).unwrap())
            .header("Host", "desk.example")
            .header("X-Sprucerudder-Deadline-Ms", "3000")
            .body(Full::from(Bytes::from(job.body())))
            .unwrap();
        let answer = self.http.send(addr, request, CALL_TIMEOUT).await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    }

    /// Submits jobs of a queue at regular intervals until its task is dropped.
    pub async fn offer(
        self,
        queue: AdvisedQueue,
        interval: Duration,
        mut rng: Rng,
        new_job: fn(&mut Rng, &AdvisedQueue) -> Job,
    ) {
        let mut timer = tokio::time::interval(interval);
        loop {
            timer.tick().await;
            let job = new_job(&mut rng, &queue);
            self.submit(queue, job, rng.fork());
        }
    }
}
