//! Ownership of shards: claims, recovery of a shard's state, replication, and the owner's requests
//! to workers.

use crate::clock::Millis;
use crate::controller::quota::LimitPool;
use crate::controller::replica::{ReplicaError, StateSnapshot};
use crate::controller::shard::owner::{Action, Event, ShardOwner};
use crate::controller::shard::{RecoveryStep, StateSource};
use crate::controller::slots::SlotLender;
use crate::entry::{Entry, ShardHandle, lock};
use crate::id::{EntryId, Name, TaskId, hash};
use crate::platform::api::{Report, StartOrder, StopOrder, SyncOrder, TaskReply};
use crate::record::Claim;
use crate::table::Table;
use crate::trace::EventKind;
use crate::wire::msg::{PeerRequest, PeerResponse};
use futures_util::future::join_all;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Interval between checks of claims and of tasks that are due.
const TICK_INTERVAL: Millis = Millis(200);
/// Timeout of a request to a replica.
const REPLICA_TIMEOUT: Millis = Millis(1_000);
/// Delay before a replica is tried again.
const REPLICA_RETRY_DELAY: Millis = Millis(100);
/// Timeout of a request to a worker.
const WORKER_TIMEOUT: Millis = Millis(1_500);

/// A message to a worker.
enum WorkerMessage {
    Start(StartOrder),
    Stop(TaskId),
}

impl Entry {
    /// Periodically claims shards, recovers the state of claimed shards, gives the owned ones a tick,
    /// and refreshes their records in the log.
    pub(super) async fn tick(self: Arc<Self>) {
        let mut timer = tokio::time::interval(TICK_INTERVAL.duration());
        let every = self.settings.refresh_interval;
        let mut refreshed = self.now() - Millis(hash(&[self.me.name.as_bytes()]) % every.0);
        let mut snapshot = 0;
        loop {
            timer.tick().await;
            for handle in self.shards() {
                self.step(&handle, Event::Tick);
                self.fence_own_epochs(&handle);
                self.claim(&handle);
                self.begin_search(handle);
            }
            if self.now().since(refreshed) >= every {
                refreshed = self.now();
                snapshot = self.refresh_log(snapshot);
            }
            self.wake_waiters();
        }
    }

    /// Fences the earlier epochs by a shard in which this entry was the owner, once none of its task
    /// starts from them can still reach a worker.
    fn fence_own_epochs(self: &Arc<Self>, handle: &Arc<ShardHandle>) {
        let epoch = handle.shard().owner().map(|owner| owner.first_epoch());
        if epoch.is_some_and(|epoch| !handle.flights().any_before(self.now(), &epoch)) {
            self.step(handle, Event::OwnerFenced(self.me.clone()));
        }
    }

    /// Appends records again before the log's retention drops them: open jobs of the shards owned
    /// here, and a snapshot with the table and the claims, unless another entry appended one since
    /// the snapshot at offset `last`. Returns the offset of the last snapshot.
    fn refresh_log(self: &Arc<Self>, last: u64) -> u64 {
        for handle in self.shards() {
            self.step(&handle, Event::RefreshLog);
        }
        let newest = lock(&self.fold).snapshot_at();
        if newest == last {
            self.append_snapshot();
        }
        newest
    }

    fn claim(self: &Arc<Self>, handle: &Arc<ShardHandle>) {
        if self.stop_requested() || !self.is_log_fresh() {
            return;
        }
        let now = self.now();
        let peers = lock(&self.peers).claimants();
        let fold = lock(&self.fold);
        if !fold.synced() {
            return;
        }
        let claim = lock(&self.claimant).decide(now, &handle.id, &fold.claims, &peers);
        drop(fold);
        if let Some(claim) = claim {
            self.writer.append_claim(claim, now);
        }
    }

    /// Applies a new claim from the log on a shard of this failure domain.
    pub(super) fn apply_claim(self: &Arc<Self>, claim: Claim) {
        let handle = self.open_shard(&claim.shard);
        let (history, log) = {
            let fold = lock(&self.fold);
            (fold.claims.history(&claim.shard).to_vec(), fold.state(&claim.shard))
        };
        let deposed = handle.shard().on_claim(self.now(), &claim, &history, log);
        let (shard, epoch) = (claim.shard.clone(), claim.epoch);
        match () {
            _ if deposed => self.trace.record(EventKind::OwnershipLost { shard, epoch }),
            _ if claim.owner == self.me => {
                self.trace.record(EventKind::ElectionWon { shard, epoch })
            }
            _ => self.trace.record(EventKind::EpochSealed { shard, epoch }),
        }
        handle.replication_due.notify_one();
        self.state_changed.notify_one();
        self.begin_search(handle);
    }

