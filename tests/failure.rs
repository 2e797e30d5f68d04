//! Real kills, pauses and outages, in separate processes. Every wait is for an event.

mod common;

use common::{Cell, EXAMPLE_TABLE, NILEWIRE_TOKEN, OPERATOR_TOKEN, VIESTISILTA_TOKEN};
use hyper::Method;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use sprucerudder::trace::EventKind;

const SHARD: &str = "nasr-hall-a";

fn build(run: u64) -> Value {
    json!({"kind": "build", "cpu": 2000, "mem": 1000, "run": run})
}

/// The owner of the first shard, and the other entry of its failure domain.
async fn owner_and_other(cell: &Cell) -> (String, String) {
    let owner = cell.owners("pasila-1").await[SHARD].clone();
    let other = if owner == "nasr-hall-1" { "nasr-hall-2" } else { "nasr-hall-1" };
    (owner, other.to_string())
}

#[tokio::test]
async fn killed_and_paused_owners_are_replaced_and_tasks_run_once() {
    let mut cell = Cell::start("kill").await;
    cell.publish_table_and_wait().await;
    let (owner, other) = owner_and_other(&cell).await;
    let running = cell.submit(&other, NILEWIRE_TOKEN, build(8_000)).await;
    cell.wait_for_job(&other, &running, "running").await;
    cell.entries[&owner].signal(Signal::SIGKILL);
    cell.wait_until("take-over", async || cell.owners(&other).await.get(SHARD) == Some(&other))
        .await;
    let after = cell.submit(&other, NILEWIRE_TOKEN, build(200)).await;
    cell.wait_for_job(&other, &after, "ended").await;
    let state = cell.wait_for_job(&other, &running, "ended").await;
    assert_eq!(state["ended"], json!({"done": 1}));
    cell.entries.remove(&owner);
    cell.start_entry(&owner);
    cell.wait_until("back", async || cell.owners(&owner).await.len() == 2).await;
    pause_owner(&mut cell).await;
    cell.check_invariants().await;
}

/// The same once more, with a pause longer than the suspicion.
async fn pause_owner(cell: &mut Cell) {
    let (owner, other) = owner_and_other(cell).await;
    let running = cell.submit(&other, NILEWIRE_TOKEN, build(8_000)).await;
    cell.wait_for_job(&other, &running, "running").await;
    cell.entries[&owner].signal(Signal::SIGSTOP);
    cell.wait_until("take-over", async || cell.owners(&other).await.get(SHARD) == Some(&other))
        .await;
    let after = cell.submit(&other, NILEWIRE_TOKEN, build(200)).await;
    cell.wait_for_job(&other, &after, "ended").await;
    cell.entries[&owner].signal(Signal::SIGCONT);
    cell.wait_until("deposed", async || cell.has_event(&["event=deposed", &owner]).await).await;
    let state = cell.wait_for_job(&owner, &running, "ended").await;
    assert_eq!(state["ended"], json!({"done": 1}));
}

#[tokio::test]
async fn jobs_are_taken_and_run_while_the_log_is_down() {
    let mut cell = Cell::start("log").await;
    cell.publish_table_and_wait().await;
    cell.set_platform_faults(json!({"log_down": true})).await;
    cell.wait_until("log down", async || {
        cell.get("nasr-hall-1", "/v1/status").await["log"] == false
    })
    .await;
    let body = build(200);
    let (status, answer) =
        cell.call("nasr-hall-1", NILEWIRE_TOKEN, Method::POST, "/v1/jobs", body).await;
    assert_eq!((status, &answer["kept"]), (200, &json!("peer")));
    let id = answer["job"].as_str().expect("id").to_string();
    cell.wait_for_job("nasr-hall-2", &id, "ended").await;
    let (status, answer) = cell.publish("nasr-hall-1", 1, EXAMPLE_TABLE).await;
    assert_eq!((status, &answer["run"]), (503, &json!("unknown")));
    start_without_log(&mut cell).await;
    cell.set_platform_faults(json!({"log_down": false})).await;
    let (status, answer) = submit_until_logged(&cell).await;
    assert_eq!((status, answer["kept"].clone()), (200, json!("log")));
    cell.check_invariants().await;
}

