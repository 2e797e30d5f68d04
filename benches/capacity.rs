//! State, messages and processor time by size: the slopes of docs/CAPACITY.md.

#[path = "common/mod.rs"]
mod common;

use common::{OwnerHarness, SplitMix64, WORKERS_PER_RACK, job_spec, table};
use serde::Serialize;
use sprucerudder::clock::Millis;
use sprucerudder::controller::gossip::Delta;
use sprucerudder::controller::quota::{HomeRequest, Limit, ShareRequest};
use sprucerudder::controller::shard::owner::Event;
use sprucerudder::controller::shard_ranking::ShardCapacity;
use sprucerudder::controller::slots::SlotUsage;
use sprucerudder::id::{EntryId, JobId, Name, TaskId};
use sprucerudder::job::{StateChange, TaskOutcome};
use sprucerudder::platform::api::{Report, Running, SyncOrder};
use sprucerudder::record::{Claim, Record};
use sprucerudder::size::Size;
use sprucerudder::trace::Stamp;
use sprucerudder::wire::msg::{Ask, Beat, DeltaBeat, Envelope, NEWEST, ShardBeat, Tell, encode};
use std::time::Instant;

const WORKER: Size = Size::new(16_000, 32_000, 2);
const PAGE_BYTES: u64 = 4096;

fn wire_bytes(ask: Ask) -> usize {
    encode(NEWEST, &Envelope { stamp: Stamp(u64::MAX / 2), body: ask }).expect("bytes").len()
}

fn json_bytes<T: Serialize>(value: &T) -> usize {
    serde_json::to_vec(value).expect("json").len()
}

fn entry(name: &str) -> EntryId {
    EntryId { name: name.into(), incarnation: 1_764_000_000_000 }
}

fn task(index: u32) -> TaskId {
    TaskId { job: job(7), index, attempt: 0 }
}

fn job(seq: u64) -> JobId {
    JobId { shard: "nasr-hall-rack-12".into(), number: 0xdead_beef_0000_0000 + seq }
}

/// Resident memory of this process, in bytes.
fn resident_memory() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|n| n.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn owners(workers: usize, tasks: u32) -> Vec<OwnerHarness> {
    let rows = table(&[("build", "batch", 50, 10, 0)]);
    let racks = workers.div_ceil(WORKERS_PER_RACK);
    let each = tasks.div_ceil(racks as u32);
    let make = |rack| {
        let mut owner =
            OwnerHarness::new(&format!("rack{rack}"), &[WORKER; WORKERS_PER_RACK], rows.clone());
        owner.submit(job_spec("build", each, false, Size::new(1_000, 1_000, 0)));
        assert_eq!(owner.running.len(), each as usize);
        owner
    };
    (0..racks).map(make).collect()
}

fn measure_owners() {
    println!("owners: workers, tasks running, bytes of memory, of all states, us a control round");
    for (workers, tasks) in [(48, 266), (200, 1_109), (1_100, 6_100)] {
        let before = resident_memory();
        let mut all = owners(workers, tasks);
        let memory = resident_memory().saturating_sub(before);
        let begun = Instant::now();
        for owner in &mut all {
            owner.now = owner.now + Millis(1_000);
            owner.report();
            owner.step(Event::Tick);
        }
        let round = begun.elapsed().as_micros();
        let states = all.into_iter().map(|owner| owner.shard_owner.into_state());
        let bytes: usize =
            states.map(|state| postcard::to_stdvec(&state).expect("bytes").len()).sum();
        println!("  {workers:>5} {tasks:>5} {memory:>9} {bytes:>8} {round:>7}");
    }
}

fn shard_beat(i: u32, owned: bool) -> ShardBeat {
    let room = ShardCapacity {
        largest: WORKER,
        max_free: WORKER,
        total_free: WORKER,
        backlog: 100_000,
        max_weight: 100,
    };
    ShardBeat {
        shard: format!("nasr-hall-rack-{i}").into(),
        epoch: 300,
        owner: owned,
        flying: true,
        room: owned.then_some(room),
    }
}

