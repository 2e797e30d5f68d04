//! The entries that may claim a cell as soon as its owner is silent.
//!
//! An owner that cannot write to the log acts on while all entries that could claim the cell report
//! that they cannot read the log. It tells in its heartbeats which entries it counts. An entry that
//! is not among them, for example because it started behind a network partition, claims the cell
//! only after [`MAX_RELIANCE`].

use crate::clock::Millis;
use crate::id::{Name, hash};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// How long an owner relies on the reports of other entries at the most, counted from its last
/// heartbeat that reached the log.
pub const MAX_RELIANCE: Millis = Millis(60_000);

/// A set of entries, by a hash of their names.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Claimants(BTreeSet<u32>);

impl Claimants {
    /// Adds an entry.
    pub fn insert(&mut self, entry: &Name) {
        self.0.insert(id(entry));
    }

    /// Removes an entry.
    pub fn remove(&mut self, entry: &Name) {
        self.0.remove(&id(entry));
    }

    /// Adds the entries of another set.
    pub fn extend(&mut self, other: &Self) {
        self.0.extend(&other.0);
    }

    /// Whether an entry is in the set.
    pub fn contains(&self, entry: &Name) -> bool {
        self.0.contains(&id(entry))
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Shortens the hash of a name, so that the set of a large fleet stays small. Two entries with the
/// same hash are counted as one: the owner does not act on unless both cannot read the log.
fn id(entry: &Name) -> u32 {
    hash(&[entry.as_bytes()]) as u32
}

/// The claimants as a record of the election names them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimantUpdate {
    /// Every entry may claim the cell: the owner does not know the others yet and relies on none.
    #[default]
    Any,
    /// The claimants are those of an earlier record of the owner.
    Unchanged,
    /// The claimants are these entries.
    Only(Claimants),
}

/// The claimants of a cell as far as an entry knows them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum KnownClaimants {
    /// Every entry may claim the cell.
    #[default]
    Any,
    /// The record that names them was not read.
    Unread,
    /// The claimants are these entries.
    Only(Claimants),
}

impl KnownClaimants {
    /// Applies a record of the owner.
    pub fn apply(&mut self, update: ClaimantUpdate) {
        match (update, &*self) {
            (ClaimantUpdate::Any, _) => *self = Self::Any,
            (ClaimantUpdate::Only(claimants), _) => *self = Self::Only(claimants),
            (ClaimantUpdate::Unchanged, Self::Any) => *self = Self::Unread,
            (ClaimantUpdate::Unchanged, Self::Unread | Self::Only(_)) => {}
        }
    }

    /// Whether an entry may claim the cell as soon as the owner is silent.
    pub fn include(&self, entry: &Name) -> bool {
        match self {
            Self::Any => true,
            Self::Unread => false,
            Self::Only(claimants) => claimants.contains(entry),
        }
    }

    /// The entries that the next owner has to count, which include itself. `None` if unknown.
    pub fn inherit(&self, next: &Name) -> Option<Claimants> {
        match self {
            Self::Any | Self::Unread => None,
            Self::Only(claimants) => {
                let mut claimants = claimants.clone();
                claimants.insert(next);
                Some(claimants)
            }
        }
    }
}