/// An entry that starts while the log is down gets the table from a peer and serves.
async fn start_without_log(cell: &mut Cell) {
    cell.save_events("pasila-2").await;
    cell.entries["pasila-2"].signal(Signal::SIGKILL);
    cell.entries.remove("pasila-2");
    cell.start_entry("pasila-2");
    cell.wait_until("table", async || cell.get("pasila-2", "/v1/table").await["rev"] == 1).await;
}

async fn submit_until_logged(cell: &Cell) -> (u16, Value) {
    let mut last = (0, Value::Null);
    cell.wait_until("log up", async || {
        last = cell.call("nasr-hall-1", NILEWIRE_TOKEN, Method::POST, "/v1/jobs", build(100)).await;
        last.1["kept"] == "log"
    })
    .await;
    last
}

#[tokio::test]
async fn of_racing_tables_one_wins_everywhere() {
    let cell = Cell::start("race").await;
    cell.publish_table_and_wait().await;
    let one = EXAMPLE_TABLE.replace("batch,50,", "batch,51,");
    let two = EXAMPLE_TABLE.replace("batch,50,", "batch,52,");
    let (a, b) =
        tokio::join!(cell.publish("nasr-hall-1", 1, &one), cell.publish("pasila-1", 1, &two));
    let mut both = [a, b];
    both.sort_by_key(|(status, _)| *status);
    assert_eq!((both[0].0, both[1].0), (200, 409), "{both:?}");
    assert_eq!(both[1].1["rev"], 2);
    cell.set_platform_faults(json!({"lose_replies": 2})).await;
    let (status, answer) = cell.publish("nasr-hall-2", 2, &one).await;
    assert_eq!((status, &answer["rev"]), (200, &json!(3)), "a lost reply is no second publish");
    for entry in cell.entries.keys() {
        cell.wait_until("rev 3", async || cell.get(entry, "/v1/table").await["rev"] == 3).await;
    }
    let wrong = EXAMPLE_TABLE.replace("batch,50,", "batch,many,");
    let (status, answer) = cell.publish("nasr-hall-2", 3, &wrong).await;
    assert_eq!((status, answer["faults"][0]["column"].as_str()), (422, Some("weight")));
    cell.check_invariants().await;
}

#[tokio::test]
async fn a_planned_stop_cuts_no_request_and_hands_shards_over() {
    let mut cell = Cell::start("stop").await;
    cell.publish_table_and_wait().await;
    let (owner, other) = owner_and_other(&cell).await;
    let service = json!({"kind": "ingest", "cpu": 1000, "mem": 100, "run": 0});
    let service = cell.submit(&other, NILEWIRE_TOKEN, service).await;
    cell.wait_for_job(&other, &service, "running").await;
    let slow = [("work-millis", "2500")];
    let request = cell.request(&owner, "preview", &slow, "late page");
    let stop = async {
        cell.wait_until("sent", async || cell.has_event(&["event=request-sent", &owner]).await)
            .await;
        cell.entries[&owner].signal(Signal::SIGTERM);
    };
    let (answer, ()) = tokio::join!(request, stop);
    assert_eq!(answer, (200, "preview:late page".to_string()));
    let status = cell.entries.get_mut(&owner).expect("entry").wait();
    assert!(status.success(), "{status}");
    cell.entries.remove(&owner);
    cell.wait_until("take-over", async || cell.owners(&other).await.get(SHARD) == Some(&other))
        .await;
    cell.wait_for_job(&other, &service, "running").await;
    assert_eq!(cell.job(&other, &service).await["running"], 1);
    let path = format!("/v1/jobs/{service}");
    let (status, _) = cell.call(&other, NILEWIRE_TOKEN, Method::DELETE, &path, Value::Null).await;
    assert_eq!(status, 200);
    cell.check_invariants().await;
}

