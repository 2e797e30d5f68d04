//! One shard at one entry, which follows the shard as a replica, recovers its state as the winner
//! of a claim, or owns it.

pub mod event;
pub mod journal;
mod lifecycle;
mod limits;
pub mod owner;
mod requests;
mod reservation;
mod runtime;
mod scheduling;
mod worker_list;

use crate::clock::Millis;
use crate::controller::recover::{Next, Recovery};
use crate::controller::replica::{Replica, ReplicaError, StateSnapshot, Update};
use crate::id::{EntryId, Name};
use crate::record::Claim;
use owner::{MAX_MESSAGE_DELAY, ShardOwner};
use std::collections::BTreeSet;

/// The part that this entry has in the shard.
#[derive(Debug)]
enum Phase {
    Follower,
    Claimant { claim: Claim, recovery: Box<Recovery>, since: Millis },
    Owner(Box<ShardOwner>),
}

/// The state of one shard at this entry.
#[derive(Debug)]
pub struct Shard {
    id: Name,
    me: EntryId,
    replica: Replica,
    phase: Phase,
    /// The last epoch in which this entry handed the shard over to another one; 0 for never.
    released_epoch: u64,
    /// The last epoch in which another entry handed the shard over to this one; 0 for never.
    received_epoch: u64,
}

/// Where a new owner gets the shard's state from.
#[derive(Debug, Clone, PartialEq)]
pub enum StateSource {
    /// A complete state from a replica, the former owner or the log.
    State(Box<StateSnapshot>),
    /// No complete state exists: the state is rebuilt from the log's job records and the reports of
    /// the workers.
    Rebuild,
}

impl Shard {
    /// Creates a shard that this entry follows.
    pub fn new(id: Name, me: EntryId) -> Self {
        let (replica, phase) = (Replica::default(), Phase::Follower);
        Self { id, me, replica, phase, released_epoch: 0, received_epoch: 0 }
    }

    /// The shard's name.
    pub fn id(&self) -> &Name {
        &self.id
    }

    /// The owner's state machine, if this entry owns the shard.
    pub fn owner(&mut self) -> Option<&mut ShardOwner> {
        match &mut self.phase {
            Phase::Owner(shard_owner) => Some(shard_owner),
            _ => None,
        }
    }

    /// The replica of the shard's state at this entry.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The claim that this entry won and for which it is still recovering the state.
    pub fn pending_claim(&self) -> Option<&Claim> {
        match &self.phase {
            Phase::Claimant { claim, .. } => Some(claim),
            _ => None,
        }
    }

    /// Applies an update from the owner to the replica and returns the number of the last change
    /// held.
    ///
    /// # Errors
    /// As [`Replica::update`]; also [`ReplicaError::Sealed`] if this entry owns or claims the same
    /// or a later epoch.
    pub fn update(&mut self, update: Update) -> Result<u64, ReplicaError> {
        let epoch = self.epoch();
        if epoch >= update.epoch {
            return Err(ReplicaError::Sealed(epoch));
        }
        let epoch = update.epoch;
        let seq = self.replica.update(update)?;
        self.step_down(epoch);
        Ok(seq)
    }

    /// The epoch in which this entry owns or claims the shard; 0 if it does neither.
    pub fn epoch(&self) -> u64 {
        match &self.phase {
            Phase::Follower => 0,
            Phase::Claimant { claim, .. } => claim.epoch,
            Phase::Owner(shard_owner) => shard_owner.epoch(),
        }
    }

    /// Refuses earlier epochs from now on and returns the state held here to the claimant of
    /// `epoch`; `None` if this entry handed that state over, since its successor may have changed
    /// it.
    pub fn seal(&mut self, epoch: u64) -> Option<StateSnapshot> {
        self.step_down(epoch);
        let state = self.replica.seal(epoch).clone();
        (!self.is_state_released()).then_some(state)
    }

    /// Whether the state held here was handed over to another entry. Its successor may have changed
    /// it, so a claimant must not treat it as the owner's last state.
    fn is_state_released(&self) -> bool {
        self.released_epoch > 0 && self.replica.state().epoch <= self.released_epoch
    }

    /// Gives the shard up for the rest of its epoch. Returns the epoch and the state from which the
    /// successor continues; only one entry may ever receive them.
    pub fn hand_over(&mut self) -> Option<(u64, StateSnapshot)> {
        let epoch = self.owner()?.epoch();
        let Phase::Owner(shard_owner) = std::mem::replace(&mut self.phase, Phase::Follower) else {
            return None;
        };
        let state = shard_owner.into_state();
        self.replica.restore(state.clone());
        self.released_epoch = epoch;
        Some((epoch, state))
    }

