//! A planned stop: shards are handed over, requests in flight end, the listener closes last.

use crate::clock::Millis;
use crate::entry::{Entry, ShardHandle, lock};
use crate::id::{Name, rendezvous};
use crate::trace::EventKind;
use crate::wire::msg::PeerRequest;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// How long handing over may take before the entry stops anyway.
const HANDOVER_TIMEOUT: Millis = Millis(10_000);
/// Time between looks.
const POLL_INTERVAL: Millis = Millis(50);
/// How long a peer may take to answer.
const PEER_TIMEOUT: Millis = Millis(1_000);
/// Requests in flight may take this long to end.
const IN_FLIGHT_TIMEOUT: Millis = Millis(60_000);

impl Entry {
    /// Hands over shards and waits until callers were sent elsewhere and requests have ended.
    pub async fn stop(self: &Arc<Self>) {
        if self.stopping.swap(true, Ordering::SeqCst) {
            return self.wait_stopped().await;
        }
        let begun = self.now();
        self.trace.record(EventKind::Stopping);
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

    /// Ready when a stop that was ordered through the API is done.
    pub async fn wait_stopped(&self) {
        let mut stopped = self.stopped.subscribe();
        let _ = stopped.wait_for(|stopped| *stopped).await;
    }

    /// Whether the entry is stopping: its balancer should send callers elsewhere.
    pub fn is_stopping(&self) -> bool {
        self.stop_requested()
    }

    /// How many shards this entry owns.
    pub(crate) fn owned_shards(&self) -> usize {
        let owned = self.shards().into_iter().filter(|handle| handle.shard().office().is_some());
        owned.count()
    }

    /// Gives a shard up in favour of a peer of this failure domain, which claims it at once.
    async fn release_shard(self: &Arc<Self>, handle: &Arc<ShardHandle>) {
        let Some(epoch) = handle.shard().office().map(|office| office.epoch()) else { return };
        let fresh = lock(&self.peers).reachable(self.now()).into_iter();
        let here = fresh.filter(|(_, domain, _)| *domain == self.settings.domain);
        let here: BTreeMap<Name, SocketAddr> = here.map(|(name, _, addr)| (name, addr)).collect();
        let Some(name) = rendezvous(&handle.id, here.keys()) else { return };
        let addr = here[name];
        let ask = PeerRequest::Release { shard: handle.id.clone(), epoch };
        let _ = self.quic.request(name, addr, ask, PEER_TIMEOUT).await;
    }
}

/// Counts a request in flight for as long as it lives.
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
