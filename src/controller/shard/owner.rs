//! The owner of a shard, which accepts jobs and schedules, starts, stops and finally forgets their
//! tasks.

use crate::clock::Millis;
use crate::controller::health::Health;
use crate::controller::in_flight::InFlightStarts;
use crate::controller::log_state::LogJob;
use crate::controller::place::Ledger;
use crate::controller::queue::{Queue, Shape};
use crate::controller::quota::LimitShares;
use crate::controller::replica::{StateSnapshot, Update};
use crate::controller::shard::StateSource;
pub use crate::controller::shard::event::{Action, Answer, Event, Refusal, refusal_name};
use crate::controller::shard::journal::Journal;
use crate::controller::shard::reservation::Reservation;
pub use crate::controller::shard::runtime::Load;
use crate::controller::shard::runtime::{Effect, EndedTask, TaskRuntime, Worker};
use crate::controller::shard_ranking::ShardCapacity;
use crate::controller::shard_state::{Job, ShardState, Task};
use crate::id::{EntryId, JobId, Name, TaskId};
use crate::job::{JobSpec, JobStatus, StateChange};
use crate::platform::api::SyncOrder;
use crate::record::{Claim, Record};
use crate::table::{Row, Table};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// How long a worker keeps running a task after the last renewal of its lease.
pub const LEASE: Millis = Millis(15_000);
/// A message to a worker arrives within this time or not at all.
pub const MAX_MESSAGE_DELAY: Millis = Millis(10_000);
/// A worker without a report for this long gets no new tasks.
pub(super) const WORKER_REPORT_TTL: Millis = Millis(3_000);
/// How long a finished job stays available to callers.
const FINISHED_JOB_TTL: Millis = Millis(600_000);
/// How long an idempotency key is kept.
pub const KEY_TTL: Millis = Millis(3_600_000);
/// How often expired idempotency keys are dropped.
const KEY_SWEEP_INTERVAL: Millis = Millis(60_000);

/// The state machine of a shard owner. It takes events and returns actions.
#[derive(Debug)]
pub struct ShardOwner {
    pub(super) shard: Name,
    pub(super) me: EntryId,
    /// The replicated state of the shard.
    pub(super) state: ShardState,
    pub(super) journal: Journal<Effect>,
    pub(super) workers: BTreeMap<Name, Worker>,
    pub(super) queue: Queue,
    pub(super) health: Health,
    pub(super) table: Arc<Table>,
    /// Unreplicated data of bound tasks.
    pub(super) runtimes: HashMap<TaskId, TaskRuntime>,
    /// Starts that this owner sent and that may still arrive. A task may end before its start is
    /// sent.
    pub(super) in_flight_starts: InFlightStarts<TaskId>,
    /// Ended tasks that their workers must not forget yet.
    pub(super) ended_tasks: HashMap<TaskId, EndedTask>,
    /// Former owners whose starts may still arrive; for those that are gone, the time from which on
    /// none can.
    pub(super) unfenced: BTreeMap<EntryId, Option<Millis>>,
    /// Since when no start of a former owner can arrive.
    pub(super) fenced_since: Option<Millis>,
    /// Numbers of tasks by kind of work.
    pub(super) loads: BTreeMap<Name, Load>,
    /// Processors used by the bound tasks of each team, in thousandths of a core.
    pub(super) team_cpu: BTreeMap<Name, u64>,
    /// Gangs whose bound tasks are being stopped, so that the whole gang starts again together.
    pub(super) restarting_gangs: BTreeSet<JobId>,
    /// During a rebuild, the workers that have not reported their tasks yet.
    pub(super) unreported: Option<BTreeSet<Name>>,
    /// The actions that the present step returns.
    pub(super) actions: Vec<Action>,
    pub(super) needs_scheduling: bool,
    /// The workers that may get new tasks.
    pub(super) schedulable: Vec<Name>,
    pub(super) reservation: Option<Reservation>,
    /// The shard's shares of the limits of the cell; `None` if it is the only shard and has them
    /// all.
    pub(super) limit_shares: Option<LimitShares>,
    /// Finished jobs with the time when they finished.
    closed_jobs: BTreeMap<JobId, Millis>,
    /// The last epoch for which this owner appended [`Record::Active`].
    active_epoch: u64,
    /// A former owner is fenced once it knows of this epoch.
    fence_epoch: u64,
    /// When expired idempotency keys were last dropped.
    keys_swept: Millis,
    first_epoch: u64,
}

