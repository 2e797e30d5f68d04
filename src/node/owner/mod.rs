//! The owner of the cell: the shell around [`Cell`], which decides.

mod forward;
mod history;
mod store;
mod transfer;
mod workers;

use crate::cell::advice::queue::AdviceRequest;
use crate::cell::jobs::life::TICK;
use crate::cell::owner::authority::Authority;
use crate::cell::owner::balance::ServiceLoad;
use crate::cell::owner::election::OWNER_TIMEOUT;
use crate::cell::owner::lag::TickLag;
use crate::cell::owner::log_reports::LogReports;
use crate::cell::{Action, Cell, CellConfig};
use crate::clock::Millis;
use crate::id::Name;
use crate::node::frame::{Out, encode};
use crate::node::msg::{Ask, Refused, Tell};
use crate::node::view::View;
use crate::node::{Node, lock};
use crate::workload::{JobKey, Work};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::sync::{Notify, Semaphore, watch};

/// Without a heartbeat in the log for this long no job is accepted: it could not be kept in time.
/// With a store 60 times slower than usual heartbeats take up to 900 ms.
const STORE_FRESH: Millis = Millis(1_000);

/// Time between two looks at whether all is written.
const SETTLE_LOOK: Millis = Millis(20);
/// The owner.
#[derive(Debug)]
pub(super) struct Owner {
    node: Arc<Node>,
    view: Arc<View>,
    epoch: u64,
    cell: Mutex<Cell>,
    /// The batch up to which all is in the store.
    kept: watch::Sender<u64>,
    /// There may be something to do or to write.
    wake: Notify,
    write: Notify,
    /// It is not the owner any more.
    over: watch::Sender<bool>,
    /// The other entries that ask this owner.
    peers: Mutex<HashMap<Name, Out>>,
    authority: Mutex<Authority>,
    /// What the other entries know of the time before.
    witnesses: Mutex<LogReports>,
    lag: Mutex<TickLag>,
    /// Pauses of the process that the cell knows of.
    pauses: AtomicU64,
    /// No heartbeat has been confirmed since the last pause.
    woke: AtomicBool,
    /// The store takes records.
    store: AtomicBool,
    /// Wakes the watch of a worker for a report at once.
    looks: Mutex<HashMap<Name, Arc<Notify>>>,
    /// What the cell has to do, as of the last tick.
    loads: Mutex<Vec<ServiceLoad>>,
    /// Bounds how many orders each worker is given at once.
    gates: Mutex<HashMap<Name, Arc<Semaphore>>>,
}

