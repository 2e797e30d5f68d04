//! The owner's decisions on one cell of workers, as a plain state machine: no socket, no clock.
//!
//! Events come in by methods that take the time; what has to be done is collected as [`Action`]s.
//! What must outlast the owner is collected as [`Batch`]es for the platform's store.

pub mod advising;
pub mod jobs;
pub mod mechanism;
pub mod owner;
pub mod placing;
pub mod records;
pub mod workers;

use crate::clock::Millis;
use crate::id::Name;
use crate::order::{Incarnation, StartOrder, WorkerInfo};
use crate::workload::{JobDefinition, JobKey, Queue, StepKey, TaskKey};
use advising::advice::{AdviceRequest, Advisers};
use jobs::job::Job;
use jobs::wait::WaitLogTimer;
use mechanism::DisabledMechanisms;
use placing::fair_share::ShareLimits;
use placing::reservation::Reservations;
use placing::usage::WorkspaceUsages;
use records::journal::{JobOutcome, Snapshot};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use workers::run_times::RunTimes;
use workers::worker::Worker;

/// Runs of one epoch are numbered within this many bits, below the epoch's own number: so a new
/// owner's runs are above all earlier ones without knowing them.
const RUN_BITS: u32 = 10;
/// Workers that hold up inherited tasks are logged after so long.
const DOUBT_LOG: Millis = Millis(400);
/// Figures of the platform that decisions rest on.
#[derive(Debug, Clone, Copy)]
pub struct CellConfig {
    /// How long a run goes on without a renewal.
    pub lease: Millis,
    /// How long it may go on at most, as where a worker is asked for a time of another clock.
    pub max_lease: Millis,
    /// How long the state of a closed job can be asked for.
    pub job_retention: Millis,
    /// Mechanisms that are switched off.
    pub disabled: DisabledMechanisms,
}

/// What has to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start a run, with a lease up to this time on the worker's clock.
    Start { worker: Name, start: StartOrder, until: u64 },
    /// Stop a run.
    Stop { worker: Name, task: TaskKey, run: u64 },
    /// Change the share at which a run works, in hundredths.
    Pace { worker: Name, task: TaskKey, run: u64, percent: u32 },
    /// Keep asking this worker for reports.
    Watch(WorkerInfo),
    /// Stop asking this worker.
    Unwatch(Name),
    /// A job, of a workspace or none, is not known any more; if it came from another cell, that one may forget it too.
    JobForgotten(JobKey, Option<Name>),
    /// Ask this worker for a report at once.
    PollNow(Name),
    /// Have an entry ask the advice service.
    RequestAdvice { entry: Name, request: AdviceRequest },
    /// A worker has seen a higher fence: another entry owns the cell.
    Deposed,
}

/// What callers see of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// Nothing of it has run.
    Queued,
    /// It runs.
    Active,
    /// It ended.
    Closed(JobOutcome),
}

/// A call for the report of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportCall {
    /// The highest end that is confirmed.
    pub confirmed: u64,
    /// When its lease ends on the worker's clock; `None` until that clock is known.
    pub lease_end: Option<u64>,
}

