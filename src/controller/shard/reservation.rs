//! Reservations of workers for large tasks and gangs, so that small tasks do not starve them.
//!
//! The most urgent shape that does not fit anywhere first reserves all workers against less urgent
//! work, so that freed resources add up for it as soon as possible. If it still does not fit after
//! [`FULL_RESERVATION_TIME`], it keeps only as many workers as it would need if they were empty: a
//! shape that waits for long-lived services to end must not block a whole shard.

use crate::clock::Millis;
use crate::controller::place::Ledger;
use crate::controller::queue::{BlockReason, Shape};
use crate::controller::shard::owner::ShardOwner;
use crate::id::Name;
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// How long a shape reserves all workers.
const FULL_RESERVATION_TIME: Millis = Millis(5_000);

/// Workers that are closed to less urgent work until a shape that did not fit can be placed there.
#[derive(Debug)]
pub(super) struct Reservation {
    shape: Shape,
    priority: u64,
    /// When the shape reserved all workers; `None` once it keeps only the fewest.
    all_since: Option<Millis>,
    workers: BTreeSet<Name>,
}

impl ShardOwner {
    /// Whether workers are reserved for this shape.
    pub(super) fn is_reserved(&self, shape: &Shape) -> bool {
        self.reservation.as_ref().is_some_and(|reservation| reservation.shape == *shape)
    }

    /// Handles a shape that cannot be placed: reserves workers for it if it is the most urgent one
    /// that fits nowhere.
    pub(super) fn reserve(&mut self, now: Millis, shape: &Shape, priority: u64, why: BlockReason) {
        let less = self.reservation.as_ref().is_none_or(|held| held.priority < priority);
        match why {
            BlockReason::Limit if self.is_reserved(shape) => self.end_reservation(),
            BlockReason::Resources if less && !self.is_reserved(shape) => {
                let (shape, all_since) = (shape.clone(), Some(now));
                let workers = self.schedulable.iter().cloned().collect();
                self.reservation = Some(Reservation { shape, priority, all_since, workers });
            }
            BlockReason::Limit | BlockReason::Resources => {}
        }
    }

    /// The workers with the most free resources for a shape, as many as it would need if they were
    /// empty.
    fn fewest_workers(&self, shape: &Shape) -> BTreeSet<Name> {
        let able =
            self.schedulable_ledgers().filter(|(_, ledger)| ledger.total().can_fit(&shape.size));
        let mut ledgers: Vec<(&Name, &Ledger)> = able.collect();
        ledgers.sort_by_key(|(_, ledger)| {
            let free = ledger.free();
            Reverse((free.max_copies(&shape.size), free.cpu))
        });
        let mut left = shape.gang.max(1);
        let mut workers = BTreeSet::new();
        for (name, ledger) in ledgers {
            if left == 0 {
                break;
            }
            left = left.saturating_sub(ledger.total().max_copies(&shape.size));
            workers.insert(name.clone());
        }
        workers
    }

    /// Ends the reservation if its shape no longer waits or one of its workers became unavailable.
    /// Otherwise updates its priority, which grows with the time that the shape has waited, and
    /// reduces the reservation to the fewest workers after [`FULL_RESERVATION_TIME`].
    pub(super) fn renew_reservation(&mut self, now: Millis) {
        let Some(held) = &self.reservation else { return };
        let head = self.queue.head(&held.shape);
        let whole = held.workers.iter().all(|name| self.schedulable.contains(name));
        let over = held.all_since.is_some_and(|begun| now.since(begun) >= FULL_RESERVATION_TIME);
        let fewest = over.then(|| self.fewest_workers(&held.shape));
        let priority = head.filter(|_| whole).map(|head| self.rank(now, &head).0);
        let Some((priority, held)) = priority.zip(self.reservation.as_mut()) else {
            return self.end_reservation();
        };
        held.priority = priority;
        if let Some(workers) = fewest {
            held.all_since = None;
            held.workers = workers;
            self.queue.unblock();
        }
    }

    /// Opens the reserved workers to all work again.
    pub(super) fn end_reservation(&mut self) {
        self.reservation = None;
        self.queue.unblock();
    }

    /// The workers that a shape may use: all schedulable ones except those reserved for more urgent
    /// work. A shape of a higher weight ignores the reservation, since it gets freed resources
    /// first anyway.
    pub(super) fn ledgers_for(
        &self,
        shape: &Shape,
        priority: u64,
    ) -> impl Iterator<Item = (&Name, &Ledger)> {
        let held = self.reservation.as_ref();
        let weight = |shape: &Shape| self.row(&shape.kind).map_or(0, |row| row.weight);
        let passes = |held: &&Reservation| {
            held.shape == *shape || held.priority <= priority || weight(&held.shape) < weight(shape)
        };
        let held = held.filter(|held| !passes(held));
        self.schedulable_ledgers()
            .filter(move |(name, _)| held.is_none_or(|held| !held.workers.contains(*name)))
    }
}
