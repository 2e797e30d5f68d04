//! The owner of the cell: the shell around [`Cell`], which decides.

use crate::cell::authority::Authority;
use crate::cell::journal::{Batch, Snapshot};
use crate::cell::life::TICK;
use crate::cell::{Action, Bounds, Cell};
use crate::clock::Millis;
use crate::id::Name;
use crate::node::link::{Out, encode};
use crate::node::msg::{Ask, Refused, Tell};
use crate::node::{Node, lock};
use crate::order::{Listed, Outcome};
use crate::platform::store::{Guard, Part, StoreError, put_keyed};
use crate::platform::worker::{self, Worker};
use bytes::BytesMut;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use tokio::sync::{Notify, watch};

/// The topic that holds jobs, their progress and the workers in use.
const JOBS: Part<'static> = Part { topic: "keyed.jobs", part: 0 };
/// The topic in which workers list themselves.
const WORKERS: Part<'static> = Part { topic: worker::TOPIC, part: 0 };
/// The producer's name on the owner's partition.
const PRODUCER: &str = "cell";
/// The least time between two appends of an owner: what comes meanwhile goes together. An append
/// costs as much as 35 KB in the store, and a job's objective has at least 250 ms to spare.
const APPEND_GAP: Millis = Millis(20);
/// The longest wait for an append's answer: the slowest store of the platform's contract takes 60
/// times its usual 4 ms.
const APPEND_LIMIT: Millis = Millis(600);
/// The longest wait for a read's answer.
const READ_LIMIT: Millis = Millis(2_000);
/// Time between attempts after a failure of the store.
const STORE_RETRY: Millis = Millis(100);
/// New jobs whose batch is refused this long are given back to their callers: a store that is
/// merely asked too often takes them before.
const GIVE_BACK: Millis = Millis(600);
/// Time between two looks at the list of workers. Each worker rewrites its entry every 1.5 s, so
/// waiting for the next record would return at once.
const LIST_EVERY: Millis = Millis(400);
/// Workers whose entries went away are looked up again this much later: the list is read whole.
const LIST_WHOLE: Millis = Millis(5_000);
/// How long a report waits for an end at the worker. If the answer is lost, ends there are not
/// known for this long and [`HOLD_SPARE`]; a shorter wait costs more reports.
const HOLD_WAIT: Millis = Millis(800);
/// How much longer than that an answer may take: a hundred times the way between failure domains.
const HOLD_SPARE: Millis = Millis(250);
/// Time between two reports of a worker that does not answer.
const HOLD_RETRY: Millis = Millis(250);
/// Ends are confirmed with the next report; it waits this long at the most for the store to have
/// them.
const KEEP_WAIT: Millis = Millis(500);
/// The longest wait for the answer to an order: a hundred times the way between failure domains.
/// The room and the task are in doubt for that long if the answer is lost.
const ORDER_LIMIT: Millis = Millis(300);
/// Without a heartbeat in the log for this long no job is accepted: it could not be kept in time.
/// With a store 60 times slower than usual heartbeats take up to 900 ms.
const STORE_FRESH: Millis = Millis(1_000);

/// What became of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Written {
    /// The store has it.
    Done,
    /// It held nothing but new jobs, which were given back.
    Withdrawn,
    /// Another entry owns the cell.
    Deposed,
}

fn body(records: &[&(String, Vec<u8>)]) -> bytes::Bytes {
    let mut body = BytesMut::new();
    for (key, value) in records {
        put_keyed(&mut body, key, value);
    }
    body.freeze()
}

/// The owner.
#[derive(Debug)]
pub(super) struct Owner {
    node: Arc<Node>,
    epoch: u64,
    cell: Mutex<Cell>,
    /// The batch up to which all is in the store.
    kept: watch::Sender<u64>,
    /// There may be something to do or to write.
    stir: Notify,
    write: Notify,
    /// It is not the owner any more.
    over: watch::Sender<bool>,
    /// The other entries that ask this owner.
    peers: Mutex<HashMap<Name, Out>>,
    authority: Mutex<Authority>,
    /// The store takes records.
    store: AtomicBool,
    /// Wakes the watch of a worker for a report at once.
    pokes: Mutex<HashMap<Name, Arc<Notify>>>,
}

