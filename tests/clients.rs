//! Clients that the users don't control: they send large or endless requests, stop short of the end,
//! don't read answers, and come back when they are cut off. Whatever they send, an entry has to stay
//! within the memory and the descriptors of its settings and has to answer other callers.
//!
//! The entries are separate processes with lowered limits. The tests run one at a time.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use sprucerudder::clock::Millis;
use sprucerudder::platform::http::{HttpClient, HttpError, HttpResponse, uri};
use sprucerudder::standin::process::Process;
use sprucerudder::standin::site::Site;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::JoinSet;

/// How long to wait for a condition: longer than any takes on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// A crowd in which no client has sent or received anything for this long is waiting for the entry.
const QUIET_TIME: Duration = Duration::from_secs(1);
const PORT: u16 = 20_000;
/// The largest body that the policy allows.
const BODY_BYTES: usize = 262_144;
/// The memory in the entry's settings, in megabytes.
const MEMORY_MB: u64 = 96;
/// The descriptors in the settings where a test is not about them, as on the users' VMs.
const MANY_FDS: usize = 4_100;
/// The descriptors that the platform reserves for files; sockets share what remains.
const FILE_FDS: usize = 200;
/// How often a client whose connection was closed opens another one.
const MAX_RECONNECTS: usize = 2;

static SERIAL: Mutex<()> = Mutex::const_new(());

/// A site with entries.
struct Cluster {
    site: Site,
    http: HttpClient,
    entries: Vec<Entry>,
    max_fds: usize,
}

/// An entry and the most that it has held.
struct Entry {
    process: Process,
    usage: Arc<Usage>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.usage.is_over.store(true, Ordering::Relaxed);
    }
}

/// The highest figures of a process so far.
#[derive(Debug, Default)]
struct Usage {
    memory_kb: AtomicUsize,
    sockets: AtomicUsize,
    is_over: AtomicBool,
}

