//! Entries on the platform, as separate processes, against the stand-in of the platform.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use sprucerudder::clock::Millis;
use sprucerudder::id::hash;
use sprucerudder::platform::http::{HttpClient, HttpError, HttpResponse, uri};
use sprucerudder::standin::process::Process;
use sprucerudder::standin::site::store::Faults;
use sprucerudder::standin::site::{Site, Workspace};
use std::collections::HashMap;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longer than anything that is waited for takes on a busy machine.
const PATIENCE: Duration = Duration::from_secs(60);
const LOOK: Duration = Duration::from_millis(30);
const PORT: u16 = 20_000;
/// How long an entry that stops takes new callers.
const STOPPING: Duration = Duration::from_millis(2_600);

fn signal(entry: &Process, signal: Signal) {
    kill(Pid::from_raw(entry.id() as i32), signal).unwrap();
}

/// A site with entries, on a loopback address of its own.
struct Cell {
    site: Site,
    http: HttpClient,
    folder: PathBuf,
    entries: HashMap<u16, Process>,
    /// More arguments of every entry.
    more: &'static [&'static str],
}

impl Cell {
    async fn start(workers: usize, entries: u16) -> Self {
        Self::start_with(workers, entries, &[]).await
    }

    async fn start_with(workers: usize, entries: u16, more: &'static [&'static str]) -> Self {
        static CELLS: AtomicU8 = AtomicU8::new(2);
        let (pid, no) = (std::process::id(), CELLS.fetch_add(1, Ordering::Relaxed));
        let host = format!("127.{}.{}.{no}", (pid >> 8) as u8, pid as u8);
        let site = Site::start(&host, PORT, workers).await.unwrap();
        let folder = std::env::temp_dir().join(format!("sprucerudder-{pid}-{no}"));
        std::fs::create_dir_all(&folder).unwrap();
        let (http, entries_by_no) = (HttpClient::default(), HashMap::new());
        let mut cell = Self { site, http, folder, entries: entries_by_no, more };
        for no in 0..entries {
            cell.start_entry(no);
        }
        for no in 0..entries {
            cell.await_ready(no).await;
        }
        cell
    }

    fn start_entry(&mut self, no: u16) {
        let path = self.folder.join(format!("{no}.toml"));
        let program = env!("CARGO_BIN_EXE_sprucerudder");
        let settings = self.site.settings(no);
        let entry = Process::node(program, &path, &settings, self.more, Stdio::null()).unwrap();
        self.entries.insert(no, entry);
    }

    async fn await_ready(&self, no: u16) {
        let addr = self.site.ready(no);
        self.until("an entry to be ready", async || {
            let request = Request::get(uri(&addr, "/readiness").unwrap());
            let answer =
                self.http.send(&addr, request.body(Full::default()).unwrap(), Millis(1_000));
            answer.await.is_ok_and(|answer| answer.status == StatusCode::OK)
        })
        .await;
    }

    async fn until(&self, what: &str, mut is_so: impl AsyncFnMut() -> bool) {
        let begun = std::time::Instant::now();
        while !is_so().await {
            assert!(begun.elapsed() < PATIENCE, "waited in vain for {what}");
            tokio::time::sleep(LOOK).await;
        }
    }

    async fn call(
        &self,
        no: u16,
        method: Method,
        path: &str,
        body: &str,
    ) -> Result<HttpResponse, HttpError> {
        self.call_with(no, method, path, body, None).await
    }

    /// As [`Self::call`], with a key.
    async fn call_with(
        &self,
        no: u16,
        method: Method,
        path: &str,
        body: &str,
        key: Option<&str>,
    ) -> Result<HttpResponse, HttpError> {
        let addr = self.site.front(no);
        let mut request = Request::builder()
            .method(method)
            .uri(uri(&addr, path).unwrap())
            .header("Host", "desk.example")
            .header("X-Sprucerudder-Deadline-Ms", "3000");
        if let Some(key) = key {
            request = request.header("Authorization", format!("Bearer {key}"));
        }
        let request = request.body(Full::from(Bytes::from(body.to_string()))).unwrap();
        self.http.send(&addr, request, Millis(5_000)).await
    }

    async fn status(&self, no: u16, method: Method, path: &str, body: &str) -> StatusCode {
        self.call(no, method, path, body).await.unwrap().status
    }

    async fn state(&self, no: u16, path: &str) -> String {
        let answer = self.call(no, Method::GET, path, "").await;
        let body = answer.map(|answer| answer.body).unwrap_or_default();
        let value: Value = serde_json::from_slice(&body).unwrap_or_default();
        value["state"].as_str().unwrap_or_default().to_string()
    }

    async fn await_state(&self, no: u16, path: &str, wanted: &str) {
        let what = format!("{path} to be {wanted}");
        self.until(&what, async || self.state(no, path).await == wanted).await;
    }

    /// Submits as a caller does: again after anything but a final answer.
    async fn submit(&self, no: u16, path: &str, body: &str) {
        self.until("a job to be accepted", async || {
            let answer = self.call(no, Method::POST, path, body).await;
            answer.is_ok_and(|answer| answer.status == StatusCode::OK)
        })
        .await;
    }

    /// The entry whose heartbeats are in the log.
    async fn owner(&self) -> u16 {
        for no in self.entries.keys() {
            let addr = self.site.metrics(*no);
            let request = Request::get(uri(&addr, "/metrics").unwrap()).body(Full::default());
            let answer = self.http.send(&addr, request.unwrap(), Millis(2_000)).await;
            let text = answer.map(|answer| answer.body).unwrap_or_default();
            let text = String::from_utf8_lossy(&text).into_owned();
            if text.lines().any(|line| line == "sprucerudder_takeovers_total 1") {
                return *no;
            }
        }
        panic!("nobody owns the cell");
    }

    /// Every start of a task, over all workers.
    fn starts(&self) -> HashMap<String, usize> {
        let mut starts = HashMap::new();
        for (task, _) in self.site.workers.iter().flat_map(|worker| worker.starts()) {
            *starts.entry(task).or_default() += 1;
        }
        starts
    }
}

