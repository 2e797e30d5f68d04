//! Jobs as callers write them, turned into the project's own types.

use crate::clock::Millis;
use crate::id::Name;
use crate::workload::{JobDefinition, Resources, Step};
use serde::{Deserialize, Deserializer};

/// A yes or no that some callers send as a number.
fn flag<'de, D: Deserializer<'de>>(d: D) -> Result<bool, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Either {
        Bool(bool),
        Number(f64),
    }
    Ok(match Either::deserialize(d)? {
        Either::Bool(yes) => yes,
        Either::Number(number) => number != 0.0,
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
    /// A label of the worker.
    #[serde(default)]
    requires: Name,
    /// The rack of the data.
    #[serde(default)]
    affinity: Name,
    /// Not a label: the most tasks of the step on one worker.
    #[serde(default)]
    anti_affinity: u32,
    /// Copies of one task may run side by side.
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
    /// Not a count: the processors asked for are not charged.
    #[serde(default, deserialize_with = "flag")]
    fill_count: bool,
    #[serde(default)]
    may_miss: u32,
}

#[derive(Debug, Deserialize)]
struct RawJob {
    #[serde(default)]
    spec: Name,
    #[serde(default)]
    steps: Vec<RawStep>,
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
            estimate: Millis(raw.estimate_ms.max(0.0) as u64),
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

/// Reads a job; unknown fields are passed over.
///
/// # Errors
/// The body is not JSON or not a job.
pub fn parse(body: &[u8]) -> Result<JobDefinition, serde_json::Error> {
    let raw: RawJob = serde_json::from_slice(body)?;
    Ok(JobDefinition {
        payload: raw.spec,
        steps: raw.steps.into_iter().map(Step::from).collect(),
        repetitions: raw.repeat_count.max(1),
        first_due: Millis(raw.start_at_ms),
        interval: Millis(raw.interval_ms),
    })
}
