//! When refused callers come back, replayed on an outage in which every job is refused.

use sprucerudder::cell::owner::retry::{MIN_RETRY_SECONDS, retry_after};
use sprucerudder::clock::Millis;
use sprucerudder::workload::{JobDefinition, JobKey, Queue, Step};

/// A caller's tries after the first one, in tenths of the wait that it was told: read off callers
/// that were told one second.
const TRIES: [u64; 4] = [10, 17, 23, 26];
/// Nothing is taken for so long.
const OUTAGE: u64 = 5_000;

fn queue(stretch: u64, target: u64) -> Queue {
    Queue {
        name: "q".into(),
        service: "s".into(),
        priority: 0,
        max_attempts: 1,
        stretch,
        target: Millis(target),
        advice: None,
    }
}

fn work(estimate: u64) -> JobDefinition {
    let step = Step { count: 1, estimate: Millis(estimate), ..Step::default() };
    JobDefinition {
        payload: "".into(),
        steps: vec![step],
        repetitions: 1,
        first_due: Millis(0),
        interval: Millis(0),
    }
}

/// When a job that first came `at` into the outage is taken, if it is.
fn taken(at: u64, after: u64) -> Option<u64> {
    let tries = TRIES.iter().map(|tenths| at + tenths * after * 100);
    tries.into_iter().find(|time| *time >= OUTAGE)
}

/// How many of 100 jobs spread over an outage can still be on time.
fn on_time(queue: &Queue, work: &JobDefinition, after: impl Fn(JobKey) -> u64) -> usize {
    let slack = (queue.objective(work) - work.critical_path()).0;
    let in_time = |no: &u64| {
        let at = no * OUTAGE / 100;
        taken(at, after(JobKey(*no))).is_some_and(|time| time - at <= slack)
    };
    (0..100).filter(in_time).count()
}

#[test]
fn jobs_with_time_to_spare_outlast_an_outage() {
    // Objectives of 31.8 s and 8.9 s.
    let long = (queue(4_000, 3_000), work(7_200));
    let middle = (queue(2_200, 1_000), work(3_600));
    for (queue, work) in [&long, &middle] {
        assert_eq!(on_time(queue, work, |_| MIN_RETRY_SECONDS), 52, "a second for everybody");
    }
    let ours = |queue, work| on_time(queue, work, |job| retry_after(queue, work, job));
    assert_eq!(ours(&long.0, &long.1), 100);
    assert!(ours(&middle.0, &middle.1) >= 52);
}

#[test]
fn jobs_without_time_to_spare_come_back_first() {
    let (queue, work) = (queue(1_500, 250), work(840));
    for no in 0..10 {
        assert_eq!(retry_after(&queue, &work, JobKey(no)), MIN_RETRY_SECONDS);
    }
}

#[test]
fn callers_do_not_come_back_all_at_once() {
    let (queue, work) = (queue(4_000, 3_000), work(7_200));
    let told: std::collections::BTreeSet<u64> =
        (0..10).map(|no| retry_after(&queue, &work, JobKey(no))).collect();
    assert_eq!(told.len(), 2);
}
