//! A planned stop: the cell goes to another entry, callers go elsewhere, requests in flight end.

use crate::cell::owner::election::Record;
use crate::clock::Millis;
use crate::node::Node;
use crate::node::owner::Owner;
use crate::node::view::CellView;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// How long an owner that stops waits for the store to have all that it knows.
const FLUSH_TIMEOUT: Millis = Millis(150);
/// The balancer sends no new callers after two questions a second apart, each of which may be
/// half a second late.
const DEREGISTRATION_TIME: Millis = Millis(2_600);
/// The part at the end of the grace in which connections are not waited for.
const GRACE_MARGIN: Millis = Millis(700);
/// Time between looks.
const POLL_INTERVAL: Millis = Millis(50);

impl CellView {
    /// Has another entry own the cell, because this one stops or does not keep up: what is known is written first, as far as that goes at once.
    pub(super) async fn transfer(&self, owner: &Owner, is_overloaded: bool) {
        owner.flush(FLUSH_TIMEOUT).await;
        owner.end();
        let epoch = owner.epoch();
        let record = match is_overloaded {
            true => Record::Overloaded { epoch },
            false => Record::Release { epoch },
        };
        self.release(record, epoch).await;
    }
}

impl Node {
    /// Returns when a planned stop has started and is done.
    pub(super) async fn shut_down_on_signal(
        self: &Arc<Self>,
        mut stop: watch::Receiver<bool>,
        close: watch::Sender<bool>,
    ) {
        if stop.wait_for(|stop| *stop).await.is_err() {
            log::warn!("event=signals-lost");
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
            transfers.spawn(async move { view.transfer(&owner, false).await });
        }
        transfers.join_all().await;
        let grace = self.settings.stop_grace;
        while self.now().since(started) < DEREGISTRATION_TIME.min(grace - GRACE_MARGIN) {
            tokio::time::sleep(POLL_INTERVAL.duration()).await;
        }
        close.send_replace(true);
        // Each connection holds a receiver until its last answer has left. Counting requests in place of them
        // lost one whose head was read after the last look.
        let remaining = (grace - GRACE_MARGIN) - self.now().since(started);
        if tokio::time::timeout(remaining.duration(), close.closed()).await.is_err() {
            log::info!(
                "event=callers-left entry={} connections={}",
                self.id,
                close.receiver_count()
            );
        }
        // The last answers have to leave.
        tokio::time::sleep(POLL_INTERVAL.duration()).await;
    }
}
