//! Jobs whose record is being written: they find workers meanwhile, and nothing of them starts before they are kept.
//!
//! A store 28 times slower than usual takes 112 ms a write. A short job waited for one to be accepted, for its turn to
//! be asked about, for one that bound it, and for one that closed it: 0.7 s of the 0.75 s that it had to spare.

mod lifeworld;

use lifeworld::{Cluster, job, step};
use sprucerudder::cell::Action;
use sprucerudder::cell::records::journal;
use sprucerudder::clock::Millis;
use sprucerudder::workload::{JobDefinition, JobKey, Resources, Step};
use std::sync::Arc;

fn submit(site: &mut Cluster, key: JobKey, step: Step) {
    let (first_due, interval) = (Millis(0), Millis(0));
    let work = JobDefinition {
        payload: "text".into(),
        steps: vec![step],
        repetitions: 1,
        first_due,
        interval,
    };
    assert!(site.cell.submit(Millis(site.now), key, "q", Arc::new(work)).is_some());
}

/// The starts that the cell orders now.
fn starts(site: &mut Cluster) -> usize {
    site.cell.schedule(Millis(site.now));
    let actions = site.cell.take_actions();
    actions.iter().filter(|action| matches!(action, Action::Start { .. })).count()
}

#[test]
fn a_job_starts_with_the_write_that_accepts_it() {
    let mut site = Cluster::new(2);
    submit(&mut site, job(1), step());
    assert_eq!(starts(&mut site), 0, "it is not accepted yet");
    let now = Millis(site.now);
    let batch = site.cell.take_batch(now).expect("its record");
    assert!(site.cell.take_batch(now).is_none(), "its binding is in the same batch");
    site.cell.mark_stored(now, batch.number);
    assert_eq!(starts(&mut site), 1);
}

#[test]
fn a_job_that_is_given_back_never_starts_and_leaves_its_room() {
    let mut site = Cluster::new(1);
    let whole = Step { resources: Resources { cpu: 4_000, mem: 4_000, gpu: 0 }, ..step() };
    submit(&mut site, job(1), whole.clone());
    assert_eq!(starts(&mut site), 0);
    let now = Millis(site.now);
    let batch = site.cell.take_batch(now).expect("its record");
    assert_eq!(site.cell.withdraw_batch(batch.number), [job(1)]);
    site.cell.mark_stored(now, batch.number);
    assert_eq!(starts(&mut site), 0);
    site.submit_step(job(2), whole);
    site.run_for(100);
    assert_eq!((site.start_count(job(1)), site.start_count(job(2))), (0, 1));
}

#[test]
fn all_records_of_a_job_that_is_given_back_are_left_out() {
    // The owner leaves out what is of jobs that it gave back. Since jobs find workers while their record is written, that
    // is a binding and a workspace too, under keys of their own.
    let mut site = Cluster::new(1);
    site.submit_for(job(1), step(), "workspace");
    assert_eq!(starts(&mut site), 0);
    let batch = site.cell.take_batch(Millis(site.now)).expect("its records");
    let of = |key: &str| journal::parse_key(key).map(|(job, _)| job);
    let records = batch.records.iter().filter(|(key, _)| of(key) == Some(job(1)));
    assert_eq!(records.count(), 3, "{:?}", batch.records);
    assert_eq!(of("roster.born"), None);
}

#[test]
fn nothing_unaccepted_starts_while_the_store_is_away() {
    // The owner sends starts whose bindings are not kept while the store is away for everybody. A job whose own record
    // is not kept may be given back to its caller, who was then told that it had not run.
    let mut site = Cluster::new(1);
    submit(&mut site, job(1), step());
    assert_eq!(starts(&mut site), 0);
    site.cell.send_unstored(Millis(site.now));
    assert_eq!(starts(&mut site), 0);
}

#[test]
fn a_start_that_is_held_back_while_the_store_is_away_goes_out_once_it_is_back() {
    // An owner sent what it could while the store was away, and forgot the starts of jobs that were not accepted yet. The
    // store was back and had them, and they waited for good: nothing else ends the wait of a start that was never sent.
    let mut site = Cluster::new(1);
    submit(&mut site, job(1), step());
    assert_eq!(starts(&mut site), 0);
    let now = Millis(site.now);
    site.cell.send_unstored(now);
    let batch = site.cell.take_batch(now).expect("its record");
    site.cell.mark_stored(now, batch.number);
    assert_eq!(starts(&mut site), 1);
}

#[test]
fn a_job_that_is_not_accepted_stops_nothing() {
    let mut site = Cluster::new(1);
    let saves = Step {
        has_checkpoints: true,
        resources: Resources { cpu: 4_000, mem: 4_000, gpu: 0 },
        ..step()
    };
    site.submit_step(job(1), Step { estimate: Millis(60_000), ..saves.clone() });
    site.run_for(40);
    submit(&mut site, job(2), saves);
    site.now += 1_000;
    site.cell.schedule(Millis(site.now));
    let stops = site.cell.take_actions().into_iter().filter(|a| matches!(a, Action::Stop { .. }));
    assert_eq!(stops.count(), 0);
}
