//! Follows the list of workers, asks workers for reports and sends them orders.

use crate::cell::Action;
use crate::cell::workers::connection_limit::ConnectionLimit;
use crate::cell::workers::shared_list::ListVersion;
use crate::clock::Millis;
use crate::id::Name;
use crate::node::owner::Owner;
use crate::node::owner::store::READ_TIMEOUT;
use crate::node::view::CellView;
use crate::node::{Node, lock};
use crate::order::{OrderOutcome, WorkerInfo};
use crate::platform::store::{Partition, StoreError, decode_keyed};
use crate::platform::worker::{self, WorkerClient};
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::Semaphore;

/// The partition in which workers register themselves.
pub(super) const WORKERS_PART: Partition<'static> = Partition { topic: worker::TOPIC, index: 0 };
/// Time between two reads of the list of workers. The reads don't wait for the next record: every
/// worker rewrites its own every 1.5 s, so such a wait would end at once.
pub(super) const LIST_READ_INTERVAL: Millis = Millis(400);
/// Time between two reads of the whole list, which show the workers whose records were removed.
pub(super) const FULL_LIST_INTERVAL: Millis = Millis(5_000);
/// How long a worker holds back a report until a run ends. If the answer is lost, the owner learns
/// of ended runs at least this much later; a shorter time costs more reports.
const REPORT_WAIT: Millis = Millis(800);
/// Delay before the next request for a report to a worker that does not answer.
const REPORT_RETRY_DELAY: Millis = Millis(250);
/// How long the request for a report waits until the store has the ended runs that it confirms to
/// the worker: twice the time that this usually takes. A longer wait would keep the owner from
/// learning of later ends while the store is slow.
const CONFIRM_WAIT: Millis = Millis(60);
/// A start is withheld if this much time has passed since it was decided: the worker may have less
/// capacity by now, or another entry may own the cell. Starts queue for 1.2 s at the most if the
/// worker does not answer.
const ORDER_MAX_AGE: Millis = Millis(2_000);
/// Limits how many orders are in flight to a worker.
#[derive(Debug)]
pub(super) struct OrderPermits {
    limit: ConnectionLimit,
    permits: Arc<Semaphore>,
}

impl OrderPermits {
    fn new(limit: ConnectionLimit) -> Self {
        Self { limit, permits: Arc::new(Semaphore::new(limit.orders())) }
    }
}

/// The list of a cell's workers, as its owner knows it.
#[derive(Debug, Default)]
pub(super) struct KnownList {
    pub workers: HashMap<Name, WorkerInfo>,
    /// The offset of the log from which to read on.
    pub next_offset: u64,
    /// The state of the list by the owner that reads it for all; `None` if this one read it itself.
    pub version: Option<ListVersion>,
    /// When the whole list was last read; 0 if it has to be read now.
    pub read_all_at: Millis,
    /// When the list was last passed to the cell.
    pub applied_at: Millis,
    /// The owner that reads the list for all cells gave the last update.
    pub is_followed: bool,
    /// Until when that owner is not asked, because it did not answer.
    pub retry_at: Millis,
}

impl KnownList {
    /// Whether the whole list has to be read.
    pub fn is_whole_due(&self, now: Millis) -> bool {
        self.read_all_at == Millis(0) || now.since(self.read_all_at) >= FULL_LIST_INTERVAL
    }
}

impl Node {
    /// Reads the whole list of workers. Also returns the end offset of the list.
    pub(in crate::node) async fn list_workers(&self) -> Result<(Vec<WorkerInfo>, u64), StoreError> {
        let (items, end) = self.read_latest(WORKERS_PART, READ_TIMEOUT).await?;
        let items = items.into_iter().filter(|item| !item.value.is_empty());
        Ok((items.filter_map(|item| parse_worker(item.key, &item.value)).collect(), end))
    }
}

pub(super) fn parse_worker(id: Name, value: &[u8]) -> Option<WorkerInfo> {
    match worker::parse_worker_entry(id.clone(), value) {
        Ok(listed) => Some(listed),
        Err(err) => {
            log::warn!("event=worker-record-invalid worker={id} error={err}");
            None
        }
    }
}

impl CellView {
    /// Like [`Node::list_workers`], but returns only the workers of this cell.
    pub(super) async fn list_workers(&self) -> Result<(Vec<WorkerInfo>, u64), StoreError> {
        let (mut listed, end) = self.node.list_workers().await?;
        listed.retain(|worker| self.contains(worker));
        Ok((listed, end))
    }

    /// Whether a worker belongs to this cell and to a service that is in the policy.
    pub(super) fn contains(&self, worker: &WorkerInfo) -> bool {
        let is_named = self.node.policy.borrow().services.contains(&worker.service);
        let cells = self.node.cells();
        is_named && cells.is_none_or(|cells| cells.map.cell_of_worker(worker) == self.cell)
    }
}

