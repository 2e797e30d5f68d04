//! What became of orders to workers: starts and stops that were followed, refused, or not answered.

use crate::cell::workers::roster::Over;
use crate::cell::workers::worker::Phase;
use crate::cell::{Action, Cell};
use crate::clock::Millis;
use crate::id::Name;
use crate::order::{Outcome, Refusal};
use crate::workload::{JobKey, TaskKey};

impl Cell {
    /// What became of an order to start a run.
    pub fn started(&mut self, now: Millis, name: &Name, task: TaskKey, run: u64, outcome: Outcome) {
        if !matches!(outcome, Outcome::Done(_)) {
            log::info!(
                "event=start-failed task={task} run={run} worker={name} outcome={outcome:?}"
            );
        }
        match outcome {
            Outcome::Done(_) => self.confirm_start(now, name, task, run),
            Outcome::Unknown => {
                self.stop_run(name, task, run);
                self.doubt(now, name);
            }
            Outcome::Withheld => self.abandon_run(name, task, run),
            Outcome::Unsent => {
                self.abandon_run(name, task, run);
                self.mark_silent(now, name);
            }
            Outcome::Refused(Refusal::Fence) => self.actions.push(Action::Deposed),
            Outcome::Refused(Refusal::OtherLife) => {
                // This run surely never was at the life that is over.
                self.abandon_run(name, task, run);
                self.remove_worker(now, name, Over::Replaced);
            }
            Outcome::Refused(Refusal::Late) => {
                self.abandon_run(name, task, run);
                self.mark_silent(now, name);
            }
            Outcome::Refused(Refusal::Ticket) => {
                self.drop_ticket(task.step, name);
                self.abandon_run(name, task, run);
            }
            Outcome::Refused(
                Refusal::Unwell | Refusal::Room | Refusal::Malformed | Refusal::Old,
            ) => {
                if let Some(worker) = self.workers.get_mut(name) {
                    worker.set_aside(now);
                }
                self.abandon_run(name, task, run);
            }
        }
    }

    fn confirm_start(&mut self, now: Millis, name: &Name, task: TaskKey, run: u64) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        if let Some(known) = worker.runs.get_mut(&(task, run))
            && known.phase == Phase::Starting
        {
            known.begin(now);
            self.note_run(task.step.job);
        }
    }

    /// A worker surely began a task of a job.
    pub(in crate::cell) fn note_run(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.get_mut(&key) {
            job.has_run = true;
        }
    }

    /// What became of an order to stop a run.
    pub fn stopped(&mut self, now: Millis, name: &Name, task: TaskKey, run: u64, outcome: Outcome) {
        match outcome {
            Outcome::Refused(Refusal::Fence) => return self.actions.push(Action::Deposed),
            Outcome::Refused(Refusal::OtherLife) => {
                return self.remove_worker(now, name, Over::Replaced);
            }
            _ => {}
        }
        let Some(worker) = self.workers.get_mut(name) else { return };
        let Some(known) = worker.runs.get_mut(&(task, run)) else { return };
        known.told = false;
        match outcome {
            Outcome::Done(_) | Outcome::Refused(Refusal::Old) => {
                known.phase = Phase::Stopping(Some(now));
                if !known.seen {
                    // It may never have begun: then no end will be listed, and only the next
                    // report shows that the room is free.
                    self.actions.push(Action::PollNow(name.clone()));
                }
            }
            other => log::debug!(
                "event=stop-failed task={task} run={run} worker={name} outcome={other:?}"
            ),
        }
    }

    /// Sends stops again that were not answered.
    pub(in crate::cell) fn stop_again(&mut self) {
        for (name, worker) in &mut self.workers {
            let untold = worker
                .runs
                .iter_mut()
                .filter(|(_, run)| matches!(run.phase, Phase::Stopping(None)) && !run.told);
            for ((task, no), run) in untold {
                run.told = true;
                self.actions.push(Action::Stop { worker: name.clone(), task: *task, run: *no });
            }
        }
    }
}
