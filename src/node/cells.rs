//! The cells of the fleet, and the map that assigns workers and jobs to them: every entry reads the
//! map from the store, and one of them writes it.

use crate::cell::jobs::wait::WaitLogTimer;
use crate::cell::owner::backoff::Backoff;
use crate::cell::owner::cell_map::CellMap;
use crate::cell::owner::map_writer::{MapStep, MapWriter};
use crate::clock::Millis;
use crate::id::Name;
use crate::node::Node;
use crate::node::view::CellView;
use crate::platform::store::{Partition, Precondition, StoreError, encode_keyed};
use crate::workload::JobKey;
use bytes::BytesMut;
use std::sync::Arc;

/// The topic of the map, and the key of its record.
const MAP_PART: Partition<'static> = Partition { topic: "keyed.map", index: 0 };
const MAP_KEY: &str = "map";
/// Timeout of writing the map.
const WRITE_TIMEOUT: Millis = Millis(2_000);
/// Timeout of reading the map, which is small. A store that is 60 times slower than usual answers
/// within 240 ms, and a connection that was opened while it was down hangs.
const READ_TIMEOUT: Millis = Millis(450);
/// The key of the record by which an entry announces that it counts the workers.
const COUNTER_KEY: &str = "counter";
/// How long a read waits for the next record of the map's topic at the most. A connection that went
/// silent is noticed within this time.
const MAX_WAIT: Millis = Millis(1_000);
/// How long an entry without a policy waits before it looks again.
const COUNT_POLL: Millis = Millis(200);
/// How long an entry is without a map before that is first logged.
const FIRST_LOG_DELAY: Millis = Millis(2_000);

/// All cells of the fleet.
#[derive(Debug)]
pub(super) struct Cells {
    pub map: CellMap,
    pub views: Vec<Arc<CellView>>,
}

impl Cells {
    /// The home cell of a job: that of its workspace if it has one, otherwise that of its key.
    pub fn of_job(&self, job: JobKey, workspace: Option<&Name>) -> Option<&Arc<CellView>> {
        let of_job = || self.map.cell_of_job(job);
        let cell = workspace.map_or_else(of_job, |name| self.map.cell_of_workspace(name));
        self.views.get(cell as usize)
    }

    /// The cell with a given number.
    pub fn get(&self, cell: u32) -> Option<&Arc<CellView>> {
        self.views.get(cell as usize)
    }

    /// The home cell of this entry.
    pub fn home(&self) -> Option<&Arc<CellView>> {
        self.views.iter().find(|view| view.is_home)
    }

    /// Whether the owners of more than half of the cells accept jobs, so that callers can be
    /// served.
    pub fn accept_jobs(&self) -> bool {
        let accepting = self.views.iter().filter(|view| view.accepts_jobs()).count();
        2 * accepting > self.views.len()
    }
}

impl Node {
    /// Loads the map, then starts following every cell.
    pub(super) async fn discover_cells(self: Arc<Self>) {
        let map = self.wait_for_map().await;
        let home = map.cell_of_entry(&self.id.name);
        log::info!("event=cell-map-loaded count={} home={home}", map.cell_count());
        let view =
            |cell| Arc::new(CellView::new(self.clone(), cell, map.cell_count(), cell == home));
        let views: Vec<Arc<CellView>> = (0..map.cell_count()).map(view).collect();
        for view in &views {
            view.follow();
        }
        self.metrics.has_map.set(1);
        self.cells.send_replace(Some(Arc::new(Cells { map, views })));
        self.follow_owners().await;
    }

