//! The records that an owner keeps in the platform's store, and their encoding.

use crate::cell::jobs::job::StoredPiece;
use crate::cell::jobs::repetition_set::RepetitionSet;
use crate::cell::jobs::restart_policy::Crash;
use crate::cell::records::pieces::{PieceKey, PieceProgress};
use crate::clock::Millis;
use crate::id::Name;
use crate::workload::{JobDefinition, JobKey, Queue, Resources};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The key of the record that lists all workers in use.
const WORKERS_KEY: &str = "roster";
/// The key of the record with the start times of the workers in use. It is separate from
/// [`WORKERS_KEY`], whose encoding is shared with versions that identify workers by their ids only.
const WORKER_STARTS_KEY: &str = "roster.born";
/// The key of the record of leases. Owners of versions without this record ignore it.
const LEASES_KEY: &str = "roster.leases";
/// The suffix of a job's key under which its progress is stored.
const PROGRESS_SUFFIX: &str = ".p";
/// The suffix of a job's key under which the crashes of its tasks' workers are stored. They are
/// separate from the progress, whose encoding is shared with versions that do not count crashes and
/// skip unknown keys.
const CRASHES_SUFFIX: &str = ".c";

/// The suffix of a job's key under which its finished repetitions are stored. Versions that do not
/// know this record find the finished repetitions of jobs with few of them in the progress.
const FINISHED_SUFFIX: &str = ".d";
/// The suffix of a job's key under which its unassigned runs are stored. They are separate from the
/// progress, which a closed job does not have.
const UNASSIGNED_RUNS_SUFFIX: &str = ".r";

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobOutcome {
    /// All tasks are done.
    Completed,
    /// A task failed as often as is allowed.
    Failed,
    /// A caller cancelled the job.
    Cancelled,
}

/// The record of a job, which changes only when the job ends.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum JobRecord {
    /// The job was accepted and has not ended.
    Open {
        /// The job's queue at that time, as a queue may be removed while its jobs are open.
        queue: Queue,
        /// The submitted work.
        work: Arc<JobDefinition>,
    },
    /// The job ended.
    Closed {
        /// The name of the job's queue.
        queue: Name,
        /// How the job ended.
        outcome: JobOutcome,
    },
    /// The job was forwarded to another cell.
    Forwarded {
        /// The number of that cell.
        cell: u32,
    },
}

/// The suffix of a job's key under which its workspace is stored. It is separate from the job's own
/// record, whose encoding is shared with versions that do not know workspaces and skip unknown
/// keys.
const WORKSPACE_SUFFIX: &str = ".w";

/// The progress of a task that is not done.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// The index of the task in its step.
    pub index: u32,
    /// The numbers of the task's failed runs.
    pub failed: Vec<u64>,
    /// The checkpoint that the task saved; empty if there is none.
    pub checkpoint: Name,
    /// The number of the current run and the worker that it is assigned to.
    pub assignment: Option<(u64, Name)>,
}

/// The progress of one step in one repetition of the job.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StepProgress {
    /// The indexes of the repetition and the step.
    pub step_index: (u32, u16),
    /// A bitmap of the tasks that are done, starting from the lowest bit of each byte.
    pub done: Vec<u8>,
    /// The tasks that are assigned to a worker, have failed or have saved a checkpoint.
    pub tasks: Vec<TaskProgress>,
}

/// The progress of an open job.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// The steps with tasks that have been started.
    pub steps: Vec<StepProgress>,
}

/// The worker crashes during runs of one task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskCrashes {
    /// The indexes of the repetition and the step.
    pub step_index: (u32, u16),
    /// The index of the task in its step.
    pub index: u32,
    /// The crashes in the order in which they occurred.
    pub crashes: Vec<Crash>,
}

/// A run that may be on a worker although its task is not assigned as it: the job was closed, or the
/// task was started again elsewhere.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UnassignedRun {
    /// The indexes of the repetition and the step.
    pub step_index: (u32, u16),
    /// The index of the task in its step.
    pub index: u32,
    /// The number of the run.
    pub run: u64,
    /// The worker's id.
    pub worker: Name,
    /// The resources of the worker that are charged for the run.
    pub charge: Resources,
    /// The resources that the run adds to the usage of its workspace.
    pub usage: Resources,
}

