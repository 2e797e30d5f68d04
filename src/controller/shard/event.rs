//! What happens to the owner of a shard, and what it wants done.

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

/// Why a job was not accepted. None of it was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The table has no such kind of work, or it is not for tasks.
    UnknownKind,
    /// The row belongs to another team.
    WrongTeam,
    /// Too many tasks, none, or sizes of nothing.
    BadSize,
    /// No worker here is large enough.
    NeverFits,
    /// Too many wait already.
    QueueFull,
    /// No worker is known yet.
    NoWorkers,
}

/// The answer to a caller's event.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The job is held by every replica, or by the log if there is none.
    Submitted { job: JobId },
    /// The job was not accepted.
    Refused(Refusal),
    /// The job was withdrawn; its state.
    Cancelled(Box<JobStatus>),
    /// There is no such job.
    NotFound,
    /// The key was free and is taken now.
    KeyTaken,
    /// The key was taken before, by this holder.
    KeyKnown(Name),
}

/// What happens to the owner.
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller submits a job.
    Submit { token: u64, job: JobId, spec: JobSpec },
    /// A caller withdraws a job.
    Cancel { token: u64, job: JobId },
    /// An entry takes an idempotency key.
    Key { token: u64, key: Name, holder: Name },
    /// An entry gives a key back: surely nothing was run under it.
    FreeKey { key: Name, holder: Name },
    /// The workers of the shard, as the list has them now.
    Workers { rev: u64, vms: Vec<Vm> },
    /// A worker answered a start or a stop; `None`: no answer came.
    Told { task: TaskId, stop: bool, reply: Option<TaskReply> },
    /// A worker reports; `asked` is when it was asked.
    Report { worker: Name, asked: Millis, report: Report },
    /// A replica holds the notes of `epoch` up to `seq`.
    Acked { replica: EntryId, epoch: u64, seq: u64 },
    /// A replica lacks notes.
    Gap { replica: EntryId },
    /// The log holds the notes of `epoch` up to `seq`.
    Logged { epoch: u64, seq: u64 },
    /// An entry is gone for good.
    Gone(EntryId),
    /// A former owner has no start in flight and knows that it is deposed.
    Fenced(EntryId),
    /// A new table is in force.
    Table(Arc<Table>),
    /// Homes lent parts of limits to the owner of `epoch`.
    Parts { epoch: u64, parts: Vec<(Limit, u64)> },
    /// Append again what retention will drop.
    Refresh,
    /// Time passes.
    Tick,
}

/// What the shell has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// There are notes for replicas or the log.
    Replicate,
    /// Send a start to a worker.
    Start { worker: Name, order: StartOrder },
    /// Send a stop to a worker.
    Stop { worker: Name, task: TaskId },
    /// Answer a caller.
    Reply { token: u64, answer: Answer },
    /// Tasks wait for a larger part of a limit: ask its home.
    AskParts,
    /// Append a record to the log; nothing waits for it.
    Append(Record),
    /// Add to the time line.
    Trace(EventKind),
}

/// The name of a refusal in answers and the time line.
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
