//! Workers that start again under the id that they had.
//!
//! What dies with a process is dropped here: what ran, the numbers of ends, the clock and with it the
//! leases, and tickets. Which of two lives is the later one is known from reports alone: a worker is asked for
//! one after the other, and an entry in the list may be of either life.

use crate::cell::jobs::crash::CrashResolution;
use crate::cell::workers::worker::{Phase, Run};
use crate::cell::{Action, Cell};
use crate::clock::Millis;
use crate::id::Name;
use crate::order::{Listed, Report};
use crate::workload::TaskKey;
use std::collections::BTreeSet;

/// What became of a run whose worker started again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunAfterRestart {
    /// The new life has it.
    Kept,
    /// It ended with the life before, or was never sent.
    Lost,
    /// Its start was not answered: it may arrive still, and the new life has to be told to refuse it.
    InFlight,
}

impl Cell {
    /// A report, asked for at `sent`, comes from another life of a worker than the one known here.
    pub(in crate::cell) fn on_worker_restart(
        &mut self,
        now: Millis,
        sent: Millis,
        name: &Name,
        report: &Report,
    ) {
        let named = reported_runs(report);
        let left = |(key, run): (&(TaskKey, u64), &Run)| {
            (*key, run_after_restart(run, sent, named.contains(key)))
        };
        let Some(worker) = self.workers.get_mut(name) else { return };
        let over = worker.life();
        let all: Vec<((TaskKey, u64), RunAfterRestart)> = worker.runs.iter().map(left).collect();
        let mut kept = Vec::new();
        for ((task, run), left) in &all {
            if *left == RunAfterRestart::Kept {
                kept.extend(worker.remove_run(*task, *run).map(|known| (*task, known)));
            }
        }
        // What is left there crashed with the worker.
        self.record_worker_crash(now, name, true);
        self.resolve_crash(&over, CrashResolution::Ended);
        let lease_end = now + Millis(self.bounds.lease_max.0 * 1_050 / 1_000);
        let batch = self.batch;
        let Some(worker) = self.workers.get_mut(name) else { return };
        let mut before = worker.restart(now, report.born, batch, lease_end);
        log::info!(
            "event=worker-restarted worker={name} life={} was={over} runs={} kept={}",
            worker.life(),
            all.len(),
            kept.len()
        );
        for (task, run) in kept {
            worker.add_run(task, run);
        }
        self.counts.restarted += 1;
        self.ended_lives.insert(over, now);
        (self.roster, self.changed) = (true, true);
        for ((task, run), left) in all {
            match left {
                RunAfterRestart::Kept => {}
                RunAfterRestart::Lost => {
                    log::info!("event=run-lost task={task} run={run} worker={name} why=restarted");
                    self.requeue_task(task, run);
                }
                RunAfterRestart::InFlight => {
                    if let Some(known) = before.remove_run(task, run) {
                        self.reject_stale_run(name, task, known);
                    }
                }
            }
        }
        self.forget_clearances(name);
    }

    /// The new life is told to refuse a run; until it says so the task waits, and its room is taken.
    fn reject_stale_run(&mut self, name: &Name, task: TaskKey, run: Run) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        let no = run.run;
        worker.add_run(
            task,
            Run { phase: Phase::Stopping(None), stop_pending: true, is_stale: true, ..run },
        );
        self.actions.push(Action::Stop { worker: name.clone(), task, run: no });
    }

    /// Tickets hold for one life, and the next one may be of a kind that was denied.
    fn forget_clearances(&mut self, name: &Name) {
        for job in self.jobs.values_mut().filter(|job| job.is_open() && job.queue.advice.is_some())
        {
            for step in &mut job.steps {
                step.clearances.cleared.remove(name);
                step.clearances.denied.remove(name);
            }
        }
    }

    /// The list tells of another life of a worker than the one that last reported: a later one, as those
    /// that are over are known. It is asked at once, and gets nothing new until it has reported.
    pub(in crate::cell) fn expect_new_incarnation(&mut self, now: Millis, listed: &Listed) {
        let Some(worker) = self.workers.get_mut(&listed.id) else { return };
        let is_news = worker.is_other_incarnation(listed.born) && worker.listed.born != listed.born;
        if is_news {
            worker.mark_unanswered(now);
            self.actions.push(Action::Look(listed.id.clone()));
        }
    }
}

fn reported_runs(report: &Report) -> BTreeSet<(TaskKey, u64)> {
    let running = report.running.iter().map(|row| (row.task, row.run));
    running.chain(report.ended.iter().map(|row| (row.task, row.run))).collect()
}

fn run_after_restart(run: &Run, sent: Millis, is_named: bool) -> RunAfterRestart {
    match run.phase {
        _ if is_named => RunAfterRestart::Kept,
        _ if !run.is_sent => RunAfterRestart::Lost,
        // Answered after the new life was asked, so by the new life.
        Phase::Running(at) if at >= sent => RunAfterRestart::Kept,
        _ if run.has_started => RunAfterRestart::Lost,
        // Bound by an earlier owner, which may have sent it.
        Phase::Running(_) => RunAfterRestart::Lost,
        Phase::Starting | Phase::Stopping(_) => RunAfterRestart::InFlight,
    }
}
