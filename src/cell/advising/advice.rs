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

/// A question is put again if there is no answer this much later than twice the time that it takes: an entry
/// gives up on the service after twice that time, and its word takes some milliseconds.
const ANSWER_SPARE: Millis = Millis(1_500);

/// A question.
#[derive(Debug, Clone, PartialEq)]
pub struct AdviceRequest {
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
    waiting: VecDeque<AdviceRequest>,
    callers: BTreeMap<Name, Caller>,
}

/// An entry that can ask.
#[derive(Debug)]
struct Caller {
    /// It asks for this cell only.
    is_home: bool,
    /// What it asks; `None`: nothing.
    asking: Option<Asked>,
}

/// A question that an entry has put.
#[derive(Debug, Clone, Copy)]
struct Asked {
    step: StepKey,
    is_long: bool,
    /// It is put again if there is no answer by then.
    until: Millis,
}

impl Advisers {
    /// An entry can ask from now on; the question that was lost with its earlier connection, if any.
    pub fn join(&mut self, entry: Name, is_home: bool) -> Option<StepKey> {
        let earlier = self.callers.insert(entry, Caller { is_home, asking: None })?;
        earlier.asking.map(|asked| asked.step)
    }

    /// An entry cannot ask any more; the question that is lost with it, if any.
    pub fn leave(&mut self, entry: &Name) -> Option<StepKey> {
        self.callers.remove(entry)?.asking.map(|asked| asked.step)
    }

    /// Adds a question, in the order of its rank.
    pub fn push(&mut self, question: AdviceRequest) {
        let at = self.waiting.partition_point(|other| other.rank <= question.rank);
        self.waiting.insert(at, question);
    }

    /// The question of a step is not needed any more.
    pub fn cancel(&mut self, step: StepKey) {
        self.waiting.retain(|question| question.step != step);
    }

    /// The entry that asks a step's question.
    pub fn asked(&self, step: StepKey) -> Option<&Name> {
        let asks = |caller: &Caller| caller.asking.is_some_and(|asked| asked.step == step);
        self.callers.iter().find(|(_, caller)| asks(caller)).map(|(name, _)| name)
    }

    /// An entry has its answer.
    pub fn answered(&mut self, entry: &Name, step: StepKey) {
        if let Some(caller) = self.callers.get_mut(entry)
            && caller.asking.is_some_and(|asked| asked.step == step)
        {
            caller.asking = None;
        }
    }

    /// The steps of questions whose answers are overdue: they are put again.
    pub fn expire(&mut self, now: Millis) -> Vec<StepKey> {
        let overdue = |caller: &mut Caller| caller.asking.take_if(|asked| now >= asked.until);
        self.callers.values_mut().filter_map(overdue).map(|asked| asked.step).collect()
    }

    /// The next question and who asks it: entries of this cell, or any while there is none of them.
    pub fn assign(&mut self, now: Millis) -> Option<(Name, AdviceRequest)> {
        let all_away = self.callers.values().all(|caller| !caller.is_home);
        let usable = || self.callers.iter().filter(|(_, caller)| caller.is_home || all_away);
        let count = usable().count();
        let long =
            usable().filter_map(|(_, caller)| caller.asking).filter(|asked| asked.is_long).count();
        let kept = (count / KEPT).max(1);
        let may_long = long + kept < count || count == 1;
        let idle = usable().find(|(_, caller)| caller.asking.is_none());
        let entry = idle.map(|(name, _)| name.clone())?;
        let fits = |question: &AdviceRequest| may_long || question.cost < LONG;
        let at = self.waiting.iter().position(fits)?;
        let question = self.waiting.remove(at)?;
        let until = now + question.cost + question.cost + ANSWER_SPARE;
        let asked = Asked { step: question.step, is_long: question.cost >= LONG, until };
        let caller = self.callers.get_mut(&entry)?;
        caller.asking = Some(asked);
        Some((entry, question))
    }
}
