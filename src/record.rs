//! Records of the platform's log. Each append holds one batch.

use crate::clock::Millis;
use crate::controller::replica::StateSnapshot;
use crate::controller::table::Revision;
use crate::id::{EntryId, JobId, Name};
use crate::job::{JobSpec, StateChange, TaskOutcome};
use crate::trace::Stamp;
use serde::{Deserialize, Serialize};

/// The format of batches; a reader skips batches with a higher one.
pub const BATCH_FORMAT: u32 = 1;

/// One append. Every record is idempotent, so an append that was repeated has one effect.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The format.
    pub version: u32,
    /// Who appends.
    pub writer: EntryId,
    /// The writer's count of batches, from 1: the writer looks for it to learn of its success.
    pub seq: u64,
    /// The writer's clock.
    pub stamp: Stamp,
    /// What is appended.
    pub records: Vec<Record>,
}

/// An order by an operator to use a table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TablePublish {
    /// Names this publish, so that its operator finds the answer to it.
    pub id: Name,
    /// The revision that the table was edited from.
    pub base: u64,
    /// Who publishes.
    pub by: Name,
    /// The table as CSV.
    pub csv: Name,
}

/// A claim on a shard: the first one of an epoch wins, all others of it are void.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The shard.
    pub shard: Name,
    /// The failure domain of the shard and of its owners.
    pub domain: Name,
    /// One more than the epoch that the claimant saw.
    pub epoch: u64,
    /// The claimant.
    pub owner: EntryId,
    /// The entries that hold a replica in this epoch; empty: the log holds it.
    pub replicas: Vec<EntryId>,
}

/// A record of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Record {
    /// An operator publishes a table.
    Publish(TablePublish),
    /// An entry claims a shard.
    Claim(Claim),
    /// An owner's state is at its replicas, and all former owners are fenced: claims before this
    /// epoch are not needed any more.
    Active {
        /// The shard.
        shard: Name,
        /// The owner's epoch.
        epoch: u64,
    },
    /// The table and the claims, repeated so that retention does not drop them.
    Snapshot {
        /// The first offset that is not in it.
        #[serde(rename = "upto")]
        end_offset: u64,
        /// The table that the log has.
        table: Option<Revision>,
        /// The claims on each shard in order.
        claims: Vec<Vec<Claim>>,
    },
    /// A job was accepted.
    Job {
        /// The job.
        job: JobId,
        /// What was asked for.
        spec: JobSpec,
        /// When it was accepted.
        at: Millis,
    },
    /// A task ended.
    Ended {
        /// Its job.
        job: JobId,
        /// Its place in the job.
        index: u32,
        /// How it ended.
        outcome: TaskOutcome,
    },
    /// A job is over: it ended or was withdrawn.
    Closed {
        /// The job.
        job: JobId,
    },
    /// A shard's whole state at the start of an epoch that has no replicas.
    Base {
        /// The shard.
        shard: Name,
        /// The state with its epoch.
        state: StateSnapshot,
    },
    /// Changes of a shard in an epoch that has no replicas.
    Notes {
        /// The shard.
        shard: Name,
        /// The epoch.
        epoch: u64,
        /// The number of the first change.
        first: u64,
        /// The changes.
        notes: Vec<StateChange>,
    },
}
