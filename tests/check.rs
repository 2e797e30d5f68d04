//! The timeline checker finds each violated invariant, and only that one.

use serde_json::{Value, json};
use sprucerudder::check::{Invariant, find_violations};
use sprucerudder::trace::Event;

/// Events from their processes and fields, with stamps that count from 1.
fn events(lines: &[(&str, Value)]) -> Vec<Event> {
    let event_of = |(at, (who, fields)): (u64, &(&str, Value))| {
        let mut event = fields.clone();
        event["at"] = json!(at);
        event["who"] = json!(who);
        serde_json::from_value(event).expect("event")
    };
    (1..).zip(lines).map(event_of).collect()
}

/// The violated invariants, each with the stamp of its event.
fn violations(lines: &[(&str, Value)]) -> Vec<(Invariant, u64)> {
    find_violations(&events(lines))
        .into_iter()
        .map(|violations| (violations.invariant, violations.event.at.0))
        .collect()
}

fn task(attempt: u32) -> Value {
    json!({"job": "r.00000000000000aa", "index": 0, "attempt": attempt})
}

fn worker_started(cpu: u32, attempt: u32, repeat: bool) -> Value {
    let size = |cpu| json!({"cpu": cpu, "mem": 1, "acc": 0});
    json!({
        "event": "worker-started", "task": task(attempt), "size": size(cpu), "total": size(4),
        "repeat": repeat,
    })
}

fn worker_ended(attempt: u32) -> Value {
    json!({"event": "worker-ended", "task": task(attempt), "outcome": "stopped"})
}

fn ownership_taken(epoch: u64) -> Value {
    json!({"event": "took-office", "shard": "r", "epoch": epoch, "from": "log"})
}

fn ownership_continued(from: &str) -> Value {
    json!({"event": "succeeded", "shard": "r", "epoch": 1, "from": from})
}

fn request_out(run: &str) -> Value {
    json!({"event": "request-out", "request": "q", "status": 503, "run": run, "waited": 1})
}

#[test]
fn tasks_run_once_in_one_place_within_capacity() {
    assert_eq!(violations(&[("w1", worker_started(5, 0, true))]), [(Invariant::Capacity, 1)]);
    let twice = [("w1", worker_started(1, 0, true)), ("w2", worker_started(1, 1, true))];
    assert_eq!(violations(&twice), [(Invariant::OnePlace, 2)]);
    let moved = [
        ("w1", worker_started(1, 0, true)),
        ("w1", worker_ended(0)),
        ("w2", worker_started(1, 1, true)),
    ];
    assert_eq!(violations(&moved), []);
    let again = [
        ("w1", worker_started(1, 0, false)),
        ("w1", worker_ended(0)),
        ("w2", worker_started(1, 1, false)),
    ];
    assert_eq!(violations(&again), [(Invariant::AtMostOnce, 3)]);
    let cancelled = json!({"event": "ended", "task": task(0), "outcome": "cancelled"});
    let ran = [("w1", worker_started(1, 0, true)), ("w1", worker_ended(0)), ("e1", cancelled)];
    assert_eq!(violations(&ran), [(Invariant::NotRun, 3)]);
}

#[test]
fn requests_run_and_get_a_response_once() {
    let ran = || json!({"event": "runner-ran", "request": "q"});
    let once = json!({"event": "request-in", "request": "q", "kind": "k", "repeat": false});
    assert_eq!(violations(&[("x", ran()), ("e1", request_out("unknown"))]), []);
    assert_eq!(violations(&[("x", ran()), ("e1", request_out("no"))]), [(Invariant::NotRun, 2)]);
    assert_eq!(violations(&[("e1", request_out("no")), ("x", ran())]), [(Invariant::NotRun, 2)]);
    assert_eq!(
        violations(&[("e1", request_out("no")), ("e2", request_out("no"))]),
        [(Invariant::OneAnswer, 2)]
    );
    let twice = [("e1", once), ("x", ran()), ("x", ran())];
    assert_eq!(violations(&twice), [(Invariant::AtMostOnce, 3)]);
}

#[test]
fn a_table_is_not_replaced_by_an_older_one() {
    let table = |rev: u64| json!({"event": "table-in-force", "rev": rev, "by": "op"});
    let up = json!({"event": "up", "role": "entry"});
    assert_eq!(violations(&[("e1", table(2)), ("e2", table(1)), ("e1", table(3))]), []);
    assert_eq!(violations(&[("e1", table(2)), ("e1", table(1))]), [(Invariant::NoOlderTable, 2)]);
    assert_eq!(violations(&[("e1", table(2)), ("e1", up), ("e1", table(1))]), []);
}

#[test]
fn a_shard_has_one_owner_in_an_epoch() {
    assert_eq!(violations(&[("e1", ownership_taken(1)), ("e2", ownership_taken(2))]), []);
    assert_eq!(
        violations(&[("e1", ownership_taken(1)), ("e2", ownership_taken(1))]),
        [(Invariant::OneOwner, 2)]
    );
    let handed_over =
        |to: &str| json!({"event": "handed-over", "shard": "r", "epoch": 1, "to": to});
    assert_eq!(
        violations(&[
            ("e1", ownership_taken(1)),
            ("e1", handed_over("e2")),
            ("e2", ownership_continued("e1"))
        ]),
        []
    );
    assert_eq!(
        violations(&[("e1", ownership_taken(1)), ("e2", ownership_continued("e1"))]),
        [],
        "events that were lost"
    );
    let two = [
        ("e1", ownership_taken(1)),
        ("e2", ownership_continued("e1")),
        ("e3", ownership_continued("e1")),
    ];
    assert_eq!(violations(&two), [(Invariant::OneOwner, 3)]);
    let stranger = [("e1", ownership_taken(1)), ("e2", handed_over("e2"))];
    assert_eq!(violations(&stranger), [(Invariant::OneOwner, 2)]);
}
