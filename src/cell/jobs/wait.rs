//! Why a step waits: one line in the log whenever the reason changes.

use crate::cell::Cell;
use crate::cell::jobs::job::Job;
use crate::cell::jobs::restart_policy::is_paused;
use crate::cell::jobs::wait_reason::WaitReason;
use crate::cell::placing::candidate::{Candidate, is_suitable};
use crate::clock::Millis;
use crate::workload::StepKey;

/// A step that waits for the same reason is logged after so long.
const FIRST_LOG_DELAY: Millis = Millis(2_000);

/// A wait that is logged while it goes on, each time that its length has doubled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitLogTimer {
    /// Since when.
    pub since: Millis,
    /// How long the wait will have been when it is logged next.
    next_log: Millis,
}

impl WaitLogTimer {
    /// A wait that is first logged after so long.
    pub fn new(since: Millis, first: Millis) -> Self {
        Self { since, next_log: first }
    }

    /// Whether the wait is to be logged now.
    pub fn is_due(&mut self, now: Millis) -> bool {
        let is_due = now.since(self.since) >= self.next_log;
        if is_due {
            self.next_log = self.next_log + self.next_log;
        }
        is_due
    }
}

/// Why a step waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wait {
    /// The reason.
    pub reason: WaitReason,
    /// For how long.
    pub timer: WaitLogTimer,
}

impl Cell {
    /// Why a step waits whose tasks found no worker among `fits`.
    pub(in crate::cell) fn wait_reason(
        &self,
        now: Millis,
        key: StepKey,
        candidates: &[Candidate],
    ) -> Option<WaitReason> {
        let job = self.jobs.get(&key.job)?;
        let step = job.step(key)?;
        let advised = &step.clearances;
        let is_held = |index: &u32| {
            step.tasks.get(*index as usize).is_some_and(|task| is_paused(&task.crashes))
        };
        Some(match () {
            () if step.waiting.is_empty() => return None,
            () if step.waiting.iter().all(is_held) => WaitReason::Crashes,
            () if !candidates.is_empty() => WaitReason::Room,
            () if advised.is_asking => WaitReason::Advice,
            () if !self.has_large_worker(job, key) => WaitReason::TooLarge,
            () if job.queue.advice.is_none() => WaitReason::NoWorker,
            () if advised.cleared.is_empty() => WaitReason::NoneCleared,
            () if advised.has_any_ticket(now) => WaitReason::NoWorker,
            () => WaitReason::Room,
        })
    }

    /// The steps that wait for a worker, and for what.
    pub fn waiting_steps(&self) -> impl Iterator<Item = (StepKey, WaitReason)> {
        self.ready_steps.iter().filter_map(|(_, _, key)| {
            let wait = self.jobs.get(&key.job)?.step(*key)?.wait?;
            Some((*key, wait.reason))
        })
    }

    /// Whether a worker would be large enough for a task of a step if nothing else ran there.
    fn has_large_worker(&self, job: &Job, key: StepKey) -> bool {
        let Some(spec) = job.spec(key.step) else { return true };
        self.workers.values().any(|worker| is_suitable(worker, &job.queue.service, spec))
    }

    /// Notes why a step waits, and logs how long it waited for what it waited for before.
    pub(in crate::cell) fn set_wait_reason(
        &mut self,
        now: Millis,
        key: StepKey,
        why: Option<WaitReason>,
    ) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let queue = job.queue.name.clone();
        let is_lasting = job.spec(key.step).is_some_and(|spec| spec.long_running);
        let Some(step) = job.step_mut(key) else { return };
        if is_lasting {
            step.mark_idle(now);
        }
        step.idle_since = why.and(step.idle_since.or(Some(now)));
        let before = step.wait;
        if before.map(|wait| wait.reason) == why {
            return self.log_long_wait(now, key);
        }
        step.wait =
            why.map(|reason| Wait { reason, timer: WaitLogTimer::new(now, FIRST_LOG_DELAY) });
        let Some(Wait { reason: was, timer }) = before else { return };
        let next = why.map_or("none", WaitReason::name);
        log::info!(
            "event=waited step={key} queue={queue} for={} ms={} next={next} tasks={}",
            was.name(),
            now.since(timer.since),
            step.waiting.len()
        );
    }

    /// Logs a wait that goes on for long, with what is known of clearances: whether a question was ever put, is under way,
    /// or was answered without a worker that helps.
    fn log_long_wait(&mut self, now: Millis, key: StepKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let queue = job.queue.name.clone();
        let Some(step) = job.step_mut(key) else { return };
        let Some(wait) = step.wait.as_mut() else { return };
        if !wait.timer.is_due(now) {
            return;
        }
        let (why, since) = (wait.reason.name(), wait.timer.since);
        let advised = &step.clearances;
        let tickets = advised.ticket_holders(now).count();
        let asking = match advised.is_asking {
            true => self.advice_queue.asked(key).map_or("queued".to_string(), ToString::to_string),
            false => "none".to_string(),
        };
        log::info!(
            "event=waiting step={key} queue={queue} for={why} ms={} tasks={} question={asking} \
             cleared={} denied={} tickets={tickets}",
            now.since(since),
            step.waiting.len(),
            advised.cleared.len(),
            advised.denied.len()
        );
    }
}
