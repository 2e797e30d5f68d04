//! Event trace of a process. A hybrid logical clock stamps the events, so that the traces of several processes
//! can be merged into one timeline.

use crate::clock::Millis;
use crate::id::{EntryId, JobId, Name, TaskId};
use crate::job::TaskOutcome;
use crate::size::Size;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::fmt;
use std::sync::{Mutex, PoisonError};

/// Maximum number of events that a process keeps.
const MAX_EVENTS: usize = 200_000;
/// Number of low bits of a stamp that hold the counter; the bits above hold milliseconds.
const COUNTER_BITS: u32 = 16;

/// A timestamp of a hybrid logical clock: milliseconds in the high bits, a counter in the low bits.
/// Stamps received from other processes advance the clock, so an effect has a later stamp than its cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Stamp(pub u64);

impl Stamp {
    /// The wall-clock part of the stamp.
    pub fn millis(self) -> Millis {
        Millis(self.0 >> COUNTER_BITS)
    }
}

/// Kinds of events with their data.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum EventKind {
    /// A process started to serve.
    #[serde(rename = "up")]
    ProcessStarted { role: Name },
    /// A process began its planned shutdown.
    #[serde(rename = "stopping")]
    ProcessStopping,
    /// The process activated a table.
    #[serde(rename = "table-in-force")]
    TableActivated { rev: u64, by: Name },
    /// The process read its claim on a shard back from the log as the first of the epoch, and so won the
    /// election.
    #[serde(rename = "elected")]
    ElectionWon { shard: Name, epoch: u64 },
    /// An owner has the complete state of the shard and starts to schedule.
    #[serde(rename = "took-office")]
    OwnershipTaken { shard: Name, epoch: u64, from: Name },
    /// An owner handed a shard over to a replica for the rest of the epoch.
    #[serde(rename = "handed-over")]
    OwnershipHandedOver { shard: Name, epoch: u64, to: Name },
    /// A replica continues as the owner for the rest of an epoch that `from` handed over.
    #[serde(rename = "succeeded")]
    OwnershipContinued { shard: Name, epoch: u64, from: Name },
    /// An owner learned of a later epoch and lost its ownership.
    #[serde(rename = "deposed")]
    OwnershipLost { shard: Name, epoch: u64 },
    /// A replica refuses messages of earlier epochs from now on.
    #[serde(rename = "sealed")]
    EpochSealed { shard: Name, epoch: u64 },
    /// A job was accepted.
    #[serde(rename = "submitted")]
    JobSubmitted { job: JobId, kind: Name, tasks: u32, repeat: bool },
    /// A job was refused.
    #[serde(rename = "refused")]
    JobRefused { job: JobId, reason: Name },
    /// A job was cancelled by its caller.
    #[serde(rename = "cancelled")]
    JobCancelled { job: JobId },
    /// A task was bound to a worker.
    #[serde(rename = "bound")]
    TaskBound { task: TaskId, worker: Name, epoch: u64, waited: Millis },
    /// A start order was sent to a worker.
    StartSent { task: TaskId, worker: Name, owner: EntryId },
    /// The owner recorded the end of a task.
    #[serde(rename = "ended")]
    TaskEnded { task: TaskId, outcome: TaskOutcome },
    /// A task was queued again with its next attempt.
    #[serde(rename = "requeued")]
    TaskRequeued { task: TaskId },
    /// A worker started a task.
    #[serde(rename = "worker-started")]
    WorkerStartedTask { task: TaskId, size: Size, total: Size, repeat: bool },
    /// A worker stopped running a task.
    #[serde(rename = "worker-ended")]
    WorkerEndedTask { task: TaskId, outcome: TaskOutcome },
    /// A worker process started, and tasks of an earlier process are gone.
    #[serde(rename = "worker-up")]
    WorkerRestarted { total: Size },
    /// A request was received.
    #[serde(rename = "request-in")]
    RequestReceived { request: Name, kind: Name, repeat: bool },
    /// A request was sent to a runner.
    RequestSent { request: Name, runner: Name },
    /// A request got its final response, with its status and whether the request may have run.
    #[serde(rename = "request-out")]
    RequestAnswered { request: Name, status: u16, run: Name, waited: Millis },
    /// A runner ran a request.
    RunnerRan { request: Name },
    /// A connection to another entry was opened, with the negotiated message version.
    PeerConnected { peer: Name, version: u8 },
    /// The process learned that a VM is leaving.
    #[serde(rename = "leaving")]
    VmLeaving { vm: Name },
    /// A worker gets no new tasks because its tasks keep failing.
    #[serde(rename = "set-aside")]
    WorkerSetAside { worker: Name },
    /// The platform's log or VM list became unreachable, or reachable again.
    #[serde(rename = "platform")]
    PlatformStatus { part: Name, up: bool },
    /// An event kind of a newer version, unknown to this one.
    #[serde(other)]
    Other,
}