    /// Starts the search for the state of a shard that this entry claimed, in a task of its own, so
    /// that a replica that does not answer delays no other shard.
    fn begin_search(self: &Arc<Self>, handle: Arc<ShardHandle>) {
        let wanted = handle.shard().pending_claim().is_some();
        if !wanted || handle.is_searching.swap(true, Ordering::SeqCst) {
            return;
        }
        let entry = self.clone();
        tokio::spawn(async move {
            entry.search(&handle).await;
            handle.is_searching.store(false, Ordering::SeqCst);
        });
    }

    async fn search(self: &Arc<Self>, handle: &Arc<ShardHandle>) {
        let found = handle.shard().next_recovery_step(self.now(), |id| self.is_gone(id));
        match found {
            RecoveryStep::Idle => {}
            RecoveryStep::Ask(ids) => self.seal_replicas(handle, ids).await,
            RecoveryStep::Ready(source) => self.take_ownership(handle, source),
        }
    }

    /// Asks replicas to seal a shard for this entry's claim. The answer of any one of them is enough.
    async fn seal_replicas(self: &Arc<Self>, handle: &Arc<ShardHandle>, ids: BTreeSet<EntryId>) {
        let Some(epoch) = handle.shard().pending_claim().map(|claim| claim.epoch) else { return };
        let others = ids.into_iter().filter(|id| *id != self.me);
        let requests = others.map(|id| async move {
            let answer = self.request_seal(&id, &handle.id, epoch).await;
            if let Some(state) = answer {
                handle.shard().record_sealed(&id, epoch, state);
            }
        });
        join_all(requests).await;
    }

    async fn request_seal(&self, id: &EntryId, shard: &Name, epoch: u64) -> Option<StateSnapshot> {
        let (addr, present) = {
            let peers = lock(&self.peers);
            (peers.addr(&id.name)?, peers.incarnation(&id.name)?)
        };
        if present != id.incarnation {
            return None;
        }
        let request = PeerRequest::Seal { shard: shard.clone(), epoch };
        match self.quic.request(&id.name, addr, request, REPLICA_TIMEOUT).await {
            Ok(PeerResponse::Sealed { by, state }) if by == *id => Some(state),
            _ => None,
        }
    }

    fn take_ownership(self: &Arc<Self>, handle: &Arc<ShardHandle>, source: StateSource) {
        let now = self.now();
        let Some(claim) = handle.shard().pending_claim().cloned() else { return };
        let from = match &source {
            StateSource::State(state) => format!("epoch-{}-note-{}", state.epoch, state.seq),
            StateSource::Rebuild => "log".to_string(),
        };
        let (former, jobs) = lock(&self.fold).before(&claim);
        let mut shard_owner = ShardOwner::new(&claim, source, former, jobs, self.table(), now);
        shard_owner.set_shards(self.known_shards());
        if !handle.shard().become_owner(shard_owner) {
            return;
        }
        let (shard, epoch) = (handle.id.clone(), claim.epoch);
        self.begin_ownership(
            handle,
            epoch,
            EventKind::OwnershipTaken { shard, epoch, from: from.into() },
        );
    }

    /// Sets up the ownership of a shard: lent slots and quota start from nothing, and all workers are
    /// asked for their reports.
    pub(super) fn begin_ownership(
        self: &Arc<Self>,
        handle: &Arc<ShardHandle>,
        epoch: u64,
        what: EventKind,
    ) {
        *handle.lender() =
            if epoch == 1 { SlotLender::first() } else { SlotLender::new(self.now()) };
        *handle.pool() = LimitPool::new(epoch);
        self.trace.record(what);
        self.pass_vm_list(handle);
        self.drop_gone_entries(handle);
        self.state_changed.notify_one();
        self.sync_shard(handle);
    }

    /// Passes a new table to the shards owned here.
    pub(super) fn pass_table(self: &Arc<Self>, table: &Arc<Table>) {
        for handle in self.shards() {
            self.step(&handle, Event::Table(table.clone()));
        }
    }

    /// Tells the owner of a shard up to which change its state is in the log.
    pub(super) fn apply_logged(self: &Arc<Self>, shard: &Name, epoch: u64, seq: u64) {
        if let Some(handle) = self.handle(shard) {
            self.step(&handle, Event::Logged { epoch, seq });
        }
    }

