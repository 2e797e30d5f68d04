//! Rolling restarts of real entries beside workers that leave or are lost, with lasting jobs.

use crate::callers::{self, CallerView, Client, Job, Jobs, LASTING_SPEC};
use crate::cell::Cell;
use crate::checks::InvariantChecker;
use crate::{POLL_INTERVAL, SeedRun, env_number};
use fastrand::Rng;
use nix::sys::signal::Signal;
use sprucerudder::platform::http::HttpClient;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// The number of seeds that CI runs.
const DEFAULT_SEED_COUNT: u64 = 1;
/// How long the restarts go on.
const RESTART_PERIOD: Duration = Duration::from_secs(25);
/// How long a lasting task may be without a run, by the platform's contract.
const MAX_IDLE: Duration = Duration::from_secs(9);
/// The loopback addresses of the runs, which other soak tests of this process do not use. Ports of a
/// run stay in use for a while after it.
const FIRST_HOST: u8 = 100;
const HOST_COUNT: usize = 130;
/// The number of lasting jobs.
const LASTING_JOBS: u64 = 4;
/// How many workers are lost without notice in a run.
const MAX_LOST_WORKERS: usize = 2;

/// The lasting tasks that have started, and since when those without a run have had none.
#[derive(Debug, Default)]
struct LastingTasks {
    started: BTreeSet<String>,
    idle_since: HashMap<String, Instant>,
    longest: Duration,
}

impl LastingTasks {
    /// Checks how long lasting tasks have been without a run.
    fn check(&mut self, checker: &mut InvariantChecker, jobs: &[Job]) {
        let lasting = jobs.iter().filter(|job| job.spec == LASTING_SPEC && !job.view.cancel_tried);
        let tasks = lasting.flat_map(|job| {
            (0..job.steps[0].0).map(move |index| format!("{}.0.0.{index}", job.key))
        });
        for task in tasks {
            if checker.is_running(&task) {
                self.idle_since.remove(&task);
                self.started.insert(task);
                continue;
            }
            if !self.started.contains(&task) {
                continue;
            }
            let idle = self.idle_since.entry(task.clone()).or_insert_with(Instant::now).elapsed();
            self.longest = self.longest.max(idle);
            if idle > MAX_IDLE {
                checker.add_violation(format!("lasting task {task} has no run for 9 s"));
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn lasting_tasks_run_on_through_a_rolling_restart_beside_leaving_workers() {
    // Guards against waits for workers that have left, which begin anew with each owner.
    let first = env_number("SPRUCE_SOAK_SEED", 1);
    let mut violations = Vec::new();
    let seeds = first..first + env_number("SPRUCE_ROLLING_SOAK", DEFAULT_SEED_COUNT);
    for (no, seed) in seeds.enumerate() {
        let host = FIRST_HOST + (no % HOST_COUNT) as u8;
        violations.extend(run(seed, host).await);
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Runs a seed and returns its violations.
async fn run(seed: u64, host: u8) -> Vec<String> {
    let mut rng = Rng::with_seed(seed);
    let entries = rng.u16(4..7);
    let cell = Cell::start(host, 8, entries, None).await;
    let addrs = (0..entries).map(|no| cell.site.front_addr(no)).collect();
    let client = Client { addrs, http: HttpClient::default(), sends_keys: false };
    let (jobs, checker) = (Jobs::default(), InvariantChecker::new(false));
    let mut run = SeedRun { cell, client, jobs, checker, restarts: Vec::new() };
    if run.wait_for_owner().await {
        let lasting = submit_lasting(&run, &mut rng).await;
        let longest = restart_in_turn(&mut run, &mut rng, entries).await;
        for index in lasting {
            let job = run.snapshot()[index].clone();
            callers::cancel(&run.client, &run.jobs, index, &job, &mut rng).await;
        }
        run.wait_for_jobs().await;
        println!("rolling seed {seed}: lasting tasks without a run for at most {longest:?}");
    }
    run.into_violations(seed)
}

/// Submits the lasting jobs. Returns their indexes.
async fn submit_lasting(run: &SeedRun, rng: &mut Rng) -> Vec<usize> {
    let mut indexes = Vec::new();
    for no in 0..LASTING_JOBS {
        let (key, steps) = (format!("{:016x}", no + 1), vec![(rng.u32(2..6), 500)]);
        let job = Job { key, spec: LASTING_SPEC.into(), steps, view: CallerView::default() };
        let index = {
            let mut jobs = run.jobs.lock().unwrap();
            jobs.push(job.clone());
            jobs.len() - 1
        };
        callers::submit(&run.client, &run.jobs, index, &job, rng).await;
        indexes.push(index);
    }
    indexes
}

/// Stops entries in turn while workers leave and callers submit jobs. Returns the longest time that
/// a lasting task was without a run.
async fn restart_in_turn(run: &mut SeedRun, rng: &mut Rng, entries: u16) -> Duration {
    let until = Instant::now() + RESTART_PERIOD;
    let mut load = JoinSet::new();
    for _ in 0..2 {
        let (client, jobs) = (run.client.clone(), run.jobs.clone());
        load.spawn(callers::run_caller(client, jobs, rng.fork(), until));
    }
    let mut tasks = LastingTasks::default();
    let (mut next_stop, mut next_leave) = (Instant::now(), Instant::now());
    let (mut entry, mut worker, mut lost) = (0, 0, 0);
    while Instant::now() < until {
        if Instant::now() >= next_stop {
            run.cell.signal(entry, Signal::SIGTERM);
            entry = (entry + 1) % entries;
            next_stop = Instant::now() + Duration::from_millis(rng.u64(1_000..2_600));
        }
        if Instant::now() >= next_leave {
            let leaving = run.cell.site.workers[worker].clone();
            match lost < MAX_LOST_WORKERS && rng.u32(0..3) == 0 {
                true => {
                    lost += 1;
                    leaving.terminate();
                }
                false => leaving.leave(),
            }
            worker += 1;
            run.cell.add_worker().await;
            next_leave = Instant::now() + Duration::from_millis(rng.u64(1_500..3_500));
        }
        run.restart_stopped_entries();
        run.read_events();
        let jobs = run.snapshot();
        tasks.check(&mut run.checker, &jobs);
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    load.join_all().await;
    tasks.longest
}
