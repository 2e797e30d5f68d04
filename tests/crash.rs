//! Tasks that crash the workers on which they start.
//!
//! Some thirty tasks each crashed every worker on which they started. The worker was back as
//! another incarnation 3.3 s later, and 30 ms after that the task started again elsewhere, without
//! end, because nothing counted the crashes. The six to fourteen other runs on the worker were lost
//! each time, so that nearly nothing was completed in a day. The owner's log:
//!
//! 26.2085 event=start task=T.0.0.0 run=1030 worker=i-e07b2d49e9
//! 26.2354 event=start-failed task=T.0.0.0 run=1030 worker=i-e07b2d49e9 outcome=Unknown
//! 26.2354 event=worker-unreachable worker=i-e07b2d49e9 runs=12
//! 29.6585 event=worker-removed worker=i-e07b2d49e9 runs=9
//! 29.6899 event=start task=T.0.0.0 run=1031 worker=i-06311505f9

mod crashworld;

use crashworld::{Cluster, job, step};
use sprucerudder::cell::JobState;
use sprucerudder::cell::records::journal::JobOutcome;
use sprucerudder::workload::{JobKey, Step};

/// How many starts are allowed after three workers crashed under a task.
const MAX_EXTRA_STARTS: usize = 2;

#[test]
fn a_task_that_crashes_its_workers_is_given_up() {
    let (mut cluster, crashing) = crashing_cluster(6, 0, vec![step(1)]);
    cluster.run_for(60_000);
    assert_given_up(&cluster, crashing, "at the end");
}

/// A cluster with a job whose task `index` crashes every worker on which it starts.
fn crashing_cluster(workers: usize, index: u32, steps: Vec<Step>) -> (Cluster, JobKey) {
    let mut cluster = Cluster::new(workers);
    let crashing = job(0xbad);
    cluster.mark_crashing(crashing, index);
    cluster.submit(crashing, steps);
    (cluster, crashing)
}

/// Checks that the job was given up, and that no task of it started more often than allowed.
fn assert_given_up(cluster: &Cluster, crashing: JobKey, when: &str) {
    assert!(
        cluster.most_starts(crashing) <= 3 + MAX_EXTRA_STARTS,
        "{} starts, {when}",
        cluster.most_starts(crashing)
    );
    assert_eq!(cluster.state(crashing), Some(JobState::Closed(JobOutcome::Failed)), "{when}");
}

/// Submits jobs of one task each, with keys from `from` on.
fn submit_single_tasks(cluster: &mut Cluster, from: u64, count: u64) -> Vec<JobKey> {
    let jobs: Vec<_> = (from..from + count).map(job).collect();
    for key in &jobs {
        cluster.submit(*key, vec![step(1)]);
    }
    jobs
}

#[test]
fn tasks_that_shared_crashed_workers_complete() {
    let mut cluster = Cluster::new(24);
    let mut others = Vec::new();
    for index in 0..20 {
        let crashing = job(0xbad0 + index);
        cluster.mark_crashing(crashing, 0);
        cluster.submit(crashing, vec![step(1)]);
        others.extend(submit_single_tasks(&mut cluster, 1_000 + 100 * index, 8));
        cluster.run_for(1_500);
    }
    cluster.run_for(60_000);
    for index in 0..20 {
        let crashing = job(0xbad0 + index);
        assert_given_up(&cluster, crashing, "at the end");
    }
    for key in others {
        assert_eq!(cluster.state(key), Some(JobState::Closed(JobOutcome::Completed)), "{key}");
    }
}

#[test]
fn crash_counts_survive_takeovers() {
    for every in [900, 2_000, 3_100, 4_500, 7_000] {
        let (mut cluster, crashing) = crashing_cluster(6, 0, vec![step(1)]);
        for _ in 0..60_000 / every {
            cluster.run_for(every);
            cluster.take_over();
        }
        cluster.run_for(20_000);
        assert_given_up(&cluster, crashing, &format!("every {every}"));
    }
}

#[test]
fn crash_counts_survive_a_store_outage_and_a_takeover_after_it() {
    for from in [0, 3_000, 6_000, 9_000] {
        let (mut cluster, crashing) = crashing_cluster(6, 0, vec![step(1)]);
        cluster.run_for(50 + from);
        cluster.start_outage(20_010);
        cluster.run_for(20_000);
        cluster.take_over();
        cluster.run_for(40_000);
        assert_given_up(&cluster, crashing, &format!("from {from}"));
    }
}

