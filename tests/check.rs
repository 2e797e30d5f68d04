//! The checker of time lines finds each broken promise, and only that one.

use serde_json::{Value, json};
use sprucerudder::check::{Invariant, find_violations};
use sprucerudder::trace::Event;

/// Events from their process and fields, one a millisecond.
fn events(lines: &[(&str, Value)]) -> Vec<Event> {
    let line = |(at, (who, fields)): (u64, &(&str, Value))| {
        let mut event = fields.clone();
        event["at"] = json!(at);
        event["who"] = json!(who);
        serde_json::from_value(event).expect("event")
    };
    (1..).zip(lines).map(line).collect()
}

/// The promises that break, each with the place of its event.
fn broken(lines: &[(&str, Value)]) -> Vec<(Invariant, u64)> {
    find_violations(&events(lines))
        .into_iter()
        .map(|broken| (broken.invariant, broken.event.at.0))
        .collect()
}

fn task(attempt: u32) -> Value {
    json!({"job": "r.00000000000000aa", "index": 0, "attempt": attempt})
}

fn started(cpu: u32, attempt: u32, repeat: bool) -> Value {
    let size = |cpu| json!({"cpu": cpu, "mem": 1, "acc": 0});
    json!({
        "event": "worker-started", "task": task(attempt), "size": size(cpu), "total": size(4),
        "repeat": repeat,
    })
}

fn ended(attempt: u32) -> Value {
    json!({"event": "worker-ended", "task": task(attempt), "outcome": "stopped"})
}

fn took(epoch: u64) -> Value {
    json!({"event": "took-office", "shard": "r", "epoch": epoch, "from": "log"})
}

fn succeeded(from: &str) -> Value {
    json!({"event": "succeeded", "shard": "r", "epoch": 1, "from": from})
}

fn out(run: &str) -> Value {
    json!({"event": "request-out", "request": "q", "status": 503, "run": run, "waited": 1})
}

#[test]
fn tasks() {
    assert_eq!(broken(&[("w1", started(5, 0, true))]), [(Invariant::Capacity, 1)]);
    let twice = [("w1", started(1, 0, true)), ("w2", started(1, 1, true))];
    assert_eq!(broken(&twice), [(Invariant::OnePlace, 2)]);
    let moved = [("w1", started(1, 0, true)), ("w1", ended(0)), ("w2", started(1, 1, true))];
    assert_eq!(broken(&moved), []);
    let again = [("w1", started(1, 0, false)), ("w1", ended(0)), ("w2", started(1, 1, false))];
    assert_eq!(broken(&again), [(Invariant::AtMostOnce, 3)]);
    let cancelled = json!({"event": "ended", "task": task(0), "outcome": "cancelled"});
    let ran = [("w1", started(1, 0, true)), ("w1", ended(0)), ("e1", cancelled)];
    assert_eq!(broken(&ran), [(Invariant::NotRun, 3)]);
}

#[test]
fn requests() {
    let ran = || json!({"event": "runner-ran", "request": "q"});
    let once = json!({"event": "request-in", "request": "q", "kind": "k", "repeat": false});
    assert_eq!(broken(&[("x", ran()), ("e1", out("unknown"))]), []);
    assert_eq!(broken(&[("x", ran()), ("e1", out("no"))]), [(Invariant::NotRun, 2)]);
    assert_eq!(broken(&[("e1", out("no")), ("x", ran())]), [(Invariant::NotRun, 2)]);
    assert_eq!(broken(&[("e1", out("no")), ("e2", out("no"))]), [(Invariant::OneAnswer, 2)]);
    let twice = [("e1", once), ("x", ran()), ("x", ran())];
    assert_eq!(broken(&twice), [(Invariant::AtMostOnce, 3)]);
}

#[test]
fn tables() {
    let table = |rev: u64| json!({"event": "table-in-force", "rev": rev, "by": "op"});
    let up = json!({"event": "up", "role": "entry"});
    assert_eq!(broken(&[("e1", table(2)), ("e2", table(1)), ("e1", table(3))]), []);
    assert_eq!(broken(&[("e1", table(2)), ("e1", table(1))]), [(Invariant::NoOlderTable, 2)]);
    assert_eq!(broken(&[("e1", table(2)), ("e1", up), ("e1", table(1))]), []);
}

#[test]
fn owners() {
    assert_eq!(broken(&[("e1", took(1)), ("e2", took(2))]), []);
    assert_eq!(broken(&[("e1", took(1)), ("e2", took(1))]), [(Invariant::OneOwner, 2)]);
    let over = |to: &str| json!({"event": "handed-over", "shard": "r", "epoch": 1, "to": to});
    assert_eq!(broken(&[("e1", took(1)), ("e1", over("e2")), ("e2", succeeded("e1"))]), []);
    assert_eq!(broken(&[("e1", took(1)), ("e2", succeeded("e1"))]), [], "events that were lost");
    let two = [("e1", took(1)), ("e2", succeeded("e1")), ("e3", succeeded("e1"))];
    assert_eq!(broken(&two), [(Invariant::OneOwner, 3)]);
    let stranger = [("e1", took(1)), ("e2", over("e2"))];
    assert_eq!(broken(&stranger), [(Invariant::OneOwner, 2)]);
}
