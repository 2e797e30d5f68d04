//! What one decision of an owner visits grows with the job that it concerns, and not with its
//! square. An owner sends no heartbeat while it decides, so that a job of the largest size that is
//! accepted would otherwise have each owner replaced by the next one, which decides the same again.

mod cells;
mod growth;

use growth::{Site, check_growth, first_step, job, large, small};
use sprucerudder::cell::jobs::wait_reason::WaitReason;
use sprucerudder::clock::Millis;
use sprucerudder::order::{EndReason, OrderOutcome};
use sprucerudder::workload::{JobDefinition, JobKey, Resources, Step};
use std::collections::BTreeSet;
use std::sync::Arc;

const WORKERS: usize = 10;

fn steps(count: usize, step: &Step) -> Vec<Step> {
    vec![step.clone(); count]
}

fn gang(size: usize) -> Step {
    Step { count: size as u32, is_gang: true, ..small() }
}

/// The critical path of a job was computed for each of its waiting steps, at its submission and in
/// each pass.
#[test]
fn steps_that_never_fit() {
    check_growth(500, |size| {
        let mut site = Site::new(WORKERS);
        let never = Step { resources: Resources { cpu: 1, mem: 1, gpu: 1 }, ..small() };
        site.submit(1, "usual", &job(steps(size, &never)));
        site.passes(3);
        site.decide("cancel", |cell| cell.cancel(Millis(10_000), JobKey(1)));
        site
    });
}

/// Each look at a step walked all runs on all workers, for whether any of them serves users.
#[test]
fn jobs_beside_many_runs() {
    check_growth(500, |size| {
        let mut site = Site::new(WORKERS);
        for key in 0..size as u64 {
            site.submit(key, "usual", &job(vec![small()]));
        }
        site.run_until_started(size);
        site
    });
}

/// All reservations on all workers were looked at for each step that waits, in one pass.
#[test]
fn steps_that_wait_for_room() {
    check_growth(500, |size| {
        let mut site = Site::new(WORKERS);
        site.submit(1, "usual", &job(vec![Step { count: WORKERS as u32, ..large() }]));
        site.run_until_started(WORKERS);
        site.submit(2, "usual", &job(steps(size, &large())));
        site.passes(30);
        site.end_all(EndReason::Done);
        site.passes(2);
        site
    });
}

/// Each end of a step walked all steps of the job, for whether all are done.
#[test]
fn steps_that_run() {
    check_growth(500, |size| {
        let mut site = Site::new(WORKERS);
        site.submit(1, "usual", &job(steps(size, &small())));
        site.run_until_started(size);
        site.end_all(EndReason::Done);
        site.passes(2);
        site
    });
}

#[test]
fn steps_that_run_until_their_job_is_cancelled() {
    check_growth(500, |size| {
        let mut site = Site::new(WORKERS);
        let lasting = Step { long_running: true, ..small() };
        site.submit(1, "usual", &job(steps(size, &lasting)));
        site.run_until_started(size);
        site.end_all(EndReason::Stopped);
        site.passes(2);
        site.decide("cancel", |cell| cell.cancel(Millis(10_000), JobKey(1)));
        site.passes(2);
        site
    });
}

/// All dependencies of a step were checked at the end of each of them.
#[test]
fn steps_that_depend_on_many() {
    check_growth(500, |size| {
        let mut site = Site::new(WORKERS);
        let mut all = steps(size, &small());
        let after = Step { dependencies: (0..size as u16).collect(), ..small() };
        all.extend(steps(10, &after));
        site.submit(1, "usual", &job(all));
        site.run_until_started(size);
        site.end_all(EndReason::Done);
        site.run_until_started(10);
        site.end_all(EndReason::Done);
        site.passes(2);
        site
    });
}

#[test]
fn steps_that_depend_on_one() {
    check_growth(500, |size| {
        let mut site = Site::new(WORKERS);
        let after = Step { dependencies: vec![0], ..small() };
        let all = [steps(1, &small()), steps(size, &after)].concat();
        site.submit(1, "usual", &job(all));
        site.run_until_started(1);
        site.end_all(EndReason::Done);
        site.run_until_started(size);
        site
    });
}

#[test]
fn steps_that_an_earlier_owner_started() {
    check_growth(500, |size| {
        let mut site = Site::new(WORKERS);
        let mut all = steps(size, &small());
        all.push(Step { dependencies: vec![0], ..large() });
        site.submit(1, "usual", &job(all));
        site.run_until_started(size);
        site.pass();
        site.take_over();
        site.report_all();
        site.passes(2);
        site.end_all(EndReason::Done);
        site.take_over();
        site.passes(2);
        site
    });
}

/// A gang whose members run, and then all end in this way.
fn gang_that_ends(size: usize, reason: EndReason) -> Site {
    let mut site = Site::new(WORKERS);
    site.submit(1, "usual", &job(vec![gang(size)]));
    site.run_until_started(size);
    site.end_all(reason);
    site.passes(2);
    site
}

