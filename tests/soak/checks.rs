//! What must hold, judged by what workers did and what callers were told.

use crate::callers::{Job, workspace};
use sprucerudder::standin::site::WORKER_CPU;
use sprucerudder::standin::site::worker::{CRASH_PREFIX, RunEvent, RunLog, RunRecord};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// How long after an acknowledged cancel a task may still start.
const CANCEL_LIMIT: Duration = Duration::from_secs(3);
/// How often a task may fail before its job does; from the stand-in's policy.
const ATTEMPTS: u32 = 2;
/// Workers that crashed under a task, and starts after that, by the platform's contract.
const CRASHES: u32 = 3;
/// A task under which so many crashed may be given up.
const GIVEN_UP: u32 = 2;

/// What is known of a task's end `done`.
#[derive(Debug)]
struct Done {
    run: u64,
    confirmed: bool,
    /// It was started again before that end was confirmed.
    again: bool,
}

/// The state of all workers, followed through the ledger.
#[derive(Debug, Default)]
pub struct Checks {
    read: usize,
    /// Where a task runs, and as which run.
    running: HashMap<String, (String, u64)>,
    used: HashMap<String, u64>,
    /// Jobs belong to workspaces with bounds.
    keyed: bool,
    /// What each workspace has running.
    of_workspaces: HashMap<&'static str, u64>,
    /// Processors of workers whose room changed.
    rooms: HashMap<String, u64>,
    /// Lives of workers that ended under a task.
    crashed: HashMap<String, u32>,
    /// Starts of tasks that crash their workers, after three did.
    more: HashMap<String, u32>,
    done: HashMap<String, Done>,
    failed: HashMap<String, u32>,
    started: BTreeSet<String>,
    pub broken: Vec<String>,
}

/// The job, the step and the place in it of a task.
fn parts(task: &str) -> Option<(&str, usize, u32)> {
    let mut parts = task.split('.');
    let (key, _) = (parts.next()?, parts.next()?);
    Some((key, parts.next()?.parse().ok()?, parts.next()?.parse().ok()?))
}

impl Checks {
    /// `keyed`: jobs belong to workspaces with bounds.
    pub fn new(keyed: bool) -> Self {
        Self { keyed, ..Self::default() }
    }

    /// Takes in what workers did since the last look.
    pub fn look(&mut self, ledger: &RunLog, jobs: &[Job]) {
        let entries = ledger.since(self.read);
        self.read += entries.len();
        for entry in &entries {
            match &entry.event {
                RunEvent::Start(spec) => self.start(entry, spec, jobs),
                RunEvent::End(how) => self.end(entry, how, jobs),
                RunEvent::Confirm { lapsed } => self.confirm(entry, *lapsed),
                RunEvent::Resized(cpu) => drop(self.rooms.insert(entry.worker.clone(), *cpu)),
            }
        }
        for job in jobs.iter().filter(|job| job.told.state == "completed") {
            if !self.is_done(job, job.steps.len()) {
                self.fault(format!("job {} is shown as completed and is not", job.key));
            }
        }
    }

    fn fault(&mut self, what: String) {
        if !self.broken.contains(&what) {
            self.broken.push(what);
        }
    }

    /// Whether all tasks of a job's first `steps` steps are done.
    fn is_done(&self, job: &Job, steps: usize) -> bool {
        let mut tasks = job.steps.iter().take(steps).enumerate().flat_map(|(step, (count, _))| {
            (0..*count).map(move |index| format!("{}.0.{step}.{index}", job.key))
        });
        tasks.all(|task| self.done.contains_key(&task))
    }

