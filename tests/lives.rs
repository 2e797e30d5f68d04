//! Workers that restart with the same id.
//!
//! Workers crashed and restarted with the same id, and numbered their ends from 1 again. The owner
//! took them for the same incarnations and went on confirming the last number of the previous one.
//! The workers then dropped ends that nobody had read, and the owner found the runs missing:
//! finished tasks started a second time, and jobs were never completed although their tasks were
//! done. The owner's log:
//!
//! 5.0472 event=worker-unreachable worker=i-39cf2896f4 runs=2
//! 5.5534 event=worker-reachable worker=i-39cf2896f4 running=0 ended=0
//! 5.9151 event=start task=T.0.1.8 run=1025 worker=i-39cf2896f4
//! 7.1648 event=run-vanished task=T.0.1.8 run=1025 worker=i-39cf2896f4
//!
//! There is no `event=run-ended` between the last two lines, while the platform saw the run end
//! successfully at 6.435.

mod lifeworld;

use lifeworld::{Cluster, LEASE_MS, RUN_MS, job, step};
use sprucerudder::cell::JobState;
use sprucerudder::cell::jobs::wait_reason::WaitReason;
use sprucerudder::cell::records::journal::JobOutcome;
use sprucerudder::clock::Millis;
use sprucerudder::workload::Step;

const COMPLETED: Option<JobState> = Some(JobState::Closed(JobOutcome::Completed));

#[test]
fn ends_of_a_worker_restarted_with_the_same_id_are_read() {
    let mut cluster = Cluster::new(1);
    for key in 1..=5 {
        cluster.submit(job(key));
    }
    cluster.run_for(3_000);
    cluster.restart(0, 500);
    for key in 11..=13 {
        cluster.submit(job(key));
        cluster.run_for(1_000);
    }
    for key in (1..=5).chain(11..=13) {
        assert_eq!(cluster.state(job(key)), COMPLETED, "{key}");
        assert_eq!(cluster.start_count(job(key)), 1, "{key}");
    }
}

#[test]
fn runs_of_the_previous_incarnation_restart_within_one_report() {
    let mut cluster = Cluster::new(2);
    cluster.submit(job(1));
    cluster.run_for(100);
    let first = cluster.host_of(job(1));
    cluster.restart(first, 200);
    cluster.run_for(2_000);
    assert_eq!(cluster.state(job(1)), COMPLETED);
    assert_eq!(cluster.start_count(job(1)), 2);
}

#[test]
fn a_restarted_worker_is_used_within_a_report_and_a_list_interval() {
    for downtime in [20, 300, 2_000] {
        let mut cluster = Cluster::new(1);
        cluster.submit(job(1));
        cluster.run_for(1_000);
        cluster.restart(0, downtime);
        let back = cluster.now + downtime;
        cluster.submit(job(2));
        cluster.run_for(downtime + 1_000);
        let start = cluster.first_start_on(0, back).expect("a start");
        // A report every 100 ms, the list every 400, and the store's answer.
        assert!(start - back <= 520, "{} ms after a downtime of {downtime} ms", start - back);
    }
}

#[test]
fn the_report_after_a_lost_one_confirms_nothing() {
    let mut cluster = Cluster::new(1);
    for key in 1..=3 {
        cluster.submit(job(key));
    }
    cluster.run_for(1_000);
    assert_eq!(cluster.confirmed.last().map(|(_, no)| *no), Some(3));
    cluster.lose_reports(0, 1);
    cluster.run_for(200);
    let last: Vec<u64> = cluster.confirmed.iter().rev().take(2).map(|(_, no)| *no).collect();
    assert!(last.contains(&0), "{last:?}");
    cluster.run_for(200);
    assert_eq!(cluster.confirmed.last().map(|(_, no)| *no), Some(3));
}

