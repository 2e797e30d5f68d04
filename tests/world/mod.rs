//! One shard with its entries, workers and log as fakes on a virtual clock: every message can be
//! lost, doubled, late or swapped, every entry paused or killed between any two steps.
#![allow(dead_code, reason = "each test binary uses a part")]

use sprucerudder::clock::Millis;
use sprucerudder::controller::claims::{Claimant, Peer};
use sprucerudder::controller::in_flight::InFlightStarts;
use sprucerudder::controller::list::{Role, Vm};
use sprucerudder::controller::log_state::{LogChange, LogState};
use sprucerudder::controller::replica::{ReplicaError, StateSnapshot, Update};
use sprucerudder::controller::shard::owner::{
    Action, Answer, Event, MAX_MESSAGE_DELAY, ShardOwner,
};
use sprucerudder::controller::shard::{RecoveryStep, Shard, StateSource};
use sprucerudder::id::{EntryId, JobId, Name, TaskId, hash};
use sprucerudder::job::{JobSpec, TaskOutcome};
use sprucerudder::platform::api::{Report, Running, StartOrder, SyncOrder, TaskReply};
use sprucerudder::record::Record;
use sprucerudder::size::Size;
use sprucerudder::table::Table;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

pub const SHARD: &str = "rack";
pub const WORKER_SIZE: Size = Size::new(4, 8, 1);

const TABLE: &str = "\
kind,team,class,weight,limit,queue,deadline,repeat,retries,pack,spread,quota,site:d
build,t,batch,50,100,20000,60000,yes,2,10,0,0,1
once,t,batch,50,100,20000,60000,no,0,10,0,0,1
";

/// A mechanism that is taken out, to show that the checks see its absence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    None,
    /// Starts go out before the replicas have the binding.
    NoWait,
    /// A claimant takes its own copy without sealing anybody.
    NoSeal,
    /// A claimant starts from an empty state.
    NoState,
    /// Workers forget ended tasks at once.
    NoTombs,
    /// An owner that handed its shard over is still taken at its word.
    NotSilent,
    /// A successor counts its predecessor as fenced before a later epoch shows it.
    EarlyFence,
}

/// A message on its way.
#[derive(Debug, Clone)]
pub enum Message {
    Start { from: EntryId, id: u64, worker: Name, order: StartOrder },
    Stop { from: EntryId, id: u64, worker: Name, task: TaskId },
    Told { to: EntryId, id: u64, task: TaskId, stop: bool, reply: Option<TaskReply> },
    Sync { from: EntryId, worker: Name, order: SyncOrder, asked: Millis },
    Report { to: EntryId, worker: Name, report: Report, asked: Millis },
    Update { from: EntryId, to: EntryId, update: Update },
    Updated { to: EntryId, by: EntryId, epoch: u64, result: Result<u64, ReplicaError> },
    Seal { from: EntryId, to: EntryId, epoch: u64 },
    Sealed { to: EntryId, by: EntryId, epoch: u64, state: StateSnapshot },
    Beat { from: EntryId, to: EntryId, epoch: u64, owner: bool, flying: bool },
    HandOver { from: EntryId, to: EntryId, epoch: u64, state: StateSnapshot },
}

#[derive(Debug, Clone)]
pub struct InFlight {
    pub sent: Millis,
    pub message: Message,
}

#[derive(Debug)]
pub struct Entry {
    pub id: EntryId,
    pub shard: Shard,
    pub fold: LogState,
    pub paused: bool,
    /// It cannot reach the log.
    pub cut_off: bool,
    /// It handed the shard over and will end.
    stopping: bool,
    claimant: Claimant,
    peers: BTreeMap<Name, Peer>,
    outbox: Vec<Message>,
    flights: InFlightStarts<u64>,
    /// Records that wait for the log.
    unsent: Vec<Record>,
    /// Starts and stops that wait for an answer, with their epoch: each gets one.
    open: BTreeMap<u64, u64>,
}

