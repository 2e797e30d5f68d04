//! A simulated worker that does not check its capacity: it obeys the highest fence that it has
//! seen, runs tasks under leases and reports how they end.

use crate::standin::site::advice::Advice;
use crate::standin::site::run_log::SHRINK_GRACE;
pub use crate::standin::site::run_log::{CapacityHistory, RunEvent, RunLog, RunRecord};
use crate::standin::site::store::Store;
use crate::standin::site::{Call, Reply, number_field, reply, text_field};
use hyper::StatusCode;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// Run time of a task whose text is not a number of milliseconds.
const DEFAULT_RUN_MS: u64 = 100;
/// Prefix of the text of a task that crashes every worker that starts it.
pub const CRASH_PREFIX: &str = "crash ";
/// Time from the start of such a task to the crash of its worker.
const CRASH_DELAY: Duration = Duration::from_millis(10);
/// Time that a worker is unreachable after a crash.
const RESTART_TIME: Duration = Duration::from_millis(1_200);
/// How long before its end a worker announces that it leaves.
const LEAVING_NOTICE: Duration = Duration::from_secs(2);
/// How long the entry of a worker that was lost stays in the list.
const LAPSE_TIME: Duration = Duration::from_millis(4_500);
/// Start time of a worker's first process, in milliseconds since 1970.
const FIRST_START_MS: u64 = 1_700_000_000_000;
/// How much earlier than its predecessor a restarted process claims to have started, in
/// milliseconds.
const START_STEP_MS: u64 = 1_000;
/// Longest lease that a worker accepts, by the platform's contract; a longer one is shortened to
/// it.
const MAX_LEASE_MS: u64 = 10_000;
/// Most ends that a report lists, by the platform's contract. The others follow once these are
/// confirmed.
const MAX_LISTED_ENDS: usize = 500;
/// Longest time that a report may be held back, in milliseconds.
const MAX_REPORT_WAIT_MS: u64 = 2_000;
/// Interval at which a worker renews its entry in the list of workers.
const LIST_INTERVAL: Duration = Duration::from_millis(1_500);

#[derive(Debug, Default)]
struct State {
    /// Number of crashes so far.
    restarts: u64,
    /// Number of crashes after which the worker got a new id.
    renames: u64,
    /// Start of the current process, if the worker has restarted.
    started_at: Option<Instant>,
    /// The highest fence seen in a call.
    fence: u64,
    /// End of the lease on the worker's own clock, in milliseconds.
    lease_end: u64,
    /// Run number of each running task.
    running: BTreeMap<String, u64>,
    /// Unconfirmed ends: number of the end, task, run and outcome.
    ended: Vec<(u64, String, u64, &'static str)>,
    end_count: u64,
    /// Number of the last end that was followed by an expiry of the lease.
    lapsed_ends: u64,
    /// The last run of each task that may not start again: it has ended or was stopped.
    ended_runs: HashMap<String, u64>,
    /// All executed starts: task and run.
    starts: Vec<(String, u64)>,
}

/// Faults of a worker.
#[derive(Debug, Default)]
pub struct Faults {
    /// The worker answers no call and does not renew its entry in the list.
    pub unreachable: AtomicBool,
    /// The worker has crashed and has not restarted yet.
    restarting: AtomicBool,
    /// After a crash the worker restarts under its former id.
    pub keeps_id: AtomicBool,
    /// The worker announces that it leaves.
    leaving: AtomicBool,
    /// The worker has left or is lost for good.
    gone: AtomicBool,
    /// Every task fails.
    pub fails_tasks: AtomicBool,
    /// Orders are not answered and are executed after this delay in milliseconds; 0: no fault.
    pub order_delay: AtomicU64,
}

/// A worker.
#[derive(Debug)]
pub struct Worker {
    id: String,
    addr: String,
    domain: String,
    cpu: AtomicU64,
    capacities: Mutex<CapacityHistory>,
    created_at: Instant,
    run_log: Arc<RunLog>,
    advice: Arc<Advice>,
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    /// Notified after a restart, so that the worker renews its entry in the list at once.
    restarted: Notify,
    /// The faults of the worker.
    pub faults: Faults,
}

impl Worker {
    /// Creates a worker that runs no task.
    pub fn new(
        id: String,
        addr: String,
        domain: &str,
        cpu: u64,
        run_log: Arc<RunLog>,
        advice: Arc<Advice>,
    ) -> Self {
        Self {
            id,
            addr,
            domain: domain.to_string(),
            cpu: AtomicU64::new(cpu),
            capacities: Mutex::default(),
            created_at: Instant::now(),
            run_log,
            advice,
            state: Mutex::default(),
            changed: watch::channel(0).0,
            restarted: Notify::new(),
            faults: Faults::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The id of the current incarnation: the worker's name, with a suffix after crashes that
    /// changed the id.
    fn id(&self, state: &State) -> String {
        match state.renames {
            0 => self.id.clone(),
            renames => format!("{}+{renames}", self.id),
        }
    }

    /// Start time of the process, in milliseconds since 1970 by its own clock. Each restart sets it
    /// back, so that a later process may claim an earlier start.
    fn start_time(&self, state: &State) -> u64 {
        FIRST_START_MS - state.restarts * START_STEP_MS
    }

    /// Crashes the worker, which restarts under its former id, also after later crashes.
    pub fn restart(self: &Arc<Self>) {
        self.faults.keeps_id.store(true, Ordering::Relaxed);
        self.crash();
    }

    /// Crashes the worker: it loses its tasks and its state and is unreachable for a while.
    pub fn crash(self: &Arc<Self>) {
        let mut state = self.state();
        for (task, run) in &state.running {
            self.record(&state, task, *run, RunEvent::End("crashed"));
        }
        let starts = std::mem::take(&mut state.starts);
        let renames = state.renames + u64::from(!self.faults.keeps_id.load(Ordering::Relaxed));
        let started_at = Some(Instant::now() + RESTART_TIME);
        *state =
            State { restarts: state.restarts + 1, renames, started_at, starts, ..State::default() };
        self.faults.restarting.store(true, Ordering::Relaxed);
        let worker = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(RESTART_TIME).await;
            worker.faults.restarting.store(false, Ordering::Relaxed);
            worker.restarted.notify_one();
        });
    }

