//! The steps that wait for a request to the advice service, by rank and by age.

use crate::cell::advice::queue::QueuedStep;
use crate::cell::placing::rank::Rank;
use crate::clock::Millis;
use crate::visits;
use crate::workload::StepKey;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound;

/// The place of a step among the waiting ones: its rank, since when it waits, and the number of steps
/// that were added before.
type Position = (Rank, Millis, u64);

/// Steps that wait for a request to be sent.
#[derive(Debug, Default)]
pub struct WaitingSteps {
    by_rank: BTreeMap<Position, QueuedStep>,
    by_age: BTreeSet<(Millis, Position)>,
    positions: HashMap<StepKey, Position>,
    added: u64,
}

/// Goes through the waiting steps in the order in which they are asked about.
#[derive(Debug)]
pub struct Turns {
    by_age: bool,
    last: Option<Position>,
}

impl Turns {
    /// Starts with the oldest step, or with the one of the most urgent rank.
    pub fn new(by_age: bool) -> Self {
        Self { by_age, last: None }
    }
}

impl WaitingSteps {
    /// Adds a step.
    pub fn insert(&mut self, queued: QueuedStep) {
        visits::add(1);
        self.remove(queued.step);
        self.added += 1;
        let position = (queued.rank, queued.queued_at, self.added);
        self.positions.insert(queued.step, position);
        self.by_age.insert((queued.queued_at, position));
        self.by_rank.insert(position, queued);
    }

    /// Removes a step.
    pub fn remove(&mut self, step: StepKey) -> Option<QueuedStep> {
        visits::add(1);
        let position = self.positions.remove(&step)?;
        let (_, queued_at, _) = position;
        self.by_age.remove(&(queued_at, position));
        self.by_rank.remove(&position)
    }

    /// Moves a step to a new rank, if it waits.
    pub fn update_rank(&mut self, step: StepKey, rank: Rank) {
        let has_changed = self.positions.get(&step).is_some_and(|(before, ..)| *before != rank);
        if has_changed && let Some(queued) = self.remove(step) {
            self.insert(QueuedStep { rank, ..queued });
        }
    }

    /// Since when the oldest step waits.
    pub fn oldest(&self) -> Option<Millis> {
        self.by_age.first().map(|(queued_at, _)| *queued_at)
    }

    /// The step whose turn is next.
    pub fn next(&self, turns: &mut Turns) -> Option<&QueuedStep> {
        visits::add(1);
        let position = match (turns.by_age, turns.last) {
            (true, last) => {
                let after = last.map_or(Bound::Unbounded, |last| Bound::Excluded((last.1, last)));
                self.by_age.range((after, Bound::Unbounded)).next().map(|(_, position)| *position)
            }
            (false, last) => {
                let after = last.map_or(Bound::Unbounded, Bound::Excluded);
                self.by_rank.range((after, Bound::Unbounded)).next().map(|(position, _)| *position)
            }
        };
        turns.last = position.or(turns.last);
        self.by_rank.get(&position?)
    }

    /// The number of steps.
    pub fn len(&self) -> usize {
        self.by_rank.len()
    }

    /// Whether no step waits.
    pub fn is_empty(&self) -> bool {
        self.by_rank.is_empty()
    }
}
