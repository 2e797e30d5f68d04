//! Preemption: stops less urgent tasks so that more urgent ones can start.
//!
//! Preemption is meant for large tasks that need whole workers, of which the advice service clears only a few, while small
//! tasks of a less urgent queue occupy a part of each worker. The small tasks aren't urgent and save their progress, so
//! each loses half a second of work and the time to restore its progress.

use crate::cell::Cell;
use crate::cell::mechanism::Mechanism;
use crate::cell::placing::account::{Refusal, VictimAccount, total_cost};
use crate::cell::placing::candidate::{Candidate, UnplacedTasks};
use crate::cell::placing::victims::JobAccounts;
use crate::cell::workers::run::Phase;
use crate::clock::Millis;
use crate::id::Name;
use crate::visits;
use crate::workload::{Resources, Step, StepKey, TaskKey};

/// How long a step waits, from when it became ready, before tasks are stopped for it. A stop takes up to 900 ms, and in
/// most cases enough small tasks end by themselves before that.
const MIN_WAIT: Millis = Millis(300);
/// How long resources stay reserved for a step. By the platform's contract a stop takes at most 900 ms, and a ticket of
/// the advice service is valid for 2 s.
const RESERVATION_TIME: Millis = Millis(1_500);

/// A run that can be stopped.
#[derive(Debug, Clone)]
pub(in crate::cell) struct Victim {
    pub task: TaskKey,
    pub run: u64,
    pub charge: Resources,
    /// The cost of its stop, where that is compared with the gain.
    pub account: Option<VictimAccount>,
}

/// The runs to stop on one worker so that a number of tasks can start there.
#[derive(Debug)]
struct PreemptionPlan {
    worker: Name,
    tasks: u32,
    victims: Vec<Victim>,
}

impl PreemptionPlan {
    /// The order in which plans are chosen by cost: those that stop no task again first, then by what the stops cost
    /// for each task that can start, in core-milliseconds.
    fn cost_order(&self) -> (bool, u64) {
        let accounts = self.accounts();
        let stops_again = accounts.iter().any(VictimAccount::is_stopped_again);
        (stops_again, total_cost(&accounts) / u64::from(self.tasks.max(1)))
    }

    fn accounts(&self) -> Vec<VictimAccount> {
        self.victims.iter().filter_map(|victim| victim.account).collect()
    }
}

impl Cell {
    /// Stops less urgent tasks so that unplaced tasks of a step can start on the candidates, and reserves the freed
    /// resources. For a gang, tasks are stopped only if that makes room for all of it. Without preemption, tasks that
    /// need most of a worker's accelerators could wait forever while tasks that need one accelerator keep starting.
    pub(in crate::cell) fn preempt_for(
        &mut self,
        now: Millis,
        unplaced_tasks: &UnplacedTasks,
        candidates: &[Candidate],
    ) {
        let UnplacedTasks { step: key, spec, count: unplaced } = *unplaced_tasks;
        let Some(job) = self.jobs.get(&key.job) else { return };
        let is_early = !job.has_waited(now, key, MIN_WAIT);
        // A job that isn't stored yet may still be refused, and the tasks stopped for it would have lost work for
        // nothing.
        let is_unstored = job.batch > self.stored_batch;
        // A stop and the second start take as much of the owner's processor as two starts.
        let is_useless = candidates.is_empty() || self.reservations.has_exclusive(key);
        if is_early || is_unstored || is_useless || self.is_overloaded {
            return;
        }
        if self.uses_ranked(Mechanism::PreemptionAccount) {
            return self.preempt_by_account(now, unplaced_tasks, candidates);
        }
        let priority = job.priority();
        let mut plans: Vec<PreemptionPlan> = candidates
            .iter()
            .map(|candidate| {
                plan_preemption(candidate, spec, unplaced, self.victims(&candidate.name, priority))
            })
            .filter(|plan| plan.tasks > 0)
            .collect();
        plans.sort_by_key(|plan| plan.victims.len() * 100 / plan.tasks as usize);
        let (chosen, missing) = choose_plans(plans, candidates, spec, unplaced);
        if spec.is_gang && missing > 0 {
            return;
        }
        self.stop_victims(now, unplaced_tasks, chosen);
    }

    /// As [`Self::preempt_for`], but only if the gain exceeds the cost, and with the runs chosen by their cost.
    fn preempt_by_account(
        &mut self,
        now: Millis,
        unplaced_tasks: &UnplacedTasks,
        candidates: &[Candidate],
    ) {
        let mut accounts = std::mem::take(&mut self.job_accounts);
        self.preempt_with(now, unplaced_tasks, candidates, &mut accounts);
        self.job_accounts = accounts;
    }

