//! Writes the records of a cell to the store, and reads them back after a takeover.

use crate::cell::records::journal::{Batch, Snapshot, parse_key};
use crate::cell::records::parts::{Append, RecordParts};
use crate::clock::Millis;
use crate::node::owner::Owner;
use crate::node::view::CellView;
use crate::node::{STORE_RETRY_DELAY, lock};
use crate::order::WorkerInfo;
use crate::platform::store::{Appended, Precondition, StoreError, encode_keyed};
use bytes::{Bytes, BytesMut};
use std::borrow::Cow;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// The topic with the records of jobs, their progress and the workers in use.
const TOPIC: &str = "keyed.jobs";
/// The name of the owner as a producer on its partition.
const PRODUCER: &str = "cell";
/// The least time between the starts of two appends, so that the records of that time share one
/// append. An append costs the store as much as 35 KB of data, and the objective of a job leaves at
/// least 250 ms to spare.
const MIN_APPEND_INTERVAL: Millis = Millis(20);
/// Timeout of an append. The slowest store that the platform's contract allows takes 240 ms, 60
/// times the usual 4 ms.
const APPEND_TIMEOUT: Millis = Millis(600);
/// Timeout of a read.
pub(super) const READ_TIMEOUT: Millis = Millis(2_000);
/// An append is overdue if it is not answered within this time. The slowest store that the
/// platform's contract allows answers within 240 ms.
const OVERDUE_AFTER: Millis = Millis(300);
/// New jobs are withdrawn once the store has refused their batch for this long. A store that only
/// limits the rate of calls accepts the batch sooner.
const WITHDRAW_AFTER: Millis = Millis(600);

/// The state that a new owner reads from the store.
#[derive(Debug)]
pub(super) struct Recovered {
    pub snapshot: Snapshot,
    pub parts: RecordParts,
    pub listed: Vec<WorkerInfo>,
}

/// The outcome of writing a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteOutcome {
    /// The batch is in the store.
    Stored,
    /// The batch held only new jobs, and these were withdrawn.
    Withdrawn,
    /// Another entry owns the cell, and the store accepts no more batches from this one.
    Deposed,
}

