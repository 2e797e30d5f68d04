//! The owners of all cells, as they announce themselves in the platform's store.
//!
//! With many cells and entries, entries that start together could not all read the claims on every
//! cell. An entry reads those of its home cell, and learns the owners of the others from one topic
//! with a record for each cell. A record may be outdated: then the connection to that owner is
//! refused, and the claims are read after a while.

use crate::cell::owner::backoff::Backoff;
use crate::cell::owner::election::Leader;
use crate::clock::Millis;
use crate::node::view::CellView;
use crate::node::{Node, STORE_RETRY_DELAY, lock};
use crate::platform::store::{
    LatestRecord, Partition, Precondition, StoreError, decode_keyed, encode_keyed,
};
use bytes::BytesMut;
use std::sync::Arc;

/// The topic with a record of each cell's owner.
const OWNERS_PART: Partition<'static> = Partition { topic: "keyed.owners", index: 0 };
/// How long a read waits for the next record. A connection that went silent is noticed within this
/// time, and the claims tell of a new owner sooner than that.
const READ_WAIT: Millis = Millis(5_000);
/// How much longer than the wait the answer to a read may take.
const READ_MARGIN: Millis = Millis(500);
/// Timeout of an append.
const APPEND_TIMEOUT: Millis = Millis(900);

impl Node {
    /// Follows the owners of all cells for as long as the process runs.
    pub(super) async fn follow_owners(&self) {
        if self.cells().is_none_or(|cells| cells.map.cell_count() == 1) {
            return;
        }
        let mut backoff = Backoff::default();
        let mut next_offset = None;
        loop {
            match self.read_owners(next_offset).await {
                Ok(end) => {
                    next_offset = Some(end);
                    backoff.record_success();
                }
                Err(err) => {
                    log::debug!("event=owners-read-failed error={err:?}");
                    next_offset = None;
                    let delay = backoff.next_delay(self.entry_count(), self.seed());
                    tokio::time::sleep(delay.duration()).await;
                }
            }
        }
    }

    /// Reads all records of owners, or waits for those after an offset. Returns the offset from
    /// which to read on.
    async fn read_owners(&self, next_offset: Option<u64>) -> Result<u64, StoreError> {
        let Some(from) = next_offset else {
            let (items, end) = self.read_latest(OWNERS_PART, READ_MARGIN).await?;
            for LatestRecord { key, value } in &items {
                self.apply_owner(key, value);
            }
            return Ok(end);
        };
        let timeout = READ_WAIT + READ_MARGIN;
        let read = self.store.read(OWNERS_PART, from, READ_WAIT, timeout).await?;
        for (_, record) in &read.records {
            if let Some((key, value)) = decode_keyed(record) {
                self.apply_owner(&key, &value);
            }
        }
        Ok(read.records.last().map_or(from, |(offset, _)| offset + 1))
    }

    /// Takes the owner of a cell from its record.
    fn apply_owner(&self, key: &str, value: &[u8]) {
        let cells = self.cells();
        let view = |cell: u32| cells.as_ref().and_then(|cells| cells.get(cell));
        let leader = postcard::from_bytes::<Leader>(value);
        match (key.parse().map(view), leader) {
            (Ok(Some(view)), Ok(leader)) => view.learn_owner(leader),
            (cell, leader) => {
                let is_known = matches!(cell, Ok(Some(_)));
                log::warn!(
                    "event=owner-record-invalid key={key} known={is_known} leader={leader:?}"
                );
            }
        }
    }
}

impl CellView {
    /// Notes an owner that another entry than the claims tell of.
    fn learn_owner(&self, leader: Leader) {
        let now = self.now();
        let (leader, is_vacant) = {
            let mut election = lock(&self.election);
            election.learn_leader(now, leader);
            (election.leader().cloned(), election.is_vacant())
        };
        self.set_leader(leader);
        // The owner was an earlier process of this entry, which can claim the cell before others
        // notice that it is gone.
        if is_vacant {
            self.set_follows_claims(true);
        }
    }

    /// Announces this entry as the owner of the cell in `epoch`, until that succeeds or another
    /// entry owns the cell.
    pub(super) async fn announce_owner(self: Arc<Self>, epoch: u64) {
        let (owner, addr) = (self.node.id.clone(), self.node.settings.advertised_addr.clone());
        let leader = Leader { epoch, owner, addr };
        let bytes = match postcard::to_stdvec(&leader) {
            Ok(bytes) => bytes,
            Err(err) => return log::error!("event=owner-record-not-encoded error={err:?}"),
        };
        let mut body = BytesMut::new();
        encode_keyed(&mut body, &self.cell.to_string(), &bytes);
        let body = body.freeze();
        let name = format!("cell-{}", self.cell);
        while self.cell_count > 1 && self.is_leader(epoch) && !self.has_ended_epoch(epoch) {
            let guard = Precondition::Producer { name: &name, epoch, seq: 1 };
            match self.node.store.append(OWNERS_PART, guard, body.clone(), APPEND_TIMEOUT).await {
                Ok(_) | Err(StoreError::Fenced | StoreError::OutOfSequence) => return,
                Err(err) => {
                    log::debug!("event=owner-not-announced cell={} error={err:?}", self.cell);
                    tokio::time::sleep(STORE_RETRY_DELAY.duration()).await;
                }
            }
        }
    }
}
