//! Rooms that shrink and grow while tasks run.
//!
//! A worker's room may shrink while it runs, and workers may not guard it themselves: what they list is
//! all that keeps a start from taking one over it.

mod crashworld;

use crashworld::{Cluster, job, step};
use sprucerudder::cell::JobState;
use sprucerudder::cell::records::journal::JobOutcome;
use sprucerudder::workload::{Resources, Step};

/// Processors of a worker, of which a task takes a quarter.
const WHOLE: u64 = 16_000;

#[test]
fn nothing_new_goes_to_a_worker_that_has_shrunk_below_what_runs_there() {
    let mut site = Cluster::new(1);
    site.submit_long(job(1), vec![step(4)], 3_000);
    site.run_for(100);
    assert_eq!(site.starts_of(job(1)), 4);
    site.resize(0, WHOLE / 2);
    site.submit_long(job(2), vec![step(1)], 1_000);
    site.run_for(2_500);
    assert_eq!(site.starts_of(job(2)), 0, "16 of 8 processors are taken");
    site.run_for(2_000);
    assert_eq!(site.state(job(2)), Some(JobState::Closed(JobOutcome::Completed)));
    assert_eq!(
        site.state(job(1)),
        Some(JobState::Closed(JobOutcome::Completed)),
        "nothing was stopped"
    );
}

#[test]
fn a_room_that_grows_again_is_used_at_once() {
    let mut site = Cluster::new(1);
    site.resize(0, WHOLE / 8);
    site.submit(job(1), vec![step(4)]);
    site.run_for(3_000);
    assert_eq!(site.starts_of(job(1)), 0, "no task fits");
    site.resize(0, WHOLE);
    site.run_for(30);
    assert_eq!(site.starts_of(job(1)), 4);
}

/// Starts wait for the store to have their binding. While it was away a room shrank; the starts went out
/// with the room that they were decided for.
#[test]
fn a_start_that_waited_for_the_store_does_not_go_to_a_room_that_has_shrunk() {
    let mut site = Cluster::new(1);
    site.submit(job(1), vec![step(1), Step { dependencies: vec![0], ..step(3) }]);
    site.run_for(500);
    // The second step's turn comes at 1,000.
    site.stall_store(2_000);
    site.run_for(1_000);
    site.resize(0, WHOLE / 4);
    site.run_for(1_500);
    assert_eq!(site.max_running(), 1, "tasks where one has room");
    site.run_for(20_000);
    assert_eq!(site.state(job(1)), Some(JobState::Closed(JobOutcome::Completed)));
}

/// A room that is smaller than what runs there counted as none that is free, and each run that would end
/// as room that is gained: too few tasks were stopped for a step, which had no room after it either.
#[test]
fn as_many_tasks_are_stopped_as_make_room_at_a_worker_that_has_shrunk() {
    let mut site = Cluster::new(1);
    let small = Step { has_checkpoints: true, ..step(4) };
    site.submit_low(job(1), vec![small], 30_000);
    site.run_for(100);
    assert_eq!(site.starts_of(job(1)), 4);
    site.resize(0, WHOLE / 2);
    // Two of the four leave what remains as full as it may be.
    let resources = Resources { cpu: 6_000, mem: 1, gpu: 0 };
    site.submit(job(2), vec![Step { resources, ..step(1) }]);
    site.run_for(1_200);
    assert_eq!(site.starts_of(job(2)), 1);
}

/// A run whose job is over has a size that nobody knows. It was taken to fill the worker as large as that
/// was when it was found there; the worker grew, and the rest was given to others.
#[test]
fn a_run_of_unknown_size_fills_a_worker_that_grows_too() {
    let mut site = Cluster::new(1);
    let resources = Resources { cpu: WHOLE, mem: 1_000, gpu: 0 };
    site.submit_long(job(1), vec![Step { resources, ..step(1) }], 60_000);
    site.run_for(100);
    site.retain_records(|key| key == "roster");
    site.resize(0, WHOLE / 4);
    site.take_over_ignoring_stops();
    site.run_for(300);
    site.resize(0, WHOLE);
    site.submit(job(2), vec![step(1)]);
    site.run_for(1_000);
    assert_eq!(site.starts_of(job(2)), 0, "a task of sixteen processors runs there");
}
