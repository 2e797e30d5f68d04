//! The scheduling decisions of the owner of a cell, as a state machine without I/O and clocks.
//!
//! Events are passed in as method calls with the current time, and the resulting work is collected
//! as [`Action`]s. Changes that must survive the owner are collected as [`Batch`]es for the
//! platform's store.

pub mod advice;
pub mod jobs;
pub mod mechanism;
pub mod owner;
pub mod placing;
pub mod records;
pub mod stats;
pub mod workers;

use crate::clock::Millis;
use crate::id::Name;
use crate::order::{Incarnation, StartOrder, WorkerInfo};
use crate::workload::{JobDefinition, JobKey, Queue, TaskKey};
use advice::load::AnswerCounts;
use advice::queue::{AdviceQueue, AdviceRequest};
use jobs::job::Job;
use jobs::memory::MemoryBudget;
use jobs::wait::WaitLogTimer;
use mechanism::DisabledMechanisms;
use placing::fair_share::ShareLimits;
use placing::rank::{ClassCounts, ReadySteps};
use placing::reservation::Reservations;
use placing::round::Round;
use placing::stops::Stops;
use placing::unsuitable::UnsuitableRequests;
use placing::usage::WorkspaceUsages;
use placing::victims::JobAccounts;
use records::journal::{JobOutcome, Snapshot, UnassignedRun};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use workers::leases::RecordedLeases;
use workers::run_times::RunTimes;

use workers::worker::Worker;

/// The number of low bits of a run number that count the runs of an epoch. The bits above hold the
/// epoch, so that the run numbers of a new owner exceed all earlier ones without knowing them.
const RUN_NUMBER_BITS: u32 = 32;
/// How long after a takeover the workers that have not reported are first logged.
const HOLDBACK_LOG_DELAY: Millis = Millis(400);

/// The settings of a cell.
#[derive(Debug, Clone, Copy)]
pub struct CellConfig {
    /// How long a run continues without a renewal of its lease.
    pub lease: Millis,
    /// The longest time that a run can continue, for example if the worker was given a lease end on
    /// another clock.
    pub max_lease: Millis,
    /// How long the state of a closed job can be queried.
    pub job_retention: Millis,
    /// Mechanisms that are disabled.
    pub disabled: DisabledMechanisms,
    /// The memory that the process may use, in bytes; `None` if it is not limited.
    pub memory: Option<u64>,
}

/// An action that the owner has to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start a run with a lease until this time on the worker's clock.
    Start { worker: Name, start: StartOrder, until: u64 },
    /// Stop a run.
    Stop { worker: Name, task: TaskKey, run: u64 },
    /// Change the speed of a run, in percent of its full speed.
    Pace { worker: Name, task: TaskKey, run: u64, percent: u32 },
    /// Start polling this worker for reports.
    Watch(WorkerInfo),
    /// Stop polling this worker.
    Unwatch(Name),
    /// A job, with its workspace if any, was removed. If another cell forwarded it, that cell may
    /// remove it too.
    JobForgotten(JobKey, Option<Name>),
    /// Poll this worker for a report at once.
    PollNow(Name),
    /// Have an entry send a request to the advice service.
    RequestAdvice { entry: Name, request: AdviceRequest },
    /// Stop acting as the owner: a worker has seen a higher fencing token, so another entry owns
    /// the cell.
    Deposed,
}

/// The state of a job as shown to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task of the job has been started.
    Queued,
    /// Tasks of the job have been started.
    Active,
    /// The job ended.
    Closed(JobOutcome),
}

/// The parameters of a call that asks a worker for a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportCall {
    /// The highest sequence number of an end of a run that the owner has stored.
    pub confirmed: u64,
    /// When the worker's lease ends on its clock; `None` until that clock is known.
    pub lease_end: Option<u64>,
    /// The lease is not renewed because a record in the store still says that the worker does not
    /// report.
    pub is_recorded: bool,
}

