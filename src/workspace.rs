//! Workspaces: the teams that callers belong to, each with keys, a share, and a bound on what it runs.

use crate::id::Name;
use crate::workload::Resources;
use std::collections::HashMap;
use std::sync::Arc;

/// A workspace: a row of the policy in force.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Its name.
    pub name: Name,
    /// Its share when everything is full, as jobs a second.
    pub weight: u32,
    /// The most that it may have running over all workers.
    pub limit: Resources,
}

impl Workspace {
    /// Whether there is a bound on what it has running.
    pub fn is_bounded(&self) -> bool {
        self.limit != Resources::UNLIMITED
    }
}

/// Workspaces, by what they are asked for.
#[derive(Debug, Clone, Default)]
pub struct Workspaces {
    by_name: HashMap<Name, Arc<Workspace>>,
    by_api_key: HashMap<Name, Arc<Workspace>>,
}

impl Workspaces {
    /// Adds a workspace with its callers' keys.
    pub fn add(&mut self, workspace: Workspace, keys: impl IntoIterator<Item = Name>) {
        let workspace = Arc::new(workspace);
        self.by_api_key.extend(keys.into_iter().map(|key| (key, workspace.clone())));
        self.by_name.insert(workspace.name.clone(), workspace);
    }

    /// The workspace of a caller's key.
    pub fn by_api_key(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.by_api_key.get(key)
    }

    /// A workspace by its name.
    pub fn get(&self, name: &str) -> Option<&Arc<Workspace>> {
        self.by_name.get(name)
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}
