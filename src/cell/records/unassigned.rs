//! Runs that may be on workers although their tasks are not assigned as them.
//!
//! Such runs count towards the usage of their workspace until their worker reports that they ended.
//! The next owner does not learn of them from the progress of their jobs: a closed job has none, and
//! that of an open job names the last run of each task only. It would start tasks beyond the limits
//! of the workspace until it has heard the workers.

use crate::cell::Cell;
use crate::cell::jobs::job::Job;
use crate::cell::jobs::step::{PIECE_TASKS, TaskStatus};
use crate::cell::records::journal::{self, PieceKind, UnassignedRun};
use crate::cell::records::pieces::{PieceKey, split_unassigned};
use crate::cell::workers::run::{Phase, Run};
use crate::clock::Millis;
use crate::id::Name;
use crate::workload::{JobKey, Step, StepKey, TaskKey};
use std::collections::{BTreeMap, BTreeSet};

impl Cell {
    /// Notes that runs of a job may become unassigned. They are stored if the job has a workspace,
    /// because nothing else depends on them.
    pub(in crate::cell) fn track_unassigned(&mut self, key: JobKey) {
        if self.jobs.get(&key).is_some_and(|job| job.workspace.is_some()) {
            self.stored_unassigned.entry(key).or_default();
            self.dirty_jobs.insert(key);
        }
    }

    /// Appends the record of a job's unassigned runs if it may have any.
    pub(in crate::cell) fn write_unassigned(
        &mut self,
        key: JobKey,
        records: &mut Vec<(String, Vec<u8>)>,
    ) {
        let Some(stored) = self.stored_unassigned.remove(&key) else { return };
        let runs = self.unassigned_runs(key);
        write_runs(key, &stored, &runs, records);
        if !runs.is_empty() {
            self.stored_unassigned.insert(key, runs);
        }
    }

    /// Has the jobs stored again whose unassigned runs have changed, mostly because they have ended.
    pub(in crate::cell) fn update_unassigned(&mut self) {
        let stored = self.stored_unassigned.iter();
        let changed = stored.filter(|(key, runs)| self.unassigned_runs(**key) != **runs);
        self.dirty_jobs.extend(changed.map(|(key, _)| *key).collect::<Vec<JobKey>>());
    }

    /// Restores the unassigned runs of a job. They are stopped, as a job has no use for them.
    pub(in crate::cell) fn restore_unassigned(
        &mut self,
        now: Millis,
        key: JobKey,
        runs: &[UnassignedRun],
    ) {
        let Some(workspace) = self.jobs.get(&key).and_then(|job| job.workspace.clone()) else {
            return;
        };
        if !runs.is_empty() {
            self.stored_unassigned.insert(key, runs.to_vec());
        }
        for record in runs {
            let Some(worker) = self.workers.get_mut(&record.worker) else { continue };
            let (repetition, step) = record.step_index;
            let step = StepKey { job: key, repetition, step };
            let task = TaskKey { step, index: record.index };
            if worker.runs.contains_key(&(task, record.run)) {
                continue;
            }
            let usage_guard = Some(self.usages.acquire(&workspace, record.usage));
            let new = Run::new(record.run, &Step::default(), Phase::Stopping(None));
            let run =
                Run { charge: record.charge, usage_guard, is_sent: true, known_since: now, ..new };
            worker.add_run(task, run);
        }
    }

    /// The runs of a job that may be on workers and that its tasks are not assigned as.
    fn unassigned_runs(&self, key: JobKey) -> Vec<UnassignedRun> {
        let Some(job) = self.jobs.get(&key) else { return Vec::new() };
        let mut found = Vec::new();
        for (name, worker) in &self.workers {
            for (task, run) in worker.runs_of(key) {
                let usage = run.usage_guard.as_ref().map(|guard| guard.room());
                if run.is_sent && !is_assigned(job, *task, name, run.run) {
                    found.push(UnassignedRun {
                        step_index: (task.step.repetition, task.step.step),
                        index: task.index,
                        run: run.run,
                        worker: name.clone(),
                        charge: run.charge,
                        usage: usage.unwrap_or_default(),
                    });
                }
            }
        }
        found
    }
}

/// Appends the record of the unassigned runs of a job, or the records of the pieces that have
/// changed if there are many runs.
fn write_runs(
    key: JobKey,
    stored: &[UnassignedRun],
    runs: &[UnassignedRun],
    records: &mut Vec<(String, Vec<u8>)>,
) {
    let is_whole = |runs: &[UnassignedRun]| runs.len() <= PIECE_TASKS as usize;
    let pieces = |runs: &[UnassignedRun]| match is_whole(runs) {
        true => BTreeMap::new(),
        false => split_unassigned(runs),
    };
    let (before, after) = (pieces(stored), pieces(runs));
    let keys: BTreeSet<PieceKey> = before.keys().chain(after.keys()).copied().collect();
    for piece in keys.into_iter().filter(|piece| before.get(piece) != after.get(piece)) {
        let runs = after.get(&piece);
        records.push(journal::put_piece(key, PieceKind::UnassignedRuns, piece, runs));
    }
    let whole = if is_whole(runs) { runs } else { &[] };
    if !(stored.is_empty() && runs.is_empty()) && (is_whole(stored) || is_whole(runs)) {
        records.push(journal::put_unassigned_runs(key, whole));
    }
}

/// Whether a task is assigned to a worker as a run.
fn is_assigned(job: &Job, task: TaskKey, name: &Name, run: u64) -> bool {
    let state = job.step(task.step).and_then(|step| step.tasks.get(task.index as usize));
    state.is_some_and(|state| {
        matches!(&state.status, TaskStatus::Placed { worker, run: placed }
            if worker == name && *placed == run)
    })
}
