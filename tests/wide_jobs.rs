//! Jobs with many tasks in one step.

mod cells;

use cells::series::{World, at_once};
use sprucerudder::clock::Millis;
use sprucerudder::workload::TaskKey;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The most bytes of one append, by the platform's contract.
const APPEND_BYTES: usize = 2_097_152;

/// How often each task was started.
fn starts_by_task(world: &World) -> BTreeMap<TaskKey, usize> {
    let mut counts = BTreeMap::new();
    for (_, task) in &world.starts {
        *counts.entry(*task).or_default() += 1;
    }
    counts
}

/// The progress of a step whose tasks were all assigned at once was larger than an append. The store
/// refused it again and again, and no later record was written.
#[test]
fn no_record_of_a_wide_job_is_larger_than_an_append() {
    const TASKS: u32 = 100_000;
    let mut world = World::with_workers(None, 100_000);
    world.submit(1, &at_once(TASKS));
    world.runs_until = 20_000;
    world.run(100);
    assert_eq!(starts_by_task(&world).len(), TASKS as usize);
    world.run(500);
    assert!(world.is_completed(1));
    let largest = world.written.iter().max_by_key(|(_, bytes)| *bytes).expect("a record");
    println!("largest record: {largest:?}");
    assert!(largest.1 < APPEND_BYTES, "{largest:?}");
    assert!(starts_by_task(&world).values().all(|count| *count == 1));
}

/// All tasks were encoded and written at each change of one of them.
#[test]
fn a_change_of_one_task_writes_a_part_of_the_progress() {
    let mut world = World::with_workers(None, 100_000);
    world.submit(1, &at_once(50_000));
    world.runs_until = u64::MAX;
    world.run(40);
    let first = world.written.len();
    world.end_one_run();
    world.run(2);
    let bytes: usize = world.written.iter().skip(first).map(|(_, bytes)| bytes).sum();
    println!("one end of 50,000 tasks: {bytes} bytes");
    assert!((1..200_000).contains(&bytes), "{bytes} bytes");
}

/// A crash between two appends of a batch left a part of the progress in the store.
#[test]
fn tasks_of_a_wide_job_run_once_although_owners_end_between_two_appends() {
    for records_left in [1, 2, 3, 5, 8, 13, 21] {
        let mut world = World::with_workers(None, 100_000);
        world.submit(1, &at_once(15_000));
        world.run(1);
        for _ in 0..6 {
            world.records_left = records_left;
            world.run(2);
            world.records_left = usize::MAX;
            world.take_over();
        }
        world.run(100);
        assert!(world.is_completed(1), "{records_left} records");
        let twice = starts_by_task(&world).into_iter().find(|(_, count)| *count > 1);
        assert_eq!(twice, None, "{records_left} records");
        let left: Vec<_> = world.store.keys().filter(|key| key.contains(".p")).collect();
        assert!(left.is_empty(), "{left:?}");
    }
}

/// More urgent jobs waited until all tasks of the wide one were started.
#[test]
fn an_urgent_job_starts_before_all_tasks_of_a_wide_one() {
    let mut world = World::with_workers(None, 100_000);
    let mut wide = (*at_once(60_000)).clone();
    wide.steps[0].estimate = Millis(20_000);
    world.submit(1, &Arc::new(wide));
    world.runs_until = 30_000;
    world.run(3);
    world.submit(2, &at_once(2));
    let submitted = world.now;
    world.run(10);
    let first = world.repetitions(2).first().map(|(_, at)| *at);
    assert!(first.is_some_and(|at| at - submitted <= 500), "{first:?} after {submitted}");
}
