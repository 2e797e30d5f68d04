//! Why a step waits. A line is logged whenever the reason changes, and while a wait goes on for
//! long.

use crate::cell::Cell;
use crate::cell::jobs::restart_policy;
use crate::cell::jobs::wait_reason::WaitReason;
use crate::cell::placing::candidate::Candidate;
use crate::clock::Millis;
use crate::workload::StepKey;

/// How long a step waits for the same reason before that is first logged.
const FIRST_LOG_DELAY: Millis = Millis(2_000);

/// Decides when to log a wait that goes on: after a first delay, and then each time its length has
/// doubled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitLogTimer {
    /// When the wait began.
    pub since: Millis,
    /// The length of the wait, in milliseconds, at which the wait is logged next.
    next_log: Millis,
}

impl WaitLogTimer {
    /// Creates a timer for a wait that is first logged once it has lasted for `first`.
    pub fn new(since: Millis, first: Millis) -> Self {
        Self { since, next_log: first }
    }

    /// Whether the wait has become long enough to be logged.
    pub fn will_log(&self, now: Millis) -> bool {
        now.since(self.since) >= self.next_log
    }

    /// Whether the wait should be logged now. If so, it is due again when its length has doubled.
    pub fn is_due(&mut self, now: Millis) -> bool {
        let is_due = self.will_log(now);
        if is_due {
            self.next_log = self.next_log + self.next_log;
        }
        is_due
    }
}

/// The current wait of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wait {
    /// Why the step waits.
    pub reason: WaitReason,
    /// When the step began to wait for this reason, and when the wait is logged next.
    pub timer: WaitLogTimer,
}

impl Cell {
    /// Why tasks of a step still wait after placement; `candidates` are the workers that could have
    /// been chosen.
    pub(in crate::cell) fn wait_reason(
        &self,
        now: Millis,
        key: StepKey,
        candidates: &[Candidate],
    ) -> Option<WaitReason> {
        let job = self.jobs.get(&key.job)?;
        let step = job.step(key)?;
        let clearances = &step.clearances;
        let spec = job.spec(key.step)?;
        let has_suitable = || self.has_suitable_worker(job, spec);
        let is_held_back = |index: &u32| {
            let task = step.tasks.get(*index as usize);
            task.is_some_and(|task| restart_policy::is_held_back(spec, &task.crashes))
        };
        Some(match () {
            () if step.waiting.is_empty() => return None,
            () if step.waiting.iter().all(is_held_back) => WaitReason::Crashes,
            () if !candidates.is_empty() => WaitReason::Room,
            () if clearances.request_pending => WaitReason::Advice,
            () if !has_suitable() => WaitReason::TooLarge,
            () if job.queue.advice.is_none() => WaitReason::NoWorker,
            () if clearances.cleared.is_empty() => WaitReason::NoneCleared,
            () if clearances.has_any_ticket(now) => WaitReason::NoWorker,
            () => WaitReason::Room,
        })
    }

    /// The steps that wait for a worker, and why.
    pub fn waiting_steps(&self) -> impl Iterator<Item = (StepKey, WaitReason)> {
        self.ready_steps.iter().filter_map(|key| {
            let wait = self.jobs.get(&key.job)?.step(key)?.wait?;
            Some((key, wait.reason))
        })
    }

    /// Sets why a step waits. If the reason changed, logs how long the step waited for the previous
    /// one.
    pub(in crate::cell) fn set_wait_reason(
        &mut self,
        now: Millis,
        key: StepKey,
        reason: Option<WaitReason>,
    ) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let queue = job.queue.name.clone();
        let is_long_running = job.spec(key.step).is_some_and(|spec| spec.long_running);
        let Some(step) = job.step_mut(key) else { return };
        if is_long_running {
            step.mark_idle(now);
        }
        step.idle_since = reason.and(step.idle_since.or(Some(now)));
        let before = step.wait;
        if before.map(|wait| wait.reason) == reason {
            return self.log_long_wait(now, key);
        }
        step.wait =
            reason.map(|reason| Wait { reason, timer: WaitLogTimer::new(now, FIRST_LOG_DELAY) });
        let Some(Wait { reason: previous, timer }) = before else { return };
        let next = reason.map_or("none", WaitReason::name);
        log::info!(
            "event=waited step={key} queue={queue} for={} ms={} next={next} tasks={}",
            previous.name(),
            now.since(timer.since),
            step.waiting.len()
        );
    }

    /// Logs a wait that goes on for long, with the state of its clearances: whether the advice
    /// service was ever asked, is being asked, or has answered without naming a worker that can be
    /// used.
    fn log_long_wait(&mut self, now: Millis, key: StepKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let queue = job.queue.name.clone();
        let Some(step) = job.step_mut(key) else { return };
        let Some(wait) = step.wait.as_mut() else { return };
        if !wait.timer.is_due(now) {
            return;
        }
        let (reason, since) = (wait.reason.name(), wait.timer.since);
        let clearances = &step.clearances;
        let tickets = clearances.ticket_holders(now).count();
        let request = match clearances.request_pending {
            true => {
                self.advice_queue.client_of(key).map_or("queued".to_string(), ToString::to_string)
            }
            false => "none".to_string(),
        };
        log::info!(
            "event=waiting step={key} queue={queue} for={reason} ms={} tasks={} question={request} \
             cleared={} denied={} tickets={tickets}",
            now.since(since),
            step.waiting.len(),
            clearances.cleared.len(),
            clearances.denied.len()
        );
    }
}
