//! Starts that are given up because another entry may own the cell by now.

use crate::cell::{Action, Cell};
use crate::clock::Millis;
use crate::id::Name;

impl Cell {
    /// Handles a pause of seconds in which the owner's process did not run. Its state of the
    /// workers is outdated, as their room may have shrunk and their runs may have ended. No run is
    /// started before the list of workers is read again, and then only on workers that have
    /// reported since. Starts that wait for the store are given up.
    pub fn resume_after_pause(&mut self, now: Millis) {
        log::info!(
            "event=worker-state-outdated epoch={} workers={}",
            self.epoch,
            self.workers.len()
        );
        self.list_stale = true;
        for (name, worker) in &mut self.workers {
            worker.mark_unanswered(now);
            self.actions.push(Action::PollNow(name.clone()));
        }
        self.give_up_starts("pause");
        for (_, name, start) in std::mem::take(&mut self.unsent_starts) {
            self.abandon_run(&name, start.task, start.run);
        }
    }

    /// Gives up starts that were decided but not sent, because another entry may own the cell by
    /// now. A worker that has restarted since does not know a higher fencing token, and would run a
    /// task that already runs elsewhere.
    pub fn give_up_starts(&mut self, reason: &str) {
        self.give_up_starts_if(reason, |_, _| true);
    }

    /// Gives up the starts on workers for which `is_wanted` holds, as [`Self::give_up_starts`] does.
    pub(in crate::cell) fn give_up_starts_if(
        &mut self,
        reason: &str,
        is_wanted: impl Fn(&Self, &Name) -> bool,
    ) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Start { worker, start, .. } if is_wanted(self, &worker) => {
                    let (task, run) = (start.task, start.run);
                    log::info!("event=start-given-up task={task} worker={worker} why={reason}");
                    self.abandon_run(&worker, task, run);
                }
                action => self.actions.push(action),
            }
        }
    }
}
