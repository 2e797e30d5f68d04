//! Calls of entries to the advice service: answers whose connection to the owner broke, and a
//! service that refuses connections.

#[path = "soak/proxy.rs"]
#[allow(dead_code)]
mod proxy;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use proxy::Proxy;
use serde_json::{Value, json};
use sprucerudder::clock::Millis;
use sprucerudder::platform::http::{HttpClient, uri};
use sprucerudder::standin::process::Process;
use sprucerudder::standin::site::{ENTRY_PORT_OFFSET, Site};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// How long to wait for a condition: longer than any takes on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const PORT: u16 = 20_000;
/// Offset of the port of the first entry's own advice service.
const SERVICE_PORT_OFFSET: u16 = 9_000;
/// Offset of the port for other entries within the ports of an entry.
const PEER_PORT_OFFSET: u16 = 2;
/// Offset of a proxy's port from the port that it forwards to.
const PROXY_PORT_OFFSET: u16 = 5_000;
/// How long a ticket of the services is valid: longer than any test waits for a takeover.
const VALIDITY: Duration = Duration::from_secs(20);

/// An advice service for one entry. It clears every worker that it is asked about, and processes
/// one request at a time.
struct Service {
    addr: SocketAddr,
    time: Duration,
    turn: tokio::sync::Mutex<()>,
    /// The steps of the requests, and when each request arrived.
    requests: Mutex<Vec<(String, Instant)>>,
    /// When the last answer was sent.
    answered: Mutex<Option<Instant>>,
}

impl Service {
    fn new(addr: SocketAddr, time: Duration) -> Arc<Self> {
        let (turn, requests, answered) = Default::default();
        Arc::new(Self { addr, time, turn, requests, answered })
    }

    /// Listens; connections are refused before.
    async fn listen(self: &Arc<Self>) {
        let listener = TcpListener::bind(self.addr).await.unwrap();
        let service = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let service = service.clone();
                let handler = service_fn(move |request| service.clone().answer(request));
                let connection = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), handler);
                tokio::spawn(async move {
                    if let Err(err) = connection.await {
                        // An entry closes its connection when a call times out.
                        eprintln!("event=service-connection-ended error={err:?}");
                    }
                });
            }
        });
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let body = request.into_body().collect().await.unwrap().to_bytes();
        let body: Value = serde_json::from_slice(&body).unwrap();
        let step = body["step"].as_str().unwrap().to_string();
        self.requests.lock().unwrap().push((step, Instant::now()));
        let turn = self.turn.lock().await;
        tokio::time::sleep(self.time).await;
        drop(turn);
        *self.answered.lock().unwrap() = Some(Instant::now());
        let workers = body["workers"].as_array().unwrap();
        let rows: Vec<Value> = workers.iter().map(|worker| json!([worker, "ticket"])).collect();
        let answer = json!({ "healthy": rows, "valid_ms": VALIDITY.as_millis() as u64 });
        Ok(Response::new(Full::from(answer.to_string())))
    }

    /// The step of the first request.
    fn first_step(&self) -> Option<String> {
        self.requests.lock().unwrap().first().map(|(step, _)| step.clone())
    }

    /// How often a step was asked about.
    fn count(&self, step: &str) -> usize {
        self.requests.lock().unwrap().iter().filter(|(other, _)| other == step).count()
    }
}

/// A site whose entries have an advice service each, on a loopback address of its own.
struct Cluster {
    site: Site,
    http: HttpClient,
    host: String,
    folder: PathBuf,
    entries: Vec<Option<Process>>,
    services: Vec<Arc<Service>>,
    /// The address at which each entry calls its service.
    advice_addrs: Vec<SocketAddr>,
}

impl Cluster {
    /// Starts a platform whose policy states `cost` as the time of a call. `times`: the time that
    /// the service of each entry really takes.
    async fn start(cost: Duration, times: &[Duration]) -> Self {
        static NEXT_HOST: AtomicU8 = AtomicU8::new(2);
        let (pid, index) = (std::process::id(), NEXT_HOST.fetch_add(1, Ordering::Relaxed));
        let host = format!("127.{}.{}.{index}", (pid >> 8) as u8, pid as u8);
        let site = Site::start(&host, PORT, 3).await.unwrap();
        site.store.put("keyed.op", "config", policy(cost).to_string().as_bytes());
        let folder = std::env::temp_dir().join(format!("sprucerudder-advice-{pid}-{index}"));
        std::fs::create_dir_all(&folder).unwrap();
        let addr = |no| format!("{host}:{}", PORT + SERVICE_PORT_OFFSET + no).parse().unwrap();
        let services = (0..).zip(times).map(|(no, time)| Service::new(addr(no), *time));
        let services: Vec<Arc<Service>> = services.collect();
        let entries = services.iter().map(|_| None).collect();
        let advice_addrs = services.iter().map(|service| service.addr).collect();
        let http = HttpClient::default();
        Self { site, http, host, folder, entries, services, advice_addrs }
    }

