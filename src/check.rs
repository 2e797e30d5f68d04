//! Checks a time line for what must always hold, and says which event broke it.

use crate::id::{JobId, Name, TaskId};
use crate::job::TaskOutcome;
use crate::size::Size;
use crate::trace::{Event, EventKind};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A promise that an event broke.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    /// Which promise.
    pub invariant: Invariant,
    /// The event.
    pub event: Event,
}

/// What must always hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Invariant {
    /// No worker is given more than it has.
    Capacity,
    /// No task runs in two places at once.
    OnePlace,
    /// What must not be repeated is started once at most.
    AtMostOnce,
    /// What was reported as not run was not run.
    NotRun,
    /// A request has one final answer.
    OneAnswer,
    /// A table in force is never replaced by an older one.
    NoOlderTable,
    /// A shard has one owner in an epoch.
    OneOwner,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "broken={:?} {}", self.invariant, self.event)
    }
}

/// What is known so far.
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

/// Checks events, which have to be in order, and returns all that broke a promise.
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
        let who = &event.process;
        match &event.kind {
            EventKind::WorkerRestarted { .. } => {
                self.worker_up(who);
                Vec::new()
            }
            EventKind::WorkerStarted { task, size, total, repeat } => {
                self.worker_started(who, task, size, total, *repeat)
            }
            EventKind::WorkerEnded { task, .. } => {
                self.worker_ended(who, task);
                Vec::new()
            }
            EventKind::Ended { task, outcome: TaskOutcome::Cancelled } => {
                let ran = self.started_tasks.contains(&(task.job.clone(), task.index));
                violated_if(ran && task.attempt == 0, Invariant::NotRun)
            }
            EventKind::RequestIn { request, repeat: false, .. } => {
                self.non_repeatable.insert(request.clone());
                Vec::new()
            }
            EventKind::RunnerRan { request } => self.runner_ran(request),
            EventKind::RequestOut { request, run, .. } => self.request_out(request, run),
            EventKind::TableInForce { rev, .. } => {
                let last = self.table_revisions.insert(who.clone(), *rev);
                violated_if(last.is_some_and(|last| last >= *rev), Invariant::NoOlderTable)
            }
            EventKind::ProcessStarted { .. } => {
                self.table_revisions.remove(who);
                Vec::new()
            }
            EventKind::OwnershipTaken { shard, epoch, .. } => {
                let first = self.shard_owners.entry((shard.clone(), *epoch)).or_insert(who.clone());
                violated_if(first != who, Invariant::OneOwner)
            }
            EventKind::HandedOver { shard, epoch, to } => {
                let owner = self.shard_owners.insert((shard.clone(), *epoch), to.clone());
                violated_if(owner.is_some_and(|owner| owner != *who), Invariant::OneOwner)
            }
            EventKind::OwnershipContinued { shard, epoch, from } => {
                let owner = self.shard_owners.insert((shard.clone(), *epoch), who.clone());
                let is_allowed = owner.is_none_or(|owner| owner == *who || owner == *from);
                violated_if(!is_allowed, Invariant::OneOwner)
            }
            _ => Vec::new(),
        }
    }

    fn worker_up(&mut self, who: &Name) {
        let tasks = self.tasks_by_worker.remove(who).unwrap_or_default();
        for task in tasks.into_keys() {
            self.remove_placement(who, &task);
        }
    }

    fn remove_placement(&mut self, who: &Name, task: &TaskId) {
        if let Some(workers) = self.workers_by_task.get_mut(&(task.job.clone(), task.index)) {
            workers.remove(who);
        }
    }

    fn worker_started(
        &mut self,
        who: &Name,
        task: &TaskId,
        size: &Size,
        total: &Size,
        repeat: bool,
    ) -> Vec<Invariant> {
        let tasks = self.tasks_by_worker.entry(who.clone()).or_default();
        tasks.insert(task.clone(), *size);
        let sum = tasks.values().try_fold(Size::default(), |sum, size| sum.checked_add(size));
        let is_over = sum.is_none_or(|sum| !total.can_fit(&sum));
        let task_key = (task.job.clone(), task.index);
        let was_started = !self.started_tasks.insert(task_key.clone());
        let workers = self.workers_by_task.entry(task_key).or_default();
        let is_elsewhere = !workers.is_empty();
        workers.insert(who.clone());
        let mut violations = violated_if(is_over, Invariant::Capacity);
        violations.extend(violated_if(is_elsewhere, Invariant::OnePlace));
        violations.extend(violated_if(was_started && !repeat, Invariant::AtMostOnce));
        violations
    }

    fn worker_ended(&mut self, who: &Name, task: &TaskId) {
        if let Some(tasks) = self.tasks_by_worker.get_mut(who) {
            tasks.remove(task);
        }
        self.remove_placement(who, task);
    }

    fn runner_ran(&mut self, request: &Name) -> Vec<Invariant> {
        let runs = self.request_runs.entry(request.clone()).or_insert(0);
        *runs += 1;
        let mut violations = violated_if(self.reported_unrun.contains(request), Invariant::NotRun);
        violations.extend(violated_if(
            *runs > 1 && self.non_repeatable.contains(request),
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
