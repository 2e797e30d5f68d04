//! Restricts tasks that may have crashed workers to stable workers.
//!
//! A worker may crash and restart repeatedly for reasons of its own, each time before a start of the same task reached
//! it. Such crashes are no evidence against the task, but would be counted against it and end its job.

use crate::cell::Cell;
use crate::cell::jobs::restart_policy::needs_stable_worker;
use crate::cell::jobs::step::StepState;
use crate::cell::placing::candidate::Candidate;
use crate::clock::Millis;
use crate::visits;
use crate::workload::{Step, StepKey};

impl Cell {
    /// Removes unstable workers from the candidates if none of the step's waiting tasks may run on them, or if the step
    /// is a gang and some of its tasks may not. Returns whether all candidates were removed, so that the step has to
    /// wait until a worker becomes stable. Also records when the next of the unstable candidates becomes stable.
    pub(in crate::cell) fn retain_stable(
        &mut self,
        key: StepKey,
        spec: &Step,
        candidates: &mut Vec<Candidate>,
    ) -> bool {
        let step = self.jobs.get(&key.job).and_then(|job| job.step(key));
        let Some((any, all)) = step.map(needs_stable) else { return false };
        let unstable = candidates.iter().filter(|candidate| any && !candidate.is_stable);
        let times =
            unstable.filter_map(|candidate| self.workers.get(&candidate.name)?.stable_from());
        self.next_stable = times.chain(self.next_stable).min();
        // All tasks of a gang start together.
        if all || (any && spec.is_gang) {
            let before = candidates.len();
            candidates.retain(|candidate| candidate.is_stable);
            return candidates.is_empty() && before > 0;
        }
        false
    }

    /// Schedules again once a worker that steps wait for has become stable.
    pub(in crate::cell) fn check_stability(&mut self, now: Millis) {
        if self.next_stable.take_if(|at| now >= *at).is_some() {
            self.needs_placement = true;
        }
    }
}

/// Whether any and whether all of a step's waiting tasks may only run on stable workers.
fn needs_stable(step: &StepState) -> (bool, bool) {
    visits::add(step.waiting.len());
    let tasks = || step.waiting.iter().filter_map(|index| step.tasks.get(*index as usize));
    let any_with = |needs: bool| tasks().any(|task| needs_stable_worker(&task.crashes) == needs);
    (any_with(true), any_with(true) && !any_with(false))
}
