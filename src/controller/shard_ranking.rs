//! The order in which the shards of the cell are tried for a new job.

use crate::id::{Name, hash};
use crate::size::Size;
use serde::{Deserialize, Serialize};

/// The free resources and the waiting work of a shard, as its owner last reported them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ShardCapacity {
    /// The largest total of each resource on any worker.
    pub largest: Size,
    /// The largest free amount of each resource on any worker.
    pub max_free: Size,
    /// The free resources of all workers together.
    pub total_free: Size,
    /// Processors that the waiting tasks need together, in thousandths of a core.
    pub backlog: u64,
    /// The highest row weight of the kinds that have waiting tasks.
    pub max_weight: u32,
}

/// A shard that may take a job.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The name of the shard.
    pub shard: Name,
    /// Whether it lies in another failure domain than the caller's entry.
    pub is_remote: bool,
    /// The weight that the job's row gives to the shard's failure domain.
    pub weight: u32,
    /// The capacity that its owner last reported.
    pub capacity: ShardCapacity,
}

/// The resources that a job asks for.
#[derive(Debug, Clone, Copy)]
pub struct JobDemand {
    /// The resources that each task needs.
    pub size: Size,
    /// How many tasks must start at the same time.
    pub count: u32,
    /// The weight of the job's row.
    pub weight: u32,
}

/// Returns the shards whose workers are large enough for the job, best first. Shards in the
/// caller's failure domain come first, then those that can start it now because no work of the same
/// or a higher weight waits there, then those of failure domains with a higher weight, then those
/// with the least load. `seed` spreads jobs over shards that are equal otherwise.
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
