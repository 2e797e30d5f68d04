//! Limits on the resources that each workspace has in use.
//!
//! Without them, a workspace that submits many times its usual number of jobs could take all free resources before the
//! tasks of the others are placed.
//!
//! Each run counts towards its workspace's usage for as long as it may be running: from when a worker is chosen until
//! the worker reports that the run has ended, or its lease has certainly expired.

use crate::cell::jobs::job::Job;
use crate::cell::{Cell, RUN_NUMBER_BITS};
use crate::id::Name;
use crate::order::WorkerReport;
use crate::workload::{Resources, Step, TaskKey};
use crate::workspace::{Workspace, Workspaces};
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The resources that one workspace has in use. Clones share one counter.
#[derive(Debug, Clone, Default)]
struct Usage(Arc<Mutex<Resources>>);

impl Usage {
    fn lock(&self) -> MutexGuard<'_, Resources> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The resources that a run adds to its workspace's usage. They are subtracted again when the guard is dropped.
#[derive(Debug)]
pub struct UsageGuard {
    usage: Usage,
    room: Resources,
}

impl UsageGuard {
    /// The resources that the run adds to the usage.
    pub fn room(&self) -> Resources {
        self.room
    }
}

impl Drop for UsageGuard {
    fn drop(&mut self) {
        let mut used = self.usage.lock();
        *used = used.saturating_sub(&self.room);
    }
}

/// The usage and the limits of all workspaces in one cell. All jobs of a workspace with a limit are in one cell, so its
/// usage there is its total usage.
#[derive(Debug, Default)]
pub(in crate::cell) struct WorkspaceUsages {
    by_workspace: HashMap<Name, Usage>,
    workspaces: Workspaces,
    /// The runs that certainly exist, of workspaces with a limit, while others may be unknown: those that workers have
    /// reported, and those of this owner.
    confirmed: HashMap<Name, Usage>,
    /// The resources of all runs of earlier owners that workers have reported meanwhile.
    inherited: HashMap<Name, Resources>,
    /// These runs. A worker that was unreachable for a while reports them again.
    inherited_runs: HashSet<(TaskKey, u64)>,
}

impl WorkspaceUsages {
    /// Looks up a workspace in the current policy.
    pub fn workspace(&self, name: &str) -> Option<&Arc<Workspace>> {
        self.workspaces.get(name)
    }

    /// Adds the resources of a run to its workspace's usage until the guard is dropped.
    pub fn acquire(&mut self, workspace: &Name, room: Resources) -> UsageGuard {
        let usage = self.by_workspace.entry(workspace.clone()).or_default().clone();
        let now = usage.lock().plus(&room);
        *usage.lock() = now;
        UsageGuard { usage, room }
    }

    /// Adds a run to those that certainly exist until the guard is dropped.
    pub fn confirm(&mut self, workspace: &Name, room: Resources) -> UsageGuard {
        let usage = self.confirmed.entry(workspace.clone()).or_default().clone();
        let now = usage.lock().plus(&room);
        *usage.lock() = now;
        UsageGuard { usage, room }
    }

    /// As [`Self::confirm`], for a run of an earlier owner.
    pub fn confirm_inherited(
        &mut self,
        workspace: &Name,
        run: (TaskKey, u64),
        room: Resources,
    ) -> UsageGuard {
        if self.inherited_runs.insert(run) {
            let sum = self.inherited.entry(workspace.clone()).or_default();
            *sum = sum.plus(&room);
        }
        self.confirm(workspace, room)
    }

    /// The number of tasks of a size that a workspace may start, at most `max`, while runs of an earlier owner may be
    /// unknown. That owner kept within the limit with all of them at once, so that the unknown ones take at most what the
    /// reported ones left. The resources of a reported run may be used again once it has ended.
    pub fn allowed_beside_unknown(
        &self,
        workspace: &Workspace,
        room: &Resources,
        max: usize,
    ) -> usize {
        let inherited = self.inherited.get(&workspace.name).copied().unwrap_or_default();
        let confirmed = self.confirmed.get(&workspace.name).map(|usage| *usage.lock());
        let left = inherited.saturating_sub(&confirmed.unwrap_or_default());
        count_fitting(&left, room, max).min(self.allowed_tasks(workspace, room, max))
    }

