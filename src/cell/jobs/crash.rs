//! Tasks under which workers crash: counted, then quarantined, then given up.
//!
//! The load that this answers: some tasks each crash every worker that starts them, a few milliseconds
//! after the start, and with the worker all else that ran there. Uncounted, such a task would start
//! again for good, and a few of them leave no worker in use. Tasks that merely shared the worker are told apart: from its second crash on a task runs alone where there is room for that, so
//! that a third one is its own doing.
//!
//! A silent worker may have crashed, or be behind a cut. When its leases are over its tasks start
//! elsewhere, and the crash is unconfirmed until another life is at the address, or the same life
//! answers again.

use crate::cell::Cell;
use crate::cell::jobs::job::Job;
use crate::cell::jobs::restart_policy::{
    Crash, Evidence, QUARANTINE_CRASHES, RestartPolicy, restart_policy,
};
use crate::cell::records::journal::JobOutcome;
use crate::cell::workers::worker::{Run, Worker};
use crate::clock::Millis;
use crate::id::Name;
use crate::order::Incarnation;
use crate::workload::{JobKey, TaskKey};
use std::collections::{BTreeMap, BTreeSet};

/// An unconfirmed crash is settled after this time: the worker is lost for good, or came back elsewhere. It is longer
/// than workers of the platform are away, and than a lease and a takeover together.
const CONFIRM_TIMEOUT: Millis = Millis(20_000);
/// One worker of a service in so many is left to quarantined tasks at once: where many workers crash
/// together, there are more of these than workers.
const WORKERS_PER_QUARANTINE: usize = 8;
/// A lasting task that ran this long did not crash its worker: it is ten times the lease.
const CRASH_FREE_RUN: Millis = Millis(60_000);

/// Counts for the metrics, since the takeover.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CrashCounts {
    /// Lives of workers that ended, not by plan, with something running.
    pub crashed: u64,
    /// Jobs that were given up for a task's crashes.
    pub given_up: u64,
    /// Workers that started again under their ids.
    pub restarted: u64,
}

/// What became of a life that may have ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::cell) enum CrashResolution {
    /// Another life is at its address.
    Ended,
    /// It answers.
    Alive,
    /// Nothing was heard of it for [`CONFIRM_TIMEOUT`].
    Unknown,
}

/// A life that may have ended.
#[derive(Debug)]
struct PossibleCrash {
    addr: Name,
    since: Millis,
    /// What ran there.
    tasks: BTreeSet<TaskKey>,
}

/// Lives that may have ended, with unconfirmed crashes under tasks.
#[derive(Debug, Default)]
pub(in crate::cell) struct UnconfirmedCrashes(BTreeMap<Incarnation, PossibleCrash>);

impl UnconfirmedCrashes {
    /// Takes in the unconfirmed crashes under a task.
    pub fn add(&mut self, now: Millis, task: TaskKey, crashes: &[Crash]) {
        for crash in crashes.iter().filter(|crash| !crash.is_confirmed) {
            let addr = crash.addr.clone();
            let candidate = || PossibleCrash { addr, since: now, tasks: BTreeSet::new() };
            let entry = self.0.entry(crash.worker.clone()).or_insert_with(candidate);
            entry.tasks.insert(task);
        }
    }

    fn find(&self, wanted: impl Fn(&Incarnation, &PossibleCrash) -> bool) -> Vec<Incarnation> {
        let found = self.0.iter().filter(|(life, candidate)| wanted(life, candidate));
        found.map(|(life, _)| life.clone()).collect()
    }
}

impl Cell {
    /// A life of a worker ended while it was not leaving, or may have: that counts against each task that
    /// ran there.
    pub(in crate::cell) fn record_worker_crash(
        &mut self,
        now: Millis,
        name: &Name,
        is_confirmed: bool,
    ) {
        let Some(worker) = self.workers.get(name) else { return };
        let sent: Vec<SentRun> = sent_runs(worker);
        if worker.listed.leaves_in.is_some() || sent.is_empty() {
            return;
        }
        let (life, addr) = (worker.life(), worker.listed.addr.clone());
        let is_next =
            |other: &Worker| other.heard && other.listed.addr == addr && other.listed.id != *name;
        let is_confirmed = is_confirmed || self.workers.values().any(is_next);
        self.crash_counts.crashed += u64::from(is_confirmed);
        for SentRun { task, since, evidence, has_started } in sent {
            let (worker, addr) = (life.clone(), addr.clone());
            let evidence = match has_started || !self.has_crashed_at(task, &addr) {
                true => evidence,
                // Its start may have reached nobody, and the worker crashes again and again by itself.
                false => Evidence::Doubtful,
            };
            let crash = Crash { worker, addr, evidence, is_confirmed };
            self.add_task_crash(now, task, &crash, now.since(since));
        }
    }

