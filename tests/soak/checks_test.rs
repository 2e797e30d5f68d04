//! Tests of the soak test's own checks: each kind of violation is found in a run log written by
//! hand.

use crate::callers::{CallerView, Job};
use crate::checks::InvariantChecker;
use sprucerudder::standin::site::worker::{
    CRASH_PREFIX, CapacityHistory, RunEvent, RunLog, RunRecord,
};
use std::time::Duration;
use tokio::time::Instant;

const KEY: &str = "00000000000000aa";

fn job(view: CallerView) -> Job {
    let steps = vec![(2, 5_000), (1, 500)];
    Job { key: KEY.to_string(), spec: "50".to_string(), steps, view }
}

fn record(worker: &str, place: &str, run: u64, event: RunEvent) -> RunRecord {
    let task = format!("{KEY}.0.{place}");
    RunRecord { worker: worker.to_string(), task, run, event, at: Instant::now() }
}

fn start() -> RunEvent {
    RunEvent::Start("50".to_string())
}

/// A worker, the step and index of a task (`step.index`), its run number, and the event.
type WorkerEvent = (&'static str, &'static str, u64, RunEvent);

/// The violations that the checks find in these events.
fn violations(events: &[WorkerEvent], view: CallerView) -> String {
    let run_log = RunLog::default();
    for (worker, place, run, event) in events {
        run_log.add(record(worker, place, *run, event.clone()));
    }
    let (mut checker, jobs) = (InvariantChecker::default(), [job(view)]);
    checker.read_events(&run_log, &jobs);
    checker.check_at_end(&jobs);
    checker.violations.join("; ")
}

fn accepted_view(state: &str) -> CallerView {
    CallerView { accepted: true, last_state: state.to_string(), ..CallerView::default() }
}

#[test]
fn a_correct_run_has_no_violations() {
    let events = [
        ("w1", "0.0", 1, start()),
        ("w2", "0.1", 1, start()),
        ("w1", "0.0", 1, RunEvent::End("done")),
        ("w2", "0.1", 1, RunEvent::End("failed")),
        ("w1", "0.1", 2, start()),
        ("w1", "0.1", 2, RunEvent::End("done")),
        ("w1", "0.1", 2, RunEvent::Confirm { lapsed: false }),
        ("w2", "1.0", 1, start()),
        ("w2", "1.0", 1, RunEvent::End("done")),
    ];
    assert_eq!(violations(&events, accepted_view("completed")), "");
}

#[test]
fn too_many_starts_after_crashes_are_found() {
    let job = Job { spec: format!("{CRASH_PREFIX}1"), ..job(accepted_view("")) };
    let row = |worker: &str, run, event| record(worker, "0.0", run, event);
    let starts = |count: u64| {
        let run_log = RunLog::default();
        for run in 0..count {
            let worker = format!("w{run}");
            run_log.add(row(&worker, run, RunEvent::Start(job.spec.clone())));
            run_log.add(row(&worker, run, RunEvent::End("crashed")));
        }
        let mut checker = InvariantChecker::default();
        checker.read_events(&run_log, std::slice::from_ref(&job));
        checker.violations.join("; ")
    };
    assert_eq!(starts(5), "");
    assert!(starts(6).contains("three more times"), "{}", starts(6));
}

/// Fault of the check, found with seed 7,044: a task started 62 ms after its job was submitted, and
/// the job was cancelled 115 ms later. The log was read more than 3 s after that, and the start was
/// reported as one long after the cancel.
#[test]
fn a_start_after_a_cancel_is_judged_by_the_time_of_the_start() {
    let violations_of_start = |delay_ms: u64| {
        let run_log = RunLog::default();
        let cancel_time = Instant::now() - Duration::from_secs(60);
        let (cancelled_at, at) = (Some(cancel_time), cancel_time + Duration::from_millis(delay_ms));
        run_log.add(RunRecord { at, ..record("w1", "0.0", 1, start()) });
        let mut checker = InvariantChecker::default();
        checker.read_events(&run_log, &[job(CallerView { cancelled_at, ..accepted_view("") })]);
        checker.violations.join("; ")
    };
    assert_eq!(violations_of_start(2_900), "");
    assert!(violations_of_start(3_100).contains("long after its job was cancelled"));
}