fn job(spec: &str, steps: Value) -> String {
    json!({"spec": spec, "steps": steps}).to_string()
}

fn one_step(spec: &str, count: u32) -> String {
    job(spec, json!([{"count": count, "cpu": 500, "mem_mb": 100, "estimate_ms": 100}]))
}

#[tokio::test]
async fn a_job_of_two_steps_runs_once_and_is_completed_at_every_entry() {
    let cell = Cell::start(6, 3).await;
    let steps = json!([
        {"count": 4, "cpu": 500, "mem_mb": 100, "estimate_ms": 100},
        {"count": 2, "cpu": 500, "mem_mb": 100, "estimate_ms": 100, "depends_on": [0]}
    ]);
    let path = "/plain/00000000000000aa";
    assert_eq!(cell.status(0, Method::POST, path, &job("60", steps.clone())).await, StatusCode::OK);
    assert_eq!(cell.status(1, Method::POST, path, &job("60", steps)).await, StatusCode::OK);
    for no in 0..3 {
        cell.await_state(no, path, "completed").await;
    }
    let starts = cell.starts();
    assert_eq!(starts.len(), 6);
    assert!(starts.values().all(|count| *count == 1), "{starts:?}");
}

#[tokio::test]
async fn tasks_of_a_queue_with_advice_start_with_tickets() {
    let cell = Cell::start(4, 2).await;
    let path = "/advised/00000000000000ab";
    cell.submit(1, path, &one_step("50", 5)).await;
    cell.await_state(0, path, "completed").await;
}

