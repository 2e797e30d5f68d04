//! Which of several workers with room a task or a gang goes to.

use crate::cell::jobs::job::Task;
use crate::cell::jobs::restart_policy::needs_stable_worker;
use crate::cell::workers::worker::Worker;
use crate::clock::Millis;
use crate::id::Name;
use crate::workload::{Resources, Step, StepKey, TaskKey};
use std::collections::BTreeSet;

/// Whether a worker may run a step's tasks at all.
pub(in crate::cell) fn is_suitable(worker: &Worker, service: &str, spec: &Step) -> bool {
    let listed = &worker.listed;
    let label = spec.required_label.is_empty() || listed.labels.contains(&spec.required_label);
    label && *listed.service == *service && listed.capacity.can_fit(&spec.charged_resources())
}

/// How many runs of a step a worker has.
pub(in crate::cell) fn count_step_runs(worker: &Worker, key: StepKey) -> u32 {
    let first = TaskKey { step: key, index: 0 };
    let last = TaskKey { step: key, index: u32::MAX };
    worker.runs.range((first, 0)..=(last, u64::MAX)).count() as u32
}

/// What of a step found no worker.
#[derive(Debug)]
pub(in crate::cell) struct UnplacedTasks<'a> {
    pub step: StepKey,
    pub spec: &'a Step,
    /// How many of its tasks.
    pub count: u32,
}

/// A worker that tasks of a step may go to, as it is while that step is placed.
#[derive(Debug, Clone)]
pub(in crate::cell) struct Candidate {
    pub name: Name,
    pub domain: Name,
    pub rack: Option<Name>,
    pub free: Resources,
    /// What is taken beyond the room, since that shrank.
    pub overcommitted: Resources,
    /// Runs of the step there, if that matters.
    pub step_runs: u32,
    /// All runs there.
    pub total_runs: usize,
    pub is_healthy: bool,
    /// Its process has stayed up for a while.
    pub is_stable: bool,
    /// It runs tasks that serve users of their own.
    pub serves_users: bool,
    /// Room is gathered there for a gang of another step.
    pub is_reserved: bool,
}

impl Candidate {
    pub fn new(now: Millis, name: &Name, worker: &Worker) -> Self {
        Self {
            name: name.clone(),
            domain: worker.listed.domain.clone(),
            rack: worker.rack().cloned(),
            free: worker.free(),
            overcommitted: worker.used.saturating_sub(&worker.listed.capacity),
            step_runs: 0,
            total_runs: worker.runs.len(),
            is_healthy: worker.is_sound(),
            is_stable: worker.is_settled(now),
            serves_users: worker.runs.values().any(|run| run.tail.0 > 0),
            is_reserved: false,
        }
    }

    /// What a run took is free again, unless the worker has too much taken.
    pub fn release(&mut self, charge: &Resources) {
        self.free = self.free.plus(&charge.saturating_sub(&self.overcommitted));
        self.overcommitted = self.overcommitted.saturating_sub(charge);
    }

    /// Whether one more task of a step may go there at all.
    pub fn is_below_limit(&self, spec: &Step) -> bool {
        spec.worker_limit == 0 || self.step_runs < spec.worker_limit
    }

    /// How many tasks of a step have room.
    pub fn count_fitting(&self, spec: &Step, charge: &Resources) -> usize {
        let mut candidate = self.clone();
        let mut count = 0;
        while count < spec.count as usize && candidate.has_room(spec, charge) {
            candidate.free = candidate.free.saturating_sub(charge);
            candidate.step_runs += 1;
            count += 1;
        }
        count
    }

    /// Whether one more task of a step has room.
    pub fn has_room(&self, spec: &Step, charge: &Resources) -> bool {
        self.is_below_limit(spec) && self.free.can_fit(charge)
    }
}

/// The best worker with room for one task: near the data, not one on which it failed, in the job's
/// failure domain, sound, and then the one that is left with the least; fillers go where most
/// processors are idle. One under which a worker crashed goes where the least else runs, and from the second crash on
/// only to a worker that has stayed up: a crash of one that has just started again tells nothing of the task.
pub(in crate::cell) fn pick_worker<'a>(
    candidates: &'a mut [Candidate],
    spec: &Step,
    home: Option<&Name>,
    task: &Task,
) -> Option<&'a mut Candidate> {
    let charge = spec.charged_resources();
    let score = |candidate: &Candidate| {
        let far = !spec.data_rack.is_empty() && candidate.rack.as_ref() != Some(&spec.data_rack);
        let away = home.is_some_and(|home| candidate.domain != *home);
        let free = candidate.free.saturating_sub(&charge).cpu;
        let cpu_score = if spec.best_effort { u64::MAX - free } else { free };
        let beside_serving = spec.best_effort && candidate.serves_users;
        let penalties = (beside_serving, candidate.is_reserved, away, !candidate.is_healthy);
        let neighbors = if task.crashes.is_empty() { 0 } else { candidate.total_runs };
        (task.failed_workers.contains(&candidate.name), neighbors, far, penalties, cpu_score)
    };
    let needs_settled = needs_stable_worker(&task.crashes);
    let is_usable = |candidate: &&mut Candidate| {
        candidate.has_room(spec, &charge) && (candidate.is_stable || !needs_settled)
    };
    candidates.iter_mut().filter(is_usable).min_by_key(|candidate| score(candidate))
}

/// Workers for all tasks of a gang, on one rack if it wants that and one has the room; on workers where
/// nothing else runs, if there are such, for one with a quarantined member.
pub(in crate::cell) fn pick_gang_workers(
    candidates: &[Candidate],
    spec: &Step,
    home: Option<&Name>,
    is_quarantined: bool,
) -> Option<Vec<Name>> {
    if is_quarantined
        && let Some(chosen) = assign_gang(candidates, spec, |candidate| candidate.total_runs == 0)
    {
        return Some(chosen);
    }
    if spec.same_rack {
        let racks: BTreeSet<&Name> =
            candidates.iter().filter_map(|candidate| candidate.rack.as_ref()).collect();
        for rack in racks {
            if let Some(chosen) =
                assign_gang(candidates, spec, |candidate| candidate.rack.as_ref() == Some(rack))
            {
                return Some(chosen);
            }
        }
    }
    assign_gang(candidates, spec, |candidate| Some(&candidate.domain) == home)
        .or_else(|| assign_gang(candidates, spec, |_| true))
}

/// Gives each task of a gang one of the wanted workers, or none at all.
fn assign_gang(
    candidates: &[Candidate],
    spec: &Step,
    is_eligible: impl Fn(&Candidate) -> bool,
) -> Option<Vec<Name>> {
    let charge = spec.charged_resources();
    let mut candidates: Vec<Candidate> =
        candidates.iter().filter(|candidate| is_eligible(candidate)).cloned().collect();
    candidates.sort_by_key(|candidate| candidate.free.cpu);
    let mut chosen = Vec::with_capacity(spec.count as usize);
    for mut candidate in candidates {
        while chosen.len() < spec.count as usize && candidate.has_room(spec, &charge) {
            candidate.free = candidate.free.saturating_sub(&charge);
            candidate.step_runs += 1;
            chosen.push(candidate.name.clone());
        }
    }
    (chosen.len() == spec.count as usize).then_some(chosen)
}
