//! The owner of a shard: it accepts, places, starts, stops and forgets tasks.

use crate::clock::Millis;
use crate::controller::book::{Book, Job, Task};
use crate::controller::flights::Flights;
use crate::controller::fold::LogJob;
use crate::controller::health::Health;
use crate::controller::offer::Room;
use crate::controller::place::Ledger;
use crate::controller::queue::{Queue, Shape};
use crate::controller::quota::Parts;
use crate::controller::replica::{State, Update};
use crate::controller::shard::Source;
pub use crate::controller::shard::event::{Action, Answer, Event, Refusal, refusal_name};
use crate::controller::shard::journal::Journal;
use crate::controller::shard::reserve::Reserved;
pub use crate::controller::shard::state::Load;
use crate::controller::shard::state::{Effect, Live, Tomb, Worker};
use crate::id::{EntryId, JobId, Name, TaskId};
use crate::job::{JobSpec, JobStatus, StateChange};
use crate::platform::api::SyncOrder;
use crate::record::{Claim, Record};
use crate::table::{Row, Table};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// A task runs this long after its last renewal.
pub const LEASE: Millis = Millis(15_000);
/// A message sent to a worker arrives within this time or never.
pub const MAX_FLIGHT: Millis = Millis(10_000);
/// A worker not heard for this long gets no new tasks.
pub(super) const WORKER_FRESH: Millis = Millis(3_000);
/// How long a finished job can be asked for.
const JOB_TTL: Millis = Millis(600_000);
/// How long an idempotency key is kept.
pub const KEY_TTL: Millis = Millis(3_600_000);
/// How often old keys are dropped.
const KEY_SWEEP: Millis = Millis(60_000);

/// The owner's state machine.
#[derive(Debug)]
pub struct Office {
    pub(super) shard: Name,
    pub(super) me: EntryId,
    pub(super) book: Book,
    pub(super) journal: Journal<Effect>,
    pub(super) workers: BTreeMap<Name, Worker>,
    pub(super) queue: Queue,
    pub(super) health: Health,
    pub(super) table: Arc<Table>,
    pub(super) live: HashMap<TaskId, Live>,
    /// Starts of this office on their way, by task: a task may end while one is still to be sent.
    pub(super) flights: Flights<TaskId>,
    pub(super) tombs: HashMap<TaskId, Tomb>,
    /// Former owners whose starts may still arrive, with the time when they surely cannot.
    pub(super) unfenced: BTreeMap<EntryId, Option<Millis>>,
    /// Since when no start of a former owner can arrive any more.
    pub(super) calm: Option<Millis>,
    pub(super) loads: BTreeMap<Name, Load>,
    pub(super) teams: BTreeMap<Name, u64>,
    pub(super) undoing: BTreeSet<JobId>,
    pub(super) unlisted: Option<BTreeSet<Name>>,
    pub(super) out: Vec<Action>,
    pub(super) dirty: bool,
    pub(super) open: Vec<Name>,
    pub(super) reserved: Option<Reserved>,
    /// Parts of limits of the whole cell; `None`: this shard is alone and has them all.
    pub(super) parts: Option<Parts>,
    closed: BTreeMap<JobId, Millis>,
    /// The epoch that the log knows as one whose owner got to work.
    active: u64,
    /// Former owners are fenced once they know of this epoch.
    fence: u64,
    swept: Millis,
    since: u64,
}

