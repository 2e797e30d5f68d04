//! A small cell for tests: separate processes on loopback, driven over HTTP.
#![allow(dead_code, reason = "no test uses all of these helpers")]

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE};
use hyper::{Method, Request};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use sprucerudder::check;
use sprucerudder::clock::Millis;
use sprucerudder::platform::http::{HttpClient, HttpError, HttpResponse, uri};
use sprucerudder::trace::Event;
use sprucerudder::wire::keys::Authority;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

pub const OPERATOR_TOKEN: &str = "operator-token-0123";
pub const NILEWIRE_TOKEN: &str = "nilewire-token-0123";
pub const VIESTISILTA_TOKEN: &str = "viesti-token-012345";

/// Polls before `Cell::wait_until` fails: one minute, longer than any awaited condition takes on a
/// busy machine.
const MAX_POLLS: usize = 1_200;
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const CALL_TIMEOUT: Millis = Millis(20_000);

pub const EXAMPLE_TABLE: &str = "\
kind,team,class,weight,limit,queue,deadline,repeat,retries,pack,spread,quota,site:nasr-hall,site:pasila
preview,nilewire,request,100,64,100,5000,yes,0,0,0,0,100,100
ingest-step,nilewire,request,50,64,100,10000,no,0,0,0,0,100,100
build,nilewire,batch,50,100,1000,60000,yes,2,10,0,0,100,100
ingest,nilewire,service,80,100,100,60000,yes,2,0,10,0,100,100
render,viestisilta,request,20,64,100,5000,yes,0,0,0,0,100,100
campaign,viestisilta,batch,10,100,20000,600000,no,0,100,0,0,100,100
";

/// A child process that is killed when it is dropped.
pub struct Process {
    child: Child,
    pub addr: SocketAddr,
}

