//! The fold of the log: every reader comes to the same table and owners, whenever it starts and
//! whatever retention has dropped before it.

use proptest::prelude::*;
use sprucerudder::controller::log_state::LogState;
use sprucerudder::controller::table::{Revision, Verdict};
use sprucerudder::id::EntryId;
use sprucerudder::record::{Claim, Record, TablePublish};

const HEAD: &str =
    "kind,team,class,weight,limit,queue,deadline,repeat,retries,pack,spread,quota,site:d";

fn csv(weight: u32) -> String {
    format!("{HEAD}\nbuild,t,batch,{weight},10,10,60000,yes,2,1,1,0,9\n")
}

fn publish(id: &str, base: u64, by: &str) -> TablePublish {
    TablePublish { id: id.into(), base, by: by.into(), csv: csv(base as u32 % 1000).into() }
}

fn claim(shard: &str, epoch: u64, owner: &str) -> Claim {
    let owner = EntryId { name: owner.into(), incarnation: 1 };
    Claim { shard: shard.into(), domain: "d".into(), epoch, owner, replicas: Vec::new() }
}

fn fold() -> LogState {
    LogState::new("d".into())
}

#[test]
fn of_racing_publishes_the_first_wins_and_a_repeated_one_has_one_effect() {
    let mut fold = fold();
    let records = ["a", "b", "a"].map(|id| Record::Publish(publish(id, 0, id)));
    for (offset, record) in (0..).zip(records) {
        fold.apply(offset, vec![record]);
    }
    assert_eq!(fold.tables.verdict("a"), Some(&Verdict::Accepted(1)));
    assert_eq!(fold.tables.verdict("b"), Some(&Verdict::Lost { rev: 1, by: "a".into() }));
    assert_eq!(fold.tables.rev(), 1);
}

#[test]
fn a_table_from_a_peer_is_never_replaced_by_an_older_one_of_the_log() {
    let mut fold = fold();
    assert!(fold.tables.adopt(Revision { rev: 2, publish: publish("b", 1, "op") }));
    assert!(!fold.tables.adopt(Revision { rev: 1, publish: publish("a", 0, "op") }));
    fold.apply(0, vec![Record::Publish(publish("a", 0, "op"))]);
    assert_eq!(fold.tables.rev(), 2);
    fold.apply(1, vec![Record::Publish(publish("b", 1, "op"))]);
    fold.apply(2, vec![Record::Publish(publish("c", 2, "op"))]);
    assert_eq!(fold.tables.rev(), 3);
    assert_eq!(fold.tables.verdict("a"), Some(&Verdict::Accepted(1)));
}

#[test]
fn the_first_claim_of_an_epoch_wins_and_late_ones_are_void() {
    let mut fold = fold();
    let claims = [(1, "x"), (1, "y"), (2, "y"), (2, "x"), (1, "x"), (4, "x")];
    for (offset, (epoch, owner)) in (0..).zip(claims) {
        fold.apply(offset, vec![Record::Claim(claim("s", epoch, owner))]);
    }
    let last = fold.claims.last("s").expect("claim");
    assert_eq!((last.epoch, &*last.owner.name), (2, "y"));
}

#[derive(Debug, Clone)]
enum Op {
    Publish { late: u64, by: usize },
    Claim { shard: usize, late: u64, owner: usize },
    Active { shard: usize },
    Snapshot { late: usize },
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (0..3_u64, 0..3_usize).prop_map(|(late, by)| Op::Publish { late, by }),
        4 => (0..2_usize, 0..3_u64, 0..3_usize)
            .prop_map(|(shard, late, owner)| Op::Claim { shard, late, owner }),
        1 => (0..2_usize).prop_map(|shard| Op::Active { shard }),
        2 => (0..4_usize).prop_map(|late| Op::Snapshot { late }),
    ]
}

/// The log that these events leave; publishes and claims may go by an old state, and a snapshot
/// may be appended several records after it was taken.
fn log(ops: &[Op]) -> Vec<Record> {
    let mut fold = fold();
    let mut log: Vec<Record> = Vec::new();
    let mut snapshots = vec![fold.snapshot()];
    for (number, op) in ops.iter().enumerate() {
        let record = match op {
            Op::Publish { late, by } => {
                let base = fold.tables.rev().saturating_sub(*late);
                Record::Publish(publish(&format!("p{number}"), base, &format!("op{by}")))
            }
            Op::Claim { shard, late, owner } => {
                let shard = format!("s{shard}");
                let epoch = (fold.claims.epoch(&shard) + 1).saturating_sub(*late);
                Record::Claim(claim(&shard, epoch, &format!("e{owner}")))
            }
            Op::Active { shard } => {
                let shard: sprucerudder::id::Name = format!("s{shard}").into();
                let epoch = fold.claims.epoch(&shard);
                Record::Active { shard, epoch }
            }
            Op::Snapshot { late } => snapshots[snapshots.len().saturating_sub(1 + late)].clone(),
        };
        fold.apply(log.len() as u64, vec![record.clone()]);
        log.push(record);
        snapshots.push(fold.snapshot());
    }
    log.push(fold.snapshot());
    log
}

fn read(log: &[Record], first: usize) -> LogState {
    let mut fold = fold();
    if first > 0 {
        fold.gap(first as u64);
    }
    for (offset, record) in log.iter().enumerate().skip(first) {
        fold.apply(offset as u64, vec![record.clone()]);
    }
    fold
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500, failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn late_readers_agree_with_early_ones(
        ops in prop::collection::vec(op(), 1..60),
        part in 0..1000_usize,
    ) {
        let log = log(&ops);
        let whole = read(&log, 0);
        let late = read(&log, part * (log.len() - 1) / 1000);
        prop_assert!(late.synced());
        prop_assert_eq!(late.tables.folded(), whole.tables.folded());
        prop_assert_eq!(late.tables.rev(), whole.tables.rev());
        prop_assert_eq!(late.claims.histories(), whole.claims.histories());
    }
}
