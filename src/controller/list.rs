//! The platform's list of VMs, as it was last read. The list lags and may be unreachable.

use crate::id::Name;
use crate::size::Size;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a VM does.
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
    /// Its name, never used again for another VM.
    pub name: Name,
    /// What it does.
    pub role: Role,
    /// Where it answers: IP number and port.
    pub addr: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Its rack: the shard that it belongs to.
    pub rack: Name,
    /// What it has; for workers.
    #[serde(default)]
    pub size: Size,
    /// How many requests it takes at once; for runners.
    #[serde(default)]
    pub slots: u32,
    /// Whether it is about to leave.
    #[serde(default)]
    pub leaving: bool,
}

/// A version of the list.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct VmList {
    /// The version; it only grows.
    pub rev: u64,
    /// The VMs that exist. A VM that was listed and is not any more is gone for good.
    pub vms: Vec<Vm>,
}

/// The newest list read, and what was ever listed.
#[derive(Debug, Default)]
pub struct Lists {
    newest: VmList,
    gone: BTreeMap<Name, u64>,
}

impl Lists {
    /// Takes a list; `false` if it is not newer than the one held.
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

    /// Whether a VM was listed once and is listed no more.
    pub fn is_gone(&self, vm: &str) -> bool {
        self.gone.contains_key(vm)
    }
}
