//! Decides which waiting steps a scheduling pass has to evaluate.
//!
//! An evaluation goes through up to all workers, and while thousands of steps wait, most evaluations find what the last
//! one found. So a pass skips a step unless its own state has changed, a time was reached that the last evaluation
//! depends on, or a worker that may run it has gained something: free capacity, a run that can be stopped, or the
//! permission to get tasks.
//!
//! A loss can change the outcome as well, for example because a step has to ask about other workers once the ones it
//! knows are full. The step notices this at its next evaluation, at the latest after [`MAX_SKIP_TIME`].

use crate::cell::Cell;
use crate::cell::advice::request::MIN_TICKET_VALIDITY;
use crate::cell::jobs::job::{Job, StepState};
use crate::cell::mechanism::Mechanism;
use crate::cell::workers::worker::{Phase, Worker};
use crate::clock::Millis;
use crate::id::Name;
use crate::workload::{JobKey, Resources, Step, StepKey};
use std::collections::{HashMap, HashSet};

/// The longest time for which a step is skipped. It limits the delay if an event that matters is not noticed here, and
/// leaves most of the 3 s that a step may wait beside free capacity.
const MAX_SKIP_TIME: Millis = Millis(500);
/// Waits after which an evaluation does more: stops runs, or reserves capacity for gangs and relaxes the placement.
const WAITS: [Millis; 2] = [Millis(300), Millis(2_000)];
/// Steps that are no longer ready are forgotten when there are this many of them.
const MAX_FORGOTTEN: usize = 256;

/// The conditions under which a worker gets tasks, apart from its free capacity.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Access {
    service: Name,
    labels: Vec<Name>,
    accepts_tasks: bool,
    is_excluded: bool,
    is_stable: bool,
    quarantined_for: Option<JobKey>,
}

/// What a worker offers to waiting steps.
#[derive(Debug)]
struct Offer {
    worker: Name,
    access: Access,
    free: Resources,
    /// The sums of the numbers of all runs and of those that run, by which a change of the runs is noticed.
    runs: (u64, u64),
    /// What runs that can be stopped hold, by the priority of their jobs.
    stoppable: Vec<(u32, Resources)>,
    /// The version at which its access changed.
    access_changed: u64,
    /// The version at which capacity, reservations or runs that can be stopped changed.
    room_changed: u64,
    /// The version at which capacity was taken or reserved.
    taken: u64,
}

impl Offer {
    /// The version of the last change.
    fn last_change(&self) -> u64 {
        self.room_changed.max(self.access_changed).max(self.taken)
    }

    /// Whether a task fits, or would fit without the less urgent runs that can be stopped. What is reserved for other
    /// steps is not subtracted.
    fn fits(&self, charge: &Resources, priority: u32) -> bool {
        let after_stops = || {
            let less_urgent = self.stoppable.iter().filter(|(other, _)| *other > priority);
            less_urgent.fold(self.free, |sum, (_, held)| sum.plus(held))
        };
        self.free.can_fit(charge) || after_stops().can_fit(charge)
    }
}

/// The state of a step at its last evaluation, as far as the outcome depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct StepMark {
    waiting: usize,
    allowed: usize,
    request_pending: bool,
    retry_at: Millis,
    answered: (usize, usize),
    priority: (u32, bool),
    is_stored: bool,
    /// Whether it has reservations: exclusive, shared, and for a gang. They end at a tick and not when they expire.
    reserved: [bool; 3],
}

/// The last evaluation of a step.
#[derive(Debug)]
struct Evaluation {
    /// The changes of workers up to this version were considered.
    version: u64,
    mark: StepMark,
    /// The step only waits for an answer of the advice service.
    awaits_answer: bool,
    /// When the step is evaluated again in any case.
    next: Millis,
}

/// The number of passes and of evaluations since the takeover.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PassCounts {
    /// Scheduling passes.
    pub passes: u64,
    /// Steps that were evaluated in them.
    pub evaluations: u64,
}

