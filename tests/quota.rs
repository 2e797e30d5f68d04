//! Limits of the whole cell, divided over shards: never more in use than the limit, whatever the
//! network does and wherever the home is; and what is free gets to those who wait.

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sprucerudder::controller::quota::{HomeRequest, Limit, LimitPool, LimitShares, Need};
use sprucerudder::id::Name;
use std::collections::BTreeSet;

const SHARDS: usize = 4;
const WHOLE: u64 = 40;

#[derive(Debug, Clone, Copy)]
enum Step {
    /// More work waits at a shard.
    Wait(usize, u64),
    /// A shard starts all that it may.
    Start(usize),
    /// Some of a shard's tasks end.
    End(usize, u64),
    /// A shard asks the home and gets the answer, which may be lost.
    Ask(usize, bool),
    /// An old question of a shard comes again, to the home it was for.
    Again(usize),
    /// The home's shard gets another owner, in a new epoch.
    Home,
    /// A shard learns of the home's epoch.
    Learn(usize),
    /// A shard gets another owner: it knows what runs, and nothing of its part.
    Owner(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let shard = || 0..SHARDS;
    let step = prop_oneof![
        3 => (shard(), 1_u64..30).prop_map(|(shard, tasks)| Step::Wait(shard, tasks)),
        5 => shard().prop_map(Step::Start),
        3 => (shard(), 1_u64..20).prop_map(|(shard, tasks)| Step::End(shard, tasks)),
        8 => (shard(), any::<bool>()).prop_map(|(shard, lost)| Step::Ask(shard, lost)),
        2 => shard().prop_map(Step::Again),
        1 => Just(Step::Home),
        1 => shard().prop_map(Step::Owner),
        3 => shard().prop_map(Step::Learn),
    ];
    vec(step, 1..120)
}

fn limit() -> Limit {
    Limit::Row("campaign".into())
}

struct Shard {
    name: Name,
    epoch: u64,
    parts: LimitShares,
    used: u64,
    waiting: u64,
    /// The home's epoch, as known here.
    home: u64,
    /// The questions, as they may come again.
    asked: Vec<HomeRequest>,
}

struct Cell {
    /// The home's owners by epoch: a former one may not know that it is none.
    pools: Vec<LimitPool>,
    shards: Vec<Shard>,
    seq: u64,
}

impl Cell {
    fn new() -> Self {
        let shard = |index| Shard {
            name: format!("rack{index}").into(),
            epoch: 1,
            parts: LimitShares::new(SHARDS),
            used: 0,
            waiting: 0,
            home: 0,
            asked: Vec::new(),
        };
        let shards = (0..SHARDS).map(shard).collect();
        Self { pools: vec![LimitPool::new(0)], shards, seq: 0 }
    }

    fn names(&self) -> BTreeSet<Name> {
        self.shards.iter().map(|shard| shard.name.clone()).collect()
    }

    fn lend(&mut self, question: &HomeRequest) -> Option<Vec<(Limit, u64)>> {
        let names = self.names();
        self.pools[question.home as usize].grant(question, SHARDS, &names, |_| WHOLE)
    }

    fn ask(&mut self, index: usize, lost: bool) {
        self.seq += 1;
        let seq = self.seq;
        let Shard { name, epoch, parts, used, waiting, home, asked } = &mut self.shards[index];
        let need = Need { limit: limit(), whole: WHOLE, used: *used, waiting: *waiting, step: 1 };
        let asks = parts.share_requests(&[need]);
        let (shard, epoch, home) = (name.clone(), *epoch, *home);
        let question = HomeRequest { shard, epoch, seq, home, shards: SHARDS, asks };
        asked.push(question.clone());
        let lent = self.lend(&question);
        let shard = &mut self.shards[index];
        if let Some(lent) = lent.filter(|_| !lost) {
            shard.parts.apply_grants(&lent, |_| shard.used);
        }
    }

    fn again(&mut self, index: usize) {
        let asked = &self.shards[index].asked;
        let question = asked.get(self.seq as usize % asked.len().max(1)).cloned();
        if let Some(question) = question {
            self.lend(&question);
        }
    }

    fn start(&mut self, index: usize) {
        let shard = &mut self.shards[index];
        let room = shard.parts.allowed(&limit(), WHOLE).saturating_sub(shard.used);
        let tasks = room.min(shard.waiting);
        shard.used += tasks;
        shard.waiting -= tasks;
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Wait(index, tasks) => self.shards[index].waiting += tasks,
            Step::Start(index) => self.start(index),
            Step::End(index, tasks) => {
                let shard = &mut self.shards[index];
                shard.used = shard.used.saturating_sub(tasks);
            }
            Step::Ask(index, lost) => self.ask(index, lost),
            Step::Again(index) => self.again(index),
            Step::Home => self.pools.push(LimitPool::new(self.pools.len() as u64)),
            Step::Learn(index) => self.shards[index].home = self.pools.len() as u64 - 1,
            Step::Owner(index) => {
                let shard = &mut self.shards[index];
                shard.epoch += 1;
                shard.parts = LimitShares::new(SHARDS);
            }
        }
    }

