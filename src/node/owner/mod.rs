//! The owner of the cell: the shell around [`Cell`], which decides.

mod forward;
mod history;
mod store;
mod transfer;
mod workers;

use crate::cell::advising::advice::AdviceRequest;
use crate::cell::jobs::lifecycle::TICK_INTERVAL;
use crate::cell::owner::authority::Authority;
use crate::cell::owner::balance::Load;
use crate::cell::owner::election::SILENCE;
use crate::cell::owner::lag::Lag;
use crate::cell::owner::witness::Witnesses;
use crate::cell::{Action, Cell, CellConfig};
use crate::clock::Millis;
use crate::id::Name;
use crate::node::frame::{FrameSender, encode};
use crate::node::msg::{EntryMessage, OwnerMessage, RefusalReason};
use crate::node::view::CellView;
use crate::node::{Node, lock};
use crate::workload::{JobDefinition, JobKey};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::sync::{Notify, Semaphore, watch};

/// Without a heartbeat in the log for this long no job is accepted: it could not be kept in time.
/// With a store 60 times slower than usual heartbeats take up to 900 ms.
const HEARTBEAT_MAX_AGE: Millis = Millis(1_000);

/// Time between two looks at whether all is written.
const FLUSH_POLL_INTERVAL: Millis = Millis(20);
/// The owner.
#[derive(Debug)]
pub(super) struct Owner {
    node: Arc<Node>,
    view: Arc<CellView>,
    epoch: u64,
    cell: Mutex<Cell>,
    /// The batch up to which all is in the store.
    stored_batch: watch::Sender<u64>,
    /// There may be something to do or to write.
    schedule_wake: Notify,
    write_wake: Notify,
    /// It is not the owner any more.
    ended: watch::Sender<bool>,
    /// The other entries that ask this owner.
    peers: Mutex<HashMap<Name, FrameSender>>,
    authority: Mutex<Authority>,
    /// What the other entries know of the time before.
    witnesses: Mutex<Witnesses>,
    lag: Mutex<Lag>,
    /// Pauses of the process that the cell knows of.
    known_pauses: AtomicU64,
    /// No heartbeat has been confirmed since the last pause.
    is_unconfirmed: AtomicBool,
    /// The store takes records.
    store_up: AtomicBool,
    /// Wakes the watch of a worker for a report at once.
    report_wakes: Mutex<HashMap<Name, Arc<Notify>>>,
    /// What the cell has to do, as of the last tick.
    loads: Mutex<Vec<Load>>,
    /// Bounds how many orders each worker is given at once.
    order_permits: Mutex<HashMap<Name, Arc<Semaphore>>>,
}

