//! The platform's list of VMs, as last read. The list may lag behind the VMs or be unreachable.

use crate::id::Name;
use crate::size::Size;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The role of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Runs tasks.
    Worker,
    /// Answers requests.
    Runner,
    /// Runs an entry.
    Entry,
}

/// One VM of the list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// The name of the VM, which is never reused for another one.
    pub name: Name,
    /// The role of the VM.
    pub role: Role,
    /// The IP address and port of its service.
    pub addr: Name,
    /// The failure domain of the VM.
    pub domain: Name,
    /// The rack of the VM, which is also the name of its shard.
    pub rack: Name,
    /// The resources of a worker.
    #[serde(default)]
    pub size: Size,
    /// How many requests a runner serves at the same time.
    #[serde(default)]
    pub slots: u32,
    /// Whether it is about to be removed.
    #[serde(default)]
    pub leaving: bool,
}

/// One version of the VM list.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct VmList {
    /// The version number, which only grows.
    pub rev: u64,
    /// The VMs that exist. A VM that disappears from the list never comes back.
    pub vms: Vec<Vm>,
}

/// The newest list that was read, and the VMs that have disappeared from it.
#[derive(Debug, Default)]
pub struct Lists {
    newest: VmList,
    gone: BTreeMap<Name, u64>,
}

impl Lists {
    /// Replaces the list by a newer one; returns `false` if `list` is not newer.
    pub fn take(&mut self, list: VmList) -> bool {
        if list.rev <= self.newest.rev {
            return false;
        }
        for vm in &self.newest.vms {
            if !list.vms.iter().any(|new| new.name == vm.name) {
                self.gone.insert(vm.name.clone(), list.rev);
            }
        }
        self.newest = list;
        true
    }

    /// The newest list.
    pub fn newest(&self) -> &VmList {
        &self.newest
    }

    /// Whether a VM has disappeared from the list.
    pub fn is_gone(&self, vm: &str) -> bool {
        self.gone.contains_key(vm)
    }
}
