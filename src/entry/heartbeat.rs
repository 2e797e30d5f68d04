//! Heartbeats between entries, and the fetching of newer tables and VM lists that they announce.

use crate::clock::Millis;
use crate::controller::list::{Role, VmList};
use crate::controller::shard::owner::Event;
use crate::entry::{Entry, lock};
use crate::id::{EntryId, Name};
use crate::trace::EventKind;
use crate::wire::msg::{
    DeltaHeartbeat, Heartbeat, PeerRequest, PeerResponse, ShardHeartbeat, VERSION_2,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Timeout of a heartbeat or a fetch from a peer.
const HEARTBEAT_TIMEOUT: Millis = Millis(1_000);
/// Timeout of a request to the platform's list service.
const LIST_TIMEOUT: Millis = Millis(2_000);

impl Entry {
    /// Sends heartbeats to all peers periodically, and at once when this entry's state changes.
    pub(super) async fn send_heartbeats(self: Arc<Self>) {
        let mut timer = tokio::time::interval(self.settings.heartbeat_interval.duration());
        loop {
            tokio::select! {
                _ = timer.tick() => {}
                _ = self.state_changed.notified() => {}
            }
            lock(&self.outbox).update(self.shard_heartbeats());
            for (name, addr) in lock(&self.peers).all() {
                tokio::spawn(self.clone().send_heartbeat(name, addr));
            }
        }
    }

    async fn send_heartbeat(self: Arc<Self>, name: Name, addr: SocketAddr) {
        let ask = |version| match version {
            VERSION_2.. => Some(PeerRequest::DeltaHeartbeat(self.delta_heartbeat(&name))),
            _ => Some(PeerRequest::Heartbeat(self.heartbeat(self.shard_heartbeats()))),
        };
        match self.quic.request_by_version(&name, addr, ask, HEARTBEAT_TIMEOUT).await {
            Ok(PeerResponse::Heartbeat(beat)) => self.handle_heartbeat(beat).await,
            Ok(PeerResponse::DeltaHeartbeat(message)) => {
                if let Some(beat) = self.merge_delta(message) {
                    self.handle_heartbeat(beat).await;
                }
            }
            _ => {}
        }
    }

    fn shard_heartbeats(&self) -> Vec<ShardHeartbeat> {
        let beats = self.shards().into_iter().map(|handle| {
            let start_pending = handle.flights().any_before(self.now(), &u64::MAX);
            let known = lock(&self.fold).claims.epoch(&handle.id);
            let mut shard = handle.shard();
            let epoch = known.max(shard.epoch());
            let room = shard.owner().map(|owner| owner.capacity());
            ShardHeartbeat {
                shard: handle.id.clone(),
                epoch,
                is_owner: room.is_some(),
                start_pending,
                room,
            }
        });
        beats.collect()
    }

    fn heartbeat(&self, shards: Vec<ShardHeartbeat>) -> Heartbeat {
        Heartbeat {
            shards,
            from: self.me.clone(),
            domain: self.settings.domain.clone(),
            addr: self.settings.peer,
            is_stopping: self.stop_requested(),
            table_rev: lock(&self.fold).tables.rev(),
            list_rev: lock(&self.vm_lists).newest().rev,
        }
    }

    /// A heartbeat for one peer, with the shards that changed since the state that the peer last
    /// acknowledged.
    fn delta_heartbeat(&self, peer: &Name) -> DeltaHeartbeat {
        let held = {
            let peers = lock(&self.peers);
            let inc = peers.incarnation(peer).unwrap_or_default();
            peers.held_seq(peer, inc)
        };
        let delta = lock(&self.outbox).delta(peer, held);
        DeltaHeartbeat { heartbeat: self.heartbeat(Vec::new()), delta }
    }

    /// Processes a peer's complete heartbeat and answers with one of this entry.
    pub(super) fn answer_heartbeat(self: &Arc<Self>, beat: Heartbeat) -> PeerResponse {
        let entry = self.clone();
        tokio::spawn(async move { entry.handle_heartbeat(beat).await });
        PeerResponse::Heartbeat(self.heartbeat(self.shard_heartbeats()))
    }

    /// Processes a peer's delta heartbeat and answers with one of this entry.
    pub(super) fn answer_delta_heartbeat(
        self: &Arc<Self>,
        message: DeltaHeartbeat,
    ) -> PeerResponse {
        let peer = message.heartbeat.from.name.clone();
        if let Some(beat) = self.merge_delta(message) {
            let entry = self.clone();
            tokio::spawn(async move { entry.handle_heartbeat(beat).await });
        }
        lock(&self.outbox).update(self.shard_heartbeats());
        PeerResponse::DeltaHeartbeat(self.delta_heartbeat(&peer))
    }

    /// Completes a delta heartbeat and records which of this entry's states the peer acknowledged.
    fn merge_delta(&self, message: DeltaHeartbeat) -> Option<Heartbeat> {
        lock(&self.outbox).acked(&message.heartbeat.from, message.delta.held);
        lock(&self.peers).merge(message)
    }

    pub(super) async fn handle_heartbeat(self: &Arc<Self>, beat: Heartbeat) {
        let (from, domain, addr) = (beat.from.clone(), beat.domain.clone(), beat.addr);
        let (rev, list) = (beat.table_rev, beat.list_rev);
        let replaced = lock(&self.peers).record_heartbeat(self.now(), beat.clone());
        if domain == self.settings.domain {
            self.fence_former_owners(&from, &beat.shards);
        }
        if let Some(old) = replaced {
            self.handle_entry_gone(&old);
        }
        if rev > lock(&self.fold).tables.rev() {
            self.fetch_table(&from.name, addr).await;
        }
        if list > lock(&self.vm_lists).newest().rev {
            self.fetch_vm_list(&from.name, addr).await;
        }
    }

    /// Fences the sender as a former owner of each shard whose epoch it knows, if no task start that
    /// it sent can still reach a worker.
    fn fence_former_owners(self: &Arc<Self>, from: &EntryId, beats: &[ShardHeartbeat]) {
        for beat in beats {
            let Some(handle) = self.handle(&beat.shard) else { continue };
            let epoch = handle.shard().owner().map(|owner| owner.fence_epoch());
            let fenced = !beat.is_owner && !beat.start_pending;
            if fenced && epoch.is_some_and(|epoch| beat.epoch >= epoch) {
                self.step(&handle, Event::OwnerFenced(from.clone()));
            }
        }
    }

    /// Handles the end of an incarnation of another entry.
    pub(super) fn handle_entry_gone(self: &Arc<Self>, id: &EntryId) {
        for handle in self.shards() {
            handle.lender().gone(&id.name);
            self.step(&handle, Event::EntryGone(id.clone()));
        }
    }

    async fn fetch_table(self: &Arc<Self>, name: &Name, addr: SocketAddr) {
        let answer = self.quic.request(name, addr, PeerRequest::Table, HEARTBEAT_TIMEOUT).await;
        let Ok(PeerResponse::Table(Some(revision))) = answer else { return };
        if lock(&self.fold).tables.adopt(revision) {
            self.apply_table();
        }
    }

    async fn fetch_vm_list(self: &Arc<Self>, name: &Name, addr: SocketAddr) {
        let answer = self.quic.request(name, addr, PeerRequest::VmList, HEARTBEAT_TIMEOUT).await;
        if let Ok(PeerResponse::VmList(list)) = answer {
            self.apply_vm_list(list);
        }
    }

    /// Reads the platform's VM list periodically.
    pub(super) async fn poll_vm_list(self: Arc<Self>) {
        let mut timer = tokio::time::interval(self.settings.list_interval.duration());
        let mut up = true;
        loop {
            timer.tick().await;
            let addr = &self.settings.platform.list;
            let ask = lock(&self.vm_lists).newest().rev;
            let me = &self.me.name;
            let list = self.http.post_json(me, addr, "/list", &ask, LIST_TIMEOUT).await;
            if list.is_ok() != up {
                up = !up;
                self.trace.record(EventKind::PlatformStatus { part: "list".into(), up });
            }
            if let Ok(list) = list {
                self.apply_vm_list(list);
            }
        }
    }

    /// Applies a VM list if it is newer than the present one.
    pub(super) fn apply_vm_list(self: &Arc<Self>, list: VmList) {
        let before: Vec<Name> = self.leaving_vms();
        if !lock(&self.vm_lists).take(list.clone()) {
            return;
        }
        let gone = |name: &str| lock(&self.vm_lists).is_gone(name);
        lock(&self.peers).apply_vm_list(&list, gone);
        for vm in self.leaving_vms().into_iter().filter(|vm| !before.contains(vm)) {
            self.trace.record(EventKind::VmLeaving { vm });
        }
        let here = list.vms.iter().filter(|vm| vm.domain == self.settings.domain);
        for vm in here.filter(|vm| vm.role != Role::Entry) {
            self.open_shard(&vm.rack);
        }
        for handle in self.shards() {
            self.pass_vm_list(&handle);
            self.drop_gone_entries(&handle);
        }
        self.update_runners();
        self.state_changed.notify_one();
    }

    fn leaving_vms(&self) -> Vec<Name> {
        let lists = lock(&self.vm_lists);
        let leaving = lists.newest().vms.iter().filter(|vm| vm.leaving);
        leaving.map(|vm| vm.name.clone()).collect()
    }

    /// Passes the VM list to a shard if this entry owns it.
    pub(super) fn pass_vm_list(self: &Arc<Self>, handle: &Arc<crate::entry::ShardHandle>) {
        let list = lock(&self.vm_lists).newest().clone();
        if list.rev == 0 {
            return;
        }
        let runners: BTreeMap<Name, u32> = list
            .vms
            .iter()
            .filter(|vm| vm.role == Role::Runner && vm.rack == handle.id)
            .map(|vm| (vm.name.clone(), vm.slots))
            .collect();
        handle.lender().set_runners(runners);
        self.step(handle, Event::WorkerList { rev: list.rev, vms: list.vms });
    }

    /// Removes replicas and former owners that have ended, so that the owner does not wait for them.
    pub(super) fn drop_gone_entries(self: &Arc<Self>, handle: &Arc<crate::entry::ShardHandle>) {
        let mut ids = {
            let fold = lock(&self.fold);
            let history = fold.claims.history(&handle.id).iter();
            let ids =
                history.flat_map(|claim| claim.replicas.iter().chain([&claim.owner]).cloned());
            ids.collect::<Vec<EntryId>>()
        };
        ids.extend(handle.shard().owner().map(|owner| owner.replicas()).unwrap_or_default());
        for id in ids.into_iter().filter(|id| *id != self.me && self.is_gone(id)) {
            self.step(handle, Event::EntryGone(id));
        }
    }

    /// Updates the runners of this failure domain, and which of them are leaving.
    pub(super) fn update_runners(&self) {
        let table = self.table();
        let list = lock(&self.vm_lists).newest().clone();
        let here = list.vms.into_iter().filter(|vm| vm.domain == self.settings.domain);
        let runners = here.filter(|vm| vm.role == Role::Runner);
        let known = runners.map(|vm| {
            let leaving = vm.leaving || table.excluded_vms.contains(&vm.name);
            (vm.name, vm.rack, leaving)
        });
        lock(&self.slots).set_runners(known.collect());
        self.wake_waiters();
    }
}
