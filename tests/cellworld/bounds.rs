//! Workspaces with bounds on what they have running, bounds that change, and a store that refuses batches with new
//! jobs, which are given back.

use super::*;
use sprucerudder::cell::records::journal::parse_key;
use sprucerudder::workspace::{Workspace, Workspaces};

/// The workspaces with bounds; jobs of a third kind belong to none.
const NAMES: [&str; 2] = ["one", "two"];
/// Bounds, in thousandths of a core: the least holds the widest gang, the most leaves part of all room to others.
const LEAST: u64 = 4_000;
const SPREAD: u64 = 3_000;
/// How long an owner may go by an earlier bound, by the platform's contract.
const IN_FORCE: u64 = 3_000;
/// How long it takes until an owner hears of a bound.
const HEARD: u64 = 1_500;

/// The bounds over time: since when, and how much, for each workspace.
pub(super) type Limits = BTreeMap<Name, Vec<(u64, u64)>>;

impl World {
    /// Jobs belong to workspaces, whose bounds change some times.
    pub(super) fn bound(&mut self) {
        self.bounded = true;
        for name in NAMES {
            let mut limits = vec![(0, LEAST + self.pick(SPREAD))];
            for _ in 0..self.pick(4) {
                let (at, limit) = (self.pick(CALM), LEAST + self.pick(SPREAD));
                limits.push((at, limit));
                let heard = at + self.pick(HEARD);
                self.at(heard, Event::Rebound);
            }
            limits.sort_unstable();
            self.limits.insert(name.into(), limits);
        }
        self.rebound();
    }

    /// Owners hear of the bounds as they are now.
    pub(super) fn rebound(&mut self) {
        let workspaces = self.workspaces();
        for owner in &mut self.owners {
            owner.cell.set_workspaces(workspaces.clone());
        }
    }

    pub(super) fn workspaces(&self) -> Workspaces {
        let mut all = Workspaces::default();
        if self.without == Without::Bounds {
            return all;
        }
        for (name, limits) in &self.limits {
            let now = limits.iter().rfind(|(at, _)| *at <= self.now);
            let (_, cpu) = now.unwrap_or_else(|| panic!("a bound of {name} from the begin on"));
            let limit = Room { cpu: *cpu, ..Room::UNLIMITED };
            all.add(Workspace { name: name.clone(), weight: 1, limit }, []);
        }
        all
    }

    pub(super) fn workspace(&self, job: JobKey) -> Option<Name> {
        let name = NAMES.get((job.0 % 3) as usize).filter(|_| self.bounded);
        name.map(|name| Name::from(*name))
    }

    /// What runs of a workspace, in thousandths of a core.
    fn used(&self, workspace: &Name) -> u64 {
        let alive = self.workers.values().filter(|worker| worker.alive);
        let running = alive.flat_map(|worker| &worker.running);
        let of_it =
            running.filter(|(task, _)| self.workspace(task.step.job).as_ref() == Some(workspace));
        of_it.map(|(_, run)| run.charge.cpu).sum()
    }

    /// A start takes a workspace past the highest bound that may be in force, and it had something running.
    pub(super) fn check_bound(&mut self, task: TaskKey, spec: &Step) {
        let Some(workspace) = self.workspace(task.step.job) else { return };
        let limits = &self.limits[&workspace];
        let since = self.now.saturating_sub(IN_FORCE);
        // The one in force at that time, and all later ones.
        let first = limits.iter().rposition(|(at, _)| *at <= since).unwrap_or(0);
        let in_force = limits[first..].iter().filter(|(at, _)| *at <= self.now);
        let most = in_force.map(|(_, limit)| *limit).max();
        let used = self.used(&workspace);
        let wanted = used + spec.room.cpu;
        if most.is_none_or(|most| wanted > most) && used > 0 {
            self.fault(format!("{task} takes workspace {workspace} to {wanted} of {most:?}"));
        }
        self.peak = self.peak.max(wanted);
    }

    /// Whether a job's workspace has half of its bound running: then the contract lets a job wait.
    pub(super) fn has_half(&self, job: JobKey) -> bool {
        let Some(workspace) = self.workspace(job) else { return false };
        let now = self.limits[&workspace].iter().rfind(|(at, _)| *at <= self.now);
        now.is_some_and(|(_, limit)| self.used(&workspace) * 2 >= *limit)
    }

    /// The store refuses a batch for good: its new jobs are given back, and the rest is written without them.
    pub(super) fn give_back(&mut self, owner: usize, batch: &Batch) -> Batch {
        let gone = self.owners[owner].cell.withdraw_batch(batch.number);
        self.given_back += gone.len();
        let stays = |key: &str| !parse_key(key).is_some_and(|(job, _)| gone.contains(&job));
        let records = batch.records.iter().filter(|(key, _)| stays(key)).cloned().collect();
        Batch { number: batch.number, records }
    }

    /// Nothing of a job that is given back starts, and nothing of it is in the store.
    pub(super) fn check_known(&mut self, task: TaskKey) {
        if self.bounded && !self.store.contains_key(&task.step.job.to_string()) {
            self.fault(format!("{task} starts, and its job is not in the store"));
        }
    }
}
