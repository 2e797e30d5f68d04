//! Which cell runs a job: its home, or one that has far less to do.
//!
//! The load that this answers: jobs are dealt to cells by their keys, and a few wide ones make one cell
//! full while others stand half empty. 75 builds in 34 s, 2 to 64 tasks wide, load a cell of 180 workers
//! by 45 to 65 % of its processors: with all else the fullest cell waits for 20 s and more.
//!
//! The same holds for a workspace with a bound, of which each cell has its part: a few wide jobs in one cell use that
//! up while nothing of the workspace runs in others.
//!
//! The home decides, and keeps in the store where it sent a job: so a job that comes again by another
//! entry goes to the same cell.

use crate::id::Name;
use crate::workload::JobKey;
use serde::{Deserialize, Serialize};

/// A home keeps its jobs below this load, in thousandths: they find room there, and a move costs one
/// more append, some 30 ms.
const FULL: u32 = 850;
/// Another cell has to have so much less to do, in thousandths of its processors: less is within what
/// comes and goes between two words from it.
const MARGIN: u32 = 150;

/// What a load is counted for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Of {
    /// The workers of a service: processors that are taken or waited for, of all that they have.
    Service(Name),
    /// A workspace: what it has running or waiting, of what it may have running in the cell.
    Workspace(Name),
}

/// What a cell has to do, of one kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// What it is counted for.
    pub of: Of,
    /// How much, in thousandths of what there is.
    pub share: u32,
}

/// Workspaces are told of from this share on: below it they find room, and there are many of them.
pub const TOLD: u32 = FULL / 2;

/// The load that counts for a job: of its service, or of its workspace where that is closer to its bound. `None`: the
/// cell has no worker of the service.
pub fn share_for(loads: &[Load], service: &Of, workspace: Option<&Of>) -> Option<u32> {
    let share = |of: &Of| loads.iter().find(|load| load.of == *of).map(|load| load.share);
    let of_workspace = workspace.and_then(share).unwrap_or_default();
    Some(share(service)?.max(of_workspace))
}

/// A cell that a job could go to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// The cell.
    pub cell: u32,
    /// What it has to do, as [`Load::share`].
    pub share: u32,
}

/// The cell that a job of a home with load `mine` should go to instead. Of many it looks at two, by the
/// job's key: if all took the emptiest one, that would be full before it could say so.
pub fn choose(mine: u32, others: &[Choice], job: JobKey) -> Option<u32> {
    if mine < FULL || others.is_empty() {
        return None;
    }
    let count = others.len() as u64;
    let first = job.0 % count;
    let second = (first + 1 + (job.0 >> 32) % count.saturating_sub(1).max(1)) % count;
    let looked = [first, second].into_iter().filter_map(|at| others.get(at as usize));
    let best = looked.min_by_key(|choice| choice.share)?;
    (best.share + MARGIN <= mine).then_some(best.cell)
}
