//! Reports of workers: runs that go on, runs that ended, and throttling of filler tasks beside
//! tasks that serve requests.

use crate::cell::jobs::crash::SentRuns;
use crate::cell::jobs::step::TaskStatus;
use crate::cell::records::journal::JobOutcome;
use crate::cell::workers::roster::RemovalReason;
use crate::cell::workers::run::{Phase, Run};
use crate::cell::workers::worker::Worker;
use crate::cell::{Action, Cell, ReportCall};
use crate::clock::Millis;
use crate::id::Name;
use crate::order::{EndReason, EndedTask, Refusal, ReportError, RunningTask, WorkerReport};
use crate::workload::{Resources, Step, TaskKey};
use std::collections::BTreeSet;

/// Filler tasks are slowed down when a tail latency on their worker reaches this percentage of its
/// limit.
const SLOW_DOWN_PERCENT: f64 = 80.0;
/// Filler tasks are sped up when all tail latencies on their worker are below this percentage of
/// their limits.
const SPEED_UP_PERCENT: f64 = 55.0;
/// By how many percentage points the share of a filler task is raised at a time.
const SPEED_UP_STEP: u32 = 20;
/// A share that would fall below this percentage is set to zero.
const MIN_SHARE_PERCENT: u32 = 10;
/// The least time between two changes of shares on a worker. The latencies in a report cover the
/// last half second.
const THROTTLE_INTERVAL: Millis = Millis(600);

impl Cell {
    /// The parameters of the next report call to a worker, with a renewal of its lease if `renew`
    /// is set; `None` if the worker is not known any more. The lease of an unreachable worker is
    /// not renewed, because its tasks are started elsewhere once it has expired.
    pub fn report_call(&mut self, now: Millis, name: &Name, renew: bool) -> Option<ReportCall> {
        let lease = self.config.lease;
        let is_recorded = !self.leases.may_renew(name);
        let worker = self.workers.get_mut(name)?;
        // If the worker is lost, its tasks wait until its lease expires.
        let is_answering = worker.is_reachable && !worker.has_missed_report();
        let may_renew = renew && is_answering && !is_recorded && !self.has_left;
        let lease_end = match may_renew {
            true => worker.renew_lease(now, lease),
            false => None,
        };
        // The worker may have restarted. An incarnation that is told the last end of the previous
        // one would drop ends that were never received. A lease end by the clock of the previous
        // one does no harm: the worker shortens it to the longest lease.
        let confirmed = if worker.may_have_restarted() { 0 } else { worker.confirmed_end() };
        Some(ReportCall { confirmed, lease_end, is_recorded })
    }

    /// The batch that must be in the store before all ends received from a worker can be confirmed
    /// to it.
    pub fn unstored_ends_batch(&self, name: &Name) -> Option<u64> {
        self.workers
            .get(name)
            .and_then(Worker::unstored_batch)
            .filter(|batch| *batch > self.stored_batch)
    }

    /// Handles a report call that failed. Returns whether to pause before the next call.
    ///
    /// A single report may be lost on the network, so a worker is considered unreachable only when
    /// the next one is missing too.
    pub fn on_missing_report(&mut self, now: Millis, name: &Name, error: &ReportError) -> bool {
        match error {
            ReportError::Refused(Refusal::StaleFence) => self.actions.push(Action::Deposed),
            ReportError::Refused(Refusal::OtherIncarnation) => {
                self.remove_worker(now, name, RemovalReason::Replaced)
            }
            ReportError::Refused(_) => self.mark_unreachable(now, name),
            ReportError::NoReply(err) => {
                log::debug!("event=report-call-failed worker={name} error={err:?}");
                if let Some(worker) = self.workers.get_mut(name) {
                    worker.suspect_restart();
                }
                if self.is_overloaded {
                    return true;
                }
                let Some(worker) = self.workers.get_mut(name) else { return false };
                if !worker.record_missing_report() {
                    self.suspect_worker(now, name);
                    return false;
                }
                self.mark_unreachable(now, name);
            }
        }
        true
    }