fn beat(shards: Vec<ShardBeat>) -> Beat {
    Beat {
        from: entry("nasr-hall-entry-1"),
        domain: "nasr-hall".into(),
        addr: "10.20.30.40:7100".parse().expect("addr"),
        leaving: false,
        rev: 100_000,
        list: 100_000,
        shards,
    }
}

fn measure_heartbeats() {
    println!("heartbeat: shards of the failure domain (a third owned), bytes whole,");
    println!("  with the owned shards changed, with nothing changed");
    for count in [2, 12, 28] {
        let all: Vec<ShardBeat> = (0..count).map(|i| shard_beat(i, i % 3 == 0)).collect();
        let owned: Vec<ShardBeat> = all.iter().filter(|shard| shard.owner).cloned().collect();
        let delta = |shards| {
            let (seq, base, held) = (1_000_000, 999_999, 1_000_000);
            let delta = Delta { seq, base, held, shards };
            wire_bytes(Ask::Delta(DeltaBeat { beat: beat(Vec::new()), delta }))
        };
        let whole = wire_bytes(Ask::Beat(beat(all)));
        println!("  {count:>5} {whole:>7} {:>7} {:>7}", delta(owned), delta(Vec::new()));
    }
}

fn measure_updates() {
    println!("update of a replica: bindings in it, bytes; of the log in an epoch without replicas");
    for count in [1_u32, 10, 100] {
        let bind = |index| StateChange::Bind {
            task: task(index),
            worker: "nasr-hall-rack-12-w3".into(),
            incarnation: 1_764_000_000_000,
            owner: entry("nasr-hall-entry-1"),
        };
        let notes: Vec<StateChange> = (0..count).map(bind).collect();
        let shard: Name = "nasr-hall-rack-12".into();
        let record =
            Record::Notes { shard: shard.clone(), epoch: 9, first: 1, notes: notes.clone() };
        let update = sprucerudder::controller::replica::Update {
            epoch: 9,
            base: None,
            first: 1_000_000,
            changes: notes,
        };
        println!(
            "  {count:>5} {:>7} {:>7}",
            wire_bytes(Ask::Update { shard, update }),
            json_bytes(&record)
        );
    }
}

fn measure_syncs() {
    println!("contact with a worker: tasks running, bytes of order and report");
    for count in [1_u32, 6, 20] {
        let order = SyncOrder { renew: (0..count).map(task).collect(), ..SyncOrder::default() };
        let running = |index| Running {
            task: task(index),
            kind: "campaign".into(),
            size: WORKER,
            usage: WORKER,
        };
        let ended = vec![(task(99), TaskOutcome::Done)];
        let report = Report { inc: 1, running: (0..count).map(running).collect(), ended };
        println!("  {count:>5} {:>7} {:>7}", json_bytes(&order), json_bytes(&report));
    }
}

fn measure_log() {
    let spec = job_spec("campaign", 30, false, WORKER);
    let job_record = Record::Job { job: job(1), spec, at: Millis(1_764_000_000_000) };
    let ended = Record::Ended { job: job(1), index: 10, outcome: TaskOutcome::Done };
    println!(
        "log: bytes of a job {}, of an ended task {}",
        json_bytes(&job_record),
        json_bytes(&ended)
    );
    println!("snapshot of the log: shards, bytes with four claims each");
    for shards in [12_u32, 28, 140] {
        let claim = |shard: u32, epoch| Claim {
            shard: format!("nasr-hall-rack-{shard}").into(),
            domain: "nasr-hall".into(),
            epoch,
            owner: entry("nasr-hall-entry-1"),
            replicas: vec![entry("nasr-hall-entry-2"), entry("nasr-hall-entry-3")],
        };
        let claims = (0..shards).map(|at| (1..5).map(|epoch| claim(at, epoch)).collect());
        let record = Record::Snapshot { end_offset: 1, table: None, claims: claims.collect() };
        println!("  {shards:>5} {:>7}", json_bytes(&record));
    }
}

