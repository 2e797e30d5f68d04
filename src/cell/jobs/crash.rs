//! Worker crashes, counted per task, so that tasks that crash their workers are first quarantined
//! and then given up.
//!
//! Some tasks crash every worker that starts them a few milliseconds after the start, and with the
//! worker everything else that runs there. Without a count such a task would be started again
//! forever, and a few of them would leave no worker usable. To spare tasks that merely shared a
//! worker with the cause, a task runs alone where possible from its second crash on, so that a
//! third one can be attributed to it.
//!
//! A worker that does not answer may have crashed or be behind a network partition. Its tasks start
//! elsewhere once its leases have expired. The crash is unconfirmed until another incarnation of
//! the worker is seen at its address, or the same incarnation answers again.

use crate::cell::Cell;
use crate::cell::jobs::job::Job;
use crate::cell::jobs::restart_policy::{
    Crash, Evidence, QUARANTINE_CRASHES, RESTART_CRASH_LIMIT, RestartPolicy, restart_policy,
};
use crate::cell::records::journal::JobOutcome;
use crate::cell::workers::run::Run;
use crate::cell::workers::worker::Worker;
use crate::clock::Millis;
use crate::id::Name;
use crate::order::Incarnation;
use crate::visits;
use crate::workload::{JobKey, TaskKey};
use std::collections::{BTreeMap, BTreeSet};

/// How long a crash can stay unconfirmed. After that the worker is lost for good, or came back at
/// another address. It is longer than the platform's workers are unreachable, and than a lease and
/// a takeover together.
const CONFIRM_TIMEOUT: Millis = Millis(20_000);
/// How long a job with a task that is not started any more stays open if all crashes of the task are
/// doubtful, so that its caller can cancel it. It is longer than a crash can stay unconfirmed, after
/// which nothing can show any more that the task is not the cause.
const UNDECIDED_TIMEOUT: Millis = Millis(60_000);
/// At most one in this many workers of a service is dedicated to quarantined tasks at once. When
/// many workers crash together, there are more quarantined tasks than workers.
const WORKERS_PER_QUARANTINE: usize = 8;
/// A task that runs until its job is cancelled is not blamed for a crash after running for this
/// long: ten times the lease.
const CRASH_FREE_RUN: Millis = Millis(60_000);

/// Counts for the metrics, since this owner took over the cell.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CrashCounts {
    /// Unplanned ends of worker processes while runs were on the worker.
    pub crashed: u64,
    /// Jobs that were given up because workers crashed while they ran one of their tasks.
    pub given_up: u64,
    /// Workers that were restarted with the same id.
    pub restarted: u64,
}

/// The resolution of an unconfirmed crash of a worker's incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::cell) enum CrashResolution {
    /// The incarnation ended: another incarnation is at its address.
    Ended,
    /// The incarnation did not crash: it answers again.
    Alive,
    /// No report confirmed the crash or ruled it out within [`CONFIRM_TIMEOUT`].
    Unknown,
}

/// An incarnation of a worker that may have crashed.
#[derive(Debug)]
struct PossibleCrash {
    /// The address of the worker.
    addr: Name,
    /// When the incarnation was first considered crashed.
    since: Millis,
    /// The tasks that ran there.
    tasks: BTreeSet<TaskKey>,
}

/// Incarnations of workers whose crashes are not confirmed yet.
#[derive(Debug, Default)]
pub(in crate::cell) struct UnconfirmedCrashes(BTreeMap<Incarnation, PossibleCrash>);

impl UnconfirmedCrashes {
    /// Adds the unconfirmed crashes among the crashes of a task.
    pub fn add(&mut self, now: Millis, task: TaskKey, crashes: &[Crash]) {
        for crash in crashes.iter().filter(|crash| !crash.is_confirmed) {
            let addr = crash.addr.clone();
            let candidate = || PossibleCrash { addr, since: now, tasks: BTreeSet::new() };
            let entry = self.0.entry(crash.worker.clone()).or_insert_with(candidate);
            entry.tasks.insert(task);
        }
    }

    /// The incarnations that `wanted` selects.
    fn find(&self, wanted: impl Fn(&Incarnation, &PossibleCrash) -> bool) -> Vec<Incarnation> {
        let found = self.0.iter().filter(|(incarnation, candidate)| wanted(incarnation, candidate));
        found.map(|(incarnation, _)| incarnation.clone()).collect()
    }
}

