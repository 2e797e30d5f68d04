//! A simulated worker that checks neither the sender of a start nor its own capacity, so that a
//! fault of the scheduler becomes visible in the timeline.

use crate::clock::Millis;
use crate::id::{Name, TaskId};
use crate::job::TaskOutcome;
use crate::platform::api::{Report, Running, StartOrder, StopOrder, SyncOrder, TaskReply};
use crate::server::TIMELINE_PATH;
use crate::size::Size;
use crate::standin::serve_timeline;
use crate::trace::{EventKind, Trace};
use poem::web::{Data, Json};
use poem::{EndpointExt, IntoEndpoint, Route, handler, post};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Interval at which expired leases and run times are checked.
const CHECK_INTERVAL: Millis = Millis(20);

/// Faults that can be set at any time over HTTP.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every task fails at the next check.
    pub fail: bool,
    /// Every start is refused.
    pub refuse: bool,
    /// Delay of the answers to starts, which take effect at once.
    pub slow: Millis,
    /// Run time of tasks in percent of the declared one; 0: as declared.
    pub stretch: u32,
}

#[derive(Debug)]
enum Task {
    Running { order: StartOrder, ends_at: Option<Millis>, lease_end: Millis, throttled: bool },
    Ended(TaskOutcome),
}

/// The simulated worker.
#[derive(Debug)]
pub struct Worker {
    inc: u64,
    size: Size,
    tasks: Mutex<BTreeMap<TaskId, Task>>,
    faults: Mutex<Faults>,
    trace: Arc<Trace>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Worker {
    /// Creates a worker with a name and capacity.
    pub fn new(name: Name, size: Size) -> Arc<Self> {
        let trace = Arc::new(Trace::new(name));
        trace.record(EventKind::ProcessStarted { role: "worker".into() });
        trace.record(EventKind::WorkerRestarted { total: size });
        Arc::new(Self {
            inc: Millis::now().0,
            size,
            tasks: Mutex::default(),
            faults: Mutex::default(),
            trace,
        })
    }

    /// Ends tasks whose run time or lease is over, until its future is dropped.
    pub async fn run(self: Arc<Self>) {
        let mut timer = tokio::time::interval(CHECK_INTERVAL.duration());
        loop {
            timer.tick().await;
            self.end_due_tasks(Millis::now());
        }
    }

    fn end_due_tasks(&self, now: Millis) {
        let fail = lock(&self.faults).fail;
        let mut tasks = lock(&self.tasks);
        for (id, task) in tasks.iter_mut() {
            let Task::Running { ends_at, lease_end, .. } = task else { continue };
            let outcome = match () {
                _ if *lease_end <= now => TaskOutcome::Stopped,
                _ if fail => TaskOutcome::Failed,
                _ if ends_at.is_some_and(|ends_at| ends_at <= now) => TaskOutcome::Done,
                _ => continue,
            };
            self.trace.record(EventKind::WorkerEndedTask { task: id.clone(), outcome });
            *task = Task::Ended(outcome);
        }
    }

    fn start(&self, order: StartOrder) -> TaskReply {
        self.trace.observe(order.stamp);
        let faults = lock(&self.faults).clone();
        let mut tasks = lock(&self.tasks);
        match tasks.get(&order.task) {
            Some(Task::Running { .. }) => return TaskReply::Running,
            Some(Task::Ended(outcome)) => return TaskReply::Ended(*outcome),
            None if faults.refuse => return TaskReply::Refused,
            None => {}
        }
        let now = Millis::now();
        let stretch = if faults.stretch == 0 { 100 } else { faults.stretch as u64 };
        let run = Millis(order.run.0 * stretch / 100);
        let ends_at = (order.run > Millis(0)).then(|| now + run);
        let (task, size, repeat) = (order.task.clone(), order.size, order.repeat);
        self.trace.record(EventKind::WorkerStartedTask {
            task: task.clone(),
            size,
            total: self.size,
            repeat,
        });
        let lease_end = now + order.lease;
        tasks.insert(task, Task::Running { order, ends_at, lease_end, throttled: false });
        TaskReply::Running
    }

    fn stop(&self, id: TaskId) -> TaskReply {
        let mut tasks = lock(&self.tasks);
        let outcome = match tasks.get(&id) {
            Some(Task::Ended(outcome)) => return TaskReply::Ended(*outcome),
            Some(Task::Running { .. }) => {
                let outcome = TaskOutcome::Stopped;
                self.trace.record(EventKind::WorkerEndedTask { task: id.clone(), outcome });
                outcome
            }
            None => TaskOutcome::Cancelled,
        };
        tasks.insert(id, Task::Ended(outcome));
        TaskReply::Ended(outcome)
    }

    fn sync(&self, order: &SyncOrder) -> Report {
        let mut tasks = lock(&self.tasks);
        let until = Millis::now() + order.lease;
        for id in &order.renew {
            if let Some(Task::Running { lease_end, .. }) = tasks.get_mut(id) {
                *lease_end = until;
            }
        }
        for id in &order.ack {
            if matches!(tasks.get(id), Some(Task::Ended(_))) {
                tasks.remove(id);
            }
        }
        let mut report = Report { inc: self.inc, ..Report::default() };
        for (id, task) in tasks.iter() {
            match task {
                Task::Running { order, .. } => report.running.push(Running {
                    task: id.clone(),
                    kind: order.kind.clone(),
                    size: order.size,
                    usage: order.size,
                }),
                Task::Ended(outcome) => report.ended.push((id.clone(), *outcome)),
            }
        }
        report
    }

    /// The timeline of the worker.
    pub fn trace(&self) -> Arc<Trace> {
        self.trace.clone()
    }

    /// The HTTP interface of the worker.
    pub fn app(self: Arc<Self>) -> impl IntoEndpoint {
        let trace = self.trace.clone();
        Route::new()
            .at("/start", post(start))
            .at("/stop", post(stop))
            .at("/checkpoint", post(stop))
            .at("/throttle", post(throttle))
            .at("/sync", post(sync))
            .at("/set/faults", post(set_faults))
            .at(TIMELINE_PATH, post(serve_timeline))
            .data(trace)
            .data(self)
    }
}

#[handler]
async fn start(worker: Data<&Arc<Worker>>, order: Json<StartOrder>) -> Json<TaskReply> {
    let slow = lock(&worker.faults).slow;
    let reply = worker.start(order.0);
    tokio::time::sleep(slow.duration()).await;
    Json(reply)
}

#[handler]
async fn stop(worker: Data<&Arc<Worker>>, order: Json<StopOrder>) -> Json<TaskReply> {
    Json(worker.stop(order.0.task))
}

#[handler]
async fn throttle(worker: Data<&Arc<Worker>>, order: Json<StopOrder>) -> Json<bool> {
    let mut tasks = lock(&worker.tasks);
    match tasks.get_mut(&order.task) {
        Some(Task::Running { throttled, .. }) => {
            *throttled = true;
            Json(true)
        }
        _ => Json(false),
    }
}

#[handler]
async fn sync(worker: Data<&Arc<Worker>>, order: Json<SyncOrder>) -> Json<Report> {
    Json(worker.sync(&order))
}

#[handler]
async fn set_faults(worker: Data<&Arc<Worker>>, faults: Json<Faults>) -> Json<()> {
    *lock(&worker.faults) = faults.0;
    Json(())
}
