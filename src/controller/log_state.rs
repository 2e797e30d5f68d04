//! The fold of the platform's log at one entry: tables, claims, and what the log keeps of shards.
//!
//! An entry that starts after retention has dropped the log's beginning, or that fell behind it,
//! is not in sync: it holds publishes and claims back until a snapshot record tells it what came
//! before them.

use crate::clock::Millis;
use crate::controller::claims::Claims;
use crate::controller::replica::{Replica, StateSnapshot, Update};
use crate::controller::table::{Revision, Tables};
use crate::id::{EntryId, JobId, Name};
use crate::job::{JobSpec, StateChange, TaskOutcome};
use crate::record::{Claim, Record};
use std::collections::{BTreeMap, BTreeSet};

/// What a folded record changed.
#[derive(Debug, Clone, PartialEq)]
pub enum LogChange {
    /// A new table is in force here.
    Table,
    /// A claim is in force.
    Claim(Claim),
    /// The log holds a shard's notes up to this number.
    StateStored {
        /// The shard.
        shard: Name,
        /// The epoch.
        epoch: u64,
        /// The last note held.
        seq: u64,
    },
    /// A job is kept in the log.
    Job(JobId),
}

/// A job as the log has it.
#[derive(Debug, Clone, PartialEq)]
pub struct LogJob {
    /// What was asked for.
    pub spec: JobSpec,
    /// When it was accepted.
    pub at: Millis,
    /// When its record was last appended, by the offset.
    pub offset: u64,
    /// Tasks that ended.
    pub ended: BTreeMap<u32, TaskOutcome>,
}

/// The fold.
#[derive(Debug)]
pub struct LogState {
    domain: Name,
    next: u64,
    synced: bool,
    gap_end: u64,
    buffered: Vec<(u64, Record)>,
    snapshot: u64,
    /// The tables.
    pub tables: Tables,
    /// The claims.
    pub claims: Claims,
    states: BTreeMap<Name, Replica>,
    jobs: BTreeMap<JobId, LogJob>,
}

impl LogState {
    /// An empty fold for an entry of `domain`: shards of other failure domains are passed over.
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

    /// The offset to read next.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Whether everything before [`LogState::next`] is known.
    pub fn synced(&self) -> bool {
        self.synced
    }

    /// The offset of the last snapshot record.
    pub fn snapshot_at(&self) -> u64 {
        self.snapshot
    }

    /// The log begins at `first`, later than the offset to read next: records were missed.
    pub fn gap(&mut self, first: u64) {
        self.next = first;
        self.gap_end = first;
        self.synced = false;
        self.buffered.clear();
    }

    /// Folds the records of the append at `offset`.
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

    /// What the log holds of a shard from epochs without replicas.
    pub fn state(&self, shard: &str) -> StateSnapshot {
        self.states.get(shard).map(|replica| replica.state().clone()).unwrap_or_default()
    }

    /// What a new owner needs of a shard's past: the entries that may have owned it, by a claim or
    /// because it was handed over to them, and the jobs that the log has.
    pub fn before(&self, claim: &Claim) -> (BTreeSet<EntryId>, Vec<(JobId, LogJob)>) {
        let shard = &claim.shard;
        let earlier = self.claims.history(shard).iter().filter(|at| at.epoch < claim.epoch);
        let former =
            earlier.flat_map(|at| at.replicas.iter().chain([&at.owner]).cloned()).collect();
        let jobs = self.jobs.iter().filter(|(id, _)| *id.shard == **shard);
        (former, jobs.map(|(id, job)| (id.clone(), job.clone())).collect())
    }

    /// A record with all that a later reader needs to know of what came before.
    pub fn snapshot(&self) -> Record {
        let table = self.tables.folded().cloned();
        Record::Snapshot { end_offset: self.next, table, claims: self.claims.histories() }
    }
}
