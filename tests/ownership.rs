//! Ownership, task life and capacity under random faults, and the same checks seen to fail when a
//! mechanism is taken out.

mod world;

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, TestError, TestRng, TestRunner};
use sprucerudder::job::TaskOutcome;
use sprucerudder::size::Size;
use std::panic::{AssertUnwindSafe, catch_unwind};
use world::{Flaw, InFlight, Message, SHARD, World};

const ENTRIES: usize = 3;
const WORKERS: usize = 2;

/// One thing that happens.
#[derive(Debug, Clone)]
enum Op {
    Advance(u64),
    Round,
    RoughRound(u64),
    Flush(usize),
    Read(usize),
    Deliver(usize),
    Double(usize),
    Lose(usize),
    Delay(usize, bool),
    Release(usize),
    Sync(usize, usize),
    Pause(usize),
    Resume(usize),
    Restart(usize),
    ReplaceWorker(usize),
    LogDown(bool),
    HandOver(usize, usize),
    CutOff(usize, bool),
    Cut(usize, usize),
    Mend,
    Submit { entry: usize, once: bool, tasks: u32, gang: bool, cpu: u32 },
    Cancel(usize, usize),
    End(usize, usize, TaskOutcome),
}

fn op() -> impl Strategy<Value = Op> {
    let entry = 0..ENTRIES;
    let outcome = prop_oneof![
        4 => Just(TaskOutcome::Done),
        1 => Just(TaskOutcome::Failed),
        1 => Just(TaskOutcome::Stopped)
    ];
    prop_oneof![
        8 => (10..3_000_u64).prop_map(Op::Advance),
        10 => Just(Op::Round),
        16 => any::<u64>().prop_map(Op::RoughRound),
        12 => entry.clone().prop_map(Op::Flush),
        12 => entry.clone().prop_map(Op::Read),
        30 => (0..40_usize).prop_map(Op::Deliver),
        4 => (0..40_usize).prop_map(Op::Double),
        4 => (0..40_usize).prop_map(Op::Lose),
        12 => (0..40_usize, any::<bool>()).prop_map(|(at, copy)| Op::Delay(at, copy)),
        6 => (0..8_usize).prop_map(Op::Release),
        8 => (entry.clone(), 0..WORKERS).prop_map(|(e, w)| Op::Sync(e, w)),
        4 => entry.clone().prop_map(Op::Pause),
        4 => entry.clone().prop_map(Op::Resume),
        1 => entry.clone().prop_map(Op::Restart),
        1 => (0..WORKERS).prop_map(Op::ReplaceWorker),
        2 => any::<bool>().prop_map(Op::LogDown),
        3 => (entry.clone(), 0..2_usize).prop_map(|(e, to)| Op::HandOver(e, to)),
        4 => (entry.clone(), any::<bool>()).prop_map(|(e, cut)| Op::CutOff(e, cut)),
        4 => (entry.clone(), entry.clone()).prop_map(|(a, b)| Op::Cut(a, b)),
        2 => Just(Op::Mend),
        8 => (entry.clone(), any::<bool>(), 1..4_u32, any::<bool>(), 1..4_u32).prop_map(
            |(entry, once, tasks, gang, cpu)| Op::Submit { entry, once, tasks, gang, cpu }
        ),
        2 => (entry, 0..10_usize).prop_map(|(e, j)| Op::Cancel(e, j)),
        6 => (0..WORKERS, 0..3_usize, outcome).prop_map(|(w, t, o)| Op::End(w, t, o)),
    ]
}

