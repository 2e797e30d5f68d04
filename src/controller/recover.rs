//! Recovery of a shard's state by a claimant: it seals the entries that held the state in earlier
//! epochs, from the newest epoch down.
//!
//! An owner starts a task only once at least one replica, and every replica of its epoch whose VM
//! still exists, holds the change that binds the task. A claimant may use the recovered state once
//! no such commit can follow its seals, which [`Recovery`] checks; docs/design/ownership.md has the
//! proof.

use crate::controller::replica::StateSnapshot;
use crate::id::EntryId;
use crate::record::Claim;
use std::collections::{BTreeMap, BTreeSet};

/// The next step of a recovery.
#[derive(Debug, Clone, PartialEq)]
pub enum Next {
    /// Ask these entries to seal the shard and wait for an answer of any of them.
    Ask(BTreeSet<EntryId>),
    /// The recovered state, which has every committed change.
    Found(Box<StateSnapshot>),
    /// Every holder of the state is gone: rebuild it from the jobs in the log and the workers'
    /// reports.
    Rebuild,
}

/// The recovery of a shard's state by the winner of a claim.
#[derive(Debug)]
pub struct Recovery {
    me: EntryId,
    earlier: Vec<Claim>,
    /// The first epoch of the known claims. If it is not 1, its owner was active.
    floor: u64,
    log: StateSnapshot,
    answers: BTreeMap<EntryId, StateSnapshot>,
}

impl Recovery {
    /// Creates a recovery for the claim `mine`. `history` has the claims in order; `log` is the
    /// state in the log from epochs without replicas, read at least up to `mine`.
    pub fn new(mine: &Claim, history: &[Claim], log: StateSnapshot) -> Self {
        let below = history.iter().filter(|claim| claim.epoch < mine.epoch);
        let earlier: Vec<Claim> = below.cloned().collect();
        let floor = earlier.first().map_or(mine.epoch, |first| first.epoch);
        Self { me: mine.owner.clone(), earlier, floor, log, answers: BTreeMap::new() }
    }

    /// Records the state of an entry that sealed itself.
    pub fn answer(&mut self, from: &EntryId, state: StateSnapshot) {
        self.answers.insert(from.clone(), state);
    }

    /// The next step, given the entries that are `gone` because their VM no longer exists.
    pub fn next(&mut self, gone: impl Fn(&EntryId) -> bool) -> Next {
        while let Some(last) = self.earlier.last() {
            let holders: BTreeSet<&EntryId> = last.replicas.iter().chain([&last.owner]).collect();
            let closed = self.is_closed(last, &gone);
            match () {
                _ if last.replicas.is_empty() && self.log.epoch >= last.epoch => {
                    return Next::Found(Box::new(self.log.clone()));
                }
                _ if last.replicas.is_empty() => {}
                _ if !closed && holders.iter().all(|id| gone(id)) => return Next::Rebuild,
                _ if !closed => {
                    let missing = holders.into_iter().filter(|id| !self.answers.contains_key(id));
                    return Next::Ask(missing.filter(|id| !gone(id)).cloned().collect());
                }
                _ => {
                    if let Some(state) = self.newest(last) {
                        return Next::Found(Box::new(state.clone()));
                    }
                }
            }
            self.earlier.pop();
        }
        match self.floor {
            1 => Next::Rebuild,
            _ => Next::Ask(BTreeSet::new()),
        }
    }

    /// Whether the answers have every change that was or can be committed in this epoch.
    ///
    /// The answer of the owner is enough. Otherwise every replica must be sealed or gone, and at
    /// least one sealed replica must still exist, since the owner cannot have removed that one. If
    /// it dies later and is removed, the owner needs a new acknowledgement of another replica, all
    /// of which are sealed or gone. If some replicas are gone, either this entry must be a replica,
    /// or the owner must be gone too.
    fn is_closed(&self, claim: &Claim, gone: &impl Fn(&EntryId) -> bool) -> bool {
        let sealed = |id: &EntryId| self.answers.contains_key(id);
        let all = claim.replicas.iter().all(|id| sealed(id) || gone(id));
        let some = claim.replicas.iter().any(|id| sealed(id) && !gone(id));
        let whole = !claim.replicas.iter().any(gone);
        let held = claim.replicas.contains(&self.me) || gone(&claim.owner);
        sealed(&claim.owner) || (all && some && (whole || held))
    }

    /// The newest state of this epoch or a later one among the answers of its holders; `None` if
    /// this epoch's owner never sent a state.
    fn newest(&self, claim: &Claim) -> Option<&StateSnapshot> {
        let holders = claim.replicas.iter().chain([&claim.owner]);
        let states = holders.filter_map(|id| self.answers.get(id));
        let used = states.filter(|state| state.epoch >= claim.epoch);
        used.max_by_key(|state| (state.epoch, state.seq))
    }
}
