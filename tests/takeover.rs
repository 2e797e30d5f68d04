//! What a new owner relies on of the owners before it: whether their starts are recorded, and when
//! the leases that they granted expire.

mod cells;

use cells::queue;
use cells::rows::running as running_row;
use sprucerudder::cell::mechanism::DisabledMechanisms;
use sprucerudder::cell::owner::claim_record::{self, Extension, FinalState, OwnerState};
use sprucerudder::cell::owner::election::{Election, ElectionRecord};
use sprucerudder::cell::records::journal::{self, JobRecord, LeaseBounds, LeaseRecord, Snapshot};
use sprucerudder::cell::{Action, Cell, CellConfig};
use sprucerudder::clock::Millis;
use sprucerudder::id::{EntryId, Name};
use sprucerudder::order::{ReportError, WorkerInfo, WorkerReport};
use sprucerudder::workload::{
    AdviceConfig, JobDefinition, JobKey, Queue, Resources, Step, StepKey, TaskKey,
};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

const LEASE: Millis = Millis(6_000);
const MAX_LEASE: Millis = Millis(10_000);
const TASK: TaskKey =
    TaskKey { step: StepKey { job: JobKey(1), repetition: 0, step: 0 }, index: 0 };

fn worker(id: &str) -> WorkerInfo {
    WorkerInfo {
        id: id.into(),
        started_at: Some(Millis(7)),
        service: "s".into(),
        addr: id.into(),
        domain: "d".into(),
        capacity: Resources { cpu: 4_000, mem: 4_000, gpu: 0 },
        labels: Vec::new(),
        leaves_in: None,
    }
}

fn cell(epoch: u64, snapshot: Snapshot, unrecorded_starts: bool, now: u64) -> Cell {
    let config = CellConfig {
        lease: LEASE,
        max_lease: MAX_LEASE,
        job_retention: Millis(100_000),
        disabled: DisabledMechanisms::default(),
        memory: None,
    };
    let queues = HashMap::from([("q".into(), queue())]);
    let mut cell = Cell::new(epoch, config, queues, snapshot, unrecorded_starts, Millis(now));
    cell.set_workers(Millis(now), vec![worker("w1"), worker("w2")]);
    cell
}

/// Stores everything that the cell has to write, and adds it to `store`.
fn write_batches(cell: &mut Cell, now: u64, store: &mut Snapshot) {
    while let Some(batch) = cell.take_batch(Millis(now)) {
        for (key, value) in batch.records {
            store.apply(&key, &value).unwrap();
        }
        cell.mark_stored(Millis(now), batch.number);
    }
}

fn report(cell: &mut Cell, worker: &str, now: u64) -> Option<u64> {
    let worker = worker.into();
    let lease_end = cell.report_call(Millis(now), &worker, true).unwrap().lease_end;
    let report =
        WorkerReport { started_at: Some(Millis(7)), clock: 1_000 + now, ..WorkerReport::default() };
    cell.on_report(Millis(now), Millis(now), &worker, &report);
    lease_end
}

/// A report that names a run of [`TASK`].
fn report_of_run() -> WorkerReport {
    let running = vec![running_row(TASK, 7)];
    WorkerReport { started_at: Some(Millis(7)), clock: 1_000, running, ..WorkerReport::default() }
}

/// A job with one task.
fn work(long_running: bool) -> Arc<JobDefinition> {
    let step = Step { count: 1, long_running, ..Step::default() };
    let (first_due, interval) = (Millis(0), Millis(0));
    let (payload, steps) = ("t".into(), vec![step]);
    Arc::new(JobDefinition { payload, steps, repetitions: 1, first_due, interval })
}

fn miss_reports(cell: &mut Cell, worker: &str, now: u64) {
    for _ in 0..2 {
        cell.report_call(Millis(now), &worker.into(), true);
        cell.on_missing_report(Millis(now), &worker.into(), &ReportError::NoReply("lost".into()));
    }
}