#[test]
fn a_start_over_a_reduced_capacity_is_found() {
    let events = [("w1", "0.0", 1, RunEvent::Resized(4_000)), ("w1", "0.0", 1, start())];
    assert!(violations(&events, accepted_view("")).contains("exceeds the capacity"));
}

#[test]
fn a_capacity_counts_for_a_while_after_each_of_several_changes() {
    // A worker shrank twice within 0.3 s, the second time to more than the first. The second change
    // passed for a growth, and the check counted its capacity at once.
    let (begin, mut history) = (Instant::now(), CapacityHistory::default());
    let at = |ms: u64| begin + Duration::from_millis(ms);
    history.add(at(0), 8_000);
    assert_eq!(history.allowed(at(0), 975), 8_000);
    history.add(at(300), 975);
    assert_eq!(history.allowed(at(300), 3_623), 8_000);
    assert_eq!(history.allowed(at(4_499), 3_623), 8_000);
    assert_eq!(history.allowed(at(4_500), 3_623), 3_623);
    history.add(at(6_000), 3_623);
    assert_eq!(history.allowed(at(6_000), 5_000), 5_000, "a growth counts at once");
}

#[test]
fn each_kind_of_violation_is_found() {
    let done = RunEvent::End("done");
    let confirm = RunEvent::Confirm { lapsed: false };
    let cases: [(&[WorkerEvent], CallerView, &str); 8] = [
        (
            &[("w1", "0.0", 1, start()), ("w2", "0.0", 2, start())],
            accepted_view(""),
            "runs twice at once",
        ),
        (
            &[("w1", "0.0", 1, start()), ("w1", "0.1", 1, start())],
            accepted_view(""),
            "exceeds the capacity",
        ),
        (&[("w1", "1.0", 1, start())], accepted_view(""), "before the steps that it depends on"),
        (&[("w1", "0.7", 1, start())], accepted_view(""), "no job has such a task"),
        (
            &[("w1", "0.0", 1, RunEvent::Start("60".to_string()))],
            accepted_view(""),
            "no job has such a task",
        ),
        (
            &[
                ("w1", "0.0", 1, start()),
                ("w1", "0.0", 1, done.clone()),
                ("w2", "0.0", 2, start()),
                ("w2", "0.0", 2, done.clone()),
                ("w1", "0.0", 1, confirm),
            ],
            accepted_view(""),
            "its earlier end was confirmed",
        ),
        (
            &[("w1", "0.0", 1, start()), ("w1", "0.0", 1, done)],
            accepted_view("completed"),
            "is reported as completed",
        ),
        (
            &[("w1", "0.0", 1, start()), ("w1", "0.0", 1, RunEvent::End("done"))],
            CallerView { refused: true, ..CallerView::default() },
            "every submission was refused",
        ),
    ];
    for (events, view, expected) in cases {
        let found = violations(events, view);
        assert!(found.contains(expected), "{expected}: {found}");
    }
}

#[test]
fn a_start_over_the_limit_of_a_workspace_is_found() {
    // The limit is 12,000 and each task takes 5,000. The contract allows a tenth and one task more,
    // so the fourth start exceeds the limit, but not if earlier tasks have ended.
    let four_tasks = Job { steps: vec![(4, 5_000)], ..job(accepted_view("")) };
    let starts = |has_workspaces, ends: bool| {
        let run_log = RunLog::default();
        for no in 0..4_u64 {
            run_log.add(record(&format!("w{no}"), &format!("0.{no}"), 1, start()));
            if ends {
                run_log.add(record(
                    &format!("w{no}"),
                    &format!("0.{no}"),
                    1,
                    RunEvent::End("done"),
                ));
            }
        }
        let mut checker = InvariantChecker::new(has_workspaces);
        checker.read_events(&run_log, std::slice::from_ref(&four_tasks));
        checker.violations.join("; ")
    };
    assert!(starts(true, false).contains("exceeds the limit of its workspace"));
    assert_eq!(starts(true, true), "");
    assert_eq!(starts(false, false), "");
}
