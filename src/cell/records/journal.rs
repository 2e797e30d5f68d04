//! What an owner keeps in the platform's store, and how it is written.

use crate::cell::jobs::restart_policy::Crash;
use crate::clock::Millis;
use crate::id::Name;
use crate::workload::{JobDefinition, JobKey, Queue};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The key of the record that names all workers in use.
const WORKERS_KEY: &str = "roster";
/// The key of the record that tells when the workers in use started. It stands apart from [`WORKERS_KEY`], whose
/// form is that of versions that know workers by their ids alone.
const WORKER_STARTS_KEY: &str = "roster.born";
/// What follows a job's key in the key of its progress.
const PROGRESS_SUFFIX: &str = ".p";
/// What follows a job's key in the key of the crashes under its tasks. They stand apart from its progress,
/// whose form is that of versions that count none: those pass over keys that they do not know.
const CRASHES_SUFFIX: &str = ".c";

/// What became of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobOutcome {
    /// All tasks are done.
    Completed,
    /// A task failed as often as it may.
    Failed,
    /// A caller withdrew it.
    Cancelled,
}

/// What does not change while a job is open, or how it ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum JobRecord {
    /// It was accepted.
    Open {
        /// Its queue as it was then; a queue may be removed while its jobs are open.
        queue: Queue,
        /// What was asked for.
        work: Arc<JobDefinition>,
    },
    /// It ended.
    Closed {
        /// Its queue's name.
        queue: Name,
        /// How it ended.
        outcome: JobOutcome,
    },
    /// It runs in another cell.
    Forwarded {
        /// The cell's number.
        cell: u32,
    },
}

/// What follows a job's key in the key of its workspace. It stands apart from the job's own record for the same
/// reason.
const WORKSPACE_SUFFIX: &str = ".w";

/// What is known of one task that is not done.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Its place in its step.
    pub index: u32,
    /// The runs of it that failed.
    pub failed: Vec<u64>,
    /// Its saved progress; empty: none.
    pub checkpoint: Name,
    /// The run that it was given to a worker as, and the worker.
    pub assignment: Option<(u64, Name)>,
}

/// What is known of one step of one repetition.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StepProgress {
    /// The repetition and the step.
    pub step_index: (u32, u16),
    /// One bit a task, in bytes from the lowest bit: whether it is done.
    pub done: Vec<u8>,
    /// Tasks that are bound to a worker, failed or saved progress.
    pub tasks: Vec<TaskProgress>,
}

/// What changes while a job is open.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// The steps of which something is known.
    pub steps: Vec<StepProgress>,
}

/// The crashes under one task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskCrashes {
    /// The repetition and the step.
    pub step_index: (u32, u16),
    /// The task's place in its step.
    pub index: u32,
    /// The crashes, in order.
    pub crashes: Vec<Crash>,
}

/// A worker that may run something.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// Its id.
    pub id: Name,
    /// Its service.
    pub service: Name,
    /// Where it is called.
    pub addr: Name,
}

/// Records that are appended together.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch {
    /// Rises by one with each batch of an epoch.
    pub number: u64,
    /// Keys and values; an empty value drops the key.
    pub records: Vec<(String, Vec<u8>)>,
}

/// All that the store holds of a cell.
#[derive(Debug, Default, PartialEq)]
pub struct Snapshot {
    /// The jobs.
    pub jobs: BTreeMap<JobKey, JobRecord>,
    /// What is known of open jobs.
    pub progress: BTreeMap<JobKey, Progress>,
    /// The crashes under tasks of open jobs.
    pub crashes: BTreeMap<JobKey, Vec<TaskCrashes>>,
    /// The workspaces of jobs that have one.
    pub workspaces: BTreeMap<JobKey, Name>,
    /// The workers that may run something.
    pub workers: Vec<WorkerRecord>,
    /// When these started, as far as they told.
    pub worker_starts: BTreeMap<Name, Millis>,
}

