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

impl Cell {
    /// Notes until when a job has to start to be on time, if its class can change.
    pub(in crate::cell) fn watch_lateness(&mut self, key: JobKey) {
        if !self.uses_ranked(Mechanism::LatenessOrder) {
            return;
        }
        let Some(job) = self.jobs.get(&key).filter(|job| can_become_late(job)) else { return };
        self.latest_starts.insert((self.latest_start(job), key));
    }

    /// Moves jobs that have not started and cannot be on time any more behind those that can. Only jobs whose latest
    /// start has passed are looked at: the critical paths of all waiting jobs would be too many for each tick.
    pub fn update_ranks(&mut self, now: Millis) {
        let mut changed = Vec::new();
        while let Some((start, key)) = self.latest_starts.first().copied()
            && start < now
        {
            self.latest_starts.pop_first();
            let Some(job) = self.jobs.get(&key).filter(|job| can_become_late(job)) else {
                continue;
            };
            // The learned run times have changed since the time was noted, or the job was submitted again.
            let latest = self.latest_start(job);
            match latest >= now {
                true => drop(self.latest_starts.insert((latest, key))),
                false => changed.push((key, now.0 - latest.0)),
            }
        }
        for (key, delay) in &changed {
            self.set_rank_class(*key, RankClass::Late, -(*delay as i64));
        }
        self.apply_ranks(changed.into_iter().map(|(key, _)| key));
    }

    /// Has a late job that has started go before jobs that have not: its cores would be wasted otherwise.
    pub(in crate::cell) fn rank_started_job(&mut self, now: Millis, key: JobKey) {
        let Some(job) = self.jobs.get(&key) else { return };
        if job.rank_class == RankClass::OnTime || !job.has_run || !job.is_open() {
            return;
        }
        let slack = self.latest_start(job).0 as i64 - now.0 as i64;
        self.set_rank_class(key, RankClass::OnTime, slack);
        self.apply_ranks([key]);
    }

    /// Classifies all jobs again after a change of the policy, which may have changed their objectives.
    pub(in crate::cell) fn reset_ranks(&mut self) {
        self.latest_starts.clear();
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
        let estimate = job.work.critical_path();
        let learned =
            self.run_times.get(&job.queue.name).and_then(|times| times.expected(estimate));
        Millis(job.due().0.saturating_sub(learned.unwrap_or(estimate).0))
    }

    fn set_rank_class(&mut self, key: JobKey, class: RankClass, slack: i64) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        job.rank_class = class;
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

/// Whether a job is on time now and may become late. Only queues that use the advice service are known to have one
/// stretch per priority. Jobs that are scheduled for a time of day, and tasks that run until they are cancelled, have
/// no time by which they should end.
fn can_become_late(job: &Job) -> bool {
    let is_scheduled = job.work.first_due.0 > 0;
    let is_long_running = job.work.steps.iter().any(|step| step.long_running);
    let is_waiting = job.is_open() && !job.has_run && job.rank_class == RankClass::OnTime;
    is_waiting && job.queue.advice.is_some() && !is_scheduled && !is_long_running
}
