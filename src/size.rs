//! Resource amounts of workers and tasks.

use serde::{Deserialize, Serialize};
use std::fmt;

/// An amount of CPU, memory and accelerators.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// CPU, in thousandths of a core.
    pub cpu: u32,
    /// Memory, in MB.
    pub mem: u32,
    /// Number of accelerators.
    #[serde(default)]
    pub acc: u32,
}

impl Size {
    /// Creates a size from thousandths of a core, MB and a number of accelerators.
    pub const fn new(cpu: u32, mem: u32, acc: u32) -> Self {
        Self { cpu, mem, acc }
    }

    /// Whether `need` fits into `self` in every dimension.
    pub fn can_fit(&self, need: &Self) -> bool {
        need.cpu <= self.cpu && need.mem <= self.mem && need.acc <= self.acc
    }

    /// Adds `other`; `None` on overflow.
    pub fn checked_add(&self, other: &Self) -> Option<Self> {
        Some(Self {
            cpu: self.cpu.checked_add(other.cpu)?,
            mem: self.mem.checked_add(other.mem)?,
            acc: self.acc.checked_add(other.acc)?,
        })
    }

    /// Subtracts `other`, stopping at zero in each dimension.
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            mem: self.mem.saturating_sub(other.mem),
            acc: self.acc.saturating_sub(other.acc),
        }
    }

    /// The larger value in each dimension.
    pub fn component_max(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            mem: self.mem.max(other.mem),
            acc: self.acc.max(other.acc),
        }
    }

    /// How many copies of `need` fit into `self`; `u32::MAX` if `need` is zero.
    pub fn max_copies(&self, need: &Self) -> u32 {
        let copies =
            |available: u32, needed: u32| available.checked_div(needed).unwrap_or(u32::MAX);
        copies(self.cpu, need.cpu).min(copies(self.mem, need.mem)).min(copies(self.acc, need.acc))
    }

    /// Dominant share: the largest fraction of `self` that `used` takes in any dimension, in thousandths.
    pub fn dominant_share(&self, used: &Self) -> u32 {
        let fraction =
            |used: u32, total: u32| (used as u64 * 1000).checked_div(total as u64).unwrap_or(0);
        fraction(used.cpu, self.cpu)
            .max(fraction(used.mem, self.mem))
            .max(fraction(used.acc, self.acc)) as u32
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}m/{}MB/{}acc", self.cpu, self.mem, self.acc)
    }
}