    fn start(&mut self, entry: &RunRecord, spec: &str, jobs: &[Job]) {
        let RunRecord { worker, task, run, at, .. } = entry;
        let job = parts(task).and_then(|(key, step, index)| {
            let job = jobs.iter().find(|job| job.key == key)?;
            let (count, cpu) = *job.steps.get(step)?;
            (index < count).then_some((job, step, cpu))
        });
        let Some((job, step, cpu)) = job.filter(|(job, ..)| job.spec == spec) else {
            return self.fault(format!("{task} on {worker}: nobody asked for it"));
        };
        let used = self.used.entry(worker.clone()).or_default();
        *used += cpu;
        let of_it = workspace(&job.key);
        let running = self.of_workspaces.entry(of_it.name).or_default();
        // By the platform's contract: a tenth and one task more.
        let beyond = self.keyed && *running > of_it.cpu * 11 / 10;
        *running += cpu;
        let over = *used > self.rooms.get(worker).copied().unwrap_or(WORKER_CPU);
        let crashed = spec.starts_with(CRASH_PREFIX) && self.crashed.get(task) >= Some(&CRASHES);
        let more = self.more.entry(task.clone()).or_default();
        *more += u32::from(crashed);
        let excess = *more >= CRASHES;
        // By the time of the start, not of this look: looks may be seconds apart.
        let late = job.told.cancelled.is_some_and(|told| *at > told + CANCEL_LIMIT);
        let elsewhere = self.running.insert(task.clone(), (worker.clone(), *run));
        let again = self.done.get_mut(task);
        let confirmed = again.as_ref().is_some_and(|done| done.confirmed);
        if let Some(done) = again {
            done.again = true;
        }
        let early = !self.is_done(job, step);
        self.started.insert(job.key.clone());
        let faults = [
            (over, "is over what the worker has"),
            (beyond, "is beyond what its workspace may have running"),
            (excess, "starts three times more after three workers crashed under it"),
            (late, "starts long after its job was cancelled"),
            (elsewhere.is_some(), "runs twice at once"),
            (confirmed, "starts again after its end was confirmed"),
            (early, "starts before what it depends on is done"),
        ];
        for (_, what) in faults.into_iter().filter(|(wrong, _)| *wrong) {
            self.fault(format!("{task} run {run} on {worker} {what}; also at {elsewhere:?}"));
        }
    }

    fn end(&mut self, entry: &RunRecord, how: &str, jobs: &[Job]) {
        let RunRecord { worker, task, run, .. } = entry;
        let cpu = parts(task).and_then(|(key, step, _)| {
            let job = jobs.iter().find(|job| job.key == key)?;
            job.steps.get(step).map(|(_, cpu)| *cpu)
        });
        if let Some(used) = self.used.get_mut(worker) {
            *used -= cpu.unwrap_or(0).min(*used);
        }
        if let (Some(cpu), Some((key, ..))) = (cpu, parts(task))
            && let Some(running) = self.of_workspaces.get_mut(workspace(key).name)
        {
            *running -= cpu.min(*running);
        }
        if self.running.get(task) == Some(&(worker.clone(), *run)) {
            self.running.remove(task);
        }
        match how {
            "done" => {
                let done = Done { run: *run, confirmed: false, again: false };
                self.done.entry(task.clone()).or_insert(done);
            }
            "crashed" => *self.crashed.entry(task.clone()).or_default() += 1,
            "failed" => *self.failed.entry(task.clone()).or_default() += 1,
            _ => {}
        }
    }

    fn confirm(&mut self, entry: &RunRecord, lapsed: bool) {
        let Some(done) = self.done.get_mut(&entry.task).filter(|done| done.run == entry.run) else {
            return;
        };
        let again = done.again && !done.confirmed;
        if lapsed {
            return;
        }
        done.confirmed = true;
        if again {
            self.fault(format!("{} was started again, and its earlier end confirmed", entry.task));
        }
    }

    /// Whether a job's end, as shown when all is calm, has a cause.
    pub fn judge(&mut self, job: &Job, state: &str) {
        let of_job = |task: &str| parts(task).is_some_and(|(key, ..)| key == job.key);
        let failed = self.failed.iter().any(|(task, count)| *count >= ATTEMPTS && of_job(task));
        let crashed = self.crashed.iter().any(|(task, count)| *count >= GIVEN_UP && of_job(task));
        let cancelled = job.told.tried_cancel;
        let fault = match state {
            "completed" if !self.is_done(job, job.steps.len()) => "is shown as completed",
            "failed" if !failed && !crashed => "is shown as failed without a cause",
            "cancelled" if !cancelled => "is shown as cancelled, and nobody asked for that",
            "gone" => "was accepted and is not known",
            _ => return,
        };
        self.fault(format!("job {} {fault}", job.key));
    }

    /// What is wrong when everything has come to an end.
    pub fn finish(&mut self, jobs: &[Job]) {
        let refused: Vec<String> = jobs
            .iter()
            .filter(|job| job.told.refused && self.started.contains(&job.key))
            .map(|job| format!("job {} ran though every try was refused", job.key))
            .collect();
        let left: Vec<String> = self
            .running
            .iter()
            .map(|(task, (worker, _))| format!("{task} still runs on {worker}"))
            .collect();
        for what in refused.into_iter().chain(left) {
            self.fault(what);
        }
    }
}
