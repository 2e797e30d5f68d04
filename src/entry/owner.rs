//! Ownership of shards: claims, the search for a shard's state, replication, and the owner's
//! actions towards workers.

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

/// Time between looks at claims and due tasks.
const TICK: Millis = Millis(200);
/// How long a replica may take to answer.
const REPLICA_LIMIT: Millis = Millis(1_000);
/// Pause before a replica is tried again.
const REPLICA_PAUSE: Millis = Millis(100);
/// How long a worker may take to answer.
const WORKER_LIMIT: Millis = Millis(1_500);

/// A message to a worker.
enum Tellable {
    Start(StartOrder),
    Stop(TaskId),
}

impl Entry {
    /// Claims, searches, and lets time pass for the shards owned here.
    pub(super) async fn tick(self: Arc<Self>) {
        let mut timer = tokio::time::interval(TICK.duration());
        let every = self.settings.refresh_interval;
        let mut refreshed = self.now() - Millis(hash(&[self.me.name.as_bytes()]) % every.0);
        let mut snapshot = 0;
        loop {
            timer.tick().await;
            for handle in self.shards() {
                self.step(&handle, Event::Tick);
                self.fence_self(&handle);
                self.claim(&handle);
                self.begin_search(handle);
            }
            if self.now().since(refreshed) >= every {
                refreshed = self.now();
                snapshot = self.refresh_log(snapshot);
            }
            self.give_turns();
        }
    }

    /// An earlier ownership by this same entry is fenced like another's.
    fn fence_self(self: &Arc<Self>, handle: &Arc<ShardHandle>) {
        let epoch = handle.shard().owner().map(|owner| owner.first_epoch());
        if epoch.is_some_and(|epoch| !handle.flights().any_before(self.now(), &epoch)) {
            self.step(handle, Event::OwnerFenced(self.me.clone()));
        }
    }

