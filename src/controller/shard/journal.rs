//! State changes that replicas or the log do not hold yet, and the effects that wait for them.

use crate::controller::replica::{StateSnapshot, Update};
use crate::controller::shard_state::ShardState;
use crate::id::{EntryId, Name};
use crate::job::StateChange;
use crate::record::{Claim, Record};
use std::collections::{BTreeMap, VecDeque};

/// The most state changes in one update.
const MAX_UPDATE_CHANGES: usize = 4096;

/// What one replica, or the log, has acknowledged.
#[derive(Debug, Clone, Copy, Default)]
struct Progress {
    /// Whether it holds the full state of this epoch.
    has_base: bool,
    /// The number of the last change that it holds.
    acked: u64,
}

/// Numbered state changes, each with an optional effect that is held back until every replica holds
/// the change.
#[derive(Debug)]
pub struct Journal<E> {
    epoch: u64,
    seq: u64,
    changes: VecDeque<(u64, StateChange)>,
    replicas: BTreeMap<EntryId, Progress>,
    /// The progress of the log; `Some` only in an epoch without replicas.
    log: Option<Progress>,
    /// The last change that was handed out for the log.
    last_appended: u64,
    /// The change that all remaining replicas must acknowledge after a replica was removed, before
    /// anything more counts as committed.
    proof_seq: u64,
    /// The last change that was committed before that removal.
    settled_seq: u64,
    effects: VecDeque<(u64, E)>,
}

impl<E> Journal<E> {
    /// Creates the journal of an epoch whose first change has the number `seq + 1`.
    pub fn new(claim: &Claim, seq: u64) -> Self {
        let mut journal = Self {
            epoch: claim.epoch,
            seq,
            changes: VecDeque::new(),
            replicas: BTreeMap::new(),
            log: None,
            last_appended: seq,
            proof_seq: 0,
            settled_seq: 0,
            effects: VecDeque::new(),
        };
        journal.start_epoch(claim);
        journal
    }

    /// Starts a new epoch of the same owner. Replicas need the full state again; pending effects
    /// keep waiting.
    pub fn start_epoch(&mut self, claim: &Claim) {
        self.epoch = claim.epoch;
        self.replicas = claim.replicas.iter().map(|id| (id.clone(), Progress::default())).collect();
        self.log = self.replicas.is_empty().then(Progress::default);
        self.last_appended = self.seq;
        (self.proof_seq, self.settled_seq) = (0, 0);
    }

    /// The epoch of the owner's claim.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The number of the last change.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// Appends a change and returns its number. [`Journal::next_ready`] returns `effect` once every
    /// replica holds the change.
    pub fn push(&mut self, change: StateChange, effect: Option<E>) -> u64 {
        self.seq += 1;
        self.changes.push_back((self.seq, change));
        if let Some(effect) = effect {
            self.effects.push_back((self.seq, effect));
        }
        self.seq
    }

    /// The next update for a replica; `None` if it holds everything.
    pub fn update(&self, id: &EntryId, state: &ShardState) -> Option<Update> {
        let progress = self.replicas.get(id)?;
        if !progress.has_base {
            let base = StateSnapshot { epoch: self.epoch, seq: self.seq, contents: state.clone() };
            let (epoch, first) = (self.epoch, self.seq + 1);
            return Some(Update { epoch, base: Some(base), first, changes: Vec::new() });
        }
        let changes = self.changes_after(progress.acked);
        let first = progress.acked + 1;
        (!changes.is_empty()).then_some(Update { epoch: self.epoch, base: None, first, changes })
    }

    fn changes_after(&self, seq: u64) -> Vec<StateChange> {
        let later = self.changes.iter().filter(|(at, _)| *at > seq);
        later.take(MAX_UPDATE_CHANGES).map(|(_, change)| change.clone()).collect()
    }

    /// The next record to append in an epoch without replicas; `None` if every change was handed
    /// out.
    pub fn next_record(&mut self, shard: &Name, state: &ShardState) -> Option<Record> {
        let log = self.log.as_mut()?;
        let (epoch, shard) = (self.epoch, shard.clone());
        if !log.has_base {
            log.has_base = true;
            self.last_appended = self.seq;
            let state = StateSnapshot { epoch, seq: self.seq, contents: state.clone() };
            return Some(Record::Base { shard, state });
        }
        let notes = self.changes_after(self.last_appended);
        if notes.is_empty() {
            return None;
        }
        let first = self.last_appended + 1;
        self.last_appended += notes.len() as u64;
        Some(Record::Notes { shard, epoch, first, notes })
    }

    /// Makes the next record of an epoch without replicas hold the full state, which has to be
    /// appended again before log retention drops it.
    pub fn reset_log_base(&mut self) {
        if let Some(log) = &mut self.log {
            log.has_base = false;
        }
    }

    /// Records that a replica holds every change of `epoch` up to `seq`.
    pub fn record_ack(&mut self, id: &EntryId, epoch: u64, seq: u64) {
        let progress = self.replicas.get_mut(id).filter(|_| epoch == self.epoch);
        if let Some(progress) = progress {
            progress.has_base = true;
            progress.acked = progress.acked.max(seq);
        }
        self.drop_committed();
    }

    /// Records that the log holds every change of `epoch` up to `seq`.
    pub fn record_logged(&mut self, epoch: u64, seq: u64) {
        let log = self.log.as_mut().filter(|_| epoch == self.epoch);
        if let Some(log) = log {
            log.acked = log.acked.max(seq);
        }
        self.drop_committed();
    }

    /// Makes the next update to a replica that misses changes hold the full state.
    pub fn request_base(&mut self, id: &EntryId) {
        if let Some(progress) = self.replicas.get_mut(id) {
            progress.has_base = false;
        }
    }

    /// Removes a replica whose VM no longer exists, unless it is the last one. Effects no longer
    /// wait for it.
    ///
    /// A claimant may have sealed that replica before it died and may take the others for gone, so
    /// their earlier acknowledgements do not prove that this entry still owns the shard. Nothing
    /// more is committed until every remaining replica has acknowledged a change made after the
    /// removal. Returns whether there is such a change to send.
    pub fn remove_replica(&mut self, id: &EntryId) -> bool {
        if self.replicas.len() <= 1 || !self.replicas.contains_key(id) {
            return false;
        }
        self.settled_seq = self.committed();
        self.replicas.remove(id);
        self.proof_seq = self.push(StateChange::Barrier, None);
        true
    }

    /// The replicas that get updates.
    pub fn replicas(&self) -> Vec<EntryId> {
        self.replicas.keys().cloned().collect()
    }

    /// The number of the last committed change: every replica, or the log, holds it.
    pub fn committed(&self) -> u64 {
        let all = self.replicas.values().chain(&self.log);
        let held = |at: &Progress| if at.has_base { at.acked } else { 0 };
        let least = all.map(held).min().unwrap_or(self.seq);
        if least >= self.proof_seq { least } else { least.min(self.settled_seq) }
    }

    fn drop_committed(&mut self) {
        let committed = self.committed();
        while self.changes.front().is_some_and(|(seq, _)| *seq <= committed) {
            self.changes.pop_front();
        }
    }

    /// Removes and returns the next effect whose change is committed.
    pub fn next_ready(&mut self) -> Option<E> {
        let committed = self.committed();
        let (seq, _) = self.effects.front()?;
        if *seq > committed {
            return None;
        }
        self.effects.pop_front().map(|(_, effect)| effect)
    }

    /// The number of effects that wait for their change to be committed.
    pub fn pending_effects(&self) -> usize {
        self.effects.len()
    }
}
