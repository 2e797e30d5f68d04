//! What callers ask for: jobs made of steps of equal tasks, and the queues that they go to.

use crate::clock::Millis;
use crate::id::Name;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// The largest text that a job may carry for its tasks, in bytes; from the platform's contract.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;
/// The most tasks of one job over all its steps and times; bounds what one caller can make an
/// owner hold (about 100 bytes a task).
pub const MAX_TASKS: u64 = 100_000;
/// How many characters a job's key has.
const JOB_KEY_DIGITS: usize = 16;

/// A job's key, chosen by its caller: the same key is the same job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobKey(pub u64);

/// A text is not a job's key or not a task's name.
#[derive(Debug, Error, PartialEq)]
#[error("{0:?} is not 16 hexadecimal digits, or not the name of a task")]
pub struct ParseKeyError(pub String);

impl fmt::Display for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobKey {
    type Err = ParseKeyError;

    fn from_str(s: &str) -> Result<Self, ParseKeyError> {
        let digits =
            s.len() == JOB_KEY_DIGITS && s.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        match u64::from_str_radix(s, 16) {
            Ok(key) if digits => Ok(Self(key)),
            _ => Err(ParseKeyError(s.to_string())),
        }
    }
}

/// One step of one repetition of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepKey {
    /// The job.
    pub job: JobKey,
    /// Which repetition, from 0.
    pub repetition: u32,
    /// Which step, from 0.
    pub step: u16,
}

impl fmt::Display for StepKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.repetition, self.step)
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
    type Err = ParseKeyError;

    fn from_str(s: &str) -> Result<Self, ParseKeyError> {
        let bad = || ParseKeyError(s.to_string());
        let mut parts = s.split('.');
        let mut next = || parts.next().ok_or_else(bad);
        let job = next()?.parse()?;
        let repetition = next()?.parse().map_err(|_| bad())?;
        let step = next()?.parse().map_err(|_| bad())?;
        let index = next()?.parse().map_err(|_| bad())?;
        match parts.next() {
            None => Ok(Self { step: StepKey { job, repetition, step }, index }),
            Some(_) => Err(bad()),
        }
    }
}

/// Room at a worker or wanted by a task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Processors, in thousandths of a core.
    pub cpu: u64,
    /// Memory, in megabytes.
    pub mem: u64,
    /// Accelerators.
    pub gpu: u64,
}

impl Resources {
    /// More than any worker has, and little enough to be added up.
    pub const UNKNOWN: Self = Self { cpu: 1 << 32, mem: 1 << 32, gpu: 1 << 32 };

    /// No bound: more than all workers have, and little enough to be added up.
    pub const UNLIMITED: Self = Self { cpu: u64::MAX / 4, mem: u64::MAX / 4, gpu: u64::MAX / 4 };

    /// Whether `other` fits into this room.
    pub fn can_fit(&self, other: &Self) -> bool {
        self.cpu >= other.cpu && self.mem >= other.mem && self.gpu >= other.gpu
    }

    /// This room without `other`, never below zero.
    pub fn saturating_sub(&self, other: &Self) -> Self {
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
    pub resources: Resources,
    /// The caller's guess of a task's run time; often far off.
    pub estimate: Millis,
    /// Earlier steps that must be done first.
    pub dependencies: Vec<u16>,
    /// The tasks work only together: all are started, and end, as one.
    pub is_gang: bool,
    /// A gang is slower if it stands on more than one rack.
    pub same_rack: bool,
    /// A label that the worker must have; empty: any worker.
    pub required_label: Name,
    /// The rack that holds the data; empty: none.
    pub data_rack: Name,
    /// The most tasks of this step on one worker; 0: any number.
    pub worker_limit: u32,
    /// Copies of a task may run side by side.
    pub allow_copies: bool,
    /// The tasks save their progress and can go on from it.
    pub has_checkpoints: bool,
    /// The tasks run until the job is cancelled.
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Name,
    /// The bound on the tail of a serving task's answers; 0: it serves nobody.
    pub latency_bound: Millis,
    /// The tasks take processors that others leave unused, and none of their own.
    pub best_effort: bool,
    /// How many tasks of a lasting step may be away at once by our doing.
    pub max_unavailable: u32,
}

impl Step {
    /// Whether its tasks can be stopped for more urgent ones with little work lost.
    pub fn is_preemptible(&self) -> bool {
        self.has_checkpoints && !self.long_running && !self.is_gang && !self.best_effort
    }