    /// Announces that the worker leaves, and ends it after [`LEAVING_NOTICE`].
    pub fn leave(self: &Arc<Self>) {
        self.faults.leaving.store(true, Ordering::Relaxed);
        self.restarted.notify_one();
        let worker = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(LEAVING_NOTICE).await;
            worker.terminate();
        });
    }

    /// Ends the worker for good, with all its tasks. A worker that had not announced that it leaves
    /// stays in the list for [`LAPSE_TIME`].
    pub fn terminate(self: &Arc<Self>) {
        let mut state = self.state();
        for (task, run) in std::mem::take(&mut state.running) {
            self.record(&state, &task, run, RunEvent::End("crashed"));
        }
        self.faults.gone.store(true, Ordering::Relaxed);
        self.restarted.notify_one();
    }

    /// Changes the CPU capacity, which the worker lists with its next entry.
    pub fn resize(self: &Arc<Self>, cpu: u64) {
        let before = self.cpu.swap(cpu, Ordering::Relaxed);
        self.capacities().add(Instant::now(), before);
        self.record_capacity();
        let worker = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(SHRINK_GRACE).await;
            worker.record_capacity();
        });
    }

    /// Records the CPU capacity from which on a start counts as a fault.
    fn record_capacity(&self) {
        let state = self.state();
        let cpu = self.cpu.load(Ordering::Relaxed);
        let allowed = self.capacities().allowed(Instant::now(), cpu);
        self.record(&state, "", 0, RunEvent::Resized(allowed));
    }

    fn capacities(&self) -> MutexGuard<'_, CapacityHistory> {
        self.capacities.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The worker's own clock in milliseconds, which restarts from 0 with its process.
    fn clock_ms(&self, state: &State) -> u64 {
        state.started_at.unwrap_or(self.created_at).elapsed().as_millis() as u64
    }

    /// All executed starts in order: task and run.
    pub fn starts(&self) -> Vec<(String, u64)> {
        self.state().starts.clone()
    }

    /// The tasks that are running.
    pub fn running(&self) -> Vec<String> {
        self.state().running.keys().cloned().collect()
    }

    /// Renews the worker's entry in the store's list of workers until its task is dropped.
    pub(super) async fn publish_entries(self: Arc<Self>, store: Arc<Store>, service: &str) {
        let mut listed = self.id.clone();
        for seq in 1.. {
            let (id, born, clock) = {
                let state = self.state();
                (self.id(&state), self.start_time(&state), self.clock_ms(&state))
            };
            if id != listed {
                store.put("keyed.servers", &listed, b"");
            }
            if self.faults.gone.load(Ordering::Relaxed) {
                if !self.faults.leaving.load(Ordering::Relaxed) {
                    tokio::time::sleep(LAPSE_TIME).await;
                }
                return store.put("keyed.servers", &id, b"");
            }
            let (status, remaining) = match self.faults.leaving.load(Ordering::Relaxed) {
                true => ("draining", Some(LEAVING_NOTICE.as_millis() as u64)),
                false => ("ready", None),
            };
            if !self.is_unreachable() {
                listed.clone_from(&id);
                self.advice.set_worker(&id, born);
                let entry = json!({
                    "service": service, "address": self.addr, "zone": self.domain, "version": "v1",
                    "slots": 8, "state": status, "remaining_ms": remaining, "cold_remaining_ms": 0,
                    "seq": seq,
                    "capacity": {"cpu": self.cpu.load(Ordering::Relaxed), "mem_mb": 32768, "gpu": 0},
                    "labels": ["a", format!("r-{}", self.domain)], "clock_ms": clock, "born": born
                });
                store.put("keyed.servers", &id, entry.to_string().as_bytes());
            }
            tokio::select! {
                () = tokio::time::sleep(LIST_INTERVAL) => {}
                () = self.restarted.notified() => {}
            }
        }
    }

    fn is_unreachable(&self) -> bool {
        self.faults.unreachable.load(Ordering::Relaxed)
            || self.faults.gone.load(Ordering::Relaxed)
            || self.faults.restarting.load(Ordering::Relaxed)
    }

    fn refuse(&self, state: &State, reason: &str) -> Reply {
        reply(StatusCode::CONFLICT, &json!({"clock_ms": self.clock_ms(state), "reason": reason}))
    }

    fn accept(&self, state: &State) -> Reply {
        reply(StatusCode::OK, &json!({"clock_ms": self.clock_ms(state)}))
    }

    fn start(self: &Arc<Self>, body: &Value, restarts: u64) -> Reply {
        let task = text_field(body, "task").to_string();
        let run = number_field(body, "run");
        let until = number_field(body, "until_ms");
        let mut state = self.state();
        if state.restarts != restarts {
            return None;
        }
        let clock = self.clock_ms(&state);
        if until <= clock {
            return self.refuse(&state, "late");
        }
        if clock >= state.lease_end {
            state.lapsed_ends = state.end_count;
        }
        state.lease_end = state.lease_end.max(until.min(clock + MAX_LEASE_MS));
        if state.running.get(&task) == Some(&run) {
            return self.accept(&state);
        }
        if state.ended_runs.get(&task).is_some_and(|last| run <= *last) {
            return self.refuse(&state, "old");
        }
        let ticket = text_field(body, "ticket");
        if !self.advice.admits(&task, &self.id(&state), self.start_time(&state), ticket) {
            return self.refuse(&state, "ticket");
        }
        state.running.insert(task.clone(), run);
        state.starts.push((task.clone(), run));
        let spec = text_field(body, "spec");
        self.record(&state, &task, run, RunEvent::Start(spec.to_string()));
        let reply = self.accept(&state);
        drop(state);
        if spec.starts_with(CRASH_PREFIX) {
            let worker = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(CRASH_DELAY).await;
                if worker.state().restarts == restarts {
                    worker.crash();
                }
            });
            return None;
        }
        let run_ms = text_field(body, "spec").parse().unwrap_or_else(|err| {
            log::debug!("event=default-run-time task={task} error={err:?}");
            DEFAULT_RUN_MS
        });
        let worker = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(run_ms)).await;
            let failed = worker.faults.fails_tasks.load(Ordering::Relaxed);
            if worker.state().restarts == restarts {
                worker.end(&task, run, if failed { "failed" } else { "done" });
            }
        });
        reply
    }

    fn end(&self, task: &str, run: u64, outcome: &'static str) {
        let mut state = self.state();
        if state.running.get(task) != Some(&run) {
            return;
        }
        state.running.remove(task);
        state.end_count += 1;
        let row = (state.end_count, task.to_string(), run, outcome);
        state.ended.push(row);
        self.record(&state, task, run, RunEvent::End(outcome));
        let last_ended = state.ended_runs.entry(task.to_string()).or_default();
        *last_ended = (*last_ended).max(run);
        drop(state);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Appends an event to the run log. The caller holds the lock of the state, so that events are
    /// in order.
    fn record(&self, state: &State, task: &str, run: u64, event: RunEvent) {
        let (worker, task) = (self.id(state), task.to_string());
        let at = Instant::now();
        self.run_log.add(RunRecord { worker, task, run, event, at });
    }

    fn stop(&self, body: &Value) -> Reply {
        let task = text_field(body, "task");
        let run = number_field(body, "run");
        {
            let mut state = self.state();
            let last_ended = state.ended_runs.entry(task.to_string()).or_default();
            *last_ended = (*last_ended).max(run);
        }
        self.end(task, run, "stopped");
        self.accept(&self.state())
    }

    fn expire_lease(&self) {
        let over: Vec<(String, u64)> = {
            let state = self.state();
            let is_expired = self.clock_ms(&state) >= state.lease_end;
            let running = state.running.iter().filter(|_| is_expired);
            running.map(|(task, run)| (task.clone(), *run)).collect()
        };
        for (task, run) in over {
            self.end(&task, run, "lapsed");
        }
    }

    async fn hold_call(&self, body: &Value) -> Reply {
        if number_field(body, "wait_ms") > MAX_REPORT_WAIT_MS {
            return reply(StatusCode::BAD_REQUEST, &json!({}));
        }
        let seen = number_field(body, "last_seen");
        let wait = Duration::from_millis(number_field(body, "wait_ms"));
        let mut changed = self.changed.subscribe();
        let (has_no_ends, restarts) = {
            let mut state = self.state();
            let clock = self.clock_ms(&state);
            if clock >= state.lease_end {
                state.lapsed_ends = state.end_count;
            }
            state.lease_end =
                state.lease_end.max(number_field(body, "until_ms").min(clock + MAX_LEASE_MS));
            let (confirmed, rest) =
                std::mem::take(&mut state.ended).into_iter().partition(|(no, ..)| *no <= seen);
            state.ended = rest;
            let confirmed: Vec<(u64, String, u64, &str)> = confirmed;
            for (no, task, run, _) in confirmed {
                let event = RunEvent::Confirm { lapsed: no <= state.lapsed_ends };
                self.record(&state, &task, run, event);
            }
            (state.ended.is_empty(), state.restarts)
        };
        if has_no_ends && tokio::time::timeout(wait, changed.changed()).await.is_ok() {
            // A run has ended; the answer below contains it.
        }
        self.expire_lease();
        let state = self.state();
        if state.restarts != restarts {
            return None;
        }
        let running: Vec<Value> =
            state.running.iter().map(|(task, run)| json!([task, run, "", 100])).collect();
        let ended: Vec<Value> = state
            .ended
            .iter()
            .take(MAX_LISTED_ENDS)
            .map(|(no, task, run, outcome)| json!([no, task, run, outcome, ""]))
            .collect();
        let (clock, born) = (self.clock_ms(&state), self.start_time(&state));
        drop(state);
        let body = json!({"born": born, "clock_ms": clock, "running": running, "ended": ended});
        reply(StatusCode::OK, &body)
    }
}

