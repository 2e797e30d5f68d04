//! Estimates of the memory that jobs take, and the limit within which an owner accepts them.
//!
//! A job takes memory for its definition and for the tasks of the repetitions that are open. At
//! least one repetition counts from its submission on, so that an accepted job can always run. A job
//! that has ended takes memory until it is forgotten.

use crate::workload::{JobDefinition, Step};

/// The memory for a task with its run and the order to start it, in bytes.
const TASK_BYTES: u64 = 700;
/// The memory for a step of an open repetition beside its tasks, in bytes.
const STEP_BYTES: u64 = 500;
/// The memory for a step in the definition of a job beside its names and dependencies, in bytes.
const STEP_DEFINITION_BYTES: u64 = 250;
/// The memory for a job beside its definition, in bytes.
const JOB_BYTES: u64 = 1_000;
/// The memory for a job that has ended and of which only the end is kept, in bytes.
pub const CLOSED_JOB_BYTES: u64 = 500;
/// The part of the process's memory that jobs may take, in percent. The rest is for records and
/// messages that are being written, workers and connections.
const JOB_SHARE_PERCENT: u64 = 50;

/// The memory that jobs take and may take, in bytes.
#[derive(Debug, Clone, Copy)]
pub struct MemoryBudget {
    used: u64,
    limit: u64,
}

impl MemoryBudget {
    /// Creates the budget of a process that may use `bytes`, or any amount.
    pub fn new(bytes: Option<u64>) -> Self {
        let limit = bytes.map_or(u64::MAX, |bytes| bytes / 100 * JOB_SHARE_PERCENT);
        Self { used: 0, limit }
    }

    /// The memory that jobs take, in bytes.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Whether there is room for `bytes` more.
    pub fn has_room(&self, bytes: u64) -> bool {
        self.used.saturating_add(bytes) <= self.limit
    }

    /// Replaces what was charged for a job.
    pub fn replace(&mut self, before: u64, after: u64) {
        self.used = (self.used + after).saturating_sub(before);
    }
}

/// The memory for the definition of a job, in bytes.
pub fn definition_bytes(work: &JobDefinition) -> u64 {
    let steps = work.steps.iter().map(step_definition_bytes);
    JOB_BYTES + work.payload.len() as u64 + steps.sum::<u64>()
}

/// The memory for a step in the definition of a job, in bytes. Callers choose the names and the
/// dependencies of a step, which may be as long as a request. Each dependency is kept in both
/// directions.
fn step_definition_bytes(step: &Step) -> u64 {
    let names = [&step.required_label, &step.data_rack, &step.image];
    let name_bytes: usize = names.iter().map(|name| name.len()).sum();
    STEP_DEFINITION_BYTES + (name_bytes + 2 * size_of_val(&*step.dependencies)) as u64
}

/// The memory for one open repetition of a job, in bytes.
pub fn repetition_bytes(work: &JobDefinition) -> u64 {
    work.repetition_tasks() * TASK_BYTES + work.steps.len() as u64 * STEP_BYTES
}

/// The memory that has to be free for a job to be accepted, in bytes.
pub fn job_bytes(work: &JobDefinition) -> u64 {
    definition_bytes(work) + repetition_bytes(work)
}
