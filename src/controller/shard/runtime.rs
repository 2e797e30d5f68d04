//! What the owner of a shard knows besides the replicated book.

use crate::clock::Millis;
use crate::controller::place::Ledger;
use crate::controller::shard::event::Answer;
use crate::id::{Name, TaskId};
use crate::size::Size;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What waits until every replica holds a note.
#[derive(Debug, Clone)]
pub(super) enum Effect {
    Start(TaskId),
    Stop(TaskId),
    /// Stop a task that is not bound to this worker.
    StopUnbound {
        worker: Name,
        task: TaskId,
    },
    /// Let a worker forget ended tasks that are not in the book.
    ForgetTasks {
        worker: Name,
        tasks: Vec<TaskId>,
    },
    Reply {
        token: u64,
        answer: Answer,
    },
}

/// Why a running task is being stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StopReason {
    Cancel,
    Restart,
}

/// What the owner knows of a bound task besides the book.
#[derive(Debug, Clone)]
pub(super) struct TaskRuntime {
    pub worker: Name,
    pub kind: Name,
    pub team: Name,
    pub size: Size,
    pub stop_reason: Option<StopReason>,
    /// Bound since this entry became owner: no other entry ever sent a start for it.
    pub bound_here: bool,
    /// A start was sent at least once, or may have been by a former owner.
    pub start_sent: bool,
    /// When the worker last said that it runs the task.
    pub last_seen: Option<Millis>,
    /// When the last start or stop was sent.
    pub last_command: Millis,
}

/// An ended task that its worker may not forget yet.
#[derive(Debug, Clone)]
pub(super) struct EndedTask {
    /// Bound since this entry became owner: no other entry ever sent a start for it.
    pub bound_here: bool,
    pub seq: u64,
}

/// A worker as the owner sees it.
#[derive(Debug)]
pub(super) struct Worker {
    pub addr: Name,
    pub ledger: Ledger,
    pub tasks: BTreeSet<TaskId>,
    /// Running tasks that the book does not have there.
    pub unbound_tasks: BTreeMap<TaskId, (Name, Size)>,
    /// Ended tasks to be forgotten at the next contact.
    pub acks: Vec<TaskId>,
    pub incarnation: u64,
    pub last_report: Option<Millis>,
    pub leaving: bool,
}

/// Tasks of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Waiting.
    pub waiting: u32,
    /// Bound to a worker.
    pub running: u32,
    /// Processors that the waiting tasks need, in thousandths of a core.
    pub backlog: u64,
}

impl Load {
    /// More tasks wait, each for this many processors.
    pub(super) fn add_waiting(&mut self, tasks: u32, cpu: u32) {
        self.waiting += tasks;
        self.backlog += tasks as u64 * cpu as u64;
    }

    /// Tasks wait no longer.
    pub(super) fn remove_waiting(&mut self, tasks: u32, cpu: u32) {
        self.waiting = self.waiting.saturating_sub(tasks);
        self.backlog = self.backlog.saturating_sub(tasks as u64 * cpu as u64);
    }
}
