//! Which cell runs a job: its home, or one that has far less to do.
//!
//! The load that this answers: jobs are dealt to cells by their keys, and a few wide ones make one cell
//! full while others stand half empty. Where some tens of builds are dealt to each, of 2 to 64
//! tasks, the fullest cell has half as much to do again as the others.
//!
//! The home decides, and keeps in the store where it sent a job: so a job that comes again by another
//! entry goes to the same cell.

use crate::id::Name;
use crate::workload::JobKey;
use serde::{Deserialize, Serialize};

/// A home keeps its jobs below this load, in thousandths: they find room there, and a move costs one
/// more append, some 30 ms.
const FORWARD_THRESHOLD_PERMILLE: u32 = 850;
/// Another cell has to have so much less to do, in thousandths of its processors: less is within what
/// comes and goes between two words from it.
const MIN_GAP_PERMILLE: u32 = 150;

/// What the workers of one service have to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The service.
    pub service: Name,
    /// Processors that are taken or waited for, in thousandths of all.
    pub utilization: u32,
}

/// A cell that a job could go to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// The cell.
    pub cell: u32,
    /// What it has to do, as [`ServiceLoad::utilization`].
    pub utilization: u32,
}

/// The cell that a job of a home with load `mine` should go to instead. Of many it looks at two, by the
/// job's key: if all took the emptiest one, that would be full before it could say so.
pub fn choose_cell(mine: u32, others: &[Candidate], job: JobKey) -> Option<u32> {
    if mine < FORWARD_THRESHOLD_PERMILLE || others.is_empty() {
        return None;
    }
    let count = others.len() as u64;
    let first = job.0 % count;
    let second = (first + 1 + (job.0 >> 32) % count.saturating_sub(1).max(1)) % count;
    let looked = [first, second].into_iter().filter_map(|at| others.get(at as usize));
    let best = looked.min_by_key(|choice| choice.utilization)?;
    (best.utilization + MIN_GAP_PERMILLE <= mine).then_some(best.cell)
}
