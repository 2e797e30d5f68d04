//! Appends that the store answers late: the owner withdraws the jobs of later batches, and their
//! callers submit them again under the same keys while the store is still unavailable.

use super::*;

/// An append without an answer for this long is overdue; the same as in the owner's shell.
pub(super) const OVERDUE_MS: u64 = 300;

/// What an owner bound under a run number.
#[derive(Debug, Clone, PartialEq)]
struct Binding {
    worker: Name,
    /// How often this owner had withdrawn the job before.
    withdrawals: usize,
}

/// State of the searches in which overdue appends make owners withdraw jobs.
#[derive(Debug, Default)]
pub struct Withdrawals {
    pub enabled: bool,
    /// How often each owner withdrew each job.
    counts: BTreeMap<(usize, JobKey), usize>,
    /// The bindings of each owner by task and run number.
    bindings: BTreeMap<(usize, TaskKey, u64), Binding>,
    /// Jobs that were submitted again after they had been withdrawn.
    pub resubmitted: BTreeSet<JobKey>,
}

impl Simulation {
    /// An append is overdue: the owner withdraws the jobs of all later batches, none of which was
    /// sent.
    pub(super) fn withdraw_later_jobs(&mut self, owner: usize, batch: u64) {
        if self.owners[owner].deposed || self.owners[owner].cell.stored_batch() >= batch {
            return;
        }
        let withdrawn = self.owners[owner].cell.withdraw_after(batch);
        self.withdrawn_jobs += withdrawn.len();
        for job in &withdrawn {
            *self.withdrawals.counts.entry((owner, *job)).or_default() += 1;
        }
        let starts = self.owners[owner].cell.unsent_starts();
        let left: Vec<TaskKey> = starts
            .map(|(_, start)| start.task)
            .filter(|task| withdrawn.contains(&task.step.job))
            .collect();
        for task in left {
            self.record_violation(format!("a start of {task} is left after its withdrawal"));
        }
    }

    /// Checks that each run number of an owner stands for one binding.
    pub(super) fn check_run_numbers(&mut self, owner: usize) {
        if !self.withdrawals.enabled {
            return;
        }
        let starts = self.owners[owner].cell.unsent_starts();
        let starts: Vec<(Name, TaskKey, u64)> =
            starts.map(|(worker, start)| (worker.clone(), start.task, start.run)).collect();
        for (worker, task, run) in starts {
            let count = self.withdrawals.counts.get(&(owner, task.step.job));
            let withdrawals = count.copied().unwrap_or(0);
            if withdrawals > 0 {
                self.withdrawals.resubmitted.insert(task.step.job);
            }
            let binding = Binding { worker, withdrawals };
            let known = self
                .withdrawals
                .bindings
                .entry((owner, task, run))
                .or_insert_with(|| binding.clone());
            if *known != binding {
                let known = known.clone();
                self.record_violation(format!(
                    "run {run} of {task} stands for {known:?} and for {binding:?}"
                ));
            }
        }
    }
}
