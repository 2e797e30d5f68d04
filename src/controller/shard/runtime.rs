//! Data of a shard owner that is not replicated.

use crate::clock::Millis;
use crate::controller::place::Ledger;
use crate::controller::shard::event::Answer;
use crate::id::{Name, TaskId};
use crate::size::Size;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// An effect that is held back until every replica holds its state change.
#[derive(Debug, Clone)]
pub(super) enum Effect {
    /// Send the start of a task.
    Start(TaskId),
    /// Send the stop of a task.
    Stop(TaskId),
    /// Stop a task that runs on a worker to which it is not bound.
    StopUnbound { worker: Name, task: TaskId },
    /// Let a worker forget ended tasks that are not bound to it.
    ForgetTasks { worker: Name, tasks: Vec<TaskId> },
    /// Reply to a caller.
    Reply { token: u64, answer: Answer },
}

/// Why a running task is being stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StopReason {
    /// A caller cancelled its job.
    Cancel,
    /// The task should go back to the queue, because its worker refused it or its gang starts
    /// again.
    Restart,
}

/// The unreplicated data of a bound task.
#[derive(Debug, Clone)]
pub(super) struct TaskRuntime {
    pub worker: Name,
    pub kind: Name,
    pub team: Name,
    pub size: Size,
    /// Set once the task is being stopped.
    pub stop_reason: Option<StopReason>,
    /// Whether this owner bound the task, so that no other entry ever sent a start for it.
    pub bound_here: bool,
    /// Whether this owner sent a start, or a former owner may have.
    pub start_sent: bool,
    /// When the worker last reported the task as running.
    pub last_seen: Option<Millis>,
    /// When the last start or stop was sent.
    pub last_command: Millis,
}

/// An ended task that its worker must not forget yet.
#[derive(Debug, Clone)]
pub(super) struct EndedTask {
    /// Whether this owner bound the task, so that no other entry ever sent a start for it.
    pub bound_here: bool,
    /// The state change that must be committed before the worker may forget the task.
    pub seq: u64,
}

/// A worker of the shard.
#[derive(Debug)]
pub(super) struct Worker {
    pub addr: Name,
    pub ledger: Ledger,
    pub tasks: BTreeSet<TaskId>,
    /// Tasks that run here although they are not bound to this worker, with kind and size.
    pub unbound_tasks: BTreeMap<TaskId, (Name, Size)>,
    /// Ended tasks that the worker may forget; sent with the next sync order.
    pub acks: Vec<TaskId>,
    /// The worker's run, which changes when it restarts.
    pub incarnation: u64,
    /// When its last report arrived.
    pub last_report: Option<Millis>,
    /// Whether the VM is about to be removed.
    pub leaving: bool,
}

/// Numbers of tasks of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Waiting tasks.
    pub waiting: u32,
    /// Tasks bound to a worker.
    pub running: u32,
    /// Processors that the waiting tasks need together, in thousandths of a core.
    pub backlog: u64,
}

impl Load {
    /// Counts new waiting tasks that need `cpu` each.
    pub(super) fn add_waiting(&mut self, tasks: u32, cpu: u32) {
        self.waiting += tasks;
        self.backlog += tasks as u64 * cpu as u64;
    }

    /// Removes tasks that no longer wait.
    pub(super) fn remove_waiting(&mut self, tasks: u32, cpu: u32) {
        self.waiting = self.waiting.saturating_sub(tasks);
        self.backlog = self.backlog.saturating_sub(tasks as u64 * cpu as u64);
    }
}
