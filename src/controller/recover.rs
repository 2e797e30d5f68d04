//! How a claimant finds a shard's state: from the newest epoch down, by sealing its holders.
//!
//! An owner starts a task only after every replica of its epoch that is not gone, and at least
//! one, holds the note that binds it. A claimant may decide once no such commit can follow its
//! seals, which [`Recovery`] works out; docs/design/ownership.md has the argument.

use crate::controller::replica::StateSnapshot;
use crate::id::EntryId;
use crate::record::Claim;
use std::collections::{BTreeMap, BTreeSet};

/// What the search needs next.
#[derive(Debug, Clone, PartialEq)]
pub enum Next {
    /// Ask any of these entries to seal the shard; wait for an answer.
    Ask(BTreeSet<EntryId>),
    /// This state has all that was committed.
    Found(Box<StateSnapshot>),
    /// Every holder is gone for good: rebuild from the log's jobs and the workers' lists.
    Rebuild,
}

/// The search for a shard's state by the winner of a claim.
#[derive(Debug)]
pub struct Recovery {
    me: EntryId,
    earlier: Vec<Claim>,
    /// The first epoch of the history: if it is not 1, its owner got to work.
    floor: u64,
    log: StateSnapshot,
    answers: BTreeMap<EntryId, StateSnapshot>,
}

impl Recovery {
    /// A search below `mine`: `history` has the claims in order, `log` the state that the log
    /// holds from epochs without replicas, read at least up to `mine`.
    pub fn new(mine: &Claim, history: &[Claim], log: StateSnapshot) -> Self {
        let below = history.iter().filter(|claim| claim.epoch < mine.epoch);
        let earlier: Vec<Claim> = below.cloned().collect();
        let floor = earlier.first().map_or(mine.epoch, |first| first.epoch);
        Self { me: mine.owner.clone(), earlier, floor, log, answers: BTreeMap::new() }
    }

    /// Takes the answer of an entry that sealed itself.
    pub fn answer(&mut self, from: &EntryId, state: StateSnapshot) {
        self.answers.insert(from.clone(), state);
    }

    /// What to do now, given the entries that are `gone` for good.
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

    /// Whether nothing more can be committed in this epoch than the answers have.
    ///
    /// The owner's own word is enough. Otherwise every replica has to be sealed or gone, and one
    /// sealed that still exists: the owner cannot have left that one out. If it dies later and is
    /// left out, the owner needs a new acknowledgement of one of the others, which are sealed or
    /// gone. If some are gone, this entry has to be one of the replicas, or the owner gone too.
    fn is_closed(&self, claim: &Claim, gone: &impl Fn(&EntryId) -> bool) -> bool {
        let sealed = |id: &EntryId| self.answers.contains_key(id);
        let all = claim.replicas.iter().all(|id| sealed(id) || gone(id));
        let some = claim.replicas.iter().any(|id| sealed(id) && !gone(id));
        let whole = !claim.replicas.iter().any(gone);
        let held = claim.replicas.contains(&self.me) || gone(&claim.owner);
        sealed(&claim.owner) || (all && some && (whole || held))
    }

    /// The newest state that a holder of this epoch had when it was sealed, if it was used at all.
    fn newest(&self, claim: &Claim) -> Option<&StateSnapshot> {
        let holders = claim.replicas.iter().chain([&claim.owner]);
        let states = holders.filter_map(|id| self.answers.get(id));
        let used = states.filter(|state| state.epoch >= claim.epoch);
        used.max_by_key(|state| (state.epoch, state.seq))
    }
}