    /// Passes an event to a shard if this entry owns it, and performs the resulting actions. Returns
    /// whether it does.
    pub(crate) fn step(self: &Arc<Self>, handle: &Arc<ShardHandle>, event: Event) -> bool {
        let now = self.now();
        let (epoch, actions, starts) = {
            let mut shard = handle.shard();
            let Some(shard_owner) = shard.owner() else { return false };
            let epoch = shard_owner.epoch();
            let actions = shard_owner.step(now, event);
            let starts: Vec<(Name, Option<Name>)> = actions
                .iter()
                .filter_map(|action| match action {
                    Action::Start { worker, .. } | Action::Stop { worker, .. } => {
                        Some((worker.clone(), shard_owner.worker_addr(worker)))
                    }
                    _ => None,
                })
                .collect();
            let sent = actions.iter().filter(|action| matches!(action, Action::Start { .. }));
            handle.flights().begin(epoch, sent.count());
            (epoch, actions, starts)
        };
        self.perform_actions(handle, epoch, actions, starts);
        true
    }

    fn perform_actions(
        self: &Arc<Self>,
        handle: &Arc<ShardHandle>,
        epoch: u64,
        actions: Vec<Action>,
        addrs: Vec<(Name, Option<Name>)>,
    ) {
        let addr = |worker: &Name| {
            let found = addrs.iter().find(|(name, _)| name == worker);
            found.and_then(|(_, addr)| addr.clone()).unwrap_or_else(|| "0.0.0.0:0".into())
        };
        let mut records = Vec::new();
        for action in actions {
            match action {
                Action::Replicate => handle.replication_due.notify_one(),
                Action::RequestShares => handle.quota_wanted.notify_one(),
                Action::Start { worker, order } => {
                    let (addr, task) = (addr(&worker), order.task.clone());
                    self.send_to_worker(handle, epoch, addr, task, WorkerMessage::Start(order));
                }
                Action::Stop { worker, task } => {
                    let (addr, id) = (addr(&worker), task.clone());
                    self.send_to_worker(handle, epoch, addr, id, WorkerMessage::Stop(task));
                }
                Action::Reply { token, answer } => {
                    if let Some(reply) = lock(&self.pending_replies).remove(&token) {
                        let _ = reply.send(answer);
                    }
                }
                Action::Append(record) => records.push(record),
                Action::Trace(what) => self.record(what),
            }
        }
        self.writer.append(records);
    }

    /// Records an event of an owned shard in the timeline and the metrics.
    fn record(&self, what: EventKind) {
        match &what {
            EventKind::TaskBound { waited, .. } => self.metrics.waited(waited.0),
            EventKind::StartSent { .. } => self.metrics.starts.inc(),
            EventKind::TaskEnded { .. } => self.metrics.ended.inc(),
            _ => {}
        }
        self.trace.record(what);
    }

    /// Sends a task start or stop to a worker and passes the reply to the owner.
    fn send_to_worker(
        self: &Arc<Self>,
        handle: &Arc<ShardHandle>,
        epoch: u64,
        addr: Name,
        task: TaskId,
        message: WorkerMessage,
    ) {
        let (entry, handle) = (self.clone(), handle.clone());
        tokio::spawn(async move {
            let stop = matches!(message, WorkerMessage::Stop(_));
            let reply = entry.post_to_worker(&addr, message).await;
            entry.step(&handle, Event::CommandReply { task, stop, reply });
            if !stop {
                handle.flights().end(entry.now(), &epoch);
            }
        });
    }

    async fn post_to_worker(&self, addr: &Name, message: WorkerMessage) -> Option<TaskReply> {
        let me = &self.me.name;
        let reply = match message {
            WorkerMessage::Start(mut order) => {
                order.stamp = self.trace.stamp();
                self.http.post_json(me, addr, "/start", &order, WORKER_TIMEOUT).await
            }
            WorkerMessage::Stop(task) => {
                let order = StopOrder { task };
                self.http.post_json(me, addr, "/stop", &order, WORKER_TIMEOUT).await
            }
        };
        reply.ok()
    }

    /// Periodically renews the leases of all workers of the shards owned here and reads their reports.
    pub(super) async fn sync_workers(self: Arc<Self>) {
        let mut timer = tokio::time::interval(self.settings.sync_interval.duration());
        loop {
            timer.tick().await;
            for handle in self.shards() {
                self.sync_shard(&handle);
                tokio::spawn(self.clone().renew_as_replica(handle));
            }
        }
    }