#[derive(Debug, Clone)]
pub enum Task {
    Running(StartOrder),
    Ended(TaskOutcome),
}

#[derive(Debug, Default)]
pub struct Worker {
    pub inc: u64,
    pub tasks: BTreeMap<TaskId, Task>,
}

pub struct World {
    pub now: Millis,
    pub flaw: Flaw,
    pub entries: Vec<Entry>,
    pub workers: BTreeMap<Name, Worker>,
    pub log: Vec<Record>,
    pub log_down: bool,
    pub net: Vec<InFlight>,
    /// Pairs of entries, by index: messages from the first to the second are lost.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Messages that are late: nothing delivers them until they are released.
    pub late: Vec<InFlight>,
    pub jobs: Vec<JobId>,
    pub answers: BTreeMap<u64, Answer>,
    pub history: Vec<String>,
    list: u64,
    counter: u64,
    exchanges: u64,
    started: BTreeSet<(JobId, u32)>,
    gone: BTreeSet<EntryId>,
}

fn name(kind: &str, index: usize) -> Name {
    format!("{kind}{index}").into()
}

impl World {
    pub fn new(entries: usize, workers: usize, flaw: Flaw) -> Self {
        let mut world = Self {
            now: Millis(1_000_000),
            flaw,
            entries: Vec::new(),
            workers: BTreeMap::new(),
            log: Vec::new(),
            log_down: false,
            net: Vec::new(),
            late: Vec::new(),
            cuts: BTreeSet::new(),
            jobs: Vec::new(),
            answers: BTreeMap::new(),
            history: Vec::new(),
            list: 1,
            counter: 1,
            exchanges: 0,
            started: BTreeSet::new(),
            gone: BTreeSet::new(),
        };
        for index in 0..entries {
            let entry = world.new_entry(name("e", index));
            world.entries.push(entry);
        }
        for index in 0..workers {
            world.add_worker(name("w", index));
        }
        world
    }

    fn next(&mut self) -> u64 {
        self.counter += 1;
        self.counter
    }

    fn new_entry(&mut self, name: Name) -> Entry {
        let id = EntryId { name, incarnation: self.next() };
        let mut fold = LogState::new("d".into());
        let table = Table::parse(TABLE).expect("table");
        assert!(!table.rows.is_empty());
        for (offset, record) in self.log.iter().enumerate() {
            fold.apply(offset as u64, vec![record.clone()]);
        }
        Entry {
            shard: Shard::new(SHARD.into(), id.clone()),
            claimant: Claimant::new(id.clone(), "d".into(), self.now),
            peers: BTreeMap::new(),
            outbox: Vec::new(),
            flights: InFlightStarts::default(),
            unsent: Vec::new(),
            open: BTreeMap::new(),
            paused: false,
            cut_off: false,
            stopping: false,
            fold,
            id,
        }
    }

    fn add_worker(&mut self, name: Name) {
        let inc = self.next();
        self.workers.insert(name, Worker { inc, tasks: BTreeMap::new() });
    }

    fn vms(&self) -> Vec<Vm> {
        let vm = |name: &Name| Vm {
            name: name.clone(),
            role: Role::Worker,
            addr: name.clone(),
            domain: "d".into(),
            rack: SHARD.into(),
            size: WORKER_SIZE,
            slots: 0,
            leaving: false,
        };
        self.workers.keys().map(vm).collect()
    }

    pub fn index(&self, id: &EntryId) -> Option<usize> {
        self.entries.iter().position(|entry| entry.id == *id)
    }

    /// The entries that own the shard as far as they know.
    pub fn owners(&mut self) -> Vec<usize> {
        let owns = |e: &mut Entry| e.shard.owner().is_some();
        (0..self.entries.len()).filter(|i| owns(&mut self.entries[*i])).collect()
    }

    /// Lets time pass: entries that are not paused tick, claim, search and replicate.
    pub fn advance(&mut self, millis: u64) {
        self.now = self.now + Millis(millis);
        for index in 0..self.entries.len() {
            if !self.entries[index].paused {
                self.tick(index);
            }
        }
    }