    /// A worker that is silent may have crashed under a task. The next owner could not tell that from a run whose end
    /// was not kept, nor would it know of a run that was copied meanwhile: only the last one is kept.
    pub(in crate::cell) fn record_possible_crash(
        &mut self,
        now: Millis,
        name: &Name,
        task: TaskKey,
    ) {
        let Some(worker) = self.workers.get(name).filter(|worker| !worker.heard) else { return };
        let Some(run) = sent_runs(worker).into_iter().find(|run| run.task == task) else { return };
        if worker.listed.leaves_in.is_some() {
            return;
        }
        let (life, addr) = (worker.life(), worker.listed.addr.clone());
        let crash = Crash { worker: life, addr, evidence: run.evidence, is_confirmed: false };
        self.add_task_crash(now, task, &crash, now.since(run.since));
    }

    /// Whether a worker at an address crashed under a task before.
    fn has_crashed_at(&self, task: TaskKey, addr: &Name) -> bool {
        self.task_crashes(task).iter().any(|crash| crash.addr == *addr)
    }

    fn add_task_crash(&mut self, now: Millis, task: TaskKey, crash: &Crash, length: Millis) {
        let Some(job) = self.jobs.get_mut(&task.step.job).filter(|job| job.is_open()) else {
            return;
        };
        let has_lasted = length >= CRASH_FREE_RUN && is_long_running(job, task);
        let step = job.step_mut(task.step);
        let Some(state) = step.and_then(|step| step.tasks.get_mut(task.index as usize)) else {
            return;
        };
        let known = state.crashes.iter().position(|known| known.worker == crash.worker);
        match known {
            _ if has_lasted => state.crashes.clear(),
            Some(_) => return,
            None => state.crashes.push(crash.clone()),
        }
        let Crash { worker, evidence, is_confirmed, .. } = crash;
        log::info!(
            "event=crash-counted task={task} worker={worker} crashes={} evidence={evidence:?} \
             confirmed={is_confirmed}",
            state.crashes.len()
        );
        self.unconfirmed_crashes.add(now, task, &state.crashes);
        self.dirty_jobs.insert(task.step.job);
        self.recount_jobs.insert(task.step.job);
    }

    /// Another life is at the address of one that may have crashed: so it did.
    pub(in crate::cell) fn confirm_earlier_crashes(&mut self, life: &Incarnation, addr: &Name) {
        let is_before = |other: &Incarnation, candidate: &PossibleCrash| {
            candidate.addr == *addr && other.differs_from(life)
        };
        for over in self.unconfirmed_crashes.find(is_before) {
            self.resolve_crash(&over, CrashResolution::Ended);
        }
    }

    /// Settles crashes that nothing confirmed or denied.
    pub(in crate::cell) fn expire_unconfirmed(&mut self, now: Millis) {
        for life in self
            .unconfirmed_crashes
            .find(|_, candidate| now.since(candidate.since) >= CONFIRM_TIMEOUT)
        {
            self.resolve_crash(&life, CrashResolution::Unknown);
        }
    }

    /// A life answers: it did not crash, and those before it at its address did.
    pub(in crate::cell) fn resolve_by_report(&mut self, name: &Name) {
        if self.unconfirmed_crashes.0.is_empty() {
            return;
        }
        let Some(worker) = self.workers.get(name) else { return };
        let (life, addr) = (worker.life(), worker.listed.addr.clone());
        // What was written of it before it told its start names the id alone.
        for same in self.unconfirmed_crashes.find(|other, _| !other.differs_from(&life)) {
            self.resolve_crash(&same, CrashResolution::Alive);
        }
        self.confirm_earlier_crashes(&life, &addr);
    }

    /// It is settled whether a life ended. Where nothing was heard of it, it counts against
    /// tasks with two confirmed crashes.
    pub(in crate::cell) fn resolve_crash(&mut self, life: &Incarnation, found: CrashResolution) {
        let Some(PossibleCrash { tasks, .. }) = self.unconfirmed_crashes.0.remove(life) else {
            return;
        };
        log::info!("event=crash-settled worker={life} found={found:?} tasks={}", tasks.len());
        self.crash_counts.crashed += u64::from(found == CrashResolution::Ended);
        for task in tasks {
            let job = self.jobs.get_mut(&task.step.job);
            let step = job.and_then(|job| job.step_mut(task.step));
            let Some(state) = step.and_then(|step| step.tasks.get_mut(task.index as usize)) else {
                continue;
            };
            let confirmed = state.crashes.iter().filter(|crash| crash.is_confirmed).count();
            match found {
                CrashResolution::Unknown if confirmed < QUARANTINE_CRASHES => {
                    state.crashes.retain(|crash| crash.worker != *life);
                }
                CrashResolution::Alive => state.crashes.retain(|crash| crash.worker != *life),
                CrashResolution::Ended | CrashResolution::Unknown => {
                    let of_life = state.crashes.iter_mut().filter(|crash| crash.worker == *life);
                    of_life.for_each(|crash| crash.is_confirmed = true);
                }
            }
            self.dirty_jobs.insert(task.step.job);
            self.recount_jobs.insert(task.step.job);
            self.needs_placement = true;
        }
    }

