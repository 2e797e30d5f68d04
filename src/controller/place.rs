//! The choice of a worker for a task: workers with enough free resources, ranked by a score with
//! the weights of the task's row.

use crate::id::Name;
use crate::size::Size;
use std::collections::BTreeMap;

/// Taken off the spread score of a worker for each task of the same kind there, in thousandths.
const SAME_KIND_PENALTY: i64 = 100;
/// The share of a worker that is fully used, in thousandths.
const FULL_SHARE_PERMILLE: i64 = 1000;

/// The total and reserved resources of one worker.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    total: Size,
    used: Size,
    kinds: BTreeMap<Name, u32>,
}

impl Ledger {
    /// Creates the ledger of a worker of this size without reservations.
    pub fn new(total: Size) -> Self {
        Self { total, used: Size::default(), kinds: BTreeMap::new() }
    }

    /// The resources of the worker.
    pub fn total(&self) -> Size {
        self.total
    }

    /// The reserved resources.
    pub fn used(&self) -> Size {
        self.used
    }

    /// The resources that are not reserved.
    pub fn free(&self) -> Size {
        self.total.saturating_sub(&self.used)
    }

    /// Sets a new size of the worker and keeps all reservations.
    pub fn resize(&mut self, total: Size) {
        self.total = total;
    }

    /// Reserves resources for a task. Returns `false` and changes nothing if they are not free.
    pub fn reserve(&mut self, kind: &Name, size: &Size) -> bool {
        let fits = self.free().can_fit(size);
        if fits {
            self.reserve_unchecked(kind, size);
        }
        fits
    }

    /// Reserves resources for a task that runs on the worker already, even if they are not free.
    pub fn reserve_unchecked(&mut self, kind: &Name, size: &Size) {
        self.used = self.used.checked_add(size).unwrap_or(Size::new(u32::MAX, u32::MAX, u32::MAX));
        *self.kinds.entry(kind.clone()).or_insert(0) += 1;
    }

    /// Releases the resources of a task.
    pub fn release(&mut self, kind: &Name, size: &Size) {
        self.used = self.used.saturating_sub(size);
        if let Some(n) = self.kinds.get_mut(kind) {
            *n = n.saturating_sub(1);
        }
        self.kinds.retain(|_, n| *n > 0);
    }

    /// The number of tasks of one kind on this worker.
    pub fn kind(&self, kind: &str) -> u32 {
        self.kinds.get(kind).copied().unwrap_or(0)
    }

    /// The score of this worker for a task. `pack` weighs how full the worker would be, `spread`
    /// how few tasks of the same kind it has.
    fn score(&self, kind: &str, size: &Size, weights: Weights) -> i64 {
        let after = self.used.checked_add(size).unwrap_or(self.total);
        let full = self.total.dominant_share(&after) as i64;
        let apart = FULL_SHARE_PERMILLE - SAME_KIND_PENALTY * self.kind(kind) as i64;
        full * weights.pack as i64 + apart * weights.spread as i64
    }
}

/// The weights of a row for the choice of a worker.
#[derive(Debug, Clone, Copy)]
pub struct Weights {
    /// The weight of filling workers up.
    pub pack: u32,
    /// The weight of spreading tasks of a kind over workers.
    pub spread: u32,
}

/// Returns the best worker among `open` for one task, the first one on a tie. A task that needs no
/// accelerator goes to a worker without accelerators if one has enough free resources.
pub fn pick<'a>(
    open: impl Iterator<Item = (&'a Name, &'a Ledger)>,
    kind: &str,
    size: &Size,
    weights: Weights,
) -> Option<&'a Name> {
    let fitting = open.filter(|(_, ledger)| ledger.free().can_fit(size));
    let rated = fitting.map(|(name, ledger)| {
        let wasted = size.acc == 0 && ledger.total.acc > 0;
        ((!wasted, ledger.score(kind, size, weights)), name)
    });
    let best = rated.reduce(|best, next| if next.0 > best.0 { next } else { best });
    best.map(|(_, name)| name)
}

/// Returns a worker for each of the `count` tasks of a gang; `None` if they do not fit all at once.
pub fn pick_gang<'a>(
    open: impl Iterator<Item = (&'a Name, &'a Ledger)>,
    kind: &Name,
    size: &Size,
    count: u32,
    weights: Weights,
) -> Option<Vec<Name>> {
    let mut ledgers: BTreeMap<&Name, Ledger> = open.map(|(name, at)| (name, at.clone())).collect();
    let copies: u64 = ledgers.values().map(|ledger| ledger.free().max_copies(size) as u64).sum();
    if copies < count as u64 {
        return None;
    }
    let mut picked = Vec::with_capacity(count as usize);
    for _ in 0..count {
        let name = pick(ledgers.iter().map(|(name, at)| (*name, at)), kind, size, weights)?.clone();
        ledgers.get_mut(&name)?.reserve(kind, size);
        picked.push(name);
    }
    Some(picked)
}
