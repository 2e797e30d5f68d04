//! The records in the log of the election, and the owner that they name.

use crate::id::{EntryId, Name};
use serde::{Deserialize, Serialize};

/// A record in the log topic of the election.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ElectionRecord {
    /// An entry claims the ownership of the cell.
    Claim {
        /// The new owner.
        owner: EntryId,
        /// Where other entries reach it.
        addr: Name,
    },
    /// The owner is alive.
    Heartbeat {
        /// The epoch of the owner.
        epoch: u64,
        /// The owner.
        owner: EntryId,
        /// Where other entries reach it.
        addr: Name,
        /// The CPU, in millicores, of the largest entry among the owner and its connected peers.
        largest_cpu: u32,
    },
    /// The owner shuts down as planned, and any entry may claim the cell at once.
    Release {
        /// The epoch of the owner.
        epoch: u64,
    },
    /// The owner is overloaded and gives up the cell, and any entry may claim it at once.
    Overloaded {
        /// The epoch of the owner.
        epoch: u64,
    },
}

/// The owner according to the newest claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leader {
    /// The offset of its claim plus one.
    pub epoch: u64,
    /// The entry that is the owner.
    pub owner: EntryId,
    /// Where other entries reach it.
    pub addr: Name,
}

impl Leader {
    /// Whether this leader replaces the one that is known. Tasks that read the claims at the same
    /// time may publish what they found in any order.
    pub fn replaces(&self, known: Option<&Self>) -> bool {
        known.is_none_or(|known| known.epoch < self.epoch)
    }
}