/// The end of each member walked all members, to stop those that still ran.
#[test]
fn gangs_whose_members_lose_their_runs() {
    for reason in [EndReason::GangBroken, EndReason::LeaseExpired, EndReason::Stopped] {
        check_growth(500, |size| gang_that_ends(size, reason));
    }
}

/// The failure of each member walked all members, to count the failed runs of the gang.
#[test]
fn gangs_whose_members_fail() {
    check_growth(500, |size| gang_that_ends(size, EndReason::Failed));
    check_growth(500, |size| gang_that_ends(size, EndReason::Done));
}

/// Each member whose start was not sent walked all members.
#[test]
fn gangs_whose_starts_are_not_sent() {
    for outcome in [OrderOutcome::Withheld, OrderOutcome::Unsent, OrderOutcome::Unknown] {
        check_growth(500, |size| {
            let mut site = Site::new(WORKERS);
            site.answers_starts = false;
            site.submit(1, "usual", &job(vec![gang(size)]));
            site.passes(2);
            assert_eq!(site.unanswered.len(), size);
            site.answer_starts(&outcome);
            site.pass();
            site
        });
    }
}

/// Each member on a lost worker walked all members, and all runs on the worker.
#[test]
fn gangs_on_a_worker_that_is_lost() {
    check_growth(500, |size| {
        let mut site = Site::new(2);
        site.submit(1, "usual", &job(vec![gang(size)]));
        site.run_until_started(size);
        let now = Millis(site.now);
        site.decide("lost", |cell| {
            for worker in ["w0", "w1"] {
                cell.mark_unreachable(now, &worker.into());
            }
        });
        site.now += 20_000;
        site.passes(2);
        site
    });
}

/// Each task that may have a copy walked all runs on its worker when that did not answer.
#[test]
fn tasks_with_copies_on_a_worker_that_is_lost() {
    check_growth(500, |size| {
        let mut site = Site::new(2);
        let step = Step { count: size as u32, allow_copies: true, ..small() };
        site.submit(1, "usual", &job(vec![step]));
        site.run_until_started(size);
        let now = Millis(site.now);
        site.decide("lost", |cell| {
            for worker in ["w0", "w1"] {
                cell.mark_unreachable(now, &worker.into());
            }
        });
        site.passes(2);
        site
    });
}

/// Each step with a task in a drained failure domain walked all runs of its job, at each tick.
#[test]
fn steps_in_a_drained_failure_domain() {
    check_growth(500, |size| {
        let mut site = Site::new(WORKERS);
        let lasting = Step { long_running: true, ..small() };
        site.submit(1, "usual", &job(steps(size, &lasting)));
        site.run_until_started(size);
        let drained = Arc::new(BTreeSet::from(["first".into()]));
        site.decide("drain", |cell| cell.set_drained_domains(drained));
        site.passes(3);
        site
    });
}

/// A job of many steps whose runs may be stopped for a more urgent job of some steps.
fn steps_that_may_be_stopped(size: usize, urgent: usize) -> Site {
    let mut site = Site::new(WORKERS);
    let spare = Step { has_checkpoints: true, estimate: Millis(60_000), ..small() };
    site.submit(1, "spare", &job(steps(size, &spare)));
    site.run_until_started(size);
    let step = Step { estimate: Millis(3_000), ..large() };
    site.submit(2, "urgent", &job(steps(urgent, &step)));
    for _ in 0..10 {
        site.report_all();
        site.pass();
    }
    site
}

/// What it costs to stop a run, and what it gains, was found by a walk of all steps of their jobs,
/// for each step that runs.
#[test]
fn runs_that_may_be_stopped_for_a_few_steps() {
    check_growth(500, |size| steps_that_may_be_stopped(size, WORKERS));
}

/// All runs were looked at for each step that waits, in one pass.
#[test]
fn runs_that_may_be_stopped_for_many_steps() {
    check_growth(500, |size| steps_that_may_be_stopped(size, size));
}

/// The queue of requests to the advice service was walked for each step that was added or removed.
#[test]
fn steps_that_wait_for_advice() {
    check_growth(500, |size| {
        let mut site = Site::new(WORKERS);
        site.cell.add_entry("e1".into(), true);
        site.submit(1, "advised", &job(steps(size, &small())));
        site.passes(3);
        site.submit(2, "advised", &job(steps(size, &small())));
        site.passes(3);
        site.decide("cancel", |cell| cell.cancel(Millis(10_000), JobKey(1)));
        site.passes(2);
        assert!(site.cell.bindings(first_step(1).job).is_empty());
        site
    });
}

