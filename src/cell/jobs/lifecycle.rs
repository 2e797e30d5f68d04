//! State changes of jobs and of their runs: opened, stopped, abandoned, closed, forgotten.

use crate::cell::jobs::step::TaskStatus;
use crate::cell::records::journal::JobOutcome;
use crate::cell::workers::roster::ENDED_INCARNATION_RETENTION;
use crate::cell::workers::run::Phase;
use crate::cell::workers::worker::Worker;
use crate::cell::{Action, Cell};
use crate::clock::Millis;
use crate::id::Name;
use crate::visits;
use crate::workload::{JobKey, StepKey, TaskKey};
use std::collections::{BTreeMap, BTreeSet};

/// The interval between calls of [`Cell::tick`], which sends unanswered stops again and expires
/// leases. It is a tenth of the longest time that a caller waits for an answer.
pub const TICK_INTERVAL: Millis = Millis(100);
/// How much longer than promised a closed job can be asked for.
const RETENTION_MARGIN: Millis = Millis(10_000);
/// How long a closed job keeps its definition, while its runs are stopped.
const DEFINITION_RETENTION: Millis = Millis(2_000);

impl Cell {
    /// Opens a new or restored job: steps without dependencies are opened, or scheduled for when
    /// they are due. Their tasks can be assigned to workers at once, and start once the job is in
    /// the store. A job for which there is no memory is opened later.
    pub(in crate::cell) fn open_job(&mut self, now: Millis, key: JobKey) {
        if !self.reserve_memory(key) {
            self.held_jobs.insert(key);
            return;
        }
        self.watch_lateness(key);
        let open = self.jobs.get(&key).map(|job| job.open.keys().copied().collect::<Vec<_>>());
        for repetition in open.into_iter().flatten() {
            self.open_unblocked(now, key, repetition);
        }
        self.open_due(now, key, Millis(0));
    }

    /// Opens a step whose dependencies are done and whose scheduled time has come.
    pub(in crate::cell) fn open_step(&mut self, now: Millis, key: StepKey) {
        let Some(job) = self.jobs.get_mut(&key.job).filter(|job| job.is_open()) else { return };
        let Some(step) = job.step_mut(key) else { return };
        step.ready_since.get_or_insert(now);
        self.make_ready(key);
    }

    /// Adds an open step to the steps to be placed if any of its tasks needs a worker.
    pub(in crate::cell) fn make_ready(&mut self, key: StepKey) {
        let Some(job) = self.jobs.get(&key.job).filter(|job| job.is_open()) else { return };
        let Some(step) = job.step(key) else { return };
        if step.ready_since.is_none() || step.waiting.is_empty() {
            return;
        }
        self.ready_steps.insert(job.rank(), key);
        self.needs_placement = true;
    }

    /// Sorts the steps to be placed again, because a new policy may have changed the ranks of their
    /// jobs.
    pub(in crate::cell) fn rebuild_ready(&mut self) {
        let keys: Vec<StepKey> = self.ready_steps.iter().collect();
        self.ready_steps.clear();
        for key in keys {
            self.make_ready(key);
        }
    }

    /// Marks a task as done, or the whole gang if it belongs to one, and finishes the step with its
    /// last task.
    pub(in crate::cell) fn finish_task(&mut self, now: Millis, task: TaskKey) {
        let Some(job) = self.jobs.get_mut(&task.step.job).filter(|job| job.is_open()) else {
            return;
        };
        let is_gang = job.spec(task.step.step).is_some_and(|spec| spec.is_gang);
        let Some(step) = job.step_mut(task.step) else { return };
        let is_new = match is_gang {
            true => (0..step.tasks.len() as u32).filter(|index| step.finish(*index)).count() > 0,
            false => step.finish(task.index),
        };
        if !is_new {
            return;
        }
        let is_finished = step.unfinished == 0;
        self.dirty_jobs.insert(task.step.job);
        if is_finished {
            self.finish_step(now, task.step);
        }
    }

    /// Opens the steps that depended on a step, or closes the job if all its steps are done.
    fn finish_step(&mut self, now: Millis, key: StepKey) {
        self.finish_repetition(key);
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        if job.is_done() {
            return self.close_job(now, key.job, JobOutcome::Completed);
        }
        let next: Vec<StepKey> =
            job.dependents(key).into_iter().filter(|step| job.dependencies_done(*step)).collect();
        for step in next {
            self.open_step(now, step);
        }
    }