    /// Reads the map until there is one. Logs what the entry waits for while that takes long.
    async fn wait_for_map(&self) -> CellMap {
        let mut writer = MapWriter::new(&self.id.name, self.now());
        let mut log_timer = WaitLogTimer::new(self.now(), FIRST_LOG_DELAY);
        let mut backoff = Backoff::default();
        loop {
            let result = self.find_map(&mut writer).await;
            if let Ok(Some(map)) = result {
                return map;
            }
            if log_timer.is_due(self.now()) {
                let counter = writer.counter().map_or("none", |name| name);
                log::warn!(
                    "event=cell-map-missing waited_ms={} counter={counter} policy={} error={:?}",
                    self.now().since(log_timer.since),
                    self.policy.borrow().version,
                    result.as_ref().err()
                );
            }
            match result {
                Ok(_) => backoff.record_success(),
                Err(err) => {
                    log::debug!("event=cell-map-read-failed error={err:?}");
                    let delay = backoff.next_delay(0, self.seed());
                    tokio::time::sleep(delay.duration()).await;
                }
            }
        }
    }

    /// Reads the topic of the map, then takes one step towards the map. Returns `None` if the topic
    /// has to be read again.
    async fn find_map(&self, writer: &mut MapWriter) -> Result<Option<CellMap>, StoreError> {
        let (items, end) = self.store.latest_all(MAP_PART, READ_TIMEOUT).await?;
        let value = |key: &str| items.iter().find(|item| *item.key == *key).map(|item| &item.value);
        if let Some(bytes) = value(MAP_KEY) {
            return postcard::from_bytes(bytes).map(Some).map_err(|err| {
                StoreError::Malformed(format!("the map of cells cannot be decoded: {err}"))
            });
        }
        if let Some(counter) = value(COUNTER_KEY) {
            writer.record_announcement(self.now(), end, &String::from_utf8_lossy(counter));
        }
        // Workers are counted once the operators' policy names their services.
        let has_policy = self.policy.borrow().version > 0;
        match writer.next_step(self.now()) {
            MapStep::Announce if has_policy => {
                if self.announce_count(end).await? {
                    log::info!("event=cell-map-counter entry={} end={end}", self.id.name);
                }
            }
            MapStep::Count if has_policy => self.count_workers(writer, end).await?,
            MapStep::Wait(until) => self.wait_for_record(end, until - self.now()).await?,
            _ => self.wait_for_record(end, COUNT_POLL).await?,
        }
        Ok(None)
    }

    /// Waits until the topic of the map gets a record, for `wait` at the most.
    async fn wait_for_record(&self, end: u64, wait: Millis) -> Result<(), StoreError> {
        let wait = wait.min(MAX_WAIT);
        self.store.read(MAP_PART, end, wait, wait + READ_TIMEOUT).await.map(drop)
    }

    /// Counts the workers and writes the map, or announces the next count if they are not complete.
    async fn count_workers(&self, writer: &mut MapWriter, end: u64) -> Result<(), StoreError> {
        let (listed, _) = self.list_workers().await?;
        if !writer.record_count(self.now(), listed.len()) {
            return self.announce_count(end).await.map(drop);
        }
        let map = CellMap::new(&listed, self.settings.min_workers);
        let bytes = postcard::to_stdvec(&map);
        let bytes = bytes.map_err(|err| StoreError::Malformed(err.to_string()))?;
        let cells = map.cell_count();
        match self.append_to_map(end, MAP_KEY, &bytes).await {
            Ok(true) => log::info!("event=cell-map-written cells={cells} workers={}", listed.len()),
            result => log::info!("event=cell-map-write-failed cells={cells} result={result:?}"),
        }
        Ok(())
    }

    /// Announces that this entry counts the workers. Returns whether it does: not if another entry
    /// appended a record first.
    async fn announce_count(&self, end: u64) -> Result<bool, StoreError> {
        self.append_to_map(end, COUNTER_KEY, self.id.name.as_bytes()).await
    }

    /// Appends a record to the topic of the map if that ends at `end`. Returns whether it did.
    async fn append_to_map(&self, end: u64, key: &str, value: &[u8]) -> Result<bool, StoreError> {
        let mut body = BytesMut::new();
        encode_keyed(&mut body, key, value);
        let body = body.freeze();
        match self.store.append(MAP_PART, Precondition::End(end), body, WRITE_TIMEOUT).await {
            Ok(_) => Ok(true),
            Err(StoreError::EndMismatch(_)) => Ok(false),
            Err(err) => Err(err),
        }
    }
}
