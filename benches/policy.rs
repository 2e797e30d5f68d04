//! Compares the scheduler's placement policy with simple baselines on the same seeded streams of
//! both users' jobs, on a virtual clock.
//!
//! The owners' state machines and the baselines are driven by arrivals and ends; networks and
//! machines are not modelled. A baseline sees the whole cell at once and retries failed tasks
//! forever. While an owner is lost, baselines do not use the workers of its rack.

#[path = "common/mod.rs"]
mod common;

use common::{Decision, OwnerHarness, START, SplitMix64, WORKERS_PER_RACK, job_spec, table};
use sprucerudder::clock::Millis;
use sprucerudder::controller::shard_ranking::{self, Candidate, JobDemand};
use sprucerudder::id::{JobId, Name, TaskId};
use sprucerudder::job::TaskOutcome;
use sprucerudder::size::Size;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// Length of a stream.
const STREAM_MS: u64 = 120_000;
/// Jobs that arrive before this time, while the cell fills up, are not counted. The wait of a task
/// ends with the start of the run that succeeds.
const WARM_UP_MS: u64 = 20_000;
const WORKERS: usize = 48;
/// Indexes of workers on which every task fails.
const FAULTY_WORKERS: [usize; 2] = [5, 29];
/// Time after which a task fails on a faulty worker.
const FAULTY_RUN_MS: u64 = 200;
/// Time at which large jobs are cancelled.
const CANCEL_AT_MS: u64 = 60_000;
/// Begin and length of the time during which the owner of the first rack is lost.
const OUTAGE_START_MS: u64 = 70_000;
const OUTAGE_MS: u64 = 4_000;

/// A job of a stream.
#[derive(Clone)]
struct Job {
    at: u64,
    kind: &'static str,
    tasks: u32,
    gang: bool,
    size: Size,
    /// Actual run time of each task; 0: a service.
    runs: Vec<u64>,
    /// A task that waits longer than this misses its deadline.
    deadline: u64,
}

/// A kind of work of a user: its share of the CPU and the shape of its jobs.
struct Kind {
    kind: &'static str,
    share: f64,
    tasks: u32,
    gang: bool,
    size: Size,
    run: u64,
    deadline: u64,
    weight: u32,
    pack: u32,
    spread: u32,
}

struct User {
    name: &'static str,
    worker: Size,
    kinds: Vec<Kind>,
}

fn users() -> [User; 2] {
    let kind = |kind, share, tasks, gang, cpu, run, deadline, weight, pack, spread| Kind {
        kind,
        share,
        tasks,
        gang,
        size: Size::new(cpu, cpu * 2, 0),
        run,
        deadline,
        weight,
        pack,
        spread,
    };
    [
        User {
            name: "nilewire",
            worker: Size::new(16_000, 32_000, 0),
            kinds: vec![
                kind("plates", 0.15, 1, false, 2_000, 3_000, 2_000, 100, 5, 5),
                kind("edition", 0.20, 8, true, 2_000, 4_000, 6_400, 60, 5, 0),
                kind("archive", 0.65, 4, false, 4_000, 8_000, 60_000, 1, 10, 0),
            ],
        },
        User {
            name: "viestisilta",
            worker: Size::new(32_000, 64_000, 0),
            kinds: vec![
                kind("reminder", 0.15, 1, false, 500, 2_000, 2_000, 100, 10, 0),
                kind("campaign", 0.65, 20, false, 2_000, 10_000, 60_000, 2, 10, 0),
                kind("report", 0.20, 1, false, 8_000, 6_000, 20_000, 10, 10, 0),
            ],
        },
    ]
}

/// The actual run time of a task: between a quarter and four times the declared one.
fn true_run(rng: &mut SplitMix64, run: u64) -> u64 {
    let factor = [25, 50, 75, 100, 100, 100, 150, 200, 400][rng.below(9) as usize];
    run * factor / 100
}