impl Node {
    /// Takes the cell over and owns it until another entry does, or this one is released.
    pub(super) async fn own(self: Arc<Self>, epoch: u64) {
        let begun = self.now();
        let Some((snapshot, listed)) = self.recover(epoch).await else {
            self.given_up.fetch_max(epoch, Ordering::Relaxed);
            return;
        };
        log::info!(
            "event=takeover epoch={epoch} jobs={} roster={} listed={} took_ms={}",
            snapshot.jobs.len(),
            snapshot.roster.len(),
            listed.len(),
            self.now().since(begun)
        );
        let bounds = Bounds { lease: self.lease(), keep: self.settings.keep };
        let queues = self.policy().queues.clone();
        let mut cell = Cell::new(epoch, bounds, queues, snapshot, self.now());
        cell.set_workers(listed);
        if self.adviser.is_some() {
            cell.join(self.me.name.clone());
        }
        let owner = Arc::new(Owner {
            epoch,
            cell: Mutex::new(cell),
            kept: watch::channel(0).0,
            stir: Notify::new(),
            write: Notify::new(),
            over: watch::channel(false).0,
            peers: Mutex::default(),
            authority: Mutex::new(Authority::new(self.now())),
            store: AtomicBool::new(true),
            pokes: Mutex::default(),
            node: self.clone(),
        });
        self.owner.send_replace(Some(owner.clone()));
        owner.clone().run().await;
        self.given_up.fetch_max(epoch, Ordering::Relaxed);
        self.owner.send_if_modified(|current| {
            let is_this = current.as_ref().is_some_and(|current| current.epoch == epoch);
            if is_this {
                *current = None;
            }
            is_this
        });
        log::info!("event=owner-over epoch={epoch}");
    }

    /// Fences earlier owners off the store, and reads what it holds; `None`: deposed meanwhile.
    async fn recover(&self, epoch: u64) -> Option<(Snapshot, Vec<Listed>)> {
        loop {
            if !self.is_leader(epoch) {
                return None;
            }
            match self.try_recover(epoch).await {
                Ok(found) => return Some(found),
                Err(StoreError::Fenced) => return None,
                Err(err) => {
                    log::info!("event=takeover-waits epoch={epoch} error={err:?}");
                    tokio::time::sleep(STORE_RETRY.duration()).await;
                }
            }
        }
    }

    async fn try_recover(&self, epoch: u64) -> Result<(Snapshot, Vec<Listed>), StoreError> {
        let guard = Guard::Producer { name: PRODUCER, epoch, seq: 0 };
        self.store.append(JOBS, guard, bytes::Bytes::new(), APPEND_LIMIT).await?;
        let (items, _) = self.store.newest_all(JOBS, READ_LIMIT).await?;
        let mut snapshot = Snapshot::default();
        for item in items {
            if let Err(err) = snapshot.add(&item.key, &item.value) {
                log::error!("event=record-unreadable key={} error={err:?}", item.key);
            }
        }
        let (listed, _) = self.list_workers().await?;
        Ok((snapshot, listed))
    }

    async fn list_workers(&self) -> Result<(Vec<Listed>, u64), StoreError> {
        let (items, end) = self.store.newest_all(WORKERS, READ_LIMIT).await?;
        let items = items.into_iter().filter(|item| !item.value.is_empty());
        Ok((items.filter_map(|item| read_worker(item.key, &item.value)).collect(), end))
    }
}

fn read_worker(id: Name, value: &[u8]) -> Option<Listed> {
    match worker::parse_listed(id.clone(), value) {
        Ok(listed) => Some(listed),
        Err(err) => {
            log::warn!("event=worker-unreadable worker={id} error={err:?}");
            None
        }
    }
}

impl Owner {
    /// The owner's epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether another entry owns the cell by now, or this one gave it up.
    pub fn is_over(&self) -> bool {
        *self.over.borrow()
    }