/// The job that a record is of, and what of it; `None`: it is of the cell, or not one of ours.
pub fn parse_key(key: &str) -> Option<(JobKey, &str)> {
    if matches!(key, WORKERS_KEY | WORKER_STARTS_KEY) {
        return None;
    }
    let (text, kind) = key.split_at(key.find('.').unwrap_or(key.len()));
    match text.parse() {
        Ok(job) => Some((job, kind)),
        Err(err) => {
            // A later version may keep more: it is passed over.
            log::warn!("event=record-unknown key={key} error={err}");
            None
        }
    }
}

/// The record of a job.
pub fn put_job(key: JobKey, record: &JobRecord) -> (String, Vec<u8>) {
    (key.to_string(), encode(record))
}

/// The record of a job's progress.
pub fn put_progress(key: JobKey, progress: &Progress) -> (String, Vec<u8>) {
    (format!("{key}{PROGRESS_SUFFIX}"), encode(progress))
}

/// The record of the crashes under a job's tasks.
pub fn put_crashes(key: JobKey, notes: &[TaskCrashes]) -> (String, Vec<u8>) {
    (format!("{key}{CRASHES_SUFFIX}"), encode(notes))
}

/// The record of a job's workspace.
pub fn put_workspace(key: JobKey, workspace: &Name) -> (String, Vec<u8>) {
    (format!("{key}{WORKSPACE_SUFFIX}"), encode(workspace))
}

/// Drops the record of a job's workspace.
pub fn delete_workspace(key: JobKey) -> (String, Vec<u8>) {
    (format!("{key}{WORKSPACE_SUFFIX}"), Vec::new())
}

/// Drops a job.
pub fn delete_job(key: JobKey) -> (String, Vec<u8>) {
    (key.to_string(), Vec::new())
}

/// Drops a job's progress.
pub fn delete_progress(key: JobKey) -> (String, Vec<u8>) {
    (format!("{key}{PROGRESS_SUFFIX}"), Vec::new())
}

/// Drops the crashes under a job's tasks.
pub fn delete_crashes(key: JobKey) -> (String, Vec<u8>) {
    (format!("{key}{CRASHES_SUFFIX}"), Vec::new())
}

/// The record of the workers in use.
pub fn put_workers(workers: &[WorkerRecord]) -> (String, Vec<u8>) {
    (WORKERS_KEY.to_string(), encode(&workers))
}

/// The record of when the workers in use started.
pub fn put_worker_starts(births: &BTreeMap<Name, Millis>) -> (String, Vec<u8>) {
    (WORKER_STARTS_KEY.to_string(), encode(births))
}

fn encode<T: Serialize + ?Sized>(value: &T) -> Vec<u8> {
    // Encoding into memory fails only for types that these records do not have.
    postcard::to_stdvec(value).unwrap_or_else(|err| {
        log::error!("event=record-not-encoded error={err:?}");
        Vec::new()
    })
}

impl Snapshot {
    /// Takes in one record; later ones replace earlier ones.
    ///
    /// # Errors
    /// The value cannot be read.
    pub fn apply(&mut self, key: &str, value: &[u8]) -> Result<(), postcard::Error> {
        if key == WORKERS_KEY {
            self.workers = if value.is_empty() { Vec::new() } else { postcard::from_bytes(value)? };
            return Ok(());
        }
        if key == WORKER_STARTS_KEY {
            self.worker_starts =
                if value.is_empty() { BTreeMap::new() } else { postcard::from_bytes(value)? };
            return Ok(());
        }
        let Some((job, kind)) = parse_key(key) else { return Ok(()) };
        match kind {
            "" => apply_to(&mut self.jobs, job, value),
            PROGRESS_SUFFIX => apply_to(&mut self.progress, job, value),
            CRASHES_SUFFIX => apply_to(&mut self.crashes, job, value),
            WORKSPACE_SUFFIX => apply_to(&mut self.workspaces, job, value),
            _ => {
                log::warn!("event=record-unknown key={key}");
                Ok(())
            }
        }
    }
}

/// Takes in a record of a job, or drops what is known of it.
fn apply_to<T: DeserializeOwned>(
    known: &mut BTreeMap<JobKey, T>,
    job: JobKey,
    value: &[u8],
) -> Result<(), postcard::Error> {
    match value.is_empty() {
        true => drop(known.remove(&job)),
        false => drop(known.insert(job, postcard::from_bytes(value)?)),
    }
    Ok(())
}
