//! What callers ask for: jobs made of steps of equal tasks, and the queues that they go to.

use crate::clock::Millis;
use crate::id::Name;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// The largest text that a job may carry for its tasks, in bytes; from the platform's contract.
pub const MAX_SPEC: usize = 4_000;
/// The most tasks of one job over all its steps and times; bounds what one caller can make an
/// owner hold (about 100 bytes a task).
pub const MAX_TASKS: u64 = 100_000;
/// How many characters a job's key has.
const KEY_CHARS: usize = 16;

/// A job's key, chosen by its caller: the same key is the same job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobKey(pub u64);

/// A text is not a job's key or not a task's name.
#[derive(Debug, Error, PartialEq)]
#[error("{0:?} is not 16 hexadecimal digits, or not the name of a task")]
pub struct KeyError(pub String);

impl fmt::Display for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobKey {
    type Err = KeyError;

    fn from_str(s: &str) -> Result<Self, KeyError> {
        let digits =
            s.len() == KEY_CHARS && s.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        match u64::from_str_radix(s, 16) {
            Ok(key) if digits => Ok(Self(key)),
            _ => Err(KeyError(s.to_string())),
        }
    }
}

/// One step of one repetition of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepKey {
    /// The job.
    pub job: JobKey,
    /// Which repetition, from 0.
    pub time: u32,
    /// Which step, from 0.
    pub step: u16,
}

impl fmt::Display for StepKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.time, self.step)
    }
}

/// A task of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// Its step.
    pub step: StepKey,
    /// Its place in the step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl FromStr for TaskKey {
    type Err = KeyError;

    fn from_str(s: &str) -> Result<Self, KeyError> {
        let bad = || KeyError(s.to_string());
        let mut parts = s.split('.');
        let mut next = || parts.next().ok_or_else(bad);
        let job = next()?.parse()?;
        let time = next()?.parse().map_err(|_| bad())?;
        let step = next()?.parse().map_err(|_| bad())?;
        let index = next()?.parse().map_err(|_| bad())?;
        match parts.next() {
            None => Ok(Self { step: StepKey { job, time, step }, index }),
            Some(_) => Err(bad()),
        }
    }
}

/// Room at a worker or wanted by a task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Room {
    /// Processors, in thousandths of a core.
    pub cpu: u64,
    /// Memory, in megabytes.
    pub mem: u64,
    /// Accelerators.
    pub gpu: u64,
}

impl Room {
    /// More than any worker has, and little enough to be added up.
    pub const UNKNOWN: Self = Self { cpu: 1 << 32, mem: 1 << 32, gpu: 1 << 32 };

    /// No bound: more than all workers have, and little enough to be added up.
    pub const UNLIMITED: Self = Self { cpu: u64::MAX / 4, mem: u64::MAX / 4, gpu: u64::MAX / 4 };

    /// Whether `other` fits into this room.
    pub fn holds(&self, other: &Self) -> bool {
        self.cpu >= other.cpu && self.mem >= other.mem && self.gpu >= other.gpu
    }

    /// This room without `other`, never below zero.
    pub fn less(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            mem: self.mem.saturating_sub(other.mem),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }

    /// This room and `other`.
    pub fn plus(&self, other: &Self) -> Self {
        Self { cpu: self.cpu + other.cpu, mem: self.mem + other.mem, gpu: self.gpu + other.gpu }
    }
}

/// Equal tasks of a job.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// How many tasks.
    pub count: u32,
    /// What each asks for.
    pub room: Room,
    /// The caller's guess of a task's run time; often far off.
    pub estimate: Millis,
    /// Earlier steps that must be done first.
    pub after: Vec<u16>,
    /// The tasks work only together: all are started, and end, as one.
    pub gang: bool,
    /// A gang is slower if it stands on more than one rack.
    pub rack: bool,
    /// A label that the worker must have; empty: any worker.
    pub label: Name,
    /// The rack that holds the data; empty: none.
    pub near: Name,
    /// The most tasks of this step on one worker; 0: any number.
    pub apart: u32,
    /// Copies of a task may run side by side.
    pub copies: bool,
    /// The tasks save their progress and can go on from it.
    pub saves: bool,
    /// The tasks run until the job is cancelled.
    pub lasting: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Name,
    /// The bound on the tail of a serving task's answers; 0: it serves nobody.
    pub tail: Millis,
    /// The tasks take processors that others leave unused, and none of their own.
    pub filler: bool,
    /// How many tasks of a lasting step may be away at once by our doing.
    pub spare: u32,
}

