//! Answers of the advice service that reach an owner that did not ask for them: the entry that asked
//! held them back because its connection to the owner had ended, possibly to an earlier owner.

use crate::cell::Cell;
use crate::cell::advice::clearances::Ticket;
use crate::cell::jobs::job::Job;
use crate::clock::Millis;
use crate::id::Name;
use crate::order::{AdviceAge, ClearedWorkers};
use crate::workload::StepKey;

/// By how much the age of a request may exceed the time since the owner sent it: the owner and the
/// entry round their times to whole milliseconds.
const AGE_ROUNDING: Millis = Millis(2);

impl Cell {
    /// Handles the answer that an entry got from the advice service; `None` if there was none. The
    /// answer may be to a request that this owner never made or has returned to the queue.
    pub fn handle_aged_advice(
        &mut self,
        now: Millis,
        entry: &Name,
        key: StepKey,
        named: &[Name],
        answer: Option<ClearedWorkers>,
        age: AdviceAge,
    ) {
        let is_asked = self.advice_queue.client_of(key).is_some_and(|client| client == entry);
        let step = self.jobs.get(&key.job).and_then(|job| job.step(key));
        let sent_at = now - age.request + AGE_ROUNDING;
        let is_to_request =
            is_asked && step.is_some_and(|step| sent_at >= step.clearances.requested_at);
        // After the answer to an earlier request of the same entry, the later one goes on: a step
        // whose request ended without an answer to it would never be asked about again.
        let is_to_earlier = is_asked && !is_to_request && answer.is_some();
        let is_wanted = is_to_earlier || self.advice_queue.complete(entry, key);
        self.advice_queue.record_outcome(entry, answer.is_none().then_some(now));
        match answer {
            _ if !is_wanted => log::info!("event=advice-unused step={key} entry={entry}"),
            Some(cleared) if is_to_request => self.apply_advice(now, key, named, cleared, age),
            Some(cleared) => self.apply_unasked(now, entry, key, named, cleared, age),
            None if is_asked => self.return_request(key, entry, "no-answer"),
            // Another entry may have the request by now.
            None => log::info!("event=advice-unused step={key} entry={entry} why=not-asked"),
        }
        self.needs_placement = true;
    }

    /// Stores the tickets and denials of an answer that this owner did not wait for.
    ///
    /// The clearance of a step never changes, so the answer is as good as one to a request of this
    /// owner, apart from workers that may have restarted since the request was sent. A ticket for a
    /// previous incarnation is refused by the worker and then renewed. A denial would never be
    /// asked about again, so it counts only if the worker had reported to this owner before.
    fn apply_unasked(
        &mut self,
        now: Millis,
        entry: &Name,
        key: StepKey,
        named: &[Name],
        cleared: ClearedWorkers,
        age: AdviceAge,
    ) {
        let sent_at = now - age.request;
        // A job that was submitted since then may be another one under the same key.
        let is_open =
            |job: &&mut Job| job.is_open() && (job.is_inherited || job.known_since <= sent_at);
        let Some(job) = self.jobs.get_mut(&key.job).filter(is_open) else {
            log::info!("event=advice-unused step={key} entry={entry} why=job-not-open");
            return;
        };
        let default = job.queue.advice.map(|advice| advice.ticket_validity).unwrap_or_default();
        let expires_at = now + (cleared.valid_for.unwrap_or(default) - age.answer);
        let Some(step) = job.step_mut(key) else {
            log::info!("event=advice-unused step={key} entry={entry} why=no-step");
            return;
        };
        log::info!(
            "event=advice-taken-late step={key} entry={entry} named={} cleared={} age_ms={}",
            named.len(),
            cleared.tickets.len(),
            age.answer
        );
        let workers = &self.workers;
        let is_same =
            |name: &Name| workers.get(name).is_some_and(|worker| worker.restarted_at <= sent_at);
        let was_known =
            |name: &Name| workers.get(name).is_some_and(|worker| worker.has_reported_by(sent_at));
        let clearances = &mut step.clearances;
        (clearances.answer_new, clearances.queued_since) = (true, None);
        for name in named {
            let is_cleared = cleared.tickets.iter().any(|(cleared, _)| cleared == name);
            if !is_cleared && is_same(name) && was_known(name) {
                clearances.denied.insert(name.clone());
            }
        }
        for (name, text) in cleared.tickets.into_iter().filter(|(name, _)| is_same(name)) {
            let is_newer = |known: &Ticket| known.expires_at >= expires_at;
            if !clearances.cleared.get(&name).is_some_and(is_newer) {
                clearances.cleared.insert(name, Ticket { text, expires_at });
            }
        }
        // A request that was already sent to another entry goes on; one that only waits is made
        // again if the step still needs it.
        if self.advice_queue.client_of(key).is_none() {
            clearances.request_pending = false;
            self.advice_queue.cancel(key);
        }
    }
}
