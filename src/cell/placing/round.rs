//! The rounds in which scheduling passes look at all waiting steps.
//!
//! A pass ends once it has visited a number of elements, because the owner sends no heartbeat
//! meanwhile. A round then takes several passes. Each pass looks at the most urgent steps first,
//! and then goes on where the one before ended, so that steps that find no worker keep neither more
//! urgent nor less urgent ones from being looked at.

use crate::cell::placing::rank::Rank;
use crate::visits;
use crate::workload::StepKey;

/// The elements that a pass visits for the most urgent steps, beside those of its last step. With
/// [`RESUMED_VISITS`] a pass takes up to 60 ms of a whole core, or 240 ms of a quarter of one, and an
/// owner that is not heard for 1.2 s is replaced.
const URGENT_VISITS: u64 = 250_000;
/// The elements that a pass visits for the steps at which the round goes on, however many the most
/// urgent steps took.
const RESUMED_VISITS: u64 = 250_000;

/// A waiting step in the order of urgency.
pub type Entry = (Rank, StepKey);

/// How far the present round has come.
#[derive(Debug, Default)]
pub struct Round {
    /// The step after which the next pass goes on; `None` if no round goes on.
    last: Option<Entry>,
    /// The cell has changed since the round began, so that another task may be placed.
    has_changed: bool,
    /// The number of passes that left steps to the next one, since the takeover.
    pub limited_passes: u64,
}

/// One pass over the waiting steps.
#[derive(Debug)]
pub struct Pass {
    /// The steps, the most urgent first.
    ready: Vec<Entry>,
    /// The index of the next step.
    next: usize,
    /// The index of the step at which the round goes on; 0 if the pass begins one.
    resumed: usize,
    /// Whether the pass is still at the steps before that one.
    is_urgent: bool,
    /// The count of visits at which the pass leaves these steps, or ends.
    limit: u64,
}

impl Round {
    /// Whether a round goes on.
    pub fn is_open(&self) -> bool {
        self.last.is_some()
    }

    /// Begins a pass. `has_changed` tells whether something has changed since the last one.
    pub fn begin_pass(&mut self, ready: Vec<Entry>, has_changed: bool) -> Pass {
        let resumed = match &self.last {
            Some(last) => ready.partition_point(|entry| entry <= last),
            None => 0,
        };
        self.has_changed = self.is_open() && (self.has_changed || has_changed);
        visits::add(ready.len());
        Pass { ready, next: 0, resumed, is_urgent: true, limit: visits::count() + URGENT_VISITS }
    }

    /// Ends a pass. Returns whether another round has to follow.
    pub fn end_pass(&mut self, pass: &Pass) -> bool {
        let next = pass.next.max(pass.resumed);
        if next < pass.ready.len() {
            self.limited_passes += 1;
            self.last = next.checked_sub(1).and_then(|last| pass.ready.get(last).copied());
            return false;
        }
        self.last = None;
        std::mem::take(&mut self.has_changed)
    }
}

impl Pass {
    /// The step to look at next; `None` if the pass ends.
    pub fn next_step(&mut self) -> Option<StepKey> {
        let count = visits::count();
        match () {
            () if self.is_urgent && (self.next >= self.resumed || count >= self.limit) => {
                self.is_urgent = false;
                self.next = self.next.max(self.resumed);
                self.limit = self.limit.max(count) + RESUMED_VISITS;
            }
            () if count >= self.limit && !self.is_urgent => return None,
            () => {}
        }
        let (_, step) = self.ready.get(self.next)?;
        self.next += 1;
        Some(*step)
    }

    /// The number of steps that this pass leaves to later ones.
    pub fn left(&self) -> usize {
        self.ready.len() - self.next.max(self.resumed).min(self.ready.len())
    }
}
