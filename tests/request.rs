//! Requests while runners, entries or callers fail, in a cell of separate processes. A caller gets a
//! complete response or a visible error, `run: no` only if the request was not run, and a refusal
//! without delay.

mod common;

use common::{Cell, NILEWIRE_TOKEN};
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::TcpStream;

const ENTRY: &str = "nasr-hall-1";
const RUNNER: &str = "nasr-hall-r1";

/// Starts a cell and waits until its first entry serves preview requests.
async fn start_serving(name: &str) -> Cell {
    let cell = Cell::start(name).await;
    cell.publish_table_and_wait().await;
    cell.wait_until("preview", async || cell.request(ENTRY, "preview", &[], "x").await.0 == 200)
        .await;
    cell
}

async fn set_runner_faults(cell: &Cell, faults: Value) {
    let addr = cell.runners[RUNNER].addr;
    cell.post(addr, "/set/faults", &faults).await.expect("faults");
}

/// The status, reason and `run` of an error response.
fn parse_problem(answer: &(u16, String)) -> (u16, Value, Value) {
    let value: Value = serde_json::from_str(&answer.1).unwrap_or(Value::Null);
    (answer.0, value["reason"].clone(), value["run"].clone())
}

#[tokio::test]
async fn a_truncated_response_is_never_passed_on_as_complete() {
    let cell = start_serving("cut").await;
    set_runner_faults(&cell, json!({"cut": true})).await;
    let truncated = cell.request(ENTRY, "preview", &[], "a long page").await;
    assert_ne!(truncated.0, 200, "{}", truncated.1);
    assert_eq!(parse_problem(&truncated), (502, json!("broken-answer"), json!("unknown")));
    let step = cell.request(ENTRY, "ingest-step", &[("idempotency-key", "k1")], "x").await;
    assert_eq!(parse_problem(&step), (502, json!("broken-answer"), json!("unknown")));
    set_runner_faults(&cell, json!({})).await;
    let again = cell.request(ENTRY, "ingest-step", &[("idempotency-key", "k1")], "x").await;
    assert_eq!(parse_problem(&again), (409, json!("key-known"), json!("unknown")));
    cell.check_invariants().await;
}

#[tokio::test]
async fn a_killed_runner_gives_unknown_for_its_request_and_not_run_for_later_ones() {
    let mut cell = start_serving("dies").await;
    let slow = [("work-millis", "3000"), ("prefer", "wait=4")];
    let request = cell.request(ENTRY, "preview", &slow, "x");
    let kill = async {
        cell.wait_until("sent", async || cell.has_event(&["event=request-sent", ENTRY]).await)
            .await;
        cell.runners[RUNNER].signal(Signal::SIGKILL);
    };
    let (answer, ()) = tokio::join!(request, kill);
    let (status, reason, run) = parse_problem(&answer);
    assert!((502..=504).contains(&status) && run == "unknown", "{status} {reason} {run}");
    cell.runners.remove(RUNNER);
    let after = cell.request(ENTRY, "preview", &[("prefer", "wait=1")], "x").await;
    let (status, _, run) = parse_problem(&after);
    assert_eq!((status, run), (503, json!("no")));
    cell.check_invariants().await;
}

#[tokio::test]
async fn a_runner_that_is_leaving_gets_no_new_requests() {
    let cell = start_serving("leaving").await;
    set_runner_faults(&cell, json!({"leaving": true})).await;
    assert_eq!(cell.request(ENTRY, "preview", &[], "last").await.0, 200);
    let refused = cell.request(ENTRY, "preview", &[("prefer", "wait=0.5")], "new").await;
    assert_eq!(parse_problem(&refused), (503, json!("too-late"), json!("no")));
    let events = cell.timeline().await;
    let ran =
        events.iter().filter(|e| *e.process == *RUNNER && e.to_string().contains("runner-ran"));
    let sent = events.iter().filter(|e| e.to_string().contains(&format!("runner={RUNNER}")));
    assert_eq!(ran.count(), sent.count());
    cell.check_invariants().await;
}

#[tokio::test]
async fn requests_beyond_the_queue_are_refused_at_once_and_not_run() {
    let cell = start_serving("many").await;
    let slow = [("work-millis", "400"), ("prefer", "wait=2")];
    let calls = (0..150).map(|_| cell.request(ENTRY, "preview", &slow, "page"));
    let answers = futures_util::future::join_all(calls).await;
    let completed = answers.iter().filter(|answer| answer.0 == 200).count();
    let refused: Vec<_> =
        answers.iter().filter(|answer| answer.0 != 200).map(parse_problem).collect();
    assert!(
        completed > 0 && !refused.is_empty(),
        "{completed} completed, {} refused",
        refused.len()
    );
    for (status, reason, run) in refused {
        let expected = match status {
            429 | 503 => "no",
            504 => "unknown",
            _ => panic!("{status} {reason}"),
        };
        assert_eq!(run, expected, "{status} {reason}");
    }
    cell.check_invariants().await;
}

#[tokio::test]
async fn callers_of_a_killed_entry_get_an_error() {
    let cell = start_serving("killed").await;
    let slow = [("work-millis", "3000")];
    let request = cell.request(ENTRY, "preview", &slow, "x");
    let kill = async {
        cell.wait_until("sent", async || cell.has_event(&["event=request-sent", ENTRY]).await)
            .await;
        cell.entries[ENTRY].signal(Signal::SIGKILL);
    };
    let (answer, ()) = tokio::join!(request, kill);
    assert_eq!(answer.0, 0, "the connection must fail without a status: {}", answer.1);
}

#[tokio::test]
async fn malformed_and_slow_callers_delay_no_other_caller() {
    let cell = start_serving("callers").await;
    let addr = cell.addr(ENTRY);
    let head = format!(
        "POST /run/preview HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {NILEWIRE_TOKEN}\r\n\
         content-length: 1000\r\n\r\n"
    );
    let mut open = Vec::new();
    for _ in 0..80 {
        let mut stream = TcpStream::connect(addr).expect("connect");
        stream.write_all(head.as_bytes()).expect("head");
        open.push(stream);
    }
    assert_eq!(cell.request(ENTRY, "preview", &[], "page").await.0, 200);
    let mut stream = TcpStream::connect(addr).expect("connect");
    stream.write_all(b"nonsense\r\n\r\n").expect("write");
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    assert!(!String::from_utf8_lossy(&answer).contains("200 OK"));
    let large = "x".repeat(2_000_000);
    let refused = cell.request(ENTRY, "preview", &[], &large).await;
    assert_eq!(parse_problem(&refused), (413, json!("too-large"), json!("no")));
    let mut malformed = (0, Value::Null, Value::Null);
    cell.wait_until("a connection that the refusal did not close", async || {
        malformed = parse_problem(
            &cell.request(ENTRY, "preview", &[("work-repeat", "perhaps")], "x").await,
        );
        malformed.0 != 0
    })
    .await;
    assert_eq!(malformed, (400, json!("malformed"), json!("no")));
    let unknown = cell.request(ENTRY, "no-such-kind", &[], "x").await;
    assert_eq!(parse_problem(&unknown), (404, json!("unknown-kind"), json!("no")));
}