    /// Gives the cell up: nothing is ordered or written any more.
    pub fn end(&self) {
        self.over.send_replace(true);
    }

    async fn run(self: Arc<Self>) {
        let mut over = self.over.subscribe();
        self.stir.notify_one();
        tokio::select! {
            () = self.clone().pump() => {}
            () = self.clone().write_batches() => {}
            () = self.clone().tick() => {}
            () = self.clone().follow_workers() => {}
            () = self.clone().follow_policy() => {}
            _ = over.wait_for(|over| *over) => {}
        }
        self.end();
    }

    /// A heartbeat that was sent at `sent` is in the log.
    pub fn confirm(&self, sent: Millis) {
        lock(&self.authority).confirm(sent);
        // Without jobs there may be no batch that shows that the store takes records again.
        if !self.store.swap(true, Ordering::Relaxed) {
            log::info!("event=store-back epoch={}", self.epoch);
            self.write.notify_one();
        }
    }

    /// Whether orders may go out: no other entry can have claimed the cell.
    fn may_order(&self) -> bool {
        lock(&self.authority).holds(self.node.now())
    }

    /// Whether callers may come: this surely is the owner, and the store takes records.
    pub fn is_sure(&self) -> bool {
        !self.is_over() && self.may_accept() && self.may_order()
    }

    /// Does what the cell decides.
    async fn pump(self: Arc<Self>) {
        loop {
            self.stir.notified().await;
            let actions = {
                let mut cell = lock(&self.cell);
                if self.may_order() {
                    cell.schedule(self.node.now());
                }
                cell.take_actions()
            };
            for action in actions {
                self.act(action);
            }
            self.write.notify_one();
        }
    }

    fn act(self: &Arc<Self>, action: Action) {
        match action {
            Action::Deposed => {
                log::info!("event=deposed epoch={} by=fence", self.epoch);
                self.end();
            }
            Action::Watch(listed) => drop(tokio::spawn(self.clone().watch(listed))),
            Action::Unwatch(worker) => {
                // The watching task ends by itself: the cell does not know the worker any more.
                if let Some(poke) = lock(&self.pokes).remove(&worker) {
                    poke.notify_one();
                }
            }
            Action::Look(worker) => {
                if let Some(poke) = lock(&self.pokes).get(&worker) {
                    poke.notify_one();
                }
            }
            Action::Ask { entry, question } => self.ask(entry, question),
            order => drop(tokio::spawn(self.clone().order(order))),
        }
    }

    /// Sends an order and tells the cell what became of it.
    async fn order(self: Arc<Self>, action: Action) {
        let name = match &action {
            Action::Start { worker, .. }
            | Action::Stop { worker, .. }
            | Action::Pace { worker, .. } => worker.clone(),
            _ => return,
        };
        let Some(client) = self.client(&name) else { return };
        let sent = self.node.now();
        let (task, run, outcome) = match &action {
            Action::Start { start, until, .. } => {
                (start.task, start.run, client.start(start, *until, ORDER_LIMIT).await)
            }
            Action::Stop { task, run, .. } => {
                (*task, *run, client.stop(*task, *run, ORDER_LIMIT).await)
            }
            Action::Pace { task, run, percent, .. } => {
                let outcome = client.pace(*task, *run, *percent, ORDER_LIMIT).await;
                if !matches!(outcome, Outcome::Done(_)) {
                    log::info!("event=pace-failed task={task} worker={name} outcome={outcome:?}");
                }
                return;
            }
            _ => return,
        };
        let now = self.node.now();
        let start = matches!(action, Action::Start { .. });
        self.node.metrics.ordered(start, &outcome, now.since(sent));
        {
            let mut cell = lock(&self.cell);
            match start {
                true => cell.started(now, &name, task, run, outcome),
                false => cell.stopped(now, &name, task, run, outcome),
            }
        }
        self.stir.notify_one();
    }

    fn client(&self, name: &Name) -> Option<Worker> {
        let addr = lock(&self.cell).addr(name)?;
        Some(Worker::new(self.node.http.clone(), addr, name.clone(), self.epoch))
    }

