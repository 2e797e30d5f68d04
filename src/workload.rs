//! Job definitions: jobs consist of steps, steps of identical tasks, and every job goes to a queue.

use crate::clock::Millis;
use crate::id::Name;
use crate::visits;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// Maximum size of a job's payload, in bytes; set by the platform's contract.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;
/// Maximum number of tasks of one job over all steps and repetitions.
pub const MAX_TASKS: u64 = 100_000;
/// Maximum number of steps of one job, which are numbered with 16 bits.
pub const MAX_STEPS: usize = u16::MAX as usize;
/// The longest run time that a caller's estimate counts as.
pub const MAX_ESTIMATE: Millis = Millis(30 * 24 * 3_600_000);
/// Length of a job key, in hexadecimal digits.
const JOB_KEY_DIGITS: usize = 16;

/// A job's key, chosen by the caller. Submitting the same key again refers to the same job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobKey(pub u64);

/// A text is neither a job key nor a task key.
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

/// Identifies one step in one repetition of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepKey {
    /// The job.
    pub job: JobKey,
    /// Index of the repetition, from 0.
    pub repetition: u32,
    /// Index of the step, from 0.
    pub step: u16,
}

impl fmt::Display for StepKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.repetition, self.step)
    }
}

/// Identifies one task of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// The task's step.
    pub step: StepKey,
    /// Index of the task in its step, from 0.
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
        let error = || ParseKeyError(s.to_string());
        let mut parts = s.split('.');
        let mut next = || parts.next().ok_or_else(error);
        let job = next()?.parse()?;
        let repetition = next()?.parse().map_err(|_| error())?;
        let step = next()?.parse().map_err(|_| error())?;
        let index = next()?.parse().map_err(|_| error())?;
        match parts.next() {
            None => Ok(Self { step: StepKey { job, repetition, step }, index }),
            Some(_) => Err(error()),
        }
    }
}

/// Amounts of a worker's resources, offered by a worker or requested for a task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// CPU, in thousandths of a core.
    pub cpu: u64,
    /// Memory, in megabytes.
    pub mem: u64,
    /// Accelerators.
    pub gpu: u64,
}

impl Resources {
    /// Stands for an unknown request: more than any worker has, and small enough to be summed without overflow.
    pub const UNKNOWN: Self = Self { cpu: 1 << 32, mem: 1 << 32, gpu: 1 << 32 };

    /// No limit: more than all workers have together, and small enough to be summed without overflow.
    pub const UNLIMITED: Self = Self { cpu: u64::MAX / 4, mem: u64::MAX / 4, gpu: u64::MAX / 4 };

    /// Whether these resources are enough for `other` in every dimension.
    pub fn can_fit(&self, other: &Self) -> bool {
        self.cpu >= other.cpu && self.mem >= other.mem && self.gpu >= other.gpu
    }

    /// Subtracts `other`, stopping at zero in each dimension.
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            mem: self.mem.saturating_sub(other.mem),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }

    /// Adds `other`, stopping at the largest number in each dimension.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            mem: self.mem.saturating_add(other.mem),
            gpu: self.gpu.saturating_add(other.gpu),
        }
    }
}

/// A step of a job: a number of identical tasks.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources requested for each task.
    pub resources: Resources,
    /// The caller's estimate of a task's run time; often inaccurate.
    pub estimate: Millis,
    /// Indices of earlier steps that must be completed first.
    pub dependencies: Vec<u16>,
    /// Gang scheduling: the tasks work only together, so all are started together and end together.
    pub is_gang: bool,
    /// The gang runs slower if it is spread over several racks.
    pub same_rack: bool,
    /// Label that a worker must have; empty if any worker will do.
    pub required_label: Name,
    /// Rack that holds the input data; empty if there is none.
    pub data_rack: Name,
    /// Maximum number of tasks of this step on one worker; 0 for no limit.
    pub worker_limit: u32,
    /// Several copies of a task may run at the same time.
    pub allow_copies: bool,
    /// The tasks write checkpoints and can resume from them.
    pub has_checkpoints: bool,
    /// The tasks run until the job is cancelled.
    pub long_running: bool,
    /// Image that the tasks run; tasks of the same image are expected to behave alike.
    pub image: Name,
    /// Upper bound for a serving task's tail latency; 0 if the tasks serve no requests.
    pub latency_bound: Millis,
    /// The tasks use only CPU that other tasks leave idle, and reserve none.
    pub best_effort: bool,
    /// Maximum number of tasks of a long-running step that the scheduler may take down at the same time.
    pub max_unavailable: u32,
}

impl Step {
    /// Whether its tasks can be preempted by more urgent ones with little loss of work.
    pub fn is_preemptible(&self) -> bool {
        self.has_checkpoints && !self.long_running && !self.is_gang && !self.best_effort
    }

    /// Resources that a task reserves at its worker; a best-effort task reserves no CPU.
    pub fn charged_resources(&self) -> Resources {
        match self.best_effort {
            true => Resources { cpu: 0, ..self.resources },
            false => self.resources,
        }
    }
}

/// A job as its caller submits it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobDefinition {
    /// Text that the tasks are started with.
    pub payload: Name,
    /// The steps in topological order: each one comes after its dependencies.
    pub steps: Vec<Step>,
    /// How often the steps run, at least 1.
    pub repetitions: u32,
    /// Wall-clock time at which the first repetition is due; 0 for at once.
    pub first_due: Millis,
    /// Time from one repetition's due time to the next.
    pub interval: Millis,
}