    /// Appends what waited while the log could not be reached.
    fn append_unsent(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        if !self.log_down && !entry.cut_off {
            self.log.append(&mut entry.unsent);
        }
    }

    fn tick(&mut self, index: usize) {
        self.append_unsent(index);
        self.step(index, Event::Tick);
        for old in self.gone.clone() {
            self.step(index, Event::EntryGone(old));
        }
        let now = self.now;
        let entry = &mut self.entries[index];
        let since = entry.shard.owner().map(|owner| owner.first_epoch());
        if since.is_some_and(|since| !entry.flights.any_before(now, &since)) {
            let me = entry.id.clone();
            self.step(index, Event::OwnerFenced(me));
        }
        let entry = &mut self.entries[index];
        let claim = entry.claimant.decide(now, &SHARD.into(), &entry.fold.claims, &entry.peers);
        let cut_off = self.log_down || entry.cut_off;
        if let Some(claim) = claim.filter(|_| !cut_off) {
            self.log.push(Record::Claim(claim));
        }
        self.search(index);
        self.replicate(index);
        self.beat(index);
    }

    fn search(&mut self, index: usize) {
        let gone = self.gone.clone();
        let now = self.now;
        let flaw = self.flaw;
        let entry = &mut self.entries[index];
        let Some(claim) = entry.shard.pending_claim().cloned() else { return };
        let mut found = entry.shard.next_recovery_step(now, |id| gone.contains(id));
        if flaw == Flaw::NoSeal {
            found = RecoveryStep::Ready(StateSource::State(Box::new(
                entry.shard.replica().state().clone(),
            )));
        }
        if flaw == Flaw::NoState {
            found = RecoveryStep::Ready(StateSource::State(Box::default()));
        }
        match found {
            RecoveryStep::Idle => {}
            RecoveryStep::Ask(ids) => {
                let from = entry.id.clone();
                let epoch = claim.epoch;
                let others = ids.into_iter().filter(|id| *id != from);
                let asks = others.map(|to| Message::Seal { from: from.clone(), to, epoch });
                entry.outbox.extend(asks);
            }
            RecoveryStep::Ready(source) => {
                let (former, jobs) = entry.fold.before(&claim);
                let table = Arc::new(Table::parse(TABLE).expect("table"));
                let shard_owner = ShardOwner::new(&claim, source, former, jobs, table, now);
                entry.shard.become_owner(shard_owner);
                self.history.push(format!("{} e{index} takes office {}", self.now, claim.epoch));
                self.tell_list(index);
                for id in gone {
                    self.step(index, Event::EntryGone(id));
                }
            }
        }
    }

    fn tell_list(&mut self, index: usize) {
        let (rev, vms) = (self.list, self.vms());
        self.step(index, Event::WorkerList { rev, vms });
    }

    fn replicate(&mut self, index: usize) {
        let flaw = self.flaw;
        let entry = &mut self.entries[index];
        let Some(shard_owner) = entry.shard.owner() else { return };
        let from = entry.id.clone();
        let record = shard_owner.log_record();
        let mut done = Vec::new();
        for to in shard_owner.replicas() {
            let Some(update) = shard_owner.update_for(&to) else { continue };
            if flaw == Flaw::NoWait {
                let seq = update.base.as_ref().map_or(0, |base| base.seq);
                let seq = seq.max(update.first - 1 + update.changes.len() as u64);
                done.push(Event::Acked { replica: to.clone(), epoch: update.epoch, seq });
            }
            entry.outbox.push(Message::Update { from: from.clone(), to, update });
        }
        if let Some(record) = record {
            match self.log_down || entry.cut_off {
                true => entry.unsent.push(record),
                false => self.log.push(record),
            }
        }
        for event in done {
            self.step(index, event);
        }
    }

