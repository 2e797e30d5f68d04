//! Relaxed placement for steps that have waited for long although enough resources are free.
//!
//! Resources are reserved again and again for a gang that doesn't find enough, and then for the steps that wait behind
//! it; workers are excluded from placement, or quarantined for one job. Each of these is right for a while, but
//! together they can leave workers idle while there are tasks that fit on them. So a step that has waited for long
//! ignores some or all of them.

use crate::cell::Cell;
use crate::cell::jobs::job::Job;
use crate::cell::workers::worker::Worker;
use crate::clock::Millis;
use crate::id::Name;
use crate::workload::{Resources, StepKey};

/// How long a step waits without any of its tasks being placed before its placement is relaxed, if half of the cores
/// are free. By the platform's contract a task for which there is room waits for at most 3 s.
const MAX_IDLE_TIME: Millis = Millis(2_000);

/// How long a long-running task waits without a run before its placement is fully relaxed. The contract allows 9 s,
/// and a request to the advice service takes up to 1 s of the time after that, or 3 s if the response is lost.
const MAX_LASTING_IDLE: Millis = Millis(2_000);

/// Which placement restrictions a step may ignore.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::cell) enum Relaxation {
    /// None: the step hasn't waited for long, or it isn't long-running and at least half of the cores are in use.
    None,
    /// Workers that are excluded from placement, which lasts for at most 16 s; workers that are quarantined for another
    /// job, which lasts for as long as its task runs; reservations for a gang that aren't all free yet.
    Partial,
    /// All reservations, too: at least half of all resources are free, or the step is long-running, since the bound on
    /// its wait holds however full the service is. If only cores are free, other reservations stay in force: while most
    /// accelerators are in use, tasks that need few of them would otherwise always go before a task that needs many.
    Full,
}

impl Cell {
    /// The restrictions that a step may ignore after its wait.
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
        let (used, total) = self.service_usage(&job.queue.service);
        match used.plus(&used) {
            doubled if doubled.cpu >= total.cpu => Relaxation::None,
            doubled if total.can_fit(&doubled) => Relaxation::Full,
            _ => Relaxation::Partial,
        }
    }

    /// The resources in use and the total resources of the workers of a service that are reachable and not drained.
    fn service_usage(&self, service: &Name) -> (Resources, Resources) {
        let usable = |worker: &&Worker| worker.is_reachable && !worker.is_drained;
        let reachable = self.workers.values().filter(usable);
        let of_service = reachable.filter(|worker| worker.listed.service == *service);
        let zero = (Resources::default(), Resources::default());
        of_service.fold(zero, |(used, total), worker| {
            (used.plus(&worker.used), total.plus(&worker.listed.capacity))
        })
    }
}