/// A worker that may have runs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// The worker's id.
    pub id: Name,
    /// The service that the worker belongs to.
    pub service: Name,
    /// The address at which the worker is called.
    pub addr: Name,
}

/// What an owner records of the leases of workers. The times are on its clock.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The epoch of the owner.
    pub epoch: u64,
    /// When the leases of workers that do not report expire. These are not renewed while the worker
    /// is on this list.
    pub unheard: BTreeMap<Name, Millis>,
    /// Until when other workers may have a lease that is longer than usual.
    pub long: BTreeMap<Name, Millis>,
}

/// What a new owner knows of the leases that earlier owners granted. The times are on its clock.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LeaseBounds {
    /// The record of leases, if all owners that may have granted a lease keep it.
    pub record: Option<LeaseRecord>,
    /// When the last lease expires, if the last owner told.
    pub last_end: Option<Millis>,
}

/// Records that are appended to the store together.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch {
    /// The sequence number of the batch in its epoch.
    pub number: u64,
    /// Pairs of key and value; an empty value deletes the key.
    pub records: Vec<(String, Vec<u8>)>,
}

/// All records of a cell in the store.
#[derive(Debug, Default, PartialEq)]
pub struct Snapshot {
    /// The records of all jobs.
    pub jobs: BTreeMap<JobKey, JobRecord>,
    /// The progress of open jobs.
    pub progress: BTreeMap<JobKey, Progress>,
    /// The finished repetitions of open jobs.
    pub finished: BTreeMap<JobKey, RepetitionSet>,
    /// The worker crashes during tasks of open jobs.
    pub crashes: BTreeMap<JobKey, Vec<TaskCrashes>>,
    /// The progress of open jobs that are recorded in pieces.
    pub progress_pieces: BTreeMap<(JobKey, PieceKey), PieceProgress>,
    /// The worker crashes during tasks of these jobs.
    pub crash_pieces: BTreeMap<(JobKey, PieceKey), Vec<TaskCrashes>>,
    /// The unassigned runs of these jobs.
    pub unassigned_pieces: BTreeMap<(JobKey, PieceKey), Vec<UnassignedRun>>,
    /// The unassigned runs of jobs with a workspace.
    pub unassigned_runs: BTreeMap<JobKey, Vec<UnassignedRun>>,
    /// The workspaces of those jobs that have one.
    pub workspaces: BTreeMap<JobKey, Name>,
    /// The workers that may have runs.
    pub workers: Vec<WorkerRecord>,
    /// The start times of those workers that reported one.
    pub worker_starts: BTreeMap<Name, Millis>,
    /// The record of leases.
    pub leases: LeaseRecord,
    /// What the new owner may conclude from that record and from the log. Not part of the records.
    pub lease_bounds: LeaseBounds,
}

/// The content of the record of a piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PieceKind {
    /// The progress of the tasks.
    Progress,
    /// The crashes of workers that ran the tasks.
    Crashes,
    /// The unassigned runs.
    UnassignedRuns,
}

impl PieceKind {
    const ALL: [Self; 3] = [Self::Progress, Self::Crashes, Self::UnassignedRuns];

    /// The suffix of a job's key, which is followed by a point and the key of the piece.
    fn suffix(self) -> &'static str {
        match self {
            Self::Progress => PROGRESS_SUFFIX,
            Self::Crashes => CRASHES_SUFFIX,
            Self::UnassignedRuns => UNASSIGNED_RUNS_SUFFIX,
        }
    }

    /// Splits the suffix of a record of a piece into its kind and the text of the piece's key.
    fn split(suffix: &str) -> Option<(Self, &str)> {
        Self::ALL.into_iter().find_map(|kind| {
            let piece = suffix.strip_prefix(kind.suffix())?.strip_prefix('.')?;
            Some((kind, piece))
        })
    }
}