/// A cell at its owner.
#[derive(Debug)]
pub struct Cell {
    epoch: u64,
    config: CellConfig,
    queues: HashMap<Name, Arc<Queue>>,
    jobs: BTreeMap<JobKey, Job>,
    workers: BTreeMap<Name, Worker>,
    /// How long runs take, by queue.
    run_times: HashMap<Name, RunTimes>,
    /// Steps with tasks that need a worker, the most urgent first.
    ready_steps: BTreeSet<(u32, Millis, StepKey)>,
    /// Steps whose time has not come, by the wall clock.
    start_timers: BTreeSet<(Millis, StepKey)>,
    /// Jobs that run in another cell, with the batch that keeps that.
    forwarded: HashMap<JobKey, (u32, u64)>,
    /// Jobs that are not in the store yet, by batch.
    unstored_jobs: VecDeque<(u64, JobKey)>,
    /// Closed jobs in the order of their ends.
    closed_jobs: VecDeque<JobKey>,
    advice_queue: Advisers,
    /// Room that is kept for steps that are about to start.
    reservations: Reservations,
    /// What workspaces have running, and may.
    usages: WorkspaceUsages,
    /// What workspaces may still send within their shares.
    shares: ShareLimits,
    /// Lives of workers that may have ended.
    unconfirmed_crashes: jobs::crash::UnconfirmedCrashes,
    /// Lives of workers that are over and may be listed still, with when they were found to be.
    ended_lives: BTreeMap<Incarnation, Millis>,
    /// Jobs with something new against their tasks.
    recount_jobs: BTreeSet<JobKey>,
    /// Crashes of workers and what became of them, since the takeover.
    crash_counts: jobs::crash::CrashCounts,
    /// Waits that a deadline ended, and not the event that they were for, since the takeover.
    expired_waits: u64,
    /// Jobs whose workspace is in the store.
    stored_workspaces: BTreeSet<JobKey>,
    /// Jobs with something to write.
    dirty_jobs: BTreeSet<JobKey>,
    /// The set of workers in use has to be written.
    workers_dirty: bool,
    /// The batch that is being collected.
    open_batch: u64,
    /// All batches up to this one are in the store.
    stored_batch: u64,
    /// The owner's processor does not keep up: answers may lie unread here.
    is_overloaded: bool,
    /// The list of workers was last read before a pause of the owner.
    list_stale: bool,
    /// When the first of the workers that steps wait for has stayed up for long enough.
    next_settled: Option<Millis>,
    /// Something changed that may let a task be placed.
    needs_placement: bool,
    /// Earlier owners may have started tasks that no record tells of: inherited tasks are held back
    /// until all their workers are known.
    unrecorded_starts: Option<WaitLogTimer>,
    /// Starts that wait for the batch with their binding, in order.
    unsent_starts: VecDeque<(u64, Name, StartOrder)>,
    actions: Vec<Action>,
}

impl Cell {
    /// Takes over what the store holds; `epoch` is higher than that of any earlier owner. With
    /// `doubt`, an earlier owner may have started tasks while the store was away.
    pub fn new(
        epoch: u64,
        bounds: CellConfig,
        queues: HashMap<Name, Arc<Queue>>,
        snapshot: Snapshot,
        doubt: bool,
        now: Millis,
    ) -> Self {
        let mut cell = Self {
            epoch,
            config: bounds,
            queues,
            jobs: BTreeMap::new(),
            workers: BTreeMap::new(),
            run_times: HashMap::new(),
            ready_steps: BTreeSet::new(),
            start_timers: BTreeSet::new(),
            forwarded: HashMap::new(),
            unstored_jobs: VecDeque::new(),
            closed_jobs: VecDeque::new(),
            advice_queue: Advisers::default(),
            reservations: Reservations::default(),
            usages: WorkspaceUsages::default(),
            shares: ShareLimits::default(),
            unconfirmed_crashes: jobs::crash::UnconfirmedCrashes::default(),
            ended_lives: BTreeMap::new(),
            recount_jobs: BTreeSet::new(),
            crash_counts: jobs::crash::CrashCounts::default(),
            expired_waits: 0,
            stored_workspaces: BTreeSet::new(),
            dirty_jobs: BTreeSet::new(),
            workers_dirty: false,
            open_batch: 1,
            stored_batch: 0,
            is_overloaded: false,
            list_stale: false,
            next_settled: None,
            needs_placement: true,
            unrecorded_starts: doubt.then(|| WaitLogTimer::new(now, DOUBT_LOG)),
            unsent_starts: VecDeque::new(),
            actions: Vec::new(),
        };
        cell.restore_snapshot(snapshot, now);
        cell
    }

    /// The owner's epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The batch up to which all is in the store.
    pub fn stored_batch(&self) -> u64 {
        self.stored_batch
    }

    /// The life of a worker that is known here.
    pub fn worker_life(&self, worker: &Name) -> Option<Incarnation> {
        self.workers.get(worker).map(Worker::life)
    }

