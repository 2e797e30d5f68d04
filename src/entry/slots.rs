//! Runner slots for requests: renewing slot leases, waiting for a slot, and releasing it.

use crate::clock::Millis;
use crate::controller::slots::{SlotDecision, SlotRequest, SlotUsage};
use crate::entry::{Entry, lock};
use crate::id::Name;
use crate::wire::msg::{PeerRequest, PeerResponse};
use std::collections::BTreeSet;
use std::sync::Arc;
use tokio::sync::oneshot;

/// Interval between renewals of slot leases.
const RENEWAL_INTERVAL: Millis = Millis(200);
/// Timeout of a lease renewal.
const RENEWAL_TIMEOUT: Millis = Millis(500);

/// A slot of a runner; released when dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    entry: Arc<Entry>,
    kind: Name,
    since: Millis,
    /// The runner.
    pub runner: Name,
    /// Whether the runner responded.
    pub reached: bool,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.entry.now();
        let took = now.since(self.since);
        lock(&self.entry.slots).release(now, &self.runner, &self.kind, took, self.reached);
        self.entry.wake_waiters();
    }
}

impl Entry {
    /// Waits for a slot of a runner.
    ///
    /// # Errors
    /// If the request gets no slot: the delay before a retry, and whether the queue was full.
    pub(crate) async fn acquire_slot(
        self: &Arc<Self>,
        request: SlotRequest,
    ) -> Result<Slot, (Millis, bool)> {
        let (kind, id) = (request.kind.clone(), request.id);
        let (give, turn) = oneshot::channel();
        lock(&self.slot_waiters).insert(id, give);
        let first = lock(&self.slots).ask(self.now(), request);
        let turn = match first {
            SlotDecision::Wait => turn.await.unwrap_or(SlotDecision::Wait),
            other => other,
        };
        lock(&self.slot_waiters).remove(&id);
        let since = self.now();
        match turn {
            SlotDecision::Go { runner, .. } => {
                Ok(Slot { entry: self.clone(), kind, since, runner, reached: false })
            }
            SlotDecision::GiveUp { after, full, .. } => Err((after, full)),
            SlotDecision::Wait => {
                lock(&self.slots).forget(id);
                Err((RENEWAL_INTERVAL, false))
            }
        }
    }

    /// Wakes the waiting requests that got a slot or were given up.
    pub(super) fn wake_waiters(&self) {
        let turns = lock(&self.slots).turns(self.now());
        let mut waiting = lock(&self.slot_waiters);
        for turn in turns {
            let id = match &turn {
                SlotDecision::Go { id, .. } | SlotDecision::GiveUp { id, .. } => *id,
                SlotDecision::Wait => continue,
            };
            if let Some(give) = waiting.remove(&id) {
                let _ = give.send(turn);
            }
        }
    }

    /// Takes a runner out of use that announced its shutdown.
    pub(crate) fn mark_runner_leaving(&self, runner: &str) {
        lock(&self.slots).leave(runner);
    }

    /// Renews this entry's slot leases with the owners of the shards of its failure domain.
    pub(super) async fn renew_slots(self: Arc<Self>) {
        let mut timer = tokio::time::interval(RENEWAL_INTERVAL.duration());
        loop {
            timer.tick().await;
            for handle in self.shards() {
                tokio::spawn(self.clone().renew_shard_slots(handle.id.clone()));
            }
        }
    }

    async fn renew_shard_slots(self: Arc<Self>, shard: Name) {
        let asked = self.now();
        let (uses, waiting) = lock(&self.slots).uses(asked, &shard);
        if uses.is_empty() {
            return;
        }
        let me = self.me.name.clone();
        let mut tell = self.lend_slots(&shard, &me, &uses, waiting);
        if tell == PeerResponse::NotOwner {
            tell = self.request_slots(shard, uses, waiting).await;
        }
        if let PeerResponse::LentSlots(lent) = tell {
            lock(&self.slots).lent(asked, &lent);
            self.wake_waiters();
        }
    }

    async fn request_slots(&self, shard: Name, uses: Vec<SlotUsage>, waiting: u32) -> PeerResponse {
        let Some(owner) = self.owner_of(&shard).filter(|owner| *owner != self.me.name) else {
            return PeerResponse::NotOwner;
        };
        let Some(addr) = lock(&self.peers).addr(&owner) else { return PeerResponse::NotOwner };
        let ask = PeerRequest::LendSlots { shard, entry: self.me.name.clone(), uses, waiting };
        self.quic
            .request(&owner, addr, ask, RENEWAL_TIMEOUT)
            .await
            .unwrap_or(PeerResponse::NotOwner)
    }

    /// The address of a runner.
    pub(crate) fn runner_addr(&self, runner: &str) -> Option<Name> {
        let lists = lock(&self.vm_lists);
        let vm = lists.newest().vms.iter().find(|vm| *vm.name == *runner)?;
        Some(vm.addr.clone())
    }

    /// The number of slots in use and of requests waiting for a slot.
    pub(crate) fn slot_load(&self) -> (u32, usize) {
        let slots = lock(&self.slots);
        (slots.used(), slots.waiting())
    }

    /// The slots of each runner, formatted for operators.
    pub(crate) fn runner_views(&self) -> Vec<String> {
        let view = |(name, used, allowed, leaving): (Name, u32, u32, bool)| {
            format!("{name} used {used} of {allowed}{}", if leaving { " leaving" } else { "" })
        };
        lock(&self.slots).runners(self.now()).into_iter().map(view).collect()
    }

    /// Other failure domains with a reachable entry.
    pub(crate) fn other_domains(&self) -> BTreeSet<Name> {
        let fresh = lock(&self.peers).reachable(self.now()).into_iter();
        let domains = fresh.map(|(_, domain, _)| domain);
        domains.filter(|domain| *domain != self.settings.domain).collect()
    }

    /// A reachable entry of a failure domain, chosen by `seed`.
    pub(crate) fn entry_in_domain(
        &self,
        domain: &str,
        seed: u64,
    ) -> Option<(Name, std::net::SocketAddr)> {
        let fresh = lock(&self.peers).reachable(self.now()).into_iter();
        let there: Vec<_> = fresh.filter(|(_, other, _)| **other == *domain).collect();
        let (name, _, addr) = there.get(seed as usize % there.len().max(1))?;
        Some((name.clone(), *addr))
    }
}
