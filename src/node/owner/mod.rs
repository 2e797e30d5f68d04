//! The owner of a cell: runs the tasks, timers and I/O around [`Cell`], which makes the scheduling
//! decisions.

mod actions;
mod forward;
mod history;
mod list;
pub(super) mod peers;
mod requests;
mod store;
mod transfer;
mod workers;

use crate::cell::jobs::lifecycle::TICK_INTERVAL;
use crate::cell::owner::admission::Admission;
use crate::cell::owner::authority::Authority;
use crate::cell::owner::balance::ServiceLoad;
use crate::cell::owner::claim_record::FinalState;
use crate::cell::owner::claimants::ClaimantUpdate;
use crate::cell::owner::connections::{ConnectionNumber, Connections};
use crate::cell::owner::election::OWNER_TIMEOUT;
use crate::cell::owner::lag::TickLag;
use crate::cell::owner::log_reports::LogReports;
use crate::cell::records::journal::{LeaseBounds, Snapshot};
use crate::cell::records::parts::RecordParts;
use crate::cell::{Cell, CellConfig};
use crate::clock::Millis;
use crate::id::Name;
use crate::node::view::CellView;
use crate::node::{Node, lock};
use crate::platform::http::HttpClient;
use peers::Peer;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use store::Recovered;
use tokio::sync::{Notify, watch};
use workers::OrderPermits;

/// Time between two checks of whether all records are written.
const FLUSH_POLL_INTERVAL: Millis = Millis(20);

/// The owner of a cell during one epoch.
#[derive(Debug)]
pub(super) struct Owner {
    node: Arc<Node>,
    view: Arc<CellView>,
    epoch: u64,
    cell: Mutex<Cell>,
    /// The last batch that is in the store; all earlier ones are too.
    stored_batch: watch::Sender<u64>,
    /// Wakes [`Owner::run_actions`].
    schedule_wake: Notify,
    /// Wakes [`Owner::write_batches`].
    write_wake: Notify,
    /// Set once this entry no longer owns the cell.
    ended: watch::Sender<bool>,
    /// The connections of the other entries. Its lock is taken before all others.
    peers: Mutex<Connections<Peer>>,
    authority: Mutex<Authority>,
    /// The reports of the other entries about the time before this epoch.
    witnesses: Mutex<LogReports>,
    lag: Mutex<TickLag>,
    admission: Mutex<Admission>,
    /// The memory of the jobs that other entries have sent and that are not decided, in bytes.
    submitted_bytes: AtomicU64,
    /// The number of process pauses that the cell was told about.
    known_pauses: AtomicU64,
    /// Whether no heartbeat has been confirmed since the last pause.
    is_unconfirmed: AtomicBool,
    /// The store accepted the last batch or heartbeat.
    store_up: AtomicBool,
    /// Makes the task that watches a worker ask for a report at once.
    report_wakes: Mutex<HashMap<Name, Arc<Notify>>>,
    /// The load of the cell by service, as of the last tick.
    loads: Mutex<Vec<ServiceLoad>>,
    /// Limits how many orders are in flight to each worker.
    order_permits: Mutex<HashMap<Name, OrderPermits>>,
    /// The connections to workers. They belong to the ownership, because a worker accepts a limited
    /// number of them and the next owner needs its own.
    worker_http: HttpClient,
}

