//! The log of what workers ran, and the capacities that they had.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Time after a reduction of a worker's capacity from which starts over it count as a fault, by the
/// platform's contract.
pub const SHRINK_GRACE: Duration = Duration::from_millis(4_500);

/// An event in the run log of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEvent {
    /// A run was started with this text.
    Start(String),
    /// A run ended with this outcome; `crashed` if its worker crashed.
    End(&'static str),
    /// The CPU capacity, in thousandths of a core, that counts from now on. The record names no
    /// task.
    Resized(u64),
    /// The end of a run was confirmed; `lapsed`: the lease had expired since that end.
    Confirm { lapsed: bool },
}

/// An event of a worker, in the order over all workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRecord {
    /// The worker's id.
    pub worker: String,
    /// The task.
    pub task: String,
    /// The run number.
    pub run: u64,
    /// The event.
    pub event: RunEvent,
    /// The time of the event.
    pub at: Instant,
}

/// Log of the events of all workers of a site.
#[derive(Debug, Default)]
pub struct RunLog(Mutex<Vec<RunRecord>>);

impl RunLog {
    /// Appends a record.
    pub fn add(&self, entry: RunRecord) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(entry);
    }

    /// The records from index `from` on.
    pub fn since(&self, from: usize) -> Vec<RunRecord> {
        let entries = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        entries.get(from..).map(<[RunRecord]>::to_vec).unwrap_or_default()
    }
}

/// The capacities that a worker had, which count for a while after each change.
#[derive(Debug, Default)]
pub struct CapacityHistory(Vec<(Instant, u64)>);

impl CapacityHistory {
    /// Notes that the worker had this CPU capacity until `now`.
    pub fn add(&mut self, now: Instant, cpu: u64) {
        self.0.retain(|(until, _)| *until > now);
        self.0.push((now + SHRINK_GRACE, cpu));
    }

    /// The CPU capacity from which on a start counts as a fault, if the current one is `cpu`.
    pub fn allowed(&self, now: Instant, cpu: u64) -> u64 {
        let former = self.0.iter().filter(|(until, _)| *until > now);
        former.map(|(_, cpu)| *cpu).fold(cpu, u64::max)
    }
}
