//! A simulation of the users' platform within one process: store, workers and advice service with
//! their published protocol, and faults that can be set at any time.

pub mod advice;
pub mod run_log;
pub mod store;
pub mod worker;

use advice::{Advice, AdvisedQueue};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use run_log::RunLog;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use store::Store;
use tokio::net::TcpListener;
use worker::Worker;

/// Largest request body that is read, in bytes.
const MAX_BODY: usize = 4 * 1024 * 1024;

/// A request with its body read completely.
#[derive(Debug)]
pub(super) struct Call {
    pub path: String,
    pub query: HashMap<String, String>,
    pub instance: Option<String>,
    /// The address that the caller used.
    pub host: String,
    pub body: Bytes,
}

impl Call {
    fn query_number(&self, name: &str) -> Option<u64> {
        let text = self.query.get(name)?;
        let parsed = text.parse();
        parsed
            .inspect_err(|err| log::warn!("event=invalid-query-number {name}={text} error={err:?}"))
            .ok()
    }

    fn query_text(&self, name: &str) -> &str {
        self.query.get(name).map_or("", String::as_str)
    }

    fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_else(|err| {
            // All fields of the body count as absent.
            log::warn!("event=invalid-json-body path={} error={err:?}", self.path);
            Value::Null
        })
    }
}

/// A number in a request body. By the platform's contract a missing one is 0.
pub(super) fn number_field(body: &Value, name: &str) -> u64 {
    match &body[name] {
        Value::Null => 0,
        value => value.as_u64().unwrap_or_else(|| {
            log::warn!("event=non-number-field {name}={value}");
            0
        }),
    }
}

/// A string in a request body. By the platform's contract a missing one is empty.
pub(super) fn text_field<'a>(body: &'a Value, name: &str) -> &'a str {
    match &body[name] {
        Value::Null => "",
        value => value.as_str().unwrap_or_else(|| {
            log::warn!("event=non-string-field {name}={value}");
            ""
        }),
    }
}

/// The response to a request; `None`: the request is never answered.
pub(super) type Reply = Option<(StatusCode, Bytes)>;

pub(super) fn reply(status: StatusCode, body: &Value) -> Reply {
    Some((status, Bytes::from(body.to_string())))
}

async fn read_call(request: Request<Incoming>) -> Call {
    const INSTANCE_HEADER: &str = "X-Sprucerudder-Expected-Instance";
    let path = request.uri().path().to_string();
    let pairs = request.uri().query().unwrap_or_default().split('&');
    let query = pairs.filter_map(|pair| pair.split_once('='));
    let query = query.map(|(name, value)| (name.to_string(), value.to_string())).collect();
    // A value that is not UTF-8 names no worker instance; it is kept so that the request is
    // refused.
    let instance = request.headers().get(INSTANCE_HEADER);
    let instance = instance.map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned());
    // A request without the header counts as one from a caller without a name.
    let host = request.headers().get(HOST).and_then(|value| value.to_str().ok());
    let host = host.unwrap_or_default().to_string();
    let body = Limited::new(request.into_body(), MAX_BODY).collect().await;
    let body = body.map(|body| body.to_bytes()).unwrap_or_else(|err| {
        // The caller disconnected or sent too much: the request is handled as one with an empty
        // body.
        log::warn!("event=body-read-failed path={path} error={err:?}");
        Bytes::new()
    });
    Call { path, query, instance, host, body }
}

/// Limits how many connections a service has open. Further ones are reset.
#[derive(Debug)]
pub(super) struct ConnectionCap {
    max: AtomicUsize,
    open: AtomicUsize,
    /// The number of connections that were reset.
    rejected: AtomicUsize,
}

impl ConnectionCap {
    fn new(max: usize) -> Arc<Self> {
        let (max, open) = (AtomicUsize::new(max), AtomicUsize::new(0));
        Arc::new(Self { max, open, rejected: AtomicUsize::new(0) })
    }

