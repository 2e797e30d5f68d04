//! Which entry asks the advice service next, and what.
//!
//! The service takes one question at a time from each entry, and a question takes as long as it
//! names workers. Short questions must not wait behind long ones.

use crate::clock::Millis;
use crate::id::Name;
use crate::workload::StepKey;
use std::collections::{BTreeMap, VecDeque};

/// A question of this length or more is long: it holds up the objective of the shortest jobs.
const LONG: Millis = Millis(150);
/// The part of all entries that is kept free of long questions: one in this many, and at least one.
const KEPT: usize = 3;

/// A question.
#[derive(Debug, Clone, PartialEq)]
pub struct Question {
    /// The step.
    pub step: StepKey,
    /// The workers.
    pub workers: Vec<Name>,
    /// How long the answer takes.
    pub cost: Millis,
    /// Lower ones first.
    pub rank: (u32, Millis),
}

/// The questions that wait and the entries that can ask.
#[derive(Debug, Default)]
pub struct Advisers {
    waiting: VecDeque<Question>,
    /// What each entry is asking; `None`: nothing.
    callers: BTreeMap<Name, Option<(StepKey, bool)>>,
}

impl Advisers {
    /// An entry can ask from now on; the question that was lost with its earlier connection, if any.
    pub fn join(&mut self, entry: Name) -> Option<StepKey> {
        self.callers.insert(entry, None).flatten().map(|(step, _)| step)
    }

    /// An entry cannot ask any more; the question that is lost with it, if any.
    pub fn leave(&mut self, entry: &Name) -> Option<StepKey> {
        self.callers.remove(entry).flatten().map(|(step, _)| step)
    }

    /// Adds a question, in the order of its rank.
    pub fn push(&mut self, question: Question) {
        let at = self.waiting.partition_point(|other| other.rank <= question.rank);
        self.waiting.insert(at, question);
    }

    /// The question of a step is not needed any more.
    pub fn cancel(&mut self, step: StepKey) {
        self.waiting.retain(|question| question.step != step);
    }

    /// An entry has its answer.
    pub fn answered(&mut self, entry: &Name, step: StepKey) {
        if let Some(asking) = self.callers.get_mut(entry)
            && asking.is_some_and(|(asked, _)| asked == step)
        {
            *asking = None;
        }
    }

    /// The next question and who asks it.
    pub fn assign(&mut self) -> Option<(Name, Question)> {
        let long = self.callers.values().flatten().filter(|(_, long)| *long).count();
        let kept = (self.callers.len() / KEPT).max(1);
        let may_long = long + kept < self.callers.len() || self.callers.len() == 1;
        let idle = self.callers.iter().find(|(_, asking)| asking.is_none());
        let entry = idle.map(|(name, _)| name.clone())?;
        let fits = |question: &Question| may_long || question.cost < LONG;
        let at = self.waiting.iter().position(fits)?;
        let question = self.waiting.remove(at)?;
        let asking = Some((question.step, question.cost >= LONG));
        self.callers.insert(entry.clone(), asking);
        Some((entry, question))
    }
}