/// The stream of a user's jobs that loads a share of the cell's CPU.
fn stream(user: &User, load: f64, seed: u64) -> Vec<Job> {
    let mut rng = SplitMix64(seed);
    let total = user.worker.cpu as f64 * (WORKERS - FAULTY_WORKERS.len()) as f64;
    let mut jobs = Vec::new();
    for kind in &user.kinds {
        let mean_work = 1.333 * kind.run as f64 * kind.size.cpu as f64 * kind.tasks as f64 / 1000.0;
        let rate = load * kind.share * total / mean_work;
        let mut at = 0.0;
        while at < STREAM_MS as f64 {
            at += rng.exponential_gap(rate);
            let runs = (0..kind.tasks).map(|_| true_run(&mut rng, kind.run)).collect();
            let (kind, tasks, gang, size, deadline) =
                (kind.kind, kind.tasks, kind.gang, kind.size, kind.deadline);
            jobs.push(Job { at: at as u64, kind, tasks, gang, size, runs, deadline });
        }
    }
    jobs.sort_by_key(|job| job.at);
    jobs
}

/// A task of a stream: job and index.
type Key = (usize, u32);

/// A command of a policy to the workers.
#[derive(Clone, Copy)]
enum Command {
    Start(Key, usize),
    Stop(Key),
}

/// A placement policy: it is notified of events and returns which tasks to start on which worker,
/// and which to stop.
trait Policy {
    fn submit(&mut self, now: u64, id: usize, job: &Job) -> Vec<Command>;
    fn end(&mut self, now: u64, key: Key, worker: usize, ok: bool) -> Vec<Command>;
    fn cancel(&mut self, now: u64, id: usize) -> Vec<Command>;
    fn tick(&mut self, now: u64) -> Vec<Command>;
}

/// The scheduler's own policy: the owners of six shards, and the choice of a shard for each job.
struct ShardOwners {
    owners: Vec<OwnerHarness>,
    ids: BTreeMap<JobId, usize>,
    tasks: BTreeMap<Key, TaskId>,
    jobs: BTreeMap<usize, JobId>,
    rng: SplitMix64,
    missed_ends: Vec<(Key, bool)>,
    weights: BTreeMap<&'static str, u32>,
}

impl ShardOwners {
    fn new(user: &User) -> Self {
        let rows: Vec<(&str, &str, u32, u32, u32)> =
            user.kinds.iter().map(|k| (k.kind, "batch", k.weight, k.pack, k.spread)).collect();
        let owner = |rack| {
            OwnerHarness::new(&format!("{rack}"), &[user.worker; WORKERS_PER_RACK], table(&rows))
        };
        Self {
            owners: (0..WORKERS / WORKERS_PER_RACK).map(owner).collect(),
            ids: BTreeMap::new(),
            tasks: BTreeMap::new(),
            jobs: BTreeMap::new(),
            rng: SplitMix64(3),
            missed_ends: Vec::new(),
            weights: user.kinds.iter().map(|kind| (kind.kind, kind.weight)).collect(),
        }
    }

    fn convert_decisions(&mut self, decisions: Vec<Decision>) -> Vec<Command> {
        let mut commands = Vec::new();
        for decision in decisions {
            let (Decision::Started { task, .. } | Decision::Stopped { task }) = &decision;
            let Some(id) = self.ids.get(&task.job) else { continue };
            let key = (*id, task.index);
            match decision {
                Decision::Started { task, worker } => {
                    self.tasks.insert(key, task);
                    commands.push(Command::Start(key, index_of(&worker)));
                }
                Decision::Stopped { .. } => commands.push(Command::Stop(key)),
            }
        }
        commands
    }