impl CellView {
    /// Takes over the cell and owns it until another entry claims it or this one gives it up.
    pub(super) async fn run_owner(self: Arc<Self>, epoch: u64) {
        let started = self.now();
        let Some(recovered) = self.recover(epoch).await else {
            self.ended_epoch.fetch_max(epoch, Ordering::Relaxed);
            return;
        };
        let Recovered { mut snapshot, parts, listed } = recovered;
        let unrecorded_starts = self.apply_inheritance(&mut snapshot);
        log::info!(
            "event=takeover cell={} epoch={epoch} jobs={} roster={} leases_known={} unheard={} listed={} doubt={unrecorded_starts} log_ms={} took_ms={}",
            self.cell,
            snapshot.jobs.len(),
            snapshot.workers.len(),
            snapshot.lease_bounds.record.is_some(),
            snapshot.leases.unheard.len(),
            listed.len(),
            lock(&self.election).readable_time(self.now()),
            self.now().since(started)
        );
        let node = &self.node;
        let (lease, job_retention, disabled) =
            (node.lease(), node.settings.job_retention, node.settings.disabled);
        let (max_lease, memory) = (node.settings.max_lease, node.settings.memory);
        let bounds = CellConfig { lease, max_lease, job_retention, disabled, memory };
        let policy = node.policy();
        let mut cell = Cell::new(
            epoch,
            bounds,
            policy.queues.clone(),
            snapshot,
            unrecorded_starts,
            self.now(),
        );
        cell.set_workspaces(policy.workspaces.clone());
        cell.set_drained_domains(node.drained_domains.borrow().clone());
        cell.set_workers(self.now(), listed);
        if node.adviser.is_some() {
            cell.add_entry(self.entry_name().clone(), self.is_home);
        }
        let last_heartbeat = Millis(self.heartbeat_sent.load(Ordering::Relaxed));
        let inherited = lock(&self.election).inherited_claimants().cloned();
        let mut authority = Authority::new(
            self.entry_name().clone(),
            self.now(),
            last_heartbeat,
            inherited.as_ref(),
        );
        authority.expect_peers(self.now(), self.entry_count.load(Ordering::Relaxed));
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
            lag: Mutex::new(TickLag::new(self.now())),
            admission: Mutex::new(Admission::new(self.now())),
            submitted_bytes: AtomicU64::new(0),
            known_pauses: AtomicU64::new(node.clock.pause_count()),
            is_unconfirmed: AtomicBool::new(false),
            store_up: AtomicBool::new(true),
            report_wakes: Mutex::default(),
            loads: Mutex::default(),
            order_permits: Mutex::default(),
            worker_http: HttpClient::default(),
            node: node.clone(),
            view: self.clone(),
        });
        self.owner.send_replace(Some(owner.clone()));
        owner.clone().run(parts).await;
        self.ended_epoch.fetch_max(epoch, Ordering::Relaxed);
        self.owner.send_if_modified(|current| {
            let is_same = current.as_ref().is_some_and(|current| current.epoch == epoch);
            if is_same {
                *current = None;
            }
            is_same
        });
        log::info!("event=ownership-ended cell={} epoch={epoch}", self.cell);
    }
}

impl CellView {
    /// Adds what this entry knows about earlier owners to their records. Returns whether one of them
    /// may have sent starts that are not recorded.
    fn apply_inheritance(&self, snapshot: &mut Snapshot) -> bool {
        let election = lock(&self.election);
        let (history, epoch) = (election.history(), snapshot.leases.epoch);
        let inherited = history.inherited();
        let convert = |time| history.to_own_clock(epoch, time);
        let record = match history.keeps_leases_since(epoch) {
            true => snapshot.leases.map_times(convert),
            false => None,
        };
        snapshot.lease_bounds = LeaseBounds { record, last_end: inherited.last_lease_end };
        !inherited.has_complete_records && !election.is_log_steady(self.now())
    }
}

impl Owner {
    /// The owner's epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether another entry has claimed the cell, or this one has given it up.
    pub fn has_ended(&self) -> bool {
        *self.ended.borrow()
    }

    /// Ends the ownership: no more orders are sent and no more records written.
    pub fn end(&self) {
        self.ended.send_replace(true);
    }

    /// Runs all tasks of the owner until one of them returns or the ownership ends.
    async fn run(self: Arc<Self>, parts: RecordParts) {
        let mut ended = self.ended.subscribe();
        self.schedule_wake.notify_one();
        tokio::select! {
            () = self.clone().run_actions() => {}
            () = self.clone().write_batches(parts) => {}
            () = self.clone().tick() => {}
            () = self.clone().follow_workers() => {}
            () = self.clone().publish_workers() => {}
            () = self.clone().follow_policy() => {}
            () = self.clone().follow_drained_domains() => {}
            () = self.clone().watch_for_transfer() => {}
            _ = ended.wait_for(|ended| *ended) => {}
        }
        self.end();
    }

    /// The claimants as the heartbeat that is sent at `now` names them.
    pub fn claimants(&self, now: Millis) -> ClaimantUpdate {
        lock(&self.authority).claimants(now)
    }

    /// Notes that the heartbeat that was sent at `sent` is in the log, with what it told of the
    /// claimants.
    pub fn confirm_heartbeat(&self, sent: Millis, claimants: ClaimantUpdate) {
        lock(&self.authority).confirm_claimants(sent, claimants);
        if self.node.now().since(sent) < OWNER_TIMEOUT {
            self.is_unconfirmed.store(false, Ordering::Relaxed);
        }
        // Without jobs there may be no batch that shows that the store accepts records again.
        if !self.store_up.swap(true, Ordering::Relaxed) {
            log::info!("event=store-recovered epoch={}", self.epoch);
            self.write_wake.notify_one();
        }
    }