#[test]
fn an_unanswered_start_is_barred_at_the_next_incarnation() {
    let mut cluster = Cluster::new(2);
    cluster.order_delays.insert(0, 900);
    cluster.order_delays.insert(1, 900);
    cluster.submit(job(1));
    cluster.run_for(60);
    // The start is under way, and no stop has been answered, when the workers restart.
    cluster.restart(0, 20);
    cluster.restart(1, 20);
    cluster.order_delays.clear();
    cluster.run_for(4_000);
    assert_eq!(cluster.state(job(1)), COMPLETED);
    assert!(!cluster.ran_concurrently(job(1)), "it ran twice at once");
}

#[test]
fn each_crash_under_one_id_is_counted() {
    let mut cluster = Cluster::new(1);
    cluster.submit(job(1));
    for _ in 0..8 {
        cluster.crash_when_running(0, job(1));
    }
    cluster.run_for(5_000);
    assert!(cluster.start_count(job(1)) <= 5, "{} starts", cluster.start_count(job(1)));
    assert_eq!(cluster.state(job(1)), Some(JobState::Closed(JobOutcome::Failed)));
}

#[test]
fn a_crash_is_counted_by_an_owner_that_took_over_meanwhile() {
    let mut cluster = Cluster::new(1);
    cluster.submit(job(1));
    for _ in 0..8 {
        cluster.crash_when_running(0, job(1));
        cluster.take_over();
        cluster.run_for(1_500);
    }
    cluster.run_for(5_000);
    assert!(cluster.start_count(job(1)) <= 5, "{} starts", cluster.start_count(job(1)));
}

#[test]
fn a_worker_that_was_not_cleared_is_asked_about_after_its_restart() {
    let mut cluster = Cluster::with_advice(1);
    cluster.cleared_workers.insert("none".into());
    cluster.submit(job(1));
    cluster.run_for(1_000);
    assert_eq!(cluster.start_count(job(1)), 0);
    // The advice service clears the next incarnation.
    cluster.cleared_workers.clear();
    cluster.restart(0, 100);
    cluster.run_for(2_000);
    assert_eq!(cluster.state(job(1)), COMPLETED);
}

#[test]
fn a_ticket_of_the_previous_incarnation_is_not_used() {
    let mut cluster = Cluster::with_advice(1);
    cluster.submit_step(job(1), Step { count: 8, ..step() });
    cluster.run_for(160);
    let asked = cluster.questions.len();
    cluster.restart(0, 100);
    cluster.run_for(4_000);
    assert_eq!(cluster.state(job(1)), COMPLETED);
    assert!(cluster.questions.len() > asked, "nothing was asked about the next incarnation");
}

#[test]
fn nothing_starts_at_an_incarnation_of_unknown_capacity() {
    let mut cluster = Cluster::new(1);
    cluster.submit(job(1));
    cluster.run_for(1_000);
    cluster.freeze_list(true);
    cluster.restart_resized(0, 100, 500);
    let from = cluster.now;
    cluster.submit(job(2));
    cluster.run_for(3_000);
    assert_eq!(cluster.first_start_on(0, from), None, "its entry is of the previous incarnation");
    cluster.freeze_list(false);
    cluster.run_for(1_000);
    assert_eq!(cluster.first_start_on(0, from), None, "no worker has room for it");
    cluster.restart_resized(0, 100, 4_000);
    cluster.run_for(2_000);
    assert_eq!(cluster.state(job(2)), COMPLETED);
}

#[test]
fn a_list_entry_of_the_previous_incarnation_changes_nothing() {
    let mut cluster = Cluster::new(1);
    cluster.submit(job(1));
    cluster.run_for(1_000);
    // The list is read late: its entry is of the previous incarnation for two seconds.
    cluster.freeze_list(true);
    cluster.restart(0, 100);
    cluster.run_for(2_000);
    cluster.freeze_list(false);
    cluster.submit(job(2));
    cluster.run_for(1_500);
    assert_eq!(cluster.state(job(2)), COMPLETED);
    assert_eq!(cluster.start_count(job(2)), 1);
}

