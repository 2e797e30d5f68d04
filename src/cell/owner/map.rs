//! How workers and jobs are dealt to cells.
//!
//! The load that this answers: one owner decides every start of its cell, so its processor bounds
//! the fleet. In one cell for thousands of workers no owner keeps up, and each is replaced in turn. Each cell has an owner of
//! its own, and nothing of a cell is shared with another one.
//!
//! The map is written once and never changes: a worker or a job that changed its cell could be
//! started by two owners.

use crate::id::{Name, hash};
use crate::order::WorkerInfo;
use crate::workload::JobKey;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::num::NonZeroUsize;

/// The fewest workers of a cell where there are several. The widest steps have 120 tasks, each on a worker
/// of its own, and the advice service clears 35 in 100 workers for them: of 400 that is 140. In smaller
/// cells the widest steps do not run whole.
pub const CELL_WORKERS: NonZeroUsize = NonZeroUsize::new(400).unwrap();

/// A cell that has workers of a service has at least this part of a cell's workers of it, one in four, so
/// that a smaller service is in one cell: gangs need workers that the advice service clears. Dealt to more,
/// a gang that could run finds too few in each.
const SERVICE_PART: usize = 4;

/// Which cell has which workers and jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellMap {
    cells: u32,
    /// The cells of the racks that were known when the map was made, by failure domain and rack.
    racks: BTreeMap<(Name, Name), u32>,
}

impl CellMap {
    /// Deals these workers to cells of `size` workers or somewhat more: whole racks, each to the cell with the
    /// fewest processors of its service so far, so that a cell has its share of every large service and
    /// of every failure domain.
    pub fn new(workers: &[WorkerInfo], size: NonZeroUsize) -> Self {
        let cells = (workers.len() / size).min(most_racks(workers)).max(1) as u32;
        if cells == 1 {
            return Self { cells, racks: BTreeMap::new() };
        }
        let least = (size.get() / SERVICE_PART).max(1);
        Self { cells, racks: Dealer::new(workers, cells, least).deal(workers) }
    }

    /// How many cells there are.
    pub fn cells(&self) -> u32 {
        self.cells
    }

    /// The cell of a job: by its key alone, so that every entry finds it, also when it comes again.
    pub fn of_job(&self, job: JobKey) -> u32 {
        self.pick(&job.0.to_le_bytes())
    }

    /// The cell of a workspace's jobs. They are all in one, so that one owner counts what the workspace has running: a
    /// part of a small bound in each cell would hold no whole job.
    pub fn of_workspace(&self, workspace: &Name) -> u32 {
        self.pick(workspace.as_bytes())
    }

    /// The cell of a worker. Racks that came after the map was made are spread by their names, and
    /// workers without a rack by their own.
    pub fn of_worker(&self, worker: &WorkerInfo) -> u32 {
        let Some(rack) = worker.rack() else { return self.pick(worker.id.as_bytes()) };
        let known = self.racks.get(&(worker.domain.clone(), rack.clone()));
        known.copied().unwrap_or_else(|| self.pick(rack.as_bytes()))
    }

    /// The cell of a rack that was known when the map was made.
    pub fn of_rack(&self, rack: &Name) -> Option<u32> {
        let mut known = self.racks.iter();
        known.find(|((_, name), _)| name == rack).map(|(_, cell)| *cell)
    }

    /// The cell that an entry belongs to: it follows that cell's owner closely, is the first to
    /// replace it, and asks the advice service for it.
    pub fn of_entry(&self, entry: &Name) -> u32 {
        self.pick(entry.as_bytes())
    }

    fn pick(&self, key: &[u8]) -> u32 {
        (hash(&[key]) % u64::from(self.cells.max(1))) as u32
    }
}

/// Deals racks to cells, one after the other.
struct Dealer<'a> {
    cells: u32,
    /// The most cells that a service's racks go to.
    most: BTreeMap<&'a Name, usize>,
    /// Processors of a service that a cell has so far.
    dealt: BTreeMap<(&'a Name, u32), u64>,
    /// Processors that a cell has so far.
    all: BTreeMap<u32, u64>,
}

impl<'a> Dealer<'a> {
    /// A cell that gets workers of a service should get `least` of them.
    fn new(workers: &'a [WorkerInfo], cells: u32, least: usize) -> Self {
        let mut counts: BTreeMap<&Name, usize> = BTreeMap::new();
        for worker in workers {
            *counts.entry(&worker.service).or_default() += 1;
        }
        let most = counts.into_iter().map(|(service, count)| (service, (count / least).max(1)));
        Self { cells, most: most.collect(), dealt: BTreeMap::new(), all: BTreeMap::new() }
    }

    fn deal(mut self, workers: &'a [WorkerInfo]) -> BTreeMap<(Name, Name), u32> {
        let mut sizes: BTreeMap<(&Name, &Name, &Name), u64> = BTreeMap::new();
        for worker in workers {
            if let Some(rack) = worker.rack() {
                let rack = (&worker.service, &worker.domain, rack);
                *sizes.entry(rack).or_default() += worker.capacity.cpu;
            }
        }
        let mut racks = BTreeMap::new();
        for ((service, domain, rack), size) in sizes {
            let cell = self.emptiest(service);
            *self.dealt.entry((service, cell)).or_default() += size;
            *self.all.entry(cell).or_default() += size;
            racks.insert((domain.clone(), rack.clone()), cell);
        }
        racks
    }

    /// The cell with the fewest processors of a service, of those that have some or may get some.
    fn emptiest(&self, service: &'a Name) -> u32 {
        let has = |cell: u32| self.dealt.get(&(service, cell)).copied().unwrap_or(0);
        let used = (0..self.cells).filter(|cell| has(*cell) > 0).count();
        let may_open = self.most.get(service).is_some_and(|most| used < *most);
        let open = (0..self.cells).filter(|cell| may_open || has(*cell) > 0);
        let of_all = |cell: u32| self.all.get(&cell).copied().unwrap_or(0);
        open.min_by_key(|cell| (has(*cell), of_all(*cell))).unwrap_or_else(|| {
            // There is one cell at least, and the first one may always get workers.
            log::error!("event=no-cell service={service} cells={}", self.cells);
            0
        })
    }
}

/// The racks of the service that has the most: with more cells than that, one would have no worker at all.
/// A worker without a rack counts as one. Jobs of a service that has fewer racks than there are cells run in
/// the cells that have some.
fn most_racks(workers: &[WorkerInfo]) -> usize {
    let mut racks: BTreeMap<&Name, BTreeSet<(&Name, &Name)>> = BTreeMap::new();
    for worker in workers {
        let rack = (&worker.domain, worker.rack().unwrap_or(&worker.id));
        racks.entry(&worker.service).or_default().insert(rack);
    }
    racks.values().map(BTreeSet::len).max().unwrap_or(1)
}
