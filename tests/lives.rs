//! Workers that start again under the id that they had.
//!
//! Tasks that were done started a second time, and jobs were never completed though their tasks were
//! done. Workers had crashed and started again under their ids; their ends were numbered from 1 anew. The
//! owner took them for the same lives and went on to confirm the last number of the life before, so that
//! the worker forgot ends that nobody had read, and the owner found the runs gone. Its log had it so:
//!
//! 5.0472 event=worker-silent worker=i-39cf2896f4 runs=2
//! 5.5534 event=worker-heard worker=i-39cf2896f4 running=0 ended=0
//! 5.9151 event=start task=T.0.1.8 run=1025 worker=i-39cf2896f4
//! 7.1648 event=run-vanished task=T.0.1.8 run=1025 worker=i-39cf2896f4
//!
//! with no `event=ended` between the last two, while the platform saw the run done at 6.435.

mod lifeworld;

use lifeworld::{LEASE, LENGTH, Site, job, step};
use sprucerudder::cell::JobState;
use sprucerudder::cell::jobs::wait_reason::WaitReason;
use sprucerudder::cell::records::journal::JobOutcome;
use sprucerudder::clock::Millis;
use sprucerudder::workload::Step;

const COMPLETED: Option<JobState> = Some(JobState::Closed(JobOutcome::Completed));

#[test]
fn ends_of_a_worker_that_started_again_under_its_id_are_read() {
    let mut site = Site::new(1);
    for key in 1..=5 {
        site.submit(job(key));
    }
    site.play(3_000);
    site.restart(0, 500);
    for key in 11..=13 {
        site.submit(job(key));
        site.play(1_000);
    }
    for key in (1..=5).chain(11..=13) {
        assert_eq!(site.state(job(key)), COMPLETED, "{key}");
        assert_eq!(site.starts(job(key)), 1, "{key}");
    }
}

#[test]
fn what_ran_in_the_life_before_starts_again_within_one_report() {
    let mut site = Site::new(2);
    site.submit(job(1));
    site.play(100);
    let first = site.host_of(job(1));
    site.restart(first, 200);
    site.play(2_000);
    assert_eq!(site.state(job(1)), COMPLETED);
    assert_eq!(site.starts(job(1)), 2);
}

#[test]
fn a_restarted_worker_is_used_again_within_a_report_and_a_look_at_the_list() {
    for away in [20, 300, 2_000] {
        let mut site = Site::new(1);
        site.submit(job(1));
        site.play(1_000);
        site.restart(0, away);
        let back = site.now + away;
        site.submit(job(2));
        site.play(away + 1_000);
        let start = site.first_start_at(0, back).expect("a start");
        // A report every 100 ms, the list every 400, and the store's answer.
        assert!(
            start - back <= 520,
            "{} ms after a life that was away for {away} ms",
            start - back
        );
    }
}

#[test]
fn the_report_after_a_lost_one_confirms_nothing() {
    let mut site = Site::new(1);
    for key in 1..=3 {
        site.submit(job(key));
    }
    site.play(1_000);
    assert_eq!(site.confirmed.last().map(|(_, no)| *no), Some(3));
    site.lose_reports(0, 1);
    site.play(200);
    let last: Vec<u64> = site.confirmed.iter().rev().take(2).map(|(_, no)| *no).collect();
    assert!(last.contains(&0), "{last:?}");
    site.play(200);
    assert_eq!(site.confirmed.last().map(|(_, no)| *no), Some(3));
}

#[test]
fn a_start_that_was_not_answered_is_barred_at_the_next_life() {
    let mut site = Site::new(2);
    site.late.insert(0, 900);
    site.late.insert(1, 900);
    site.submit(job(1));
    site.play(60);
    // The start is on its way, and no stop was answered, when the worker starts again.
    site.restart(0, 20);
    site.restart(1, 20);
    site.late.clear();
    site.play(4_000);
    assert_eq!(site.state(job(1)), COMPLETED);
    assert!(!site.has_overlapped(job(1)), "it ran twice at once");
}

#[test]
fn crashes_under_one_id_are_counted_each() {
    let mut site = Site::new(1);
    site.submit(job(1));
    for _ in 0..8 {
        site.crash_when_running(0, job(1));
    }
    site.play(5_000);
    assert!(site.starts(job(1)) <= 5, "{} starts", site.starts(job(1)));
    assert_eq!(site.state(job(1)), Some(JobState::Closed(JobOutcome::Failed)));
}

