//! Bounds on the work of decisions that do not depend on the machine: allocations and bytes. Times
//! are the benches' affair.

#[path = "../benches/common/mod.rs"]
mod common;

use common::{OwnerHarness, SplitMix64, WORKERS_PER_RACK, job_spec, table};
use sprucerudder::controller::gossip::{Inbox, Outbox};
use sprucerudder::controller::shard::owner::Event;
use sprucerudder::id::{EntryId, TaskId};
use sprucerudder::job::{StateChange, TaskOutcome};
use sprucerudder::size::Size;
use sprucerudder::trace::Stamp;
use sprucerudder::wire::msg::{Envelope, NEWEST_VERSION, PeerRequest, ShardHeartbeat, encode};
use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

/// Counts the allocations of each thread.
struct Counting;

thread_local! {
    static COUNT: Cell<u64> = const { Cell::new(0) };
}

// SAFETY: every call goes on to the system's allocator unchanged; the counter allocates nothing.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        COUNT.set(COUNT.get() + 1);
        // SAFETY: the caller's promise is passed on.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        // SAFETY: the caller's promise is passed on.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// Allocations of each of `times` runs, on average.
fn allocations(times: u64, mut run: impl FnMut()) -> u64 {
    let before = COUNT.get();
    (0..times).for_each(|_| run());
    (COUNT.get() - before) / times
}

const WORKER: Size = Size::new(16_000, 32_000, 2);
const SMALL: Size = Size::new(500, 500, 0);
const TIMES: u64 = 2_000;
/// Allocations of one placement: 22 when this was written.
const PLACEMENT: u64 = 24;
/// Allocations of one cancel: 6 when this was written.
const CANCEL: u64 = 7;
/// Bytes of an update with 100 bindings: 8,933 when this was written.
const BINDINGS: usize = 9_000;

/// The owners of a cell whose workers are about half full, with `stuck` shapes a shard that cannot
/// run.
fn cell(workers: usize, stuck: u32) -> Vec<OwnerHarness> {
    let rows = table(&[("build", "batch", 50, 10, 0), ("urgent", "batch", 100, 5, 5)]);
    let owner = |rack| {
        let mut owner =
            OwnerHarness::new(&format!("rack{rack}"), &[WORKER; WORKERS_PER_RACK], rows.clone());
        owner.shard_owner.set_shards(workers.div_ceil(WORKERS_PER_RACK));
        owner.submit(job_spec("build", 44, false, Size::new(1_400, 2_000, 0)));
        for less in 0..stuck {
            owner.submit(job_spec("build", 1, false, Size::new(16_000, 32_000 - less, 2)));
        }
        owner
    };
    (0..workers.div_ceil(WORKERS_PER_RACK)).map(owner).collect()
}

/// Allocations of one placement: submit, bind, start and end.
fn placement(workers: usize, stuck: u32) -> u64 {
    let (mut owners, mut rng) = (cell(workers, stuck), SplitMix64(7));
    allocations(TIMES, || {
        let at = rng.below(owners.len() as u64) as usize;
        let (job, decisions) = owners[at].submit(job_spec("urgent", 1, false, SMALL));
        assert_eq!(decisions.len(), 1, "placed at once");
        owners[at].end(&TaskId { job, index: 0, attempt: 0 }, TaskOutcome::Done);
    })
}

#[test]
fn a_placement_costs_the_same_in_a_large_cell() {
    for stuck in [0, 200, 800] {
        let [small, middle, large] = [48, 200, 1_100].map(|workers| placement(workers, stuck));
        let text = format!("{stuck} stuck: {small}, {middle}, {large} allocations");
        assert!(large * 10 <= small * 12 && middle * 10 <= small * 12, "{text}");
        assert!(small.max(large) <= PLACEMENT, "{text}, at most {PLACEMENT}");
    }
}

#[test]
fn cancels_cost_the_same_in_a_long_queue() {
    let cost = |jobs: u64| {
        let rows = table(&[("campaign", "batch", 10, 10, 0)]);
        let mut owner = OwnerHarness::new("rack0", &[WORKER; WORKERS_PER_RACK], rows);
        owner.submit(job_spec("campaign", 8, false, Size::new(16_000, 1, 0)));
        let submit = |_| owner.submit(job_spec("campaign", 1, false, SMALL)).0;
        let waiting: Vec<_> = (0..jobs).map(submit).collect();
        let mut next = waiting.into_iter();
        allocations(jobs, || drop(next.next().map(|job| owner.cancel(job))))
    };
    let [few, many] = [500, 10_000].map(cost);
    assert!(many * 10 <= few * 12, "{few} and {many} allocations a cancel");
    assert!(many <= CANCEL, "{many} allocations a cancel");
}

#[test]
fn a_control_round_costs_by_tasks_only() {
    let round = |workers| {
        let mut owners = cell(workers, 0);
        let each = allocations(20, || {
            for owner in &mut owners {
                owner.report();
                owner.step(Event::Tick);
            }
        });
        each / owners.len() as u64
    };
    let [small, large] = [48, 1_100].map(round);
    assert!(large * 10 <= small * 12, "{small} and {large} allocations a shard");
}

fn bytes(ask: PeerRequest) -> usize {
    encode(NEWEST_VERSION, &Envelope { stamp: Stamp(u64::MAX / 2), body: ask })
        .expect("bytes")
        .len()
}

#[test]
fn a_note_for_replicas_stays_small() {
    let mut owner = OwnerHarness::new(
        "nasr-hall-rack-12",
        &[WORKER; WORKERS_PER_RACK],
        table(&[("build", "batch", 50, 10, 0)]),
    );
    let bind = |index| StateChange::Bind {
        task: TaskId { job: owner.next_job_id(), index, attempt: 0 },
        worker: "nasr-hall-rack-12-w3".into(),
        incarnation: 1_764_000_000_000,
        owner: EntryId { name: "nasr-hall-entry-1".into(), incarnation: 1_764_000_000_000 },
    };
    let changes: Vec<StateChange> = (0..100).map(bind).collect();
    let update =
        sprucerudder::controller::replica::Update { epoch: 9, base: None, first: 1, changes };
    let size = bytes(PeerRequest::Update { shard: "nasr-hall-rack-12".into(), update });
    assert!(size <= BINDINGS, "{size} bytes for 100 bindings");
}

#[test]
fn heartbeats_grow_with_what_changed_only() {
    let shard = |index: u32, epoch| ShardHeartbeat {
        shard: format!("nasr-hall-rack-{index}").into(),
        epoch,
        is_owner: false,
        start_pending: false,
        room: None,
    };
    let me = EntryId { name: "a".into(), incarnation: 1 };
    let peer = EntryId { name: "b".into(), incarnation: 1 };
    let after_one_change = |shards: u32| {
        let (mut outbox, mut inbox) = (Outbox::default(), Inbox::default());
        outbox.update((0..shards).map(|index| shard(index, 1)).collect());
        inbox.take(&me, outbox.delta("b", 0));
        outbox.acked(&peer, inbox.held(1));
        outbox.update((0..shards).map(|index| shard(index, 1 + (index == 0) as u64)).collect());
        postcard::to_stdvec(&outbox.delta("b", 0)).expect("bytes").len()
    };
    assert_eq!(after_one_change(2), after_one_change(140));
}
