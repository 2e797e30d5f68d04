//! Answers of the advice service that reach an owner late, or an owner that did not ask for them.
//!
//! The connection between an owner and the entry that calls the service breaks during the call. The
//! entry keeps the answer and hands it to the owner on the next connection, or to the next owner,
//! which may have asked another entry meanwhile.

mod lifeworld;

use lifeworld::{Cluster, job, step};
use sprucerudder::cell::Action;
use sprucerudder::cell::advice::queue::AdviceRequest;
use sprucerudder::clock::Millis;
use sprucerudder::id::Name;
use sprucerudder::order::{AdviceAge, ClearedWorkers};
use sprucerudder::workload::{JobDefinition, JobKey, Step, StepKey};
use std::sync::Arc;

const STEP: StepKey = StepKey { job: JobKey(1), repetition: 0, step: 0 };

/// The requests to the advice service that the owner makes in a scheduling pass.
fn take_requests(cluster: &mut Cluster) -> Vec<(Name, AdviceRequest)> {
    cluster.cell.schedule(Millis(cluster.now));
    let actions = cluster.cell.take_actions().into_iter();
    let request = |action| match action {
        Action::RequestAdvice { entry, request } => Some((entry, request)),
        _ => None,
    };
    actions.filter_map(request).collect()
}

/// Hands the owner an answer of an entry that it did not ask, and schedules.
fn hand_over(cluster: &mut Cluster, cleared: &[&str], denied: &[&str], age: AdviceAge) {
    let now = Millis(cluster.now);
    let named: Vec<Name> = cleared.iter().chain(denied).map(|id| Name::from(*id)).collect();
    let tickets = cleared.iter().map(|id| (Name::from(*id), "late".into())).collect();
    let answer = Some(ClearedWorkers { tickets, valid_for: None });
    cluster.cell.handle_aged_advice(now, &"former".into(), STEP, &named, answer, age);
    cluster.cell.schedule(now);
}

fn age(request: u64, answer: u64) -> AdviceAge {
    AdviceAge { request: Millis(request), answer: Millis(answer) }
}

/// A cluster with a new owner that has inherited a step without clearances. Its requests get no
/// answer, and the step became known to the earlier owner 200 ms before the takeover.
fn inherited(workers: usize) -> Cluster {
    let mut cluster = Cluster::with_advice(workers);
    cluster.lost_answers = u32::MAX;
    cluster.submit(job(1));
    cluster.run_for(200);
    cluster.take_over();
    cluster.run_for(400);
    cluster
}

#[test]
fn an_answer_to_the_former_owner_is_not_wasted() {
    let mut cluster = inherited(1);
    assert_eq!(cluster.cell.bindings(job(1)), []);
    hand_over(&mut cluster, &["w0"], &[], age(500, 100));
    assert_eq!(cluster.cell.bindings(job(1)).len(), 1);
}

#[test]
fn a_late_ticket_is_not_used_longer_than_it_is_valid() {
    // The queue states 60 s as the validity of tickets.
    let mut cluster = inherited(1);
    hand_over(&mut cluster, &["w0"], &[], age(60_400, 59_900));
    assert_eq!(cluster.cell.bindings(job(1)), []);
}

#[test]
fn a_worker_that_restarted_since_the_request_is_not_sent_a_late_ticket() {
    let mut cluster = inherited(1);
    cluster.restart(0, 40);
    cluster.run_for(600);
    hand_over(&mut cluster, &["w0"], &[], age(700, 100));
    assert_eq!(cluster.cell.bindings(job(1)), [], "the ticket is for its previous process");
    hand_over(&mut cluster, &["w0"], &[], age(100, 50));
    assert_eq!(cluster.cell.bindings(job(1)).len(), 1);
}

#[test]
fn a_denial_from_before_the_takeover_is_not_kept_for_good() {
    // The worker may have restarted before the new owner knew it, and is then another one.
    let mut cluster = inherited(1);
    hand_over(&mut cluster, &[], &["w0"], age(500, 450));
    cluster.lost_answers = 0;
    cluster.run_for(5_000);
    assert_eq!(cluster.start_count(job(1)), 1);
}

#[test]
fn a_denial_of_a_known_worker_is_kept() {
    let mut cluster = inherited(1);
    hand_over(&mut cluster, &[], &["w0"], age(100, 50));
    cluster.lost_answers = 0;
    cluster.run_for(5_000);
    assert_eq!(cluster.start_count(job(1)), 0);
}

#[test]
fn an_answer_is_not_used_for_a_job_submitted_again() {
    let mut cluster = Cluster::with_advice(1);
    let definition = |steps: Vec<Step>| {
        let (first_due, interval) = (Millis(0), Millis(0));
        let payload = "text".into();
        Arc::new(JobDefinition { payload, steps, repetitions: 1, first_due, interval })
    };
    // The store does not answer the write of another job.
    let other = definition(vec![Step { count: 0, ..step() }]);
    assert!(cluster.cell.submit(Millis(cluster.now), job(0xf0), "q", other).is_some());
    let pending = cluster.cell.take_batch(Millis(cluster.now)).expect("a new job").number;
    cluster.submit(job(1));
    assert_eq!(take_requests(&mut cluster).len(), 1);
    assert_eq!(cluster.cell.withdraw_after(pending), [job(1)]);
    cluster.now += 100;
    cluster.submit(job(1));
    hand_over(&mut cluster, &["w0"], &[], age(50, 10));
    assert_eq!(cluster.cell.bindings(job(1)), [], "asked before it was submitted again");
    hand_over(&mut cluster, &["w0"], &[], age(0, 0));
    assert_eq!(cluster.cell.bindings(job(1)).len(), 1);
}