#[test]
fn a_crash_is_counted_by_an_owner_that_took_over_meanwhile() {
    let mut site = Site::new(1);
    site.submit(job(1));
    for _ in 0..8 {
        site.crash_when_running(0, job(1));
        site.take_over();
        site.play(1_500);
    }
    site.play(5_000);
    assert!(site.starts(job(1)) <= 5, "{} starts", site.starts(job(1)));
}

#[test]
fn a_worker_that_was_denied_is_asked_about_again_in_its_next_life() {
    let mut site = Site::advised(1);
    site.good.insert("none".into());
    site.submit(job(1));
    site.play(1_000);
    assert_eq!(site.starts(job(1)), 0);
    // The next life is of another kind.
    site.good.clear();
    site.restart(0, 100);
    site.play(2_000);
    assert_eq!(site.state(job(1)), COMPLETED);
}

#[test]
fn a_ticket_of_the_life_before_is_not_used() {
    let mut site = Site::advised(1);
    site.submit_step(job(1), Step { count: 8, ..step() });
    site.play(160);
    let asked = site.asked.len();
    site.restart(0, 100);
    site.play(4_000);
    assert_eq!(site.state(job(1)), COMPLETED);
    assert!(site.asked.len() > asked, "nothing was asked for the next life");
}

#[test]
fn nothing_starts_at_a_life_whose_room_is_not_known() {
    let mut site = Site::new(1);
    site.submit(job(1));
    site.play(1_000);
    site.hold_list(true);
    site.restart_with(0, 100, 500);
    let from = site.now;
    site.submit(job(2));
    site.play(3_000);
    assert_eq!(site.first_start_at(0, from), None, "its entry is of the life before");
    site.hold_list(false);
    site.play(1_000);
    assert_eq!(site.first_start_at(0, from), None, "there is no room for it");
    site.restart_with(0, 100, 4_000);
    site.play(2_000);
    assert_eq!(site.state(job(2)), COMPLETED);
}

#[test]
fn an_entry_of_the_life_before_changes_nothing() {
    let mut site = Site::new(1);
    site.submit(job(1));
    site.play(1_000);
    // The list is read late: its entry is of the life before for two seconds.
    site.hold_list(true);
    site.restart(0, 100);
    site.play(2_000);
    site.hold_list(false);
    site.submit(job(2));
    site.play(1_500);
    assert_eq!(site.state(job(2)), COMPLETED);
    assert_eq!(site.starts(job(2)), 1);
}

#[test]
fn power_that_is_lost_everywhere_loses_and_doubles_nothing() {
    for at in (20..800).step_by(60) {
        let mut site = Site::new(3);
        for key in 1..=9 {
            site.submit(job(key));
        }
        site.play(at);
        for no in 0..3 {
            site.restart(no, 100 + 60 * no as u64);
        }
        site.take_over();
        site.play(6_000);
        for key in 1..=9 {
            assert!(site.is_known_or_unkept(job(key)), "{key} is lost, {at}");
            assert!(!site.has_overlapped(job(key)), "{key} ran twice at once, {at}");
            assert!(!site.was_redone(job(key)), "{key} was done and started again, {at}");
        }
    }
}

#[test]
fn a_start_that_reached_no_life_counts_as_one_crash_at_most() {
    // A start without an answer was given from life to life to be refused there, and each life that ended
    // before it had said so counted against the task:
    // event=crash-counted task=T.0.0.2 worker=i-1+2@1699999996000 crashes=2 alone=false confirmed=true
    // event=crash-counted task=T.0.0.2 worker=i-1+2@1699999995000 crashes=3 alone=true confirmed=true
    // event=given-up task=T.0.0.2 crashes=3
    let mut site = Site::new(1);
    site.late.insert(0, 60_000);
    site.submit(job(1));
    site.play(60);
    for _ in 0..5 {
        site.restart(0, 20);
        site.play(200);
    }
    site.late.clear();
    site.play(5_000);
    assert_eq!(site.state(job(1)), COMPLETED);
}

