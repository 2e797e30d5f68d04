//! What workers report: runs that go on, runs that ended, and how they bear each other.

use crate::cell::jobs::job::TaskStatus;
use crate::cell::records::journal::JobOutcome;
use crate::cell::workers::roster::Over;
use crate::cell::workers::worker::{Phase, Run, Worker};
use crate::cell::{Action, Cell, ReportCall};
use crate::clock::Millis;
use crate::id::Name;
use crate::order::{EndReason, EndedTask, Refusal, ReportError, RunningTask, WorkerReport};
use crate::workload::{Resources, Step, TaskKey};
use std::collections::BTreeSet;

/// Fillers are slowed when a tail comes this close to its bound, in hundredths of it.
const PACE_DOWN: f64 = 80.0;
/// They are let work more below this, in hundredths of the bound.
const PACE_UP: f64 = 55.0;
/// The share that fillers get back at once, in hundredths.
const PACE_STEP: u32 = 20;
/// A share below this is set to nothing.
const PACE_LEAST: u32 = 10;
/// The time between two changes at one worker: a gauge covers the last half second.
const PACE_EVERY: Millis = Millis(600);

impl Cell {
    /// What to ask a worker now, and whether to renew its lease; `None` if it is not watched any
    /// more. The lease of a silent worker is not renewed: what runs there starts elsewhere when it
    /// is over.
    pub fn hold(&mut self, now: Millis, name: &Name, renew: bool) -> Option<ReportCall> {
        let lease = self.config.lease;
        let worker = self.workers.get_mut(name)?;
        let until = if renew && worker.heard { worker.lease(now, lease) } else { None };
        // It may be another life: one that was told the last end of the life before forgot ends that nobody
        // had read. A time of the other clock does no harm: it is cut down to the longest lease.
        let seen = if worker.is_unsure() { 0 } else { worker.confirmed() };
        Some(ReportCall { confirmed: seen, lease_end: until })
    }

    /// The batch that must be in the store before a worker's ends can be confirmed.
    pub fn awaited(&self, name: &Name) -> Option<u64> {
        self.workers.get(name).and_then(Worker::awaited).filter(|batch| *batch > self.stored_batch)
    }

    /// A worker did not report; whether to pause before it is asked again. One report may be lost
    /// on the way: the worker is taken for silent when the next one is missing too.
    pub fn unheld(&mut self, now: Millis, name: &Name, why: &ReportError) -> bool {
        match why {
            ReportError::Refused(Refusal::StaleFence) => self.actions.push(Action::Deposed),
            ReportError::Refused(Refusal::OtherIncarnation) => {
                self.remove_worker(now, name, Over::Replaced)
            }
            ReportError::Refused(_) => self.mark_silent(now, name),
            ReportError::NoReply(err) => {
                log::debug!("event=hold-failed worker={name} error={err:?}");
                if let Some(worker) = self.workers.get_mut(name) {
                    worker.suspect();
                }
                if self.is_overloaded {
                    return true;
                }
                let Some(worker) = self.workers.get_mut(name) else { return false };
                if !worker.miss() {
                    self.doubt(now, name);
                    return false;
                }
                self.mark_silent(now, name);
            }
        }
        true
    }

    /// A worker reported, when asked at `sent`.
    pub fn held(&mut self, now: Millis, sent: Millis, name: &Name, report: &WorkerReport) {
        if self.workers.get(name).is_some_and(|worker| worker.is_other(report.started_at)) {
            self.restart(now, sent, name, report);
        }
        let Some(worker) = self.workers.get_mut(name) else { return };
        if !worker.heard {
            let (running, ended) = (report.running.len(), report.ended.len());
            log::info!(
                "event=worker-heard worker={name} born={:?} listed_born={:?} clock={} confirmed={} \
                 running={running} ended={ended}",
                report.started_at,
                worker.listed.started_at,
                report.clock,
                worker.confirmed()
            );
            self.needs_placement = true;
        }
        self.needs_placement = self.needs_placement || worker.is_doubted();
        // An earlier owner may not have known when it started: the next one has to.
        self.workers_dirty |= worker.hear(now, sent, report);
        self.resolve_by_report(name);
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.known = true;
        for row in &report.ended {
            let Some(worker) = self.workers.get_mut(name) else { return };
            if worker.has_seen(row.seq) {
                continue;
            }
            let run = worker.remove(row.task, row.run);
            self.needs_placement = true;
            if let Some(run) = run.filter(|run| row.reason == EndReason::Done && run.began.0 > 0) {
                self.learn(row.task, now.since(run.began));
            }
            self.end(now, name, row);
            // An end that changes nothing needs no record before it is confirmed.
            let batch =
                if self.dirty_jobs.is_empty() { self.open_batch - 1 } else { self.open_batch };
            let kept = self.stored_batch;
            if let Some(worker) = self.workers.get_mut(name) {
                worker.see(row.seq, batch);
                worker.keep(kept);
            }
        }
        for row in &report.running {
            self.running(now, name, row);
        }
        self.sweep(sent, name, report);
        self.copy_stragglers(now, name);
        self.pace(now, name, report);
    }