/// Why a job definition is invalid; submitting it again has the same result.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum JobDefinitionError {
    /// The job has no steps.
    #[error("a job needs at least one step")]
    NoSteps,
    /// The payload is longer than [`MAX_PAYLOAD_BYTES`].
    #[error("the text for tasks has {0} bytes, and at most {MAX_PAYLOAD_BYTES} are taken")]
    PayloadTooLong(usize),
    /// The job has more than [`MAX_STEPS`] steps.
    #[error("the job has {0} steps, and at most {MAX_STEPS} are taken")]
    TooManySteps(usize),
    /// A step has no tasks.
    #[error("step {0} has no tasks")]
    EmptyStep(usize),
    /// A step asks for more than any worker has.
    #[error("step {0} asks for more of a resource than any worker has")]
    TooLarge(usize),
    /// A step depends on itself or on a later step.
    #[error("step {0} depends on step {1}, which is not before it")]
    DependencyOrder(usize, u16),
    /// The job has more than [`MAX_TASKS`] tasks.
    #[error("the job has {0} tasks, and at most {MAX_TASKS} are taken")]
    TooManyTasks(u64),
}

impl JobDefinition {
    /// The definition of a job of which only the end is known.
    pub fn empty() -> Self {
        Self {
            payload: "".into(),
            steps: Vec::new(),
            repetitions: 0,
            first_due: Millis(0),
            interval: Millis(0),
        }
    }

    /// Checks the rules that don't depend on the available workers.
    ///
    /// # Errors
    /// The first violated rule.
    pub fn validate(&self) -> Result<(), JobDefinitionError> {
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(JobDefinitionError::PayloadTooLong(self.payload.len()));
        }
        if self.steps.is_empty() {
            return Err(JobDefinitionError::NoSteps);
        }
        if self.steps.len() > MAX_STEPS {
            return Err(JobDefinitionError::TooManySteps(self.steps.len()));
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(JobDefinitionError::EmptyStep(number));
            }
            if !Resources::UNKNOWN.can_fit(&step.resources) {
                return Err(JobDefinitionError::TooLarge(number));
            }
            if let Some(later) =
                step.dependencies.iter().find(|other| usize::from(**other) >= number)
            {
                return Err(JobDefinitionError::DependencyOrder(number, *later));
            }
        }
        match self.repetition_tasks().saturating_mul(u64::from(self.repetitions)) {
            total if total > MAX_TASKS => Err(JobDefinitionError::TooManyTasks(total)),
            _ => Ok(()),
        }
    }

    /// The number of tasks of one repetition.
    pub fn repetition_tasks(&self) -> u64 {
        visits::add(self.steps.len());
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }

    /// Wall-clock time at which a repetition is due.
    pub fn due_at(&self, repetition: u32) -> Millis {
        Millis(
            self.first_due.0.saturating_add(self.interval.0.saturating_mul(u64::from(repetition))),
        )
    }

    /// Estimated work of all tasks, in core-milliseconds.
    pub fn core_millis(&self) -> u64 {
        let of_step = |step: &Step| {
            let cpu_millis = step.resources.cpu.saturating_mul(step.estimate.0) / 1_000;
            cpu_millis.saturating_mul(u64::from(step.count))
        };
        visits::add(self.steps.len());
        let once = self.steps.iter().map(of_step).fold(0, u64::saturating_add);
        once.saturating_mul(u64::from(self.repetitions))
    }

    /// Estimated run time of the critical path, the longest chain of dependent steps.
    pub fn critical_path(&self) -> Millis {
        let mut finish_times: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            visits::add(1 + step.dependencies.len());
            let ready_at = step
                .dependencies
                .iter()
                .filter_map(|number| finish_times.get(usize::from(*number)))
                .max();
            finish_times.push(ready_at.copied().unwrap_or(0).saturating_add(step.estimate.0));
        }
        Millis(finish_times.into_iter().max().unwrap_or(0))
    }
}

/// How the advice service approves workers for a queue's steps, and what a request costs.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AdviceConfig {
    /// Fixed part of the time that the service takes to reply.
    pub base_latency: Millis,
    /// Additional reply time for each worker in the request, in microseconds.
    pub worker_micros: u64,
    /// How long a ticket is valid.
    pub ticket_validity: Millis,
}

/// A queue of the active policy.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the queue.
    pub name: Name,
    /// Service whose workers run the queue's tasks.
    pub service: Name,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Maximum number of attempts for a task.
    pub max_attempts: u32,
    /// Factor for a job's critical path, in thousandths: the objective is `stretch` times the critical path
    /// plus `target`.
    pub stretch: u64,
    /// Fixed part of a job's objective.
    pub target: Millis,
    /// Set if the advice service must approve workers before tasks are placed on them.
    pub advice: Option<AdviceConfig>,
}

impl Queue {
    /// Time within which a job must finish to be credited in full, from its own run time estimates.
    pub fn objective(&self, definition: &JobDefinition) -> Millis {
        self.objective_of(definition.critical_path())
    }

    /// As [`Self::objective`], for a job with this critical path.
    pub fn objective_of(&self, critical_path: Millis) -> Millis {
        Millis(critical_path.0.saturating_mul(self.stretch) / 1_000) + self.target
    }
}
