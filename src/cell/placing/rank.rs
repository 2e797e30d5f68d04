//! The order in which waiting steps get room, requests to the advice service and reservations.

use crate::clock::Millis;
use crate::workload::StepKey;
use std::collections::{BTreeSet, HashMap};

/// The position of a job among the waiting ones; lower ranks go first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// The priority of the job; 0 comes first.
    pub priority: u32,
    /// Whether the job can still meet its objective.
    pub class: RankClass,
    /// The order among jobs of one priority and class: when the job is due.
    pub due: Millis,
}

/// Whether a job can still meet its objective.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum RankClass {
    /// The job can be on time, or has started.
    #[default]
    OnTime,
    /// The job has not started and cannot be on time any more.
    Late,
}

/// Steps with tasks that need a worker, in the order of their ranks.
#[derive(Debug, Default)]
pub struct ReadySteps {
    order: BTreeSet<(Rank, StepKey)>,
    ranks: HashMap<StepKey, Rank>,
}

impl ReadySteps {
    /// Adds a step, or moves it to its present rank.
    pub fn insert(&mut self, rank: Rank, step: StepKey) {
        if let Some(earlier) = self.ranks.insert(step, rank) {
            self.order.remove(&(earlier, step));
        }
        self.order.insert((rank, step));
    }

    /// Moves a step to a new rank, if it is among the steps.
    pub fn update_rank(&mut self, step: StepKey, rank: Rank) {
        if self.ranks.contains_key(&step) {
            self.insert(rank, step);
        }
    }

    /// Removes a step.
    pub fn remove(&mut self, step: StepKey) {
        if let Some(rank) = self.ranks.remove(&step) {
            self.order.remove(&(rank, step));
        }
    }

    /// The steps, the most urgent first.
    pub fn iter(&self) -> impl Iterator<Item = StepKey> {
        self.order.iter().map(|(_, step)| *step)
    }

    /// The number of steps.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether no step waits.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Removes all steps.
    pub fn clear(&mut self) {
        self.order.clear();
        self.ranks.clear();
    }
}
