//! Workspaces whose limits change, and a store that rejects batches with new jobs, which the owner
//! then withdraws.

use super::*;
use sprucerudder::cell::records::journal::parse_key;
use sprucerudder::workspace::{Workspace, Workspaces};

/// The workspaces with limits; a third of the jobs belong to none.
const WORKSPACES: [&str; 2] = ["one", "two"];
/// Limits, in thousandths of a core. The lowest one holds the widest gang; the highest one leaves
/// part of the capacity to others.
const MIN_LIMIT: u64 = 4_000;
const LIMIT_RANGE: u64 = 3_000;
/// How long an owner may still apply an earlier limit, by the platform's contract.
const LIMIT_GRACE_MS: u64 = 3_000;
/// How long it takes at most until an owner learns of a new limit.
const LIMIT_DELAY_MS: u64 = 1_500;

/// For each workspace, its limits with the times from which they apply.
pub(super) type LimitHistory = BTreeMap<Name, Vec<(u64, u64)>>;

impl Simulation {
    /// Assigns jobs to workspaces and schedules changes of their limits.
    pub(super) fn add_limits(&mut self) {
        self.has_limits = true;
        for name in WORKSPACES {
            let mut limits = vec![(0, MIN_LIMIT + self.pick(LIMIT_RANGE))];
            for _ in 0..self.pick(4) {
                let (at, limit) = (self.pick(FAULTS_END_MS), MIN_LIMIT + self.pick(LIMIT_RANGE));
                limits.push((at, limit));
                let announced = at + self.pick(LIMIT_DELAY_MS);
                self.schedule_at(announced, Event::UpdateLimits);
            }
            limits.sort_unstable();
            self.limits.insert(name.into(), limits);
        }
        self.publish_limits();
    }

    /// Passes the current limits to all owners.
    pub(super) fn publish_limits(&mut self) {
        let workspaces = self.current_workspaces();
        for owner in &mut self.owners {
            owner.cell.set_workspaces(workspaces.clone());
        }
    }

    pub(super) fn current_workspaces(&self) -> Workspaces {
        let mut all = Workspaces::default();
        if self.disabled == Disabled::Limits {
            return all;
        }
        for (name, limits) in &self.limits {
            let current = limits.iter().rfind(|(at, _)| *at <= self.now);
            let (_, cpu) =
                current.unwrap_or_else(|| panic!("workspace {name} has no limit at the start"));
            let limit = Resources { cpu: *cpu, ..Resources::UNLIMITED };
            all.add(Workspace { name: name.clone(), weight: 1, limit }, []);
        }
        all
    }

    pub(super) fn workspace_of(&self, job: JobKey) -> Option<Name> {
        let name = WORKSPACES.get((job.0 % 3) as usize).filter(|_| self.has_limits);
        name.map(|name| Name::from(*name))
    }

    /// The CPU that a workspace uses, in thousandths of a core.
    fn cpu_in_use(&self, workspace: &Name) -> u64 {
        let alive = self.workers.values().filter(|worker| worker.alive);
        let running = alive.flat_map(|worker| &worker.running);
        let in_workspace = running
            .filter(|(task, _)| self.workspace_of(task.step.job).as_ref() == Some(workspace));
        in_workspace.map(|(_, run)| run.charge.cpu).sum()
    }

    /// Checks that a start doesn't take a workspace beyond the highest limit that may still apply,
    /// unless nothing of it runs.
    pub(super) fn check_limit(&mut self, task: TaskKey, spec: &Step) {
        let Some(workspace) = self.workspace_of(task.step.job) else { return };
        let limits = &self.limits[&workspace];
        let since = self.now.saturating_sub(LIMIT_GRACE_MS);
        // The limit that applied at that time, and all later ones.
        let first = limits.iter().rposition(|(at, _)| *at <= since).unwrap_or(0);
        let in_effect = limits[first..].iter().filter(|(at, _)| *at <= self.now);
        let max_limit = in_effect.map(|(_, limit)| *limit).max();
        let used = self.cpu_in_use(&workspace);
        let wanted = used + spec.resources.cpu;
        if max_limit.is_none_or(|limit| wanted > limit) && used > 0 {
            self.record_violation(format!(
                "{task} takes workspace {workspace} to {wanted} of {max_limit:?}"
            ));
        }
        self.peak_cpu = self.peak_cpu.max(wanted);
    }

    /// Whether a job's workspace uses at least half of its limit; the contract then allows its jobs
    /// to wait.
    pub(super) fn uses_half_limit(&self, job: JobKey) -> bool {
        let Some(workspace) = self.workspace_of(job) else { return false };
        let current = self.limits[&workspace].iter().rfind(|(at, _)| *at <= self.now);
        current.is_some_and(|(_, limit)| self.cpu_in_use(&workspace) * 2 >= *limit)
    }

    /// The store rejects a batch for good: its new jobs are withdrawn, and the rest is written
    /// without them.
    pub(super) fn withdraw_jobs(&mut self, owner: usize, batch: &Batch) -> Batch {
        let withdrawn = self.owners[owner].cell.withdraw_batch(batch.number);
        self.withdrawn_jobs += withdrawn.len();
        let is_kept = |key: &str| !parse_key(key).is_some_and(|(job, _)| withdrawn.contains(&job));
        let records = batch.records.iter().filter(|(key, _)| is_kept(key)).cloned().collect();
        Batch { number: batch.number, records }
    }

    /// Checks that no task of a withdrawn job starts: the store must hold the job.
    pub(super) fn check_recorded(&mut self, task: TaskKey) {
        if self.has_limits && !self.store.contains_key(&task.step.job.to_string()) {
            self.record_violation(format!("{task} starts, and its job is not in the store"));
        }
    }
}
