//! The wait for the advice service after disturbances, with entries as separate processes: owners
//! are killed while connections between entries are reset or go silent in series.
//!
//! `SPRUCE_ADVICE=5 SPRUCE_ADVICE_SEED=10 cargo test --test advice_wait -- --nocapture` runs five
//! other seeds instead of the kept ones.

#[path = "../soak/cell.rs"]
#[allow(dead_code)]
mod cell;
mod load;
#[path = "../soak/proxy.rs"]
#[allow(dead_code)]
mod proxy;
mod waits;

use cell::Cell;
use fastrand::Rng;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use load::{Callers, Job, Jobs};
use sprucerudder::clock::Millis;
use sprucerudder::platform::http::{HttpClient, uri};
use sprucerudder::standin::site::advice::{AdviceCall, AdvisedQueue};
use sprucerudder::standin::site::store::Faults;
use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;
use waits::{CALM_TIME, Violation, WaitMonitor};

/// Seeds of waits for advice that have failed.
const WAIT_SEEDS: [u64; 2] = [5, 9];
/// A seed whose steps wait in the queue while all entries are busy with advice.
const BACKLOG_SEED: u64 = 32;
/// Seeds that have failed because the owner did not ask all entries for advice.
const CALLER_SEEDS: [u64; 2] = [2, 3];
/// How long to wait for a condition: longer than any takes on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(60);
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Share of the advice service's capacity that the load uses, in percent: below two thirds.
const LOAD_PERCENT: u32 = 40;
/// Mean number of steps of a batch job.
const MEAN_STEPS: u32 = 3;
/// Interval between two short jobs.
const SHORT_INTERVAL: Duration = Duration::from_millis(100);
/// Time under load before the disturbances, in which the first jobs reach their later steps.
const WARM_TIME: Duration = Duration::from_secs(3);
/// Time in the calm period during which waits are measured: twice the longest allowed wait.
const CHECK_TIME: Duration = Duration::from_secs(6);
/// Time from the end of an owner during which the store is slow: it covers the next claim.
const SLOW_TIME: Duration = Duration::from_millis(3_500);
/// Time within which the owner has to ask every entry for advice.
const CALLER_TIME: Duration = Duration::from_secs(5);

/// The queue of short jobs. Its advice takes 20 ms with 50 workers.
const SHORT: AdvisedQueue = AdvisedQueue {
    name: "short",
    key_prefix: "5",
    decide_ms: 15,
    worker_micros: 100,
    valid_ms: 2_500,
    cleared_percent: 50,
};

fn env_number(name: &str, default: u64) -> u64 {
    match std::env::var(name) {
        Ok(text) => text.parse().unwrap_or_else(|err| panic!("{name}={text:?}: {err}")),
        Err(_) => default,
    }
}

/// What a seed decides about a run.
#[derive(Debug)]
struct Shape {
    entries: u16,
    workers: u16,
    /// The queue of batch jobs. Its advice takes 0.4 to 0.8 s.
    batch: AdvisedQueue,
    /// Batch jobs that are submitted together just before the first owner is killed.
    burst: u16,
    /// When each owner is killed, from the beginning of the disturbances.
    kills: Vec<Duration>,
    /// How long after its end a killed entry starts again; `None` if it does not.
    restart_after: Option<Duration>,
    /// Delay of the store's answers for a while after an owner was killed, which makes takeovers
    /// longer.
    store_delay: Duration,
    /// Largest time between two faults of connections, in milliseconds.
    fault_interval_ms: u64,
    /// Percent of the connection faults that silence the connections instead of resetting them.
    silence_percent: u32,
    /// How long the faults of connections go on after the last owner was killed.
    fault_time: Duration,
}

impl Shape {
    fn new(rng: &mut Rng) -> Self {
        let entries = rng.u16(12..25);
        let second_kill = Duration::from_millis(rng.u64(1_200..3_500));
        let mut kills = vec![Duration::ZERO];
        kills.extend(rng.bool().then_some(second_kill));
        Self {
            entries,
            workers: rng.u16(24..49),
            batch: AdvisedQueue {
                name: "batch",
                key_prefix: "b",
                decide_ms: rng.u64(400..700),
                worker_micros: 2_000,
                valid_ms: 2_500,
                cleared_percent: 50,
            },
            burst: rng.u16(0..=entries),
            kills,
            restart_after: rng.bool().then(|| Duration::from_millis(rng.u64(300..1_500))),
            store_delay: Duration::from_millis([0, 150, 300, 400][rng.usize(0..4)]),
            fault_interval_ms: rng.u64(60..400),
            silence_percent: [0, 30, 60][rng.usize(0..3)],
            fault_time: Duration::from_millis(rng.u64(800..4_000)),
        }
    }