    /// Whether orders may be sent, because no other entry can have claimed the cell.
    fn has_authority(&self) -> bool {
        let now = self.node.now();
        self.check_for_pause(now);
        lock(&self.authority).is_valid(now)
    }

    /// Tells the cell if the process or its VM was paused. What the cell knows about workers is
    /// outdated then, so it starts no task on a worker before the list of workers has been read
    /// again and that worker has reported.
    fn check_for_pause(&self, now: Millis) {
        let pauses = self.node.clock.pause_count();
        if self.known_pauses.swap(pauses, Ordering::Relaxed) != pauses {
            self.is_unconfirmed.store(true, Ordering::Relaxed);
            lock(&self.cell).resume_after_pause(now);
        }
    }

    /// Whether callers can be served: no other entry can own the cell, and the store accepts
    /// records.
    pub fn is_serving(&self) -> bool {
        !self.has_ended() && self.can_accept_jobs() && self.has_authority()
    }

    /// Runs the periodic work of the cell and updates the metrics.
    async fn tick(self: Arc<Self>) {
        let mut timer = tokio::time::interval(TICK_INTERVAL.duration());
        timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            timer.tick().await;
            let now = self.node.now();
            let starts = lock(&self.cell).bound_starts();
            let is_shedding = self.update_lag(now, starts);
            let (load, advice) = {
                let mut cell = lock(&self.cell);
                cell.set_overloaded(is_shedding);
                cell.tick(now, Millis::now());
                *lock(&self.loads) = cell.service_loads();
                (cell.stats(), cell.advice_load(now))
            };
            self.node.metrics.set_load(&load);
            self.node.metrics.set_worker_calls(self.worker_http.counts());
            self.node.metrics.set_advice_load(advice);
            self.node.metrics.set_connected_entries(self.connected_entries());
            self.schedule_wake.notify_one();
        }
    }

    /// Records how late a tick is, and adapts the rate of accepted jobs to it. Returns whether the
    /// owner is overloaded.
    fn update_lag(&self, now: Millis, starts: u64) -> bool {
        let mut lag = lock(&self.lag);
        let was_shedding = lag.is_shedding();
        lag.record_tick(now, TICK_INTERVAL);
        if lag.is_shedding() != was_shedding {
            let (cell, epoch) = (self.view.cell, self.epoch);
            log::info!(
                "event=overload-changed cell={cell} epoch={epoch} sheds={}",
                lag.is_shedding()
            );
        }
        let mut admission = lock(&self.admission);
        admission.record_tick(now, lag.last_lateness(), lag.is_shedding(), starts);
        self.node.metrics.set_admission_limit(admission.limit());
        lag.is_shedding()
    }

    /// Passes each new version of the policy to the cell.
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

    /// Passes each change of the drained failure domains to the cell.
    async fn follow_drained_domains(self: Arc<Self>) {
        let mut domains = self.node.drained_domains.subscribe();
        loop {
            let drained = domains.borrow_and_update().clone();
            lock(&self.cell).set_drained_domains(drained);
            self.schedule_wake.notify_one();
            if domains.changed().await.is_err() {
                return;
            }
        }
    }

    /// Notes whether an entry can read the log. A ping on a connection that is not used any more may
    /// have waited there while the entry told something else on a newer one.
    pub fn handle_ping(&self, entry: &Name, number: ConnectionNumber, log_readable: bool) {
        if !self.is_used(entry, number) {
            return log::debug!("event=ping-ignored entry={entry} connection={number}");
        }
        lock(&self.authority).update_peer(self.node.now(), entry, log_readable);
    }

    /// Sends no start and renews no lease from now on. Returns the state that is left to the next
    /// owner.
    pub fn leave(&self) -> FinalState {
        lock(&self.cell).leave()
    }

    /// Waits until all records are written, for `timeout` at the most.
    pub async fn flush(&self, timeout: Millis) {
        let deadline = self.node.now() + timeout;
        while self.node.now() < deadline && lock(&self.cell).has_unstored() {
            tokio::time::sleep(FLUSH_POLL_INTERVAL.duration()).await;
        }
    }
}