    /// The rack to which an entry offers a job first.
    fn offer(&mut self, now: u64, job: &Job) -> usize {
        let open = self.owners.iter().enumerate().filter(|(at, _)| !is_rack_lost(now, *at));
        let candidates = open.map(|(at, owner)| {
            let room = owner.shard_owner.capacity();
            Candidate { shard: format!("{at}").into(), is_remote: false, weight: 1, capacity: room }
        });
        let candidates: Vec<Candidate> = candidates.collect();
        let count = if job.gang { job.tasks } else { 1 };
        let weight = self.weights[job.kind];
        let offer = JobDemand { size: job.size, count, weight };
        let order = shard_ranking::rank_shards(&candidates, &offer, self.rng.next());
        order[0].parse().expect("rack")
    }
}

/// Whether a rack has no owner at a time: the owner was killed and is being replaced.
fn is_rack_lost(now: u64, rack: usize) -> bool {
    rack == 0 && (OUTAGE_START_MS..OUTAGE_START_MS + OUTAGE_MS).contains(&now)
}

fn index_of(worker: &Name) -> usize {
    let (rack, index) = worker.split_once("-w").expect("worker");
    rack.parse::<usize>().expect("rack") * WORKERS_PER_RACK + index.parse::<usize>().expect("index")
}

impl Policy for ShardOwners {
    fn submit(&mut self, now: u64, id: usize, job: &Job) -> Vec<Command> {
        let at = self.offer(now, job);
        let owner = &mut self.owners[at];
        owner.now = START + Millis(now);
        let next = owner.next_job_id();
        self.ids.insert(next.clone(), id);
        self.jobs.insert(id, next.clone());
        let spec = job_spec(job.kind, job.tasks, job.gang, job.size);
        let decisions = owner.step(sprucerudder::controller::shard::owner::Event::Submit {
            token: 0,
            job: next,
            spec,
        });
        self.convert_decisions(decisions)
    }

    fn end(&mut self, now: u64, key: Key, worker: usize, ok: bool) -> Vec<Command> {
        let at = worker / WORKERS_PER_RACK;
        if is_rack_lost(now, at) {
            self.missed_ends.push((key, ok));
            return Vec::new();
        }
        let Some(task) = self.tasks.remove(&key) else { return Vec::new() };
        let owner = &mut self.owners[at];
        owner.now = START + Millis(now);
        let decisions = owner.end(&task, if ok { TaskOutcome::Done } else { TaskOutcome::Failed });
        self.convert_decisions(decisions)
    }

    fn cancel(&mut self, now: u64, id: usize) -> Vec<Command> {
        let Some(job) = self.jobs.get(&id).cloned() else { return Vec::new() };
        let at: usize = job.shard.parse().expect("rack");
        let owner = &mut self.owners[at];
        owner.now = START + Millis(now);
        let decisions = owner.cancel(job);
        self.convert_decisions(decisions)
    }

    fn tick(&mut self, now: u64) -> Vec<Command> {
        let mut started = Vec::new();
        for at in 0..self.owners.len() {
            if is_rack_lost(now, at) {
                continue;
            }
            self.owners[at].now = START + Millis(now);
            let decisions = self.owners[at].report();
            started.extend(self.convert_decisions(decisions));
        }
        if !is_rack_lost(now, 0) {
            for (key, ok) in std::mem::take(&mut self.missed_ends) {
                started.extend(self.end(now, key, 0, ok));
            }
        }
        started
    }
}

/// How a baseline chooses a worker, and whether other tasks may overtake the first of its queue.
#[derive(Clone, Copy, PartialEq)]
enum PlacementRule {
    FirstFit,
    RandomFit,
    BestFit,
    /// First come, first served: no task overtakes another.
    InOrder,
    /// Each kind of work has workers of its own.
    FixedSplit,
}

