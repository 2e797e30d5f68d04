//! Which shard a job is offered to first.

use crate::id::{Name, hash};
use crate::size::Size;
use serde::{Deserialize, Serialize};

/// What a shard could take, as its owner said last.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Room {
    /// The largest worker.
    pub largest: Size,
    /// The most that is free on one worker.
    pub free: Size,
    /// All that is free.
    pub spare: Size,
    /// Processors that waiting tasks need, in thousandths of a core.
    pub backlog: u64,
    /// The highest weight of what waits.
    pub urgent: u32,
}

/// A shard that a job may be offered to.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The shard.
    pub shard: Name,
    /// Whether it lies in another failure domain than the caller's entry.
    pub far: bool,
    /// The weight of its failure domain.
    pub weight: u32,
    /// What it could take.
    pub room: Room,
}

/// What is offered.
#[derive(Debug, Clone, Copy)]
pub struct Offer {
    /// What a task needs.
    pub size: Size,
    /// How many tasks have to start at once.
    pub count: u32,
    /// The weight of the row.
    pub weight: u32,
}

/// The shards that may take an offer, best first: near ones, then those with room now where
/// nothing as urgent waits, then those with the least to do. `seed` spreads jobs over equals.
pub fn order(candidates: &[Candidate], offer: &Offer, seed: u64) -> Vec<Name> {
    let fitting = candidates.iter().filter(|at| at.room.largest.can_fit(&offer.size));
    let mut rated: Vec<_> = fitting
        .map(|at| {
            let room = &at.room;
            let fits = room.free.can_fit(&offer.size);
            let first = room.backlog == 0 || room.urgent < offer.weight;
            let now = first && fits && room.spare.max_copies(&offer.size) >= offer.count;
            let load = room.backlog as i64 - room.spare.cpu as i64;
            let spread = hash(&[at.shard.as_bytes(), &seed.to_le_bytes()]);
            ((at.far, !now, u32::MAX - at.weight, load, spread), &at.shard)
        })
        .collect();
    rated.sort();
    rated.into_iter().map(|(_, shard)| shard.clone()).collect()
}
