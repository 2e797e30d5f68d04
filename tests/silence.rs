//! Connections that go silent for good, without a reset, while new ones work: between entries, to the
//! store and to workers; and an owner that falls silent while a caller waits.

#[path = "soak/cell.rs"]
#[allow(dead_code)]
mod cell;
#[path = "soak/proxy.rs"]
#[allow(dead_code)]
mod proxy;

use bytes::Bytes;
use cell::Cell;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use nix::sys::signal::Signal;
use proxy::Proxy;
use serde_json::{Value, json};
use sprucerudder::clock::Millis;
use sprucerudder::platform::http::{HttpClient, HttpError, HttpResponse, uri};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

/// Longer than anything that is waited for takes on a busy machine.
const PATIENCE: Duration = Duration::from_secs(60);
const LOOK: Duration = Duration::from_millis(30);

struct Callers {
    cell: Cell,
    http: HttpClient,
}

impl Callers {
    async fn start(workers: u16, entries: u16) -> Self {
        static CELLS: AtomicU8 = AtomicU8::new(200);
        let no = CELLS.fetch_add(1, Ordering::Relaxed);
        let cell = Cell::start(no, workers, entries, None).await;
        let callers = Self { cell, http: HttpClient::default() };
        for no in 0..entries {
            callers.await_ready(no).await;
        }
        callers
    }

    async fn get(&self, addr: &str, path: &str) -> Result<HttpResponse, HttpError> {
        let request = Request::get(uri(addr, path).unwrap()).body(Full::default()).unwrap();
        self.http.send(addr, request, Millis(2_000)).await
    }

    async fn await_ready(&self, no: u16) {
        let addr = self.cell.site.ready_addr(no);
        until("an entry to be ready", async || {
            self.get(&addr, "/readiness").await.is_ok_and(|answer| answer.status == StatusCode::OK)
        })
        .await;
    }

    async fn owner(&self) -> u16 {
        for no in 0..self.cell.entries.len() as u16 {
            let answer = self.get(&self.cell.site.metrics_addr(no), "/metrics").await.unwrap();
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            if text.lines().any(|line| line == "sprucerudder_takeovers_total 1") {
                return no;
            }
        }
        panic!("nobody owns the cell");
    }

    async fn call(&self, no: u16, method: Method, path: &str) -> Result<HttpResponse, HttpError> {
        let step = json!({ "count": 1, "cpu": 100, "mem_mb": 10, "estimate_ms": 100 });
        let body = json!({ "spec": "100", "steps": [step] }).to_string();
        let addr = self.cell.site.front_addr(no);
        let request = Request::builder()
            .method(method)
            .uri(uri(&addr, path).unwrap())
            .header("Host", "desk.example")
            .header("X-Sprucerudder-Deadline-Ms", "3000")
            .body(Full::from(Bytes::from(body)))
            .unwrap();
        self.http.send(&addr, request, Millis(5_000)).await
    }

    /// Whether a new job is taken within one caller's time, and completed; and how long that took.
    async fn serve(&self, no: u16, path: &str) -> Duration {
        let begun = Instant::now();
        until("a job to be accepted", async || {
            let answer = self.call(no, Method::POST, path).await;
            answer.is_ok_and(|answer| answer.status == StatusCode::OK)
        })
        .await;
        until("a job to be completed", async || {
            let answer = self.call(no, Method::GET, path).await;
            let body = answer.map(|answer| answer.body).unwrap_or_default();
            let value: Value = serde_json::from_slice(&body).unwrap_or_default();
            value["state"] == "completed"
        })
        .await;
        begun.elapsed()
    }
}

async fn until(what: &str, mut is_so: impl AsyncFnMut() -> bool) {
    let begun = Instant::now();
    while !is_so().await {
        assert!(begun.elapsed() < PATIENCE, "waited in vain for {what}");
        tokio::time::sleep(LOOK).await;
    }
}

