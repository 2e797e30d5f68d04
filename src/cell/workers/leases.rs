//! The record of leases for later owners.
//!
//! A task on a worker that does not report is started elsewhere once the lease of the worker has
//! expired. Only owners renew leases, so an owner knows when that is, but the next one does not. If
//! it waited for a whole lease from its own takeover on, a task could be without a run for as long
//! as owners replace one another. So an owner records when the leases of such workers expire, on its
//! clock, which its heartbeats relate to the clocks of the other entries.
//!
//! The lease of a worker that is recorded as unheard is not renewed before the store has a record
//! without it: otherwise a later owner would take the renewed lease for the recorded one, and start
//! its tasks twice. Workers that may have a longer lease than usual, after a restart, are recorded
//! before a task is started on them, so that a later owner need not expect that of all workers.

use crate::cell::Cell;
use crate::cell::owner::claim_record::FinalState;
use crate::cell::records::journal::{LeaseBounds, LeaseRecord};
use crate::cell::workers::worker::Worker;
use crate::clock::Millis;
use crate::id::Name;
use std::collections::{BTreeMap, BTreeSet};

/// How long after a takeover the workers that have not reported are recorded. Most report within a
/// few round trips.
const RECORD_DELAY: Millis = Millis(200);
/// By how much, in thousandths, a new owner overestimates the leases that an earlier one granted: a
/// worker's clock may be 2 % slow by the platform's contract, and 3 % is a margin.
const INHERITED_LEASE_PERMILLE: u64 = 1_050;
/// The most workers that are logged at a time. Behind a partition there may be hundreds.
const MAX_LOGGED: usize = 16;

/// Which workers the record in the store names as unheard.
#[derive(Debug)]
pub(in crate::cell) struct RecordedLeases {
    /// The workers that the newest record names, stored or not.
    unheard: BTreeSet<Name>,
    /// The workers that an earlier record names, with the batch of the first record without them.
    removed: BTreeMap<Name, u64>,
    /// The record has to be written.
    is_due: bool,
}

impl RecordedLeases {
    /// The state of a new owner that has read a record. The owner writes a record of its own at once.
    pub fn restore(record: &LeaseRecord) -> Self {
        let unheard = record.unheard.keys().cloned().collect();
        Self { unheard, removed: BTreeMap::new(), is_due: true }
    }

    /// Whether the lease of a worker may be renewed, because no record in the store names the worker
    /// as unheard.
    pub fn may_renew(&self, worker: &Name) -> bool {
        !self.unheard.contains(worker) && !self.removed.contains_key(worker)
    }

    /// Whether the newest record names a worker as unheard, stored or not.
    pub fn is_unheard(&self, worker: &Name) -> bool {
        self.unheard.contains(worker)
    }

    /// Whether the record has to be written.
    pub fn is_due(&self) -> bool {
        self.is_due
    }

    /// Has the record written with the next batch.
    pub fn request_write(&mut self) {
        self.is_due = true;
    }

    /// A worker reported. If the record names it as unheard, the record is written again.
    pub fn record_report(&mut self, worker: &Name) {
        self.is_due = self.is_due || self.unheard.contains(worker);
    }

    /// All batches up to `batch` are in the store.
    pub fn mark_stored(&mut self, batch: u64) {
        self.removed.retain(|_, removed_in| *removed_in > batch);
    }

    /// Replaces the unheard workers by those that a record in `batch` names.
    fn replace(&mut self, unheard: BTreeSet<Name>, batch: u64) {
        let previous = std::mem::replace(&mut self.unheard, unheard);
        let gone = previous.into_iter().filter(|name| !self.unheard.contains(name));
        self.removed.extend(gone.map(|name| (name, batch)));
        self.removed.retain(|name, _| !self.unheard.contains(name));
        self.is_due = false;
    }
}

impl Cell {
    /// Requests a new record if the workers that do not report have changed.
    pub(in crate::cell) fn update_leases(&mut self, now: Millis) {
        let is_changed = self.unheard_workers(now) != self.leases.unheard;
        if is_changed {
            self.leases.request_write();
        }
    }

