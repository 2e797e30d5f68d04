//! Memory, message sizes and CPU time by the size of the cell: the slopes of docs/CAPACITY.md.

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
use sprucerudder::wire::msg::{
    DeltaHeartbeat, Envelope, Heartbeat, NEWEST_VERSION, PeerRequest, PeerResponse, ShardHeartbeat,
    encode,
};
use std::time::Instant;

const WORKER_SIZE: Size = Size::new(16_000, 32_000, 2);
const PAGE_BYTES: u64 = 4096;

fn wire_bytes(ask: PeerRequest) -> usize {
    encode(NEWEST_VERSION, &Envelope { stamp: Stamp(u64::MAX / 2), body: ask })
        .expect("bytes")
        .len()
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
        let mut owner = OwnerHarness::new(
            &format!("rack{rack}"),
            &[WORKER_SIZE; WORKERS_PER_RACK],
            rows.clone(),
        );
        owner.submit(job_spec("build", each, false, Size::new(1_000, 1_000, 0)));
        assert_eq!(owner.running.len(), each as usize);
        owner
    };
    (0..racks).map(make).collect()
}

fn measure_owners() {
    println!(
        "owners: workers, running tasks, bytes of memory, bytes of all states, us per control round"
    );
    for (workers, tasks) in [(48, 266), (200, 1_109), (1_100, 6_100)] {
        let before = resident_memory();
        let mut all = owners(workers, tasks);
        let memory = resident_memory().saturating_sub(before);
        let started = Instant::now();
        for owner in &mut all {
            owner.now = owner.now + Millis(1_000);
            owner.report();
            owner.step(Event::Tick);
        }
        let round = started.elapsed().as_micros();
        let states = all.into_iter().map(|owner| owner.shard_owner.into_state());
        let bytes: usize =
            states.map(|state| postcard::to_stdvec(&state).expect("bytes").len()).sum();
        println!("  {workers:>5} {tasks:>5} {memory:>9} {bytes:>8} {round:>7}");
    }
}

fn shard_heartbeat(i: u32, owned: bool) -> ShardHeartbeat {
    let room = ShardCapacity {
        largest: WORKER_SIZE,
        max_free: WORKER_SIZE,
        total_free: WORKER_SIZE,
        backlog: 100_000,
        max_weight: 100,
    };
    ShardHeartbeat {
        shard: format!("nasr-hall-rack-{i}").into(),
        epoch: 300,
        is_owner: owned,
        start_pending: true,
        room: owned.then_some(room),
    }
}

fn heartbeat(shards: Vec<ShardHeartbeat>) -> Heartbeat {
    Heartbeat {
        from: entry("nasr-hall-entry-1"),
        domain: "nasr-hall".into(),
        addr: "10.20.30.40:7100".parse().expect("addr"),
        is_stopping: false,
        table_rev: 100_000,
        list_rev: 100_000,
        shards,
    }
}

fn measure_heartbeats() {
    println!("heartbeat: shards of the failure domain (a third owned), bytes of a full one,");
    println!("  with the owned shards changed, with nothing changed");
    for count in [2, 12, 28] {
        let all: Vec<ShardHeartbeat> = (0..count).map(|i| shard_heartbeat(i, i % 3 == 0)).collect();
        let owned: Vec<ShardHeartbeat> =
            all.iter().filter(|shard| shard.is_owner).cloned().collect();
        let delta = |shards| {
            let (seq, base, held) = (1_000_000, 999_999, 1_000_000);
            let delta = Delta { seq, base, held, shards };
            wire_bytes(PeerRequest::DeltaHeartbeat(DeltaHeartbeat {
                heartbeat: heartbeat(Vec::new()),
                delta,
            }))
        };
        let whole = wire_bytes(PeerRequest::Heartbeat(heartbeat(all)));
        println!("  {count:>5} {whole:>7} {:>7} {:>7}", delta(owned), delta(Vec::new()));
    }
}