    fn beat(&mut self, index: usize) {
        let now = self.now;
        let entry = &mut self.entries[index];
        let flying = entry.flights.any_before(now, &u64::MAX);
        let epoch = entry.fold.claims.epoch(SHARD).max(entry.shard.epoch());
        let owner = entry.shard.owner().is_some();
        let from = entry.id.clone();
        let others: Vec<EntryId> =
            self.entries.iter().map(|e| e.id.clone()).filter(|id| *id != from).collect();
        for to in others {
            let beat = Message::Beat { from: from.clone(), to, epoch, owner, flying };
            self.entries[index].outbox.push(beat);
        }
    }

    /// Gives an event to an owner; its actions go to its outbox.
    pub fn step(&mut self, index: usize, event: Event) {
        let now = self.now;
        let entry = &mut self.entries[index];
        let Some(shard_owner) = entry.shard.owner() else { return };
        let from = entry.id.clone();
        let epoch = shard_owner.epoch();
        for action in shard_owner.step(now, event) {
            match action {
                Action::Start { worker, order } => {
                    entry.flights.begin(epoch, 1);
                    self.exchanges += 1;
                    let id = self.exchanges;
                    entry.open.insert(id, epoch);
                    entry.outbox.push(Message::Start { from: from.clone(), id, worker, order });
                }
                Action::Stop { worker, task } => {
                    self.exchanges += 1;
                    let id = self.exchanges;
                    entry.open.insert(id, epoch);
                    entry.outbox.push(Message::Stop { from: from.clone(), id, worker, task });
                }
                Action::Reply { token, answer } => drop(self.answers.insert(token, answer)),
                Action::Append(record) => entry.unsent.push(record),
                Action::Replicate | Action::RequestShares | Action::Trace(_) => {}
            }
        }
    }

    /// An entry's messages leave it.
    pub fn flush(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        if entry.paused {
            return;
        }
        let sent = self.now;
        for message in std::mem::take(&mut entry.outbox) {
            self.net.push(InFlight { sent, message });
        }
    }

    /// An entry reads one record of the log.
    pub fn read_log(&mut self, index: usize) {
        let now = self.now;
        let entry = &mut self.entries[index];
        if entry.paused || entry.cut_off || self.log_down {
            return;
        }
        let offset = entry.fold.next();
        let Some(record) = self.log.get(offset as usize).cloned() else { return };
        for change in entry.fold.apply(offset, vec![record]) {
            match change {
                LogChange::Claim(claim) => {
                    let history = self.entries[index].fold.claims.history(SHARD).to_vec();
                    let state = self.entries[index].fold.state(SHARD);
                    self.entries[index].shard.on_claim(now, &claim, &history, state);
                }
                LogChange::StateStored { epoch, seq, .. } => {
                    self.step(index, Event::Logged { epoch, seq })
                }
                LogChange::Table | LogChange::Job(_) => {}
            }
        }
    }

    /// Takes one message out of the network and delivers it, unless its receiver is paused.
    pub fn deliver(&mut self, at: usize) {
        if at >= self.net.len() {
            return;
        }
        let InFlight { sent, message } = self.net.remove(at);
        let late = self.now.since(sent) >= MAX_MESSAGE_DELAY;
        let receiver = message.receiver().and_then(|id| self.index(id));
        let unknown = message.receiver().is_some() && receiver.is_none();
        if late || unknown || self.is_cut(&message) {
            return self.answer_lost(message);
        }
        if receiver.is_some_and(|index| self.entries[index].paused) {
            self.net.push(InFlight { sent, message });
            return;
        }
        self.take(receiver.unwrap_or(0), message);
    }

    fn is_cut(&self, message: &Message) -> bool {
        let between =
            message.between().and_then(|(from, to)| Some((self.index(from)?, self.index(to)?)));
        between.is_some_and(|pair| self.cuts.contains(&pair))
    }

    /// A message arrives a second time.
    pub fn double(&mut self, at: usize) {
        if let Some(copy) = self.net.get(at).cloned() {
            self.net.push(copy);
        }
    }

