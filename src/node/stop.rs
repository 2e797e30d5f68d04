//! A planned stop: transfers the owned cells to other entries, waits until the balancer sends
//! callers elsewhere, and finishes the open requests.

use crate::cell::owner::election::ElectionRecord;
use crate::cell::owner::hand_over::Reason;
use crate::clock::Millis;
use crate::id::Name;
use crate::node::Node;
use crate::node::owner::Owner;
use crate::node::view::CellView;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// How long an owner that stops waits until all its records are in the store.
const FLUSH_TIMEOUT: Millis = Millis(150);
/// How long the balancer may go on sending new callers: until two readiness checks have failed,
/// which are a second apart and may each be half a second late.
const DEREGISTRATION_TIME: Millis = Millis(2_600);
/// The last part of the grace period, in which open connections are no longer waited for.
const GRACE_MARGIN: Millis = Millis(700);
/// Time between two checks whether the callers have gone elsewhere.
const POLL_INTERVAL: Millis = Millis(50);

impl CellView {
    /// Gives up the cell so that another entry claims it, because this one stops or does not keep
    /// up. Writes the open records first, as far as that works within [`FLUSH_TIMEOUT`].
    /// `successor`: the entry that should claim the cell.
    pub(super) async fn transfer(&self, owner: &Owner, reason: Reason, successor: Option<Name>) {
        owner.flush(FLUSH_TIMEOUT).await;
        owner.end();
        let left = owner.leave();
        let epoch = owner.epoch();
        let record = match reason {
            Reason::Overload => ElectionRecord::Overloaded { epoch },
            Reason::Stop | Reason::Size => ElectionRecord::Release { epoch },
        };
        self.release(record, successor, left, epoch).await;
    }
}

impl Node {
    /// Waits for the signal to stop, then stops. Closes the callers' connections through `close`.
    pub(super) async fn shut_down_on_signal(
        self: &Arc<Self>,
        mut stop: watch::Receiver<bool>,
        close: watch::Sender<bool>,
    ) {
        if stop.wait_for(|stop| *stop).await.is_err() {
            log::warn!("event=signal-channel-closed");
        }
        let started = self.now();
        self.stopping.store(true, Ordering::Relaxed);
        let cells = self.cells();
        let views = cells.iter().flat_map(|cells| &cells.views);
        let owned = views.filter_map(|view| Some((view.clone(), view.local_owner()?)));
        let owned: Vec<_> = owned.collect();
        log::info!("event=stopping entry={} owned={}", self.id, owned.len());
        let mut transfers = JoinSet::new();
        for (view, owner) in owned {
            transfers.spawn(async move {
                let successor = owner.successor_at_stop();
                view.transfer(&owner, Reason::Stop, successor).await;
            });
        }
        transfers.join_all().await;
        let grace = self.settings.stop_grace;
        while self.now().since(started) < DEREGISTRATION_TIME.min(grace - GRACE_MARGIN) {
            tokio::time::sleep(POLL_INTERVAL.duration()).await;
        }
        close.send_replace(true);
        // Each connection holds a receiver until its last answer is sent. Counting requests instead
        // missed one whose head was read after the last check.
        let remaining = (grace - GRACE_MARGIN) - self.now().since(started);
        if tokio::time::timeout(remaining.duration(), close.closed()).await.is_err() {
            log::info!(
                "event=connections-still-open entry={} connections={}",
                self.id,
                close.receiver_count()
            );
        }
        // Leaves time to send the last answers.
        tokio::time::sleep(POLL_INTERVAL.duration()).await;
    }
}