    /// As [`Self::preempt_by_account`], with the figures of jobs that the pass has met.
    fn preempt_with(
        &mut self,
        now: Millis,
        unplaced_tasks: &UnplacedTasks,
        candidates: &[Candidate],
        accounts: &mut JobAccounts,
    ) {
        let UnplacedTasks { step: key, spec, count: unplaced } = *unplaced_tasks;
        // An evaluation collects the runs of all candidates, so that the conditions which need none come first.
        if self.config.disabled.contains(Mechanism::Preemption) || self.stops.is_deferred(now, key)
        {
            return;
        }
        let Some(account) = self.step_account(now, key, spec, accounts) else { return };
        if let Err(why) = account.check() {
            return self.refuse_stops(now, key, why, (0, 0));
        }
        if !self.stops.allows(now, 1) {
            return self.refuse_stops(now, key, Refusal::Limit, (0, 0));
        }
        let plans = self.plan_by_cost(now, unplaced_tasks, candidates, accounts);
        let (mut chosen, missing) = choose_plans(plans, candidates, spec, unplaced);
        if spec.is_gang && missing > 0 {
            return self.stops.defer(now, key);
        }
        let of_tasks = |tasks: u32| account.for_tasks(spec, tasks);
        if !spec.is_gang {
            chosen.retain(|plan| of_tasks(plan.tasks).settle(&plan.accounts()).0.is_ok());
        }
        let tasks = chosen.iter().map(|plan| plan.tasks).sum();
        let victims: Vec<VictimAccount> =
            chosen.iter().flat_map(PreemptionPlan::accounts).collect();
        let (outcome, gain, cost) = of_tasks(tasks).settle(&victims);
        let stops = victims.iter().filter(|victim| !victim.ends_soon()).count();
        match outcome {
            Err(why) => self.refuse_stops(now, key, why, (gain, cost)),
            Ok(()) if !self.stops.allows(now, stops) => {
                self.refuse_stops(now, key, Refusal::Limit, (gain, cost));
            }
            Ok(()) => self.stop_victims(now, unplaced_tasks, chosen),
        }
    }

    /// Plans to make room on each candidate, the plan that costs the least for each task first.
    fn plan_by_cost(
        &self,
        now: Millis,
        unplaced_tasks: &UnplacedTasks,
        candidates: &[Candidate],
        accounts: &mut JobAccounts,
    ) -> Vec<PreemptionPlan> {
        let UnplacedTasks { step: key, spec, count } = *unplaced_tasks;
        let Some(job) = self.jobs.get(&key.job) else { return Vec::new() };
        let plan = |candidate: &Candidate| {
            let mut victims = self.victims(&candidate.name, job.priority());
            for victim in &mut victims {
                victim.account = self.victim_account(now, &candidate.name, victim, accounts);
            }
            victims.retain(|victim| victim.account.is_some());
            victims.sort_by_key(|victim| victim.account.map(|account| account.order()));
            plan_preemption(candidate, spec, count, victims)
        };
        let mut plans: Vec<PreemptionPlan> =
            candidates.iter().map(plan).filter(|plan| plan.tasks > 0).collect();
        plans.sort_by_cached_key(PreemptionPlan::cost_order);
        plans
    }

    /// Notes that no run is stopped for a step.
    fn refuse_stops(&mut self, now: Millis, key: StepKey, why: Refusal, (gain, cost): (u64, u64)) {
        if self.stops.refuse(now, key, why) {
            let why = why.name();
            log::info!("event=preemption-rejected step={key} why={why} gain={gain} cost={cost}");
        }
    }

    /// Reserves the room of the plans for a step and stops their runs, except those that end soon by themselves.
    fn stop_victims(
        &mut self,
        now: Millis,
        unplaced_tasks: &UnplacedTasks,
        plans: Vec<PreemptionPlan>,
    ) {
        let UnplacedTasks { step: key, spec, .. } = *unplaced_tasks;
        let Some(job) = self.jobs.get(&key.job) else { return };
        let (step_rank, queue) = (job.rank(), job.queue.name.clone());
        for PreemptionPlan { worker, tasks, victims } in plans {
            let room =
                (0..tasks).fold(Resources::default(), |sum, _| sum.plus(&spec.charged_resources()));
            self.reservations.reserve(&worker, key, step_rank, room, now + RESERVATION_TIME);
            for Victim { task, run, account, .. } in victims {
                if account.is_some_and(|account| account.ends_soon()) {
                    continue;
                }
                log::info!(
                    "event=preempted task={task} run={run} worker={worker} for={key} queue={queue}"
                );
                let saved = self.saved_run_time(&worker, task, run);
                self.stops.record(now, task, saved);
                self.stop_run(&worker, task, run);
            }
        }
    }