/// The stored records of an owner that has heard both workers, and then misses reports of `w1`.
fn store_of_first_owner() -> (Cell, Snapshot) {
    let mut store = Snapshot::default();
    let mut first = cell(1, Snapshot::default(), false, 0);
    write_batches(&mut first, 1, &mut store);
    for now in [10, 1_000] {
        report(&mut first, "w1", now);
        report(&mut first, "w2", now);
    }
    miss_reports(&mut first, "w1", 2_000);
    first.tick(Millis(2_100), Millis(2_100));
    write_batches(&mut first, 2_100, &mut store);
    (first, store)
}

fn leave(epoch: u64, clock: u64, left: FinalState) -> (ElectionRecord, Extension) {
    let owner_state = Some(OwnerState { clock: Some(Millis(clock)), left: Some(left) });
    (ElectionRecord::Release { epoch }, Extension { owner_state, ..Extension::default() })
}

fn entry(name: &str) -> EntryId {
    EntryId { name: name.into(), incarnation: 1 }
}

fn claim(name: &str) -> ElectionRecord {
    ElectionRecord::Claim { owner: entry(name), addr: "1.2.3.4:5".into() }
}

/// The extension of a claim or heartbeat that was sent at `clock` on its owner's clock.
fn extension(clock: Option<u64>) -> Extension {
    let owner_state = Some(OwnerState { clock: clock.map(Millis), left: None });
    Extension { owner_state, ..Extension::default() }
}

fn heartbeat(name: &str, epoch: u64) -> ElectionRecord {
    let (owner, addr) = (entry(name), "1.2.3.4:5".into());
    ElectionRecord::Heartbeat { epoch, owner, addr, largest_cpu: 500 }
}

#[test]
fn an_adopted_run_is_recorded_for_the_next_owner() {
    // Guards against a task that runs twice after two takeovers: the first owner found a run without
    // a record, and the second one did not hear the worker.
    let record = JobRecord::Open { queue: (*queue()).clone(), work: work(false) };
    let mut snapshot = Snapshot::default();
    let (key, value) = journal::put_job(TASK.step.job, &record);
    snapshot.apply(&key, &value).unwrap();
    let mut store = Snapshot::default();
    let mut next = cell(2, snapshot, true, 0);
    write_batches(&mut next, 1, &mut store);
    next.report_call(Millis(2), &"w1".into(), true);
    next.on_report(Millis(3), Millis(2), &"w1".into(), &report_of_run());
    write_batches(&mut next, 4, &mut store);
    let assignment = store.progress[&TASK.step.job].steps[0].tasks[0].assignment.clone();
    assert_eq!(assignment, Some((7, Name::from("w1"))));
}

#[test]
fn the_lease_of_an_unheard_worker_does_not_begin_anew_with_each_owner() {
    // Guards against tasks that wait for a whole lease from each takeover on.
    let (first, store) = store_of_first_owner();
    assert_eq!(store.leases.epoch, first.epoch());
    let end = store.leases.unheard[&Name::from("w1")];
    assert_eq!(store.leases.unheard.len(), 1);
    assert!(end < Millis(2_000) + LEASE + Millis(200), "{end}");
    // Each owner takes over 2 s after the one before and does not hear the worker. All share a clock.
    let mut known = store.leases.clone();
    for owner in 2..5 {
        let lease_bounds = LeaseBounds { record: Some(known), last_end: None };
        let mut store = Snapshot { lease_bounds, ..store_of_first_owner().1 };
        let now = owner * 2_000;
        let mut next = cell(owner, std::mem::take(&mut store), false, now);
        write_batches(&mut next, now, &mut store);
        next.tick(Millis(now + 300), Millis(0));
        write_batches(&mut next, now + 300, &mut store);
        assert_eq!(store.leases.unheard.get(&Name::from("w1")), Some(&end), "owner {owner}");
        known = store.leases;
    }
}

