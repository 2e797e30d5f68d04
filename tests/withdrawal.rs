//! Jobs that an owner withdraws because the store did not take their records, and whose callers
//! submit them again under the same key.
//!
//! Starts of a withdrawn job stayed in the queue of starts that wait for the store. The job was
//! submitted again, and its tasks were bound under the run numbers that the withdrawn bindings had.
//! Once the store answered, two starts of one run went out. The worker refused the older one, whose
//! ticket had expired; the owner took that for an answer to the newer one and started the task
//! elsewhere, while the newer run began:
//!
//! 13.383 event=start task=T.0.0.1 run=52225 worker=i-1
//! 13.568 event=withdrawn job=T batch=39
//! 14.576 event=submitted job=T queue=q workspace=none batch=39
//! 15.437 event=start-failed task=T.0.0.1 run=52225 worker=i-1 outcome=Refused(InvalidTicket)
//! 15.437 event=start task=T.0.0.1 run=52226 worker=i-2

mod lifeworld;

use lifeworld::{Cluster, job, step};
use sprucerudder::cell::Action;
use sprucerudder::cell::advice::queue::AdviceRequest;
use sprucerudder::clock::Millis;
use sprucerudder::id::Name;
use sprucerudder::order::{ClearedWorkers, OrderOutcome, Refusal, StartOrder};
use sprucerudder::workload::{JobDefinition, JobKey, Step, TaskKey};
use std::sync::Arc;

fn definition(steps: Vec<Step>) -> Arc<JobDefinition> {
    Arc::new(JobDefinition {
        payload: "text".into(),
        steps,
        repetitions: 1,
        first_due: Millis(0),
        interval: Millis(0),
    })
}

/// The starts among the actions of the owner.
fn take_starts(cluster: &mut Cluster) -> Vec<(Name, StartOrder)> {
    let actions = cluster.cell.take_actions().into_iter();
    let start = |action| match action {
        Action::Start { worker, start, .. } => Some((worker, start)),
        _ => None,
    };
    actions.filter_map(start).collect()
}

/// Submits a job, and has the advice service clear all workers that it is asked about.
fn submit_cleared(cluster: &mut Cluster, key: JobKey, step: Step, ticket: &str) {
    let now = Millis(cluster.now);
    assert!(cluster.cell.submit(now, key, "q", definition(vec![step])).is_some());
    cluster.cell.schedule(now);
    answer_questions(cluster, ticket);
    cluster.cell.schedule(now);
}

/// Answers the questions of the owner; its other actions are dropped.
fn answer_questions(cluster: &mut Cluster, ticket: &str) {
    for action in cluster.cell.take_actions() {
        let Action::RequestAdvice { entry, request } = action else { continue };
        let tickets = request.workers.iter().map(|id| (id.clone(), ticket.into())).collect();
        let answer = ClearedWorkers { tickets, valid_for: None };
        let (now, named) = (Millis(cluster.now), &request.workers);
        cluster.cell.handle_advice(now, &entry, request.step, named, Some(answer));
    }
}

/// Begins a write that the store does not answer yet. Returns the number of its batch.
fn begin_write(cluster: &mut Cluster) -> u64 {
    let now = Millis(cluster.now);
    let other = definition(vec![Step { count: 0, ..step() }]);
    assert!(cluster.cell.submit(now, job(0xf0), "q", other).is_some());
    cluster.cell.take_batch(now).expect("a new job").number
}

/// The store answers the write that is under way, and takes the next one.
fn finish_writes(cluster: &mut Cluster, batch: u64) {
    let now = Millis(cluster.now);
    cluster.cell.mark_stored(now, batch);
    while let Some(batch) = cluster.cell.take_batch(now) {
        cluster.cell.mark_stored(now, batch.number);
    }
}

#[test]
fn a_job_submitted_again_gets_one_start_a_task() {
    let mut cluster = Cluster::with_advice(1);
    let pending = begin_write(&mut cluster);
    submit_cleared(&mut cluster, job(1), Step { count: 3, ..step() }, "first");
    assert_eq!(cluster.cell.withdraw_after(pending), [job(1)]);
    submit_cleared(&mut cluster, job(1), Step { count: 3, ..step() }, "second");
    finish_writes(&mut cluster, pending);
    let starts = take_starts(&mut cluster);
    let mut tasks: Vec<_> = starts.iter().map(|(_, start)| start.task.index).collect();
    tasks.sort_unstable();
    assert_eq!(tasks, [0, 1, 2]);
    assert!(starts.iter().all(|(_, start)| &*start.ticket == "second"), "{starts:?}");
}

#[test]
fn an_answer_to_a_withdrawn_binding_changes_no_later_one() {
    // The worker, the job and the epoch are the same for both bindings.
    let mut cluster = Cluster::with_advice(1);
    let pending = begin_write(&mut cluster);
    submit_cleared(&mut cluster, job(1), step(), "first");
    let withdrawn = bindings(&cluster);
    cluster.cell.withdraw_after(pending);
    submit_cleared(&mut cluster, job(1), step(), "second");
    finish_writes(&mut cluster, pending);
    let starts = take_starts(&mut cluster);
    let (worker, start) = &starts[0];
    for refusal in [Refusal::InvalidTicket, Refusal::StaleRun, Refusal::LeaseExpired] {
        let (now, outcome) = (Millis(cluster.now), OrderOutcome::Refused(refusal));
        for (task, run) in &withdrawn {
            cluster.cell.on_start_outcome(now, worker, *task, *run, outcome.clone());
            cluster.cell.on_stop_outcome(now, worker, *task, *run, outcome.clone());
        }
        cluster.run_for(20);
        assert_eq!(bindings(&cluster), [(start.task, start.run)], "{refusal:?}");
    }
    assert_eq!(withdrawn.len(), 1);
    assert_ne!(withdrawn[0].1, start.run, "two bindings have one number");
}

