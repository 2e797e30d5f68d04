//! A replica of a shard's state at an entry that does not own the shard.
//!
//! The owner sends a whole [`ShardState`] once an epoch and numbered notes after it. Once a replica is
//! sealed for a claimant it takes nothing from earlier epochs, so the former owner, which needs
//! every replica's answer before it starts a task, can commit nothing more.

use crate::controller::shard::owner::LEASE;
use crate::controller::shard_state::ShardState;
use crate::id::Name;
use crate::job::StateChange;
use crate::platform::api::SyncOrder;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

/// The state of a shard up to a note.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StateSnapshot {
    /// The epoch in which the state was sent; 0: never.
    pub epoch: u64,
    /// The number of the last note in it.
    pub seq: u64,
    /// The state.
    #[serde(rename = "book")]
    pub contents: ShardState,
}

/// What an owner sends to a replica.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The owner's epoch.
    pub epoch: u64,
    /// The whole state, at first contact in an epoch.
    pub base: Option<StateSnapshot>,
    /// The number of the first note.
    pub first: u64,
    /// The notes.
    pub changes: Vec<StateChange>,
}

/// Why a replica did not take an update.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum ReplicaError {
    /// A later epoch has begun.
    #[error("sealed for epoch {0}")]
    Sealed(u64),
    /// Notes are missing: the base has to be sent again.
    #[error("a gap after note {0}")]
    Gap(u64),
}

/// A replica.
#[derive(Debug, Default)]
pub struct Replica {
    sealed: u64,
    state: StateSnapshot,
}

impl Replica {
    /// Takes an update and returns the number of the last note held.
    ///
    /// # Errors
    /// [`ReplicaError::Sealed`] from a deposed owner, [`ReplicaError::Gap`] if notes are missing.
    pub fn update(&mut self, update: Update) -> Result<u64, ReplicaError> {
        if update.epoch < self.sealed {
            return Err(ReplicaError::Sealed(self.sealed));
        }
        match update.base {
            Some(base) if update.epoch > self.state.epoch || base.seq > self.state.seq => {
                self.state = StateSnapshot { epoch: update.epoch, ..base };
            }
            Some(_) => {}
            None if update.epoch != self.state.epoch => return Err(ReplicaError::Gap(0)),
            None => {}
        }
        if update.first > self.state.seq + 1 {
            return Err(ReplicaError::Gap(self.state.seq));
        }
        for (seq, change) in (update.first..).zip(&update.changes) {
            if seq > self.state.seq {
                self.state.contents.apply(change);
                self.state.seq = seq;
            }
        }
        self.sealed = self.sealed.max(update.epoch);
        Ok(self.state.seq)
    }

    /// Refuses every epoch before `epoch` from now on and returns what is held.
    pub fn seal(&mut self, epoch: u64) -> &StateSnapshot {
        self.sealed = self.sealed.max(epoch);
        &self.state
    }

    /// The epoch before which every one is refused.
    pub fn sealed(&self) -> u64 {
        self.sealed
    }

    /// What is held.
    pub fn state(&self) -> &StateSnapshot {
        &self.state
    }

    /// The leases that keep the shard's tasks running, by worker.
    pub fn renewals(&self) -> BTreeMap<Name, SyncOrder> {
        let mut orders: BTreeMap<Name, SyncOrder> = BTreeMap::new();
        for (task, _, bound) in self.state.contents.all_bound() {
            let order = orders.entry(bound.worker.clone()).or_default();
            order.lease = LEASE;
            order.renew.push(task);
        }
        orders
    }

    /// Takes over the state of a deposed owner at this entry, so that a claimant can ask for it.
    pub fn restore(&mut self, state: StateSnapshot) {
        if state.epoch >= self.state.epoch {
            self.state = state;
        }
    }
}
