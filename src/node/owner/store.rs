//! What an owner keeps in the store, and how it reads it again after a takeover.

use crate::cell::records::journal::{Batch, Snapshot, parse_key};
use crate::clock::Millis;
use crate::node::owner::Owner;
use crate::node::view::CellView;
use crate::node::{STORE_RETRY_DELAY, lock};
use crate::order::WorkerInfo;
use crate::platform::store::{Precondition, StoreError, encode_keyed};
use bytes::{Bytes, BytesMut};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// The topic that holds jobs, their progress and the workers in use.
const TOPIC: &str = "keyed.jobs";
/// The producer's name on the owner's partition.
const PRODUCER: &str = "cell";
/// The least time between two appends of an owner: what comes meanwhile goes together. An append
/// costs as much as 35 KB in the store, and a job's objective has at least 250 ms to spare.
const MIN_APPEND_INTERVAL: Millis = Millis(20);
/// The longest wait for an append's answer: the slowest store of the platform's contract takes 60
/// times its usual 4 ms.
const APPEND_TIMEOUT: Millis = Millis(600);
/// The longest wait for a read's answer.
pub(super) const READ_TIMEOUT: Millis = Millis(2_000);
/// An append without an answer for this long is overdue: the slowest store of the platform's
/// contract answers within 240 ms.
const OVERDUE_AFTER: Millis = Millis(300);
/// New jobs whose batch is refused this long are given back to their callers: a store that is
/// merely asked too often takes them before.
const WITHDRAW_AFTER: Millis = Millis(600);

/// What became of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteOutcome {
    /// The store has it.
    Stored,
    /// It held nothing but new jobs, which were given back.
    Withdrawn,
    /// Another entry owns the cell.
    Deposed,
}

fn encode_records(records: &[&(String, Vec<u8>)]) -> Bytes {
    let mut body = BytesMut::new();
    for (key, value) in records {
        encode_keyed(&mut body, key, value);
    }
    body.freeze()
}

impl CellView {
    /// Fences earlier owners off the store, and reads what it holds; `None`: deposed meanwhile.
    pub(super) async fn recover(&self, epoch: u64) -> Option<(Snapshot, Vec<WorkerInfo>)> {
        loop {
            if !self.is_leader(epoch) {
                return None;
            }
            match self.try_recover(epoch).await {
                Ok(found) => return Some(found),
                Err(StoreError::Fenced) => return None,
                Err(err) => {
                    log::info!("event=takeover-waits epoch={epoch} error={err:?}");
                    tokio::time::sleep(STORE_RETRY_DELAY.duration()).await;
                }
            }
        }
    }

    async fn try_recover(&self, epoch: u64) -> Result<(Snapshot, Vec<WorkerInfo>), StoreError> {
        let guard = Precondition::Producer { name: PRODUCER, epoch, seq: 0 };
        let mut topic = TOPIC.to_string();
        let part = self.partition(&mut topic);
        let store = &self.node.store;
        match store.append(part, guard, Bytes::new(), APPEND_TIMEOUT).await {
            // The fence is there already: its first answer was lost. A later epoch would be
            // `Fenced`. Without this the takeover waited for good.
            Ok(_) | Err(StoreError::OutOfSequence) => {}
            Err(err) => return Err(err),
        }
        let (items, _) = store.latest_all(part, READ_TIMEOUT).await?;
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
            let (batch, stored) = {
                let mut cell = lock(&self.cell);
                (cell.take_batch(self.node.now()), cell.stored_batch())
            };
            let Some(batch) = batch else {
                self.stored_batch.send_replace(stored);
                self.write_wake.notified().await;
                continue;
            };
            let started = tokio::time::Instant::now();
            match self.write_batch(&batch, seq + 1).await {
                WriteOutcome::Stored => seq += 1,
                WriteOutcome::Withdrawn => {}
                WriteOutcome::Deposed => return,
            }
            lock(&self.cell).mark_stored(self.node.now(), batch.number);
            self.stored_batch.send_replace(batch.number);
            self.schedule_wake.notify_one();
            // A store that is slow makes the pause by itself.
            tokio::time::sleep_until(started + MIN_APPEND_INTERVAL.duration()).await;
        }
    }

    /// Waits for the answer to an append. Once it is overdue, no more jobs are taken, and those that
    /// wait for a later batch are given back: their callers are told at once, and truthfully, that
    /// they were not run. An owner behind a cut would leave them in doubt.
    async fn append_or_withdraw<T>(&self, batch: u64, append: impl Future<Output = T>) -> T {
        tokio::pin!(append);
        let overdue = tokio::time::sleep(OVERDUE_AFTER.duration());
        tokio::select! {
            done = &mut append => return done,
            () = overdue => {}
        }
        self.store_up.store(false, Ordering::Relaxed);
        let withdrawn = lock(&self.cell).withdraw_after(batch);
        log::info!("event=append-overdue batch={batch} withdrawn={}", withdrawn.len());
        // Callers that wait report_wake again.
        self.stored_batch.send_modify(|_| {});
        append.await
    }

    /// Appends one batch, however long that takes. While the store surely has not taken it, its new
    /// jobs are given back, so that their callers are told at once that they were not run.
    async fn write_batch(&self, batch: &Batch, seq: u64) -> WriteOutcome {
        let mut records: Vec<&(String, Vec<u8>)> = batch.records.iter().collect();
        let mut may_be_stored = false;
        let started = self.node.now();
        loop {
            let guard = Precondition::Producer { name: PRODUCER, epoch: self.epoch, seq };
            let body = encode_records(&records);
            let mut topic = TOPIC.to_string();
            let part = self.view.partition(&mut topic);
            let append = self.node.store.append(part, guard, body, APPEND_TIMEOUT);
            let err = match self.append_or_withdraw(batch.number, append).await {
                Ok(_) => {
                    if !self.store_up.swap(true, Ordering::Relaxed) {
                        log::info!("event=store-back batch={}", batch.number);
                    }
                    lock(&self.authority).recover();
                    self.node.metrics.observe_append(self.node.now().since(started));
                    return WriteOutcome::Stored;
                }
                Err(StoreError::Fenced) => {
                    log::info!("event=deposed epoch={} by=store", self.epoch);
                    return WriteOutcome::Deposed;
                }
                Err(err) => err,
            };
            if self.store_up.swap(false, Ordering::Relaxed) {
                log::info!("event=store-lost batch={} error={err:?}", batch.number);
            }
            self.store_failed();
            may_be_stored = may_be_stored || !matches!(err, StoreError::Refused(_));
            if !may_be_stored && self.node.now().since(started) >= WITHDRAW_AFTER {
                let withdrawn = lock(&self.cell).withdraw_batch(batch.number);
                // All that is of them: a binding that stayed would be taken for one of the same job, submitted again.
                records.retain(|(key, _)| {
                    !parse_key(key).is_some_and(|(job, _)| withdrawn.contains(&job))
                });
                // Callers that wait report_wake again.
                self.stored_batch.send_modify(|_| {});
                if records.is_empty() {
                    return WriteOutcome::Withdrawn;
                }
            }
            tokio::time::sleep(STORE_RETRY_DELAY.duration()).await;
        }
    }
}
