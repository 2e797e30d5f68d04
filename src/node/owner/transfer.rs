//! When an owner gives the cell to another entry: that one has more processors, this one does not
//! keep up, or the store turns only this one away.

use crate::cell::mechanism::Mechanism;
use crate::cell::owner::lag::BACK_OFF;
use crate::clock::Millis;
use crate::id::Name;
use crate::node::frame::encode;
use crate::node::lock;
use crate::node::msg::OwnerMessage;
use crate::node::owner::Owner;
use std::sync::Arc;

/// How often an owner looks whether a larger entry should have the cell. A transfer holds up starts
/// for some 300 ms, so it is not worth more haste.
const CHECK_INTERVAL: Millis = Millis(1_000);
/// A larger entry has at least this many times the processors.
const MIN_SIZE_RATIO: u32 = 2;

impl Owner {
    /// The store failed this owner: the others are asked whether it fails them too.
    pub fn store_failed(&self) {
        let now = self.node.now();
        let is_due = {
            let mut authority = lock(&self.authority);
            authority.fail(now);
            authority.should_probe(now)
        };
        if is_due {
            log::info!("event=store-probed epoch={}", self.epoch);
            self.broadcast(&OwnerMessage::ProbeLog);
        }
    }

    /// An entry says whether it could read the log. If most can, one of them should own the cell.
    pub fn handle_log_probe(&self, entry: &Name, readable: bool) {
        let is_isolated = {
            let mut authority = lock(&self.authority);
            authority.probed(entry, readable);
            authority.is_isolated(self.node.now())
        };
        if is_isolated && !self.has_ended() {
            log::info!("event=isolated epoch={}", self.epoch);
            self.end();
            self.broadcast(&OwnerMessage::SteppedDown { epoch: self.epoch });
        }
    }

    fn broadcast(&self, message: &OwnerMessage) {
        for (entry, sender) in lock(&self.peers).iter() {
            let sent = encode(0, message.clone()).map(|frame| sender.try_send(frame));
            if !matches!(sent, Ok(Ok(()))) {
                log::info!("event=not-told entry={entry} message={message:?}");
            }
        }
    }

    /// The processors of the largest other entry that could own the cell, in thousandths.
    pub fn largest_peer_cpu(&self) -> u32 {
        lock(&self.authority).largest(self.node.now())
    }

    /// Hands the cell over once an entry with far more processors could own it, or once this one
    /// does not keep up and another one could.
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
            let is_overloaded = largest > 0 && may_hand_over && lock(&self.lag).is_heavy(now);
            if !(is_small || is_overloaded) || !self.is_serving() {
                continue;
            }
            log::info!(
                "event=transfer cell={} epoch={} cpu={cpu} largest={largest} late={is_overloaded}",
                self.view.cell,
                self.epoch
            );
            if is_overloaded {
                lock(&self.view.election).back_off(now + BACK_OFF);
            }
            let (view, owner) = (self.view.clone(), self.clone());
            tokio::spawn(async move { view.transfer(&owner, is_overloaded).await });
            std::future::pending::<()>().await;
        }
    }
}
