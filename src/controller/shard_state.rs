//! A shard's replicated state: jobs, their tasks, and idempotency keys, folded from notes.
//!
//! The life of a task is a typestate: [`Queued`], [`Bound`] and [`Ended`] each offer only the
//! steps that may follow.

use crate::clock::Millis;
use crate::controller::log_state::LogJob;
use crate::id::{EntryId, JobId, Name, TaskId};
use crate::job::{JobSpec, JobStatus, StateChange, TaskOutcome};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A task that waits: nobody has sent a start for this attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queued {
    /// The attempt that it waits for.
    pub attempt: u32,
}

/// A task tied to one worker: a start may have been sent there, and nowhere else.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Bound {
    /// The present attempt.
    pub attempt: u32,
    /// The only worker that may run it.
    pub worker: Name,
    /// The worker's incarnation when the task was bound.
    pub inc: u64,
    /// The entry that bound it.
    pub owner: EntryId,
}

/// A task that is over.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ended {
    /// How it ended.
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

/// A task in any state of its life.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Task {
    /// Waiting.
    Queued(Queued),
    /// Tied to a worker.
    Bound(Bound),
    /// Over.
    Ended(Ended),
}

/// A job and its tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// What was asked for.
    pub spec: JobSpec,
    /// When it was accepted.
    pub at: Millis,
    /// Whether the caller withdrew it: its queued tasks will not be started.
    pub cancelled: bool,
    /// The tasks by index.
    pub tasks: Vec<Task>,
    /// How many tasks are queued.
    pub queued: u32,
    /// The indices of bound tasks.
    pub bound: BTreeSet<u32>,
}

/// An idempotency key that was taken.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Key {
    /// Who took it: an entry for a request, a job's id for a job.
    pub holder: Name,
    /// When.
    pub at: Millis,
}

/// A shard's replicated state.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ShardState {
    /// The jobs.
    pub jobs: BTreeMap<JobId, Job>,
    /// The keys.
    pub keys: BTreeMap<Name, Key>,
    /// The version of the VM list that owners have gone by.
    pub list: u64,
    /// The state was lost and comes from the log: queued tasks may run on a worker that has not
    /// been asked yet.
    pub rebuilding: bool,
}

impl Job {
    /// A job whose tasks all wait.
    pub fn new(spec: JobSpec, at: Millis) -> Self {
        let queued = spec.tasks;
        let tasks = vec![Task::Queued(Queued { attempt: 0 }); queued as usize];
        Self { spec, at, cancelled: false, tasks, queued, bound: BTreeSet::new() }
    }

    /// Whether no task can run any more.
    pub fn is_over(&self) -> bool {
        self.bound.is_empty() && (self.cancelled || self.queued == 0)
    }

    /// The bound task at `index`, if it is one.
    pub fn bound_at(&self, index: u32) -> Option<&Bound> {
        match self.tasks.get(index as usize) {
            Some(Task::Bound(bound)) => Some(bound),
            _ => None,
        }
    }

    /// The attempt of the queued task at `index`, if it is one.
    pub fn queued_at(&self, index: u32) -> Option<u32> {
        match self.tasks.get(index as usize) {
            Some(Task::Queued(queued)) => Some(queued.attempt),
            _ => None,
        }
    }

    /// Counts for callers; `why` is left empty.
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
    /// Applies one note. A note that does not follow from the present state changes nothing.
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

    /// The open jobs of a shard whose state nobody holds, from the log's records.
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

    /// The attempt of a queued task that may still be started.
    pub fn queued(&self, job: &JobId, index: u32) -> Option<u32> {
        self.jobs.get(job).filter(|job| !job.cancelled)?.queued_at(index)
    }

    /// The bound task with this id, if its attempt is the present one.
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
