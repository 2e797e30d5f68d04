//! Requests and jobs from submission to their end, in a cell of separate processes on loopback.

mod common;

use common::{Cell, NILEWIRE_TOKEN, VIESTISILTA_TOKEN};
use hyper::Method;
use serde_json::{Value, json};

#[tokio::test]
async fn serves_requests_and_jobs_end_to_end() {
    let cell = Cell::start("path").await;
    cell.publish_table_and_wait().await;
    check_requests(&cell).await;
    check_batch_job(&cell).await;
    check_gang_job(&cell).await;
    check_cancelled_job(&cell).await;
    check_team_isolation(&cell).await;
    check_invalid_jobs(&cell).await;
    for text in ["event=table-in-force", "event=request-sent", "event=worker-started"] {
        assert!(cell.has_event(&[text]).await, "{text}");
    }
    cell.check_invariants().await;
}

async fn check_requests(cell: &Cell) {
    for entry in cell.entries.keys() {
        let mut answer = (0, String::new());
        cell.wait_until("preview", async || {
            answer = cell.request(entry, "preview", &[], "page one").await;
            answer.0 == 200
        })
        .await;
        assert_eq!(answer.1, "preview:page one");
    }
}

async fn check_batch_job(cell: &Cell) {
    let job = json!({"kind": "build", "cpu": 2000, "mem": 1000, "acc": 1, "run": 300});
    let id = cell.submit("nasr-hall-1", NILEWIRE_TOKEN, job).await;
    let state = cell.wait_for_job("nasr-hall-2", &id, "ended").await;
    assert_eq!(state["ended"], json!({"done": 1}));
    let task = format!("task={id}/0#0");
    assert!(cell.has_event(&["event=worker-started", &task, "-w1"]).await, "{task}");
    assert!(cell.has_event(&["event=worker-ended", &task, "outcome=done"]).await);
}

async fn check_gang_job(cell: &Cell) {
    let big =
        json!({"kind": "build", "tasks": 4, "gang": true, "cpu": 4000, "mem": 1000, "run": 300});
    let id = cell.submit("pasila-1", NILEWIRE_TOKEN, big).await;
    let state = cell.wait_for_job("pasila-2", &id, "ended").await;
    assert_eq!(state["ended"], json!({"done": 4}));
    let never = json!({"kind": "build", "tasks": 5, "gang": true, "cpu": 4000, "mem": 1000});
    let (status, answer) =
        cell.call("pasila-1", NILEWIRE_TOKEN, Method::POST, "/v1/jobs", never).await;
    assert_eq!((status, &answer["reason"]), (422, &json!("never-fits")));
    assert_eq!(answer["run"], "no");
}

async fn check_cancelled_job(cell: &Cell) {
    let job = json!({"kind": "campaign", "tasks": 100, "cpu": 4000, "mem": 1000, "run": 60000});
    let id = cell.submit("pasila-1", VIESTISILTA_TOKEN, job).await;
    cell.wait_for_job("pasila-2", &id, "running").await;
    let path = format!("/v1/jobs/{id}");
    let (status, _) =
        cell.call("pasila-2", VIESTISILTA_TOKEN, Method::DELETE, &path, Value::Null).await;
    assert_eq!(status, 200);
    let state = cell.wait_for_job("pasila-1", &id, "cancelled").await;
    assert_eq!((&state["queued"], &state["running"]), (&json!(0), &json!(0)));
}

async fn check_invalid_jobs(cell: &Cell) {
    let good = json!({"kind": "build", "tasks": 1, "cpu": 100, "mem": 10, "run": 10});
    let changes = [
        ("kind", json!("no-such-kind"), 404),
        ("kind", json!("preview"), 404),
        ("kind", json!(5), 404),
        ("kind", json!([]), 400),
        ("tasks", json!(0), 422),
        ("tasks", json!(10_001), 422),
        ("tasks", json!(-1), 400),
        ("cpu", json!("many"), 400),
        ("cpu", json!(1_000_000), 422),
        ("mem", json!(null), 400),
        ("acc", json!(99), 422),
        ("run", json!(1.5), 400),
        ("gang", json!("yes"), 400),
        ("repeat", json!([]), 400),
    ];
    for (field, value, want) in changes {
        let mut job = good.clone();
        job[field] = value.clone();
        let (status, answer) =
            cell.call("nasr-hall-1", NILEWIRE_TOKEN, Method::POST, "/v1/jobs", job).await;
        assert_eq!((status, &answer["run"]), (want, &json!("no")), "{field}={value}: {answer}");
        assert!(answer["reason"].is_string(), "{answer}");
    }
}

async fn check_team_isolation(cell: &Cell) {
    let job = json!({"kind": "campaign", "cpu": 100, "mem": 10, "run": 10});
    let id = cell.submit("pasila-1", VIESTISILTA_TOKEN, job).await;
    let path = format!("/v1/jobs/{id}");
    let (status, _) = cell.call("pasila-1", NILEWIRE_TOKEN, Method::GET, &path, Value::Null).await;
    assert_eq!(status, 404, "a job must be hidden from other teams");
    let (status, _) = cell.call("pasila-1", "no-such-token", Method::GET, &path, Value::Null).await;
    assert_eq!(status, 401);
}