#[test]
fn the_lease_of_a_recorded_worker_is_renewed_only_without_the_record() {
    // Guards against a task that runs twice: a later owner would take the lease for expired.
    let (mut first, mut store) = store_of_first_owner();
    assert_eq!(report(&mut first, "w1", 3_000), None);
    assert_eq!(report(&mut first, "w1", 3_100), None, "the record is not stored");
    write_batches(&mut first, 3_200, &mut store);
    assert!(store.leases.unheard.is_empty());
    assert!(report(&mut first, "w1", 3_300).is_some());
}

#[test]
fn only_recorded_workers_are_expected_to_have_long_leases() {
    // Guards against an owner that waits for the longest lease of each worker that reports its start
    // time.
    let (_, store) = store_of_first_owner();
    let lease_end = |record: Option<LeaseRecord>| {
        let lease_bounds = LeaseBounds { record, last_end: None };
        let mut store = Snapshot { lease_bounds, ..store_of_first_owner().1 };
        let mut next = cell(2, std::mem::take(&mut store), false, 5_000);
        next.tick(Millis(5_300), Millis(0));
        write_batches(&mut next, 5_300, &mut store);
        store.leases.unheard[&Name::from("w2")]
    };
    let usual = lease_end(Some(store.leases.clone()));
    assert!(usual <= Millis(5_000 + 6_300), "{usual}");
    let long = BTreeMap::from([("w2".into(), Millis(14_000))]);
    assert_eq!(lease_end(Some(LeaseRecord { long, ..store.leases })), Millis(14_000));
    // An owner of an older version may have granted a lease.
    assert_eq!(lease_end(None), Millis(5_000 + 10_500));
}

#[test]
fn an_owner_that_has_left_renews_no_lease() {
    let mut store = Snapshot::default();
    let mut first = cell(1, Snapshot::default(), false, 0);
    write_batches(&mut first, 1, &mut store);
    report(&mut first, "w1", 10);
    assert!(report(&mut first, "w1", 1_000).is_some());
    let left = first.leave();
    assert!(left.has_complete_records);
    assert!(left.last_lease_end >= Some(Millis(1_000) + LEASE));
    assert_eq!(report(&mut first, "w1", 1_500), None);
}

#[test]
fn the_next_owner_learns_in_which_state_the_last_one_left() {
    // The clock of the last owner shows 50,000 where that of the next one shows 1,000.
    let left = FinalState { has_complete_records: true, last_lease_end: Some(Millis(55_000)) };
    let mut next = Election::new(entry("next"), 500, Millis(0));
    next.apply_extended(Millis(1), 0, claim("last"), extension(None));
    next.apply_extended(Millis(2), 1, heartbeat("last", 1), extension(Some(49_000)));
    let (record, state) = leave(1, 50_000, left);
    next.apply_extended(Millis(1_000), 2, record, state);
    next.apply_extended(Millis(1_100), 3, claim("next"), extension(None));
    assert!(next.history().inherited().has_complete_records);
    assert_eq!(next.history().inherited().last_lease_end, Some(Millis(6_000)));
    assert_eq!(next.history().to_own_clock(1, Millis(50_500)), Some(Millis(1_500)));
    assert!(next.history().keeps_leases_since(1));
}

#[test]
fn a_takeover_after_another_claim_inherits_nothing() {
    // An owner that claimed the cell in between may have sent starts.
    let left = FinalState { has_complete_records: true, last_lease_end: Some(Millis(55_000)) };
    let mut next = Election::new(entry("next"), 500, Millis(0));
    next.apply_extended(Millis(1), 0, claim("last"), extension(None));
    let (record, state) = leave(1, 50_000, left);
    next.apply_extended(Millis(1_000), 1, record, state);
    next.apply_extended(Millis(1_050), 2, claim("other"), extension(None));
    next.apply_extended(Millis(3_000), 3, claim("next"), extension(None));
    assert_eq!(next.history().inherited(), Default::default());
}

