//! A replica of a shard's state at an entry that does not own the shard.
//!
//! The owner sends the full [`ShardState`] once an epoch and numbered state changes after it. A
//! replica that is sealed for a claimant refuses updates of earlier epochs. The former owner needs
//! the acknowledgement of every replica before it starts a task, so it can commit nothing more.

use crate::controller::shard::owner::LEASE;
use crate::controller::shard_state::ShardState;
use crate::id::Name;
use crate::job::StateChange;
use crate::platform::api::SyncOrder;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

/// The state of a shard up to a numbered change.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StateSnapshot {
    /// The epoch in which the owner sent the state; 0 if no owner did.
    pub epoch: u64,
    /// The number of the last change in it.
    pub seq: u64,
    /// The jobs and idempotency keys.
    #[serde(rename = "book")]
    pub contents: ShardState,
}

/// An update from an owner to a replica.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The owner's epoch.
    pub epoch: u64,
    /// The full state, in the first update of an epoch.
    pub base: Option<StateSnapshot>,
    /// The number of the first change in `changes`.
    pub first: u64,
    /// The changes, in order.
    pub changes: Vec<StateChange>,
}

/// The reason why a replica refused an update.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum ReplicaError {
    /// The replica is sealed for a later epoch.
    #[error("sealed for epoch {0}")]
    Sealed(u64),
    /// Changes are missing after this one: the owner has to send the full state again.
    #[error("a gap after note {0}")]
    Gap(u64),
}

/// A replica: its state, and the epoch for which it is sealed.
#[derive(Debug, Default)]
pub struct Replica {
    sealed: u64,
    state: StateSnapshot,
}

impl Replica {
    /// Applies an update and returns the number of the last change held.
    ///
    /// # Errors
    /// [`ReplicaError::Sealed`] from a replaced owner, [`ReplicaError::Gap`] if changes are
    /// missing.
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

    /// Refuses updates of epochs before `epoch` from now on and returns the state held here.
    pub fn seal(&mut self, epoch: u64) -> &StateSnapshot {
        self.sealed = self.sealed.max(epoch);
        &self.state
    }

    /// The epoch for which the replica is sealed; updates of earlier ones are refused.
    pub fn sealed(&self) -> u64 {
        self.sealed
    }

    /// The state held here.
    pub fn state(&self) -> &StateSnapshot {
        &self.state
    }

    /// Orders that renew the leases of all bound tasks, by worker.
    pub fn renewals(&self) -> BTreeMap<Name, SyncOrder> {
        let mut orders: BTreeMap<Name, SyncOrder> = BTreeMap::new();
        for (task, _, bound) in self.state.contents.all_bound() {
            let order = orders.entry(bound.worker.clone()).or_default();
            order.lease = LEASE;
            order.renew.push(task);
        }
        orders
    }

    /// Keeps the state of an owner at this entry that was replaced, so that a claimant can ask for
    /// it.
    pub fn restore(&mut self, state: StateSnapshot) {
        if state.epoch >= self.state.epoch {
            self.state = state;
        }
    }
}
