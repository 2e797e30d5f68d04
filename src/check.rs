//! Checks the merged timeline of a cell's processes for violations of the scheduler's invariants.

use crate::id::{JobId, Name, TaskId};
use crate::job::TaskOutcome;
use crate::size::Size;
use crate::trace::{Event, EventKind};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// An event that violated an invariant.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    /// The violated invariant.
    pub invariant: Invariant,
    /// The event that violated it.
    pub event: Event,
}

/// Invariants of the scheduler. The output of `timeline --check` shows the names of violated ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Invariant {
    /// The tasks of a worker never need more resources than it has.
    Capacity,
    /// No task runs on two workers at the same time.
    OnePlace,
    /// Tasks and requests that must not be repeated are started at most once.
    AtMostOnce,
    /// A task or request that was reported as not run never ran.
    NotRun,
    /// A request gets exactly one final response.
    OneAnswer,
    /// A process never replaces its active table by an older revision.
    NoOlderTable,
    /// A shard has one owner at a time in each epoch.
    OneOwner,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "broken={:?} {}", self.invariant, self.event)
    }
}

/// State of the cell after the events checked so far.
#[derive(Debug, Default)]
struct State {
    tasks_by_worker: BTreeMap<Name, BTreeMap<TaskId, Size>>,
    workers_by_task: BTreeMap<(JobId, u32), BTreeSet<Name>>,
    started_tasks: BTreeSet<(JobId, u32)>,
    non_repeatable: BTreeSet<Name>,
    request_runs: BTreeMap<Name, u32>,
    reported_unrun: BTreeSet<Name>,
    answered_requests: BTreeSet<Name>,
    table_revisions: BTreeMap<Name, u64>,
    shard_owners: BTreeMap<(Name, u64), Name>,
}

/// Checks events, which must be in order of their stamps, and returns all violations.
pub fn find_violations(events: &[Event]) -> Vec<Violation> {
    let mut state = State::default();
    let mut violations = Vec::new();
    for event in events {
        let invariants = state.apply(event);
        violations.extend(
            invariants.into_iter().map(|invariant| Violation { invariant, event: event.clone() }),
        );
    }
    violations
}

impl State {
    fn apply(&mut self, event: &Event) -> Vec<Invariant> {
        let process = &event.process;
        match &event.kind {
            EventKind::WorkerRestarted { .. } => {
                self.worker_restarted(process);
                Vec::new()
            }
            EventKind::WorkerStartedTask { task, size, total, repeat } => {
                self.worker_started(process, task, size, total, *repeat)
            }
            EventKind::WorkerEndedTask { task, .. } => {
                self.worker_ended(process, task);
                Vec::new()
            }
            EventKind::TaskEnded { task, outcome: TaskOutcome::Cancelled } => {
                let ran = self.started_tasks.contains(&(task.job.clone(), task.index));
                violated_if(ran && task.attempt == 0, Invariant::NotRun)
            }
            EventKind::RequestReceived { request, repeat: false, .. } => {
                self.non_repeatable.insert(request.clone());
                Vec::new()
            }
            EventKind::RunnerRan { request } => self.runner_ran(request),
            EventKind::RequestAnswered { request, run, .. } => self.request_out(request, run),
            EventKind::TableActivated { rev, .. } => {
                let previous = self.table_revisions.insert(process.clone(), *rev);
                violated_if(
                    previous.is_some_and(|previous| previous >= *rev),
                    Invariant::NoOlderTable,
                )
            }
            EventKind::ProcessStarted { .. } => {
                self.table_revisions.remove(process);
                Vec::new()
            }
            EventKind::OwnershipTaken { shard, epoch, .. } => {
                let epoch_owner =
                    self.shard_owners.entry((shard.clone(), *epoch)).or_insert(process.clone());
                violated_if(epoch_owner != process, Invariant::OneOwner)
            }
            EventKind::OwnershipHandedOver { shard, epoch, to } => {
                let owner = self.shard_owners.insert((shard.clone(), *epoch), to.clone());
                violated_if(owner.is_some_and(|owner| owner != *process), Invariant::OneOwner)
            }
            EventKind::OwnershipContinued { shard, epoch, from } => {
                let owner = self.shard_owners.insert((shard.clone(), *epoch), process.clone());
                let is_allowed = owner.is_none_or(|owner| owner == *process || owner == *from);
                violated_if(!is_allowed, Invariant::OneOwner)
            }
            _ => Vec::new(),
        }
    }

    fn worker_restarted(&mut self, process: &Name) {
        let tasks = self.tasks_by_worker.remove(process).unwrap_or_default();
        for task in tasks.into_keys() {
            self.remove_placement(process, &task);
        }
    }

    fn remove_placement(&mut self, process: &Name, task: &TaskId) {
        if let Some(workers) = self.workers_by_task.get_mut(&(task.job.clone(), task.index)) {
            workers.remove(process);
        }
    }

    fn worker_started(
        &mut self,
        process: &Name,
        task: &TaskId,
        size: &Size,
        total: &Size,
        repeat: bool,
    ) -> Vec<Invariant> {
        let tasks = self.tasks_by_worker.entry(process.clone()).or_default();
        tasks.insert(task.clone(), *size);
        let sum = tasks.values().try_fold(Size::default(), |sum, size| sum.checked_add(size));
        let is_over = sum.is_none_or(|sum| !total.can_fit(&sum));
        let task_key = (task.job.clone(), task.index);
        let was_started = !self.started_tasks.insert(task_key.clone());
        let workers = self.workers_by_task.entry(task_key).or_default();
        let is_elsewhere = !workers.is_empty();
        workers.insert(process.clone());
        let mut violations = violated_if(is_over, Invariant::Capacity);
        violations.extend(violated_if(is_elsewhere, Invariant::OnePlace));
        violations.extend(violated_if(was_started && !repeat, Invariant::AtMostOnce));
        violations
    }

    fn worker_ended(&mut self, process: &Name, task: &TaskId) {
        if let Some(tasks) = self.tasks_by_worker.get_mut(process) {
            tasks.remove(task);
        }
        self.remove_placement(process, task);
    }

    fn runner_ran(&mut self, request: &Name) -> Vec<Invariant> {
        let run_count = self.request_runs.entry(request.clone()).or_insert(0);
        *run_count += 1;
        let mut violations = violated_if(self.reported_unrun.contains(request), Invariant::NotRun);
        violations.extend(violated_if(
            *run_count > 1 && self.non_repeatable.contains(request),
            Invariant::AtMostOnce,
        ));
        violations
    }

    fn request_out(&mut self, request: &Name, run: &Name) -> Vec<Invariant> {
        let ran = self.request_runs.contains_key(request);
        let mut violations =
            violated_if(!self.answered_requests.insert(request.clone()), Invariant::OneAnswer);
        if **run == *"no" {
            self.reported_unrun.insert(request.clone());
            violations.extend(violated_if(ran, Invariant::NotRun));
        }
        violations
    }
}

fn violated_if(is_violated: bool, invariant: Invariant) -> Vec<Invariant> {
    if is_violated { vec![invariant] } else { Vec::new() }
}