impl ShardOwner {
    /// Creates the owner for the epoch of `claim`. `former` are earlier owners that may still have
    /// a start in flight; `jobs` are the jobs in the log, used if no complete state exists.
    pub fn new(
        claim: &Claim,
        source: StateSource,
        former: BTreeSet<EntryId>,
        jobs: Vec<(JobId, LogJob)>,
        table: Arc<Table>,
        now: Millis,
    ) -> Self {
        let state = match source {
            StateSource::State(state) => *state,
            StateSource::Rebuild if claim.epoch == 1 => StateSnapshot::default(),
            StateSource::Rebuild => {
                StateSnapshot { epoch: 0, seq: 0, contents: ShardState::from_log(jobs) }
            }
        };
        let unreported = state.contents.rebuilding.then(BTreeSet::new);
        let mut shard_owner = Self {
            shard: claim.shard.clone(),
            me: claim.owner.clone(),
            state: state.contents,
            journal: Journal::new(claim, state.seq),
            workers: BTreeMap::new(),
            queue: Queue::default(),
            health: Health::default(),
            table,
            runtimes: HashMap::new(),
            in_flight_starts: InFlightStarts::default(),
            ended_tasks: HashMap::new(),
            fenced_since: former.is_empty().then_some(now),
            unfenced: former.into_iter().map(|id| (id, None)).collect(),
            loads: BTreeMap::new(),
            team_cpu: BTreeMap::new(),
            restarting_gangs: BTreeSet::new(),
            unreported,
            actions: Vec::new(),
            needs_scheduling: false,
            schedulable: Vec::new(),
            reservation: None,
            limit_shares: None,
            closed_jobs: BTreeMap::new(),
            active_epoch: 0,
            fence_epoch: claim.epoch,
            keys_swept: now,
            first_epoch: claim.epoch,
        };
        shard_owner.restore_jobs(now);
        shard_owner
    }

    /// The present epoch, in which this entry owns the shard.
    pub fn epoch(&self) -> u64 {
        self.journal.epoch()
    }

    /// The epoch in which this entry became the owner. It may have renewed its claim since.
    pub fn first_epoch(&self) -> u64 {
        self.first_epoch
    }

    /// Creates the owner for the rest of an epoch that another entry handed over.
    ///
    /// The former owner counts as fenced only once it knows of a later epoch: a message with the
    /// epoch of `claim` may be one that it sent while it still owned the shard or before it did.
    pub fn from_hand_over(
        claim: &Claim,
        me: &EntryId,
        state: StateSnapshot,
        former: BTreeSet<EntryId>,
        table: Arc<Table>,
        now: Millis,
    ) -> Self {
        let others = claim.replicas.iter().filter(|id| *id != me).cloned();
        let rest = Claim { owner: me.clone(), replicas: others.collect(), ..claim.clone() };
        let predecessors = claim.replicas.iter().chain([&claim.owner]).filter(|id| *id != me);
        let former = former.into_iter().chain(predecessors.cloned()).collect();
        let source = StateSource::State(Box::new(state));
        let mut shard_owner = Self::new(&rest, source, former, Vec::new(), table, now);
        shard_owner.fence_epoch = claim.epoch + 1;
        shard_owner
    }

    /// The epoch that a former owner must know of to count as fenced.
    pub fn fence_epoch(&self) -> u64 {
        self.fence_epoch
    }

    /// Converts the owner into its replicated state, which an entry keeps when it loses the
    /// ownership.
    pub fn into_state(self) -> StateSnapshot {
        StateSnapshot { epoch: self.journal.epoch(), seq: self.journal.seq(), contents: self.state }
    }

    /// Continues under a new claim of the same entry, with other replicas.
    pub fn renew(&mut self, claim: &Claim) {
        self.fence_epoch = self.fence_epoch.min(claim.epoch);
        self.journal.start_epoch(claim);
        self.actions.push(Action::Replicate);
    }

    /// Sets up the queue and counters from the jobs of the replicated state.
    fn restore_jobs(&mut self, now: Millis) {
        let jobs: Vec<JobId> = self.state.jobs.keys().cloned().collect();
        for id in &jobs {
            self.restore_job(id, now);
        }
        self.needs_scheduling = true;
        self.actions.push(Action::Replicate);
    }

    pub(super) fn restore_job(&mut self, id: &JobId, now: Millis) {
        let Some(job) = self.state.jobs.get(id) else { return };
        if job.is_over() {
            self.closed_jobs.insert(id.clone(), now);
            return;
        }
        let (at, shape, cancelled, gang) = (job.at, shape(&job.spec), job.cancelled, job.spec.gang);
        let (whole, all) = (job.bound.is_empty(), job.spec.tasks);
        let waiting: Vec<u32> = (0..all).filter(|i| job.queued_at(*i).is_some()).collect();
        if gang && !whole && !waiting.is_empty() {
            self.restarting_gangs.insert(id.clone());
        }
        if cancelled || (gang && !whole) || self.unreported.is_some() {
            return;
        }
        self.load_mut(&shape.kind).add_waiting(waiting.len() as u32, shape.size.cpu);
        for index in waiting {
            self.queue.add(shape.clone(), at, id.clone(), index);
        }
    }