    /// A message will be late, and perhaps a copy of it arrives in time.
    pub fn delay(&mut self, at: usize, copy: bool) {
        if at >= self.net.len() {
            return;
        }
        match copy {
            true => self.late.push(self.net[at].clone()),
            false => self.late.push(self.net.remove(at)),
        }
    }

    /// A late message arrives.
    pub fn release(&mut self, at: usize) {
        if at < self.late.len() {
            let message = self.late.remove(at);
            self.net.push(message);
            self.deliver(self.net.len() - 1);
        }
    }

    /// A message is lost.
    pub fn lose(&mut self, at: usize) {
        if at < self.net.len() {
            let message = self.net.remove(at).message;
            self.answer_lost(message);
        }
    }

    /// Who waits for the answer to a lost message learns that none came.
    fn answer_lost(&mut self, message: Message) {
        let told = |to, id, task, stop| Message::Told { to, id, task, stop, reply: None };
        let lost = match message {
            Message::Start { from, id, order, .. } => told(from, id, order.task, false),
            Message::Stop { from, id, task, .. } => told(from, id, task, true),
            Message::Told { to, id, task, stop, .. } => told(to, id, task, stop),
            _ => return,
        };
        let known = lost.receiver().is_some_and(|id| self.index(id).is_some());
        if known {
            self.reply(lost);
        }
    }

    fn take(&mut self, index: usize, message: Message) {
        match message {
            Message::Start { from, id, worker, order } => {
                let task = order.task.clone();
                let reply = self.worker_start(&worker, order);
                let stop = false;
                self.reply(Message::Told { to: from, id, task, stop, reply });
            }
            Message::Stop { from, id, worker, task } => {
                let reply = self.worker_stop(&worker, &task);
                self.reply(Message::Told { to: from, id, task, stop: true, reply });
            }
            Message::Sync { from, worker, order, asked } => {
                if let Some(report) = self.worker_sync(&worker, &order) {
                    self.reply(Message::Report { to: from, worker, report, asked });
                }
            }
            Message::Told { id, task, stop, reply, .. } => {
                let entry = &mut self.entries[index];
                let Some(epoch) = entry.open.remove(&id) else { return };
                if !stop {
                    entry.flights.end(self.now, &epoch);
                }
                self.step(index, Event::CommandReply { task, stop, reply });
            }
            Message::Report { worker, report, asked, .. } => {
                self.step(index, Event::Report { worker, asked, report });
            }
            Message::Update { from, to, update } => {
                let epoch = update.epoch;
                let result = self.entries[index].shard.update(update);
                self.reply(Message::Updated { to: from, by: to, epoch, result });
            }
            Message::Updated { by, epoch, result, .. } => match result {
                Ok(seq) => self.step(index, Event::Acked { replica: by, epoch, seq }),
                Err(ReplicaError::Gap(_)) => {
                    self.step(index, Event::MissingChanges { replica: by })
                }
                Err(ReplicaError::Sealed(later)) => {
                    self.entries[index].shard.step_down(later);
                }
            },
            Message::Seal { from, to, epoch } => {
                let shard = &mut self.entries[index].shard;
                let mut sealed = shard.seal(epoch);
                if self.flaw == Flaw::NotSilent {
                    sealed = Some(shard.replica().state().clone());
                }
                if let Some(state) = sealed {
                    self.reply(Message::Sealed { to: from, by: to, epoch, state });
                }
            }
            Message::HandOver { epoch, state, .. } => self.succeed(index, epoch, state),
            Message::Sealed { by, epoch, state, .. } => {
                self.entries[index].shard.record_sealed(&by, epoch, state);
            }
            Message::Beat { from, epoch, owner, flying, .. } => {
                let heard = self.now;
                let peer = Peer { id: from.clone(), heard, leaving: false };
                self.entries[index].peers.insert(from.name.clone(), peer);
                let early = self.flaw == Flaw::EarlyFence;
                let mine = self.entries[index].shard.owner().map(|owner| match early {
                    true => owner.epoch(),
                    false => owner.fence_epoch(),
                });
                if !owner && !flying && mine.is_some_and(|mine| epoch >= mine) {
                    self.step(index, Event::OwnerFenced(from));
                }
            }
        }
    }