#[test]
fn a_task_whose_starts_reached_nobody_is_not_given_up() {
    // Three starts in a row had no answer, each at a worker that crashed at that moment, the last one alone. None
    // of them had begun, and the job was shown as failed:
    // event=start-failed task=T.0.0.0 run=4098 worker=i-4 outcome=Unknown
    // event=crash-counted task=T.0.0.0 worker=i-4@1699999999000 crashes=3 alone=true confirmed=true
    // event=given-up task=T.0.0.0 crashes=3
    let mut site = Site::new(1);
    site.loses_starts = true;
    site.submit(job(1));
    for turn in 0..10 {
        site.play(200 + 20 * turn);
        site.restart(0, 60);
    }
    site.loses_starts = false;
    site.play(5_000);
    assert_eq!(site.state(job(1)), COMPLETED);
}

#[test]
fn a_start_counts_once_through_later_lives_and_takeovers() {
    // A task was started once at a worker that crashed, and counted against the next two lives of that worker, too:
    // event=start task=T.0.0.0 run=1027 worker=w4
    // event=crash-counted task=T.0.0.0 worker=w4@7 crashes=3
    // event=crash-counted task=T.0.0.0 worker=w4@5001399 crashes=4
    // event=crash-counted task=T.0.0.0 worker=w4@8005315 crashes=5
    // The store still had the binding to run 1027: progress was not written when nothing was left to note.
    let mut site = Site::new(1);
    site.submit(job(1));
    site.play(60);
    // Nothing is placed meanwhile: the list tells of the first life.
    site.hold_list(true);
    for _ in 0..5 {
        site.restart(0, 20);
        site.play(300);
        site.take_over();
    }
    site.hold_list(false);
    site.play(8_000);
    assert_eq!(site.state(job(1)), COMPLETED);
    assert_eq!(site.starts(job(1)), 2);
}

/// All workers start again as soon as a job's task runs.
fn crash_all(site: &mut Site, workers: usize) {
    while !site.is_running(job(1)) {
        site.play(20);
    }
    for no in 0..workers {
        site.restart(no, 100);
    }
    site.play(100);
}

#[test]
fn a_task_with_two_crashes_waits_until_a_worker_has_stayed_up() {
    let mut site = Site::new(2);
    site.submit(job(1));
    for _ in 0..2 {
        crash_all(&mut site, 2);
    }
    // The first report of the later lives comes now.
    site.play(1_900);
    let waits: Vec<WaitReason> = site.cell.waiting_steps().map(|(_, why)| why).collect();
    assert_eq!(waits, [WaitReason::NewWorkers]);
    assert_eq!(site.starts(job(1)), 2);
    site.play(220);
    assert_eq!(site.starts(job(1)), 3);
    site.play(400);
    assert_eq!(site.state(job(1)), COMPLETED);
}

#[test]
fn tasks_with_one_crash_do_not_wait_for_workers_to_have_stayed_up() {
    let mut site = Site::new(2);
    for key in 1..=4 {
        site.submit(job(key));
    }
    site.play(60);
    site.restart(0, 100);
    site.restart(1, 100);
    site.play(1_200);
    for key in 1..=4 {
        assert_eq!(site.state(job(key)), COMPLETED, "{key}");
    }
}

#[test]
fn a_gang_with_such_a_task_starts_whole_at_workers_that_have_stayed_up() {
    let mut site = Site::new(2);
    site.submit_step(job(1), Step { count: 6, gang: true, ..step() });
    for _ in 0..2 {
        crash_all(&mut site, 2);
    }
    site.play(1_000);
    site.restart(1, 100);
    site.play(1_500);
    assert_eq!(site.starts(job(1)), 12, "one worker that has stayed up is too small for it");
    site.play(1_500);
    assert_eq!(site.state(job(1)), COMPLETED);
    assert_eq!(site.starts(job(1)), 18);
}

/// An owner gives a job's task to a worker, the task is done there, and neither owner reads its end: the worker starts
/// again while the next one takes over.
fn lose_end(site: &mut Site) {
    let until = site.now + 4_000;
    while site.now < until && !site.is_running(job(1)) {
        site.play(20);
    }
    if site.is_running(job(1)) {
        let no = site.host_of(job(1));
        site.play(LENGTH - 20);
        // Of the reports that could tell of the end, one falls into this time.
        site.lose_reports(no, 1);
        site.play(40);
        site.restart(no, 20);
        site.take_over();
    }
}

