//! Requests to the advice service for tasks that are about to need a worker.
//!
//! A lasting task on a worker that does not report is started elsewhere once the lease of the worker
//! has expired. How long it may be without a run is limited, and the answer of the service takes up
//! to a second, so the request is sent before that.

use crate::cell::Cell;
use crate::cell::workers::worker::Worker;
use crate::clock::Millis;
use crate::id::Name;
use crate::workload::StepKey;
use std::collections::BTreeMap;

/// How long before the lease expires the request is sent: longer than a long request takes, and
/// within the two seconds for which a ticket is valid.
const LEAD_TIME: Millis = Millis(1_500);

impl Cell {
    /// Requests advice for the lasting tasks on workers whose leases expire soon.
    pub(in crate::cell) fn request_advice_ahead(&mut self, now: Millis) {
        for (key, count) in self.steps_to_move(now) {
            let Some(job) = self.jobs.get(&key.job).filter(|job| job.is_open()) else { continue };
            let work = job.work.clone();
            let spec = work.steps.get(usize::from(key.step));
            let (Some(advice), Some(spec)) = (job.queue.advice, spec) else {
                continue;
            };
            let has_ticket =
                job.step(key).is_some_and(|step| step.clearances.has_any_ticket(now + LEAD_TIME));
            if !has_ticket {
                self.request_advice(now, key, spec, advice, count);
            }
        }
    }

    /// The steps with lasting tasks on such workers, with the number of these tasks.
    fn steps_to_move(&self, now: Millis) -> BTreeMap<StepKey, usize> {
        let expires_soon = |(name, worker): &(&Name, &Worker)| {
            self.leases.is_unheard(name) && worker.lease_end - now <= LEAD_TIME
        };
        let runs = self.workers.iter().filter(expires_soon).flat_map(|(_, worker)| &worker.runs);
        let lasting = runs.filter(|(_, run)| run.is_lasting);
        lasting.fold(BTreeMap::new(), |mut counts, ((task, _), _)| {
            *counts.entry(task.step).or_default() += 1;
            counts
        })
    }
}