    /// Finds late runs at a worker. Those whose copies may run side by side start elsewhere too.
    fn copy_stragglers(&mut self, now: Millis, name: &Name) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        for (task, run) in worker.find_stragglers(now) {
            log::info!("event=straggler task={task} run={run} worker={name}");
            self.copy(now, name, task, run);
        }
    }

    /// A run that began here is done: how long it took against its estimate.
    fn learn(&mut self, task: TaskKey, took: Millis) {
        let Some(job) = self.jobs.get(&task.step.job) else { return };
        let Some(spec) = job.spec(task.step.step).filter(|spec| !spec.long_running) else { return };
        self.run_times.entry(job.queue.name.clone()).or_default().add(spec.estimate, took);
    }

    fn end(&mut self, now: Millis, name: &Name, row: &EndedTask) {
        let task = row.task;
        log::info!("event=ended task={task} run={} worker={name} end={:?}", row.run, row.reason);
        let Some(job) = self.jobs.get_mut(&task.step.job).filter(|job| job.is_open()) else {
            return;
        };
        let Some(spec) = job.spec(task.step.step) else { return };
        let (lasting, gang, copies) = (spec.long_running, spec.is_gang, spec.allow_copies);
        (job.was_placed, job.has_run) = (true, true);
        let attempts = job.queue.max_attempts;
        let Some(step) = job.step_mut(task.step) else { return };
        let Some(state) = step.tasks.get_mut(task.index as usize) else { return };
        if state.status == TaskStatus::Done || state.failed_runs.contains(&row.run) {
            return;
        }
        if !row.checkpoint.is_empty() {
            state.checkpoint = row.checkpoint.clone();
        }
        self.dirty_jobs.insert(task.step.job);
        match row.reason {
            EndReason::Done if !lasting => {
                let other = placed(&state.status, row.run);
                if let Some(worker) = self.workers.get_mut(name) {
                    worker.succeed();
                }
                match other {
                    _ if copies => self.stop_copies(task),
                    Some((worker, run)) => self.stop_run(&worker, task, run),
                    None => {}
                }
                self.finish_task(now, task);
            }
            EndReason::Failed => {
                state.failed_workers.push(name.clone());
                if !lasting {
                    state.failed_runs.push(row.run);
                }
                let failed = match gang {
                    true => step.tasks.iter().map(|task| task.failed_runs.len()).sum(),
                    false => state.failed_runs.len(),
                };
                log::info!(
                    "event=failed task={task} run={} worker={name} failed={failed}",
                    row.run
                );
                self.blame(now, name, task);
                match !lasting && failed >= attempts as usize {
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
                    "event=cut-short task={task} run={} worker={name} end={:?}",
                    row.run,
                    row.reason
                );
                self.requeue_task(task, row.run);
            }
        }
    }

    fn blame(&mut self, now: Millis, name: &Name, task: TaskKey) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.fail(now, task) {
            log::info!("event=worker-aside worker={name} task={task}");
        }
    }

    /// A run goes on at a worker.
    fn running(&mut self, now: Millis, name: &Name, row: &RunningTask) {
        let task = row.task;
        let moved = !row.checkpoint.is_empty() && self.save(task, row);
        let Some(worker) = self.workers.get_mut(name) else { return };
        let Some(run) = worker.runs.get_mut(&(task, row.run)) else {
            return self.adopt(now, name, row);
        };
        run.percent = row.pace_percent;
        let is_new = !std::mem::replace(&mut run.seen, true);
        if run.phase == Phase::Starting {
            run.begin(now);
        }
        if moved {
            run.moved = now;
        }
        if is_new {
            self.note_run(task.step.job);
        }
    }

    /// Takes in a run's saved progress; whether it is new.
    fn save(&mut self, task: TaskKey, row: &RunningTask) -> bool {
        let job = self.jobs.get_mut(&task.step.job);
        let step = job.and_then(|job| job.step_mut(task.step));
        let state = step.and_then(|step| step.tasks.get_mut(task.index as usize));
        let Some(state) = state.filter(|state| state.checkpoint != row.checkpoint) else {
            return false;
        };
        state.checkpoint = row.checkpoint.clone();
        true
    }

    /// A run that an earlier owner started goes on, or is stopped if it is not wanted.
    fn adopt(&mut self, now: Millis, name: &Name, row: &RunningTask) {
        let task = row.task;
        let job = self.jobs.get_mut(&task.step.job);
        let spec = job.as_ref().and_then(|job| job.spec(task.step.step)).cloned();
        let owner = job.as_ref().and_then(|job| job.workspace.as_ref());
        // The size of a run whose job is over is not known: it may fill the worker, whose room may have
        // been larger when it began.
        let unknown = Step { resources: Resources::UNKNOWN, ..Step::default() };
        let spec = spec.unwrap_or(unknown);
        let mut run = Run::bound(row.run, &spec, Phase::Running(now));
        run.held = owner.map(|owner| self.usages.acquire(owner, spec.resources));
        (run.seen, run.is_sent, run.percent, run.since) = (true, true, row.pace_percent, now);
        if let Some(worker) = self.workers.get_mut(name) {
            worker.add(task, run);
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
                if let Some(state) = step.tasks.get_mut(task.index as usize) {
                    state.checkpoint = row.checkpoint.clone();
                }
                log::info!("event=adopted task={task} run={} worker={name}", row.run);
                // It was over before the newer one began, or may be a copy.
                if let Some((at, run)) = older {
                    self.stop_run(&at, task, run);
                }
            }
            None => {
                log::info!("event=unwanted task={task} run={} worker={name}", row.run);
                self.stop_run(name, task, row.run);
            }
        }
    }

    /// Runs that the worker should have named and did not are over.
    fn sweep(&mut self, sent: Millis, name: &Name, report: &WorkerReport) {
        let listed: BTreeSet<(TaskKey, u64)> =
            report.running.iter().map(|row| (row.task, row.run)).collect();
        let Some(worker) = self.workers.get(name) else { return };
        let confirmed = worker.confirmed();
        let gone = |(key, run): (&(TaskKey, u64), &Run)| {
            let over = match run.phase {
                Phase::Running(at) | Phase::Stopping(Some(at)) => at < sent,
                Phase::Starting | Phase::Stopping(None) => false,
            };
            (over && !listed.contains(key)).then_some((*key, run.phase))
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

    /// Slows fillers where they come near to harming a task that serves, and lets them work again.
    fn pace(&mut self, now: Millis, name: &Name, report: &WorkerReport) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        let fillers: Vec<(TaskKey, u64, u32)> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.filler && matches!(run.phase, Phase::Running(_)))
            .map(|((task, no), run)| (*task, *no, run.percent))
            .collect();
        if fillers.is_empty() || now.since(worker.paced) < PACE_EVERY {
            return;
        }
        let used = |row: &RunningTask| {
            let run = worker.runs.get(&(row.task, row.run)).filter(|run| run.tail.0 > 0)?;
            row.gauge.map(|gauge| gauge * 100.0 / run.tail.0 as f64)
        };
        let worst = report.running.iter().filter_map(used).fold(0.0, f64::max);
        let change = |percent: u32| match () {
            () if worst >= PACE_DOWN && percent / 2 < PACE_LEAST => 0,
            () if worst >= PACE_DOWN => percent / 2,
            () if worst < PACE_UP => (percent + PACE_STEP).min(100),
            () => percent,
        };
        let changed: Vec<_> =
            fillers.into_iter().filter(|(_, _, percent)| change(*percent) != *percent).collect();
        if changed.is_empty() {
            return;
        }
        worker.paced = now;
        for (task, run, percent) in changed {
            let percent = change(percent);
            log::info!(
                "event=paced task={task} run={run} worker={name} percent={percent} worst={worst:.0}"
            );
            self.actions.push(Action::Pace { worker: name.clone(), task, run, percent });
        }
    }
}

/// Where a task runs, if it is another run than `run`.
fn placed(status: &TaskStatus, run: u64) -> Option<(Name, u64)> {
    match status {
        TaskStatus::Placed { worker, run: other } if *other != run => {
            Some((worker.clone(), *other))
        }
        _ => None,
    }
}