/// Which steps have to be evaluated.
#[derive(Debug, Default)]
pub(in crate::cell) struct Wakeups {
    /// Rises with each change.
    version: u64,
    /// The version at which a reservation for a gang ended.
    gang_released: u64,
    offers: Vec<Offer>,
    /// The positions in `offers`.
    positions: HashMap<Name, usize>,
    /// Workers that changed since the last pass or during this one, by their positions, the last change at the end.
    changed: Vec<(u64, usize)>,
    /// Services of which less than half is in use. Their steps may ignore reservations after a long wait.
    idle_services: Vec<Name>,
    evaluated: HashMap<StepKey, Evaluation>,
    pub counts: PassCounts,
}

impl Wakeups {
    /// Has a step evaluated in the next pass.
    pub fn wake(&mut self, step: StepKey) {
        self.evaluated.remove(&step);
    }

    /// Has all steps evaluated in the next pass.
    pub fn wake_all(&mut self) {
        self.evaluated.clear();
    }

    /// Notes a change of the capacity of a worker.
    fn note_room(&mut self, position: usize) {
        self.version += 1;
        if let Some(offer) = self.offers.get_mut(position) {
            offer.room_changed = self.version;
            self.changed.push((self.version, position));
        }
    }

    /// Notes that capacity of a worker was taken or reserved.
    fn note_taken(&mut self, worker: &Name) {
        self.version += 1;
        let Some(position) = self.positions.get(worker).copied() else { return };
        if let Some(offer) = self.offers.get_mut(position) {
            offer.taken = self.version;
            self.changed.push((self.version, position));
        }
    }

    /// Notes that a task was placed on a worker.
    pub fn record_start(&mut self, worker: &Name, run: u64, charge: &Resources) {
        let position = self.positions.get(worker).copied();
        if let Some(offer) = position.and_then(|position| self.offers.get_mut(position)) {
            offer.free = offer.free.saturating_sub(charge);
            offer.runs.0 = offer.runs.0.wrapping_add(run);
        }
        self.note_taken(worker);
    }
}

impl Cell {
    /// Whether passes evaluate only steps for which something has changed.
    pub(in crate::cell) fn skips_unchanged(&self) -> bool {
        self.uses_ranked(Mechanism::SelectivePass)
    }

    /// The number of passes and of evaluations since the takeover.
    pub fn pass_counts(&self) -> PassCounts {
        self.wakeups.counts
    }

    /// Notes what has changed at the workers since the last pass. `ready` are the waiting steps.
    pub(in crate::cell) fn note_worker_changes(&mut self, now: Millis, ready: &[StepKey]) {
        let mut wakeups = std::mem::take(&mut self.wakeups);
        if wakeups.evaluated.len() > ready.len() + MAX_FORGOTTEN {
            let ready: HashSet<&StepKey> = ready.iter().collect();
            wakeups.evaluated.retain(|step, _| ready.contains(step));
        }
        if !self.has_same_workers(&wakeups) {
            // Positions change.
            wakeups.wake_all();
            wakeups.offers = self.workers.iter().map(|(name, _)| Offer::unknown(name)).collect();
            let names = self.workers.keys().cloned();
            wakeups.positions = names.enumerate().map(|(index, name)| (name, index)).collect();
            wakeups.changed.clear();
        }
        wakeups.version += 1;
        let version = wakeups.version;
        let mut usage: HashMap<&Name, (u64, u64)> = HashMap::new();
        for (worker, offer) in self.workers.values().zip(&mut wakeups.offers) {
            self.update_offer(now, version, worker, offer);
            if worker.is_reachable && !worker.is_drained {
                let (used, total) = usage.entry(&worker.listed.service).or_default();
                *used += worker.used.cpu;
                *total += worker.listed.capacity.cpu;
            }
        }
        let idle = usage.into_iter().filter(|(_, (used, total))| used * 2 < *total);
        wakeups.idle_services = idle.map(|(service, _)| service.clone()).collect();
        let offers = &wakeups.offers;
        wakeups.changed = (0..offers.len()).map(|at| (offers[at].last_change(), at)).collect();
        wakeups.changed.sort_unstable();
        self.wakeups = wakeups;
        self.note_released();
    }

    /// Whether the workers are the same as in the last pass.
    fn has_same_workers(&self, wakeups: &Wakeups) -> bool {
        let known = wakeups.offers.iter().map(|offer| &offer.worker);
        self.workers.len() == wakeups.offers.len() && self.workers.keys().eq(known)
    }

