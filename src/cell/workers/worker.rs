//! A worker at its owner: the room that is taken, what runs, and what is known of its health.

use crate::cell::placing::usage::Held;
use crate::clock::Millis;
use crate::id::Name;
use crate::order::{Life, Listed, Report, differ};
use crate::workload::{JobKey, Room, Step, TaskKey};
use std::collections::{BTreeMap, VecDeque};

/// A lease is counted as over this much later, in thousandths of its length: a worker's clock may
/// be 2 % slow (the platform's contract), and one is spare.
const LEASE_SAFETY_PERMILLE: u64 = 1_030;
/// Reports in a row that may be missing before a worker counts as silent.
const MAX_MISSED_REPORTS: u32 = 1;
/// Failures in a row, of different jobs, after which a worker is set aside. Tasks that fail by
/// their own fault are at most one in ten, so three in a row are one in a thousand.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// How long a worker is set aside the first time; doubled each time. The platform's workers
/// recover within seconds or not at all.
const MIN_EXCLUSION: Millis = Millis(2_000);
/// The longest time that a worker is set aside.
const MAX_EXCLUSION: Millis = Millis(16_000);

/// A task that saves its progress does so with each half second of work on the platform's workers:
/// two were missed and the next is late.
const STALL_TIMEOUT: Millis = Millis(1_700);
/// Late runs of two jobs within this time are the worker's doing.
const LATE_WINDOW: Millis = Millis(3_000);

/// A worker has stayed up once a life of it was heard for so long. One that crashes by itself mostly does so again and
/// again, and sooner.
const STABLE_AFTER: Millis = Millis(2_000);

/// Where a run stands at its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// A start was sent.
    Starting,
    /// The start was answered at this time, or a report named the run.
    Running(Millis),
    /// It must end: a stop was sent, and answered at this time if at all.
    Stopping(Option<Millis>),
}

/// A run whose room is taken.
#[derive(Debug)]
pub struct Run {
    /// The number of the start.
    pub run: u64,
    /// What it takes.
    pub charge: Room,
    /// Its part of what its workspace has running.
    pub usage_guard: Option<Held>,
    /// Where it stands.
    pub phase: Phase,
    /// A stop is under way to the worker.
    pub stop_pending: bool,
    /// Its start may have reached the worker.
    pub is_sent: bool,
    /// It was sent to a life before: this one is told to refuse it.
    pub is_stale: bool,
    /// Since when it is known here, as bound or as running.
    pub known_since: Millis,
    /// The worker surely began it.
    pub has_started: bool,
    /// The share at which it may work, in hundredths.
    pub percent: u32,
    /// It takes what others leave.
    pub is_filler: bool,
    /// The bound on the tail of its answers; 0: it serves nobody.
    pub tail_limit: Millis,
    /// It saves its progress.
    pub saves_progress: bool,
    /// When it was first known to run.
    pub started_at: Millis,
    /// When it last saved progress, or began.
    pub progressed_at: Millis,
    /// The time after which it takes far longer than others of its queue.
    pub late_after: Option<Millis>,
    /// It was found to stand still or to be late.
    pub is_straggler: bool,
}

impl Run {
    /// A run of a step's task.
    pub fn new(run: u64, spec: &Step, phase: Phase) -> Self {
        Self {
            run,
            charge: spec.charge(),
            usage_guard: None,
            phase,
            stop_pending: false,
            is_sent: false,
            is_stale: false,
            known_since: Millis(0),
            has_started: false,
            percent: 100,
            is_filler: spec.filler,
            tail_limit: spec.tail,
            saves_progress: spec.saves,
            started_at: Millis(0),
            progressed_at: Millis(0),
            late_after: None,
            is_straggler: false,
        }
    }

    /// The worker surely runs it by now.
    pub fn mark_started(&mut self, now: Millis) {
        self.phase = Phase::Running(now);
        self.has_started = true;
        (self.started_at, self.progressed_at) = (now, now);
    }

    /// Whether it stands still although it should save progress.
    fn is_stalled(&self, now: Millis) -> bool {
        self.saves_progress && !self.is_filler && now.since(self.progressed_at) >= STALL_TIMEOUT
    }

    /// Whether it takes far longer than others of its queue.
    fn is_late(&self, now: Millis) -> bool {
        self.late_after.is_some_and(|limit| now.since(self.started_at) >= limit)
    }
}