impl Cell {
    /// Counts a crash, or a possible crash if it is not confirmed, for each task that was sent to
    /// the worker. The end of a worker that was leaving is not a crash.
    pub(in crate::cell) fn record_worker_crash(
        &mut self,
        now: Millis,
        name: &Name,
        is_confirmed: bool,
    ) {
        let Some(worker) = self.workers.get(name) else { return };
        let SentRuns(sent) = SentRuns::new(worker);
        if worker.listed.leaves_in.is_some() || sent.is_empty() {
            return;
        }
        let (incarnation, addr) = (worker.incarnation(), worker.listed.addr.clone());
        let is_next = |other: &Worker| {
            other.is_reachable && other.listed.addr == addr && other.listed.id != *name
        };
        let is_confirmed = is_confirmed || self.workers.values().any(is_next);
        self.crash_counts.crashed += u64::from(is_confirmed);
        for SentRun { task, since, evidence, has_started } in sent {
            let (worker, addr) = (incarnation.clone(), addr.clone());
            let evidence = match has_started || !self.has_crashed_at(task, &addr) {
                true => evidence,
                // The start may not have reached the worker, which may keep crashing by itself.
                false => Evidence::Doubtful,
            };
            let crash = Crash { worker, addr, evidence, is_confirmed };
            self.add_task_crash(now, task, &crash, now.since(since));
        }
    }

    /// Counts a possible crash for a task on a worker that does not answer. `sent` are the runs that
    /// were sent to it.
    ///
    /// Without this record the next owner could not tell the crash from a run whose end was not
    /// stored. Nor would it know of the run if a copy of the task was started meanwhile, because
    /// only the last run of a task is stored.
    pub(in crate::cell) fn record_possible_crash(
        &mut self,
        now: Millis,
        name: &Name,
        sent: &SentRuns,
        task: TaskKey,
    ) {
        let Some(worker) = self.workers.get(name).filter(|worker| !worker.is_reachable) else {
            return;
        };
        let Some(run) = sent.first_of(task) else { return };
        if worker.listed.leaves_in.is_some() {
            return;
        }
        let (incarnation, addr) = (worker.incarnation(), worker.listed.addr.clone());
        let crash =
            Crash { worker: incarnation, addr, evidence: run.evidence, is_confirmed: false };
        self.add_task_crash(now, task, &crash, now.since(run.since));
    }

    /// Whether a worker at an address crashed before while it ran a task.
    fn has_crashed_at(&self, task: TaskKey, addr: &Name) -> bool {
        self.task_crashes(task).iter().any(|crash| crash.addr == *addr)
    }

