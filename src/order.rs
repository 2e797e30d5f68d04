//! Workers, and the orders and reports that pass between an owner and a worker.

use crate::clock::Millis;
use crate::id::Name;
use crate::workload::{Resources, TaskKey};
use serde::{Deserialize, Serialize};
use std::fmt;

/// One life of a worker, from a start of its process to its end. A restarted worker may keep its id: then
/// only the time of its start tells the two apart. That is by a time of day that may be stepped back, so
/// starts are compared for equality; reports tell which life is the later one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "Name", into = "Name")]
pub struct Incarnation {
    /// The worker's id.
    pub id: Name,
    /// When the process started; `None`: it did not tell.
    pub started_at: Option<Millis>,
}

impl Incarnation {
    /// Whether both are surely not the same life.
    pub fn differs_from(&self, other: &Self) -> bool {
        self.id != other.id || start_times_differ(self.started_at, other.started_at)
    }
}

/// Whether two processes surely started at different times.
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

/// Records of versions that knew no starts have the id alone.
impl From<Name> for Incarnation {
    fn from(text: Name) -> Self {
        let parts = text.rsplit_once('@').and_then(|(id, start)| Some((id, start.parse().ok()?)));
        match parts {
            Some((id, start)) => Self { id: id.into(), started_at: Some(Millis(start)) },
            None => Self { id: text, started_at: None },
        }
    }
}

/// A worker as it lists itself.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerInfo {
    /// Its id. A restarted worker may keep it.
    pub id: Name,
    /// When its process started, by its time of day: tells two lives with one id apart.
    pub started_at: Option<Millis>,
    /// The service it belongs to.
    pub service: Name,
    /// Where it is called.
    pub addr: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Its room.
    pub capacity: Resources,
    /// Its kind and its rack.
    pub labels: Vec<Name>,
    /// It takes nothing new: the least time until it leaves.
    pub leaves_in: Option<Millis>,
}

impl WorkerInfo {
    /// The life that lists itself.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { id: self.id.clone(), started_at: self.started_at }
    }

    /// Its rack: the second of its labels.
    pub fn rack(&self) -> Option<&Name> {
        self.labels.get(1)
    }
}

/// How a run of a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndReason {
    /// As it should.
    Done,
    /// By its own fault or the worker's.
    Failed,
    /// It was told to.
    Stopped,
    /// Its lease ran out.
    LeaseExpired,
    /// Another member of its gang ended.
    GangBroken,
    /// The other members of its gang did not come in time.
    GangIncomplete,
}

/// A run that goes on.
#[derive(Debug, Clone, PartialEq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskKey,
    /// The number of its start.
    pub run: u64,
    /// Its saved progress; empty: none.
    pub checkpoint: Name,
    /// The share at which it may work, in hundredths.
    pub pace_percent: u32,
    /// For a task that serves, the tail of its answers in milliseconds; else the processors in
    /// use, in thousandths of a core. Absent in the first half second.
    pub gauge: Option<f64>,
}

/// A run that ended.
#[derive(Debug, Clone, PartialEq)]
pub struct EndedTask {
    /// Rises from 1 within a worker's life.
    pub seq: u64,
    /// The task.
    pub task: TaskKey,
    /// The number of its start.
    pub run: u64,
    /// How.
    pub reason: EndReason,
    /// Its saved progress; empty: none.
    pub checkpoint: Name,
}

/// What a worker tells of itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WorkerReport {
    /// When the process that reports started.
    pub started_at: Option<Millis>,
    /// The worker's own clock.
    pub clock: u64,
    /// What runs.
    pub running: Vec<RunningTask>,
    /// What ended and was not yet confirmed, in order.
    pub ended: Vec<EndedTask>,
}

/// Why an order was not followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// A higher fence was seen.
    StaleFence,
    /// A run that is not lower was stopped or ended there.
    StaleRun,
    /// The lease in the order had run out.
    LeaseExpired,
    /// No room.
    NoCapacity,
    /// The ticket does not hold.
    InvalidTicket,
    /// The worker is unwell and did nothing.
    Unhealthy,
    /// Another life is at this address: the one that was meant is over.
    OtherIncarnation,
    /// The order is malformed, or names what the worker does not know.
    Malformed,
}

/// What became of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It was followed; the worker's clock if it told.
    Done(Option<u64>),
    /// It was not followed, and won't be.
    Refused(Refusal),
    /// Nothing was sent: the worker could not be reached.
    Unsent,
    /// Nothing was sent: what the order rested on was too old.
    Withheld,
    /// It may have been followed, or may be later.
    Unknown,
}

/// An order to start a run.
#[derive(Debug, Clone, PartialEq)]
pub struct StartOrder {
    /// The task.
    pub task: TaskKey,
    /// The number of the start.
    pub run: u64,
    /// The job's text.
    pub payload: Name,
    /// Saved progress to go on from; empty: none.
    pub checkpoint: Name,
    /// The advice service's ticket; empty: none.
    pub ticket: Name,
}

/// Why a worker's report could not be had.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReportError {
    /// The worker refused.
    Refused(Refusal),
    /// No answer, or one that cannot be read.
    NoReply(String),
}

/// The workers that the advice service cleared for a step.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ClearedWorkers {
    /// Workers and their tickets.
    pub tickets: Vec<(Name, Name)>,
    /// How long the tickets hold, if the service says.
    pub valid_for: Option<Millis>,
}