impl CellView {
    /// Takes the cell over and owns it until another entry does, or this one is released.
    pub(super) async fn run_owner(self: Arc<Self>, epoch: u64) {
        let started = self.now();
        let Some((snapshot, listed)) = self.recover(epoch).await else {
            self.ended_epoch.fetch_max(epoch, Ordering::Relaxed);
            return;
        };
        let doubt = !lock(&self.election).is_steady(self.now());
        log::info!(
            "event=takeover cell={} epoch={epoch} jobs={} roster={} listed={} doubt={doubt} took_ms={}",
            self.cell,
            snapshot.jobs.len(),
            snapshot.workers.len(),
            listed.len(),
            self.now().since(started)
        );
        let node = &self.node;
        let (lease, keep, off) =
            (node.lease(), node.settings.job_retention, node.settings.disabled);
        let bounds = CellConfig {
            lease,
            max_lease: node.settings.max_lease,
            job_retention: keep,
            disabled: off,
        };
        let policy = node.policy();
        let mut cell = Cell::new(epoch, bounds, policy.queues.clone(), snapshot, doubt, self.now());
        cell.set_workspaces(policy.workspaces.clone());
        cell.set_workers(self.now(), listed);
        if node.adviser.is_some() {
            cell.add_entry(self.entry_name().clone(), self.is_home);
        }
        let mut authority = Authority::new(self.now());
        authority.expect(self.now(), self.entry_count.load(Ordering::Relaxed));
        let owner = Arc::new(Owner {
            epoch,
            cell: Mutex::new(cell),
            stored_batch: watch::channel(0).0,
            schedule_wake: Notify::new(),
            write_wake: Notify::new(),
            ended: watch::channel(false).0,
            peers: Mutex::default(),
            authority: Mutex::new(authority),
            witnesses: Mutex::default(),
            lag: Mutex::new(Lag::new(self.now())),
            known_pauses: AtomicU64::new(node.clock.pause_count()),
            is_unconfirmed: AtomicBool::new(false),
            store_up: AtomicBool::new(true),
            report_wakes: Mutex::default(),
            loads: Mutex::default(),
            order_permits: Mutex::default(),
            node: node.clone(),
            view: self.clone(),
        });
        self.owner.send_replace(Some(owner.clone()));
        owner.clone().run().await;
        self.ended_epoch.fetch_max(epoch, Ordering::Relaxed);
        self.owner.send_if_modified(|current| {
            let is_same = current.as_ref().is_some_and(|current| current.epoch == epoch);
            if is_same {
                *current = None;
            }
            is_same
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
    pub fn has_ended(&self) -> bool {
        *self.ended.borrow()
    }

    /// Gives the cell up: nothing is ordered or written any more.
    pub fn end(&self) {
        self.ended.send_replace(true);
    }

    async fn run(self: Arc<Self>) {
        let mut ended = self.ended.subscribe();
        self.schedule_wake.notify_one();
        tokio::select! {
            () = self.clone().run_actions() => {}
            () = self.clone().write_batches() => {}
            () = self.clone().tick() => {}
            () = self.clone().follow_workers() => {}
            () = self.clone().follow_policy() => {}
            () = self.clone().watch_for_transfer() => {}
            _ = ended.wait_for(|ended| *ended) => {}
        }
        self.end();
    }

    /// A heartbeat that was sent at `sent` is in the log.
    pub fn confirm_heartbeat(&self, sent: Millis) {
        lock(&self.authority).confirm(sent);
        if self.node.now().since(sent) < SILENCE {
            self.is_unconfirmed.store(false, Ordering::Relaxed);
        }
        // Without jobs there may be no batch that shows that the store takes records again.
        if !self.store_up.swap(true, Ordering::Relaxed) {
            log::info!("event=store-back epoch={}", self.epoch);
            self.write_wake.notify_one();
        }
    }

    /// Whether orders may go out: no other entry can have claimed the cell.
    fn has_authority(&self) -> bool {
        let now = self.node.now();
        self.check_for_pause(now);
        lock(&self.authority).holds(now)
    }

    /// After a pause of the process or its machine, what the cell believes of workers is too old: nothing
    /// starts before the list of them is read again, and each has reported.
    fn check_for_pause(&self, now: Millis) {
        let pauses = self.node.clock.pause_count();
        if self.known_pauses.swap(pauses, Ordering::Relaxed) != pauses {
            self.is_unconfirmed.store(true, Ordering::Relaxed);
            lock(&self.cell).resume_after_pause(now);
        }
    }

    /// Whether callers may come: this surely is the owner, and the store takes records.
    pub fn is_serving(&self) -> bool {
        !self.has_ended() && self.can_accept_jobs() && self.has_authority()
    }

    /// Does what the cell decides.
    async fn run_actions(self: Arc<Self>) {
        loop {
            self.schedule_wake.notified().await;
            let actions = {
                let has_authority = self.has_authority();
                let mut cell = lock(&self.cell);
                let now = self.node.now();
                match has_authority {
                    true => cell.schedule(now),
                    false => cell.give_up_starts("no-authority"),
                }
                if lock(&self.authority).rests_on_peers(now) {
                    cell.send_unkept(now);
                    self.note_unlogged_starts(now);
                }
                cell.take_actions()
            };
            for action in actions {
                self.execute(action);
            }
            self.write_wake.notify_one();
        }
    }

    fn execute(self: &Arc<Self>, action: Action) {
        match action {
            Action::Deposed => {
                log::info!("event=deposed epoch={} by=fence", self.epoch);
                self.end();
            }
            Action::Watch(listed) => drop(tokio::spawn(self.clone().watch_worker(listed))),
            Action::Unwatch(worker) => {
                // The watching task ends by itself: the cell does not know the worker any more.
                if let Some(report_wake) = lock(&self.report_wakes).remove(&worker) {
                    report_wake.notify_one();
                }
                lock(&self.order_permits).remove(&worker);
            }
            Action::PollNow(worker) => {
                if let Some(report_wake) = lock(&self.report_wakes).get(&worker) {
                    report_wake.notify_one();
                }
            }
            Action::RequestAdvice { entry, request: question } => {
                self.request_advice(entry, question)
            }
            Action::JobForgotten(job, workspace) => {
                self.forget_at_home_cell(job, workspace.as_ref())
            }
            order => drop(tokio::spawn(self.clone().send_order(order))),
        }
    }

    /// Has an entry, maybe this one, ask the advice service.
    fn request_advice(self: &Arc<Self>, entry: Name, question: AdviceRequest) {
        let AdviceRequest { step, workers, cost, .. } = question;
        if entry == self.node.id.name {
            let owner = self.clone();
            tokio::spawn(async move {
                let answer = owner.node.advise(step, &workers, cost).await;
                let now = owner.node.now();
                lock(&owner.cell).advised(now, &entry, step, &workers, answer);
                owner.schedule_wake.notify_one();
            });
            return;
        }
        let sender = lock(&self.peers).get(&entry).cloned();
        let frame = encode(0, OwnerMessage::AskAdvice { step, workers, cost });
        let sent = match (sender, frame) {
            (Some(sender), Ok(frame)) => sender.try_send(frame).is_ok(),
            _ => false,
        };
        if !sent {
            log::info!("event=question-lost entry={entry} step={step}");
            lock(&self.cell).remove_entry(&entry);
            self.schedule_wake.notify_one();
        }
    }

    async fn tick(self: Arc<Self>) {
        let mut timer = tokio::time::interval(TICK_INTERVAL.duration());
        timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            timer.tick().await;
            let now = self.node.now();
            let is_shedding = self.update_lag(now);
            let load = {
                let mut cell = lock(&self.cell);
                cell.set_overloaded(is_shedding);
                cell.tick(now, Millis::now());
                *lock(&self.loads) = cell.loads();
                cell.stats()
            };
            self.node.metrics.set_load(&load);
            self.schedule_wake.notify_one();
        }
    }

    /// Takes note of a tick; whether the processor does not keep up.
    fn update_lag(&self, now: Millis) -> bool {
        let mut lag = lock(&self.lag);
        let was_shedding = lag.sheds();
        lag.tick(now, TICK_INTERVAL);
        if lag.sheds() != was_shedding {
            let (cell, epoch) = (self.view.cell, self.epoch);
            log::info!("event=overload cell={cell} epoch={epoch} sheds={}", lag.sheds());
        }
        lag.sheds()
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
            self.schedule_wake.notify_one();
            if policies.changed().await.is_err() {
                return;
            }
        }
    }

    /// Another entry asks this owner from now on.
    pub fn add_peer(&self, entry: Name, cpu: u32, is_home: bool, sender: FrameSender) {
        log::info!("event=entry-joined cell={} entry={entry} epoch={}", self.view.cell, self.epoch);
        lock(&self.peers).insert(entry.clone(), sender);
        // The cell is handed only to entries that belong to it.
        let cpu = if is_home { cpu } else { 0 };
        lock(&self.authority).join(self.node.now(), &entry, cpu);
        if self.node.adviser.is_some() {
            lock(&self.cell).add_entry(entry, is_home);
        }
        self.schedule_wake.notify_one();
    }

    /// Its connection ended, unless it has a newer one.
    pub fn remove_peer(&self, entry: &Name, sender: &FrameSender) {
        let mut peers = lock(&self.peers);
        if peers.get(entry).is_some_and(|known| known.same_channel(sender)) {
            let (cell, epoch) = (self.view.cell, self.epoch);
            log::info!("event=entry-left cell={cell} entry={entry} epoch={epoch}");
            peers.remove(entry);
            drop(peers);
            lock(&self.cell).remove_entry(entry);
            self.schedule_wake.notify_one();
        }
    }

    /// An entry says whether it can read the log.
    pub fn handle_ping(&self, entry: &Name, log_readable: bool) {
        lock(&self.authority).hear(self.node.now(), entry, log_readable);
    }

    /// Answers an entry.
    pub async fn handle_request(
        self: &Arc<Self>,
        entry: &Name,
        message: EntryMessage,
    ) -> OwnerMessage {
        self.check_for_pause(self.node.now());
        // Another entry may own the cell by now, and know more of its jobs. What entries tell is taken in all
        // the same: an answer of the advice service that was turned away left its step waiting for good.
        let is_stale = message.is_from_caller() && self.is_unconfirmed.load(Ordering::Relaxed);
        if self.has_ended() || is_stale {
            return OwnerMessage::Refused(RefusalReason::NotOwner);
        }
        match message {
            EntryMessage::Hello { .. }
            | EntryMessage::Ping { .. }
            | EntryMessage::LogProbed { .. } => OwnerMessage::Ack,
            EntryMessage::Submit { job, queue, work, workspace, is_forwarded } => {
                if !is_forwarded
                    && let Err(refused) = self.forward_job(job, &queue, &work, workspace.as_ref())
                {
                    return OwnerMessage::Refused(refused);
                }
                self.submit(job, &queue, work, workspace).await
            }
            EntryMessage::State { job, .. } | EntryMessage::Cancel { job, .. }
                if self.forwarded_to(job).is_some() =>
            {
                self.forwarded_to(job)
                    .map_or(OwnerMessage::InDoubt, |cell| OwnerMessage::Moved { cell })
            }
            EntryMessage::Forget { job } => {
                lock(&self.cell).forget_forwarded(job);
                self.write_wake.notify_one();
                OwnerMessage::Ack
            }
            EntryMessage::State { job, workspace } => {
                let cell = lock(&self.cell);
                let is_visible = cell.is_visible(job, workspace.as_ref());
                OwnerMessage::State(cell.job_state(job).filter(|_| is_visible))
            }
            EntryMessage::Pending { queue } => {
                OwnerMessage::Pending(lock(&self.cell).pending_jobs(&queue))
            }
            EntryMessage::Cancel { job, workspace } => {
                let batch = {
                    let mut cell = lock(&self.cell);
                    let is_visible = cell.is_visible(job, workspace.as_ref());
                    is_visible.then(|| cell.cancel(self.node.now(), job)).flatten()
                };
                self.schedule_wake.notify_one();
                match batch {
                    None => OwnerMessage::Cancelled(false),
                    Some(batch) if self.wait_stored(batch).await => OwnerMessage::Cancelled(true),
                    Some(_) => OwnerMessage::InDoubt,
                }
            }
            EntryMessage::Advice { step, candidates, answer } => {
                lock(&self.cell).advised(self.node.now(), entry, step, &candidates, answer);
                self.schedule_wake.notify_one();
                OwnerMessage::Ack
            }
        }
    }

    async fn submit(
        self: &Arc<Self>,
        job: JobKey,
        queue: &str,
        work: Arc<JobDefinition>,
        workspace: Option<Name>,
    ) -> OwnerMessage {
        let batch = {
            let mut cell = lock(&self.cell);
            if !cell.is_visible(job, workspace.as_ref()) {
                log::warn!("event=refused job={job} why=another-workspace epoch={}", self.epoch);
                return OwnerMessage::Refused(RefusalReason::OtherWorkspace);
            }
            if !cell.knows(job) && !self.can_accept_jobs() {
                let age = lock(&self.authority).age(self.node.now());
                log::info!(
                    "event=refused job={job} why=no-store epoch={} beat_ms={age}",
                    self.epoch
                );
                return OwnerMessage::Refused(RefusalReason::StoreUnavailable);
            }
            if !cell.knows(job) && lock(&self.lag).sheds() {
                log::info!("event=refused job={job} why=overload epoch={}", self.epoch);
                return OwnerMessage::Refused(RefusalReason::Overload);
            }
            match cell.job_batch(job) {
                Some(batch) => Some(batch),
                None => cell.submit_for_workspace(self.node.now(), job, queue, work, workspace),
            }
        };
        if batch.is_none() {
            return OwnerMessage::Refused(RefusalReason::UnknownQueue);
        }
        self.write_wake.notify_one();
        let mut stored = self.stored_batch.subscribe();
        let mut ended = self.ended.subscribe();
        loop {
            let known = lock(&self.cell).job_batch(job);
            match known {
                None => return OwnerMessage::Refused(RefusalReason::StoreUnavailable),
                Some(batch) if batch <= *stored.borrow_and_update() => {
                    let cell = self.forwarded_to(job);
                    return cell
                        .map_or(OwnerMessage::Accepted, |cell| OwnerMessage::Moved { cell });
                }
                Some(_) => {}
            }
            tokio::select! {
                changed = stored.changed() => if changed.is_err() { return OwnerMessage::InDoubt },
                _ = ended.wait_for(|ended| *ended) => return OwnerMessage::InDoubt,
            }
        }
    }

    /// Whether new jobs are taken: the store took the last batch, and a heartbeat a moment ago.
    fn can_accept_jobs(&self) -> bool {
        let is_fresh = lock(&self.authority).age(self.node.now()) < HEARTBEAT_MAX_AGE;
        is_fresh && self.store_up.load(Ordering::Relaxed)
    }

    /// Waits until a batch is in the store; `false`: this is not the owner any more.
    async fn wait_stored(&self, batch: u64) -> bool {
        let mut stored = self.stored_batch.subscribe();
        let mut ended = self.ended.subscribe();
        tokio::select! {
            stored = stored.wait_for(|stored| *stored >= batch) => stored.is_ok(),
            _ = ended.wait_for(|ended| *ended) => false,
        }
    }

    /// Writes what is left, as well as the store allows within `timeout`.
    pub async fn flush(&self, timeout: Millis) {
        let deadline = self.node.now() + timeout;
        while self.node.now() < deadline && lock(&self.cell).has_unstored() {
            tokio::time::sleep(FLUSH_POLL_INTERVAL.duration()).await;
        }
    }
}