impl Office {
    /// Takes office in the epoch of `claim`. `former` are the earlier owners that may still have a
    /// start in flight; `jobs` is what the log has of the shard, used if nobody holds its state.
    pub fn new(
        claim: &Claim,
        source: Source,
        former: BTreeSet<EntryId>,
        jobs: Vec<(JobId, LogJob)>,
        table: Arc<Table>,
        now: Millis,
    ) -> Self {
        let state = match source {
            Source::State(state) => *state,
            Source::Rebuild if claim.epoch == 1 => State::default(),
            Source::Rebuild => State { epoch: 0, seq: 0, book: Book::from_log(jobs) },
        };
        let unlisted = state.book.rebuilding.then(BTreeSet::new);
        let mut office = Self {
            shard: claim.shard.clone(),
            me: claim.owner.clone(),
            book: state.book,
            journal: Journal::new(claim, state.seq),
            workers: BTreeMap::new(),
            queue: Queue::default(),
            health: Health::default(),
            table,
            live: HashMap::new(),
            flights: Flights::default(),
            tombs: HashMap::new(),
            calm: former.is_empty().then_some(now),
            unfenced: former.into_iter().map(|id| (id, None)).collect(),
            loads: BTreeMap::new(),
            teams: BTreeMap::new(),
            undoing: BTreeSet::new(),
            unlisted,
            out: Vec::new(),
            dirty: false,
            open: Vec::new(),
            reserved: None,
            parts: None,
            closed: BTreeMap::new(),
            active: 0,
            fence: claim.epoch,
            swept: now,
            since: claim.epoch,
        };
        office.adopt_book(now);
        office
    }

    /// The epoch in which this entry owns the shard.
    pub fn epoch(&self) -> u64 {
        self.journal.epoch()
    }

    /// The epoch in which this entry took office: it may have renewed its claim since.
    pub fn since(&self) -> u64 {
        self.since
    }

    /// Goes on for the rest of an epoch that another entry handed over. That one does not own the
    /// shard any more, but only a later epoch shows that it knows so: what it said before it took
    /// office looks the same.
    pub fn from_hand_over(
        claim: &Claim,
        me: &EntryId,
        state: State,
        former: BTreeSet<EntryId>,
        table: Arc<Table>,
        now: Millis,
    ) -> Self {
        let others = claim.replicas.iter().filter(|id| *id != me).cloned();
        let rest = Claim { owner: me.clone(), replicas: others.collect(), ..claim.clone() };
        let predecessors = claim.replicas.iter().chain([&claim.owner]).filter(|id| *id != me);
        let former = former.into_iter().chain(predecessors.cloned()).collect();
        let source = Source::State(Box::new(state));
        let mut office = Self::new(&rest, source, former, Vec::new(), table, now);
        office.fence = claim.epoch + 1;
        office
    }

    /// The epoch that a former owner has to know of to be fenced.
    pub fn fence_epoch(&self) -> u64 {
        self.fence
    }

    /// The state, for the replica of an entry that is no longer the owner.
    pub fn into_state(self) -> State {
        State { epoch: self.journal.epoch(), seq: self.journal.seq(), book: self.book }
    }

    /// The same entry's claim with other replicas is in force.
    pub fn renew(&mut self, claim: &Claim) {
        self.fence = self.fence.min(claim.epoch);
        self.journal.begin(claim);
        self.out.push(Action::Replicate);
    }

    /// Sets up queue and rooms from a book that another owner left.
    fn adopt_book(&mut self, now: Millis) {
        let jobs: Vec<JobId> = self.book.jobs.keys().cloned().collect();
        for id in &jobs {
            self.adopt_job(id, now);
        }
        self.dirty = true;
        self.out.push(Action::Replicate);
    }

    pub(super) fn adopt_job(&mut self, id: &JobId, now: Millis) {
        let Some(job) = self.book.jobs.get(id) else { return };
        if job.over() {
            self.closed.insert(id.clone(), now);
            return;
        }
        let (at, shape, cancelled, gang) = (job.at, shape(&job.spec), job.cancelled, job.spec.gang);
        let (whole, all) = (job.bound.is_empty(), job.spec.tasks);
        let waiting: Vec<u32> = (0..all).filter(|i| job.queued_at(*i).is_some()).collect();
        if gang && !whole && !waiting.is_empty() {
            self.undoing.insert(id.clone());
        }
        if cancelled || (gang && !whole) || self.unlisted.is_some() {
            return;
        }
        self.load(&shape.kind).queue(waiting.len() as u32, shape.size.cpu);
        for index in waiting {
            self.queue.add(shape.clone(), at, id.clone(), index);
        }
    }