impl Usage {
    /// Samples a process until `is_over` is set. Bytes that have arrived and are not read count as
    /// memory, as on the platform.
    fn watch(self: Arc<Self>, pid: u32, front: SocketAddrV4) {
        while !self.is_over.load(Ordering::Relaxed) {
            let fds = std::fs::read_dir(format!("/proc/{pid}/fd")).into_iter().flatten();
            let links = fds.filter_map(|fd| std::fs::read_link(fd.ok()?.path()).ok());
            let sockets = links.filter(|link| link.to_string_lossy().starts_with("socket:"));
            self.sockets.fetch_max(sockets.count(), Ordering::Relaxed);
            let memory = resident_kb(pid) + unread_bytes(front) / 1_024;
            self.memory_kb.fetch_max(memory, Ordering::Relaxed);
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

/// The resident memory of a process in KB; 0 if it has ended.
fn resident_kb(pid: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// The bytes that wait unread in the sockets of the listeners of an entry, the first of which is
/// `front`.
fn unread_bytes(front: SocketAddrV4) -> usize {
    let host = format!("{:08X}", u32::from(*front.ip()).swap_bytes());
    let ports: Vec<String> =
        (0..4).map(|offset| format!("{host}:{:04X}", front.port() + offset)).collect();
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let unread = table.lines().filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let local = fields.next()?;
        ports.iter().find(|port| **port == local)?;
        let (_, state, queues) = (fields.next(), fields.next()?, fields.next()?);
        // The queue of a listening socket counts connections.
        (state == "01").then(|| usize::from_str_radix(queues.split_once(':')?.1, 16).ok())?
    });
    unread.sum()
}

impl Cluster {
    async fn start(entries: u16, max_fds: usize) -> Self {
        static NEXT_HOST: AtomicU8 = AtomicU8::new(2);
        let (pid, index) = (std::process::id(), NEXT_HOST.fetch_add(1, Ordering::Relaxed));
        let host = Ipv4Addr::new(127, (pid >> 8) as u8, pid as u8, index);
        let site = Site::start(&host.to_string(), PORT, 4).await.unwrap();
        let limits = format!("[limits]\nmemory_mb = {MEMORY_MB}\nmax_fds = {max_fds}");
        let start_entry = |entry: u16| {
            let settings = site.settings(entry).replace("[limits]", &limits);
            let path = std::env::temp_dir().join(format!("spruce-clients-{pid}-{index}-{entry}"));
            let program = env!("CARGO_BIN_EXE_sprucerudder");
            let process =
                Process::start_node(program, &path, &settings, &[], Stdio::null()).unwrap();
            let (usage, id) = (Arc::new(Usage::default()), process.id());
            let (watched, front) = (usage.clone(), site.front_addr(entry).parse().unwrap());
            std::thread::spawn(move || watched.watch(id, front));
            Entry { process, usage }
        };
        let entries = (0..entries).map(start_entry).collect();
        let cluster = Self { site, http: HttpClient::default(), entries, max_fds };
        cluster.await_ready().await;
        cluster
    }

    async fn wait_until(&self, what: &str, mut condition: impl AsyncFnMut() -> bool) {
        let start = Instant::now();
        while !condition().await {
            if start.elapsed() > TIMEOUT {
                let usage: Vec<_> = self.entries.iter().map(|entry| &entry.usage).collect();
                panic!("timed out waiting for {what}: {usage:?}");
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn call(&self, addr: &str, method: Method, path: &str, body: &str) -> Option<StatusCode> {
        let request = Request::builder().method(method).uri(uri(addr, path).unwrap());
        let request = request.header("Host", "desk.example");
        let request = request.body(Full::from(Bytes::from(body.to_string()))).unwrap();
        let answer: Result<HttpResponse, HttpError> =
            self.http.send(addr, request, Millis(5_000)).await;
        answer.ok().map(|answer| answer.status)
    }

    async fn await_ready(&self) {
        for entry in 0..self.entries.len() as u16 {
            let addr = self.site.ready_addr(entry);
            self.wait_until("an entry to be ready", async || {
                self.call(&addr, Method::GET, "/readiness", "").await == Some(StatusCode::OK)
            })
            .await;
        }
    }

    /// Checks that the entries run, take jobs and answer the balancer, and have kept their limits.
    /// The caller repeats a job that was refused, as callers do.
    async fn check(&mut self, job: u64) {
        let (path, body) = (format!("/plain/{job:016x}"), job_body("10", ""));
        for entry in 0..self.entries.len() as u16 {
            let addr = self.site.front_addr(entry);
            self.wait_until("a job to be accepted", async || {
                self.call(&addr, Method::POST, &path, &body).await == Some(StatusCode::OK)
            })
            .await;
        }
        self.await_ready().await;
        for entry in &mut self.entries {
            assert_eq!(entry.process.try_wait().unwrap(), None, "an entry has ended");
            let memory_mb = entry.usage.memory_kb.load(Ordering::Relaxed) as u64 / 1_024;
            let sockets = entry.usage.sockets.load(Ordering::Relaxed);
            println!("at most {memory_mb} MB and {sockets} sockets");
            assert!(memory_mb <= MEMORY_MB, "{memory_mb} MB of {MEMORY_MB}");
            assert!(sockets <= self.max_fds - FILE_FDS, "{sockets} sockets of {}", self.max_fds);
        }
    }
}

fn job_body(spec: &str, image: &str) -> String {
    let steps: Value = json!([{"count": 1, "cpu": 100, "mem_mb": 10, "image": image}]);
    json!({"spec": spec, "steps": steps}).to_string()
}

/// The head of a request to submit a job, up to the fields that describe its body.
fn submit_head(client: usize) -> String {
    format!(
        "POST /plain/{:016x} HTTP/1.1\r\nHost: desk.example\r\n\
         X-Sprucerudder-Deadline-Ms: 60000\r\n",
        0xc000_0000 + client
    )
}

/// A request with a body of a stated length of which the last byte is missing.
fn short_body(client: usize) -> Vec<u8> {
    let mut request = submit_head(client) + &format!("Content-Length: {BODY_BYTES}\r\n\r\n");
    request.extend(std::iter::repeat_n(' ', BODY_BYTES - 1));
    request.into_bytes()
}

/// A request with a body in chunks of which the last byte is missing.
fn chunked_body(client: usize, chunk: usize) -> Vec<u8> {
    let mut request = submit_head(client) + "Transfer-Encoding: chunked\r\n\r\n";
    let mut remaining = BODY_BYTES - 1;
    while remaining > 0 {
        let size = chunk.min(remaining);
        request += &format!("{size:x}\r\n{}\r\n", " ".repeat(size));
        remaining -= size;
    }
    request.into_bytes()
}

/// A whole request to submit a job.
fn whole_job(client: usize, body: &str) -> Vec<u8> {
    let head = submit_head(client) + &format!("Content-Length: {}\r\n\r\n", body.len());
    (head + body).into_bytes()
}

/// Clients that each send a request, leave the connection open, and come back if it is closed.
struct Crowd {
    clients: JoinSet<()>,
    /// The number of times that a client could send or receive something.
    progress: Arc<AtomicUsize>,
}

impl Crowd {
    /// `addrs`: the clients connect to each of these in turn. `reads`: whether they read answers.
    fn start(
        addrs: &[String],
        count: usize,
        reads: bool,
        request: impl Fn(usize) -> Vec<u8>,
    ) -> Self {
        let (mut clients, progress) = (JoinSet::new(), Arc::new(AtomicUsize::new(0)));
        for client in 0..count {
            let addr: SocketAddr = addrs[client % addrs.len()].parse().unwrap();
            let (request, progress) = (request(client), progress.clone());
            clients.spawn(async move {
                for _ in 0..=MAX_RECONNECTS {
                    // A connection that is refused or reset is what the entry may do to the client.
                    let _ = hold_connection(addr, &request, reads, &progress).await;
                }
            });
        }
        Self { clients, progress }
    }

    /// Waits until the clients only wait for the entry.
    async fn settle(&self) {
        let (mut last, mut since) = (0, Instant::now());
        while since.elapsed() < QUIET_TIME {
            tokio::time::sleep(POLL_INTERVAL).await;
            let progress = self.progress.load(Ordering::Relaxed);
            if progress != last {
                (last, since) = (progress, Instant::now());
            }
        }
    }
}

/// Sends a request and keeps the connection open until the entry closes it.
async fn hold_connection(
    addr: SocketAddr,
    request: &[u8],
    reads: bool,
    progress: &AtomicUsize,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(addr).await?;
    for piece in request.chunks(16_384) {
        stream.write_all(piece).await?;
        progress.fetch_add(1, Ordering::Relaxed);
    }
    let mut answer = [0; 1_024];
    while reads && stream.read(&mut answer).await? > 0 {
        progress.fetch_add(1, Ordering::Relaxed);
    }
    if !reads {
        std::future::pending::<()>().await;
    }
    Ok(())
}

/// Has two crowds after one another at addresses of new entries, and checks the entries while each
/// crowd is connected.
async fn play(
    mut cluster: Cluster,
    addrs: &[String],
    count: usize,
    reads: bool,
    request: impl Fn(usize) -> Vec<u8>,
) {
    for round in 0..2 {
        let crowd = Crowd::start(addrs, count, reads, |client| request(round * count + client));
        crowd.settle().await;
        cluster.check(round as u64 + 1).await;
        drop(crowd.clients);
    }
}

/// Has two crowds at the callers' address of an entry.
async fn play_at_front(
    max_fds: usize,
    count: usize,
    reads: bool,
    request: impl Fn(usize) -> Vec<u8>,
) {
    let _serial = SERIAL.lock().await;
    let cluster = Cluster::start(1, max_fds).await;
    let addrs = [cluster.site.front_addr(0)];
    play(cluster, &addrs, count, reads, request).await;
}

/// Unfinished bodies were held without a limit on their sum: 1,500 of them ended a process.
#[tokio::test]
async fn bodies_that_stop_short_of_their_end() {
    play_at_front(MANY_FDS, 400, true, short_body).await;
}

/// As above; a chunked body has no stated length by which it could be refused.
#[tokio::test]
async fn bodies_in_large_chunks_that_stop_short_of_their_end() {
    play_at_front(MANY_FDS, 400, true, |client| chunked_body(client, 16_384)).await;
}

/// Each chunk was kept with the buffer that it was read into, so a body took many times its size.
#[tokio::test]
async fn bodies_in_chunks_of_one_byte() {
    play_at_front(MANY_FDS, 40, true, |client| chunked_body(client, 1)).await;
}

/// As above, with more and slightly larger chunks.
#[tokio::test]
async fn bodies_in_chunks_of_eight_bytes() {
    play_at_front(MANY_FDS, 300, true, |client| chunked_body(client, 8)).await;
}

/// The names in a job did not count toward the memory of jobs, neither before nor after it ended.
/// The owner gets the jobs from all entries.
#[tokio::test]
async fn whole_bodies_with_long_names() {
    let _serial = SERIAL.lock().await;
    let cluster = Cluster::start(3, MANY_FDS).await;
    let addrs: Vec<_> = (0..3).map(|entry| cluster.site.front_addr(entry)).collect();
    let body = job_body("10", &"x".repeat(BODY_BYTES - 100));
    play(cluster, &addrs, 600, true, |client| whole_job(client, &body)).await;
}

/// A job of the largest size takes many times that when it is decoded. These are refused for their
/// last step, after all others were decoded.
#[tokio::test]
async fn whole_bodies_with_many_steps() {
    let steps = vec![json!({"count": 1}); 21_000];
    let body = json!({"steps": steps}).to_string().replace("]}", ",{}]}");
    play_at_front(MANY_FDS, 400, true, |client| whole_job(client, &body)).await;
}

const FEW_FDS: usize = 400;

/// Nothing limited the connections: unfinished headers took all descriptors, and none was left for
/// other callers, the store and workers.
#[tokio::test]
async fn headers_that_do_not_end() {
    play_at_front(FEW_FDS, 500, true, |client| submit_head(client).into_bytes()).await;
}

/// Headers of almost the largest size: the memory for connections must not grow with what is sent.
#[tokio::test]
async fn long_headers_that_do_not_end() {
    let request = |client| (submit_head(client) + "X-Padding: " + &"x".repeat(15_000)).into_bytes();
    play_at_front(MANY_FDS, 400, true, request).await;
}

/// The same at the addresses of readiness checks and of the metrics, whose descriptors are those of
/// the whole process.
#[tokio::test]
async fn headers_that_do_not_end_at_the_other_listeners() {
    let _serial = SERIAL.lock().await;
    let cluster = Cluster::start(1, FEW_FDS).await;
    let addrs = [cluster.site.ready_addr(0), cluster.site.metrics_addr(0)];
    play(cluster, &addrs, 500, true, |_| b"GET /readiness HTTP/1.1\r\n".to_vec()).await;
}

/// Answers that are not read must not pile up in the entry.
#[tokio::test]
async fn answers_that_are_not_read() {
    let request = |_| b"GET /plain/ HTTP/1.1\r\nHost: desk.example\r\n\r\n".repeat(4_000);
    play_at_front(FEW_FDS, 500, false, request).await;
}

/// A planned stop must not wait for bodies that never end until the platform kills the process.
#[tokio::test]
async fn a_planned_stop_while_bodies_hang() {
    let _serial = SERIAL.lock().await;
    let mut cluster = Cluster::start(1, MANY_FDS).await;
    let crowd = Crowd::start(&[cluster.site.front_addr(0)], 100, true, short_body);
    crowd.settle().await;
    let process = &mut cluster.entries[0].process;
    kill(Pid::from_raw(process.id() as i32), Signal::SIGTERM).unwrap();
    let start = Instant::now();
    let status = loop {
        match process.try_wait().unwrap() {
            Some(status) => break status,
            None => assert!(start.elapsed() < TIMEOUT, "the entry does not stop"),
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    };
    assert!(status.success(), "{status}");
}

/// A caller whose body did not arrive in time was told that its job is malformed, and gave it up. The
/// answer has to say that the job was not taken, and when to come back.
#[tokio::test]
async fn an_unfinished_body_is_refused_with_a_time_to_come_back() {
    let _serial = SERIAL.lock().await;
    let cluster = Cluster::start(1, MANY_FDS).await;
    let mut stream = TcpStream::connect(cluster.site.front_addr(0)).await.unwrap();
    stream.write_all(&short_body(0)).await.unwrap();
    let mut answer = String::new();
    let read = tokio::time::timeout(TIMEOUT, stream.read_to_string(&mut answer)).await;
    read.expect("an answer").unwrap();
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.to_ascii_lowercase().contains("\r\nretry-after: "), "{answer}");
}

/// The address for other entries took a megabyte from anybody, before the greeting told who it was.
#[tokio::test]
async fn frames_of_unknown_peers_that_stop_short_of_their_end() {
    const FRAME_BYTES: usize = 1_000_000;
    let _serial = SERIAL.lock().await;
    let cluster = Cluster::start(1, MANY_FDS).await;
    let front: SocketAddrV4 = cluster.site.front_addr(0).parse().unwrap();
    let peer = SocketAddrV4::new(*front.ip(), front.port() + 2);
    let mut frame = (FRAME_BYTES as u32).to_be_bytes().to_vec();
    frame.extend(std::iter::repeat_n(0, FRAME_BYTES - 1));
    play(cluster, &[peer.to_string()], 300, true, |_| frame.clone()).await;
}
