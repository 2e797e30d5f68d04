//! Steps that have waited for long though there is room.
//!
//! The load that this answers: a gang that finds too little room has it kept again and again; steps after it that only
//! wait for the gang have room kept, too; workers are set aside or left to one task. Each of these is right for a while, and
//! together they leave workers idle beside tasks that fit them.

use crate::cell::Cell;
use crate::cell::jobs::job::Job;
use crate::clock::Millis;
use crate::id::Name;
use crate::workload::{Resources, StepKey};

/// After so long without a worker, though half of the room is free, a step goes where it would not go otherwise. By the
/// platform's contract a task with room for it waits for 3 s at the most.
const MAX_IDLE_TIME: Millis = Millis(2_000);

/// After so long without a run a task that lasts goes wherever it may: the contract allows 9 s, and a question about it
/// takes up to one second more, or three if its answer is lost.
const MAX_LASTING_IDLE: Millis = Millis(2_000);

/// What a step need not mind any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::cell) enum Relaxation {
    /// Nothing: it has not waited for long, or half of the processors are in use and it does not last.
    None,
    /// Workers that are set aside, for 16 s at the most, or left to a task that crashes workers, for as long as that
    /// runs; room that is gathered for a gang.
    Partial,
    /// Room that is kept for others, too: half of all room is free, or the step lasts, whose bound holds however full the
    /// service is. Beside accelerators that are mostly taken, a task that
    /// needs many would be passed by those that need few.
    Full,
}

impl Cell {
    /// How hard a step is pressed by its wait.
    pub(in crate::cell) fn relaxation(&self, now: Millis, job: &Job, key: StepKey) -> Relaxation {
        let Some(step) = job.step(key) else { return Relaxation::None };
        let idle = step.longest_idle();
        if idle.is_some_and(|since| now.since(since) >= MAX_LASTING_IDLE) {
            return Relaxation::Full;
        }
        let since = step.idle_since;
        if since.is_none_or(|since| now.since(since) < MAX_IDLE_TIME) {
            return Relaxation::None;
        }
        let (used, all) = self.service_usage(&job.queue.service);
        match used.plus(&used) {
            twice if twice.cpu >= all.cpu => Relaxation::None,
            twice if all.can_fit(&twice) => Relaxation::Full,
            _ => Relaxation::Partial,
        }
    }

    /// What of a service's room is in use, and all of it.
    fn service_usage(&self, service: &Name) -> (Resources, Resources) {
        let heard = self.workers.values().filter(|worker| worker.heard);
        let of_service = heard.filter(|worker| worker.listed.service == *service);
        let none = (Resources::default(), Resources::default());
        of_service.fold(none, |(used, all), worker| {
            (used.plus(&worker.used), all.plus(&worker.listed.capacity))
        })
    }
}
