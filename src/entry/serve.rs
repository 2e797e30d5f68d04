//! Handling of requests from other entries.

use crate::controller::slots::SlotUsage;
use crate::entry::{Entry, lock};
use crate::filter::{InboundRequest, run_forwarded};
use crate::id::Name;
use crate::wire::msg::{PeerRequest, PeerResponse};
use std::sync::Arc;

impl Entry {
    /// Handles requests from other entries until the QUIC endpoint closes.
    pub(super) async fn serve_peers(self: Arc<Self>) {
        let quic = self.quic.clone();
        quic.serve(move |ask| {
            let entry = self.clone();
            async move { entry.handle_request(ask).await }
        })
        .await;
    }

    async fn handle_request(self: Arc<Self>, ask: PeerRequest) -> PeerResponse {
        match ask {
            PeerRequest::Heartbeat(beat) => self.answer_heartbeat(beat),
            PeerRequest::DeltaHeartbeat(message) => self.answer_delta_heartbeat(message),
            PeerRequest::Update { shard, update } => {
                let handle = self.open_shard(&shard);
                let result = handle.shard().update(update);
                PeerResponse::Updated { by: self.me.clone(), result }
            }
            PeerRequest::Seal { shard, epoch } => {
                let handle = self.open_shard(&shard);
                let sealed = handle.shard().seal(epoch);
                let by = self.me.clone();
                sealed.map_or(PeerResponse::NotOwner, |state| PeerResponse::Sealed { by, state })
            }
            PeerRequest::Release { shard, epoch } => {
                lock(&self.claimant).release(shard, epoch);
                PeerResponse::Done
            }
            PeerRequest::HandOver { shard, from, to, epoch, state } if to == self.me => {
                self.accept_hand_over(&shard, from, epoch, state)
            }
            PeerRequest::HandOver { .. } => PeerResponse::NotOwner,
            PeerRequest::Owner { shard, request } => match self.handle(&shard) {
                Some(handle) => self.answer_owner(&handle, request).await,
                None => PeerResponse::NotOwner,
            },
            PeerRequest::LendSlots { shard, entry, uses, waiting } => {
                self.lend_slots(&shard, &entry, &uses, waiting)
            }
            PeerRequest::LendQuota { home, question } => self.lend_quota(&home, &question),
            PeerRequest::Table => PeerResponse::Table(lock(&self.fold).tables.current().cloned()),
            PeerRequest::VmList => PeerResponse::VmList(lock(&self.vm_lists).newest().clone()),
            PeerRequest::Forward(forward) => {
                let request = InboundRequest::from_forwarded(*forward, self.now());
                PeerResponse::Forwarded(run_forwarded(self, request).await)
            }
        }
    }

    /// Lends slots if this entry can prove that it owned the shard within the last `OWNER_PROOF`.
    pub(super) fn lend_slots(
        &self,
        shard: &Name,
        entry: &Name,
        uses: &[SlotUsage],
        waiting: u32,
    ) -> PeerResponse {
        let Some(handle) = self.handle(shard) else { return PeerResponse::NotOwner };
        let Some(epoch) = handle.shard().owner().map(|owner| owner.epoch()) else {
            return PeerResponse::NotOwner;
        };
        if !self.is_owner_proven(shard, epoch) {
            return PeerResponse::NotOwner;
        }
        let mut entries = lock(&self.peers).local_names();
        entries.insert(self.me.name.clone());
        let mut lender = handle.lender();
        lender.set_entries(entries);
        PeerResponse::LentSlots(lender.lend(self.now(), entry, uses, waiting))
    }

    /// Whether there was no later claim within the last `OWNER_PROOF`: this entry read the log to its
    /// end, or every entry that could claim sent a heartbeat and knew of no later claim.
    fn is_owner_proven(&self, shard: &Name, epoch: u64) -> bool {
        let known = lock(&self.fold).claims.epoch(shard);
        let agreed = lock(&self.peers).none_knows_later(self.now(), shard, epoch);
        known == epoch && (self.is_log_fresh() || agreed)
    }
}