fn silence<'a>(proxies: impl IntoIterator<Item = &'a Arc<Proxy>>) {
    for proxy in proxies {
        proxy.update(|state| state.stall_count += 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_whose_owner_fell_silent_is_told_that_its_job_was_not_run() {
    let callers = Callers::start(1, 2).await;
    let owner = callers.owner().await;
    callers.cell.entries[usize::from(owner)].peer_proxy.update(|state| {
        (state.hold_requests, state.hold_replies) = (true, true);
    });
    let begun = Instant::now();
    let answer = callers.call(1 - owner, Method::POST, "/plain/00000000000000a1").await.unwrap();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    // It is not held back until the caller's deadline.
    assert!(begun.elapsed() < Duration::from_millis(2_800), "{:?}", begun.elapsed());
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_between_entries_are_replaced() {
    let callers = Callers::start(1, 2).await;
    let owner = callers.owner().await;
    callers.serve(1 - owner, "/plain/00000000000000b1").await;
    silence(callers.cell.entries.iter().map(|entry| &entry.peer_proxy));
    let took = callers.serve(1 - owner, "/plain/00000000000000b2").await;
    assert!(took < Duration::from_secs(4), "{took:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_to_the_store_are_replaced() {
    let callers = Callers::start(1, 2).await;
    let owner = callers.owner().await;
    // Several idle connections: each must not cost an exchange its time limit.
    for no in 0..8 {
        callers.serve(owner, &format!("/plain/00000000000000c{no}")).await;
    }
    silence(callers.cell.entries.iter().map(|entry| &entry.store_proxy));
    let took = callers.serve(owner, "/plain/00000000000000cf").await;
    assert!(took < Duration::from_secs(6), "{took:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_to_a_worker_are_replaced_all_at_once() {
    let callers = Callers::start(1, 1).await;
    let paths: Vec<String> = (0..8).map(|no| format!("/plain/00000000000000d{no}")).collect();
    // Starts at the same time leave several idle connections.
    futures_util::future::join_all(paths.iter().map(|path| callers.serve(0, path))).await;
    silence(&callers.cell.worker_proxies);
    let took = callers.serve(0, "/plain/00000000000000df").await;
    assert!(took < Duration::from_secs(3), "{took:?}");
}

/// The number of connections that a worker accepts while owners lose power one after the other.
const FEW_CONNECTIONS: u32 = 32;
/// How often the owner loses power: each owner leaves the two connections that it keeps.
const POWER_LOSSES: u64 = 10;

#[tokio::test(flavor = "multi_thread")]
async fn owners_that_lost_power_leave_connections_for_the_next_one() {
    // Guards against workers that no owner can reach any more: a worker accepts a limited number of
    // connections, and keeps those of VMs that lost power.
    let mut callers = Callers::start(1, 2).await;
    callers.cell.site.limit_connections(2, FEW_CONNECTIONS);
    let mut owner = callers.owner().await;
    for loss in 0..POWER_LOSSES {
        // Starts at the same time need several connections.
        let paths: Vec<String> =
            (0..8).map(|no| format!("/plain/0000000000000{loss:02x}{no}")).collect();
        futures_util::future::join_all(paths.iter().map(|path| callers.serve(owner, path))).await;
        callers.cell.cut_entry_power(owner).await;
        callers.cell.start_entry(owner);
        owner = 1 - owner;
        callers.await_ready(owner).await;
    }
    callers.serve(owner, "/plain/00000000000000ff").await;
    assert_eq!(callers.cell.site.rejected_connections(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_was_replaced_closes_its_connections_to_workers() {
    // Guards against workers whose connections are used up by entries that owned the cell before.
    let callers = Callers::start(1, 2).await;
    let first = callers.owner().await;
    callers.serve(first, "/plain/00000000000000d1").await;
    let of_one_owner = callers.cell.site.open_connections();
    callers.cell.signal(first, Signal::SIGSTOP);
    callers.serve(1 - first, "/plain/00000000000000d2").await;
    callers.cell.signal(first, Signal::SIGCONT);
    until("the former owner to close its connections", async || {
        callers.cell.site.open_connections() <= of_one_owner
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn one_exchange_without_an_answer_ends_all_idle_connections_to_its_address() {
    let callers = Callers::start(1, 1).await;
    let store = &callers.cell.entries[0].store_proxy;
    let addr = store.addr.to_string();
    let read = |wait: u64, limit: u64| {
        let path = format!("/log-read?topic=idle&part=0&from=0&wait_ms={wait}");
        let request = Request::get(uri(&addr, &path).unwrap()).body(Full::default()).unwrap();
        let (http, addr) = (callers.http.clone(), addr.clone());
        async move { http.send(&addr, request, Millis(limit)).await }
    };
    // Reads at the same time leave as many idle connections.
    let all = futures_util::future::join_all((0..8).map(|_| read(200, 5_000))).await;
    assert!(all.iter().all(Result::is_ok), "{all:?}");
    silence([store]);
    let first = read(0, 300).await;
    assert!(matches!(first, Err(HttpError::Timeout(_))), "{first:?}");
    let second = read(0, 5_000).await;
    assert!(second.is_ok(), "{second:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_behind_an_append_without_an_answer_are_refused_at_once() {
    let callers = Callers::start(1, 1).await;
    callers.serve(0, "/plain/00000000000000e0").await;
    callers.cell.entries[0]
        .store_proxy
        .update(|state| (state.hold_requests, state.hold_replies) = (true, true));
    let first = callers.call(0, Method::POST, "/plain/00000000000000e1");
    let second = async {
        // The first one is on its way to the store by now, which will not say what became of it.
        tokio::time::sleep(Duration::from_millis(150)).await;
        let begun = Instant::now();
        let answer = callers.call(0, Method::POST, "/plain/00000000000000e2").await.unwrap();
        (answer, begun.elapsed())
    };
    let (first, (second, took)) = tokio::join!(first, second);
    assert_eq!(first.unwrap().status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(second.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(took < Duration::from_millis(1_500), "{took:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_is_not_ready_while_its_owner_takes_no_jobs() {
    let callers = Callers::start(1, 2).await;
    let other = 1 - callers.owner().await;
    // As behind a cut: the owner and its neighbour see each other, and not the store.
    for entry in &callers.cell.entries {
        entry.store_proxy.update(|state| (state.hold_requests, state.hold_replies) = (true, true));
    }
    let addr = callers.cell.site.ready_addr(other);
    let begun = Instant::now();
    until("an entry not to be ready", async || {
        callers.get(&addr, "/readiness").await.is_ok_and(|answer| answer.status != StatusCode::OK)
    })
    .await;
    assert!(begun.elapsed() < Duration::from_secs(3), "{:?}", begun.elapsed());
}