fn measure_updates() {
    println!(
        "update of a replica: bindings in it, bytes; bytes of the log record without replicas"
    );
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
            wire_bytes(PeerRequest::Update { shard, update }),
            json_bytes(&record)
        );
    }
}

fn measure_syncs() {
    println!("contact with a worker: running tasks, bytes of order and report");
    for count in [1_u32, 6, 20] {
        let order = SyncOrder { renew: (0..count).map(task).collect(), ..SyncOrder::default() };
        let running = |index| Running {
            task: task(index),
            kind: "campaign".into(),
            size: WORKER_SIZE,
            usage: WORKER_SIZE,
        };
        let ended = vec![(task(99), TaskOutcome::Done)];
        let report = Report { inc: 1, running: (0..count).map(running).collect(), ended };
        println!("  {count:>5} {:>7} {:>7}", json_bytes(&order), json_bytes(&report));
    }
}

fn measure_log() {
    let spec = job_spec("campaign", 30, false, WORKER_SIZE);
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
    println!("slots: runners of the shard, bytes of the request");
    for runners in [2, 8, 48] {
        let usage =
            |i| SlotUsage { runner: format!("nasr-hall-runner-{i}").into(), held: 4, used: 2 };
        let ask = PeerRequest::LendSlots {
            shard: "nasr-hall-rack-12".into(),
            entry: "nasr-hall-entry-1".into(),
            uses: (0..runners).map(usage).collect(),
            waiting: 3,
        };
        println!("  {runners:>5} {:>7}", wire_bytes(ask));
    }
}

fn measure_limit_parts() {
    println!("parts of limits: limits in a request to one home, bytes of request and answer");
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
        let reply = PeerResponse::LentQuota((0..limits).map(|i| (limit(i), 9_000)).collect());
        let answer = Envelope { stamp: Stamp(u64::MAX / 2), body: reply };
        let answer = encode(NEWEST_VERSION, &answer).expect("bytes").len();
        let home = "pasila-rack-3".into();
        println!(
            "  {limits:>5} {:>7} {answer:>7}",
            wire_bytes(PeerRequest::LendQuota { home, question })
        );
    }
}

/// Measures the time of single placements: submit, bind, start and end.
fn measure_placements() {
    println!(
        "one placement, us: workers, unplaceable sizes per shard, median, 99 %, 99.9 %, maximum"
    );
    let rows = table(&[("build", "batch", 50, 10, 0), ("urgent", "batch", 100, 5, 5)]);
    for workers in [48, 200, 1_100] {
        for unplaceable in [0, 200, 800] {
            let mut all = owners(workers, 5 * workers as u32);
            for owner in &mut all {
                owner.step(Event::Table(rows.clone()));
                for size_offset in 0..unplaceable {
                    let size = Size::new(16_000, 32_000 - size_offset, 2);
                    owner.submit(job_spec("build", 1, false, size));
                }
            }
            let mut rng = SplitMix64(7);
            let mut times: Vec<u64> =
                (0..20_000).map(|_| time_placement(&mut all, &mut rng)).collect();
            times.sort_unstable();
            let at = |share: usize| times[times.len() * share / 1_000] as f64 / 1_000.0;
            let maximum = times[times.len() - 1] as f64 / 1_000.0;
            println!(
                "  {workers:>5} {unplaceable:>5} {:>8.1} {:>8.1} {:>8.1} {maximum:>8.1}",
                at(500),
                at(990),
                at(999)
            );
        }
    }
}

/// Places one task; the time that it took in nanoseconds.
fn time_placement(owners: &mut [OwnerHarness], rng: &mut SplitMix64) -> u64 {
    let at = rng.below(owners.len() as u64) as usize;
    let job = job_spec("urgent", 1, false, Size::new(500, 500, 0));
    let started = Instant::now();
    let (job, decisions) = owners[at].submit(job);
    assert_eq!(decisions.len(), 1, "placed at once");
    owners[at].end(&TaskId { job, index: 0, attempt: 0 }, TaskOutcome::Done);
    started.elapsed().as_nanos() as u64
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
