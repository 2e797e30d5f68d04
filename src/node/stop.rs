//! A planned stop: the cell goes to another entry, callers go elsewhere, requests in flight end.

use crate::cell::owner::election::ElectionRecord;
use crate::clock::Millis;
use crate::node::Node;
use crate::node::owner::Owner;
use crate::node::view::View;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// How long an owner that stops waits for the store to have all that it knows.
const SETTLE: Millis = Millis(150);
/// The balancer sends no new callers after two questions a second apart, each of which may be
/// half a second late.
const UNLISTED: Millis = Millis(2_600);
/// The part at the end of the grace in which connections are not waited for.
const LAST: Millis = Millis(700);
/// Time between looks.
const LOOK: Millis = Millis(50);

impl View {
    /// Has another entry own the cell, because this one stops or does not keep up: what is known is written first, as far as that goes at once.
    pub(super) async fn transfer(&self, owner: &Owner, is_late: bool) {
        owner.settle(SETTLE).await;
        owner.end();
        let epoch = owner.epoch();
        let record = match is_late {
            true => ElectionRecord::Overloaded { epoch },
            false => ElectionRecord::Release { epoch },
        };
        self.release(record, epoch).await;
    }
}

impl Node {
    /// Returns when a planned stop has begun and is done.
    pub(super) async fn wait_for_stop(
        self: &Arc<Self>,
        mut stop: watch::Receiver<bool>,
        close: watch::Sender<bool>,
    ) {
        if stop.wait_for(|stop| *stop).await.is_err() {
            log::warn!("event=signals-lost");
        }
        let begun = self.now();
        self.stopping.store(true, Ordering::Relaxed);
        let cells = self.cells();
        let views = cells.iter().flat_map(|cells| &cells.views);
        let owned = views.filter_map(|view| Some((view.clone(), view.living_owner()?)));
        let owned: Vec<_> = owned.collect();
        log::info!("event=stopping entry={} owned={}", self.me, owned.len());
        let mut transfers = JoinSet::new();
        for (view, owner) in owned {
            transfers.spawn(async move { view.transfer(&owner, false).await });
        }
        transfers.join_all().await;
        let grace = self.settings.grace;
        while self.now().since(begun) < UNLISTED.min(grace - LAST) {
            tokio::time::sleep(LOOK.duration()).await;
        }
        close.send_replace(true);
        // Each connection holds a receiver until its last answer has left. Counting requests in place of them
        // lost one whose head was read after the last look.
        let left = (grace - LAST) - self.now().since(begun);
        if tokio::time::timeout(left.duration(), close.closed()).await.is_err() {
            log::info!(
                "event=callers-left entry={} connections={}",
                self.me,
                close.receiver_count()
            );
        }
        // The last answers have to leave.
        tokio::time::sleep(LOOK.duration()).await;
    }
}