/// A worker.
#[derive(Debug)]
pub struct Worker {
    /// As it lists itself.
    pub listed: Listed,
    /// When the process started that reports, or whose runs an earlier owner left.
    born: Option<Millis>,
    /// When it was last found to be another life.
    pub restarted_at: Millis,
    /// Something sent to it was not answered since it last reported: it may be another life by now.
    maybe_restarted: bool,
    /// It is listed now.
    pub is_listed: bool,
    /// The batch that names it among the workers in use.
    pub roster_batch: u64,
    /// It answered in this epoch, and to the last call.
    pub is_reachable: bool,
    /// It answered in this epoch: what earlier owners started there is known.
    pub has_reported: bool,
    /// When this life first answered in this epoch.
    first_report: Option<Millis>,
    /// What runs or may run there. A task can have two runs for a moment, one of them ending.
    pub runs: BTreeMap<(TaskKey, u64), Run>,
    /// The room taken by `runs`.
    pub used: Room,
    /// An order or a report asked for at this time was not answered, and no later one was either.
    unanswered_at: Option<Millis>,
    /// Reports in a row that did not come.
    missed_reports: u32,
    /// The worker's clock and when it was read here.
    clock: Option<(u64, Millis)>,
    /// When everything that it runs has surely ended unless it is renewed.
    pub lease_end: Millis,
    /// The highest end that was taken in.
    last_end: u64,
    /// The highest end that may be confirmed: it is in the store.
    confirmed_end: u64,
    /// Ends taken in, with the batch that keeps them.
    unstored_ends: VecDeque<(u64, u64)>,
    failures: u32,
    last_failed: Option<TaskKey>,
    exclusion: Millis,
    excluded_until: Millis,
    /// The last run that was late, and when it was found to be.
    last_late: Option<(TaskKey, Millis)>,
    /// When the shares of fillers were last changed.
    pub throttled_at: Millis,
    /// The worker is left to this job.
    pub(in crate::cell) quarantined_for: Option<JobKey>,
}

impl Worker {
    /// A worker that has not answered yet.
    pub fn new(listed: Listed, roster_batch: u64, lease_end: Millis) -> Self {
        Self {
            born: listed.born,
            restarted_at: Millis(0),
            maybe_restarted: false,
            listed,
            is_listed: true,
            roster_batch,
            is_reachable: false,
            has_reported: false,
            first_report: None,
            runs: BTreeMap::new(),
            used: Room::default(),
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
            throttled_at: Millis(0),
            quarantined_for: None,
        }
    }

    /// The life that is known here.
    pub fn life(&self) -> Life {
        Life { id: self.listed.id.clone(), born: self.born }
    }

    /// Whether a process that started at `born` is another life than the one known here.
    pub fn is_other_incarnation(&self, born: Option<Millis>) -> bool {
        differ(self.born, born)
    }

    /// The life that reports from now on: it holds nothing of the one before, and its numbers of ends and
    /// its clock begin anew. It gets nothing new before its own entry in the list is read, for it may be of
    /// another kind.
    pub fn restart(
        &mut self,
        now: Millis,
        born: Option<Millis>,
        batch: u64,
        lease_end: Millis,
    ) -> Self {
        let next = Self::new(self.listed.clone(), batch, lease_end);
        let next = Self { born, restarted_at: now, is_listed: self.is_listed, ..next };
        std::mem::replace(self, next)
    }

    /// Something sent to it was not answered.
    pub fn suspect_restart(&mut self) {
        self.maybe_restarted = true;
    }

    /// Whether it may be another life by now: nothing of the life before may be said to it.
    pub fn may_have_restarted(&self) -> bool {
        self.maybe_restarted
    }

    /// The room that is free.
    pub fn free(&self) -> Room {
        self.listed.room.less(&self.used)
    }

    /// Whether more is taken than there is, since its room shrank.
    pub fn is_overcommitted(&self) -> bool {
        !self.listed.room.holds(&self.used)
    }

    /// Its rack.
    pub fn rack(&self) -> Option<&Name> {
        self.listed.rack()
    }

    /// Takes room for a run.
    pub fn add_run(&mut self, task: TaskKey, run: Run) {
        self.used = self.used.plus(&run.charge);
        self.runs.insert((task, run.run), run);
    }

    /// Frees the room of a run.
    pub fn remove_run(&mut self, task: TaskKey, run: u64) -> Option<Run> {
        let run = self.runs.remove(&(task, run))?;
        self.used = self.used.less(&run.charge);
        Some(run)
    }

    /// When a lease that begins now ends on the worker's clock, if that is known.
    pub fn renew_lease(&mut self, now: Millis, length: Millis) -> Option<u64> {
        let (clock, at) = self.clock?;
        let over = now + Millis(length.0 * LEASE_SAFETY_PERMILLE / 1_000);
        self.lease_end = self.lease_end.max(over);
        Some(clock + now.since(at).0 + length.0)
    }

    /// Something sent at `sent` was not answered: nothing new goes there until a report is.
    pub fn mark_unanswered(&mut self, sent: Millis) {
        self.maybe_restarted = true;
        self.unanswered_at = self.unanswered_at.max(Some(sent));
    }