    /// Asks a worker for reports as long as the cell knows it.
    async fn watch(self: Arc<Self>, listed: Listed) {
        let name = listed.id;
        let client = Worker::new(self.node.http.clone(), listed.addr, name.clone(), self.epoch);
        let poke = lock(&self.pokes).entry(name.clone()).or_default().clone();
        // The first report only tells what runs, and the clock: the lease needs that.
        let mut wait = Millis(0);
        while !self.is_over() {
            self.wait_kept(&name).await;
            let renew = self.may_order();
            let sent = self.node.now();
            let Some(hold) = lock(&self.cell).hold(sent, &name, renew) else { return };
            let held = tokio::select! {
                held = client.hold(hold.seen, hold.until, wait, wait + HOLD_SPARE) => held,
                () = poke.notified() => {
                    wait = Millis(0);
                    continue;
                }
            };
            let now = self.node.now();
            let pause = match &held {
                Ok(report) => {
                    lock(&self.cell).held(now, sent, &name, report);
                    wait = if hold.until.is_some() { HOLD_WAIT } else { Millis(0) };
                    hold.until.is_none() && !renew
                }
                Err(err) => {
                    wait = Millis(0);
                    lock(&self.cell).unheld(&name, err)
                }
            };
            self.stir.notify_one();
            if pause {
                tokio::time::sleep(HOLD_RETRY.duration()).await;
            }
        }
    }

    /// Waits until the store has the ends that a worker listed last, so that the next report
    /// confirms them.
    async fn wait_kept(&self, name: &Name) {
        let Some(batch) = lock(&self.cell).awaited(name) else { return };
        let mut kept = self.kept.subscribe();
        let wait = kept.wait_for(|kept| *kept >= batch);
        if tokio::time::timeout(KEEP_WAIT.duration(), wait).await.is_err() {
            log::debug!("event=ends-not-kept worker={name} batch={batch}");
        }
    }

    /// Has an entry, maybe this one, ask the advice service.
    fn ask(self: &Arc<Self>, entry: Name, question: crate::cell::advice::Question) {
        let crate::cell::advice::Question { step, workers, cost, .. } = question;
        if entry == self.node.me.name {
            let owner = self.clone();
            tokio::spawn(async move {
                let answer = owner.node.advise(step, &workers, cost).await;
                let now = owner.node.now();
                lock(&owner.cell).advised(now, &entry, step, &workers, answer);
                owner.stir.notify_one();
            });
            return;
        }
        let out = lock(&self.peers).get(&entry).cloned();
        let frame = encode(0, Tell::Question { step, workers, cost });
        let sent = match (out, frame) {
            (Some(out), Ok(frame)) => out.try_send(frame).is_ok(),
            _ => false,
        };
        if !sent {
            log::info!("event=question-lost entry={entry} step={step}");
            lock(&self.cell).leave(&entry);
            self.stir.notify_one();
        }
    }

    /// Appends what has to last, a batch at a time.
    async fn write_batches(self: Arc<Self>) {
        let mut seq = 0;
        loop {
            let (batch, kept) = {
                let mut cell = lock(&self.cell);
                (cell.take_batch(self.node.now()), cell.kept())
            };
            let Some(batch) = batch else {
                self.kept.send_replace(kept);
                self.write.notified().await;
                continue;
            };
            match self.write_batch(&batch, seq + 1).await {
                Written::Done => seq += 1,
                Written::Withdrawn => {}
                Written::Deposed => return,
            }
            lock(&self.cell).keep(self.node.now(), batch.no);
            self.kept.send_replace(batch.no);
            self.stir.notify_one();
            tokio::time::sleep(APPEND_GAP.duration()).await;
        }
    }

