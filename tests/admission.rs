//! How long refused callers are told to wait before they retry, replayed on an outage during which
//! every job is refused.

use sprucerudder::cell::owner::retry::{MIN_RETRY_SECONDS, retry_after};
use sprucerudder::clock::Millis;
use sprucerudder::workload::{JobDefinition, JobKey, Queue, Step};

/// Times of a caller's retries after its first try, in tenths of the retry delay that it was told.
/// They were observed on callers that were told one second.
const RETRY_TENTHS: [u64; 4] = [10, 17, 23, 26];
/// Length of the outage in milliseconds: no job is accepted before its end.
const OUTAGE_MS: u64 = 5_000;

fn queue(stretch: u64, target_ms: u64) -> Queue {
    Queue {
        name: "q".into(),
        service: "s".into(),
        priority: 0,
        max_attempts: 1,
        stretch,
        target: Millis(target_ms),
        advice: None,
    }
}

fn work(estimate_ms: u64) -> JobDefinition {
    let step = Step { count: 1, estimate: Millis(estimate_ms), ..Step::default() };
    JobDefinition {
        payload: "".into(),
        steps: vec![step],
        repetitions: 1,
        first_due: Millis(0),
        interval: Millis(0),
    }
}

/// Time at which a job is accepted that was first submitted at `at` and whose caller was told to
/// retry after `delay_s` seconds; `None` if its retries all fall into the outage.
fn accepted_at(at: u64, delay_s: u64) -> Option<u64> {
    let retries = RETRY_TENTHS.iter().map(|tenths| at + tenths * delay_s * 100);
    retries.into_iter().find(|time| *time >= OUTAGE_MS)
}

/// How many of 100 jobs, submitted evenly over the outage, are accepted early enough to meet their
/// objective.
fn count_on_time(
    queue: &Queue,
    work: &JobDefinition,
    retry_delay: impl Fn(JobKey) -> u64,
) -> usize {
    let slack = (queue.objective(work) - work.critical_path()).0;
    let is_on_time = |no: &u64| {
        let at = no * OUTAGE_MS / 100;
        accepted_at(at, retry_delay(JobKey(*no))).is_some_and(|time| time - at <= slack)
    };
    (0..100).filter(is_on_time).count()
}

#[test]
fn jobs_with_slack_are_retried_after_the_outage() {
    // Their objectives are 31.8 s and 8.9 s.
    let long = (queue(4_000, 3_000), work(7_200));
    let middle = (queue(2_200, 1_000), work(3_600));
    for (queue, work) in [&long, &middle] {
        assert_eq!(
            count_on_time(queue, work, |_| MIN_RETRY_SECONDS),
            52,
            "with a delay of one second for all"
        );
    }
    let own_delays = |queue, work| count_on_time(queue, work, |job| retry_after(queue, work, job));
    assert_eq!(own_delays(&long.0, &long.1), 100);
    assert!(own_delays(&middle.0, &middle.1) >= 52);
}

#[test]
fn jobs_without_slack_are_retried_first() {
    let (queue, work) = (queue(1_500, 250), work(840));
    for no in 0..10 {
        assert_eq!(retry_after(&queue, &work, JobKey(no)), MIN_RETRY_SECONDS);
    }
}

#[test]
fn retries_of_callers_are_spread() {
    let (queue, work) = (queue(4_000, 3_000), work(7_200));
    let delays: std::collections::BTreeSet<u64> =
        (0..10).map(|no| retry_after(&queue, &work, JobKey(no))).collect();
    assert_eq!(delays.len(), 2);
}
