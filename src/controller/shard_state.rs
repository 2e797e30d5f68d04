//! The replicated state of a shard: jobs, their tasks, and idempotency keys. It is built by
//! applying state changes.
//!
//! The states of a task are separate types: [`Queued`], [`Bound`] and [`Ended`] each offer only the
//! transitions that may follow.

use crate::clock::Millis;
use crate::controller::log_state::LogJob;
use crate::id::{EntryId, JobId, Name, TaskId};
use crate::job::{JobSpec, JobStatus, StateChange, TaskOutcome};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A waiting task. No start was sent for this attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queued {
    /// The attempt that will be started next.
    pub attempt: u32,
}

/// A task bound to one worker. A start may have been sent to that worker and to no other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Bound {
    /// The present attempt.
    pub attempt: u32,
    /// The only worker that may run it.
    pub worker: Name,
    /// The incarnation of the worker when the task was bound.
    pub inc: u64,
    /// The entry that bound it.
    pub owner: EntryId,
}

/// A task that has ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ended {
    /// The outcome of the task.
    pub outcome: TaskOutcome,
}

impl Queued {
    fn bind(&self, worker: Name, inc: u64, owner: EntryId) -> Bound {
        Bound { attempt: self.attempt, worker, inc, owner }
    }

    fn end(&self, outcome: TaskOutcome) -> Ended {
        Ended { outcome }
    }
}

impl Bound {
    fn end(&self, outcome: TaskOutcome) -> Ended {
        Ended { outcome }
    }

    fn requeue(&self) -> Queued {
        Queued { attempt: self.attempt + 1 }
    }
}

/// A task in any of its states.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Task {
    /// Waiting.
    Queued(Queued),
    /// Bound to a worker.
    Bound(Bound),
    /// Ended for good.
    Ended(Ended),
}

/// A job and its tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// The submitted job.
    pub spec: JobSpec,
    /// When it was accepted.
    pub at: Millis,
    /// Whether a caller cancelled it. Its queued tasks will not be started.
    pub cancelled: bool,
    /// The tasks by index.
    pub tasks: Vec<Task>,
    /// The number of queued tasks.
    pub queued: u32,
    /// The indices of bound tasks.
    pub bound: BTreeSet<u32>,
}

/// An idempotency key that is in use.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Key {
    /// The holder of the key: an entry for a request, or the id of a job.
    pub holder: Name,
    /// When it was taken.
    pub at: Millis,
}

/// The replicated state of a shard.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ShardState {
    /// The jobs.
    pub jobs: BTreeMap<JobId, Job>,
    /// The idempotency keys.
    pub keys: BTreeMap<Name, Key>,
    /// The newest version of the VM list that an owner has applied.
    pub list: u64,
    /// Whether the state was lost and is being rebuilt from the log. Queued tasks may be running on
    /// workers that have not reported yet.
    pub rebuilding: bool,
}

impl Job {
    /// Creates a job with all tasks queued.
    pub fn new(spec: JobSpec, at: Millis) -> Self {
        let queued = spec.tasks;
        let tasks = vec![Task::Queued(Queued { attempt: 0 }); queued as usize];
        Self { spec, at, cancelled: false, tasks, queued, bound: BTreeSet::new() }
    }

    /// Whether no task can run any more.
    pub fn is_over(&self) -> bool {
        self.bound.is_empty() && (self.cancelled || self.queued == 0)
    }

    /// The task at `index` if it is bound.
    pub fn bound_at(&self, index: u32) -> Option<&Bound> {
        match self.tasks.get(index as usize) {
            Some(Task::Bound(bound)) => Some(bound),
            _ => None,
        }
    }

    /// The attempt of the task at `index` if it is queued.
    pub fn queued_at(&self, index: u32) -> Option<u32> {
        match self.tasks.get(index as usize) {
            Some(Task::Queued(queued)) => Some(queued.attempt),
            _ => None,
        }
    }

    /// The status of the job for callers, without the reason why it waits.
    pub fn status(&self, job: &JobId) -> JobStatus {
        let mut ended = BTreeMap::new();
        let mut add = |outcome| *ended.entry(outcome).or_insert(0) += 1;
        for task in &self.tasks {
            match task {
                Task::Ended(end) => add(end.outcome),
                Task::Queued(_) if self.cancelled => add(TaskOutcome::Cancelled),
                Task::Queued(_) | Task::Bound(_) => {}
            }
        }
        JobStatus {
            job: job.clone(),
            spec: self.spec.clone(),
            accepted_at: self.at,
            cancelled: self.cancelled,
            queued: if self.cancelled { 0 } else { self.queued },
            running: self.bound.len() as u32,
            ended: ended.into_iter().collect(),
            wait_reason: String::new(),
        }
    }