/// Encodes records as the body of an append.
fn encode_records(records: &[(Cow<'_, str>, &[u8])]) -> Bytes {
    let mut body = BytesMut::new();
    for (key, value) in records {
        encode_keyed(&mut body, key, value);
    }
    body.freeze()
}

impl CellView {
    /// Fences earlier owners off the store and reads its records, retrying until that works.
    /// Returns `None` if another entry claims the cell first.
    pub(super) async fn recover(&self, epoch: u64) -> Option<Recovered> {
        loop {
            if !self.is_leader(epoch) {
                return None;
            }
            match self.try_recover(epoch).await {
                Ok(found) => return Some(found),
                Err(StoreError::Fenced) => return None,
                Err(err) => {
                    log::info!("event=takeover-retried epoch={epoch} error={err:?}");
                    tokio::time::sleep(STORE_RETRY_DELAY.duration()).await;
                }
            }
        }
    }

    async fn try_recover(&self, epoch: u64) -> Result<Recovered, StoreError> {
        let guard = Precondition::Producer { name: PRODUCER, epoch, seq: 0 };
        let mut topic = TOPIC.to_string();
        let part = self.partition(&mut topic);
        let store = &self.node.store;
        match store.append(part, guard, Bytes::new(), APPEND_TIMEOUT).await {
            // The fence is set already, but the answer to the first attempt was lost. A fence of a
            // later epoch would give `Fenced`. If this were an error, the takeover would be retried
            // forever.
            Ok(_) | Err(StoreError::OutOfSequence) => {}
            Err(err) => return Err(err),
        }
        let (items, _) = self.node.read_latest(part, READ_TIMEOUT).await?;
        let records = items.into_iter().map(|item| (item.key.to_string(), item.value));
        let (records, parts) = RecordParts::join(records);
        let mut snapshot = Snapshot::default();
        for (key, value) in records {
            if let Err(err) = snapshot.apply(&key, &value) {
                log::error!("event=record-unreadable key={key} error={err:?}");
            }
        }
        let (listed, _) = self.list_workers().await?;
        Ok(Recovered { snapshot, parts, listed })
    }
}

impl Owner {
    /// Appends the records of the cell to the store, one batch at a time.
    pub(super) async fn write_batches(self: Arc<Self>, mut parts: RecordParts) {
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
            if self.write_batch(&batch, &mut seq, &mut parts).await == WriteOutcome::Deposed {
                return;
            }
            lock(&self.cell).mark_stored(self.node.now(), batch.number);
            self.stored_batch.send_replace(batch.number);
            self.schedule_wake.notify_one();
            // With a slow store the append has taken longer than that, and there is no pause.
            tokio::time::sleep_until(started + MIN_APPEND_INTERVAL.duration()).await;
        }
    }

    /// Waits for the answer to an append. Once it is overdue, no more jobs are accepted, and jobs
    /// that wait for a later batch are withdrawn, so that their callers are told at once and for
    /// certain that these were not run. Otherwise an owner behind a network partition would leave
    /// their callers in doubt.
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
        // Callers that wait for a withdrawn job have to see that it is gone.
        self.stored_batch.send_modify(|_| {});
        append.await
    }

    /// Appends one batch, retrying for as long as it takes. If the store refuses the batch for
    /// [`WITHDRAW_AFTER`] and certainly has nothing of it, its new jobs are withdrawn, so that their
    /// callers are told that these were not run. `seq` is the number of the last append.
    async fn write_batch(
        &self,
        batch: &Batch,
        seq: &mut u64,
        parts: &mut RecordParts,
    ) -> WriteOutcome {
        let mut records: Vec<(&str, &[u8])> =
            batch.records.iter().map(|(key, value)| (key.as_str(), value.as_slice())).collect();
        let sizes = self.node.settings.store_sizes;
        let mut appends = VecDeque::from(parts.split(records.iter().copied(), sizes));
        let mut may_be_stored = false;
        let started = self.node.now();
        while let Some(append) = appends.front() {
            let err = match self.append_records(batch.number, append, *seq + 1).await {
                Ok(_) => {
                    parts.record_append(append);
                    (*seq, may_be_stored) = (*seq + 1, true);
                    appends.pop_front();
                    continue;
                }
                Err(StoreError::Fenced) => {
                    log::info!("event=deposed epoch={} by=store", self.epoch);
                    return WriteOutcome::Deposed;
                }
                Err(err) => err,
            };
            if self.store_up.swap(false, Ordering::Relaxed) {
                let (records, bytes) = (append.records.len(), append.size);
                log::info!(
                    "event=store-unavailable batch={} records={records} bytes={bytes} error={err:?}",
                    batch.number
                );
            }
            self.store_failed();
            may_be_stored = may_be_stored || !matches!(err, StoreError::Refused(_));
            if !may_be_stored && self.node.now().since(started) >= WITHDRAW_AFTER {
                let withdrawn = lock(&self.cell).withdraw_batch(batch.number);
                // Drops all records of the withdrawn jobs: if a binding stayed, it would count for
                // the same job when that is submitted again.
                records.retain(|(key, _)| {
                    !parse_key(key).is_some_and(|(job, _)| withdrawn.contains(&job))
                });
                // Callers that wait for a withdrawn job have to see that it is gone.
                self.stored_batch.send_modify(|_| {});
                if records.is_empty() {
                    return WriteOutcome::Withdrawn;
                }
                appends = parts.split(records.iter().copied(), sizes).into();
            }
            tokio::time::sleep(STORE_RETRY_DELAY.duration()).await;
        }
        if !self.store_up.swap(true, Ordering::Relaxed) {
            log::info!("event=store-recovered batch={}", batch.number);
        }
        lock(&self.authority).record_store_success();
        self.node.metrics.observe_append(self.node.now().since(started));
        WriteOutcome::Stored
    }

    /// Sends one append of a batch to the store.
    async fn append_records(
        &self,
        batch: u64,
        append: &Append<'_>,
        seq: u64,
    ) -> Result<Appended, StoreError> {
        let guard = Precondition::Producer { name: PRODUCER, epoch: self.epoch, seq };
        let body = encode_records(&append.records);
        let mut topic = TOPIC.to_string();
        let part = self.view.partition(&mut topic);
        let append = self.node.store.append(part, guard, body, APPEND_TIMEOUT);
        self.append_or_withdraw(batch, append).await
    }
}