impl Process {
    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("signal");
    }

    pub fn wait(&mut self) -> std::process::ExitStatus {
        self.child.wait().expect("wait")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Addresses for the processes of one cell. Each cell has a loopback address of its own, so that no
/// other cell and no outgoing connection takes a port before it is bound.
#[derive(Debug)]
pub struct Addresses {
    host: Ipv4Addr,
    port: u16,
}

impl Addresses {
    pub fn new() -> Self {
        static NEXT_CELL: AtomicU8 = AtomicU8::new(2);
        let (pid, cell) = (std::process::id(), NEXT_CELL.fetch_add(1, Ordering::Relaxed));
        Self { host: Ipv4Addr::new(127, (pid >> 8) as u8, pid as u8, cell), port: BASE_PORT }
    }

    pub fn next(&mut self) -> SocketAddr {
        self.port += 1;
        (self.host, self.port).into()
    }
}

pub fn binary() -> Command {
    Command::new(env!("CARGO_BIN_EXE_sprucerudder"))
}

fn spawn(addr: SocketAddr, args: &[&str]) -> Process {
    let child = binary().args(args).stdout(Stdio::null()).stderr(Stdio::null()).spawn();
    Process { child: child.expect("spawn"), addr }
}

/// A simulated platform and two failure domains, each with two entries, two workers and a runner.
pub struct Cell {
    pub platform: Process,
    pub entries: BTreeMap<String, Process>,
    pub workers: BTreeMap<String, Process>,
    pub runners: BTreeMap<String, Process>,
    settings: BTreeMap<String, PathBuf>,
    addresses: Addresses,
    dir: PathBuf,
    pub http: HttpClient,
    saved_events: Vec<Event>,
}

const BASE_PORT: u16 = 10_000;
const DOMAINS: [&str; 2] = ["nasr-hall", "pasila"];

impl Cell {
    pub async fn start(name: &str) -> Self {
        Self::start_with(name, 600_000, json!({})).await
    }

    /// Starts a cell whose log drops records after `retention_ms` and whose entries have `settings`
    /// in place of the defaults.
    pub async fn start_with(name: &str, retention_ms: u64, settings: Value) -> Self {
        let dir = std::env::temp_dir().join(format!("spruce-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("dir");
        let http = HttpClient::default();
        let mut addresses = Addresses::new();
        let platform = platform(addresses.next(), retention_ms);
        let mut cell = Self {
            platform,
            entries: BTreeMap::new(),
            workers: BTreeMap::new(),
            runners: BTreeMap::new(),
            settings: BTreeMap::new(),
            addresses,
            dir,
            http,
            saved_events: Vec::new(),
        };
        for domain in DOMAINS {
            for index in 1..=2 {
                let name = format!("{domain}-w{index}");
                let worker = worker(cell.addresses.next(), &name, if index == 1 { 2 } else { 0 });
                cell.workers.insert(name, worker);
            }
            let name = format!("{domain}-r1");
            cell.runners.insert(name.clone(), runner(cell.addresses.next(), &name));
        }
        cell.write_all_settings(&settings);
        for name in cell.settings.keys().cloned().collect::<Vec<_>>() {
            cell.start_entry(&name);
        }
        let platform = cell.platform.addr;
        cell.wait_until("platform", async || {
            cell.post(platform, "/set/list", &cell.vm_list(1)).await.is_ok()
        })
        .await;
        cell
    }

    /// The VM list with all workers and runners, as revision `rev`.
    pub fn vm_list(&self, rev: u64) -> Value {
        let mut vms = Vec::new();
        for (name, process) in &self.workers {
            let acc = if name.ends_with("w1") { 2 } else { 0 };
            let domain = &name[..name.len() - 3];
            vms.push(json!({
                "name": name, "role": "worker", "addr": process.addr.to_string(),
                "domain": domain, "rack": format!("{domain}-a"),
                "size": {"cpu": 8000, "mem": 16000, "acc": acc},
            }));
        }
        for (name, process) in &self.runners {
            let domain = &name[..name.len() - 3];
            vms.push(json!({
                "name": name, "role": "runner", "addr": process.addr.to_string(),
                "domain": domain, "rack": format!("{domain}-a"), "slots": 8,
            }));
        }
        json!({"rev": rev, "vms": vms})
    }

    fn write_all_settings(&mut self, overrides: &Value) {
        let authority = Authority::new("test").expect("authority");
        let names = DOMAINS.iter().flat_map(|d| (1..=2).map(move |i| (format!("{d}-{i}"), *d)));
        let peers: Vec<(String, &str, SocketAddr)> =
            names.map(|(name, domain)| (name, domain, self.addresses.next())).collect();
        for (name, domain, addr) in &peers {
            let keys = authority.issue(name).expect("keys");
            let others: Vec<Value> = peers
                .iter()
                .filter(|(other, ..)| other != name)
                .map(|(name, domain, addr)| {
                    json!({"name": name, "domain": domain, "addr": addr.to_string()})
                })
                .collect();
            let http = self.addresses.next();
            let platform = self.platform.addr.to_string();
            let mut settings = json!({
                "name": name, "domain": domain, "http": http.to_string(),
                "peer": addr.to_string(),
                "platform": {"log": platform, "list": platform},
                "keys": {
                    "authority": &*keys.authority, "certificate": &*keys.certificate,
                    "secret": &*keys.secret,
                },
                "peers": others,
                "tokens": [
                    {"name": "op", "token": OPERATOR_TOKEN, "right": "operator"},
                    {"name": "desk", "token": NILEWIRE_TOKEN, "right": "team:nilewire"},
                    {"name": "clinic", "token": VIESTISILTA_TOKEN, "right": "team:viestisilta"},
                ],
                "stop_grace": 200, "sync_every": 200, "list_every": 200, "beat_every": 200,
            });
            merge(&mut settings, overrides);
            let path = self.dir.join(format!("{name}.jsonc"));
            std::fs::write(&path, format!("// {name}\n{settings}")).expect("settings");
            self.settings.insert(name.clone(), path);
        }
    }

    /// Overrides settings of an entry that is not running.
    pub fn change_settings(&self, name: &str, overrides: &Value) {
        let path = &self.settings[name];
        let text = std::fs::read_to_string(path).expect("settings");
        let (_, body) = text.split_once('\n').expect("comment");
        let mut settings = serde_json::from_str(body).expect("settings");
        merge(&mut settings, overrides);
        std::fs::write(path, format!("// {name}\n{settings}")).expect("settings");
    }

    /// Stops an entry with SIGTERM and waits for its end.
    pub async fn stop_entry(&mut self, name: &str) {
        self.save_events(name).await;
        let mut process = self.entries.remove(name).expect("entry");
        process.signal(Signal::SIGTERM);
        let status = process.wait();
        assert!(status.success(), "{status}");
    }

    pub fn start_entry(&mut self, name: &str) {
        let path = &self.settings[name];
        let text = std::fs::read_to_string(path).expect("settings");
        let settings = sprucerudder::settings::Settings::parse(&text).expect("settings");
        let args = ["entry", "--settings", path.to_str().expect("path")];
        let process = spawn(settings.http, &args);
        self.entries.insert(name.to_string(), process);
    }

    pub fn addr(&self, entry: &str) -> SocketAddr {
        self.entries[entry].addr
    }

    /// Polls until `ready` returns true; panics with `what` after `MAX_POLLS`.
    pub async fn wait_until(&self, what: &str, mut ready: impl AsyncFnMut() -> bool) {
        for _ in 0..MAX_POLLS {
            if ready().await {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("condition not reached in time: {what}");
    }

    pub async fn send(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Result<HttpResponse, HttpError> {
        let addr = addr.to_string();
        let mut builder = Request::builder().method(method).uri(uri(&addr, path)?);
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let request = builder.body(Full::from(Bytes::from(body))).expect("request");
        self.http.send(&addr, request, CALL_TIMEOUT).await
    }

    /// Calls an entry with a token; returns status and JSON body, or status 0 if there was no
    /// answer.
    pub async fn call(
        &self,
        entry: &str,
        token: &str,
        method: Method,
        path: &str,
        body: Value,
    ) -> (u16, Value) {
        let auth = format!("Bearer {token}");
        let headers =
            [(AUTHORIZATION.as_str(), &*auth), (CONTENT_TYPE.as_str(), "application/json")];
        let body = if body.is_null() { String::new() } else { body.to_string() };
        match self.send(self.addr(entry), method, path, &headers, body).await {
            Ok(answer) => {
                let value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
                (answer.status.as_u16(), value)
            }
            Err(_) => (0, Value::Null),
        }
    }

    pub async fn get(&self, entry: &str, path: &str) -> Value {
        self.call(entry, OPERATOR_TOKEN, Method::GET, path, Value::Null).await.1
    }

    /// Sends a request of a kind with the token of its team; returns status and body, or status 0
    /// and the error.
    pub async fn request(
        &self,
        entry: &str,
        kind: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> (u16, String) {
        let token = if kind == "render" { VIESTISILTA_TOKEN } else { NILEWIRE_TOKEN };
        let auth = format!("Bearer {token}");
        let mut all = vec![(AUTHORIZATION.as_str(), &*auth)];
        all.extend_from_slice(headers);
        let path = format!("/run/{kind}");
        match self.send(self.addr(entry), Method::POST, &path, &all, body.to_string()).await {
            Ok(answer) => {
                (answer.status.as_u16(), String::from_utf8_lossy(&answer.body).into_owned())
            }
            Err(err) => (0, err.to_string()),
        }
    }

    pub async fn publish(&self, entry: &str, base: u64, table: &str) -> (u16, Value) {
        let auth = format!("Bearer {OPERATOR_TOKEN}");
        let headers = [
            (AUTHORIZATION.as_str(), &*auth),
            (CONTENT_TYPE.as_str(), "text/plain; charset=utf-8"),
        ];
        let path = format!("/v1/table?base={base}");
        match self.send(self.addr(entry), Method::PUT, &path, &headers, table.into()).await {
            Ok(answer) => (
                answer.status.as_u16(),
                serde_json::from_slice(&answer.body).unwrap_or(Value::Null),
            ),
            Err(_) => (0, Value::Null),
        }
    }

    /// Publishes the example table and waits until all entries have it and both shards have owners.
    pub async fn publish_table_and_wait(&self) {
        let first = self.entries.keys().next().expect("entries").clone();
        self.wait_until("publish", async || self.publish(&first, 0, EXAMPLE_TABLE).await.0 == 200)
            .await;
        for name in self.entries.keys() {
            self.wait_until("table", async || self.get(name, "/v1/table").await["rev"] == 1).await;
            self.wait_until("owners", async || self.owners(name).await.len() == 2).await;
        }
    }

    /// The owner of each shard that an entry reaches and whose owner knows its workers.
    pub async fn owners(&self, entry: &str) -> BTreeMap<String, String> {
        let status = self.get(entry, "/v1/status").await;
        let shards = status["shards"].as_array().cloned().unwrap_or_default();
        let reached = shards.iter().filter(|shard| {
            let workers = shard["workers"].as_array().map_or(0, Vec::len);
            shard["reached"] == true && workers > 0
        });
        let text = |value: &Value| value.as_str().unwrap_or("").to_string();
        reached
            .map(|shard| {
                let owner = text(&shard["owner"]);
                let name = owner.split('@').next().unwrap_or("").to_string();
                (text(&shard["shard"]), name)
            })
            .collect()
    }

    pub async fn submit(&self, entry: &str, token: &str, job: Value) -> String {
        let mut id = String::new();
        self.wait_until("submit", async || {
            let (status, answer) =
                self.call(entry, token, Method::POST, "/v1/jobs", job.clone()).await;
            id = answer["job"].as_str().unwrap_or("").to_string();
            assert!(status == 200 || status >= 429 || status == 0, "{status} {answer}");
            status == 200
        })
        .await;
        id
    }

    pub async fn job(&self, entry: &str, id: &str) -> Value {
        self.get(entry, &format!("/v1/jobs/{id}")).await
    }

    pub async fn wait_for_job(&self, entry: &str, id: &str, state: &str) -> Value {
        let mut last = Value::Null;
        let what = format!("job {id} {state}");
        self.wait_until(&what, async || {
            last = self.job(entry, id).await;
            last["state"] == state
        })
        .await;
        last
    }

    pub async fn post(
        &self,
        addr: SocketAddr,
        path: &str,
        body: &Value,
    ) -> Result<Value, HttpError> {
        self.http.post_json("test", &addr.to_string(), path, body, CALL_TIMEOUT).await
    }

    pub async fn set_platform_faults(&self, faults: Value) {
        self.post(self.platform.addr, "/set/faults", &faults).await.expect("faults");
    }

    async fn events_of(&self, addr: SocketAddr) -> Vec<Event> {
        let auth = format!("Bearer {OPERATOR_TOKEN}");
        let headers =
            [(AUTHORIZATION.as_str(), &*auth), (CONTENT_TYPE.as_str(), "application/json")];
        let ask = json!({"since": 0, "max": 1_000_000}).to_string();
        let answer = self.send(addr, Method::POST, "/timeline", &headers, ask).await;
        answer.ok().and_then(|a| serde_json::from_slice(&a.body).ok()).unwrap_or_default()
    }

    /// Saves the events of an entry that is about to be killed or stopped.
    pub async fn save_events(&mut self, entry: &str) {
        let events = self.events_of(self.addr(entry)).await;
        self.saved_events.extend(events);
    }

    /// The events of all processes in order of time, including the saved ones.
    pub async fn timeline(&self) -> Vec<Event> {
        let mut events = self.saved_events.clone();
        let all = self.entries.values().chain(self.workers.values()).chain(self.runners.values());
        for process in all {
            events.extend(self.events_of(process.addr).await);
        }
        events.sort_by(|a, b| (a.at, &a.process).cmp(&(b.at, &b.process)));
        events
    }

    /// Whether some event of the timeline contains all of these texts.
    pub async fn has_event(&self, texts: &[&str]) -> bool {
        let events = self.timeline().await;
        let lines = events.iter().map(ToString::to_string);
        let mut found = lines.filter(|line| texts.iter().all(|text| line.contains(text)));
        found.next().is_some()
    }

    /// Checks that the timeline contains no violation of the scheduler's guarantees.
    pub async fn check_invariants(&self) {
        let events = self.timeline().await;
        assert!(events.len() > 10, "timeline too short: {} events", events.len());
        let violations = check::find_violations(&events);
        assert!(violations.is_empty(), "{violations:#?}");
    }
}

fn merge(settings: &mut Value, overrides: &Value) {
    for (name, value) in overrides.as_object().expect("settings") {
        settings[name] = value.clone();
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

fn platform(addr: SocketAddr, retention_ms: u64) -> Process {
    let (listen, retention) = (addr.to_string(), retention_ms.to_string());
    let args = ["standin", "platform", "--listen", &listen, "--retention", &retention];
    spawn(addr, &args)
}

fn worker(addr: SocketAddr, name: &str, acc: u32) -> Process {
    let (listen, acc) = (addr.to_string(), acc.to_string());
    let args = ["standin", "worker", "--listen", &listen, "--name", name];
    spawn(addr, &[&args[..], &["--cpu", "8000", "--mem", "16000", "--acc", &acc]].concat())
}

fn runner(addr: SocketAddr, name: &str) -> Process {
    spawn(addr, &["standin", "runner", "--listen", &addr.to_string(), "--name", name])
}