    fn replace(&mut self, index: u32, task: Task) {
        let Some(slot) = self.tasks.get_mut(index as usize) else { return };
        match slot {
            Task::Queued(_) => self.queued -= 1,
            Task::Bound(_) => drop(self.bound.remove(&index)),
            Task::Ended(_) => {}
        }
        match &task {
            Task::Queued(_) => self.queued += 1,
            Task::Bound(_) => drop(self.bound.insert(index)),
            Task::Ended(_) => {}
        }
        *slot = task;
    }
}

impl ShardState {
    /// Applies one change. A change that is not valid in the present state has no effect.
    pub fn apply(&mut self, change: &StateChange) {
        match change {
            StateChange::Barrier => {}
            StateChange::Rebuilt => self.rebuilding = false,
            StateChange::Submit { job, spec, at } => {
                self.jobs.entry(job.clone()).or_insert_with(|| Job::new(spec.clone(), *at));
            }
            StateChange::Bind { task, worker, incarnation, owner } => {
                self.change(task, |old| match old {
                    Task::Queued(queued) if queued.attempt <= task.attempt => {
                        let queued = Queued { attempt: task.attempt };
                        Some(Task::Bound(queued.bind(worker.clone(), *incarnation, owner.clone())))
                    }
                    _ => None,
                })
            }
            StateChange::Finish { task, outcome } => self.change(task, |old| match old {
                Task::Bound(bound) if bound.attempt == task.attempt => {
                    Some(Task::Ended(bound.end(*outcome)))
                }
                Task::Queued(queued) => Some(Task::Ended(queued.end(*outcome))),
                _ => None,
            }),
            StateChange::Requeue { task } => self.change(task, |old| match old {
                Task::Bound(bound) if bound.attempt == task.attempt => {
                    Some(Task::Queued(bound.requeue()))
                }
                _ => None,
            }),
            StateChange::Cancel { job } => {
                if let Some(job) = self.jobs.get_mut(job) {
                    job.cancelled = true;
                }
            }
            StateChange::Key { key, holder, at } => {
                let taken = Key { holder: holder.clone(), at: *at };
                self.keys.entry(key.clone()).or_insert(taken);
            }
            StateChange::FreeKey { key, holder } => {
                if self.keys.get(key).is_some_and(|known| known.holder == *holder) {
                    self.keys.remove(key);
                }
            }
            StateChange::Forget { job } => drop(self.jobs.remove(job)),
            StateChange::List { rev } => self.list = self.list.max(*rev),
            StateChange::ForgetKeys { before } => self.keys.retain(|_, key| key.at >= *before),
        }
    }

    fn change(&mut self, id: &TaskId, next: impl FnOnce(&Task) -> Option<Task>) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let new = job.tasks.get(id.index as usize).and_then(next);
        if let Some(task) = new {
            job.replace(id.index, task);
        }
    }

    /// Rebuilds the state of a shard from its open jobs in the log, when no complete state exists.
    pub fn from_log(jobs: Vec<(JobId, LogJob)>) -> Self {
        let mut book = Self { rebuilding: true, ..Self::default() };
        for (id, known) in jobs {
            let mut job = Job::new(known.spec, known.at);
            for (index, outcome) in known.ended {
                job.replace(index, Task::Ended(Ended { outcome }));
            }
            book.jobs.insert(id, job);
        }
        book
    }

    /// The attempt of a task if it is queued and its job is not cancelled.
    pub fn queued(&self, job: &JobId, index: u32) -> Option<u32> {
        self.jobs.get(job).filter(|job| !job.cancelled)?.queued_at(index)
    }

    /// The binding of a task if this attempt of it is bound.
    pub fn bound(&self, id: &TaskId) -> Option<&Bound> {
        let bound = self.jobs.get(&id.job)?.bound_at(id.index)?;
        (bound.attempt == id.attempt).then_some(bound)
    }

    /// All bound tasks with their jobs.
    pub fn all_bound(&self) -> impl Iterator<Item = (TaskId, &Job, &Bound)> {
        self.jobs.iter().flat_map(|(id, job)| {
            job.bound.iter().filter_map(move |&index| {
                let bound = job.bound_at(index)?;
                let task = TaskId { job: id.clone(), index, attempt: bound.attempt };
                Some((task, job, bound))
            })
        })
    }
}
