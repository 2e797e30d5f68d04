//! Failure domains that the operators drain: what is started, given up and moved.
//!
//! Starts are decided, wait for the store, queue for a worker and are sent by different tasks of the
//! owner. A drained domain that only placement knows would still get what was decided before.

mod cells;

use cells::queue;
use sprucerudder::cell::mechanism::DisabledMechanisms;
use sprucerudder::cell::records::journal::Snapshot;
use sprucerudder::cell::{Action, Cell, CellConfig};
use sprucerudder::clock::Millis;
use sprucerudder::id::Name;
use sprucerudder::order::{OrderOutcome, StartOrder, WorkerInfo, WorkerReport};
use sprucerudder::platform::config::drained_domain;
use sprucerudder::workload::{JobDefinition, JobKey, Resources, Step, TaskKey};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// Workers that each have room for two tasks, three in each of the failure domains `a` and `b`.
const WORKERS: [(&str, &str); 6] =
    [("a1", "a"), ("a2", "a"), ("a3", "a"), ("b1", "b"), ("b2", "b"), ("b3", "b")];

fn listed(id: &str, domain: &str) -> WorkerInfo {
    WorkerInfo {
        id: id.into(),
        started_at: None,
        service: "s".into(),
        addr: id.into(),
        domain: domain.into(),
        capacity: Resources { cpu: 2_000, mem: 2_000, gpu: 0 },
        labels: vec!["kind".into(), "rack".into()],
        leaves_in: None,
    }
}

fn all_workers() -> Vec<WorkerInfo> {
    WORKERS.iter().map(|(id, domain)| listed(id, domain)).collect()
}

fn domains(names: &[&str]) -> Arc<BTreeSet<Name>> {
    Arc::new(names.iter().map(|name| Name::from(*name)).collect())
}

fn new_cell(epoch: u64, snapshot: Snapshot) -> Cell {
    let config = CellConfig {
        lease: Millis(6_000),
        max_lease: Millis(10_000),
        job_retention: Millis(100_000),
        disabled: DisabledMechanisms::default(),
        memory: None,
    };
    let queues = HashMap::from([("q".into(), queue())]);
    Cell::new(epoch, config, queues, snapshot, false, Millis(0))
}

/// A cell whose workers have all reported once.
fn cell() -> Cell {
    let mut cell = new_cell(1, Snapshot::default());
    cell.set_workers(Millis(0), all_workers());
    write_batches(&mut cell, 1);
    report_all(&mut cell);
    cell
}

fn report_all(cell: &mut Cell) {
    for (id, _) in WORKERS {
        let name: Name = id.into();
        cell.report_call(Millis(1), &name, true);
        let report = WorkerReport { clock: 1_000, ..WorkerReport::default() };
        cell.on_report(Millis(2), Millis(1), &name, &report);
    }
    cell.tick(Millis(3), Millis(3));
    cell.take_actions();
}

fn write_batches(cell: &mut Cell, now: u64) {
    while let Some(batch) = cell.take_batch(Millis(now)) {
        cell.mark_stored(Millis(now), batch.number);
    }
}

fn submit(cell: &mut Cell, now: u64, key: u64, step: Step) {
    let work = JobDefinition {
        payload: "t".into(),
        steps: vec![step],
        repetitions: 1,
        first_due: Millis(0),
        interval: Millis(0),
    };
    assert!(cell.submit(Millis(now), JobKey(key), "q", Arc::new(work)).is_some());
}

fn step(count: u32) -> Step {
    let resources = Resources { cpu: 1_000, mem: 1_000, gpu: 0 };
    Step { count, resources, estimate: Millis(1_000), ..Step::default() }
}

fn lasting(count: u32) -> Step {
    Step { long_running: true, ..step(count) }
}

fn take_starts(cell: &mut Cell) -> Vec<(Name, StartOrder)> {
    let actions = cell.take_actions().into_iter();
    let start = |action| match action {
        Action::Start { worker, start, .. } => Some((worker, start)),
        _ => None,
    };
    actions.filter_map(start).collect()
}

fn starts(cell: &mut Cell, now: u64) -> Vec<(Name, StartOrder)> {
    cell.schedule(Millis(now));
    write_batches(cell, now);
    take_starts(cell)
}

fn confirm(cell: &mut Cell, now: u64, started: &[(Name, StartOrder)]) {
    for (worker, start) in started {
        cell.on_start_outcome(Millis(now), worker, start.task, start.run, OrderOutcome::Done(None));
    }
}

fn stops(cell: &mut Cell) -> Vec<(Name, TaskKey)> {
    let actions = cell.take_actions().into_iter();
    let stop = |action| match action {
        Action::Stop { worker, task, .. } => Some((worker, task)),
        _ => None,
    };
    actions.filter_map(stop).collect()
}

fn all_in(started: &[(Name, StartOrder)], domain: &str) -> bool {
    started.iter().all(|(worker, _)| worker.starts_with(domain))
}