/// The state of a cell at its owner.
#[derive(Debug)]
pub struct Cell {
    epoch: u64,
    config: CellConfig,
    queues: HashMap<Name, Arc<Queue>>,
    /// Whether the queues' priorities and objectives agree; see [`placing::objectives`].
    ranked_objectives: bool,
    jobs: BTreeMap<JobKey, Job>,
    workers: BTreeMap<Name, Worker>,
    /// The durations of runs, by queue.
    run_times: HashMap<Name, RunTimes>,
    /// Steps with tasks that need a worker, the most urgent first.
    ready_steps: ReadySteps,
    /// The round of scheduling passes that goes on.
    round: Round,
    /// Jobs that have not started, by the time after which their class may change.
    rank_changes: BTreeSet<(Millis, JobKey)>,
    /// Jobs by their class at their first start, since the takeover.
    first_starts: ClassCounts,
    /// Jobs with repetitions that come due later, by the wall-clock time of the next one.
    start_timers: BTreeSet<(Millis, JobKey)>,
    /// Jobs with repetitions that are due and have to wait, or without memory set aside for them.
    held_jobs: BTreeSet<JobKey>,
    /// The memory that jobs take and may take.
    memory: MemoryBudget,
    /// The number of the last run that was assigned in this epoch, of whichever task. If each task
    /// counted for itself, a job that is withdrawn and submitted again would get the numbers of its
    /// withdrawn runs, and answers to these would be taken for answers to the new ones.
    last_run: u64,
    /// Jobs that were forwarded to another cell, with the cell and the batch with that record.
    forwarded: HashMap<JobKey, (u32, u64)>,
    /// Jobs that are not stored yet, in the order of their batches.
    unstored_jobs: VecDeque<(u64, JobKey)>,
    /// Closed jobs in the order in which they ended.
    closed_jobs: VecDeque<JobKey>,
    /// Closed jobs that still have their definitions, in the order in which they ended.
    defined_jobs: VecDeque<JobKey>,
    advice_queue: AdviceQueue,
    /// Answers of the advice service by whether they led to starts, since the takeover.
    answer_counts: AnswerCounts,
    /// When the state of the queue of requests was last logged.
    advice_logged_at: Millis,
    /// Room that is reserved for steps that are about to start.
    reservations: Reservations,
    /// The runs that were stopped for other steps.
    stops: Stops,
    /// Figures of jobs for decisions about stops, during one scheduling pass.
    job_accounts: JobAccounts,
    /// Requests that were found to suit no worker, during one scheduling pass.
    unsuitable: UnsuitableRequests,
    /// The running tasks of each workspace and its limits.
    usages: WorkspaceUsages,
    /// How much each workspace may still submit within its share.
    shares: ShareLimits,
    /// Failure domains in which no task is started.
    drained_domains: Arc<BTreeSet<Name>>,
    /// Worker processes that may have crashed.
    unconfirmed_crashes: jobs::crash::UnconfirmedCrashes,
    /// Worker processes that have ended but may still be listed, with when the end was noticed.
    ended_incarnations: BTreeMap<Incarnation, Millis>,
    /// Jobs whose counts of crashes have changed.
    recount_jobs: BTreeSet<JobKey>,
    /// Jobs with a task that is not started any more although all its crashes are doubtful, by when
    /// this owner noticed it.
    undecided_jobs: BTreeMap<JobKey, Millis>,
    /// Counts of worker crashes by their outcome, since the takeover.
    crash_counts: jobs::crash::CrashCounts,
    /// The number of waits that timed out before the awaited event occurred, since the takeover.
    expired_waits: u64,
    /// Jobs whose workspace is stored.
    stored_workspaces: BTreeSet<JobKey>,
    /// Jobs that may have unassigned runs, with those that are in the store.
    stored_unassigned: BTreeMap<JobKey, Vec<UnassignedRun>>,
    /// Jobs with changes that have to be stored.
    dirty_jobs: BTreeSet<JobKey>,
    /// Whether the list of workers in use has to be stored.
    workers_dirty: bool,
    /// The number of the batch that is being collected.
    open_batch: u64,
    /// The number of the batch up to which everything is stored.
    stored_batch: u64,
    /// Whether the owner is overloaded, so that it may have answers that it has not read yet.
    is_overloaded: bool,
    /// Whether the list of workers was last read before a pause of the owner.
    list_stale: bool,
    /// When the first of the workers that steps wait for becomes stable.
    next_stable: Option<Millis>,
    /// Whether something changed that may allow another task to be placed.
    needs_placement: bool,
    /// Set while earlier owners may have started runs that are not recorded. Inherited tasks are
    /// held back until the state of all workers is known.
    unrecorded_starts: Option<WaitLogTimer>,
    /// The state was left to the next owner.
    has_left: bool,
    /// The batch with the last run that was sent or adopted without a record.
    last_unrecorded: u64,
    /// The workers that the record of leases names.
    leases: RecordedLeases,
    /// When the workers that have not reported since the takeover are logged next.
    unheard_timer: WaitLogTimer,
    /// The number of starts that were decided in this epoch.
    bound_starts: u64,
    /// The value of `bound_starts` at which a step with more waiting tasks is left for the next pass.
    step_end: u64,
    /// Starts that wait until the batch with their assignment is stored, in order, with the worker.
    unsent_starts: VecDeque<(u64, Name, StartOrder)>,
    actions: Vec<Action>,
}

