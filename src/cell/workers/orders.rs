//! What became of orders to workers: starts and stops that were followed, refused, or not answered.

use crate::cell::workers::roster::Over;
use crate::cell::workers::worker::Phase;
use crate::cell::{Action, Cell};
use crate::clock::Millis;
use crate::id::Name;
use crate::order::{OrderOutcome, Refusal};
use crate::workload::{JobKey, TaskKey};

impl Cell {
    /// What became of an order to start a run.
    pub fn started(
        &mut self,
        now: Millis,
        name: &Name,
        task: TaskKey,
        run: u64,
        outcome: OrderOutcome,
    ) {
        if !matches!(outcome, OrderOutcome::Done(_)) {
            log::info!(
                "event=start-failed task={task} run={run} worker={name} outcome={outcome:?}"
            );
        }
        match outcome {
            OrderOutcome::Done(_) => self.confirm_start(now, name, task, run),
            OrderOutcome::Unknown => {
                self.stop_run(name, task, run);
                self.doubt(now, name);
            }
            OrderOutcome::Withheld => self.abandon_run(name, task, run),
            OrderOutcome::Unsent => {
                self.abandon_run(name, task, run);
                self.mark_silent(now, name);
            }
            OrderOutcome::Refused(Refusal::StaleFence) => self.actions.push(Action::Deposed),
            OrderOutcome::Refused(Refusal::OtherIncarnation) => {
                // This run surely never was at the life that is over.
                self.abandon_run(name, task, run);
                self.remove_worker(now, name, Over::Replaced);
            }
            OrderOutcome::Refused(Refusal::LeaseExpired) => {
                self.abandon_run(name, task, run);
                self.mark_silent(now, name);
            }
            OrderOutcome::Refused(Refusal::InvalidTicket) => {
                self.drop_ticket(task.step, name);
                self.abandon_run(name, task, run);
            }
            OrderOutcome::Refused(
                Refusal::Unhealthy | Refusal::NoCapacity | Refusal::Malformed | Refusal::StaleRun,
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
    pub fn stopped(
        &mut self,
        now: Millis,
        name: &Name,
        task: TaskKey,
        run: u64,
        outcome: OrderOutcome,
    ) {
        match outcome {
            OrderOutcome::Refused(Refusal::StaleFence) => {
                return self.actions.push(Action::Deposed);
            }
            OrderOutcome::Refused(Refusal::OtherIncarnation) => {
                return self.remove_worker(now, name, Over::Replaced);
            }
            _ => {}
        }
        let Some(worker) = self.workers.get_mut(name) else { return };
        let Some(known) = worker.runs.get_mut(&(task, run)) else { return };
        known.told = false;
        match outcome {
            OrderOutcome::Done(_) | OrderOutcome::Refused(Refusal::StaleRun) => {
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