#[test]
fn a_total_power_loss_loses_and_repeats_nothing() {
    for at in (20..800).step_by(60) {
        let mut cluster = Cluster::new(3);
        for key in 1..=9 {
            cluster.submit(job(key));
        }
        cluster.run_for(at);
        for index in 0..3 {
            cluster.restart(index, 100 + 60 * index as u64);
        }
        cluster.take_over();
        cluster.run_for(6_000);
        for key in 1..=9 {
            assert!(cluster.is_completed_if_accepted(job(key)), "{key} is lost, {at}");
            assert!(!cluster.ran_concurrently(job(key)), "{key} ran twice at once, {at}");
            assert!(!cluster.was_repeated(job(key)), "{key} was done and started again, {at}");
        }
    }
}

#[test]
fn a_start_that_reached_no_worker_counts_as_one_crash_at_most() {
    // A start without an answer was sent to each incarnation in turn, to be refused there. Each one
    // that ended before it had refused the start counted as a crash of the task:
    // event=crash-counted task=T.0.0.2 worker=i-1+2@1699999996000 crashes=2 alone=false confirmed=true
    // event=crash-counted task=T.0.0.2 worker=i-1+2@1699999995000 crashes=3 alone=true confirmed=true
    // event=job-given-up task=T.0.0.2 crashes=3
    let mut cluster = Cluster::new(1);
    cluster.order_delays.insert(0, 60_000);
    cluster.submit(job(1));
    cluster.run_for(60);
    for _ in 0..5 {
        cluster.restart(0, 20);
        cluster.run_for(200);
    }
    cluster.order_delays.clear();
    cluster.run_for(5_000);
    assert_eq!(cluster.state(job(1)), COMPLETED);
}

#[test]
fn a_task_whose_starts_reached_nobody_is_not_given_up() {
    // Three starts in a row had no answer, each on a worker that crashed at that moment; the last
    // one was the only run there. None of them had begun, and the job was reported as failed:
    // event=start-failed task=T.0.0.0 run=4098 worker=i-4 outcome=Unknown
    // event=crash-counted task=T.0.0.0 worker=i-4@1699999999000 crashes=3 alone=true confirmed=true
    // event=job-given-up task=T.0.0.0 crashes=3
    let mut cluster = Cluster::new(1);
    cluster.loses_starts = true;
    cluster.submit(job(1));
    for turn in 0..10 {
        cluster.run_for(200 + 20 * turn);
        cluster.restart(0, 60);
    }
    cluster.loses_starts = false;
    cluster.run_for(5_000);
    assert_eq!(cluster.state(job(1)), COMPLETED);
}

#[test]
fn a_start_counts_once_across_restarts_and_takeovers() {
    // A task was started once on a worker that crashed, and the crashes of the worker's next two
    // incarnations were counted against it, too:
    // event=start task=T.0.0.0 run=1027 worker=w4
    // event=crash-counted task=T.0.0.0 worker=w4@7 crashes=3
    // event=crash-counted task=T.0.0.0 worker=w4@5001399 crashes=4
    // event=crash-counted task=T.0.0.0 worker=w4@8005315 crashes=5
    // The store still had the binding to run 1027, because progress was not written when it had
    // become empty.
    let mut cluster = Cluster::new(1);
    cluster.submit(job(1));
    cluster.run_for(60);
    // Nothing is placed meanwhile: the list has the first incarnation.
    cluster.freeze_list(true);
    for _ in 0..5 {
        cluster.restart(0, 20);
        cluster.run_for(300);
        cluster.take_over();
    }
    cluster.freeze_list(false);
    cluster.run_for(8_000);
    assert_eq!(cluster.state(job(1)), COMPLETED);
    assert_eq!(cluster.start_count(job(1)), 2);
}

/// Restarts all workers as soon as a job's task runs.
fn crash_all(cluster: &mut Cluster, workers: usize) {
    while !cluster.is_running(job(1)) {
        cluster.run_for(20);
    }
    for index in 0..workers {
        cluster.restart(index, 100);
    }
    cluster.run_for(100);
}

