//! What the advice service is asked, and what its answers mean for placing.

use crate::cell::advising::advice::AdviceRequest;
use crate::cell::jobs::job::{Job, Ticket};
use crate::cell::jobs::lifecycle::queue_rank;
use crate::cell::mechanism::Mechanism;
use crate::cell::placing::candidate::Candidate;
use crate::cell::{Action, Cell};
use crate::clock::Millis;
use crate::id::Name;
use crate::order::ClearedWorkers;
use crate::workload::{AdviceConfig, Step, StepKey};
use std::collections::BTreeSet;

/// A ticket is used only if it holds this much longer: an order takes a few milliseconds, and a
/// busy owner some tens.
pub(in crate::cell) const TICKET_SPARE: Millis = Millis(250);
/// The most workers that one question may name, by the platform's contract.
const MAX_NAMED: usize = 100;
/// The share of workers that is assumed to be cleared when deciding how many to name: one in two.
const CLEARED_SHARE: usize = 2;
/// The shortest wait before a step is asked about again for want of room, so that steps that wait
/// for room do not use up the advice service.
const ASK_AGAIN: Millis = Millis(250);
/// A question about workers known to be cleared names so many at least: some fill up meanwhile.
const LEAST_AGAIN: usize = 4;

impl Cell {
    /// Has the advice service asked about a step whose tasks found no cleared worker with room.
    pub(in crate::cell) fn question(
        &mut self,
        now: Millis,
        key: StepKey,
        spec: &Step,
        advice: AdviceConfig,
        rest: usize,
    ) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        let Some(step) = job.step(key) else { return };
        let advised = &step.clearances;
        if advised.is_asking || now < advised.retry_at {
            return;
        }
        let workers = self.to_name(now, key, job, spec, rest);
        if workers.is_empty() {
            return;
        }
        let cost =
            Millis(advice.base_latency.0 + advice.worker_micros * workers.len() as u64 / 1_000);
        let question = AdviceRequest { step: key, workers, cost, rank: queue_rank(job) };
        self.advice_queue.push(question);
        if let Some(step) = self.jobs.get_mut(&key.job).and_then(|job| job.step_mut(key)) {
            (step.clearances.is_asking, step.clearances.asked_at) = (true, now);
        }
    }

    /// The workers that the next question about a step names: those known to be cleared that have
    /// room but no ticket that holds; if there are none, those never asked about, ones with room
    /// first; if none of them has room, those known to be cleared where tasks can be stopped. Asking about busy
    /// workers at once too, and again only about known good ones, leaves the service's time to other steps.
    fn to_name(&self, now: Millis, key: StepKey, job: &Job, spec: &Step, rest: usize) -> Vec<Name> {
        let (Some(step), Some(advice)) = (job.step(key), job.queue.advice) else {
            return Vec::new();
        };
        let charge = spec.charged_resources();
        let advised = &step.clearances;
        let names_busy = !self.config.disabled.contains(Mechanism::RequestBusyWorkers);
        let open = self.open_candidates(now, key, job, spec).into_iter();
        let asked = |candidate: &Candidate| {
            advised.denied.contains(&candidate.name)
                || advised.has_ticket_for(&candidate.name, now + TICKET_SPARE)
        };
        let (known, unknown): (Vec<Candidate>, Vec<Candidate>) = open
            .filter(|candidate| {
                !asked(candidate) && (names_busy || candidate.has_room(spec, &charge))
            })
            .partition(|candidate| advised.cleared.contains_key(&candidate.name));
        if spec.is_gang
            && let Some(named) = self.to_name_again(now, key, spec, rest)
        {
            return named;
        }
        let has_room = |candidate: &Candidate| candidate.has_room(spec, &charge);
        let fits_after_preemption =
            |candidate: &Candidate| self.fits_after_preemption(candidate, job.priority(), spec);
        let known: Vec<Candidate> = known.into_iter().filter(fits_after_preemption).collect();
        let again = rest.max(LEAST_AGAIN);
        let anew = (rest * CLEARED_SHARE).max(balance(advice));
        let suffices = |known: &[Candidate]| !spec.is_gang && known.iter().any(has_room);
        let (mut named, most) = match () {
            () if suffices(&known) => (known, again),
            () if unknown.iter().any(has_room) || advised.has_no_answer() => (unknown, anew),
            // Asking again would be of no use: their room does not hold the gang.
            () if spec.is_gang && known.iter().all(has_room) => (Vec::new(), 0),
            // Room can be made at some of them.
            () => (known, again),
        };
        named.sort_by_cached_key(|candidate| {
            let away = job.home_domain.as_ref().is_some_and(|home| candidate.domain != *home);
            (!candidate.has_room(spec, &charge), away, std::cmp::Reverse(candidate.free.cpu))
        });
        named.into_iter().take(most.min(MAX_NAMED)).map(|candidate| candidate.name).collect()
    }

    /// The workers known to be cleared for a gang, if they have room for all of it: all tasks start
    /// together, so all tickets have to hold together. Were only those named whose tickets have
    /// run out, the tickets of others would run out meanwhile.
    fn to_name_again(
        &self,
        now: Millis,
        key: StepKey,
        spec: &Step,
        rest: usize,
    ) -> Option<Vec<Name>> {
        let charge = spec.charged_resources();
        let mut candidates = self.cleared_candidates(now, key, spec);
        candidates.retain(|candidate| candidate.has_room(spec, &charge));
        candidates.sort_by_cached_key(|candidate| {
            std::cmp::Reverse(candidate.count_fitting(spec, &charge))
        });
        let mut named = Vec::new();
        let mut room = 0;
        for candidate in candidates.into_iter().take(MAX_NAMED) {
            // Some fill up before the answer is there.
            if room >= rest + LEAST_AGAIN {
                break;
            }
            room += candidate.count_fitting(spec, &charge);
            named.push(candidate.name);
        }
        (room >= rest).then_some(named)
    }

    /// Hands waiting questions to entries that can ask them.
    pub(in crate::cell) fn ask_next(&mut self, now: Millis) {
        while let Some((entry, question)) = self.advice_queue.assign(now) {
            let job = self.jobs.get(&question.step.job);
            let since =
                job.and_then(|job| job.step(question.step)).map(|step| step.clearances.asked_at);
            log::info!(
                "event=question step={} entry={entry} workers={} cost_ms={} queued_ms={}",
                question.step,
                question.workers.len(),
                question.cost,
                now.since(since.unwrap_or(now))
            );
            self.actions.push(Action::RequestAdvice { entry, request: question });
        }
    }

    /// The advice service answered an entry, or `None`: it did not.
    pub fn advised(
        &mut self,
        now: Millis,
        entry: &Name,
        key: StepKey,
        named: &[Name],
        answer: Option<ClearedWorkers>,
    ) {
        self.advice_queue.answered(entry, key);
        match answer {
            Some(cleared) => self.clear(now, key, named, cleared),
            None => self.return_question(key, entry, "no-answer"),
        }
        self.needs_placement = true;
    }

    fn clear(&mut self, now: Millis, key: StepKey, named: &[Name], cleared: ClearedWorkers) {
        let Some(job) = self.jobs.get_mut(&key.job).filter(|job| job.is_open()) else { return };
        let usual = job.queue.advice.map(|advice| advice.ticket_validity).unwrap_or_default();
        let until = now + cleared.valid_for.unwrap_or(usual);
        let Some(step) = job.step_mut(key) else { return };
        // The answer may be about the life before.
        let workers = &self.workers;
        let since = step.clearances.asked_at;
        let is_same =
            |name: &Name| workers.get(name).is_some_and(|worker| worker.restarted <= since);
        log::info!(
            "event=advised step={key} named={} cleared={}",
            named.len(),
            cleared.tickets.len()
        );
        let advised = &mut step.clearances;
        advised.is_asking = false;
        advised.retry_at = now + ASK_AGAIN;
        let good: BTreeSet<Name> = cleared.tickets.iter().map(|(name, _)| name.clone()).collect();
        let denied = named.iter().filter(|name| !good.contains(*name) && is_same(name));
        advised.denied.extend(denied.cloned());
        for (name, text) in cleared.tickets.into_iter().filter(|(name, _)| is_same(name)) {
            advised.cleared.insert(name, Ticket { text, until });
        }
        if good.is_empty() {
            // All were denied: others are asked about at once.
            advised.retry_at = now;
        }
    }

    /// A question got no answer from an entry: it may be asked again.
    pub(in crate::cell) fn return_question(&mut self, key: StepKey, entry: &Name, why: &str) {
        log::info!("event=question-returned step={key} entry={entry} why={why}");
        self.forget_question(key);
    }

    /// A step has no question under way any more.
    pub(in crate::cell) fn forget_question(&mut self, key: StepKey) {
        let step = self.jobs.get_mut(&key.job).and_then(|job| job.step_mut(key));
        if let Some(step) = step {
            step.clearances.is_asking = false;
            self.needs_placement = true;
        }
    }

    /// A worker did not take a ticket.
    pub(in crate::cell) fn drop_ticket(&mut self, key: StepKey, name: &Name) {
        let step = self.jobs.get_mut(&key.job).and_then(|job| job.step_mut(key));
        if let Some(ticket) = step.and_then(|step| step.clearances.cleared.get_mut(name)) {
            ticket.until = Millis(0);
        }
    }

    /// Tickets run out and pauses end: steps that wait are looked at again.
    pub(in crate::cell) fn expire_questions(&mut self, now: Millis) {
        // A step whose answer was lost on its way was never asked about again.
        for step in self.advice_queue.expire(now) {
            let job = self.jobs.get(&step.job);
            let since = job.and_then(|job| job.step(step)).map(|state| state.clearances.asked_at);
            log::info!(
                "event=wait-expired step={step} queue={} for=lost-answer ms={}",
                job.map(|job| &*job.queue.name).unwrap_or_default(),
                now.since(since.unwrap_or(now))
            );
            self.expired_waits += 1;
            self.forget_question(step);
        }
        self.needs_placement = self.needs_placement || !self.ready_steps.is_empty();
    }
}

/// How many workers a question names so that naming them takes half as long as asking at all.
fn balance(advice: AdviceConfig) -> usize {
    match advice.worker_micros {
        0 => MAX_NAMED,
        each => (advice.base_latency.0 * 1_000 / each / 2) as usize,
    }
}
