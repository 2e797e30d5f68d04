//! The state that one entry derives from the platform's log: tables, claims, jobs, and the states
//! of shards without replicas.
//!
//! An entry is out of sync if log retention dropped records before it read them. It then buffers
//! publishes and claims until a snapshot record gives it the state before them.

use crate::clock::Millis;
use crate::controller::claims::Claims;
use crate::controller::replica::{Replica, StateSnapshot, Update};
use crate::controller::table::{Revision, Tables};
use crate::id::{EntryId, JobId, Name};
use crate::job::{JobSpec, StateChange, TaskOutcome};
use crate::record::{Claim, Record};
use std::collections::{BTreeMap, BTreeSet};

/// What a record from the log changed.
#[derive(Debug, Clone, PartialEq)]
pub enum LogChange {
    /// A new table took effect at this entry.
    Table,
    /// A claim won its epoch.
    Claim(Claim),
    /// The log holds the state changes of a shard up to this number.
    StateStored {
        /// The shard.
        shard: Name,
        /// The epoch.
        epoch: u64,
        /// The number of the last change in the log.
        seq: u64,
    },
    /// The record of a job was read from the log.
    Job(JobId),
}

/// A job, as its records in the log describe it.
#[derive(Debug, Clone, PartialEq)]
pub struct LogJob {
    /// The submitted job.
    pub spec: JobSpec,
    /// When it was accepted.
    pub at: Millis,
    /// The log offset at which its record was last appended.
    pub offset: u64,
    /// The outcomes of its ended tasks, by index.
    pub ended: BTreeMap<u32, TaskOutcome>,
}

/// The state derived from the log, and how far the log was read.
#[derive(Debug)]
pub struct LogState {
    domain: Name,
    next: u64,
    synced: bool,
    gap_end: u64,
    buffered: Vec<(u64, Record)>,
    snapshot: u64,
    /// The published tables.
    pub tables: Tables,
    /// The claims on shards.
    pub claims: Claims,
    states: BTreeMap<Name, Replica>,
    jobs: BTreeMap<JobId, LogJob>,
}

impl LogState {
    /// Creates the state for an entry of `domain`. Shard states of other failure domains are
    /// skipped.
    pub fn new(domain: Name) -> Self {
        Self {
            domain,
            next: 0,
            synced: true,
            gap_end: 0,
            buffered: Vec::new(),
            snapshot: 0,
            tables: Tables::default(),
            claims: Claims::default(),
            states: BTreeMap::new(),
            jobs: BTreeMap::new(),
        }
    }

    /// The next log offset to read.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Whether the effect of every record before [`LogState::next`] is known.
    pub fn synced(&self) -> bool {
        self.synced
    }

    /// The offset of the last snapshot record.
    pub fn snapshot_at(&self) -> u64 {
        self.snapshot
    }

    /// Skips to offset `first`, where the log now begins, and goes out of sync because records were
    /// lost.
    pub fn gap(&mut self, first: u64) {
        self.next = first;
        self.gap_end = first;
        self.synced = false;
        self.buffered.clear();
    }

    /// Applies the records of the append at `offset` and returns what they changed.
    pub fn apply(&mut self, offset: u64, records: Vec<Record>) -> Vec<LogChange> {
        let mut changes = Vec::new();
        self.next = offset + 1;
        for record in records {
            self.apply_record(offset, record, &mut changes);
        }
        changes
    }

    fn apply_record(&mut self, offset: u64, record: Record, changes: &mut Vec<LogChange>) {
        match record {
            Record::Publish(_) | Record::Claim(_) | Record::Active { .. } if !self.synced => {
                self.buffered.push((offset, record));
            }
            Record::Publish(publish) => {
                if self.tables.publish(&publish) {
                    changes.push(LogChange::Table);
                }
            }
            Record::Claim(claim) => {
                if self.claims.fold(&claim) {
                    changes.push(LogChange::Claim(claim));
                }
            }
            Record::Active { shard, epoch } => self.claims.active(&shard, epoch),
            Record::Snapshot { end_offset, table, claims } => {
                self.snapshot = offset;
                if !self.synced {
                    self.restore(end_offset, table, claims, changes);
                }
            }
            Record::Job { job, spec, at } => {
                let fresh = LogJob { spec, at, offset, ended: BTreeMap::new() };
                self.jobs.entry(job.clone()).or_insert(fresh).offset = offset;
                changes.push(LogChange::Job(job));
            }
            Record::Ended { job, index, outcome } => self.apply_task_end(&job, index, outcome),
            Record::Closed { job } => drop(self.jobs.remove(&job)),
            Record::Base { shard, state } => {
                let (epoch, seq) = (state.epoch, state.seq);
                self.apply_state(shard, epoch, Some(state), seq + 1, Vec::new(), changes);
            }
            Record::Notes { shard, epoch, first, notes } => {
                self.apply_state(shard, epoch, None, first, notes, changes);
            }
        }
    }

    fn restore(
        &mut self,
        upto: u64,
        table: Option<Revision>,
        claims: Vec<Vec<Claim>>,
        changes: &mut Vec<LogChange>,
    ) {
        if upto < self.gap_end {
            return;
        }
        self.synced = true;
        if self.tables.restore(table) {
            changes.push(LogChange::Table);
        }
        for history in claims {
            let last = history.last().cloned();
            if self.claims.restore(&history) {
                changes.extend(last.map(LogChange::Claim));
            }
        }
        for (offset, record) in std::mem::take(&mut self.buffered) {
            if offset >= upto {
                self.apply_record(offset, record, changes);
            }
        }
    }

    fn apply_task_end(&mut self, job: &JobId, index: u32, outcome: TaskOutcome) {
        let Some(known) = self.jobs.get_mut(job) else { return };
        known.ended.insert(index, outcome);
        if known.ended.len() as u32 >= known.spec.tasks {
            self.jobs.remove(job);
        }
    }

    fn apply_state(
        &mut self,
        shard: Name,
        epoch: u64,
        base: Option<StateSnapshot>,
        first: u64,
        notes: Vec<StateChange>,
        changes: &mut Vec<LogChange>,
    ) {
        let last = self.claims.last(&shard);
        if !last.is_some_and(|claim| claim.epoch == epoch && claim.domain == self.domain) {
            return;
        }
        let replica = self.states.entry(shard.clone()).or_default();
        if let Ok(seq) = replica.update(Update { epoch, base, first, changes: notes }) {
            changes.push(LogChange::StateStored { shard, epoch, seq });
        }
    }

    /// The state of a shard in the log, from epochs without replicas.
    pub fn state(&self, shard: &str) -> StateSnapshot {
        self.states.get(shard).map(|replica| replica.state().clone()).unwrap_or_default()
    }

    /// What a new owner needs to know about a shard before its claim: the entries that may have
    /// owned it by a claim or a handover, and the jobs in the log.
    pub fn before(&self, claim: &Claim) -> (BTreeSet<EntryId>, Vec<(JobId, LogJob)>) {
        let shard = &claim.shard;
        let earlier = self.claims.history(shard).iter().filter(|at| at.epoch < claim.epoch);
        let former =
            earlier.flat_map(|at| at.replicas.iter().chain([&at.owner]).cloned()).collect();
        let jobs = self.jobs.iter().filter(|(id, _)| *id.shard == **shard);
        (former, jobs.map(|(id, job)| (id.clone(), job.clone())).collect())
    }

    /// A snapshot record, from which a later reader can start without the records before it.
    pub fn snapshot(&self) -> Record {
        let table = self.tables.folded().cloned();
        Record::Snapshot { end_offset: self.next, table, claims: self.claims.histories() }
    }
}
