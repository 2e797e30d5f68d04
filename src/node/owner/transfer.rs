//! Gives the cell to another entry if that one has more processors, if this one does not keep up,
//! or if only this one cannot reach the store.

use crate::cell::mechanism::Mechanism;
use crate::cell::owner::hand_over::{self, HandOver, Reason};
use crate::cell::owner::lag::CLAIM_BACKOFF;
use crate::clock::Millis;
use crate::id::Name;
use crate::node::lock;
use crate::node::msg::OwnerMessage;
use crate::node::owner::Owner;
use std::sync::Arc;

/// Time between two checks of whether another entry should own the cell. A transfer delays starts
/// by some 300 ms, so checking more often gains little.
const CHECK_INTERVAL: Millis = Millis(1_000);

impl Owner {
    /// Notes that a call of this owner to the store failed. If it keeps failing, the other entries
    /// are asked whether they can read the log.
    pub fn store_failed(&self) {
        let now = self.node.now();
        let is_due = {
            let mut authority = lock(&self.authority);
            authority.record_store_failure(now);
            authority.should_probe(now)
        };
        if is_due {
            log::info!("event=log-probe-sent epoch={}", self.epoch);
            self.broadcast(&OwnerMessage::ProbeLog);
        }
    }

    /// Notes whether an entry could read the log. If most can, this owner gives up the cell so that
    /// one of them claims it.
    pub fn handle_log_probe(&self, entry: &Name, readable: bool) {
        let is_isolated = {
            let mut authority = lock(&self.authority);
            authority.record_probe(entry, readable);
            authority.is_isolated(self.node.now())
        };
        if is_isolated && !self.has_ended() {
            log::info!("event=owner-isolated epoch={}", self.epoch);
            self.end();
            self.broadcast(&OwnerMessage::SteppedDown { epoch: self.epoch });
        }
    }

    /// The processors of the largest other entry that could own the cell, in thousandths of one.
    pub fn largest_peer_cpu(&self) -> u32 {
        let is_late = self.uses_capacity() && lock(&self.lag).is_late();
        let largest = lock(&self.authority).largest_peer(self.node.now(), is_late, None);
        largest.map_or(0, |peer| peer.cpu)
    }

    /// Whether the rules for entries with unequal processors apply.
    fn uses_capacity(&self) -> bool {
        !self.node.settings.disabled.contains(Mechanism::CapacityElection)
    }

    /// The entry that should claim the cell when this one stops, if it has far more processors.
    pub fn successor_at_stop(&self) -> Option<Name> {
        let cpu = self.node.settings.millicores;
        let successor = hand_over::successor_at_stop(self.node.now(), cpu, &lock(&self.authority));
        successor.filter(|_| self.uses_capacity()).map(|peer| peer.name)
    }

    /// Transfers the cell once an entry with far more processors could own it, or once this one
    /// does not keep up and another entry could own it.
    pub(super) async fn watch_for_transfer(self: Arc<Self>) {
        if self.node.settings.disabled.contains(Mechanism::OwnershipTransfer) {
            return std::future::pending().await;
        }
        loop {
            tokio::time::sleep(CHECK_INTERVAL.duration()).await;
            let hand_over = self.decide_hand_over();
            if let Some(hand_over) = hand_over {
                self.hand_over(hand_over);
                std::future::pending::<()>().await;
            }
        }
    }

    /// Decides whether to transfer the cell now.
    fn decide_hand_over(&self) -> Option<HandOver> {
        let may_decide = match self.uses_capacity() {
            true => !self.has_ended() && self.has_authority(),
            false => self.is_serving(),
        };
        if !may_decide {
            return None;
        }
        let (now, cpu) = (self.node.now(), self.node.settings.millicores);
        let election = lock(&self.view.election);
        let (authority, lag) = (lock(&self.authority), lock(&self.lag));
        hand_over::decide(now, cpu, &election, &authority, &lag)
    }

    /// Gives up the cell.
    fn hand_over(self: &Arc<Self>, hand_over: HandOver) {
        let HandOver { reason, largest, successor } = hand_over;
        let (cell, epoch, cpu) = (self.view.cell, self.epoch, self.node.settings.millicores);
        let is_overloaded = reason == Reason::Overload;
        log::info!(
            "event=cell-transfer cell={cell} epoch={epoch} cpu={cpu} largest={} late={is_overloaded}",
            largest.cpu
        );
        let (name, successor_cpu) =
            successor.as_ref().map_or(("none", 0), |successor| (&*successor.name, successor.cpu));
        log::info!(
            "event=hand-over cell={cell} epoch={epoch} cpu={cpu} successor={name} \
             successor_cpu={successor_cpu} why={reason}"
        );
        if is_overloaded {
            lock(&self.view.election).back_off(self.node.now() + CLAIM_BACKOFF);
        }
        let (view, owner) = (self.view.clone(), self.clone());
        let successor = successor.map(|successor| successor.name);
        tokio::spawn(async move { view.transfer(&owner, reason, successor).await });
    }
}
