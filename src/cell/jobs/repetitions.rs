//! Opens the repetitions of jobs as they come due.
//!
//! Only open repetitions have state: a job may repeat tens of thousands of times, over weeks. An
//! owner opens no further repetition of a job while its open ones have many tasks, or while the
//! memory for jobs is used up.

use crate::cell::Cell;
use crate::cell::jobs::memory::{self, MemoryBudget};
use crate::clock::Millis;
use crate::workload::{JobDefinition, JobKey, StepKey};

/// The most tasks of a job's open repetitions, unless a single one has more.
const MAX_OPEN_TASKS: u64 = 10_000;

impl Cell {
    /// The memory that jobs are estimated to take.
    pub fn memory(&self) -> MemoryBudget {
        self.memory
    }

    /// Whether there is memory for a new job.
    pub fn has_memory_for(&self, work: &JobDefinition) -> bool {
        self.memory.has_room(memory::job_bytes(work))
    }

    /// Sets memory aside for a job. Returns whether there was enough.
    pub(in crate::cell) fn reserve_memory(&mut self, key: JobKey) -> bool {
        let Some(job) = self.jobs.get(&key) else { return false };
        let has_room = job.charged_bytes > 0 || self.has_memory_for(&job.work);
        if has_room {
            self.charge_job(key);
        }
        has_room
    }

    /// Updates the memory that a job is charged for.
    pub(in crate::cell) fn charge_job(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let open = job.open.len().max(1) as u64;
        let definition = memory::definition_bytes(&job.work);
        let bytes = match job.is_open() {
            true => definition + open * memory::repetition_bytes(&job.work),
            false if job.work.steps.is_empty() => memory::CLOSED_JOB_BYTES,
            false => definition,
        };
        let before = std::mem::replace(&mut job.charged_bytes, bytes);
        self.memory.replace(before, bytes);
    }

    /// Opens the repetitions of a job that are due at `wall`, as far as possible, and notes when the
    /// next one is due.
    pub(in crate::cell) fn open_due(&mut self, now: Millis, key: JobKey, wall: Millis) {
        loop {
            let Some(job) = self.jobs.get_mut(&key).filter(|job| job.is_open()) else { return };
            let Some(repetition) = job.next_unopened() else { return };
            let due = match job.work.first_due.0 {
                0 => Millis(0),
                _ => job.work.due_at(repetition),
            };
            if due > wall {
                self.start_timers.insert((due, key));
                return;
            }
            if !self.may_open(key) {
                self.held_jobs.insert(key);
                return;
            }
            self.open_repetition(now, key, repetition);
        }
    }

    /// Whether a further repetition of a job may be opened.
    fn may_open(&self, key: JobKey) -> bool {
        let Some(job) = self.jobs.get(&key) else { return false };
        let tasks = (job.open.len() as u64 + 1) * job.summary.tasks;
        let is_first = job.open.is_empty();
        is_first
            || (tasks <= MAX_OPEN_TASKS
                && self.memory.has_room(memory::repetition_bytes(&job.work)))
    }

    /// Opens a repetition: its steps without dependencies become ready.
    fn open_repetition(&mut self, now: Millis, key: JobKey, repetition: u32) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        if !job.open_repetition(repetition) {
            return;
        }
        self.charge_job(key);
        self.open_unblocked(now, key, repetition);
    }

    /// Opens the steps of a repetition whose dependencies are done.
    pub(in crate::cell) fn open_unblocked(&mut self, now: Millis, key: JobKey, repetition: u32) {
        let Some(job) = self.jobs.get_mut(&key).filter(|job| job.is_open()) else { return };
        let steps =
            (0..job.work.steps.len() as u16).map(|step| StepKey { job: key, repetition, step });
        let unblocked: Vec<StepKey> = steps.filter(|step| job.dependencies_done(*step)).collect();
        for step in unblocked {
            self.open_step(now, step);
        }
    }

    /// Opens the repetition of a step that a worker names in a report: an earlier owner may have
    /// started it without a record.
    pub(in crate::cell) fn open_reported(&mut self, now: Millis, step: StepKey) {
        let job = self.jobs.get(&step.job).filter(|job| job.is_open());
        if job.is_some_and(|job| step.repetition < job.work.repetitions) {
            self.open_repetition(now, step.job, step.repetition);
        }
    }

    /// Drops the state of the repetition of a step if all its tasks have succeeded.
    pub(in crate::cell) fn finish_repetition(&mut self, step: StepKey) {
        let Some(job) = self.jobs.get_mut(&step.job) else { return };
        if job.finish_repetition(step.repetition) {
            self.charge_job(step.job);
        }
    }

    /// Opens the repetitions that have come due, and those that had to wait.
    pub(in crate::cell) fn open_due_repetitions(&mut self, now: Millis, wall: Millis) {
        while let Some((due, key)) = self.start_timers.first().copied()
            && due <= wall
        {
            self.start_timers.pop_first();
            self.open_due(now, key, wall);
        }
        for key in std::mem::take(&mut self.held_jobs) {
            match self.jobs.get(&key).is_some_and(|job| job.charged_bytes > 0) {
                true => self.open_due(now, key, wall),
                false => self.open_job(now, key),
            }
        }
    }
}
