//! Entries with several connections to one owner. The test opens the connections itself, in place of
//! the entries, and so decides in which order they are accepted, greeted on and closed.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use serde::Serialize;
use serde_json::{Value, json};
use sprucerudder::clock::Millis;
use sprucerudder::platform::http::{HttpClient, uri};
use sprucerudder::standin::process::Process;
use sprucerudder::standin::site::Site;
use sprucerudder::standin::site::store::Faults;
use std::io;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::task::JoinHandle;

/// How long to wait for a condition: longer than any takes on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(30);
/// How long a message of the owner may take: a takeover, or a task that waits for another entry's
/// answer first.
const REPLY_TIMEOUT: Duration = Duration::from_secs(8);
const POLL_INTERVAL: Duration = Duration::from_millis(30);
const PING_INTERVAL: Duration = Duration::from_millis(100);
/// Longer than an owner takes to find a closed connection.
const CLOSE_TIME: Duration = Duration::from_millis(300);
/// Longer than an entry takes to write a log line.
const LOG_TIME: Duration = Duration::from_millis(300);
const PORT: u16 = 20_000;
/// Offset of the port for other entries from that for callers.
const PEER_PORT_OFFSET: u16 = 2;

/// The kinds of messages, by their positions in `EntryMessage` and `OwnerMessage`.
const HELLO: u32 = 0;
const PING: u32 = 1;
const ACK: u32 = 0;
const PONG: u32 = 1;
const ASK_ADVICE: u32 = 12;

/// Entries as separate processes on a loopback address of their own.
struct Cluster {
    site: Site,
    http: HttpClient,
    entries: Vec<Process>,
    folder: PathBuf,
}

impl Cluster {
    async fn start(entries: u16) -> Self {
        static NEXT_HOST: AtomicU8 = AtomicU8::new(2);
        let (pid, index) = (std::process::id(), NEXT_HOST.fetch_add(1, Ordering::Relaxed));
        let host = format!("127.{}.{}.{index}", (pid >> 8) as u8, pid as u8);
        let site = Site::start(&host, PORT, 3).await.unwrap();
        let folder = std::env::temp_dir().join(format!("sprucerudder-peers-{pid}-{index}"));
        std::fs::create_dir_all(&folder).unwrap();
        let mut cluster = Self { site, http: HttpClient::default(), entries: Vec::new(), folder };
        for entry in 0..entries {
            let process = cluster.spawn_entry(entry);
            cluster.entries.push(process);
            // The first entry owns the cell.
            cluster.await_ready(entry).await;
        }
        cluster
    }

    fn spawn_entry(&self, entry: u16) -> Process {
        let path = self.folder.join(format!("{entry}.toml"));
        let log = std::fs::File::create(self.log_path(entry)).unwrap();
        let program = env!("CARGO_BIN_EXE_sprucerudder");
        Process::start_node(program, &path, &self.site.settings(entry), &[], Stdio::from(log))
            .unwrap()
    }

    fn log_path(&self, entry: u16) -> PathBuf {
        self.folder.join(format!("{entry}.log"))
    }

    async fn await_ready(&self, entry: u16) {
        let addr = self.site.ready_addr(entry);
        wait_until("an entry to be ready", async || {
            let request = Request::get(uri(&addr, "/readiness").unwrap());
            let request = request.body(Full::default()).unwrap();
            let answer = self.http.send(&addr, request, Millis(1_000)).await;
            answer.is_ok_and(|answer| answer.status == StatusCode::OK)
        })
        .await;
    }

    /// Whether an entry has logged a line that contains `text`, once what it did is written.
    async fn has_logged(&self, entry: u16, text: &str) -> bool {
        tokio::time::sleep(LOG_TIME).await;
        self.log(entry).contains(text)
    }

    fn log(&self, entry: u16) -> String {
        std::fs::read_to_string(self.log_path(entry)).unwrap()
    }

