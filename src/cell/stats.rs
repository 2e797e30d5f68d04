//! Statistics of a cell, for logs and metrics.

use crate::cell::Cell;
use crate::cell::advice::load::AnswerCounts;
use crate::cell::jobs::crash::CrashCounts;
use crate::cell::placing::rank::ClassCounts;
use crate::cell::placing::stops::StopCounts;
use crate::cell::workers::worker::Worker;

/// Statistics of a cell.
#[derive(Debug, Clone, Copy, Default)]
pub struct CellStats {
    /// The number of open jobs.
    pub open_jobs: usize,
    /// The number of runs that take room on workers.
    pub runs: usize,
    /// The number of steps with tasks that need a worker.
    pub ready_steps: usize,
    /// The number of workers in use.
    pub workers: usize,
    /// The number of workers that answered their last call.
    pub reachable_workers: usize,
    /// The number of lasting tasks whose runs are on workers that do not report to this owner.
    pub unheard_lasting: usize,
    /// The number of workers whose last report may not have listed all ends.
    pub truncated_reports: usize,
    /// Counts of worker crashes since the takeover.
    pub crash_counts: CrashCounts,
    /// The number of waits that timed out since the takeover.
    pub expired_waits: u64,
    /// The number of scheduling passes that left steps to the next one, since the takeover.
    pub limited_passes: u64,
    /// Answers of the advice service since the takeover.
    pub answers: AnswerCounts,
    /// Jobs by their class at their first start, since the takeover. Only counted where late jobs go last.
    pub first_starts: ClassCounts,
    /// Runs that were stopped for more urgent steps since the takeover, and steps for which none was.
    pub stops: StopCounts,
}

impl Cell {
    /// Statistics for logs and metrics.
    pub fn stats(&self) -> CellStats {
        let runs = self.workers.values().map(|worker| worker.runs.len()).sum();
        let open = self.jobs.values().filter(|job| job.is_open()).count();
        let reachable_workers = self.workers.values().filter(|worker| worker.is_reachable).count();
        let unheard = self.workers.values().filter(|worker| !worker.is_reachable);
        let unheard_lasting = unheard.map(Worker::lasting_runs).sum();
        let truncated_reports = self.workers.values().filter(|worker| worker.has_more_ends).count();
        CellStats {
            open_jobs: open,
            runs,
            ready_steps: self.ready_steps.len(),
            workers: self.workers.len(),
            reachable_workers,
            unheard_lasting,
            truncated_reports,
            crash_counts: self.crash_counts,
            expired_waits: self.expired_waits,
            limited_passes: self.round.limited_passes,
            answers: self.answer_counts,
            first_starts: self.first_starts,
            stops: self.stops.counts,
        }
    }
}
