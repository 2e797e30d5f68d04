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
use crate::order::{WorkerInfo, WorkerReport};
use crate::workload::TaskKey;
use std::collections::BTreeSet;

/// What became of a run whose worker started again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Left {
    /// The new life has it.
    Kept,
    /// It ended with the life before, or was never sent.
    Lost,
    /// Its start was not answered: it may arrive still, and the new life has to be told to refuse it.
    Loose,
}

impl Cell {
    /// A report, asked for at `sent`, comes from another life of a worker than the one known here.
    pub(in crate::cell) fn restart(
        &mut self,
        now: Millis,
        sent: Millis,
        name: &Name,
        report: &WorkerReport,
    ) {
        let named = named_runs(report);
        let left =
            |(key, run): (&(TaskKey, u64), &Run)| (*key, left_of(run, sent, named.contains(key)));
        let Some(worker) = self.workers.get_mut(name) else { return };
        let over = worker.life();
        let all: Vec<((TaskKey, u64), Left)> = worker.runs.iter().map(left).collect();
        let mut kept = Vec::new();
        for ((task, run), left) in &all {
            if *left == Left::Kept {
                kept.extend(worker.remove(*task, *run).map(|known| (*task, known)));
            }
        }
        // What is left there crashed with the worker.
        self.record_worker_crash(now, name, true);
        self.resolve_crash(&over, CrashResolution::Ended);
        let lease_end = now + Millis(self.config.max_lease.0 * 1_050 / 1_000);
        let batch = self.open_batch;
        let Some(worker) = self.workers.get_mut(name) else { return };
        let mut before = worker.restart(now, report.started_at, batch, lease_end);
        log::info!(
            "event=worker-restarted worker={name} life={} was={over} runs={} kept={}",
            worker.life(),
            all.len(),
            kept.len()
        );
        for (task, run) in kept {
            worker.add(task, run);
        }
        self.crash_counts.restarted += 1;
        self.ended_lives.insert(over, now);
        (self.workers_dirty, self.needs_placement) = (true, true);
        for ((task, run), left) in all {
            match left {
                Left::Kept => {}
                Left::Lost => {
                    log::info!("event=run-lost task={task} run={run} worker={name} why=restarted");
                    self.requeue_task(task, run);
                }
                Left::Loose => {
                    if let Some(known) = before.remove(task, run) {
                        self.bar(name, task, known);
                    }
                }
            }
        }
        self.forget_clearance(name);
    }

    /// The new life is told to refuse a run; until it says so the task waits, and its room is taken.
    fn bar(&mut self, name: &Name, task: TaskKey, run: Run) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        let no = run.run;
        worker.add(task, Run { phase: Phase::Stopping(None), told: true, is_barred: true, ..run });
        self.actions.push(Action::Stop { worker: name.clone(), task, run: no });
    }

    /// Tickets hold for one life, and the next one may be of a kind that was denied.
    fn forget_clearance(&mut self, name: &Name) {
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
    pub(in crate::cell) fn expect_life(&mut self, now: Millis, listed: &WorkerInfo) {
        let Some(worker) = self.workers.get_mut(&listed.id) else { return };
        let is_news =
            worker.is_other(listed.started_at) && worker.listed.started_at != listed.started_at;
        if is_news {
            worker.doubt(now);
            self.actions.push(Action::PollNow(listed.id.clone()));
        }
    }
}

fn named_runs(report: &WorkerReport) -> BTreeSet<(TaskKey, u64)> {
    let running = report.running.iter().map(|row| (row.task, row.run));
    running.chain(report.ended.iter().map(|row| (row.task, row.run))).collect()
}

fn left_of(run: &Run, sent: Millis, is_named: bool) -> Left {
    match run.phase {
        _ if is_named => Left::Kept,
        _ if !run.is_sent => Left::Lost,
        // Answered after the new life was asked, so by the new life.
        Phase::Running(at) if at >= sent => Left::Kept,
        _ if run.seen => Left::Lost,
        // Bound by an earlier owner, which may have sent it.
        Phase::Running(_) => Left::Lost,
        Phase::Starting | Phase::Stopping(_) => Left::Loose,
    }
}
