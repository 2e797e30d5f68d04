//! Load balancing between cells: whether a job runs in its home cell or in a less loaded one.
//!
//! Jobs are assigned to cells by a hash of their keys, so a few wide jobs can fill one cell while
//! others are half empty. With some tens of builds of 2 to 64 tasks in each cell, the fullest cell
//! has one and a half times the load of the others.
//!
//! The home cell decides and stores where it forwarded a job, so that a job that is submitted again
//! through another entry is sent to the same cell.

use crate::id::Name;
use crate::workload::JobKey;
use serde::{Deserialize, Serialize};

/// The utilization in permille below which a home cell keeps its jobs. They find room there, and
/// forwarding costs one more append to the store, which takes about 30 ms.
const FORWARD_THRESHOLD_PERMILLE: u32 = 850;
/// How much lower the utilization of another cell must be, in permille. Smaller differences are
/// within what changes between two load reports of a cell.
const MIN_GAP_PERMILLE: u32 = 150;

/// The load on the workers of one service in one cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The service.
    pub service: Name,
    /// CPU in use or requested by waiting tasks, in permille of the CPU of all these workers.
    pub utilization: u32,
}

/// A cell that a job could be forwarded to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// The number of the cell.
    pub cell: u32,
    /// The utilization of the cell, as in [`ServiceLoad::utilization`].
    pub utilization: u32,
}

/// Chooses the cell to which a home cell with utilization `home` should forward a job, if any. It
/// compares only two candidates that it selects by the job's key: if every cell chose the least
/// loaded one, that cell would be full before its next load report.
pub fn choose_cell(home: u32, candidates: &[Candidate], job: JobKey) -> Option<u32> {
    if home < FORWARD_THRESHOLD_PERMILLE || candidates.is_empty() {
        return None;
    }
    let count = candidates.len() as u64;
    let first = job.0 % count;
    let second = (first + 1 + (job.0 >> 32) % count.saturating_sub(1).max(1)) % count;
    let compared = [first, second].into_iter().filter_map(|at| candidates.get(at as usize));
    let best = compared.min_by_key(|candidate| candidate.utilization)?;
    (best.utilization + MIN_GAP_PERMILLE <= home).then_some(best.cell)
}
