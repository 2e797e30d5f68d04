//! Messages between the owner of a cell and its workers: worker registrations, orders and reports.

use crate::clock::Millis;
use crate::id::Name;
use crate::workload::{Resources, TaskKey};
use serde::{Deserialize, Serialize};
use std::fmt;

/// One run of a worker process, from its start to its exit. A restarted worker may keep its id, and then only
/// the start time tells the two processes apart. The start time is wall-clock time, which can be set back, so
/// start times are compared for equality only; the order of two incarnations follows from their reports.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "Name", into = "Name")]
pub struct Incarnation {
    /// The worker's id.
    pub id: Name,
    /// Start time of the process; `None` if the worker did not report one.
    pub started_at: Option<Millis>,
}

impl Incarnation {
    /// Whether the two are known to be different incarnations. False if they have the same id and a start
    /// time is unknown.
    pub fn differs_from(&self, other: &Self) -> bool {
        self.id != other.id || start_times_differ(self.started_at, other.started_at)
    }
}

/// Whether both start times are known and different.
pub fn start_times_differ(one: Option<Millis>, other: Option<Millis>) -> bool {
    matches!((one, other), (Some(one), Some(other)) if one != other)
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.started_at {
            Some(started_at) => write!(f, "{}@{started_at}", self.id),
            None => write!(f, "{}", self.id),
        }
    }
}

impl From<Incarnation> for Name {
    fn from(incarnation: Incarnation) -> Self {
        incarnation.to_string().into()
    }
}

/// Records of versions that didn't store start times hold the id alone.
impl From<Name> for Incarnation {
    fn from(text: Name) -> Self {
        let parts = text.rsplit_once('@').and_then(|(id, start)| Some((id, start.parse().ok()?)));
        match parts {
            Some((id, start)) => Self { id: id.into(), started_at: Some(Millis(start)) },
            None => Self { id: text, started_at: None },
        }
    }
}

/// A worker's registration in the platform's list of workers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// Worker id. A restarted worker may keep it.
    pub id: Name,
    /// Start time of its process by its wall clock; distinguishes two incarnations with the same id.
    pub started_at: Option<Millis>,
    /// Service that the worker belongs to.
    pub service: Name,
    /// Address of the worker's API.
    pub addr: Name,
    /// Failure domain that the worker runs in.
    pub domain: Name,
    /// Total resources that the worker offers to tasks.
    pub capacity: Resources,
    /// Labels: the worker's kind first, then its rack.
    pub labels: Vec<Name>,
    /// Set while the worker is draining and accepts no new tasks: the minimum time until it exits.
    pub leaves_in: Option<Millis>,
}

impl WorkerInfo {
    /// The incarnation of the worker that made this registration.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { id: self.id.clone(), started_at: self.started_at }
    }

    /// The worker's rack, which is the second label.
    pub fn rack(&self) -> Option<&Name> {
        self.labels.get(1)
    }
}

/// Why a run of a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndReason {
    /// The task completed.
    Done,
    /// The task failed, through its own fault or the worker's.
    Failed,
    /// The worker received an order to stop the run.
    Stopped,
    /// The run's lease expired.
    LeaseExpired,
    /// Another task of the gang ended.
    GangBroken,
    /// The other tasks of the gang did not start in time.
    GangIncomplete,
}

/// A run in progress, as the worker reports it.
#[derive(Debug, Clone, PartialEq)]
pub struct RunningTask {
    /// Task that runs.
    pub task: TaskKey,
    /// Number of the run, which identifies one start of the task.
    pub run: u64,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: Name,
    /// Pace at which the run may work, in percent of full speed.
    pub pace_percent: u32,
    /// For a serving task its tail latency in milliseconds, for other tasks their CPU usage in
    /// thousandths of a core. Absent in the first half second of a run.
    pub gauge: Option<f64>,
}

/// A run that has ended, as the worker reports it.
#[derive(Debug, Clone, PartialEq)]
pub struct EndedTask {
    /// Sequence number, counted from 1 within a worker's incarnation.
    pub seq: u64,
    /// Task that ran.
    pub task: TaskKey,
    /// Number of the run, which identifies one start of the task.
    pub run: u64,
    /// Why the run ended.
    pub reason: EndReason,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: Name,
}

/// A worker's report of its running tasks and of those that ended.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WorkerReport {
    /// Start time of the reporting process.
    pub started_at: Option<Millis>,
    /// Reading of the worker's own clock, in milliseconds.
    pub clock: u64,
    /// Runs in progress.
    pub running: Vec<RunningTask>,
    /// Ended runs that the owner has not yet confirmed, in order of their sequence numbers.
    pub ended: Vec<EndedTask>,
    /// Whether more runs may have ended than `ended` lists. A run that is neither in `running` nor
    /// in `ended` may be one of them.
    pub has_more_ends: bool,
}

/// Why a worker refused an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The worker has seen a higher fencing token.
    StaleFence,
    /// A run of this task with the same or a higher number was already stopped, or ended, at the worker.
    StaleRun,
    /// The lease in the order had expired.
    LeaseExpired,
    /// The worker lacks free resources for the task.
    NoCapacity,
    /// The advice service's ticket is not valid.
    InvalidTicket,
    /// The worker is unhealthy and did not process the order.
    Unhealthy,
    /// Another incarnation uses this address: the addressed one has ended.
    OtherIncarnation,
    /// The order is malformed, or refers to something unknown to the worker.
    Malformed,
}

/// The outcome of an order, as far as its sender knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The worker carried it out; holds the worker's clock reading if the reply had one.
    Done(Option<u64>),
    /// The worker refused it and will not carry it out.
    Refused(Refusal),
    /// Not sent, because no connection to the worker could be made.
    Unsent,
    /// Not sent, because the state that the order was based on was too old.
    Withheld,
    /// Unknown: the worker may have carried it out, or may do so later.
    Unknown,
}

/// An order to start a run.
#[derive(Debug, Clone, PartialEq)]
pub struct StartOrder {
    /// Task to start.
    pub task: TaskKey,
    /// Number of the run, which identifies this start of the task.
    pub run: u64,
    /// The job's payload, which the task is started with.
    pub payload: Name,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: Name,
    /// Ticket of the advice service; empty if the queue needs none.
    pub ticket: Name,
}

/// Why a request for a worker's report failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReportError {
    /// The worker refused the request.
    Refused(Refusal),
    /// No reply, or one that can't be parsed.
    NoReply(String),
}

/// The workers that the advice service has approved for a step.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ClearedWorkers {
    /// Approved workers, each with its ticket.
    pub tickets: Vec<(Name, Name)>,
    /// Validity of the tickets, if the service states it.
    pub valid_for: Option<Millis>,
}

/// How old an answer of the advice service is when the owner handles it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct AdviceAge {
    /// Time since the request was sent to the service.
    pub request: Millis,
    /// Time since the service answered.
    pub answer: Millis,
}
