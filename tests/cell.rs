//! Single decisions of the cell's state machine.

mod rows;

use rows::running as running_row;
use sprucerudder::cell::jobs::restart_policy::{Crash, Evidence};
use sprucerudder::cell::mechanism::DisabledMechanisms;
use sprucerudder::cell::records::journal::{
    self, JobRecord, Progress, Snapshot, StepProgress, TaskCrashes, TaskProgress, WorkerRecord,
};
use sprucerudder::cell::workers::roster::RemovalReason;
use sprucerudder::cell::{Action, Cell, CellConfig, JobState};
use sprucerudder::clock::Millis;
use sprucerudder::id::Name;
use sprucerudder::order::{
    EndReason, EndedTask, Incarnation, OrderOutcome, Refusal, ReportError, RunningTask, StartOrder,
    WorkerInfo, WorkerReport,
};
use sprucerudder::workload::{
    AdviceConfig, JobDefinition, JobKey, MAX_ESTIMATE, Queue, Resources, Step, StepKey, TaskKey,
};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

const LEASE: Millis = Millis(6_000);

fn queue(name: &str, priority: u32) -> Arc<Queue> {
    Arc::new(Queue {
        name: name.into(),
        service: "s".into(),
        priority,
        max_attempts: 2,
        stretch: 1_500,
        target: Millis(250),
        advice: None,
    })
}

fn list_entry(id: &str, domain: &str) -> WorkerInfo {
    WorkerInfo {
        id: id.into(),
        started_at: None,
        service: "s".into(),
        addr: id.into(),
        domain: domain.into(),
        capacity: Resources { cpu: 4_000, mem: 4_000, gpu: 0 },
        labels: vec!["a".into(), "r1".into()],
        leaves_in: None,
    }
}

fn step(count: u32) -> Step {
    let resources = Resources { cpu: 1_000, mem: 1_000, gpu: 0 };
    Step { count, resources, estimate: Millis(1_000), ..Step::default() }
}

fn work(steps: Vec<Step>) -> Arc<JobDefinition> {
    Arc::new(JobDefinition {
        payload: "t".into(),
        steps,
        repetitions: 1,
        first_due: Millis(0),
        interval: Millis(0),
    })
}

/// A cell whose workers have reported once.
fn cell(workers: &[WorkerInfo]) -> Cell {
    let bounds = CellConfig {
        lease: LEASE,
        max_lease: LEASE,
        job_retention: Millis(100_000),
        disabled: DisabledMechanisms::default(),
        memory: None,
    };
    let queues = HashMap::from([("q".into(), queue("q", 0)), ("low".into(), queue("low", 2))]);
    let mut cell = Cell::new(1, bounds, queues, Snapshot::default(), false, Millis(0));
    cell.set_workers(Millis(0), workers.to_vec());
    write_batches(&mut cell, 1);
    for worker in workers {
        cell.report_call(Millis(1), &worker.id, true);
        cell.on_report(
            Millis(2),
            Millis(1),
            &worker.id,
            &WorkerReport { clock: 1_000, ..WorkerReport::default() },
        );
    }
    cell.tick(Millis(3), Millis(3));
    cell.take_actions();
    cell
}

/// The store accepts everything that the cell has to write.
fn write_batches(cell: &mut Cell, now: u64) {
    while let Some(batch) = cell.take_batch(Millis(now)) {
        cell.mark_stored(Millis(now), batch.number);
    }
}

/// Runs the scheduler and returns the starts that it decides on.
fn starts(cell: &mut Cell, now: u64) -> Vec<(Name, StartOrder)> {
    cell.schedule(Millis(now));
    write_batches(cell, now);
    let actions = cell.take_actions().into_iter();
    let start = |action| match action {
        Action::Start { worker, start, .. } => Some((worker, start)),
        _ => None,
    };
    actions.filter_map(start).collect()
}

fn submit(cell: &mut Cell, now: u64, key: u64, queue: &str, steps: Vec<Step>) -> JobKey {
    let key = JobKey(key);
    assert!(cell.submit(Millis(now), key, queue, work(steps)).is_some());
    write_batches(cell, now);
    key
}

fn confirm_starts(cell: &mut Cell, now: u64, started: &[(Name, StartOrder)]) {
    for (worker, start) in started {
        cell.on_start_outcome(Millis(now), worker, start.task, start.run, OrderOutcome::Done(None));
    }
}

fn end_report(seq: u64, task: TaskKey, run: u64, reason: EndReason) -> WorkerReport {
    let row = EndedTask { seq, task, run, reason, checkpoint: "".into() };
    WorkerReport { clock: 1_000, running: Vec::new(), ended: vec![row], ..WorkerReport::default() }
}

#[test]
fn nothing_of_a_job_starts_before_the_store_has_it() {
    let mut cell = cell(&[list_entry("w1", "a")]);
    let batch = cell.submit(Millis(10), JobKey(1), "q", work(vec![step(1)]));
    let ordered = |cell: &mut Cell| {
        let mut actions = cell.take_actions().into_iter();
        actions.any(|action| matches!(action, Action::Start { .. }))
    };
    cell.schedule(Millis(10));
    assert!(!ordered(&mut cell), "before the record is written");
    let written = cell.take_batch(Millis(10)).unwrap();
    cell.tick(Millis(110), Millis(110));
    cell.schedule(Millis(110));
    assert!(!ordered(&mut cell), "while it is written");
    assert!(batch.is_some_and(|batch| batch > cell.stored_batch()));
    cell.mark_stored(Millis(111), written.number);
    assert!(batch.is_some_and(|batch| batch <= cell.stored_batch()));
    assert_eq!(starts(&mut cell, 112).len(), 1);
}

#[test]
fn the_same_key_again_is_the_same_job() {
    let mut cell = cell(&[list_entry("w1", "a")]);
    let key = submit(&mut cell, 10, 1, "q", vec![step(1)]);
    assert_eq!(starts(&mut cell, 11).len(), 1);
    submit(&mut cell, 12, key.0, "q", vec![step(1)]);
    assert_eq!(starts(&mut cell, 13), Vec::new());
}

#[test]
fn a_dependent_step_starts_after_all_tasks_before_it_and_the_job_ends_in_the_store() {
    let mut cell = cell(&[list_entry("w1", "a")]);
    let second = Step { dependencies: vec![0], ..step(1) };
    let key = submit(&mut cell, 10, 1, "q", vec![step(2), second]);
    let first = starts(&mut cell, 11);
    assert_eq!(first.len(), 2);
    confirm_starts(&mut cell, 12, &first);
    let one = end_report(1, first[0].1.task, first[0].1.run, EndReason::Done);
    let running = vec![running_row(first[1].1.task, first[1].1.run)];
    cell.on_report(Millis(20), Millis(15), &"w1".into(), &WorkerReport { running, ..one });
    assert_eq!(starts(&mut cell, 21), Vec::new());
    let other = end_report(2, first[1].1.task, first[1].1.run, EndReason::Done);
    cell.on_report(Millis(30), Millis(25), &"w1".into(), &other);
    let second = starts(&mut cell, 31);
    assert_eq!(second.len(), 1);
    confirm_starts(&mut cell, 32, &second);
    let last = end_report(3, second[0].1.task, second[0].1.run, EndReason::Done);
    cell.on_report(Millis(40), Millis(35), &"w1".into(), &last);
    assert_eq!(cell.job_state(key), Some(JobState::Active), "the end is not in the store yet");
    write_batches(&mut cell, 41);
    assert!(matches!(cell.job_state(key), Some(JobState::Closed(_))));
}

