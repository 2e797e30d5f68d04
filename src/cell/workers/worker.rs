//! A worker at its owner: the room that is taken, what runs, and what is known of its health.

use crate::cell::placing::usage::UsageGuard;
use crate::clock::Millis;
use crate::id::Name;
use crate::order::{Incarnation, WorkerInfo, WorkerReport, start_times_differ};
use crate::workload::{JobKey, Resources, Step, TaskKey};
use std::collections::{BTreeMap, VecDeque};

/// A lease is counted as over this much later, in thousandths of its length: a worker's clock may
/// be 2 % slow (the platform's contract), and one is spare.
const SLOW_CLOCK: u64 = 1_030;
/// Reports in a row that may be missing before a worker counts as silent.
const MAX_MISSES: u32 = 1;
/// Failures in a row, of different jobs, after which a worker is set aside. Tasks that fail by
/// their own fault are at most one in ten, so three in a row are one in a thousand.
const MAX_FAILS: u32 = 3;
/// How long a worker is set aside the first time; doubled each time. The platform's workers
/// recover within seconds or not at all.
const ASIDE: Millis = Millis(2_000);
/// The longest time that a worker is set aside.
const MAX_ASIDE: Millis = Millis(16_000);

/// A task that saves its progress does so with each half second of work on the platform's workers:
/// two were missed and the next is late.
const STILL: Millis = Millis(1_700);
/// Late runs of two jobs within this time are the worker's doing.
const LATE_TOGETHER: Millis = Millis(3_000);

/// A worker has stayed up once a life of it was heard for so long. One that crashes by itself mostly does so again and
/// again, and sooner.
const SETTLED: Millis = Millis(2_000);

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
    pub charge: Resources,
    /// Its part of what its workspace has running.
    pub held: Option<UsageGuard>,
    /// Where it stands.
    pub phase: Phase,
    /// A stop is under way to the worker.
    pub told: bool,
    /// Its start may have reached the worker.
    pub is_sent: bool,
    /// It was sent to a life before: this one is told to refuse it.
    pub is_barred: bool,
    /// Since when it is known here, as bound or as running.
    pub since: Millis,
    /// The worker surely began it.
    pub seen: bool,
    /// The share at which it may work, in hundredths.
    pub percent: u32,
    /// It takes what others leave.
    pub filler: bool,
    /// The bound on the tail of its answers; 0: it serves nobody.
    pub tail: Millis,
    /// It saves its progress.
    pub saves: bool,
    /// When it was first known to run.
    pub began: Millis,
    /// When it last saved progress, or began.
    pub moved: Millis,
    /// The time after which it takes far longer than others of its queue.
    pub limit: Option<Millis>,
    /// It was found to stand still or to be late.
    pub is_straggler: bool,
}

impl Run {
    /// A run of a step's task.
    pub fn bound(run: u64, spec: &Step, phase: Phase) -> Self {
        Self {
            run,
            charge: spec.charged_resources(),
            held: None,
            phase,
            told: false,
            is_sent: false,
            is_barred: false,
            since: Millis(0),
            seen: false,
            percent: 100,
            filler: spec.best_effort,
            tail: spec.latency_bound,
            saves: spec.has_checkpoints,
            began: Millis(0),
            moved: Millis(0),
            limit: None,
            is_straggler: false,
        }
    }

    /// The worker surely runs it by now.
    pub fn begin(&mut self, now: Millis) {
        self.phase = Phase::Running(now);
        self.seen = true;
        (self.began, self.moved) = (now, now);
    }

    /// Whether it stands still although it should save progress.
    fn stands_still(&self, now: Millis) -> bool {
        self.saves && !self.filler && now.since(self.moved) >= STILL
    }

    /// Whether it takes far longer than others of its queue.
    fn takes_long(&self, now: Millis) -> bool {
        self.limit.is_some_and(|limit| now.since(self.began) >= limit)
    }
}

