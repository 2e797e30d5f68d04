//! Whether stopping runs for a step is worth it: a comparison of the work that is on time only because of the stops
//! with the work that they cost.

use crate::clock::Millis;
use crate::workload::{JobKey, Step};
use std::collections::BTreeMap;

/// Time from the decision to stop a run until another task can start in its place. By the platform's contract a stop
/// takes at most 900 ms. A run that ends within this time frees its resources as soon as a stop would.
pub(in crate::cell) const STOP_TIME: Millis = Millis(900);
/// Added to the time within which runs end by themselves, as run times vary and other tasks may take what they free:
/// room is gathered for a gang only once it has waited for 2 s.
const ROOM_MARGIN: Millis = Millis(1_000);
/// A step whose job cannot be on time any more is stopped for after it has waited for this long. That is more than
/// twice the slack of a gang of 5 s with an objective of 12 s, so that only steps that starve reach it.
const MAX_LATE_WAIT: Millis = Millis(15_000);
/// Time that a stopped task takes to load its checkpoint when it starts again. Not reported by workers; assumed.
const RESTORE_TIME: Millis = Millis(300);
/// How long a stopped task waits for its second start. Its ticket, valid for 2.5 s, has mostly expired by then, so that
/// its step needs another answer of the advice service, for which half of such steps wait longer under overload.
const RESTART_WAIT: Millis = Millis(4_600);
/// Cost of the stop and of the second start, in core-milliseconds. Together they take some 1 ms of an owner of half a
/// core, which decides for 22,400 cores. It is assumed that the owner is the limit a quarter of the time.
const RESTART_COST: u64 = 5_000;
/// Cost of the second request to the advice service, in core-milliseconds. A request of 190 ms serves a step of 25
/// tasks, so that each takes some 8 ms of one of 42 entries, or 0.2 ms of the cell's 22,400 cores.
const REQUEST_COST: u64 = 4_000;
/// Costs that differ by less than this count as equal when runs are chosen. It is the work of a batch task of 6.9
/// cores in 150 ms; the age of a checkpoint is not known more exactly.
const COST_STEP: u64 = 1_000;
/// Thousandths of a core in a core.
const MILLICORES: u64 = 1_000;

/// The step for which runs would be stopped.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(in crate::cell) struct StepAccount {
    /// The work of the tasks that would start, in core-milliseconds.
    pub work: u64,
    /// The expected run time of a task.
    pub run_time: Millis,
    /// Time until the job is due, less its remaining critical path, in milliseconds.
    pub slack: i64,
    /// The job has not started and is ranked as late.
    pub is_late: bool,
    /// How long the step has been ready.
    pub waited: Millis,
}

/// A run that would be stopped, or that ends soon by itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(in crate::cell) struct VictimAccount {
    /// The job of the run.
    pub job: JobKey,
    /// The cores of the run, in thousandths.
    pub cpu: u64,
    /// Run time since the last checkpoint.
    pub unsaved: Millis,
    /// Expected time until the run ends by itself.
    pub remaining: Millis,
    /// Time until the job is due, less its remaining critical path, in milliseconds.
    pub slack: i64,
    /// The work of the whole job, in core-milliseconds.
    pub job_work: u64,
    /// The task was stopped for another step a short time ago.
    pub was_stopped: bool,
}

/// Why no run is stopped for a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::cell) enum Refusal {
    /// The job cannot be on time even if runs are stopped now.
    Late,
    /// The job can be on time without a stop.
    HasTime,
    /// The cost is not below the gain.
    Cost,
    /// As many runs as allowed were stopped within the last second.
    Limit,
}

impl Refusal {
    /// The name of the reason in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Late => "late",
            Self::HasTime => "has-time",
            Self::Cost => "cost",
            Self::Limit => "limit",
        }
    }
}

impl StepAccount {
    /// Whether a stop may help the step at all. Checked before any victim is looked at.
    pub fn check(&self) -> Result<(), Refusal> {
        let can_be_on_time = !self.is_late && self.slack >= STOP_TIME.0 as i64;
        (can_be_on_time || self.is_starved()).then_some(()).ok_or(Refusal::Late)
    }

    /// The account if this many of the step's tasks would start.
    pub fn for_tasks(self, spec: &Step, tasks: u32) -> Self {
        Self { work: work_of(spec, self.run_time, tasks), ..self }
    }

    /// Whether the step has waited so long that it no longer matters whether it is on time.
    fn is_starved(&self) -> bool {
        self.waited >= MAX_LATE_WAIT
    }

    /// The work that is on time only if room is made now, where without a stop room is free after `wait`.
    fn gain(&self, wait: Millis) -> u64 {
        let is_on_time_anyway = self.slack >= (wait + ROOM_MARGIN).0 as i64;
        if is_on_time_anyway && !self.is_starved() { 0 } else { self.work }
    }

    /// Whether the gain of making room on all `victims` exceeds its cost; returns both.
    pub fn settle(&self, victims: &[VictimAccount]) -> (Result<(), Refusal>, u64, u64) {
        let wait = victims.iter().map(|victim| victim.remaining).max().unwrap_or_default();
        let (gain, cost) = (self.gain(wait), total_cost(victims));
        let outcome = match () {
            () if gain == 0 => Err(Refusal::HasTime),
            () if gain <= cost => Err(Refusal::Cost),
            () => Ok(()),
        };
        (outcome, gain, cost)
    }
}

impl VictimAccount {
    /// Whether the run ends about as soon as it could be stopped.
    pub fn ends_soon(&self) -> bool {
        self.remaining <= STOP_TIME
    }

