//! Workers whose capacity shrinks and grows while tasks run.
//!
//! Workers need not enforce their capacity themselves: the scheduler alone, by the capacity that a
//! worker lists, keeps starts from exceeding it.

mod crashworld;

use crashworld::{Cluster, job, step};
use sprucerudder::cell::JobState;
use sprucerudder::cell::records::journal::JobOutcome;
use sprucerudder::workload::{Resources, Step};

/// CPU of a worker in thousandths of a core; a task takes a quarter of it.
const WORKER_CPU: u64 = 16_000;

#[test]
fn no_task_starts_on_a_worker_that_shrank_below_its_running_tasks() {
    let mut cluster = Cluster::new(1);
    cluster.submit_long(job(1), vec![step(4)], 3_000);
    cluster.run_for(100);
    assert_eq!(cluster.starts_of(job(1)), 4);
    cluster.resize(0, WORKER_CPU / 2);
    cluster.submit_long(job(2), vec![step(1)], 1_000);
    cluster.run_for(2_500);
    assert_eq!(cluster.starts_of(job(2)), 0, "running tasks use 16 cores of a worker with 8");
    cluster.run_for(2_000);
    assert_eq!(cluster.state(job(2)), Some(JobState::Closed(JobOutcome::Completed)));
    assert_eq!(
        cluster.state(job(1)),
        Some(JobState::Closed(JobOutcome::Completed)),
        "no running task was stopped"
    );
}

#[test]
fn capacity_that_grows_again_is_used_at_once() {
    let mut cluster = Cluster::new(1);
    cluster.resize(0, WORKER_CPU / 8);
    cluster.submit(job(1), vec![step(4)]);
    cluster.run_for(3_000);
    assert_eq!(cluster.starts_of(job(1)), 0, "the worker is too small for any task");
    cluster.resize(0, WORKER_CPU);
    cluster.run_for(30);
    assert_eq!(cluster.starts_of(job(1)), 4);
}

/// A start is held until its binding is stored. Fault: during a store outage a worker shrank, and
/// the held starts were sent by the capacity that they had been decided for.
#[test]
fn a_start_delayed_by_the_store_is_not_sent_to_a_worker_that_shrank() {
    let mut cluster = Cluster::new(1);
    cluster.submit(job(1), vec![step(1), Step { dependencies: vec![0], ..step(3) }]);
    cluster.run_for(500);
    // The second step becomes ready at 1,000 ms.
    cluster.stall_store(2_000);
    cluster.run_for(1_000);
    cluster.resize(0, WORKER_CPU / 4);
    cluster.run_for(1_500);
    assert_eq!(cluster.max_running(), 1, "tasks at once on a worker with capacity for one");
    cluster.run_for(20_000);
    assert_eq!(cluster.state(job(1)), Some(JobState::Closed(JobOutcome::Completed)));
}

/// Fault: on a worker with less capacity than its running tasks use, free capacity was taken for
/// zero instead of negative, and each run to stop for capacity gained. Too few tasks were stopped
/// for a step, which then still did not fit.
#[test]
fn enough_tasks_are_preempted_on_a_worker_that_shrank() {
    let mut cluster = Cluster::new(1);
    let small = Step { has_checkpoints: true, ..step(4) };
    cluster.submit_low(job(1), vec![small], 30_000);
    cluster.run_for(100);
    assert_eq!(cluster.starts_of(job(1)), 4);
    cluster.resize(0, WORKER_CPU / 2);
    // With two of the four tasks left, the worker is exactly full.
    let resources = Resources { cpu: 6_000, mem: 1, gpu: 0 };
    cluster.submit(job(2), vec![Step { resources, ..step(1) }]);
    cluster.run_for(1_200);
    assert_eq!(cluster.starts_of(job(2)), 1);
}

/// The size of a run whose job has ended is unknown. Fault: it was counted with the worker's
/// capacity at the time when it was found; when the worker grew, the difference was given to other
/// tasks.
#[test]
fn a_run_of_unknown_size_fills_a_worker_even_after_it_grows() {
    let mut cluster = Cluster::new(1);
    let resources = Resources { cpu: WORKER_CPU, mem: 1_000, gpu: 0 };
    cluster.submit_long(job(1), vec![Step { resources, ..step(1) }], 60_000);
    cluster.run_for(100);
    cluster.retain_records(|key| key == "roster");
    cluster.resize(0, WORKER_CPU / 4);
    cluster.take_over_ignoring_stops();
    cluster.run_for(300);
    cluster.resize(0, WORKER_CPU);
    cluster.submit(job(2), vec![step(1)]);
    cluster.run_for(1_000);
    assert_eq!(cluster.starts_of(job(2)), 0, "a task of 16 cores still runs there");
}
