//! Stopping less urgent tasks for more urgent ones that find no room.
//!
//! The load that this answers: large tasks that need whole workers, of which the advice service clears
//! a few, beside small tasks of a less urgent queue that keep a piece of each worker taken. The small
//! ones have time to spare and save their progress: each loses half a second of work and a restore.

use crate::cell::Cell;
use crate::cell::jobs::lifecycle::queue_rank;
use crate::cell::mechanism::Mechanism;
use crate::cell::placing::candidate::{Candidate, UnplacedTasks};
use crate::cell::workers::worker::Phase;
use crate::clock::Millis;
use crate::id::Name;
use crate::workload::{Resources, Step, TaskKey};

/// Nothing is stopped for a step before its turn came so long ago: a stop takes up to 900 ms, and room
/// that small tasks leave by themselves is mostly there before.
const MIN_WAIT: Millis = Millis(300);
/// How long room is kept for a step after tasks were stopped for it: the longest stop of the platform's
/// contract is 900 ms, and a ticket holds for two seconds.
const RESERVATION_TIME: Millis = Millis(1_500);

/// A run that may be stopped.
#[derive(Debug, Clone)]
struct Victim {
    task: TaskKey,
    run: u64,
    charge: Resources,
}

/// What has to be stopped at one worker to start so many tasks there.
#[derive(Debug)]
struct PreemptionPlan {
    worker: Name,
    tasks: u32,
    victims: Vec<Victim>,
}

impl Cell {
    /// Has less urgent tasks stopped so that `rest` tasks of a step can start on workers that are
    /// cleared for it, and keeps their room. For a gang nothing is stopped unless that makes room for
    /// all of it. Tasks that need most of a worker's accelerators would wait for good beside ones that need one.
    pub(in crate::cell) fn preempt_for(
        &mut self,
        now: Millis,
        need: &UnplacedTasks,
        candidates: &[Candidate],
    ) {
        let UnplacedTasks { step: key, spec, count: unplaced } = *need;
        let Some(job) = self.jobs.get(&key.job) else { return };
        let is_early = !job.has_waited(now, key, MIN_WAIT);
        // It may be given back to its caller, and nothing was gained by what was stopped for it.
        let is_unstored = job.batch > self.stored_batch;
        if is_early || is_unstored || candidates.is_empty() || self.reservations.has_exclusive(key)
        {
            return;
        }
        let (mine, queue) = (queue_rank(job), job.queue.name.clone());
        let priority = job.priority();
        let mut plans: Vec<PreemptionPlan> = candidates
            .iter()
            .map(|candidate| {
                plan_preemption(candidate, spec, unplaced, self.victims(&candidate.name, priority))
            })
            .filter(|plan| plan.tasks > 0)
            .collect();
        plans.sort_by_key(|plan| plan.victims.len() * 100 / plan.tasks as usize);
        let mut left = unplaced;
        let mut chosen = Vec::new();
        for found in plans {
            if left == 0 {
                break;
            }
            let Some(candidate) =
                candidates.iter().find(|candidate| candidate.name == found.worker)
            else {
                continue;
            };
            let part = plan_preemption(candidate, spec, left.min(found.tasks), found.victims);
            left -= part.tasks;
            chosen.push(part);
        }
        if spec.is_gang && left > 0 {
            return;
        }
        for PreemptionPlan { worker, tasks, victims } in chosen {
            let room =
                (0..tasks).fold(Resources::default(), |sum, _| sum.plus(&spec.charged_resources()));
            self.reservations.reserve(&worker, key, mine, room, now + RESERVATION_TIME);
            for Victim { task, run, .. } in victims {
                log::info!(
                    "event=preempted task={task} run={run} worker={worker} for={key} queue={queue}"
                );
                self.stop_run(&worker, task, run);
            }
        }
    }

    /// Keeps room for tasks of a step that found none, at the workers cleared for it that are next to
    /// having it: tasks that cannot be stopped for the step would take each piece that becomes free.
    pub(in crate::cell) fn reserve_shared_for(&mut self, now: Millis, need: &UnplacedTasks) {
        let UnplacedTasks { step: key, spec, count: unplaced } = *need;
        let Some(job) = self.jobs.get(&key.job) else { return };
        let mine = queue_rank(job);
        let is_off = self.config.disabled.contains(Mechanism::ReserveRoom);
        if is_off || self.reservations.has_exclusive(key) || self.reservations.has_shared(key) {
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
                mine,
                charge,
                now + RESERVATION_TIME,
            );
        }
    }

    /// Whether a worker has room for a task of a job of this priority, or would have if less urgent
    /// tasks were stopped.
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

    /// Runs at a worker that may be stopped for a job of this priority, the least urgent first.
    fn victims(&self, worker: &Name, priority: u32) -> Vec<Victim> {
        if self.config.disabled.contains(Mechanism::Preemption) {
            return Vec::new();
        }
        let Some(worker) = self.workers.get(worker) else { return Vec::new() };
        let mut found: Vec<_> = worker
            .runs
            .iter()
            .filter(|(_, run)| matches!(run.phase, Phase::Running(_)))
            .filter_map(|((task, no), run)| {
                let job = self.jobs.get(&task.step.job)?;
                let spec = job.spec(task.step.step)?;
                let may_stop = job.priority() > priority && spec.is_preemptible();
                let victim = Victim { task: *task, run: *no, charge: run.charge };
                may_stop.then_some((queue_rank(job), victim))
            })
            .collect();
        found.sort_by(|(one, _), (other, _)| other.cmp(one));
        found.into_iter().map(|(_, victim)| victim).collect()
    }
}

/// The fewest of `victims`, in order, that make room for up to `most` tasks at a worker.
fn plan_preemption(
    candidate: &Candidate,
    spec: &Step,
    most: u32,
    victims: Vec<Victim>,
) -> PreemptionPlan {
    let charge = spec.charged_resources();
    let mut candidate = candidate.clone();
    let (mut tasks, mut stopped, mut needed) = (0, 0, 0);
    while tasks < most {
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