fn apply(world: &mut World, op: &Op) {
    match *op {
        Op::Advance(millis) => world.advance(millis),
        Op::Round => world.round(false),
        Op::RoughRound(seed) => world.rough_round(seed),
        Op::Flush(entry) => world.flush(entry),
        Op::Read(entry) => world.read_log(entry),
        Op::Deliver(at) => world.deliver(at),
        Op::Double(at) => world.double(at),
        Op::Lose(at) => world.lose(at),
        Op::Delay(at, copy) => world.delay(at, copy),
        Op::Release(at) => world.release(at),
        Op::Sync(entry, worker) => world.sync(entry, worker),
        Op::Pause(entry) => world.entries[entry].paused = true,
        Op::Resume(entry) => world.entries[entry].paused = false,
        Op::Restart(entry) => world.restart_entry(entry),
        Op::ReplaceWorker(worker) => world.replace_worker(worker),
        Op::LogDown(down) => world.log_down = down,
        Op::HandOver(entry, to) => world.hand_over(entry, to),
        Op::CutOff(entry, cut) => world.entries[entry].cut_off = cut,
        Op::Cut(from, to) => drop(world.cuts.insert((from, to))),
        Op::Mend => world.cuts.clear(),
        Op::Submit { entry, once, tasks, gang, cpu } => {
            let kind = if once { "once" } else { "build" };
            world.submit(entry, kind, tasks, gang, Size::new(cpu, 1, 0));
        }
        Op::Cancel(entry, job) => world.cancel(entry, job),
        Op::End(worker, task, outcome) => world.end_task(worker, task, outcome),
    }
    world.check();
}

fn play(ops: &[Op], flaw: Flaw) -> World {
    let mut world = World::new(ENTRIES, WORKERS, flaw);
    for _ in 0..20 {
        world.round(false);
    }
    assert_eq!(world.owners().len(), 1);
    for op in ops {
        apply(&mut world, op);
    }
    world
}

