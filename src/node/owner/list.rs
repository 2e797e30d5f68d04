//! One reader of the list of workers for the owners of all cells: the owner of the first cell.
//!
//! An owner that gets no answer from the reader reads the list from the store itself until the
//! reader answers again.

use crate::cell::workers::shared_list::{ListUpdate, ListVersion, SharedList};
use crate::clock::Millis;
use crate::node::msg::{EntryMessage, OwnerMessage};
use crate::node::owner::Owner;
use crate::node::owner::store::READ_TIMEOUT;
use crate::node::owner::workers::{
    FULL_LIST_INTERVAL, KnownList, LIST_READ_INTERVAL, WORKERS_PART, parse_worker,
};
use crate::order::WorkerInfo;
use crate::platform::store::{StoreError, decode_keyed};
use std::sync::Arc;

/// The cell whose owner reads the list for all.
const READER_CELL: u32 = 0;
/// How long to wait for the next update: three times as long as it usually takes. A list of this age
/// is still as recent as one that was read from a slow store.
const UPDATE_TIMEOUT: Millis = Millis(1_200);
/// How long a reader that did not answer is not asked again.
const READER_RETRY_DELAY: Millis = Millis(2_000);

impl Owner {
    /// Reads the list of all workers and publishes each reading, if this owner is the reader.
    pub(super) async fn publish_workers(self: Arc<Self>) {
        if self.view.cell != READER_CELL || self.view.cell_count == 1 {
            return std::future::pending().await;
        }
        let mut list = SharedList::new(self.epoch);
        let (mut next_offset, mut read_all_at) = (0, Millis(0));
        loop {
            let now = self.node.now();
            let pauses = self.node.clock.pause_count();
            let is_whole = read_all_at == Millis(0) || now.since(read_all_at) >= FULL_LIST_INTERVAL;
            let result = match is_whole {
                true => self.read_whole_list(&mut list).await,
                false => self.read_list_changes(&mut list, next_offset).await,
            };
            self.check_for_pause(self.node.now());
            match result {
                // A list that was read before the pause is not passed on.
                _ if self.node.clock.pause_count() != pauses => read_all_at = Millis(0),
                Ok(end) => {
                    next_offset = end;
                    read_all_at = if is_whole { now } else { read_all_at };
                    self.node.worker_list.send_replace(Some(Arc::new(list.clone())));
                }
                Err(err) => {
                    read_all_at = Millis(0);
                    log::info!("event=worker-list-not-published error={err:?}");
                }
            }
            tokio::time::sleep(LIST_READ_INTERVAL.duration()).await;
        }
    }

    /// Reads the whole list. Returns the offset from which to read on.
    async fn read_whole_list(&self, list: &mut SharedList) -> Result<u64, StoreError> {
        let (listed, end) = self.node.list_workers().await?;
        let listed = listed.into_iter().filter_map(|worker| Some((self.cell_of(&worker)?, worker)));
        list.replace(end, listed.collect());
        Ok(end)
    }

    /// Reads the entries that workers wrote since `from`. Returns the offset from which to read on.
    async fn read_list_changes(&self, list: &mut SharedList, from: u64) -> Result<u64, StoreError> {
        let read = self.node.store.read(WORKERS_PART, from, Millis(0), READ_TIMEOUT).await?;
        let mut next_offset = from;
        for (offset, record) in read.records {
            next_offset = offset + 1;
            let Some((id, value)) = decode_keyed(&record) else { continue };
            let worker = (!value.is_empty()).then(|| parse_worker(id.clone(), &value)).flatten();
            let entry = worker.and_then(|worker| Some((self.cell_of(&worker)?, worker)));
            list.apply(offset, &id, entry);
        }
        list.set_end(next_offset);
        Ok(next_offset)
    }

    fn cell_of(&self, worker: &WorkerInfo) -> Option<u32> {
        self.node.cells().map(|cells| cells.map.cell_of_worker(worker))
    }

    /// Answers the owner of another cell with what the next reading of the list changes there.
    pub(super) async fn next_list_update(
        &self,
        cell: u32,
        known: Option<ListVersion>,
    ) -> OwnerMessage {
        let mut lists = self.node.worker_list.subscribe();
        lists.borrow_and_update();
        let changed = lists.changed().await;
        let list = lists.borrow().clone();
        match (changed, list) {
            (Ok(()), Some(list)) => OwnerMessage::Workers(list.update_since(cell, known)),
            _ => OwnerMessage::InDoubt,
        }
    }

    /// Asks the reader for the next change of the list of this cell. Returns whether it changes the
    /// list, or `None` if the reader does not answer.
    pub(super) async fn follow_reader(&self, known: &mut KnownList) -> Option<bool> {
        known.is_followed = false;
        let now = self.node.now();
        let cells = self.node.cells().filter(|cells| cells.map.cell_count() > 1)?;
        if now < known.retry_at {
            return None;
        }
        let version = known.version.filter(|_| known.read_all_at > Millis(0));
        let message = EntryMessage::FollowWorkers { cell: self.view.cell, known: version };
        let answer = cells.get(READER_CELL)?.request_once(message);
        match tokio::time::timeout(UPDATE_TIMEOUT.duration(), answer).await {
            Ok(Ok(OwnerMessage::Workers(update))) if update.end >= known.next_offset => {
                known.is_followed = true;
                Some(self.apply_update(known, update))
            }
            answer => {
                let is_answered = matches!(answer, Ok(Ok(_)));
                let cell = self.view.cell;
                log::debug!("event=worker-list-not-followed cell={cell} answered={is_answered}");
                known.retry_at = self.node.now() + READER_RETRY_DELAY;
                None
            }
        }
    }

    /// Applies an update to the known list. Returns whether it changes the list.
    fn apply_update(&self, known: &mut KnownList, update: ListUpdate) -> bool {
        let ListUpdate { is_whole, version, end, listed, removed } = update;
        (known.next_offset, known.read_all_at) = (end, self.node.now());
        known.version = Some(version);
        let mut changed = is_whole;
        if is_whole {
            known.workers.clear();
        }
        for id in removed {
            changed |= known.workers.remove(&id).is_some();
        }
        for worker in listed {
            changed |= known.workers.get(&worker.id) != Some(&worker);
            known.workers.insert(worker.id.clone(), worker);
        }
        changed
    }
}