#[tokio::test]
async fn bad_requests_get_clear_errors_and_lose_nothing() {
    let cell = Cell::start(2, 1).await;
    let good = "/plain/00000000000000ac";
    let cycle = job("", json!([{"count": 1, "depends_on": [0]}]));
    let long = one_step(&"x".repeat(4_001), 1);
    let cases = [
        (Method::POST, good, "not JSON", StatusCode::BAD_REQUEST),
        (Method::POST, good, r#"{"spec":"","steps":[]}"#, StatusCode::BAD_REQUEST),
        (Method::POST, good, cycle.as_str(), StatusCode::BAD_REQUEST),
        (Method::POST, good, long.as_str(), StatusCode::BAD_REQUEST),
        (Method::POST, "/plain/xyz", "{}", StatusCode::BAD_REQUEST),
        (Method::POST, "/nowhere/00000000000000ac", "{}", StatusCode::NOT_FOUND),
        (Method::PUT, good, "{}", StatusCode::METHOD_NOT_ALLOWED),
        (Method::GET, good, "", StatusCode::GONE),
        (Method::DELETE, good, "", StatusCode::GONE),
    ];
    for (method, path, body, wanted) in cases {
        let status = cell.status(0, method.clone(), path, body).await;
        assert_eq!(status, wanted, "{method} {path} {}", &body[..body.len().min(40)]);
    }
    cell.submit(0, good, &one_step("10", 1)).await;
    cell.await_state(0, good, "completed").await;
}

#[tokio::test]
async fn a_cancelled_job_is_stopped_and_starts_no_more() {
    let cell = Cell::start(2, 2).await;
    let path = "/plain/00000000000000ad";
    cell.submit(0, path, &one_step("60000", 3)).await;
    cell.await_state(1, path, "active").await;
    assert_eq!(cell.status(1, Method::DELETE, path, "").await, StatusCode::OK);
    assert_eq!(cell.state(0, path).await, "cancelled");
    cell.until("all tasks to be gone", async || {
        cell.site.workers.iter().all(|worker| worker.running().is_empty())
    })
    .await;
}

#[tokio::test]
async fn jobs_go_on_when_their_owner_is_killed() {
    let mut cell = Cell::start(6, 3).await;
    let paths: Vec<String> = (0..8).map(|no| format!("/plain/{:016x}", 0xb0 + no)).collect();
    for path in &paths {
        cell.submit(0, path, &one_step("900", 3)).await;
    }
    let owner = cell.owner().await;
    signal(&cell.entries[&owner], Signal::SIGKILL);
    cell.entries.remove(&owner);
    let other = (0..3).find(|no| *no != owner).unwrap();
    let late = "/plain/00000000000000c0";
    cell.submit(other, late, &one_step("50", 2)).await;
    for path in paths.iter().chain([&late.to_string()]) {
        cell.await_state(other, path, "completed").await;
    }
    let starts = cell.starts();
    assert!(starts.values().all(|count| *count == 1), "{starts:?}");
}

#[tokio::test]
async fn a_paused_owner_is_replaced_and_gives_no_orders_afterwards() {
    let cell = Cell::start(6, 3).await;
    let owner = cell.owner().await;
    signal(&cell.entries[&owner], Signal::SIGSTOP);
    let other = (0..3).find(|no| *no != owner).unwrap();
    let path = "/plain/00000000000000c1";
    cell.submit(other, path, &one_step("300", 4)).await;
    signal(&cell.entries[&owner], Signal::SIGCONT);
    cell.await_state(other, path, "completed").await;
    cell.await_state(owner, path, "completed").await;
    let starts = cell.starts();
    assert!(starts.values().all(|count| *count == 1), "{starts:?}");
}

#[tokio::test]
async fn a_planned_stop_of_the_owner_loses_no_request() {
    let mut cell = Cell::start(4, 3).await;
    let owner = cell.owner().await;
    let other = (0..3).find(|no| *no != owner).unwrap();
    signal(&cell.entries[&owner], Signal::SIGTERM);
    for no in 0..20 {
        let path = format!("/plain/{:016x}", 0xd00 + no);
        let from = if no % 2 == 0 { owner } else { other };
        let status = cell.status(from, Method::POST, &path, &one_step("20", 1)).await;
        assert_eq!(status, StatusCode::OK, "request {no}");
    }
    let status = cell.entries.get_mut(&owner).unwrap().wait().unwrap();
    assert!(status.success());
    for no in 0..20 {
        cell.await_state(other, &format!("/plain/{:016x}", 0xd00 + no), "completed").await;
    }
}

/// An entry that stops ended 50 ms after a look that found no request open, and one whose head was read in
/// that time got no answer: "edge-muscat-b-9 gets SIGTERM at 27.000 s, request sent at 29.507 s, at 29.714 s
/// the connection is closed with no answer". Here its end comes half a second later.
#[tokio::test]
async fn a_planned_stop_waits_for_a_request_that_is_being_read() {
    let mut cell = Cell::start(2, 2).await;
    let owner = cell.owner().await;
    let entry = 1 - owner;
    let mut caller = TcpStream::connect(cell.site.front(entry)).await.unwrap();
    let body = one_step("20", 1);
    let head = format!(
        "POST /plain/00000000000000e1 HTTP/1.1\r\nHost: desk.example\r\nContent-Length: {}\r\n",
        body.len()
    );
    caller.write_all(head.as_bytes()).await.unwrap();
    signal(&cell.entries[&entry], Signal::SIGTERM);
    tokio::time::sleep(STOPPING + Duration::from_millis(500)).await;
    caller.write_all(format!("\r\n{body}").as_bytes()).await.unwrap();
    let mut answer = vec![0; 12];
    caller.read_exact(&mut answer).await.unwrap();
    assert_eq!(answer, b"HTTP/1.1 200");
    drop(caller);
    assert!(cell.entries.get_mut(&entry).unwrap().wait().unwrap().success());
}

#[tokio::test]
async fn while_the_store_is_away_jobs_are_refused_at_once_and_running_ones_go_on() {
    let cell = Cell::start(4, 2).await;
    let steps = json!([
        {"count": 2, "cpu": 500, "estimate_ms": 300},
        {"count": 2, "cpu": 500, "estimate_ms": 300, "depends_on": [0]}
    ]);
    let path = "/plain/00000000000000c2";
    cell.submit(0, path, &job("1500", steps)).await;
    cell.site.store.set(Faults { busy: true, ..Faults::default() });
    for no in 0..10 {
        let refused = format!("/plain/{:016x}", 0xf00 + no);
        let answer = cell.call(0, Method::POST, &refused, &one_step("10", 1)).await.unwrap();
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.headers.contains_key("Retry-After"));
    }
    cell.until("the second step to start", async || cell.starts().len() == 4).await;
    cell.site.store.set(Faults::default());
    cell.await_state(1, path, "completed").await;
}