    /// Adds a crash to a task that had run for `length`, unless the crash is known already. The
    /// crashes of a task that runs until its job is cancelled are cleared instead if it had run for
    /// [`CRASH_FREE_RUN`].
    fn add_task_crash(&mut self, now: Millis, task: TaskKey, crash: &Crash, length: Millis) {
        let Some(job) = self.jobs.get_mut(&task.step.job).filter(|job| job.is_open()) else {
            return;
        };
        let is_lasting = is_long_running(job, task);
        let is_unrelated = length >= CRASH_FREE_RUN && is_lasting;
        let step = job.step_mut(task.step);
        let Some(state) = step.and_then(|step| step.task_mut(task.index)) else {
            return;
        };
        let known = state.crashes.iter().position(|known| known.worker == crash.worker);
        match known {
            _ if is_unrelated => state.crashes.clear(),
            Some(_) => return,
            None => state.crashes.push(crash.clone()),
        }
        if is_lasting && state.crashes.len() > RESTART_CRASH_LIMIT {
            // Further crashes add no evidence, and the task is started again without end.
            state.crashes.remove(0);
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

    /// Confirms the possible crashes of other incarnations at an address, because `incarnation` is
    /// at it now.
    pub(in crate::cell) fn confirm_earlier_crashes(
        &mut self,
        incarnation: &Incarnation,
        addr: &Name,
    ) {
        let is_before = |other: &Incarnation, candidate: &PossibleCrash| {
            candidate.addr == *addr && other.differs_from(incarnation)
        };
        for ended in self.unconfirmed_crashes.find(is_before) {
            self.resolve_crash(&ended, CrashResolution::Ended);
        }
    }

    /// Resolves crashes that were neither confirmed nor ruled out in time.
    pub(in crate::cell) fn expire_unconfirmed(&mut self, now: Millis) {
        for incarnation in self
            .unconfirmed_crashes
            .find(|_, candidate| now.since(candidate.since) >= CONFIRM_TIMEOUT)
        {
            self.resolve_crash(&incarnation, CrashResolution::Unknown);
        }
    }

    /// Resolves possible crashes after a report of a worker: its incarnation did not crash, and
    /// earlier ones at its address did.
    pub(in crate::cell) fn resolve_by_report(&mut self, name: &Name) {
        if self.unconfirmed_crashes.0.is_empty() {
            return;
        }
        let Some(worker) = self.workers.get(name) else { return };
        let (incarnation, addr) = (worker.incarnation(), worker.listed.addr.clone());
        // Includes records by the id alone, which were written before the worker told when it
        // started.
        for same in self.unconfirmed_crashes.find(|other, _| !other.differs_from(&incarnation)) {
            self.resolve_crash(&same, CrashResolution::Alive);
        }
        self.confirm_earlier_crashes(&incarnation, &addr);
    }

    /// Resolves a possible crash for all tasks that ran on the worker. If nothing was found out, it
    /// still counts for tasks that have [`QUARANTINE_CRASHES`] confirmed crashes, and is dropped
    /// for others.
    pub(in crate::cell) fn resolve_crash(
        &mut self,
        incarnation: &Incarnation,
        resolution: CrashResolution,
    ) {
        let Some(PossibleCrash { tasks, .. }) = self.unconfirmed_crashes.0.remove(incarnation)
        else {
            return;
        };
        log::info!(
            "event=crash-resolved worker={incarnation} found={resolution:?} tasks={}",
            tasks.len()
        );
        self.crash_counts.crashed += u64::from(resolution == CrashResolution::Ended);
        for task in tasks {
            let job = self.jobs.get_mut(&task.step.job);
            let step = job.and_then(|job| job.step_mut(task.step));
            let Some(state) = step.and_then(|step| step.task_mut(task.index)) else {
                continue;
            };
            let confirmed = state.crashes.iter().filter(|crash| crash.is_confirmed).count();
            match resolution {
                CrashResolution::Unknown if confirmed < QUARANTINE_CRASHES => {
                    state.crashes.retain(|crash| crash.worker != *incarnation);
                }
                CrashResolution::Alive => {
                    state.crashes.retain(|crash| crash.worker != *incarnation)
                }
                CrashResolution::Ended | CrashResolution::Unknown => {
                    let of_incarnation =
                        state.crashes.iter_mut().filter(|crash| crash.worker == *incarnation);
                    of_incarnation.for_each(|crash| crash.is_confirmed = true);
                }
            }
            self.dirty_jobs.insert(task.step.job);
            self.recount_jobs.insert(task.step.job);
            self.needs_placement = true;
        }
    }

    /// Fails jobs with a task whose crashes have reached the limit, or notes them if all these
    /// crashes are doubtful.
    pub(in crate::cell) fn fail_exhausted_jobs(&mut self, now: Millis) {
        for key in std::mem::take(&mut self.recount_jobs) {
            let Some(job) = self.jobs.get(&key).filter(|job| job.is_open()) else { continue };
            let exhausted = find_task(key, job, RestartPolicy::Exhausted);
            match (exhausted, find_task(key, job, RestartPolicy::Undecided)) {
                (Some((task, count)), _) => self.give_up_job(now, task, count),
                (None, Some(_)) if self.undecided_jobs.contains_key(&key) => {}
                (None, Some((task, count))) => {
                    let left = UNDECIDED_TIMEOUT;
                    log::warn!("event=job-undecided task={task} crashes={count} left_ms={left}");
                    self.undecided_jobs.insert(key, now);
                }
                (None, None) => drop(self.undecided_jobs.remove(&key)),
            }
        }
    }

    /// Fails jobs that have stayed undecided for [`UNDECIDED_TIMEOUT`]. Their tasks can never start
    /// again, so that their callers would wait forever.
    pub(in crate::cell) fn fail_undecided_jobs(&mut self, now: Millis) {
        let jobs = &self.jobs;
        self.undecided_jobs.retain(|key, _| jobs.get(key).is_some_and(Job::is_open));
        let is_expired = |(_, since): &(&JobKey, &Millis)| now.since(**since) >= UNDECIDED_TIMEOUT;
        let expired: Vec<JobKey> =
            self.undecided_jobs.iter().filter(is_expired).map(|(key, _)| *key).collect();
        for key in expired {
            let found =
                self.jobs.get(&key).and_then(|job| find_task(key, job, RestartPolicy::Undecided));
            if let Some((task, count)) = found {
                self.give_up_job(now, task, count);
            }
        }
    }

    /// Fails the job of a task that crashed too many workers.
    fn give_up_job(&mut self, now: Millis, task: TaskKey, crashes: usize) {
        log::warn!("event=job-given-up task={task} crashes={crashes}");
        self.crash_counts.given_up += 1;
        self.close_job(now, task.step.job, JobOutcome::Failed);
    }

    /// Whether a task may be the reason why a worker does not answer: a worker crashed before while
    /// it ran the task, or a worker with another run of it does not answer either. If such a task
    /// were copied each time, it would crash the workers one by one.
    pub(in crate::cell) fn may_have_crashed_workers(&self, task: TaskKey, run: u64) -> bool {
        let has_other_run = |worker: &Worker| {
            let mut runs = worker.runs.range((task, 0)..=(task, u64::MAX));
            runs.any(|((_, other), _)| *other != run)
        };
        let mut unreachable = self.workers.values().filter(|worker| !worker.is_reachable);
        !self.task_crashes(task).is_empty() || unreachable.any(has_other_run)
    }

    /// The crashes counted for a task; none if the task is not known, for example because its job
    /// was closed.
    pub(in crate::cell) fn task_crashes(&self, task: TaskKey) -> &[Crash] {
        let step = self.jobs.get(&task.step.job).and_then(|job| job.step(task.step));
        let state = step.and_then(|step| step.tasks.get(task.index as usize));
        state.map(|state| state.crashes.as_slice()).unwrap_or_default()
    }

    /// Whether a task is quarantined, so that it should run alone.
    pub(in crate::cell) fn is_quarantined(&self, task: TaskKey) -> bool {
        restart_policy(self.task_crashes(task)) != RestartPolicy::Normal
    }

    /// Dedicates a worker to the job of a quarantined task, unless too many workers of the service
    /// are dedicated to such jobs already.
    pub(in crate::cell) fn quarantine_worker(&mut self, name: &Name, task: TaskKey) {
        let Some(worker) = self.workers.get(name) else { return };
        let service = &worker.listed.service;
        let of_service = self.workers.values().filter(|worker| worker.listed.service == *service);
        let (mut all, mut quarantined) = (0, 0);
        for worker in of_service {
            all += 1;
            quarantined += usize::from(worker.quarantined_job().is_some());
        }
        if quarantined >= (all / WORKERS_PER_QUARANTINE).max(1) {
            return;
        }
        if let Some(worker) = self.workers.get_mut(name) {
            log::info!("event=task-quarantined task={task} worker={name}");
            worker.quarantined_for = Some(task.step.job);
        }
    }
}

/// A run whose start was sent to a worker.
#[derive(Debug)]
struct SentRun {
    task: TaskKey,
    /// Since when the run is known to this owner.
    since: Millis,
    /// How strongly a crash of the worker implicates the task.
    evidence: Evidence,
    /// The worker has confirmed that it started the run.
    has_started: bool,
}

/// The runs that were sent to the current incarnation of a worker, in the order of their tasks. Runs
/// that were sent to an earlier incarnation are left out: each was counted when that incarnation ended,
/// and would be counted again with each restart.
#[derive(Debug)]
pub(in crate::cell) struct SentRuns(Vec<SentRun>);

impl SentRuns {
    /// Collects the runs, which takes a walk of all runs on the worker.
    pub fn new(worker: &Worker) -> Self {
        visits::add(worker.runs.len());
        let counts = |(_, run): &(&(TaskKey, u64), &Run)| run.is_sent && !run.is_stale;
        let sent = || worker.runs.iter().filter(counts);
        let jobs: BTreeSet<JobKey> = sent().map(|((task, _), _)| task.step.job).collect();
        let evidence = |run: &Run| match worker.is_stable(run.known_since) {
            true => Evidence::of_stable_worker(jobs.len() == 1, run.has_started),
            false => Evidence::Doubtful,
        };
        let row = |((task, _), run): (&(TaskKey, u64), &Run)| SentRun {
            task: *task,
            since: run.known_since,
            evidence: evidence(run),
            has_started: run.has_started,
        };
        Self(sent().map(row).collect())
    }

    /// The first run of a task.
    fn first_of(&self, task: TaskKey) -> Option<&SentRun> {
        let index = self.0.partition_point(|run| run.task < task);
        self.0.get(index).filter(|run| run.task == task)
    }
}

/// Whether a task runs until its job is cancelled.
fn is_long_running(job: &Job, task: TaskKey) -> bool {
    job.spec(task.step.step).is_some_and(|spec| spec.long_running)
}

/// The first task of a job that may be started again by this policy, and how many crashes it has. Tasks
/// that run until their job is cancelled are never given up.
fn find_task(key: JobKey, job: &Job, policy: RestartPolicy) -> Option<(TaskKey, usize)> {
    job.step_keys(key).into_iter().find_map(|step_key| {
        job.spec(step_key.step).filter(|spec| !spec.long_running)?;
        let mut tasks = job.step(step_key)?.tasks.iter().enumerate();
        visits::add(tasks.len());
        let (index, task) = tasks.find(|(_, task)| restart_policy(&task.crashes) == policy)?;
        Some((TaskKey { step: step_key, index: index as u32 }, task.crashes.len()))
    })
}

impl Worker {
    /// The job to which the worker is dedicated, as long as runs of that job are on it.
    pub(in crate::cell) fn quarantined_job(&self) -> Option<JobKey> {
        self.quarantined_for.filter(|job| self.runs_of(*job).next().is_some())
    }
}
