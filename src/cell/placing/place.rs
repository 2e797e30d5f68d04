//! Which of several workers with room a task or a gang goes to.

use crate::cell::jobs::job::Task;
use crate::cell::jobs::restart_policy::needs_stable_worker;
use crate::cell::workers::worker::Worker;
use crate::clock::Millis;
use crate::id::Name;
use crate::workload::{Room, Step, StepKey, TaskKey};
use std::collections::BTreeSet;

/// Whether a worker may run a step's tasks at all.
pub(in crate::cell) fn is_suitable(worker: &Worker, service: &str, spec: &Step) -> bool {
    let listed = &worker.listed;
    let label = spec.label.is_empty() || listed.labels.contains(&spec.label);
    label && *listed.service == *service && listed.room.holds(&spec.charge())
}

/// How many runs of a step a worker has.
pub(in crate::cell) fn count_at(worker: &Worker, key: StepKey) -> u32 {
    let first = TaskKey { step: key, index: 0 };
    let last = TaskKey { step: key, index: u32::MAX };
    worker.runs.range((first, 0)..=(last, u64::MAX)).count() as u32
}

/// What of a step found no worker.
#[derive(Debug)]
pub(in crate::cell) struct Need<'a> {
    pub step: StepKey,
    pub spec: &'a Step,
    /// How many of its tasks.
    pub tasks: u32,
}

/// A worker that tasks of a step may go to, as it is while that step is placed.
#[derive(Debug, Clone)]
pub(in crate::cell) struct Fit {
    pub name: Name,
    pub domain: Name,
    pub rack: Option<Name>,
    pub free: Room,
    /// What is taken beyond the room, since that shrank.
    pub excess: Room,
    /// Runs of the step there, if that matters.
    pub runs: u32,
    /// All runs there.
    pub busy: usize,
    pub is_sound: bool,
    /// Its process has stayed up for a while.
    pub is_settled: bool,
    /// It runs tasks that serve users of their own.
    pub serves: bool,
    /// Room is gathered there for a gang of another step.
    pub is_kept: bool,
}

impl Fit {
    pub fn new(now: Millis, name: &Name, worker: &Worker) -> Self {
        Self {
            name: name.clone(),
            domain: worker.listed.domain.clone(),
            rack: worker.rack().cloned(),
            free: worker.free(),
            excess: worker.used.less(&worker.listed.room),
            runs: 0,
            busy: worker.runs.len(),
            is_sound: worker.is_healthy(),
            is_settled: worker.is_stable(now),
            serves: worker.runs.values().any(|run| run.tail_limit.0 > 0),
            is_kept: false,
        }
    }

    /// What a run took is free again, unless the worker has too much taken.
    pub fn gain(&mut self, charge: &Room) {
        self.free = self.free.plus(&charge.less(&self.excess));
        self.excess = self.excess.less(charge);
    }

    /// Whether one more task of a step may go there at all.
    pub fn takes(&self, spec: &Step) -> bool {
        spec.apart == 0 || self.runs < spec.apart
    }

    /// How many tasks of a step have room.
    pub fn count(&self, spec: &Step, charge: &Room) -> usize {
        let mut fit = self.clone();
        let mut count = 0;
        while count < spec.count as usize && fit.holds(spec, charge) {
            fit.free = fit.free.less(charge);
            fit.runs += 1;
            count += 1;
        }
        count
    }

    /// Whether one more task of a step has room.
    pub fn holds(&self, spec: &Step, charge: &Room) -> bool {
        self.takes(spec) && self.free.holds(charge)
    }
}

/// The best worker with room for one task: near the data, not one on which it failed, in the job's
/// failure domain, sound, and then the one that is left with the least; fillers go where most
/// processors are idle. One under which a worker crashed goes where the least else runs, and from the second crash on
/// only to a worker that has stayed up: a crash of one that has just started again tells nothing of the task.
pub(in crate::cell) fn pick<'a>(
    fits: &'a mut [Fit],
    spec: &Step,
    home: Option<&Name>,
    task: &Task,
) -> Option<&'a mut Fit> {
    let charge = spec.charge();
    let score = |fit: &Fit| {
        let far = !spec.near.is_empty() && fit.rack.as_ref() != Some(&spec.near);
        let away = home.is_some_and(|home| fit.domain != *home);
        let free = fit.free.less(&charge).cpu;
        let room = if spec.filler { u64::MAX - free } else { free };
        let serves = spec.filler && fit.serves;
        let last = (serves, fit.is_kept, away, !fit.is_sound);
        let shared = if task.crashes.is_empty() { 0 } else { fit.busy };
        (task.failed_workers.contains(&fit.name), shared, far, last, room)
    };
    let needs_settled = needs_stable_worker(&task.crashes);
    let takes = |fit: &&mut Fit| fit.holds(spec, &charge) && (fit.is_settled || !needs_settled);
    fits.iter_mut().filter(takes).min_by_key(|fit| score(fit))
}

/// Workers for all tasks of a gang, on one rack if it wants that and one has the room; on workers where
/// nothing else runs, if there are such, for one with a quarantined member.
pub(in crate::cell) fn pick_gang(
    fits: &[Fit],
    spec: &Step,
    home: Option<&Name>,
    is_quarantined: bool,
) -> Option<Vec<Name>> {
    if is_quarantined && let Some(chosen) = fill(fits, spec, |fit| fit.busy == 0) {
        return Some(chosen);
    }
    if spec.rack {
        let racks: BTreeSet<&Name> = fits.iter().filter_map(|fit| fit.rack.as_ref()).collect();
        for rack in racks {
            if let Some(chosen) = fill(fits, spec, |fit| fit.rack.as_ref() == Some(rack)) {
                return Some(chosen);
            }
        }
    }
    fill(fits, spec, |fit| Some(&fit.domain) == home).or_else(|| fill(fits, spec, |_| true))
}

/// Gives each task of a gang one of the wanted workers, or none at all.
fn fill(fits: &[Fit], spec: &Step, wanted: impl Fn(&Fit) -> bool) -> Option<Vec<Name>> {
    let charge = spec.charge();
    let mut fits: Vec<Fit> = fits.iter().filter(|fit| wanted(fit)).cloned().collect();
    fits.sort_by_key(|fit| fit.free.cpu);
    let mut chosen = Vec::with_capacity(spec.count as usize);
    for mut fit in fits {
        while chosen.len() < spec.count as usize && fit.holds(spec, &charge) {
            fit.free = fit.free.less(&charge);
            fit.runs += 1;
            chosen.push(fit.name.clone());
        }
    }
    (chosen.len() == spec.count as usize).then_some(chosen)
}