#[tokio::test]
async fn an_entry_that_is_not_ready_sends_refused_callers_to_another_one() {
    let cell = Cell::start(4, 2).await;
    let owner = cell.owner().await;
    cell.site.store.set(Faults { busy: true, ..Faults::default() });
    let job = one_step("10", 1);
    let closes = async |no: u16| {
        let path = "/plain/00000000000000c7";
        let answer = cell.call(no, Method::POST, path, &job).await.unwrap();
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        answer.headers.get("Connection").is_some_and(|value| value == "close")
    };
    cell.until("the owner to close connections", async || closes(owner).await).await;
}

#[tokio::test]
async fn an_append_whose_answer_is_lost_is_done_once() {
    let cell = Cell::start(4, 2).await;
    cell.site.store.set(Faults { lose: 3, ..Faults::default() });
    let path = "/plain/00000000000000c4";
    cell.submit(0, path, &one_step("50", 2)).await;
    cell.await_state(1, path, "completed").await;
    assert!(cell.starts().values().all(|count| *count == 1));
}

#[tokio::test]
async fn a_takeover_goes_on_after_the_answer_to_its_fence_is_lost() {
    let mut cell = Cell::start(4, 2).await;
    cell.site.store.set(Faults { lose_fences: 1, ..Faults::default() });
    let owner = cell.owner().await;
    signal(&cell.entries[&owner], Signal::SIGKILL);
    cell.entries.remove(&owner);
    let path = "/plain/00000000000000c6";
    cell.submit(1 - owner, path, &one_step("50", 2)).await;
    cell.await_state(1 - owner, path, "completed").await;
}

#[tokio::test]
async fn nothing_accepted_is_lost_when_all_entries_are_killed() {
    let mut cell = Cell::start(6, 3).await;
    let paths: Vec<String> = (0..6).map(|no| format!("/plain/{:016x}", 0xe0 + no)).collect();
    for path in &paths {
        cell.submit(0, path, &one_step("700", 2)).await;
    }
    for entry in cell.entries.values() {
        signal(entry, Signal::SIGKILL);
    }
    cell.entries.clear();
    for no in 0..3 {
        cell.start_entry(no);
    }
    for path in &paths {
        cell.await_state(1, path, "completed").await;
    }
}

