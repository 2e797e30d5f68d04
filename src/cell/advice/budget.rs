//! Selects the workers of a request so that its tickets can be used. The service's time is lost on
//! tickets that expire while the workers that they are for stay full.

use crate::cell::Cell;
use crate::cell::advice::cleared_share::ClearedShare;
use crate::cell::advice::request::{
    MAX_REQUEST_WORKERS, MIN_TICKET_VALIDITY, balanced_size, request_cost,
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

/// After this wait, capacity counts as free although other requests are expected to take it: these
/// may keep coming, for steps that need less.
const MAX_CLAIMED_WAIT: Millis = Millis(1_500);

/// A gang renews its tickets for workers with capacity for this many times its tasks: some fill up
/// before the answer arrives, and each of them adds little to the duration of the request.
const GANG_MARGIN: usize = 2;

/// A step whose request is decided on.
pub(super) struct Asking<'a> {
    pub key: StepKey,
    pub job: &'a Job,
    pub spec: &'a Step,
    pub advice: AdviceConfig,
    pub clearances: &'a Clearances,
    /// The number of tasks that wait and may start.
    pub remaining: usize,
    /// The share of workers that was cleared for other steps of the queue.
    pub share: ClearedShare,
}

impl Asking<'_> {
    /// The number of workers to name if it is not known which of them are cleared.
    fn first_size(&self) -> usize {
        let needed = self.share.workers_for(self.remaining);
        needed.max(balanced_size(self.advice)).min(MAX_REQUEST_WORKERS)
    }

    /// Whether workers may be asked about that were not asked about before.
    fn may_widen(&self, now: Millis) -> bool {
        let cost = request_cost(self.advice, self.first_size());
        let delay = Millis(cost.0 * WIDENING_COSTS).min(MAX_WIDENING_DELAY);
        let since = self.clearances.withheld_since;
        self.clearances.cleared.is_empty() || since.is_some_and(|since| now.since(since) >= delay)
    }

    /// Whether free capacity counts although requests in progress are expected to take it.
    fn ignores_claims(&self, now: Millis) -> bool {
        let since = self.clearances.withheld_since;
        since.is_some_and(|since| now.since(since) >= MAX_CLAIMED_WAIT)
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
        let has_capacity = self.has_capacity_beside(now, asking, &cleared, &others);
        let is_early = asking.clearances.has_no_answer() && self.advice_queue.has_spare_client();
        if !(is_early || has_capacity && asking.may_widen(now)) {
            return Vec::new();
        }
        let mut selected = others;
        self.sort_by_room(now, asking, &mut selected);
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
        if !cleared.iter().any(|candidate| self.count_usable(now, asking, candidate) > 0) {
            return Vec::new();
        }
        self.sort_by_room(now, asking, &mut cleared);
        cleared.truncate(asking.remaining.min(MAX_REQUEST_WORKERS));
        cleared
    }

    /// Selects cleared workers that have capacity for all tasks of a gang, half of it at least not only
    /// reserved. Tickets that are valid now are renewed with the others: all have to be valid when the
    /// gang starts. While most of them are, the gang waits for capacity there: another request would
    /// take as long as the first.
    fn select_renewed_for_gang(
        &self,
        now: Millis,
        asking: &Asking,
        cleared: Vec<Candidate>,
    ) -> Vec<Candidate> {
        let counted = cleared.into_iter().map(|candidate| {
            let usable = self.count_usable(now, asking, &candidate);
            (usable, candidate)
        });
        let mut counted: Vec<_> = counted.filter(|(usable, _)| *usable > 0).collect();
        counted.sort_by_key(|(usable, _)| Reverse(*usable));
        let (mut selected, mut room) = (Vec::new(), 0);
        for (usable, candidate) in counted.into_iter().take(MAX_REQUEST_WORKERS) {
            if room >= asking.remaining * GANG_MARGIN {
                break;
            }
            room += usable;
            selected.push(candidate);
        }
        let ticketed =
            selected.iter().filter(|candidate| asking.has_ticket(now, candidate)).count();
        let charge = asking.spec.charged_resources();
        let count_free = |candidate: &Candidate| candidate.count_fitting(asking.spec, &charge);
        let is_free = selected.iter().map(count_free).sum::<usize>() >= asking.remaining;
        let is_ticketed = match is_free {
            true => ticketed == selected.len(),
            false => ticketed * 2 >= selected.len(),
        };
        match room < asking.remaining || is_ticketed || self.is_far(now, asking, &selected) {
            true => Vec::new(),
            false => selected,
        }
    }

    /// Whether most of a gang's capacity is only reserved. A reservation is made before any of its
    /// capacity is free, which may take longer than the tickets are valid.
    fn is_far(&self, now: Millis, asking: &Asking, selected: &[Candidate]) -> bool {
        let available: usize =
            selected.iter().map(|candidate| self.count_available(now, asking, candidate)).sum();
        available * 2 < asking.remaining && !self.reservations.has_exclusive(asking.key)
    }

    /// Whether workers that were not asked about have capacity for a task, or, together with the
    /// cleared ones, for a gang. If the cleared workers suffice once they are idle, only free
    /// capacity counts: runs are stopped on the cleared workers as well.
    fn has_capacity_beside(
        &self,
        now: Millis,
        asking: &Asking,
        cleared: &[Candidate],
        others: &[Candidate],
    ) -> bool {
        let Asking { spec, remaining, .. } = *asking;
        let charge = spec.charged_resources();
        let needed = if spec.is_gang { remaining } else { 1 };
        let idle = |candidate: &Candidate| {
            let worker = self.workers.get(&candidate.name);
            let free = worker.map(|worker| worker.listed.capacity).unwrap_or_default();
            Candidate { free, ..candidate.clone() }.count_fitting(spec, &charge)
        };
        let suffices = has_at_least(needed, cleared.iter().map(idle));
        let count = |candidate: &Candidate| match suffices {
            true => candidate.count_fitting(spec, &charge),
            false => self.count_usable(now, asking, candidate),
        };
        let of_cleared = cleared.iter().filter(|_| spec.is_gang);
        has_at_least(needed, of_cleared.chain(others).map(count))
    }

    /// The number of a step's tasks for which a worker has capacity: free, reserved for the step, or
    /// occupied by runs that can be stopped for it.
    fn count_usable(&self, now: Millis, asking: &Asking, candidate: &Candidate) -> usize {
        let reserved = self.reservations.reserved_at(&candidate.name, asking.key);
        let as_reserved = Candidate { free: reserved, ..candidate.clone() };
        let fitting = as_reserved.count_fitting(asking.spec, &asking.spec.charged_resources());
        fitting.max(self.count_available(now, asking, candidate))
    }

    /// As [`Self::count_usable`], without capacity that is only reserved.
    fn count_available(&self, now: Millis, asking: &Asking, candidate: &Candidate) -> usize {
        let Asking { job, spec, .. } = *asking;
        let mut available = match self.is_overloaded {
            // An overloaded owner stops no runs.
            true => candidate.clone(),
            false => self.after_preemption(candidate, job.priority()),
        };
        let claimed = self.advice_queue.claimed_use(&candidate.name, job.priority());
        available.free = available.free.saturating_sub(&claimed);
        let charge = spec.charged_resources();
        match asking.ignores_claims(now) {
            true => {
                available.count_fitting(spec, &charge).max(candidate.count_fitting(spec, &charge))
            }
            false => available.count_fitting(spec, &charge),
        }
    }

    /// Sorts workers by where a step's tasks can start, the best first.
    fn sort_by_room(&self, now: Millis, asking: &Asking, workers: &mut [Candidate]) {
        let Asking { job, spec, .. } = *asking;
        let charge = spec.charged_resources();
        workers.sort_by_cached_key(|candidate| {
            let expected = self.advice_queue.expected_use(&candidate.name);
            let free = candidate.free.saturating_sub(&expected);
            let has_room = candidate.is_below_limit(spec) && free.can_fit(&charge);
            let is_usable = has_room || self.count_usable(now, asking, candidate) > 0;
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

/// Whether counts reach a sum, without a look at more of them than it takes.
fn has_at_least(needed: usize, mut counts: impl Iterator<Item = usize>) -> bool {
    let mut missing = needed;
    missing == 0
        || counts.any(|count| {
            missing = missing.saturating_sub(count);
            missing == 0
        })
}
