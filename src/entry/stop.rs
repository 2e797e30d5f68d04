//! Planned stop of an entry: it hands over its shards, lets requests in flight end, and closes its
//! listener last.

use crate::clock::Millis;
use crate::entry::{Entry, ShardHandle, lock};
use crate::id::{Name, rendezvous};
use crate::trace::EventKind;
use crate::wire::msg::PeerRequest;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Time after which the entry stops even if it still owns shards.
const HANDOVER_TIMEOUT: Millis = Millis(10_000);
/// Interval between checks of the progress.
const POLL_INTERVAL: Millis = Millis(50);
/// Timeout of a request to a peer to claim a shard.
const PEER_TIMEOUT: Millis = Millis(1_000);
/// Time after which the entry stops even if requests are in flight, counted from the beginning of
/// the stop.
const IN_FLIGHT_TIMEOUT: Millis = Millis(60_000);

impl Entry {
    /// Hands over all shards, then waits until the load balancer sends callers elsewhere and requests
    /// in flight have ended.
    pub async fn stop(self: &Arc<Self>) {
        if self.stopping.swap(true, Ordering::SeqCst) {
            return self.wait_stopped().await;
        }
        let begun = self.now();
        self.trace.record(EventKind::ProcessStopping);
        self.state_changed.notify_one();
        while self.owned_shards() > 0 && self.now().since(begun) < HANDOVER_TIMEOUT {
            for handle in self.shards() {
                match self.is_log_fresh() {
                    true => self.release_shard(&handle).await,
                    false => self.hand_over(&handle).await,
                }
            }
            tokio::time::sleep((POLL_INTERVAL + POLL_INTERVAL).duration()).await;
        }
        let grace = self.settings.stop_grace;
        while self.now().since(begun) < grace {
            tokio::time::sleep(POLL_INTERVAL.duration()).await;
        }
        while self.open_requests.load(Ordering::SeqCst) > 0
            && self.now().since(begun) < IN_FLIGHT_TIMEOUT
        {
            tokio::time::sleep(POLL_INTERVAL.duration()).await;
        }
        self.stopped.send_replace(true);
    }

    /// Completes when a planned stop is complete.
    pub async fn wait_stopped(&self) {
        let mut stopped = self.stopped.subscribe();
        let _ = stopped.wait_for(|stopped| *stopped).await;
    }

    /// Whether the entry is stopping, so that the load balancer should send callers elsewhere.
    pub fn is_stopping(&self) -> bool {
        self.stop_requested()
    }

    /// The number of shards that this entry owns.
    pub(crate) fn owned_shards(&self) -> usize {
        let owned = self.shards().into_iter().filter(|handle| handle.shard().owner().is_some());
        owned.count()
    }

    /// Asks a peer of this failure domain to claim a shard that this entry owns.
    async fn release_shard(self: &Arc<Self>, handle: &Arc<ShardHandle>) {
        let Some(epoch) = handle.shard().owner().map(|owner| owner.epoch()) else { return };
        let fresh = lock(&self.peers).reachable(self.now()).into_iter();
        let here = fresh.filter(|(_, domain, _)| *domain == self.settings.domain);
        let here: BTreeMap<Name, SocketAddr> = here.map(|(name, _, addr)| (name, addr)).collect();
        let Some(name) = rendezvous(&handle.id, here.keys()) else { return };
        let addr = here[name];
        let ask = PeerRequest::Release { shard: handle.id.clone(), epoch };
        let _ = self.quic.request(name, addr, ask, PEER_TIMEOUT).await;
    }
}

/// Counts as one request in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlight(Arc<Entry>);

impl InFlight {
    pub fn new(entry: &Arc<Entry>) -> Self {
        entry.open_requests.fetch_add(1, Ordering::SeqCst);
        Self(entry.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::SeqCst);
    }
}