#[tokio::test]
async fn tasks_of_a_dark_worker_start_elsewhere_when_its_lease_is_over() {
    let cell = Cell::start(6, 2).await;
    let path = "/plain/00000000000000c5";
    cell.submit(0, path, &one_step("1500", 6)).await;
    cell.until("all tasks to run", async || {
        cell.site.workers.iter().map(|worker| worker.running().len()).sum::<usize>() == 6
    })
    .await;
    let busy = cell.site.workers.iter().find(|worker| !worker.running().is_empty()).unwrap();
    busy.faults.dark.store(true, Ordering::Relaxed);
    cell.await_state(0, path, "completed").await;
}

#[tokio::test]
async fn a_worker_that_starts_again_under_its_id_runs_each_task_once() {
    let cell = Cell::start(1, 2).await;
    // Its ends are numbered up to 12, and in the next life from 1 again.
    cell.submit(0, "/plain/00000000000000a0", &one_step("100", 12)).await;
    cell.await_state(0, "/plain/00000000000000a0", "completed").await;
    cell.site.workers[0].restart();
    cell.submit(0, "/plain/00000000000000a1", &one_step("100", 6)).await;
    cell.await_state(0, "/plain/00000000000000a1", "completed").await;
    let starts = cell.starts();
    let twice: Vec<_> = starts.iter().filter(|(_, count)| **count > 1).collect();
    assert!(twice.is_empty(), "started again: {twice:?}");
}

/// Cells of two workers: six workers are three cells.
const SMALL_CELLS: &[&str] = &["--cell-workers", "2"];

#[tokio::test]
async fn every_entry_serves_the_jobs_of_all_cells() {
    let cell = Cell::start_with(6, 3, SMALL_CELLS).await;
    let paths: Vec<String> = (0..24).map(|no| format!("/advised/{:016x}", 0x100 + no)).collect();
    for (no, path) in paths.iter().enumerate() {
        cell.submit(no as u16 % 3, path, &one_step("50", 3)).await;
        // The same job again, at another entry, is the same job.
        cell.submit((no as u16 + 1) % 3, path, &one_step("50", 3)).await;
    }
    for (no, path) in paths.iter().enumerate() {
        cell.await_state((no as u16 + 2) % 3, path, "completed").await;
    }
    let starts = cell.starts();
    assert_eq!(starts.len(), 24 * 3);
    assert!(starts.values().all(|count| *count == 1), "{starts:?}");
    // The workers of a failure domain are one rack here, and so one cell.
    for cell_no in 0..3 {
        let mut workers = cell.site.workers.iter().skip(cell_no).step_by(3);
        assert!(workers.any(|worker| !worker.starts().is_empty()), "cell {cell_no} runs nothing");
    }
}

#[tokio::test]
async fn the_last_entry_owns_all_cells_once_the_others_are_killed() {
    let mut cell = Cell::start_with(6, 4, SMALL_CELLS).await;
    let paths: Vec<String> = (0..12).map(|no| format!("/advised/{:016x}", 0x200 + no)).collect();
    for path in &paths {
        cell.submit(0, path, &one_step("1500", 2)).await;
    }
    for no in 1..4 {
        signal(&cell.entries[&no], Signal::SIGKILL);
        cell.entries.remove(&no);
    }
    let late: Vec<String> = (0..12).map(|no| format!("/advised/{:016x}", 0x300 + no)).collect();
    for path in &late {
        cell.submit(0, path, &one_step("50", 2)).await;
    }
    for path in paths.iter().chain(&late) {
        cell.await_state(0, path, "completed").await;
    }
    let starts = cell.starts();
    assert!(starts.values().all(|count| *count == 1), "{starts:?}");
}

#[tokio::test]
async fn a_planned_stop_hands_over_every_cell_and_loses_no_job() {
    let mut cell = Cell::start_with(6, 3, SMALL_CELLS).await;
    let paths: Vec<String> = (0..12).map(|no| format!("/plain/{:016x}", 0x400 + no)).collect();
    for path in &paths {
        cell.submit(0, path, &one_step("1500", 2)).await;
    }
    for no in 0..2 {
        signal(&cell.entries[&no], Signal::SIGTERM);
        let mut stopped = cell.entries.remove(&no).unwrap();
        tokio::task::spawn_blocking(move || stopped.wait()).await.unwrap().unwrap();
    }
    for path in &paths {
        cell.await_state(2, path, "completed").await;
    }
    let starts = cell.starts();
    assert!(starts.values().all(|count| *count == 1), "{starts:?}");
}

