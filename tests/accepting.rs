//! Jobs whose record is still being written: the scheduler already assigns workers to their tasks,
//! but starts none of them before the record is stored.
//!
//! This matters when the store is slow. At 28 times its usual latency, a write takes 112 ms. A
//! short job that waited for its acceptance to be stored, then for its admission check, then for
//! two more writes (its binding and its completion) spent 0.7 s of its 0.75 s of slack.

mod lifeworld;

use lifeworld::{Cluster, job, step};
use sprucerudder::cell::Action;
use sprucerudder::cell::records::journal;
use sprucerudder::clock::Millis;
use sprucerudder::workload::{JobDefinition, JobKey, Resources, Step};
use std::sync::Arc;

fn submit_unstored(cluster: &mut Cluster, key: JobKey, step: Step) {
    let (first_due, interval) = (Millis(0), Millis(0));
    let work = JobDefinition {
        payload: "text".into(),
        steps: vec![step],
        repetitions: 1,
        first_due,
        interval,
    };
    assert!(cluster.cell.submit(Millis(cluster.now), key, "q", Arc::new(work)).is_some());
}

/// Runs the scheduler once and counts the start orders that it sends.
fn schedule_starts(cluster: &mut Cluster) -> usize {
    cluster.cell.schedule(Millis(cluster.now));
    let actions = cluster.cell.take_actions();
    actions.iter().filter(|action| matches!(action, Action::Start { .. })).count()
}

#[test]
fn a_job_starts_once_the_write_that_accepts_it_is_stored() {
    let mut cluster = Cluster::new(2);
    submit_unstored(&mut cluster, job(1), step());
    assert_eq!(schedule_starts(&mut cluster), 0, "the job is not accepted yet");
    let now = Millis(cluster.now);
    let batch = cluster.cell.take_batch(now).expect("the job's record");
    assert!(
        cluster.cell.take_batch(now).is_none(),
        "the binding is in the same batch as the job's record"
    );
    cluster.cell.mark_stored(now, batch.number);
    assert_eq!(schedule_starts(&mut cluster), 1);
}

#[test]
fn a_withdrawn_job_never_starts_and_frees_its_resources() {
    let mut cluster = Cluster::new(1);
    let whole_worker = Step { resources: Resources { cpu: 4_000, mem: 4_000, gpu: 0 }, ..step() };
    submit_unstored(&mut cluster, job(1), whole_worker.clone());
    assert_eq!(schedule_starts(&mut cluster), 0);
    let now = Millis(cluster.now);
    let batch = cluster.cell.take_batch(now).expect("the job's record");
    assert_eq!(cluster.cell.withdraw_batch(batch.number), [job(1)]);
    cluster.cell.mark_stored(now, batch.number);
    assert_eq!(schedule_starts(&mut cluster), 0);
    cluster.submit_step(job(2), whole_worker);
    cluster.run_for(100);
    assert_eq!((cluster.start_count(job(1)), cluster.start_count(job(2))), (0, 1));
}

#[test]
fn every_record_of_a_withdrawn_job_is_recognized() {
    // The owner omits the records of withdrawn jobs from a batch. Since workers are assigned while
    // a job's record is being written, these include its binding and its workspace, which are
    // stored under keys of their own.
    let mut cluster = Cluster::new(1);
    cluster.submit_for(job(1), step(), "workspace");
    assert_eq!(schedule_starts(&mut cluster), 0);
    let batch = cluster.cell.take_batch(Millis(cluster.now)).expect("the job's records");
    let job_of = |key: &str| journal::parse_key(key).map(|(job, _)| job);
    let records = batch.records.iter().filter(|(key, _)| job_of(key) == Some(job(1)));
    assert_eq!(records.count(), 3, "{:?}", batch.records);
    assert_eq!(job_of("roster.born"), None);
}

#[test]
fn no_unaccepted_job_starts_during_a_store_outage() {
    // During a store outage that affects everybody, the owner sends starts whose bindings are not
    // stored. A job whose own record is not stored may still be withdrawn; its caller is then told
    // that it has not run.
    let mut cluster = Cluster::new(1);
    submit_unstored(&mut cluster, job(1), step());
    assert_eq!(schedule_starts(&mut cluster), 0);
    cluster.cell.send_unstored(Millis(cluster.now));
    assert_eq!(schedule_starts(&mut cluster), 0);
}

#[test]
fn a_start_held_back_during_a_store_outage_is_sent_afterwards() {
    // Fault: during a store outage the owner sent the starts that it could and forgot those of jobs
    // that were not accepted yet. After the outage their bindings were stored, but the jobs waited
    // forever, since nothing else ends the wait of a start that was never sent.
    let mut cluster = Cluster::new(1);
    submit_unstored(&mut cluster, job(1), step());
    assert_eq!(schedule_starts(&mut cluster), 0);
    let now = Millis(cluster.now);
    cluster.cell.send_unstored(now);
    let batch = cluster.cell.take_batch(now).expect("the job's record");
    cluster.cell.mark_stored(now, batch.number);
    assert_eq!(schedule_starts(&mut cluster), 1);
}

#[test]
fn an_unaccepted_job_preempts_nothing() {
    let mut cluster = Cluster::new(1);
    let saving_step = Step {
        has_checkpoints: true,
        resources: Resources { cpu: 4_000, mem: 4_000, gpu: 0 },
        ..step()
    };
    cluster.submit_step(job(1), Step { estimate: Millis(60_000), ..saving_step.clone() });
    cluster.run_for(40);
    submit_unstored(&mut cluster, job(2), saving_step);
    cluster.now += 1_000;
    cluster.cell.schedule(Millis(cluster.now));
    let stops =
        cluster.cell.take_actions().into_iter().filter(|a| matches!(a, Action::Stop { .. }));
    assert_eq!(stops.count(), 0);
}
