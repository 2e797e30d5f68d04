//! Checks of the scheduler's guarantees against the log of what workers ran and what callers were
//! told.

use crate::callers::{Job, workspace_of};
use sprucerudder::standin::site::WORKER_CPU;
use sprucerudder::standin::site::worker::{CRASH_PREFIX, RunEvent, RunLog, RunRecord};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Longest time after an acknowledged cancel at which a task may still start.
const MAX_START_AFTER_CANCEL: Duration = Duration::from_secs(3);
/// Failures of a task after which its job fails, from the policy of the simulated platform.
const MAX_ATTEMPTS: u32 = 2;
/// By the platform's contract, a task under which this many workers crashed is started fewer than
/// this many times more.
const MAX_CRASHES: u32 = 3;
/// A job may be given up once this many workers crashed under one of its tasks.
const MIN_GIVE_UP_CRASHES: u32 = 2;

/// A run of a task that ended as `done`.
#[derive(Debug)]
struct Done {
    run: u64,
    is_confirmed: bool,
    /// The task was started again before that end was confirmed.
    restarted: bool,
}

/// Follows the state of all workers through their run log and collects violated guarantees.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    position: usize,
    /// Worker and run number of each running task.
    running: HashMap<String, (String, u64)>,
    used_cpu: HashMap<String, u64>,
    /// Whether jobs belong to workspaces with limits.
    has_workspaces: bool,
    /// CPU of the running tasks of each workspace.
    workspace_cpu: HashMap<&'static str, u64>,
    /// CPU of workers whose capacity has changed.
    worker_cpu: HashMap<String, u64>,
    /// Number of worker crashes under each task.
    crashes: HashMap<String, u32>,
    /// Starts of each crashing task after `MAX_CRASHES` crashes.
    extra_starts: HashMap<String, u32>,
    done: HashMap<String, Done>,
    failures: HashMap<String, u32>,
    started_jobs: BTreeSet<String>,
    pub violations: Vec<String>,
}

/// Splits a task's name into job key, step index and task index.
fn parse_task(task: &str) -> Option<(&str, usize, u32)> {
    let mut parts = task.split('.');
    let (key, _) = (parts.next()?, parts.next()?);
    Some((key, parts.next()?.parse().ok()?, parts.next()?.parse().ok()?))
}

impl InvariantChecker {
    /// `has_workspaces`: whether jobs belong to workspaces with limits.
    pub fn new(has_workspaces: bool) -> Self {
        Self { has_workspaces, ..Self::default() }
    }

    /// Processes the entries that the run log gained since the last call.
    pub fn read_events(&mut self, run_log: &RunLog, jobs: &[Job]) {
        let records = run_log.since(self.position);
        self.position += records.len();
        for record in &records {
            match &record.event {
                RunEvent::Start(spec) => self.start(record, spec, jobs),
                RunEvent::End(outcome) => self.end(record, outcome, jobs),
                RunEvent::Confirm { lapsed } => self.confirm(record, *lapsed),
                RunEvent::Resized(cpu) => drop(self.worker_cpu.insert(record.worker.clone(), *cpu)),
            }
        }
        for job in jobs.iter().filter(|job| job.view.last_state == "completed") {
            if !self.is_done(job, job.steps.len()) {
                self.add_violation(format!(
                    "job {} is reported as completed, but its tasks are not done",
                    job.key
                ));
            }
        }
    }

    /// Whether a task is running on any worker.
    pub fn is_running(&self, task: &str) -> bool {
        self.running.contains_key(task)
    }

    pub fn add_violation(&mut self, what: String) {
        if !self.violations.contains(&what) {
            self.violations.push(what);
        }
    }

    /// Whether all tasks of the first `steps` steps of a job are done.
    fn is_done(&self, job: &Job, steps: usize) -> bool {
        let mut tasks = job.steps.iter().take(steps).enumerate().flat_map(|(step, (count, _))| {
            (0..*count).map(move |index| format!("{}.0.{step}.{index}", job.key))
        });
        tasks.all(|task| self.done.contains_key(&task))
    }

