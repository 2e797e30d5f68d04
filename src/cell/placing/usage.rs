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
use crate::workload::{Room, Step};
use crate::workspace::{Workspace, Workspaces};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What one workspace has running. Clones are the same count.
#[derive(Debug, Clone, Default)]
struct Usage(Arc<Mutex<Room>>);

impl Usage {
    fn room(&self) -> MutexGuard<'_, Room> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A run's part of its workspace's usage, given back when it is dropped.
#[derive(Debug)]
pub struct Held {
    usage: Usage,
    room: Room,
}

impl Drop for Held {
    fn drop(&mut self) {
        let mut used = self.usage.room();
        *used = used.less(&self.room);
    }
}

/// The usage of all workspaces in one cell, and their bounds: all jobs of a workspace with a bound are in one cell.
#[derive(Debug, Default)]
pub(in crate::cell) struct Usages {
    used: HashMap<Name, Usage>,
    workspaces: Workspaces,
}

impl Usages {
    /// A workspace of the policy in force.
    pub fn workspace(&self, name: &str) -> Option<&Arc<Workspace>> {
        self.workspaces.get(name)
    }

    /// Counts a run for its workspace.
    pub fn hold(&mut self, workspace: &Name, room: Room) -> Held {
        let usage = self.used.entry(workspace.clone()).or_default().clone();
        let now = usage.room().plus(&room);
        *usage.room() = now;
        Held { usage, room }
    }

    /// What a workspace has running here.
    pub fn used(&self, workspace: &Name) -> Room {
        match self.used.get(workspace) {
            Some(usage) => *usage.room(),
            // No run of it was counted here yet.
            None => Room::default(),
        }
    }

    /// How many tasks of a size a workspace may start here, at most `most`. One task runs alone though it is larger
    /// than the bound: it would never run otherwise.
    pub fn allowed(&self, workspace: &Workspace, room: &Room, most: usize) -> usize {
        let used = self.used(&workspace.name);
        let left = workspace.limit.less(&used);
        let fits = |left: u64, each: u64| match each {
            // A task that takes none of it fits any number of times.
            0 => u64::MAX,
            each => left / each,
        };
        let count = fits(left.cpu, room.cpu).min(fits(left.mem, room.mem));
        let count = count.min(fits(left.gpu, room.gpu)).min(most as u64) as usize;
        match count {
            0 if used == Room::default() => most.min(1),
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
    pub(in crate::cell) fn allowed(&self, job: &Job, spec: &Step, most: usize) -> usize {
        let workspace = job.workspace.as_ref().and_then(|name| self.usages.workspace(name));
        let Some(workspace) = workspace else { return most };
        match self.usages.allowed(workspace, &spec.room, most) {
            count if spec.gang && count < spec.count as usize => 0,
            count => count,
        }
    }
}