impl Cell {
    /// Creates the cell from the records in the store. `epoch` is higher than that of any earlier
    /// owner. `unrecorded_starts` tells whether an earlier owner may have started tasks while the
    /// store was unavailable.
    pub fn new(
        epoch: u64,
        config: CellConfig,
        queues: HashMap<Name, Arc<Queue>>,
        snapshot: Snapshot,
        unrecorded_starts: bool,
        now: Millis,
    ) -> Self {
        let mut cell = Self {
            epoch,
            config,
            ranked_objectives: false,
            queues,
            jobs: BTreeMap::new(),
            workers: BTreeMap::new(),
            run_times: HashMap::new(),
            ready_steps: ReadySteps::default(),
            round: Round::default(),
            rank_changes: BTreeSet::new(),
            first_starts: ClassCounts::default(),
            start_timers: BTreeSet::new(),
            held_jobs: BTreeSet::new(),
            memory: MemoryBudget::new(config.memory),
            last_run: epoch << RUN_NUMBER_BITS,
            forwarded: HashMap::new(),
            unstored_jobs: VecDeque::new(),
            closed_jobs: VecDeque::new(),
            defined_jobs: VecDeque::new(),
            advice_queue: AdviceQueue::default(),
            answer_counts: AnswerCounts::default(),
            advice_logged_at: Millis(0),
            reservations: Reservations::default(),
            stops: Stops::default(),
            job_accounts: JobAccounts::default(),
            unsuitable: UnsuitableRequests::default(),
            usages: WorkspaceUsages::default(),
            shares: ShareLimits::default(),
            drained_domains: Arc::default(),
            unconfirmed_crashes: jobs::crash::UnconfirmedCrashes::default(),
            ended_incarnations: BTreeMap::new(),
            recount_jobs: BTreeSet::new(),
            undecided_jobs: BTreeMap::new(),
            crash_counts: jobs::crash::CrashCounts::default(),
            expired_waits: 0,
            stored_workspaces: BTreeSet::new(),
            stored_unassigned: BTreeMap::new(),
            dirty_jobs: BTreeSet::new(),
            workers_dirty: false,
            open_batch: 1,
            stored_batch: 0,
            is_overloaded: false,
            list_stale: false,
            next_stable: None,
            needs_placement: true,
            unrecorded_starts: unrecorded_starts
                .then(|| WaitLogTimer::new(now, HOLDBACK_LOG_DELAY)),
            has_left: false,
            last_unrecorded: 0,
            leases: RecordedLeases::restore(&snapshot.leases),
            unheard_timer: WaitLogTimer::new(now, HOLDBACK_LOG_DELAY),
            bound_starts: 0,
            step_end: 0,
            unsent_starts: VecDeque::new(),
            actions: Vec::new(),
        };
        cell.update_ranked_objectives();
        cell.restore_snapshot(snapshot, now);
        cell
    }

    /// The epoch of the owner.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// When this owner took over the cell.
    fn taken_over_at(&self) -> Millis {
        self.unheard_timer.since
    }

    /// The number of starts that were decided in this epoch.
    pub fn bound_starts(&self) -> u64 {
        self.bound_starts
    }

    /// The number of the batch up to which everything is stored.
    pub fn stored_batch(&self) -> u64 {
        self.stored_batch
    }

    /// The current incarnation of a worker, if the worker is known.
    pub fn worker_incarnation(&self, worker: &Name) -> Option<Incarnation> {
        self.workers.get(worker).map(Worker::incarnation)
    }

    /// Whether a worker is known to have restarted since `incarnation`. Returns false if either
    /// start time is unknown.
    pub fn has_restarted(&self, incarnation: &Incarnation) -> bool {
        self.worker_incarnation(&incarnation.id).is_some_and(|now| now.differs_from(incarnation))
    }

    /// The address at which a worker is called.
    pub fn worker_addr(&self, worker: &Name) -> Option<Name> {
        self.workers.get(worker).map(|worker| worker.listed.addr.clone())
    }

    /// The service that a worker belongs to.
    pub fn worker_service(&self, worker: &Name) -> Option<Name> {
        self.workers.get(worker).map(|worker| worker.listed.service.clone())
    }

    /// Whether there are changes that are not stored yet.
    pub fn has_unstored(&self) -> bool {
        !self.dirty_jobs.is_empty()
            || self.workers_dirty
            || self.leases.is_due()
            || self.stored_batch + 1 < self.open_batch
    }

    /// Sets whether the owner is overloaded. A missing answer then says nothing about the worker:
    /// otherwise the owner would consider workers lost that had answered, and restart tasks that
    /// were done there.
    pub fn set_overloaded(&mut self, is_overloaded: bool) {
        self.is_overloaded = is_overloaded;
    }