    fn used(&self) -> u64 {
        self.shards.iter().map(|shard| shard.used).sum()
    }

    /// All shards know the home, ask and start, a few times over.
    fn settle(&mut self) {
        for index in 0..SHARDS {
            self.step(Step::Learn(index));
        }
        for index in (0..4 * SHARDS).map(|at| at % SHARDS) {
            self.ask(index, false);
            self.start(index);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_000, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default()
    })]

    #[test]
    fn never_more_in_use_than_the_limit(steps in steps()) {
        let mut cell = Cell::new();
        for step in steps {
            cell.step(step);
            prop_assert!(cell.used() <= WHOLE, "{} in use after {step:?}", cell.used());
        }
        cell.settle();
        let waiting: u64 = cell.shards.iter().map(|shard| shard.waiting).sum();
        prop_assert!(cell.used() <= WHOLE);
        let idle = WHOLE - cell.used();
        let floor = WHOLE / 2 / SHARDS as u64;
        let kept: u64 = cell.shards.iter().map(|shard| floor.saturating_sub(shard.used)).sum();
        prop_assert!(waiting == 0 || idle <= kept, "{idle} idle, {kept} kept, {waiting} wait");
    }
}

#[test]
fn one_busy_shard_gets_all_that_the_others_do_not_need() {
    let mut cell = Cell::new();
    cell.step(Step::Wait(0, 100));
    cell.settle();
    let floors = WHOLE / 2 / SHARDS as u64 * (SHARDS as u64 - 1);
    assert_eq!(cell.used(), WHOLE - floors);
}

#[test]
fn busy_shards_share_alike_once_work_ends() {
    let mut cell = Cell::new();
    cell.step(Step::Wait(0, 1_000));
    cell.settle();
    cell.step(Step::Wait(1, 1_000));
    for _ in 0..20 {
        cell.step(Step::End(0, 5));
        cell.step(Step::End(1, 2));
        cell.settle();
    }
    let used: Vec<u64> = cell.shards.iter().map(|shard| shard.used).collect();
    assert_eq!(used[0], used[1], "{used:?}");
}

#[test]
fn a_shard_that_is_cut_off_keeps_its_part_and_its_floor() {
    let mut cell = Cell::new();
    cell.step(Step::Wait(0, 15));
    cell.settle();
    let held = cell.shards[0].used;
    assert_eq!(held, 15);
    cell.step(Step::Wait(1, 1_000));
    for _ in 0..5 {
        cell.ask(1, false);
        cell.start(1);
    }
    assert!(cell.used() <= WHOLE && cell.shards[0].used == held);
    let floor = WHOLE / 2 / SHARDS as u64;
    assert!(cell.shards[2].parts.allowed(&limit(), WHOLE) >= floor, "the floor without a home");
}

#[test]
fn a_home_lends_no_more_until_all_shards_agree_on_which_there_are() {
    let mut pool = LimitPool::new(7);
    let names: BTreeSet<Name> = ["a".into(), "b".into()].into();
    let question = |shard: &str, seq, home, shards| {
        let (shard, asks) = (shard.into(), LimitShares::new(2).share_requests(&[need(9)]));
        HomeRequest { shard, epoch: 1, seq, home, shards, asks }
    };
    let mut lend = |question| pool.grant(&question, 2, &names, |_| WHOLE).map(|lent| lent[0].1);
    assert_eq!(lend(question("a", 1, 6, 2)), None, "for an earlier home");
    assert_eq!(lend(question("a", 1, 7, 2)), Some(10), "b was not heard: the floor");
    assert_eq!(lend(question("b", 1, 7, 1)), Some(10), "b knows another set of shards");
    assert_eq!(lend(question("a", 2, 7, 2)), Some(10));
    assert_eq!(lend(question("b", 2, 7, 2)), Some(19));
    assert_eq!(lend(question("a", 3, 7, 2)), Some(19));
    assert_eq!(lend(question("a", 3, 7, 2)), None, "the same question again");
}

fn need(waiting: u64) -> Need {
    Need { limit: limit(), whole: WHOLE, used: 0, waiting, step: 1 }
}

#[test]
fn parts_come_in_steps_that_are_of_use() {
    let mut pool = LimitPool::new(1);
    let names: BTreeSet<Name> = ["a".into(), "b".into()].into();
    let mut parts = [LimitShares::new(2), LimitShares::new(2)];
    for seq in 1..4 {
        for (shard, parts) in ["a", "b"].into_iter().zip(&mut parts) {
            let need = Need { limit: limit(), whole: 50, used: 0, waiting: 80, step: 10 };
            let (shard, asks) = (shard.into(), parts.share_requests(&[need]));
            let question = HomeRequest { shard, epoch: 1, seq, home: 1, shards: 2, asks };
            let lent = pool.grant(&question, 2, &names, |_| 50).expect("lent");
            parts.apply_grants(&lent, |_| 0);
        }
    }
    let tasks = parts.map(|parts| parts.allowed(&limit(), 50) / 10);
    assert_eq!(tasks.iter().sum::<u64>(), 5, "{tasks:?}");
}