    /// Appends again what retention would drop: open jobs of the shards owned here, and the table
    /// and the claims unless another entry did so since the snapshot at offset `last`. Returns the
    /// offset of the last snapshot.
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
        if self.is_leaving() || !self.is_log_fresh() {
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
            self.writer.claim(claim, now);
        }
    }

    /// The log has a new claim on a shard of this failure domain.
    pub(super) fn take_claim(self: &Arc<Self>, claim: Claim) {
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
        handle.kick.notify_one();
        self.news.notify_one();
        self.begin_search(handle);
    }

    /// Searches for the state of a shard claimed here, beside everything else: a holder that does
    /// not answer holds up no other shard.
    fn begin_search(self: &Arc<Self>, handle: Arc<ShardHandle>) {
        let wanted = handle.shard().pending_claim().is_some();
        if !wanted || handle.searching.swap(true, Ordering::SeqCst) {
            return;
        }
        let entry = self.clone();
        tokio::spawn(async move {
            entry.search(&handle).await;
            handle.searching.store(false, Ordering::SeqCst);
        });
    }

    async fn search(self: &Arc<Self>, handle: &Arc<ShardHandle>) {
        let found = handle.shard().next_recovery_step(self.now(), |id| self.is_gone(id));
        match found {
            RecoveryStep::Idle => {}
            RecoveryStep::Ask(ids) => self.seal_others(handle, ids).await,
            RecoveryStep::Ready(source) => self.become_owner(handle, source),
        }
    }

    /// Asks replicas to seal a shard for this entry's claim; any one answer will do.
    async fn seal_others(self: &Arc<Self>, handle: &Arc<ShardHandle>, ids: BTreeSet<EntryId>) {
        let Some(epoch) = handle.shard().pending_claim().map(|claim| claim.epoch) else { return };
        let others = ids.into_iter().filter(|id| *id != self.me);
        let asks = others.map(|id| async move {
            let answer = self.ask_seal(&id, &handle.id, epoch).await;
            if let Some(state) = answer {
                handle.shard().record_sealed(&id, epoch, state);
            }
        });
        join_all(asks).await;
    }

    async fn ask_seal(&self, id: &EntryId, shard: &Name, epoch: u64) -> Option<StateSnapshot> {
        let (addr, present) = {
            let peers = lock(&self.peers);
            (peers.addr(&id.name)?, peers.incarnation(&id.name)?)
        };
        if present != id.incarnation {
            return None;
        }
        let ask = PeerRequest::Seal { shard: shard.clone(), epoch };
        match self.quic.request(&id.name, addr, ask, REPLICA_LIMIT).await {
            Ok(PeerResponse::Sealed { by, state }) if by == *id => Some(state),
            _ => None,
        }
    }

    fn become_owner(self: &Arc<Self>, handle: &Arc<ShardHandle>, source: StateSource) {
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
        self.begin_office(
            handle,
            epoch,
            EventKind::OwnershipTaken { shard, epoch, from: from.into() },
        );
    }

    /// This entry owns a shard from now on: nothing is lent yet, and the workers are asked.
    pub(super) fn begin_office(
        self: &Arc<Self>,
        handle: &Arc<ShardHandle>,
        epoch: u64,
        what: EventKind,
    ) {
        *handle.lender() =
            if epoch == 1 { SlotLender::first() } else { SlotLender::new(self.now()) };
        *handle.pool() = LimitPool::new(epoch);
        self.trace.record(what);
        self.set_list(handle);
        self.drop_gone_entries(handle);
        self.news.notify_one();
        self.sync_shard(handle);
    }

    /// A new table is in force: tell the owners here.
    pub(super) fn set_policy(self: &Arc<Self>, table: &Arc<Table>) {
        for handle in self.shards() {
            self.step(&handle, Event::Table(table.clone()));
        }
    }

    /// The log holds notes of a shard.
    pub(super) fn take_noted(self: &Arc<Self>, shard: &Name, epoch: u64, seq: u64) {
        if let Some(handle) = self.handle(shard) {
            self.step(&handle, Event::Logged { epoch, seq });
        }
    }

    /// Gives an event to the owner of a shard, if it is here, and does what it says.
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
        self.act(handle, epoch, actions, starts);
        true
    }

    fn act(
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
                Action::Replicate => handle.kick.notify_one(),
                Action::RequestShares => handle.short.notify_one(),
                Action::Start { worker, order } => {
                    let (addr, task) = (addr(&worker), order.task.clone());
                    self.tell(handle, epoch, addr, task, Tellable::Start(order));
                }
                Action::Stop { worker, task } => {
                    let (addr, id) = (addr(&worker), task.clone());
                    self.tell(handle, epoch, addr, id, Tellable::Stop(task));
                }
                Action::Reply { token, answer } => {
                    if let Some(reply) = lock(&self.replies).remove(&token) {
                        let _ = reply.send(answer);
                    }
                }
                Action::Append(record) => records.push(record),
                Action::Trace(what) => self.record(what),
            }
        }
        self.writer.append(records);
    }

    /// Adds an owner's event to the time line and the metrics.
    fn record(&self, what: EventKind) {
        match &what {
            EventKind::TaskBound { waited, .. } => self.metrics.waited(waited.0),
            EventKind::StartSent { .. } => self.metrics.starts.inc(),
            EventKind::TaskEnded { .. } => self.metrics.ended.inc(),
            _ => {}
        }
        self.trace.record(what);
    }

    /// Sends a start or stop to a worker and gives the answer to the owner.
    fn tell(
        self: &Arc<Self>,
        handle: &Arc<ShardHandle>,
        epoch: u64,
        addr: Name,
        task: TaskId,
        message: Tellable,
    ) {
        let (entry, handle) = (self.clone(), handle.clone());
        tokio::spawn(async move {
            let stop = matches!(message, Tellable::Stop(_));
            let reply = entry.tell_worker(&addr, message).await;
            entry.step(&handle, Event::CommandReply { task, stop, reply });
            if !stop {
                handle.flights().end(entry.now(), &epoch);
            }
        });
    }

    async fn tell_worker(&self, addr: &Name, message: Tellable) -> Option<TaskReply> {
        let me = &self.me.name;
        let reply = match message {
            Tellable::Start(mut order) => {
                order.stamp = self.trace.stamp();
                self.http.post_json(me, addr, "/start", &order, WORKER_LIMIT).await
            }
            Tellable::Stop(task) => {
                let order = StopOrder { task };
                self.http.post_json(me, addr, "/stop", &order, WORKER_LIMIT).await
            }
        };
        reply.ok()
    }

    /// Renews leases at all workers of the shards owned here, and learns what they run.
    pub(super) async fn sync_workers(self: Arc<Self>) {
        let mut timer = tokio::time::interval(self.settings.sync_interval.duration());
        loop {
            timer.tick().await;
            for handle in self.shards() {
                self.sync_shard(&handle);
                tokio::spawn(self.clone().keep_running(handle));
            }
        }
    }

    /// Renews leases at all workers of one shard, if it is owned here.
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
        self.http.post_json(&self.me.name, addr, "/sync", order, WORKER_LIMIT).await.ok()
    }

    /// Renews leases from a replica while the owner is not heard: a renewal starts nothing.
    async fn keep_running(self: Arc<Self>, handle: Arc<ShardHandle>) {
        let Some(owner) = self.owner_of(&handle.id) else { return };
        let here = owner == self.me.name && handle.shard().owner().is_some();
        if here || lock(&self.peers).is_heard(self.now(), &owner) {
            return;
        }
        let list = lock(&self.lists).newest().clone();
        let orders = handle.shard().replica().renewals();
        for (worker, order) in orders {
            let vm = list.vms.iter().find(|vm| vm.name == worker);
            if let Some(vm) = vm {
                self.sync(&vm.addr, &order).await;
            }
        }
    }

    /// Brings the notes of an owned shard to its replicas, or to the log if there are none.
    pub(super) async fn replicate(self: Arc<Self>, handle: Arc<ShardHandle>) {
        loop {
            handle.kick.notified().await;
            while self.replicate_once(&handle).await {}
        }
    }

    /// Sends each replica what it lacks; `true` if something was sent.
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
            let ask = PeerRequest::Update { shard: handle.id.clone(), update };
            self.send_update(handle, id, epoch, ask).await;
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
        ask: PeerRequest,
    ) {
        let addr = lock(&self.peers).addr(&id.name);
        let Some(addr) = addr else {
            return tokio::time::sleep(REPLICA_PAUSE.duration()).await;
        };
        match self.quic.request(&id.name, addr, ask, REPLICA_LIMIT).await {
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
            _ => tokio::time::sleep(REPLICA_PAUSE.duration()).await,
        }
    }
}