#[test]
fn a_task_with_two_crashes_waits_until_a_worker_has_stayed_up() {
    let mut cluster = Cluster::new(2);
    cluster.submit(job(1));
    for _ in 0..2 {
        crash_all(&mut cluster, 2);
    }
    // The first report of the restarted workers comes now.
    cluster.run_for(1_900);
    let waits: Vec<WaitReason> = cluster.cell.waiting_steps().map(|(_, why)| why).collect();
    assert_eq!(waits, [WaitReason::NewWorkers]);
    assert_eq!(cluster.start_count(job(1)), 2);
    cluster.run_for(220);
    assert_eq!(cluster.start_count(job(1)), 3);
    cluster.run_for(400);
    assert_eq!(cluster.state(job(1)), COMPLETED);
}

#[test]
fn tasks_with_one_crash_do_not_wait_for_workers_to_have_stayed_up() {
    let mut cluster = Cluster::new(2);
    for key in 1..=4 {
        cluster.submit(job(key));
    }
    cluster.run_for(60);
    cluster.restart(0, 100);
    cluster.restart(1, 100);
    cluster.run_for(1_200);
    for key in 1..=4 {
        assert_eq!(cluster.state(job(key)), COMPLETED, "{key}");
    }
}

#[test]
fn a_gang_with_crashes_starts_whole_on_workers_that_have_stayed_up() {
    let mut cluster = Cluster::new(2);
    cluster.submit_step(job(1), Step { count: 6, is_gang: true, ..step() });
    for _ in 0..2 {
        crash_all(&mut cluster, 2);
    }
    cluster.run_for(1_000);
    cluster.restart(1, 100);
    cluster.run_for(1_500);
    assert_eq!(
        cluster.start_count(job(1)),
        12,
        "one worker that has stayed up is too small for it"
    );
    cluster.run_for(1_500);
    assert_eq!(cluster.state(job(1)), COMPLETED);
    assert_eq!(cluster.start_count(job(1)), 18);
}

/// The owner starts a job's task on a worker, and the task is done. No owner reads its end, because
/// the worker restarts while the next owner takes over.
fn lose_end_at_takeover(cluster: &mut Cluster) {
    let until = cluster.now + 4_000;
    while cluster.now < until && !cluster.is_running(job(1)) {
        cluster.run_for(20);
    }
    if cluster.is_running(job(1)) {
        let index = cluster.host_of(job(1));
        cluster.run_for(RUN_MS - 20);
        // Of the reports that could contain the end, one falls into this time.
        cluster.lose_reports(index, 1);
        cluster.run_for(40);
        cluster.restart(index, 20);
        cluster.take_over();
    }
}

#[test]
fn runs_that_ended_before_a_takeover_fail_no_job() {
    // Ends that no owner had read or recorded counted as crashes. Three of them failed a job
    // although no worker had crashed under its task.
    let mut cluster = Cluster::new(2);
    cluster.submit(job(1));
    for _ in 0..3 {
        lose_end_at_takeover(&mut cluster);
    }
    cluster.run_for(5_000);
    assert_eq!(cluster.state(job(1)), COMPLETED);
}

#[test]
fn a_task_with_only_uncertain_crashes_is_reported_as_waiting() {
    let mut cluster = Cluster::new(2);
    cluster.submit(job(1));
    for _ in 0..8 {
        lose_end_at_takeover(&mut cluster);
    }
    cluster.run_for(30_000);
    assert_eq!(cluster.start_count(job(1)), 5, "by the contract, two after the third crash");
    assert_eq!(cluster.state(job(1)), Some(JobState::Active));
    let waits: Vec<WaitReason> = cluster.cell.waiting_steps().map(|(_, why)| why).collect();
    assert_eq!(waits, [WaitReason::Crashes]);
    cluster.cell.cancel(Millis(cluster.now), job(1));
    cluster.run_for(200);
    assert_eq!(cluster.state(job(1)), Some(JobState::Closed(JobOutcome::Cancelled)));
}