pub(super) async fn handle(worker: Arc<Worker>, call: Call) -> Reply {
    if worker.is_unreachable() {
        return None;
    }
    let (id, restarts) = {
        let state = worker.state();
        (worker.id(&state), state.restarts)
    };
    if call.instance.as_ref().is_some_and(|instance| *instance != id) {
        return reply(StatusCode::MISDIRECTED_REQUEST, &json!({}));
    }
    let body = call.json();
    let delay_ms = worker.faults.order_delay.load(Ordering::Relaxed);
    if delay_ms > 0 && call.path != "/hold" {
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            // Its caller was not answered, so the result is only logged.
            let reply = handle_order(&worker, &call.path, &body, restarts).await;
            log::debug!(
                "event=delayed-order-executed worker={id} path={} reply={reply:?}",
                call.path
            );
        });
        return None;
    }
    handle_order(&worker, &call.path, &body, restarts).await
}

/// Carries out an order that was received after `restarts` crashes. It is dropped, without an answer,
/// if the worker has crashed since.
async fn handle_order(worker: &Arc<Worker>, path: &str, body: &Value, restarts: u64) -> Reply {
    let fence = number_field(body, "fence");
    {
        let mut state = worker.state();
        if state.restarts != restarts {
            log::debug!("event=order-dropped worker={} path={path}", worker.id(&state));
            return None;
        }
        if fence < state.fence {
            return worker.refuse(&state, "fence");
        }
        state.fence = fence;
    }
    match path {
        "/run-start" => worker.start(body, restarts),
        "/run-stop" => worker.stop(body),
        "/hold" => worker.hold_call(body).await,
        "/pace" => worker.accept(&worker.state()),
        _ => reply(StatusCode::NOT_FOUND, &json!({})),
    }
}