    /// The same shape with takeovers that take longer than an entry waits for the next owner, so
    /// that it opens several connections to it, and with faults that end before the last takeover.
    fn with_slow_takeovers(self) -> Self {
        let (store_delay, fault_time) = (Duration::from_millis(400), Duration::from_millis(1_500));
        Self { store_delay, fault_time, ..self }
    }

    /// The interval between two batch jobs.
    fn batch_interval(&self) -> Duration {
        let response = self.batch.response_time(usize::from(self.workers));
        response * MEAN_STEPS * 100 / (LOAD_PERCENT * u32::from(self.entries))
    }
}

/// The run of one seed.
struct SeedRun {
    seed: u64,
    shape: Shape,
    rng: Rng,
    cell: Cell,
    callers: Callers,
    load: JoinSet<()>,
    monitor: WaitMonitor,
    begun: Instant,
}

impl SeedRun {
    /// Starts entries, workers and load, and waits until all entries are ready.
    async fn start(seed: u64, host: u8, to_shape: fn(Shape) -> Shape) -> Self {
        let mut rng = Rng::with_seed(seed);
        let shape = to_shape(Shape::new(&mut rng));
        let cell = Cell::start(host, shape.workers, shape.entries, None).await;
        cell.site.publish_advised_queues(2, &[shape.batch, SHORT]);
        let addrs = (0..shape.entries).map(|no| cell.site.front_addr(no)).collect();
        let callers = Callers { addrs, http: HttpClient::default(), jobs: Jobs::default() };
        let begun = Instant::now();
        let (load, monitor) = (JoinSet::new(), WaitMonitor::default());
        let mut run = Self { seed, shape, rng, cell, callers, load, monitor, begun };
        for no in 0..run.shape.entries {
            run.wait_until_ready(no).await;
        }
        run.start_load();
        run.watch_until(Instant::now() + WARM_TIME, None).await;
        run
    }

