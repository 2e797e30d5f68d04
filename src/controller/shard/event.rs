//! Events that a shard owner takes and actions that it returns.

use crate::clock::Millis;
use crate::controller::list::Vm;
use crate::controller::quota::Limit;
use crate::id::{EntryId, JobId, Name, TaskId};
use crate::job::{JobSpec, JobStatus};
use crate::platform::api::{Report, StartOrder, TaskReply};
use crate::record::Record;
use crate::table::Table;
use crate::trace::EventKind;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Why a job was refused. None of its tasks ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The table has no row for this kind of work, or the row is for requests and not for tasks.
    UnknownKind,
    /// The row of this kind belongs to another team.
    WrongTeam,
    /// The job has no tasks, more than [`MAX_TASKS`](crate::job::MAX_TASKS), or tasks of size zero.
    BadSize,
    /// The workers of this shard are too small for a task, or together for the whole gang.
    NeverFits,
    /// The queue of this kind has no place for so many tasks.
    QueueFull,
    /// The owner knows no worker of this shard yet.
    NoWorkers,
}

/// The answer to a request of a caller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The job was accepted and is stored at every replica, or in the log if there are no replicas.
    Submitted { job: JobId },
    /// The job was refused.
    Refused(Refusal),
    /// The job was cancelled; holds its status.
    Cancelled(Box<JobStatus>),
    /// The shard has no such job.
    NotFound,
    /// The idempotency key was free and now belongs to the caller.
    KeyTaken,
    /// The idempotency key belongs to this holder already.
    KeyKnown(Name),
}

/// An event that the shard owner has to handle.
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller submits a job.
    Submit { token: u64, job: JobId, spec: JobSpec },
    /// A caller cancels a job.
    Cancel { token: u64, job: JobId },
    /// An entry takes an idempotency key.
    TakeKey { token: u64, key: Name, holder: Name },
    /// An entry releases a key because nothing was run under it.
    FreeKey { key: Name, holder: Name },
    /// Version `rev` of the VM list was read.
    WorkerList { rev: u64, vms: Vec<Vm> },
    /// A worker replied to a start or, if `stop`, to a stop; `None` if no reply arrived.
    CommandReply { task: TaskId, stop: bool, reply: Option<TaskReply> },
    /// A worker reported its tasks; `asked` is when the report was requested.
    Report { worker: Name, asked: Millis, report: Report },
    /// A replica holds the state changes of `epoch` up to number `seq`.
    Acked { replica: EntryId, epoch: u64, seq: u64 },
    /// A replica misses state changes and needs the full state.
    MissingChanges { replica: EntryId },
    /// The log holds the state changes of `epoch` up to number `seq`.
    Logged { epoch: u64, seq: u64 },
    /// The VM of an entry no longer exists.
    EntryGone(EntryId),
    /// A former owner knows that it was replaced and has no start in flight.
    OwnerFenced(EntryId),
    /// A new table took effect.
    Table(Arc<Table>),
    /// Shares of limits that their home shards granted to the owner of `epoch`.
    LimitShares { epoch: u64, parts: Vec<(Limit, u64)> },
    /// Append all open jobs to the log again, before log retention drops their records.
    RefreshLog,
    /// Periodic work: retries, expiry and scheduling.
    Tick,
}

/// What the entry has to do for the shard owner.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send pending state changes to the replicas or the log.
    Replicate,
    /// Send a start to a worker.
    Start { worker: Name, order: StartOrder },
    /// Send a stop to a worker.
    Stop { worker: Name, task: TaskId },
    /// Reply to the caller whose request carried `token`.
    Reply { token: u64, answer: Answer },
    /// Ask the home shards of limits for larger shares, because tasks wait for them.
    RequestShares,
    /// Append a record to the log without waiting for the write.
    Append(Record),
    /// Record an event of the timeline.
    Trace(EventKind),
}

/// The name of a refusal in API responses and in the timeline.
pub fn refusal_name(why: Refusal) -> Name {
    match why {
        Refusal::UnknownKind => "unknown-kind",
        Refusal::WrongTeam => "wrong-team",
        Refusal::BadSize => "bad-size",
        Refusal::NeverFits => "never-fits",
        Refusal::QueueFull => "queue-full",
        Refusal::NoWorkers => "no-workers",
    }
    .into()
}
