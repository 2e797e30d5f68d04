//! The messages of the platform's log and list, of workers and of runners, as JSON over HTTP.

use crate::clock::Millis;
use crate::id::{Name, TaskId};
use crate::job::TaskOutcome;
use crate::size::Size;
use crate::trace::Stamp;
use serde::{Deserialize, Serialize};

/// A reader asks for records from an offset on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadRequest {
    /// The first offset wanted.
    pub from: u64,
    /// The most records to return.
    pub max: u32,
    /// How long to wait for a record if there is none, in milliseconds.
    pub wait: Millis,
}

/// One record of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Its place.
    pub offset: u64,
    /// What was appended.
    pub data: String,
}

/// What a reader gets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadReply {
    /// The oldest offset still kept.
    pub first: u64,
    /// The offset that the next append will get.
    pub next: u64,
    /// Records in order.
    pub records: Vec<LogRecord>,
}

/// The reply to an append.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// The place of the new record.
    pub offset: u64,
}

/// An order to start a task. A repeated order for a task that the worker knows has no effect.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StartOrder {
    /// The task.
    pub task: TaskId,
    /// The kind of work.
    pub kind: Name,
    /// What the task was given.
    pub size: Size,
    /// How long it is declared to run; 0: until it is stopped.
    pub run: Millis,
    /// Whether it may be repeated; for the time line.
    pub repeat: bool,
    /// How long it may run without renewal.
    pub lease: Millis,
    /// The sender's clock.
    pub stamp: Stamp,
}

/// A worker's answer about one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskReply {
    /// It runs.
    Running,
    /// It ended, now or earlier.
    Ended(TaskOutcome),
    /// The worker would not start it.
    Refused,
}

/// An order to stop a task. The worker remembers it: a later start has no effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopOrder {
    /// The task.
    pub task: TaskId,
}

/// Leases to renew and ended tasks that the worker may forget.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncOrder {
    /// Tasks to keep running.
    pub renew: Vec<TaskId>,
    /// Ended tasks to forget.
    pub ack: Vec<TaskId>,
    /// The lease from now on.
    pub lease: Millis,
}

/// A task that runs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Running {
    /// The task.
    pub task: TaskId,
    /// The kind of work.
    pub kind: Name,
    /// What it was given.
    pub size: Size,
    /// What it uses, with a lag.
    pub usage: Size,
}

/// What a worker runs and has finished but may not forget yet.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The worker's incarnation: its start time.
    pub inc: u64,
    /// Tasks that run.
    pub running: Vec<Running>,
    /// Tasks that ended.
    pub ended: Vec<(TaskId, TaskOutcome)>,
}