    /// Counts a new connection until the returned guard is dropped; `None` if there are too many.
    fn admit(self: &Arc<Self>) -> Option<OpenConnection> {
        let connection = OpenConnection(self.clone());
        let open = self.open.fetch_add(1, Ordering::Relaxed);
        if open >= self.max.load(Ordering::Relaxed) {
            self.rejected.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        Some(connection)
    }
}

/// A connection that counts as open until this is dropped.
#[derive(Debug)]
struct OpenConnection(Arc<ConnectionCap>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves requests on a listener until its task is dropped.
pub(super) async fn serve<S, F, R>(
    listener: TcpListener,
    cap: Arc<ConnectionCap>,
    state: Arc<S>,
    handle: F,
) where
    S: Send + Sync + 'static,
    F: Fn(Arc<S>, Call) -> R + Copy + Send + Sync + 'static,
    R: Future<Output = Reply> + Send + 'static,
{
    while let Ok((stream, _)) = listener.accept().await {
        let Some(connection) = cap.admit() else {
            if let Err(err) = stream.set_zero_linger() {
                log::debug!("event=connection-not-reset error={err:?}");
            }
            continue;
        };
        let state = state.clone();
        let service = service_fn(move |request| {
            let state = state.clone();
            async move {
                let reply = handle(state, read_call(request).await).await;
                let Some((status, body)) = reply else { return std::future::pending().await };
                let mut response = Response::new(Full::<Bytes>::from(body));
                *response.status_mut() = status;
                Ok::<_, Infallible>(response)
            }
        });
        let builder = hyper::server::conn::http1::Builder::new();
        tokio::spawn(async move {
            let _connection = connection;
            if let Err(err) = builder.serve_connection(TokioIo::new(stream), service).await {
                // A caller may close its connection at any time.
                log::debug!("event=connection-ended error={err:?}");
            }
        });
    }
}

/// A whole platform on one host: store, advice service and workers on consecutive ports.
#[derive(Debug)]
pub struct Site {
    /// The store.
    pub store: Arc<Store>,
    /// The advice service.
    pub advice: Arc<Advice>,
    /// The workers, by index.
    pub workers: Vec<Arc<Worker>>,
    /// Log of what the workers ran.
    pub run_log: Arc<RunLog>,
    /// The number of connections that each worker accepts.
    max_connections: u32,
    /// The connections of each worker, by index.
    caps: Vec<Arc<ConnectionCap>>,
    host: String,
    port: u16,
}

/// The service that all workers of the site belong to.
const SERVICE: &str = "desk";
/// Offset of the first entry's ports from the first port of the site. Each entry has ten ports, of
/// which it uses four: callers, readiness checks of the load balancer, other entries, metrics.
pub const ENTRY_PORT_OFFSET: u16 = 2_000;
/// Number of connections that a worker accepts in the initial policy.
const MAX_CONNECTIONS: u32 = 64;
/// Initial CPU capacity of a worker, in thousandths of a core.
pub const WORKER_CPU: u64 = 8_000;

impl Site {
    /// Starts the store, the advice service and `workers` workers, spread over the failure domains
    /// `a`, `b` and `c`, on consecutive ports of `host` from `port` on.
    ///
    /// # Errors
    /// A port is in use.
    pub async fn start(host: &str, port: u16, workers: usize) -> io::Result<Self> {
        let store = Arc::new(Store::default());
        let advice = Arc::new(Advice::default());
        store.put("keyed.op", "config", policy(&advice.queues()).to_string().as_bytes());
        let listener = TcpListener::bind((host, port)).await?;
        let unlimited = ConnectionCap::new(usize::MAX);
        tokio::spawn(serve(listener, unlimited.clone(), store.clone(), store::handle));
        let listener = TcpListener::bind((host, port + 1)).await?;
        tokio::spawn(serve(listener, unlimited, advice.clone(), advice::handle));
        let mut site = Self {
            store,
            advice,
            workers: Vec::new(),
            run_log: Arc::default(),
            max_connections: MAX_CONNECTIONS,
            caps: Vec::new(),
            host: host.to_string(),
            port,
        };
        for _ in 0..workers {
            site.add_worker().await?;
        }
        Ok(site)
    }

    /// Publishes a version of the policy that has these workspaces.
    pub fn publish_policy(&self, version: u64, workspaces: &[Workspace]) {
        let row = |one: &Workspace| {
            json!({
                "name": one.name, "api_keys": [one.key], "weight": 5,
                "upper_bound": {"cpu": one.cpu, "mem_mb": 0, "gpu": 0}
            })
        };
        let mut policy = policy(&self.advice.queues());
        policy["version"] = json!(version);
        policy["tenants"] = workspaces.iter().map(row).collect();
        self.store.put("keyed.op", "config", policy.to_string().as_bytes());
    }

    /// Publishes a version of the policy that has these queues with advice, and has the advice
    /// service answer accordingly.
    pub fn publish_advised_queues(&self, version: u64, queues: &[AdvisedQueue]) {
        self.advice.set_queues(queues);
        let mut policy = policy(queues);
        policy["version"] = json!(version);
        self.store.put("keyed.op", "config", policy.to_string().as_bytes());
    }

    /// Publishes a version of the policy by which each worker accepts at most `max` connections.
    /// The workers close none that are open.
    pub fn limit_connections(&mut self, version: u64, max: u32) {
        self.max_connections = max;
        for cap in &self.caps {
            cap.max.store(max as usize, Ordering::Relaxed);
        }
        let mut policy = policy(&self.advice.queues());
        policy["version"] = json!(version);
        policy["services"][0]["max_conns"] = json!(max);
        self.store.put("keyed.op", "config", policy.to_string().as_bytes());
    }

    /// The number of connections that all workers have open.
    pub fn open_connections(&self) -> usize {
        self.caps.iter().map(|cap| cap.open.load(Ordering::Relaxed)).sum()
    }

    /// The number of connections that workers have reset because they had too many.
    pub fn rejected_connections(&self) -> usize {
        self.caps.iter().map(|cap| cap.rejected.load(Ordering::Relaxed)).sum()
    }

    /// Starts one more worker.
    ///
    /// # Errors
    /// Its port is in use.
    pub async fn add_worker(&mut self) -> io::Result<()> {
        let addr = self.next_worker_addr();
        self.add_worker_at(addr).await
    }

    /// Address at which the next worker will listen.
    pub fn next_worker_addr(&self) -> String {
        format!("{}:{}", self.host, self.port + 2 + self.workers.len() as u16)
    }

    /// Starts one more worker that lists `addr` as its address, for example the address of a proxy.
    ///
    /// # Errors
    /// Its port is in use.
    pub async fn add_worker_at(&mut self, addr: String) -> io::Result<()> {
        let no = self.workers.len() as u16;
        let listener = TcpListener::bind(self.next_worker_addr()).await?;
        let domain = ["a", "b", "c"][usize::from(no) % 3];
        let worker = Arc::new(Worker::new(
            format!("i-{no}"),
            addr,
            domain,
            WORKER_CPU,
            self.run_log.clone(),
            self.advice.clone(),
        ));
        let cap = ConnectionCap::new(self.max_connections as usize);
        tokio::spawn(serve(listener, cap.clone(), worker.clone(), worker::handle));
        self.caps.push(cap);
        tokio::spawn(worker.clone().publish_entries(self.store.clone(), SERVICE));
        self.workers.push(worker);
        Ok(())
    }

    /// The settings of entry `no` as TOML.
    pub fn settings(&self, no: u16) -> String {
        let (host, store) = (&self.host, self.port);
        let (base, sizes) = (self.entry_port(no), self.store.sizes());
        let domain = ["a", "b", "c"][usize::from(no) % 3];
        format!(
            r#"node = "entry-{no}"
ip = "{host}"
zone = "{domain}"
internal_ports = [{},{}]
orders = "invoke"
advice = "{host}:{}"
[listen]
front = "{host}:{base}"
ready = "{host}:{}"
[limits]
cores = 1
[bounds]
hold_max_ms = 10000
status_s = 120
grace_s = 6
stop_ms = 200
gang_ms = 3000
[platform]
address = "{host}:{store}"
form = "log"
record_bytes = {}
call_bytes = {}
"#,
            base + 2,
            base + 3,
            store + 1,
            base + 1,
            sizes.record,
            sizes.call,
        )
    }

    fn entry_port(&self, no: u16) -> u16 {
        self.port + ENTRY_PORT_OFFSET + no * 10
    }

    /// Address of entry `no` for callers.
    pub fn front_addr(&self, no: u16) -> String {
        format!("{}:{}", self.host, self.entry_port(no))
    }

    /// Address of entry `no` for readiness checks of the load balancer.
    pub fn ready_addr(&self, no: u16) -> String {
        format!("{}:{}", self.host, self.entry_port(no) + 1)
    }

    /// Address of the metrics of entry `no`.
    pub fn metrics_addr(&self, no: u16) -> String {
        format!("{}:{}", self.host, self.entry_port(no) + 3)
    }
}

/// A workspace in the policy of a site.
#[derive(Debug, Clone, Copy)]
pub struct Workspace {
    /// The name.
    pub name: &'static str,
    /// The API key of its callers.
    pub key: &'static str,
    /// Limit on the CPU of its running tasks, in thousandths of a core; 0: no limit.
    pub cpu: u64,
}

/// A policy with these queues with advice, one without advice, and one that is open to callers
/// without API keys.
fn policy(advised: &[AdvisedQueue]) -> Value {
    let route = |name: &str, advice: Value| {
        json!({
            "name": name, "host": "desk.example", "path_prefix": format!("/{name}/"),
            "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 250, "priority": 0,
            "service": SERVICE, "max_attempts": 2, "extension": 1.5, "advice": advice
        })
    };
    let mut open = route("open", Value::Null);
    open["anonymous"] = json!(true);
    let mut routes = vec![route("plain", Value::Null), open];
    routes.extend(advised.iter().map(|queue| {
        let period_ms = queue.worker_micros as f64 / 1_000.0;
        let (decide_ms, valid_ms) = (queue.decide_ms as f64, queue.valid_ms);
        let advice = json!({"decide_ms": decide_ms, "period_ms": period_ms, "valid_ms": valid_ms});
        route(queue.name, advice)
    }));
    json!({
        "version": 1,
        "routes": routes,
        "services": [{"name": SERVICE, "admission_check": false, "max_conns": MAX_CONNECTIONS}],
        "limits": {}
    })
}