#[tokio::test]
async fn a_planned_stop_while_the_log_is_down_hands_shards_over() {
    let mut cell = Cell::start("handover").await;
    cell.publish_table_and_wait().await;
    let (owner, other) = owner_and_other(&cell).await;
    let service = json!({"kind": "ingest", "cpu": 1000, "mem": 100, "run": 0});
    let service = cell.submit(&owner, NILEWIRE_TOKEN, service).await;
    cell.wait_for_job(&other, &service, "running").await;
    cell.set_platform_faults(json!({"log_down": true})).await;
    for entry in [&owner, &other] {
        cell.wait_until("down", async || cell.get(entry, "/v1/status").await["log"] == false).await;
    }
    cell.stop_entry(&owner).await;
    cell.wait_until("owner", async || cell.owners(&other).await.get(SHARD) == Some(&other)).await;
    assert_eq!(cell.get(&other, "/v1/status").await["log"], false, "the log is down still");
    assert_eq!(cell.job("pasila-1", &service).await["running"], 1, "its state, at any entry");
    assert_eq!(cell.request(&other, "preview", &[], "page").await.0, 200);
    cell.set_platform_faults(json!({"log_down": false})).await;
    let built = cell.submit(&other, NILEWIRE_TOKEN, build(100)).await;
    cell.wait_for_job("pasila-1", &built, "ended").await;
    let from = format!("from={owner}");
    assert!(cell.has_event(&["event=succeeded", &from, &format!("who={other}")]).await);
    cell.check_invariants().await;
}

#[tokio::test]
async fn lost_workers_and_keys_used_twice() {
    let mut cell = Cell::start("worker").await;
    cell.publish_table_and_wait().await;
    let once = json!({"kind": "campaign", "tasks": 2, "cpu": 8000, "mem": 100, "run": 60000});
    let again = json!({"kind": "build", "tasks": 1, "cpu": 100, "mem": 100, "run": 4000});
    let once = cell.submit("pasila-1", VIESTISILTA_TOKEN, once).await;
    let shard = once.split('.').next().expect("shard").to_string();
    cell.wait_until("both run", async || cell.job("pasila-1", &once).await["running"] == 2).await;
    let domain = shard.trim_end_matches("-a").to_string();
    let lost = format!("{domain}-w1");
    cell.workers.remove(&lost);
    let list = cell.vm_list(2);
    cell.post(cell.platform.addr, "/set/list", &list).await.expect("list");
    cell.wait_until("one unknown", async || {
        cell.job("pasila-1", &once).await["ended"] == json!({"unknown": 1})
    })
    .await;
    assert_eq!(cell.job("pasila-1", &once).await["running"], 1, "the other one runs on");
    let again = cell.submit("pasila-1", NILEWIRE_TOKEN, again).await;
    let path = format!("/v1/jobs/{once}");
    cell.call("pasila-1", OPERATOR_TOKEN, Method::DELETE, &path, Value::Null).await;
    cell.wait_for_job("pasila-1", &again, "ended").await;
    keys(&cell).await;
    cell.check_invariants().await;
}

/// The same idempotency key through two entries runs a request at most once, and makes one job.
async fn keys(cell: &Cell) {
    let headers = [("idempotency-key", "step-7")];
    let mut first = (0, String::new());
    cell.wait_until("first", async || {
        first = cell.request("nasr-hall-1", "ingest-step", &headers, "x").await;
        first.0 == 200
    })
    .await;
    let second = cell.request("pasila-2", "ingest-step", &headers, "x").await;
    assert_eq!(second.0, 409, "{}", second.1);
    assert!(second.1.contains("\"run\":\"unknown\""), "{}", second.1);
    let auth = format!("Bearer {NILEWIRE_TOKEN}");
    let mut jobs = Vec::new();
    for entry in ["nasr-hall-1", "pasila-2"] {
        let headers = [
            ("authorization", &*auth),
            ("content-type", "application/json"),
            ("idempotency-key", "edition-9"),
        ];
        let body = build(100).to_string();
        let answer = cell.send(cell.addr(entry), Method::POST, "/v1/jobs", &headers, body).await;
        let answer = answer.expect("answer");
        let value: Value = serde_json::from_slice(&answer.body).expect("json");
        jobs.push(value["job"].clone());
    }
    assert!(jobs[0].is_string() && jobs[0] == jobs[1], "{jobs:?}");
}

