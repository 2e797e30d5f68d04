//! How workers and jobs are dealt to cells.
//!
//! The load that this answers: one owner decides every start of its cell, so its processor bounds
//! the fleet. In one cell for thousands of workers no owner keeps up, and each is replaced in turn. Each cell has an owner of
//! its own, and nothing of a cell is shared with another one.
//!
//! The map is written once and never changes: a worker or a job that changed its cell could be
//! started by two owners.

use crate::id::{Name, hash};
use crate::order::Listed;
use crate::workload::JobKey;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::num::NonZeroUsize;

/// The fewest workers of a cell where there are several. The widest steps have 120 tasks, each on a worker
/// of its own, and the advice service clears 35 in 100 workers for them: of 400 that is 140. In smaller
/// cells the widest steps do not run whole.
pub const MIN_CELL_WORKERS: NonZeroUsize = NonZeroUsize::new(400).unwrap();

/// A cell that has workers of a service has at min_workers this part of a cell's workers of it, one in four, so
/// that a smaller service is in one cell: gangs need workers that the advice service clears. Dealt to more,
/// a gang that could run finds too few in each.
const SERVICE_WORKERS_DIVISOR: usize = 4;

/// Which cell has which workers and jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellMap {
    cell_count: u32,
    /// The cells of the racks that were known when the map was made, by failure domain and rack.
    racks: BTreeMap<(Name, Name), u32>,
}

impl CellMap {
    /// Deals these workers to cells of `size` workers or somewhat more: whole racks, each to the cell with the
    /// fewest processors of its service so far, so that a cell has its share of every large service and
    /// of every failure domain.
    pub fn new(workers: &[Listed], size: NonZeroUsize) -> Self {
        let cell_count = (workers.len() / size).min(max_racks(workers)).max(1) as u32;
        if cell_count == 1 {
            return Self { cell_count, racks: BTreeMap::new() };
        }
        let min_workers = (size.get() / SERVICE_WORKERS_DIVISOR).max(1);
        Self {
            cell_count,
            racks: RackAssigner::new(workers, cell_count, min_workers).assign(workers),
        }
    }

    /// How many cells there are.
    pub fn cell_count(&self) -> u32 {
        self.cell_count
    }

    /// The cell of a job: by its key alone, so that every entry finds it, also when it comes again.
    pub fn cell_of_job(&self, job: JobKey) -> u32 {
        self.hash_to_cell(&job.0.to_le_bytes())
    }

    /// The cell of a workspace's jobs. They are all in one, so that one owner counts what the workspace has running: a
    /// part of a small bound in each cell would hold no whole job.
    pub fn cell_of_workspace(&self, workspace: &Name) -> u32 {
        self.hash_to_cell(workspace.as_bytes())
    }

    /// The cell of a worker. Racks that came after the map was made are spread by their names, and
    /// workers without a rack by their own.
    pub fn cell_of_worker(&self, worker: &Listed) -> u32 {
        let Some(rack) = worker.rack() else { return self.hash_to_cell(worker.id.as_bytes()) };
        let known = self.racks.get(&(worker.domain.clone(), rack.clone()));
        known.copied().unwrap_or_else(|| self.hash_to_cell(rack.as_bytes()))
    }

    /// The cell of a rack that was known when the map was made.
    pub fn cell_of_rack(&self, rack: &Name) -> Option<u32> {
        let mut known = self.racks.iter();
        known.find(|((_, name), _)| name == rack).map(|(_, cell)| *cell)
    }

    /// The cell that an entry belongs to: it follows that cell's owner closely, is the first to
    /// replace it, and asks the advice service for it.
    pub fn cell_of_entry(&self, entry: &Name) -> u32 {
        self.hash_to_cell(entry.as_bytes())
    }

    fn hash_to_cell(&self, key: &[u8]) -> u32 {
        (hash(&[key]) % u64::from(self.cell_count.max(1))) as u32
    }
}

/// Deals racks to cells, one after the other.
struct RackAssigner<'a> {
    cell_count: u32,
    /// The most cells that a service's racks go to.
    max_cells: BTreeMap<&'a Name, usize>,
    /// Processors of a service that a cell has so far.
    service_cpu: BTreeMap<(&'a Name, u32), u64>,
    /// Processors that a cell has so far.
    total_cpu: BTreeMap<u32, u64>,
}

impl<'a> RackAssigner<'a> {
    /// A cell that gets workers of a service should get `min_workers` of them.
    fn new(workers: &'a [Listed], cell_count: u32, min_workers: usize) -> Self {
        let mut counts: BTreeMap<&Name, usize> = BTreeMap::new();
        for worker in workers {
            *counts.entry(&worker.service).or_default() += 1;
        }
        let max_cells =
            counts.into_iter().map(|(service, count)| (service, (count / min_workers).max(1)));
        Self {
            cell_count,
            max_cells: max_cells.collect(),
            service_cpu: BTreeMap::new(),
            total_cpu: BTreeMap::new(),
        }
    }

    fn assign(mut self, workers: &'a [Listed]) -> BTreeMap<(Name, Name), u32> {
        let mut sizes: BTreeMap<(&Name, &Name, &Name), u64> = BTreeMap::new();
        for worker in workers {
            if let Some(rack) = worker.rack() {
                let rack = (&worker.service, &worker.domain, rack);
                *sizes.entry(rack).or_default() += worker.room.cpu;
            }
        }
        let mut racks = BTreeMap::new();
        for ((service, domain, rack), size) in sizes {
            let cell = self.least_loaded(service);
            *self.service_cpu.entry((service, cell)).or_default() += size;
            *self.total_cpu.entry(cell).or_default() += size;
            racks.insert((domain.clone(), rack.clone()), cell);
        }
        racks
    }

    /// The cell with the fewest processors of a service, of those that have some or may get some.
    fn least_loaded(&self, service: &'a Name) -> u32 {
        let has = |cell: u32| self.service_cpu.get(&(service, cell)).copied().unwrap_or(0);
        let used = (0..self.cell_count).filter(|cell| has(*cell) > 0).count();
        let may_open = self.max_cells.get(service).is_some_and(|most| used < *most);
        let open = (0..self.cell_count).filter(|cell| may_open || has(*cell) > 0);
        let of_all = |cell: u32| self.total_cpu.get(&cell).copied().unwrap_or(0);
        open.min_by_key(|cell| (has(*cell), of_all(*cell))).unwrap_or_else(|| {
            // There is one cell at min_workers, and the first one may always get workers.
            log::error!("event=no-cell service={service} cells={}", self.cell_count);
            0
        })
    }
}

/// The racks of the service that has the most: with more cells than that, one would have no worker at all.
/// A worker without a rack counts as one. Jobs of a service that has fewer racks than there are cells run in
/// the cells that have some.
fn max_racks(workers: &[Listed]) -> usize {
    let mut racks: BTreeMap<&Name, BTreeSet<(&Name, &Name)>> = BTreeMap::new();
    for worker in workers {
        let rack = (&worker.domain, worker.rack().unwrap_or(&worker.id));
        racks.entry(&worker.service).or_default().insert(rack);
    }
    racks.values().map(BTreeSet::len).max().unwrap_or(1)
}