    fn log_path(&self, no: u16) -> PathBuf {
        self.folder.join(format!("{no}.log"))
    }

    /// Starts an entry and waits until it is ready.
    async fn start_entry(&mut self, no: u16, extra_args: &[&str]) {
        let path = self.folder.join(format!("{no}.toml"));
        let shared = format!("advice = \"{}:{}\"", self.host, PORT + 1);
        let own = format!("advice = \"{}\"", self.advice_addrs[usize::from(no)]);
        let settings = self.site.settings(no).replace(&shared, &own);
        assert!(settings.contains(&own), "{settings}");
        let log = std::fs::File::create(self.log_path(no)).unwrap();
        let program = env!("CARGO_BIN_EXE_sprucerudder");
        let process = Process::start_node(program, &path, &settings, extra_args, log.into());
        self.entries[usize::from(no)] = Some(process.unwrap());
        let addr = self.site.ready_addr(no);
        wait_until("an entry to be ready", async || {
            let request = Request::get(uri(&addr, "/readiness").unwrap());
            let request = request.body(Full::default()).unwrap();
            let answer = self.http.send(&addr, request, Millis(1_000)).await;
            answer.is_ok_and(|answer| answer.status == StatusCode::OK)
        })
        .await;
    }

    /// Starts entry 1, which becomes the owner, then entry 0. Returns a proxy through which entry 0
    /// connects to the owner.
    async fn start_owner_and_entry(&mut self) -> Arc<Proxy> {
        let peer = PORT + ENTRY_PORT_OFFSET + 10 + PEER_PORT_OFFSET;
        let addr = |port: u16| -> SocketAddr { format!("{}:{port}", self.host).parse().unwrap() };
        let proxy = Proxy::start(addr(peer + PROXY_PORT_OFFSET), addr(peer)).await;
        self.start_entry(1, &["--advertise", &proxy.addr.to_string()]).await;
        self.start_entry(0, &[]).await;
        proxy
    }

    async fn call(&self, entry: u16, method: Method, path: &str) -> Option<(StatusCode, Value)> {
        let step = json!({ "count": 1, "cpu": 100, "mem_mb": 10, "estimate_ms": 100 });
        let body = json!({ "spec": "50", "steps": [step] }).to_string();
        let addr = self.site.front_addr(entry);
        let request = Request::builder()
            .method(method)
            .uri(uri(&addr, path).unwrap())
            .header("Host", "desk.example")
            .header("X-Sprucerudder-Deadline-Ms", "3000")
            .body(Full::from(body))
            .unwrap();
        let answer = self.http.send(&addr, request, Millis(5_000)).await.ok()?;
        Some((answer.status, serde_json::from_slice(&answer.body).unwrap_or_default()))
    }

    async fn submit(&self, entry: u16, path: &str) {
        wait_until("a job to be accepted", async || {
            let answer = self.call(entry, Method::POST, path).await;
            answer.is_some_and(|(status, _)| status == StatusCode::OK)
        })
        .await;
    }

    async fn await_completed(&self, entry: u16, path: &str) {
        wait_until("a job to be completed", async || {
            let answer = self.call(entry, Method::GET, path).await;
            answer.is_some_and(|(_, body)| body["state"] == "completed")
        })
        .await;
    }