    /// Waits until an entry has taken the cell over, and returns its epoch.
    async fn await_takeover(&self, entry: u16) -> u64 {
        let mut epoch = None;
        wait_until("a takeover", async || {
            let log = self.log(entry);
            let line = log.lines().find(|line| line.starts_with("event=takeover "));
            let field =
                line.and_then(|line| line.split(' ').find_map(|part| part.strip_prefix("epoch=")));
            epoch = field.and_then(|text| text.parse().ok());
            epoch.is_some()
        })
        .await;
        epoch.unwrap()
    }

    /// Waits until an owner counts so many other entries as connected.
    async fn await_connected_entries(&self, owner: u16, count: usize) {
        let addr = self.site.metrics_addr(owner);
        let wanted = format!("sprucerudder_entries_connected {count}");
        wait_until(&wanted, async || {
            let request = Request::get(uri(&addr, "/metrics").unwrap());
            let request = request.body(Full::default()).unwrap();
            let answer = self.http.send(&addr, request, Millis(1_000)).await;
            let body = answer.map(|answer| answer.body).unwrap_or_default();
            String::from_utf8_lossy(&body).lines().any(|line| line == wanted)
        })
        .await;
    }

    /// The address of an entry for other entries.
    fn peer_addr(&self, entry: u16) -> String {
        let addr = self.site.front_addr(entry);
        let (host, port) = addr.rsplit_once(':').unwrap();
        format!("{host}:{}", port.parse::<u16>().unwrap() + PEER_PORT_OFFSET)
    }

    /// Submits a job whose only task needs the advice service.
    async fn submit_advised(&self, entry: u16, job: u64) {
        let step = json!({"count": 1, "cpu": 100, "mem_mb": 10, "estimate_ms": 100});
        let body = json!({"spec": "100", "steps": [step]});
        self.submit(entry, &format!("/advised/{job:016x}"), &body).await;
    }

    async fn submit(&self, entry: u16, path: &str, body: &Value) {
        let addr = self.site.front_addr(entry);
        let body = body.to_string();
        wait_until("a job to be accepted", async || {
            let request = Request::post(uri(&addr, path).unwrap())
                .header("Host", "desk.example")
                .header("X-Sprucerudder-Deadline-Ms", "3000")
                .body(Full::from(Bytes::from(body.clone())))
                .unwrap();
            let answer = self.http.send(&addr, request, Millis(5_000)).await;
            answer.is_ok_and(|answer| answer.status == StatusCode::OK)
        })
        .await;
    }
}

async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < TIMEOUT, "timed out waiting for {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// What an entry tells in its greeting.
#[derive(Debug, Clone, Copy)]
struct Greeting<'a> {
    entry: &'a str,
    epoch: u64,
    cpu: u32,
    log_steady: bool,
}

impl Default for Greeting<'_> {
    fn default() -> Self {
        // The name comes before that of the owner, which asks idle entries in the order of names.
        Self { entry: "a", epoch: 1, cpu: 100, log_steady: false }
    }
}

/// A connection to an entry.
struct Connection {
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
}

impl Connection {
    async fn open(addr: &str) -> Self {
        let stream = TcpStream::connect(addr).await.unwrap();
        stream.set_nodelay(true).unwrap();
        let (reader, writer) = stream.into_split();
        Self { reader, writer }
    }

    async fn greet(mut self, greeting: Greeting<'_>) -> Self {
        let Greeting { entry, epoch, cpu, log_steady } = greeting;
        let (cell, is_home, peers) = (0_u32, true, 1_u32);
        let message = (HELLO, entry, cell, epoch, cpu, is_home, (log_steady, peers));
        send(&mut self.writer, message).await.unwrap();
        self
    }

    /// Greets, and waits until the owner has registered the connection: it answers the ping after
    /// that.
    async fn register(self, greeting: Greeting<'_>) -> Self {
        let mut greeted = self.greet(greeting).await;
        send(&mut greeted.writer, (PING, true)).await.unwrap();
        assert!(receives(&mut greeted.reader, PONG).await, "the owner did not accept the greeting");
        greeted
    }

    /// Pings in the background from now on, as an entry does.
    fn keep_alive(self) -> LiveConnection {
        self.report_log(true, PING_INTERVAL)
    }