    /// Whether it left something unanswered since it last reported.
    pub fn has_unanswered(&self) -> bool {
        self.unanswered_at.is_some()
    }

    /// The worker answered what was asked at `sent`, and told its clock; whether it is known only now when
    /// it started.
    pub fn record_report(&mut self, now: Millis, sent: Millis, report: &Report) -> bool {
        if self.unanswered_at.is_some_and(|doubted| sent >= doubted) {
            self.unanswered_at = None;
        }
        self.clock = Some((report.clock, now));
        self.maybe_restarted = false;
        self.is_reachable = true;
        self.first_report.get_or_insert(now);
        self.missed_reports = 0;
        let is_news = self.born.is_none() && report.born.is_some();
        self.born = self.born.or(report.born);
        is_news
    }

    /// A report did not come; whether that was more than one in a row.
    pub fn record_missing_report(&mut self) -> bool {
        self.missed_reports += 1;
        self.missed_reports > MAX_MISSED_REPORTS
    }

    /// From when on this life has stayed up, if it does.
    pub fn stable_from(&self) -> Option<Millis> {
        self.first_report.map(|at| at + STABLE_AFTER)
    }

    /// Whether this life had stayed up by then.
    pub fn is_stable(&self, at: Millis) -> bool {
        self.stable_from().is_some_and(|from| at >= from)
    }

    /// The highest end that may be confirmed.
    pub fn confirmed_end(&self) -> u64 {
        self.confirmed_end
    }

    /// Whether an end was taken in before.
    pub fn has_recorded_end(&self, no: u64) -> bool {
        no <= self.last_end
    }

    /// An end was taken in, and `batch` will keep it.
    pub fn record_end(&mut self, no: u64, batch: u64) {
        self.last_end = self.last_end.max(no);
        self.unstored_ends.push_back((batch, no));
    }

    /// All batches up to `batch` are in the store.
    pub fn mark_stored(&mut self, batch: u64) {
        while let Some((of, no)) = self.unstored_ends.front().copied()
            && of <= batch
        {
            self.confirmed_end = self.confirmed_end.max(no);
            self.unstored_ends.pop_front();
        }
    }

    /// The batch that keeps the last end taken in, if it is not in the store yet.
    pub fn unstored_batch(&self) -> Option<u64> {
        self.unstored_ends.back().map(|(batch, _)| *batch)
    }

    /// A run ended as it should.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.exclusion = Millis(0);
    }

    /// A run failed; `true` if the worker is set aside for it.
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

    /// Gives the worker nothing new for a while.
    pub fn exclude(&mut self, now: Millis) {
        self.exclusion = Millis((self.exclusion.0 * 2).clamp(MIN_EXCLUSION.0, MAX_EXCLUSION.0));
        self.excluded_until = now + self.exclusion;
        // One more failure sets it aside again.
        self.failures = MAX_CONSECUTIVE_FAILURES - 1;
    }

    /// Finds runs that stand still or take far longer than others of their queue, each once. The
    /// worker is set aside for one that stands still, and for late ones of two jobs.
    pub fn find_stragglers(&mut self, now: Millis) -> Vec<(TaskKey, u64)> {
        let (mut found, mut blame) = (Vec::new(), false);
        let running = |run: &Run| matches!(run.phase, Phase::Running(_)) && !run.is_straggler;
        for ((task, no), run) in self.runs.iter_mut().filter(|(_, run)| running(run)) {
            let still = run.started_at.0 > 0 && run.is_stalled(now);
            if !still && (run.started_at.0 == 0 || !run.is_late(now)) {
                continue;
            }
            run.is_straggler = true;
            found.push((*task, *no));
            let other = self.last_late.replace((*task, now));
            let together = other.is_some_and(|(other, at)| {
                other.step.job != task.step.job && now.since(at) < LATE_WINDOW
            });
            blame = blame || still || together;
        }
        if blame && now >= self.excluded_until {
            self.exclude(now);
        }
        found
    }

    /// Whether its last runs were fine.
    pub fn is_healthy(&self) -> bool {
        self.failures == 0
    }

    /// Whether it is set aside.
    pub fn is_excluded(&self, now: Millis) -> bool {
        now < self.excluded_until
    }

    /// Whether it may get new tasks unless it is set aside, with all batches up to `kept` in the store.
    pub fn accepts_tasks(&self, kept: u64) -> bool {
        let answers = self.has_reported && self.is_reachable && self.unanswered_at.is_none();
        let known = self.is_listed
            && answers
            && self.roster_batch <= kept
            && !self.is_other_incarnation(self.listed.born);
        known && self.listed.leaving.is_none() && self.clock.is_some()
    }
}