#[test]
fn runs_that_were_done_before_a_takeover_end_no_job() {
    // Ends that no owner had read or kept counted as crashes: three of them ended a job under whose task no worker had
    // crashed.
    let mut site = Site::new(2);
    site.submit(job(1));
    for _ in 0..3 {
        lose_end(&mut site);
    }
    site.play(5_000);
    assert_eq!(site.state(job(1)), COMPLETED);
}

#[test]
fn a_task_with_nothing_but_doubtful_crashes_waits_and_says_so() {
    let mut site = Site::new(2);
    site.submit(job(1));
    for _ in 0..8 {
        lose_end(&mut site);
    }
    site.play(30_000);
    assert_eq!(site.starts(job(1)), 5, "by the contract, two after the third crash");
    assert_eq!(site.state(job(1)), Some(JobState::Active));
    let waits: Vec<WaitReason> = site.cell.waiting_steps().map(|(_, why)| why).collect();
    assert_eq!(waits, [WaitReason::Crashes]);
    site.cell.cancel(Millis(site.now), job(1));
    site.play(200);
    assert_eq!(site.state(job(1)), Some(JobState::Closed(JobOutcome::Cancelled)));
}

/// How long after a takeover a task that ran behind a cut starts elsewhere.
fn wait_after_takeover(mut site: Site) -> u64 {
    site.submit(job(1));
    site.play(60);
    let no = site.host_of(job(1));
    site.cut(no, 60_000);
    site.take_over();
    let from = site.now;
    while site.starts(job(1)) < 2 {
        site.play(20);
    }
    site.now - from
}

#[test]
fn a_new_owner_waits_for_the_longest_lease_only_where_a_worker_may_have_started_again() {
    // Workers that do not tell when they started have other ids in their next lives, so no time of another life's clock
    // reaches them. A takeover waited for the longest lease there, too, before what ran behind a cut started elsewhere.
    let usual = wait_after_takeover(Site::without_births(2));
    assert!((LEASE..LEASE + 600).contains(&usual), "{usual} ms");
    let longest = wait_after_takeover(Site::new(2));
    assert!((10_000..10_000 + 700).contains(&longest), "{longest} ms");
}

#[test]
fn a_job_is_not_given_up_for_one_worker_that_crashes_again() {
    // Two starts reached nobody, at workers that had just started. The third one ran when its worker crashed; the fourth one
    // had no answer, at the same worker, which had stayed up for seconds and then crashed again:
    // event=crash-counted task=T.0.0.0 worker=i-2+1@1699999998000 crashes=3 evidence=Shared confirmed=true
    // event=start-failed task=T.0.0.0 run=11266 worker=i-2+1 outcome=Unknown
    // event=crash-counted task=T.0.0.0 worker=i-2+1@1699999997000 crashes=4 evidence=Shared confirmed=false
    // event=given-up task=T.0.0.0 crashes=4
    let mut site = Site::new(1);
    site.loses_starts = true;
    site.submit(job(1));
    for _ in 0..2 {
        site.play(900);
        site.restart(0, 60);
    }
    site.loses_starts = false;
    crash_all(&mut site, 1);
    site.loses_starts = true;
    site.play(2_300);
    site.restart(0, 60);
    site.loses_starts = false;
    site.play(6_000);
    assert_eq!(site.state(job(1)), COMPLETED);
}

#[test]
fn a_job_is_not_given_up_for_starts_that_reached_nobody_at_workers_that_had_stayed_up() {
    // Two starts reached nobody at workers that had just started, and two more at others that had stayed up; each of them
    // started again at that moment by itself. The task had run nowhere:
    //  event=start-failed task=T.0.2.1 run=5123 worker=i-3 outcome=Unknown
    //  event=crash-counted task=T.0.2.1 worker=i-3@1699999999000 crashes=3 evidence=Shared confirmed=false
    //  event=start-failed task=T.0.2.1 run=5124 worker=i-5 outcome=Unknown
    //  event=crash-counted task=T.0.2.1 worker=i-5@1699999997000 crashes=4 evidence=Shared confirmed=false
    //  event=given-up task=T.0.2.1 crashes=4
    let mut site = Site::new(6);
    site.loses_starts = true;
    site.submit(job(1));
    for _ in 0..4 {
        let before = site.sent.len();
        while site.sent.len() == before && site.now < 30_000 {
            site.play(20);
        }
        let no = *site.sent.last().expect("a start");
        site.restart(no, 60);
    }
    site.loses_starts = false;
    site.play(8_000);
    assert_eq!(site.state(job(1)), COMPLETED);
}
