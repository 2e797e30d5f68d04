//! Slots of runners: never more lent than there are, whoever owns the shard; turns and refusals.

use proptest::prelude::*;
use proptest::test_runner::{Config, TestRng, TestRunner};
use sprucerudder::clock::Millis;
use sprucerudder::controller::retry::RetryBudget;
use sprucerudder::controller::slots::{
    OWNERSHIP_PROOF_TTL, SlotDecision, SlotLender, SlotRequest, Slots,
};
use sprucerudder::id::Name;
use std::collections::BTreeMap;

const ENTRIES: usize = 3;
const TOTAL: u32 = 8;
const RUNNER: &str = "r";
const SHARD: &str = "rack";

#[derive(Debug, Clone)]
enum Op {
    Advance(u64),
    /// An entry asks the owner that it believes in; the answer may be lost.
    Renew(usize, bool),
    /// An entry takes the shard over; the others do not know yet.
    TakeOver(usize),
    /// An entry learns who owns the shard.
    Learn(usize),
    Arrive(usize),
    Leave(usize),
}

fn op() -> impl Strategy<Value = Op> {
    let entry = 0..ENTRIES;
    prop_oneof![
        4 => (10..4_000_u64).prop_map(Op::Advance),
        8 => (entry.clone(), prop::bool::weighted(0.2))
            .prop_map(|(entry, lost)| Op::Renew(entry, lost)),
        1 => entry.clone().prop_map(Op::TakeOver),
        4 => entry.clone().prop_map(Op::Learn),
        6 => entry.clone().prop_map(Op::Arrive),
        4 => entry.prop_map(Op::Leave),
    ]
}

struct Desk {
    slots: Slots,
    lender: Option<SlotLender>,
    /// When this entry last knew for certain who owns the shard, and who that was.
    proof: Millis,
    believes: usize,
    at_runner: u32,
}

struct World {
    now: Millis,
    owner: usize,
    ids: u64,
    desks: Vec<Desk>,
}

fn name(entry: usize) -> Name {
    format!("e{entry}").into()
}

impl World {
    fn new() -> Self {
        let now = Millis(1_000_000);
        let desks = (0..ENTRIES).map(|_| {
            let mut slots = Slots::default();
            slots.set_runners(vec![(RUNNER.into(), SHARD.into(), false)]);
            Desk { slots, lender: None, proof: now, believes: 0, at_runner: 0 }
        });
        let mut world = Self { now, owner: 0, ids: 0, desks: desks.collect() };
        world.desks[0].lender = Some(world.lender(SlotLender::first()));
        world
    }

    fn lender(&self, mut lender: SlotLender) -> SlotLender {
        lender.set_runners(BTreeMap::from([(RUNNER.into(), TOTAL)]));
        lender.set_entries((0..ENTRIES).map(name).collect());
        lender
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Advance(millis) => self.now = self.now + Millis(millis),
            Op::Renew(entry, lost) => self.renew(entry, lost),
            Op::TakeOver(entry) => {
                self.owner = entry;
                self.desks[entry].lender = Some(self.lender(SlotLender::new(self.now)));
                self.learn(entry);
            }
            Op::Learn(entry) => self.learn(entry),
            Op::Arrive(entry) => self.arrive(entry),
            Op::Leave(entry) => {
                let desk = &mut self.desks[entry];
                if desk.at_runner > 0 {
                    desk.at_runner -= 1;
                    desk.slots.release(self.now, RUNNER, &"k".into(), Millis(20), true);
                }
            }
        }
        for desk in &mut self.desks {
            let turns = desk.slots.turns(self.now);
            desk.at_runner +=
                turns.iter().filter(|t| matches!(t, SlotDecision::Go { .. })).count() as u32;
        }
        self.check();
    }

    fn learn(&mut self, entry: usize) {
        let owner = self.owner;
        let desk = &mut self.desks[entry];
        desk.believes = owner;
        desk.proof = self.now;
        if owner != entry {
            desk.lender = None;
        }
    }

    fn renew(&mut self, entry: usize, lost: bool) {
        let asked = self.now;
        let (uses, waiting) = self.desks[entry].slots.uses(asked, SHARD);
        let owner = self.desks[entry].believes;
        let proven = asked.since(self.desks[owner].proof) < OWNERSHIP_PROOF_TTL;
        let Some(lender) = self.desks[owner].lender.as_mut().filter(|_| proven) else { return };
        let lent = lender.lend(asked, &name(entry), &uses, waiting);
        if !lost {
            self.desks[entry].slots.lent(asked, &lent);
        }
    }

    fn arrive(&mut self, entry: usize) {
        self.ids += 1;
        let request = waiting(self.ids, self.now, 60_000);
        let turn = self.desks[entry].slots.ask(self.now, request);
        if matches!(turn, SlotDecision::Go { .. }) {
            self.desks[entry].at_runner += 1;
        }
    }

    fn check(&self) {
        let allowed: u32 = self.desks.iter().map(|d| d.slots.allowed(self.now, RUNNER)).sum();
        assert!(allowed <= TOTAL, "{allowed} slots allowed");
    }
}