    /// Whether the task would be stopped a second time within seconds.
    pub fn is_stopped_again(&self) -> bool {
        self.was_stopped && !self.ends_soon()
    }

    /// The cost of stopping the run, without that for its job; 0 if it ends soon and is not stopped.
    pub fn own_cost(&self) -> u64 {
        if self.ends_soon() {
            return 0;
        }
        let repeated = self.unsaved + RESTORE_TIME;
        self.cpu.saturating_mul(repeated.0) / MILLICORES + RESTART_COST + REQUEST_COST
    }

    /// Whether the job would have been on time, and is late if this run is stopped.
    pub fn makes_late(&self) -> bool {
        let delay = self.unsaved + RESTORE_TIME + RESTART_WAIT;
        !self.ends_soon() && (0..delay.0 as i64).contains(&self.slack)
    }

    /// The order in which runs are chosen: those that end soon; those that were not stopped lately; those that make no
    /// job late; those that lose the least; those whose job is late already or has the most time.
    pub fn order(&self) -> (bool, bool, bool, u64, i64) {
        let spare = if self.slack < 0 { i64::MAX } else { self.slack };
        let cost = self.own_cost() / COST_STEP;
        (!self.ends_soon(), self.was_stopped, self.makes_late(), cost, -spare)
    }
}

/// The work of tasks of a step that run for this time, in core-milliseconds.
pub(in crate::cell) fn work_of(spec: &Step, run_time: Millis, tasks: u32) -> u64 {
    u64::from(tasks).saturating_mul(spec.resources.cpu).saturating_mul(run_time.0) / MILLICORES
}

/// The cost of making room on all of these runs, in core-milliseconds. A job that becomes late counts once.
pub(in crate::cell) fn total_cost(victims: &[VictimAccount]) -> u64 {
    let own = victims.iter().map(VictimAccount::own_cost).fold(0, u64::saturating_add);
    let late = victims.iter().filter(|victim| victim.makes_late());
    let late_jobs: BTreeMap<JobKey, u64> =
        late.map(|victim| (victim.job, victim.job_work)).collect();
    late_jobs.values().copied().fold(own, u64::saturating_add)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A gang of 20 tasks of 5 s on 18 cores that cannot wait for a run of 2 s.
    const GANG: StepAccount = StepAccount {
        work: 1_800_000,
        run_time: Millis(5_000),
        slack: 1_500,
        is_late: false,
        waited: Millis(1_000),
    };

    /// A run of 2.7 s on 6.9 cores of a job of 25 tasks.
    fn victim(job: u64) -> VictimAccount {
        VictimAccount {
            job: JobKey(job),
            cpu: 6_900,
            unsaved: Millis(200),
            remaining: Millis(2_000),
            slack: 8_000,
            job_work: 465_000,
            was_stopped: false,
        }
    }

    #[test]
    fn a_gang_that_would_be_late_stops_runs_of_jobs_with_time() {
        let victims: Vec<_> = (0..60).map(victim).collect();
        let (outcome, gain, cost) = GANG.settle(&victims);
        assert_eq!(outcome, Ok(()), "{gain} {cost}");
    }

    #[test]
    fn no_run_is_stopped_for_a_step_that_can_wait() {
        let step = StepAccount { slack: 3_000, ..GANG };
        assert_eq!(step.settle(&[victim(1)]).0, Err(Refusal::HasTime));
    }

    #[test]
    fn stops_that_make_more_work_late_than_they_save_are_refused() {
        let victims: Vec<_> =
            (0..4).map(|job| VictimAccount { slack: 500, ..victim(job) }).collect();
        assert_eq!(GANG.settle(&victims).0, Err(Refusal::Cost));
        let one_job: Vec<_> =
            victims.iter().map(|v| VictimAccount { job: JobKey(1), ..*v }).collect();
        assert_eq!(GANG.settle(&one_job).0, Ok(()), "the lateness of a job counts once");
    }

    #[test]
    fn small_tasks_do_not_pay_for_the_stop_of_a_larger_one() {
        let step = StepAccount { work: 7_900, ..GANG };
        assert_eq!(step.settle(&[victim(1), victim(2)]).0, Err(Refusal::Cost));
    }

    #[test]
    fn a_late_step_preempts_nothing_until_it_starves() {
        let late = StepAccount { slack: 100, ..GANG };
        assert_eq!(late.check(), Err(Refusal::Late));
        assert_eq!(StepAccount { is_late: true, ..GANG }.check(), Err(Refusal::Late));
        let starved = StepAccount { slack: -9_000, waited: MAX_LATE_WAIT, ..GANG };
        assert_eq!(starved.check(), Ok(()));
        assert_eq!(starved.settle(&[victim(1)]).0, Ok(()));
    }

    #[test]
    fn runs_are_chosen_by_what_their_stop_costs() {
        let soon = VictimAccount { remaining: Millis(500), ..victim(1) };
        let saved = VictimAccount { unsaved: Millis(0), ..victim(2) };
        let late = VictimAccount { slack: -100, ..victim(3) };
        let most_time = VictimAccount { slack: 9_000, ..victim(4) };
        let tight = VictimAccount { slack: 100, ..victim(6) };
        let again = VictimAccount { was_stopped: true, ..victim(7) };
        let expected = [soon, saved, late, most_time, victim(5), tight, again];
        let mut sorted = [again, tight, victim(5), most_time, late, saved, soon];
        sorted.sort_by_key(VictimAccount::order);
        assert_eq!(sorted, expected);
        assert_eq!(soon.own_cost(), 0, "a run that ends soon is not stopped");
    }
}
