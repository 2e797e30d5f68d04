//! One shard at one entry: a replica, a claimant that looks for the shard's state, or its owner.

pub mod event;
pub mod journal;
mod lifecycle;
mod limits;
pub mod owner;
mod requests;
mod reservation;
mod runtime;
mod scheduling;

use crate::clock::Millis;
use crate::controller::recover::{Next, Recovery};
use crate::controller::replica::{Replica, ReplicaError, State, Update};
use crate::id::{EntryId, Name};
use crate::record::Claim;
use owner::{MAX_MESSAGE_DELAY, ShardOwner};
use std::collections::BTreeSet;

/// What this entry is to the shard.
#[derive(Debug)]
enum Phase {
    Follower,
    Claimant { claim: Claim, recovery: Box<Recovery>, since: Millis },
    Owner(Box<ShardOwner>),
}

/// A shard at one entry.
#[derive(Debug)]
pub struct Shard {
    id: Name,
    me: EntryId,
    replica: Replica,
    phase: Phase,
    /// The last epoch in which this entry owned the shard and handed it over.
    released_epoch: u64,
    /// The last epoch in which the shard was handed over to this entry.
    received_epoch: u64,
}

/// How a claimant came to the shard's state.
#[derive(Debug, Clone, PartialEq)]
pub enum StateSource {
    /// From a replica or the log.
    State(Box<State>),
    /// From nobody: the log's jobs and the workers' lists have to do.
    Rebuild,
}

impl Shard {
    /// A shard that this entry only follows.
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

    /// The replica held here.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The claim whose state is being looked for.
    pub fn pending_claim(&self) -> Option<&Claim> {
        match &self.phase {
            Phase::Claimant { claim, .. } => Some(claim),
            _ => None,
        }
    }

    /// Takes an update from the owner.
    ///
    /// # Errors
    /// As [`Replica::update`]; an owner or claimant of the same or a later epoch refuses too.
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

    /// The epoch that this entry owns or claims, 0 if neither.
    pub fn epoch(&self) -> u64 {
        match &self.phase {
            Phase::Follower => 0,
            Phase::Claimant { claim, .. } => claim.epoch,
            Phase::Owner(shard_owner) => shard_owner.epoch(),
        }
    }

    /// Seals this entry for a claimant of `epoch` and returns all that it holds; `None` if that is
    /// not its to say, because it handed the shard over.
    pub fn seal(&mut self, epoch: u64) -> Option<State> {
        self.step_down(epoch);
        let state = self.replica.seal(epoch).clone();
        (!self.is_state_released()).then_some(state)
    }

    /// Whether the newest state here is the one that was handed over: its successor may have gone
    /// on from it, so it must not be taken for the owner's word.
    fn is_state_released(&self) -> bool {
        self.released_epoch > 0 && self.replica.state().epoch <= self.released_epoch
    }

    /// The owner gives the shard up for the rest of its epoch: the epoch, and the state from which
    /// its successor goes on. Only one entry may ever get it.
    pub fn hand_over(&mut self) -> Option<(u64, State)> {
        let epoch = self.owner()?.epoch();
        let Phase::Owner(shard_owner) = std::mem::replace(&mut self.phase, Phase::Follower) else {
            return None;
        };
        let state = shard_owner.into_state();
        self.replica.restore(state.clone());
        self.released_epoch = epoch;
        Some((epoch, state))
    }

    /// Whether this entry may go on from a state that the owner of `claim` handed over: it is a
    /// replica, knows of no later epoch, and was not its successor before.
    pub fn can_accept_handover(&self, claim: &Claim, state: &State) -> bool {
        let follows = matches!(self.phase, Phase::Follower);
        let held = self.replica.state();
        let newer = (state.epoch, state.seq) >= (held.epoch, held.seq);
        let first = self.received_epoch < claim.epoch && self.released_epoch < claim.epoch;
        let named = claim.replicas.contains(&self.me) && state.epoch == claim.epoch;
        follows && newer && first && named && self.replica.sealed() <= claim.epoch
    }

    /// Goes on as the owner for the rest of an epoch.
    pub fn accept_handover(&mut self, shard_owner: ShardOwner) {
        self.received_epoch = shard_owner.epoch();
        self.phase = Phase::Owner(Box::new(shard_owner));
    }

    /// Gives up what this entry owns or claims if `epoch` is later; `true` if it owned the shard.
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

    /// A claim on this shard is in force; `true` if this entry was deposed by it.
    pub fn on_claim(&mut self, now: Millis, claim: &Claim, history: &[Claim], log: State) -> bool {
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

    /// Another entry sealed itself for this one's claim.
    pub fn record_sealed(&mut self, from: &EntryId, epoch: u64, state: State) {
        if let Phase::Claimant { claim, recovery, .. } = &mut self.phase
            && claim.epoch == epoch
        {
            recovery.answer(from, state);
        }
    }

    /// What the claimant needs next: entries to ask, or the source to become owner from. Where the
    /// state is lost with its holders, their last starts must have arrived before a rebuild.
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

    /// Becomes the owner with the state that the search found, unless the claim is void by now.
    pub fn become_owner(&mut self, shard_owner: ShardOwner) -> bool {
        let due = self.pending_claim().is_some_and(|claim| claim.epoch == shard_owner.epoch());
        if due {
            self.phase = Phase::Owner(Box::new(shard_owner));
        }
        due
    }
}

/// Where a claimant's search stands.
#[derive(Debug, PartialEq)]
pub enum RecoveryStep {
    /// There is none.
    Idle,
    /// These may be asked.
    Ask(BTreeSet<EntryId>),
    /// The state was found, or cannot be.
    Ready(StateSource),
}
