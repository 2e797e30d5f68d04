//! The policy against plain ones on the same seeded streams of both users, on a virtual clock.
//!
//! This drives the owners' state machines and the baselines with arrivals and ends; it models
//! neither networks nor machines. The baselines see the whole cell at once, and try what
//! failed again without end; while an entry is lost they leave its rack out.

#[path = "common/mod.rs"]
mod common;

use common::{Desk, Did, Draw, RACK, START, spec, table};
use sprucerudder::clock::Millis;
use sprucerudder::controller::offer::{self, Candidate, Offer};
use sprucerudder::id::{JobId, Name, TaskId};
use sprucerudder::job::TaskOutcome;
use sprucerudder::size::Size;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

const LENGTH: u64 = 120_000;
/// Waits of jobs that came before this are not counted: the cell fills up. A wait ends with the
/// start of the run that succeeds.
const WARM: u64 = 20_000;
const WORKERS: usize = 48;
const SICK: [usize; 2] = [5, 29];
/// A sick worker fails a task after this long.
const SICK_RUN: u64 = 200;
const CANCEL_AT: u64 = 60_000;
const LOST_AT: u64 = 70_000;
const LOST_FOR: u64 = 4_000;

/// A job of a stream.
#[derive(Clone)]
struct Job {
    at: u64,
    kind: &'static str,
    tasks: u32,
    gang: bool,
    size: Size,
    /// True run time of each task; 0: a service.
    runs: Vec<u64>,
    /// Waits longer than this are missed deadlines.
    deadline: u64,
}

/// A kind of work of a user: its share of the processors, and what its jobs are like.
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

/// Run times are false by up to four times either way.
fn true_run(draw: &mut Draw, run: u64) -> u64 {
    let factor = [25, 50, 75, 100, 100, 100, 150, 200, 400][draw.below(9) as usize];
    run * factor / 100
}

