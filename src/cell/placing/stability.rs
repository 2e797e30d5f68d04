//! Workers that have just started, and tasks under which workers crashed.
//!
//! The load that this answers: a worker that starts again and again, each time with one more start of the same task that
//! reached nobody. Its crashes tell nothing of the task, and would end its job.

use crate::cell::Cell;
use crate::cell::jobs::job::StepState;
use crate::cell::jobs::restart_policy::needs_stable_worker;
use crate::cell::placing::candidate::Candidate;
use crate::clock::Millis;
use crate::workload::{Step, StepKey};

impl Cell {
    /// Leaves to a step the workers that its waiting tasks may go to; whether it has to wait for some of the others to
    /// have stayed up.
    pub(in crate::cell) fn retain_stable(
        &mut self,
        key: StepKey,
        spec: &Step,
        candidates: &mut Vec<Candidate>,
    ) -> bool {
        let step = self.jobs.get(&key.job).and_then(|job| job.step(key));
        let Some((any, all)) = step.map(count_suspects) else { return false };
        let new = candidates.iter().filter(|candidate| any && !candidate.is_stable);
        let times = new.filter_map(|candidate| self.workers.get(&candidate.name)?.settles_at());
        self.next_settled = times.chain(self.next_settled).min();
        // A gang starts whole.
        if all || (any && spec.is_gang) {
            let before = candidates.len();
            candidates.retain(|candidate| candidate.is_stable);
            return candidates.is_empty() && before > 0;
        }
        false
    }

    /// A worker that steps wait for has stayed up by now.
    pub(in crate::cell) fn check_stability(&mut self, now: Millis) {
        if self.next_settled.take_if(|at| now >= *at).is_some() {
            self.needs_placement = true;
        }
    }
}

/// Whether any and whether all of a step's waiting tasks go only to workers that have stayed up.
fn count_suspects(step: &StepState) -> (bool, bool) {
    let tasks = || step.waiting.iter().filter_map(|index| step.tasks.get(*index as usize));
    let is_suspect = |needs: bool| tasks().any(|task| needs_stable_worker(&task.crashes) == needs);
    (is_suspect(true), is_suspect(true) && !is_suspect(false))
}
