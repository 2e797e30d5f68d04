//! Selects the workers of a request so that its tickets can be used. The service's time is lost on
//! tickets that expire while the workers that they are for stay full.

use crate::cell::Cell;
use crate::cell::advice::request::{
    MAX_REQUEST_WORKERS, MIN_RENEWED_WORKERS, MIN_TICKET_VALIDITY, WORKERS_PER_CLEARANCE,
    balanced_size, request_cost,
};
use crate::cell::jobs::job::{Clearances, Job};
use crate::cell::placing::candidate::Candidate;
use crate::clock::Millis;
use crate::workload::{AdviceConfig, Step, StepKey};
use std::cmp::Reverse;

/// A step whose cleared workers are full asks about further ones after this many times the duration
/// of such a request: its cleared workers often have capacity again before that, without a request
/// of full size.
const WIDENING_COSTS: u64 = 4;
/// The longest time after which a step asks about further workers. With the wait for an entry this
/// stays below the 3 s that a step beside free workers may wait.
const MAX_WIDENING_DELAY: Millis = Millis(1_000);

/// A step whose request is decided on.
pub(super) struct Asking<'a> {
    pub key: StepKey,
    pub job: &'a Job,
    pub spec: &'a Step,
    pub advice: AdviceConfig,
    pub clearances: &'a Clearances,
    /// The number of tasks that wait and may start.
    pub remaining: usize,
}

impl Asking<'_> {
    /// The number of workers to name if it is not known which of them are cleared.
    fn first_size(&self) -> usize {
        let needed = self.remaining * WORKERS_PER_CLEARANCE;
        needed.max(balanced_size(self.advice)).min(MAX_REQUEST_WORKERS)
    }

    /// Whether workers may be asked about that were not asked about before.
    fn may_widen(&self, now: Millis) -> bool {
        let cost = request_cost(self.advice, self.first_size());
        let delay = Millis(cost.0 * WIDENING_COSTS).min(MAX_WIDENING_DELAY);
        let since = self.clearances.withheld_since;
        self.clearances.cleared.is_empty() || since.is_some_and(|since| now.since(since) >= delay)
    }

    /// Whether a worker has a ticket that can still be used.
    fn has_ticket(&self, now: Millis, candidate: &Candidate) -> bool {
        self.clearances.has_ticket_for(&candidate.name, now + MIN_TICKET_VALIDITY)
    }
}

impl Cell {
    /// Selects the workers for the next request of a step; none if its tickets could not be used.
    pub(super) fn select_usable_workers(&self, now: Millis, asking: &Asking) -> Vec<Candidate> {
        let open = self.open_candidates(now, asking.key, asking.job, asking.spec).into_iter();
        let (cleared, others): (Vec<Candidate>, Vec<Candidate>) = open
            .filter(|candidate| !asking.clearances.denied.contains(&candidate.name))
            .partition(|candidate| asking.clearances.cleared.contains_key(&candidate.name));
        let known = match asking.spec.is_gang {
            true => self.select_renewed_for_gang(now, asking, cleared.clone()),
            false => self.select_renewed(now, asking, cleared.clone()),
        };
        if !known.is_empty() {
            return known;
        }
        let needed = if asking.spec.is_gang { asking.remaining } else { 1 };
        let all: Vec<&Candidate> = match asking.spec.is_gang {
            true => cleared.iter().chain(&others).collect(),
            false => others.iter().collect(),
        };
        let has_capacity = self.has_capacity_for(asking, all, needed);
        let is_early = asking.clearances.has_no_answer() && self.advice_queue.has_spare_client();
        if !(is_early || has_capacity && asking.may_widen(now)) {
            return Vec::new();
        }
        let mut selected = others;
        self.sort_by_room(asking, &mut selected);
        selected.truncate(asking.first_size());
        selected
    }

    /// Selects cleared workers without a valid ticket, one for each waiting task, if one of them has
    /// capacity. More capacity is freed on the others while the tickets are valid, and each of them
    /// adds little to the duration of the request.
    fn select_renewed(
        &self,
        now: Millis,
        asking: &Asking,
        mut cleared: Vec<Candidate>,
    ) -> Vec<Candidate> {
        cleared.retain(|candidate| !asking.has_ticket(now, candidate));
        if !cleared.iter().any(|candidate| self.count_usable(asking, candidate) > 0) {
            return Vec::new();
        }
        self.sort_by_room(asking, &mut cleared);
        cleared.truncate(asking.remaining.min(MAX_REQUEST_WORKERS));
        cleared
    }

