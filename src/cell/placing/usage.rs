//! Limits on the resources that each workspace has in use.
//!
//! Without them, a workspace that submits many times its usual number of jobs could take all free resources before the
//! tasks of the others are placed.
//!
//! Each run counts towards its workspace's usage for as long as it may be running: from when a worker is chosen until
//! the worker reports that the run has ended, or its lease has certainly expired.

use crate::cell::Cell;
use crate::cell::jobs::job::Job;
use crate::id::Name;
use crate::workload::{Resources, Step};
use crate::workspace::{Workspace, Workspaces};
use std::collections::HashMap;
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
        let quotient = |left: u64, per_task: u64| match per_task {
            // The task uses none of this resource.
            0 => u64::MAX,
            per_task => left / per_task,
        };
        let count = quotient(left.cpu, room.cpu).min(quotient(left.mem, room.mem));
        let count = count.min(quotient(left.gpu, room.gpu)).min(max as u64) as usize;
        match count {
            0 if used == Resources::default() => max.min(1),
            count => count,
        }
    }
}

impl Cell {
    /// Replaces the workspaces by those of a new version of the policy.
    pub fn set_workspaces(&mut self, workspaces: Workspaces) {
        self.usages.workspaces = workspaces;
        self.needs_placement = true;
    }

    /// Whether runs of a workspace with a limit may not be counted, because an earlier owner may have started them
    /// without a record. It stayed within the limit with them, so that they may take all that the known runs leave.
    pub(in crate::cell) fn may_have_unknown_runs(&self, workspace: &Workspace) -> bool {
        self.unrecorded_starts.is_some() && workspace.is_bounded()
    }

    /// How many of `max` tasks of a step the job's workspace may start now. All tasks of a gang start together or none.
    pub(in crate::cell) fn allowed_starts(&self, job: &Job, spec: &Step, max: usize) -> usize {
        let workspace = job.workspace.as_ref().and_then(|name| self.usages.workspace(name));
        let Some(workspace) = workspace else { return max };
        if self.may_have_unknown_runs(workspace) {
            return 0;
        }
        match self.usages.allowed_tasks(workspace, &spec.resources, max) {
            count if spec.is_gang && count < spec.count as usize => 0,
            count => count,
        }
    }
}