    /// Ends jobs with a task that has used up its crashes.
    pub(in crate::cell) fn fail_exhausted_jobs(&mut self, now: Millis) {
        for key in std::mem::take(&mut self.recount_jobs) {
            let Some(job) = self.jobs.get(&key).filter(|job| job.is_open()) else { continue };
            let Some((task, count)) = find_exhausted_task(key, job) else { continue };
            log::warn!("event=given-up task={task} crashes={count}");
            self.crash_counts.given_up += 1;
            self.close_job(now, key, JobOutcome::Failed);
        }
    }

    /// Whether workers may be silent since they crashed under a task: one did, or one that has another run
    /// of it is silent too. With a copy for each silence a task would go through the workers one by one.
    pub(in crate::cell) fn may_have_crashed_workers(&self, task: TaskKey, run: u64) -> bool {
        let is_other = |worker: &Worker| {
            let mut runs = worker.runs.range((task, 0)..=(task, u64::MAX));
            runs.any(|((_, other), _)| *other != run)
        };
        let mut silent = self.workers.values().filter(|worker| !worker.heard);
        !self.task_crashes(task).is_empty() || silent.any(is_other)
    }

    /// The crashes under a task; none for one that is not known, as of a job that is over.
    pub(in crate::cell) fn task_crashes(&self, task: TaskKey) -> &[Crash] {
        let step = self.jobs.get(&task.step.job).and_then(|job| job.step(task.step));
        let state = step.and_then(|step| step.tasks.get(task.index as usize));
        state.map(|state| state.crashes.as_slice()).unwrap_or_default()
    }

    /// Whether a task has to run alone.
    pub(in crate::cell) fn is_quarantined(&self, task: TaskKey) -> bool {
        restart_policy(self.task_crashes(task)) != RestartPolicy::Normal
    }

    /// Leaves a worker to a task alone, unless as many as may be are left to others.
    pub(in crate::cell) fn quarantine_worker(&mut self, name: &Name, task: TaskKey) {
        let Some(worker) = self.workers.get(name) else { return };
        let service = &worker.listed.service;
        let of_service = self.workers.values().filter(|worker| worker.listed.service == *service);
        let (mut all, mut left) = (0, 0);
        for worker in of_service {
            all += 1;
            left += usize::from(worker.quarantined_job().is_some());
        }
        if left >= (all / WORKERS_PER_QUARANTINE).max(1) {
            return;
        }
        if let Some(worker) = self.workers.get_mut(name) {
            log::info!("event=quarantined task={task} worker={name}");
            worker.quarantine = Some(task.step.job);
        }
    }
}

/// A run that was sent to a worker.
struct SentRun {
    task: TaskKey,
    since: Millis,
    /// What it tells of the task if the worker crashes.
    evidence: Evidence,
    /// The worker surely began it.
    has_started: bool,
}

/// What was sent to this life of a worker. What was sent to the life before counted then: given on from life to life it
/// would count each time.
fn sent_runs(worker: &Worker) -> Vec<SentRun> {
    let counts = |(_, run): &(&(TaskKey, u64), &Run)| run.is_sent && !run.is_barred;
    let sent = || worker.runs.iter().filter(counts);
    let jobs: BTreeSet<JobKey> = sent().map(|((task, _), _)| task.step.job).collect();
    let evidence = |run: &Run| match () {
        () if !worker.is_settled(run.since) => Evidence::Doubtful,
        () if jobs.len() == 1 => Evidence::Alone,
        () => Evidence::Shared,
    };
    let row = |((task, _), run): (&(TaskKey, u64), &Run)| SentRun {
        task: *task,
        since: run.since,
        evidence: evidence(run),
        has_started: run.seen,
    };
    sent().map(row).collect()
}

fn is_long_running(job: &Job, task: TaskKey) -> bool {
    job.spec(task.step.step).is_some_and(|spec| spec.long_running)
}

/// The first task of a job that has used up its crashes, and how many there were.
fn find_exhausted_task(key: JobKey, job: &Job) -> Option<(TaskKey, usize)> {
    job.step_keys(key).into_iter().find_map(|step_key| {
        let tasks = job.step(step_key)?.tasks.iter().enumerate();
        let mut exhausted =
            tasks.filter(|(_, task)| restart_policy(&task.crashes) == RestartPolicy::Exhausted);
        let (index, task) = exhausted.next()?;
        Some((TaskKey { step: step_key, index: index as u32 }, task.crashes.len()))
    })
}

impl Worker {
    /// The job that the worker is left to, while anything of it is there.
    pub(in crate::cell) fn quarantined_job(&self) -> Option<JobKey> {
        self.quarantine.filter(|job| self.runs.keys().any(|(task, _)| task.step.job == *job))
    }
}
