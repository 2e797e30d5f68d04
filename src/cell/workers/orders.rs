//! Outcomes of orders to workers: starts and stops that were executed, refused, or not answered.

use crate::cell::mechanism::Mechanism;
use crate::cell::workers::roster::RemovalReason;
use crate::cell::workers::run::Phase;
use crate::cell::{Action, Cell};
use crate::clock::Millis;
use crate::id::Name;
use crate::order::{OrderOutcome, Refusal};
use crate::workload::{JobKey, TaskKey};

impl Cell {
    /// Handles the outcome of an order to start a run.
    pub fn on_start_outcome(
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
                self.suspect_worker(now, name);
            }
            OrderOutcome::Withheld => self.abandon_run(name, task, run),
            OrderOutcome::Unsent => {
                self.abandon_run(name, task, run);
                self.mark_unreachable(now, name);
            }
            OrderOutcome::Refused(Refusal::StaleFence) => self.actions.push(Action::Deposed),
            OrderOutcome::Refused(Refusal::OtherIncarnation) => {
                // The incarnation that ended never received this run, so it is not counted as a
                // crash for its task.
                self.abandon_run(name, task, run);
                self.remove_worker(now, name, RemovalReason::Replaced);
            }
            OrderOutcome::Refused(Refusal::LeaseExpired) => {
                self.abandon_run(name, task, run);
                self.mark_unreachable(now, name);
            }
            OrderOutcome::Refused(Refusal::InvalidTicket) => {
                // The step may have a newer ticket than the one that was refused, if the run is no
                // longer known.
                if self.knows_run(name, task, run) {
                    self.invalidate_ticket(task.step, name);
                }
                self.abandon_run(name, task, run);
            }
            OrderOutcome::Refused(
                Refusal::Unhealthy | Refusal::NoCapacity | Refusal::Malformed | Refusal::StaleRun,
            ) => {
                if let Some(worker) = self.workers.get_mut(name) {
                    worker.exclude(now);
                }
                self.abandon_run(name, task, run);
            }
        }
    }

    /// Whether a start that waits to be sent is still needed: its run has not been stopped or
    /// abandoned, for example because an earlier run of the task turned out to be done.
    pub fn needs_start(&self, name: &Name, task: TaskKey, run: u64) -> bool {
        let known = self.workers.get(name).and_then(|worker| worker.runs.get(&(task, run)));
        known.is_some_and(|known| known.phase == Phase::Starting)
    }

    /// Whether a run is or may be on a worker.
    fn knows_run(&self, name: &Name, task: TaskKey, run: u64) -> bool {
        self.workers.get(name).is_some_and(|worker| worker.runs.contains_key(&(task, run)))
    }

    /// The worker confirmed that it started a run.
    fn confirm_start(&mut self, now: Millis, name: &Name, task: TaskKey, run: u64) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        if let Some(known) = worker.runs.get_mut(&(task, run))
            && known.phase == Phase::Starting
        {
            known.mark_started(now);
            self.mark_job_started(now, task.step.job);
        }
    }

    /// Notes that a worker has started a task of a job.
    pub(in crate::cell) fn mark_job_started(&mut self, now: Millis, key: JobKey) {
        let is_ranked = self.uses_ranked(Mechanism::LatenessOrder);
        if let Some(job) = self.jobs.get_mut(&key)
            && !std::mem::replace(&mut job.has_run, true)
            && is_ranked
        {
            self.first_starts.add(job.rank_class);
        }
        self.rank_started_job(now, key);
    }

    /// Handles the outcome of an order to stop a run.
    pub fn on_stop_outcome(
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
                return self.remove_worker(now, name, RemovalReason::Replaced);
            }
            _ => {}
        }
        let Some(worker) = self.workers.get_mut(name) else { return };
        let Some(known) = worker.runs.get_mut(&(task, run)) else { return };
        known.stop_pending = false;
        match outcome {
            OrderOutcome::Done(_) | OrderOutcome::Refused(Refusal::StaleRun) => {
                known.phase = Phase::Stopping(Some(now));
                if !known.has_started {
                    // The run may never have started. Then the worker reports no end of it, and
                    // only the next report shows that its resources are free.
                    self.actions.push(Action::PollNow(name.clone()));
                }
            }
            other => log::debug!(
                "event=stop-failed task={task} run={run} worker={name} outcome={other:?}"
            ),
        }
    }

    /// Sends the stops again that were not answered.
    pub(in crate::cell) fn resend_stops(&mut self) {
        for (name, worker) in &mut self.workers {
            let unanswered = worker
                .runs
                .iter_mut()
                .filter(|(_, run)| matches!(run.phase, Phase::Stopping(None)) && !run.stop_pending);
            for ((task, number), run) in unanswered {
                run.stop_pending = true;
                self.actions.push(Action::Stop { worker: name.clone(), task: *task, run: *number });
            }
        }
    }
}
