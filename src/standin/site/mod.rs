//! A simulation of the users' platform within one process: store, workers and advice service with
//! their published protocol, and faults that can be set at any time.

pub mod store;
pub mod worker;

use crate::clock::Millis;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::sync::Arc;
use store::Store;
use tokio::net::TcpListener;
use worker::{RunLog, Worker};

/// Largest request body that is read, in bytes.
const MAX_BODY: usize = 4 * 1024 * 1024;

/// A request with its body read completely.
#[derive(Debug)]
pub(super) struct Call {
    pub path: String,
    pub query: HashMap<String, String>,
    pub instance: Option<String>,
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
    let body = Limited::new(request.into_body(), MAX_BODY).collect().await;
    let body = body.map(|body| body.to_bytes()).unwrap_or_else(|err| {
        // The caller disconnected or sent too much: the request is handled as one with an empty
        // body.
        log::warn!("event=body-read-failed path={path} error={err:?}");
        Bytes::new()
    });
    Call { path, query, instance, body }
}

/// Serves requests on a listener until its task is dropped.
pub(super) async fn serve<S, F, R>(listener: TcpListener, state: Arc<S>, handle: F)
where
    S: Send + Sync + 'static,
    F: Fn(Arc<S>, Call) -> R + Copy + Send + Sync + 'static,
    R: Future<Output = Reply> + Send + 'static,
{
    while let Ok((stream, _)) = listener.accept().await {
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
    /// The workers, by index.
    pub workers: Vec<Arc<Worker>>,
    /// Log of what the workers ran.
    pub run_log: Arc<RunLog>,
    host: String,
    port: u16,
}

/// The service that all workers of the site belong to.
const SERVICE: &str = "desk";
/// Offset of the first entry's ports from the first port of the site. Each entry has ten ports, of
/// which it uses four: callers, readiness checks of the load balancer, other entries, metrics.
pub const ENTRY_PORT_OFFSET: u16 = 2_000;
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
        store.put("keyed.op", "config", default_policy().to_string().as_bytes());
        let listener = TcpListener::bind((host, port)).await?;
        tokio::spawn(serve(listener, store.clone(), store::handle));
        let listener = TcpListener::bind((host, port + 1)).await?;
        tokio::spawn(serve(listener, Arc::new(()), advise));
        let host = host.to_string();
        let mut site = Self { store, workers: Vec::new(), run_log: Arc::default(), host, port };
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
        let mut policy = default_policy();
        policy["version"] = json!(version);
        policy["tenants"] = workspaces.iter().map(row).collect();
        self.store.put("keyed.op", "config", policy.to_string().as_bytes());
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
        ));
        tokio::spawn(serve(listener, worker.clone(), worker::handle));
        tokio::spawn(worker.clone().publish_entries(self.store.clone(), SERVICE));
        self.workers.push(worker);
        Ok(())
    }

    /// The settings of entry `no` as TOML.
    pub fn settings(&self, no: u16) -> String {
        let (host, store) = (&self.host, self.port);
        let base = self.entry_port(no);
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
call_bytes = 2097152
"#,
            base + 2,
            base + 3,
            store + 1,
            base + 1,
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

/// The initial policy, with three queues: one without advice, one with advice, and one that is open
/// to callers without API keys.
fn default_policy() -> Value {
    let route = |name: &str, prefix: &str, advice: Value| {
        json!({
            "name": name, "host": "desk.example", "path_prefix": prefix, "kind": "non_idempotent",
            "timeout_ms": 3000, "target_latency_ms": 250, "priority": 0, "service": SERVICE,
            "max_attempts": 2, "extension": 1.5, "advice": advice
        })
    };
    let mut open = route("open", "/open/", Value::Null);
    open["anonymous"] = json!(true);
    let advice = json!({"decide_ms": 5.0, "period_ms": 0.1, "valid_ms": 2500});
    json!({
        "version": 1,
        "routes": [route("plain", "/plain/", Value::Null), route("advised", "/advised/", advice), open],
        "services": [{"name": SERVICE, "admission_check": false}],
        "limits": {}
    })
}

/// The advice service: reports every worker as healthy, each with a ticket.
async fn advise(_: Arc<()>, call: Call) -> Reply {
    const RESPONSE_TIME: Millis = Millis(5);
    tokio::time::sleep(RESPONSE_TIME.duration()).await;
    let body = call.json();
    let workers = body["workers"].as_array().cloned().unwrap_or_default();
    let rows: Vec<Value> = workers.into_iter().map(|worker| json!([worker, "ticket"])).collect();
    reply(StatusCode::OK, &json!({"healthy": rows, "valid_ms": 2500}))
}