/// A pass looked at all steps, however many they are. One that ends earlier, and always begins with
/// the most urgent steps, would never get to the others.
#[test]
fn steps_that_wait_for_room_keep_no_others_from_starting() {
    const BUSY: usize = 100;
    const SIZE: usize = 1_500;
    let mut site = Site::new(BUSY);
    site.submit(1, "usual", &job(vec![Step { count: BUSY as u32, ..large() }]));
    site.run_until_started(BUSY);
    site.submit(2, "usual", &job(steps(SIZE, &large())));
    site.passes(2);
    // Takes only processor time that others leave idle.
    let filler = Step { best_effort: true, ..small() };
    site.submit(3, "urgent", &job(vec![filler.clone()]));
    site.submit(4, "spare", &job(vec![filler]));
    site.passes(2);
    assert!(site.first_starts.contains_key(&JobKey(3)), "the more urgent job waits");
    site.passes(25);
    assert!(site.first_starts.contains_key(&JobKey(4)), "the less urgent job waits");
    assert!(site.most["schedule"] < 1_000_000, "{:?}", site.most);
}

/// All workers were looked at for each step that none of them can ever run.
#[test]
fn steps_that_no_worker_can_run_are_found_at_once() {
    let play = |workers| {
        let mut site = Site::new(workers);
        let never = Step { resources: Resources { cpu: 1, mem: 1, gpu: 1 }, ..small() };
        site.submit(1, "usual", &job(steps(1_000, &never)));
        site.submit(2, "advised", &job(steps(1_000, &never)));
        site.passes(5);
        assert_eq!(site.cell.waiting_steps().count(), 2_000);
        assert!(site.cell.waiting_steps().all(|(_, why)| why == WaitReason::TooLarge));
        site.most["schedule"]
    };
    let (few, many) = (play(10), play(100));
    assert!(many < 2 * few, "{few} visits for 10 workers, {many} for 100");
}

/// The list of new jobs was walked for each job that did not fit into a batch, and that of the starts
/// for each job that was withdrawn.
#[test]
fn new_jobs_that_are_not_stored() {
    check_growth(500, |size| {
        let mut site = Site::new(WORKERS);
        let work =
            JobDefinition { payload: "x".repeat(4_000).into(), ..(*job(vec![small()])).clone() };
        let work = Arc::new(work);
        (0..size as u64).for_each(|key| site.submit(key, "usual", &work));
        let now = Millis(site.now);
        site.decide("schedule", |cell| cell.schedule(now));
        let batch = site.decide("batch", |cell| cell.take_batch(now)).expect("a batch");
        site.decide("withdraw", |cell| cell.withdraw_batch(batch.number));
        let withdrawn = site.decide("withdraw", |cell| cell.withdraw_after(batch.number));
        assert!(!withdrawn.is_empty());
        site
    });
}

/// The workers on which a task had failed were listed once for each failure. A task that runs until its
/// job is cancelled may fail any number of times.
#[test]
fn a_lasting_task_that_keeps_failing() {
    let play = |failures| {
        let mut site = Site::new(WORKERS);
        site.submit(1, "usual", &job(vec![Step { long_running: true, ..small() }]));
        for _ in 0..failures {
            site.run_until_started(1);
            site.end_all(EndReason::Failed);
        }
        site.most["schedule"]
    };
    let (few, many) = (play(50), play(400));
    assert!(many < 2 * few, "{few} visits after 50 failures, {many} after 400");
}

/// A wide gang took all visits of each pass, and no less urgent step was looked at.
#[test]
fn a_gang_that_waits_for_room_keeps_no_others_from_starting() {
    let mut site = Site::new(WORKERS);
    site.submit(1, "usual", &job(vec![Step { count: WORKERS as u32, ..large() }]));
    site.run_until_started(WORKERS);
    site.submit(2, "usual", &job(vec![gang(100_000)]));
    let filler = Step { best_effort: true, ..small() };
    (3..40).for_each(|key| site.submit(key, "spare", &job(vec![filler.clone()])));
    site.passes(25);
    assert_eq!(site.first_starts.len(), 1 + 37, "{:?}", site.most);
}

/// While a round went on, a pass that could start nothing more was followed by the next one at once,
/// until the starts were answered.
#[test]
fn a_pass_that_ends_at_its_number_of_starts_waits_for_their_answers() {
    const BUSY: usize = 100;
    let mut site = Site::new(BUSY);
    site.submit(1, "usual", &job(vec![Step { count: BUSY as u32, ..large() }]));
    site.run_until_started(BUSY);
    site.submit(2, "usual", &job(steps(1_500, &large())));
    site.pass();
    let now = Millis(site.now);
    site.decide("schedule", |cell| cell.schedule(now));
    assert!(site.cell.wants_pass(), "no round goes on");
    site.answers_starts = false;
    let filler = Step { count: 5_000, best_effort: true, ..small() };
    site.submit(3, "urgent", &job(vec![filler]));
    site.decide("schedule", |cell| cell.schedule(now));
    assert!(!site.cell.wants_pass());
}
