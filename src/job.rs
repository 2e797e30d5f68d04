//! Jobs and tasks as they appear in the API, between entries and in the platform's log.

use crate::clock::Millis;
use crate::id::{EntryId, JobId, Name, TaskId};
use crate::size::Size;
use serde::{Deserialize, Serialize};

/// Maximum number of tasks of one job.
pub const MAX_TASKS: u32 = 10_000;

/// A job as its caller submits it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Kind of work: a row of the table.
    pub kind: Name,
    /// Team that submits the job.
    pub team: Name,
    /// Number of tasks.
    pub tasks: u32,
    /// Whether the tasks are a gang, which must run all at the same time.
    pub gang: bool,
    /// Resources of each task.
    pub size: Size,
    /// Declared run time of a task, in milliseconds; 0 for a service.
    #[serde(rename = "run")]
    pub run_time: Millis,
    /// Whether a task may be started again once it has been started.
    #[serde(rename = "repeat")]
    pub repeatable: bool,
}

/// Final state of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskOutcome {
    /// It completed successfully.
    Done,
    /// It ran and failed.
    Failed,
    /// It was cancelled before it was started.
    Cancelled,
    /// It was stopped while it ran, or its lease expired.
    Stopped,
    /// Unknown whether it ran: its worker is gone, and the task must not be repeated.
    Unknown,
}

/// Where an accepted job is stored durably.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobStorage {
    /// In the platform's log: the record was read back.
    Log,
    /// At every replica of its shard, because the log was unreachable.
    Peer,
}

/// A change of a shard's replicated state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum StateChange {
    /// Changes nothing. Its arrival at all replicas proves that its sender still owns the shard.
    Barrier,
    /// After a rebuild of the state, all workers have reported what they run.
    Rebuilt,
    /// A job was accepted.
    Submit { job: JobId, spec: JobSpec, at: Millis },
    /// A task is about to be started on a worker, and must not be started on any other one.
    Bind {
        task: TaskId,
        worker: Name,
        #[serde(rename = "inc")]
        incarnation: u64,
        owner: EntryId,
    },
    /// A task reached its final state.
    Finish { task: TaskId, outcome: TaskOutcome },
    /// An attempt at a task is known to be over, and the task is queued for the next attempt.
    Requeue { task: TaskId },
    /// The caller cancelled the job.
    Cancel { job: JobId },
    /// An idempotency key was taken by `holder`.
    Key { key: Name, holder: Name, at: Millis },
    /// An idempotency key was released, because it is known that nothing ran under it.
    FreeKey { key: Name, holder: Name },
    /// A finished job was deleted.
    Forget { job: JobId },
    /// Revision of the VM list that the owner uses.
    List { rev: u64 },
    /// Idempotency keys taken before this time were deleted.
    ForgetKeys { before: Millis },
}

/// A job's definition and the number of its tasks in each state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job.
    pub job: JobId,
    /// Definition of the job.
    pub spec: JobSpec,
    /// Time at which the job was accepted.
    #[serde(rename = "at")]
    pub accepted_at: Millis,
    /// Whether the job was cancelled.
    pub cancelled: bool,
    /// Number of queued tasks.
    pub queued: u32,
    /// Number of tasks that are bound to a worker and not known to have ended.
    pub running: u32,
    /// Number of ended tasks by outcome.
    pub ended: Vec<(TaskOutcome, u32)>,
    /// Why the job's queued tasks wait; empty if none does.
    #[serde(rename = "why")]
    pub wait_reason: String,
}