/// The number of cases and the seed can be set for a long search; a run of the tests is the same
/// each time.
fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn runner(cases: u32) -> TestRunner {
    let seed = number("SPRUCE_SEED", 1).to_le_bytes().repeat(4);
    let config =
        Config { cases, max_shrink_iters: 4_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(config.rng_algorithm, &seed);
    TestRunner::new_with_rng(config, rng)
}

#[test]
fn nothing_breaks_under_random_faults() {
    let mut runner = runner(number("SPRUCE_CASES", 400) as u32);
    let ops = prop::collection::vec(op(), 1..250);
    let result = runner.run(&ops, |ops| {
        play(&ops, Flaw::None).heal();
        Ok(())
    });
    match result {
        Ok(()) => {}
        Err(TestError::Fail(why, ops)) => panic!("{why}\n{ops:?}"),
        Err(err) => panic!("{err}"),
    }
}

/// Failures that the random search found, each as short as it could be made.
#[test]
fn failures_found_before_do_not_come_back() {
    let submit = |entry, once, tasks, cpu| Op::Submit { entry, once, tasks, gang: false, cpu };
    let replica_died_after_it_was_sealed = vec![
        Op::ReplaceWorker(0),
        Op::Advance(10),
        Op::Pause(1),
        Op::ReplaceWorker(0),
        Op::Advance(2490),
        Op::Round,
        Op::Round,
        submit(0, false, 1, 2),
        Op::Pause(0),
        Op::Advance(416),
        Op::Advance(500),
        Op::Advance(500),
        Op::Advance(1084),
        Op::Round,
        Op::Advance(10),
        Op::Resume(0),
        Op::Restart(1),
        Op::Restart(2),
        submit(0, false, 1, 1),
        Op::Pause(0),
        Op::Round,
        Op::Round,
        Op::LogDown(false),
        Op::Round,
        submit(1, false, 1, 3),
        Op::Round,
    ];
    let doubled_start_after_the_end = vec![
        submit(2, false, 2, 2),
        Op::Round,
        Op::Advance(10),
        Op::Round,
        Op::End(0, 0, TaskOutcome::Done),
        submit(2, true, 2, 1),
        Op::Round,
        Op::RoughRound(9_595_081_733_285_599_201),
        Op::End(1, 0, TaskOutcome::Done),
        Op::Round,
        Op::Round,
        Op::Round,
    ];
    let claimant_forgot_its_own_answer = vec![
        Op::Advance(1852),
        Op::Advance(1148),
        Op::Pause(0),
        Op::Round,
        Op::Advance(10),
        Op::Advance(10),
        Op::ReplaceWorker(0),
        Op::Restart(1),
        Op::Round,
        Op::Restart(0),
        Op::Advance(10),
    ];
    let owner_that_never_took_office =
        vec![Op::Pause(2), Op::Restart(1), Op::Round, Op::Round, Op::Advance(1500), Op::Restart(0)];
    let deposed_owner_stopped_what_it_did_not_know = vec![
        Op::Advance(10),
        Op::Advance(10),
        Op::Advance(10),
        Op::Pause(2),
        Op::Round,
        Op::Flush(0),
        Op::RoughRound(1_929_386_012_079_097_499),
        Op::RoughRound(162_055_752_577_555_568),
        Op::Advance(142),
        Op::Advance(1828),
        Op::Advance(10),
        Op::Round,
        Op::Round,
        Op::RoughRound(7_731_880_137_033_265_890),
        Op::Advance(10),
        Op::Advance(10),
        Op::Round,
        Op::LogDown(true),
        Op::Advance(10),
        Op::Advance(10),
        Op::Advance(10),
        Op::Advance(10),
        submit(0, true, 1, 1),
        Op::Round,
        submit(0, false, 1, 1),
        Op::Lose(0),
        Op::Round,
        Op::LogDown(true),
        Op::Restart(0),
        Op::Advance(10),
        Op::Resume(2),
        Op::Advance(10),
        Op::Round,
        Op::Advance(10),
        Op::Round,
    ];
    let successor_of_an_unfinished_rebuild = vec![
        Op::Advance(10),
        submit(2, true, 1, 1),
        Op::Advance(10),
        Op::Advance(10),
        Op::Round,
        Op::Advance(10),
        Op::Round,
        Op::Advance(10),
        Op::Round,
        Op::Advance(10),
        Op::Restart(2),
        Op::Restart(0),
        Op::Restart(1),
        Op::ReplaceWorker(0),
        Op::Round,
        Op::Round,
        Op::Pause(0),
        Op::Advance(2352),
        Op::Advance(500),
        Op::Advance(262),
        Op::Advance(500),
        Op::Advance(500),
        Op::Round,
        Op::Advance(1378),
        Op::Advance(500),
        Op::Advance(500),
        Op::Advance(2508),
    ];
    let start_in_flight_when_its_sender_died = vec![
        submit(2, false, 1, 2),
        Op::Round,
        submit(2, false, 2, 3),
        Op::Round,
        Op::RoughRound(1_056_971_282_929_222_461),
        Op::Restart(2),
        Op::End(1, 0, TaskOutcome::Done),
        Op::Round,
        Op::Round,
        Op::Round,
        Op::Round,
        Op::Round,
        Op::Round,
        Op::Round,
    ];
    let start_sent_long_after_it_was_decided = vec![
        Op::Advance(10),
        submit(2, false, 1, 3),
        Op::Pause(1),
        Op::Advance(1990),
        Op::Round,
        Op::Round,
        Op::Round,
        Op::Pause(2),
        Op::Advance(500),
        Op::RoughRound(654_750_016_854_591_735),
        Op::RoughRound(318_105_204_387_535_662),
        Op::Round,
        Op::Advance(500),
        Op::RoughRound(7_397_005_864_220_824_400),
        Op::RoughRound(3_246_121_236_245_124_748),
        submit(0, true, 2, 1),
        Op::Advance(10),
        Op::Round,
        Op::Advance(2424),
        Op::Advance(1116),
        Op::RoughRound(8_341_133_467_295_257_235),
        Op::Advance(1503),
        Op::End(1, 0, TaskOutcome::Done),
        Op::Round,
        Op::Advance(1378),
        Op::Advance(2079),
        Op::Read(0),
        Op::Round,
        Op::Round,
        Op::Round,
    ];
    let own_earlier_office_was_not_fenced = vec![
        Op::Advance(2000),
        Op::ReplaceWorker(0),
        Op::Round,
        Op::Round,
        Op::Round,
        submit(2, true, 1, 1),
        Op::Round,
        Op::RoughRound(5_759_515_365_933_435_416),
        Op::Advance(770),
        Op::Advance(1730),
        Op::Read(2),
        Op::End(0, 0, TaskOutcome::Done),
        Op::Round,
        Op::Round,
        Op::Round,
        Op::Round,
        Op::Round,
        Op::Advance(10),
        Op::Advance(10),
    ];
    let adopted_task_was_started_without_a_commit = vec![
        submit(2, false, 2, 1),
        Op::Pause(0),
        Op::Advance(10),
        Op::Round,
        Op::RoughRound(1_359_691_385_894_225_285),
        submit(2, false, 2, 3),
        Op::Read(1),
        Op::Advance(2500),
        Op::Cancel(2, 0),
        Op::RoughRound(0),
        Op::Pause(1),
        Op::Restart(0),
        Op::Advance(10),
        Op::Round,
        Op::Advance(1490),
        Op::RoughRound(1_063_677_550_313_514_288),
        Op::Round,
        Op::ReplaceWorker(1),
        Op::Advance(10),
        Op::Round,
        Op::Resume(1),
        Op::RoughRound(2_870_654_903_465_850_036),
    ];
    let rebuild_beside_a_paused_owner = vec![
        submit(2, false, 3, 2),
        Op::Round,
        Op::Pause(2),
        Op::Round,
        Op::Advance(10),
        Op::Advance(490),
        Op::Advance(500),
        Op::Advance(500),
        Op::Advance(500),
        Op::Round,
        Op::Restart(1),
        Op::Advance(10),
        Op::Advance(10),
        Op::Advance(10),
        Op::Restart(0),
        Op::Round,
        Op::Round,
        Op::Advance(1555),
        Op::ReplaceWorker(0),
        Op::LogDown(true),
        Op::Advance(500),
        Op::Round,
        Op::Advance(522),
        Op::RoughRound(5_549_154_003_563_721_157),
        Op::Round,
        Op::Advance(1893),
        Op::RoughRound(2_520_941_903_696_013_880),
        Op::Advance(978),
        Op::Advance(2552),
        Op::Round,
        Op::Round,
    ];
    let mut duel_of_entries_that_cannot_hear_each_other = vec![
        Op::Pause(1),
        Op::Restart(2),
        Op::Advance(500),
        Op::Cut(0, 2),
        Op::Advance(2000),
        Op::Round,
        Op::Round,
        Op::Advance(2500),
        Op::Cut(2, 0),
    ];
    duel_of_entries_that_cannot_hear_each_other.extend((0..300).map(|_| Op::Round));
    let paused_owner_was_forgotten_with_its_claim = vec![
        submit(2, true, 2, 1),
        Op::Restart(0),
        Op::RoughRound(9_777_094_183_816_523_246),
        Op::Pause(2),
        Op::Round,
        Op::Advance(500),
        Op::Advance(500),
        Op::RoughRound(0),
        Op::Round,
        Op::Round,
        Op::Advance(2500),
        Op::RoughRound(7_442_077_324_371_781_592),
        Op::RoughRound(11_069_692_275_171_849_419),
        Op::Advance(1496),
        Op::Advance(2514),
        Op::Advance(2490),
        Op::RoughRound(177_299_075_142_756_831),
        Op::Advance(500),
        Op::End(0, 0, TaskOutcome::Done),
        Op::RoughRound(60_805_130_449_435_116),
        Op::Advance(10),
        Op::Round,
        Op::RoughRound(2_106_940_400_786_212_451),
        Op::RoughRound(3_041_453_194_109_896_483),
        Op::Round,
        Op::Advance(10),
        Op::Advance(10),
        Op::Round,
    ];
    let old_ack_of_a_dead_replica_committed = vec![
        submit(2, false, 1, 2),
        Op::RoughRound(3_425_169_452_333_701_574),
        Op::Pause(2),
        Op::Advance(500),
        Op::Restart(1),
        Op::Advance(500),
        Op::Round,
        Op::Round,
        Op::Round,
        Op::Round,
        Op::Round,
        Op::Round,
        Op::Restart(0),
        Op::Round,
        Op::Round,
        Op::Round,
        submit(1, false, 1, 3),
        Op::Advance(10),
        Op::Round,
    ];
    for ops in [
        old_ack_of_a_dead_replica_committed,
        paused_owner_was_forgotten_with_its_claim,
        duel_of_entries_that_cannot_hear_each_other,
        rebuild_beside_a_paused_owner,
        adopted_task_was_started_without_a_commit,
        own_earlier_office_was_not_fenced,
        start_sent_long_after_it_was_decided,
        start_in_flight_when_its_sender_died,
        successor_of_an_unfinished_rebuild,
        deposed_owner_stopped_what_it_did_not_know,
        replica_died_after_it_was_sealed,
        doubled_start_after_the_end,
        claimant_forgot_its_own_answer,
        owner_that_never_took_office,
    ] {
        play(&ops, Flaw::None).heal();
    }
}

/// Whether some run of a fixed series breaks a promise.
fn breaks(flaw: Flaw) -> bool {
    let mut runner = runner(1);
    let ops = prop::collection::vec(op(), 150..250);
    std::panic::set_hook(Box::new(|_| {}));
    let broke = (0..2_000).any(|_| {
        let ops = ops.new_tree(&mut runner).expect("ops").current();
        catch_unwind(AssertUnwindSafe(|| play(&ops, flaw))).is_err()
    });
    let _ = std::panic::take_hook();
    broke
}

#[test]
fn starts_that_do_not_wait_for_replicas_break_a_promise() {
    assert!(breaks(Flaw::NoWait));
}

#[test]
fn a_claimant_that_seals_nobody_breaks_a_promise() {
    assert!(breaks(Flaw::NoSeal));
}

#[test]
fn a_claimant_without_state_breaks_a_promise() {
    assert!(breaks(Flaw::NoState));
}

#[test]
fn workers_that_forget_at_once_break_a_promise() {
    assert!(breaks(Flaw::NoTombs));
}

fn rounds(world: &mut World, count: usize) {
    (0..count).for_each(|_| world.round(false));
}

/// The first owner hands over while the log is down; its successor starts a task that must not be
/// repeated, and is paused; the other replica is gone. A claimant that takes the first owner's word
/// starts the task again.
fn first_owner_is_asked(flaw: Flaw) {
    let mut world = play(&[], flaw);
    world.submit(2, "build", 2, false, Size::new(4, 1, 0));
    rounds(&mut world, 2);
    world.submit(2, "once", 1, false, Size::new(3, 1, 0));
    rounds(&mut world, 1);
    world.log_down = true;
    world.hand_over(2, 0);
    rounds(&mut world, 2);
    assert_eq!(world.owners(), [0], "{:#?}", world.history);
    world.end_task(0, 0, TaskOutcome::Done);
    rounds(&mut world, 3);
    world.entries[0].paused = true;
    world.restart_entry(1);
    world.end_task(1, 0, TaskOutcome::Done);
    world.cuts.insert((2, 1));
    world.log_down = false;
    rounds(&mut world, 12);
    world.cuts.clear();
    rounds(&mut world, 12);
    world.heal();
}

/// A start of the first owner arrives, and a copy of it is late. Its successor sees the task run and
/// end and, if it takes an old heartbeat for the first owner's word that nothing is on its way,
/// lets the worker forget it. The late copy then runs the task again.
fn first_owners_start_is_late(flaw: Flaw) {
    let mut world = play(&[], flaw);
    world.submit(2, "once", 1, false, Size::new(3, 1, 0));
    let is_start = |message: &Message| matches!(message, Message::Start { .. });
    while !world.net.iter().any(|flight| is_start(&flight.message)) {
        world.advance(10);
        world.flush(2);
        match world.net.iter().position(|flight| !is_start(&flight.message)) {
            Some(at) => world.deliver(at),
            None => (0..2).for_each(|entry| world.flush(entry)),
        }
    }
    let at = world.net.iter().position(|flight| is_start(&flight.message)).expect("start");
    world.delay(at, true);
    world.log_down = true;
    world.hand_over(2, 0);
    rounds(&mut world, 2);
    let [from, to] = [2, 0].map(|entry: usize| world.entries[entry].id.clone());
    let epoch = world.entries[0].fold.claims.epoch(SHARD);
    let message = Message::Beat { from, to, epoch, owner: false, flying: false };
    world.net.push(InFlight { sent: world.now, message });
    rounds(&mut world, 4);
    world.end_task(0, 0, TaskOutcome::Done);
    rounds(&mut world, 4);
    world.release(0);
    world.check();
    world.heal();
}

fn panics(run: impl FnOnce()) -> bool {
    catch_unwind(AssertUnwindSafe(run)).is_err()
}

#[test]
fn an_owner_that_handed_over_does_not_answer_for_the_shard() {
    first_owner_is_asked(Flaw::None);
    assert!(panics(|| first_owner_is_asked(Flaw::NotSilent)));
}

#[test]
fn a_predecessor_is_fenced_by_a_later_epoch_only() {
    first_owners_start_is_late(Flaw::None);
    assert!(panics(|| first_owners_start_is_late(Flaw::EarlyFence)));
}
