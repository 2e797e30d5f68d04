//! The figures for the decision whether runs are stopped for a step: how much work and time its job and theirs have left.

use crate::cell::Cell;
use crate::cell::jobs::job::Job;
use crate::cell::placing::account::{StepAccount, VictimAccount, work_of};
use crate::cell::placing::preempt::Victim;
use crate::cell::placing::rank::RankClass;
use crate::clock::Millis;
use crate::id::Name;
use crate::visits;
use crate::workload::{JobKey, Step, StepKey, TaskKey};
use std::collections::HashMap;

/// A run that takes longer than expected is assumed to go on for at least its run time divided by this, so that one
/// that stands still is not taken for one that ends soon. Batch runs of 2.7 s that take a third longer are beyond that.
const OVERDUE_DIVISOR: u64 = 4;

/// Figures of a step.
#[derive(Debug, Clone, Copy)]
struct StepFigures {
    /// The expected run time of a task on a usual worker.
    run_time: Millis,
    /// Time until the job is due, less the critical path after the step, in milliseconds.
    slack_after: i64,
    /// Some tasks of the step have no run yet.
    has_waiting: bool,
    /// The work of the whole job, in core-milliseconds.
    job_work: u64,
}

/// Figures of a whole job, with the run times that are expected now.
#[derive(Debug)]
struct JobFigures {
    /// The work of the job, in core-milliseconds.
    work: u64,
    /// For each step, the run time of the longest chain of steps that come after it.
    paths_after: Vec<Millis>,
}

/// The figures of the jobs that a scheduling pass has met. A walk of all steps of a job yields them for
/// all steps and runs of the job.
#[derive(Debug, Default)]
pub(in crate::cell) struct JobAccounts(HashMap<JobKey, JobFigures>);

impl Cell {
    /// The account of a step whose tasks wait.
    pub(in crate::cell) fn step_account(
        &self,
        now: Millis,
        key: StepKey,
        spec: &Step,
        accounts: &mut JobAccounts,
    ) -> Option<StepAccount> {
        let job = self.jobs.get(&key.job)?;
        let figures = self.step_figures(now, key, job, accounts)?;
        let ready_since = job.step(key)?.ready_since?;
        Some(StepAccount {
            work: work_of(spec, figures.run_time, spec.count),
            run_time: figures.run_time,
            slack: figures.slack_after - figures.run_time.0 as i64,
            is_late: job.rank().class == RankClass::Late,
            waited: now.since(ready_since),
        })
    }

    /// The account of a run that may be stopped on a worker.
    pub(in crate::cell) fn victim_account(
        &self,
        now: Millis,
        worker: &Name,
        victim: &Victim,
        accounts: &mut JobAccounts,
    ) -> Option<VictimAccount> {
        let Victim { task, run, charge, .. } = victim;
        let job = self.jobs.get(&task.step.job)?;
        let figures = self.step_figures(now, task.step, job, accounts)?;
        let worker = self.workers.get(worker)?;
        let run = worker.runs.get(&(*task, *run))?;
        let since = |time: Millis| if time.0 == 0 { Millis(0) } else { now.since(time) };
        let to_do = figures.run_time.0.saturating_sub(self.stops.saved(*task).0);
        let to_do = (to_do as f64 * worker.speed.ratio()) as u64;
        let elapsed = since(run.started_at).0;
        let remaining = to_do.saturating_sub(elapsed).max(elapsed / OVERDUE_DIVISOR);
        let step_left = if figures.has_waiting { figures.run_time.0 } else { remaining };
        Some(VictimAccount {
            job: task.step.job,
            cpu: charge.cpu,
            unsaved: since(run.progressed_at),
            remaining: Millis(remaining),
            slack: figures.slack_after - step_left as i64,
            job_work: figures.job_work,
            was_stopped: self.stops.was_stopped(now, *task),
        })
    }

    /// The run time of a task that its checkpoints have saved, over all its runs.
    pub(in crate::cell) fn saved_run_time(&self, worker: &Name, task: TaskKey, run: u64) -> Millis {
        let worker = self.workers.get(worker);
        let run = worker.and_then(|worker| worker.runs.get(&(task, run)));
        let saved_now = run.map_or(Millis(0), |run| run.progressed_at.since(run.started_at));
        self.stops.saved(task) + saved_now
    }

    fn step_figures(
        &self,
        now: Millis,
        key: StepKey,
        job: &Job,
        accounts: &mut JobAccounts,
    ) -> Option<StepFigures> {
        let run_times = self.run_times.get(&job.queue.name);
        let expected = |spec: &Step| {
            let learned = run_times.and_then(|times| times.expected(spec.estimate));
            learned.unwrap_or(spec.estimate)
        };
        let figures = accounts.0.entry(key.job).or_insert_with(|| JobFigures::new(job, expected));
        let slack_after = job.rank().due.0 as i64 - now.0 as i64;
        let path_after = figures.paths_after.get(usize::from(key.step)).copied()?;
        Some(StepFigures {
            run_time: expected(job.spec(key.step)?),
            slack_after: slack_after - path_after.0 as i64,
            has_waiting: !job.step(key)?.waiting.is_empty(),
            job_work: figures.work,
        })
    }
}

impl JobFigures {
    fn new(job: &Job, run_time: impl Fn(&Step) -> Millis) -> Self {
        let steps = &job.work.steps;
        let works = steps.iter().map(|spec| work_of(spec, run_time(spec), spec.count));
        let work = works.sum();
        let mut paths_after = vec![Millis(0); steps.len()];
        for (index, spec) in steps.iter().enumerate().rev() {
            visits::add(1 + spec.dependencies.len());
            let path = paths_after[index] + run_time(spec);
            for dependency in &spec.dependencies {
                if let Some(known) = paths_after.get_mut(usize::from(*dependency)) {
                    *known = path.max(*known);
                }
            }
        }
        Self { work, paths_after }
    }
}