    /// Handles one event and returns the actions for the entry.
    pub fn step(&mut self, now: Millis, event: Event) -> Vec<Action> {
        match event {
            Event::Submit { token, job, spec } => self.submit(now, token, job, spec),
            Event::Cancel { token, job } => self.cancel(now, token, job),
            Event::TakeKey { token, key, holder } => self.take_key(now, token, key, holder),
            Event::FreeKey { key, holder } => {
                self.record_change(StateChange::FreeKey { key, holder }, None);
            }
            Event::WorkerList { rev, vms } => self.set_workers(now, rev, vms),
            Event::CommandReply { task, stop, reply } => self.on_reply(now, task, stop, reply),
            Event::Report { worker, asked, report } => self.on_report(now, worker, asked, report),
            Event::Acked { replica, epoch, seq } => self.journal.record_ack(&replica, epoch, seq),
            Event::MissingChanges { replica } => self.journal.request_base(&replica),
            Event::Logged { epoch, seq } => self.journal.record_logged(epoch, seq),
            Event::EntryGone(entry) => self.on_entry_gone(now, &entry),
            Event::OwnerFenced(entry) => self.on_owner_fenced(now, &entry),
            Event::Table(table) => self.set_table(table),
            Event::LimitShares { epoch, parts } => self.apply_shares(epoch, &parts),
            Event::RefreshLog => self.refresh_log(),
            Event::Tick => self.tick(now),
        }
        self.run_effects(now);
        if self.needs_scheduling {
            self.schedule(now);
            self.run_effects(now);
        }
        self.announce_active();
        std::mem::take(&mut self.actions)
    }

    /// Applies a change to the state and queues it for the replicas. `effect` runs once every
    /// replica holds the change.
    pub(super) fn record_change(&mut self, change: StateChange, effect: Option<Effect>) -> u64 {
        self.state.apply(&change);
        self.actions.push(Action::Replicate);
        self.journal.push(change, effect)
    }

    pub(super) fn load_mut(&mut self, kind: &Name) -> &mut Load {
        self.loads.entry(kind.clone()).or_default()
    }

    /// Appends [`Record::Active`] once an epoch, when the replicas hold the state and no start of a
    /// former owner can arrive, so that readers of the log can drop earlier claims.
    fn announce_active(&mut self) {
        let epoch = self.epoch();
        let whole = self.journal.committed() > 0 && self.unfenced.is_empty();
        if self.active_epoch < epoch && whole {
            self.active_epoch = epoch;
            let shard = self.shard.clone();
            self.actions.push(Action::Append(Record::Active { shard, epoch }));
        }
    }

    fn run_effects(&mut self, now: Millis) {
        while let Some(effect) = self.journal.next_ready() {
            match effect {
                Effect::Start(task) => self.send_start(now, &task),
                Effect::Stop(task) => self.send_stop(now, task),
                Effect::StopUnbound { worker, task } => {
                    self.actions.push(Action::Stop { worker, task });
                }
                Effect::ForgetTasks { worker, tasks } => {
                    if let Some(worker) = self.workers.get_mut(&worker) {
                        worker.acks.extend(tasks);
                    }
                }
                Effect::Reply { token, answer } => {
                    self.actions.push(Action::Reply { token, answer })
                }
            }
        }
    }

    fn on_entry_gone(&mut self, now: Millis, entry: &EntryId) {
        if self.journal.remove_replica(entry) {
            self.actions.push(Action::Replicate);
        }
        if let Some(until) = self.unfenced.get_mut(entry) {
            until.get_or_insert(now + MAX_MESSAGE_DELAY);
        }
    }

    fn set_table(&mut self, table: Arc<Table>) {
        self.table = table;
        self.queue.unblock();
        self.needs_scheduling = true;
    }

    /// Closes a job that has ended, in the log as well.
    pub(super) fn close_if_finished(&mut self, now: Millis, id: &JobId) {
        if self.state.jobs.get(id).is_some_and(Job::is_over) && !self.closed_jobs.contains_key(id) {
            self.closed_jobs.insert(id.clone(), now);
            self.actions.push(Action::Append(Record::Closed { job: id.clone() }));
        }
    }

    /// Removes former owners that are gone and whose last start must have arrived by now.
    pub(super) fn expire_fences(&mut self, now: Millis) {
        self.unfenced.retain(|_, until| until.is_none_or(|until| now < until));
        if self.unfenced.is_empty() {
            self.fenced_since.get_or_insert(now);
        }
    }

    fn on_owner_fenced(&mut self, now: Millis, entry: &EntryId) {
        self.unfenced.remove(entry);
        self.expire_fences(now);
    }