fn measure_slots() {
    println!("slots: runners of the shard, bytes of the question");
    for runners in [2, 8, 48] {
        let usage =
            |i| SlotUsage { runner: format!("nasr-hall-runner-{i}").into(), held: 4, used: 2 };
        let ask = Ask::Slots {
            shard: "nasr-hall-rack-12".into(),
            entry: "nasr-hall-entry-1".into(),
            uses: (0..runners).map(usage).collect(),
            waiting: 3,
        };
        println!("  {runners:>5} {:>7}", wire_bytes(ask));
    }
}

fn measure_limit_parts() {
    println!("parts of limits: limits of one home in a question, bytes of it and of the answer");
    for limits in [1_u64, 5, 20] {
        let limit = |i| match i % 2 {
            0 => Limit::Row(format!("campaign-{i}").into()),
            _ => Limit::Team(format!("team-{i}").into()),
        };
        let ask =
            |i| ShareRequest { limit: limit(i), held: 9_000, used: 8_000, need: 9_500, step: 500 };
        let question = HomeRequest {
            shard: "nasr-hall-rack-12".into(),
            epoch: 300,
            seq: 1_000_000,
            home: 300,
            shards: 140,
            asks: (0..limits).map(ask).collect(),
        };
        let lent = Tell::Parts((0..limits).map(|i| (limit(i), 9_000)).collect());
        let answer = Envelope { stamp: Stamp(u64::MAX / 2), body: lent };
        let answer = encode(NEWEST, &answer).expect("bytes").len();
        let home = "pasila-rack-3".into();
        println!("  {limits:>5} {:>7} {answer:>7}", wire_bytes(Ask::Parts { home, question }));
    }
}

/// Times of single placements: submit, bind, start and end.
fn measure_placements() {
    println!("one placement, us: workers, stuck shapes a shard, median, 99 %, 99.9 %, most");
    let rows = table(&[("build", "batch", 50, 10, 0), ("urgent", "batch", 100, 5, 5)]);
    for workers in [48, 200, 1_100] {
        for stuck in [0, 200, 800] {
            let mut all = owners(workers, 5 * workers as u32);
            for owner in &mut all {
                owner.step(Event::Table(rows.clone()));
                for less in 0..stuck {
                    let size = Size::new(16_000, 32_000 - less, 2);
                    owner.submit(job_spec("build", 1, false, size));
                }
            }
            let mut rng = SplitMix64(7);
            let mut times: Vec<u64> = (0..20_000).map(|_| placement(&mut all, &mut rng)).collect();
            times.sort_unstable();
            let at = |share: usize| times[times.len() * share / 1_000] as f64 / 1_000.0;
            let most = times[times.len() - 1] as f64 / 1_000.0;
            println!(
                "  {workers:>5} {stuck:>5} {:>8.1} {:>8.1} {:>8.1} {most:>8.1}",
                at(500),
                at(990),
                at(999)
            );
        }
    }
}

/// Nanoseconds of one placement.
fn placement(all: &mut [OwnerHarness], rng: &mut SplitMix64) -> u64 {
    let at = rng.below(all.len() as u64) as usize;
    let job = job_spec("urgent", 1, false, Size::new(500, 500, 0));
    let begun = Instant::now();
    let (job, decisions) = all[at].submit(job);
    assert_eq!(decisions.len(), 1, "placed at once");
    all[at].end(&TaskId { job, index: 0, attempt: 0 }, TaskOutcome::Done);
    begun.elapsed().as_nanos() as u64
}

fn main() {
    measure_placements();
    measure_limit_parts();
    measure_owners();
    measure_heartbeats();
    measure_updates();
    measure_syncs();
    measure_log();
    measure_slots();
}
