//! Records of the platform's log. Each append writes one batch of records.

use crate::clock::Millis;
use crate::controller::replica::StateSnapshot;
use crate::controller::table::Revision;
use crate::id::{EntryId, JobId, Name};
use crate::job::{JobSpec, StateChange, TaskOutcome};
use crate::trace::Stamp;
use serde::{Deserialize, Serialize};

/// Format version of batches. Readers skip batches with a higher version.
pub const BATCH_FORMAT: u32 = 1;

/// The content of one append. All records are idempotent, so a repeated append has no further effect.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Format version.
    pub version: u32,
    /// Entry that appends the batch.
    pub writer: EntryId,
    /// Sequence number among the writer's batches, from 1. The writer looks for it in the log to see that
    /// its append succeeded.
    pub seq: u64,
    /// Timestamp of the writer's clock.
    pub stamp: Stamp,
    /// Records of the batch.
    pub records: Vec<Record>,
}

/// An operator's request to activate a table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TablePublish {
    /// Id of the request, by which the operator gets its result.
    pub id: Name,
    /// Revision that the table was edited from.
    pub base: u64,
    /// Operator who publishes the table.
    pub by: Name,
    /// Table as CSV.
    pub csv: Name,
}

/// A claim on the ownership of a shard. The first claim of an epoch in the log wins; the others are void.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The shard.
    pub shard: Name,
    /// Failure domain of the shard and its owners.
    pub domain: Name,
    /// Claimed epoch: one more than the last epoch that the claimant saw.
    pub epoch: u64,
    /// Entry that claims the shard.
    pub owner: EntryId,
    /// Entries that hold a replica in this epoch. If empty, the state is replicated in the log.
    pub replicas: Vec<EntryId>,
}

/// A record of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Record {
    /// An operator published a table.
    Publish(TablePublish),
    /// An entry claimed a shard.
    Claim(Claim),
    /// The owner's replicas have its state and all former owners are fenced. Claims of earlier epochs
    /// are no longer needed.
    Active {
        /// The shard.
        shard: Name,
        /// The owner's epoch.
        epoch: u64,
    },
    /// A copy of the table and the claims, appended regularly so that the log's retention doesn't delete them.
    Snapshot {
        /// Offset after the last record that the snapshot covers.
        #[serde(rename = "upto")]
        end_offset: u64,
        /// Current table of the log.
        table: Option<Revision>,
        /// Claims on each shard, in order.
        claims: Vec<Vec<Claim>>,
    },
    /// A job was accepted.
    Job {
        /// The job.
        job: JobId,
        /// Definition of the job.
        spec: JobSpec,
        /// Time at which the job was accepted.
        at: Millis,
    },
    /// A task ended.
    Ended {
        /// Job of the task.
        job: JobId,
        /// Index of the task in the job.
        index: u32,
        /// Final state of the task.
        outcome: TaskOutcome,
    },
    /// A job ended or was cancelled.
    Closed {
        /// The job.
        job: JobId,
    },
    /// Complete state of a shard at the start of an epoch that has no replicas.
    Base {
        /// The shard.
        shard: Name,
        /// State of the shard, with its epoch.
        state: StateSnapshot,
    },
    /// State changes of a shard in an epoch that has no replicas.
    Notes {
        /// The shard.
        shard: Name,
        /// The epoch.
        epoch: u64,
        /// Number of the first change.
        first: u64,
        /// Changes in order.
        notes: Vec<StateChange>,
    },
}
