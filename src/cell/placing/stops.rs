//! Which runs were stopped for other steps lately, and how many.

use crate::cell::placing::account::Refusal;
use crate::clock::Millis;
use crate::workload::{StepKey, TaskKey};
use std::collections::{HashMap, VecDeque};

/// The period of the limit on stops.
const LIMIT_PERIOD: Millis = Millis(1_000);
/// The most runs that are stopped within a second, except for one step that needs more. A stop and the second start
/// take some 1 ms of an owner of half a core, so that this is a tenth of its time.
const MAX_STOPS: usize = 100;
/// A task that was stopped less than this ago is stopped again only if others do not suffice. It is twice the validity
/// of a ticket: the task may wait for one and then needs the other one's time to get on.
const STOP_MEMORY: Millis = Millis(5_000);
/// How long a step for which no run was stopped is not evaluated again. Most runs end within 3 s, so that little changes
/// in this time.
const RETRY_INTERVAL: Millis = Millis(100);
/// The records of refused steps and stopped tasks are dropped after this time.
const RETENTION: Millis = Millis(30_000);
/// How often that is done. It goes through all entries.
const PRUNE_INTERVAL: Millis = Millis(5_000);

/// The last stop of a task.
#[derive(Debug, Clone, Copy)]
struct LastStop {
    at: Millis,
    /// The run time of the task that its checkpoints have saved.
    saved: Millis,
}

/// The last refusal of a step.
#[derive(Debug, Clone, Copy)]
struct LastRefusal {
    at: Millis,
    /// Bits of the reasons that were logged.
    logged: u8,
}

/// The number of stops and refusals since the takeover.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StopCounts {
    /// Runs that were stopped for a more urgent step.
    pub stops: u64,
    /// Steps for which no run was stopped, counted once for each reason.
    pub rejected: u64,
}

/// The stops of the last seconds.
#[derive(Debug, Default)]
pub struct Stops {
    /// The times of the stops within [`LIMIT_PERIOD`].
    recent: VecDeque<Millis>,
    tasks: HashMap<TaskKey, LastStop>,
    refused: HashMap<StepKey, LastRefusal>,
    pruned_at: Millis,
    /// The number of stops and refusals.
    pub counts: StopCounts,
}

impl Stops {
    /// Whether `count` more runs may be stopped now. A step that needs more than the limit has to wait for a second
    /// without any stop.
    pub(in crate::cell) fn allows(&mut self, now: Millis, count: usize) -> bool {
        self.prune(now);
        self.recent.is_empty() || self.recent.len() + count <= MAX_STOPS
    }

    /// Notes that a task is stopped, and the run time that its checkpoints have saved.
    pub(in crate::cell) fn record(&mut self, now: Millis, task: TaskKey, saved: Millis) {
        self.prune(now);
        self.recent.push_back(now);
        self.tasks.insert(task, LastStop { at: now, saved });
        self.counts.stops += 1;
    }

    /// Whether a task was stopped lately.
    pub(in crate::cell) fn was_stopped(&self, now: Millis, task: TaskKey) -> bool {
        self.tasks.get(&task).is_some_and(|stop| now.since(stop.at) < STOP_MEMORY)
    }

    /// The run time of a task that was saved before its current run.
    pub(in crate::cell) fn saved(&self, task: TaskKey) -> Millis {
        self.tasks.get(&task).map_or(Millis(0), |stop| stop.saved)
    }

    /// Whether no run was stopped for a step at its last evaluation, which was a short time ago.
    pub(in crate::cell) fn is_deferred(&self, now: Millis, step: StepKey) -> bool {
        self.refused.get(&step).is_some_and(|refusal| now.since(refusal.at) < RETRY_INTERVAL)
    }

    /// Notes that a step is evaluated again only after a while.
    pub(in crate::cell) fn defer(&mut self, now: Millis, step: StepKey) {
        self.refuse(now, step, Refusal::HasTime);
    }

    /// Notes that no run is stopped for a step. Returns whether that has to be logged: once for each reason, except
    /// that a step which only has time is not rejected.
    pub(in crate::cell) fn refuse(&mut self, now: Millis, step: StepKey, why: Refusal) -> bool {
        self.prune(now);
        let entry = self.refused.entry(step).or_insert(LastRefusal { at: now, logged: 0 });
        entry.at = now;
        let bit = 1 << why as u8;
        let is_new = why != Refusal::HasTime && entry.logged & bit == 0;
        entry.logged |= bit;
        self.counts.rejected += u64::from(is_new);
        is_new
    }

    /// Drops what is outdated.
    fn prune(&mut self, now: Millis) {
        while self.recent.front().is_some_and(|at| now.since(*at) >= LIMIT_PERIOD) {
            self.recent.pop_front();
        }
        if now.since(self.pruned_at) >= PRUNE_INTERVAL {
            self.pruned_at = now;
            self.tasks.retain(|_, stop| now.since(stop.at) < RETENTION);
            self.refused.retain(|_, refusal| now.since(refusal.at) < RETENTION);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::workload::JobKey;

    const STEP: StepKey = StepKey { job: JobKey(1), repetition: 0, step: 0 };

    fn task(index: u32) -> TaskKey {
        TaskKey { step: STEP, index }
    }

    #[test]
    fn stops_are_limited_in_each_second() {
        let mut stops = Stops::default();
        assert!(stops.allows(Millis(0), MAX_STOPS + 1), "a step that needs more is not starved");
        (0..60).for_each(|index| stops.record(Millis(10), task(index), Millis(0)));
        assert!(stops.allows(Millis(500), MAX_STOPS - 60));
        assert!(!stops.allows(Millis(500), MAX_STOPS - 59));
        assert!(stops.allows(Millis(1_010), MAX_STOPS));
        assert_eq!(stops.counts.stops, 60);
    }

    #[test]
    fn a_stop_is_remembered_for_a_while() {
        let mut stops = Stops::default();
        stops.record(Millis(10), task(0), Millis(1_000));
        assert!(stops.was_stopped(Millis(5_000), task(0)));
        assert!(!stops.was_stopped(Millis(5_010), task(0)));
        assert!(!stops.was_stopped(Millis(20), task(1)));
        assert_eq!(stops.saved(task(0)), Millis(1_000));
    }

    #[test]
    fn a_refusal_is_logged_once_for_each_reason() {
        let mut stops = Stops::default();
        assert!(!stops.refuse(Millis(0), STEP, Refusal::HasTime));
        assert!(stops.refuse(Millis(0), STEP, Refusal::Cost));
        assert!(!stops.refuse(Millis(100), STEP, Refusal::Cost));
        assert!(stops.refuse(Millis(100), STEP, Refusal::Limit));
        assert!(stops.is_deferred(Millis(150), STEP));
        assert!(!stops.is_deferred(Millis(200), STEP));
        assert_eq!(stops.counts.rejected, 2);
    }
}
