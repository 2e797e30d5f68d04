//! Batches of records that an owner writes to the store, and the actions that wait until they are
//! stored.

use crate::cell::Cell;
use crate::cell::jobs::job::{Job, StoredPiece};
use crate::cell::records::journal::{self, Batch, JobRecord, PieceKind, WorkerRecord};
use crate::cell::records::pieces::PieceRecords;
use crate::cell::workers::worker::Worker;
use crate::clock::Millis;
use crate::id::Name;
use crate::visits;
use crate::workload::JobKey;
use std::collections::{BTreeMap, BTreeSet};

/// The size at which no more new jobs are added to a batch, so that an append takes no more than
/// some tens of milliseconds at the platform's 20 MB/s per partition.
const MAX_BATCH_BYTES: usize = 512 * 1024;

impl Cell {
    /// Returns the next batch to write to the store, if there are any changes. A batch is never
    /// empty, because the store does not count an append without records.
    pub fn take_batch(&mut self, now: Millis) -> Option<Batch> {
        if self.dirty_jobs.is_empty() && !self.workers_dirty && !self.leases.is_due() {
            return None;
        }
        let mut records = Vec::new();
        if std::mem::take(&mut self.workers_dirty) {
            records.push(journal::put_workers(&self.worker_records()));
            records.push(journal::put_worker_starts(&self.worker_starts()));
        }
        if self.leases.is_due() {
            records.push(journal::put_leases(&self.write_leases(now)));
        }
        let is_new = |job: &Job| job.batch == self.open_batch && job.is_open();
        let (new, known): (Vec<JobKey>, Vec<JobKey>) = std::mem::take(&mut self.dirty_jobs)
            .into_iter()
            .partition(|key| self.jobs.get(key).is_some_and(is_new));
        // Changes that workers reported are all written in this batch, because the ends of runs
        // among them are confirmed to the workers once it is stored.
        for key in known {
            self.write_job(key, &mut records);
        }
        let mut size = 0;
        let mut new = new.into_iter();
        for key in new.by_ref() {
            let first = records.len();
            self.write_job(key, &mut records);
            size += records.iter().skip(first).map(|(_, value)| value.len()).sum::<usize>();
            if size >= MAX_BATCH_BYTES {
                break;
            }
        }
        let number = self.open_batch;
        self.open_batch += 1;
        self.defer_jobs(new.collect());
        if records.is_empty() {
            self.mark_stored(now, number);
            return None;
        }
        Some(Batch { number, records })
    }

    /// Moves new jobs that did not fit into the last batch to the next one.
    fn defer_jobs(&mut self, keys: BTreeSet<JobKey>) {
        if keys.is_empty() {
            return;
        }
        visits::add(self.unstored_jobs.len());
        self.unstored_jobs.retain(|(_, key)| !keys.contains(key));
        for key in keys {
            if let Some(job) = self.jobs.get_mut(&key) {
                job.batch = self.open_batch;
                self.unstored_jobs.push_back((self.open_batch, key));
                self.dirty_jobs.insert(key);
            }
        }
    }

    /// Appends the records of a job that changed.
    fn write_job(&mut self, key: JobKey, records: &mut Vec<(String, Vec<u8>)>) {
        let Some(job) = self.jobs.get_mut(&key) else {
            let forwarded = self.forwarded.get(&key);
            match forwarded {
                Some((cell, _)) => {
                    records.push(journal::put_job(key, &JobRecord::Forwarded { cell: *cell }));
                }
                None => {
                    records.push(journal::delete_job(key));
                    self.write_unassigned(key, records);
                    if self.stored_workspaces.remove(&key) {
                        records.push(journal::delete_workspace(key));
                    }
                }
            }
            return;
        };
        let is_closed = job.closed.is_some();
        if is_closed && std::mem::take(&mut job.has_finished) {
            records.push(journal::delete_finished(key));
        }
        if let Some(workspace) = job.workspace.as_ref().filter(|_| job.batch == self.open_batch) {
            // The workspace is written before the job, because a job that is read without its
            // workspace would run without the limits of the workspace.
            records.push(journal::put_workspace(key, workspace));
            self.stored_workspaces.insert(key);
        }
        if is_closed || job.batch == self.open_batch {
            records.push(journal::put_job(key, &job.record()));
        }
        match is_closed {
            true => {
                if std::mem::take(&mut job.has_progress) {
                    records.push(journal::delete_progress(key));
                }
                if std::mem::take(&mut job.has_crashes) {
                    records.push(journal::delete_crashes(key));
                }
                write_pieces(key, job, records);
            }
            false if job.was_placed => write_progress(key, job, records),
            false => {}
        }
        self.write_unassigned(key, records);
    }