    /// Creates the record of leases for the batch that is being collected.
    pub(in crate::cell) fn write_leases(&mut self, now: Millis) -> LeaseRecord {
        let unheard = self.unheard_workers(now);
        let usual_end = now + self.inherited_lease(self.config.lease);
        let lease_ends = |(name, worker): (&Name, &Worker)| (name.clone(), worker.lease_end);
        let is_long = |(_, worker): &(&Name, &Worker)| worker.lease_end > usual_end;
        let is_unheard = |(name, _): &(&Name, &Worker)| unheard.contains(*name);
        let record = LeaseRecord {
            epoch: self.epoch,
            unheard: self.workers.iter().filter(is_unheard).map(lease_ends).collect(),
            long: self.workers.iter().filter(is_long).map(lease_ends).collect(),
        };
        self.leases.replace(unheard, self.open_batch);
        record
    }

    /// Ends the ownership as far as later owners are concerned: no start is sent and no lease renewed
    /// any more. Returns the state that is left to the next owner.
    pub fn leave(&mut self) -> FinalState {
        self.has_left = true;
        let lease_ends = self.workers.values().map(|worker| worker.lease_end);
        FinalState {
            has_complete_records: self.has_complete_records(),
            last_lease_end: lease_ends.max(),
        }
    }

    /// Whether all runs that this owner and those before it may have started are recorded in the
    /// store, so that the next owner need not wait for workers to report them.
    fn has_complete_records(&self) -> bool {
        self.unrecorded_starts.is_none() && self.last_unrecorded <= self.stored_batch
    }

    /// When the lease of a worker expires that earlier owners granted.
    ///
    /// A worker that restarted with the same id may have been given a lease end by the clock of its
    /// previous incarnation, which it shortens to the longest lease. Its task may then run on behind
    /// a network partition after the usual lease has expired.
    pub(in crate::cell) fn inherited_lease_end(
        &self,
        now: Millis,
        bounds: &LeaseBounds,
        worker: &Name,
        may_have_restarted: bool,
    ) -> Millis {
        let usual_end = now + self.inherited_lease(self.config.lease);
        let longest_end = match may_have_restarted {
            true => now + self.inherited_lease(self.config.max_lease),
            false => usual_end,
        };
        let known_end = bounds.record.as_ref().map(|record| {
            let long_end = record.long.get(worker).map_or(usual_end, |end| usual_end.max(*end));
            record.unheard.get(worker).copied().unwrap_or(long_end)
        });
        let ends = [Some(longest_end), known_end, bounds.last_end];
        ends.into_iter().flatten().min().unwrap_or(longest_end)
    }

    /// The length of a lease that an earlier owner granted, on this owner's clock.
    fn inherited_lease(&self, lease: Millis) -> Millis {
        Millis(lease.0 * INHERITED_LEASE_PERMILLE / 1_000)
    }

    /// The workers to record as unheard. Those that are recorded stay so until they report or are
    /// removed.
    fn unheard_workers(&self, now: Millis) -> BTreeSet<Name> {
        let is_settled = now.since(self.taken_over_at()) >= RECORD_DELAY;
        let is_unheard = |(name, worker): &(&Name, &Worker)| {
            !worker.is_reachable
                && (worker.is_silent()
                    || (is_settled && worker.is_inherited() && !worker.has_reported)
                    || self.leases.unheard.contains(*name))
        };
        self.workers.iter().filter(is_unheard).map(|(name, _)| name.clone()).collect()
    }

    /// Logs the workers with inherited runs that have not reported since the takeover. The tasks of
    /// these runs neither wait nor are known to run, so nothing else is logged about them.
    pub(in crate::cell) fn log_unheard_workers(&mut self, now: Millis) {
        let is_unheard = |worker: &&Worker| !worker.has_reported && !worker.runs.is_empty();
        let count = self.workers.values().filter(is_unheard).count();
        if count == 0 || !self.unheard_timer.is_due(now) {
            return;
        }
        let unheard = self.workers.iter().filter(|(_, worker)| is_unheard(worker));
        for (name, worker) in unheard.take(MAX_LOGGED) {
            log::info!(
                "event=worker-unheard worker={name} epoch={} runs={} lasting={} listed={} left_ms={} of={count}",
                self.epoch,
                worker.runs.len(),
                worker.lasting_runs(),
                worker.is_listed,
                worker.lease_end - now
            );
        }
    }
}