/// A worker.
#[derive(Debug)]
pub struct Worker {
    /// As it lists itself.
    pub listed: WorkerInfo,
    /// When the process started that reports, or whose runs an earlier owner left.
    born: Option<Millis>,
    /// When it was last found to be another life.
    pub restarted: Millis,
    /// Something sent to it was not answered since it last reported: it may be another life by now.
    unsure: bool,
    /// It is listed now.
    pub present: bool,
    /// The batch that names it among the workers in use.
    pub batch: u64,
    /// It answered in this epoch, and to the last call.
    pub heard: bool,
    /// It answered in this epoch: what earlier owners started there is known.
    pub known: bool,
    /// When this life first answered in this epoch.
    first_heard: Option<Millis>,
    /// What runs or may run there. A task can have two runs for a moment, one of them ending.
    pub runs: BTreeMap<(TaskKey, u64), Run>,
    /// The room taken by `runs`.
    pub used: Resources,
    /// An order or a report asked for at this time was not answered, and no later one was either.
    doubted: Option<Millis>,
    /// Reports in a row that did not come.
    misses: u32,
    /// The worker's clock and when it was read here.
    clock: Option<(u64, Millis)>,
    /// When everything that it runs has surely ended unless it is renewed.
    pub lease_end: Millis,
    /// The highest end that was taken in.
    seen: u64,
    /// The highest end that may be confirmed: it is in the store.
    confirmed: u64,
    /// Ends taken in, with the batch that keeps them.
    unkept: VecDeque<(u64, u64)>,
    fails: u32,
    last_fail: Option<TaskKey>,
    aside: Millis,
    aside_until: Millis,
    /// The last run that was late, and when it was found to be.
    late: Option<(TaskKey, Millis)>,
    /// When the shares of fillers were last changed.
    pub paced: Millis,
    /// The worker is left to this job.
    pub(in crate::cell) quarantine: Option<JobKey>,
}

impl Worker {
    /// A worker that has not answered yet.
    pub fn new(listed: WorkerInfo, batch: u64, lease_end: Millis) -> Self {
        Self {
            born: listed.started_at,
            restarted: Millis(0),
            unsure: false,
            listed,
            present: true,
            batch,
            heard: false,
            known: false,
            first_heard: None,
            runs: BTreeMap::new(),
            used: Resources::default(),
            doubted: None,
            misses: 0,
            clock: None,
            lease_end,
            seen: 0,
            confirmed: 0,
            unkept: VecDeque::new(),
            fails: 0,
            last_fail: None,
            aside: Millis(0),
            aside_until: Millis(0),
            late: None,
            paced: Millis(0),
            quarantine: None,
        }
    }

    /// The life that is known here.
    pub fn life(&self) -> Incarnation {
        Incarnation { id: self.listed.id.clone(), started_at: self.born }
    }

    /// Whether a process that started at `born` is another life than the one known here.
    pub fn is_other(&self, born: Option<Millis>) -> bool {
        start_times_differ(self.born, born)
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
        let next = Self { born, restarted: now, present: self.present, ..next };
        std::mem::replace(self, next)
    }

    /// Something sent to it was not answered.
    pub fn suspect(&mut self) {
        self.unsure = true;
    }

    /// Whether it may be another life by now: nothing of the life before may be said to it.
    pub fn is_unsure(&self) -> bool {
        self.unsure
    }

    /// The room that is free.
    pub fn free(&self) -> Resources {
        self.listed.capacity.saturating_sub(&self.used)
    }

    /// Whether more is taken than there is, since its room shrank.
    pub fn is_overfull(&self) -> bool {
        !self.listed.capacity.can_fit(&self.used)
    }

    /// Its rack.
    pub fn rack(&self) -> Option<&Name> {
        self.listed.rack()
    }

    /// Takes room for a run.
    pub fn add(&mut self, task: TaskKey, run: Run) {
        self.used = self.used.plus(&run.charge);
        self.runs.insert((task, run.run), run);
    }

    /// Frees the room of a run.
    pub fn remove(&mut self, task: TaskKey, run: u64) -> Option<Run> {
        let run = self.runs.remove(&(task, run))?;
        self.used = self.used.saturating_sub(&run.charge);
        Some(run)
    }

    /// When a lease that begins now ends on the worker's clock, if that is known.
    pub fn lease(&mut self, now: Millis, length: Millis) -> Option<u64> {
        let (clock, at) = self.clock?;
        let over = now + Millis(length.0 * SLOW_CLOCK / 1_000);
        self.lease_end = self.lease_end.max(over);
        Some(clock + now.since(at).0 + length.0)
    }

    /// Something sent at `sent` was not answered: nothing new goes there until a report is.
    pub fn doubt(&mut self, sent: Millis) {
        self.unsure = true;
        self.doubted = self.doubted.max(Some(sent));
    }

    /// Whether it left something unanswered since it last reported.
    pub fn is_doubted(&self) -> bool {
        self.doubted.is_some()
    }