/// Splits a key into the job that it belongs to and the suffix that tells the kind of record.
/// Returns `None` for a record of the cell itself or an unknown key.
pub fn parse_key(key: &str) -> Option<(JobKey, &str)> {
    if matches!(key, WORKERS_KEY | WORKER_STARTS_KEY | LEASES_KEY) {
        return None;
    }
    let (text, suffix) = key.split_at(key.find('.').unwrap_or(key.len()));
    match text.parse() {
        Ok(job) => Some((job, suffix)),
        Err(err) => {
            // A newer version may store other records, which are skipped.
            log::warn!("event=record-unknown key={key} error={err}");
            None
        }
    }
}

/// Creates the record of a job.
pub fn put_job(key: JobKey, record: &JobRecord) -> (String, Vec<u8>) {
    (key.to_string(), encode(record))
}

/// Creates the record of a job's progress.
pub fn put_progress(key: JobKey, progress: &Progress) -> (String, Vec<u8>) {
    (format!("{key}{PROGRESS_SUFFIX}"), encode(progress))
}

/// Creates the record of a piece, or deletes it if there is no content.
pub fn put_piece<T: Serialize>(
    key: JobKey,
    kind: PieceKind,
    piece: PieceKey,
    content: Option<&T>,
) -> (String, Vec<u8>) {
    let value = content.map_or_else(Vec::new, encode);
    (format!("{key}{}.{piece}", kind.suffix()), value)
}

/// Creates the record of a job's finished repetitions.
pub fn put_finished(key: JobKey, finished: &RepetitionSet) -> (String, Vec<u8>) {
    (format!("{key}{FINISHED_SUFFIX}"), encode(finished))
}

/// Creates the record that deletes a job's finished repetitions.
pub fn delete_finished(key: JobKey) -> (String, Vec<u8>) {
    (format!("{key}{FINISHED_SUFFIX}"), Vec::new())
}

/// Creates the record of the worker crashes during a job's tasks.
pub fn put_crashes(key: JobKey, crashes: &[TaskCrashes]) -> (String, Vec<u8>) {
    (format!("{key}{CRASHES_SUFFIX}"), encode(crashes))
}

/// Creates the record of a job's unassigned runs, or deletes it if there are none.
pub fn put_unassigned_runs(key: JobKey, runs: &[UnassignedRun]) -> (String, Vec<u8>) {
    let value = if runs.is_empty() { Vec::new() } else { encode(runs) };
    (format!("{key}{UNASSIGNED_RUNS_SUFFIX}"), value)
}

/// Creates the record of a job's workspace.
pub fn put_workspace(key: JobKey, workspace: &Name) -> (String, Vec<u8>) {
    (format!("{key}{WORKSPACE_SUFFIX}"), encode(workspace))
}

/// Creates the record that deletes a job's workspace.
pub fn delete_workspace(key: JobKey) -> (String, Vec<u8>) {
    (format!("{key}{WORKSPACE_SUFFIX}"), Vec::new())
}

/// Creates the record that deletes a job.
pub fn delete_job(key: JobKey) -> (String, Vec<u8>) {
    (key.to_string(), Vec::new())
}

/// Creates the record that deletes a job's progress.
pub fn delete_progress(key: JobKey) -> (String, Vec<u8>) {
    (format!("{key}{PROGRESS_SUFFIX}"), Vec::new())
}

/// Creates the record that deletes the worker crashes of a job's tasks.
pub fn delete_crashes(key: JobKey) -> (String, Vec<u8>) {
    (format!("{key}{CRASHES_SUFFIX}"), Vec::new())
}

/// Creates the record that lists the workers in use.
pub fn put_workers(workers: &[WorkerRecord]) -> (String, Vec<u8>) {
    (WORKERS_KEY.to_string(), encode(&workers))
}

/// Creates the record with the start times of the workers in use.
pub fn put_worker_starts(starts: &BTreeMap<Name, Millis>) -> (String, Vec<u8>) {
    (WORKER_STARTS_KEY.to_string(), encode(starts))
}

/// Creates the record of leases.
pub fn put_leases(record: &LeaseRecord) -> (String, Vec<u8>) {
    (LEASES_KEY.to_string(), encode(record))
}

