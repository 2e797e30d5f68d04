//! Jobs and tasks as callers, entries and the log see them.

use crate::clock::Millis;
use crate::id::{EntryId, JobId, Name, TaskId};
use crate::size::Size;
use serde::{Deserialize, Serialize};

/// The most tasks of one job.
pub const MAX_TASKS: u32 = 10_000;

/// What a caller asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The kind of work: a row of the table.
    pub kind: Name,
    /// The team that submits it.
    pub team: Name,
    /// How many tasks.
    pub tasks: u32,
    /// Whether all tasks must run at once.
    pub gang: bool,
    /// What each task needs.
    pub size: Size,
    /// The declared run time of a task, in milliseconds; 0 for a service.
    #[serde(rename = "run")]
    pub run_time: Millis,
    /// Whether a task may be started again once it has been started.
    #[serde(rename = "repeat")]
    pub repeatable: bool,
}

/// How a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskOutcome {
    /// It finished.
    Done,
    /// It ran and failed.
    Failed,
    /// It was cancelled before it was started.
    Cancelled,
    /// It was stopped while it ran, or ran out of its lease.
    Stopped,
    /// It may or may not have run: it must not be repeated and its worker is gone.
    Unknown,
}

/// Where an accepted job is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobStorage {
    /// In the platform's log: the record was read back.
    Log,
    /// At every replica of its shard; the log was not reachable.
    Peer,
}

/// One change of a shard's replicated state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum StateChange {
    /// Nothing: its arrival at all replicas proves that its sender still owns the shard.
    Barrier,
    /// After a rebuild every worker has said what it runs.
    Rebuilt,
    /// A job was accepted.
    Submit { job: JobId, spec: JobSpec, at: Millis },
    /// A task is about to be started on a worker: nothing may start it anywhere else.
    Bind {
        task: TaskId,
        worker: Name,
        #[serde(rename = "inc")]
        incarnation: u64,
        owner: EntryId,
    },
    /// A task ended, for good.
    Finish { task: TaskId, outcome: TaskOutcome },
    /// A task's attempt is surely over; it waits again under the next attempt.
    Requeue { task: TaskId },
    /// The caller withdrew the job.
    Cancel { job: JobId },
    /// An idempotency key was taken.
    Key { key: Name, holder: Name, at: Millis },
    /// An idempotency key is free again: surely nothing was run under it.
    FreeKey { key: Name, holder: Name },
    /// A finished job is no longer kept.
    Forget { job: JobId },
    /// The version of the VM list that the owner goes by.
    List { rev: u64 },
    /// Keys taken before this time are no longer kept.
    ForgetKeys { before: Millis },
}

/// Counts of a job's tasks by state, and what the caller asked for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job.
    pub job: JobId,
    /// What was asked for.
    pub spec: JobSpec,
    /// When it was accepted.
    #[serde(rename = "at")]
    pub accepted_at: Millis,
    /// Whether it was withdrawn.
    pub cancelled: bool,
    /// Tasks waiting.
    pub queued: u32,
    /// Tasks bound to a worker and not known to have ended.
    pub running: u32,
    /// Ended tasks by outcome.
    pub ended: Vec<(TaskOutcome, u32)>,
    /// Why it waits, if it does.
    #[serde(rename = "why")]
    pub wait_reason: String,
}