#[test]
fn partitioned_workers_are_not_counted_as_crashed() {
    let mut cluster = Cluster::new(6);
    let key = job(1);
    cluster.submit_long(key, vec![step(1)], 12_000);
    for _ in 0..6 {
        // Each partition is longer than a lease and begins before the task has ended.
        cluster.run_for(300);
        for index in cluster.workers_of(key) {
            cluster.partition(index, 9_000);
        }
        cluster.run_for(8_000);
    }
    cluster.run_for(30_000);
    assert_eq!(cluster.state(key), Some(JobState::Closed(JobOutcome::Completed)));
    assert!(cluster.starts_of(key) > 4, "{} starts", cluster.starts_of(key));
}

#[test]
fn workers_that_all_crash_together_fail_no_job() {
    let mut cluster = Cluster::new(16);
    let jobs = submit_single_tasks(&mut cluster, 1, 60);
    for _ in 0..2 {
        cluster.run_for(400);
        for index in 0..16 {
            cluster.crash(index);
        }
        cluster.run_for(4_000);
    }
    cluster.run_for(60_000);
    for key in jobs {
        assert_eq!(cluster.state(key), Some(JobState::Closed(JobOutcome::Completed)), "{key}");
    }
}

#[test]
fn a_gang_with_a_crashing_task_is_given_up() {
    let (mut cluster, crashing) = crashing_cluster(6, 1, vec![Step { is_gang: true, ..step(3) }]);
    cluster.run_for(60_000);
    assert_given_up(&cluster, crashing, "at the end");
}

#[test]
fn an_owner_reads_records_without_crash_counts() {
    let (mut cluster, crashing) = crashing_cluster(6, 0, vec![step(1)]);
    cluster.run_for(4_000);
    cluster.retain_records(|key| !key.ends_with(".c"));
    cluster.take_over();
    cluster.run_for(60_000);
    assert_eq!(cluster.state(crashing), Some(JobState::Closed(JobOutcome::Failed)));
}

#[test]
fn crash_counts_survive_outages_that_end_with_takeovers() {
    for length in [7_500, 12_000, 20_000] {
        let (mut cluster, crashing) = crashing_cluster(24, 0, vec![step(1)]);
        cluster.run_for(50);
        for _ in 0..6 {
            cluster.start_outage(length + 10);
            cluster.run_for(length);
            cluster.take_over();
            cluster.run_for(20);
        }
        cluster.run_for(40_000);

        assert_given_up(&cluster, crashing, &format!("length {length}"));
    }
}

/// Where copies of a task are allowed, one starts as soon as the task's worker stops answering. A
/// task that crashes its workers took one worker after another within 30 ms that way: three were
/// down at 9.364 s, and three more starts had been sent by 9.449 s, long before the first
/// incarnation was known to be gone.
#[test]
fn a_task_with_copies_is_not_copied_from_crash_to_crash() {
    let (mut cluster, crashing) =
        crashing_cluster(24, 0, vec![Step { allow_copies: true, ..step(2) }]);
    cluster.run_for(2_000);
    assert!(cluster.crashes <= 2, "{} crashes in 2 s", cluster.crashes);
    cluster.run_for(60_000);
    assert_given_up(&cluster, crashing, "at the end");
}

/// The network path to a failure domain refused connections. Two refusals were taken as proof that
/// an incarnation had ended: 210 workers that were still running were considered gone, and 266
/// tasks ran twice.
#[test]
fn a_worker_that_refuses_connections_is_not_considered_gone() {
    let mut cluster = Cluster::new(2);
    cluster.submit_long(job(1), vec![step(1)], 20_000);
    cluster.run_for(100);
    let at = cluster.workers_of(job(1))[0];
    cluster.partition(at, 5_000);
    cluster.run_for(5_000);
    assert_eq!(cluster.starts_of(job(1)), 1, "it keeps running until its lease expires");
    cluster.run_for(20_000);
    assert_eq!(cluster.starts_of(job(1)), 1);
    assert_eq!(cluster.state(job(1)), Some(JobState::Closed(JobOutcome::Completed)));
}