#[test]
fn ends_are_confirmed_only_when_the_store_has_them() {
    let mut cell = cell(&[list_entry("w1", "a")]);
    submit(&mut cell, 10, 1, "q", vec![step(2)]);
    let first = starts(&mut cell, 11);
    confirm_starts(&mut cell, 12, &first);
    let one = end_report(7, first[0].1.task, first[0].1.run, EndReason::Done);
    cell.on_report(Millis(20), Millis(15), &"w1".into(), &one);
    assert_eq!(
        cell.report_call(Millis(21), &"w1".into(), true).map(|hold| hold.confirmed),
        Some(0)
    );
    write_batches(&mut cell, 22);
    assert_eq!(
        cell.report_call(Millis(23), &"w1".into(), true).map(|hold| hold.confirmed),
        Some(7)
    );
}

#[test]
fn a_run_that_a_full_list_of_ends_leaves_out_is_not_lost() {
    // Guards against a task that runs twice: its end was not among those that the worker lists at
    // once, so the run was neither running nor ended, and was taken for lost.
    let mut cell = cell(&[list_entry("w1", "a")]);
    submit(&mut cell, 10, 1, "q", vec![step(2)]);
    let first = starts(&mut cell, 11);
    confirm_starts(&mut cell, 12, &first);
    let [listed, left_out] = [&first[0].1, &first[1].1];
    let one = end_report(1, listed.task, listed.run, EndReason::Done);
    let truncated = WorkerReport { has_more_ends: true, ..one };
    cell.on_report(Millis(20), Millis(15), &"w1".into(), &truncated);
    assert_eq!(starts(&mut cell, 21), Vec::new());
    let other = end_report(2, left_out.task, left_out.run, EndReason::Done);
    cell.on_report(Millis(30), Millis(25), &"w1".into(), &other);
    write_batches(&mut cell, 31);
    assert!(matches!(cell.job_state(JobKey(1)), Some(JobState::Closed(_))));
}

#[test]
fn a_start_is_not_needed_any_more_once_its_run_is_stopped() {
    // Guards against a start that waits for a connection and is sent after its job was cancelled.
    let mut cell = cell(&[list_entry("w1", "a")]);
    let key = submit(&mut cell, 10, 1, "q", vec![step(1)]);
    let (worker, start) = starts(&mut cell, 11).remove(0);
    assert!(cell.needs_start(&worker, start.task, start.run));
    cell.cancel(Millis(12), key);
    assert!(!cell.needs_start(&worker, start.task, start.run));
}

#[test]
fn a_silent_workers_lease_is_not_renewed_and_its_tasks_start_elsewhere_when_it_expires() {
    let mut cell = cell(&[list_entry("w1", "a"), list_entry("w2", "b")]);
    submit(&mut cell, 10, 1, "q", vec![step(1)]);
    let first = starts(&mut cell, 11);
    confirm_starts(&mut cell, 12, &first);
    let name = first[0].0.clone();
    let silent = ReportError::NoReply("no answer".to_string());
    let mut retried = Vec::new();
    for now in (100..9_000).step_by(100) {
        let hold = cell.report_call(Millis(now), &name, true);
        let renewed = hold.is_some_and(|hold| hold.lease_end.is_some());
        assert!(!renewed || now < 300, "renewed at {now}");
        cell.on_missing_report(Millis(0), &name, &silent);
        cell.tick(Millis(now), Millis(now));
        retried.extend(starts(&mut cell, now).into_iter().map(|start| (now, start)));
    }
    let (now, (worker, start)) = retried.first().cloned().unwrap();
    assert_ne!(worker, name);
    assert!((LEASE.0..LEASE.0 + 700).contains(&now), "started elsewhere at {now}");
    assert!(start.run > first[0].1.run);
}

#[test]
fn a_task_whose_copies_may_run_starts_elsewhere_as_soon_as_its_worker_is_silent() {
    let mut cell = cell(&[list_entry("w1", "a"), list_entry("w2", "b")]);
    let copies = Step { allow_copies: true, ..step(1) };
    let key = submit(&mut cell, 10, 1, "q", vec![copies]);
    let first = starts(&mut cell, 11);
    confirm_starts(&mut cell, 12, &first);
    let name = first[0].0.clone();
    let silent = ReportError::NoReply("no answer".to_string());
    assert!(!cell.on_missing_report(Millis(0), &name, &silent));
    assert!(cell.on_missing_report(Millis(0), &name, &silent));
    let retried = starts(&mut cell, 300);
    assert_eq!(retried.len(), 1);
    assert_ne!(retried[0].0, name);
    // The first end counts, and the other run is stopped.
    confirm_starts(&mut cell, 301, &retried);
    let done = end_report(1, first[0].1.task, first[0].1.run, EndReason::Done);
    cell.on_report(Millis(400), Millis(399), &name, &done);
    write_batches(&mut cell, 401);
    assert!(matches!(cell.job_state(key), Some(JobState::Closed(_))));
    let stops = cell.take_actions();
    assert!(
        stops
            .iter()
            .any(|action| matches!(action, Action::Stop { run, .. } if *run == retried[0].1.run))
    );
}

#[test]
fn an_unanswered_start_is_stopped_before_its_room_is_reused() {
    let mut cell = cell(&[list_entry("w1", "a")]);
    submit(&mut cell, 10, 1, "q", vec![step(4)]);
    let first = starts(&mut cell, 11);
    confirm_starts(&mut cell, 12, &first[1..]);
    let (worker, lost) = first[0].clone();
    cell.on_start_outcome(Millis(300), &worker, lost.task, lost.run, OrderOutcome::Unknown);
    let stop = Action::Stop { worker: worker.clone(), task: lost.task, run: lost.run };
    assert!(cell.take_actions().contains(&stop));
    cell.on_stop_outcome(Millis(302), &worker, lost.task, lost.run, OrderOutcome::Done(None));
    assert_eq!(starts(&mut cell, 303), Vec::new(), "nothing shows yet that it never began");
    let running = first[1..].iter().map(|(_, start)| running_row(start.task, start.run)).collect();
    let report =
        WorkerReport { clock: 1_310, running, ended: Vec::new(), ..WorkerReport::default() };
    cell.on_report(Millis(310), Millis(305), &worker, &report);
    let retried = starts(&mut cell, 311);
    assert_eq!(retried.len(), 1);
    assert!(retried[0].1.run > lost.run);
}

#[test]
fn a_task_that_used_all_its_attempts_fails_its_job() {
    let mut cell = cell(&[list_entry("w1", "a"), list_entry("w2", "a")]);
    let key = submit(&mut cell, 10, 1, "q", vec![step(1)]);
    for attempt in 1..=2 {
        let now = attempt * 100;
        let started = starts(&mut cell, now);
        assert_eq!(started.len(), 1);
        confirm_starts(&mut cell, now + 1, &started);
        let (worker, start) = started[0].clone();
        let report = end_report(attempt, start.task, start.run, EndReason::Failed);
        cell.on_report(Millis(now + 20), Millis(now + 10), &worker, &report);
    }
    write_batches(&mut cell, 300);
    assert_eq!(starts(&mut cell, 301), Vec::new());
    assert!(matches!(
        cell.job_state(key),
        Some(JobState::Closed(sprucerudder::cell::records::journal::JobOutcome::Failed))
    ));
}

#[test]
fn a_gang_is_placed_whole_or_not_at_all() {
    let mut cell = cell(&[list_entry("w1", "a"), list_entry("w2", "a")]);
    submit(&mut cell, 10, 1, "q", vec![step(3)]);
    let other = starts(&mut cell, 11);
    assert_eq!(other.len(), 3);
    confirm_starts(&mut cell, 12, &other);
    let gang = Step { is_gang: true, ..step(6) };
    submit(&mut cell, 20, 2, "q", vec![gang]);
    assert_eq!(starts(&mut cell, 21), Vec::new());
    let (worker, start) = other[0].clone();
    let report = end_report(1, start.task, start.run, EndReason::Done);
    let running = other[1..].iter().map(|(_, start)| running_row(start.task, start.run)).collect();
    cell.on_report(Millis(30), Millis(25), &worker, &WorkerReport { running, ..report });
    let whole = starts(&mut cell, 31);
    assert_eq!(whole.len(), 6);
    assert!(whole.iter().all(|(_, start)| start.run == whole[0].1.run));
}

