//! Log lines about inherited runs whose workers do not report to a new owner.
//!
//! The tasks of these runs are started elsewhere only once the leases of their workers are over.
//! Until then they neither wait nor are known to run, so nothing else is logged about them.

use crate::cell::Cell;
use crate::cell::workers::worker::Worker;
use crate::clock::Millis;

/// The most workers that are logged at a time. Behind a partition there may be hundreds.
const MAX_LOGGED: usize = 16;

impl Cell {
    /// Logs the workers with inherited runs that have not reported since the takeover.
    pub(in crate::cell) fn log_unheard_workers(&mut self, now: Millis) {
        let is_unheard = |worker: &&Worker| !worker.has_reported && !worker.runs.is_empty();
        let count = self.workers.values().filter(is_unheard).count();
        if count == 0 || !self.unheard_timer.is_due(now) {
            return;
        }
        let unheard = self.workers.iter().filter(|(_, worker)| is_unheard(worker));
        for (name, worker) in unheard.take(MAX_LOGGED) {
            log::info!(
                "event=worker-unheard worker={name} epoch={} runs={} lasting={} listed={} left_ms={} of={count}",
                self.epoch,
                worker.runs.len(),
                worker.lasting_runs(),
                worker.is_listed,
                worker.lease_end - now
            );
        }
    }
}