#[test]
fn a_failed_call_does_not_undo_the_request_to_another_entry() {
    // The owner took the news that a former call had failed for an answer to the request that it
    // had sent to another entry meanwhile, and made a third one.
    let mut cluster = Cluster::with_advice(1);
    cluster.submit(job(1));
    let first = take_requests(&mut cluster);
    let entry = first[0].0.clone();
    cluster.cell.remove_entry(&entry);
    cluster.cell.add_entry("other".into(), true);
    let second = take_requests(&mut cluster);
    assert_eq!((first.len(), second.len()), (1, 1));
    cluster.cell.add_entry(entry.clone(), true);
    let now = Millis(cluster.now);
    cluster.cell.handle_advice(now, &entry, STEP, &first[0].1.workers, None);
    assert_eq!(take_requests(&mut cluster), [], "the second request is in progress");
}

#[test]
fn a_late_answer_does_not_repeat_the_request_to_another_entry() {
    let mut cluster = Cluster::with_advice(2);
    cluster.cell.add_entry("other".into(), true);
    cluster.submit(job(1));
    let first = take_requests(&mut cluster);
    assert_eq!(first.len(), 1);
    cluster.now += 200;
    hand_over(&mut cluster, &[], &["w0"], age(100, 50));
    cluster.now += 300;
    assert_eq!(take_requests(&mut cluster), [], "the first request is in progress");
}

#[test]
fn a_request_that_waits_is_not_sent_after_a_late_answer() {
    let mut cluster = Cluster::with_advice(2);
    cluster.cell.remove_entry(&"entry".into());
    cluster.submit(job(1));
    assert_eq!(take_requests(&mut cluster), [], "no entry is connected");
    cluster.now += 200;
    hand_over(&mut cluster, &["w0", "w1"], &[], age(100, 50));
    assert_eq!(cluster.cell.bindings(job(1)).len(), 1);
    cluster.cell.add_entry("entry".into(), true);
    assert_eq!(take_requests(&mut cluster), []);
}

#[test]
fn a_held_denial_that_settles_a_new_request_is_not_kept_for_good() {
    // The answer to the request of an earlier owner settled the one of this owner, and was taken for
    // its answer: a denial of an incarnation that this owner never knew then counted for good.
    let mut cluster = inherited(1);
    let now = Millis(cluster.now);
    let answer = Some(ClearedWorkers { tickets: Vec::new(), valid_for: None });
    cluster.cell.handle_aged_advice(
        now,
        &"entry".into(),
        STEP,
        &["w0".into()],
        answer,
        age(500, 450),
    );
    cluster.lost_answers = 0;
    cluster.run_for(5_000);
    assert_eq!(cluster.start_count(job(1)), 1);
}

#[test]
fn an_answer_is_not_used_for_a_job_that_was_submitted_again_and_asked_about_at_the_same_entry() {
    // The answer to the request of the withdrawn job settled that of the job that was submitted
    // again under its key.
    let mut cluster = Cluster::with_advice(1);
    let definition = |steps: Vec<Step>| {
        let (first_due, interval) = (Millis(0), Millis(0));
        let payload = "text".into();
        Arc::new(JobDefinition { payload, steps, repetitions: 1, first_due, interval })
    };
    let other = definition(vec![Step { count: 0, ..step() }]);
    assert!(cluster.cell.submit(Millis(cluster.now), job(0xf0), "q", other).is_some());
    let pending = cluster.cell.take_batch(Millis(cluster.now)).expect("a new job").number;
    cluster.submit(job(1));
    let first = take_requests(&mut cluster);
    assert_eq!(first.len(), 1);
    let entry = first[0].0.clone();
    // Its connection breaks during the call.
    cluster.cell.remove_entry(&entry);
    assert_eq!(cluster.cell.withdraw_after(pending), [job(1)]);
    cluster.now += 100;
    cluster.submit(job(1));
    cluster.cell.add_entry(entry.clone(), true);
    let second = take_requests(&mut cluster);
    assert_eq!(second.len(), 1);
    let now = Millis(cluster.now);
    let tickets = vec![(Name::from("w0"), "old".into())];
    let answer = Some(ClearedWorkers { tickets, valid_for: None });
    cluster.cell.handle_aged_advice(now, &entry, STEP, &["w0".into()], answer, age(150, 50));
    cluster.cell.schedule(now);
    assert_eq!(cluster.cell.bindings(job(1)), [], "asked before it was submitted again");
    // Guards against a step that waits for ever: the old answer ended the request in progress, and
    // the step still counted as one that waits for its answer.
    cluster.run_for(5_000);
    assert_eq!(cluster.start_count(job(1)), 1, "the request in progress got no answer");
}

#[test]
fn an_answer_whose_age_was_rounded_up_settles_its_request() {
    // Guards against a step that waits for ever: two entries round times to whole milliseconds, so
    // an answer may seem to be older than its request. It was taken for one to an earlier request.
    let mut cluster = Cluster::with_advice(1);
    cluster.submit(job(1));
    let requests = take_requests(&mut cluster);
    let (entry, request) = requests.first().expect("a request");
    cluster.now += 50;
    let now = Millis(cluster.now);
    let tickets = vec![(Name::from("w0"), "ticket".into())];
    let answer = Some(ClearedWorkers { tickets, valid_for: None });
    cluster.cell.handle_aged_advice(now, entry, STEP, &request.workers, answer, age(51, 0));
    cluster.cell.schedule(now);
    assert_eq!(cluster.cell.bindings(job(1)).len(), 1);
}