/// Sums and products of numbers that callers and workers sent overflowed.
#[test]
fn extreme_numbers_of_callers_and_workers_do_not_overflow() {
    let room = Resources::UNKNOWN;
    let workers: Vec<WorkerInfo> =
        ["w1", "w2", "w3"].map(|id| WorkerInfo { capacity: room, ..list_entry(id, "a") }).to_vec();
    let mut cell = cell(&workers);
    let wide = Step { resources: room, estimate: MAX_ESTIMATE, ..step(4) };
    let next = Step { dependencies: vec![0], ..wide.clone() };
    let gang = Step { is_gang: true, ..wide.clone() };
    for (key, steps) in [(1, vec![wide, next]), (2, vec![gang]), (3, vec![step(2)])] {
        submit(&mut cell, 10, key, "q", steps);
    }
    let started = starts(&mut cell, 11);
    assert!(!started.is_empty());
    confirm_starts(&mut cell, 12, &started);
    let report = WorkerReport { clock: u64::MAX, ..WorkerReport::default() };
    for worker in &workers {
        cell.report_call(Millis(20), &worker.id, true);
        cell.on_report(Millis(21), Millis(20), &worker.id, &report);
        cell.report_call(Millis(1_000), &worker.id, true);
    }
    cell.tick(Millis(1_000), Millis(1_000));
    cell.schedule(Millis(1_000));
    assert!(!cell.service_loads().is_empty());
}

/// All members that have been started end `failed`, each in a report of its worker.
fn fail_gang(cell: &mut Cell, now: u64, first_seq: u64, gang: &[(Name, StartOrder)]) {
    let workers: BTreeSet<&Name> = gang.iter().map(|(worker, _)| worker).collect();
    for worker in workers {
        let members = gang.iter().filter(|(other, _)| other == worker).enumerate();
        let ended = members.map(|(index, (_, start))| EndedTask {
            seq: first_seq + index as u64,
            task: start.task,
            run: start.run,
            reason: EndReason::Failed,
            checkpoint: "".into(),
        });
        let report =
            WorkerReport { clock: 1_000, ended: ended.collect(), ..WorkerReport::default() };
        cell.on_report(Millis(now), Millis(now - 1), worker, &report);
    }
}

/// A gang counted a run as often as members failed in it, so its job was shown as failed although it
/// had attempts left.
#[test]
fn a_run_of_a_gang_counts_once_however_many_members_fail() {
    let mut cell = cell(&[list_entry("w1", "a"), list_entry("w2", "a")]);
    let gang = Step { is_gang: true, ..step(6) };
    let key = submit(&mut cell, 10, 1, "q", vec![gang]);
    for attempt in 1..=2 {
        let now = 1_000 * attempt;
        let members = starts(&mut cell, now);
        assert_eq!(members.len(), 6, "attempt {attempt}");
        confirm_starts(&mut cell, now + 1, &members);
        assert_eq!(cell.job_state(key), Some(JobState::Active));
        fail_gang(&mut cell, now + 10, 1 + 6 * (attempt - 1), &members);
        write_batches(&mut cell, now + 20);
    }
    let failed = JobState::Closed(sprucerudder::cell::records::journal::JobOutcome::Failed);
    assert_eq!(cell.job_state(key), Some(failed), "it has no attempt left");
}

#[test]
fn a_jobs_tasks_stay_in_one_failure_domain_while_it_has_room() {
    let workers = [
        list_entry("w1", "a"),
        list_entry("w2", "b"),
        list_entry("w3", "a"),
        list_entry("w4", "b"),
    ];
    let mut cell = cell(&workers);
    submit(&mut cell, 10, 1, "q", vec![step(8)]);
    let started = starts(&mut cell, 11);
    let domain = |name: &Name| workers.iter().find(|one| one.id == *name).map(|one| &one.domain);
    assert_eq!(started.len(), 8);
    assert!(started.iter().all(|(worker, _)| domain(worker) == domain(&started[0].0)));
}

#[test]
fn more_urgent_work_comes_first() {
    let mut cell = cell(&[list_entry("w1", "a")]);
    submit(&mut cell, 10, 1, "low", vec![step(4)]);
    submit(&mut cell, 11, 2, "q", vec![step(4)]);
    let started = starts(&mut cell, 12);
    assert_eq!(started.len(), 4);
    assert!(started.iter().all(|(_, start)| start.task.step.job == JobKey(2)));
}

#[test]
fn a_new_owner_holds_back_inherited_tasks_until_all_workers_are_known() {
    let mut old = cell(&[list_entry("w1", "a"), list_entry("w2", "b")]);
    let bounds = CellConfig {
        lease: LEASE,
        max_lease: LEASE,
        job_retention: Millis(100_000),
        disabled: DisabledMechanisms::default(),
        memory: None,
    };
    let mut snapshot = Snapshot::default();
    let mut records = Vec::new();
    old.submit(Millis(10), JobKey(1), "q", work(vec![step(1)]));
    old.set_workers(
        Millis(0),
        vec![list_entry("w1", "a"), list_entry("w2", "b"), list_entry("w3", "b")],
    );
    while let Some(batch) = old.take_batch(Millis(11)) {
        records.extend(batch.records);
        old.mark_stored(Millis(11), batch.number);
    }
    for (key, value) in &records {
        snapshot.apply(key, value).unwrap();
    }
    let queues = HashMap::from([("q".into(), queue("q", 0))]);
    let mut new = Cell::new(2, bounds, queues, snapshot, true, Millis(100));
    new.set_workers(
        Millis(0),
        vec![list_entry("w1", "a"), list_entry("w2", "b"), list_entry("w3", "b")],
    );
    write_batches(&mut new, 101);
    for id in ["w1", "w2"] {
        let id = id.into();
        new.report_call(Millis(102), &id, true);
        new.on_report(
            Millis(103),
            Millis(102),
            &id,
            &WorkerReport { clock: 1_000, ..WorkerReport::default() },
        );
    }
    new.tick(Millis(110), Millis(110));
    assert_eq!(starts(&mut new, 111), Vec::new(), "the task may run on the third worker");
    new.report_call(Millis(120), &"w3".into(), true);
    new.on_report(
        Millis(121),
        Millis(120),
        &"w3".into(),
        &WorkerReport { clock: 1_000, ..WorkerReport::default() },
    );
    new.tick(Millis(130), Millis(130));
    assert_eq!(starts(&mut new, 131).len(), 1);
}

#[test]
fn an_end_that_changes_nothing_is_confirmed_without_a_record() {
    let mut cell = cell(&[list_entry("w1", "a")]);
    let key = submit(&mut cell, 10, 1, "q", vec![step(1)]);
    let started = starts(&mut cell, 11);
    confirm_starts(&mut cell, 12, &started);
    cell.cancel(Millis(13), key);
    write_batches(&mut cell, 14);
    let start = &started[0].1;
    cell.on_report(
        Millis(20),
        Millis(15),
        &"w1".into(),
        &end_report(1, start.task, start.run, EndReason::Stopped),
    );
    assert_eq!(cell.take_batch(Millis(21)), None);
    assert_eq!(
        cell.report_call(Millis(22), &"w1".into(), true).map(|hold| hold.confirmed),
        Some(1)
    );
}

