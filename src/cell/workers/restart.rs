//! Workers whose process was restarted with the same id.
//!
//! State that ends with a process is dropped here: its runs, the numbers of its ends, its clock and
//! with it the leases, and tickets. Which of two incarnations is the later one is known from
//! reports alone: report calls to a worker follow one another, while an entry in the list of
//! workers may belong to either incarnation.

use crate::cell::jobs::crash::CrashResolution;
use crate::cell::workers::run::{Phase, Run};
use crate::cell::{Action, Cell};
use crate::clock::Millis;
use crate::id::Name;
use crate::order::{WorkerInfo, WorkerReport};
use crate::workload::TaskKey;
use std::collections::BTreeSet;

/// The state of a run after its worker has restarted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunAfterRestart {
    /// The new incarnation has the run.
    Kept,
    /// The run ended with the previous incarnation, or was never sent.
    Lost,
    /// The start was not answered and may still arrive, so the new incarnation has to be told to
    /// refuse it.
    InFlight,
}

impl Cell {
    /// Handles a report from another incarnation of a worker than the one known here; the report
    /// call was sent at `sent`.
    pub(in crate::cell) fn on_worker_restart(
        &mut self,
        now: Millis,
        sent: Millis,
        name: &Name,
        report: &WorkerReport,
    ) {
        let reported = reported_runs(report);
        let classify = |(key, run): (&(TaskKey, u64), &Run)| {
            (*key, run_after_restart(run, sent, reported.contains(key)))
        };
        let Some(worker) = self.workers.get_mut(name) else { return };
        let ended = worker.incarnation();
        let all: Vec<((TaskKey, u64), RunAfterRestart)> =
            worker.runs.iter().map(classify).collect();
        let mut kept = Vec::new();
        for ((task, run), outcome) in &all {
            if *outcome == RunAfterRestart::Kept {
                kept.extend(worker.remove_run(*task, *run).map(|known| (*task, known)));
            }
        }
        // The remaining runs ended with the previous incarnation, which counts as a crash for their
        // tasks.
        self.record_worker_crash(now, name, true);
        self.resolve_crash(&ended, CrashResolution::Ended);
        let lease_end = now + Millis(self.config.max_lease.0 * 1_050 / 1_000);
        let batch = self.open_batch;
        let Some(worker) = self.workers.get_mut(name) else { return };
        let mut previous = worker.restart(now, report.started_at, batch, lease_end);
        log::info!(
            "event=worker-restarted worker={name} life={} was={ended} runs={} kept={}",
            worker.incarnation(),
            all.len(),
            kept.len()
        );
        for (task, run) in kept {
            worker.add_run(task, run);
        }
        self.crash_counts.restarted += 1;
        self.ended_incarnations.insert(ended, now);
        (self.workers_dirty, self.needs_placement) = (true, true);
        // The next owner has to know of the longer lease before a task is started here.
        self.leases.request_write();
        for ((task, run), outcome) in all {
            match outcome {
                RunAfterRestart::Kept => {}
                RunAfterRestart::Lost => {
                    log::info!("event=run-lost task={task} run={run} worker={name} why=restarted");
                    self.requeue_task(task, run);
                }
                RunAfterRestart::InFlight => {
                    if let Some(known) = previous.remove_run(task, run) {
                        self.reject_stale_run(name, task, known);
                    }
                }
            }
        }
        self.forget_clearances(name);
    }

    /// Tells the new incarnation to refuse a run of the previous one. Until it confirms that, the
    /// task is not started again and the resources of the run stay charged.
    fn reject_stale_run(&mut self, name: &Name, task: TaskKey, run: Run) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        let number = run.run;
        worker.add_run(
            task,
            Run { phase: Phase::Stopping(None), stop_pending: true, is_stale: true, ..run },
        );
        self.actions.push(Action::Stop { worker: name.clone(), task, run: number });
    }

    /// Forgets tickets and denials for a worker. Tickets are valid for one incarnation, and the
    /// next one may be of another kind.
    pub(in crate::cell) fn forget_clearances(&mut self, name: &Name) {
        for job in self.jobs.values_mut().filter(|job| job.is_open() && job.queue.advice.is_some())
        {
            for step in job.open.values_mut().flat_map(|repetition| &mut repetition.steps) {
                step.clearances.cleared.remove(name);
                step.clearances.denied.remove(name);
            }
        }
    }

    /// Handles a list entry with another incarnation of a worker than the one that last reported.
    /// The listed incarnation is the later one, because incarnations that ended are known. The
    /// worker is asked for a report at once, and gets no new tasks until it reports.
    pub(in crate::cell) fn expect_new_incarnation(&mut self, now: Millis, listed: &WorkerInfo) {
        let Some(worker) = self.workers.get_mut(&listed.id) else { return };
        let is_new = worker.is_other_incarnation(listed.started_at)
            && worker.listed.started_at != listed.started_at;
        if is_new {
            worker.mark_unanswered(now);
            self.actions.push(Action::PollNow(listed.id.clone()));
        }
    }
}

/// The runs that a report names as running or ended.
fn reported_runs(report: &WorkerReport) -> BTreeSet<(TaskKey, u64)> {
    let running = report.running.iter().map(|row| (row.task, row.run));
    running.chain(report.ended.iter().map(|row| (row.task, row.run))).collect()
}

/// Returns the state of a run on a worker that has restarted. `is_reported` is true if the new
/// incarnation reported the run.
fn run_after_restart(run: &Run, sent: Millis, is_reported: bool) -> RunAfterRestart {
    match run.phase {
        _ if is_reported => RunAfterRestart::Kept,
        _ if !run.is_sent => RunAfterRestart::Lost,
        // The start was confirmed after the report call was sent, so by the new incarnation.
        Phase::Running(at) if at >= sent => RunAfterRestart::Kept,
        _ if run.has_started => RunAfterRestart::Lost,
        // The run was assigned by an earlier owner, which may have sent it.
        Phase::Running(_) => RunAfterRestart::Lost,
        Phase::Starting | Phase::Stopping(_) => RunAfterRestart::InFlight,
    }
}