    /// Renews the leases of all workers of a shard if this entry owns it.
    fn sync_shard(self: &Arc<Self>, handle: &Arc<ShardHandle>) {
        let workers = handle.shard().owner().map(|owner| owner.workers());
        for worker in workers.unwrap_or_default() {
            tokio::spawn(self.clone().sync_worker(handle.clone(), worker));
        }
    }

    async fn sync_worker(self: Arc<Self>, handle: Arc<ShardHandle>, worker: Name) {
        let order = handle.shard().owner().and_then(|owner| owner.sync_order(&worker));
        let Some((addr, order)) = order else { return };
        let asked = self.now();
        let report = self.sync(&addr, &order).await;
        if let Some(report) = report {
            self.step(&handle, Event::Report { worker, asked, report });
        }
    }

    async fn sync(&self, addr: &str, order: &SyncOrder) -> Option<Report> {
        self.http.post_json(&self.me.name, addr, "/sync", order, WORKER_TIMEOUT).await.ok()
    }

    /// Renews the workers' leases as a replica while the owner sends no heartbeats. This is safe
    /// because a renewal starts no tasks.
    async fn renew_as_replica(self: Arc<Self>, handle: Arc<ShardHandle>) {
        let Some(owner) = self.owner_of(&handle.id) else { return };
        let here = owner == self.me.name && handle.shard().owner().is_some();
        if here || lock(&self.peers).is_heard(self.now(), &owner) {
            return;
        }
        let list = lock(&self.vm_lists).newest().clone();
        let orders = handle.shard().replica().renewals();
        for (worker, order) in orders {
            let vm = list.vms.iter().find(|vm| vm.name == worker);
            if let Some(vm) = vm {
                self.sync(&vm.addr, &order).await;
            }
        }
    }

    /// Replicates the state changes of an owned shard to its replicas, or to the log if it has none.
    pub(super) async fn replicate(self: Arc<Self>, handle: Arc<ShardHandle>) {
        loop {
            handle.replication_due.notified().await;
            while self.replicate_once(&handle).await {}
        }
    }

    /// Sends each replica the changes that it lacks; returns whether any were sent.
    async fn replicate_once(self: &Arc<Self>, handle: &Arc<ShardHandle>) -> bool {
        let (updates, record) = {
            let mut shard = handle.shard();
            let Some(shard_owner) = shard.owner() else { return false };
            let record = shard_owner.log_record();
            let replicas = shard_owner.replicas().into_iter();
            let updates: Vec<_> = replicas
                .filter_map(|id| shard_owner.update_for(&id).map(|update| (id, update)))
                .collect();
            (updates, record)
        };
        if let Some(record) = record {
            self.writer.append_now(record);
        }
        let sends = updates.into_iter().map(|(id, update)| async move {
            let epoch = update.epoch;
            let request = PeerRequest::Update { shard: handle.id.clone(), update };
            self.send_update(handle, id, epoch, request).await;
        });
        let sends: Vec<_> = sends.collect();
        let sent = !sends.is_empty();
        join_all(sends).await;
        sent
    }

    async fn send_update(
        self: &Arc<Self>,
        handle: &Arc<ShardHandle>,
        id: EntryId,
        epoch: u64,
        request: PeerRequest,
    ) {
        let addr = lock(&self.peers).addr(&id.name);
        let Some(addr) = addr else {
            return tokio::time::sleep(REPLICA_RETRY_DELAY.duration()).await;
        };
        match self.quic.request(&id.name, addr, request, REPLICA_TIMEOUT).await {
            Ok(PeerResponse::Updated { by, result: Ok(seq) }) if by == id => {
                self.step(handle, Event::Acked { replica: id, epoch, seq });
            }
            Ok(PeerResponse::Updated { by, result: Err(ReplicaError::Gap(_)) }) if by == id => {
                self.step(handle, Event::MissingChanges { replica: id });
            }
            Ok(PeerResponse::Updated { by, result: Err(ReplicaError::Sealed(later)) })
                if by == id =>
            {
                if handle.shard().step_down(later) {
                    self.trace.record(EventKind::OwnershipLost {
                        shard: handle.id.clone(),
                        epoch: later,
                    });
                }
            }
            _ => tokio::time::sleep(REPLICA_RETRY_DELAY.duration()).await,
        }
    }
}