impl Step {
    /// Whether its tasks can be stopped for more urgent ones with little work lost.
    pub fn can_stop(&self) -> bool {
        self.saves && !self.lasting && !self.gang && !self.filler
    }

    /// The room that a task is charged at its worker.
    pub fn charge(&self) -> Room {
        match self.filler {
            true => Room { cpu: 0, ..self.room },
            false => self.room,
        }
    }
}

/// What a caller submits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Work {
    /// The text that tasks are started with.
    pub spec: Name,
    /// The steps, each after the ones it depends on.
    pub steps: Vec<Step>,
    /// How many times the steps run, at least 1.
    pub times: u32,
    /// When the first time is due, on the wall clock; 0: at once.
    pub first: Millis,
    /// The time between due times.
    pub every: Millis,
}

/// Why a job is refused for good.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum WorkError {
    /// No step.
    #[error("a job needs at least one step")]
    NoSteps,
    /// The text for the tasks is too long.
    #[error("the text for tasks has {0} bytes, and at most {MAX_SPEC} are taken")]
    LongSpec(usize),
    /// A step without tasks.
    #[error("step {0} has no tasks")]
    NoTasks(usize),
    /// A step depends on itself or on a later one.
    #[error("step {0} depends on step {1}, which is not before it")]
    Order(usize, u16),
    /// Too many tasks.
    #[error("the job has {0} tasks, and at most {MAX_TASKS} are taken")]
    TooMany(u64),
}

impl Work {
    /// Checks what must hold whatever the workers are.
    ///
    /// # Errors
    /// The first fault found.
    pub fn check(&self) -> Result<(), WorkError> {
        if self.spec.len() > MAX_SPEC {
            return Err(WorkError::LongSpec(self.spec.len()));
        }
        if self.steps.is_empty() {
            return Err(WorkError::NoSteps);
        }
        for (no, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(WorkError::NoTasks(no));
            }
            if let Some(late) = step.after.iter().find(|after| usize::from(**after) >= no) {
                return Err(WorkError::Order(no, *late));
            }
        }
        let each: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        match each.saturating_mul(u64::from(self.times)) {
            all if all > MAX_TASKS => Err(WorkError::TooMany(all)),
            _ => Ok(()),
        }
    }

    /// When repetition `time` is due on the wall clock.
    pub fn due(&self, time: u32) -> Millis {
        Millis(self.first.0.saturating_add(self.every.0.saturating_mul(u64::from(time))))
    }

    /// The estimated length of the longest chain of dependent steps.
    pub fn chain(&self) -> Millis {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().filter_map(|no| ends.get(usize::from(*no))).max();
            ends.push(before.copied().unwrap_or(0) + step.estimate.0);
        }
        Millis(ends.into_iter().max().unwrap_or(0))
    }
}

/// How workers for a queue's steps are cleared by the advice service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Advice {
    /// The fixed part of an answer's time.
    pub base: Millis,
    /// The part for each worker named, in microseconds.
    pub each: u64,
    /// How long a ticket holds.
    pub valid: Millis,
}

/// A queue: a row of the policy in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name.
    pub name: Name,
    /// The service whose workers run its tasks.
    pub service: Name,
    /// 0 comes first.
    pub priority: u32,
    /// How often a task may fail.
    pub attempts: u32,
    /// The objective of a job is this times its longest chain, in thousandths, and `target`.
    pub stretch: u64,
    /// The fixed part of a job's objective.
    pub target: Millis,
    /// Whether and how workers must be cleared first.
    pub advice: Option<Advice>,
}

impl Queue {
    /// The time within which a job counts in full, by its own estimates.
    pub fn objective(&self, work: &Work) -> Millis {
        Millis(work.chain().0.saturating_mul(self.stretch) / 1_000) + self.target
    }
}
