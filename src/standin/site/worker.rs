//! A worker without guards: it obeys the highest fence, runs under leases and lists its ends.

use crate::standin::site::store::Store;
use crate::standin::site::{Call, Reply, answer, number, text};
use hyper::StatusCode;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// How long a task runs whose text does not say: the text is a number of milliseconds.
const USUAL_RUN: u64 = 100;
/// Time between two entries in the list.
const BEAT: Duration = Duration::from_millis(1_500);

#[derive(Debug, Default)]
struct State {
    fence: u64,
    until: u64,
    running: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    count: u64,
    /// The lease has run out since this end and all before it.
    lapsed: u64,
    barred: HashMap<String, u64>,
    /// All starts that were carried out.
    starts: Vec<(String, u64)>,
}

/// Faults of a worker.
#[derive(Debug, Default)]
pub struct Faults {
    /// It answers nothing and lists itself no more.
    pub dark: AtomicBool,
    /// All that it starts fails.
    pub grey: AtomicBool,
    /// Orders are not answered, and carried out this much later, in milliseconds; 0: at once.
    pub late: AtomicU64,
}

/// What a worker did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEvent {
    /// It began a run with this text.
    Start(String),
    /// A run ended like this.
    End(&'static str),
    /// The end of a run was confirmed; whether the lease had run out since that end.
    Confirm { lapsed: bool },
}

/// One thing that a worker did, in the order over all workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerRow {
    /// The worker's id.
    pub worker: String,
    /// The task.
    pub task: String,
    /// The number of the start.
    pub run: u64,
    /// What was done.
    pub event: RunEvent,
}

/// What all workers of a site did.
#[derive(Debug, Default)]
pub struct Ledger(Mutex<Vec<LedgerRow>>);

impl Ledger {
    /// Notes one thing.
    pub fn add(&self, entry: LedgerRow) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(entry);
    }

    /// The entries from `from` on.
    pub fn since(&self, from: usize) -> Vec<LedgerRow> {
        let entries = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        entries.get(from..).map(<[LedgerRow]>::to_vec).unwrap_or_default()
    }
}

/// A worker.
#[derive(Debug)]
pub struct Worker {
    id: String,
    addr: String,
    domain: String,
    cpu: u64,
    born: Instant,
    ledger: Arc<Ledger>,
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    /// Its faults.
    pub faults: Faults,
}

