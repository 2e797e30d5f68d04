//! Room kept for work that needs much at once, so that small work does not starve it.
//!
//! The most urgent shape that found no room keeps all workers from less urgent ones for a while:
//! room that is freed anywhere adds up for it soonest. If that does not help, it keeps only as many
//! workers as it would need if they were empty, so that work that waits for long-lived services to
//! end does not hold up a whole shard.

use crate::clock::Millis;
use crate::controller::place::Ledger;
use crate::controller::queue::{Block, Shape};
use crate::controller::shard::office::Office;
use crate::id::Name;
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// How long a shape keeps all workers.
const KEEP_ALL: Millis = Millis(5_000);

/// Workers kept free of less urgent work until a shape that found no room fits there.
#[derive(Debug)]
pub(super) struct Reserved {
    shape: Shape,
    points: u64,
    /// When it began to keep all workers; `None` once it keeps the fewest.
    all: Option<Millis>,
    workers: BTreeSet<Name>,
}

impl Office {
    /// Whether workers are kept for this shape.
    pub(super) fn is_reserved(&self, shape: &Shape) -> bool {
        self.reserved.as_ref().is_some_and(|reserved| reserved.shape == *shape)
    }

    /// A shape was blocked: keeps workers for it if it is the most urgent one without room.
    pub(super) fn reserve(&mut self, now: Millis, shape: &Shape, points: u64, why: Block) {
        let less = self.reserved.as_ref().is_none_or(|held| held.points < points);
        match why {
            Block::Limit if self.is_reserved(shape) => self.end_reservation(),
            Block::Room if less && !self.is_reserved(shape) => {
                let (shape, all) = (shape.clone(), Some(now));
                let workers = self.open.iter().cloned().collect();
                self.reserved = Some(Reserved { shape, points, all, workers });
            }
            Block::Limit | Block::Room => {}
        }
    }

    /// The workers with most room for a shape: as many as it would need if they were empty.
    fn fewest_workers(&self, shape: &Shape) -> BTreeSet<Name> {
        let able = self.open_rooms().filter(|(_, ledger)| ledger.total().can_fit(&shape.size));
        let mut rooms: Vec<(&Name, &Ledger)> = able.collect();
        rooms.sort_by_key(|(_, ledger)| {
            let free = ledger.free();
            Reverse((free.max_copies(&shape.size), free.cpu))
        });
        let mut left = shape.gang.max(1);
        let mut workers = BTreeSet::new();
        for (name, ledger) in rooms {
            if left == 0 {
                break;
            }
            left = left.saturating_sub(ledger.total().max_copies(&shape.size));
            workers.insert(name.clone());
        }
        workers
    }

    /// Ends a reservation whose shape waits no longer or whose workers changed; otherwise it has
    /// become more urgent.
    pub(super) fn renew_reservation(&mut self, now: Millis) {
        let Some(held) = &self.reserved else { return };
        let head = self.queue.head(&held.shape);
        let whole = held.workers.iter().all(|name| self.open.contains(name));
        let over = held.all.is_some_and(|begun| now.since(begun) >= KEEP_ALL);
        let fewest = over.then(|| self.fewest_workers(&held.shape));
        let points = head.filter(|_| whole).map(|head| self.rank(now, &head).0);
        let Some((points, held)) = points.zip(self.reserved.as_mut()) else {
            return self.end_reservation();
        };
        held.points = points;
        if let Some(workers) = fewest {
            held.all = None;
            held.workers = workers;
            self.queue.unblock();
        }
    }

    /// The kept workers are open to all again.
    pub(super) fn end_reservation(&mut self) {
        self.reserved = None;
        self.queue.unblock();
    }

    /// The rooms open to a shape: not those kept for a more urgent one. Work of a higher weight
    /// passes: it gets room first anyway as soon as there is any.
    pub(super) fn rooms_for(
        &self,
        shape: &Shape,
        points: u64,
    ) -> impl Iterator<Item = (&Name, &Ledger)> {
        let held = self.reserved.as_ref();
        let weight = |shape: &Shape| self.row(&shape.kind).map_or(0, |row| row.weight);
        let passes = |held: &&Reserved| {
            held.shape == *shape || held.points <= points || weight(&held.shape) < weight(shape)
        };
        let held = held.filter(|held| !passes(held));
        self.open_rooms()
            .filter(move |(name, _)| held.is_none_or(|held| !held.workers.contains(*name)))
    }
}
