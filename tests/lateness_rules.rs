//! Rules for the order of waiting jobs of one priority, compared on a model of the workers: one pool
//! of cores, tasks that run as long as estimated, and no time for requests and orders.

use std::cmp::Ordering;

const CORES: u64 = 64;
/// Length of the load, in milliseconds.
const LOAD_MS: u64 = 60_000;
const STEP_MS: u64 = 20;
/// Usual run time of a task, in milliseconds. The run times vary by a factor of 3.
const RUN_MS: u64 = 2_000;
/// Tasks of a job, of two cores each: 2 to 10.
const TASKS: std::ops::RangeInclusive<u64> = 2..=10;
const TASK_CORES: u64 = 2;
/// The work of the smallest job, in core-milliseconds.
const SMALLEST_WORK: f64 = (*TASKS.start() * TASK_CORES * RUN_MS / 2) as f64;
/// The objective of a job is this many thousandths of its run time, plus [`TARGET_MS`].
const STRETCH: u64 = 2_200;
const TARGET_MS: u64 = 1_000;
/// The value of a late job to its caller; that of one on time is 1.
const LATE_VALUE: f64 = 0.2;
/// As in the scheduler.
const MAX_LATE_WAIT_MS: u64 = sprucerudder::cell::placing::lateness::MAX_LATE_WAIT.0;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Rule {
    /// The job that is due first.
    Due,
    /// Jobs that can be on time, by due time; then the late ones, the least remaining work first.
    SlackThenWork,
    /// The job with the highest cost of delay per core-second. The cost of a job that can be on time
    /// rises as its slack shrinks. A late job that has waited for long costs as much as the smallest
    /// late job.
    CostOfDelay,
}

#[derive(Debug, Clone)]
struct Job {
    arrival: u64,
    run_ms: u64,
    waiting: u64,
    unfinished: u64,
    has_run: bool,
    work: f64,
}

impl Job {
    fn due(&self) -> u64 {
        self.arrival + self.run_ms * STRETCH / 1_000 + TARGET_MS
    }

    /// The time that is left until the job has to start, negative if it is late.
    fn slack(&self, now: u64) -> i64 {
        self.due() as i64 - self.run_ms as i64 - now as i64
    }

    /// The class and the order in it; lower goes first.
    fn rank(&self, now: u64, rule: Rule) -> (u8, f64) {
        let (slack, due) = (self.slack(now), self.due() as f64);
        let is_late = slack < 0;
        let is_aged = slack < -(MAX_LATE_WAIT_MS as i64);
        match rule {
            Rule::Due => (0, due),
            _ if self.has_run => (0, due),
            Rule::SlackThenWork if !is_late => (0, due),
            Rule::SlackThenWork if is_aged => (1, due),
            Rule::SlackThenWork => (2, self.work),
            Rule::CostOfDelay => {
                let work = if is_aged { SMALLEST_WORK } else { self.work };
                let cost = match is_late {
                    true => LATE_VALUE,
                    false => (1.0 - LATE_VALUE) * (-slack as f64 / RUN_MS as f64).exp(),
                };
                (2, -cost / work)
            }
        }
    }
}

#[derive(Debug, Default)]
struct Outcome {
    on_time: f64,
    value: f64,
    /// The longest wait of a job for its first start, in milliseconds.
    longest: u64,
}

fn arrivals(load: f64, seed: u64) -> Vec<Job> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mean_tasks = (TASKS.start() + TASKS.end()) / 2;
    let mean_work = (mean_tasks * TASK_CORES * RUN_MS) as f64;
    let chance = load * CORES as f64 * STEP_MS as f64 / mean_work;
    let mut jobs = Vec::new();
    for arrival in (0..LOAD_MS).step_by(STEP_MS as usize) {
        if rng.f64() < chance {
            let (run_ms, tasks) = (RUN_MS / 2 + rng.u64(0..RUN_MS), rng.u64(TASKS));
            let work = (tasks * TASK_CORES * run_ms) as f64;
            jobs.push(Job {
                arrival,
                run_ms,
                waiting: tasks,
                unfinished: tasks,
                has_run: false,
                work,
            });
        }
    }
    jobs
}