    /// Closes a job: none of its tasks is started any more, and its runs are stopped.
    pub(in crate::cell) fn close_job(&mut self, now: Millis, key: JobKey, outcome: JobOutcome) {
        let batch = self.open_batch;
        let Some(job) = self.jobs.get_mut(&key).filter(|job| job.is_open()) else { return };
        log::info!(
            "event=job-closed job={key} fate={outcome:?} queue={} age_ms={} batch={batch} epoch={}",
            job.queue.name,
            now.since(job.known_since),
            self.epoch
        );
        job.closed = Some((outcome, batch, now));
        let steps = job.step_keys(key);
        job.open = BTreeMap::new();
        self.charge_job(key);
        for step in steps {
            self.ready_steps.remove(step);
            self.advice_queue.cancel(step);
            self.reservations.release(step);
        }
        self.dirty_jobs.insert(key);
        self.closed_jobs.push_back(key);
        self.defined_jobs.push_back(key);
        self.track_unassigned(key);
        // A task may have other runs than the one that it is assigned as, such as one that it has a
        // copy of.
        let runs_of = |(name, worker): (&Name, &Worker)| -> Vec<(Name, TaskKey, u64)> {
            worker.runs_of(key).map(|(task, run)| (name.clone(), *task, run.run)).collect()
        };
        let runs: Vec<_> = self.workers.iter().flat_map(runs_of).collect();
        for (worker, task, run) in runs {
            self.stop_run(&worker, task, run);
        }
    }

    /// Discards jobs that were not accepted. None of their starts was sent, so no run has to be
    /// stopped.
    ///
    /// The callers may submit the jobs again under the same keys, so nothing may be left that refers to
    /// them: a start that stayed queued would be sent together with that of the new binding.
    pub(in crate::cell) fn discard_jobs(&mut self, keys: &BTreeSet<JobKey>) {
        if !keys.iter().any(|key| self.jobs.contains_key(key)) {
            return;
        }
        for key in keys {
            self.discard_job(*key);
        }
        visits::add(self.start_timers.len() + self.unsent_starts.len());
        self.start_timers.retain(|(_, key)| !keys.contains(key));
        self.unsent_starts.retain(|(_, _, start)| !keys.contains(&start.task.step.job));
        self.needs_placement = true;
    }

    /// Discards the state of a job, except what refers to it in the lists of all jobs.
    fn discard_job(&mut self, key: JobKey) {
        let Some(job) = self.jobs.remove(&key) else { return };
        self.memory.replace(job.charged_bytes, 0);
        self.held_jobs.remove(&key);
        for step in job.step_keys(key) {
            self.ready_steps.remove(step);
            self.advice_queue.cancel(step);
            self.reservations.release(step);
        }
        self.stored_unassigned.remove(&key);
        for worker in self.workers.values_mut() {
            worker.remove_unsent_runs(key);
        }
    }

