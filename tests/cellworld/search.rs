//! The searches: worlds with one kind of trouble each, on top of the usual ones.

use super::*;

/// The first broken promise of a run, with the last lines of its trace.
pub fn search(seed: u64, without: Without) -> Option<String> {
    broken(World::new(seed, without), seed).0
}

/// As [`search`], with two queues and little room; and how many tasks were stopped for others.
pub fn search_crowded(seed: u64) -> (Option<String>, usize) {
    let mut world = World::new(seed, Without::Nothing);
    world.crowded = true;
    for worker in world.workers.values_mut() {
        worker.listed.room = room(1_200);
    }
    world.list();
    broken(world, seed)
}

/// As [`search`], with tasks that crash each worker that starts them, some of them with copies; and how
/// many workers crashed.
pub fn search_crashing(seed: u64) -> (Option<String>, usize) {
    let mut world = crashing(seed);
    world.run();
    let crashes = world.lives as usize;
    (told(&world, seed), crashes)
}

fn crashing(seed: u64) -> World {
    let mut world = World::new(seed, Without::Nothing);
    for no in 4..8 {
        world.add_worker(format!("w{no}").into(), no % 2);
    }
    world.list();
    let jobs: Vec<JobKey> = world.works.keys().copied().collect();
    for job in jobs.into_iter().filter(|job| job.0 % 4 == 0) {
        let mut work = (*world.works[&job]).clone();
        for step in work.steps.iter_mut().filter(|step| !step.gang) {
            step.copies = job.0 % 8 == 0;
        }
        world.works.insert(job, Arc::new(work));
        let step = StepKey { job, time: 0, step: 0 };
        world.bad.insert(TaskKey { step, index: 0 }, BTreeSet::new());
    }
    world
}

/// As [`search`], with rooms that shrink and grow, and owners that notice their pauses; and how many rooms
/// changed.
pub fn search_resizing(seed: u64) -> (Option<String>, usize) {
    let mut world = World::new(seed, Without::Nothing);
    world.resizing = true;
    world.at(CALM + TICK, Event::Regrow);
    world.run();
    (told(&world, seed), world.resized)
}

/// As [`search_crashing`], with workers that mostly start again under their ids, also by themselves, as
/// other kinds and with less room; and how many kept their ids.
pub fn search_keeping(seed: u64) -> (Option<String>, usize) {
    let mut world = crashing(seed);
    world.keeping = true;
    let names: Vec<Name> = world.workers.keys().cloned().collect();
    for worker in world.workers.values_mut() {
        worker.listed.born = Some(Millis(7));
    }
    world.list();
    for worker in names {
        for _ in 0..world.pick(3) {
            let (at, worker) = (world.pick(CALM), worker.clone());
            world.at(at, Event::Fall { worker });
        }
    }
    world.run();
    (told(&world, seed), world.kept_ids)
}

/// As [`search_keeping`], and power is lost everywhere once or twice, at any moment; and how often it was.
pub fn search_power(seed: u64) -> (Option<String>, usize) {
    let mut world = World::new(seed, Without::Nothing);
    world.keeping = true;
    for worker in world.workers.values_mut() {
        worker.listed.born = Some(Millis(7));
    }
    world.list();
    for _ in 0..1 + world.pick(2) {
        let at = world.pick(CALM);
        world.at(at, Event::Power);
    }
    world.run();
    (told(&world, seed), world.outages)
}

/// As [`search_keeping`], and whole failure domains are suspended, with or without the owner and several times within a
/// lease; and how often one was.
pub fn search_suspending(seed: u64) -> (Option<String>, usize) {
    let mut world = World::new(seed, Without::Nothing);
    world.keeping = true;
    for worker in world.workers.values_mut() {
        worker.listed.born = Some(Millis(7));
    }
    world.list();
    for _ in 0..1 + world.pick(3) {
        let (from, domain) = (world.pick(CALM), world.pick(2));
        for _ in 0..1 + world.pick(3) {
            let at = from + world.pick(LEASE);
            let with_owner = world.pick(2) == 0;
            world.at(at, Event::Suspend { domain, with_owner });
        }
    }
    world.run();
    (told(&world, seed), world.suspensions)
}

/// As [`search`], with workspaces whose bounds change, and batches that the store refuses; and how many jobs were given
/// back, if any workspace came near to a bound.
pub fn search_bounded(seed: u64, without: Without) -> (Option<String>, usize) {
    let mut world = World::new(seed, without);
    world.bound();
    world.run();
    let count = if world.peak > 3_000 { world.given_back } else { 0 };
    (told(&world, seed), count)
}

/// As [`search`], with jobs that last, workers that fail all they start, lost answers of the advice service, and owners
/// whose processes have just started; and how many lasting tasks lost a run. With `judges_vanished` also tasks whose own
/// worker vanished have to run again in time.
pub fn search_lasting(seed: u64, judges_vanished: bool) -> (Option<String>, usize) {
    let mut world = World::new(seed, Without::Nothing);
    world.make_lasting(seed % 2 == 0);
    world.lasting.judges_vanished = judges_vanished;
    world.outage.restarts = true;
    world.run();
    (told(&world, seed), world.lasting.lost_runs)
}

/// As [`search`], with a store that is away once or twice, at any moment; and how often it was.
pub fn search_outages(seed: u64, without: Without) -> (Option<String>, usize) {
    let mut world = World::new(seed, without);
    world.outage.restarts = true;
    for _ in 0..1 + world.pick(2) {
        let (at, length) = (world.pick(CALM), 1_000 + world.pick(4_000));
        world.at(at, Event::Outage { length });
    }
    world.run();
    (told(&world, seed), world.outage.count)
}

/// Lines of the trace that are shown; `SPRUCE_TRACE` sets another number.
fn trace_lines() -> usize {
    let text = std::env::var("SPRUCE_TRACE").unwrap_or_else(|_| "60".to_string());
    text.parse().unwrap_or_else(|err| panic!("SPRUCE_TRACE={text:?}: {err}"))
}

fn told(world: &World, seed: u64) -> Option<String> {
    let from = world.trace.len().saturating_sub(trace_lines());
    let first = world.broken.first();
    first.map(|first| format!("seed {seed}: {first}\n{}", world.trace[from..].join("\n")))
}

fn broken(mut world: World, seed: u64) -> (Option<String>, usize) {
    world.run();
    (told(&world, seed), world.preempted)
}