/// Bounds the cost of such tasks: the workers that crash, and the starts of other tasks that are
/// lost with them.
#[test]
fn the_cost_of_crashing_tasks_is_bounded() {
    for (per_minute, max_crashes) in [(0, 0), (1, 3), (5, 15)] {
        let mut cluster = Cluster::new(24);
        let mut others = Vec::new();
        for second in 0..60 {
            others.extend(submit_single_tasks(&mut cluster, 1_000 + 100 * second, 22));
            if per_minute > 0 && second % (60 / per_minute) == 0 {
                let key = job(0xbad0 + second);
                cluster.mark_crashing(key, 0);
                cluster.submit(key, vec![step(1)]);
            }
            cluster.run_for(1_000);
        }
        cluster.run_for(20_000);
        let starts: usize = others.iter().map(|key| cluster.starts_of(*key)).sum();
        let lost_starts = starts - others.len();
        println!(
            "{per_minute} a minute: {} workers crashed, {lost_starts} other starts lost",
            cluster.crashes
        );
        assert!(
            cluster.crashes <= max_crashes,
            "{per_minute} a minute: {} workers crashed",
            cluster.crashes
        );
        assert!(
            lost_starts <= 4 * max_crashes,
            "{per_minute} a minute: {lost_starts} other starts lost"
        );
        for key in others {
            assert_eq!(cluster.state(key), Some(JobState::Closed(JobOutcome::Completed)), "{key}");
        }
    }
}

/// All kinds of work must complete beside several tasks that crash their workers.
#[test]
fn other_work_continues_beside_several_crashing_tasks() {
    let mut cluster = Cluster::new(24);
    let (wide, gang, copies, lasting) = (job(1), job(2), job(3), job(4));
    cluster.submit_long(lasting, vec![Step { long_running: true, ..step(6) }], 1_000_000);
    cluster.run_for(3_000);
    for index in 0..4 {
        let crashing = job(0xbad0 + index);
        cluster.mark_crashing(crashing, 0);
        cluster.submit(crashing, vec![step(3)]);
    }
    cluster.submit_long(wide, vec![step(60)], 3_000);
    cluster.submit_long(gang, vec![Step { is_gang: true, ..step(8) }], 3_000);
    cluster.submit_long(copies, vec![Step { allow_copies: true, ..step(8) }], 3_000);
    cluster.run_for(40_000);
    for index in 0..4 {
        assert_given_up(&cluster, job(0xbad0 + index), "at the end");
    }
    for key in [wide, gang, copies] {
        assert_eq!(cluster.state(key), Some(JobState::Closed(JobOutcome::Completed)), "{key}");
    }
    assert_eq!(cluster.running_of(lasting), 6);
    assert_eq!(cluster.state(lasting), Some(JobState::Active));
    assert!(cluster.crashes <= 5 * 4, "{} workers crashed", cluster.crashes);
}

/// Workers crashed one after the other, and a job of tasks that run until it is cancelled was given up
/// after the third crash under one of them. Such tasks are to be started again however they end.
#[test]
fn a_lasting_job_is_not_given_up_for_crashes_of_workers() {
    const WORKERS: usize = 7;
    let mut cluster = Cluster::new(WORKERS);
    let lasting = job(1);
    cluster.submit_long(lasting, vec![Step { long_running: true, ..step(8) }], 1_000_000);
    for round in 0..40 {
        cluster.run_for(3_000);
        cluster.crash(round % WORKERS);
        if round % 10 == 9 {
            cluster.take_over();
        }
    }
    assert_eq!(cluster.state(lasting), Some(JobState::Active));
    cluster.run_for(15_000);
    assert_eq!(cluster.running_of(lasting), 8);
}

/// The same for a task that crashes its workers itself: all that may be lost for it is one worker at a
/// time.
#[test]
fn other_work_continues_beside_a_lasting_task_that_crashes_its_workers() {
    let mut cluster = Cluster::new(8);
    let (crashing, other) = (job(0xbad), job(1));
    cluster.mark_crashing(crashing, 0);
    cluster.submit_long(crashing, vec![Step { long_running: true, ..step(1) }], 1_000_000);
    cluster.run_for(20_000);
    cluster.submit_long(other, vec![step(12)], 3_000);
    cluster.run_for(40_000);
    assert_eq!(cluster.state(crashing), Some(JobState::Active));
    assert_eq!(cluster.state(other), Some(JobState::Closed(JobOutcome::Completed)));
}
