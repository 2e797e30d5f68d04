//! The class of waiting jobs: whether they can still meet their objective.
//!
//! While there is more work than capacity, jobs that are already late would delay those that can still be on time,
//! until all are late.

use crate::cell::Cell;
use crate::cell::jobs::job::Job;
use crate::cell::mechanism::Mechanism;
use crate::cell::placing::rank::{Rank, RankClass};
use crate::clock::Millis;
use crate::workload::{JobKey, StepKey};
use std::collections::HashMap;

/// How long a late job may be overtaken by later ones that need less work. A burst of 4 s at 1.7 times the usual load of
/// 0.8 leaves a backlog of about 1.5 s of all workers, which the other fifth of the capacity works off in 7 s. Jobs reach
/// this age only in a longer overload.
pub const MAX_LATE_WAIT: Millis = Millis(10_000);

impl Cell {
    /// Notes when the class of a job may change, if it can.
    pub(in crate::cell) fn watch_lateness(&mut self, key: JobKey) {
        if !self.uses_ranked(Mechanism::LatenessOrder) {
            return;
        }
        let Some(job) = self.jobs.get(&key).filter(|job| can_be_late(job)) else { return };
        self.rank_changes.insert((self.latest_start(job), key));
    }

    /// Moves jobs that have not started and cannot be on time any more behind those that can. Only jobs whose class
    /// may have changed by now are looked at: the critical paths of all waiting jobs would be too many for each tick.
    pub fn update_ranks(&mut self, now: Millis) {
        let mut changed = Vec::new();
        while let Some((at, key)) = self.rank_changes.first().copied()
            && at < now
        {
            self.rank_changes.pop_first();
            let Some(job) = self.jobs.get(&key).filter(|job| can_be_late(job)) else { continue };
            // The learned run times may have changed since the time was noted, or the job was submitted again.
            let latest = self.latest_start(job);
            let (class, next) = class_at(now, latest);
            let has_changed = class != job.rank_class;
            if let Some(next) = next {
                self.rank_changes.insert((next, key));
            }
            if has_changed {
                self.set_rank_class(key, class, now, latest);
                changed.push(key);
            }
        }
        self.apply_ranks(changed);
    }

    /// Has a late job that has started go before jobs that have not: its cores would be wasted otherwise.
    pub(in crate::cell) fn rank_started_job(&mut self, now: Millis, key: JobKey) {
        let Some(job) = self.jobs.get(&key) else { return };
        if job.rank_class == RankClass::OnTime || !job.has_run || !job.is_open() {
            return;
        }
        let latest = self.latest_start(job);
        self.set_rank_class(key, RankClass::OnTime, now, latest);
        self.apply_ranks([key]);
    }

    /// Classifies all jobs again after a change of the policy, which may have changed their objectives.
    pub(in crate::cell) fn reset_ranks(&mut self) {
        self.rank_changes.clear();
        let open = self.jobs.iter_mut().filter(|(_, job)| job.is_open());
        let classes = open.map(|(key, job)| (*key, std::mem::take(&mut job.rank_class)));
        let classes: Vec<(JobKey, RankClass)> = classes.collect();
        for (key, _) in &classes {
            self.watch_lateness(*key);
        }
        let late = classes.into_iter().filter(|(_, class)| *class != RankClass::OnTime);
        self.apply_ranks(late.map(|(key, _)| key));
    }

    /// The latest time at which a job that has not started can start and be on time on a usual worker. Zero if it
    /// could not be on time from the beginning.
    fn latest_start(&self, job: &Job) -> Millis {
        let estimate = job.summary.critical_path;
        let learned =
            self.run_times.get(&job.queue.name).and_then(|times| times.expected(estimate));
        Millis(job.due().0.saturating_sub(learned.unwrap_or(estimate).0))
    }

    fn set_rank_class(&mut self, key: JobKey, class: RankClass, now: Millis, latest: Millis) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        job.rank_class = class;
        let slack = latest.0 as i64 - now.0 as i64;
        log::info!("event=rank-changed job={key} class={class:?} slack_ms={slack}");
    }

    /// Sorts the waiting steps of jobs, their queued requests and their reservations by the present ranks.
    fn apply_ranks(&mut self, keys: impl IntoIterator<Item = JobKey>) {
        let mut ranks: HashMap<StepKey, Rank> = HashMap::new();
        for key in keys {
            let Some(job) = self.jobs.get(&key) else { continue };
            ranks.extend(job.step_keys(key).into_iter().map(|step| (step, job.rank())));
        }
        if ranks.is_empty() {
            return;
        }
        for (step, rank) in &ranks {
            self.ready_steps.update_rank(*step, *rank);
            self.reservations.update_rank(*step, *rank);
        }
        self.advice_queue.update_ranks(&ranks);
        self.needs_placement = true;
    }
}

/// The class of a job that has not started, and the time after which it may change.
fn class_at(now: Millis, latest_start: Millis) -> (RankClass, Option<Millis>) {
    let aged_at = latest_start + MAX_LATE_WAIT;
    match () {
        () if now <= latest_start => (RankClass::OnTime, Some(latest_start)),
        () if now <= aged_at => (RankClass::Late, Some(aged_at)),
        () => (RankClass::Aged, None),
    }
}

/// Whether a job can be late. Only queues that use the advice service are known to have one stretch per priority. Jobs
/// that are scheduled for a time of day, and tasks that run until they are cancelled, have no time by which they
/// should end.
fn can_be_late(job: &Job) -> bool {
    let is_scheduled = job.work.first_due.0 > 0;
    let is_long_running = job.work.steps.iter().any(|step| step.long_running);
    let is_waiting = job.is_open() && !job.has_run;
    is_waiting && job.queue.advice.is_some() && !is_scheduled && !is_long_running
}