    /// Submits jobs until the service of entry 0 is asked about one. Returns its step and path.
    async fn submit_to_entry_0(&self) -> (String, String) {
        for no in 1..5 {
            self.submit(1, &format!("/advised/00000000000000a{no}")).await;
            let begun = Instant::now();
            while begun.elapsed() < Duration::from_millis(500) {
                if let Some(step) = self.services[0].first_step() {
                    let job = step.split('.').next().unwrap();
                    let path = format!("/advised/{job}");
                    return (step, path);
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        panic!("the owner asked only itself");
    }
}

fn policy(cost: Duration) -> Value {
    let advice = json!({
        "decide_ms": cost.as_millis() as u64, "period_ms": 0.0,
        "valid_ms": VALIDITY.as_millis() as u64
    });
    let route = json!({
        "name": "advised", "host": "desk.example", "path_prefix": "/advised/",
        "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 250, "priority": 0,
        "service": "desk", "max_attempts": 2, "extension": 1.5, "advice": advice
    });
    json!({
        "version": 2, "routes": [route],
        "services": [{"name": "desk", "admission_check": false}], "limits": {}
    })
}

async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let begun = Instant::now();
    while !condition().await {
        assert!(begun.elapsed() < TIMEOUT, "timed out waiting for {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_whose_connection_broke_reaches_the_owner() {
    // An entry that had an answer for the owner dropped it if the connection on which the owner had
    // asked was gone, and the owner asked the service again. Here the second call gets no answer.
    let (cost, never) = (Duration::from_millis(1_500), Duration::from_secs(600));
    let mut cluster = Cluster::start(cost, &[Duration::from_secs(2), never]).await;
    for service in &cluster.services {
        service.listen().await;
    }
    let proxy = cluster.start_owner_and_entry().await;
    let (step, path) = cluster.submit_to_entry_0().await;
    proxy.update(|state| state.reset_count += 1);
    cluster.await_completed(1, &path).await;
    let answered = cluster.services[0].answered.lock().unwrap().expect("an answer");
    let took = answered.elapsed();
    assert_eq!(cluster.services[0].count(&step), 1, "requests for step {step}");
    assert!(took < Duration::from_secs(1), "completed {took:?} after the answer");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_found_no_connection_is_delivered_on_the_next_one() {
    // As above, but the entry has no connection to the owner when the service answers.
    let (cost, never) = (Duration::from_millis(1_500), Duration::from_secs(600));
    let mut cluster = Cluster::start(cost, &[Duration::from_secs(1), never]).await;
    for service in &cluster.services {
        service.listen().await;
    }
    let proxy = cluster.start_owner_and_entry().await;
    let (step, path) = cluster.submit_to_entry_0().await;
    proxy.update(|state| {
        state.reset_count += 1;
        state.hold_replies = true;
    });
    let service = cluster.services[0].clone();
    wait_until("an answer", async || service.answered.lock().unwrap().is_some()).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    proxy.restore();
    let begun = Instant::now();
    cluster.await_completed(1, &path).await;
    let took = begun.elapsed();
    assert_eq!(service.count(&step), 1, "requests for step {step}");
    assert!(took < Duration::from_millis(1_500), "completed {took:?} after the connection");
    let log = std::fs::read_to_string(cluster.log_path(0)).unwrap();
    let late = format!("event=advice-delivered-late step={step} ");
    assert_eq!(log.matches(&late).count(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_owner_does_not_repeat_its_own_call() {
    // An entry called the service for an owner that was lost, and became the owner. It asked about
    // the same step again while its first call was being processed, and dropped the first answer.
    let cost = Duration::from_secs(4);
    let mut cluster = Cluster::start(cost, &[Duration::from_secs(6), cost]).await;
    for service in &cluster.services {
        service.listen().await;
    }
    let _proxy = cluster.start_owner_and_entry().await;
    let (step, path) = cluster.submit_to_entry_0().await;
    drop(cluster.entries[1].take());
    cluster.await_completed(0, &path).await;
    let took = cluster.services[0].requests.lock().unwrap()[0].1.elapsed();
    assert_eq!(cluster.services[0].count(&step), 1, "requests for step {step}");
    assert!(took < Duration::from_secs(10), "completed {took:?} after the request");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_connection_to_the_service_is_not_retried_in_a_loop() {
    // A refused call was returned to the owner at once, which assigned the request to the same
    // entry at once: thousands of tries a second in all.
    let time = Duration::from_millis(5);
    let mut cluster = Cluster::start(time, &[time]).await;
    cluster.start_entry(0, &[]).await;
    cluster.submit(0, "/advised/00000000000000a1").await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let log = std::fs::read_to_string(cluster.log_path(0)).unwrap();
    let tries = log.lines().filter(|line| line.contains("event=advice-failed")).count();
    cluster.services[0].listen().await;
    let begun = Instant::now();
    cluster.await_completed(0, "/advised/00000000000000a1").await;
    let took = begun.elapsed();
    assert!((1..=10).contains(&tries), "{tries} calls in 2 s");
    assert!(took < Duration::from_millis(1_500), "completed {took:?} after the service was back");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_to_the_service_that_fell_silent_costs_one_call() {
    // Connections may become dead without a reset while new ones work. A call on one has to time
    // out, and the next call must not use another one.
    let cost = Duration::from_millis(200);
    let mut cluster = Cluster::start(cost, &[cost]).await;
    let service = cluster.services[0].clone();
    service.listen().await;
    let addr = SocketAddr::new(service.addr.ip(), service.addr.port() + PROXY_PORT_OFFSET);
    let proxy = Proxy::start(addr, service.addr).await;
    cluster.advice_addrs[0] = proxy.addr;
    cluster.start_entry(0, &[]).await;
    cluster.submit(0, "/advised/00000000000000a1").await;
    cluster.await_completed(0, "/advised/00000000000000a1").await;
    proxy.update(|state| state.stall_count += 1);
    cluster.submit(0, "/advised/00000000000000a2").await;
    let begun = Instant::now();
    cluster.await_completed(0, "/advised/00000000000000a2").await;
    let took = begun.elapsed();
    // The timeout of 1.1 s, a call and the run.
    assert!(took < Duration::from_millis(2_500), "completed after {took:?}");
}