    /// Whether this entry can continue from a state that the owner of `claim` handed over: it must
    /// be a replica of that epoch, know of no later epoch, and not have handed over or received the
    /// shard in this epoch before.
    pub fn can_accept_handover(&self, claim: &Claim, state: &StateSnapshot) -> bool {
        let follows = matches!(self.phase, Phase::Follower);
        let held = self.replica.state();
        let newer = (state.epoch, state.seq) >= (held.epoch, held.seq);
        let first = self.received_epoch < claim.epoch && self.released_epoch < claim.epoch;
        let named = claim.replicas.contains(&self.me) && state.epoch == claim.epoch;
        follows && newer && first && named && self.replica.sealed() <= claim.epoch
    }

    /// Becomes the owner for the rest of an epoch that another entry handed over.
    pub fn accept_handover(&mut self, shard_owner: ShardOwner) {
        self.received_epoch = shard_owner.epoch();
        self.phase = Phase::Owner(Box::new(shard_owner));
    }

    /// Follows the shard again if `epoch` is later than the one that this entry owns or claims.
    /// Returns whether it owned the shard.
    pub fn step_down(&mut self, epoch: u64) -> bool {
        if self.epoch() == 0 || self.epoch() >= epoch {
            return false;
        }
        let old = std::mem::replace(&mut self.phase, Phase::Follower);
        if let Phase::Owner(shard_owner) = old {
            self.replica.restore(shard_owner.into_state());
            return true;
        }
        false
    }

    /// Handles the claim that won an epoch of this shard. Returns whether this entry lost the
    /// ownership by it.
    pub fn on_claim(
        &mut self,
        now: Millis,
        claim: &Claim,
        history: &[Claim],
        log: StateSnapshot,
    ) -> bool {
        match &mut self.phase {
            Phase::Owner(shard_owner) if claim.owner == self.me => {
                shard_owner.renew(claim);
                return false;
            }
            _ if claim.owner != self.me => {
                self.replica.seal(claim.epoch);
                return self.step_down(claim.epoch);
            }
            _ => {}
        }
        let mut recovery = Box::new(Recovery::new(claim, history, log));
        let own = self.replica.seal(claim.epoch).clone();
        if !self.is_state_released() {
            recovery.answer(&self.me, own);
        }
        self.phase = Phase::Claimant { claim: claim.clone(), recovery, since: now };
        false
    }

    /// Records the state of an entry that sealed itself for this entry's claim.
    pub fn record_sealed(&mut self, from: &EntryId, epoch: u64, state: StateSnapshot) {
        if let Phase::Claimant { claim, recovery, .. } = &mut self.phase
            && claim.epoch == epoch
        {
            recovery.answer(from, state);
        }
    }

    /// The next step of the recovery: entries to ask, or the source of the state once it is known.
    /// If every holder of the state is gone, a rebuild waits [`MAX_MESSAGE_DELAY`] from the claim,
    /// so that the last starts of those holders have arrived.
    pub fn next_recovery_step(
        &mut self,
        now: Millis,
        gone: impl Fn(&EntryId) -> bool,
    ) -> RecoveryStep {
        let Phase::Claimant { claim, recovery, since } = &mut self.phase else {
            return RecoveryStep::Idle;
        };
        let settled = claim.epoch == 1 || now.since(*since) >= MAX_MESSAGE_DELAY;
        match recovery.next(gone) {
            Next::Ask(ids) => RecoveryStep::Ask(ids),
            Next::Found(state) => RecoveryStep::Ready(StateSource::State(state)),
            Next::Rebuild if settled => RecoveryStep::Ready(StateSource::Rebuild),
            Next::Rebuild => RecoveryStep::Ask(BTreeSet::new()),
        }
    }

    /// Makes this entry the owner with the recovered state, unless a later claim replaced its own.
    /// Returns whether it became the owner.
    pub fn become_owner(&mut self, shard_owner: ShardOwner) -> bool {
        let due = self.pending_claim().is_some_and(|claim| claim.epoch == shard_owner.epoch());
        if due {
            self.phase = Phase::Owner(Box::new(shard_owner));
        }
        due
    }
}

/// The next step of a claimant that recovers the shard's state.
#[derive(Debug, PartialEq)]
pub enum RecoveryStep {
    /// Nothing to do: this entry has no pending claim.
    Idle,
    /// Ask these entries to seal the shard.
    Ask(BTreeSet<EntryId>),
    /// The recovery is over; holds the source of the state.
    Ready(StateSource),
}