#[test]
fn a_job_with_only_uncertain_crashes_does_not_wait_forever() {
    // Its task may not start again, and nothing could show that it was not the cause. The job was
    // shown as active for as long as its caller asked.
    let mut cluster = Cluster::new(2);
    cluster.submit(job(1));
    for _ in 0..8 {
        lose_end_at_takeover(&mut cluster);
    }
    cluster.run_for(60_000);
    assert_eq!(cluster.start_count(job(1)), 5);
    assert_eq!(cluster.state(job(1)), Some(JobState::Closed(JobOutcome::Failed)));
}

/// How long after a takeover a task on a partitioned worker starts elsewhere, in milliseconds.
fn wait_after_takeover(mut cluster: Cluster) -> u64 {
    cluster.submit(job(1));
    cluster.run_for(60);
    let index = cluster.host_of(job(1));
    cluster.partition(index, 60_000);
    cluster.take_over();
    let from = cluster.now;
    while cluster.start_count(job(1)) < 2 {
        cluster.run_for(20);
    }
    cluster.now - from
}

#[test]
fn a_new_owner_waits_for_the_longest_lease_only_where_a_worker_may_have_restarted() {
    // Workers that don't report when they started have another id after a restart, so that no lease
    // by the clock of another incarnation reaches them. A takeover waited for the longest lease
    // there, too, before it started the tasks of a partitioned worker elsewhere.
    let usual = wait_after_takeover(Cluster::without_start_times(2));
    assert!((LEASE_MS..LEASE_MS + 600).contains(&usual), "{usual} ms");
    let longest = wait_after_takeover(Cluster::new(2));
    assert!((10_000..10_000 + 700).contains(&longest), "{longest} ms");
}

#[test]
fn a_job_is_not_given_up_for_one_worker_that_crashes_again() {
    // Two starts were lost on their way to workers that had just started. The third one ran when
    // its worker crashed. The fourth one had no answer from the same worker, which had been up for
    // seconds and then crashed again:
    // event=crash-counted task=T.0.0.0 worker=i-2+1@1699999998000 crashes=3 evidence=Shared confirmed=true
    // event=start-failed task=T.0.0.0 run=11266 worker=i-2+1 outcome=Unknown
    // event=crash-counted task=T.0.0.0 worker=i-2+1@1699999997000 crashes=4 evidence=Shared confirmed=false
    // event=job-given-up task=T.0.0.0 crashes=4
    let mut cluster = Cluster::new(1);
    cluster.loses_starts = true;
    cluster.submit(job(1));
    for _ in 0..2 {
        cluster.run_for(900);
        cluster.restart(0, 60);
    }
    cluster.loses_starts = false;
    crash_all(&mut cluster, 1);
    cluster.loses_starts = true;
    cluster.run_for(2_300);
    cluster.restart(0, 60);
    cluster.loses_starts = false;
    cluster.run_for(6_000);
    assert_eq!(cluster.state(job(1)), COMPLETED);
}

#[test]
fn a_job_is_not_given_up_for_starts_that_reached_nobody_at_workers_that_had_stayed_up() {
    // Two starts were lost on their way to workers that had just started, and two more on their way
    // to workers that had been up for longer; each of these restarted at that moment for another
    // reason. The task had run nowhere:
    //  event=start-failed task=T.0.2.1 run=5123 worker=i-3 outcome=Unknown
    //  event=crash-counted task=T.0.2.1 worker=i-3@1699999999000 crashes=3 evidence=Shared confirmed=false
    //  event=start-failed task=T.0.2.1 run=5124 worker=i-5 outcome=Unknown
    //  event=crash-counted task=T.0.2.1 worker=i-5@1699999997000 crashes=4 evidence=Shared confirmed=false
    //  event=job-given-up task=T.0.2.1 crashes=4
    let mut cluster = Cluster::new(6);
    cluster.loses_starts = true;
    cluster.submit(job(1));
    for _ in 0..4 {
        let before = cluster.start_targets.len();
        while cluster.start_targets.len() == before && cluster.now < 30_000 {
            cluster.run_for(20);
        }
        let index = *cluster.start_targets.last().expect("a start");
        cluster.restart(index, 60);
    }
    cluster.loses_starts = false;
    cluster.run_for(8_000);
    assert_eq!(cluster.state(job(1)), COMPLETED);
}