    /// Handles the report of a worker to a call that was sent at `sent`.
    pub fn on_report(&mut self, now: Millis, sent: Millis, name: &Name, report: &WorkerReport) {
        if self
            .workers
            .get(name)
            .is_some_and(|worker| worker.is_other_incarnation(report.started_at))
        {
            self.on_worker_restart(now, sent, name, report);
        }
        let Some(worker) = self.workers.get_mut(name) else { return };
        if !worker.is_reachable {
            let (running, ended) = (report.running.len(), report.ended.len());
            log::info!(
                "event=worker-reachable worker={name} born={:?} listed_born={:?} clock={} confirmed={} \
                 running={running} ended={ended}",
                report.started_at,
                worker.listed.started_at,
                report.clock,
                worker.confirmed_end()
            );
            self.needs_placement = true;
        }
        self.needs_placement = self.needs_placement || worker.has_unanswered();
        // If an earlier owner did not know when the worker started, the start time has to be stored
        // for the next one.
        self.workers_dirty |= worker.record_report(now, sent, report);
        self.leases.record_report(name);
        self.resolve_by_report(name);
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.has_reported = true;
        if worker.note_listed_ends(report) {
            log::info!(
                "event=ends-listed worker={name} all={} listed={} confirmed={}",
                !report.has_more_ends,
                report.ended.len(),
                worker.confirmed_end()
            );
        }
        for row in &report.ended {
            let Some(worker) = self.workers.get_mut(name) else { return };
            if worker.has_recorded_end(row.seq) {
                continue;
            }
            let run = worker.remove_run(row.task, row.run);
            self.needs_placement = true;
            if let Some(run) =
                run.filter(|run| row.reason == EndReason::Done && run.started_at.0 > 0)
            {
                self.record_run_time(name, row.task, &run, now.since(run.started_at));
            }
            self.on_run_end(now, name, row);
            // An end that changes no job needs no record, and can be confirmed once the earlier
            // batches are in the store.
            let batch =
                if self.dirty_jobs.is_empty() { self.open_batch - 1 } else { self.open_batch };
            let stored_batch = self.stored_batch;
            if let Some(worker) = self.workers.get_mut(name) {
                worker.record_end(row.seq, batch);
                worker.mark_stored(stored_batch);
            }
        }
        for row in &report.running {
            self.update_run(now, name, row);
        }
        self.confirm_inherited_runs(name, report);
        if !report.has_more_ends {
            self.drop_vanished_runs(sent, name, report);
            self.duplicate_stragglers(now, name);
        }
        self.throttle_fillers(now, name, report);
    }