impl View {
    /// Takes the cell over and owns it until another entry does, or this one is released.
    pub(super) async fn own(self: Arc<Self>, epoch: u64) {
        let begun = self.now();
        let Some((snapshot, listed)) = self.recover(epoch).await else {
            self.given_up.fetch_max(epoch, Ordering::Relaxed);
            return;
        };
        let doubt = !lock(&self.election).is_log_steady(self.now());
        log::info!(
            "event=takeover cell={} epoch={epoch} jobs={} roster={} listed={} doubt={doubt} took_ms={}",
            self.cell,
            snapshot.jobs.len(),
            snapshot.workers.len(),
            listed.len(),
            self.now().since(begun)
        );
        let node = &self.node;
        let (lease, job_retention, disabled) =
            (node.lease(), node.settings.keep, node.settings.off);
        let bounds =
            CellConfig { lease, max_lease: node.settings.lease_max, job_retention, disabled };
        let policy = node.policy();
        let mut cell = Cell::new(epoch, bounds, policy.queues.clone(), snapshot, doubt, self.now());
        cell.set_workspaces(policy.workspaces.clone());
        cell.set_workers(self.now(), listed);
        if node.adviser.is_some() {
            cell.add_entry(self.me().clone(), self.is_home);
        }
        let mut authority = Authority::new(self.now());
        authority.expect_peers(self.now(), self.entries.load(Ordering::Relaxed));
        let owner = Arc::new(Owner {
            epoch,
            cell: Mutex::new(cell),
            kept: watch::channel(0).0,
            wake: Notify::new(),
            write: Notify::new(),
            over: watch::channel(false).0,
            peers: Mutex::default(),
            authority: Mutex::new(authority),
            witnesses: Mutex::default(),
            lag: Mutex::new(TickLag::new(self.now())),
            pauses: AtomicU64::new(node.clock.pauses()),
            woke: AtomicBool::new(false),
            store: AtomicBool::new(true),
            looks: Mutex::default(),
            loads: Mutex::default(),
            gates: Mutex::default(),
            node: node.clone(),
            view: self.clone(),
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
        log::info!("event=owner-over cell={} epoch={epoch}", self.cell);
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
        self.wake.notify_one();
        tokio::select! {
            () = self.clone().pump() => {}
            () = self.clone().write_batches() => {}
            () = self.clone().tick() => {}
            () = self.clone().follow_workers() => {}
            () = self.clone().follow_policy() => {}
            () = self.clone().transfer_when_slow() => {}
            _ = over.wait_for(|over| *over) => {}
        }
        self.end();
    }

    /// A heartbeat that was sent at `sent` is in the log.
    pub fn confirm(&self, sent: Millis) {
        lock(&self.authority).confirm_heartbeat(sent);
        if self.node.now().since(sent) < OWNER_TIMEOUT {
            self.woke.store(false, Ordering::Relaxed);
        }
        // Without jobs there may be no batch that shows that the store takes records again.
        if !self.store.swap(true, Ordering::Relaxed) {
            log::info!("event=store-back epoch={}", self.epoch);
            self.write.notify_one();
        }
    }

    /// Whether orders may go out: no other entry can have claimed the cell.
    fn may_order(&self) -> bool {
        let now = self.node.now();
        self.notice_pause(now);
        lock(&self.authority).is_valid(now)
    }

    /// After a pause of the process or its machine, what the cell believes of workers is too old: nothing
    /// starts before the list of them is read again, and each has reported.
    fn notice_pause(&self, now: Millis) {
        let pauses = self.node.clock.pauses();
        if self.pauses.swap(pauses, Ordering::Relaxed) != pauses {
            self.woke.store(true, Ordering::Relaxed);
            lock(&self.cell).resume_after_pause(now);
        }
    }

    /// Whether callers may come: this surely is the owner, and the store takes records.
    pub fn is_sure(&self) -> bool {
        !self.is_over() && self.may_accept() && self.may_order()
    }

    /// Does what the cell decides.
    async fn pump(self: Arc<Self>) {
        loop {
            self.wake.notified().await;
            let actions = {
                let may_order = self.may_order();
                let mut cell = lock(&self.cell);
                let now = self.node.now();
                match may_order {
                    true => cell.schedule(now),
                    false => cell.give_up_starts("no-authority"),
                }
                if lock(&self.authority).depends_on_peers(now) {
                    cell.send_unkept(now);
                    self.note_rest(now);
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
                if let Some(look) = lock(&self.looks).remove(&worker) {
                    look.notify_one();
                }
                lock(&self.gates).remove(&worker);
            }
            Action::PollNow(worker) => {
                if let Some(look) = lock(&self.looks).get(&worker) {
                    look.notify_one();
                }
            }
            Action::RequestAdvice { entry, request } => self.ask(entry, request),
            Action::JobForgotten(job, workspace) => self.forget_at_home(job, workspace.as_ref()),
            order => drop(tokio::spawn(self.clone().order(order))),
        }
    }

    /// Has an entry, maybe this one, ask the advice service.
    fn ask(self: &Arc<Self>, entry: Name, request: AdviceRequest) {
        let AdviceRequest { step, workers, cost, .. } = request;
        if entry == self.node.me.name {
            let owner = self.clone();
            tokio::spawn(async move {
                let answer = owner.node.advise(step, &workers, cost).await;
                let now = owner.node.now();
                lock(&owner.cell).handle_advice(now, &entry, step, &workers, answer);
                owner.wake.notify_one();
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
            lock(&self.cell).remove_entry(&entry);
            self.wake.notify_one();
        }
    }

    async fn tick(self: Arc<Self>) {
        let mut timer = tokio::time::interval(TICK.duration());
        timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            timer.tick().await;
            let now = self.node.now();
            let is_late = self.note_lag(now);
            let load = {
                let mut cell = lock(&self.cell);
                cell.set_overloaded(is_late);
                cell.tick(now, Millis::now());
                *lock(&self.loads) = cell.service_loads();
                cell.stats()
            };
            self.node.metrics.loaded(&load);
            self.wake.notify_one();
        }
    }

    /// Takes note of a tick; whether the processor does not keep up.
    fn note_lag(&self, now: Millis) -> bool {
        let mut lag = lock(&self.lag);
        let before = lag.is_shedding();
        lag.record_tick(now, TICK);
        if lag.is_shedding() != before {
            let (cell, epoch) = (self.view.cell, self.epoch);
            log::info!("event=overload cell={cell} epoch={epoch} sheds={}", lag.is_shedding());
        }
        lag.is_shedding()
    }

    async fn follow_policy(self: Arc<Self>) {
        let mut policies = self.node.policy.subscribe();
        loop {
            let policy = policies.borrow_and_update().clone();
            {
                let mut cell = lock(&self.cell);
                cell.set_queues(policy.queues.clone());
                cell.set_workspaces(policy.workspaces.clone());
            }
            self.wake.notify_one();
            if policies.changed().await.is_err() {
                return;
            }
        }
    }

    /// Another entry asks this owner from now on.
    pub fn join(&self, entry: Name, cpu: u32, is_home: bool, out: Out) {
        log::info!("event=entry-joined cell={} entry={entry} epoch={}", self.view.cell, self.epoch);
        lock(&self.peers).insert(entry.clone(), out);
        // The cell is handed only to entries that belong to it.
        let cpu = if is_home { cpu } else { 0 };
        lock(&self.authority).add_peer(self.node.now(), &entry, cpu);
        if self.node.adviser.is_some() {
            lock(&self.cell).add_entry(entry, is_home);
        }
        self.wake.notify_one();
    }

    /// Its connection ended, unless it has a newer one.
    pub fn leave(&self, entry: &Name, out: &Out) {
        let mut peers = lock(&self.peers);
        if peers.get(entry).is_some_and(|known| known.same_channel(out)) {
            let (cell, epoch) = (self.view.cell, self.epoch);
            log::info!("event=entry-left cell={cell} entry={entry} epoch={epoch}");
            peers.remove(entry);
            drop(peers);
            lock(&self.cell).remove_entry(entry);
            self.wake.notify_one();
        }
    }

    /// An entry says whether it can read the log.
    pub fn pinged(&self, entry: &Name, store: bool) {
        lock(&self.authority).update_peer(self.node.now(), entry, store);
    }

    /// Answers an entry.
    pub async fn answer(self: &Arc<Self>, entry: &Name, ask: Ask) -> Tell {
        self.notice_pause(self.node.now());
        // Another entry may own the cell by now, and know more of its jobs. What entries tell is taken in all
        // the same: an answer of the advice service that was turned away left its step waiting for good.
        let is_late = ask.is_callers() && self.woke.load(Ordering::Relaxed);
        if self.is_over() || is_late {
            return Tell::Refused(Refused::NotOwner);
        }
        match ask {
            Ask::Hello { .. } | Ask::Ping { .. } | Ask::Probed { .. } => Tell::Done,
            Ask::Submit { job, queue, work, workspace, stay } => {
                if !stay
                    && let Err(refused) =
                        self.send_elsewhere(job, &queue, &work, workspace.as_ref())
                {
                    return Tell::Refused(refused);
                }
                self.submit(job, &queue, work, workspace).await
            }
            Ask::State { job, .. } | Ask::Cancel { job, .. } if self.forwarded(job).is_some() => {
                self.forwarded(job).map_or(Tell::InDoubt, |cell| Tell::Moved { cell })
            }
            Ask::Forget { job } => {
                lock(&self.cell).forget_forwarded(job);
                self.write.notify_one();
                Tell::Done
            }
            Ask::State { job, workspace } => {
                let cell = lock(&self.cell);
                let is_visible = cell.is_visible(job, workspace.as_ref());
                Tell::State(cell.job_state(job).filter(|_| is_visible))
            }
            Ask::Pending { queue } => Tell::Pending(lock(&self.cell).pending_jobs(&queue)),
            Ask::Cancel { job, workspace } => {
                let batch = {
                    let mut cell = lock(&self.cell);
                    let is_visible = cell.is_visible(job, workspace.as_ref());
                    is_visible.then(|| cell.cancel(self.node.now(), job)).flatten()
                };
                self.wake.notify_one();
                match batch {
                    None => Tell::Cancelled(false),
                    Some(batch) if self.is_kept(batch).await => Tell::Cancelled(true),
                    Some(_) => Tell::InDoubt,
                }
            }
            Ask::Advised { step, named, answer } => {
                lock(&self.cell).handle_advice(self.node.now(), entry, step, &named, answer);
                self.wake.notify_one();
                Tell::Done
            }
        }
    }

    async fn submit(
        self: &Arc<Self>,
        job: JobKey,
        queue: &str,
        work: Arc<Work>,
        workspace: Option<Name>,
    ) -> Tell {
        let batch = {
            let mut cell = lock(&self.cell);
            if !cell.is_visible(job, workspace.as_ref()) {
                log::warn!("event=refused job={job} why=another-workspace epoch={}", self.epoch);
                return Tell::Refused(Refused::NotYours);
            }
            if !cell.knows_job(job) && !self.may_accept() {
                let age = lock(&self.authority).heartbeat_age(self.node.now());
                log::info!(
                    "event=refused job={job} why=no-store epoch={} beat_ms={age}",
                    self.epoch
                );
                return Tell::Refused(Refused::NoStore);
            }
            if !cell.knows_job(job) && lock(&self.lag).is_shedding() {
                log::info!("event=refused job={job} why=overload epoch={}", self.epoch);
                return Tell::Refused(Refused::Overload);
            }
            match cell.job_batch(job) {
                Some(batch) => Some(batch),
                None => cell.submit_for_workspace(self.node.now(), job, queue, work, workspace),
            }
        };
        if batch.is_none() {
            return Tell::Refused(Refused::NoQueue);
        }
        self.write.notify_one();
        let mut kept = self.kept.subscribe();
        let mut over = self.over.subscribe();
        loop {
            let known = lock(&self.cell).job_batch(job);
            match known {
                None => return Tell::Refused(Refused::NoStore),
                Some(batch) if batch <= *kept.borrow_and_update() => {
                    let cell = self.forwarded(job);
                    return cell.map_or(Tell::Accepted, |cell| Tell::Moved { cell });
                }
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
        let heard = lock(&self.authority).heartbeat_age(self.node.now()) < STORE_FRESH;
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
        while self.node.now() < until && lock(&self.cell).has_unstored() {
            tokio::time::sleep(SETTLE_LOOK.duration()).await;
        }
    }
}