    /// An owner hands the shard over to a replica, whichever `draw` says.
    pub fn hand_over(&mut self, index: usize, draw: usize) {
        let entry = &mut self.entries[index];
        let replicas = entry.shard.owner().map(|owner| owner.replicas()).unwrap_or_default();
        let to = replicas.get(draw % replicas.len().max(1)).cloned();
        let Some(to) = to.filter(|_| !entry.paused) else { return };
        let Some((epoch, state)) = entry.shard.hand_over() else { return };
        entry.stopping = true;
        let from = entry.id.clone();
        self.history.push(format!("{} {from} hands over {epoch} to {to}", self.now));
        self.entries[index].outbox.push(Message::HandOver { from, to, epoch, state });
    }

    fn succeed(&mut self, index: usize, epoch: u64, state: StateSnapshot) {
        let (now, gone) = (self.now, self.gone.clone());
        let entry = &mut self.entries[index];
        let claim = entry.fold.claims.last(SHARD).filter(|claim| claim.epoch == epoch).cloned();
        let Some(claim) = claim else { return };
        if !entry.shard.can_accept_handover(&claim, &state) {
            return;
        }
        let (former, _) = entry.fold.before(&claim);
        let table = Arc::new(Table::parse(TABLE).expect("table"));
        let shard_owner = ShardOwner::from_hand_over(&claim, &entry.id, state, former, table, now);
        entry.shard.accept_handover(shard_owner);
        entry.claimant.release(SHARD.into(), epoch);
        self.history.push(format!("{now} e{index} goes on in {epoch}"));
        self.tell_list(index);
        for id in gone {
            self.step(index, Event::EntryGone(id));
        }
    }

    fn reply(&mut self, message: Message) {
        let sent = self.now;
        self.net.push(InFlight { sent, message });
    }

    fn worker_start(&mut self, worker: &Name, order: StartOrder) -> Option<TaskReply> {
        let place = (order.task.job.clone(), order.task.index);
        let tasks = &mut self.workers.get_mut(worker)?.tasks;
        match tasks.get(&order.task) {
            Some(Task::Running(_)) => return Some(TaskReply::Running),
            Some(Task::Ended(outcome)) => return Some(TaskReply::Ended(*outcome)),
            None => {}
        }
        let repeat = order.repeat;
        self.history.push(format!("{} {worker} starts {}", self.now, order.task));
        tasks.insert(order.task.clone(), Task::Running(order));
        let first = self.started.insert(place);
        assert!(first || repeat, "at most once: {:#?}", self.history);
        Some(TaskReply::Running)
    }

    fn worker_stop(&mut self, worker: &Name, task: &TaskId) -> Option<TaskReply> {
        let tasks = &mut self.workers.get_mut(worker)?.tasks;
        let outcome = match tasks.get(task) {
            Some(Task::Ended(outcome)) => *outcome,
            Some(Task::Running(_)) => TaskOutcome::Stopped,
            None => TaskOutcome::Cancelled,
        };
        tasks.insert(task.clone(), Task::Ended(outcome));
        Some(TaskReply::Ended(outcome))
    }

    fn worker_sync(&mut self, worker: &Name, order: &SyncOrder) -> Option<Report> {
        let flaw = self.flaw;
        let worker = self.workers.get_mut(worker)?;
        for id in &order.ack {
            if matches!(worker.tasks.get(id), Some(Task::Ended(_))) {
                worker.tasks.remove(id);
            }
        }
        let mut report = Report { inc: worker.inc, ..Report::default() };
        for (id, task) in &worker.tasks {
            match task {
                Task::Running(order) => report.running.push(Running {
                    task: id.clone(),
                    kind: order.kind.clone(),
                    size: order.size,
                    usage: order.size,
                }),
                Task::Ended(outcome) => report.ended.push((id.clone(), *outcome)),
            }
        }
        if flaw == Flaw::NoTombs {
            worker.tasks.retain(|_, task| matches!(task, Task::Running(_)));
        }
        Some(report)
    }