impl EventKind {
    /// Log level of the event. Events that occur for each task or request have the debug level.
    fn log_level(&self) -> log::Level {
        match self {
            Self::OwnershipLost { .. }
            | Self::WorkerSetAside { .. }
            | Self::PlatformStatus { up: false, .. } => log::Level::Warn,
            Self::ProcessStarted { .. }
            | Self::ProcessStopping
            | Self::TableActivated { .. }
            | Self::ElectionWon { .. }
            | Self::OwnershipTaken { .. }
            | Self::OwnershipHandedOver { .. }
            | Self::OwnershipContinued { .. }
            | Self::EpochSealed { .. }
            | Self::VmLeaving { .. }
            | Self::PeerConnected { .. }
            | Self::PlatformStatus { .. } => log::Level::Info,
            _ => log::Level::Debug,
        }
    }
}

/// An event of a process's trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Timestamp of the event.
    pub at: Stamp,
    /// Process that recorded the event.
    #[serde(rename = "who")]
    pub process: Name,
    /// Kind and data of the event.
    #[serde(flatten)]
    pub kind: EventKind,
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at={} who={}", self.at.0, self.process)?;
        let Ok(serde_json::Value::Object(fields)) = serde_json::to_value(&self.kind) else {
            return Err(fmt::Error);
        };
        if let Some(name) = fields.get("event").and_then(|name| name.as_str()) {
            write!(f, " event={name}")?;
        }
        for (key, value) in fields.iter().filter(|(key, _)| *key != "event") {
            write_pair(f, key, value)?;
        }
        Ok(())
    }
}

fn write_pair(f: &mut fmt::Formatter<'_>, key: &str, value: &serde_json::Value) -> fmt::Result {
    match value {
        serde_json::Value::String(text) => write!(f, " {key}={text}"),
        serde_json::Value::Object(map) if key == "task" => {
            let part = |name| map.get(name).map(ToString::to_string).unwrap_or_default();
            let job = part("job");
            write!(f, " task={}/{}#{}", job.trim_matches('"'), part("index"), part("attempt"))
        }
        other => write!(f, " {key}={other}"),
    }
}

#[derive(Debug, Default)]
struct Events {
    last_stamp: Stamp,
    events: VecDeque<Event>,
}

/// Event trace of one process.
#[derive(Debug)]
pub struct Trace {
    process: Name,
    inner: Mutex<Events>,
}

impl Trace {
    /// Creates an empty trace for a process.
    pub fn new(process: Name) -> Self {
        Self { process, inner: Mutex::default() }
    }

    /// Records an event and writes it to the log.
    pub fn record(&self, kind: EventKind) {
        let at = self.stamp();
        let event = Event { at, process: self.process.clone(), kind };
        log::log!(event.kind.log_level(), "{event}");
        let mut inner = self.lock();
        inner.events.push_back(event);
        if inner.events.len() > MAX_EVENTS {
            inner.events.pop_front();
        }
    }

    /// Returns a new stamp, later than all stamps returned or observed before.
    pub fn stamp(&self) -> Stamp {
        let now = Stamp(Millis::now().0 << COUNTER_BITS);
        let mut inner = self.lock();
        inner.last_stamp = now.max(Stamp(inner.last_stamp.0 + 1));
        inner.last_stamp
    }

    /// Advances the clock past a stamp from another process.
    pub fn observe(&self, stamp: Stamp) {
        let mut inner = self.lock();
        inner.last_stamp = inner.last_stamp.max(stamp);
    }

    /// Returns the events after `since`, at most `max` of them.
    pub fn events_after(&self, since: Stamp, max: usize) -> Vec<Event> {
        let inner = self.lock();
        let start = inner.events.partition_point(|event| event.at <= since);
        inner.events.iter().skip(start).take(max).cloned().collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Events> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