    /// Selects cleared workers that have capacity for all tasks of a gang, half of it at least not only
    /// reserved, unless all of them have valid tickets. Tickets that are valid now are renewed with the others: all have to be valid
    /// when the gang starts.
    fn select_renewed_for_gang(
        &self,
        now: Millis,
        asking: &Asking,
        cleared: Vec<Candidate>,
    ) -> Vec<Candidate> {
        let counted = cleared.into_iter().map(|candidate| {
            let usable = self.count_usable(asking, &candidate);
            (usable, candidate)
        });
        let mut counted: Vec<_> = counted.filter(|(usable, _)| *usable > 0).collect();
        counted.sort_by_key(|(usable, _)| Reverse(*usable));
        let (mut selected, mut room) = (Vec::new(), 0);
        for (usable, candidate) in counted.into_iter().take(MAX_REQUEST_WORKERS) {
            // The margin is for workers that fill up before the answer arrives.
            if room >= asking.remaining + MIN_RENEWED_WORKERS {
                break;
            }
            room += usable;
            selected.push(candidate);
        }
        let is_ticketed = |candidate: &Candidate| asking.has_ticket(now, candidate);
        let available: usize =
            selected.iter().map(|candidate| self.count_available(asking, candidate)).sum();
        // A reservation is made before any of its capacity is free, which may take longer than the
        // tickets are valid.
        let is_far =
            available * 2 < asking.remaining && !self.reservations.has_exclusive(asking.key);
        match room < asking.remaining || is_far || selected.iter().all(is_ticketed) {
            true => Vec::new(),
            false => selected,
        }
    }

    /// Whether workers have capacity for this many tasks together.
    fn has_capacity_for(&self, asking: &Asking, workers: Vec<&Candidate>, needed: usize) -> bool {
        let mut missing = needed;
        for candidate in workers {
            missing = missing.saturating_sub(self.count_usable(asking, candidate));
            if missing == 0 {
                return true;
            }
        }
        false
    }

    /// The number of a step's tasks for which a worker has capacity: free, reserved for the step, or
    /// occupied by runs that can be stopped for it.
    fn count_usable(&self, asking: &Asking, candidate: &Candidate) -> usize {
        let reserved = self.reservations.reserved_at(&candidate.name, asking.key);
        let as_reserved = Candidate { free: reserved, ..candidate.clone() };
        let fitting = as_reserved.count_fitting(asking.spec, &asking.spec.charged_resources());
        fitting.max(self.count_available(asking, candidate))
    }

    /// As [`Self::count_usable`], without capacity that is only reserved.
    fn count_available(&self, asking: &Asking, candidate: &Candidate) -> usize {
        let Asking { job, spec, .. } = *asking;
        let after_stops = match self.is_overloaded {
            // An overloaded owner stops no runs.
            true => candidate.clone(),
            false => self.after_preemption(candidate, job.priority()),
        };
        after_stops.count_fitting(spec, &spec.charged_resources())
    }

    /// Sorts workers by where a step's tasks can start, the best first.
    fn sort_by_room(&self, asking: &Asking, workers: &mut [Candidate]) {
        let Asking { job, spec, .. } = *asking;
        let charge = spec.charged_resources();
        workers.sort_by_cached_key(|candidate| {
            let expected = self.advice_queue.expected_use(&candidate.name);
            let free = candidate.free.saturating_sub(&expected);
            let has_room = candidate.is_below_limit(spec) && free.can_fit(&charge);
            let is_usable = has_room || self.count_usable(asking, candidate) > 0;
            let is_remote = job.home_domain.as_ref().is_some_and(|home| candidate.domain != *home);
            let order = (!has_room, !is_usable, candidate.speed_order, is_remote);
            (order, Reverse(free.cpu))
        });
    }

    /// Notes that a step waits without a request, and logs it once for each wait.
    pub(super) fn withhold_advice(&mut self, now: Millis, key: StepKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let is_gang = job.spec(key.step).is_some_and(|spec| spec.is_gang);
        let Some(step) = job.step_mut(key) else { return };
        let clearances = &mut step.clearances;
        clearances.queued_since = None;
        if clearances.withheld_since.is_some() {
            return;
        }
        clearances.withheld_since = Some(now);
        let why = match () {
            () if clearances.has_no_answer() => "first-request",
            () if is_gang => "gang-capacity",
            () => "capacity",
        };
        log::info!("event=advice-withheld step={key} why={why}");
    }
}
