//! The simulated advice service: it decides which workers may run a step and gives each of them a
//! ticket. It handles one call of each caller at a time.

use crate::id::hash;
use crate::standin::site::{Call, Reply, reply, text_field};
use hyper::StatusCode;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::Instant;

/// Number of calls of one caller that may wait for their turn, by the platform's contract.
const MAX_WAITING: usize = 32;

/// Largest number of workers in a call.
const MAX_WORKERS: usize = 100;

/// A queue whose steps need advice.
#[derive(Debug, Clone, Copy)]
pub struct AdvisedQueue {
    /// The name of the queue; the paths of its jobs begin with it.
    pub name: &'static str,
    /// The start of the keys of its jobs, by which the service and the workers recognize them. If
    /// it is empty, all jobs match, and the workers check no tickets.
    pub key_prefix: &'static str,
    /// The fixed part of the response time, in milliseconds.
    pub decide_ms: u64,
    /// The time that each worker in a call adds to the response time, in microseconds.
    pub worker_micros: u64,
    /// How long tickets are valid, in milliseconds.
    pub valid_ms: u64,
    /// The share of the pairs of a step and a worker that are cleared, in percent.
    pub cleared_percent: u64,
}

impl AdvisedQueue {
    /// The queue of the initial policy. The service answers fast and clears all workers.
    pub const DEFAULT: Self = Self {
        name: "advised",
        key_prefix: "",
        decide_ms: 5,
        worker_micros: 100,
        valid_ms: 2_500,
        cleared_percent: 100,
    };

    /// The time that the service takes for a call with this many workers.
    pub fn response_time(&self, workers: usize) -> Duration {
        let per_worker = Duration::from_micros(self.worker_micros * workers as u64);
        Duration::from_millis(self.decide_ms) + per_worker
    }

    fn clears(&self, step: &str, worker: &str) -> bool {
        hash(&[step.as_bytes(), worker.as_bytes()]) % 100 < self.cleared_percent
    }
}

/// A call that the service received.
#[derive(Debug, Clone)]
pub struct AdviceCall {
    /// The address that the caller used, which tells callers apart if each has a proxy of its own.
    pub caller: String,
    /// The step.
    pub step: String,
    /// When the call was received.
    pub received_at: Instant,
    /// When the call was answered.
    pub answered_at: Option<Instant>,
}

/// The calls of one caller.
#[derive(Debug)]
struct Caller {
    /// Places for the call that is handled and those that wait.
    places: Semaphore,
    turn: Semaphore,
}

/// The advice service.
#[derive(Debug)]
pub struct Advice {
    queues: Mutex<Vec<AdvisedQueue>>,
    callers: Mutex<HashMap<String, Arc<Caller>>>,
    /// Start time of the current process of each worker.
    workers: Mutex<HashMap<String, u64>>,
    calls: Mutex<Vec<AdviceCall>>,
    started_at: Instant,
}

