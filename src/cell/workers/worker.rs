//! The owner's view of one worker: its resources, the runs on it, and its health.

use crate::cell::workers::run::{Phase, Run};
use crate::cell::workers::speed::Speed;
use crate::clock::Millis;
use crate::id::Name;
use crate::order::{Incarnation, WorkerInfo, WorkerReport, start_times_differ};
use crate::workload::{JobKey, Resources, StepKey, TaskKey};
use std::collections::{BTreeMap, VecDeque};

/// The owner considers a lease expired after its length times this factor, in thousandths. A
/// worker's clock may be 2 % slow by the platform's contract, and 1 % is a margin.
const LEASE_FACTOR_PERMILLE: u64 = 1_030;
/// Number of consecutive reports that may be missing before a worker is considered unreachable.
const MAX_MISSED_REPORTS: u32 = 1;
/// Number of consecutive failures, of different jobs, after which a worker is excluded from
/// placement. At most one task in ten fails by its own fault, so three such failures in a row
/// happen once in a thousand.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// The length of a worker's first exclusion from placement; each further one is twice as long. The
/// platform's workers recover within seconds or not at all.
const MIN_EXCLUSION: Millis = Millis(2_000);
/// The longest exclusion from placement.
const MAX_EXCLUSION: Millis = Millis(16_000);

/// Late runs of two different jobs within this time are attributed to the worker.
const LATE_WINDOW: Millis = Millis(3_000);

/// A worker is stable once this long has passed since the first report of its current incarnation.
/// A worker that crashes by itself usually does so repeatedly, and sooner than this.
const STABLE_AFTER: Millis = Millis(2_000);

/// A worker and its state as known to the owner.
#[derive(Debug)]
pub struct Worker {
    /// The worker's entry in the list of workers.
    pub listed: WorkerInfo,
    /// When the current incarnation started: the one that reports, or on which an earlier owner
    /// left runs.
    started_at: Option<Millis>,
    /// When a restart of the worker was last noticed.
    pub restarted_at: Millis,
    /// A message to the worker was not answered since its last report, so it may have restarted.
    maybe_restarted: bool,
    /// The worker is on the list of workers now.
    pub is_listed: bool,
    /// No task is started on the worker, because its failure domain is drained.
    pub is_drained: bool,
    /// The batch that records it as a worker in use; 0 if an earlier owner recorded it.
    pub roster_batch: u64,
    /// The worker has reported in this epoch, and answered since the owner last considered it
    /// unreachable.
    pub is_reachable: bool,
    /// The worker has reported in this epoch.
    pub has_reported: bool,
    /// A report in this epoch listed all ends, so the runs that earlier owners started there are
    /// known.
    pub ends_known: bool,
    /// The last report may not have listed all ends.
    pub has_more_ends: bool,
    /// When the current incarnation first reported in this epoch.
    first_report: Option<Millis>,
    /// The runs that are or may be on the worker. A task can have two runs for a moment, one of
    /// which is ending.
    pub runs: BTreeMap<(TaskKey, u64), Run>,
    /// The resources charged for `runs`.
    pub used: Resources,
    /// The number of `runs` that serve requests of users.
    pub serving_runs: usize,
    /// When the last order or report call was sent that was not answered, if no later one was.
    unanswered_at: Option<Millis>,
    /// Number of consecutive reports that are missing.
    missed_reports: u32,
    /// The time on the worker's clock, and when it was received here.
    clock: Option<(u64, Millis)>,
    /// When all leases on the worker have expired unless they are renewed.
    pub lease_end: Millis,
    /// The highest number of an end of a run that was received.
    last_end: u64,
    /// The highest number of an end that may be confirmed to the worker because its record is in
    /// the store.
    confirmed_end: u64,
    /// Ends that were received and are not in the store yet: the batch with the record, and the
    /// number of the end.
    unstored_ends: VecDeque<(u64, u64)>,
    /// Number of consecutive failures, of different jobs.
    failures: u32,
    /// The task that failed last.
    last_failed: Option<TaskKey>,
    /// The length of the last exclusion from placement; 0 if there was none since a task last
    /// succeeded.
    exclusion: Millis,
    /// Until when it is excluded from placement.
    excluded_until: Millis,
    /// The task of the last straggler, and when it was found.
    last_late: Option<(TaskKey, Millis)>,
    /// How long runs take here compared with other workers.
    pub speed: Speed,
    /// When the processor shares of filler tasks were last changed.
    pub throttled_at: Millis,
    /// The job to which the worker is dedicated because one of its tasks is quarantined.
    pub(in crate::cell) quarantined_for: Option<JobKey>,
}