fn waiting(id: u64, now: Millis, wait: u64) -> SlotRequest {
    SlotRequest {
        id,
        kind: "k".into(),
        weight: 10,
        limit: 100,
        queue: 5,
        came: now,
        due: now + Millis(wait),
    }
}

/// An entry renews with a new owner just before its loan runs out at the old one, which still lends.
#[test]
fn an_old_owner_counts_loans_that_may_have_been_renewed() {
    let mut world = World::new();
    world.apply(&Op::Renew(2, false));
    world.apply(&Op::Advance(9_900));
    world.apply(&Op::Learn(0));
    world.apply(&Op::TakeOver(2));
    world.apply(&Op::Renew(2, false));
    world.apply(&Op::Advance(200));
    (0..5).for_each(|_| world.apply(&Op::Arrive(0)));
    world.apply(&Op::Renew(0, false));
}

#[test]
fn never_more_slots_are_lent_than_there_are() {
    let config = Config { cases: 2_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(config.rng_algorithm);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let ops = prop::collection::vec(op(), 1..120);
    let result = runner.run(&ops, |ops| {
        let mut world = World::new();
        ops.iter().for_each(|op| world.apply(op));
        Ok(())
    });
    result.unwrap_or_else(|err| panic!("{err}"));
}

/// An entry that holds `count` slots.
fn holding(count: u32) -> (Slots, Millis) {
    let now = Millis(1_000_000);
    let mut slots = Slots::default();
    slots.set_runners(vec![(RUNNER.into(), SHARD.into(), false)]);
    slots.lent(now, &[(RUNNER.into(), count)]);
    (slots, now)
}

#[test]
fn a_request_that_cannot_be_in_time_is_given_up_at_once() {
    let (mut slots, now) = holding(1);
    let go = slots.ask(now, waiting(1, now, 5_000));
    assert_eq!(go, SlotDecision::Go { id: 1, runner: RUNNER.into() });
    let later = now + Millis(1_000);
    slots.release(later, RUNNER, &"k".into(), Millis(1_000), true);
    assert!(matches!(slots.ask(later, waiting(2, later, 5_000)), SlotDecision::Go { .. }));
    assert_eq!(slots.ask(later, waiting(3, later, 5_000)), SlotDecision::Wait);
    let hopeless = slots.ask(later, waiting(4, later, 500));
    assert!(matches!(hopeless, SlotDecision::GiveUp { id: 4, full: false, .. }), "{hopeless:?}");
    let late = later + Millis(5_000);
    let turns = slots.turns(late);
    assert!(matches!(turns[..], [SlotDecision::GiveUp { id: 3, .. }]), "{turns:?}");
}

#[test]
fn the_queue_is_bounded_and_says_when_to_come_again() {
    let (mut slots, now) = holding(1);
    slots.ask(now, waiting(1, now, 60_000));
    for id in 2..7 {
        assert_eq!(slots.ask(now, waiting(id, now, 60_000)), SlotDecision::Wait);
    }
    let full = slots.ask(now, waiting(7, now, 60_000));
    assert!(matches!(full, SlotDecision::GiveUp { id: 7, full: true, .. }), "{full:?}");
}

#[test]
fn a_leaving_runner_gets_nothing_new() {
    let (mut slots, now) = holding(2);
    assert!(matches!(slots.ask(now, waiting(1, now, 5_000)), SlotDecision::Go { .. }));
    slots.leave(RUNNER);
    assert_eq!(slots.ask(now, waiting(2, now, 5_000)), SlotDecision::Wait);
    slots.release(now, RUNNER, &"k".into(), Millis(10), true);
    assert!(slots.turns(now).is_empty());
}

#[test]
fn urgent_requests_go_first_and_old_ones_in_their_turn() {
    let (mut slots, now) = holding(1);
    slots.ask(now, waiting(1, now, 60_000));
    let light = SlotRequest { weight: 0, ..waiting(2, now, 60_000) };
    slots.ask(now, light);
    let later = now + Millis(1_000);
    slots.ask(later, SlotRequest { weight: 100, ..waiting(3, later, 60_000) });
    slots.release(later, RUNNER, &"k".into(), Millis(10), true);
    assert!(matches!(slots.turns(later)[..], [SlotDecision::Go { id: 3, .. }]));
    let late = now + Millis(6_000);
    slots.ask(late, SlotRequest { weight: 100, ..waiting(4, late, 60_000) });
    slots.release(late, RUNNER, &"k".into(), Millis(10), true);
    assert!(matches!(slots.turns(late)[..], [SlotDecision::Go { id: 2, .. }]));
}

#[test]
fn retries_end_when_the_budget_is_spent() {
    let mut budget = RetryBudget::default();
    let granted = (0..1_000).filter(|_| {
        budget.deposit();
        budget.withdraw()
    });
    assert!((90..=120).contains(&granted.count()));
}