    /// As [`Self::keep_alive`], with pings that tell whether the entry can read the log.
    fn report_log(self, readable: bool, interval: Duration) -> LiveConnection {
        let Self { reader, mut writer } = self;
        let pings = tokio::spawn(async move {
            while send(&mut writer, (PING, readable)).await.is_ok() {
                tokio::time::sleep(interval).await;
            }
        });
        LiveConnection { reader, pings }
    }
}

/// A connection with pings, which is closed when it is dropped.
struct LiveConnection {
    reader: OwnedReadHalf,
    pings: JoinHandle<()>,
}

impl LiveConnection {
    /// Whether a message of this kind arrives in time, and while the connection is open.
    async fn receives(&mut self, kind: u32) -> bool {
        receives(&mut self.reader, kind).await
    }
}

impl Drop for LiveConnection {
    fn drop(&mut self) {
        self.pings.abort();
    }
}

async fn send(writer: &mut OwnedWriteHalf, message: impl Serialize) -> io::Result<()> {
    let id = 0_u64;
    let bytes = postcard::to_stdvec(&(id, message)).unwrap();
    writer.write_u32(bytes.len() as u32).await?;
    writer.write_all(&bytes).await
}

/// Reads a message of the owner and returns its kind.
async fn read_kind(reader: &mut OwnedReadHalf) -> io::Result<u32> {
    let len = reader.read_u32().await?;
    let mut bytes = vec![0; len as usize];
    reader.read_exact(&mut bytes).await?;
    let ((_, kind), _) = postcard::take_from_bytes::<(u64, u32)>(&bytes).unwrap();
    Ok(kind)
}

/// Whether a message of this kind arrives in time, and while the connection is open.
async fn receives(reader: &mut OwnedReadHalf, kind: u32) -> bool {
    let receiving = async {
        while read_kind(reader).await? != kind {}
        io::Result::Ok(())
    };
    matches!(tokio::time::timeout(REPLY_TIMEOUT, receiving).await, Ok(Ok(())))
}

// An entry gives a connection up and opens another one. The owner handles the greeting on the older
// one last, and finds it closed. It must not lose the entry, whose newer connection is open.
#[tokio::test]
async fn entry_lost_to_a_stale_connection_that_is_registered_last() {
    let cluster = Cluster::start(1).await;
    let addr = cluster.peer_addr(0);
    let stale = Connection::open(&addr).await;
    let live = Connection::open(&addr).await;
    let live = live.register(Greeting::default()).await;
    let stale = stale.register(Greeting::default()).await;
    drop(stale);
    let mut live = live.keep_alive();
    tokio::time::sleep(CLOSE_TIME).await;
    cluster.submit_advised(0, 1).await;
    assert!(live.receives(ASK_ADVICE).await, "the owner does not know the entry");
    cluster.await_connected_entries(0, 1).await;
    drop(live);
    cluster.await_connected_entries(0, 0).await;
}

// While an entry takes a cell over, others open connections to it, give them up and open more. All
// of them are registered at the same moment, in any order. Each entry with an open connection has to
// be known then.
#[tokio::test]
async fn entries_lost_to_stale_connections_that_waited_for_a_takeover() {
    const NAMES: [&str; 6] = ["a1", "a2", "a3", "a4", "a5", "a6"];
    let mut cluster = Cluster::start(2).await;
    let addr = cluster.peer_addr(1);
    drop(cluster.entries.remove(0));
    // The next claim gets this epoch, as its place in the log of claims.
    let epoch = cluster.site.store.len("claims") as u64 + 1;
    let (mut stale, mut live) = (Vec::new(), Vec::new());
    for entry in NAMES {
        let greeting = Greeting { entry, epoch, ..Greeting::default() };
        for _ in 0..3 {
            stale.push(Connection::open(&addr).await.greet(greeting).await);
        }
        live.push(Connection::open(&addr).await.greet(greeting).await);
    }
    drop(stale);
    let mut live: Vec<_> = live.into_iter().map(Connection::keep_alive).collect();
    for connection in &mut live {
        assert!(connection.receives(ACK).await, "there is no takeover in the next epoch");
    }
    tokio::time::sleep(CLOSE_TIME).await;
    // One for each entry, and one for the owner.
    for job in 0..=NAMES.len() as u64 {
        cluster.submit_advised(1, job).await;
    }
    let asked = live.iter_mut().map(|connection| connection.receives(ASK_ADVICE));
    let asked = futures_util::future::join_all(asked).await;
    assert_eq!(asked, [true; NAMES.len()], "the owner does not know all of {NAMES:?}");
}

