//! Scheduling mechanisms that can be disabled, to measure the effect of each of them.

use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// A mechanism of the owner's scheduling decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// Workers on which runs fail or make no progress get no new runs for a while.
    SidelineWorkers,
    /// The first advice request of a step includes busy workers.
    RequestBusyWorkers,
    /// Slow tasks are started a second time on another worker if the caller allows it.
    SpeculativeCopies,
    /// Workers and failure domains that do not answer get no new runs.
    AvoidUnresponsive,
    /// Room is set aside for gangs that do not find enough of it at once.
    GatherForGangs,
    /// The tasks of a job prefer one failure domain.
    PreferDomain,
    /// Runs of less urgent tasks are stopped to make room for more urgent ones.
    Preemption,
    /// Room is reserved for tasks that wait for it.
    ReserveRoom,
    /// Jobs that a workspace submits beyond its share run after all other jobs.
    WorkspaceShares,
    /// An owner hands over the cell to a larger entry, or to any entry if it is overloaded.
    OwnershipTransfer,
    /// The cell goes to an entry with enough processors, and an owner names its successor.
    CapacityElection,
    /// Jobs that cannot be on time any more come after those that can.
    LatenessOrder,
    /// Runs are stopped only if more is spared than is lost.
    PreemptionAccount,
}

/// The name of each mechanism on the command line.
const NAMES: [(Mechanism, &str); 13] = [
    (Mechanism::SidelineWorkers, "aside"),
    (Mechanism::RequestBusyWorkers, "ask-busy"),
    (Mechanism::SpeculativeCopies, "copies"),
    (Mechanism::AvoidUnresponsive, "doubt"),
    (Mechanism::GatherForGangs, "gather"),
    (Mechanism::PreferDomain, "home"),
    (Mechanism::Preemption, "preempt"),
    (Mechanism::ReserveRoom, "reserve"),
    (Mechanism::WorkspaceShares, "shares"),
    (Mechanism::OwnershipTransfer, "transfer"),
    (Mechanism::CapacityElection, "capacity"),
    (Mechanism::LatenessOrder, "lateness"),
    (Mechanism::PreemptionAccount, "preempt-account"),
];

/// The error for a name that is not the name of a mechanism.
#[derive(Debug, Error, PartialEq)]
#[error(
    "unknown mechanism {0:?}, expected one of: aside, ask-busy, copies, doubt, gather, home, \
     preempt, reserve, shares, transfer, capacity, lateness, preempt-account"
)]
pub struct MechanismError(String);

/// The set of disabled mechanisms, which is empty by default.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DisabledMechanisms(u16);

impl DisabledMechanisms {
    /// Whether a mechanism is disabled.
    pub fn contains(self, mechanism: Mechanism) -> bool {
        self.0 & (1 << mechanism as u16) != 0
    }
}

impl FromStr for DisabledMechanisms {
    type Err = MechanismError;

    /// Parses a comma-separated list of names.
    fn from_str(text: &str) -> Result<Self, MechanismError> {
        let mut disabled = Self::default();
        for name in text.split(',') {
            let found = NAMES.iter().find(|(_, known)| *known == name);
            let (mechanism, _) = found.ok_or_else(|| MechanismError(name.to_string()))?;
            disabled.0 |= 1 << *mechanism as u16;
        }
        Ok(disabled)
    }
}

impl fmt::Display for DisabledMechanisms {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let disabled = NAMES.iter().filter(|(mechanism, _)| self.contains(*mechanism));
        let names: Vec<&str> = disabled.map(|(_, name)| *name).collect();
        f.write_str(&names.join(","))
    }
}
