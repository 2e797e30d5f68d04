//! Time of the owners' decisions by the size of the cell and its load.

#[path = "common/mod.rs"]
mod common;

use common::{OwnerHarness, SplitMix64, WORKERS_PER_RACK, job_spec, table};
use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use sprucerudder::clock::Millis;
use sprucerudder::controller::quota::{HomeRequest, Limit, LimitPool, ShareRequest};
use sprucerudder::controller::shard::StateSource;
use sprucerudder::controller::shard::owner::ShardOwner;
use sprucerudder::controller::slots::{SlotDecision, SlotLender, SlotRequest, Slots};
use sprucerudder::id::{EntryId, JobId, Name};
use sprucerudder::job::TaskOutcome;
use sprucerudder::record::Claim;
use sprucerudder::size::Size;
use sprucerudder::table::Table;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Workers of the cells: one user today, both users with room to grow, and the target size.
const CELL_WORKERS: [usize; 3] = [48, 200, 1_100];
const WORKER_SIZE: Size = Size::new(16_000, 32_000, 2);
const SMALL_TASK: Size = Size::new(500, 500, 0);

fn rows() -> std::sync::Arc<Table> {
    table(&[("build", "batch", 50, 10, 0), ("urgent", "batch", 100, 5, 5)])
}

/// The owners of a cell whose workers are about half full (6,100 tasks at the target size), with
/// 200 unplaceable jobs per shard for each load above 1.
fn cell(workers: usize, load: u32) -> Vec<OwnerHarness> {
    let racks = workers.div_ceil(WORKERS_PER_RACK);
    (0..racks)
        .map(|rack| {
            let mut owner =
                OwnerHarness::new(&format!("rack{rack}"), &[WORKER_SIZE; WORKERS_PER_RACK], rows());
            owner.submit(job_spec("build", 44, false, Size::new(1_400, 2_000, 0)));
            for index in 0..(load - 1) * 200 {
                let size = Size::new(16_000, 32_000 - index, 2);
                owner.submit(job_spec("build", 1, false, size));
            }
            owner
        })
        .collect()
}

/// Submits a task at a random owner, which binds it at once, and ends it.
fn place_one(owners: &mut [OwnerHarness], rng: &mut SplitMix64) {
    let at = rng.below(owners.len() as u64) as usize;
    let owner = &mut owners[at];
    let (job, decisions) = owner.submit(job_spec("urgent", 1, false, SMALL_TASK));
    assert_eq!(decisions.len(), 1);
    let task = owner.running.keys().find(|task| task.job == job).cloned().expect("running");
    owner.end(&task, TaskOutcome::Done);
}

fn bench_place(c: &mut Criterion) {
    let mut group = c.benchmark_group("place");
    for workers in CELL_WORKERS {
        for load in [1, 2, 5] {
            let mut owners = cell(workers, load);
            let mut rng = SplitMix64(7);
            let id = BenchmarkId::new(format!("{workers}-workers"), format!("{load}x"));
            group.bench_function(id, |b| b.iter(|| place_one(&mut owners, &mut rng)));
        }
    }
    group.finish();
}

fn bench_gang(c: &mut Criterion) {
    c.bench_function("gang-of-8", |b| {
        let setup = || OwnerHarness::new("rack", &[WORKER_SIZE; WORKERS_PER_RACK], rows());
        let run = |mut owner: OwnerHarness| {
            owner.submit(job_spec("urgent", 8, true, Size::new(8_000, 8_000, 1)));
            assert_eq!(owner.running.len(), 8);
            owner
        };
        b.iter_batched(setup, run, BatchSize::SmallInput);
    });
}

fn bench_cancel(c: &mut Criterion) {
    c.bench_function("cancel-10000-jobs", |b| {
        let setup = || {
            let mut owner = OwnerHarness::new("rack", &[WORKER_SIZE; WORKERS_PER_RACK], rows());
            owner.submit(job_spec("build", 8, false, WORKER_SIZE));
            let queued =
                (0..10_000).map(|_| owner.submit(job_spec("build", 1, false, WORKER_SIZE)).0);
            let jobs: Vec<JobId> = queued.collect();
            (owner, jobs)
        };
        let run = |(mut owner, jobs): (OwnerHarness, Vec<JobId>)| {
            for job in jobs {
                owner.cancel(job);
            }
            owner
        };
        b.iter_batched(setup, run, BatchSize::LargeInput);
    });
}