impl Default for Advice {
    fn default() -> Self {
        Self {
            queues: Mutex::new(vec![AdvisedQueue::DEFAULT]),
            callers: Mutex::default(),
            workers: Mutex::default(),
            calls: Mutex::default(),
            started_at: Instant::now(),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Advice {
    /// The queues whose steps need advice.
    pub fn queues(&self) -> Vec<AdvisedQueue> {
        lock(&self.queues).clone()
    }

    pub(super) fn set_queues(&self, queues: &[AdvisedQueue]) {
        *lock(&self.queues) = queues.to_vec();
    }

    /// Notes the start time of the current process of a worker.
    pub(super) fn set_worker(&self, id: &str, started_ms: u64) {
        lock(&self.workers).insert(id.to_string(), started_ms);
    }

    /// The queue of a job, by the start of a text that begins with the job's key.
    fn queue_of(&self, key: &str) -> Option<AdvisedQueue> {
        let queues = lock(&self.queues);
        queues.iter().find(|queue| key.starts_with(queue.key_prefix)).copied()
    }

    /// Whether the service clears a worker for a step.
    pub fn clears(&self, step: &str, worker: &str) -> bool {
        self.queue_of(step).is_some_and(|queue| queue.clears(step, worker))
    }

    /// The calls from index `from` on, in the order in which they were received.
    pub fn calls_since(&self, from: usize) -> Vec<AdviceCall> {
        lock(&self.calls).get(from..).map(<[AdviceCall]>::to_vec).unwrap_or_default()
    }

    /// The number of calls about a step.
    pub fn count_calls(&self, step: &str) -> usize {
        lock(&self.calls).iter().filter(|call| call.step == step).count()
    }

    /// Whether a worker whose process started at `started_ms` may start a task with a ticket.
    pub(super) fn admits(&self, task: &str, worker: &str, started_ms: u64, ticket: &str) -> bool {
        let checked = self.queue_of(task).filter(|queue| !queue.key_prefix.is_empty());
        let (Some(_), Some((step, _))) = (checked, task.rsplit_once('.')) else { return true };
        let Some((_, expiry)) = ticket.split_once('-') else { return false };
        let is_valid = expiry.parse().is_ok_and(|expiry: u64| expiry > self.clock_ms());
        is_valid && ticket == format_ticket(step, worker, started_ms, expiry)
    }

    fn clock_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn caller(&self, name: &str) -> Arc<Caller> {
        let new = || {
            let places = Semaphore::new(MAX_WAITING + 1);
            Arc::new(Caller { places, turn: Semaphore::new(1) })
        };
        lock(&self.callers).entry(name.to_string()).or_insert_with(new).clone()
    }

    /// Records a call and returns its index.
    fn record_call(&self, caller: &str, step: &str) -> usize {
        let (caller, step) = (caller.to_string(), step.to_string());
        let (received_at, answered_at) = (Instant::now(), None);
        let mut calls = lock(&self.calls);
        calls.push(AdviceCall { caller, step, received_at, answered_at });
        calls.len() - 1
    }

    /// The cleared workers, each with a ticket.
    fn decide(&self, queue: &AdvisedQueue, step: &str, workers: &[&str]) -> Vec<Value> {
        let expiry = (self.clock_ms() + queue.valid_ms).to_string();
        let known = lock(&self.workers);
        let cleared = workers.iter().filter(|worker| queue.clears(step, worker));
        let with_ticket = cleared.filter_map(|worker| {
            let ticket = format_ticket(step, worker, *known.get(*worker)?, &expiry);
            Some(json!([worker, ticket]))
        });
        with_ticket.collect()
    }
}

/// The text of a ticket. It differs by step, by process of the worker and by expiry.
fn format_ticket(step: &str, worker: &str, started_ms: u64, expiry: &str) -> String {
    let started = started_ms.to_le_bytes();
    let parts = [step.as_bytes(), worker.as_bytes(), &started, expiry.as_bytes()];
    format!("{:016x}-{expiry}", hash(&parts))
}

pub(super) async fn handle(advice: Arc<Advice>, call: Call) -> Reply {
    let body = call.json();
    let step = text_field(&body, "step");
    let workers = body["workers"].as_array().map(Vec::as_slice).unwrap_or_default();
    let workers: Vec<&str> = workers.iter().filter_map(Value::as_str).collect();
    if workers.len() > MAX_WORKERS {
        return reply(StatusCode::BAD_REQUEST, &json!({}));
    }
    let Some(queue) = advice.queue_of(step) else {
        return reply(StatusCode::NOT_FOUND, &json!({}));
    };
    let index = advice.record_call(&call.host, step);
    let caller = advice.caller(&call.host);
    let Ok(_place) = caller.places.try_acquire() else {
        return reply(StatusCode::TOO_MANY_REQUESTS, &json!({}));
    };
    let _turn = caller.turn.acquire().await;
    tokio::time::sleep(queue.response_time(workers.len())).await;
    let cleared = advice.decide(&queue, step, &workers);
    lock(&advice.calls)[index].answered_at = Some(Instant::now());
    reply(StatusCode::OK, &json!({"healthy": cleared, "valid_ms": queue.valid_ms}))
}