#[tokio::test]
async fn a_job_whose_home_is_full_runs_in_another_cell_and_is_found_at_every_entry() {
    let mut cell = Cell::start_with(6, 4, SMALL_CELLS).await;
    // Jobs are dealt by a hash of their keys: these have one home.
    let of_three = |no: &u64| hash(&[&no.to_le_bytes()]) % 3 == 0;
    let keys: Vec<u64> = (0x500..0x600).filter(of_three).collect();
    // A cell has 16 processors: this job takes all of them for five minutes.
    let first = format!("/plain/{:016x}", keys[0]);
    cell.submit(0, &first, &one_step("300000", 32)).await;
    cell.until("the first job to fill its cell", async || {
        cell.site.workers.iter().map(|worker| worker.running().len()).sum::<usize>() == 32
    })
    .await;
    let small: Vec<String> = keys[1..7].iter().map(|key| format!("/plain/{key:016x}")).collect();
    for path in &small {
        // Until its home knows of an emptier cell a job stays and waits: others are sent after it.
        tokio::time::sleep(Duration::from_millis(500)).await;
        cell.submit(1, path, &one_step("50", 2)).await;
    }
    let last = small.last().unwrap();
    for no in 0..4 {
        cell.await_state(no, last, "completed").await;
    }
    // The same job again is still the same job, also for another owner of its home.
    for no in 1..4 {
        signal(&cell.entries[&no], Signal::SIGKILL);
        cell.entries.remove(&no);
    }
    cell.await_state(0, last, "completed").await;
    cell.submit(0, last, &one_step("50", 2)).await;
    cell.await_state(0, last, "completed").await;
    let starts = cell.starts();
    assert!(starts.values().all(|count| *count == 1), "{starts:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_need_a_key_of_their_workspace_and_keys_come_and_go() {
    let cell = Cell::start(2, 2).await;
    let publish = |version, key| {
        let one = Workspace { name: "one", key, cpu: 0 };
        cell.site.publish(version, &[one, Workspace { name: "two", key: "key-two", cpu: 0 }]);
    };
    let status = async |no: u16, method: Method, path: &str, key: Option<&str>| {
        let body = if method == Method::POST { one_step("text", 1) } else { String::new() };
        cell.call_with(no, method, path, &body, key).await.unwrap().status
    };
    publish(2, "key-one");
    let path = "/plain/00000000000000a1";
    // A job that comes before keys are asked for is nobody's: it is another one than the one below.
    let early = "/plain/00000000000000a9";
    cell.until("keys to be asked for", async || {
        status(0, Method::POST, early, None).await == StatusCode::UNAUTHORIZED
            && status(1, Method::GET, path, Some("other")).await == StatusCode::UNAUTHORIZED
    })
    .await;
    assert_eq!(status(0, Method::POST, path, Some("key-one")).await, StatusCode::OK);
    assert_eq!(status(1, Method::GET, path, Some("key-one")).await, StatusCode::OK);
    assert_eq!(status(1, Method::GET, path, Some("key-two")).await, StatusCode::GONE);
    assert_eq!(status(1, Method::DELETE, path, Some("key-two")).await, StatusCode::GONE);
    assert_eq!(status(1, Method::POST, path, Some("key-two")).await, StatusCode::FORBIDDEN);
    assert_eq!(status(1, Method::POST, "/open/00000000000000a2", None).await, StatusCode::OK);
    // Another key of the same workspace takes the place of the first.
    publish(3, "key-new");
    cell.until("the new key to be in force", async || {
        status(0, Method::GET, path, Some("key-new")).await == StatusCode::OK
            && status(1, Method::GET, path, Some("key-new")).await == StatusCode::OK
    })
    .await;
    assert_eq!(status(0, Method::GET, path, Some("key-one")).await, StatusCode::UNAUTHORIZED);
}