    /// Finds stalled and late runs on a worker, and lets their tasks run on another worker too if
    /// copies are allowed.
    fn duplicate_stragglers(&mut self, now: Millis, name: &Name) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        let stragglers = worker.find_stragglers(now);
        if stragglers.is_empty() {
            return;
        }
        let sent = SentRuns::new(worker);
        for (task, run) in stragglers {
            log::info!("event=straggler task={task} run={run} worker={name}");
            self.allow_duplicate(now, name, &sent, task, run);
        }
    }

    /// Adds the time that a completed run took to the statistics of its queue and of its worker.
    fn record_run_time(&mut self, name: &Name, task: TaskKey, run: &Run, run_time: Millis) {
        let Some(job) = self.jobs.get(&task.step.job) else { return };
        let Some(spec) = job.spec(task.step.step).filter(|spec| !spec.long_running) else { return };
        let Some(worker) = self.workers.get_mut(name) else { return };
        let run_times = self.run_times.entry(job.queue.name.clone()).or_default();
        // The tasks of a gang end together, with the slowest, and a task that continues from a
        // checkpoint has less to do.
        let tells_speed = !spec.is_gang && !run.is_resumed;
        if let Some(expected) = run_times.expected(spec.estimate).filter(|_| tells_speed) {
            worker.speed.add(expected, run_time);
        }
        run_times.add(spec.estimate, run_time, worker.speed.ratio());
    }

    /// Handles the end of a run.
    fn on_run_end(&mut self, now: Millis, name: &Name, row: &EndedTask) {
        let task = row.task;
        log::info!(
            "event=run-ended task={task} run={} worker={name} end={:?}",
            row.run,
            row.reason
        );
        self.mark_job_started(now, task.step.job);
        self.open_reported(now, task.step);
        let Some(job) = self.jobs.get_mut(&task.step.job).filter(|job| job.is_open()) else {
            return;
        };
        let Some(spec) = job.spec(task.step.step) else { return };
        let (is_long_running, is_gang, allow_copies) =
            (spec.long_running, spec.is_gang, spec.allow_copies);
        (job.was_placed, job.has_run) = (true, true);
        let max_attempts = job.queue.max_attempts;
        let Some(step) = job.step_mut(task.step) else { return };
        let Some(state) = step.task_mut(task.index) else { return };
        if state.status == TaskStatus::Done || state.failed_runs.contains(&row.run) {
            return;
        }
        if !row.checkpoint.is_empty() {
            state.checkpoint = row.checkpoint.clone();
        }
        self.dirty_jobs.insert(task.step.job);
        match row.reason {
            EndReason::Done if !is_long_running => {
                let other = other_run(&state.status, row.run);
                if let Some(worker) = self.workers.get_mut(name) {
                    worker.record_success();
                }
                match other {
                    _ if allow_copies => self.stop_all_runs(task),
                    Some((worker, run)) => {
                        self.track_unassigned(task.step.job);
                        self.stop_run(&worker, task, run);
                    }
                    None => {}
                }
                self.finish_task(now, task);
            }
            EndReason::Failed => {
                if !state.failed_workers.contains(name) {
                    state.failed_workers.push(name.clone());
                }
                let failed = match is_long_running {
                    true => 0,
                    false => step.record_failure(task.index, row.run, is_gang),
                };
                log::info!(
                    "event=run-failed task={task} run={} worker={name} failed={failed}",
                    row.run
                );
                self.record_worker_failure(now, name, task);
                match !is_long_running && failed >= max_attempts as usize {
                    true => self.close_job(now, task.step.job, JobOutcome::Failed),
                    false => self.requeue_task(task, row.run),
                }
            }
            EndReason::Done
            | EndReason::Stopped
            | EndReason::LeaseExpired
            | EndReason::GangBroken
            | EndReason::GangIncomplete => {
                log::info!(
                    "event=run-cut-short task={task} run={} worker={name} end={:?}",
                    row.run,
                    row.reason
                );
                self.requeue_task(task, row.run);
            }
        }
    }

    /// Counts a failed run against its worker.
    fn record_worker_failure(&mut self, now: Millis, name: &Name, task: TaskKey) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.record_failure(now, task) {
            log::info!("event=worker-excluded worker={name} task={task}");
        }
    }

    /// Updates a run that goes on, or adopts it if it is not known.
    fn update_run(&mut self, now: Millis, name: &Name, row: &RunningTask) {
        let task = row.task;
        let has_progressed = !row.checkpoint.is_empty() && self.save_checkpoint(task, row);
        let Some(worker) = self.workers.get_mut(name) else { return };
        let Some(run) = worker.runs.get_mut(&(task, row.run)) else {
            return self.adopt_run(now, name, row);
        };
        run.percent = row.pace_percent;
        let is_new = !std::mem::replace(&mut run.has_started, true);
        if run.phase == Phase::Starting {
            run.mark_started(now);
        }
        if has_progressed {
            run.progressed_at = now;
        }
        if is_new {
            self.mark_job_started(now, task.step.job);
        }
    }

    /// Saves the checkpoint of a run for its task. Returns whether it is new.
    fn save_checkpoint(&mut self, task: TaskKey, row: &RunningTask) -> bool {
        let job = self.jobs.get_mut(&task.step.job);
        let step = job.and_then(|job| job.step_mut(task.step));
        let state = step.and_then(|step| step.task_mut(task.index));
        let Some(state) = state.filter(|state| state.checkpoint != row.checkpoint) else {
            return false;
        };
        state.checkpoint = row.checkpoint.clone();
        true
    }

    /// Takes over a run that an earlier owner started, or stops it if its task needs no run.
    fn adopt_run(&mut self, now: Millis, name: &Name, row: &RunningTask) {
        let task = row.task;
        self.open_reported(now, task.step);
        let job = self.jobs.get_mut(&task.step.job);
        let work = job.as_ref().map(|job| job.work.clone());
        let spec = work.as_ref().and_then(|work| work.steps.get(usize::from(task.step.step)));
        let owner = job.as_ref().and_then(|job| job.workspace.as_ref());
        // The resources of a run whose job was closed are not known. It may fill the worker, whose
        // resources may have been larger when it started.
        let unknown = Step { resources: Resources::UNKNOWN, ..Step::default() };
        let spec = spec.unwrap_or(&unknown);
        let mut run = Run::new(row.run, spec, Phase::Running(now));
        run.usage_guard = owner.map(|owner| self.usages.acquire(owner, spec.resources));
        (run.has_started, run.is_sent, run.percent, run.known_since) =
            (true, true, row.pace_percent, now);
        if let Some(worker) = self.workers.get_mut(name) {
            worker.add_run(task, run);
        }
        let step = job.filter(|job| job.is_open()).and_then(|job| {
            (job.was_placed, job.has_run) = (true, true);
            job.step_mut(task.step)
        });
        let mut older = None;
        let wanted = step.filter(|step| {
            older = step.tasks.get(task.index as usize).and_then(|task| task.older_run(row.run));
            step.waiting.contains(&task.index) || older.is_some()
        });
        match wanted {
            Some(step) => {
                step.place(task.index, name.clone(), row.run);
                if let Some(state) = step.task_mut(task.index) {
                    state.checkpoint = row.checkpoint.clone();
                }
                // The next owner has to know of the run, too.
                self.dirty_jobs.insert(task.step.job);
                self.last_unrecorded = self.open_batch;
                log::info!("event=run-adopted task={task} run={} worker={name}", row.run);
                // The older run ended before this one started, or may be a copy of the task.
                if let Some((at, run)) = older {
                    self.track_unassigned(task.step.job);
                    self.stop_run(&at, task, run);
                }
            }
            None => {
                log::info!("event=run-unwanted task={task} run={} worker={name}", row.run);
                self.track_unassigned(task.step.job);
                self.stop_run(name, task, row.run);
            }
        }
        self.rank_started_job(now, task.step.job);
    }

    /// Abandons runs that should have been in a report with all ends and were not.
    fn drop_vanished_runs(&mut self, sent: Millis, name: &Name, report: &WorkerReport) {
        let listed: BTreeSet<(TaskKey, u64)> =
            report.running.iter().map(|row| (row.task, row.run)).collect();
        let Some(worker) = self.workers.get(name) else { return };
        let confirmed = worker.confirmed_end();
        let gone = |(key, run): (&(TaskKey, u64), &Run)| {
            let is_overdue = match run.phase {
                Phase::Running(at) | Phase::Stopping(Some(at)) => at < sent,
                Phase::Starting | Phase::Stopping(None) => false,
            };
            (is_overdue && !listed.contains(key)).then_some((*key, run.phase))
        };
        let gone: Vec<_> = worker.runs.iter().filter_map(gone).collect();
        for ((task, run), phase) in gone {
            if matches!(phase, Phase::Running(_)) {
                log::info!(
                    "event=run-vanished task={task} run={run} worker={name} born={:?} confirmed={confirmed}",
                    report.started_at
                );
            }
            self.abandon_run(name, task, run);
        }
    }

    /// Slows down filler tasks while a task that serves requests on the worker is close to its tail
    /// latency limit, and speeds them up again afterwards.
    fn throttle_fillers(&mut self, now: Millis, name: &Name, report: &WorkerReport) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        let fillers: Vec<(TaskKey, u64, u32)> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.is_filler && matches!(run.phase, Phase::Running(_)))
            .map(|((task, number), run)| (*task, *number, run.percent))
            .collect();
        if fillers.is_empty() || now.since(worker.throttled_at) < THROTTLE_INTERVAL {
            return;
        }
        let used_percent = |row: &RunningTask| {
            let run = worker.runs.get(&(row.task, row.run)).filter(|run| run.tail_limit.0 > 0)?;
            row.gauge.map(|gauge| gauge * 100.0 / run.tail_limit.0 as f64)
        };
        let worst = report.running.iter().filter_map(used_percent).fold(0.0, f64::max);
        let next_percent = |percent: u32| match () {
            () if worst >= SLOW_DOWN_PERCENT && percent / 2 < MIN_SHARE_PERCENT => 0,
            () if worst >= SLOW_DOWN_PERCENT => percent / 2,
            () if worst < SPEED_UP_PERCENT => (percent + SPEED_UP_STEP).min(100),
            () => percent,
        };
        let changed: Vec<_> = fillers
            .into_iter()
            .filter(|(_, _, percent)| next_percent(*percent) != *percent)
            .collect();
        if changed.is_empty() {
            return;
        }
        worker.throttled_at = now;
        for (task, run, percent) in changed {
            let percent = next_percent(percent);
            log::info!(
                "event=filler-share-changed task={task} run={run} worker={name} percent={percent} \
                 worst={worst:.0}"
            );
            self.actions.push(Action::Pace { worker: name.clone(), task, run, percent });
        }
    }
}

impl Worker {
    /// Notes whether a report lists all ends. Returns whether that differs from the report before.
    fn note_listed_ends(&mut self, report: &WorkerReport) -> bool {
        self.ends_known = self.ends_known || !report.has_more_ends;
        std::mem::replace(&mut self.has_more_ends, report.has_more_ends) != report.has_more_ends
    }
}

/// The worker and number of the run that a task is assigned as, if it is not `run`.
fn other_run(status: &TaskStatus, run: u64) -> Option<(Name, u64)> {
    match status {
        TaskStatus::Placed { worker, run: other } if *other != run => {
            Some((worker.clone(), *other))
        }
        _ => None,
    }
}