    /// The resources that a workspace has in use in this cell.
    pub fn used(&self, workspace: &Name) -> Resources {
        match self.by_workspace.get(workspace) {
            Some(usage) => *usage.lock(),
            // No run of the workspace has been counted yet.
            None => Resources::default(),
        }
    }

    /// The number of tasks of a size that a workspace may start, at most `max`. A single task that exceeds the limit
    /// may start if the workspace has nothing else running: it would never run otherwise.
    pub fn allowed_tasks(&self, workspace: &Workspace, room: &Resources, max: usize) -> usize {
        let used = self.used(&workspace.name);
        let left = workspace.limit.saturating_sub(&used);
        match count_fitting(&left, room, max) {
            0 if used == Resources::default() => max.min(1),
            count => count,
        }
    }
}

/// The number of tasks of a size that fit into resources, at most `max`.
fn count_fitting(left: &Resources, room: &Resources, max: usize) -> usize {
    let quotient = |left: u64, per_task: u64| match per_task {
        // The task uses none of this resource.
        0 => u64::MAX,
        per_task => left / per_task,
    };
    let count = quotient(left.cpu, room.cpu).min(quotient(left.mem, room.mem));
    count.min(quotient(left.gpu, room.gpu)).min(max as u64) as usize
}

impl Cell {
    /// Replaces the workspaces by those of a new version of the policy.
    pub fn set_workspaces(&mut self, workspaces: Workspaces) {
        self.usages.workspaces = workspaces;
        self.needs_placement = true;
    }

    /// Whether runs of a workspace with a limit may not be counted, because an earlier owner may have started them
    /// without a record.
    pub(in crate::cell) fn may_have_unknown_runs(&self, workspace: &Workspace) -> bool {
        self.unrecorded_starts.is_some() && workspace.is_bounded()
    }

    /// How many of `max` tasks of a step the job's workspace may start now. All tasks of a gang start together or none.
    pub(in crate::cell) fn allowed_starts(&self, job: &Job, spec: &Step, max: usize) -> usize {
        let workspace = job.workspace.as_ref().and_then(|name| self.usages.workspace(name));
        let Some(workspace) = workspace else { return max };
        let allowed = match self.may_have_unknown_runs(workspace) {
            true => self.usages.allowed_beside_unknown(workspace, &spec.resources, max),
            false => self.usages.allowed_tasks(workspace, &spec.resources, max),
        };
        match allowed {
            count if spec.is_gang && count < spec.count as usize => 0,
            count => count,
        }
    }

    /// Notes that a worker has reported runs of earlier owners, while others may be unknown.
    pub(in crate::cell) fn confirm_inherited_runs(&mut self, name: &Name, report: &WorkerReport) {
        if self.unrecorded_starts.is_none() {
            return;
        }
        let Some(worker) = self.workers.get_mut(name) else { return };
        for row in &report.running {
            let is_inherited = row.run >> RUN_NUMBER_BITS < self.epoch;
            let workspace =
                self.jobs.get(&row.task.step.job).and_then(|job| job.workspace.as_ref());
            let Some(run) = worker.runs.get_mut(&(row.task, row.run)) else { continue };
            // The size of a run whose job was closed may be unknown. Nothing is used again for it.
            let room = run.usage_guard.as_ref().map(UsageGuard::room);
            let room = room.filter(|room| *room != Resources::UNKNOWN);
            if let (true, None, Some(workspace), Some(room)) =
                (is_inherited, &run.confirmed_guard, workspace, room)
            {
                let guard = self.usages.confirm_inherited(workspace, (row.task, row.run), room);
                run.confirmed_guard = Some(guard);
            }
        }
    }

    /// Notes that a run of this owner exists, while others may be unknown.
    pub(in crate::cell) fn confirm_own_run(
        &mut self,
        workspace: Option<&Name>,
        room: Resources,
    ) -> Option<UsageGuard> {
        let workspace = workspace.filter(|_| self.unrecorded_starts.is_some())?;
        Some(self.usages.confirm(workspace, room))
    }
}
