//! Requests to the advice service for steps that need workers, and the handling of its answers.

use crate::cell::advice::clearances::Ticket;
use crate::cell::advice::queue::{AdviceRequest, IdleClient, QueuedStep};
use crate::cell::jobs::job::Job;
use crate::cell::mechanism::Mechanism;
use crate::cell::placing::candidate::Candidate;
use crate::cell::{Action, Cell};
use crate::clock::Millis;
use crate::id::Name;
use crate::order::{AdviceAge, ClearedWorkers};
use crate::visits;
use crate::workload::{AdviceConfig, Resources, Step, StepKey};
use std::collections::BTreeSet;

/// The remaining validity that a ticket needs to be used. An order takes a few milliseconds, and
/// some tens of milliseconds if the owner is busy.
pub(in crate::cell) const MIN_TICKET_VALIDITY: Millis = Millis(250);
/// The largest number of workers in one request, by the platform's contract.
const MAX_REQUEST_WORKERS: usize = 100;
/// The number of workers to ask about for each one needed, as one in two is assumed to be cleared.
const WORKERS_PER_CLEARANCE: usize = 2;
/// The shortest time between two requests for a step, so that steps that wait for room do not use
/// up the capacity of the advice service.
const REQUEST_INTERVAL: Millis = Millis(250);
/// The smallest number of cleared workers to request new tickets for, because some of them fill up
/// before the answer arrives.
const MIN_RENEWED_WORKERS: usize = 4;
/// The most steps without room that are looked at before a request is sent all the same. Each look
/// goes through all workers.
const MAX_FULL_STEPS: usize = 2;
/// The number of visits after which no further request is assigned in the same pass.
const MAX_ASSIGN_VISITS: u64 = 500_000;

/// The resources that a step without room needs of a worker.
#[derive(Debug)]
struct FullStep {
    queue: Name,
    label: Name,
    charge: Resources,
}

impl FullStep {
    /// Whether a worker with room for this step has room for another one as well.
    fn needs_no_less_than(&self, other: &Self) -> bool {
        self.queue == other.queue && self.label == other.label && self.charge.can_fit(&other.charge)
    }
}

