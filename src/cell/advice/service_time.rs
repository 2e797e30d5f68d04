//! The time of the advice service by what it was spent on, for metrics.

use crate::clock::Millis;
use crate::id::Name;
use std::collections::BTreeMap;

/// What an answer of the advice service led to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AdviceOutcome {
    /// A task started while the tickets were valid.
    Started,
    /// The tickets expired and no task had started.
    Expired,
    /// None of the workers was cleared.
    Denied,
    /// No cleared worker had capacity, and the step was asked about again before its tickets expired.
    NoRoom,
}

impl AdviceOutcome {
    /// The name of the outcome in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::Expired => "expired",
            Self::Denied => "denied",
            Self::NoRoom => "no-room",
        }
    }
}

/// An answer of which the outcome is not known yet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OpenAnswer {
    /// The time that the service took.
    pub cost: Millis,
    /// When the tickets expire.
    pub expires_at: Millis,
}

/// The time of the service by queue and outcome since the takeover. Answers for jobs that closed
/// before their outcome was known are left out.
#[derive(Debug, Clone, Default)]
pub struct ServiceTimes(BTreeMap<(Name, AdviceOutcome), Millis>);

impl ServiceTimes {
    /// Adds the time of a request.
    pub fn add(&mut self, queue: &Name, outcome: AdviceOutcome, cost: Millis) {
        let sum = self.0.entry((queue.clone(), outcome)).or_default();
        *sum = *sum + cost;
    }

    /// The sums by queue and outcome.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, AdviceOutcome, Millis)> {
        self.0.iter().map(|((queue, outcome), sum)| (queue, *outcome, *sum))
    }
}
