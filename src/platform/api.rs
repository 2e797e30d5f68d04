//! The JSON messages exchanged over HTTP with the platform's log and with workers.

use crate::clock::Millis;
use crate::id::{Name, TaskId};
use crate::job::TaskOutcome;
use crate::size::Size;
use crate::trace::Stamp;
use serde::{Deserialize, Serialize};

/// A request for records of the log from an offset on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadRequest {
    /// The offset of the first record to return.
    pub from: u64,
    /// The maximum number of records to return.
    pub max: u32,
    /// How long to wait for a record if there is none yet, in milliseconds.
    pub wait: Millis,
}

/// One record of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// The offset of the record in the log.
    pub offset: u64,
    /// The data that was appended.
    pub data: String,
}

/// The response to a [`ReadRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadReply {
    /// The offset of the oldest remaining record.
    pub first: u64,
    /// The offset of the next record to be appended.
    pub next: u64,
    /// The records, in order of their offsets.
    pub records: Vec<LogRecord>,
}

/// The response to an append.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// The offset of the new record.
    pub offset: u64,
}

/// An order to start a task. It has no effect if the worker already knows the task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The task.
    pub task: TaskId,
    /// The kind of work.
    pub kind: Name,
    /// The resources allocated to the task.
    pub size: Size,
    /// The declared run time of the task; 0 if it runs until it is stopped.
    pub run: Millis,
    /// Whether the task may be repeated. Recorded in the timeline.
    pub repeat: bool,
    /// How long the task may run without a renewal of its lease.
    pub lease: Millis,
    /// The timestamp of the sender's clock.
    pub stamp: Stamp,
}

/// A worker's reply about one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskReply {
    /// The task is running.
    Running,
    /// The task has ended, now or earlier.
    Ended(TaskOutcome),
    /// The worker refused to start the task.
    Refused,
}

/// An order to stop a task. The worker remembers it, so a start order that arrives later has no effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopOrder {
    /// The task.
    pub task: TaskId,
}

/// An order to renew leases and to forget ended tasks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncOrder {
    /// The tasks whose leases to renew.
    pub renew: Vec<TaskId>,
    /// The ended tasks that the worker may forget.
    pub ack: Vec<TaskId>,
    /// The length of the renewed leases.
    pub lease: Millis,
}

/// A running task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Running {
    /// The task.
    pub task: TaskId,
    /// The kind of work.
    pub kind: Name,
    /// The resources allocated to the task.
    pub size: Size,
    /// The resources that the task uses, as of a moment ago.
    pub usage: Size,
}

/// A worker's report: its running tasks, and the ended tasks that it hasn't been told to forget.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The worker's incarnation, which is its start time.
    pub inc: u64,
    /// The running tasks.
    pub running: Vec<Running>,
    /// The ended tasks with their outcomes.
    pub ended: Vec<(TaskId, TaskOutcome)>,
}