    /// Appends one batch, however long that takes. While the store surely has not taken it, its new
    /// jobs are given back, so that their callers are told at once that they were not run.
    async fn write_batch(&self, batch: &Batch, seq: u64) -> Written {
        let mut records: Vec<&(String, Vec<u8>)> = batch.records.iter().collect();
        let mut may_be_there = false;
        let begun = self.node.now();
        loop {
            let guard = Guard::Producer { name: PRODUCER, epoch: self.epoch, seq };
            let body = body(&records);
            let err = match self.node.store.append(JOBS, guard, body, APPEND_LIMIT).await {
                Ok(_) => {
                    if !self.store.swap(true, Ordering::Relaxed) {
                        log::info!("event=store-back batch={}", batch.no);
                    }
                    self.node.metrics.appended(self.node.now().since(begun));
                    return Written::Done;
                }
                Err(StoreError::Fenced) => {
                    log::info!("event=deposed epoch={} by=store", self.epoch);
                    return Written::Deposed;
                }
                Err(err) => err,
            };
            if self.store.swap(false, Ordering::Relaxed) {
                log::info!("event=store-lost batch={} error={err:?}", batch.no);
            }
            may_be_there = may_be_there || !matches!(err, StoreError::Refused(_));
            if !may_be_there && self.node.now().since(begun) >= GIVE_BACK {
                let gone = lock(&self.cell).withdraw(batch.no);
                let gone: Vec<String> = gone.iter().map(ToString::to_string).collect();
                records.retain(|(key, _)| !gone.contains(key));
                // Callers that wait look again.
                self.kept.send_modify(|_| {});
                if records.is_empty() {
                    return Written::Withdrawn;
                }
            }
            tokio::time::sleep(STORE_RETRY.duration()).await;
        }
    }