    /// Stops a run. Its resources stay charged until the worker reports that it has ended.
    pub(in crate::cell) fn stop_run(&mut self, name: &Name, task: TaskKey, run: u64) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        let Some(known) = worker.runs.get_mut(&(task, run)) else { return };
        if matches!(known.phase, Phase::Stopping(_)) {
            return;
        }
        known.phase = Phase::Stopping(None);
        known.stop_pending = true;
        self.actions.push(Action::Stop { worker: name.clone(), task, run });
    }

    /// Removes a run that ended without success or never started, and lets its task wait for a
    /// worker again.
    pub(in crate::cell) fn abandon_run(&mut self, name: &Name, task: TaskKey, run: u64) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.remove_run(task, run);
            self.needs_placement = true;
        }
        self.requeue_task(task, run);
    }

    /// Lets the task of an ended run wait for a worker again, unless the task is assigned as
    /// another run.
    pub(in crate::cell) fn requeue_task(&mut self, task: TaskKey, run: u64) {
        let Some(job) = self.jobs.get_mut(&task.step.job).filter(|job| job.is_open()) else {
            return;
        };
        let Some(step) = job.step_mut(task.step) else { return };
        let status = step.tasks.get(task.index as usize).map(|task| task.status.clone());
        let is_assigned =
            matches!(status, Some(TaskStatus::Placed { run: placed, .. }) if placed == run);
        if is_assigned {
            step.requeue(task.index);
            self.dirty_jobs.insert(task.step.job);
            self.make_ready(task.step);
            self.stop_rest_of_gang(task.step, run);
        }
    }

    /// Stops the other runs of a gang of which one has ended. Where members end one after the other,
    /// only the first end has the others stopped.
    fn stop_rest_of_gang(&mut self, key: StepKey, run: u64) {
        let step = self.jobs.get_mut(&key.job).and_then(|job| job.step_mut(key));
        let Some(step) = step.filter(|step| step.stopped_run != Some(run)) else { return };
        step.stopped_run = Some(run);
        self.stop_incomplete_gang(key);
    }

    /// Stops the remaining runs of a gang in which a task has no run, because its tasks work only
    /// together.
    pub(in crate::cell) fn stop_incomplete_gang(&mut self, key: StepKey) {
        let Some(job) = self.jobs.get(&key.job).filter(|job| job.is_open()) else { return };
        let (Some(spec), Some(step)) = (job.spec(key.step), job.step(key)) else { return };
        if !spec.is_gang || step.waiting.is_empty() || step.unfinished == 0 {
            return;
        }
        visits::add(step.tasks.len());
        let placed: Vec<(Name, TaskKey, u64)> = step
            .tasks
            .iter()
            .enumerate()
            .filter_map(|(index, task)| match &task.status {
                TaskStatus::Placed { worker, run } => {
                    Some((worker.clone(), TaskKey { step: key, index: index as u32 }, *run))
                }
                _ => None,
            })
            .collect();
        for (worker, task, run) in placed {
            self.stop_run(&worker, task, run);
        }
    }

    /// Does what depends on time: opens scheduled steps, expires leases and unconfirmed crashes,
    /// forgets old jobs. `wall` is the time of day.
    pub fn tick(&mut self, now: Millis, wall: Millis) {
        self.open_due_repetitions(now, wall);
        self.update_ranks(now);
        self.resend_stops();
        self.move_drained_tasks();
        self.center_speeds();
        self.update_unassigned();
        if !self.is_overloaded {
            self.expire_leases(now);
        }
        self.check_unknown_runs(now);
        self.update_leases(now);
        self.log_unheard_workers(now);
        self.expire_unconfirmed(now);
        self.fail_undecided_jobs(now);
        self.check_stability(now);
        self.ended_incarnations.retain(|_, since| now.since(*since) < ENDED_INCARNATION_RETENTION);
        self.drop_definitions(now);
        self.forget_closed_jobs(now);
        if self.reservations.expire(now) {
            self.needs_placement = true;
        }
        self.expire_requests(now);
        self.request_advice_ahead(now);
        self.log_advice_load(now);
    }

    /// Lets inherited tasks start once every worker that an earlier owner used has reported all
    /// ends, or its leases have expired: until then an earlier owner may have started them without
    /// a record.
    fn check_unknown_runs(&mut self, now: Millis) {
        let Some(log_timer) = self.unrecorded_starts.as_mut() else { return };
        let is_pending = |worker: &&Worker| !worker.ends_known && now < worker.lease_end;
        let mut unknown = self.workers.values().filter(is_pending);
        if let Some(first) = unknown.next() {
            let time_left = first.lease_end - now;
            let (first, others) = (first.listed.id.clone(), unknown.count());
            if log_timer.is_due(now) {
                log::info!(
                    "event=runs-unknown epoch={} worker={first} others={others} left_ms={time_left}",
                    self.epoch
                );
            }
            return;
        }
        log::info!("event=all-runs-known epoch={}", self.epoch);
        self.release_inherited_tasks();
    }

    /// Notes that no start was sent without a record in the store, so inherited tasks need not wait
    /// for workers to report. Returns whether that was unknown before.
    pub fn trust_records(&mut self) -> bool {
        let was_uncertain = self.unrecorded_starts.is_some();
        if was_uncertain {
            self.release_inherited_tasks();
        }
        was_uncertain
    }

    /// Lets inherited tasks start, and stops gangs of which not all tasks run.
    fn release_inherited_tasks(&mut self) {
        self.unrecorded_starts = None;
        self.needs_placement = true;
        let gangs: Vec<StepKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.is_open())
            .flat_map(|(key, job)| job.step_keys(*key))
            .collect();
        for step in gangs {
            self.stop_incomplete_gang(step);
        }
    }

    /// Drops the definitions of jobs that have been closed for [`DEFINITION_RETENTION`]. Only how a
    /// job ended is kept until it is forgotten.
    fn drop_definitions(&mut self, now: Millis) {
        while let Some(key) = self.defined_jobs.front().copied() {
            let at = self.jobs.get(&key).and_then(|job| job.closed).map(|(_, _, at)| at);
            if at.is_some_and(|at| now.since(at) < DEFINITION_RETENTION) {
                break;
            }
            self.defined_jobs.pop_front();
            if let Some(job) = self.jobs.get_mut(&key) {
                job.drop_definition();
            }
            self.charge_job(key);
        }
    }

    /// Forgets closed jobs that were kept for long enough.
    fn forget_closed_jobs(&mut self, now: Millis) {
        let retention = self.config.job_retention + RETENTION_MARGIN;
        while let Some(key) = self.closed_jobs.front().copied() {
            let at = self.jobs.get(&key).and_then(|job| job.closed).map(|(_, _, at)| at);
            if at.is_some_and(|at| now.since(at) < retention) {
                break;
            }
            self.closed_jobs.pop_front();
            let job = self.jobs.remove(&key);
            self.memory.replace(job.as_ref().map_or(0, |job| job.charged_bytes), 0);
            let workspace = job.and_then(|job| job.workspace);
            self.dirty_jobs.insert(key);
            self.actions.push(Action::JobForgotten(key, workspace));
        }
    }
}
