//! What the advice service is asked, and what its answers mean for placing.

use crate::cell::advice::queue::AdviceRequest;
use crate::cell::jobs::job::{Job, Ticket};
use crate::cell::jobs::life::rank;
use crate::cell::mechanism::Mechanism;
use crate::cell::placing::place::Fit;
use crate::cell::{Action, Cell};
use crate::clock::Millis;
use crate::id::Name;
use crate::order::Cleared;
use crate::workload::{Advice, Step, StepKey};
use std::collections::BTreeSet;

/// A ticket is used only if it holds this much longer: an order takes a few milliseconds, and a
/// busy owner some tens.
pub(in crate::cell) const MIN_TICKET_VALIDITY: Millis = Millis(250);
/// The most workers that one request may name, by the platform's contract.
const MAX_REQUEST_WORKERS: usize = 100;
/// The share of workers that is assumed to be cleared when deciding how many to name: one in two.
const WORKERS_PER_CLEARANCE: usize = 2;
/// The shortest wait before a step is asked about again for want of room, so that steps that wait
/// for room do not use up the advice service.
const REQUEST_INTERVAL: Millis = Millis(250);
/// A request about workers known to be cleared names so many at least: some fill up meanwhile.
const MIN_RENEWED_WORKERS: usize = 4;

impl Cell {
    /// Has the advice service asked about a step whose tasks found no cleared worker with room.
    pub(in crate::cell) fn request_advice(
        &mut self,
        now: Millis,
        key: StepKey,
        spec: &Step,
        advice: Advice,
        remaining: usize,
    ) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        let Some(step) = job.step(key) else { return };
        let advised = &step.advised;
        if advised.asking || now < advised.again {
            return;
        }
        let workers = self.select_workers(now, key, job, spec, remaining);
        if workers.is_empty() {
            return;
        }
        let cost = Millis(advice.base.0 + advice.each * workers.len() as u64 / 1_000);
        let request = AdviceRequest { step: key, workers, cost, rank: rank(job) };
        self.advice_queue.push(request);
        if let Some(step) = self.jobs.get_mut(&key.job).and_then(|job| job.step_mut(key)) {
            (step.advised.asking, step.advised.since) = (true, now);
        }
    }

    /// The workers that the next request about a step names: those known to be cleared that have
    /// room but no ticket that holds; if there are none, those never asked about, ones with room
    /// first; if none of them has room, those known to be cleared where tasks can be stopped. Asking about busy
    /// workers at once too, and again only about known good ones, leaves the service's time to other steps.
    fn select_workers(
        &self,
        now: Millis,
        key: StepKey,
        job: &Job,
        spec: &Step,
        remaining: usize,
    ) -> Vec<Name> {
        let (Some(step), Some(advice)) = (job.step(key), job.queue.advice) else {
            return Vec::new();
        };
        let charge = spec.charge();
        let advised = &step.advised;
        let names_busy = !self.config.disabled.contains(Mechanism::RequestBusyWorkers);
        let open = self.open(now, key, job, spec).into_iter();
        let asked = |fit: &Fit| {
            advised.denied.contains(&fit.name)
                || advised.holds(&fit.name, now + MIN_TICKET_VALIDITY)
        };
        let (known, unknown): (Vec<Fit>, Vec<Fit>) = open
            .filter(|fit| !asked(fit) && (names_busy || fit.holds(spec, &charge)))
            .partition(|fit| advised.cleared.contains_key(&fit.name));
        if spec.gang
            && let Some(named) = self.select_gang_workers(now, key, spec, remaining)
        {
            return named;
        }
        let has_room = |fit: &Fit| fit.holds(spec, &charge);
        let could_hold = |fit: &Fit| self.could_hold(fit, job.priority(), spec);
        let known: Vec<Fit> = known.into_iter().filter(could_hold).collect();
        let again = remaining.max(MIN_RENEWED_WORKERS);
        let anew = (remaining * WORKERS_PER_CLEARANCE).max(balanced_size(advice));
        let suffices = |known: &[Fit]| !spec.gang && known.iter().any(has_room);
        let (mut named, most) = match () {
            () if suffices(&known) => (known, again),
            () if unknown.iter().any(has_room) || advised.is_new() => (unknown, anew),
            // Asking again would be of no use: their room does not hold the gang.
            () if spec.gang && known.iter().all(has_room) => (Vec::new(), 0),
            // Room can be made at some of them.
            () => (known, again),
        };
        named.sort_by_cached_key(|fit| {
            let away = job.home.as_ref().is_some_and(|home| fit.domain != *home);
            (!fit.holds(spec, &charge), away, std::cmp::Reverse(fit.free.cpu))
        });
        named.into_iter().take(most.min(MAX_REQUEST_WORKERS)).map(|fit| fit.name).collect()
    }

    /// The workers known to be cleared for a gang, if they have room for all of it: all tasks start
    /// together, so all tickets have to hold together. Were only those named whose tickets have
    /// run out, the tickets of others would run out meanwhile.
    fn select_gang_workers(
        &self,
        now: Millis,
        key: StepKey,
        spec: &Step,
        remaining: usize,
    ) -> Option<Vec<Name>> {
        let charge = spec.charge();
        let mut fits = self.known_good(now, key, spec);
        fits.retain(|fit| fit.holds(spec, &charge));
        fits.sort_by_cached_key(|fit| std::cmp::Reverse(fit.count(spec, &charge)));
        let mut named = Vec::new();
        let mut room = 0;
        for fit in fits.into_iter().take(MAX_REQUEST_WORKERS) {
            // Some fill up before the answer is there.
            if room >= remaining + MIN_RENEWED_WORKERS {
                break;
            }
            room += fit.count(spec, &charge);
            named.push(fit.name);
        }
        (room >= remaining).then_some(named)
    }

    /// Hands waiting questions to entries that can ask them.
    pub(in crate::cell) fn assign_requests(&mut self, now: Millis) {
        while let Some((entry, request)) = self.advice_queue.assign_next(now) {
            let job = self.jobs.get(&request.step.job);
            let since = job.and_then(|job| job.step(request.step)).map(|step| step.advised.since);
            log::info!(
                "event=advice-requested step={} entry={entry} workers={} cost_ms={} queued_ms={}",
                request.step,
                request.workers.len(),
                request.cost,
                now.since(since.unwrap_or(now))
            );
            self.actions.push(Action::RequestAdvice { entry, request });
        }
    }

    /// The advice service answered an entry, or `None`: it did not.
    pub fn handle_advice(
        &mut self,
        now: Millis,
        entry: &Name,
        key: StepKey,
        named: &[Name],
        answer: Option<Cleared>,
    ) {
        self.advice_queue.complete(entry, key);
        match answer {
            Some(cleared) => self.apply_advice(now, key, named, cleared),
            None => self.return_request(key, entry, "no-answer"),
        }
        self.needs_placement = true;
    }

    fn apply_advice(&mut self, now: Millis, key: StepKey, named: &[Name], cleared: Cleared) {
        let Some(job) = self.jobs.get_mut(&key.job).filter(|job| job.is_open()) else { return };
        let usual = job.queue.advice.map(|advice| advice.valid).unwrap_or_default();
        let until = now + cleared.valid.unwrap_or(usual);
        let Some(step) = job.step_mut(key) else { return };
        // The answer may be about the life before.
        let workers = &self.workers;
        let since = step.advised.since;
        let is_same =
            |name: &Name| workers.get(name).is_some_and(|worker| worker.restarted <= since);
        log::info!(
            "event=advice-received step={key} named={} cleared={}",
            named.len(),
            cleared.rows.len()
        );
        let advised = &mut step.advised;
        advised.asking = false;
        advised.again = now + REQUEST_INTERVAL;
        let good: BTreeSet<Name> = cleared.rows.iter().map(|(name, _)| name.clone()).collect();
        let denied = named.iter().filter(|name| !good.contains(*name) && is_same(name));
        advised.denied.extend(denied.cloned());
        for (name, text) in cleared.rows.into_iter().filter(|(name, _)| is_same(name)) {
            advised.cleared.insert(name, Ticket { text, until });
        }
        if good.is_empty() {
            // All were denied: others are asked about at once.
            advised.again = now;
        }
    }

    /// A request got no answer from an entry: it may be asked again.
    pub(in crate::cell) fn return_request(&mut self, key: StepKey, entry: &Name, why: &str) {
        log::info!("event=advice-request-returned step={key} entry={entry} why={why}");
        self.clear_request(key);
    }

    /// A step has no request under way any more.
    pub(in crate::cell) fn clear_request(&mut self, key: StepKey) {
        let step = self.jobs.get_mut(&key.job).and_then(|job| job.step_mut(key));
        if let Some(step) = step {
            step.advised.asking = false;
            self.needs_placement = true;
        }
    }

    /// A worker did not take a ticket.
    pub(in crate::cell) fn invalidate_ticket(&mut self, key: StepKey, name: &Name) {
        let step = self.jobs.get_mut(&key.job).and_then(|job| job.step_mut(key));
        if let Some(ticket) = step.and_then(|step| step.advised.cleared.get_mut(name)) {
            ticket.until = Millis(0);
        }
    }

    /// Tickets run out and pauses end: steps that wait are looked at again.
    pub(in crate::cell) fn expire_requests(&mut self, now: Millis) {
        // A step whose answer was lost on its way was never asked about again.
        for step in self.advice_queue.take_overdue(now) {
            let job = self.jobs.get(&step.job);
            let since = job.and_then(|job| job.step(step)).map(|state| state.advised.since);
            log::info!(
                "event=wait-expired step={step} queue={} for=lost-answer ms={}",
                job.map(|job| &*job.queue.name).unwrap_or_default(),
                now.since(since.unwrap_or(now))
            );
            self.expired_waits += 1;
            self.clear_request(step);
        }
        self.needs_placement = self.needs_placement || !self.ready_steps.is_empty();
    }
}

/// How many workers a request names so that naming them takes half as long as asking at all.
fn balanced_size(advice: Advice) -> usize {
    match advice.each {
        0 => MAX_REQUEST_WORKERS,
        each => (advice.base.0 * 1_000 / each / 2) as usize,
    }
}
