//! Why a step waits: one line in the log whenever the reason changes.

use crate::cell::Cell;
use crate::cell::jobs::job::Job;
use crate::cell::jobs::stage::is_paused;
use crate::cell::jobs::why::Why;
use crate::cell::placing::place::{Fit, is_suitable};
use crate::clock::Millis;
use crate::workload::StepKey;

/// A step that waits for the same reason is logged after so long.
const LONG_WAIT: Millis = Millis(2_000);

/// A wait that is logged while it goes on, each time that its length has doubled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LongWait {
    /// Since when.
    pub since: Millis,
    /// How long the wait will have been when it is logged next.
    next: Millis,
}

impl LongWait {
    /// A wait that is first logged after so long.
    pub fn new(since: Millis, first: Millis) -> Self {
        Self { since, next: first }
    }

    /// Whether the wait is to be logged now.
    pub fn is_due(&mut self, now: Millis) -> bool {
        let is_due = now.since(self.since) >= self.next;
        if is_due {
            self.next = self.next + self.next;
        }
        is_due
    }
}

/// Why a step waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wait {
    /// The reason.
    pub why: Why,
    /// For how long.
    pub length: LongWait,
}

impl Cell {
    /// Why a step waits whose tasks found no worker among `fits`.
    pub(in crate::cell) fn why(&self, now: Millis, key: StepKey, fits: &[Fit]) -> Option<Why> {
        let job = self.jobs.get(&key.job)?;
        let step = job.step(key)?;
        let advised = &step.advised;
        let is_held = |index: &u32| {
            step.tasks.get(*index as usize).is_some_and(|task| is_paused(&task.crashes))
        };
        Some(match () {
            () if step.waiting.is_empty() => return None,
            () if step.waiting.iter().all(is_held) => Why::Crashes,
            () if !fits.is_empty() => Why::Room,
            () if advised.asking => Why::Advice,
            () if !self.has_large(job, key) => Why::TooLarge,
            () if job.queue.advice.is_none() => Why::NoWorker,
            () if advised.cleared.is_empty() => Why::NoneCleared,
            () if advised.has_ticket(now) => Why::NoWorker,
            () => Why::Room,
        })
    }

    /// The steps that wait for a worker, and for what.
    pub fn waiting(&self) -> impl Iterator<Item = (StepKey, Why)> {
        self.ready_steps.iter().filter_map(|(_, _, key)| {
            let wait = self.jobs.get(&key.job)?.step(*key)?.wait?;
            Some((*key, wait.why))
        })
    }

    /// Whether a worker would be large enough for a task of a step if nothing else ran there.
    fn has_large(&self, job: &Job, key: StepKey) -> bool {
        let Some(spec) = job.spec(key.step) else { return true };
        self.workers.values().any(|worker| is_suitable(worker, &job.queue.service, spec))
    }

    /// Notes why a step waits, and logs how long it waited for what it waited for before.
    pub(in crate::cell) fn note_wait(&mut self, now: Millis, key: StepKey, why: Option<Why>) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let queue = job.queue.name.clone();
        let is_lasting = job.spec(key.step).is_some_and(|spec| spec.lasting);
        let Some(step) = job.step_mut(key) else { return };
        if is_lasting {
            step.note_idle(now);
        }
        step.idle_since = why.and(step.idle_since.or(Some(now)));
        let before = step.wait;
        if before.map(|wait| wait.why) == why {
            return self.log_long_wait(now, key);
        }
        step.wait = why.map(|why| Wait { why, length: LongWait::new(now, LONG_WAIT) });
        let Some(Wait { why: was, length }) = before else { return };
        let next = why.map_or("none", Why::name);
        log::info!(
            "event=waited step={key} queue={queue} for={} ms={} next={next} tasks={}",
            was.name(),
            now.since(length.since),
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
        if !wait.length.is_due(now) {
            return;
        }
        let (why, since) = (wait.why.name(), wait.length.since);
        let advised = &step.advised;
        let tickets = advised.tickets(now).count();
        let asking = match advised.asking {
            true => {
                self.advice_queue.client_of(key).map_or("queued".to_string(), ToString::to_string)
            }
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
