//! How a claimant finds a shard's state: from the newest epoch down, by sealing one replica.
//!
//! An owner starts a task only after every replica of its epoch holds the note that binds it. So
//! one sealed replica is enough to know all that the owner can have started, and a sealed replica
//! without a base proves that nothing was committed in that epoch. See docs/design/ownership.md.

use crate::controller::replica::State;
use crate::id::EntryId;
use crate::record::Claim;
use std::collections::BTreeSet;

/// What the search needs next.
#[derive(Debug, Clone, PartialEq)]
pub enum Next {
    /// Ask any of these entries to seal the shard; wait for an answer.
    Ask(BTreeSet<EntryId>),
    /// This state has all that was committed.
    Found(Box<State>),
    /// Every holder is gone for good: rebuild from the log's jobs and the workers' lists.
    Rebuild,
}

/// The search for a shard's state by the winner of a claim.
#[derive(Debug)]
pub struct Recovery {
    earlier: Vec<Claim>,
    whole: bool,
    log: State,
    found: Option<State>,
}

impl Recovery {
    /// A search below `mine`: `history` has the claims in order, `log` the state that the log
    /// holds from epochs without replicas, read at least up to `mine`.
    pub fn new(mine: &Claim, history: &[Claim], log: State) -> Self {
        let below = history.iter().filter(|claim| claim.epoch < mine.epoch);
        let earlier: Vec<Claim> = below.cloned().collect();
        let whole = earlier.first().map_or(mine.epoch, |first| first.epoch) == 1;
        Self { earlier, whole, log, found: None }
    }

    /// Takes the answer of an entry that sealed itself.
    pub fn answer(&mut self, from: &EntryId, state: State) {
        while let Some(last) = self.earlier.last() {
            let asked = last.replicas.contains(from) || last.owner == *from;
            match state.epoch >= last.epoch {
                true => {
                    self.found = Some(state);
                    return;
                }
                false if asked && !last.replicas.is_empty() => drop(self.earlier.pop()),
                false => return,
            }
        }
    }

    /// What to do now, given the entries that are `gone` for good.
    pub fn next(&mut self, gone: impl Fn(&EntryId) -> bool) -> Next {
        if let Some(state) = &self.found {
            return Next::Found(Box::new(state.clone()));
        }
        while let Some(last) = self.earlier.last() {
            match last.replicas.is_empty() {
                true if self.log.epoch >= last.epoch => {
                    return Next::Found(Box::new(self.log.clone()));
                }
                true => drop(self.earlier.pop()),
                false => {
                    let holders = last.replicas.iter().chain([&last.owner]);
                    let live: BTreeSet<EntryId> = holders.filter(|id| !gone(id)).cloned().collect();
                    return if live.is_empty() { Next::Rebuild } else { Next::Ask(live) };
                }
            }
        }
        if self.whole { Next::Rebuild } else { Next::Ask(BTreeSet::new()) }
    }
}