/// The stream of one user at a share of the cell's processors.
fn stream(user: &User, load: f64, seed: u64) -> Vec<Job> {
    let mut draw = Draw(seed);
    let total = user.worker.cpu as f64 * (WORKERS - SICK.len()) as f64;
    let mut jobs = Vec::new();
    for kind in &user.kinds {
        let mean = 1.333 * kind.run as f64 * kind.size.cpu as f64 * kind.tasks as f64 / 1000.0;
        let rate = load * kind.share * total / mean;
        let mut at = 0.0;
        while at < LENGTH as f64 {
            at += draw.gap(rate);
            let runs = (0..kind.tasks).map(|_| true_run(&mut draw, kind.run)).collect();
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

/// What a policy does.
#[derive(Clone, Copy)]
enum Move {
    Start(Key, usize),
    Stop(Key),
}

/// A policy: it is told what happens and says which tasks start where and which are stopped.
trait Policy {
    fn submit(&mut self, now: u64, id: usize, job: &Job) -> Vec<Move>;
    fn ended(&mut self, now: u64, key: Key, worker: usize, ok: bool) -> Vec<Move>;
    fn cancel(&mut self, now: u64, id: usize) -> Vec<Move>;
    fn tick(&mut self, now: u64) -> Vec<Move>;
}

/// The owners of six shards, and the offer of a job to one of them.
struct Ours {
    desks: Vec<Desk>,
    ids: BTreeMap<JobId, usize>,
    tasks: BTreeMap<Key, TaskId>,
    jobs: BTreeMap<usize, JobId>,
    draw: Draw,
    missed: Vec<(Key, bool)>,
    weights: BTreeMap<&'static str, u32>,
}

impl Ours {
    fn new(user: &User) -> Self {
        let rows: Vec<(&str, &str, u32, u32, u32)> =
            user.kinds.iter().map(|k| (k.kind, "batch", k.weight, k.pack, k.spread)).collect();
        let desk = |rack| Desk::new(&format!("{rack}"), &[user.worker; RACK], table(&rows));
        Self {
            desks: (0..WORKERS / RACK).map(desk).collect(),
            ids: BTreeMap::new(),
            tasks: BTreeMap::new(),
            jobs: BTreeMap::new(),
            draw: Draw(3),
            missed: Vec::new(),
            weights: user.kinds.iter().map(|kind| (kind.kind, kind.weight)).collect(),
        }
    }

    fn did(&mut self, did: Vec<Did>) -> Vec<Move> {
        let mut moves = Vec::new();
        for did in did {
            let (Did::Started { task, .. } | Did::Stopped { task }) = &did;
            let Some(id) = self.ids.get(&task.job) else { continue };
            let key = (*id, task.index);
            match did {
                Did::Started { task, worker } => {
                    self.tasks.insert(key, task);
                    moves.push(Move::Start(key, index_of(&worker)));
                }
                Did::Stopped { .. } => moves.push(Move::Stop(key)),
            }
        }
        moves
    }

    /// The order in which an entry offers a job.
    fn offer(&mut self, now: u64, job: &Job) -> usize {
        let open = self.desks.iter().enumerate().filter(|(at, _)| !lost(now, *at));
        let candidates = open.map(|(at, desk)| {
            let room = desk.office.room();
            Candidate { shard: format!("{at}").into(), far: false, weight: 1, room }
        });
        let candidates: Vec<Candidate> = candidates.collect();
        let count = if job.gang { job.tasks } else { 1 };
        let weight = self.weights[job.kind];
        let offer = Offer { size: job.size, count, weight };
        let order = offer::order(&candidates, &offer, self.draw.next());
        order[0].parse().expect("rack")
    }
}

/// Whether nobody decides about a rack now: its owner was killed and is being replaced.
fn lost(now: u64, rack: usize) -> bool {
    rack == 0 && (LOST_AT..LOST_AT + LOST_FOR).contains(&now)
}

fn index_of(worker: &Name) -> usize {
    let (rack, index) = worker.split_once("-w").expect("worker");
    rack.parse::<usize>().expect("rack") * RACK + index.parse::<usize>().expect("index")
}

impl Policy for Ours {
    fn submit(&mut self, now: u64, id: usize, job: &Job) -> Vec<Move> {
        let at = self.offer(now, job);
        let desk = &mut self.desks[at];
        desk.now = START + Millis(now);
        let next = desk.job();
        self.ids.insert(next.clone(), id);
        self.jobs.insert(id, next.clone());
        let spec = spec(job.kind, job.tasks, job.gang, job.size);
        let did = desk.step(sprucerudder::controller::shard::office::Event::Submit {
            token: 0,
            job: next,
            spec,
        });
        self.did(did)
    }

    fn ended(&mut self, now: u64, key: Key, worker: usize, ok: bool) -> Vec<Move> {
        let at = worker / RACK;
        if lost(now, at) {
            self.missed.push((key, ok));
            return Vec::new();
        }
        let Some(task) = self.tasks.remove(&key) else { return Vec::new() };
        let desk = &mut self.desks[at];
        desk.now = START + Millis(now);
        let did = desk.end(&task, if ok { TaskOutcome::Done } else { TaskOutcome::Failed });
        self.did(did)
    }

    fn cancel(&mut self, now: u64, id: usize) -> Vec<Move> {
        let Some(job) = self.jobs.get(&id).cloned() else { return Vec::new() };
        let at: usize = job.shard.parse().expect("rack");
        let desk = &mut self.desks[at];
        desk.now = START + Millis(now);
        let did = desk.cancel(job);
        self.did(did)
    }

    fn tick(&mut self, now: u64) -> Vec<Move> {
        let mut started = Vec::new();
        for at in 0..self.desks.len() {
            if lost(now, at) {
                continue;
            }
            self.desks[at].now = START + Millis(now);
            let did = self.desks[at].report();
            started.extend(self.did(did));
        }
        if !lost(now, 0) {
            for (key, ok) in std::mem::take(&mut self.missed) {
                started.extend(self.ended(now, key, 0, ok));
            }
        }
        started
    }
}

/// How a baseline chooses a worker, and whether it waits for the head of its queue.
#[derive(Clone, Copy, PartialEq)]
enum Rule {
    FirstFit,
    RandomFit,
    BestFit,
    /// First come, first served: nothing overtakes.
    InOrder,
    /// Each kind has workers of its own.
    Split,
}

struct Baseline {
    rule: Rule,
    free: Vec<Size>,
    queue: Vec<(usize, u32, bool, &'static str, Size)>,
    sizes: BTreeMap<usize, Size>,
    kinds: BTreeMap<usize, &'static str>,
    now: u64,
    homes: BTreeMap<&'static str, (usize, usize)>,
    running: BTreeMap<Key, usize>,
    draw: Draw,
}

impl Baseline {
    fn new(user: &User, rule: Rule) -> Self {
        let mut homes = BTreeMap::new();
        let mut from = 0;
        for kind in &user.kinds {
            let count = (kind.share * WORKERS as f64).round() as usize;
            homes.insert(kind.kind, (from, (from + count).min(WORKERS)));
            from += count;
        }
        Self {
            rule,
            free: vec![user.worker; WORKERS],
            queue: Vec::new(),
            sizes: BTreeMap::new(),
            kinds: BTreeMap::new(),
            now: 0,
            homes,
            running: BTreeMap::new(),
            draw: Draw(5),
        }
    }

    fn pick(&mut self, free: &[Size], kind: &str, size: &Size) -> Option<usize> {
        let (from, to) = match self.rule {
            Rule::Split => self.homes[kind],
            _ => (0, WORKERS),
        };
        let lost = lost(self.now, 0);
        let mut fitting =
            (from..to).filter(|at| free[*at].can_fit(size) && !(lost && at / RACK == 0));
        match self.rule {
            Rule::RandomFit => {
                let all: Vec<usize> = fitting.collect();
                let at = self.draw.below(all.len() as u64) as usize;
                all.get(at).copied()
            }
            Rule::BestFit => fitting.min_by_key(|at| free[*at].cpu),
            _ => fitting.next(),
        }
    }

    fn place(&mut self) -> Vec<Move> {
        let mut started = Vec::new();
        let mut left = Vec::new();
        let mut hopeless = BTreeSet::new();
        let queue = std::mem::take(&mut self.queue);
        let mut blocked = false;
        for (id, index, gang, kind, size) in queue {
            let skip = blocked || hopeless.contains(&(kind, gang));
            let done = !skip && self.place_one(id, index, gang, kind, size, &mut started);
            if !done {
                hopeless.insert((kind, gang));
                blocked |= self.rule == Rule::InOrder;
                left.push((id, index, gang, kind, size));
            }
        }
        self.queue = left;
        started.into_iter().map(|(key, worker)| Move::Start(key, worker)).collect()
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
        let mut picked = Vec::new();
        for member in 0..members {
            let Some(at) = self.pick(&free, kind, &size) else { return false };
            free[at] = free[at].saturating_sub(&size);
            picked.push(((id, if gang { member } else { index }), at));
        }
        self.free = free;
        self.running.extend(picked.iter().copied());
        started.extend(picked);
        true
    }
}

impl Policy for Baseline {
    fn submit(&mut self, now: u64, id: usize, job: &Job) -> Vec<Move> {
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

    fn ended(&mut self, now: u64, key: Key, worker: usize, ok: bool) -> Vec<Move> {
        self.now = now;
        self.running.remove(&key);
        let size = self.sizes[&key.0];
        self.free[worker] = self.free[worker].checked_add(&size).expect("size");
        if !ok {
            self.queue.push((key.0, key.1, false, self.kinds[&key.0], size));
        }
        self.place()
    }

    fn cancel(&mut self, _: u64, id: usize) -> Vec<Move> {
        self.queue.retain(|(job, ..)| *job != id);
        let mine: Vec<(Key, usize)> =
            self.running.iter().filter(|(key, _)| key.0 == id).map(|(k, w)| (*k, *w)).collect();
        for (key, worker) in &mine {
            self.running.remove(key);
            self.free[*worker] = self.free[*worker].checked_add(&self.sizes[&id]).expect("size");
        }
        let mut moves: Vec<Move> = mine.into_iter().map(|(key, _)| Move::Stop(key)).collect();
        moves.extend(self.place());
        moves
    }

    fn tick(&mut self, _: u64) -> Vec<Move> {
        Vec::new()
    }
}

/// What a run came to.
#[derive(Default)]
struct Outcomes {
    waits: BTreeMap<&'static str, Vec<u64>>,
    missed: BTreeMap<&'static str, u32>,
    area: f64,
    thrown: u64,
    /// Tasks that failed and had not run to their end when the stream was over.
    failed: usize,
}

/// Plays a stream through a policy.
fn play(user: &User, jobs: &[Job], policy: &mut dyn Policy) -> Outcomes {
    let mut out = Outcomes::default();
    let mut ends: BinaryHeap<Reverse<(u64, Key, usize, u64)>> = BinaryHeap::new();
    let mut current: BTreeMap<Key, (u64, u64)> = BTreeMap::new();
    let (mut used, mut last, mut serial, mut next, mut tick) = (0_u64, WARM, 0_u64, 0, 0);
    let mut cancelled = false;
    let mut failed: BTreeSet<Key> = BTreeSet::new();
    loop {
        let arrival = jobs.get(next).map_or(u64::MAX, |job| job.at);
        let end = ends.peek().map_or(u64::MAX, |Reverse((at, ..))| *at);
        let cancel = if cancelled { u64::MAX } else { CANCEL_AT };
        let now = arrival.min(end).min(tick).min(cancel);
        if now >= LENGTH {
            out.failed = failed.iter().filter(|key| !current.contains_key(key)).count();
            return out;
        }
        if now > last {
            out.area += used as f64 * (now - last) as f64;
            last = now;
        }
        let moves = if now == arrival {
            next += 1;
            policy.submit(now, next - 1, &jobs[next - 1])
        } else if now == end {
            let Some(Reverse((_, key, worker, number))) = ends.pop() else { continue };
            if current.get(&key).is_none_or(|(running, _)| *running != number) {
                continue;
            }
            let (_, began) = current.remove(&key).expect("running");
            used -= jobs[key.0].size.cpu as u64;
            let ok = !SICK.contains(&worker);
            out.thrown += if ok { 0 } else { (now - began) * jobs[key.0].size.cpu as u64 };
            let job = &jobs[key.0];
            if ok && job.at >= WARM {
                out.waits.entry(job.kind).or_default().push(began - job.at);
                let late = began - job.at > job.deadline;
                *out.missed.entry(job.kind).or_insert(0) += late as u32;
            }
            match ok {
                true => drop(failed.remove(&key)),
                false => drop(failed.insert(key)),
            }
            policy.ended(now, key, worker, ok)
        } else if now == cancel {
            cancelled = true;
            let wave = (0..next).filter(|id| jobs[*id].tasks > 8).rev().take(40);
            let wave: Vec<usize> = wave.collect();
            wave.into_iter().flat_map(|id| policy.cancel(now, id)).collect()
        } else {
            tick += 500;
            policy.tick(now)
        };
        for step in moves {
            let (key, worker) = match step {
                Move::Start(key, worker) => (key, worker),
                Move::Stop(key) => {
                    if let Some((_, began)) = current.remove(&key) {
                        used -= jobs[key.0].size.cpu as u64;
                        out.thrown += (now - began) * jobs[key.0].size.cpu as u64;
                    }
                    continue;
                }
            };
            let job = &jobs[key.0];
            serial += 1;
            let run = if SICK.contains(&worker) { SICK_RUN } else { job.runs[key.1 as usize] };
            ends.push(Reverse((now + run, key, worker, serial)));
            current.insert(key, (serial, now));
            used += job.size.cpu as u64;
        }
        let total = user.worker.cpu as u64 * WORKERS as u64;
        assert!(used <= total, "over the cell's processors");
    }
}

fn at(waits: &mut [u64], thousandth: usize) -> u64 {
    waits.sort_unstable();
    let last = waits.len().saturating_sub(1);
    waits.get((waits.len() * thousandth / 1000).min(last)).copied().unwrap_or(0)
}

fn print(user: &User, name: &str, mut out: Outcomes) {
    let total = user.worker.cpu as f64 * WORKERS as f64 * (LENGTH - WARM) as f64;
    let thrown = out.thrown as f64 / total;
    println!(
        "  {name:<12} used {:.3} thrown away {thrown:.4} failed {}",
        out.area / total,
        out.failed
    );
    for kind in &user.kinds {
        let waits = out.waits.entry(kind.kind).or_default();
        let [p50, p99, p999] = [500, 990, 999].map(|share| at(waits, share));
        let missed = out.missed.get(kind.kind).copied().unwrap_or(0);
        println!(
            "    {:<10} count {:>6} wait ms {p50:>7} {p99:>7} {p999:>7} missed {missed}",
            kind.kind,
            waits.len()
        );
    }
}

/// The user's table edited for short waits of what is due soon.
fn waiting_first(mut user: User) -> User {
    for kind in &mut user.kinds {
        kind.weight = (200_000 / kind.deadline as u32).max(1);
        (kind.pack, kind.spread) = (0, 10);
    }
    user
}

/// The user's table edited for full workers: no kind is urgent.
fn packing_first(mut user: User) -> User {
    for kind in &mut user.kinds {
        (kind.weight, kind.pack, kind.spread) = (10, 10, 0);
    }
    user
}

/// What an edit of the table alone does to the same stream.
fn edits() {
    let [first, second] = users().map(waiting_first);
    let [third, fourth] = users().map(packing_first);
    let tables = [("waiting", first), ("packing", third), ("waiting", second), ("packing", fourth)];
    for (name, user) in tables {
        let jobs = stream(&user, 0.95, 11);
        println!("{}, the table edited to {name} first", user.name);
        print(&user, "ours", play(&user, &jobs, &mut Ours::new(&user)));
    }
}

fn main() {
    edits();
    let baselines = [
        ("first-fit", Rule::FirstFit),
        ("random-fit", Rule::RandomFit),
        ("best-fit", Rule::BestFit),
        ("in-order", Rule::InOrder),
        ("fixed-split", Rule::Split),
    ];
    for user in users() {
        for load in [0.8, 0.95, 1.2] {
            let jobs = stream(&user, load, 11);
            println!("{} load {load}: {} jobs, waits as median, 99%, 99.9%", user.name, jobs.len());
            print(&user, "ours", play(&user, &jobs, &mut Ours::new(&user)));
            for (name, rule) in baselines {
                print(&user, name, play(&user, &jobs, &mut Baseline::new(&user, rule)));
            }
        }
    }
}
