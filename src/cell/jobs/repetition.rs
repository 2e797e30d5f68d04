//! The state of an open repetition of a job.

use crate::cell::jobs::step::StepState;
use crate::visits;
use crate::workload::JobDefinition;

/// The steps of an open repetition.
#[derive(Debug, Clone, PartialEq)]
pub struct Repetition {
    /// The state of each step.
    pub steps: Vec<StepState>,
    /// The steps before this index are done.
    first_unfinished: usize,
}

impl Repetition {
    /// Creates the state of a repetition of which no task has run.
    pub(super) fn new(work: &JobDefinition, has_pieces: bool) -> Self {
        let new_step = |step| StepState::new(step, has_pieces);
        Self { steps: work.steps.iter().map(new_step).collect(), first_unfinished: 0 }
    }

    /// Whether all tasks of a step have succeeded.
    fn is_step_done(&self, step: usize) -> bool {
        visits::add(1);
        self.steps.get(step).is_some_and(StepState::is_done)
    }

    /// Whether all tasks have succeeded. Steps that were found to be done are not looked at again.
    pub(super) fn is_done(&mut self) -> bool {
        while self.is_step_done(self.first_unfinished) {
            self.first_unfinished += 1;
        }
        self.first_unfinished >= self.steps.len()
    }

    /// Whether all dependencies of a step are done. Dependencies that were found to be done are not
    /// looked at again.
    pub(super) fn dependencies_done(&mut self, step: usize, dependencies: &[u16]) -> bool {
        let Some(mut done) = self.steps.get(step).map(|state| state.done_dependencies) else {
            return false;
        };
        while let Some(dependency) = dependencies.get(done)
            && self.is_step_done(usize::from(*dependency))
        {
            done += 1;
        }
        if let Some(state) = self.steps.get_mut(step) {
            state.done_dependencies = done;
        }
        done >= dependencies.len()
    }
}
