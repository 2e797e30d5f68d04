//! The cells of the fleet: how an entry learns how workers and jobs are dealt to them, or decides it.

use crate::cell::owner::map::CellMap;
use crate::clock::Millis;
use crate::id::{Name, hash};
use crate::node::view::CellView;
use crate::node::{Node, STORE_RETRY_DELAY};
use crate::platform::store::{Partition, Precondition, StoreError, encode_keyed};
use crate::workload::JobKey;
use bytes::BytesMut;
use std::sync::Arc;
use std::time::Duration;

/// The topic that holds the map, and its key there.
const MAP_PART: Partition<'static> = Partition { topic: "keyed.map", index: 0 };
const MAP_KEY: &str = "map";
/// The longest wait for the store's answer to a write.
const WRITE_TIMEOUT: Millis = Millis(2_000);
/// The longest wait for the map itself, which is small: a store 60 times slower than usual answers within
/// 240 ms, and a connection that was started while it was away hangs.
const READ_TIMEOUT: Millis = Millis(450);
/// Entries count the workers up to this much apart, from when the first ones are listed.
const START_SPREAD: Duration = Duration::from_millis(1_500);
/// Few go early: the others do not read the long list of workers before the first one has written the map.
const START_EXPONENT: f64 = 0.25;
/// Time between two attempts at the list of workers. It has to stand still so long: they list themselves
/// within 1.5 s of each other.
const COUNT_INTERVAL: Millis = Millis(600);
/// The map is made after so many attempts, however the list changes.
const MAX_COUNTS: u32 = 8;

/// All cells, by number.
#[derive(Debug)]
pub(super) struct Cells {
    pub map: CellMap,
    pub views: Vec<Arc<CellView>>,
}

impl Cells {
    /// The cell of a job: that of its workspace, if it has one.
    pub fn of_job(&self, job: JobKey, workspace: Option<&Name>) -> Option<&Arc<CellView>> {
        let of_job = || self.map.of_job(job);
        let cell = workspace.map_or_else(of_job, |name| self.map.of_workspace(name));
        self.views.get(cell as usize)
    }

    /// A cell by its number.
    pub fn get(&self, cell: u32) -> Option<&Arc<CellView>> {
        self.views.get(cell as usize)
    }

    /// The cell that this entry belongs to.
    pub fn home(&self) -> Option<&Arc<CellView>> {
        self.views.iter().find(|view| view.is_home)
    }

    /// Whether callers can be served: the owners of more than half of the cells take jobs.
    pub fn accept_jobs(&self) -> bool {
        let accepting = self.views.iter().filter(|view| view.accepts_jobs()).count();
        2 * accepting > self.views.len()
    }
}

impl Node {
    /// Learns the map, and follows every cell from then on.
    pub(super) async fn discover_cells(self: Arc<Self>) {
        let mut worker_count = WorkerCount::new();
        let mut is_logged = false;
        let map = loop {
            match self.load_or_create_map(&mut worker_count).await {
                Ok(Some(map)) => break map,
                Ok(None) => {}
                Err(err @ StoreError::Malformed(_)) if !std::mem::replace(&mut is_logged, true) => {
                    log::error!("event=map-unreadable error={err}");
                }
                Err(err) => log::debug!("event=map-unread error={err:?}"),
            }
            tokio::time::sleep(STORE_RETRY_DELAY.duration()).await;
        };
        let home = map.of_entry(&self.id.name);
        log::info!("event=cells count={} home={home}", map.cells());
        let view = |cell| Arc::new(CellView::new(self.clone(), cell, map.cells(), cell == home));
        let views: Vec<Arc<CellView>> = (0..map.cells()).map(view).collect();
        for view in &views {
            view.follow();
        }
        self.cells.send_replace(Some(Arc::new(Cells { map, views })));
    }

    /// Reads the map, or makes it if there is none; `None`: it is not time yet, or another entry may
    /// just have made it.
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
        let cells = map.cells();
        match self
            .store
            .append(MAP_PART, Precondition::End(end), body.freeze(), WRITE_TIMEOUT)
            .await
        {
            Ok(_) => log::info!("event=map-made cells={cells} workers={}", listed.len()),
            Err(err) => log::info!("event=map-not-made cells={cells} error={err:?}"),
        }
        Ok(None)
    }

    /// How much later than the first entry this one counts workers.
    fn start_delay(&self) -> Duration {
        let part = hash(&[self.id.name.as_bytes()]) as f64 / u64::MAX as f64;
        START_SPREAD.mul_f64(part.powf(START_EXPONENT))
    }

    /// The map, if there is one that can be read, and where its topic ends.
    async fn read_map(&self) -> Result<(Option<CellMap>, u64), StoreError> {
        let (items, end) = self.store.latest_all(MAP_PART, READ_TIMEOUT).await?;
        let Some(item) = items.iter().find(|item| *item.key == *MAP_KEY) else {
            return Ok((None, end));
        };
        match postcard::from_bytes(&item.value) {
            Ok(map) => Ok((Some(map), end)),
            Err(err) => Err(StoreError::Malformed(format!("the map of cells: {err}"))),
        }
    }
}

/// The number of workers that are listed, over time.
#[derive(Debug)]
struct WorkerCount {
    last: usize,
    attempts: u32,
    /// None were listed so far.
    delay_pending: bool,
}

impl WorkerCount {
    fn new() -> Self {
        Self { last: 0, attempts: 0, delay_pending: true }
    }

    /// Whether so many workers are all that will list themselves, as far as can be told.
    fn is_complete(&mut self, count: usize) -> bool {
        let is_unchanged = std::mem::replace(&mut self.last, count) == count;
        if count == 0 {
            return false;
        }
        self.attempts += 1;
        is_unchanged || self.attempts >= MAX_COUNTS
    }
}