// An entry moves to a smaller VM. The greeting of its former process is handled last: the owner must
// not take the processors in it for those that the entry has.
#[tokio::test]
async fn cell_given_up_for_the_processors_in_a_stale_greeting() {
    let cluster = Cluster::start(1).await;
    let addr = cluster.peer_addr(0);
    let stale = Connection::open(&addr).await;
    let live = Connection::open(&addr).await;
    let live = live.register(Greeting { cpu: 100, ..Greeting::default() }).await;
    let stale = stale.register(Greeting { cpu: 64_000, ..Greeting::default() }).await;
    let _stale = stale.keep_alive();
    let mut live = live.keep_alive();
    // Longer than an owner waits before it gives a cell to a larger entry.
    let end = Instant::now() + Duration::from_secs(5);
    while Instant::now() < end {
        assert!(live.receives(PONG).await, "the owner gave the cell up");
    }
}

// An entry could read the log when it opened a connection, and could not when it opened the next
// one. The owner handles the earlier greeting last: it must not take it for what holds now, and
// conclude that no earlier owner started anything without a record.
#[tokio::test]
async fn records_trusted_for_the_word_in_a_stale_greeting() {
    let mut cluster = Cluster::start(2).await;
    cluster.submit_advised(0, 1).await;
    // After the takeover, tasks are held back until it is known what runs on these workers.
    for worker in &cluster.site.workers {
        worker.faults.unreachable.store(true, Ordering::Relaxed);
    }
    drop(cluster.entries.remove(0));
    let epoch = cluster.await_takeover(1).await;
    let addr = cluster.peer_addr(1);
    let greeting = |log_steady| Greeting { epoch, log_steady, ..Greeting::default() };
    let stale = Connection::open(&addr).await;
    let live = Connection::open(&addr).await;
    let next = Connection::open(&addr).await;
    let _live = live.register(greeting(false)).await;
    let _stale = stale.register(greeting(true)).await;
    assert!(!cluster.has_logged(1, "event=records-trusted").await, "a stale greeting counted");
    let _next = next.register(greeting(true)).await;
    wait_until("the newest report to count", async || {
        cluster.has_logged(1, "event=records-trusted").await
    })
    .await;
}

// An entry that could not read the log replaced its connection and can read it now. Its earlier
// pings are handled last: an owner without the store must not take them for news, and start tasks
// because most entries cannot read the log either.
#[tokio::test]
async fn task_started_for_the_pings_on_a_stale_connection() {
    let cluster = Cluster::start(1).await;
    let addr = cluster.peer_addr(0);
    let stale = Connection::open(&addr).await;
    let live = Connection::open(&addr).await;
    let live = live.register(Greeting::default()).await;
    let stale = stale.register(Greeting::default()).await;
    let _live = live.report_log(true, PING_INTERVAL);
    let _stale = stale.report_log(false, PING_INTERVAL / 10);
    let steps = json!([
        {"count": 1, "cpu": 100, "mem_mb": 10, "estimate_ms": 2_500},
        {"count": 1, "cpu": 100, "mem_mb": 10, "estimate_ms": 2_500, "depends_on": [0]}
    ]);
    cluster.submit(0, "/plain/00000000000000a1", &json!({"spec": "2500", "steps": steps})).await;
    let starts = || cluster.site.workers.iter().map(|worker| worker.starts().len()).sum::<usize>();
    wait_until("the first task to start", async || starts() == 1).await;
    cluster.site.store.set(Faults { refuses: true, ..Faults::default() });
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert_eq!(starts(), 1, "the second task was started");
    cluster.site.store.set(Faults::default());
    wait_until("the second task to start", async || starts() == 2).await;
}
