//! Passes that skip steps place the same tasks as passes that evaluate every step.

#[allow(dead_code)]
mod passworld;

use passworld::{World, job_key};
use proptest::prelude::*;
use sprucerudder::cell::Action;
use std::collections::BTreeSet;

const WORKERS: u64 = 12;
const ENTRIES: u64 = 5;

/// Something that happens between two passes.
#[derive(Debug, Clone)]
enum Event {
    Submit { queue: usize, tasks: u32, workspace: u64 },
    Cancel { number: u64 },
    Pass { count: u64 },
    Limit { tasks: u64 },
    Drain { is_drained: bool },
    Silence { worker: u64, is_silent: bool },
    Unlist { worker: Option<u64> },
    FailRun { worker: u64 },
    LoseAnswers,
    Overload { is_overloaded: bool },
}

fn event(queues: &'static [usize]) -> impl Strategy<Value = Event> {
    let submit = (proptest::sample::select(queues), 1..8_u32, 0..3_u64);
    prop_oneof![
        12 => submit.prop_map(|(queue, tasks, workspace)| Event::Submit { queue, tasks, workspace }),
        1 => (0..60_u64).prop_map(|number| Event::Cancel { number }),
        12 => (1..20_u64).prop_map(|count| Event::Pass { count }),
        1 => (2..40_u64).prop_map(|tasks| Event::Limit { tasks }),
        1 => any::<bool>().prop_map(|is_drained| Event::Drain { is_drained }),
        1 => (0..WORKERS, any::<bool>())
            .prop_map(|(worker, is_silent)| Event::Silence { worker, is_silent }),
        1 => proptest::option::of(0..WORKERS).prop_map(|worker| Event::Unlist { worker }),
        1 => (0..WORKERS).prop_map(|worker| Event::FailRun { worker }),
        1 => Just(Event::LoseAnswers),
        1 => any::<bool>().prop_map(|is_overloaded| Event::Overload { is_overloaded }),
    ]
}

/// Applies an event, and returns the actions of each pass.
fn apply(world: &mut World, number: u64, event: &Event) -> Vec<Vec<Action>> {
    match event {
        Event::Submit { queue, tasks, workspace } => {
            world.submit(job_key(*queue, number), *queue, *tasks, *workspace);
        }
        Event::Cancel { number } => {
            for queue in 0..3 {
                let key = sprucerudder::workload::JobKey(job_key(queue, *number));
                world.cell.cancel(sprucerudder::clock::Millis(world.now), key);
            }
        }
        Event::Pass { count } => return (0..*count).map(|_| world.step()).collect(),
        Event::Limit { tasks } => world.limit(*tasks),
        Event::Drain { is_drained } => world.drain(if *is_drained { &["d0"] } else { &[] }),
        Event::Silence { worker, is_silent } => world.silence(*worker, *is_silent),
        Event::Unlist { worker } => world.list(&worker.iter().copied().collect::<BTreeSet<u64>>()),
        Event::FailRun { worker } => world.fail_run(*worker),
        Event::LoseAnswers => world.lose_answers(),
        Event::Overload { is_overloaded } => world.cell.set_overloaded(*is_overloaded),
    }
    Vec::new()
}

/// Compares the actions of each pass, in order, between a cell that skips steps and one that does not.
fn compare(events: &[Event], without: &str) -> Result<(), TestCaseError> {
    let all = if without.is_empty() { "selective".into() } else { format!("{without},selective") };
    let mut skipping = World::new(WORKERS, ENTRIES, without);
    let mut full = World::new(WORKERS, ENTRIES, &all);
    for (number, event) in (0..).zip(events) {
        let found = apply(&mut skipping, number, event);
        let expected = apply(&mut full, number, event);
        prop_assert_eq!(found, expected, "event {} at {} ms", number, full.now);
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// A wake-up that is missed would delay a task that has room. Gangs and steps that can stop others also depend on
    /// losses of room, which are noticed later, so they are left out here.
    #[test]
    fn without_gangs_and_preemption_each_pass_places_the_same_tasks(
        events in proptest::collection::vec(event(&[2]), 10..120)
    ) {
        compare(&events, "preempt")?;
    }

    /// As above, with all queues and mechanisms.
    #[test]
    fn each_pass_places_the_same_tasks(
        events in proptest::collection::vec(event(&[0, 1, 2]), 10..120)
    ) {
        compare(&events, "")?;
    }
}

/// A step that is skipped for good would wait forever: with the mechanism, all jobs of an overload end.
#[test]
fn all_jobs_of_an_overload_end() {
    // With this many workers, enough are cleared for each gang.
    let mut world = World::new(5 * WORKERS, ENTRIES, "");
    for number in 0..300 {
        let queue = number as usize % 3;
        world.submit(job_key(queue, number), queue, 3 + number as u32 % 5, 0);
    }
    while world.cell.stats().open_jobs > 0 && world.now < 300_000 {
        world.step();
    }
    assert_eq!(world.cell.stats().open_jobs, 0, "jobs still open after {} ms", world.now);
}
