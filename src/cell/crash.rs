//! Tasks under which workers crash: counted, then tried alone, then given up.
//!
//! The load that this answers: some tasks each crash every worker that starts them, a few milliseconds
//! after the start, and with the worker all else that ran there. Uncounted, such a task started again
//! every 3.4 s for good, and thirty of them left none of 48 workers in use. Innocent tasks that shared
//! crashed workers are told apart: from its second crash on a task runs alone where there is room for
//! that, so that a third one is its own doing.

use crate::cell::Cell;
use crate::cell::job::Job;
use crate::cell::journal::Fate;
use crate::cell::worker::{Run, Worker};
use crate::clock::Millis;
use crate::id::Name;
use crate::workload::{JobKey, TaskKey};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Crashes from which a task runs alone: with one it is mostly one of the six to fourteen that shared
/// the worker, and to run all of them alone would take as many workers.
const SUSPECT: usize = 2;
/// Crashes after which a task is given up if it ran alone under the last one. The platform's contract
/// allows that after two; a third one is worth a worker for some seconds, for it spares the innocent.
const PROVED: usize = 3;
/// Crashes after which a task is given up however it ran: one more than [`PROVED`], and one less than the
/// contract allows, as one may go uncounted at a takeover.
const MOST: usize = 4;
/// One worker of a service in so many is left to suspects at once: where many workers crash together,
/// there are more suspects than workers.
const TRIAL_SHARE: usize = 8;
/// A lasting task that ran this long did not crash its worker: it is ten times the lease.
const PROVEN: Millis = Millis(60_000);

/// A life of a worker that ended, not by plan, with a run of a task on it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Crash {
    /// The life: each counts once, however often it is noticed.
    pub worker: Name,
    /// Nothing of another job ran there.
    pub is_alone: bool,
}

/// Whether a task surely is what its workers crash under.
fn is_proved(crashes: &[Crash]) -> bool {
    let is_alone = crashes.last().is_some_and(|crash| crash.is_alone);
    crashes.len() >= MOST || (crashes.len() >= PROVED && is_alone)
}

/// Whether a task with so many crashes runs alone.
pub(super) fn is_suspect(crashes: &[Crash]) -> bool {
    crashes.len() >= SUSPECT
}

/// Crashes that count against no task and jobs that were given up, for the metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Lives of workers that ended, not by plan, with something running.
    pub crashed: u64,
    /// Jobs that were given up for a task's crashes.
    pub given_up: u64,
}

impl Cell {
    /// A life of a worker ended, not by plan: counts that against each task that ran there. Returns the
    /// jobs that are given up for it.
    pub(super) fn count_crash(&mut self, now: Millis, name: &Name, worker: &Worker) -> Vec<JobKey> {
        let mut tasks = worker.lapsed.clone();
        let sent = worker.runs.iter().filter(|(_, run)| run.is_sent);
        tasks.extend(sent.map(|((task, _), run)| (*task, run.began)));
        if worker.listed.leaving.is_some() || tasks.is_empty() {
            return Vec::new();
        }
        self.counts.crashed += 1;
        let jobs: BTreeSet<JobKey> = tasks.keys().map(|task| task.step.job).collect();
        let is_alone = jobs.len() == 1;
        let mut given_up = Vec::new();
        for (task, began) in tasks {
            let Some(job) = self.jobs.get_mut(&task.step.job).filter(|job| job.is_open()) else {
                continue;
            };
            let is_proven = has_lasted(job, task, now.since(began), began);
            let step = job.step_mut(task.step);
            let Some(state) = step.and_then(|step| step.tasks.get_mut(task.index as usize)) else {
                continue;
            };
            if is_proven {
                state.crashes.clear();
            } else if !state.crashes.iter().any(|crash| crash.worker == *name) {
                state.crashes.push(Crash { worker: name.clone(), is_alone });
            }
            let (count, is_proved) = (state.crashes.len(), is_proved(&state.crashes));
            self.dirty.insert(task.step.job);
            log::info!(
                "event=crash-counted task={task} worker={name} crashes={count} alone={is_alone}"
            );
            if is_proved {
                log::warn!("event=given-up task={task} crashes={count} alone={is_alone}");
                given_up.push(task.step.job);
            }
        }
        given_up
    }

    /// Ends jobs with a task that crashes its workers.
    pub(super) fn give_up(&mut self, now: Millis, jobs: Vec<JobKey>) {
        for job in jobs {
            self.counts.given_up += 1;
            self.close(now, job, Fate::Failed);
        }
    }

    /// The crashes under a task.
    pub(super) fn crashes(&self, task: TaskKey) -> &[Crash] {
        let step = self.jobs.get(&task.step.job).and_then(|job| job.step(task.step));
        let state = step.and_then(|step| step.tasks.get(task.index as usize));
        state.map(|state| state.crashes.as_slice()).unwrap_or_default()
    }

    /// Leaves a worker to a suspect, unless as many as may be are left to others.
    pub(super) fn try_alone(&mut self, name: &Name, task: TaskKey) {
        let Some(service) = self.workers.get(name).map(|worker| worker.listed.service.clone())
        else {
            return;
        };
        let of_service = self.workers.values().filter(|worker| worker.listed.service == service);
        let (mut all, mut tried) = (0, 0);
        for worker in of_service {
            all += 1;
            tried += usize::from(worker.tried_job().is_some());
        }
        if tried >= (all / TRIAL_SHARE).max(1) {
            return;
        }
        if let Some(worker) = self.workers.get_mut(name) {
            log::info!("event=tried-alone task={task} worker={name}");
            worker.trial = Some(task.step.job);
        }
    }
}

/// Whether a lasting task ran so long that its worker's crash is not its doing.
fn has_lasted(job: &Job, task: TaskKey, length: Millis, began: Millis) -> bool {
    let is_lasting = job.spec(task.step.step).is_some_and(|spec| spec.lasting);
    is_lasting && began.0 > 0 && length >= PROVEN
}

impl Worker {
    /// The job that the worker is left to, while anything of it is there.
    pub(super) fn tried_job(&self) -> Option<JobKey> {
        self.trial.filter(|job| self.runs.keys().any(|(task, _)| task.step.job == *job))
    }

    /// Its leases are over and its runs with them; whether its life is, nobody knows yet.
    pub(super) fn lapse(&mut self, task: TaskKey, run: &Run) {
        if run.is_sent {
            self.lapsed.insert(task, run.began);
        }
    }
}

/// Runs whose leases are over, with the times when they began.
pub(super) type Lapsed = BTreeMap<TaskKey, Millis>;