#[test]
fn records_of_an_owner_of_an_older_version_tell_nothing() {
    // Such an owner renews leases of workers that are recorded as unheard.
    let mut next = Election::new(entry("next"), 500, Millis(0));
    next.apply_extended(Millis(1), 0, claim("first"), extension(None));
    next.apply_extended(Millis(2), 1, claim("old"), Extension::default());
    next.apply_extended(Millis(3), 2, ElectionRecord::Release { epoch: 2 }, Extension::default());
    next.apply_extended(Millis(4), 3, claim("next"), extension(None));
    assert_eq!(next.history().inherited(), Default::default());
    assert!(!next.history().keeps_leases_since(1));
    assert!(next.history().keeps_leases_since(4));
}

#[test]
fn records_that_were_lost_unread_tell_nothing() {
    let mut next = Election::new(entry("next"), 500, Millis(0));
    next.apply_extended(Millis(1), 0, claim("first"), extension(None));
    next.skip_lost(Millis(2), 10);
    next.apply_extended(Millis(3), 10, heartbeat("last", 8), extension(Some(5)));
    assert!(!next.history().keeps_leases_since(7));
    assert!(next.history().keeps_leases_since(8));
}

#[test]
fn the_state_of_an_owner_is_read_back_and_skipped_by_older_versions() {
    let left = FinalState { has_complete_records: true, last_lease_end: Some(Millis(9)) };
    let (record, state) = leave(3, 5, left);
    let bytes = claim_record::encode(&record, &state).unwrap();
    assert_eq!(claim_record::decode(&bytes).unwrap(), (record.clone(), state.clone()));
    let old = Extension { owner_state: None, ..state };
    let old_bytes = claim_record::encode(&record, &old).unwrap();
    assert!(bytes.starts_with(&old_bytes));
    assert_eq!(claim_record::decode(&old_bytes).unwrap(), (record, old));
}

#[test]
fn a_lease_is_not_renewed_after_a_missed_report() {
    // Guards against a later start elsewhere: the worker is probably lost, and its tasks wait for the
    // end of its lease.
    let mut store = Snapshot::default();
    let mut owner = cell(1, Snapshot::default(), false, 0);
    write_batches(&mut owner, 1, &mut store);
    report(&mut owner, "w1", 10);
    assert!(report(&mut owner, "w1", 1_000).is_some());
    let missing = ReportError::NoReply("lost".into());
    owner.on_missing_report(Millis(1_500), &"w1".into(), &missing);
    assert_eq!(report(&mut owner, "w1", 1_600), None);
    assert!(report(&mut owner, "w1", 1_700).is_some());
}

#[test]
fn advice_is_requested_before_the_lease_of_a_lost_worker_expires() {
    // Guards against lasting tasks that wait for the lease and for the advice service one after the
    // other.
    let advice = AdviceConfig {
        base_latency: Millis(560),
        worker_micros: 8_000,
        ticket_validity: Millis(2_000),
    };
    let queue = Queue { advice: Some(advice), ..(*queue()).clone() };
    let (mut store, mut owner) = (Snapshot::default(), cell(1, Snapshot::default(), false, 0));
    owner.set_queues(HashMap::from([("q".into(), Arc::new(queue))]));
    owner.add_entry("e".into(), true);
    assert!(owner.submit(Millis(1), JobKey(1), "q", work(true)).is_some());
    write_batches(&mut owner, 1, &mut store);
    for now in [10, 1_000, 1_800] {
        report(&mut owner, "w2", now);
    }
    owner.report_call(Millis(10), &"w1".into(), true);
    owner.on_report(Millis(11), Millis(10), &"w1".into(), &report_of_run());
    owner.report_call(Millis(1_000), &"w1".into(), true);
    miss_reports(&mut owner, "w1", 2_000);
    owner.take_actions();
    let mut asks = |now: u64| {
        owner.tick(Millis(now), Millis(0));
        write_batches(&mut owner, now, &mut store);
        owner.schedule(Millis(now));
        owner.take_actions().iter().any(|action| matches!(action, Action::RequestAdvice { .. }))
    };
    assert!(!asks(2_100) && !asks(6_000));
    // The lease was last renewed at 2.0 s, and expires at 8.2 s.
    assert!(asks(7_000));
}