#[tokio::test]
async fn an_entry_that_starts_after_retention_learns_what_was_dropped() {
    let mut cell = Cell::start_with("retention", 3_000, json!({"log_refresh": 1_000})).await;
    cell.publish_table_and_wait().await;
    let (owner, other) = owner_and_other(&cell).await;
    let service = json!({"kind": "ingest", "cpu": 1000, "mem": 100, "run": 0});
    let service = cell.submit(&owner, NILEWIRE_TOKEN, service).await;
    cell.wait_for_job(&owner, &service, "running").await;
    let begin = json!({"from": 0, "max": 1, "wait": 0});
    cell.wait_until("records dropped", async || {
        let read = cell.post(cell.platform.addr, "/log/read", &begin).await;
        read.is_ok_and(|read| read["first"].as_u64() > Some(20))
    })
    .await;
    cell.save_events(&other).await;
    cell.entries[&other].signal(Signal::SIGKILL);
    cell.entries.remove(&other);
    cell.start_entry(&other);
    cell.wait_until("owners", async || cell.owners(&other).await.len() == 2).await;
    cell.wait_until("replica", async || is_replica(&cell, &owner, &other).await).await;
    let committed = cell.submit(&owner, NILEWIRE_TOKEN, build(100)).await;
    cell.wait_for_job(&owner, &committed, "ended").await;
    cell.save_events(&owner).await;
    cell.entries[&owner].signal(Signal::SIGKILL);
    cell.wait_until("take-over", async || cell.owners(&other).await.get(SHARD) == Some(&other))
        .await;
    cell.wait_for_job(&other, &service, "running").await;
    cell.check_invariants().await;
}

/// Whether the present run of `other` is the replica of the first shard, as its owner says.
async fn is_replica(cell: &Cell, owner: &str, other: &str) -> bool {
    let run = cell.get(other, "/v1/status").await["entry"].clone();
    let status = cell.get(owner, "/v1/status").await;
    let shards = status["shards"].as_array().cloned().unwrap_or_default();
    let shard = shards.into_iter().find(|shard| shard["shard"] == SHARD);
    shard.is_some_and(|shard| shard["replicas"] == json!([run]))
}

/// A cell of entries that speak only version 1 of the messages is replaced entry by entry; both
/// versions serve side by side.
#[tokio::test]
async fn a_cell_is_upgraded_entry_by_entry() {
    let mut cell = Cell::start_with("upgrade", 600_000, json!({"wire_version": 1})).await;
    cell.publish_table_and_wait().await;
    let service = json!({"kind": "ingest", "cpu": 1000, "mem": 100, "run": 0});
    let service = cell.submit("pasila-1", NILEWIRE_TOKEN, service).await;
    cell.wait_for_job("pasila-1", &service, "running").await;
    for name in cell.entries.keys().cloned().collect::<Vec<_>>() {
        cell.stop_entry(&name).await;
        cell.change_settings(&name, &json!({"wire_version": 2}));
        cell.start_entry(&name);
        cell.wait_until("table", async || cell.get(&name, "/v1/table").await["rev"] == 1).await;
        for entry in cell.entries.keys() {
            cell.wait_until("owners", async || cell.owners(entry).await.len() == 2).await;
        }
        let peers = async || cell.get(&name, "/v1/status").await["peers"].as_array().cloned();
        cell.wait_until("peers", async || peers().await.is_some_and(|peers| peers.len() == 3))
            .await;
        let built = cell.submit(&name, NILEWIRE_TOKEN, build(100)).await;
        cell.wait_for_job(&name, &built, "ended").await;
        assert_eq!(cell.job(&name, &service).await["running"], 1, "after {name}");
    }
    for version in ["version=1", "version=2"] {
        assert!(cell.has_event(&["event=peer-connected", version]).await, "{version}");
    }
    cell.check_invariants().await;
}

#[tokio::test]
async fn a_second_signal_stops_an_entry_at_once() {
    let mut cell = Cell::start("second").await;
    cell.publish_table_and_wait().await;
    let (owner, _) = owner_and_other(&cell).await;
    let slow = [("work-millis", "60000"), ("prefer", "wait=60")];
    let request = cell.request(&owner, "ingest-step", &slow, "x");
    let stop = async {
        cell.wait_until("sent", async || cell.has_event(&["event=request-sent", &owner]).await)
            .await;
        cell.entries[&owner].signal(Signal::SIGTERM);
        cell.wait_until("stopping", async || cell.has_event(&["event=stopping", &owner]).await)
            .await;
        cell.entries[&owner].signal(Signal::SIGTERM);
    };
    let (answer, ()) = tokio::join!(request, stop);
    assert_eq!(answer.0, 0, "no status, but a broken connection: {}", answer.1);
    let status = cell.entries.get_mut(&owner).expect("entry").wait();
    assert!(status.success(), "{status}");
}