#[test]
fn a_batch_is_never_empty() {
    let mut old = cell(&[list_entry("w1", "a")]);
    let key = JobKey(1);
    old.submit(Millis(10), key, "q", work(vec![step(1)]));
    let batch = old.take_batch(Millis(11)).expect("the job's record");
    let mut snapshot = Snapshot::default();
    for (key, value) in batch.records.iter().filter(|(key, _)| !key.contains('.')) {
        snapshot.apply(key, value).unwrap();
    }
    let bounds = CellConfig {
        lease: LEASE,
        max_lease: LEASE,
        job_retention: Millis(100_000),
        disabled: DisabledMechanisms::default(),
        memory: None,
    };
    let queues = HashMap::from([("q".into(), queue("q", 0))]);
    // The earlier owner started it during a store outage: there is no record of that.
    let mut new = Cell::new(2, bounds, queues, snapshot, true, Millis(12));
    new.set_workers(Millis(12), vec![list_entry("w1", "a")]);
    write_batches(&mut new, 13);
    let task = TaskKey { step: StepKey { job: key, repetition: 0, step: 0 }, index: 0 };
    new.on_report(
        Millis(20),
        Millis(15),
        &"w1".into(),
        &end_report(1, task, 1_025, EndReason::Stopped),
    );
    assert_eq!(new.take_batch(Millis(21)), None);
    assert!(!new.has_unstored());
}

#[test]
fn a_binding_whose_run_ended_does_not_stay_in_the_store() {
    let mut cell = cell(&[list_entry("w1", "a")]);
    submit(&mut cell, 10, 1, "q", vec![step(1)]);
    let started = starts(&mut cell, 11);
    confirm_starts(&mut cell, 12, &started);
    let start = &started[0].1;
    cell.on_report(
        Millis(20),
        Millis(15),
        &"w1".into(),
        &end_report(1, start.task, start.run, EndReason::Stopped),
    );
    let batch = cell.take_batch(Millis(21)).expect("the job's progress");
    let mut snapshot = Snapshot::default();
    for (key, value) in &batch.records {
        snapshot.apply(key, value).expect("a valid record");
    }
    let notes: Vec<_> = snapshot.progress.values().flat_map(|progress| &progress.steps).collect();
    assert_eq!(snapshot.progress.len(), 1);
    assert!(notes.is_empty(), "{notes:?}");
}

#[test]
fn a_run_of_unknown_size_takes_the_whole_worker_until_it_has_ended() {
    // The run's job ended under an earlier owner, which told the run to stop.
    let mut cell = cell(&[list_entry("w1", "a")]);
    let step_key = sprucerudder::workload::StepKey { job: JobKey(9), repetition: 0, step: 0 };
    let old = running_row(TaskKey { step: step_key, index: 0 }, 7);
    let report = WorkerReport {
        clock: 1_010,
        running: vec![old],
        ended: Vec::new(),
        ..WorkerReport::default()
    };
    cell.on_report(Millis(10), Millis(9), &"w1".into(), &report);
    submit(&mut cell, 20, 1, "q", vec![step(1)]);
    assert_eq!(starts(&mut cell, 21), Vec::new());
    let gone = end_report(1, TaskKey { step: step_key, index: 0 }, 7, EndReason::Stopped);
    cell.on_report(Millis(30), Millis(25), &"w1".into(), &gone);
    assert_eq!(starts(&mut cell, 31).len(), 1);
}

#[test]
fn a_worker_that_left_with_nothing_running_is_forgotten_at_once() {
    let mut cell = cell(&[list_entry("w1", "a"), list_entry("w2", "a")]);
    cell.report_call(Millis(5), &"w1".into(), true);
    cell.set_workers(Millis(0), vec![list_entry("w2", "a")]);
    let silent = ReportError::NoReply("refused".to_string());
    cell.on_missing_report(Millis(0), &"w1".into(), &silent);
    cell.on_missing_report(Millis(0), &"w1".into(), &silent);
    cell.tick(Millis(600), Millis(600));
    assert!(cell.take_actions().contains(&Action::Unwatch("w1".into())));
    assert!(cell.has_unstored(), "the next owner must not wait for it");
}

#[test]
fn a_start_is_sent_once_the_store_has_its_binding() {
    let mut cell = cell(&[list_entry("w1", "a")]);
    submit(&mut cell, 10, 1, "q", vec![step(1)]);
    cell.schedule(Millis(11));
    let is_start = |action: &Action| matches!(action, Action::Start { .. });
    assert!(!cell.take_actions().iter().any(is_start));
    write_batches(&mut cell, 12);
    assert!(cell.take_actions().iter().any(is_start));
}

#[test]
fn a_new_owner_starts_tasks_that_cannot_be_running_and_holds_back_those_that_may() {
    let mut old = cell(&[list_entry("w1", "a"), list_entry("w2", "b")]);
    let mut snapshot = Snapshot::default();
    let mut records = Vec::new();
    old.set_workers(
        Millis(0),
        vec![list_entry("w1", "a"), list_entry("w2", "b"), list_entry("w3", "b")],
    );
    old.submit(
        Millis(10),
        JobKey(1),
        "q",
        work(vec![step(1), Step { dependencies: vec![0], ..step(1) }]),
    );
    old.submit(Millis(10), JobKey(2), "q", work(vec![step(12)]));
    for _ in 0..4 {
        while let Some(batch) = old.take_batch(Millis(11)) {
            records.extend(batch.records);
            old.mark_stored(Millis(11), batch.number);
        }
        old.schedule(Millis(11));
    }
    for (key, value) in &records {
        snapshot.apply(key, value).unwrap();
    }
    let bounds = CellConfig {
        lease: LEASE,
        max_lease: LEASE,
        job_retention: Millis(100_000),
        disabled: DisabledMechanisms::default(),
        memory: None,
    };
    let queues = HashMap::from([("q".into(), queue("q", 0))]);
    let mut new = Cell::new(2, bounds, queues, snapshot, false, Millis(100));
    new.set_workers(
        Millis(0),
        vec![list_entry("w1", "a"), list_entry("w2", "b"), list_entry("w3", "b")],
    );
    write_batches(&mut new, 101);
    // Of nine tasks, at most four run on each of two workers; the first one reports that it runs
    // none.
    let w1: Name = "w1".into();
    new.report_call(Millis(102), &w1, true);
    new.on_report(
        Millis(103),
        Millis(102),
        &w1,
        &WorkerReport { clock: 1_000, ..WorkerReport::default() },
    );
    new.tick(Millis(110), Millis(110));
    let first = starts(&mut new, 111);
    assert_eq!(
        first.len(),
        4,
        "what was bound to the worker that answered, and what was bound to none"
    );
    let mut all: Vec<TaskKey> = first.iter().map(|(_, start)| start.task).collect();
    all.dedup();
    assert_eq!(all.len(), 4);
}

/// A report that lists these runs, each with its saved progress.
fn running_report(rows: &[(TaskKey, u64, &str)]) -> WorkerReport {
    let row = |(task, run, saved): &(TaskKey, u64, &str)| RunningTask {
        checkpoint: (*saved).into(),
        ..running_row(*task, *run)
    };
    WorkerReport {
        clock: 1_000,
        running: rows.iter().map(row).collect(),
        ended: Vec::new(),
        ..WorkerReport::default()
    }
}

