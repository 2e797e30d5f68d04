//! Amounts of a worker's resources.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Processors, memory and accelerators.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Processors, in thousandths of a core.
    pub cpu: u32,
    /// Memory, in MB.
    pub mem: u32,
    /// Accelerators, whole.
    #[serde(default)]
    pub acc: u32,
}

impl Size {
    /// A size from cores in thousandths, MB and whole accelerators.
    pub const fn new(cpu: u32, mem: u32, acc: u32) -> Self {
        Self { cpu, mem, acc }
    }

    /// Whether `self` has room for `need` in every dimension.
    pub fn can_fit(&self, need: &Self) -> bool {
        need.cpu <= self.cpu && need.mem <= self.mem && need.acc <= self.acc
    }

    /// `self + other`, or `None` on overflow.
    pub fn checked_add(&self, other: &Self) -> Option<Self> {
        Some(Self {
            cpu: self.cpu.checked_add(other.cpu)?,
            mem: self.mem.checked_add(other.mem)?,
            acc: self.acc.checked_add(other.acc)?,
        })
    }

    /// `self - other`, zero in a dimension where `other` is larger.
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            mem: self.mem.saturating_sub(other.mem),
            acc: self.acc.saturating_sub(other.acc),
        }
    }

    /// The larger of each dimension.
    pub fn component_max(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            mem: self.mem.max(other.mem),
            acc: self.acc.max(other.acc),
        }
    }

    /// How many times `need` fits into `self`; a need of nothing fits without limit.
    pub fn max_copies(&self, need: &Self) -> u32 {
        let per = |have: u32, want: u32| have.checked_div(want).unwrap_or(u32::MAX);
        per(self.cpu, need.cpu).min(per(self.mem, need.mem)).min(per(self.acc, need.acc))
    }

    /// The largest used share of `self` over the dimensions, in thousandths, if `used` is taken.
    pub fn dominant_share(&self, used: &Self) -> u32 {
        let part = |used: u32, all: u32| (used as u64 * 1000).checked_div(all as u64).unwrap_or(0);
        part(used.cpu, self.cpu).max(part(used.mem, self.mem)).max(part(used.acc, self.acc)) as u32
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}m/{}MB/{}acc", self.cpu, self.mem, self.acc)
    }
}