struct Baseline {
    rule: PlacementRule,
    free: Vec<Size>,
    queue: Vec<(usize, u32, bool, &'static str, Size)>,
    sizes: BTreeMap<usize, Size>,
    kinds: BTreeMap<usize, &'static str>,
    now: u64,
    worker_ranges: BTreeMap<&'static str, (usize, usize)>,
    running: BTreeMap<Key, usize>,
    rng: SplitMix64,
}

impl Baseline {
    fn new(user: &User, rule: PlacementRule) -> Self {
        let mut worker_ranges = BTreeMap::new();
        let mut from = 0;
        for kind in &user.kinds {
            let count = (kind.share * WORKERS as f64).round() as usize;
            worker_ranges.insert(kind.kind, (from, (from + count).min(WORKERS)));
            from += count;
        }
        Self {
            rule,
            free: vec![user.worker; WORKERS],
            queue: Vec::new(),
            sizes: BTreeMap::new(),
            kinds: BTreeMap::new(),
            now: 0,
            worker_ranges,
            running: BTreeMap::new(),
            rng: SplitMix64(5),
        }
    }

    fn choose_worker(&mut self, free: &[Size], kind: &str, size: &Size) -> Option<usize> {
        let (from, to) = match self.rule {
            PlacementRule::FixedSplit => self.worker_ranges[kind],
            _ => (0, WORKERS),
        };
        let lost = is_rack_lost(self.now, 0);
        let mut fitting = (from..to)
            .filter(|at| free[*at].can_fit(size) && !(lost && at / WORKERS_PER_RACK == 0));
        match self.rule {
            PlacementRule::RandomFit => {
                let all: Vec<usize> = fitting.collect();
                let at = self.rng.below(all.len() as u64) as usize;
                all.get(at).copied()
            }
            PlacementRule::BestFit => fitting.min_by_key(|at| free[*at].cpu),
            _ => fitting.next(),
        }
    }

    fn place(&mut self) -> Vec<Command> {
        let mut started = Vec::new();
        let mut still_queued = Vec::new();
        let mut unplaceable = BTreeSet::new();
        let queue = std::mem::take(&mut self.queue);
        let mut blocked = false;
        for (id, index, gang, kind, size) in queue {
            let skip = blocked || unplaceable.contains(&(kind, gang));
            let done = !skip && self.place_one(id, index, gang, kind, size, &mut started);
            if !done {
                unplaceable.insert((kind, gang));
                blocked |= self.rule == PlacementRule::InOrder;
                still_queued.push((id, index, gang, kind, size));
            }
        }
        self.queue = still_queued;
        started.into_iter().map(|(key, worker)| Command::Start(key, worker)).collect()
    }

    fn place_one(
        &mut self,
        id: usize,
        index: u32,
        gang: bool,
        kind: &'static str,
        size: Size,
        started: &mut Vec<(Key, usize)>,
    ) -> bool {
        let members = if gang { index } else { 1 };
        let mut free = self.free.clone();
        let mut chosen = Vec::new();
        for member in 0..members {
            let Some(at) = self.choose_worker(&free, kind, &size) else { return false };
            free[at] = free[at].saturating_sub(&size);
            chosen.push(((id, if gang { member } else { index }), at));
        }
        self.free = free;
        self.running.extend(chosen.iter().copied());
        started.extend(chosen);
        true
    }
}

impl Policy for Baseline {
    fn submit(&mut self, now: u64, id: usize, job: &Job) -> Vec<Command> {
        self.now = now;
        self.sizes.insert(id, job.size);
        self.kinds.insert(id, job.kind);
        match job.gang {
            true => self.queue.push((id, job.tasks, true, job.kind, job.size)),
            false => {
                let tasks = (0..job.tasks).map(|index| (id, index, false, job.kind, job.size));
                self.queue.extend(tasks);
            }
        }
        self.place()
    }

    fn end(&mut self, now: u64, key: Key, worker: usize, ok: bool) -> Vec<Command> {
        self.now = now;
        self.running.remove(&key);
        let size = self.sizes[&key.0];
        self.free[worker] = self.free[worker].checked_add(&size).expect("size");
        if !ok {
            self.queue.push((key.0, key.1, false, self.kinds[&key.0], size));
        }
        self.place()
    }

