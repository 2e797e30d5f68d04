//! What an owner keeps in the store, and how it reads it again after a takeover.

use crate::cell::records::journal::{Batch, Snapshot, parse_key};
use crate::clock::Millis;
use crate::node::owner::Owner;
use crate::node::view::View;
use crate::node::{STORE_RETRY, lock};
use crate::order::Listed;
use crate::platform::store::{Guard, StoreError, put_keyed};
use bytes::{Bytes, BytesMut};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// The topic that holds jobs, their progress and the workers in use.
const TOPIC: &str = "keyed.jobs";
/// The producer's name on the owner's partition.
const PRODUCER: &str = "cell";
/// The least time between two appends of an owner: what comes meanwhile goes together. An append
/// costs as much as 35 KB in the store, and a job's objective has at least 250 ms to spare.
const APPEND_GAP: Millis = Millis(20);
/// The longest wait for an append's answer: the slowest store of the platform's contract takes 60
/// times its usual 4 ms.
const APPEND_LIMIT: Millis = Millis(600);
/// The longest wait for a read's answer.
pub(super) const READ_LIMIT: Millis = Millis(2_000);
/// An append without an answer for this long is overdue: the slowest store of the platform's
/// contract answers within 240 ms.
const OVERDUE: Millis = Millis(300);
/// New jobs whose batch is refused this long are given back to their callers: a store that is
/// merely asked too often takes them before.
const GIVE_BACK: Millis = Millis(600);

/// What became of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Written {
    /// The store has it.
    Done,
    /// It held nothing but new jobs, which were given back.
    Withdrawn,
    /// Another entry owns the cell.
    Deposed,
}

fn body(records: &[&(String, Vec<u8>)]) -> Bytes {
    let mut body = BytesMut::new();
    for (key, value) in records {
        put_keyed(&mut body, key, value);
    }
    body.freeze()
}

impl View {
    /// Fences earlier owners off the store, and reads what it holds; `None`: deposed meanwhile.
    pub(super) async fn recover(&self, epoch: u64) -> Option<(Snapshot, Vec<Listed>)> {
        loop {
            if !self.is_leader(epoch) {
                return None;
            }
            match self.try_recover(epoch).await {
                Ok(found) => return Some(found),
                Err(StoreError::Fenced) => return None,
                Err(err) => {
                    log::info!("event=takeover-waits epoch={epoch} error={err:?}");
                    tokio::time::sleep(STORE_RETRY.duration()).await;
                }
            }
        }
    }

    async fn try_recover(&self, epoch: u64) -> Result<(Snapshot, Vec<Listed>), StoreError> {
        let guard = Guard::Producer { name: PRODUCER, epoch, seq: 0 };
        let mut topic = TOPIC.to_string();
        let part = self.part(&mut topic);
        let store = &self.node.store;
        match store.append(part, guard, Bytes::new(), APPEND_LIMIT).await {
            // The fence is there already: its first answer was lost. A later epoch would be
            // `Fenced`. Without this the takeover waited for good.
            Ok(_) | Err(StoreError::Sequence) => {}
            Err(err) => return Err(err),
        }
        let (items, _) = store.newest_all(part, READ_LIMIT).await?;
        let mut snapshot = Snapshot::default();
        for item in items {
            if let Err(err) = snapshot.apply(&item.key, &item.value) {
                log::error!("event=record-unreadable key={} error={err:?}", item.key);
            }
        }
        let (listed, _) = self.list_workers().await?;
        Ok((snapshot, listed))
    }
}

impl Owner {
    /// Appends what has to last, a batch at a time.
    pub(super) async fn write_batches(self: Arc<Self>) {
        let mut seq = 0;
        loop {
            let (batch, kept) = {
                let mut cell = lock(&self.cell);
                (cell.take_batch(self.node.now()), cell.stored_batch())
            };
            let Some(batch) = batch else {
                self.kept.send_replace(kept);
                self.write.notified().await;
                continue;
            };
            let begun = tokio::time::Instant::now();
            match self.write_batch(&batch, seq + 1).await {
                Written::Done => seq += 1,
                Written::Withdrawn => {}
                Written::Deposed => return,
            }
            lock(&self.cell).mark_stored(self.node.now(), batch.number);
            self.kept.send_replace(batch.number);
            self.wake.notify_one();
            // A store that is slow makes the pause by itself.
            tokio::time::sleep_until(begun + APPEND_GAP.duration()).await;
        }
    }

    /// Waits for the answer to an append. Once it is overdue, no more jobs are taken, and those that
    /// wait for a later batch are given back: their callers are told at once, and truthfully, that
    /// they were not run. An owner behind a cut would leave them in doubt.
    async fn watch_append<T>(&self, batch: u64, append: impl Future<Output = T>) -> T {
        tokio::pin!(append);
        let overdue = tokio::time::sleep(OVERDUE.duration());
        tokio::select! {
            done = &mut append => return done,
            () = overdue => {}
        }
        self.store.store(false, Ordering::Relaxed);
        let gone = lock(&self.cell).withdraw_after(batch);
        log::info!("event=append-overdue batch={batch} withdrawn={}", gone.len());
        // Callers that wait look again.
        self.kept.send_modify(|_| {});
        append.await
    }

    /// Appends one batch, however long that takes. While the store surely has not taken it, its new
    /// jobs are given back, so that their callers are told at once that they were not run.
    async fn write_batch(&self, batch: &Batch, seq: u64) -> Written {
        let mut records: Vec<&(String, Vec<u8>)> = batch.records.iter().collect();
        let mut may_be_there = false;
        let begun = self.node.now();
        loop {
            let guard = Guard::Producer { name: PRODUCER, epoch: self.epoch, seq };
            let body = body(&records);
            let mut topic = TOPIC.to_string();
            let part = self.view.part(&mut topic);
            let append = self.node.store.append(part, guard, body, APPEND_LIMIT);
            let err = match self.watch_append(batch.number, append).await {
                Ok(_) => {
                    if !self.store.swap(true, Ordering::Relaxed) {
                        log::info!("event=store-back batch={}", batch.number);
                    }
                    lock(&self.authority).record_store_success();
                    self.node.metrics.appended(self.node.now().since(begun));
                    return Written::Done;
                }
                Err(StoreError::Fenced) => {
                    log::info!("event=deposed epoch={} by=store", self.epoch);
                    return Written::Deposed;
                }
                Err(err) => err,
            };
            if self.store.swap(false, Ordering::Relaxed) {
                log::info!("event=store-lost batch={} error={err:?}", batch.number);
            }
            self.store_failed();
            may_be_there = may_be_there || !matches!(err, StoreError::Refused(_));
            if !may_be_there && self.node.now().since(begun) >= GIVE_BACK {
                let gone = lock(&self.cell).withdraw_batch(batch.number);
                // All that is of them: a binding that stayed would be taken for one of the same job, submitted again.
                records
                    .retain(|(key, _)| !parse_key(key).is_some_and(|(job, _)| gone.contains(&job)));
                // Callers that wait look again.
                self.kept.send_modify(|_| {});
                if records.is_empty() {
                    return Written::Withdrawn;
                }
            }
            tokio::time::sleep(STORE_RETRY.duration()).await;
        }
    }
}
