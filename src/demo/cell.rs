//! The cell of the demo: simulated platform, workers and runners, and real entries, all in this
//! process on free ports of loopback.

use crate::clock::Millis;
use crate::controller::list::{Role, Vm, VmList};
use crate::entry::Entry;
use crate::id::Name;
use crate::platform::http::{HttpClient, HttpResponse, uri};
use crate::server::serve;
use crate::settings::Settings;
use crate::size::Size;
use crate::standin::platform::Platform;
use crate::standin::runner::Runner;
use crate::standin::worker::Worker;
use crate::trace::{Event, Trace};
use crate::wire::keys::Authority;
use anyhow::{Context, Result, anyhow, bail};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE};
use hyper::{Method, Request};
use serde_json::{Value, json};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::watch;

const OPERATOR_TOKEN: &str = "demo-operator-token";
/// Time limit of a call to an entry.
const CALL_TIMEOUT: Millis = Millis(20_000);
/// Time for which the platform's log keeps records.
const LOG_RETENTION: Millis = Millis(600_000);
/// Time limit for the start of the cell.
const START_TIMEOUT: Millis = Millis(30_000);
const POLL_INTERVAL: Millis = Millis(50);
/// The failure domains, and the size of the workers in each.
const DOMAINS: [(&str, Size); 2] =
    [("nasr-hall", Size::new(16_000, 32_000, 0)), ("pasila", Size::new(32_000, 64_000, 0))];
const WORKERS_PER_DOMAIN: usize = 4;
const RUNNERS_PER_DOMAIN: usize = 2;
const SLOTS_PER_RUNNER: u32 = 8;
const FIRST_WORKER_ACCELERATORS: u32 = 2;

/// The table that the demo publishes.
pub const EXAMPLE_TABLE: &str = include_str!("../../docs/example/table.csv");

/// The cell.
pub struct Cell {
    /// The simulated platform.
    pub platform: Arc<Platform>,
    /// The entries, each with its address for callers.
    pub entries: Vec<(Arc<Entry>, SocketAddr)>,
    /// CPU capacity of all workers together, in thousandths of a core.
    pub total_cpu: u64,
    traces: Vec<Arc<Trace>>,
    http: HttpClient,
    stop: watch::Sender<bool>,
}

async fn bind_loopback() -> Result<(TcpListener, Name)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let addr = listener.local_addr()?.to_string().into();
    Ok((listener, addr))
}

/// Completes when the cell is stopped.
async fn wait_for_stop(mut stop: watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await;
}

impl Cell {
    /// Starts all parts of the cell and waits until each shard has an owner.
    pub async fn start() -> Result<Self> {
        let platform = Platform::new(LOG_RETENTION);
        let (listener, addr) = bind_loopback().await?;
        let mut cell = Self {
            platform: platform.clone(),
            entries: Vec::new(),
            total_cpu: 0,
            traces: Vec::new(),
            http: HttpClient::default(),
            stop: watch::Sender::new(false),
        };
        tokio::spawn(serve(listener, platform.app(), wait_for_stop(cell.stop.subscribe())));
        let mut vms = Vec::new();
        for (domain, size) in DOMAINS {
            cell.start_workers(domain, size, &mut vms).await?;
            cell.start_runners(domain, &mut vms).await?;
        }
        cell.start_entries(&addr, &mut vms).await?;
        cell.platform.set_list(VmList { rev: 1, vms });
        cell.publish_table().await?;
        Ok(cell)
    }

    async fn start_workers(&mut self, domain: &str, size: Size, vms: &mut Vec<Vm>) -> Result<()> {
        for index in 0..WORKERS_PER_DOMAIN {
            let (listener, addr) = bind_loopback().await?;
            let name: Name = format!("{domain}-w{index}").into();
            let acc = if index == 0 { FIRST_WORKER_ACCELERATORS } else { 0 };
            let size = Size { acc, ..size };
            let worker = Worker::new(name.clone(), size);
            self.total_cpu += size.cpu as u64;
            self.traces.push(worker.trace());
            tokio::spawn(worker.clone().run());
            tokio::spawn(serve(listener, worker.app(), wait_for_stop(self.stop.subscribe())));
            vms.push(vm(name, Role::Worker, addr, domain, size, 0));
        }
        Ok(())
    }

    async fn start_runners(&mut self, domain: &str, vms: &mut Vec<Vm>) -> Result<()> {
        for index in 0..RUNNERS_PER_DOMAIN {
            let (listener, addr) = bind_loopback().await?;
            let name: Name = format!("{domain}-r{index}").into();
            let runner = Runner::new(name.clone(), SLOTS_PER_RUNNER);
            self.traces.push(runner.trace());
            tokio::spawn(serve(listener, runner.app(), wait_for_stop(self.stop.subscribe())));
            vms.push(vm(name, Role::Runner, addr, domain, Size::default(), SLOTS_PER_RUNNER));
        }
        Ok(())
    }