/// How many tasks of these jobs run, as any entry says.
async fn running(cell: &Cell, jobs: &[String]) -> u64 {
    let mut sum = 0;
    for job in jobs {
        sum += cell.job("nasr-hall-1", job).await["running"].as_u64().unwrap_or(0);
    }
    sum
}

/// A row's limit and a team's quota hold in the whole cell, in whichever shards the tasks run, and
/// what one shard does not use another one gets.
#[tokio::test]
async fn limits_hold_over_all_shards() {
    let cell = Cell::start("limits").await;
    cell.publish_table_and_wait().await;
    let table = EXAMPLE_TABLE
        .replace("campaign,viestisilta,batch,10,100", "campaign,viestisilta,batch,10,3");
    let table = table.replace(
        "build,nilewire,batch,50,100,1000,60000,yes,2,10,0,0",
        "build,nilewire,batch,50,100,1000,60000,yes,2,10,0,5000",
    );
    assert_eq!(cell.publish("nasr-hall-1", 1, &table).await.0, 200);
    for name in cell.entries.keys() {
        cell.wait_until("rev 2", async || cell.get(name, "/v1/table").await["rev"] == 2).await;
    }
    let campaign = json!({"kind": "campaign", "tasks": 6, "cpu": 100, "mem": 100, "run": 60000});
    let builds = json!({"kind": "build", "tasks": 8, "cpu": 1000, "mem": 100, "run": 60000});
    let mut jobs = Vec::new();
    for entry in ["nasr-hall-1", "pasila-1"] {
        let campaign = cell.submit(entry, VIESTISILTA_TOKEN, campaign.clone()).await;
        jobs.push((campaign, cell.submit(entry, NILEWIRE_TOKEN, builds.clone()).await));
    }
    let (campaigns, builds): (Vec<_>, Vec<_>) = jobs.into_iter().unzip();
    assert_ne!(campaigns[0].split('.').next(), campaigns[1].split('.').next(), "two shards");
    cell.wait_until("all of the limit", async || running(&cell, &campaigns).await == 3).await;
    cell.wait_until("all of the quota", async || running(&cell, &builds).await == 5).await;
    let teams = json!(["nilewire waiting 11 running 5", "viestisilta waiting 9 running 3"]);
    let mut status = Value::Null;
    cell.wait_until("teams", async || {
        status = cell.get("nasr-hall-1", "/v1/status").await;
        status["teams"] == teams
    })
    .await;
    let runner = status["runners"][0].as_str().unwrap_or("").to_string();
    assert!(runner.starts_with("nasr-hall-r1 used 0 of "), "{runner}");
    let first = cell.job("nasr-hall-1", &campaigns[0]).await;
    let more = if first["running"] == 3 { &campaigns[0] } else { &campaigns[1] };
    let path = format!("/v1/jobs/{more}");
    cell.call("nasr-hall-1", OPERATOR_TOKEN, Method::DELETE, &path, Value::Null).await;
    cell.wait_for_job("nasr-hall-1", more, "cancelled").await;
    cell.wait_until("the other shard", async || running(&cell, &campaigns).await == 3).await;
    assert!(most_at_once(&cell, &campaigns).await <= 3);
    assert!(most_at_once(&cell, &builds).await <= 5);
    cell.check_invariants().await;
}

/// The most tasks of these jobs that workers ever ran at once, by the time line.
async fn most_at_once(cell: &Cell, jobs: &[String]) -> usize {
    let (mut now, mut most) = (0_usize, 0);
    for event in cell.timeline().await {
        match event.kind {
            EventKind::WorkerStartedTask { task, .. } if jobs.contains(&task.job.to_string()) => {
                now += 1
            }
            EventKind::WorkerEndedTask { task, .. } if jobs.contains(&task.job.to_string()) => {
                now -= 1
            }
            _ => {}
        }
        most = most.max(now);
    }
    most
}
