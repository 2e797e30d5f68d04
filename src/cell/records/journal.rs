//! What an owner keeps in the platform's store, and how it is written.

use crate::cell::jobs::restart_policy::Crash;
use crate::clock::Millis;
use crate::id::Name;
use crate::workload::{JobKey, Queue, Work};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The key of the record that names all workers in use.
const ROSTER: &str = "roster";
/// The key of the record that tells when the workers in use started. It stands apart from [`ROSTER`], whose
/// form is that of versions that know workers by their ids alone.
const BIRTHS: &str = "roster.born";
/// What follows a job's key in the key of its progress.
const PROGRESS: &str = ".p";
/// What follows a job's key in the key of the crashes under its tasks. They stand apart from its progress,
/// whose form is that of versions that count none: those pass over keys that they do not know.
const CRASHES: &str = ".c";

/// What became of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fate {
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
        work: Arc<Work>,
    },
    /// It ended.
    Closed {
        /// Its queue's name.
        queue: Name,
        /// How it ended.
        fate: Fate,
    },
    /// It runs in another cell.
    Forwarded {
        /// The cell's number.
        cell: u32,
    },
}

/// What follows a job's key in the key of its workspace. It stands apart from the job's own record for the same
/// reason.
const WORKSPACE: &str = ".w";

/// What is known of one task that is not done.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskNote {
    /// Its place in its step.
    pub index: u32,
    /// The runs of it that failed.
    pub failed: Vec<u64>,
    /// Its saved progress; empty: none.
    pub saved: Name,
    /// The run that it was given to a worker as, and the worker.
    pub bound: Option<(u64, Name)>,
}

/// What is known of one step of one repetition.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StepNote {
    /// The repetition and the step.
    pub place: (u32, u16),
    /// One bit a task, in bytes from the lowest bit: whether it is done.
    pub done: Vec<u8>,
    /// Tasks that are bound to a worker, failed or saved progress.
    pub tasks: Vec<TaskNote>,
}

/// What changes while a job is open.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// The steps of which something is known.
    pub steps: Vec<StepNote>,
}

/// The crashes under one task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CrashNote {
    /// The repetition and the step.
    pub place: (u32, u16),
    /// The task's place in its step.
    pub index: u32,
    /// The crashes, in order.
    pub crashes: Vec<Crash>,
}

/// A worker that may run something.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Member {
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
    pub no: u64,
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
    pub crashes: BTreeMap<JobKey, Vec<CrashNote>>,
    /// The workspaces of jobs that have one.
    pub workspaces: BTreeMap<JobKey, Name>,
    /// The workers that may run something.
    pub roster: Vec<Member>,
    /// When these started, as far as they told.
    pub births: BTreeMap<Name, Millis>,
}

/// The job that a record is of, and what of it; `None`: it is of the cell, or not one of ours.
pub fn job_of(key: &str) -> Option<(JobKey, &str)> {
    if matches!(key, ROSTER | BIRTHS) {
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
pub fn job(key: JobKey, record: &JobRecord) -> (String, Vec<u8>) {
    (key.to_string(), encode(record))
}

/// The record of a job's progress.
pub fn progress(key: JobKey, progress: &Progress) -> (String, Vec<u8>) {
    (format!("{key}{PROGRESS}"), encode(progress))
}

/// The record of the crashes under a job's tasks.
pub fn crashes(key: JobKey, notes: &[CrashNote]) -> (String, Vec<u8>) {
    (format!("{key}{CRASHES}"), encode(notes))
}

/// The record of a job's workspace.
pub fn workspace(key: JobKey, workspace: &Name) -> (String, Vec<u8>) {
    (format!("{key}{WORKSPACE}"), encode(workspace))
}

/// Drops the record of a job's workspace.
pub fn drop_workspace(key: JobKey) -> (String, Vec<u8>) {
    (format!("{key}{WORKSPACE}"), Vec::new())
}

/// Drops a job.
pub fn drop_job(key: JobKey) -> (String, Vec<u8>) {
    (key.to_string(), Vec::new())
}

/// Drops a job's progress.
pub fn drop_progress(key: JobKey) -> (String, Vec<u8>) {
    (format!("{key}{PROGRESS}"), Vec::new())
}

/// Drops the crashes under a job's tasks.
pub fn drop_crashes(key: JobKey) -> (String, Vec<u8>) {
    (format!("{key}{CRASHES}"), Vec::new())
}

/// The record of the workers in use.
pub fn roster(members: &[Member]) -> (String, Vec<u8>) {
    (ROSTER.to_string(), encode(&members))
}

/// The record of when the workers in use started.
pub fn births(births: &BTreeMap<Name, Millis>) -> (String, Vec<u8>) {
    (BIRTHS.to_string(), encode(births))
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
    pub fn add(&mut self, key: &str, value: &[u8]) -> Result<(), postcard::Error> {
        if key == ROSTER {
            self.roster = if value.is_empty() { Vec::new() } else { postcard::from_bytes(value)? };
            return Ok(());
        }
        if key == BIRTHS {
            self.births =
                if value.is_empty() { BTreeMap::new() } else { postcard::from_bytes(value)? };
            return Ok(());
        }
        let Some((job, kind)) = job_of(key) else { return Ok(()) };
        match kind {
            "" => take(&mut self.jobs, job, value),
            PROGRESS => take(&mut self.progress, job, value),
            CRASHES => take(&mut self.crashes, job, value),
            WORKSPACE => take(&mut self.workspaces, job, value),
            _ => {
                log::warn!("event=record-unknown key={key}");
                Ok(())
            }
        }
    }
}

/// Takes in a record of a job, or drops what is known of it.
fn take<T: DeserializeOwned>(
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