    /// A running task of a worker ends.
    pub fn end_task(&mut self, worker: usize, task: usize, outcome: TaskOutcome) {
        let Some(name) = self.workers.keys().nth(worker).cloned() else { return };
        let Some(worker) = self.workers.get_mut(&name) else { return };
        let running = worker.tasks.iter_mut().filter(|(_, t)| matches!(t, Task::Running(_)));
        if let Some((id, slot)) = running.into_iter().nth(task) {
            self.history.push(format!("{} {name} ends {id} {outcome:?}", self.now));
            *slot = Task::Ended(outcome);
        }
    }

    /// A worker's VM is gone from the list, and another comes.
    pub fn replace_worker(&mut self, worker: usize) {
        let Some(name) = self.workers.keys().nth(worker).cloned() else { return };
        self.workers.remove(&name);
        let fresh = self.next();
        self.add_worker(format!("w{fresh}").into());
        self.list += 1;
        for index in 0..self.entries.len() {
            if !self.entries[index].paused {
                self.tell_list(index);
            }
        }
    }

    /// An entry asks a worker what it runs.
    pub fn sync(&mut self, index: usize, worker: usize) {
        let Some(name) = self.workers.keys().nth(worker).cloned() else { return };
        let entry = &mut self.entries[index];
        if entry.paused {
            return;
        }
        let asked = self.now;
        let from = entry.id.clone();
        let order = entry.shard.owner().and_then(|owner| owner.sync_order(&name));
        if let Some((_, order)) = order {
            entry.outbox.push(Message::Sync { from, worker: name, order, asked });
        }
    }

    /// An entry is killed and started again as a new run; others learn that the old one is gone.
    pub fn restart_entry(&mut self, index: usize) {
        let old = self.entries[index].id.clone();
        self.entries[index] = self.new_entry(old.name.clone());
        self.gone.insert(old.clone());
        self.history.push(format!("{} {old} is killed", self.now));
        for other in 0..self.entries.len() {
            if other != index && !self.entries[other].paused {
                self.step(other, Event::EntryGone(old.clone()));
            }
        }
    }

    pub fn submit(&mut self, index: usize, kind: &str, tasks: u32, gang: bool, size: Size) -> u64 {
        let token = self.next();
        let job = JobId { shard: SHARD.into(), number: token };
        let spec = JobSpec {
            kind: kind.into(),
            team: "t".into(),
            tasks,
            gang,
            size,
            run_time: Millis(1_000),
            repeatable: kind != "once",
        };
        self.jobs.push(job.clone());
        if !self.entries[index].paused {
            self.step(index, Event::Submit { token, job, spec });
        }
        token
    }

    pub fn cancel(&mut self, index: usize, job: usize) {
        let Some(job) = self.jobs.get(job).cloned() else { return };
        let token = self.next();
        if !self.entries[index].paused {
            self.step(index, Event::Cancel { token, job });
        }
    }

    /// What must hold after every step: workers are never given more than they have, and no task
    /// runs in two places.
    pub fn check(&self) {
        let mut places: BTreeMap<(JobId, u32), usize> = BTreeMap::new();
        for (name, worker) in &self.workers {
            let mut used = Size::default();
            for (id, task) in &worker.tasks {
                if let Task::Running(order) = task {
                    used = used.checked_add(&order.size).expect("sum");
                    *places.entry((id.job.clone(), id.index)).or_insert(0) += 1;
                }
            }
            assert!(WORKER_SIZE.can_fit(&used), "{name} over: {used} {:#?}", self.history);
        }
        let twice = places.iter().find(|(_, places)| **places > 1);
        assert!(twice.is_none(), "two places: {twice:?} {:#?}", self.history);
    }

