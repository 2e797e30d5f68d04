//! The assignment of workers and jobs to cells.
//!
//! One owner decides every start in its cell, so its processor limits the number of workers. With
//! thousands of workers in one cell, no owner keeps up, and owners are replaced one after the
//! other. Therefore the fleet is divided into cells that have an owner each and share no state.
//!
//! The map is written once and never changes, because two owners could start the same task if a job
//! or worker moved to another cell.

use crate::id::{Name, hash};
use crate::order::WorkerInfo;
use crate::workload::JobKey;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::num::NonZeroUsize;

/// The smallest number of workers in a cell if there are several cells. The widest steps have 120
/// tasks, each on its own worker, and the advice service clears 35 of 100 workers for them, which
/// is 140 of 400. In smaller cells the widest steps could not run as a whole.
pub const MIN_CELL_WORKERS: NonZeroUsize = NonZeroUsize::new(400).unwrap();

/// A cell with any workers of a service gets at least the cell size divided by this number of them.
/// A small service is thus kept in one cell: a gang needs many workers that the advice service
/// clears, and would find too few in each cell if the service was spread over several.
const SERVICE_WORKERS_DIVISOR: usize = 4;

/// Maps workers and jobs to cells.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellMap {
    cell_count: u32,
    /// The cells of the racks that were known when the map was created, by failure domain and rack.
    racks: BTreeMap<(Name, Name), u32>,
}

impl CellMap {
    /// Assigns the workers to cells of `size` workers or slightly more. Racks stay whole, and each
    /// goes to the cell that has the least CPU of its service so far, so that every cell gets a
    /// share of each large service and failure domain.
    pub fn new(workers: &[WorkerInfo], size: NonZeroUsize) -> Self {
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

    /// The number of cells.
    pub fn cell_count(&self) -> u32 {
        self.cell_count
    }

    /// The cell of a job. It depends on the job's key only, so that every entry finds it, also when
    /// the job is submitted again.
    pub fn cell_of_job(&self, job: JobKey) -> u32 {
        self.hash_to_cell(&job.0.to_le_bytes())
    }

    /// The cell of all jobs of a workspace. They share one cell, so that one owner counts what the
    /// workspace has running. If a small limit was divided among the cells, no part would be large
    /// enough for a whole job.
    pub fn cell_of_workspace(&self, workspace: &Name) -> u32 {
        self.hash_to_cell(workspace.as_bytes())
    }

    /// The cell of a worker. Racks that were added after the map was created are assigned by a hash
    /// of their names, and workers without a rack by a hash of their ids.
    pub fn cell_of_worker(&self, worker: &WorkerInfo) -> u32 {
        let Some(rack) = worker.rack() else { return self.hash_to_cell(worker.id.as_bytes()) };
        let known = self.racks.get(&(worker.domain.clone(), rack.clone()));
        known.copied().unwrap_or_else(|| self.hash_to_cell(rack.as_bytes()))
    }

    /// The cell of a rack that was known when the map was created.
    pub fn cell_of_rack(&self, rack: &Name) -> Option<u32> {
        let mut known = self.racks.iter();
        known.find(|((_, name), _)| name == rack).map(|(_, cell)| *cell)
    }

    /// The home cell of an entry, whose owner the entry follows closely and replaces first, and for
    /// which it calls the advice service.
    pub fn cell_of_entry(&self, entry: &Name) -> u32 {
        self.hash_to_cell(entry.as_bytes())
    }

    fn hash_to_cell(&self, key: &[u8]) -> u32 {
        (hash(&[key]) % u64::from(self.cell_count.max(1))) as u32
    }
}

/// Assigns racks to cells, one at a time.
struct RackAssigner<'a> {
    cell_count: u32,
    /// The largest number of cells over which the racks of a service may be spread.
    max_cells: BTreeMap<&'a Name, usize>,
    /// The CPU of a service that was assigned to a cell so far.
    service_cpu: BTreeMap<(&'a Name, u32), u64>,
    /// The CPU that was assigned to a cell so far.
    total_cpu: BTreeMap<u32, u64>,
}

impl<'a> RackAssigner<'a> {
    /// Prepares an assignment in which a cell that gets any workers of a service should get at
    /// least `min_workers` of them.
    fn new(workers: &'a [WorkerInfo], cell_count: u32, min_workers: usize) -> Self {
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

    fn assign(mut self, workers: &'a [WorkerInfo]) -> BTreeMap<(Name, Name), u32> {
        let mut sizes: BTreeMap<(&Name, &Name, &Name), u64> = BTreeMap::new();
        for worker in workers {
            if let Some(rack) = worker.rack() {
                let rack = (&worker.service, &worker.domain, rack);
                *sizes.entry(rack).or_default() += worker.capacity.cpu;
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

    /// The cell with the least CPU of a service, among those that have or may get some of it.
    fn least_loaded(&self, service: &'a Name) -> u32 {
        let service_cpu = |cell: u32| self.service_cpu.get(&(service, cell)).copied().unwrap_or(0);
        let used = (0..self.cell_count).filter(|cell| service_cpu(*cell) > 0).count();
        let may_grow = self.max_cells.get(service).is_some_and(|most| used < *most);
        let allowed = (0..self.cell_count).filter(|cell| may_grow || service_cpu(*cell) > 0);
        let total_cpu = |cell: u32| self.total_cpu.get(&cell).copied().unwrap_or(0);
        allowed.min_by_key(|cell| (service_cpu(*cell), total_cpu(*cell))).unwrap_or_else(|| {
            // Unreachable: there is at least one cell, and every service may use at least one.
            log::error!("event=no-cell-for-rack service={service} cells={}", self.cell_count);
            0
        })
    }
}

/// The number of racks of the service that has the most. With more cells than that, a cell could be
/// without any workers. A worker without a rack counts as a rack of its own. Jobs of a service with
/// fewer racks than there are cells run in the cells that have some.
fn max_racks(workers: &[WorkerInfo]) -> usize {
    let mut racks: BTreeMap<&Name, BTreeSet<(&Name, &Name)>> = BTreeMap::new();
    for worker in workers {
        let rack = (&worker.domain, worker.rack().unwrap_or(&worker.id));
        racks.entry(&worker.service).or_default().insert(rack);
    }
    racks.values().map(BTreeSet::len).max().unwrap_or(1)
}
