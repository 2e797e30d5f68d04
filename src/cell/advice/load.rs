//! How busy the cell's share of the advice service is, and whether its answers lead to starts: for
//! metrics and for a log line while requests wait.

use crate::cell::Cell;
use crate::clock::Millis;
use crate::workload::StepKey;

/// The time between two log lines about the queue of requests.
const LOG_INTERVAL: Millis = Millis(1_000);
/// The shortest wait that is logged. Shorter ones leave a step most of the 3 s that it may wait.
const MIN_LOGGED_WAIT: Millis = Millis(1_000);

/// The state of the queue of requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AdviceLoad {
    /// The entries that can send requests.
    pub clients: usize,
    /// The entries that wait for an answer.
    pub busy: usize,
    /// The requests that wait for an entry.
    pub queued: usize,
    /// How long the oldest of these has waited.
    pub oldest: Millis,
}

/// Counts of answers since the takeover.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// Answers after which a task of the step was assigned to a worker.
    pub used: u64,
    /// Answers after which none was, because the cleared workers had no room or none was cleared.
    pub fruitless: u64,
}

impl Cell {
    /// The state of the queue of requests.
    pub fn advice_load(&self, now: Millis) -> AdviceLoad {
        self.advice_queue.load(now)
    }

    /// Logs the state of the queue from time to time while a request waits for long.
    pub(in crate::cell) fn log_advice_load(&mut self, now: Millis) {
        let load = self.advice_load(now);
        let is_due = now.since(self.advice_logged_at) >= LOG_INTERVAL;
        if load.oldest < MIN_LOGGED_WAIT || !is_due {
            return;
        }
        self.advice_logged_at = now;
        log::info!(
            "event=advice-queue epoch={} clients={} busy={} queued={} oldest_ms={} used={} fruitless={}",
            self.epoch,
            load.clients,
            load.busy,
            load.queued,
            load.oldest,
            self.answer_counts.used,
            self.answer_counts.fruitless
        );
    }

    /// Counts an answer by what the first look at its step after it has led to: `starts` of its
    /// tasks were decided.
    pub(in crate::cell) fn count_answer(&mut self, key: StepKey, starts: u64) {
        let Some(step) = self.jobs.get_mut(&key.job).and_then(|job| job.step_mut(key)) else {
            return;
        };
        if !std::mem::take(&mut step.clearances.answer_new) {
            return;
        }
        match starts {
            0 => self.answer_counts.fruitless += 1,
            _ => self.answer_counts.used += 1,
        }
        log::info!(
            "event=advice-applied step={key} starts={starts} waiting={} cleared={} denied={}",
            step.waiting.len(),
            step.clearances.cleared.len(),
            step.clearances.denied.len()
        );
    }
}