    /// Takes one event and returns what has to be done.
    pub fn step(&mut self, now: Millis, event: Event) -> Vec<Action> {
        match event {
            Event::Submit { token, job, spec } => self.submit(now, token, job, spec),
            Event::Cancel { token, job } => self.cancel(now, token, job),
            Event::Key { token, key, holder } => self.take_key(now, token, key, holder),
            Event::FreeKey { key, holder } => {
                self.note(StateChange::FreeKey { key, holder }, None);
            }
            Event::Workers { rev, vms } => self.set_workers(now, rev, vms),
            Event::Told { task, stop, reply } => self.told(now, task, stop, reply),
            Event::Report { worker, asked, report } => self.report(now, worker, asked, report),
            Event::Acked { replica, epoch, seq } => self.journal.acked(&replica, epoch, seq),
            Event::Gap { replica } => self.journal.rebase(&replica),
            Event::Logged { epoch, seq } => self.journal.logged(epoch, seq),
            Event::Gone(entry) => self.gone(now, &entry),
            Event::Fenced(entry) => self.fenced(now, &entry),
            Event::Table(table) => self.set_table(table),
            Event::Parts { epoch, parts } => self.take_parts(epoch, &parts),
            Event::Refresh => self.refresh(),
            Event::Tick => self.tick(now),
        }
        self.run_effects(now);
        if self.dirty {
            self.schedule(now);
            self.run_effects(now);
        }
        self.announce();
        std::mem::take(&mut self.out)
    }

    /// Applies a note here and sends it to the replicas.
    pub(super) fn note(&mut self, note: StateChange, effect: Option<Effect>) -> u64 {
        self.book.apply(&note);
        self.out.push(Action::Replicate);
        self.journal.push(note, effect)
    }

    pub(super) fn load(&mut self, kind: &Name) -> &mut Load {
        self.loads.entry(kind.clone()).or_default()
    }

    /// Tells the log once in an epoch that the replicas have the state and that no start of a
    /// former owner can arrive: nobody needs to know of earlier claims any more.
    fn announce(&mut self) {
        let epoch = self.epoch();
        let whole = self.journal.committed() > 0 && self.unfenced.is_empty();
        if self.active < epoch && whole {
            self.active = epoch;
            let shard = self.shard.clone();
            self.out.push(Action::Append(Record::Active { shard, epoch }));
        }
    }

    fn run_effects(&mut self, now: Millis) {
        while let Some(effect) = self.journal.ready() {
            match effect {
                Effect::Start(task) => self.send_start(now, &task),
                Effect::Stop(task) => self.send_stop(now, task),
                Effect::StopStray { worker, task } => {
                    self.out.push(Action::Stop { worker, task });
                }
                Effect::Ack { worker, tasks } => {
                    if let Some(worker) = self.workers.get_mut(&worker) {
                        worker.acks.extend(tasks);
                    }
                }
                Effect::Reply { token, answer } => self.out.push(Action::Reply { token, answer }),
            }
        }
    }

    fn gone(&mut self, now: Millis, entry: &EntryId) {
        if self.journal.gone(entry) {
            self.out.push(Action::Replicate);
        }
        if let Some(until) = self.unfenced.get_mut(entry) {
            until.get_or_insert(now + MAX_FLIGHT);
        }
    }

    fn set_table(&mut self, table: Arc<Table>) {
        self.table = table;
        self.queue.unblock();
        self.dirty = true;
    }

    /// Closes a job whose last task ended.
    pub(super) fn close_if_over(&mut self, now: Millis, id: &JobId) {
        if self.book.jobs.get(id).is_some_and(Job::over) && !self.closed.contains_key(id) {
            self.closed.insert(id.clone(), now);
            self.out.push(Action::Append(Record::Closed { job: id.clone() }));
        }
    }

    /// Former owners that are gone cannot start anything once their last start has arrived.
    pub(super) fn fence(&mut self, now: Millis) {
        self.unfenced.retain(|_, until| until.is_none_or(|until| now < until));
        if self.unfenced.is_empty() {
            self.calm.get_or_insert(now);
        }
    }

    fn fenced(&mut self, now: Millis, entry: &EntryId) {
        self.unfenced.remove(entry);
        self.fence(now);
    }