impl Worker {
    /// A worker that runs nothing.
    pub fn new(id: String, addr: String, domain: &str, cpu: u64, ledger: Arc<Ledger>) -> Self {
        Self {
            id,
            addr,
            domain: domain.to_string(),
            cpu,
            born: Instant::now(),
            ledger,
            state: Mutex::default(),
            changed: watch::channel(0).0,
            faults: Faults::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn clock(&self) -> u64 {
        self.born.elapsed().as_millis() as u64
    }

    /// All starts that were carried out, in order: task and run.
    pub fn starts(&self) -> Vec<(String, u64)> {
        self.state().starts.clone()
    }

    /// What runs now.
    pub fn running(&self) -> Vec<String> {
        self.state().running.keys().cloned().collect()
    }

    /// Lists itself in the store until its task is dropped.
    pub(super) async fn list(self: Arc<Self>, store: Arc<Store>, service: &str) {
        for seq in 1.. {
            if !self.faults.dark.load(Ordering::Relaxed) {
                let entry = json!({
                    "service": service, "address": self.addr, "zone": self.domain, "version": "v1",
                    "slots": 8, "state": "ready", "cold_remaining_ms": 0, "seq": seq,
                    "capacity": {"cpu": self.cpu, "mem_mb": 32768, "gpu": 0},
                    "labels": ["a", format!("r-{}", self.domain)], "clock_ms": self.clock()
                });
                store.put("keyed.servers", &self.id, entry.to_string().as_bytes());
            }
            tokio::time::sleep(BEAT).await;
        }
    }

    fn refuse(&self, reason: &str) -> Reply {
        answer(StatusCode::CONFLICT, &json!({"clock_ms": self.clock(), "reason": reason}))
    }

    fn accept(&self) -> Reply {
        answer(StatusCode::OK, &json!({"clock_ms": self.clock()}))
    }

    fn start(self: &Arc<Self>, ask: &Value) -> Reply {
        let task = text(ask, "task").to_string();
        let run = number(ask, "run");
        let until = number(ask, "until_ms");
        let mut state = self.state();
        if until <= self.clock() {
            return self.refuse("late");
        }
        if self.clock() >= state.until {
            state.lapsed = state.count;
        }
        state.until = state.until.max(until);
        if state.running.get(&task) == Some(&run) {
            return self.accept();
        }
        if state.barred.get(&task).is_some_and(|barred| run <= *barred) {
            return self.refuse("old");
        }
        state.running.insert(task.clone(), run);
        state.starts.push((task.clone(), run));
        let spec = text(ask, "spec");
        self.note(&task, run, RunEvent::Start(spec.to_string()));
        drop(state);
        let length = text(ask, "spec").parse().unwrap_or_else(|err| {
            log::debug!("event=usual-run task={task} error={err:?}");
            USUAL_RUN
        });
        let worker = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(length)).await;
            let failed = worker.faults.grey.load(Ordering::Relaxed);
            worker.end(&task, run, if failed { "failed" } else { "done" });
        });
        self.accept()
    }

    fn end(&self, task: &str, run: u64, how: &'static str) {
        let mut state = self.state();
        if state.running.get(task) != Some(&run) {
            return;
        }
        state.running.remove(task);
        state.count += 1;
        let row = (state.count, task.to_string(), run, how);
        state.ended.push(row);
        self.note(task, run, RunEvent::End(how));
        let barred = state.barred.entry(task.to_string()).or_default();
        *barred = (*barred).max(run);
        drop(state);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Notes what was done; the caller holds the state's lock, so that the order is right.
    fn note(&self, task: &str, run: u64, event: RunEvent) {
        let (worker, task) = (self.id.clone(), task.to_string());
        self.ledger.add(LedgerRow { worker, task, run, event });
    }

    fn stop(&self, ask: &Value) -> Reply {
        let task = text(ask, "task");
        let run = number(ask, "run");
        {
            let mut state = self.state();
            let barred = state.barred.entry(task.to_string()).or_default();
            *barred = (*barred).max(run);
        }
        self.end(task, run, "stopped");
        self.accept()
    }

    fn expire(&self) {
        let clock = self.clock();
        let over: Vec<(String, u64)> = {
            let state = self.state();
            let late = clock >= state.until;
            let running = state.running.iter().filter(|_| late);
            running.map(|(task, run)| (task.clone(), *run)).collect()
        };
        for (task, run) in over {
            self.end(&task, run, "lapsed");
        }
    }

    async fn hold(&self, ask: &Value) -> Reply {
        let seen = number(ask, "last_seen");
        let wait = Duration::from_millis(number(ask, "wait_ms"));
        let mut changed = self.changed.subscribe();
        let busy = {
            let mut state = self.state();
            if self.clock() >= state.until {
                state.lapsed = state.count;
            }
            state.until = state.until.max(number(ask, "until_ms"));
            let (known, rest) =
                std::mem::take(&mut state.ended).into_iter().partition(|(no, ..)| *no <= seen);
            state.ended = rest;
            let known: Vec<(u64, String, u64, &str)> = known;
            for (no, task, run, _) in known {
                self.note(&task, run, RunEvent::Confirm { lapsed: no <= state.lapsed });
            }
            state.ended.is_empty()
        };
        if busy && tokio::time::timeout(wait, changed.changed()).await.is_ok() {
            // An end came.
        }
        self.expire();
        let state = self.state();
        let running: Vec<Value> =
            state.running.iter().map(|(task, run)| json!([task, run, "", 100])).collect();
        let ended: Vec<Value> = state
            .ended
            .iter()
            .map(|(no, task, run, how)| json!([no, task, run, how, ""]))
            .collect();
        drop(state);
        let body = json!({"clock_ms": self.clock(), "running": running, "ended": ended});
        answer(StatusCode::OK, &body)
    }
}

pub(super) async fn handle(worker: Arc<Worker>, call: Call) -> Reply {
    if worker.faults.dark.load(Ordering::Relaxed) {
        return None;
    }
    if call.life.as_ref().is_some_and(|life| *life != worker.id) {
        return answer(StatusCode::MISDIRECTED_REQUEST, &json!({}));
    }
    let ask = call.json();
    let late = worker.faults.late.load(Ordering::Relaxed);
    if late > 0 && call.path != "/hold" {
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(late)).await;
            drop(carry_out(&worker, &call.path, &ask).await);
        });
        return None;
    }
    carry_out(&worker, &call.path, &ask).await
}

async fn carry_out(worker: &Arc<Worker>, path: &str, ask: &Value) -> Reply {
    let fence = number(ask, "fence");
    {
        let mut state = worker.state();
        if fence < state.fence {
            drop(state);
            return worker.refuse("fence");
        }
        state.fence = fence;
    }
    match path {
        "/run-start" => worker.start(ask),
        "/run-stop" => worker.stop(ask),
        "/hold" => worker.hold(ask).await,
        "/pace" => worker.accept(),
        _ => answer(StatusCode::NOT_FOUND, &json!({})),
    }
}
