//! Answers the requests of entries, most of them on behalf of callers.

use crate::cell::jobs::memory::definition_bytes;
use crate::clock::Millis;
use crate::id::Name;
use crate::node::lock;
use crate::node::msg::{EntryMessage, OwnerMessage, RefusalReason};
use crate::node::owner::Owner;
use crate::workload::{JobDefinition, JobKey};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// New jobs are refused once the last heartbeat in the log is older than this, because their
/// records could not be stored in time. Heartbeats take up to 900 ms with a store that is 60 times
/// slower than usual.
const HEARTBEAT_MAX_AGE: Millis = Millis(1_000);

/// Memory that a job of another entry takes until it is decided.
#[derive(Debug)]
pub(in crate::node) struct HeldSubmission {
    owner: Arc<Owner>,
    bytes: u64,
}

impl Drop for HeldSubmission {
    fn drop(&mut self) {
        self.owner.submitted_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl Owner {
    /// Counts the job in a message of an entry, if any, toward the memory of those that are not
    /// decided. Returns `None` if there is no room for it beside others: all entries together may
    /// send more than this one can hold.
    pub fn hold_submission(self: &Arc<Self>, message: &EntryMessage) -> Option<HeldSubmission> {
        let bytes = match message {
            EntryMessage::Submit { work, .. } => definition_bytes(work),
            _ => 0,
        };
        let before = self.submitted_bytes.fetch_add(bytes, Ordering::Relaxed);
        let held = HeldSubmission { owner: self.clone(), bytes };
        let limit = self.node.settings.client_limits().submission_bytes();
        let has_room = bytes == 0 || before == 0 || before + bytes <= limit;
        if !has_room {
            log::info!("event=job-refused why=undecided-jobs held={before} epoch={}", self.epoch);
        }
        has_room.then_some(held)
    }

    /// Answers a message of an entry.
    pub async fn handle_request(
        self: &Arc<Self>,
        entry: &Name,
        message: EntryMessage,
    ) -> OwnerMessage {
        self.check_for_pause(self.node.now());
        // After a pause another entry may own the cell and know more about its jobs. Only requests
        // of callers are refused for that: if an answer of the advice service were refused, its
        // step would wait forever.
        let is_stale = message.is_from_caller() && self.is_unconfirmed.load(Ordering::Relaxed);
        if self.has_ended() || is_stale {
            return OwnerMessage::Refused(RefusalReason::NotOwner);
        }
        // A successor may own the cell by now, and know jobs that this owner does not.
        if message.is_from_caller() && !self.has_authority() {
            return OwnerMessage::Refused(RefusalReason::StoreUnavailable);
        }
        match message {
            EntryMessage::Hello { .. }
            | EntryMessage::Ping { .. }
            | EntryMessage::LogProbed { .. } => OwnerMessage::Ack,
            EntryMessage::Submit { job, queue, work, workspace, is_forwarded } => {
                if !is_forwarded
                    && let Err(refused) = self.forward_job(job, &queue, &work, workspace.as_ref())
                {
                    return OwnerMessage::Refused(refused);
                }
                self.submit(job, &queue, work, workspace).await
            }
            EntryMessage::State { job, .. } | EntryMessage::Cancel { job, .. }
                if self.forwarded_to(job).is_some() =>
            {
                self.forwarded_to(job)
                    .map_or(OwnerMessage::InDoubt, |cell| OwnerMessage::Moved { cell })
            }
            EntryMessage::Forget { job } => {
                lock(&self.cell).forget_forwarded(job);
                self.write_wake.notify_one();
                OwnerMessage::Ack
            }
            EntryMessage::FollowWorkers { cell, known } => self.next_list_update(cell, known).await,
            EntryMessage::State { job, workspace } => {
                let cell = lock(&self.cell);
                let is_visible = cell.is_visible(job, workspace.as_ref());
                OwnerMessage::State(cell.job_state(job).filter(|_| is_visible))
            }
            EntryMessage::Pending { queue } => {
                OwnerMessage::Pending(lock(&self.cell).pending_jobs(&queue))
            }
            EntryMessage::Cancel { job, workspace } => {
                let batch = {
                    let mut cell = lock(&self.cell);
                    let is_visible = cell.is_visible(job, workspace.as_ref());
                    is_visible.then(|| cell.cancel(self.node.now(), job)).flatten()
                };
                self.schedule_wake.notify_one();
                match batch {
                    None => OwnerMessage::Cancelled(false),
                    Some(batch) if self.wait_stored(batch).await => OwnerMessage::Cancelled(true),
                    Some(_) => OwnerMessage::InDoubt,
                }
            }
            EntryMessage::Advice { step, candidates, answer, age } => {
                let now = self.node.now();
                lock(&self.cell).handle_aged_advice(now, entry, step, &candidates, answer, age);
                self.schedule_wake.notify_one();
                OwnerMessage::Ack
            }
        }
    }

    /// Accepts a job and waits until its record is in the store.
    async fn submit(
        self: &Arc<Self>,
        job: JobKey,
        queue: &str,
        work: Arc<JobDefinition>,
        workspace: Option<Name>,
    ) -> OwnerMessage {
        let batch = {
            let mut cell = lock(&self.cell);
            if !cell.is_visible(job, workspace.as_ref()) {
                log::warn!(
                    "event=job-refused job={job} why=another-workspace epoch={}",
                    self.epoch
                );
                return OwnerMessage::Refused(RefusalReason::OtherWorkspace);
            }
            if !cell.knows_job(job) && !self.can_accept_jobs() {
                let age = lock(&self.authority).heartbeat_age(self.node.now());
                log::info!(
                    "event=job-refused job={job} why=store-unavailable epoch={} beat_ms={age}",
                    self.epoch
                );
                return OwnerMessage::Refused(RefusalReason::StoreUnavailable);
            }
            if !cell.knows_job(job) && !self.admit(queue, &work) {
                log::info!("event=job-refused job={job} why=overload epoch={}", self.epoch);
                return OwnerMessage::Refused(RefusalReason::Overload);
            }
            if !cell.knows_job(job) && !cell.has_memory_for(&work) {
                log::info!(
                    "event=job-refused job={job} why=memory used={} tasks={} epoch={}",
                    cell.memory().used(),
                    work.repetition_tasks(),
                    self.epoch
                );
                return OwnerMessage::Refused(RefusalReason::Memory);
            }
            match cell.job_batch(job) {
                Some(batch) => Some(batch),
                None => cell.submit_for_workspace(self.node.now(), job, queue, work, workspace),
            }
        };
        if batch.is_none() {
            return OwnerMessage::Refused(RefusalReason::UnknownQueue);
        }
        self.write_wake.notify_one();
        let mut stored = self.stored_batch.subscribe();
        let mut ended = self.ended.subscribe();
        loop {
            let known = lock(&self.cell).job_batch(job);
            match known {
                None => return OwnerMessage::Refused(RefusalReason::StoreUnavailable),
                Some(batch) if batch <= *stored.borrow_and_update() => {
                    let cell = self.forwarded_to(job);
                    return cell
                        .map_or(OwnerMessage::Accepted, |cell| OwnerMessage::Moved { cell });
                }
                Some(_) => {}
            }
            tokio::select! {
                changed = stored.changed() => if changed.is_err() { return OwnerMessage::InDoubt },
                _ = ended.wait_for(|ended| *ended) => return OwnerMessage::InDoubt,
            }
        }
    }

    /// Whether the rate at which an overloaded owner accepts jobs allows one more.
    fn admit(&self, queue: &str, work: &JobDefinition) -> bool {
        let priority = self.node.policy().queues.get(queue).map_or(0, |queue| queue.priority);
        let tasks = work.steps.iter().map(|step| step.count).sum();
        lock(&self.admission).admit(tasks, priority)
    }

    /// Whether new jobs are accepted: the store accepted the last batch and a recent heartbeat.
    pub(super) fn can_accept_jobs(&self) -> bool {
        let is_fresh = lock(&self.authority).heartbeat_age(self.node.now()) < HEARTBEAT_MAX_AGE;
        is_fresh && self.store_up.load(Ordering::Relaxed)
    }

    /// Waits until a batch is in the store. Returns `false` if the ownership ends before.
    async fn wait_stored(&self, batch: u64) -> bool {
        let mut stored = self.stored_batch.subscribe();
        let mut ended = self.ended.subscribe();
        tokio::select! {
            stored = stored.wait_for(|stored| *stored >= batch) => stored.is_ok(),
            _ = ended.wait_for(|ended| *ended) => false,
        }
    }
}
