//! Gives the cell to another entry if that one has more processors, if this one does not keep up,
//! or if only this one cannot reach the store.

use crate::cell::mechanism::Mechanism;
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
/// The cell is transferred to an entry with at least this many times the processors of its owner.
const MIN_SIZE_RATIO: u32 = 2;

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
        lock(&self.authority).largest_peer_cpu(self.node.now())
    }

    /// Transfers the cell once an entry with far more processors could own it, or once this one
    /// does not keep up and another entry could own it.
    pub(super) async fn watch_for_transfer(self: Arc<Self>) {
        if self.node.settings.disabled.contains(Mechanism::OwnershipTransfer) {
            return std::future::pending().await;
        }
        let cpu = self.node.settings.millicores;
        loop {
            tokio::time::sleep(CHECK_INTERVAL.duration()).await;
            let now = self.node.now();
            let largest = self.largest_peer_cpu();
            let is_small = largest >= cpu.max(1) * MIN_SIZE_RATIO;
            let may_hand_over = lock(&self.view.election).may_hand_over(now);
            let is_overloaded =
                largest > 0 && may_hand_over && lock(&self.lag).should_hand_over(now);
            if !(is_small || is_overloaded) || !self.is_serving() {
                continue;
            }
            log::info!(
                "event=cell-transfer cell={} epoch={} cpu={cpu} largest={largest} late={is_overloaded}",
                self.view.cell,
                self.epoch
            );
            if is_overloaded {
                lock(&self.view.election).back_off(now + CLAIM_BACKOFF);
            }
            let (view, owner) = (self.view.clone(), self.clone());
            tokio::spawn(async move { view.transfer(&owner, is_overloaded).await });
            std::future::pending::<()>().await;
        }
    }
}