    /// Removes the new jobs of a batch that was definitely not stored, so that their callers can be
    /// told. Returns their keys.
    pub fn withdraw_batch(&mut self, batch: u64) -> Vec<JobKey> {
        self.withdraw_where(|number| number == batch)
    }

    /// Removes the new jobs of all batches after `batch`, none of which was sent, so that their
    /// callers can be told. Returns their keys.
    pub fn withdraw_after(&mut self, batch: u64) -> Vec<JobKey> {
        self.withdraw_where(|number| number > batch)
    }

    /// Removes the new jobs of those batches for which `is_unsent` holds.
    fn withdraw_where(&mut self, is_unsent: impl Fn(u64) -> bool) -> Vec<JobKey> {
        let is_withdrawn = |(batch, key): &&(u64, JobKey)| {
            let is_new = self.jobs.get(key).is_some_and(Job::is_open);
            is_unsent(*batch) && (is_new || self.forwarded.contains_key(key))
        };
        let withdrawn: BTreeSet<JobKey> =
            self.unstored_jobs.iter().filter(is_withdrawn).map(|(_, key)| *key).collect();
        self.unstored_jobs.retain(|(_, key)| !withdrawn.contains(key));
        for key in &withdrawn {
            match self.job_batch(*key) {
                Some(batch) => log::info!("event=withdrawn job={key} batch={batch}"),
                // Unreachable unless the job was removed meanwhile, as it was found by its batch
                // above.
                None => log::error!("event=withdrawn-unknown job={key}"),
            }
            self.forwarded.remove(key);
        }
        self.discard_jobs(&withdrawn);
        withdrawn.into_iter().collect()
    }

    /// Records that all batches up to `batch` are stored.
    pub fn mark_stored(&mut self, now: Millis, batch: u64) {
        self.stored_batch = self.stored_batch.max(batch);
        for worker in self.workers.values_mut() {
            worker.mark_stored(batch);
        }
        self.leases.mark_stored(batch);
        self.unstored_jobs.retain(|(number, _)| *number > batch);
        self.send_starts(now, batch);
        self.needs_placement = true;
    }

    /// The start times of the workers in use, as far as they are known.
    fn worker_starts(&self) -> BTreeMap<Name, Millis> {
        let incarnations = self.workers.values().map(Worker::incarnation);
        incarnations
            .filter_map(|incarnation| Some((incarnation.id, incarnation.started_at?)))
            .collect()
    }

    /// The records of the workers in use.
    fn worker_records(&self) -> Vec<WorkerRecord> {
        let record = |worker: &Worker| WorkerRecord {
            id: worker.listed.id.clone(),
            service: worker.listed.service.clone(),
            addr: worker.listed.addr.clone(),
        };
        self.workers.values().map(record).collect()
    }
}

/// Appends the records of the progress of a job and of crashes of its tasks' workers.
fn write_progress(key: JobKey, job: &mut Job, records: &mut Vec<(String, Vec<u8>)>) {
    // Repetitions are recorded as finished before their progress is dropped, because the records
    // may reach the store in two appends.
    if std::mem::take(&mut job.finished_changed) && job.work.repetitions > 1 {
        job.has_finished = true;
        records.push(journal::put_finished(key, &job.finished));
    }
    // For the same reason the pieces come before the record that an earlier version may have
    // written for the whole job.
    write_pieces(key, job, records);
    if job.has_pieces() && std::mem::replace(&mut job.has_placed_record, true) {
        return;
    }
    let progress = job.progress();
    // Progress that has become empty is written too. If an assignment stayed in the store, the
    // next owners would take the run for lost each time the worker restarted.
    if !progress.steps.is_empty() || job.has_progress || job.has_pieces() {
        job.has_progress = true;
        records.push(journal::put_progress(key, &progress));
    }
    let crashes = job.crash_records();
    if !crashes.is_empty() || job.has_crashes {
        job.has_crashes = true;
        records.push(journal::put_crashes(key, &crashes));
    }
}

/// Appends the records of the pieces of a job that have changed, and deletes those without content.
fn write_pieces(key: JobKey, job: &mut Job, records: &mut Vec<(String, Vec<u8>)>) {
    for PieceRecords { key: piece, progress, crashes } in job.take_changed_pieces() {
        // A piece that was never written has no records in the store.
        let stored = job.stored_pieces.remove(&piece).unwrap_or_default();
        let kept = StoredPiece { progress: progress.is_some(), crashes: crashes.is_some() };
        if kept.progress || stored.progress {
            records.push(journal::put_piece(key, PieceKind::Progress, piece, progress.as_ref()));
        }
        if kept.crashes || stored.crashes {
            records.push(journal::put_piece(key, PieceKind::Crashes, piece, crashes.as_ref()));
        }
        if kept != StoredPiece::default() {
            job.stored_pieces.insert(piece, kept);
        }
    }
}
