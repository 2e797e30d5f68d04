//! Workspaces: the customers that callers belong to, each with API keys, a fair share and a resource limit.

use crate::id::Name;
use crate::workload::Resources;
use std::collections::HashMap;
use std::sync::Arc;

/// A workspace of the active policy.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: Name,
    /// Fair share of the workspace under full load, in jobs per second.
    pub weight: u32,
    /// Maximum resources of its running tasks over all workers.
    pub limit: Resources,
}

impl Workspace {
    /// Whether the resources of its running tasks are limited.
    pub fn is_bounded(&self) -> bool {
        self.limit != Resources::UNLIMITED
    }
}

/// The workspaces of a policy, indexed by name and by API key.
#[derive(Debug, Clone, Default)]
pub struct Workspaces {
    by_name: HashMap<Name, Arc<Workspace>>,
    by_api_key: HashMap<Name, Arc<Workspace>>,
}

impl Workspaces {
    /// Adds a workspace with the API keys of its callers.
    pub fn add(&mut self, workspace: Workspace, keys: impl IntoIterator<Item = Name>) {
        let workspace = Arc::new(workspace);
        self.by_api_key.extend(keys.into_iter().map(|key| (key, workspace.clone())));
        self.by_name.insert(workspace.name.clone(), workspace);
    }

    /// Returns the workspace that an API key belongs to.
    pub fn by_api_key(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.by_api_key.get(key)
    }

    /// Returns the workspace with a name.
    pub fn get(&self, name: &str) -> Option<&Arc<Workspace>> {
        self.by_name.get(name)
    }

    /// Number of workspaces.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether there are no workspaces.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}