impl Owner {
    /// Sends an order to a worker and reports its outcome to the cell.
    pub(super) async fn send_order(self: Arc<Self>, action: Action) {
        let name = match &action {
            Action::Start { worker, .. }
            | Action::Stop { worker, .. }
            | Action::Pace { worker, .. } => worker.clone(),
            _ => return,
        };
        let Some(client) = self.worker_client(&name) else { return };
        let decided_at = self.node.now();
        let Some(incarnation) = lock(&self.cell).worker_incarnation(&name) else { return };
        let permits = self.order_permits(&name, client.limit());
        // Acquiring fails only if the semaphore is closed, and it never is.
        let _permit = permits.acquire().await;
        let sent = self.node.now();
        let timeout = lock(&self.lag).timeouts().order;
        // Another entry may have claimed the cell while the order waited for its permit.
        let has_authority = self.has_authority();
        // A restarted worker has seen neither the fence nor the stops that its earlier process had
        // seen, so it would not refuse an outdated order.
        let has_restarted = || lock(&self.cell).has_restarted(&incarnation);
        // The failure domain of the worker may have been drained meanwhile.
        let is_drained = lock(&self.cell).is_drained(&name);
        // An earlier run of the task may have turned out to be done.
        let is_needed = match &action {
            Action::Start { start, .. } => {
                lock(&self.cell).needs_start(&name, start.task, start.run)
            }
            _ => true,
        };
        let is_withheld = !has_authority
            || is_drained
            || !is_needed
            || sent.since(decided_at) >= ORDER_MAX_AGE
            || has_restarted();
        if has_restarted() && !matches!(action, Action::Start { .. }) {
            return log::debug!("event=order-withheld worker={name} why=restarted");
        }
        let (task, run, outcome) = match &action {
            Action::Start { start, .. } if is_withheld => {
                log::info!("event=start-withheld task={} worker={name}", start.task);
                (start.task, start.run, OrderOutcome::Withheld)
            }
            Action::Start { start, until, .. } => {
                (start.task, start.run, client.start(start, *until, timeout).await)
            }
            Action::Stop { task, run, .. } => {
                (*task, *run, client.stop(*task, *run, timeout).await)
            }
            Action::Pace { task, run, percent, .. } => {
                let outcome = client.pace(*task, *run, *percent, timeout).await;
                if !matches!(outcome, OrderOutcome::Done(_)) {
                    log::info!("event=pace-failed task={task} worker={name} outcome={outcome:?}");
                }
                return;
            }
            _ => return,
        };
        let now = self.node.now();
        let is_start = matches!(action, Action::Start { .. });
        self.node.metrics.observe_order(is_start, &outcome, now.since(sent));
        // The worker may have answered before or after its restart.
        let outcome = if has_restarted() { OrderOutcome::Unknown } else { outcome };
        {
            let mut cell = lock(&self.cell);
            match is_start {
                true => cell.on_start_outcome(now, &name, task, run, outcome),
                false => cell.on_stop_outcome(now, &name, task, run, outcome),
            }
        }
        self.schedule_wake.notify_one();
    }

    fn worker_client(&self, name: &Name) -> Option<WorkerClient> {
        let (addr, service) = {
            let cell = lock(&self.cell);
            (cell.worker_addr(name)?, cell.worker_service(name)?)
        };
        let max = self.node.policy().worker_connections.get(&service).copied();
        let (http, limit) = (self.worker_http.clone(), ConnectionLimit::new(max));
        Some(WorkerClient::new(http, addr, name.clone(), self.epoch, limit))
    }

    /// The permits for orders to a worker. A new limit applies to orders from now on.
    fn order_permits(&self, name: &Name, limit: ConnectionLimit) -> Arc<Semaphore> {
        let mut permits = lock(&self.order_permits);
        let known = permits.entry(name.clone()).or_insert_with(|| OrderPermits::new(limit));
        if known.limit != limit {
            *known = OrderPermits::new(limit);
        }
        known.permits.clone()
    }

    /// Asks a worker for reports for as long as the cell knows the worker. Then closes the
    /// connections to it.
    pub(super) async fn watch_worker(self: Arc<Self>, listed: WorkerInfo) {
        let mut addr = listed.addr;
        self.poll_reports(listed.id, &mut addr).await;
        self.worker_http.close(&addr);
    }

