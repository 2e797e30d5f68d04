//! Mechanisms that can be switched off, to measure what each of them is worth.

use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// A mechanism of the owner's decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// Workers on which runs fail or stand still get nothing new for a while.
    SidelineWorkers,
    /// The first question about a step names busy workers too.
    RequestBusyWorkers,
    /// Copies of tasks start where the caller allows it.
    SpeculativeCopies,
    /// Workers and failure domains that leave something unanswered get nothing new.
    AvoidUnresponsive,
    /// Room is gathered for gangs that find too little.
    GatherForGangs,
    /// A job's tasks keep to one failure domain.
    PreferDomain,
    /// Less urgent tasks are stopped for more urgent ones.
    Preemption,
    /// Tasks that find no room keep some.
    ReserveRoom,
    /// What a workspace sends beyond its share comes after all else.
    WorkspaceShares,
    /// An owner hands the cell to a larger entry, or once it does not keep up.
    OwnershipTransfer,
}

const ALL: [(Mechanism, &str); 10] = [
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
];

/// A text names no mechanism.
#[derive(Debug, Error, PartialEq)]
#[error(
    "{0:?} is none of: aside, ask-busy, copies, doubt, gather, home, preempt, reserve, shares, \
     transfer"
)]
pub struct MechanismError(String);

/// The mechanisms that are switched off; none by default.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DisabledMechanisms(u16);

impl DisabledMechanisms {
    /// Whether a mechanism is switched off.
    pub fn contains(self, mechanism: Mechanism) -> bool {
        self.0 & (1 << mechanism as u16) != 0
    }
}

impl FromStr for DisabledMechanisms {
    type Err = MechanismError;

    /// Reads names with commas between them.
    fn from_str(text: &str) -> Result<Self, MechanismError> {
        let mut off = Self::default();
        for name in text.split(',') {
            let found = ALL.iter().find(|(_, known)| *known == name);
            let (mechanism, _) = found.ok_or_else(|| MechanismError(name.to_string()))?;
            off.0 |= 1 << *mechanism as u16;
        }
        Ok(off)
    }
}

impl fmt::Display for DisabledMechanisms {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let off = ALL.iter().filter(|(mechanism, _)| self.contains(*mechanism));
        let names: Vec<&str> = off.map(|(_, name)| *name).collect();
        f.write_str(&names.join(","))
    }
}