    /// Reserves the cleared workers that are closest to having room for a task of the step. Without this, tasks that
    /// can't be stopped for the step would take the resources one by one as they become free.
    pub(in crate::cell) fn reserve_shared_for(
        &mut self,
        now: Millis,
        unplaced_tasks: &UnplacedTasks,
    ) {
        let UnplacedTasks { step: key, spec, count: unplaced } = *unplaced_tasks;
        let Some(job) = self.jobs.get(&key.job) else { return };
        let step_rank = job.rank();
        let is_disabled = self.config.disabled.contains(Mechanism::ReserveRoom);
        if is_disabled || self.reservations.has_exclusive(key) || self.reservations.has_shared(key)
        {
            return;
        }
        let charge = spec.charged_resources();
        let mut candidates = self.cleared_candidates(now, key, spec);
        candidates
            .retain(|candidate| candidate.is_below_limit(spec) && !candidate.free.can_fit(&charge));
        candidates
            .sort_by_key(|candidate| std::cmp::Reverse((candidate.free.gpu, candidate.free.cpu)));
        for candidate in candidates.into_iter().take(unplaced as usize) {
            self.reservations.reserve_shared(
                &candidate.name,
                key,
                step_rank,
                charge,
                now + RESERVATION_TIME,
            );
        }
    }

    /// Whether a task of a job with this priority fits on a worker, now or after stopping less urgent tasks.
    pub(in crate::cell) fn fits_after_preemption(
        &self,
        candidate: &Candidate,
        priority: u32,
        spec: &Step,
    ) -> bool {
        let victims = self.victims(&candidate.name, priority);
        let mut after_stops = candidate.clone();
        victims.iter().for_each(|victim| after_stops.release(&victim.charge));
        after_stops.has_room(spec, &spec.charged_resources())
    }

    /// Runs on a worker that can be stopped for a job with this priority, the least urgent first.
    fn victims(&self, worker: &Name, priority: u32) -> Vec<Victim> {
        if self.config.disabled.contains(Mechanism::Preemption) {
            return Vec::new();
        }
        let Some(worker) = self.workers.get(worker) else { return Vec::new() };
        let mut found: Vec<_> = worker
            .runs
            .iter()
            .inspect(|_| visits::add(1))
            .filter(|(_, run)| matches!(run.phase, Phase::Running(_)))
            .filter_map(|((task, run_number), run)| {
                let job = self.jobs.get(&task.step.job)?;
                let spec = job.spec(task.step.step)?;
                let can_stop = job.priority() > priority && spec.is_preemptible();
                let victim =
                    Victim { task: *task, run: *run_number, charge: run.charge, account: None };
                can_stop.then_some((job.rank(), victim))
            })
            .collect();
        found.sort_by(|(a, _), (b, _)| b.cmp(a));
        found.into_iter().map(|(_, victim)| victim).collect()
    }
}

/// Chooses plans in order until all unplaced tasks can start; returns them and the number of tasks that cannot.
fn choose_plans(
    plans: Vec<PreemptionPlan>,
    candidates: &[Candidate],
    spec: &Step,
    unplaced: u32,
) -> (Vec<PreemptionPlan>, u32) {
    let mut missing = unplaced;
    let mut chosen = Vec::new();
    for plan in plans {
        if missing == 0 {
            break;
        }
        let Some(candidate) = candidates.iter().find(|candidate| candidate.name == plan.worker)
        else {
            continue;
        };
        let trimmed = plan_preemption(candidate, spec, missing.min(plan.tasks), plan.victims);
        missing -= trimmed.tasks;
        chosen.push(trimmed);
    }
    (chosen, missing)
}

/// Plans to stop the fewest victims, in order, that make room for up to `max` tasks on a worker.
fn plan_preemption(
    candidate: &Candidate,
    spec: &Step,
    max: u32,
    victims: Vec<Victim>,
) -> PreemptionPlan {
    let charge = spec.charged_resources();
    let mut candidate = candidate.clone();
    let (mut tasks, mut stopped, mut needed) = (0, 0, 0);
    while tasks < max {
        match victims.get(stopped) {
            _ if candidate.has_room(spec, &charge) => {
                candidate.free = candidate.free.saturating_sub(&charge);
                candidate.step_runs += 1;
                tasks += 1;
                needed = stopped;
            }
            Some(victim) => {
                candidate.release(&victim.charge);
                stopped += 1;
            }
            None => break,
        }
    }
    PreemptionPlan {
        worker: candidate.name,
        tasks,
        victims: victims.into_iter().take(needed).collect(),
    }
}
