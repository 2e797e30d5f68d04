//! What an owner writes to the store: which records go together, and what waits until they are there.

use crate::cell::Cell;
use crate::cell::jobs::job::Job;
use crate::cell::records::journal::{self, Batch, JobRecord, WorkerRecord};
use crate::cell::workers::worker::Worker;
use crate::clock::Millis;
use crate::id::Name;
use crate::workload::JobKey;
use std::collections::BTreeMap;

/// A batch stops growing at this size, so that an append takes no more than some tens of
/// milliseconds at the platform's 20 MB/s a partition.
const MAX_BATCH_BYTES: usize = 512 * 1024;

impl Cell {
    /// The next batch for the store, if there is something to write. A batch is never empty: the
    /// store does not count an append without records.
    pub fn take_batch(&mut self, now: Millis) -> Option<Batch> {
        if self.dirty_jobs.is_empty() && !self.workers_dirty {
            return None;
        }
        let mut records = Vec::new();
        if std::mem::take(&mut self.workers_dirty) {
            records.push(journal::put_workers(&self.worker_records()));
            records.push(journal::put_worker_starts(&self.worker_starts()));
        }
        let is_new = |job: &Job| job.batch == self.open_batch && job.is_open();
        let (new, known): (Vec<JobKey>, Vec<JobKey>) = std::mem::take(&mut self.dirty_jobs)
            .into_iter()
            .partition(|key| self.jobs.get(key).is_some_and(is_new));
        // What workers reported goes first and whole: the ends in it are confirmed with the batch.
        for key in known {
            self.write_job(key, &mut records);
        }
        let mut size = 0;
        let mut new = new.into_iter();
        for key in new.by_ref() {
            let from = records.len();
            self.write_job(key, &mut records);
            size += records.iter().skip(from).map(|(_, value)| value.len()).sum::<usize>();
            if size >= MAX_BATCH_BYTES {
                break;
            }
        }
        let no = self.open_batch;
        self.open_batch += 1;
        for key in new {
            self.defer_job(key);
        }
        if records.is_empty() {
            self.mark_stored(now, no);
            return None;
        }
        Some(Batch { number: no, records })
    }

    /// A new job that did not fit into the last batch goes into the next one.
    fn defer_job(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.get_mut(&key) {
            job.batch = self.open_batch;
            self.unstored_jobs.retain(|(_, other)| *other != key);
            self.unstored_jobs.push_back((self.open_batch, key));
            self.dirty_jobs.insert(key);
        }
    }

    fn write_job(&mut self, key: JobKey, records: &mut Vec<(String, Vec<u8>)>) {
        let Some(job) = self.jobs.get_mut(&key) else {
            let forwarded = self.forwarded.get(&key);
            match forwarded {
                Some((cell, _)) => {
                    records.push(journal::put_job(key, &JobRecord::Forwarded { cell: *cell }));
                }
                None => {
                    records.push(journal::delete_job(key));
                    if self.stored_workspaces.remove(&key) {
                        records.push(journal::delete_workspace(key));
                    }
                }
            }
            return;
        };
        let closed = job.closed.is_some();
        if let Some(workspace) = job.workspace.as_ref().filter(|_| job.batch == self.open_batch) {
            // Before the job itself: a job that is known without its workspace would run without a bound.
            records.push(journal::put_workspace(key, workspace));
            self.stored_workspaces.insert(key);
        }
        if closed || job.batch == self.open_batch {
            records.push(journal::put_job(key, &job.record()));
        }
        match closed {
            true if job.has_progress => {
                job.has_progress = false;
                records.push(journal::delete_progress(key));
                if std::mem::take(&mut job.has_crashes) {
                    records.push(journal::delete_crashes(key));
                }
            }
            false if job.was_placed => {
                let progress = job.progress();
                // Also where nothing is left to note: to the next owners, a binding that stayed in the store was lost
                // with each life of the worker that ended.
                if !progress.steps.is_empty() || job.has_progress {
                    job.has_progress = true;
                    records.push(journal::put_progress(key, &progress));
                }
                let crashes = job.crash_notes();
                if !crashes.is_empty() || job.has_crashes {
                    job.has_crashes = true;
                    records.push(journal::put_crashes(key, &crashes));
                }
            }
            _ => {}
        }
    }

    /// The store surely did not take a batch: its new jobs are given back to their callers. Returns
    /// their keys.
    pub fn withdraw_batch(&mut self, batch: u64) -> Vec<JobKey> {
        self.withdraw_where(|of| of == batch)
    }

    /// New jobs of batches after `batch`, none of which was sent, are given back to their callers.
    /// Returns their keys.
    pub fn withdraw_after(&mut self, batch: u64) -> Vec<JobKey> {
        self.withdraw_where(|of| of > batch)
    }

    fn withdraw_where(&mut self, is_unsent: impl Fn(u64) -> bool) -> Vec<JobKey> {
        let of_batch = |(of, key): &&(u64, JobKey)| {
            let is_new = self.jobs.get(key).is_some_and(Job::is_open);
            is_unsent(*of) && (is_new || self.forwarded.contains_key(key))
        };
        let gone: Vec<JobKey> =
            self.unstored_jobs.iter().filter(of_batch).map(|(_, key)| *key).collect();
        self.unstored_jobs.retain(|(_, key)| !gone.contains(key));
        for key in &gone {
            match self.job_batch(*key) {
                Some(batch) => log::info!("event=withdrawn job={key} batch={batch}"),
                // It was found by its batch above: without one it was forgotten meanwhile, and is gone.
                None => log::error!("event=withdrawn-unknown job={key}"),
            }
            self.discard_job(*key);
            self.forwarded.remove(key);
        }
        gone
    }

    /// All batches up to `batch` are in the store.
    pub fn mark_stored(&mut self, now: Millis, batch: u64) {
        self.stored_batch = self.stored_batch.max(batch);
        for worker in self.workers.values_mut() {
            worker.keep(batch);
        }
        self.unstored_jobs.retain(|(of, _)| *of > batch);
        self.send_starts(now, batch);
        self.needs_placement = true;
    }

    fn worker_starts(&self) -> BTreeMap<Name, Millis> {
        let lives = self.workers.values().map(Worker::life);
        lives.filter_map(|life| Some((life.id, life.started_at?))).collect()
    }

    fn worker_records(&self) -> Vec<WorkerRecord> {
        let member = |worker: &Worker| WorkerRecord {
            id: worker.listed.id.clone(),
            service: worker.listed.service.clone(),
            addr: worker.listed.addr.clone(),
        };
        self.workers.values().map(member).collect()
    }
}