#[test]
fn a_worker_on_which_a_run_makes_no_progress_gets_no_new_tasks() {
    let mut cell = cell(&[list_entry("w1", "a"), list_entry("w2", "a")]);
    let saves = Step { has_checkpoints: true, ..step(1) };
    submit(&mut cell, 10, 1, "q", vec![saves]);
    let first = starts(&mut cell, 11);
    confirm_starts(&mut cell, 12, &first);
    let (name, start) = first[0].clone();
    for now in [600, 1_100, 1_600] {
        let saved = format!("at {now}");
        let report = running_report(&[(start.task, start.run, &saved)]);
        cell.on_report(Millis(now), Millis(now - 5), &name, &report);
    }
    submit(&mut cell, 1_700, 2, "q", vec![step(1)]);
    assert_eq!(
        starts(&mut cell, 1_701)[0].0,
        name,
        "it is the fuller one, and its run makes progress"
    );
    for now in [2_600, 3_400] {
        let report = running_report(&[(start.task, start.run, "at 1600")]);
        cell.on_report(Millis(now), Millis(now - 5), &name, &report);
    }
    submit(&mut cell, 3_410, 3, "q", vec![step(1)]);
    assert_ne!(starts(&mut cell, 3_411)[0].0, name);
}

/// A cell that has seen enough runs to expect them to take as long as estimated, and the time then.
fn cell_with_known_run_times() -> (Cell, u64) {
    let mut cell = cell(&[list_entry("w1", "a"), list_entry("w2", "a")]);
    let mut now = 10;
    for key in 100..130 {
        submit(&mut cell, now, key, "q", vec![step(1)]);
        let started = starts(&mut cell, now);
        confirm_starts(&mut cell, now, &started);
        let (name, start) = &started[0];
        now += 950 + key % 3 * 50;
        let done = end_report(key, start.task, start.run, EndReason::Done);
        cell.on_report(Millis(now), Millis(now - 5), name, &done);
        write_batches(&mut cell, now);
    }
    cell.take_actions();
    (cell, now)
}

#[test]
fn late_runs_of_two_jobs_set_their_worker_aside_and_one_does_not() {
    let (mut cell, from) = cell_with_known_run_times();
    for key in [1, 2] {
        submit(&mut cell, from, key, "q", vec![step(1)]);
    }
    let first = starts(&mut cell, from);
    confirm_starts(&mut cell, from, &first);
    let name = first[0].0.clone();
    assert_eq!(first[1].0, name, "the fuller one first");
    let both: Vec<_> = first.iter().map(|(_, start)| (start.task, start.run, "")).collect();
    let next = |cell: &mut Cell, rows: &[(TaskKey, u64, &str)], now: u64, key: u64| {
        cell.on_report(Millis(now), Millis(now - 5), &name, &running_report(rows));
        submit(cell, now, key, "q", vec![step(1)]);
        starts(cell, now)[0].0.clone()
    };
    assert_eq!(next(&mut cell, &both, from + 1_100, 3), name, "both runs are in time");
    assert_ne!(next(&mut cell, &both, from + 3_000, 4), name);
}

/// A cell with a task that is late and has a copy, the time, and the starts of the task and of the
/// copy, the latter with its worker.
fn cell_with_copied_task() -> (Cell, u64, StartOrder, (Name, StartOrder)) {
    let (mut cell, from) = cell_with_known_run_times();
    submit(&mut cell, from, 1, "q", vec![Step { allow_copies: true, ..step(1) }]);
    let first = starts(&mut cell, from);
    confirm_starts(&mut cell, from, &first);
    let (name, start) = first[0].clone();
    let late = from + 3_000;
    let report = running_report(&[(start.task, start.run, "")]);
    cell.on_report(Millis(late), Millis(late - 5), &name, &report);
    let copy = starts(&mut cell, late);
    assert_eq!(copy.len(), 1);
    confirm_starts(&mut cell, late, &copy);
    (cell, late, start, copy[0].clone())
}

#[test]
fn a_late_task_gets_a_copy_and_the_first_one_done_counts() {
    let (mut cell, late, start, (other, retried)) = cell_with_copied_task();
    let key = start.task.step.job;
    let done = end_report(200, retried.task, retried.run, EndReason::Done);
    cell.on_report(Millis(late + 900), Millis(late + 895), &other, &done);
    write_batches(&mut cell, late + 900);
    assert!(matches!(cell.job_state(key), Some(JobState::Closed(_))));
    let stops = |action: &Action| matches!(action, Action::Stop { run, .. } if *run == start.run);
    assert!(cell.take_actions().iter().any(stops), "the run without progress is stopped");
}

#[test]
fn a_cancelled_job_leaves_no_copy_running() {
    // A job that ends stopped only the run that its task was last assigned as. The run that the copy
    // was made of went on:
    //  14.011 s to 22.018 s  T run 193273529991, started by the owner: done; cancelled at 16.533 s
    //  15.943 s to 17.285 s  T run 193273531554, started by the owner: stopped
    let (mut cell, late, start, (_, copy)) = cell_with_copied_task();
    let key = start.task.step.job;
    cell.cancel(Millis(late + 100), key);
    write_batches(&mut cell, late + 100);
    let actions = cell.take_actions().into_iter();
    let stopped: BTreeSet<u64> = actions
        .filter_map(|action| match action {
            Action::Stop { run, .. } => Some(run),
            _ => None,
        })
        .collect();
    assert_eq!(stopped, BTreeSet::from([start.run, copy.run]));
}

#[test]
fn a_question_is_asked_again_when_its_entry_reconnects() {
    let advice = AdviceConfig {
        base_latency: Millis(20),
        worker_micros: 300,
        ticket_validity: Millis(2_500),
    };
    let advised = Arc::new(Queue { advice: Some(advice), ..(*queue("q", 0)).clone() });
    let mut cell = cell(&[list_entry("w1", "a")]);
    cell.set_queues(HashMap::from([("q".into(), advised)]));
    cell.add_entry("e".into(), true);
    submit(&mut cell, 10, 1, "q", vec![step(1)]);
    let asks = |cell: &mut Cell, now: u64| {
        cell.schedule(Millis(now));
        let actions = cell.take_actions().into_iter();
        actions.filter(|action| matches!(action, Action::RequestAdvice { .. })).count()
    };
    assert_eq!(asks(&mut cell, 11), 1);
    assert_eq!(asks(&mut cell, 12), 0, "the question is under way");
    // The old connection may be noticed as broken later, or never.
    cell.add_entry("e".into(), true);
    assert_eq!(asks(&mut cell, 13), 1);
}

/// The workers that the cell asks the advice service about.
fn asked_workers(cell: &mut Cell, now: u64) -> Vec<Name> {
    cell.schedule(Millis(now));
    write_batches(cell, now);
    let actions = cell.take_actions().into_iter();
    let workers = |action| match action {
        Action::RequestAdvice { request, .. } => Some(request.workers),
        _ => None,
    };
    actions.filter_map(workers).flatten().collect()
}