    async fn tick(self: Arc<Self>) {
        let mut timer = tokio::time::interval(TICK.duration());
        timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            timer.tick().await;
            let now = self.node.now();
            let load = {
                let mut cell = lock(&self.cell);
                cell.tick(now, Millis::now());
                cell.load()
            };
            self.node.metrics.loaded(&load);
            self.stir.notify_one();
        }
    }

    /// Follows the list of workers.
    async fn follow_workers(self: Arc<Self>) {
        let mut known: HashMap<Name, Listed> = HashMap::new();
        let mut next = 0;
        let mut whole = Millis(0);
        loop {
            let now = self.node.now();
            let result = if whole == Millis(0) || now.since(whole) >= LIST_WHOLE {
                self.node.list_workers().await.map(|(listed, end)| {
                    (whole, next) = (now, end);
                    known = listed.into_iter().map(|one| (one.id.clone(), one)).collect();
                    true
                })
            } else {
                self.read_changes(&mut known, &mut next).await
            };
            match result {
                Ok(true) => {
                    lock(&self.cell).set_workers(known.values().cloned().collect());
                    self.stir.notify_one();
                }
                Ok(false) => {}
                Err(err) => {
                    whole = Millis(0);
                    log::debug!("event=workers-unread error={err:?}");
                }
            }
            tokio::time::sleep(LIST_EVERY.duration()).await;
        }
    }

    /// Reads what workers wrote since; whether it changes anything.
    async fn read_changes(
        &self,
        known: &mut HashMap<Name, Listed>,
        next: &mut u64,
    ) -> Result<bool, StoreError> {
        let read = self.node.store.read(WORKERS, *next, Millis(0), READ_LIMIT).await?;
        let mut changed = false;
        for (offset, record) in read.records {
            *next = offset + 1;
            let Some((id, value)) = crate::platform::store::split_keyed(&record) else { continue };
            changed |= match value.is_empty() {
                true => known.remove(&id).is_some(),
                false => match read_worker(id.clone(), &value) {
                    Some(listed) => known.insert(id, listed.clone()).as_ref() != Some(&listed),
                    None => false,
                },
            };
        }
        Ok(changed)
    }

    async fn follow_policy(self: Arc<Self>) {
        let mut policies = self.node.policy.subscribe();
        loop {
            let queues = policies.borrow_and_update().queues.clone();
            lock(&self.cell).set_queues(queues);
            self.stir.notify_one();
            if policies.changed().await.is_err() {
                return;
            }
        }
    }

    /// Another entry asks this owner from now on.
    pub fn join(&self, entry: Name, out: Out) {
        log::info!("event=entry-joined entry={entry} epoch={}", self.epoch);
        lock(&self.peers).insert(entry.clone(), out);
        lock(&self.authority).hear(self.node.now(), &entry, true);
        if self.node.adviser.is_some() {
            lock(&self.cell).join(entry);
        }
        self.stir.notify_one();
    }

    /// Its connection ended, unless it has a newer one.
    pub fn leave(&self, entry: &Name, out: &Out) {
        let mut peers = lock(&self.peers);
        if peers.get(entry).is_some_and(|known| known.same_channel(out)) {
            log::info!("event=entry-left entry={entry} epoch={}", self.epoch);
            peers.remove(entry);
            drop(peers);
            lock(&self.cell).leave(entry);
            self.stir.notify_one();
        }
    }

    /// An entry says whether it can read the log.
    pub fn pinged(&self, entry: &Name, store: bool) {
        lock(&self.authority).hear(self.node.now(), entry, store);
    }

    /// Answers an entry.
    pub async fn answer(self: &Arc<Self>, entry: &Name, ask: Ask) -> Tell {
        if self.is_over() {
            return Tell::Refused(Refused::NotOwner);
        }
        match ask {
            Ask::Hello { .. } | Ask::Ping { .. } => Tell::Done,
            Ask::Submit { job, queue, work } => self.submit(job, &queue, work).await,
            Ask::State { job } => Tell::State(lock(&self.cell).state(job)),
            Ask::Pending { queue } => Tell::Pending(lock(&self.cell).pending(&queue)),
            Ask::Cancel { job } => {
                let batch = lock(&self.cell).cancel(self.node.now(), job);
                self.stir.notify_one();
                match batch {
                    None => Tell::Cancelled(false),
                    Some(batch) if self.is_kept(batch).await => Tell::Cancelled(true),
                    Some(_) => Tell::InDoubt,
                }
            }
            Ask::Advised { step, named, answer } => {
                lock(&self.cell).advised(self.node.now(), entry, step, &named, answer);
                self.stir.notify_one();
                Tell::Done
            }
        }
    }

    async fn submit(
        self: &Arc<Self>,
        job: crate::workload::JobKey,
        queue: &str,
        work: Arc<crate::workload::Work>,
    ) -> Tell {
        let batch = {
            let mut cell = lock(&self.cell);
            if cell.state(job).is_none() && !self.may_accept() {
                return Tell::Refused(Refused::NoStore);
            }
            cell.submit(self.node.now(), job, queue, work)
        };
        if batch.is_none() {
            return Tell::Refused(Refused::NoQueue);
        }
        self.write.notify_one();
        let mut kept = self.kept.subscribe();
        let mut over = self.over.subscribe();
        loop {
            let known = lock(&self.cell).batch_of(job);
            match known {
                None => return Tell::Refused(Refused::NoStore),
                Some(batch) if batch <= *kept.borrow_and_update() => return Tell::Accepted,
                Some(_) => {}
            }
            tokio::select! {
                changed = kept.changed() => if changed.is_err() { return Tell::InDoubt },
                _ = over.wait_for(|over| *over) => return Tell::InDoubt,
            }
        }
    }

    /// Whether new jobs are taken: the store took the last batch, and a heartbeat a moment ago.
    fn may_accept(&self) -> bool {
        let heard = lock(&self.authority).age(self.node.now()) < STORE_FRESH;
        heard && self.store.load(Ordering::Relaxed)
    }

    /// Waits until a batch is in the store; `false`: this is not the owner any more.
    async fn is_kept(&self, batch: u64) -> bool {
        let mut kept = self.kept.subscribe();
        let mut over = self.over.subscribe();
        tokio::select! {
            kept = kept.wait_for(|kept| *kept >= batch) => kept.is_ok(),
            _ = over.wait_for(|over| *over) => false,
        }
    }

    /// Writes what is left, as well as the store allows within `limit`.
    pub async fn settle(&self, limit: Millis) {
        let until = self.node.now() + limit;
        while self.node.now() < until && lock(&self.cell).is_unkept() {
            tokio::time::sleep(APPEND_GAP.duration()).await;
        }
    }
}
