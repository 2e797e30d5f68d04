//! The list of workers of all cells, which one owner reads for the others.
//!
//! The load that this answers: every worker rewrites its entry every 1.5 s. If each owner read the
//! entries of all workers to find those of its cell, the bytes that the store sends would grow with
//! the workers times the cells, and soon exceed what it can send. So one owner reads them all, and
//! tells the others what has changed in their cells.

use crate::id::Name;
use crate::order::WorkerInfo;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The most removed workers of a cell that are remembered. An owner that missed more of them gets the
/// whole list of its cell.
const MAX_REMOVED: usize = 1_000;

/// A state of the list at one reader. Two readers count their changes independently.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListVersion {
    /// Which reader this is: its epoch as an owner.
    pub reader: u64,
    /// The number of changes that the reader has noticed.
    pub changes: u64,
}

/// The changes of the list of a cell.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListUpdate {
    /// Whether `listed` is the whole list of the cell.
    pub is_whole: bool,
    /// The state of the list.
    pub version: ListVersion,
    /// The offset up to which the log of entries was read.
    pub end: u64,
    /// The workers that are new or changed.
    pub listed: Vec<WorkerInfo>,
    /// The workers that are not listed any more.
    pub removed: Vec<Name>,
}

/// The workers of one cell, with the changes by which they last changed.
#[derive(Debug, Clone, Default)]
struct CellList {
    workers: BTreeMap<Name, (u64, WorkerInfo)>,
    removed: BTreeMap<Name, u64>,
    /// Removals up to this change are forgotten.
    forgotten: u64,
}

/// The list of workers of all cells, as its reader knows it.
#[derive(Debug, Clone)]
pub struct SharedList {
    version: ListVersion,
    end: u64,
    cells: BTreeMap<u32, CellList>,
    /// The cell of each listed worker.
    cell_of: BTreeMap<Name, u32>,
}

impl SharedList {
    /// Creates the list of a reader that has read nothing yet.
    pub fn new(reader: u64) -> Self {
        let version = ListVersion { reader, changes: 0 };
        Self { version, end: 0, cells: BTreeMap::new(), cell_of: BTreeMap::new() }
    }

    /// Records that the log was read up to `end`.
    pub fn set_end(&mut self, end: u64) {
        self.end = self.end.max(end);
    }

    /// Replaces the list by one that was read as a whole, when the log ended at `end`. Workers that
    /// are not on it are removed.
    pub fn replace(&mut self, end: u64, listed: Vec<(u32, WorkerInfo)>) {
        let mut gone: BTreeSet<Name> = self.cell_of.keys().cloned().collect();
        for (cell, worker) in listed {
            gone.remove(&worker.id);
            self.insert(cell, worker);
        }
        gone.iter().for_each(|id| self.remove(id));
        self.set_end(end);
    }

    /// Applies the entry of a worker at an offset of the log, `None` if it was removed.
    pub fn apply(&mut self, offset: u64, id: &Name, entry: Option<(u32, WorkerInfo)>) {
        match entry {
            Some((cell, worker)) => self.insert(cell, worker),
            None => self.remove(id),
        }
        self.set_end(offset + 1);
    }

    /// Adds a worker, or changes its entry if that differs.
    fn insert(&mut self, cell: u32, worker: WorkerInfo) {
        if self.cell_of.get(&worker.id).is_some_and(|known| *known != cell) {
            self.remove(&worker.id);
        }
        self.cell_of.insert(worker.id.clone(), cell);
        let list = self.cells.entry(cell).or_default();
        list.removed.remove(&worker.id);
        if list.workers.get(&worker.id).is_none_or(|(_, known)| *known != worker) {
            self.version.changes += 1;
            list.workers.insert(worker.id.clone(), (self.version.changes, worker));
        }
    }

    fn remove(&mut self, id: &Name) {
        let Some(cell) = self.cell_of.remove(id) else { return };
        self.version.changes += 1;
        let list = self.cells.entry(cell).or_default();
        list.workers.remove(id);
        list.removed.insert(id.clone(), self.version.changes);
        if list.removed.len() > MAX_REMOVED {
            list.forgotten = self.version.changes;
            list.removed.clear();
        }
    }

    /// The changes of a cell since a version, or its whole list.
    pub fn update_since(&self, cell: u32, version: Option<ListVersion>) -> ListUpdate {
        let empty = CellList::default();
        let list = self.cells.get(&cell).unwrap_or(&empty);
        let is_usable = |known: &ListVersion| {
            known.reader == self.version.reader && known.changes >= list.forgotten
        };
        let since = version.filter(is_usable).map(|known| known.changes);
        let is_new = |change: u64| since.is_none_or(|since| change > since);
        let listed = list.workers.values().filter(|(change, _)| is_new(*change));
        let removed = list.removed.iter().filter(|(_, change)| since.is_some() && is_new(**change));
        ListUpdate {
            is_whole: since.is_none(),
            version: self.version,
            end: self.end,
            listed: listed.map(|(_, worker)| worker.clone()).collect(),
            removed: removed.map(|(id, _)| id.clone()).collect(),
        }
    }
}