    /// Compares a worker with its state in the last pass.
    fn update_offer(&self, now: Millis, version: u64, worker: &Worker, offer: &mut Offer) {
        let access = Access {
            service: worker.listed.service.clone(),
            labels: worker.listed.labels.clone(),
            accepts_tasks: worker.accepts_tasks(self.stored_batch),
            is_excluded: worker.is_excluded(now),
            is_stable: worker.is_stable(now),
            quarantined_for: worker.quarantined_job(),
        };
        if access != offer.access {
            (offer.access, offer.access_changed) = (access, version);
        }
        let (mut all, mut running) = (0_u64, 0_u64);
        for run in worker.runs.values() {
            all = all.wrapping_add(run.run);
            if matches!(run.phase, Phase::Running(_)) {
                running = running.wrapping_add(run.run);
            }
        }
        if (all, running) != offer.runs || worker.free() != offer.free {
            offer.stoppable = self.stoppable(worker);
            (offer.runs, offer.free, offer.room_changed) = ((all, running), worker.free(), version);
        }
    }

    /// What the runs hold that can be stopped, by the priority of their jobs.
    fn stoppable(&self, worker: &Worker) -> Vec<(u32, Resources)> {
        let mut found: Vec<(u32, Resources)> = Vec::new();
        for ((task, _), run) in &worker.runs {
            let job = self.jobs.get(&task.step.job);
            let Some(job) = job.filter(|_| matches!(run.phase, Phase::Running(_))) else {
                continue;
            };
            if !job.spec(task.step.step).is_some_and(Step::is_preemptible) {
                continue;
            }
            match found.iter_mut().find(|(priority, _)| *priority == job.priority()) {
                Some((_, held)) => *held = held.plus(&run.charge),
                None => found.push((job.priority(), run.charge)),
            }
        }
        found
    }

    /// Notes the reservations that ended.
    pub(in crate::cell) fn note_released(&mut self) {
        if self.reservations.take_gang_release() {
            self.wakeups.version += 1;
            self.wakeups.gang_released = self.wakeups.version;
        }
        for worker in self.reservations.take_taken() {
            self.wakeups.note_taken(&worker);
        }
        for worker in self.reservations.take_freed() {
            if let Some(position) = self.wakeups.positions.get(&worker).copied() {
                self.wakeups.note_room(position);
            }
        }
    }

    /// Whether a step has to be evaluated in this pass.
    pub(in crate::cell) fn has_to_evaluate(&mut self, now: Millis, key: StepKey) -> bool {
        let Some(last) = self.wakeups.evaluated.get(&key) else { return true };
        let Some(job) = self.jobs.get(&key.job) else { return true };
        let (Some(spec), Some(step)) = (job.spec(key.step), job.step(key)) else { return true };
        if now >= last.next
            || step.clearances.answer_new
            || self.step_mark(key, job, spec, step) != last.mark
        {
            return true;
        }
        if last.awaits_answer || last.mark.allowed == 0 {
            return false;
        }
        let may_relax = || {
            let idle = step.idle_since.is_some_and(|since| now.since(since) >= WAITS[1]);
            idle && self.wakeups.idle_services.contains(&job.queue.service)
        };
        let is_gang_free = spec.is_gang && self.wakeups.gang_released > last.version;
        if is_gang_free || may_relax() || self.has_new_offer(now, job, spec, step, last) {
            return true;
        }
        let version = self.wakeups.version;
        if let Some(last) = self.wakeups.evaluated.get_mut(&key) {
            last.version = version;
        }
        false
    }

