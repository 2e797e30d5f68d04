//! Decodes the jobs that callers submit as JSON.

use crate::clock::Millis;
use crate::id::Name;
use crate::workload::{JobDefinition, JobDefinitionError, MAX_ESTIMATE, Resources, Step};
use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use std::fmt;

/// Decodes a boolean, which some callers send as a number.
fn flag<'de, D: Deserializer<'de>>(deserializer: D) -> Result<bool, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum BoolOrNumber {
        Bool(bool),
        Number(f64),
    }
    Ok(match BoolOrNumber::deserialize(deserializer)? {
        BoolOrNumber::Bool(value) => value,
        BoolOrNumber::Number(number) => number != 0.0,
    })
}

#[derive(Debug, Deserialize)]
struct RawStep {
    #[serde(default)]
    count: u32,
    #[serde(default)]
    cpu: u64,
    #[serde(default)]
    mem_mb: u64,
    #[serde(default)]
    gpu: u64,
    #[serde(default)]
    estimate_ms: f64,
    #[serde(default)]
    depends_on: Vec<u16>,
    #[serde(default, deserialize_with = "flag")]
    gang: bool,
    #[serde(default, deserialize_with = "flag")]
    rack_local: bool,
    /// The label that a worker must have.
    #[serde(default)]
    requires: Name,
    /// The rack that holds the data.
    #[serde(default)]
    affinity: Name,
    /// Despite its name not a label: the maximum number of tasks of the step on one worker.
    #[serde(default)]
    anti_affinity: u32,
    /// Whether copies of one task may run at the same time.
    #[serde(default, deserialize_with = "flag")]
    concurrent: bool,
    #[serde(default, deserialize_with = "flag")]
    checkpointing: bool,
    #[serde(default, deserialize_with = "flag")]
    long_running: bool,
    #[serde(default)]
    image: Name,
    #[serde(default)]
    target_ms: f64,
    /// Despite its name not a count: the tasks use cores that others leave idle, and the requested ones aren't charged.
    #[serde(default, deserialize_with = "flag")]
    fill_count: bool,
    #[serde(default)]
    may_miss: u32,
}

/// Decodes the steps of a job, one at a time. Ends with the first one that has no tasks: such steps
/// take a hundred times the memory of their text.
fn steps<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Step>, D::Error> {
    struct StepsVisitor;
    impl<'de> Visitor<'de> for StepsVisitor {
        type Value = Vec<Step>;

        fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
            formatter.write_str("a list of steps")
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Vec<Step>, A::Error> {
            let mut steps = Vec::new();
            while let Some(step) = seq.next_element::<RawStep>()? {
                if step.count == 0 {
                    return Err(A::Error::custom(JobDefinitionError::EmptyStep(steps.len())));
                }
                steps.push(Step::from(step));
            }
            steps.shrink_to_fit();
            Ok(steps)
        }
    }
    deserializer.deserialize_seq(StepsVisitor)
}

#[derive(Debug, Deserialize)]
struct RawJob {
    #[serde(default)]
    spec: Name,
    #[serde(default, deserialize_with = "steps")]
    steps: Vec<Step>,
    #[serde(default)]
    repeat_count: u32,
    #[serde(default)]
    start_at_ms: u64,
    #[serde(default)]
    interval_ms: u64,
}

impl From<RawStep> for Step {
    fn from(raw: RawStep) -> Self {
        Self {
            count: raw.count,
            resources: Resources { cpu: raw.cpu, mem: raw.mem_mb, gpu: raw.gpu },
            estimate: Millis(raw.estimate_ms.max(0.0) as u64).min(MAX_ESTIMATE),
            dependencies: raw.depends_on,
            is_gang: raw.gang,
            same_rack: raw.rack_local,
            required_label: raw.requires,
            data_rack: raw.affinity,
            worker_limit: raw.anti_affinity,
            allow_copies: raw.concurrent,
            has_checkpoints: raw.checkpointing,
            long_running: raw.long_running,
            image: raw.image,
            latency_bound: Millis(raw.target_ms.max(0.0) as u64),
            best_effort: raw.fill_count,
            max_unavailable: raw.may_miss,
        }
    }
}

/// Decodes a job; unknown fields are ignored.
///
/// # Errors
/// If the body isn't JSON or isn't a job.
pub fn parse(body: &[u8]) -> Result<JobDefinition, serde_json::Error> {
    let raw: RawJob = serde_json::from_slice(body)?;
    Ok(JobDefinition {
        payload: raw.spec,
        steps: raw.steps,
        repetitions: raw.repeat_count.max(1),
        first_due: Millis(raw.start_at_ms),
        interval: Millis(raw.interval_ms),
    })
}