#[test]
fn busy_workers_are_asked_about_once_and_then_only_cleared_ones_with_room() {
    let advice = AdviceConfig {
        base_latency: Millis(400),
        worker_micros: 7_000,
        ticket_validity: Millis(2_000),
    };
    let advised = Arc::new(Queue { advice: Some(advice), ..(*queue("adv", 0)).clone() });
    let mut cell = cell(&[list_entry("w1", "a"), list_entry("w2", "a"), list_entry("w3", "a")]);
    let queues = [("q".into(), queue("q", 0)), ("adv".into(), advised)];
    cell.set_queues(HashMap::from(queues));
    cell.add_entry("e".into(), true);
    cell.add_entry("f".into(), true);
    // w1 and w2 are full; w3 has room.
    submit(&mut cell, 10, 1, "q", vec![step(8)]);
    let first = starts(&mut cell, 11);
    assert_eq!(first.len(), 8);
    confirm_starts(&mut cell, 12, &first);
    let full: Vec<Name> = first.iter().map(|(name, _)| name.clone()).collect();
    let key = submit(&mut cell, 20, 2, "adv", vec![step(4)]);
    let step_key = sprucerudder::workload::StepKey { job: key, repetition: 0, step: 0 };
    let all = asked_workers(&mut cell, 21);
    assert_eq!(all.len(), 3, "busy workers are asked about, too: {all:?}");
    // Only a full worker is cleared: nothing more is asked while it has no room, however long that
    // takes.
    let cleared = full[0].clone();
    let tickets = vec![(cleared.clone(), "ticket".into())];
    let answer = sprucerudder::order::ClearedWorkers { tickets, valid_for: None };
    cell.handle_advice(Millis(500), &"e".into(), step_key, &all, Some(answer));
    for now in (600..6_000).step_by(100) {
        cell.tick(Millis(now), Millis(now));
        assert_eq!(asked_workers(&mut cell, now), Vec::<Name>::new(), "at {now}");
    }
    // Its ticket has expired; it is asked about again once it has room.
    let end_row = |seq: u64, start: &StartOrder| EndedTask {
        seq,
        task: start.task,
        run: start.run,
        reason: EndReason::Done,
        checkpoint: "".into(),
    };
    let cleared_starts = first.iter().filter(|(name, _)| *name == cleared).enumerate();
    let tickets =
        cleared_starts.map(|(index, (_, start))| end_row(index as u64 + 1, start)).collect();
    let report = WorkerReport {
        clock: 9_000,
        running: Vec::new(),
        ended: tickets,
        ..WorkerReport::default()
    };
    cell.on_report(Millis(6_000), Millis(5_900), &cleared, &report);
    assert_eq!(asked_workers(&mut cell, 6_001), vec![cleared]);
}

#[test]
fn no_start_is_sent_to_a_domain_once_two_of_its_workers_left_orders_unanswered() {
    let workers = [
        list_entry("w1", "a"),
        list_entry("w2", "a"),
        list_entry("w3", "a"),
        list_entry("w4", "b"),
    ];
    let mut cell = cell(&workers);
    let domain = |name: &Name| workers.iter().find(|one| one.id == *name).unwrap().domain.clone();
    // Jobs arrive all the time; orders into domain `a` are lost from the first one on.
    let mut lost: Vec<(u64, Name, StartOrder)> = Vec::new();
    let mut late_starts: Vec<u64> = Vec::new();
    for (index, now) in (100..700).step_by(50).enumerate() {
        let resources = Resources { cpu: 100, mem: 100, gpu: 0 };
        let spread = Step { worker_limit: 1, resources, ..step(2) };
        submit(&mut cell, now, index as u64 + 1, "q", vec![spread]);
        for (name, start) in starts(&mut cell, now + 1) {
            if *domain(&name) == *"b" {
                cell.on_start_outcome(
                    Millis(now + 3),
                    &name,
                    start.task,
                    start.run,
                    OrderOutcome::Done(None),
                );
                continue;
            }
            lost.push((now + 300, name, start));
            if now > 450 {
                late_starts.push(now);
            }
        }
        let (due, rest): (Vec<_>, Vec<_>) =
            lost.into_iter().partition(|(due, ..)| *due <= now + 50);
        lost = rest;
        for (_, name, start) in due {
            cell.on_start_outcome(
                Millis(now + 50),
                &name,
                start.task,
                start.run,
                OrderOutcome::Unknown,
            );
        }
    }
    assert_eq!(
        late_starts,
        Vec::<u64>::new(),
        "starts into the domain after two were not answered"
    );
    // A worker that reports gets tasks again.
    cell.on_report(
        Millis(800),
        Millis(790),
        &"w3".into(),
        &WorkerReport { clock: 9, ..WorkerReport::default() },
    );
    submit(&mut cell, 801, 99, "q", vec![step(4)]);
    assert!(starts(&mut cell, 802).iter().any(|(name, _)| **name == *"w3"));
}

#[test]
fn an_owner_that_a_worker_refuses_for_a_higher_fence_is_deposed_at_once() {
    let deposed = |cell: &mut Cell| cell.take_actions().contains(&Action::Deposed);
    let fence = Refusal::StaleFence;
    let mut by_report = cell(&[list_entry("w1", "a")]);
    by_report.on_missing_report(Millis(10), &"w1".into(), &ReportError::Refused(fence));
    assert!(deposed(&mut by_report));
    let mut by_start = cell(&[list_entry("w1", "a")]);
    submit(&mut by_start, 10, 1, "q", vec![step(1)]);
    let (name, start) = starts(&mut by_start, 11).remove(0);
    by_start.on_start_outcome(
        Millis(12),
        &name,
        start.task,
        start.run,
        OrderOutcome::Refused(fence),
    );
    assert!(deposed(&mut by_start));
    let mut by_stop = cell(&[list_entry("w1", "a")]);
    by_stop.on_stop_outcome(Millis(12), &name, start.task, start.run, OrderOutcome::Refused(fence));
    assert!(deposed(&mut by_stop));
}

#[test]
fn workers_that_already_run_the_step_do_not_keep_others_from_being_asked_about() {
    let advice = AdviceConfig {
        base_latency: Millis(20),
        worker_micros: 10_000,
        ticket_validity: Millis(2_000),
    };
    let advised = Arc::new(Queue { advice: Some(advice), ..(*queue("q", 0)).clone() });
    let mut cell = cell(&[list_entry("w1", "a"), list_entry("w2", "a"), list_entry("w3", "a")]);
    cell.set_queues(HashMap::from([("q".into(), advised)]));
    cell.add_entry("e".into(), true);
    let apart = Step { worker_limit: 1, long_running: true, ..step(2) };
    let key = submit(&mut cell, 10, 1, "q", vec![apart]);
    let step_key = sprucerudder::workload::StepKey { job: key, repetition: 0, step: 0 };
    assert_eq!(asked_workers(&mut cell, 11).len(), 3);
    // Two are cleared and run a task each; nothing is known of the third.
    let cleared: Vec<Name> = vec!["w1".into(), "w2".into()];
    let tickets = cleared.iter().map(|name| (name.clone(), "ticket".into())).collect();
    let answer = sprucerudder::order::ClearedWorkers { tickets, valid_for: None };
    cell.handle_advice(Millis(100), &"e".into(), step_key, &cleared, Some(answer));
    let first = starts(&mut cell, 101);
    assert_eq!(first.len(), 2);
    confirm_starts(&mut cell, 102, &first);
    // Long after the tickets expired one of the two is lost, and the other may not run a second
    // task.
    cell.set_workers(Millis(0), vec![list_entry("w1", "a"), list_entry("w3", "a")]);
    cell.remove_worker(Millis(0), &"w2".into(), RemovalReason::Replaced);
    cell.tick(Millis(9_000), Millis(9_000));
    assert_eq!(asked_workers(&mut cell, 9_001), vec!["w3".into()]);
}