    /// Whether a worker is known to be another life than `life` by now. One whose start was not known is not.
    pub fn has_restarted(&self, life: &Incarnation) -> bool {
        self.worker_life(&life.id).is_some_and(|now| now.differs_from(life))
    }

    /// Where a worker is called.
    pub fn worker_addr(&self, worker: &Name) -> Option<Name> {
        self.workers.get(worker).map(|worker| worker.listed.addr.clone())
    }

    /// Whether something is not in the store yet.
    pub fn has_unstored(&self) -> bool {
        !self.dirty_jobs.is_empty() || self.workers_dirty || self.stored_batch + 1 < self.open_batch
    }

    /// Whether the owner's processor does not keep up. Then an answer that did not come says nothing of
    /// the worker. It would take workers for lost that had answered, and start tasks again that
    /// were done there.
    pub fn set_overloaded(&mut self, is_late: bool) {
        self.is_overloaded = is_late;
    }

    /// The owner did not run for seconds. What it believes of workers is too old: their room may have shrunk,
    /// their runs may have ended. Nothing starts before the list of them is read again, at those that have
    /// reported since; starts that wait for the store are given up.
    pub fn resume_after_pause(&mut self, now: Millis) {
        log::info!("event=beliefs-too-old epoch={} workers={}", self.epoch, self.workers.len());
        self.list_stale = true;
        for (name, worker) in &mut self.workers {
            worker.doubt(now);
            self.actions.push(Action::PollNow(name.clone()));
        }
        self.give_up_starts("pause");
        for (_, name, start) in std::mem::take(&mut self.unsent_starts) {
            self.abandon_run(&name, start.task, start.run);
        }
    }