impl Cell {
    /// Queues a request for a step whose tasks found no cleared worker with room.
    pub(in crate::cell) fn request_advice(
        &mut self,
        now: Millis,
        key: StepKey,
        spec: &Step,
        advice: AdviceConfig,
        remaining: usize,
    ) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        let Some(step) = job.step(key) else { return };
        let clearances = &step.clearances;
        if clearances.request_pending || now < clearances.retry_at {
            return;
        }
        let selected = self.select_workers(now, key, job, spec, remaining);
        if selected.is_empty() {
            return;
        }
        let cost = request_cost(advice, selected.len());
        let queued = QueuedStep {
            step: key,
            queue: job.queue.name.clone(),
            cost,
            rank: job.rank(),
            queued_at: clearances.queued_since.unwrap_or(now),
        };
        let request = match self.advice_queue.is_empty() {
            true => self.to_request(key, job, spec, advice, selected),
            false => None,
        };
        if let Some(step) = self.jobs.get_mut(&key.job).and_then(|job| job.step_mut(key)) {
            (step.clearances.request_pending, step.clearances.requested_at) = (true, now);
            step.clearances.queued_since.get_or_insert(now);
        }
        match (request, self.advice_queue.idle_client(now)) {
            (Some(request), Some(client)) if request.has_room && client.may_take(cost) => {
                self.send_request(now, &client, request, queued.queued_at);
            }
            _ => self.advice_queue.push(queued),
        }
    }

    /// Creates the request for a step as it is now. Returns `None` if there is no worker to ask
    /// about any more.
    fn build_request(&self, now: Millis, key: StepKey) -> Option<AdviceRequest> {
        let job = self.jobs.get(&key.job)?;
        let (advice, spec) = (job.queue.advice?, job.spec(key.step)?);
        let remaining = self.allowed_tasks(key);
        let selected = self.select_workers(now, key, job, spec, remaining);
        self.to_request(key, job, spec, advice, selected)
    }

    /// Creates the request for a step that names these workers, if there are any.
    fn to_request(
        &self,
        key: StepKey,
        job: &Job,
        spec: &Step,
        advice: AdviceConfig,
        selected: Vec<Candidate>,
    ) -> Option<AdviceRequest> {
        if selected.is_empty() {
            return None;
        }
        let charge = spec.charged_resources();
        let has_room = selected.iter().any(|candidate| candidate.has_room(spec, &charge));
        let can_make_room = |candidate| self.fits_after_preemption(candidate, job.priority(), spec);
        let has_room = has_room || selected.iter().any(can_make_room);
        let cost = request_cost(advice, selected.len());
        let workers = selected.into_iter().map(|candidate| candidate.name).collect();
        Some(AdviceRequest { step: key, workers, cost, has_room })
    }

    /// Selects the workers for the next request of a step. These are cleared workers that have room
    /// but no valid ticket. If there are none, they are workers that were never asked about, those
    /// with room first. If none of these has room, they are cleared workers on which room can be
    /// made by stopping tasks. The first request includes busy workers, and later ones prefer
    /// cleared workers, which leaves more of the service's time to other steps. Workers that other
    /// requests in progress name come later by what these are expected to take.
    fn select_workers(
        &self,
        now: Millis,
        key: StepKey,
        job: &Job,
        spec: &Step,
        remaining: usize,
    ) -> Vec<Candidate> {
        let (Some(step), Some(advice)) = (job.step(key), job.queue.advice) else {
            return Vec::new();
        };
        let charge = spec.charged_resources();
        let clearances = &step.clearances;
        let includes_busy = !self.config.disabled.contains(Mechanism::RequestBusyWorkers);
        let open = self.open_candidates(now, key, job, spec).into_iter();
        let is_answered = |candidate: &Candidate| {
            clearances.denied.contains(&candidate.name)
                || clearances.has_ticket_for(&candidate.name, now + MIN_TICKET_VALIDITY)
        };
        let (known, unknown): (Vec<Candidate>, Vec<Candidate>) = open
            .filter(|candidate| {
                !is_answered(candidate) && (includes_busy || candidate.has_room(spec, &charge))
            })
            .partition(|candidate| clearances.cleared.contains_key(&candidate.name));
        if spec.is_gang
            && let Some(selected) = self.select_gang_workers(now, key, spec, remaining)
        {
            return selected;
        }
        let has_room = |candidate: &Candidate| candidate.has_room(spec, &charge);
        let fits_after_preemption =
            |candidate: &Candidate| self.fits_after_preemption(candidate, job.priority(), spec);
        let known: Vec<Candidate> = known.into_iter().filter(fits_after_preemption).collect();
        let renewed = remaining.max(MIN_RENEWED_WORKERS);
        let asked = (remaining * WORKERS_PER_CLEARANCE).max(balanced_size(advice));
        let suffices = |known: &[Candidate]| !spec.is_gang && known.iter().any(has_room);
        let (mut selected, limit) = match () {
            () if suffices(&known) => (known, renewed),
            () if unknown.iter().any(has_room) || clearances.has_no_answer() => (unknown, asked),
            // New tickets would not help, as these workers do not have room for the whole gang.
            () if spec.is_gang && known.iter().all(has_room) => (Vec::new(), 0),
            // Room can be made on some of them.
            () => (known, renewed),
        };
        selected.sort_by_cached_key(|candidate| {
            let expected = self.advice_queue.expected_use(&candidate.name);
            let free = candidate.free.saturating_sub(&expected);
            let has_room = candidate.is_below_limit(spec) && free.can_fit(&charge);
            let is_remote = job.home_domain.as_ref().is_some_and(|home| candidate.domain != *home);
            let order = (!has_room, candidate.speed_order, is_remote);
            (order, std::cmp::Reverse(free.cpu))
        });
        selected.truncate(limit.min(MAX_REQUEST_WORKERS));
        selected
    }

    /// Selects cleared workers for a gang if they have room for all of it. All tasks of a gang
    /// start together, so their tickets must be valid at the same time. If only expired tickets
    /// were renewed, others would expire in the meantime.
    fn select_gang_workers(
        &self,
        now: Millis,
        key: StepKey,
        spec: &Step,
        remaining: usize,
    ) -> Option<Vec<Candidate>> {
        let charge = spec.charged_resources();
        let mut candidates = self.cleared_candidates(now, key, spec);
        candidates.retain(|candidate| candidate.has_room(spec, &charge));
        candidates.sort_by_cached_key(|candidate| {
            std::cmp::Reverse(candidate.count_fitting(spec, &charge))
        });
        let mut selected = Vec::new();
        let mut room = 0;
        for candidate in candidates.into_iter().take(MAX_REQUEST_WORKERS) {
            // The margin is for workers that fill up before the answer arrives.
            if room >= remaining + MIN_RENEWED_WORKERS {
                break;
            }
            room += candidate.count_fitting(spec, &charge);
            selected.push(candidate);
        }
        (room >= remaining).then_some(selected)
    }

    /// Has idle entries send the requests of queued steps. The next pass goes on where this takes long.
    pub(in crate::cell) fn assign_requests(&mut self, now: Millis) {
        let begun = visits::count();
        while visits::count() - begun < MAX_ASSIGN_VISITS
            && let Some(client) = self.advice_queue.idle_client(now)
            && let Some((queued, request)) = self.next_request(now, &client)
        {
            self.advice_queue.remove(queued.step);
            self.send_request(now, &client, request, queued.queued_at);
        }
    }

    /// The request to send next: that of the first queued step that finds a worker with room, or
    /// else of the first step. The time of the service would be lost on steps that have no room
    /// while others have. Steps that need no less than one that found no room are not looked at.
    fn next_request(
        &mut self,
        now: Millis,
        client: &IdleClient,
    ) -> Option<(QueuedStep, AdviceRequest)> {
        let mut first = None;
        let mut full: Vec<FullStep> = Vec::new();
        let mut turns = self.advice_queue.turns(now);
        while full.len() < MAX_FULL_STEPS
            && let Some(queued) = self.advice_queue.next_in_turn(&mut turns)
        {
            // The workspace may be allowed to start more by the time the next request is sent.
            let is_held = !client.may_take(queued.cost) || self.allowed_tasks(queued.step) == 0;
            if is_held {
                continue;
            }
            let shape = self.full_step(&queued);
            if full.iter().any(|known| shape.needs_no_less_than(known)) {
                continue;
            }
            match self.build_request(now, queued.step) {
                None => self.drop_request(queued.step),
                Some(request) if !client.may_take(request.cost) => {}
                Some(request) if request.has_room => return Some((queued, request)),
                Some(request) => {
                    full.push(shape);
                    first.get_or_insert((queued, request));
                }
            }
        }
        first
    }

    /// How many waiting tasks of a step its workspace may start now. A step without waiting tasks
    /// counts as one, so that it is looked at and dropped.
    fn allowed_tasks(&self, key: StepKey) -> usize {
        let Some(job) = self.jobs.get(&key.job) else { return 1 };
        let (Some(spec), Some(step)) = (job.spec(key.step), job.step(key)) else { return 1 };
        match step.waiting.len() {
            0 => 1,
            waiting => self.allowed_starts(job, spec, waiting),
        }
    }

    /// The resources that a queued step needs of a worker.
    fn full_step(&self, queued: &QueuedStep) -> FullStep {
        let job = self.jobs.get(&queued.step.job);
        let spec = job.and_then(|job| job.spec(queued.step.step));
        FullStep {
            queue: queued.queue.clone(),
            label: spec.map(|spec| spec.required_label.clone()).unwrap_or_default(),
            charge: spec.map(Step::charged_resources).unwrap_or_default(),
        }
    }

    /// Drops the request of a step that has no worker to ask about any more.
    fn drop_request(&mut self, key: StepKey) {
        log::info!("event=advice-request-dropped step={key} why=no-worker");
        self.advice_queue.remove(key);
        if let Some(step) = self.jobs.get_mut(&key.job).and_then(|job| job.step_mut(key)) {
            step.clearances.queued_since = None;
        }
        self.clear_request(key);
    }

    /// Has an entry send a request.
    fn send_request(
        &mut self,
        now: Millis,
        client: &IdleClient,
        request: AdviceRequest,
        queued_at: Millis,
    ) {
        let entry = client.entry.clone();
        log::info!(
            "event=advice-requested step={} entry={entry} workers={} cost_ms={} queued_ms={}",
            request.step,
            request.workers.len(),
            request.cost,
            now.since(queued_at)
        );
        let key = request.step;
        let job = self.jobs.get(&key.job);
        let spec = job.and_then(|job| job.spec(key.step));
        let charge = spec.map(Step::charged_resources).unwrap_or_default();
        let tasks = self.allowed_tasks(key);
        self.advice_queue.start(now, client, &request, (&charge, tasks));
        if let Some(step) = self.jobs.get_mut(&key.job).and_then(|job| job.step_mut(key)) {
            step.clearances.requested_at = now;
        }
        self.actions.push(Action::RequestAdvice { entry, request });
    }

    /// Handles an answer that has just arrived from the advice service; `None` if there was none.
    pub fn handle_advice(
        &mut self,
        now: Millis,
        entry: &Name,
        key: StepKey,
        named: &[Name],
        answer: Option<ClearedWorkers>,
    ) {
        self.handle_aged_advice(now, entry, key, named, answer, AdviceAge::default());
    }

    /// Stores the tickets and denials of an answer in the step that waits for it.
    pub(super) fn apply_advice(
        &mut self,
        now: Millis,
        key: StepKey,
        named: &[Name],
        cleared: ClearedWorkers,
        age: AdviceAge,
    ) {
        let Some(job) = self.jobs.get_mut(&key.job).filter(|job| job.is_open()) else { return };
        let default = job.queue.advice.map(|advice| advice.ticket_validity).unwrap_or_default();
        let expires_at = now + (cleared.valid_for.unwrap_or(default) - age.answer);
        let Some(step) = job.step_mut(key) else { return };
        // Workers that restarted since the request was sent are left out, because the answer may
        // be about their previous process.
        let workers = &self.workers;
        let since = step.clearances.requested_at.min(now - age.request);
        let is_same =
            |name: &Name| workers.get(name).is_some_and(|worker| worker.restarted_at <= since);
        log::info!(
            "event=advice-received step={key} named={} cleared={}",
            named.len(),
            cleared.tickets.len()
        );
        let clearances = &mut step.clearances;
        (clearances.request_pending, clearances.answer_new) = (false, true);
        clearances.queued_since = None;
        clearances.retry_at = now + REQUEST_INTERVAL;
        let allowed: BTreeSet<Name> =
            cleared.tickets.iter().map(|(name, _)| name.clone()).collect();
        let denied = named.iter().filter(|name| !allowed.contains(*name) && is_same(name));
        clearances.denied.extend(denied.cloned());
        for (name, text) in cleared.tickets.into_iter().filter(|(name, _)| is_same(name)) {
            clearances.cleared.insert(name, Ticket { text, expires_at });
        }
        if allowed.is_empty() {
            // All workers were denied, so the next request may follow at once.
            clearances.retry_at = now;
        }
    }

    /// Handles a request for which an entry got no answer, so that it can be repeated.
    pub(in crate::cell) fn return_request(&mut self, key: StepKey, entry: &Name, reason: &str) {
        log::info!("event=advice-request-returned step={key} entry={entry} why={reason}");
        self.clear_request(key);
    }

    /// Records that a step has no request in progress.
    pub(in crate::cell) fn clear_request(&mut self, key: StepKey) {
        let step = self.jobs.get_mut(&key.job).and_then(|job| job.step_mut(key));
        if let Some(step) = step {
            step.clearances.request_pending = false;
            self.needs_placement = true;
        }
    }

    /// Invalidates a ticket that a worker rejected.
    pub(in crate::cell) fn invalidate_ticket(&mut self, key: StepKey, name: &Name) {
        let step = self.jobs.get_mut(&key.job).and_then(|job| job.step_mut(key));
        if let Some(ticket) = step.and_then(|step| step.clearances.cleared.get_mut(name)) {
            ticket.expires_at = Millis(0);
        }
    }

    /// Returns overdue requests, and has waiting steps checked again, as tickets and request
    /// intervals may have expired.
    pub(in crate::cell) fn expire_requests(&mut self, now: Millis) {
        // Without this, a step whose answer was lost would wait forever.
        for step in self.advice_queue.take_overdue(now) {
            let job = self.jobs.get(&step.job);
            let since =
                job.and_then(|job| job.step(step)).map(|state| state.clearances.requested_at);
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

/// The time that the service takes to answer a request.
fn request_cost(advice: AdviceConfig, workers: usize) -> Millis {
    Millis(advice.base_latency.0 + advice.worker_micros * workers as u64 / 1_000)
}

/// The number of workers for which the per-worker time of a request is half of its base time.
fn balanced_size(advice: AdviceConfig) -> usize {
    match advice.worker_micros {
        0 => MAX_REQUEST_WORKERS,
        each => (advice.base_latency.0 * 1_000 / each / 2) as usize,
    }
}
