//! What the steps with a request in progress are expected to take of the workers that they name, so
//! that requests sent before the first answer spread over all workers with room.

use crate::id::Name;
use crate::workload::Resources;
use std::collections::BTreeMap;

/// The resources that a step is expected to take of each worker that its request names.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ExpectedUse {
    workers: Vec<Name>,
    each: Resources,
}

impl ExpectedUse {
    /// The resources that `tasks` tasks take of the workers of a request. Which of these are cleared is not yet
    /// known, so each is expected to get the same share.
    pub fn new(workers: &[Name], charge: &Resources, tasks: usize) -> Self {
        let share = |amount: u64| amount * tasks as u64 / workers.len().max(1) as u64;
        let each =
            Resources { cpu: share(charge.cpu), mem: share(charge.mem), gpu: share(charge.gpu) };
        Self { workers: workers.to_vec(), each }
    }
}

/// The sum of what all requests in progress are expected to take, by worker.
#[derive(Debug, Default)]
pub struct ExpectedUses(BTreeMap<Name, Resources>);

impl ExpectedUses {
    /// Adds what a request is expected to take.
    pub fn add(&mut self, request: &ExpectedUse) {
        for name in &request.workers {
            let sum = self.0.entry(name.clone()).or_default();
            *sum = sum.plus(&request.each);
        }
    }

    /// Removes what was added for a request.
    pub fn remove(&mut self, request: &ExpectedUse) {
        for name in &request.workers {
            let Some(sum) = self.0.get_mut(name) else { continue };
            *sum = sum.saturating_sub(&request.each);
            if *sum == Resources::default() {
                self.0.remove(name);
            }
        }
    }

    /// The resources that are expected to be taken of a worker.
    pub fn of(&self, name: &Name) -> Resources {
        self.0.get(name).copied().unwrap_or_default()
    }
}