    /// Starts that were decided and not sent are given up, for another entry may own the cell by now. A worker that has
    /// started again since knows no higher fence: it would run what runs elsewhere.
    pub fn give_up_starts(&mut self, why: &str) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Start { worker, start, .. } => {
                    let (task, run) = (start.task, start.run);
                    log::info!("event=start-given-up task={task} worker={worker} why={why}");
                    self.abandon_run(&worker, task, run);
                }
                action => self.actions.push(action),
            }
        }
    }

    /// What has to be done since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Another version of the policy is in force.
    pub fn set_queues(&mut self, queues: HashMap<Name, Arc<Queue>>) {
        for job in self.jobs.values_mut() {
            if let Some(queue) = queues.get(&job.queue.name) {
                job.queue = queue.clone();
            }
        }
        self.queues = queues;
        self.rebuild_ready();
        self.needs_placement = true;
    }

    /// A caller submits a job: the batch that has to be in the store before it is accepted. The
    /// same key again is the same job. `None`: there is no such queue here.
    pub fn submit(
        &mut self,
        now: Millis,
        key: JobKey,
        queue: &str,
        work: Arc<JobDefinition>,
    ) -> Option<u64> {
        self.submit_for_workspace(now, key, queue, work, None)
    }

    /// As [`Self::submit`], for a workspace.
    pub fn submit_for_workspace(
        &mut self,
        now: Millis,
        key: JobKey,
        queue: &str,
        work: Arc<JobDefinition>,
        workspace: Option<Name>,
    ) -> Option<u64> {
        if let Some(job) = self.jobs.get(&key) {
            return Some(job.batch);
        }
        let queue = self.queues.get(queue)?.clone();
        log::info!(
            "event=submitted job={key} queue={} workspace={} batch={}",
            queue.name,
            workspace.as_deref().unwrap_or("none"),
            self.open_batch
        );
        let is_over_share = workspace.as_ref().is_some_and(|name| self.exceeds_share(now, name));
        let job = Job { workspace, is_over_share, ..Job::new(queue, work, now, self.open_batch) };
        self.jobs.insert(key, job);
        // Its first steps ask and find workers while its record is written, and start once that is kept: with a slow
        // store a short job has no time to wait for one write more.
        self.open_job(now, key);
        self.unstored_jobs.push_back((self.open_batch, key));
        self.dirty_jobs.insert(key);
        Some(self.open_batch)
    }

    /// The batch that has to be in the store before a job is accepted, or sent to another cell.
    pub fn job_batch(&self, key: JobKey) -> Option<u64> {
        let forwarded = self.forwarded.get(&key).map(|(_, batch)| *batch);
        self.jobs.get(&key).map(|job| job.batch).or(forwarded)
    }

    /// A caller withdraws a job: the batch that has to be in the store before it is told so.
    /// `None`: there is no such job.
    pub fn cancel(&mut self, now: Millis, key: JobKey) -> Option<u64> {
        let job = self.jobs.get(&key)?;
        if job.is_open() {
            self.close_job(now, key, JobOutcome::Cancelled);
        }
        let (_, batch, _) = self.jobs.get(&key)?.closed?;
        Some(batch)
    }

    /// What callers see of a job. An end is shown once it is in the store.
    pub fn job_state(&self, key: JobKey) -> Option<JobState> {
        let job = self.jobs.get(&key)?;
        Some(match job.closed {
            Some((fate, batch, _)) if batch <= self.stored_batch => JobState::Closed(fate),
            None if !job.was_placed => JobState::Queued,
            _ => JobState::Active,
        })
    }

    /// Whether a caller of a workspace may ask for a job: it is of that workspace or of none, or the caller of none, as
    /// on a queue that is open to all.
    pub fn is_visible(&self, key: JobKey, workspace: Option<&Name>) -> bool {
        let owner = self.jobs.get(&key).and_then(|job| job.workspace.as_ref());
        owner.is_none() || workspace.is_none() || owner == workspace
    }

    /// Accepted jobs of a queue of which nothing is known to have run: starts may lie behind a cut.
    pub fn pending_jobs(&self, queue: &str) -> u32 {
        let waits = |job: &&Job| {
            job.is_open()
                && !job.has_run
                && job.batch <= self.stored_batch
                && *job.queue.name == *queue
        };
        self.jobs.values().filter(waits).count() as u32
    }

    /// An entry can ask the advice service from now on. It may have connected anew before its
    /// earlier connection was noticed as broken: without asking its question again, the step would
    /// wait for good. `is_home`: it belongs to this cell; others are asked only while there is no
    /// such entry, for the service takes one question at a time from each.
    pub fn add_entry(&mut self, entry: Name, is_home: bool) {
        if let Some(step) = self.advice_queue.join(entry.clone(), is_home) {
            self.return_question(step, &entry, "connected-again");
        }
        self.needs_placement = true;
    }

    /// An entry cannot any more.
    pub fn remove_entry(&mut self, entry: &Name) {
        if let Some(step) = self.advice_queue.leave(entry) {
            self.return_question(step, entry, "disconnected");
        }
    }

    /// Counts for logs and metrics.
    pub fn stats(&self) -> CellStats {
        let runs = self.workers.values().map(|worker| worker.runs.len()).sum();
        let open = self.jobs.values().filter(|job| job.is_open()).count();
        let heard = self.workers.values().filter(|worker| worker.heard).count();
        CellStats {
            open_jobs: open,
            runs,
            ready_steps: self.ready_steps.len(),
            workers: self.workers.len(),
            reachable_workers: heard,
            crash_counts: self.crash_counts,
            expired_waits: self.expired_waits,
        }
    }
}

/// Counts of a cell.
#[derive(Debug, Clone, Copy, Default)]
pub struct CellStats {
    /// Open jobs.
    pub open_jobs: usize,
    /// Runs whose room is taken.
    pub runs: usize,
    /// Steps with tasks that need a worker.
    pub ready_steps: usize,
    /// Workers in use.
    pub workers: usize,
    /// Workers that answered their last call.
    pub reachable_workers: usize,
    /// Crashes, since the takeover.
    pub crash_counts: jobs::crash::CrashCounts,
    /// Waits that a deadline ended, since the takeover.
    pub expired_waits: u64,
}