    async fn start_entries(&mut self, platform: &Name, vms: &mut Vec<Vm>) -> Result<()> {
        let authority = Authority::new("demo")?;
        for (domain, _) in DOMAINS {
            for index in 1..=2 {
                let name: Name = format!("{domain}-{index}").into();
                let keys = authority.issue(&name)?;
                let settings = json!({
                    "name": name, "domain": domain, "http": "127.0.0.1:0", "peer": "127.0.0.1:0",
                    "platform": {"log": platform, "list": platform},
                    "keys": {
                        "authority": &*keys.authority, "certificate": &*keys.certificate,
                        "secret": &*keys.secret,
                    },
                    "tokens": [{"name": "demo", "token": OPERATOR_TOKEN, "right": "operator"}],
                    "stop_grace": 500,
                });
                let addr = self.start_entry(&settings.to_string()).await?;
                vms.push(vm(name, Role::Entry, addr, domain, Size::default(), 0));
            }
        }
        Ok(())
    }

    /// Starts an entry and returns its address for other entries.
    async fn start_entry(&mut self, settings: &str) -> Result<Name> {
        let settings = Settings::parse(settings);
        let settings = settings.map_err(|errors| anyhow!("settings: {errors:?}"))?;
        let (entry, listener) = Entry::bind(settings).await?;
        let addr = listener.local_addr()?;
        let peer = entry.quic.addr()?.to_string().into();
        self.traces.push(entry.trace.clone());
        tokio::spawn(entry.clone().run(listener, wait_for_stop(self.stop.subscribe())));
        self.entries.push((entry, addr));
        Ok(peer)
    }

    async fn publish_table(&self) -> Result<()> {
        let begun = Millis::now();
        while Millis::now().since(begun) < START_TIMEOUT {
            let (_, addr) = &self.entries[0];
            let content = "text/plain; charset=utf-8";
            let path = "/v1/table?base=0";
            let headers = [("content-type", content)];
            let answer = self.send(*addr, Method::PUT, path, &headers, EXAMPLE_TABLE).await;
            if answer.is_ok_and(|answer| answer.status.is_success()) {
                return self.wait_until_ready(begun).await;
            }
            tokio::time::sleep(POLL_INTERVAL.duration()).await;
        }
        bail!("the table could not be published within the start timeout")
    }

    async fn wait_until_ready(&self, begun: Millis) -> Result<()> {
        while Millis::now().since(begun) < START_TIMEOUT {
            let owned: usize = self.entries.iter().map(|(entry, _)| entry.owned_shards()).sum();
            let tables = self.entries.iter().all(|(entry, _)| !entry.table().rows.is_empty());
            if owned == DOMAINS.len() && tables {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL.duration()).await;
        }
        bail!("not every shard got an owner within the start timeout")
    }

    /// Sends a request to an entry with the operator's token.
    pub async fn send(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<HttpResponse> {
        let addr = addr.to_string();
        let mut builder = Request::builder()
            .method(method)
            .uri(uri(&addr, path)?)
            .header(AUTHORIZATION, format!("Bearer {OPERATOR_TOKEN}"));
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let request = builder.body(Full::from(Bytes::from(body.to_string())))?;
        Ok(self.http.send(&addr, request, CALL_TIMEOUT).await?)
    }

    /// Submits a job and returns its id.
    pub async fn submit(&self, addr: SocketAddr, job: &Value) -> Result<String> {
        let headers = [(CONTENT_TYPE.as_str(), "application/json")];
        let answer = self.send(addr, Method::POST, "/v1/jobs", &headers, &job.to_string()).await?;
        let value: Value = serde_json::from_slice(&answer.body)?;
        let id = value.get("job").and_then(Value::as_str);
        Ok(id.with_context(|| format!("job submission refused: {value}"))?.to_string())
    }

    /// The events of all entries, workers and runners, in order of time.
    pub fn events(&self) -> Vec<Event> {
        let all =
            self.traces.iter().flat_map(|trace| trace.events_after(Default::default(), usize::MAX));
        let mut events: Vec<Event> = all.collect();
        events.sort_by(|a, b| (a.at, &a.process).cmp(&(b.at, &b.process)));
        events
    }

    /// Stops all parts of the cell.
    pub async fn stop(&self) {
        self.stop.send_replace(true);
        tokio::time::sleep((POLL_INTERVAL + POLL_INTERVAL).duration()).await;
    }
}

fn vm(name: Name, role: Role, addr: Name, domain: &str, size: Size, slots: u32) -> Vm {
    let (domain, rack) = (Name::from(domain), format!("{domain}-a").into());
    Vm { name, role, addr, domain, rack, size, slots, leaving: false }
}
