//! Restores the jobs that earlier owners wrote to the store, with their runs.

use crate::cell::jobs::job::{Job, StoredPiece};
use crate::cell::records::journal::{JobOutcome, JobRecord, Progress, Snapshot, WorkerRecord};
use crate::cell::records::pieces::PieceKey;
use crate::cell::workers::run::{Phase, Run};
use crate::cell::workers::worker::Worker;
use crate::cell::{Action, Cell};
use crate::clock::Millis;
use crate::id::Name;
use crate::order::WorkerInfo;
use crate::workload::{JobKey, Queue, Resources, StepKey, TaskKey};
use std::collections::BTreeMap;
use std::sync::Arc;

impl Cell {
    /// Restores the state that earlier owners wrote to the store.
    pub(in crate::cell) fn restore_snapshot(&mut self, mut snapshot: Snapshot, now: Millis) {
        let stored_pieces = snapshot.join_pieces();
        let start_times = snapshot.worker_starts;
        self.stored_workspaces = snapshot.workspaces.keys().copied().collect();
        for record in snapshot.workers {
            let started_at = start_times.get(&record.id).copied();
            let may_have_restarted = started_at.is_some();
            let lease_end = self.inherited_lease_end(
                now,
                &snapshot.lease_bounds,
                &record.id,
                may_have_restarted,
            );
            let mut worker = Worker::new(placeholder_listing(record, started_at), 0, lease_end);
            worker.is_listed = false;
            self.actions.push(Action::Watch(worker.listed.clone()));
            self.workers.insert(worker.listed.id.clone(), worker);
        }
        for (key, record) in snapshot.jobs {
            let workspace = snapshot.workspaces.get(&key).cloned();
            let unassigned = snapshot.unassigned_runs.get(&key).map_or(&[][..], Vec::as_slice);
            match record {
                JobRecord::Forwarded { cell } => drop(self.forwarded.insert(key, (cell, 0))),
                JobRecord::Closed { queue, outcome } => {
                    let job = Job::ended(self.queue_or_placeholder(queue), outcome, now);
                    let mut job = Job { workspace, ..job };
                    // An owner that ended between two appends may have left records of the open job.
                    job.has_progress = snapshot.progress.contains_key(&key);
                    job.has_crashes = snapshot.crashes.contains_key(&key);
                    job.has_finished = snapshot.finished.contains_key(&key);
                    job.stored_pieces = pieces_of(key, &stored_pieces);
                    if job.has_records() {
                        self.dirty_jobs.insert(key);
                    }
                    self.jobs.insert(key, job);
                    self.charge_job(key);
                    self.closed_jobs.push_back(key);
                    self.restore_unassigned(now, key, unassigned);
                }
                JobRecord::Open { queue, work } => {
                    let queue = self.queues.get(&queue.name).cloned().unwrap_or(Arc::new(queue));
                    let mut job = Job::new(queue, work, now, 0);
                    (job.is_inherited, job.workspace) = (true, workspace);
                    job.stored_pieces = pieces_of(key, &stored_pieces);
                    if let Some(finished) = snapshot.finished.get(&key) {
                        job.finished.clone_from(finished);
                        job.has_finished = true;
                    }
                    if let Some(progress) = snapshot.progress.get(&key) {
                        job.restore_progress(progress);
                    }
                    if let Some(crashes) = snapshot.crashes.get(&key) {
                        job.restore_crashes(crashes);
                        self.recount_jobs.insert(key);
                        for record in crashes {
                            let (repetition, step) = record.step_index;
                            let step = StepKey { job: key, repetition, step };
                            let task = TaskKey { step, index: record.index };
                            self.unconfirmed_crashes.add(now, task, &record.crashes);
                        }
                    }
                    let (done, was_placed) = (job.is_done(), job.was_placed);
                    self.jobs.insert(key, job);
                    if was_placed {
                        self.charge_job(key);
                    }
                    if let Some(progress) = snapshot.progress.get(&key) {
                        self.restore_runs(now, key, progress);
                    }
                    self.restore_unassigned(now, key, unassigned);
                    if let Some(job) = self.jobs.get_mut(&key) {
                        job.mark_idle_at_takeover();
                    }
                    match done {
                        true => self.close_job(now, key, JobOutcome::Completed),
                        false => self.open_job(now, key),
                    }
                }
            }
        }
        self.log_held_jobs();
    }

    /// Logs the jobs that are not opened before there is memory for them.
    fn log_held_jobs(&self) {
        let is_held = |key: &&JobKey| self.jobs.get(key).is_some_and(|job| job.charged_bytes == 0);
        let held = self.held_jobs.iter().filter(is_held).count();
        if held > 0 {
            log::warn!(
                "event=jobs-held why=memory jobs={held} used={} epoch={}",
                self.memory.used(),
                self.epoch
            );
        }
    }

    /// Restores the runs that an earlier owner assigned to workers. They are kept until the worker
    /// reports them or is removed, or its leases expire.
    fn restore_runs(&mut self, now: Millis, key: JobKey, progress: &Progress) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let (owner, work) = (job.workspace.clone(), job.work.clone());
        for record in &progress.steps {
            let step_key =
                StepKey { job: key, repetition: record.step_index.0, step: record.step_index.1 };
            let Some(spec) = work.steps.get(usize::from(step_key.step)) else {
                // The record is of another definition, so that none of its runs can be restored.
                log::error!("event=step-unknown step={step_key} steps={}", work.steps.len());
                continue;
            };
            let Some(step) = job.step_mut(step_key) else { continue };
            for task in &record.tasks {
                let Some((number, name)) = &task.assignment else { continue };
                let Some(worker) = self.workers.get_mut(name) else { continue };
                if !step.waiting.contains(&task.index) {
                    continue;
                }
                step.place(task.index, name.clone(), *number);
                // The run is considered over unless the first report of the worker names it.
                let mut run = Run::new(*number, spec, Phase::Running(Millis(0)));
                run.usage_guard =
                    owner.as_ref().map(|owner| self.usages.acquire(owner, spec.resources));
                // The earlier owner may have sent the start.
                (run.is_sent, run.known_since) = (true, now);
                worker.add_run(TaskKey { step: step_key, index: task.index }, run);
            }
        }
    }

    /// The queue with a name, or a placeholder if the policy has no such queue any more.
    fn queue_or_placeholder(&self, name: Name) -> Arc<Queue> {
        let unknown = || {
            Arc::new(Queue {
                name: name.clone(),
                service: "".into(),
                priority: 0,
                max_attempts: 1,
                stretch: 1_000,
                target: Millis(0),
                advice: None,
            })
        };
        self.queues.get(&name).cloned().unwrap_or_else(unknown)
    }
}

/// The pieces of a job among those of all jobs.
fn pieces_of(
    key: JobKey,
    stored: &BTreeMap<(JobKey, PieceKey), StoredPiece>,
) -> BTreeMap<PieceKey, StoredPiece> {
    let of_job = stored.range((key, PieceKey::FIRST)..=(key, PieceKey::LAST));
    of_job.map(|((_, piece), stored)| (*piece, *stored)).collect()
}

/// A list entry for a worker that is only known from the store, without resources until it is
/// listed.
fn placeholder_listing(record: WorkerRecord, started_at: Option<Millis>) -> WorkerInfo {
    WorkerInfo {
        id: record.id,
        started_at,
        service: record.service,
        addr: record.addr,
        domain: "".into(),
        capacity: Resources::default(),
        labels: Vec::new(),
        leaves_in: None,
    }
}
