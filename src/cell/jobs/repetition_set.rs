//! A set of repetitions of a job, as ranges.

use serde::{Deserialize, Serialize};

/// A set of repetitions. Most sets are a single range, because repetitions end in about the order in
/// which they come due.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RepetitionSet {
    /// Disjoint ranges in ascending order, each with its first repetition and the one after its
    /// last.
    ranges: Vec<(u32, u32)>,
}

impl RepetitionSet {
    /// Adds a repetition.
    pub fn insert(&mut self, repetition: u32) {
        let at = self.ranges.partition_point(|(_, end)| *end < repetition);
        match self.ranges.get_mut(at) {
            Some((first, end)) if (*first..*end).contains(&repetition) => {}
            Some((_, end)) if *end == repetition => {
                *end += 1;
                self.join_next(at);
            }
            Some((first, _)) if *first == repetition + 1 => *first = repetition,
            _ => self.ranges.insert(at, (repetition, repetition + 1)),
        }
    }

    /// Joins a range with the next one if they touch.
    fn join_next(&mut self, at: usize) {
        let (Some((_, end)), Some((first, next_end))) =
            (self.ranges.get(at).copied(), self.ranges.get(at + 1).copied())
        else {
            return;
        };
        if end == first {
            self.ranges.remove(at + 1);
            self.ranges[at].1 = next_end;
        }
    }

    /// Whether a repetition is in the set.
    pub fn contains(&self, repetition: u32) -> bool {
        let at = self.ranges.partition_point(|(_, end)| *end <= repetition);
        self.ranges.get(at).is_some_and(|(first, _)| *first <= repetition)
    }

    /// The number of repetitions in the set.
    pub fn len(&self) -> u32 {
        self.ranges.iter().map(|(first, end)| end - first).sum()
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// The repetitions in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> {
        self.ranges.iter().flat_map(|(first, end)| *first..*end)
    }
}
