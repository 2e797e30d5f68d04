//! The choice of a worker: hard limits by the ledger first, then a score by the row's weights.

use crate::id::Name;
use crate::size::Size;
use std::collections::BTreeMap;

/// The score lost for each task of the same kind on a worker, in thousandths of a whole worker.
const SAME_KIND_PENALTY: i64 = 100;
/// A full share, in thousandths.
const FULL_SHARE_PERMILLE: i64 = 1000;

/// The room of one worker: what it has and what is set aside.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    total: Size,
    used: Size,
    kinds: BTreeMap<Name, u32>,
}

impl Ledger {
    /// An empty ledger for a worker of this size.
    pub fn new(total: Size) -> Self {
        Self { total, used: Size::default(), kinds: BTreeMap::new() }
    }

    /// What the worker has.
    pub fn total(&self) -> Size {
        self.total
    }

    /// What is set aside.
    pub fn used(&self) -> Size {
        self.used
    }

    /// What is left.
    pub fn free(&self) -> Size {
        self.total.saturating_sub(&self.used)
    }

    /// The worker's size changed. What is set aside stays set aside.
    pub fn resize(&mut self, total: Size) {
        self.total = total;
    }

    /// Sets room aside; `false`, and no change, if there is not enough.
    pub fn reserve(&mut self, kind: &Name, size: &Size) -> bool {
        let fits = self.free().can_fit(size);
        if fits {
            self.reserve_unchecked(kind, size);
        }
        fits
    }

    /// Counts room that is taken already, whether or not it fits: a task found running.
    pub fn reserve_unchecked(&mut self, kind: &Name, size: &Size) {
        self.used = self.used.checked_add(size).unwrap_or(Size::new(u32::MAX, u32::MAX, u32::MAX));
        *self.kinds.entry(kind.clone()).or_insert(0) += 1;
    }

    /// Gives room back.
    pub fn release(&mut self, kind: &Name, size: &Size) {
        self.used = self.used.saturating_sub(size);
        if let Some(n) = self.kinds.get_mut(kind) {
            *n = n.saturating_sub(1);
        }
        self.kinds.retain(|_, n| *n > 0);
    }

    /// Tasks of one kind here.
    pub fn kind(&self, kind: &str) -> u32 {
        self.kinds.get(kind).copied().unwrap_or(0)
    }

    /// How well a task fits here: fuller is better by `pack`, fewer of its kind by `spread`.
    fn score(&self, kind: &str, size: &Size, weights: Weights) -> i64 {
        let after = self.used.checked_add(size).unwrap_or(self.total);
        let full = self.total.dominant_share(&after) as i64;
        let apart = FULL_SHARE_PERMILLE - SAME_KIND_PENALTY * self.kind(kind) as i64;
        full * weights.pack as i64 + apart * weights.spread as i64
    }
}

/// The row's weights for the choice of a worker.
#[derive(Debug, Clone, Copy)]
pub struct Weights {
    /// Weight of filling workers up.
    pub pack: u32,
    /// Weight of spreading over workers.
    pub spread: u32,
}

/// The best worker among `open` for one task. A worker without accelerators is preferred for a
/// task that needs none. Ties go to the first.
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

/// Workers for all `count` tasks of a gang, or `None` if they do not all fit at once.
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