    /// Asks a worker for reports for as long as the cell knows the worker. Sets `addr` to the
    /// address that was called last.
    async fn poll_reports(&self, name: Name, addr: &mut Name) {
        let report_wake = lock(&self.report_wakes).entry(name.clone()).or_default().clone();
        // The first report is not held back: it tells which tasks run and what the worker's clock
        // shows, and without the clock no lease can be given.
        let mut wait = Millis(0);
        let mut ended = self.ended.subscribe();
        while !self.has_ended() {
            self.wait_for_ends(&name).await;
            let can_renew = self.has_authority();
            let sent = self.node.now();
            let Some(hold) = lock(&self.cell).report_call(sent, &name, can_renew) else { return };
            // A restarted worker may have another address.
            let Some(client) = self.worker_client(&name) else { return };
            client.addr().clone_into(addr);
            let timeouts = lock(&self.lag).timeouts();
            let result = tokio::select! {
                report = client.renew(hold.confirmed, hold.lease_end, wait, wait + timeouts.report) => report,
                () = report_wake.notified() => {
                    wait = Millis(0);
                    continue;
                }
                // Dropping the call closes its connection.
                _ = ended.wait_for(|ended| *ended) => return,
            };
            let now = self.node.now();
            let retry_later = match &result {
                Ok(report) => {
                    lock(&self.cell).on_report(now, sent, &name, report);
                    wait = if hold.lease_end.is_some() { REPORT_WAIT } else { Millis(0) };
                    hold.lease_end.is_none() && (!can_renew || hold.is_recorded)
                }
                Err(err) => {
                    wait = Millis(0);
                    lock(&self.cell).on_missing_report(now, &name, err)
                }
            };
            self.schedule_wake.notify_one();
            let pause = if retry_later { REPORT_RETRY_DELAY } else { timeouts.interval };
            if pause > Millis(0) {
                tokio::time::sleep(pause.duration()).await;
            }
        }
    }

    /// Waits until the store has the ended runs of a worker's last report, so that the next request
    /// confirms them.
    async fn wait_for_ends(&self, name: &Name) {
        let Some(batch) = lock(&self.cell).unstored_ends_batch(name) else { return };
        let mut stored = self.stored_batch.subscribe();
        let wait = stored.wait_for(|stored| *stored >= batch);
        if tokio::time::timeout(CONFIRM_WAIT.duration(), wait).await.is_err() {
            log::debug!("event=ended-runs-not-stored worker={name} batch={batch}");
        }
    }

    /// Keeps the cell's list of workers up to date.
    pub(super) async fn follow_workers(self: Arc<Self>) {
        let mut known = KnownList::default();
        loop {
            let pauses = self.node.clock.pause_count();
            let result = match self.follow_reader(&mut known).await {
                Some(changed) => Ok(changed),
                None => self.read_list(&mut known).await,
            };
            self.check_for_pause(self.node.now());
            match result {
                // The list may have been read before the pause, so the whole of it is read again.
                _ if self.node.clock.pause_count() != pauses => {
                    known.read_all_at = Millis(0);
                    continue;
                }
                Ok(changed) => {
                    let now = self.node.now();
                    // The policy may name other services since.
                    if changed || now.since(known.applied_at) >= FULL_LIST_INTERVAL {
                        known.applied_at = now;
                        let listed =
                            known.workers.values().filter(|worker| self.view.contains(worker));
                        lock(&self.cell).set_workers(now, listed.cloned().collect());
                        self.schedule_wake.notify_one();
                    }
                }
                Err(err) => {
                    known.read_all_at = Millis(0);
                    log::debug!("event=worker-list-read-failed error={err:?}");
                }
            }
            if !known.is_followed {
                tokio::time::sleep(LIST_READ_INTERVAL.duration()).await;
            }
        }
    }

    /// Reads the list from the store: what changed, or from time to time the whole of it. Returns
    /// whether that changes the list.
    async fn read_list(&self, known: &mut KnownList) -> Result<bool, StoreError> {
        let now = self.node.now();
        let was_followed = known.version.take().is_some();
        if !was_followed && !known.is_whole_due(now) {
            return self.read_changes(&mut known.workers, &mut known.next_offset).await;
        }
        let (listed, end) = self.view.list_workers().await?;
        (known.read_all_at, known.next_offset) = (now, end);
        known.workers = listed.into_iter().map(|worker| (worker.id.clone(), worker)).collect();
        Ok(true)
    }

    /// Reads the records that workers wrote since `next_offset`. Returns whether they change the
    /// list.
    async fn read_changes(
        &self,
        known: &mut HashMap<Name, WorkerInfo>,
        next_offset: &mut u64,
    ) -> Result<bool, StoreError> {
        let read =
            self.node.store.read(WORKERS_PART, *next_offset, Millis(0), READ_TIMEOUT).await?;
        let mut changed = false;
        for (offset, record) in read.records {
            *next_offset = offset + 1;
            let Some((id, value)) = decode_keyed(&record) else { continue };
            let listed = match value.is_empty() {
                true => None,
                false => {
                    parse_worker(id.clone(), &value).filter(|listed| self.view.contains(listed))
                }
            };
            changed |= match listed {
                Some(listed) => known.insert(id, listed.clone()).as_ref() != Some(&listed),
                None => known.remove(&id).is_some(),
            };
        }
        Ok(changed)
    }
}