#[test]
fn a_gang_asks_about_more_workers_while_the_cleared_ones_cannot_hold_all_of_it() {
    let advice = AdviceConfig {
        base_latency: Millis(20),
        worker_micros: 10_000,
        ticket_validity: Millis(2_000),
    };
    let advised = Arc::new(Queue { advice: Some(advice), ..(*queue("q", 0)).clone() });
    let workers: Vec<WorkerInfo> =
        (0..12).map(|index| list_entry(&format!("w{index}"), "a")).collect();
    let mut cell = cell(&workers);
    cell.set_queues(HashMap::from([("q".into(), advised)]));
    cell.add_entry("e".into(), true);
    // Each worker holds one task of the gang.
    let resources = Resources { cpu: 4_000, mem: 4_000, gpu: 0 };
    let gang = Step { is_gang: true, resources, ..step(4) };
    let key = submit(&mut cell, 10, 1, "q", vec![gang]);
    let step_key = sprucerudder::workload::StepKey { job: key, repetition: 0, step: 0 };
    let answer = |cell: &mut Cell, now: u64, asked: &[Name], cleared: usize| {
        let cleared = asked.iter().take(cleared);
        let tickets = cleared.map(|name| (name.clone(), "ticket".into())).collect();
        let answer = sprucerudder::order::ClearedWorkers { tickets, valid_for: None };
        cell.handle_advice(Millis(now), &"e".into(), step_key, asked, Some(answer));
    };
    let first = asked_workers(&mut cell, 11);
    assert_eq!(first.len(), 8);
    answer(&mut cell, 100, &first, 2);
    // Two cleared workers have room, but the gang needs four: the others are asked about.
    cell.tick(Millis(400), Millis(400));
    let second = asked_workers(&mut cell, 401);
    assert_eq!(second.len(), 4);
    assert!(second.iter().all(|name| !first.contains(name)), "{second:?} after {first:?}");
    answer(&mut cell, 500, &second, 2);
    assert_eq!(starts(&mut cell, 501).len(), 4);
}

#[test]
fn a_gang_starts_though_two_questions_take_longer_than_a_ticket_is_valid() {
    let advice = AdviceConfig {
        base_latency: Millis(1_000),
        worker_micros: 10_000,
        ticket_validity: Millis(2_000),
    };
    let advised = Arc::new(Queue { advice: Some(advice), ..(*queue("q", 0)).clone() });
    let workers: Vec<WorkerInfo> =
        (0..150).map(|index| list_entry(&format!("w{index:03}"), "a")).collect();
    let mut cell = cell(&workers);
    cell.set_queues(HashMap::from([("q".into(), advised)]));
    cell.add_entry("e".into(), true);
    // One worker in ten is cleared, and each holds one task of the gang.
    let is_cleared = |name: &Name| name.ends_with('7');
    let resources = Resources { cpu: 4_000, mem: 4_000, gpu: 0 };
    let gang = Step { is_gang: true, resources, ..step(12) };
    let key = submit(&mut cell, 10, 1, "q", vec![gang]);
    let step_key = sprucerudder::workload::StepKey { job: key, repetition: 0, step: 0 };
    let mut now = 11;
    let mut started = 0;
    while started == 0 && now < 20_000 {
        let asked = asked_workers(&mut cell, now);
        // A question takes 1.3 s, even if it names few workers.
        now += 1_300;
        let cleared = asked.iter().filter(|name| is_cleared(name));
        let tickets = cleared.map(|name| (name.clone(), "ticket".into())).collect();
        let answer = sprucerudder::order::ClearedWorkers { tickets, valid_for: None };
        cell.handle_advice(Millis(now), &"e".into(), step_key, &asked, Some(answer));
        started = starts(&mut cell, now).len();
        now += 300;
        cell.tick(Millis(now), Millis(now));
    }
    assert_eq!(started, 12, "at {now} ms");
}

/// What the store holds after everything that the cell wrote.
fn stored(cell: &mut Cell, now: u64) -> Snapshot {
    let mut snapshot = Snapshot::default();
    while let Some(batch) = cell.take_batch(Millis(now)) {
        cell.mark_stored(Millis(now), batch.number);
        for (key, value) in batch.records {
            snapshot.apply(&key, &value).unwrap();
        }
    }
    snapshot
}

#[test]
fn a_forwarded_job_stays_in_the_other_cell_for_every_later_owner() {
    let mut first = cell(&[list_entry("w1", "a")]);
    first.forward_job(JobKey(7), 2);
    assert_eq!(first.forwarded_to(JobKey(7)), None, "not before the store has it");
    let snapshot = stored(&mut first, 10);
    assert_eq!(first.forwarded_to(JobKey(7)), Some(2));
    let bounds = CellConfig {
        lease: LEASE,
        max_lease: LEASE,
        job_retention: Millis(100_000),
        disabled: DisabledMechanisms::default(),
        memory: None,
    };
    let queues = HashMap::from([("q".into(), queue("q", 0))]);
    let mut next = Cell::new(2, bounds, queues, snapshot, false, Millis(0));
    assert_eq!(next.forwarded_to(JobKey(7)), Some(2));
    assert!(next.knows_job(JobKey(7)));
    assert_eq!(next.job_state(JobKey(7)), None, "it does not run here");
    // Once the other cell has forgotten the job, it is a new one.
    next.forget_forwarded(JobKey(7));
    let left = stored(&mut next, 20);
    assert!(left.jobs.is_empty(), "{left:?}");
    assert!(!next.knows_job(JobKey(7)));
}

#[test]
fn a_job_is_not_forwarded_if_the_store_rejected_the_record() {
    let mut cell = cell(&[list_entry("w1", "a")]);
    cell.forward_job(JobKey(7), 2);
    let batch = cell.take_batch(Millis(10)).unwrap();
    assert_eq!(cell.withdraw_batch(batch.number), vec![JobKey(7)]);
    cell.mark_stored(Millis(20), batch.number);
    assert_eq!(cell.forwarded_to(JobKey(7)), None);
    assert!(!cell.knows_job(JobKey(7)));
    assert!(stored(&mut cell, 30).jobs.is_empty());
}

#[test]
fn an_overloaded_owner_considers_no_worker_lost() {
    let mut cell = cell(&[list_entry("w1", "a"), list_entry("w2", "a")]);
    submit(&mut cell, 10, 1, "q", vec![step(1)]);
    let first = starts(&mut cell, 11);
    confirm_starts(&mut cell, 12, &first);
    let name = first[0].0.clone();
    let silent = ReportError::NoReply("no answer".into());
    cell.set_overloaded(true);
    for now in (1_000..20_000).step_by(500) {
        cell.on_missing_report(Millis(now), &name, &silent);
        cell.tick(Millis(now), Millis(now));
        assert_eq!(starts(&mut cell, now), vec![], "at {now}");
    }
    // The worker had answered all the time: the task was done long ago.
    let (task, run) = (first[0].1.task, first[0].1.run);
    cell.on_report(
        Millis(20_000),
        Millis(19_900),
        &name,
        &end_report(1, task, run, EndReason::Done),
    );
    write_batches(&mut cell, 20_001);
    cell.set_overloaded(false);
    cell.tick(Millis(20_100), Millis(20_100));
    assert_eq!(starts(&mut cell, 20_101), vec![]);
    assert_eq!(
        cell.job_state(JobKey(1)),
        Some(JobState::Closed(sprucerudder::cell::records::journal::JobOutcome::Completed))
    );
}

/// A VM was suspended for 20 s with its owner. By the monotonic clock no time had passed, and the
/// owner continued with what it knew of its workers: one had lost capacity, one ran what the next
/// owner had started.
#[test]
fn an_owner_that_was_suspended_starts_nothing_before_list_and_reports_are_refreshed() {
    let mut cell = cell(&[list_entry("w1", "a")]);
    let key = submit(&mut cell, 10, 1, "q", vec![step(1)]);
    cell.schedule(Millis(11));
    let batch = cell.take_batch(Millis(11)).expect("the binding");
    cell.resume_after_pause(Millis(20_000));
    cell.mark_stored(Millis(20_000), batch.number);
    assert_eq!(starts(&mut cell, 20_001), Vec::new(), "it was decided before the pause");
    let answer = WorkerReport { clock: 21_000, ..WorkerReport::default() };
    cell.on_report(Millis(20_002), Millis(19_000), &"w1".into(), &answer);
    assert_eq!(
        starts(&mut cell, 20_003),
        Vec::new(),
        "neither list nor report have been refreshed"
    );
    cell.set_workers(Millis(0), vec![list_entry("w1", "a")]);
    assert_eq!(starts(&mut cell, 20_004), Vec::new(), "the report was requested during the pause");
    cell.on_report(Millis(20_006), Millis(20_005), &"w1".into(), &answer);
    let started = starts(&mut cell, 20_007);
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].1.task.step.job, key);
}

