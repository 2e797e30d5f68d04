//! What the steps with a request in progress are expected to take of the workers that they name, so
//! that requests sent before the first answer spread over all workers with room.

use crate::id::Name;
use crate::workload::Resources;
use std::collections::BTreeMap;

/// The resources that a request is expected to take of each worker that it names.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Claim {
    workers: Vec<Name>,
    each: Resources,
}

impl Claim {
    /// The claim of `tasks` tasks on the workers of a request. Which of these are cleared is not
    /// known, so each is expected to get the same share.
    pub fn new(workers: &[Name], charge: &Resources, tasks: usize) -> Self {
        let share = |amount: u64| amount * tasks as u64 / workers.len().max(1) as u64;
        let each =
            Resources { cpu: share(charge.cpu), mem: share(charge.mem), gpu: share(charge.gpu) };
        Self { workers: workers.to_vec(), each }
    }
}

/// The sum of all claims, by worker.
#[derive(Debug, Default)]
pub struct Claims(BTreeMap<Name, Resources>);

impl Claims {
    /// Adds a claim.
    pub fn add(&mut self, claim: &Claim) {
        for name in &claim.workers {
            let sum = self.0.entry(name.clone()).or_default();
            *sum = sum.plus(&claim.each);
        }
    }

    /// Removes a claim that was added.
    pub fn remove(&mut self, claim: &Claim) {
        for name in &claim.workers {
            let Some(sum) = self.0.get_mut(name) else { continue };
            *sum = sum.saturating_sub(&claim.each);
            if *sum == Resources::default() {
                self.0.remove(name);
            }
        }
    }

    /// What is claimed of a worker.
    pub fn of(&self, name: &Name) -> Resources {
        self.0.get(name).copied().unwrap_or_default()
    }
}
