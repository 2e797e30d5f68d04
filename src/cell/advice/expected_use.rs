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
    /// The priority of the step if the workers are known to be cleared, so that it takes capacity of
    /// them for certain.
    claim: Option<u32>,
}

impl ExpectedUse {
    /// What `tasks` tasks take of the workers of a request. Which of these are cleared is not yet
    /// known, so each is expected to get the same share.
    pub fn new(workers: &[Name], charge: &Resources, tasks: usize) -> Self {
        let share = |amount: u64| amount * tasks as u64 / workers.len().max(1) as u64;
        let each =
            Resources { cpu: share(charge.cpu), mem: share(charge.mem), gpu: share(charge.gpu) };
        Self { workers: workers.to_vec(), each, claim: None }
    }

    /// The same for workers that are known to be cleared for a step of this priority.
    pub fn claimed_by(self, priority: u32) -> Self {
        Self { claim: Some(priority), ..self }
    }
}

/// The sum of what all requests in progress are expected to take, by worker.
#[derive(Debug, Default)]
pub struct ExpectedUses {
    sums: BTreeMap<Name, Resources>,
    /// The part of requests that name workers known to be cleared, by priority.
    claims: BTreeMap<(Name, u32), Resources>,
}

impl ExpectedUses {
    /// Adds what a request is expected to take.
    pub fn add(&mut self, request: &ExpectedUse) {
        for name in &request.workers {
            let sum = self.sums.entry(name.clone()).or_default();
            *sum = sum.plus(&request.each);
            if let Some(priority) = request.claim {
                let claim = self.claims.entry((name.clone(), priority)).or_default();
                *claim = claim.plus(&request.each);
            }
        }
    }

    /// Removes what was added for a request.
    pub fn remove(&mut self, request: &ExpectedUse) {
        for name in &request.workers {
            subtract(&mut self.sums, name, &request.each);
            if let Some(priority) = request.claim {
                subtract(&mut self.claims, &(name.clone(), priority), &request.each);
            }
        }
    }

    /// What is expected to be taken of a worker.
    pub fn of(&self, name: &Name) -> Resources {
        self.sums.get(name).copied().unwrap_or_default()
    }

    /// What steps of this or a more urgent priority take of a worker that is cleared for them.
    pub fn claimed(&self, name: &Name, priority: u32) -> Resources {
        let claims = self.claims.range((name.clone(), 0)..=(name.clone(), priority));
        claims.fold(Resources::default(), |sum, (_, claim)| sum.plus(claim))
    }
}

/// Subtracts from the sum under a key, and removes it once nothing is left.
fn subtract<K: Ord>(sums: &mut BTreeMap<K, Resources>, key: &K, amount: &Resources) {
    let Some(sum) = sums.get_mut(key) else { return };
    *sum = sum.saturating_sub(amount);
    if *sum == Resources::default() {
        sums.remove(key);
    }
}