    /// Returns the actions that were collected since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Replaces the queues after a change of the policy.
    pub fn set_queues(&mut self, queues: HashMap<Name, Arc<Queue>>) {
        for job in self.jobs.values_mut() {
            if let Some(queue) = queues.get(&job.queue.name) {
                job.queue = queue.clone();
            }
        }
        self.queues = queues;
        self.update_ranked_objectives();
        self.rebuild_ready();
        self.reset_ranks();
        self.needs_placement = true;
    }

    /// Submits a job. Returns the batch that has to be stored before the job is accepted, or `None`
    /// if there is no such queue. Submitting the same key again refers to the same job.
    pub fn submit(
        &mut self,
        now: Millis,
        key: JobKey,
        queue: &str,
        work: Arc<JobDefinition>,
    ) -> Option<u64> {
        self.submit_for_workspace(now, key, queue, work, None)
    }

    /// Submits a job as [`Self::submit`] does, on behalf of a workspace.
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
        self.charge_job(key);
        // The first steps look for workers while the job's record is written, and start once that
        // is stored. With a slow store, a short job has no time to wait for a second write.
        self.open_job(now, key);
        self.unstored_jobs.push_back((self.open_batch, key));
        self.dirty_jobs.insert(key);
        Some(self.open_batch)
    }

    /// The batch that has to be stored before a job is accepted, or sent to another cell.
    pub fn job_batch(&self, key: JobKey) -> Option<u64> {
        let forwarded = self.forwarded.get(&key).map(|(_, batch)| *batch);
        self.jobs.get(&key).map(|job| job.batch).or(forwarded)
    }

    /// Cancels a job. Returns the batch that has to be stored before the caller is told, or `None`
    /// if there is no such job.
    pub fn cancel(&mut self, now: Millis, key: JobKey) -> Option<u64> {
        let job = self.jobs.get(&key)?;
        if job.is_open() {
            self.close_job(now, key, JobOutcome::Cancelled);
        }
        let (_, batch, _) = self.jobs.get(&key)?.closed?;
        Some(batch)
    }

    /// The state of a job as shown to callers. The end of a job is shown once it is stored.
    pub fn job_state(&self, key: JobKey) -> Option<JobState> {
        let job = self.jobs.get(&key)?;
        Some(match job.closed {
            Some((outcome, batch, _)) if batch <= self.stored_batch => JobState::Closed(outcome),
            None if !job.was_placed => JobState::Queued,
            _ => JobState::Active,
        })
    }

    /// Whether a caller may query a job. A job and a caller that both have a workspace must have
    /// the same one; a caller without a workspace uses a queue that allows anonymous callers.
    pub fn is_visible(&self, key: JobKey, workspace: Option<&Name>) -> bool {
        let owner = self.jobs.get(&key).and_then(|job| job.workspace.as_ref());
        owner.is_none() || workspace.is_none() || owner == workspace
    }

    /// The bindings of a job's tasks to workers: the worker, the task and the number of the run.
    pub fn bindings(&self, key: JobKey) -> Vec<(Name, TaskKey, u64)> {
        self.jobs.get(&key).map(|job| job.placed_runs(key)).unwrap_or_default()
    }

    /// The starts that wait until the store has their bindings, with their workers.
    pub fn unsent_starts(&self) -> impl Iterator<Item = (&Name, &StartOrder)> {
        self.unsent_starts.iter().map(|(_, worker, start)| (worker, start))
    }

    /// The number of accepted jobs of a queue of which no run has been confirmed. Their starts may
    /// have been sent to workers that are unreachable.
    pub fn pending_jobs(&self, queue: &str) -> u32 {
        let is_pending = |job: &&Job| {
            job.is_open()
                && !job.has_run
                && job.batch <= self.stored_batch
                && *job.queue.name == *queue
        };
        self.jobs.values().filter(is_pending).count() as u32
    }

    /// Adds an entry that can send requests to the advice service. If it reconnects before its
    /// earlier connection was found broken, its pending request is returned, because the step would
    /// otherwise wait forever. `is_home` tells whether the entry belongs to this cell. Other
    /// entries are used only while there is none, because the service processes one request at a
    /// time from each.
    pub fn add_entry(&mut self, entry: Name, is_home: bool) {
        if let Some(step) = self.advice_queue.add_client(entry.clone(), is_home) {
            self.return_request(step, &entry, "connected-again");
        }
        self.needs_placement = true;
    }

    /// Removes an entry that can no longer send requests to the advice service.
    pub fn remove_entry(&mut self, entry: &Name) {
        if let Some(step) = self.advice_queue.remove_client(entry) {
            self.return_request(step, entry, "disconnected");
        }
    }
}
