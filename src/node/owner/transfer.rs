//! When an owner gives the cell to another entry: that one has more processors, this one does not
//! keep up, or the store turns only this one away.

use crate::cell::mechanism::Mechanism;
use crate::cell::owner::lag::CLAIM_BACKOFF;
use crate::clock::Millis;
use crate::id::Name;
use crate::node::frame::encode;
use crate::node::lock;
use crate::node::msg::Tell;
use crate::node::owner::Owner;
use std::sync::Arc;

/// How often an owner looks whether a larger entry should have the cell. A transfer holds up starts
/// for some 300 ms, so it is not worth more haste.
const SIZE_LOOK: Millis = Millis(1_000);
/// A larger entry has at least this many times the processors.
const LARGER: u32 = 2;

impl Owner {
    /// The store failed this owner: the others are asked whether it fails them too.
    pub fn store_failed(&self) {
        let now = self.node.now();
        let due = {
            let mut authority = lock(&self.authority);
            authority.record_store_failure(now);
            authority.should_probe(now)
        };
        if due {
            log::info!("event=store-probed epoch={}", self.epoch);
            self.tell_all(&Tell::Probe);
        }
    }

    /// An entry says whether it could read the log. If most can, one of them should own the cell.
    pub fn probed(&self, entry: &Name, able: bool) {
        let isolated = {
            let mut authority = lock(&self.authority);
            authority.record_probe(entry, able);
            authority.is_isolated(self.node.now())
        };
        if isolated && !self.is_over() {
            log::info!("event=isolated epoch={}", self.epoch);
            self.end();
            self.tell_all(&Tell::SteppedDown { epoch: self.epoch });
        }
    }

    fn tell_all(&self, tell: &Tell) {
        for (entry, out) in lock(&self.peers).iter() {
            let sent = encode(0, tell.clone()).map(|frame| out.try_send(frame));
            if !matches!(sent, Ok(Ok(()))) {
                log::info!("event=not-told entry={entry} tell={tell:?}");
            }
        }
    }

    /// The processors of the largest other entry that could own the cell, in thousandths.
    pub fn largest(&self) -> u32 {
        lock(&self.authority).largest_peer_cpu(self.node.now())
    }

    /// Hands the cell over once an entry with far more processors could own it, or once this one
    /// does not keep up and another one could.
    pub(super) async fn transfer_when_slow(self: Arc<Self>) {
        if self.node.settings.off.contains(Mechanism::OwnershipTransfer) {
            return std::future::pending().await;
        }
        let cpu = self.node.settings.cpu;
        loop {
            tokio::time::sleep(SIZE_LOOK.duration()).await;
            let now = self.node.now();
            let largest = self.largest();
            let is_small = largest >= cpu.max(1) * LARGER;
            let may_hand_over = lock(&self.view.election).may_hand_over(now);
            let is_late = largest > 0 && may_hand_over && lock(&self.lag).should_hand_over(now);
            if !(is_small || is_late) || !self.is_sure() {
                continue;
            }
            log::info!(
                "event=transfer cell={} epoch={} cpu={cpu} largest={largest} late={is_late}",
                self.view.cell,
                self.epoch
            );
            if is_late {
                lock(&self.view.election).back_off(now + CLAIM_BACKOFF);
            }
            let (view, owner) = (self.view.clone(), self.clone());
            tokio::spawn(async move { view.transfer(&owner, is_late).await });
            std::future::pending::<()>().await;
        }
    }
}