fn encode<T: Serialize + ?Sized>(value: &T) -> Vec<u8> {
    // Encoding into memory fails only for types that these records do not contain.
    postcard::to_stdvec(value).unwrap_or_else(|err| {
        log::error!("event=record-not-encoded error={err:?}");
        Vec::new()
    })
}

impl LeaseRecord {
    /// Converts the times to another clock. `None` if one of them cannot be converted.
    pub fn map_times(&self, convert: impl Fn(Millis) -> Option<Millis>) -> Option<Self> {
        let convert_all = |times: &BTreeMap<Name, Millis>| -> Option<BTreeMap<Name, Millis>> {
            times.iter().map(|(name, time)| Some((name.clone(), convert(*time)?))).collect()
        };
        Some(Self {
            epoch: self.epoch,
            unheard: convert_all(&self.unheard)?,
            long: convert_all(&self.long)?,
        })
    }
}

impl Snapshot {
    /// Applies one record, which replaces an earlier one with the same key.
    ///
    /// # Errors
    /// Returns an error if the value cannot be decoded.
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
        if key == LEASES_KEY {
            self.leases = if value.is_empty() {
                LeaseRecord::default()
            } else {
                postcard::from_bytes(value)?
            };
            return Ok(());
        }
        let Some((job, suffix)) = parse_key(key) else { return Ok(()) };
        match suffix {
            "" => apply_to(&mut self.jobs, job, value),
            PROGRESS_SUFFIX => apply_to(&mut self.progress, job, value),
            FINISHED_SUFFIX => apply_to(&mut self.finished, job, value),
            CRASHES_SUFFIX => apply_to(&mut self.crashes, job, value),
            UNASSIGNED_RUNS_SUFFIX => apply_to(&mut self.unassigned_runs, job, value),
            WORKSPACE_SUFFIX => apply_to(&mut self.workspaces, job, value),
            _ => self.apply_piece(key, job, suffix, value),
        }
    }

    /// Applies the record of a piece.
    fn apply_piece(
        &mut self,
        key: &str,
        job: JobKey,
        suffix: &str,
        value: &[u8],
    ) -> Result<(), postcard::Error> {
        // A newer version may store other records, which are skipped.
        let Some((kind, text)) = PieceKind::split(suffix) else {
            log::warn!("event=record-unknown key={key}");
            return Ok(());
        };
        let piece: PieceKey = match text.parse() {
            Ok(piece) => piece,
            Err(err) => {
                log::warn!("event=record-unknown key={key} error={err}");
                return Ok(());
            }
        };
        match kind {
            PieceKind::Progress => apply_to(&mut self.progress_pieces, (job, piece), value),
            PieceKind::Crashes => apply_to(&mut self.crash_pieces, (job, piece), value),
            PieceKind::UnassignedRuns => apply_to(&mut self.unassigned_pieces, (job, piece), value),
        }
    }

    /// Adds the pieces to the records of their jobs. Returns which of them are in the store.
    pub fn join_pieces(&mut self) -> BTreeMap<(JobKey, PieceKey), StoredPiece> {
        let mut stored: BTreeMap<(JobKey, PieceKey), StoredPiece> = BTreeMap::new();
        for ((job, piece), progress) in std::mem::take(&mut self.progress_pieces) {
            self.progress.entry(job).or_default().steps.push(progress.to_step(piece));
            stored.entry((job, piece)).or_default().progress = true;
        }
        for ((job, piece), crashes) in std::mem::take(&mut self.crash_pieces) {
            self.crashes.entry(job).or_default().extend(crashes);
            stored.entry((job, piece)).or_default().crashes = true;
        }
        for ((job, _), runs) in std::mem::take(&mut self.unassigned_pieces) {
            self.unassigned_runs.entry(job).or_default().extend(runs);
        }
        stored
    }
}

/// Sets the value of a job or a piece, or removes it if the record is empty.
fn apply_to<K: Ord, T: DeserializeOwned>(
    values: &mut BTreeMap<K, T>,
    key: K,
    value: &[u8],
) -> Result<(), postcard::Error> {
    match value.is_empty() {
        true => drop(values.remove(&key)),
        false => drop(values.insert(key, postcard::from_bytes(value)?)),
    }
    Ok(())
}