    fn start(&mut self, record: &RunRecord, spec: &str, jobs: &[Job]) {
        let RunRecord { worker, task, run, at, .. } = record;
        let job = parse_task(task).and_then(|(key, step, index)| {
            let job = jobs.iter().find(|job| job.key == key)?;
            let (count, cpu) = *job.steps.get(step)?;
            (index < count).then_some((job, step, cpu))
        });
        let Some((job, step, cpu)) = job.filter(|(job, ..)| job.spec == spec) else {
            return self.add_violation(format!("{task} on {worker}: no job has such a task"));
        };
        let used = self.used_cpu.entry(worker.clone()).or_default();
        *used += cpu;
        let workspace = workspace_of(&job.key);
        let running = self.workspace_cpu.entry(workspace.name).or_default();
        // The platform's contract allows a tenth and one task more than the limit.
        let over_limit = self.has_workspaces && *running > workspace.cpu * 11 / 10;
        *running += cpu;
        let over_capacity = *used > self.worker_cpu.get(worker).copied().unwrap_or(WORKER_CPU);
        let crashed =
            spec.starts_with(CRASH_PREFIX) && self.crashes.get(task) >= Some(&MAX_CRASHES);
        let extra = self.extra_starts.entry(task.clone()).or_default();
        *extra += u32::from(crashed);
        let too_many_starts = *extra >= MAX_CRASHES;
        // Compared by the time of the start: the log may be read seconds later.
        let after_cancel = job
            .view
            .cancelled_at
            .is_some_and(|cancelled_at| *at > cancelled_at + MAX_START_AFTER_CANCEL);
        let other_run = self.running.insert(task.clone(), (worker.clone(), *run));
        let earlier_done = self.done.get_mut(task);
        let is_confirmed = earlier_done.as_ref().is_some_and(|done| done.is_confirmed);
        if let Some(done) = earlier_done {
            done.restarted = true;
        }
        let before_done = !self.is_done(job, step);
        self.started_jobs.insert(job.key.clone());
        let faults = [
            (over_capacity, "exceeds the capacity of the worker"),
            (over_limit, "exceeds the limit of its workspace"),
            (too_many_starts, "is started three more times after three workers crashed under it"),
            (after_cancel, "is started long after its job was cancelled"),
            (other_run.is_some(), "runs twice at once"),
            (is_confirmed, "is started again after its end was confirmed"),
            (before_done, "is started before the steps that it depends on are done"),
        ];
        for (_, what) in faults.into_iter().filter(|(wrong, _)| *wrong) {
            self.add_violation(format!(
                "{task} run {run} on {worker} {what}; also running: {other_run:?}"
            ));
        }
    }

    fn end(&mut self, record: &RunRecord, outcome: &str, jobs: &[Job]) {
        let RunRecord { worker, task, run, .. } = record;
        let cpu = parse_task(task).and_then(|(key, step, _)| {
            let job = jobs.iter().find(|job| job.key == key)?;
            job.steps.get(step).map(|(_, cpu)| *cpu)
        });
        if let Some(used) = self.used_cpu.get_mut(worker) {
            *used -= cpu.unwrap_or(0).min(*used);
        }
        if let (Some(cpu), Some((key, ..))) = (cpu, parse_task(task))
            && let Some(running) = self.workspace_cpu.get_mut(workspace_of(key).name)
        {
            *running -= cpu.min(*running);
        }
        if self.running.get(task) == Some(&(worker.clone(), *run)) {
            self.running.remove(task);
        }
        match outcome {
            "done" => {
                let done = Done { run: *run, is_confirmed: false, restarted: false };
                self.done.entry(task.clone()).or_insert(done);
            }
            "crashed" => *self.crashes.entry(task.clone()).or_default() += 1,
            "failed" => *self.failures.entry(task.clone()).or_default() += 1,
            _ => {}
        }
    }

    fn confirm(&mut self, record: &RunRecord, lapsed: bool) {
        let Some(done) = self.done.get_mut(&record.task).filter(|done| done.run == record.run)
        else {
            return;
        };
        let earlier_done = done.restarted && !done.is_confirmed;
        if lapsed {
            return;
        }
        done.is_confirmed = true;
        if earlier_done {
            self.add_violation(format!(
                "{} was started again, then its earlier end was confirmed",
                record.task
            ));
        }
    }

    /// Checks, once all faults have ended, that the end state of a job has a cause.
    pub fn check_end_state(&mut self, job: &Job, state: &str) {
        let of_job = |task: &str| parse_task(task).is_some_and(|(key, ..)| key == job.key);
        let failed =
            self.failures.iter().any(|(task, count)| *count >= MAX_ATTEMPTS && of_job(task));
        let crashed =
            self.crashes.iter().any(|(task, count)| *count >= MIN_GIVE_UP_CRASHES && of_job(task));
        let cancelled = job.view.cancel_tried;
        let fault = match state {
            "completed" if !self.is_done(job, job.steps.len()) => {
                "is reported as completed, but its tasks are not done"
            }
            "failed" if !failed && !crashed => "is reported as failed without a cause",
            "cancelled" if !cancelled => "is reported as cancelled, but no cancel was requested",
            "gone" => "was accepted, but no entry knows it",
            _ => return,
        };
        self.add_violation(format!("job {} {fault}", job.key));
    }

    /// Checks, once all jobs have ended, that no refused job ran and that no task is left running.
    pub fn check_at_end(&mut self, jobs: &[Job]) {
        let refused: Vec<String> = jobs
            .iter()
            .filter(|job| job.view.refused && self.started_jobs.contains(&job.key))
            .map(|job| format!("job {} ran although every submission was refused", job.key))
            .collect();
        let left: Vec<String> = self
            .running
            .iter()
            .map(|(task, (worker, _))| format!("{task} still runs on {worker}"))
            .collect();
        for what in refused.into_iter().chain(left) {
            self.add_violation(what);
        }
    }
}