    /// Whether a worker that may run a step has changed since `version` so that a task may fit there.
    fn has_new_offer(
        &self,
        now: Millis,
        job: &Job,
        spec: &Step,
        step: &StepState,
        last: &Evaluation,
    ) -> bool {
        let version = last.version;
        // A step without reservations makes some once a worker that it may use has no room any more.
        let may_reserve = last.mark.reserved == [false; 3];
        let (charge, priority) = (spec.charged_resources(), job.priority());
        let clearances = &step.clearances;
        let may_ask = !clearances.request_pending && now >= clearances.retry_at;
        let recent = self.wakeups.changed.iter().rev();
        recent.take_while(|(changed, _)| *changed > version).any(|(_, position)| {
            let Some(offer) = self.wakeups.offers.get(*position) else { return false };
            let is_opened = offer.access_changed > version;
            if may_reserve && clearances.cleared.contains_key(&offer.worker) {
                return true;
            }
            if offer.room_changed.max(offer.access_changed) <= version {
                return false;
            }
            if !is_opened && !offer.fits(&charge, priority) {
                return false;
            }
            if job.queue.advice.is_none() {
                return offer.access.service == job.queue.service;
            }
            match clearances.cleared.get(&offer.worker) {
                Some(ticket) => {
                    let is_valid = ticket.expires_at > now + MIN_TICKET_VALIDITY;
                    is_valid || may_ask || is_opened || spec.is_gang
                }
                None => {
                    let is_suitable = offer.access.service == job.queue.service;
                    let has_room = is_opened || offer.free.can_fit(&charge);
                    is_suitable && has_room && may_ask && !clearances.denied.contains(&offer.worker)
                }
            }
        })
    }

    /// The present state of a step.
    fn step_mark(&self, key: StepKey, job: &Job, spec: &Step, step: &StepState) -> StepMark {
        let clearances = &step.clearances;
        StepMark {
            waiting: step.waiting.len(),
            allowed: self.allowed_starts(job, spec, step.waiting.len()),
            request_pending: clearances.request_pending,
            retry_at: clearances.retry_at,
            answered: (clearances.cleared.len(), clearances.denied.len()),
            priority: (job.priority(), job.rank_class == Default::default()),
            is_stored: job.batch <= self.stored_batch,
            reserved: self.reservations.kinds(key),
        }
    }

    /// Records the evaluation of a step. `version` is the version when it began.
    pub(in crate::cell) fn record_evaluation(&mut self, now: Millis, key: StepKey, version: u64) {
        let Some(job) = self.jobs.get(&key.job) else { return self.wakeups.wake(key) };
        let (Some(spec), Some(step)) = (job.spec(key.step), job.step(key)) else {
            return self.wakeups.wake(key);
        };
        if step.waiting.is_empty() {
            return self.wakeups.wake(key);
        }
        let clearances = &step.clearances;
        let awaits_advice =
            job.queue.advice.is_some() && (clearances.request_pending || now < clearances.retry_at);
        let usable_at = now + MIN_TICKET_VALIDITY;
        let evaluation = Evaluation {
            version,
            mark: self.step_mark(key, job, spec, step),
            awaits_answer: awaits_advice && !clearances.has_any_ticket(usable_at),
            next: self.next_evaluation(now, step),
        };
        self.wakeups.evaluated.insert(key, evaluation);
    }

    /// When a step is evaluated again in any case: at the next time on which an evaluation depends.
    fn next_evaluation(&self, now: Millis, step: &StepState) -> Millis {
        let clearances = &step.clearances;
        let tickets = clearances.cleared.values().map(|ticket| ticket.expires_at);
        let expiries = tickets.map(|at| at - MIN_TICKET_VALIDITY);
        let since = [step.ready_since, step.idle_since, step.longest_idle()];
        let waits = since.into_iter().flatten().flat_map(|since| WAITS.map(|wait| since + wait));
        let times = expiries.chain(waits).chain([clearances.retry_at]);
        let limit = now + MAX_SKIP_TIME;
        times.filter(|at| *at > now).fold(limit, Millis::min)
    }

    /// The version of the changes that were noted so far.
    pub(in crate::cell) fn wakeup_version(&self) -> u64 {
        self.wakeups.version
    }
}

impl Offer {
    /// A worker that no pass has seen yet.
    fn unknown(worker: &Name) -> Self {
        let access = Access {
            service: "".into(),
            labels: Vec::new(),
            accepts_tasks: false,
            is_excluded: false,
            is_stable: false,
            quarantined_for: None,
        };
        Self {
            worker: worker.clone(),
            access,
            free: Resources::default(),
            runs: (0, 0),
            stoppable: Vec::new(),
            access_changed: 0,
            room_changed: 0,
            taken: 0,
        }
    }
}