    /// Drops finished jobs and old keys whose time is over.
    pub(super) fn forget(&mut self, now: Millis) {
        let old = self.closed.iter().filter(|(_, at)| now.since(**at) >= JOB_TTL);
        let old: Vec<JobId> = old.map(|(id, _)| id.clone()).collect();
        for job in old {
            self.closed.remove(&job);
            self.note(StateChange::Forget { job }, None);
        }
        if now.since(self.swept) >= KEY_SWEEP {
            self.swept = now;
            self.note(StateChange::ForgetKeys { before: now - KEY_TTL }, None);
        }
    }

    fn refresh(&mut self) {
        self.journal.renew_base();
        self.out.push(Action::Replicate);
        let open = self.book.jobs.iter().filter(|(_, job)| !job.over());
        let records = open.flat_map(|(id, job)| log_records(id, job));
        self.out.extend(records.map(Action::Append));
    }

    /// What a replica needs next.
    pub fn update_for(&self, id: &EntryId) -> Option<Update> {
        self.journal.update(id, &self.book)
    }

    /// What has to be appended to the log in an epoch without replicas.
    pub fn log_record(&mut self) -> Option<Record> {
        self.journal.record(&self.shard, &self.book)
    }

    /// The replicas of this epoch that are not gone.
    pub fn replicas(&self) -> Vec<EntryId> {
        self.journal.replicas()
    }

    /// What to tell a worker now: tasks to keep running and ended ones to forget.
    pub fn sync(&mut self, worker: &str) -> Option<(Name, SyncOrder)> {
        let worker = self.workers.get_mut(worker)?;
        let renew = worker.tasks.iter().cloned().collect();
        let ack = std::mem::take(&mut worker.acks);
        Some((worker.addr.clone(), SyncOrder { renew, ack, lease: LEASE }))
    }

    /// The workers' names.
    pub fn workers(&self) -> Vec<Name> {
        self.workers.keys().cloned().collect()
    }

    /// A worker's address.
    pub fn addr(&self, worker: &str) -> Option<Name> {
        self.workers.get(worker).map(|worker| worker.addr.clone())
    }

    /// What is set aside and what there is, by worker.
    pub fn rooms(&self) -> impl Iterator<Item = (&Name, &Ledger)> {
        self.workers.iter().map(|(name, worker)| (name, &worker.ledger))
    }

    /// What the shard could take.
    pub fn room(&self) -> Room {
        let mut room = Room::default();
        for worker in self.workers.values() {
            let free = worker.ledger.free();
            room.largest = room.largest.component_max(&worker.ledger.total());
            room.free = room.free.component_max(&free);
            room.spare = room.spare.checked_add(&free).unwrap_or(room.spare);
        }
        for (kind, load) in self.loads.iter().filter(|(_, load)| load.waiting > 0) {
            room.backlog += load.backlog;
            room.urgent = room.urgent.max(self.row(kind).map_or(0, |row| row.weight));
        }
        room
    }

    /// Tasks by kind.
    pub fn loads(&self) -> &BTreeMap<Name, Load> {
        &self.loads
    }

    /// Workers set aside because they fail their tasks.
    pub fn aside(&self) -> Vec<Name> {
        self.health.aside()
    }

    /// The book.
    pub fn book(&self) -> &Book {
        &self.book
    }

    /// A job's state for callers, with the reason why it waits.
    pub fn status(&self, id: &JobId, now: Millis) -> Option<JobStatus> {
        let mut status = self.book.jobs.get(id)?.status(id);
        if status.queued > 0 {
            status.wait_reason = self.why_waiting(now, &status.spec);
        }
        Some(status)
    }

    pub(super) fn row(&self, kind: &str) -> Option<&Row> {
        self.table.rows.get(kind)
    }
}

/// The shape of a job's tasks.
pub(super) fn shape(spec: &JobSpec) -> Shape {
    Shape {
        kind: spec.kind.clone(),
        team: spec.team.clone(),
        size: spec.size,
        gang: if spec.gang { spec.tasks } else { 0 },
    }
}

/// The records that tell a later reader of the log all about an open job.
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