fn simulate(load: f64, seed: u64, rule: Rule) -> Outcome {
    let mut jobs = arrivals(load, seed);
    let mut running: Vec<(u64, usize)> = Vec::new();
    let (mut now, mut free, mut outcome) = (0, CORES, Outcome::default());
    let mut left = jobs.len();
    while left > 0 {
        running.retain(|(end, index)| {
            let is_over = *end <= now;
            if is_over {
                free += TASK_CORES;
                jobs[*index].unfinished -= 1;
                if jobs[*index].unfinished == 0 {
                    left -= 1;
                    let is_on_time = *end <= jobs[*index].due();
                    outcome.on_time += f64::from(u8::from(is_on_time));
                    outcome.value += if is_on_time { 1.0 } else { LATE_VALUE };
                }
            }
            !is_over
        });
        let known = jobs.iter().enumerate().filter(|(_, job)| job.arrival <= now);
        let mut waiting: Vec<usize> =
            known.filter(|(_, job)| job.waiting > 0).map(|(index, _)| index).collect();
        let order = |a: &usize, b: &usize| {
            let (a, b) = (jobs[*a].rank(now, rule), jobs[*b].rank(now, rule));
            a.partial_cmp(&b).unwrap_or(Ordering::Equal)
        };
        waiting.sort_by(order);
        for index in waiting {
            while free >= TASK_CORES && jobs[index].waiting > 0 {
                let job = &mut jobs[index];
                if !job.has_run {
                    outcome.longest = outcome.longest.max(now - job.arrival);
                }
                job.has_run = true;
                job.waiting -= 1;
                free -= TASK_CORES;
                running.push((now + job.run_ms, index));
            }
        }
        now += STEP_MS;
    }
    let count = jobs.len() as f64;
    Outcome { on_time: outcome.on_time / count, value: outcome.value / count, ..outcome }
}

/// The mean over several seeds, and the longest wait of all.
fn mean(load: f64, rule: Rule) -> Outcome {
    const SEEDS: u64 = 5;
    let outcomes: Vec<Outcome> = (0..SEEDS).map(|seed| simulate(load, seed, rule)).collect();
    let mean_of = |get: fn(&Outcome) -> f64| outcomes.iter().map(get).sum::<f64>() / SEEDS as f64;
    Outcome {
        on_time: mean_of(|outcome| outcome.on_time),
        value: mean_of(|outcome| outcome.value),
        longest: outcomes.iter().map(|outcome| outcome.longest).max().unwrap_or_default(),
    }
}

/// The rule that the scheduler follows, compared with another one at several loads.
fn assert_better(than: Rule, margin: f64) {
    for load in [1.2, 1.6, 2.0, 3.0] {
        let (chosen, other) = (mean(load, Rule::SlackThenWork), mean(load, than));
        println!("load {load}: {chosen:?}, {than:?}: {other:?}");
        assert!(chosen.on_time >= other.on_time + margin, "{than:?} at {load}");
        assert!(chosen.value >= other.value, "{than:?} at {load}");
    }
}

#[test]
fn more_jobs_are_on_time_than_by_due_time() {
    // By due time, late jobs go first and make the next ones late.
    assert_better(Rule::Due, 0.25);
}

#[test]
fn more_jobs_are_on_time_than_by_the_cost_of_delay() {
    // Late jobs that need little work, and those that have waited for long, would go before larger ones that can still
    // be on time.
    assert_better(Rule::CostOfDelay, 0.05);
}

#[test]
fn nothing_is_lost_at_four_fifths_of_the_capacity() {
    let (chosen, due) = (mean(0.8, Rule::SlackThenWork), mean(0.8, Rule::Due));
    println!("{chosen:?}, by due time: {due:?}");
    assert!(chosen.on_time >= due.on_time);
}