    /// Drops finished jobs and idempotency keys whose retention time is over.
    pub(super) fn forget_expired(&mut self, now: Millis) {
        let old = self.closed_jobs.iter().filter(|(_, at)| now.since(**at) >= FINISHED_JOB_TTL);
        let old: Vec<JobId> = old.map(|(id, _)| id.clone()).collect();
        for job in old {
            self.closed_jobs.remove(&job);
            self.record_change(StateChange::Forget { job }, None);
        }
        if now.since(self.keys_swept) >= KEY_SWEEP_INTERVAL {
            self.keys_swept = now;
            self.record_change(StateChange::ForgetKeys { before: now - KEY_TTL }, None);
        }
    }

    fn refresh_log(&mut self) {
        self.journal.reset_log_base();
        self.actions.push(Action::Replicate);
        let open = self.state.jobs.iter().filter(|(_, job)| !job.is_over());
        let records = open.flat_map(|(id, job)| log_records(id, job));
        self.actions.extend(records.map(Action::Append));
    }

    /// The next update for a replica; `None` if it holds everything.
    pub fn update_for(&self, id: &EntryId) -> Option<Update> {
        self.journal.update(id, &self.state)
    }

    /// The next record to append to the log in an epoch without replicas.
    pub fn log_record(&mut self) -> Option<Record> {
        self.journal.next_record(&self.shard, &self.state)
    }

    /// The replicas of this epoch whose VMs still exist.
    pub fn replicas(&self) -> Vec<EntryId> {
        self.journal.replicas()
    }

    /// The address of a worker and the next sync order for it: leases to renew and ended tasks that
    /// it may forget.
    pub fn sync_order(&mut self, worker: &str) -> Option<(Name, SyncOrder)> {
        let worker = self.workers.get_mut(worker)?;
        let renew = worker.tasks.iter().cloned().collect();
        let ack = std::mem::take(&mut worker.acks);
        Some((worker.addr.clone(), SyncOrder { renew, ack, lease: LEASE }))
    }

    /// The names of the shard's workers.
    pub fn workers(&self) -> Vec<Name> {
        self.workers.keys().cloned().collect()
    }

    /// The address of a worker.
    pub fn worker_addr(&self, worker: &str) -> Option<Name> {
        self.workers.get(worker).map(|worker| worker.addr.clone())
    }

    /// The total and reserved resources of each worker.
    pub fn ledgers(&self) -> impl Iterator<Item = (&Name, &Ledger)> {
        self.workers.iter().map(|(name, worker)| (name, &worker.ledger))
    }

    /// A summary of the free resources and the waiting work of the shard.
    pub fn capacity(&self) -> ShardCapacity {
        let mut capacity = ShardCapacity::default();
        for worker in self.workers.values() {
            let free = worker.ledger.free();
            capacity.largest = capacity.largest.component_max(&worker.ledger.total());
            capacity.max_free = capacity.max_free.component_max(&free);
            capacity.total_free =
                capacity.total_free.checked_add(&free).unwrap_or(capacity.total_free);
        }
        for (kind, load) in self.loads.iter().filter(|(_, load)| load.waiting > 0) {
            capacity.backlog += load.backlog;
            capacity.max_weight =
                capacity.max_weight.max(self.row(kind).map_or(0, |row| row.weight));
        }
        capacity
    }

    /// Numbers of waiting and running tasks by kind of work.
    pub fn loads(&self) -> &BTreeMap<Name, Load> {
        &self.loads
    }

    /// Workers that get no tasks because too many tasks failed there.
    pub fn excluded_workers(&self) -> Vec<Name> {
        self.health.excluded()
    }

    /// The replicated state.
    pub fn state(&self) -> &ShardState {
        &self.state
    }

    /// The status of a job, with the reason why its tasks wait.
    pub fn status(&self, id: &JobId, now: Millis) -> Option<JobStatus> {
        let mut status = self.state.jobs.get(id)?.status(id);
        if status.queued > 0 {
            status.wait_reason = self.wait_reason(now, &status.spec);
        }
        Some(status)
    }

    pub(super) fn row(&self, kind: &str) -> Option<&Row> {
        self.table.rows.get(kind)
    }
}

/// The shape shared by all tasks of a job.
pub(super) fn shape(spec: &JobSpec) -> Shape {
    Shape {
        kind: spec.kind.clone(),
        team: spec.team.clone(),
        size: spec.size,
        gang: if spec.gang { spec.tasks } else { 0 },
    }
}

/// The records from which a later reader of the log can rebuild an open job.
fn log_records(id: &JobId, job: &Job) -> Vec<Record> {
    let (spec, at) = (job.spec.clone(), job.at);
    let mut records = vec![Record::Job { job: id.clone(), spec, at }];
    for (index, task) in (0..).zip(&job.tasks) {
        if let Task::Ended(end) = task {
            let (job, outcome) = (id.clone(), end.outcome);
            records.push(Record::Ended { job, index, outcome });
        }
    }
    records
}