    async fn wait_until_ready(&self, no: u16) {
        let addr = self.cell.site.ready_addr(no);
        let is_ready = async || {
            let request = Request::get(uri(&addr, "/readiness").unwrap()).body(Full::default());
            let answer = self.callers.http.send(&addr, request.unwrap(), Millis(1_000)).await;
            answer.is_ok_and(|answer| answer.status == StatusCode::OK)
        };
        while !is_ready().await {
            assert!(self.begun.elapsed() < TIMEOUT, "entry {no} is not ready");
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }

    fn start_load(&mut self) {
        let (batch, interval) = (self.shape.batch, self.shape.batch_interval());
        let callers = self.callers.clone();
        self.load.spawn(callers.offer(batch, interval, self.rng.fork(), Job::batch));
        let callers = self.callers.clone();
        self.load.spawn(callers.offer(SHORT, SHORT_INTERVAL, self.rng.fork(), Job::short));
    }

    /// Submits this many jobs of both queues at once.
    fn submit_burst(&mut self, batch: u16, short: u16) {
        let queue = self.shape.batch;
        for _ in 0..batch {
            let job = Job::batch(&mut self.rng, &queue);
            self.callers.submit(queue, job, self.rng.fork());
        }
        for _ in 0..short {
            let job = Job::short(&mut self.rng, &SHORT);
            self.callers.submit(SHORT, job, self.rng.fork());
        }
    }

    fn look(&mut self, calm_since: Option<Instant>) {
        let jobs = self.callers.jobs.lock().unwrap().clone();
        self.monitor.look(&self.cell.site, &jobs, calm_since);
    }

    async fn watch_until(&mut self, end: Instant, calm_since: Option<Instant>) {
        while Instant::now() < end {
            self.look(calm_since);
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }

    /// The lines of an entry's log.
    fn log_lines(&self, no: u16) -> Vec<String> {
        read_lines(&self.cell.dir().join(format!("{no}.log")))
    }

    /// The running entry that took over the cell last, with the epoch.
    fn owner(&self) -> Option<(u64, u16)> {
        let epoch = |no: u16| self.log_lines(no).iter().filter_map(|line| epoch_of(line)).max();
        let running = (0..self.shape.entries).filter(|no| self.cell.is_running(*no));
        running.filter_map(|no| Some((epoch(no)?, no))).max()
    }

    /// Kills owners while connections to entries are reset or go silent in series. Returns the time
    /// of the last disturbance.
    async fn disturb(&mut self) -> Instant {
        self.submit_burst(self.shape.burst, 0);
        let start = Instant::now();
        let mut kills = self.shape.kills.clone();
        let mut restarts: Vec<(Instant, u16)> = Vec::new();
        let (mut next_fault, mut last_epoch, mut last_kill) = (start, 0, start);
        while !kills.is_empty()
            || !restarts.is_empty()
            || last_kill.elapsed() < self.shape.fault_time
        {
            assert!(start.elapsed() < TIMEOUT, "seed {}: no owner took over", self.seed);
            if kills.first().is_some_and(|at| start.elapsed() >= *at)
                && let Some((epoch, owner)) = self.owner().filter(|(epoch, _)| *epoch > last_epoch)
            {
                kills.remove(0);
                (last_epoch, last_kill) = (epoch, Instant::now());
                self.cell.kill_entry(owner);
                restarts.extend(self.shape.restart_after.map(|after| (last_kill + after, owner)));
            }
            let (due, later) = restarts.into_iter().partition(|(at, _)| Instant::now() >= *at);
            restarts = later;
            let due: Vec<(Instant, u16)> = due;
            due.into_iter().for_each(|(_, no)| self.cell.start_entry(no));
            let is_slow = last_kill.elapsed() < SLOW_TIME;
            let delay = if is_slow { self.shape.store_delay } else { Duration::ZERO };
            self.cell.site.store.set(Faults { delay, ..Faults::default() });
            if Instant::now() >= next_fault {
                self.disturb_connections();
                let pause = self.rng.u64(20..self.shape.fault_interval_ms);
                next_fault = Instant::now() + Duration::from_millis(pause);
            }
            self.look(None);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        self.cell.site.store.set(Faults::default());
        Instant::now()
    }

    /// Resets or silences the open connections to about half of the entries.
    fn disturb_connections(&mut self) {
        for entry in &self.cell.entries {
            match () {
                () if self.rng.bool() => {}
                () if self.rng.u32(0..100) < self.shape.silence_percent => {
                    entry.peer_proxy.update(|state| state.stall_count += 1);
                }
                () => entry.peer_proxy.update(|state| state.reset_count += 1),
            }
        }
    }

    /// The calls that the advice service received from `since` on.
    fn advice_calls(&self, since: Instant) -> Vec<AdviceCall> {
        let calls = self.cell.site.advice.calls_since(0);
        calls.into_iter().filter(|call| call.received_at >= since).collect()
    }

    /// Has the owner ask for as much advice at the same time as there are entries. Returns the
    /// entries that called the advice service.
    async fn collect_callers(&mut self) -> BTreeSet<u16> {
        let start = Instant::now();
        for _ in 0..2 {
            // As many long requests as there are entries, and enough short ones for those entries
            // that are kept free of long ones.
            self.submit_burst(self.shape.entries, 0);
            self.watch_until(Instant::now() + Duration::from_millis(150), None).await;
            self.submit_burst(0, 3 * self.shape.entries);
            self.watch_until(Instant::now() + CALLER_TIME / 2, None).await;
        }
        let calls = self.advice_calls(start);
        calls.iter().filter_map(|call| self.entry_at(&call.caller)).collect()
    }

    /// The indices of the running entries.
    fn running_entries(&self) -> BTreeSet<u16> {
        (0..self.shape.entries).filter(|no| self.cell.is_running(*no)).collect()
    }

    /// The index of the entry that calls the advice service by this address.
    fn entry_at(&self, addr: &str) -> Option<u16> {
        let mut entries = self.cell.entries.iter();
        entries.position(|entry| entry.advice_proxy.addr.to_string() == addr).map(|no| no as u16)
    }

    /// A violation with what the logs of the entries say of the step.
    fn describe(&self, violation: &Violation) -> String {
        let Violation { step, idle_since, seen_at, calls } = violation;
        let job = step.split('.').next().unwrap_or(step);
        let lines = (0..self.shape.entries).flat_map(|no| {
            let lines = self.log_lines(no).into_iter().filter(|line| line.contains(job));
            lines.map(move |line| format!("    entry-{no}: {line}"))
        });
        let lines: Vec<String> = lines.collect();
        format!(
            "step {step}: nothing running from {:.1} s to {:.1} s or longer, {calls} calls for \
             advice\n{}",
            (*idle_since - self.begun).as_secs_f64(),
            (*seen_at - self.begun).as_secs_f64(),
            lines.join("\n")
        )
    }

    /// How busy the callers of the advice service were in the calm period.
    fn describe_advice(&self, since: Instant) -> String {
        let (calls, now) = (self.advice_calls(since), Instant::now());
        let busy: Duration =
            calls.iter().map(|call| call.answered_at.unwrap_or(now) - call.received_at).sum();
        let callers: BTreeSet<&String> = calls.iter().map(|call| &call.caller).collect();
        let share = busy.as_secs_f64() / (now - since).as_secs_f64();
        format!("{} calls by {} callers, {share:.1} busy on average", calls.len(), callers.len())
    }

    /// Number of log lines of all entries that contain a text.
    fn count_lines(&self, text: &str) -> usize {
        let lines = (0..self.shape.entries).flat_map(|no| self.log_lines(no));
        lines.filter(|line| line.contains(text)).count()
    }

    fn summary(&self, calm_since: Instant) -> String {
        let jobs = self.callers.jobs.lock().unwrap();
        format!(
            "seed {}: {:?}, {} running, {} jobs, {} takeovers, {} answers not delivered at once, longest \
             wait that counts {:?}, with the time before {:?}, advice in the calm: {}",
            self.seed,
            self.shape,
            self.running_entries().len(),
            jobs.len(),
            self.count_lines("event=takeover "),
            self.count_lines("event=advice-held "),
            self.monitor.longest,
            self.monitor.longest_total,
            self.describe_advice(calm_since)
        )
    }

    /// Removes the logs of a run without faults. Returns the report of the others.
    fn finish(self, faults: Vec<String>) -> Option<String> {
        if faults.is_empty() {
            if let Err(err) = std::fs::remove_dir_all(self.cell.dir()) {
                eprintln!("event=log-removal-failed seed={} error={err:?}", self.seed);
            }
            return None;
        }
        let dir = self.cell.dir().display().to_string();
        Some(format!("seed {}, logs in {dir}:\n{}", self.seed, faults.join("\n")))
    }

    /// Checks the waits of accepted jobs after the disturbances.
    async fn check_waits(seed: u64, host: u8) -> Option<String> {
        let mut run = Self::start(seed, host, |shape| shape).await;
        let calm_since = run.disturb().await + CALM_TIME;
        run.watch_until(calm_since, None).await;
        run.watch_until(calm_since + CHECK_TIME, Some(calm_since)).await;
        println!("{}", run.summary(calm_since));
        let faults = run.monitor.violations.iter().map(|violation| run.describe(violation));
        let faults = faults.collect();
        run.finish(faults)
    }

    /// Checks which entries are asked for advice after the disturbances.
    async fn check_callers(seed: u64, host: u8) -> Option<String> {
        let mut run = Self::start(seed, host, Shape::with_slow_takeovers).await;
        let before = run.collect_callers().await;
        assert_eq!(before, run.running_entries(), "seed {seed}: before the disturbances");
        let calm_since = run.disturb().await + CALM_TIME;
        run.watch_until(calm_since, None).await;
        let after = run.collect_callers().await;
        println!("{}", run.summary(calm_since));
        let running = run.running_entries();
        let missing: Vec<&u16> = running.difference(&after).collect();
        let fault = format!(
            "the owner asks {} of {} entries for advice, without {missing:?}",
            after.len(),
            running.len()
        );
        let faults = (!missing.is_empty()).then_some(fault);
        run.finish(faults.into_iter().collect())
    }
}

fn read_lines(path: &Path) -> Vec<String> {
    let text = std::fs::read(path).unwrap_or_default();
    String::from_utf8_lossy(&text).lines().map(str::to_string).collect()
}

/// The epoch of a takeover, if the log line tells of one.
fn epoch_of(line: &str) -> Option<u64> {
    let line = line.contains("event=takeover ").then_some(line)?;
    let field = line.split(' ').find_map(|field| field.strip_prefix("epoch="))?;
    field.parse().ok()
}

/// The seeds to run, each with the number of a loopback address of its own from `first_host` on.
fn seeds(kept: &[u64], first_host: u8) -> Vec<(u64, u8)> {
    let first = env_number("SPRUCE_ADVICE_SEED", 1);
    let seeds = match env_number("SPRUCE_ADVICE", 0) {
        0 => kept.to_vec(),
        count => (first..first + count).collect(),
    };
    seeds.into_iter().zip(first_host..).collect()
}

// Guards against steps that wait for advice for seconds beside idle entries and room. Owners are
// killed and connections reset or silenced, so that answers are lost and entries connect again
// while the next owner takes over.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn steps_wait_for_advice_beside_room_after_takeovers_with_lost_connections() {
    let mut reports = Vec::new();
    for (seed, host) in seeds(&WAIT_SEEDS, 1) {
        reports.extend(SeedRun::check_waits(seed, host).await);
    }
    assert!(reports.is_empty(), "{}", reports.join("\n"));
}

// Guards against a queue of requests that is still seconds long in calm, with all entries busy.
// After two takeovers all open jobs ask again, on top of the jobs that were held up meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn steps_wait_behind_a_backlog_of_requests_for_advice_after_two_takeovers() {
    let report = SeedRun::check_waits(BACKLOG_SEED, 64).await;
    assert!(report.is_none(), "{}", report.unwrap_or_default());
}

// Guards against live entries that an owner no longer asks for advice. An entry whose connection is
// lost during the takeover opens another one; the owner may register the dead one last.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn connected_entries_are_not_asked_for_advice_after_a_takeover() {
    let mut reports = Vec::new();
    for (seed, host) in seeds(&CALLER_SEEDS, 128) {
        reports.extend(SeedRun::check_callers(seed, host).await);
    }
    assert!(reports.is_empty(), "{}", reports.join("\n"));
}
