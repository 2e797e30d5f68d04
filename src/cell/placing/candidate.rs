//! Selection of workers for a task or a gang among those with enough free resources.

use crate::cell::jobs::restart_policy::needs_stable_worker;
use crate::cell::jobs::step::Task;
use crate::cell::workers::worker::Worker;
use crate::clock::Millis;
use crate::id::Name;
use crate::visits;
use crate::workload::{Resources, Step, StepKey};
use std::collections::BTreeSet;

/// Whether a worker belongs to the service, has the label that the step requires, and is large enough for one of its
/// tasks when idle.
pub(in crate::cell) fn is_suitable(worker: &Worker, service: &str, spec: &Step) -> bool {
    let listed = &worker.listed;
    let label = spec.required_label.is_empty() || listed.labels.contains(&spec.required_label);
    label && *listed.service == *service && listed.capacity.can_fit(&spec.charged_resources())
}

/// The number of runs of a step on a worker.
pub(in crate::cell) fn count_step_runs(worker: &Worker, key: StepKey) -> u32 {
    let count = worker.runs_of_step(key).count();
    visits::add(count);
    count as u32
}

/// The tasks of a step for which no worker was found.
#[derive(Debug)]
pub(in crate::cell) struct UnplacedTasks<'a> {
    pub step: StepKey,
    pub spec: &'a Step,
    /// The number of these tasks.
    pub count: u32,
}

/// A worker that may run tasks of a step. It is a snapshot that is updated as tasks of the step are placed on it.
#[derive(Debug, Clone)]
pub(in crate::cell) struct Candidate {
    pub name: Name,
    pub domain: Name,
    pub rack: Option<Name>,
    pub free: Resources,
    /// Resources in use beyond the worker's capacity, after its capacity was reduced.
    pub overcommitted: Resources,
    /// Runs of the step on the worker; 0 if the step doesn't limit them.
    pub step_runs: u32,
    /// Runs of all steps on the worker.
    pub total_runs: usize,
    /// No recent run on the worker failed.
    pub is_healthy: bool,
    /// The worker's process has been running for long enough to count as stable.
    pub is_stable: bool,
    /// The worker runs tasks that serve user requests.
    pub serves_users: bool,
    /// Resources on the worker are reserved for a gang of another step.
    pub is_reserved: bool,
    /// The place of the worker in the order of speeds that the job prefers, lower ones first.
    pub speed_order: u8,
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
            is_healthy: worker.is_healthy(),
            is_stable: worker.is_stable(now),
            serves_users: worker.serving_runs > 0,
            is_reserved: false,
            speed_order: 0,
        }
    }

    /// Frees the resources of a run. They reduce the overcommitment first, if the worker is overcommitted.
    pub fn release(&mut self, charge: &Resources) {
        self.free = self.free.plus(&charge.saturating_sub(&self.overcommitted));
        self.overcommitted = self.overcommitted.saturating_sub(charge);
    }

    /// Whether the step's limit on tasks per worker allows one more.
    pub fn is_below_limit(&self, spec: &Step) -> bool {
        spec.worker_limit == 0 || self.step_runs < spec.worker_limit
    }

    /// The number of the step's tasks that fit on the worker.
    pub fn count_fitting(&self, spec: &Step, charge: &Resources) -> usize {
        let mut candidate = self.clone();
        let mut count = 0;
        while count < spec.count as usize && candidate.has_room(spec, charge) {
            candidate.free = candidate.free.saturating_sub(charge);
            candidate.step_runs += 1;
            count += 1;
            visits::add(1);
        }
        count
    }

    /// Whether one more task of the step fits on the worker.
    pub fn has_room(&self, spec: &Step, charge: &Resources) -> bool {
        self.is_below_limit(spec) && self.free.can_fit(charge)
    }
}

/// Selects the best worker with room for one task.
///
/// Preferences, in descending order: a worker on which the task hasn't failed; the rack of its data; for a filler, a
/// worker that runs no serving tasks; a worker without resources reserved for a gang; a worker of the speed that the
/// job prefers; the job's failure domain; a healthy worker; the worker with the fewest cores left free. A filler takes
/// the one with the most idle cores instead.
///
/// A task that was running when a worker crashed prefers the worker with the fewest other runs over all but the first
/// preference. From the second crash on it only goes to stable workers: a crash of a worker that has just restarted is
/// no evidence against the task.
pub(in crate::cell) fn pick_worker<'a>(
    candidates: &'a mut [Candidate],
    spec: &Step,
    home: Option<&Name>,
    task: &Task,
) -> Option<&'a mut Candidate> {
    visits::add(candidates.len() * (1 + task.failed_workers.len()));
    let charge = spec.charged_resources();
    let score = |candidate: &Candidate| {
        let far = !spec.data_rack.is_empty() && candidate.rack.as_ref() != Some(&spec.data_rack);
        let away = home.is_some_and(|home| candidate.domain != *home);
        let free = candidate.free.saturating_sub(&charge).cpu;
        let cpu_score = if spec.best_effort { u64::MAX - free } else { free };
        let beside_serving = spec.best_effort && candidate.serves_users;
        let is_reserved = candidate.is_reserved;
        let speed = candidate.speed_order;
        let penalties = (beside_serving, is_reserved, speed, away, !candidate.is_healthy);
        let neighbors = if task.crashes.is_empty() { 0 } else { candidate.total_runs };
        (task.failed_workers.contains(&candidate.name), neighbors, far, penalties, cpu_score)
    };
    let needs_stable = needs_stable_worker(&task.crashes);
    let is_usable = |candidate: &&mut Candidate| {
        candidate.has_room(spec, &charge) && (candidate.is_stable || !needs_stable)
    };
    candidates.iter_mut().filter(is_usable).min_by_key(|candidate| score(candidate))
}

/// Selects workers for all tasks of a gang.
///
/// A gang with a quarantined member goes to idle workers if they suffice. A gang that prefers a single rack goes to one
/// if any has enough room. Otherwise the gang goes to the job's failure domain, or to any worker if that is too full.
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
    // The tasks of a gang end together, with the one on the slowest worker.
    let is_home = |candidate: &Candidate| Some(&candidate.domain) == home;
    let suits = |candidate: &Candidate| candidate.speed_order <= 1;
    assign_gang(candidates, spec, |candidate| suits(candidate) && is_home(candidate))
        .or_else(|| assign_gang(candidates, spec, suits))
        .or_else(|| assign_gang(candidates, spec, |_| true))
}

/// Assigns an eligible worker to each task of a gang; `None` if they don't all fit.
fn assign_gang(
    candidates: &[Candidate],
    spec: &Step,
    is_eligible: impl Fn(&Candidate) -> bool,
) -> Option<Vec<Name>> {
    visits::add(candidates.len() + spec.count as usize);
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