fn bench_take_over(c: &mut Criterion) {
    c.bench_function("take-over-a-shard", |b| {
        let claim = Claim {
            shard: "rack".into(),
            domain: "d".into(),
            epoch: 2,
            owner: EntryId { name: "f".into(), incarnation: 2 },
            replicas: Vec::new(),
        };
        let setup = || {
            let mut owner = OwnerHarness::new("rack", &[WORKER_SIZE; WORKERS_PER_RACK], rows());
            owner.submit(job_spec("build", 1_000, false, Size::new(1_400, 2_000, 0)));
            owner.shard_owner.into_state()
        };
        let run = |state| {
            let source = StateSource::State(Box::new(state));
            let former = BTreeSet::new();
            ShardOwner::new(&claim, source, former, Vec::new(), rows(), Millis(2_000_000))
        };
        b.iter_batched(setup, run, BatchSize::SmallInput);
    });
}

fn bench_control_round(c: &mut Criterion) {
    let mut owners = cell(WORKERS_PER_RACK, 1);
    c.bench_function("control-round-of-a-shard", |b| {
        b.iter(|| {
            let owner = &mut owners[0];
            owner.now = owner.now + Millis(1_000);
            owner.report();
            owner.step(sprucerudder::controller::shard::owner::Event::Tick)
        });
    });
}

fn bench_slots(c: &mut Criterion) {
    let now = Millis(1_000_000);
    let mut slots = Slots::default();
    let names = (0..48).map(|i| (format!("r{i}").into(), "rack".into(), false));
    slots.set_runners(names.collect());
    let loans: Vec<_> = (0..48).map(|i| (format!("r{i}").into(), 8)).collect();
    slots.lent(now, &loans);
    c.bench_function("take-a-slot-of-48-runners", |b| {
        b.iter(|| {
            let request = SlotRequest {
                id: 1,
                kind: "preview".into(),
                weight: 100,
                limit: 1_000,
                queue: 10,
                came: now,
                due: now + Millis(1_000),
            };
            let SlotDecision::Go { runner, .. } = slots.ask(now, request) else {
                panic!("no slot")
            };
            slots.release(now, &runner, &"preview".into(), Millis(10), true);
        });
    });
    let mut lender = SlotLender::first();
    lender.set_runners((0..8).map(|i| (format!("r{i}").into(), 8)).collect::<BTreeMap<_, _>>());
    lender.set_entries(["e1", "e2", "e3"].map(Into::into).into());
    c.bench_function("lend-slots-of-a-shard", |b| {
        b.iter(|| lender.lend(now, &"e1".into(), &[], 1));
    });
}

fn bench_tables(c: &mut Criterion) {
    let header =
        "kind,team,class,weight,limit,queue,deadline,repeat,retries,pack,spread,quota,site:d\n";
    let rows = (0..200).map(|i| format!("kind{i},t,batch,5,10,10,60000,yes,2,1,1,0,1\n"));
    let text: String = std::iter::once(header.to_string()).chain(rows).collect();
    c.bench_function("parse-a-table-of-200-rows", |b| {
        b.iter(|| Table::parse(&text).expect("table"));
    });
}

/// A request of one shard to a home for parts of 10 limits that all shards of the cell use.
fn bench_lend_parts(c: &mut Criterion) {
    let mut group = c.benchmark_group("lend-parts");
    for workers in CELL_WORKERS {
        let count = workers.div_ceil(WORKERS_PER_RACK);
        let shards: BTreeSet<Name> = (0..count).map(|rack| format!("rack{rack}").into()).collect();
        let mut pool = LimitPool::new(1);
        let mut seq = 0;
        let mut ask = |rack: usize| {
            seq += 1;
            let asks = (0..10).map(|i| ShareRequest {
                limit: Limit::Row(format!("kind{i}").into()),
                held: 10,
                used: 8,
                need: 12,
                step: 1,
            });
            let (shard, asks) = (format!("rack{rack}").into(), asks.collect());
            let question = HomeRequest { shard, epoch: 1, seq, home: 1, shards: count, asks };
            pool.grant(&question, count, &shards, |_| 10 * count as u64)
        };
        (0..count).for_each(|rack| drop(ask(rack)));
        group.bench_function(BenchmarkId::from_parameter(count), |b| b.iter(|| ask(0)));
    }
    group.finish();
}

criterion_group! {
    name = all;
    config = Criterion::default()
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1))
        .sample_size(20);
    targets = bench_place, bench_gang, bench_cancel, bench_take_over, bench_control_round, bench_slots, bench_lend_parts, bench_tables
}
criterion_main!(all);
