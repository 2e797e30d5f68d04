//! Leadership transfer of a shard from its owner to a replica, without a claim, while the log is down.

use crate::clock::Millis;
use crate::controller::replica::StateSnapshot;
use crate::controller::shard::owner::ShardOwner;
use crate::entry::{Entry, ShardHandle, lock};
use crate::id::{EntryId, Name};
use crate::trace::EventKind;
use crate::wire::msg::{PeerRequest, PeerResponse, VERSION_2};
use std::net::SocketAddr;
use std::sync::Arc;

/// Timeout of one request to the successor.
const SUCCESSOR_TIMEOUT: Millis = Millis(1_000);
/// The number of attempts to reach the successor.
const MAX_ATTEMPTS: u32 = 10;
/// Delay between two attempts.
const RETRY_DELAY: Millis = Millis(100);

impl Entry {
    /// Hands a shard over to one of its replicas. Once this entry has stepped down, only that replica
    /// can own the shard in this epoch, so the request is repeated until it answers.
    pub(super) async fn hand_over(self: &Arc<Self>, handle: &Arc<ShardHandle>) {
        let Some((to, addr)) = self.find_successor(handle).await else { return };
        let Some((epoch, state)) = handle.shard().hand_over() else { return };
        let (shard, name) = (handle.id.clone(), to.name.clone());
        self.trace.record(EventKind::OwnershipHandedOver {
            shard: shard.clone(),
            epoch,
            to: name.clone(),
        });
        self.state_changed.notify_one();
        let from = self.me.clone();
        let ask = PeerRequest::HandOver { shard, from, to, epoch, state };
        for _ in 0..MAX_ATTEMPTS {
            if self.quic.request(&name, addr, ask.clone(), SUCCESSOR_TIMEOUT).await.is_ok() {
                return;
            }
            tokio::time::sleep(RETRY_DELAY.duration()).await;
        }
    }

    /// A replica that is reachable, is not stopping, and speaks a protocol version with hand-overs.
    async fn find_successor(&self, handle: &ShardHandle) -> Option<(EntryId, SocketAddr)> {
        let replicas = handle.shard().owner().map(|owner| owner.replicas())?;
        for id in replicas {
            let addr = {
                let peers = lock(&self.peers);
                let fresh =
                    peers.reachable(self.now()).into_iter().find(|(name, ..)| *name == id.name);
                fresh.filter(|_| peers.incarnation(&id.name) == Some(id.incarnation))
            };
            let Some((name, _, addr)) = addr else { continue };
            let version = self.quic.version(&name, addr, SUCCESSOR_TIMEOUT).await;
            if version.is_ok_and(|version| version >= VERSION_2) {
                return Some((id, addr));
            }
        }
        None
    }

    /// Continues as the owner of a shard that its owner handed over to this incarnation.
    pub(super) fn accept_hand_over(
        self: &Arc<Self>,
        shard: &Name,
        from: EntryId,
        epoch: u64,
        state: StateSnapshot,
    ) -> PeerResponse {
        let claim = lock(&self.fold).claims.last(shard).cloned();
        let claim = claim.filter(|claim| claim.epoch == epoch);
        let (Some(claim), Some(handle)) = (claim, self.handle(shard)) else {
            return PeerResponse::NotOwner;
        };
        let (former, _) = lock(&self.fold).before(&claim);
        let (table, known) = (self.table(), self.known_shards());
        {
            let mut here = handle.shard();
            if !here.can_accept_handover(&claim, &state) {
                return PeerResponse::NotOwner;
            }
            let now = self.now();
            let mut shard_owner =
                ShardOwner::from_hand_over(&claim, &self.me, state, former, table, now);
            shard_owner.set_shards(known);
            here.accept_handover(shard_owner);
        }
        lock(&self.claimant).release(shard.clone(), epoch);
        let (shard, from) = (shard.clone(), from.name);
        self.begin_ownership(&handle, epoch, EventKind::OwnershipContinued { shard, epoch, from });
        PeerResponse::Done
    }

    /// The entry that owns a shard, as far as this entry knows: the one whose heartbeats say so, else
    /// the one that claimed it last.
    pub(crate) fn owner_of(&self, shard: &str) -> Option<Name> {
        let claim = lock(&self.fold).claims.last(shard).cloned()?;
        let says = lock(&self.peers).owner(self.now(), shard, claim.epoch);
        Some(says.unwrap_or(claim.owner.name))
    }
}