#[test]
fn only_records_of_that_kind_drain_a_domain() {
    // Other records of the operators must not be taken for a failure domain, nor may one without a
    // name drain the workers that are not listed yet, whose domain is empty.
    assert_eq!(drained_domain("evacuate/hall-1"), Some("hall-1".into()));
    assert_eq!(drained_domain("evacuate/"), None);
    assert_eq!(drained_domain("config"), None);
    assert_eq!(drained_domain("wave/evacuate/hall-1"), None);
}

#[test]
fn nothing_starts_in_a_drained_domain_until_it_is_restored() {
    // Placement took a drained failure domain for any other.
    let mut cell = cell();
    cell.set_drained_domains(domains(&["a"]));
    submit(&mut cell, 10, 1, step(12));
    let started = starts(&mut cell, 10);
    assert_eq!(started.len(), 6, "the room of domain b: {started:?}");
    assert!(all_in(&started, "b"), "{started:?}");
    cell.set_drained_domains(domains(&[]));
    let started = starts(&mut cell, 20);
    assert_eq!(started.len(), 6, "the rest after domain a was restored");
    assert!(all_in(&started, "a"), "{started:?}");
}

#[test]
fn no_start_is_left_when_every_domain_is_drained() {
    // A service whose failure domains are all drained has no worker to fall back on.
    let mut cell = cell();
    cell.set_drained_domains(domains(&["a", "b"]));
    submit(&mut cell, 10, 1, step(2));
    submit(&mut cell, 10, 2, Step { is_gang: true, ..step(2) });
    submit(&mut cell, 10, 3, lasting(1));
    for now in (10..20_000).step_by(100) {
        cell.tick(Millis(now), Millis(now));
        assert_eq!(starts(&mut cell, now), Vec::new(), "at {now} ms");
    }
}

#[test]
fn starts_that_wait_for_the_store_are_given_up() {
    // The domain is drained between the decision to start a task and the record of its binding.
    let mut cell = cell();
    submit(&mut cell, 10, 1, step(12));
    cell.schedule(Millis(10));
    cell.set_drained_domains(domains(&["a"]));
    write_batches(&mut cell, 11);
    let started = take_starts(&mut cell);
    assert_eq!(started.len(), 6, "{started:?}");
    assert!(all_in(&started, "b"), "{started:?}");
}

#[test]
fn starts_that_are_ready_to_be_sent_are_given_up() {
    // The domain is drained after the record of the binding, before the owner took the order.
    let mut cell = cell();
    submit(&mut cell, 10, 1, step(12));
    cell.schedule(Millis(10));
    write_batches(&mut cell, 11);
    cell.set_drained_domains(domains(&["a"]));
    let started = take_starts(&mut cell);
    assert_eq!(started.len(), 6, "{started:?}");
    assert!(all_in(&started, "b"), "{started:?}");
    assert!(cell.is_drained(&"a1".into()) && !cell.is_drained(&"b1".into()));
}

#[test]
fn tasks_that_end_by_themselves_go_on_in_a_drained_domain() {
    // A stop would throw away work that the workers go on with anyway.
    let mut cell = cell();
    submit(&mut cell, 10, 1, step(12));
    let started = starts(&mut cell, 10);
    confirm(&mut cell, 12, &started);
    cell.set_drained_domains(domains(&["a"]));
    cell.tick(Millis(100), Millis(100));
    assert_eq!(stops(&mut cell), Vec::new());
}

#[test]
fn lasting_tasks_are_moved_one_at_a_time() {
    // If all tasks of a step were stopped together, none of them would serve for a while.
    let mut cell = cell();
    submit(&mut cell, 10, 1, lasting(4));
    cell.set_drained_domains(domains(&["b"]));
    let started = starts(&mut cell, 10);
    assert!(all_in(&started, "a"), "{started:?}");
    confirm(&mut cell, 12, &started);
    cell.set_drained_domains(domains(&["a"]));
    cell.tick(Millis(100), Millis(100));
    assert_eq!(stops(&mut cell).len(), 1, "the first task");
    cell.tick(Millis(200), Millis(200));
    assert_eq!(stops(&mut cell).len(), 0, "the next one waits until the first one runs elsewhere");
}

#[test]
fn lasting_tasks_stay_while_there_is_no_room_elsewhere() {
    // A task that was stopped without room elsewhere would serve nobody.
    let mut cell = cell();
    cell.set_drained_domains(domains(&["b"]));
    submit(&mut cell, 10, 1, lasting(1));
    let started = starts(&mut cell, 10);
    confirm(&mut cell, 12, &started);
    cell.set_drained_domains(domains(&["a", "b"]));
    cell.tick(Millis(100), Millis(100));
    assert_eq!(stops(&mut cell), Vec::new());
}

#[test]
fn a_new_owner_starts_nothing_in_a_domain_that_was_drained_before() {
    // The records of a cell do not say which domains are drained, and workers that they name have no
    // domain until they are listed.
    let mut cell = new_cell(2, Snapshot::default());
    cell.set_drained_domains(domains(&["a"]));
    cell.set_workers(Millis(0), all_workers());
    write_batches(&mut cell, 1);
    report_all(&mut cell);
    submit(&mut cell, 10, 1, step(12));
    let started = starts(&mut cell, 10);
    assert_eq!(started.len(), 6, "{started:?}");
    assert!(all_in(&started, "b"), "{started:?}");
}
