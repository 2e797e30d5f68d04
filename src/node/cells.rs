//! The cells of the fleet, and the map that assigns workers and jobs to them: every entry reads the
//! map from the store, and the first one writes it.

use crate::cell::owner::cell_map::CellMap;
use crate::clock::Millis;
use crate::id::{Name, hash};
use crate::node::view::CellView;
use crate::node::{Node, STORE_RETRY_DELAY};
use crate::platform::store::{Partition, Precondition, StoreError, encode_keyed};
use crate::workload::JobKey;
use bytes::BytesMut;
use std::sync::Arc;
use std::time::Duration;

/// The topic of the map, and the key of its record.
const MAP_PART: Partition<'static> = Partition { topic: "keyed.map", index: 0 };
const MAP_KEY: &str = "map";
/// Timeout of writing the map.
const WRITE_TIMEOUT: Millis = Millis(2_000);
/// Timeout of reading the map, which is small. A store that is 60 times slower than usual answers
/// within 240 ms, and a connection that was opened while it was down hangs.
const READ_TIMEOUT: Millis = Millis(450);
/// After their first count of the workers, entries wait for up to this long, each for a different
/// time.
const MAX_START_DELAY: Duration = Duration::from_millis(1_500);
/// Exponent that makes most of those delays long, so that few entries read the long list of workers
/// before the first one has written the map.
const START_DELAY_EXPONENT: f64 = 0.25;
/// Time between two counts of the workers. The map is written once two counts in a row are equal:
/// workers register within 1.5 s of each other, so the count changes until all are there.
const COUNT_INTERVAL: Millis = Millis(600);
/// After this many counts the map is written even if the number of workers still changes.
const MAX_COUNTS: u32 = 8;

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
        let mut worker_count = WorkerCount::new();
        let mut is_logged = false;
        let map = loop {
            match self.load_or_create_map(&mut worker_count).await {
                Ok(Some(map)) => break map,
                Ok(None) => {}
                Err(err @ StoreError::Malformed(_)) if !std::mem::replace(&mut is_logged, true) => {
                    log::error!("event=cell-map-invalid error={err}");
                }
                Err(err) => log::debug!("event=cell-map-read-failed error={err:?}"),
            }
            tokio::time::sleep(STORE_RETRY_DELAY.duration()).await;
        };
        let home = map.cell_of_entry(&self.id.name);
        log::info!("event=cell-map-loaded count={} home={home}", map.cell_count());
        let view =
            |cell| Arc::new(CellView::new(self.clone(), cell, map.cell_count(), cell == home));
        let views: Vec<Arc<CellView>> = (0..map.cell_count()).map(view).collect();
        for view in &views {
            view.follow();
        }
        self.cells.send_replace(Some(Arc::new(Cells { map, views })));
    }

    /// Reads the map, or writes it if there is none. Returns `None` if the map has to be read
    /// again, because the workers are not counted yet, or because this or another entry has just
    /// written it.
    async fn load_or_create_map(
        &self,
        worker_count: &mut WorkerCount,
    ) -> Result<Option<CellMap>, StoreError> {
        let (map, end) = self.read_map().await?;
        if map.is_some() || self.policy.borrow().version == 0 {
            return Ok(map);
        }
        let (listed, _) = self.list_workers().await?;
        if !worker_count.is_complete(listed.len()) {
            if std::mem::take(&mut worker_count.delay_pending) {
                tokio::time::sleep(self.start_delay()).await;
            }
            tokio::time::sleep(COUNT_INTERVAL.duration()).await;
            return Ok(None);
        }
        let map = CellMap::new(&listed, self.settings.min_workers);
        let bytes = postcard::to_stdvec(&map);
        let bytes = bytes.map_err(|err| StoreError::Malformed(err.to_string()))?;
        let mut body = BytesMut::new();
        encode_keyed(&mut body, MAP_KEY, &bytes);
        let cells = map.cell_count();
        match self
            .store
            .append(MAP_PART, Precondition::End(end), body.freeze(), WRITE_TIMEOUT)
            .await
        {
            Ok(_) => log::info!("event=cell-map-written cells={cells} workers={}", listed.len()),
            Err(err) => log::info!("event=cell-map-write-failed cells={cells} error={err:?}"),
        }
        Ok(None)
    }

    /// The delay of this entry, between zero and [`MAX_START_DELAY`], by the hash of its name.
    fn start_delay(&self) -> Duration {
        let part = hash(&[self.id.name.as_bytes()]) as f64 / u64::MAX as f64;
        MAX_START_DELAY.mul_f64(part.powf(START_DELAY_EXPONENT))
    }

    /// Reads the map, if there is one. Also returns the end offset of its topic.
    async fn read_map(&self) -> Result<(Option<CellMap>, u64), StoreError> {
        let (items, end) = self.store.latest_all(MAP_PART, READ_TIMEOUT).await?;
        let Some(item) = items.iter().find(|item| *item.key == *MAP_KEY) else {
            return Ok((None, end));
        };
        match postcard::from_bytes(&item.value) {
            Ok(map) => Ok((Some(map), end)),
            Err(err) => {
                Err(StoreError::Malformed(format!("the map of cells cannot be decoded: {err}")))
            }
        }
    }
}

/// Repeated counts of the registered workers.
#[derive(Debug)]
struct WorkerCount {
    last: usize,
    attempts: u32,
    /// The delay after the first count is still to come.
    delay_pending: bool,
}

impl WorkerCount {
    fn new() -> Self {
        Self { last: 0, attempts: 0, delay_pending: true }
    }

    /// Whether the workers seem complete: the count has not changed, or the attempts are used up.
    fn is_complete(&mut self, count: usize) -> bool {
        let is_unchanged = std::mem::replace(&mut self.last, count) == count;
        if count == 0 {
            return false;
        }
        self.attempts += 1;
        is_unchanged || self.attempts >= MAX_COUNTS
    }
}
