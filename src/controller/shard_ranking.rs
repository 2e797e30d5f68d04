//! Which shard a job is offered to first.

use crate::id::{Name, hash};
use crate::size::Size;
use serde::{Deserialize, Serialize};

/// What a shard could take, as its owner said last.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ShardCapacity {
    /// The largest worker.
    pub largest: Size,
    /// The most that is free on one worker.
    pub max_free: Size,
    /// All that is free.
    pub total_free: Size,
    /// Processors that waiting tasks need, in thousandths of a core.
    pub backlog: u64,
    /// The highest weight of what waits.
    pub max_weight: u32,
}

/// A shard that a job may be offered to.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The shard.
    pub shard: Name,
    /// Whether it lies in another failure domain than the caller's entry.
    pub is_remote: bool,
    /// The weight of its failure domain.
    pub weight: u32,
    /// What it could take.
    pub capacity: ShardCapacity,
}

/// What is offered.
#[derive(Debug, Clone, Copy)]
pub struct JobDemand {
    /// What a task needs.
    pub size: Size,
    /// How many tasks have to start at once.
    pub count: u32,
    /// The weight of the row.
    pub weight: u32,
}

/// The shards that may take an offer, best first: near ones, then those with capacity now where
/// nothing as urgent waits, then those with the least to do. `seed` spreads jobs over equals.
pub fn rank_shards(candidates: &[Candidate], demand: &JobDemand, seed: u64) -> Vec<Name> {
    let fitting =
        candidates.iter().filter(|candidate| candidate.capacity.largest.can_fit(&demand.size));
    let mut rated: Vec<_> = fitting
        .map(|candidate| {
            let capacity = &candidate.capacity;
            let fits = capacity.max_free.can_fit(&demand.size);
            let is_first = capacity.backlog == 0 || capacity.max_weight < demand.weight;
            let fits_now =
                is_first && fits && capacity.total_free.max_copies(&demand.size) >= demand.count;
            let load = capacity.backlog as i64 - capacity.total_free.cpu as i64;
            let tie_breaker = hash(&[candidate.shard.as_bytes(), &seed.to_le_bytes()]);
            (
                (candidate.is_remote, !fits_now, u32::MAX - candidate.weight, load, tie_breaker),
                &candidate.shard,
            )
        })
        .collect();
    rated.sort();
    rated.into_iter().map(|(_, shard)| shard.clone()).collect()
}