    fn cancel(&mut self, _: u64, id: usize) -> Vec<Command> {
        self.queue.retain(|(job, ..)| *job != id);
        let cancelled: Vec<(Key, usize)> =
            self.running.iter().filter(|(key, _)| key.0 == id).map(|(k, w)| (*k, *w)).collect();
        for (key, worker) in &cancelled {
            self.running.remove(key);
            self.free[*worker] = self.free[*worker].checked_add(&self.sizes[&id]).expect("size");
        }
        let mut commands: Vec<Command> =
            cancelled.into_iter().map(|(key, _)| Command::Stop(key)).collect();
        commands.extend(self.place());
        commands
    }

    fn tick(&mut self, _: u64) -> Vec<Command> {
        Vec::new()
    }
}

/// The results of a simulation. CPU is in thousandths of a core times milliseconds.
#[derive(Default)]
struct Outcomes {
    waits: BTreeMap<&'static str, Vec<u64>>,
    missed: BTreeMap<&'static str, u32>,
    used_cpu: f64,
    wasted_cpu: u64,
    /// Tasks that failed and had not succeeded when the stream ended.
    failed: usize,
}

/// Simulates a stream of jobs under a policy.
fn simulate(user: &User, jobs: &[Job], policy: &mut dyn Policy) -> Outcomes {
    let mut outcomes = Outcomes::default();
    let mut ends: BinaryHeap<Reverse<(u64, Key, usize, u64)>> = BinaryHeap::new();
    let mut current: BTreeMap<Key, (u64, u64)> = BTreeMap::new();
    let (mut used, mut last, mut run_number, mut next, mut tick) = (0_u64, WARM_UP_MS, 0_u64, 0, 0);
    let mut cancelled = false;
    let mut failed: BTreeSet<Key> = BTreeSet::new();
    loop {
        let arrival = jobs.get(next).map_or(u64::MAX, |job| job.at);
        let end = ends.peek().map_or(u64::MAX, |Reverse((at, ..))| *at);
        let cancel = if cancelled { u64::MAX } else { CANCEL_AT_MS };
        let now = arrival.min(end).min(tick).min(cancel);
        if now >= STREAM_MS {
            outcomes.failed = failed.iter().filter(|key| !current.contains_key(key)).count();
            return outcomes;
        }
        if now > last {
            outcomes.used_cpu += used as f64 * (now - last) as f64;
            last = now;
        }
        let commands = if now == arrival {
            next += 1;
            policy.submit(now, next - 1, &jobs[next - 1])
        } else if now == end {
            let Some(Reverse((_, key, worker, number))) = ends.pop() else { continue };
            if current.get(&key).is_none_or(|(running, _)| *running != number) {
                continue;
            }
            let (_, started_at) = current.remove(&key).expect("running");
            used -= jobs[key.0].size.cpu as u64;
            let ok = !FAULTY_WORKERS.contains(&worker);
            outcomes.wasted_cpu +=
                if ok { 0 } else { (now - started_at) * jobs[key.0].size.cpu as u64 };
            let job = &jobs[key.0];
            if ok && job.at >= WARM_UP_MS {
                outcomes.waits.entry(job.kind).or_default().push(started_at - job.at);
                let is_late = started_at - job.at > job.deadline;
                *outcomes.missed.entry(job.kind).or_insert(0) += is_late as u32;
            }
            match ok {
                true => drop(failed.remove(&key)),
                false => drop(failed.insert(key)),
            }
            policy.end(now, key, worker, ok)
        } else if now == cancel {
            cancelled = true;
            let campaigns = (0..next).filter(|id| jobs[*id].tasks > 8).rev().take(40);
            let campaigns: Vec<usize> = campaigns.collect();
            campaigns.into_iter().flat_map(|id| policy.cancel(now, id)).collect()
        } else {
            tick += 500;
            policy.tick(now)
        };
        for command in commands {
            let (key, worker) = match command {
                Command::Start(key, worker) => (key, worker),
                Command::Stop(key) => {
                    if let Some((_, started_at)) = current.remove(&key) {
                        used -= jobs[key.0].size.cpu as u64;
                        outcomes.wasted_cpu += (now - started_at) * jobs[key.0].size.cpu as u64;
                    }
                    continue;
                }
            };
            let job = &jobs[key.0];
            run_number += 1;
            let run = if FAULTY_WORKERS.contains(&worker) {
                FAULTY_RUN_MS
            } else {
                job.runs[key.1 as usize]
            };
            ends.push(Reverse((now + run, key, worker, run_number)));
            current.insert(key, (run_number, now));
            used += job.size.cpu as u64;
        }
        let total = user.worker.cpu as u64 * WORKERS as u64;
        assert!(used <= total, "more CPU in use than the cell has");
    }
}

fn quantile(waits: &mut [u64], thousandth: usize) -> u64 {
    waits.sort_unstable();
    let last = waits.len().saturating_sub(1);
    waits.get((waits.len() * thousandth / 1000).min(last)).copied().unwrap_or(0)
}

fn print(user: &User, name: &str, mut outcomes: Outcomes) {
    let total = user.worker.cpu as f64 * WORKERS as f64 * (STREAM_MS - WARM_UP_MS) as f64;
    let wasted = outcomes.wasted_cpu as f64 / total;
    println!(
        "  {name:<12} used {:.3} wasted {wasted:.4} failed {}",
        outcomes.used_cpu / total,
        outcomes.failed
    );
    for kind in &user.kinds {
        let waits = outcomes.waits.entry(kind.kind).or_default();
        let [p50, p99, p999] = [500, 990, 999].map(|share| quantile(waits, share));
        let missed = outcomes.missed.get(kind.kind).copied().unwrap_or(0);
        println!(
            "    {:<10} count {:>6} wait ms {p50:>7} {p99:>7} {p999:>7} missed {missed}",
            kind.kind,
            waits.len()
        );
    }
}

/// The user's table, edited for short waits of work with near deadlines.
fn waiting_first(mut user: User) -> User {
    for kind in &mut user.kinds {
        kind.weight = (200_000 / kind.deadline as u32).max(1);
        (kind.pack, kind.spread) = (0, 10);
    }
    user
}

/// The user's table, edited for fully used workers: no kind is urgent.
fn packing_first(mut user: User) -> User {
    for kind in &mut user.kinds {
        (kind.weight, kind.pack, kind.spread) = (10, 10, 0);
    }
    user
}

/// Compares how edits of the table alone change the results for the same stream.
fn compare_table_edits() {
    let [first, second] = users().map(waiting_first);
    let [third, fourth] = users().map(packing_first);
    let tables = [
        ("short waits", first),
        ("full workers", third),
        ("short waits", second),
        ("full workers", fourth),
    ];
    for (name, user) in tables {
        let jobs = stream(&user, 0.95, 11);
        println!("{}, table edited to favour {name}", user.name);
        print(&user, "ours", simulate(&user, &jobs, &mut ShardOwners::new(&user)));
    }
}

fn main() {
    compare_table_edits();
    let baselines = [
        ("first-fit", PlacementRule::FirstFit),
        ("random-fit", PlacementRule::RandomFit),
        ("best-fit", PlacementRule::BestFit),
        ("in-order", PlacementRule::InOrder),
        ("fixed-split", PlacementRule::FixedSplit),
    ];
    for user in users() {
        for load in [0.8, 0.95, 1.2] {
            let jobs = stream(&user, load, 11);
            println!("{} load {load}: {} jobs, waits as median, 99%, 99.9%", user.name, jobs.len());
            print(&user, "ours", simulate(&user, &jobs, &mut ShardOwners::new(&user)));
            for (name, rule) in baselines {
                print(&user, name, simulate(&user, &jobs, &mut Baseline::new(&user, rule)));
            }
        }
    }
}
