//! What each workspace has running, and what more of it may start.
//!
//! The load that this answers: one workspace sends many times its usual, and its tasks take whatever room there is
//! before those of the others come to it.
//!
//! Each run holds its part of its workspace's usage for as long as anything may run: from when a worker is chosen
//! until the worker has said that the run is gone, or its leases are surely over.

use crate::cell::Cell;
use crate::cell::jobs::job::Job;
use crate::id::Name;
use crate::workload::{Resources, Step};
use crate::workspace::{Workspace, Workspaces};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What one workspace has running. Clones are the same count.
#[derive(Debug, Clone, Default)]
struct Usage(Arc<Mutex<Resources>>);

impl Usage {
    fn room(&self) -> MutexGuard<'_, Resources> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A run's part of its workspace's usage, given back when it is dropped.
#[derive(Debug)]
pub struct UsageGuard {
    usage: Usage,
    room: Resources,
}

impl Drop for UsageGuard {
    fn drop(&mut self) {
        let mut used = self.usage.room();
        *used = used.saturating_sub(&self.room);
    }
}

/// The usage of all workspaces in one cell, and their bounds: all jobs of a workspace with a bound are in one cell.
#[derive(Debug, Default)]
pub(in crate::cell) struct WorkspaceUsages {
    by_workspace: HashMap<Name, Usage>,
    workspaces: Workspaces,
}

impl WorkspaceUsages {
    /// A workspace of the policy in force.
    pub fn workspace(&self, name: &str) -> Option<&Arc<Workspace>> {
        self.workspaces.get(name)
    }

    /// Counts a run for its workspace.
    pub fn acquire(&mut self, workspace: &Name, room: Resources) -> UsageGuard {
        let usage = self.by_workspace.entry(workspace.clone()).or_default().clone();
        let now = usage.room().plus(&room);
        *usage.room() = now;
        UsageGuard { usage, room }
    }

    /// What a workspace has running here.
    pub fn used(&self, workspace: &Name) -> Resources {
        match self.by_workspace.get(workspace) {
            Some(usage) => *usage.room(),
            // No run of it was counted here yet.
            None => Resources::default(),
        }
    }

    /// How many tasks of a size a workspace may start here, at most `most`. One task runs alone though it is larger
    /// than the bound: it would never run otherwise.
    pub fn allowed_tasks(&self, workspace: &Workspace, room: &Resources, max: usize) -> usize {
        let used = self.used(&workspace.name);
        let left = workspace.limit.saturating_sub(&used);
        let quotient = |left: u64, each: u64| match each {
            // A task that takes none of it fits any number of times.
            0 => u64::MAX,
            each => left / each,
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
    /// The workspaces of another version of the policy.
    pub fn set_workspaces(&mut self, workspaces: Workspaces) {
        self.usages.workspaces = workspaces;
        self.needs_placement = true;
    }

    /// How many tasks of a step the job's workspace may start now, of `most`. A gang starts whole or not at all.
    pub(in crate::cell) fn allowed_starts(&self, job: &Job, spec: &Step, max: usize) -> usize {
        let workspace = job.workspace.as_ref().and_then(|name| self.usages.workspace(name));
        let Some(workspace) = workspace else { return max };
        match self.usages.allowed_tasks(workspace, &spec.resources, max) {
            count if spec.is_gang && count < spec.count as usize => 0,
            count => count,
        }
    }
}
