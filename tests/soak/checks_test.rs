//! The checks of the soak find each kind of broken promise in a ledger written by hand.

use crate::callers::{CallerView, Job};
use crate::checks::InvariantChecker;
use sprucerudder::standin::site::worker::{CRASH_PREFIX, RunEvent, RunLog, RunRecord};
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

/// A worker, a task's place in its job, the number of its start, and what was done.
type WorkerEvent = (&'static str, &'static str, u64, RunEvent);

/// What the checks say after these events.
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
fn a_job_that_runs_as_it_should_breaks_nothing() {
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
fn a_task_that_is_started_too_often_after_crashes_is_found() {
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
    assert!(starts(6).contains("three times more"), "{}", starts(6));
}

/// Seed 7,044: a task started 62 ms after its job was submitted, which was cancelled 115 ms later. The ledger
/// was looked at more than 3 s after that, and the start was taken for one long after the cancelling.
#[test]
fn a_start_is_late_by_its_own_time() {
    let look = |after: u64| {
        let run_log = RunLog::default();
        let cancel_time = Instant::now() - Duration::from_secs(60);
        let (cancelled_at, at) = (Some(cancel_time), cancel_time + Duration::from_millis(after));
        run_log.add(RunRecord { at, ..record("w1", "0.0", 1, start()) });
        let mut checker = InvariantChecker::default();
        checker.read_events(&run_log, &[job(CallerView { cancelled_at, ..accepted_view("") })]);
        checker.violations.join("; ")
    };
    assert_eq!(look(2_900), "");
    assert!(look(3_100).contains("long after its job was cancelled"));
}

#[test]
fn a_start_over_a_room_that_has_shrunk_is_found() {
    let events = [("w1", "0.0", 1, RunEvent::Resized(4_000)), ("w1", "0.0", 1, start())];
    assert!(violations(&events, accepted_view("")).contains("over what"));
}

#[test]
fn each_broken_promise_is_found() {
    let done = RunEvent::End("done");
    let confirm = RunEvent::Confirm { lapsed: false };
    let cases: [(&[WorkerEvent], CallerView, &str); 8] = [
        (
            &[("w1", "0.0", 1, start()), ("w2", "0.0", 2, start())],
            accepted_view(""),
            "twice at once",
        ),
        (&[("w1", "0.0", 1, start()), ("w1", "0.1", 1, start())], accepted_view(""), "over what"),
        (&[("w1", "1.0", 1, start())], accepted_view(""), "before what it depends on"),
        (&[("w1", "0.7", 1, start())], accepted_view(""), "nobody asked"),
        (&[("w1", "0.0", 1, RunEvent::Start("60".to_string()))], accepted_view(""), "nobody asked"),
        (
            &[
                ("w1", "0.0", 1, start()),
                ("w1", "0.0", 1, done.clone()),
                ("w2", "0.0", 2, start()),
                ("w2", "0.0", 2, done.clone()),
                ("w1", "0.0", 1, confirm),
            ],
            accepted_view(""),
            "its earlier end confirmed",
        ),
        (
            &[("w1", "0.0", 1, start()), ("w1", "0.0", 1, done)],
            accepted_view("completed"),
            "shown as completed",
        ),
        (
            &[("w1", "0.0", 1, start()), ("w1", "0.0", 1, RunEvent::End("done"))],
            CallerView { refused: true, ..CallerView::default() },
            "every try was refused",
        ),
    ];
    for (events, view, wanted) in cases {
        let found = violations(events, view);
        assert!(found.contains(wanted), "{wanted}: {found}");
    }
}

#[test]
fn a_start_beyond_what_a_workspace_may_have_running_is_found() {
    // The bound is 12,000, and each task takes 5,000: the contract allows a tenth and one task more, so the fourth is
    // one too many, and none where an end has made room.
    let wide = Job { steps: vec![(4, 5_000)], ..job(accepted_view("")) };
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
        checker.read_events(&run_log, std::slice::from_ref(&wide));
        checker.violations.join("; ")
    };
    assert!(starts(true, false).contains("beyond what its workspace"));
    assert_eq!(starts(true, true), "");
    assert_eq!(starts(false, false), "");
}