#[test]
fn a_refused_ticket_of_a_withdrawn_binding_is_not_the_newer_one() {
    let mut cluster = Cluster::with_advice(1);
    let pending = begin_write(&mut cluster);
    submit_cleared(&mut cluster, job(1), step(), "first");
    let (task, withdrawn) = bindings(&cluster)[0];
    cluster.cell.withdraw_after(pending);
    submit_cleared(&mut cluster, job(1), step(), "second");
    finish_writes(&mut cluster, pending);
    let starts = take_starts(&mut cluster);
    let (worker, start) = &starts[0];
    let now = Millis(cluster.now);
    let refused = OrderOutcome::Refused(Refusal::InvalidTicket);
    cluster.cell.on_start_outcome(now, worker, task, withdrawn, refused);
    cluster.cell.on_start_outcome(now, worker, task, start.run, OrderOutcome::Withheld);
    cluster.cell.schedule(now);
    assert_eq!(bindings(&cluster).len(), 1, "the newer ticket is still used");
}

/// The bindings of the job that the tests submit, with their run numbers.
fn bindings(cluster: &Cluster) -> Vec<(TaskKey, u64)> {
    let bound = cluster.cell.bindings(job(1)).into_iter();
    bound.map(|(_, task, run)| (task, run)).collect()
}

#[test]
fn a_withdrawn_job_leaves_no_run_on_a_worker() {
    // Copies are allowed, so the task was bound again when its worker stopped answering. The job
    // was withdrawn, and the room of the first binding stayed taken.
    let mut cluster = Cluster::new(2);
    let pending = begin_write(&mut cluster);
    let now = Millis(cluster.now);
    let copied = definition(vec![Step { allow_copies: true, ..step() }]);
    assert!(cluster.cell.submit(now, job(1), "q", copied).is_some());
    cluster.cell.schedule(now);
    let first = cluster.cell.bindings(job(1))[0].0.clone();
    cluster.cell.mark_unreachable(now, &first);
    cluster.cell.schedule(now);
    assert_ne!(cluster.cell.bindings(job(1))[0].0, first, "it is bound to the other worker");
    assert_eq!(cluster.cell.stats().runs, 2);
    cluster.cell.withdraw_after(pending);
    assert_eq!(cluster.cell.stats().runs, 0);
}

#[test]
fn an_answer_to_a_question_of_a_withdrawn_job_is_ignored() {
    // A question was under way when its job was withdrawn. Its answer counted for the question that
    // the job asked when it was submitted again, also if the worker had restarted between the two.
    let mut cluster = Cluster::with_advice(1);
    cluster.cell.add_entry("other".into(), true);
    let pending = begin_write(&mut cluster);
    let now = Millis(cluster.now);
    let questions = |cluster: &mut Cluster| -> Vec<_> {
        cluster.cell.schedule(now);
        let actions = cluster.cell.take_actions().into_iter();
        let question = |action| match action {
            Action::RequestAdvice { entry, request } => Some((entry, request)),
            _ => None,
        };
        actions.filter_map(question).collect()
    };
    assert!(cluster.cell.submit(now, job(1), "q", definition(vec![step()])).is_some());
    let first = questions(&mut cluster);
    cluster.cell.withdraw_after(pending);
    assert!(cluster.cell.submit(now, job(1), "q", definition(vec![step()])).is_some());
    let second = questions(&mut cluster);
    assert_eq!((first.len(), second.len()), (1, 1));
    let answer = |cluster: &mut Cluster, question: &(Name, AdviceRequest), ticket: &str| {
        let (entry, request) = question;
        let tickets = request.workers.iter().map(|id| (id.clone(), ticket.into())).collect();
        let answer = Some(ClearedWorkers { tickets, valid_for: None });
        cluster.cell.handle_advice(now, entry, request.step, &request.workers, answer);
        cluster.cell.schedule(now);
    };
    answer(&mut cluster, &first[0], "first");
    assert_eq!(cluster.cell.bindings(job(1)), [], "only the second answer counts");
    answer(&mut cluster, &second[0], "second");
    finish_writes(&mut cluster, pending);
    let starts = take_starts(&mut cluster);
    assert_eq!(starts.len(), 1);
    assert_eq!(&*starts[0].1.ticket, "second");
}

#[test]
fn a_timer_of_a_withdrawn_job_opens_no_step() {
    let mut cluster = Cluster::new(1);
    let pending = begin_write(&mut cluster);
    let now = Millis(cluster.now);
    for due in [Millis(5_000), Millis(9_000)] {
        let scheduled = JobDefinition { first_due: due, ..(*definition(vec![step()])).clone() };
        cluster.cell.withdraw_after(pending);
        assert!(cluster.cell.submit(now, job(1), "q", Arc::new(scheduled)).is_some());
    }
    cluster.cell.tick(now, Millis(5_000));
    cluster.cell.schedule(now);
    assert_eq!(cluster.cell.bindings(job(1)), [], "it is due at 9000");
    cluster.cell.tick(now, Millis(9_000));
    cluster.cell.schedule(now);
    assert_eq!(cluster.cell.bindings(job(1)).len(), 1);
}
