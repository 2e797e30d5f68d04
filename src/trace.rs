//! The time line: typed events of every process, ordered over all of them by a hybrid clock.

use crate::clock::Millis;
use crate::id::{EntryId, JobId, Name, TaskId};
use crate::job::TaskOutcome;
use crate::size::Size;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::fmt;
use std::sync::{Mutex, PoisonError};

/// How many events a process keeps.
const MAX_EVENTS: usize = 200_000;
/// Bits of a stamp below the milliseconds.
const COUNTER_BITS: u32 = 16;

/// A time stamp of a hybrid logical clock: milliseconds above a counter. Stamps received from
/// other processes move the clock on, so an effect is stamped later than its cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Stamp(pub u64);

impl Stamp {
    /// The milliseconds of the stamp.
    pub fn millis(self) -> Millis {
        Millis(self.0 >> COUNTER_BITS)
    }
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum EventKind {
    /// A process began to serve.
    #[serde(rename = "up")]
    ProcessStarted { role: Name },
    /// A process stops by plan.
    Stopping,
    /// A table is in force here.
    TableInForce { rev: u64, by: Name },
    /// A claim on a shard was read back and won.
    Elected { shard: Name, epoch: u64 },
    /// An owner has the shard's whole state and begins to decide.
    #[serde(rename = "took-office")]
    OwnershipTaken { shard: Name, epoch: u64, from: Name },
    /// An owner gave a shard up for the rest of its epoch, in favour of a replica.
    HandedOver { shard: Name, epoch: u64, to: Name },
    /// A replica goes on as the owner for the rest of an epoch that `from` handed over.
    #[serde(rename = "succeeded")]
    OwnershipContinued { shard: Name, epoch: u64, from: Name },
    /// An owner learned of a later epoch.
    #[serde(rename = "deposed")]
    OwnershipLost { shard: Name, epoch: u64 },
    /// A replica refuses earlier epochs from now on.
    #[serde(rename = "sealed")]
    EpochSealed { shard: Name, epoch: u64 },
    /// A job was accepted.
    Submitted { job: JobId, kind: Name, tasks: u32, repeat: bool },
    /// A job was refused.
    Refused { job: JobId, reason: Name },
    /// A job was withdrawn.
    Cancelled { job: JobId },
    /// A task was bound to a worker.
    Bound { task: TaskId, worker: Name, epoch: u64, waited: Millis },
    /// A start was sent.
    StartSent { task: TaskId, worker: Name, owner: EntryId },
    /// A task ended, as its owner sees it.
    Ended { task: TaskId, outcome: TaskOutcome },
    /// A task waits again under its next attempt.
    Requeued { task: TaskId },
    /// A worker began to run a task.
    WorkerStarted { task: TaskId, size: Size, total: Size, repeat: bool },
    /// A worker stopped running a task.
    WorkerEnded { task: TaskId, outcome: TaskOutcome },
    /// A worker lost all it ran.
    #[serde(rename = "worker-up")]
    WorkerRestarted { total: Size },
    /// A request was taken in.
    RequestIn { request: Name, kind: Name, repeat: bool },
    /// A request was sent to a runner.
    RequestSent { request: Name, runner: Name },
    /// A request got its final answer: its status and whether it may have run.
    RequestOut { request: Name, status: u16, run: Name, waited: Millis },
    /// A runner ran a request.
    RunnerRan { request: Name },
    /// A connection to another entry is open: the version of messages agreed on.
    PeerConnected { peer: Name, version: u8 },
    /// A VM is leaving, as this process sees it.
    Leaving { vm: Name },
    /// A worker is set aside because it fails its tasks.
    #[serde(rename = "set-aside")]
    WorkerSetAside { worker: Name },
    /// The platform's log or list cannot be reached, or can be again.
    Platform { part: Name, up: bool },
    /// An event of a newer version.
    #[serde(other)]
    Other,
}

impl EventKind {
    /// How loudly it is logged: what happens for each task or request is for debugging.
    fn log_level(&self) -> log::Level {
        match self {
            Self::OwnershipLost { .. }
            | Self::WorkerSetAside { .. }
            | Self::Platform { up: false, .. } => log::Level::Warn,
            Self::ProcessStarted { .. }
            | Self::Stopping
            | Self::TableInForce { .. }
            | Self::Elected { .. }
            | Self::OwnershipTaken { .. }
            | Self::HandedOver { .. }
            | Self::OwnershipContinued { .. }
            | Self::EpochSealed { .. }
            | Self::Leaving { .. }
            | Self::PeerConnected { .. }
            | Self::Platform { .. } => log::Level::Info,
            _ => log::Level::Debug,
        }
    }
}

/// One event of the time line.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// When.
    pub at: Stamp,
    /// The process.
    #[serde(rename = "who")]
    pub process: Name,
    /// What.
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

/// The time line of one process.
#[derive(Debug)]
pub struct Trace {
    process: Name,
    inner: Mutex<Events>,
}

impl Trace {
    /// An empty time line of the process `who`.
    pub fn new(process: Name) -> Self {
        Self { process, inner: Mutex::default() }
    }

    /// Adds an event and logs it.
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

    /// A new stamp, later than all that were given or seen.
    pub fn stamp(&self) -> Stamp {
        let now = Stamp(Millis::now().0 << COUNTER_BITS);
        let mut inner = self.lock();
        inner.last_stamp = now.max(Stamp(inner.last_stamp.0 + 1));
        inner.last_stamp
    }

    /// Takes in a stamp from another process.
    pub fn observe(&self, stamp: Stamp) {
        let mut inner = self.lock();
        inner.last_stamp = inner.last_stamp.max(stamp);
    }

    /// The events after `since`, at most `max`.
    pub fn events_after(&self, since: Stamp, max: usize) -> Vec<Event> {
        let inner = self.lock();
        let start = inner.events.partition_point(|event| event.at <= since);
        inner.events.iter().skip(start).take(max).cloned().collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Events> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
