//! An owner's notes on their way to the replicas, and what waits for them to arrive.

use crate::controller::book::Book;
use crate::controller::replica::{State, Update};
use crate::id::{EntryId, Name};
use crate::job::StateChange;
use crate::record::{Claim, Record};
use std::collections::{BTreeMap, VecDeque};

/// The most notes of one update.
const MAX_NOTES: usize = 4096;

/// How far one replica is.
#[derive(Debug, Clone, Copy, Default)]
struct Progress {
    based: bool,
    acked: u64,
}

/// Notes in order, each with an effect that waits until every replica holds the note.
#[derive(Debug)]
pub struct Journal<E> {
    epoch: u64,
    seq: u64,
    notes: VecDeque<(u64, StateChange)>,
    replicas: BTreeMap<EntryId, Progress>,
    log: Option<Progress>,
    sent: u64,
    /// After a replica was left out: the first note whose acknowledgement shows that another one
    /// was there after that, and the last one that was committed before.
    proof: u64,
    settled: u64,
    effects: VecDeque<(u64, E)>,
}

impl<E> Journal<E> {
    /// The journal of an epoch that goes on from note `seq`.
    pub fn new(claim: &Claim, seq: u64) -> Self {
        let mut journal = Self {
            epoch: claim.epoch,
            seq,
            notes: VecDeque::new(),
            replicas: BTreeMap::new(),
            log: None,
            sent: seq,
            proof: 0,
            settled: 0,
            effects: VecDeque::new(),
        };
        journal.begin(claim);
        journal
    }

    /// Goes on in a new epoch of the same owner: replicas need a new base, effects still wait.
    pub fn begin(&mut self, claim: &Claim) {
        self.epoch = claim.epoch;
        self.replicas = claim.replicas.iter().map(|id| (id.clone(), Progress::default())).collect();
        self.log = self.replicas.is_empty().then(Progress::default);
        self.sent = self.seq;
        (self.proof, self.settled) = (0, 0);
    }

    /// The epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The number of the last note.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// Adds a note; `effect` comes out of [`Journal::ready`] once all replicas hold it.
    pub fn push(&mut self, note: StateChange, effect: Option<E>) -> u64 {
        self.seq += 1;
        self.notes.push_back((self.seq, note));
        if let Some(effect) = effect {
            self.effects.push_back((self.seq, effect));
        }
        self.seq
    }

    /// What a replica still needs; `None` if it has everything.
    pub fn update(&self, id: &EntryId, book: &Book) -> Option<Update> {
        let progress = self.replicas.get(id)?;
        if !progress.based {
            let base = State { epoch: self.epoch, seq: self.seq, book: book.clone() };
            let (epoch, first) = (self.epoch, self.seq + 1);
            return Some(Update { epoch, base: Some(base), first, notes: Vec::new() });
        }
        let notes = self.after(progress.acked);
        let first = progress.acked + 1;
        (!notes.is_empty()).then_some(Update { epoch: self.epoch, base: None, first, notes })
    }

    fn after(&self, seq: u64) -> Vec<StateChange> {
        let later = self.notes.iter().filter(|(at, _)| *at > seq);
        later.take(MAX_NOTES).map(|(_, note)| note.clone()).collect()
    }

    /// The record to append in an epoch without replicas; `None` if all was handed out.
    pub fn record(&mut self, shard: &Name, book: &Book) -> Option<Record> {
        let log = self.log.as_mut()?;
        let (epoch, shard) = (self.epoch, shard.clone());
        if !log.based {
            log.based = true;
            self.sent = self.seq;
            let state = State { epoch, seq: self.seq, book: book.clone() };
            return Some(Record::Base { shard, state });
        }
        let notes = self.after(self.sent);
        if notes.is_empty() {
            return None;
        }
        let first = self.sent + 1;
        self.sent += notes.len() as u64;
        Some(Record::Notes { shard, epoch, first, notes })
    }

    /// In an epoch without replicas: append the whole state again, before retention drops it.
    pub fn renew_base(&mut self) {
        if let Some(log) = &mut self.log {
            log.based = false;
        }
    }

    /// A replica holds everything up to `seq` of `epoch`.
    pub fn acked(&mut self, id: &EntryId, epoch: u64, seq: u64) {
        let progress = self.replicas.get_mut(id).filter(|_| epoch == self.epoch);
        if let Some(progress) = progress {
            progress.based = true;
            progress.acked = progress.acked.max(seq);
        }
        self.trim();
    }

    /// The log holds everything up to `seq` of `epoch`.
    pub fn logged(&mut self, epoch: u64, seq: u64) {
        let log = self.log.as_mut().filter(|_| epoch == self.epoch);
        if let Some(log) = log {
            log.acked = log.acked.max(seq);
        }
        self.trim();
    }

    /// A replica lacks notes and needs the base again.
    pub fn rebase(&mut self, id: &EntryId) {
        if let Some(progress) = self.replicas.get_mut(id) {
            progress.based = false;
        }
    }

    /// A replica is gone for good: nothing waits for it any more, unless it is the last one. A
    /// claimant may have sealed it before it died, and may count on the others being gone: what they
    /// acknowledged before shows nothing. So nothing more is committed until all that are left have
    /// acknowledged a note made after that. `true` if there is one to send.
    pub fn gone(&mut self, id: &EntryId) -> bool {
        if self.replicas.len() <= 1 || !self.replicas.contains_key(id) {
            return false;
        }
        self.settled = self.committed();
        self.replicas.remove(id);
        self.proof = self.push(StateChange::Barrier, None);
        true
    }

    /// The replicas that updates go to.
    pub fn replicas(&self) -> Vec<EntryId> {
        self.replicas.keys().cloned().collect()
    }

    /// The last note that every replica holds.
    pub fn committed(&self) -> u64 {
        let all = self.replicas.values().chain(&self.log);
        let held = |at: &Progress| if at.based { at.acked } else { 0 };
        let least = all.map(held).min().unwrap_or(self.seq);
        if least >= self.proof { least } else { least.min(self.settled) }
    }

    fn trim(&mut self) {
        let committed = self.committed();
        while self.notes.front().is_some_and(|(seq, _)| *seq <= committed) {
            self.notes.pop_front();
        }
    }

    /// The next effect whose note every replica holds.
    pub fn ready(&mut self) -> Option<E> {
        let committed = self.committed();
        let (seq, _) = self.effects.front()?;
        if *seq > committed {
            return None;
        }
        self.effects.pop_front().map(|(_, effect)| effect)
    }

    /// Effects that still wait.
    pub fn waiting(&self) -> usize {
        self.effects.len()
    }
}