/// Nine jobs waited, and three were counted as pending: the starts of the others had been sent to a
/// failure domain a moment after it had been partitioned, and were taken for begun until their
/// leases had expired, 6 s later. "MIXED at 38.993 s: 3 jobs are said to wait; 9 have waited since
/// 33.986".
#[test]
fn a_job_whose_starts_were_not_answered_is_counted_as_pending() {
    let mut cell = cell(&[list_entry("w1", "a")]);
    submit(&mut cell, 10, 1, "q", vec![step(1)]);
    let started = starts(&mut cell, 11);
    assert_eq!(cell.pending_jobs("q"), 1, "nothing is known to have begun");
    let (worker, start) = &started[0];
    cell.on_start_outcome(Millis(400), worker, start.task, start.run, OrderOutcome::Unknown);
    assert_eq!(cell.pending_jobs("q"), 1);
    let report = WorkerReport {
        running: vec![running_row(start.task, start.run)],
        ..WorkerReport::default()
    };
    cell.on_report(Millis(500), Millis(450), worker, &report);
    assert_eq!(cell.pending_jobs("q"), 0, "the worker runs it");
}

/// During a store outage a task failed and started again on another worker; neither was recorded.
/// The next owner read the older binding, took the newer run for an unwanted one and had it
/// stopped. Then the older run's end was reported, and the task started a third time 158 ms before
/// the stop was done: "run 28674 on i-0b57e6f7ee 23.865 s to 26.116 s: stopped, run 64513 on
/// i-78a1168610 from 25.958 s".
#[test]
fn a_new_owner_adopts_a_run_that_is_newer_than_the_recorded_one() {
    let workers = [list_entry("w1", "a"), list_entry("w2", "a"), list_entry("w3", "a")];
    let (at, other) = (&workers[0].id, &workers[1].id);
    let task = TaskKey { step: StepKey { job: JobKey(1), repetition: 0, step: 0 }, index: 0 };
    let assignment = Some((1_025, at.clone()));
    let note = TaskProgress { index: 0, failed: Vec::new(), checkpoint: "".into(), assignment };
    let step_note = StepProgress { step_index: (0, 0), done: Vec::new(), tasks: vec![note] };
    let record = JobRecord::Open { queue: (*queue("q", 0)).clone(), work: work(vec![step(1)]) };
    let member = |one: &WorkerInfo| WorkerRecord {
        id: one.id.clone(),
        service: one.service.clone(),
        addr: one.addr.clone(),
    };
    let mut snapshot = Snapshot::default();
    snapshot.jobs.insert(task.step.job, record);
    snapshot.progress.insert(task.step.job, Progress { steps: vec![step_note] });
    snapshot.workers = workers.iter().map(member).collect();
    let bounds = CellConfig {
        lease: LEASE,
        max_lease: LEASE,
        job_retention: Millis(100_000),
        disabled: DisabledMechanisms::default(),
        memory: None,
    };
    let queues = HashMap::from([("q".into(), queue("q", 0))]);
    let mut next = Cell::new(2, bounds, queues, snapshot, true, Millis(1_000));
    next.set_workers(Millis(0), workers.to_vec());
    write_batches(&mut next, 1_000);
    for worker in &workers {
        next.report_call(Millis(1_001), &worker.id, true);
    }
    let newer = vec![running_row(task, 1_026)];
    let report = WorkerReport { clock: 1_000, running: newer, ..WorkerReport::default() };
    next.on_report(Millis(1_003), Millis(1_002), other, &report);
    let end = end_report(1, task, 1_025, EndReason::Failed);
    next.on_report(Millis(1_004), Millis(1_002), at, &end);
    next.on_report(Millis(1_005), Millis(1_002), &workers[2].id, &WorkerReport::default());
    next.tick(Millis(1_100), Millis(1_100));
    next.schedule(Millis(1_101));
    write_batches(&mut next, 1_101);
    let orders = next.take_actions();
    let is_unwanted = |action: &&Action| match action {
        Action::Start { .. } => true,
        Action::Stop { run, .. } => *run == 1_026,
        _ => false,
    };
    assert_eq!(orders.iter().filter(is_unwanted).collect::<Vec<_>>(), Vec::<&Action>::new());
}

#[test]
fn starts_that_were_recorded_during_a_pause_are_dropped() {
    // The store's answer was handled before the pause was noticed, and the start was sent seconds
    // after it had been decided: a worker that had restarted meanwhile ran the task twice.
    let mut cell = cell(&[list_entry("w1", "a")]);
    submit(&mut cell, 10, 1, "q", vec![step(1)]);
    cell.schedule(Millis(11));
    let batch = cell.take_batch(Millis(11)).expect("the binding");
    cell.mark_stored(Millis(20_000), batch.number);
    cell.resume_after_pause(Millis(20_000));
    let is_start = |action: &Action| matches!(action, Action::Start { .. });
    assert!(!cell.take_actions().iter().any(is_start));
}

#[test]
fn an_owner_without_authority_drops_its_starts_and_decides_them_again() {
    let mut cell = cell(&[list_entry("w1", "a")]);
    submit(&mut cell, 10, 1, "q", vec![step(1)]);
    cell.schedule(Millis(11));
    write_batches(&mut cell, 12);
    cell.give_up_starts("no-authority");
    let is_start = |action: &Action| matches!(action, Action::Start { .. });
    assert!(!cell.take_actions().iter().any(is_start));
    let retried = starts(&mut cell, 13);
    assert_eq!(retried.len(), 1);
    assert!(retried[0].1.run > 1_025, "{}", retried[0].1.run);
}

#[test]
fn a_task_that_waits_for_a_worker_to_have_stayed_up_delays_no_other() {
    // The first waiting task of a step had two crashes, and the only worker had just started: no
    // task of the step was placed until the worker had been up for long enough.
    let crash = |index: u32| Crash {
        worker: Incarnation { id: format!("gone{index}").into(), started_at: None },
        addr: format!("gone{index}").into(),
        evidence: Evidence::Doubtful,
        is_confirmed: true,
    };
    let note = TaskCrashes { step_index: (0, 0), index: 0, crashes: vec![crash(1), crash(2)] };
    let record = JobRecord::Open { queue: (*queue("q", 0)).clone(), work: work(vec![step(2)]) };
    let mut snapshot = Snapshot::default();
    for (key, value) in
        [journal::put_job(JobKey(1), &record), journal::put_crashes(JobKey(1), &[note])]
    {
        snapshot.apply(&key, &value).unwrap();
    }
    let bounds = CellConfig {
        lease: LEASE,
        max_lease: LEASE,
        job_retention: Millis(100_000),
        disabled: DisabledMechanisms::default(),
        memory: None,
    };
    let queues = HashMap::from([("q".into(), queue("q", 0))]);
    let mut cell = Cell::new(2, bounds, queues, snapshot, false, Millis(0));
    cell.set_workers(Millis(0), vec![list_entry("w1", "a")]);
    write_batches(&mut cell, 1);
    let w1: Name = "w1".into();
    cell.report_call(Millis(2), &w1, true);
    cell.on_report(
        Millis(3),
        Millis(2),
        &w1,
        &WorkerReport { clock: 1_000, ..WorkerReport::default() },
    );
    let started = starts(&mut cell, 4);
    let indices: Vec<u32> = started.iter().map(|(_, start)| start.task.index).collect();
    assert_eq!(indices, [1]);
}