    /// The room that a task is charged at its worker.
    pub fn charged_resources(&self) -> Resources {
        match self.best_effort {
            true => Resources { cpu: 0, ..self.resources },
            false => self.resources,
        }
    }
}

/// What a caller submits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobDefinition {
    /// The text that tasks are started with.
    pub payload: Name,
    /// The steps, each after the ones it depends on.
    pub steps: Vec<Step>,
    /// How many times the steps run, at least 1.
    pub repetitions: u32,
    /// When the first time is due, on the wall clock; 0: at once.
    pub first_due: Millis,
    /// The time between due times.
    pub interval: Millis,
}

/// Why a job is refused for good.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum JobDefinitionError {
    /// No step.
    #[error("a job needs at least one step")]
    NoSteps,
    /// The text for the tasks is too long.
    #[error("the text for tasks has {0} bytes, and at most {MAX_PAYLOAD_BYTES} are taken")]
    PayloadTooLong(usize),
    /// A step without tasks.
    #[error("step {0} has no tasks")]
    EmptyStep(usize),
    /// A step depends on itself or on a later one.
    #[error("step {0} depends on step {1}, which is not before it")]
    DependencyOrder(usize, u16),
    /// Too many tasks.
    #[error("the job has {0} tasks, and at most {MAX_TASKS} are taken")]
    TooManyTasks(u64),
}

impl JobDefinition {
    /// Checks what must hold whatever the workers are.
    ///
    /// # Errors
    /// The first fault found.
    pub fn validate(&self) -> Result<(), JobDefinitionError> {
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(JobDefinitionError::PayloadTooLong(self.payload.len()));
        }
        if self.steps.is_empty() {
            return Err(JobDefinitionError::NoSteps);
        }
        for (no, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(JobDefinitionError::EmptyStep(no));
            }
            if let Some(later) = step.dependencies.iter().find(|other| usize::from(**other) >= no) {
                return Err(JobDefinitionError::DependencyOrder(no, *later));
            }
        }
        let each: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        match each.saturating_mul(u64::from(self.repetitions)) {
            all if all > MAX_TASKS => Err(JobDefinitionError::TooManyTasks(all)),
            _ => Ok(()),
        }
    }

    /// When repetition `time` is due on the wall clock.
    pub fn due_at(&self, repetition: u32) -> Millis {
        Millis(
            self.first_due.0.saturating_add(self.interval.0.saturating_mul(u64::from(repetition))),
        )
    }

    /// The estimated length of the longest chain of dependent steps.
    pub fn critical_path(&self) -> Millis {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.dependencies.iter().filter_map(|no| ends.get(usize::from(*no))).max();
            ends.push(before.copied().unwrap_or(0) + step.estimate.0);
        }
        Millis(ends.into_iter().max().unwrap_or(0))
    }
}

/// How workers for a queue's steps are cleared by the advice service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AdviceConfig {
    /// The fixed part of an answer's time.
    pub base_latency: Millis,
    /// The part for each worker named, in microseconds.
    pub worker_micros: u64,
    /// How long a ticket holds.
    pub ticket_validity: Millis,
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
    pub max_attempts: u32,
    /// The objective of a job is this times its longest chain, in thousandths, and `target`.
    pub stretch: u64,
    /// The fixed part of a job's objective.
    pub target: Millis,
    /// Whether and how workers must be cleared first.
    pub advice: Option<AdviceConfig>,
}

impl Queue {
    /// The time within which a job counts in full, by its own estimates.
    pub fn objective(&self, definition: &JobDefinition) -> Millis {
        Millis(definition.critical_path().0.saturating_mul(self.stretch) / 1_000) + self.target
    }
}