    /// The worker answered what was asked at `sent`, and told its clock; whether it is known only now when
    /// it started.
    pub fn hear(&mut self, now: Millis, sent: Millis, report: &WorkerReport) -> bool {
        if self.doubted.is_some_and(|doubted| sent >= doubted) {
            self.doubted = None;
        }
        self.clock = Some((report.clock, now));
        self.unsure = false;
        self.heard = true;
        self.first_heard.get_or_insert(now);
        self.misses = 0;
        let is_news = self.born.is_none() && report.started_at.is_some();
        self.born = self.born.or(report.started_at);
        is_news
    }

    /// A report did not come; whether that was more than one in a row.
    pub fn miss(&mut self) -> bool {
        self.misses += 1;
        self.misses > MAX_MISSES
    }

    /// From when on this life has stayed up, if it does.
    pub fn settles_at(&self) -> Option<Millis> {
        self.first_heard.map(|at| at + SETTLED)
    }

    /// Whether this life had stayed up by then.
    pub fn is_settled(&self, at: Millis) -> bool {
        self.settles_at().is_some_and(|from| at >= from)
    }

    /// The highest end that may be confirmed.
    pub fn confirmed(&self) -> u64 {
        self.confirmed
    }

    /// Whether an end was taken in before.
    pub fn has_seen(&self, no: u64) -> bool {
        no <= self.seen
    }

    /// An end was taken in, and `batch` will keep it.
    pub fn see(&mut self, no: u64, batch: u64) {
        self.seen = self.seen.max(no);
        self.unkept.push_back((batch, no));
    }

    /// All batches up to `batch` are in the store.
    pub fn keep(&mut self, batch: u64) {
        while let Some((of, no)) = self.unkept.front().copied()
            && of <= batch
        {
            self.confirmed = self.confirmed.max(no);
            self.unkept.pop_front();
        }
    }

    /// The batch that keeps the last end taken in, if it is not in the store yet.
    pub fn awaited(&self) -> Option<u64> {
        self.unkept.back().map(|(batch, _)| *batch)
    }

    /// A run ended as it should.
    pub fn succeed(&mut self) {
        self.fails = 0;
        self.aside = Millis(0);
    }

    /// A run failed; `true` if the worker is set aside for it.
    pub fn fail(&mut self, now: Millis, task: TaskKey) -> bool {
        if self.last_fail.is_some_and(|last| last.step.job == task.step.job) {
            return false;
        }
        self.last_fail = Some(task);
        self.fails += 1;
        if self.fails < MAX_FAILS {
            return false;
        }
        self.set_aside(now);
        true
    }

    /// Gives the worker nothing new for a while.
    pub fn set_aside(&mut self, now: Millis) {
        self.aside = Millis((self.aside.0 * 2).clamp(ASIDE.0, MAX_ASIDE.0));
        self.aside_until = now + self.aside;
        // One more failure sets it aside again.
        self.fails = MAX_FAILS - 1;
    }

    /// Finds runs that stand still or take far longer than others of their queue, each once. The
    /// worker is set aside for one that stands still, and for late ones of two jobs.
    pub fn find_stragglers(&mut self, now: Millis) -> Vec<(TaskKey, u64)> {
        let (mut found, mut blame) = (Vec::new(), false);
        let running = |run: &Run| matches!(run.phase, Phase::Running(_)) && !run.is_straggler;
        for ((task, no), run) in self.runs.iter_mut().filter(|(_, run)| running(run)) {
            let still = run.began.0 > 0 && run.stands_still(now);
            if !still && (run.began.0 == 0 || !run.takes_long(now)) {
                continue;
            }
            run.is_straggler = true;
            found.push((*task, *no));
            let other = self.late.replace((*task, now));
            let together = other.is_some_and(|(other, at)| {
                other.step.job != task.step.job && now.since(at) < LATE_TOGETHER
            });
            blame = blame || still || together;
        }
        if blame && now >= self.aside_until {
            self.set_aside(now);
        }
        found
    }

    /// Whether its last runs were fine.
    pub fn is_sound(&self) -> bool {
        self.fails == 0
    }

    /// Whether it is set aside.
    pub fn is_aside(&self, now: Millis) -> bool {
        now < self.aside_until
    }

    /// Whether it may get new tasks unless it is set aside, with all batches up to `kept` in the store.
    pub fn is_open(&self, kept: u64) -> bool {
        let answers = self.known && self.heard && self.doubted.is_none();
        let known =
            self.present && answers && self.batch <= kept && !self.is_other(self.listed.started_at);
        known && self.listed.leaves_in.is_none() && self.clock.is_some()
    }
}