    /// All faults end: entries run, messages arrive, tasks finish. Returns once every job is over.
    pub fn heal(&mut self) {
        self.log_down = false;
        self.cuts.clear();
        self.entries.iter_mut().for_each(|entry| entry.cut_off = false);
        self.net.append(&mut self.late);
        for index in 0..self.entries.len() {
            if self.entries[index].stopping {
                self.restart_entry(index);
            }
            self.entries[index].paused = false;
            self.tell_list(index);
        }
        for _ in 0..400 {
            self.round(true);
            if self.all_over() {
                return;
            }
        }
        panic!("jobs do not end: {:#?}", self.history);
    }

    /// Half a second without faults.
    pub fn round(&mut self, finish: bool) {
        self.advance(500);
        for index in 0..self.entries.len() {
            for worker in 0..self.workers.len() {
                self.sync(index, worker);
            }
            self.flush(index);
        }
        let mut bound = 100_000;
        while bound > 0 && self.net.iter().any(|m| self.deliverable(&m.message)) {
            bound -= 1;
            self.deliver(0);
            self.check();
        }
        for index in 0..self.entries.len() {
            while !self.log_down
                && !self.entries[index].paused
                && !self.entries[index].cut_off
                && self.entries[index].fold.next() < self.log.len() as u64
            {
                self.read_log(index);
            }
        }
        if finish {
            for worker in 0..self.workers.len() {
                self.end_task(worker, 0, TaskOutcome::Done);
            }
        }
        self.check();
    }

    /// Half a second in which some messages are lost, late or doubled, as `seed` has it.
    pub fn rough_round(&mut self, seed: u64) {
        self.advance(500);
        for index in 0..self.entries.len() {
            for worker in 0..self.workers.len() {
                self.sync(index, worker);
            }
            self.flush(index);
            self.read_log(index);
        }
        for step in 0..60_u64 {
            if self.net.is_empty() {
                return;
            }
            let draw = hash(&[&seed.to_le_bytes(), &step.to_le_bytes()]);
            let at = (draw >> 8) as usize % self.net.len();
            match draw % 16 {
                0 => self.lose(at),
                1 => self.delay(at, false),
                2 | 3 => self.delay(at, true),
                _ => self.deliver(at),
            }
            self.check();
        }
    }

    fn deliverable(&self, message: &Message) -> bool {
        let index = message.receiver().and_then(|id| self.index(id));
        index.is_none_or(|index| !self.entries[index].paused)
    }

    fn all_over(&mut self) -> bool {
        let owners = self.owners();
        let [owner] = owners[..] else { return false };
        let Some(shard_owner) = self.entries[owner].shard.owner() else { return false };
        let over = shard_owner.state().jobs.values().all(|job| job.is_over());
        let empty = shard_owner.ledgers().all(|(_, ledger)| ledger.used() == Size::default());
        let idle = |w: &Worker| w.tasks.values().all(|t| matches!(t, Task::Ended(_)));
        over && empty && self.workers.values().all(idle)
    }
}

impl Message {
    /// Sender and receiver of a message between entries.
    fn between(&self) -> Option<(&EntryId, &EntryId)> {
        match self {
            Self::Update { from, to, .. }
            | Self::Seal { from, to, .. }
            | Self::HandOver { from, to, .. }
            | Self::Beat { from, to, .. } => Some((from, to)),
            Self::Updated { to, by, .. } | Self::Sealed { to, by, .. } => Some((by, to)),
            _ => None,
        }
    }

    fn receiver(&self) -> Option<&EntryId> {
        match self {
            Self::Start { .. } | Self::Stop { .. } | Self::Sync { .. } => None,
            Self::Told { to, .. }
            | Self::Report { to, .. }
            | Self::Update { to, .. }
            | Self::Updated { to, .. }
            | Self::Seal { to, .. }
            | Self::Sealed { to, .. }
            | Self::HandOver { to, .. }
            | Self::Beat { to, .. } => Some(to),
        }
    }
}
