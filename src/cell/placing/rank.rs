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
    /// For jobs of class [`RankClass::Late`], the work that they need, in core-milliseconds; zero for others.
    pub work: u64,
    /// When the job is due.
    pub due: Millis,
}

/// Whether a job can still meet its objective.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum RankClass {
    /// The job can be on time, or has started.
    #[default]
    OnTime,
    /// The job has not started and has been late for longer than
    /// [`MAX_LATE_WAIT`](crate::cell::placing::lateness::MAX_LATE_WAIT). It goes before other late jobs, so that
    /// none starves.
    Aged,
    /// The job has not started and cannot be on time any more.
    Late,
}

/// The number of jobs by their class when their first task was started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Jobs that could be on time.
    pub on_time: u64,
    /// Late jobs that went by their work.
    pub late: u64,
    /// Late jobs that went before other late ones because of their age.
    pub aged: u64,
}

impl ClassCounts {
    /// Counts a job.
    pub fn add(&mut self, class: RankClass) {
        let count = match class {
            RankClass::OnTime => &mut self.on_time,
            RankClass::Late => &mut self.late,
            RankClass::Aged => &mut self.aged,
        };
        *count += 1;
    }
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
        self.ranked().map(|(_, step)| *step)
    }

    /// The steps with their ranks, the most urgent first.
    pub fn ranked(&self) -> impl Iterator<Item = &(Rank, StepKey)> {
        self.order.iter()
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