impl Worker {
    /// Creates a worker that has not reported yet.
    pub fn new(listed: WorkerInfo, roster_batch: u64, lease_end: Millis) -> Self {
        Self {
            started_at: listed.started_at,
            restarted_at: Millis(0),
            maybe_restarted: false,
            listed,
            is_listed: true,
            is_drained: false,
            roster_batch,
            is_reachable: false,
            has_reported: false,
            ends_known: false,
            has_more_ends: false,
            first_report: None,
            runs: BTreeMap::new(),
            used: Resources::default(),
            serving_runs: 0,
            unanswered_at: None,
            missed_reports: 0,
            clock: None,
            lease_end,
            last_end: 0,
            confirmed_end: 0,
            unstored_ends: VecDeque::new(),
            failures: 0,
            last_failed: None,
            exclusion: Millis(0),
            excluded_until: Millis(0),
            last_late: None,
            speed: Speed::default(),
            throttled_at: Millis(0),
            quarantined_for: None,
        }
    }

    /// The incarnation that is known here.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { id: self.listed.id.clone(), started_at: self.started_at }
    }

    /// Whether a process that started at `started_at` is another incarnation than the one known
    /// here.
    pub fn is_other_incarnation(&self, started_at: Option<Millis>) -> bool {
        start_times_differ(self.started_at, started_at)
    }

    /// Resets the state to that of a new incarnation and returns the state of the previous one.
    ///
    /// The new incarnation has none of the runs, and its clock and its numbers of ends start anew.
    /// The worker gets no new tasks before the new incarnation's entry in the list of workers is
    /// read, because its kind may have changed.
    pub fn restart(
        &mut self,
        now: Millis,
        started_at: Option<Millis>,
        batch: u64,
        lease_end: Millis,
    ) -> Self {
        let next = Self::new(self.listed.clone(), batch, lease_end);
        let (is_listed, is_drained) = (self.is_listed, self.is_drained);
        let next = Self { started_at, restarted_at: now, is_listed, is_drained, ..next };
        std::mem::replace(self, next)
    }

    /// Whether the current incarnation reported to this owner at or before a time.
    pub fn has_reported_by(&self, at: Millis) -> bool {
        self.first_report.is_some_and(|first| first <= at)
    }

    /// A message to it was not answered.
    pub fn suspect_restart(&mut self) {
        self.maybe_restarted = true;
    }

    /// Whether the worker may have restarted. Until that is known, no message that refers to the
    /// previous incarnation may be sent to it.
    pub fn may_have_restarted(&self) -> bool {
        self.maybe_restarted
    }

    /// The free resources.
    pub fn free(&self) -> Resources {
        self.listed.capacity.saturating_sub(&self.used)
    }

    /// Whether the runs take more than the worker has, because its resources shrank.
    pub fn is_overcommitted(&self) -> bool {
        !self.listed.capacity.can_fit(&self.used)
    }

    /// The rack of the worker.
    pub fn rack(&self) -> Option<&Name> {
        self.listed.rack()
    }

    /// The number of runs of lasting tasks.
    pub fn lasting_runs(&self) -> usize {
        self.runs.values().filter(|run| run.is_lasting).count()
    }

    /// Adds a run and charges its resources.
    pub fn add_run(&mut self, task: TaskKey, run: Run) {
        self.used = self.used.plus(&run.charge);
        self.serving_runs += usize::from(run.serves_users());
        self.runs.insert((task, run.run), run);
    }

    /// Removes a run and frees its resources.
    pub fn remove_run(&mut self, task: TaskKey, run: u64) -> Option<Run> {
        let run = self.runs.remove(&(task, run))?;
        self.used = self.used.saturating_sub(&run.charge);
        self.serving_runs -= usize::from(run.serves_users());
        Some(run)
    }

    /// The runs of a job.
    pub fn runs_of(&self, job: JobKey) -> impl Iterator<Item = (&TaskKey, &Run)> {
        let first = TaskKey { step: StepKey { job, repetition: 0, step: 0 }, index: 0 };
        let from_first = self.runs.range((first, 0)..);
        let of_job = from_first.take_while(move |((task, _), _)| task.step.job == job);
        of_job.map(|((task, _), run)| (task, run))
    }

    /// The runs of a step.
    pub fn runs_of_step(&self, step: StepKey) -> impl Iterator<Item = (&TaskKey, &Run)> {
        let task = |index| TaskKey { step, index };
        let of_step = self.runs.range((task(0), 0)..=(task(u32::MAX), u64::MAX));
        of_step.map(|((task, _), run)| (task, run))
    }

    /// Removes the runs of a job whose starts were not sent. A task may have several of them, if it
    /// was bound again while this worker did not answer.
    pub fn remove_unsent_runs(&mut self, job: JobKey) {
        let unsent: Vec<(TaskKey, u64)> = self
            .runs_of(job)
            .filter(|(_, run)| !run.is_sent)
            .map(|(task, run)| (*task, run.run))
            .collect();
        for (task, run) in unsent {
            self.remove_run(task, run);
        }
    }

    /// Renews the lease. Returns its end on the worker's clock, or `None` if that clock is not
    /// known.
    pub fn renew_lease(&mut self, now: Millis, length: Millis) -> Option<u64> {
        let (clock, read_at) = self.clock?;
        let expiry = now + Millis(length.0 * LEASE_FACTOR_PERMILLE / 1_000);
        self.lease_end = self.lease_end.max(expiry);
        Some(clock.saturating_add(now.since(read_at).0 + length.0))
    }

    /// A message sent at `sent` was not answered: the worker gets no new tasks until it answers a
    /// report call.
    pub fn mark_unanswered(&mut self, sent: Millis) {
        self.maybe_restarted = true;
        self.unanswered_at = self.unanswered_at.max(Some(sent));
    }

    /// Whether a message to it was not answered since its last report.
    pub fn has_unanswered(&self) -> bool {
        self.unanswered_at.is_some()
    }

    /// The worker answered a report call that was sent at `sent`. Returns whether the report is the
    /// first to tell when the worker's process started.
    pub fn record_report(&mut self, now: Millis, sent: Millis, report: &WorkerReport) -> bool {
        if self.unanswered_at.is_some_and(|unanswered| sent >= unanswered) {
            self.unanswered_at = None;
        }
        self.clock = Some((report.clock, now));
        self.maybe_restarted = false;
        self.is_reachable = true;
        self.first_report.get_or_insert(now);
        self.missed_reports = 0;
        let is_first_start_time = self.started_at.is_none() && report.started_at.is_some();
        self.started_at = self.started_at.or(report.started_at);
        is_first_start_time
    }

    /// A report is missing. Returns whether more than [`MAX_MISSED_REPORTS`] are missing in a row.
    pub fn record_missing_report(&mut self) -> bool {
        self.missed_reports += 1;
        self.is_silent()
    }

    /// Whether the last report is missing.
    pub fn has_missed_report(&self) -> bool {
        self.missed_reports > 0
    }

    /// Whether as many reports are missing in a row as make a worker unreachable.
    pub fn is_silent(&self) -> bool {
        self.missed_reports > MAX_MISSED_REPORTS
    }

    /// Whether the worker was in use under an earlier owner, and has not restarted since.
    pub fn is_inherited(&self) -> bool {
        self.roster_batch == 0
    }

    /// When the current incarnation becomes stable if it stays up.
    pub fn stable_from(&self) -> Option<Millis> {
        self.first_report.map(|first| first + STABLE_AFTER)
    }

    /// Whether the current incarnation was stable at `at`.
    pub fn is_stable(&self, at: Millis) -> bool {
        self.stable_from().is_some_and(|stable_from| at >= stable_from)
    }

    /// The highest number of an end that may be confirmed to the worker.
    pub fn confirmed_end(&self) -> u64 {
        self.confirmed_end
    }

    /// Whether the end with this number was received before.
    pub fn has_recorded_end(&self, number: u64) -> bool {
        number <= self.last_end
    }

    /// Notes the number of an end that was received and whose record is in `batch`.
    pub fn record_end(&mut self, number: u64, batch: u64) {
        self.last_end = self.last_end.max(number);
        self.unstored_ends.push_back((batch, number));
    }

    /// All batches up to `batch` are in the store.
    pub fn mark_stored(&mut self, batch: u64) {
        while let Some((stored_in, number)) = self.unstored_ends.front().copied()
            && stored_in <= batch
        {
            self.confirmed_end = self.confirmed_end.max(number);
            self.unstored_ends.pop_front();
        }
    }

    /// The batch with the record of the last end that was received, if it is not in the store yet.
    pub fn unstored_batch(&self) -> Option<u64> {
        self.unstored_ends.back().map(|(batch, _)| *batch)
    }

    /// A run succeeded.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.exclusion = Millis(0);
    }

    /// A run failed. Returns whether the worker is excluded from placement for it.
    pub fn record_failure(&mut self, now: Millis, task: TaskKey) -> bool {
        if self.last_failed.is_some_and(|last| last.step.job == task.step.job) {
            return false;
        }
        self.last_failed = Some(task);
        self.failures += 1;
        if self.failures < MAX_CONSECUTIVE_FAILURES {
            return false;
        }
        self.exclude(now);
        true
    }

    /// Excludes the worker from placement for a while.
    pub fn exclude(&mut self, now: Millis) {
        self.exclusion = Millis((self.exclusion.0 * 2).clamp(MIN_EXCLUSION.0, MAX_EXCLUSION.0));
        self.excluded_until = now + self.exclusion;
        // One more failure excludes it again.
        self.failures = MAX_CONSECUTIVE_FAILURES - 1;
    }

    /// Finds runs that are stalled or late, each only once. The worker is excluded from placement
    /// for a stalled run, and for late runs of two different jobs within [`LATE_WINDOW`].
    pub fn find_stragglers(&mut self, now: Millis) -> Vec<(TaskKey, u64)> {
        let (mut found, mut is_at_fault) = (Vec::new(), false);
        let is_candidate = |run: &Run| matches!(run.phase, Phase::Running(_)) && !run.is_straggler;
        for ((task, number), run) in self.runs.iter_mut().filter(|(_, run)| is_candidate(run)) {
            let is_stalled = run.started_at.0 > 0 && run.is_stalled(now);
            if !is_stalled && (run.started_at.0 == 0 || !run.is_late(now)) {
                continue;
            }
            run.is_straggler = true;
            found.push((*task, *number));
            let other = self.last_late.replace((*task, now));
            let is_repeated = other.is_some_and(|(other, at)| {
                other.step.job != task.step.job && now.since(at) < LATE_WINDOW
            });
            is_at_fault = is_at_fault || is_stalled || is_repeated;
        }
        if is_at_fault && now >= self.excluded_until {
            self.exclude(now);
        }
        found
    }

    /// Whether no run has failed since the last success.
    pub fn is_healthy(&self) -> bool {
        self.failures == 0
    }

    /// Whether the worker is excluded from placement now.
    pub fn is_excluded(&self, now: Millis) -> bool {
        now < self.excluded_until
    }

    /// Whether the worker may get new tasks when all batches up to `stored_batch` are in the store.
    /// Exclusion from placement is not considered here.
    pub fn accepts_tasks(&self, stored_batch: u64) -> bool {
        let is_responsive = self.has_reported && self.is_reachable && self.unanswered_at.is_none();
        let is_known = self.is_listed
            && is_responsive
            && self.roster_batch <= stored_batch
            && !self.is_other_incarnation(self.listed.started_at);
        let is_available = !self.is_drained && self.listed.leaves_in.is_none();
        is_known && is_available && self.clock.is_some()
    }
}
