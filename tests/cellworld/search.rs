//! The searches: worlds with one kind of trouble each, on top of the usual ones.

use super::*;

/// The first broken promise of a run, with the last lines of its trace.
pub fn search(seed: u64, disabled: Disabled) -> Option<String> {
    run_to_violation(World::new(seed, disabled), seed).0
}

/// As [`search`], with two queues and little room; and how many tasks were stopped for others.
pub fn search_preemption(seed: u64) -> (Option<String>, usize) {
    let mut world = World::new(seed, Disabled::Nothing);
    world.is_crowded = true;
    for worker in world.workers.values_mut() {
        worker.listed.room = room(1_200);
    }
    world.publish_list();
    run_to_violation(world, seed)
}

/// As [`search`], with tasks that crash each worker that starts them, some of them with copies; and how
/// many workers crashed.
pub fn search_crashing_tasks(seed: u64) -> (Option<String>, usize) {
    let mut world = crashing_world(seed);
    world.run();
    let crashes = world.restart_count as usize;
    (first_violation(&world, seed), crashes)
}

fn crashing_world(seed: u64) -> World {
    let mut world = World::new(seed, Disabled::Nothing);
    for index in 4..8 {
        world.add_worker(format!("w{index}").into(), index % 2);
    }
    world.publish_list();
    let jobs: Vec<JobKey> = world.works.keys().copied().collect();
    for job in jobs.into_iter().filter(|job| job.0 % 4 == 0) {
        let mut work = (*world.works[&job]).clone();
        for step in work.steps.iter_mut().filter(|step| !step.gang) {
            step.copies = job.0 % 8 == 0;
        }
        world.works.insert(job, Arc::new(work));
        let step = StepKey { job, time: 0, step: 0 };
        world.crash_tasks.insert(TaskKey { step, index: 0 }, BTreeSet::new());
    }
    world
}

/// As [`search`], with rooms that shrink and grow, and owners that notice their pauses; and how many rooms
/// changed.
pub fn search_room_changes(seed: u64) -> (Option<String>, usize) {
    let mut world = World::new(seed, Disabled::Nothing);
    world.resizes_rooms = true;
    world.schedule_at(FAULTS_END_MS + TICK_MS, Event::RestoreRooms);
    world.run();
    (first_violation(&world, seed), world.resize_count)
}

/// As [`search_crashing`], with workers that mostly start again under their ids, also by themselves, as
/// other kinds and with less room; and how many kept their ids.
pub fn search_restarts(seed: u64) -> (Option<String>, usize) {
    let mut world = crashing_world(seed);
    world.keeps_ids = true;
    let names: Vec<Name> = world.workers.keys().cloned().collect();
    for worker in world.workers.values_mut() {
        worker.listed.born = Some(Millis(7));
    }
    world.publish_list();
    for worker in names {
        for _ in 0..world.pick(3) {
            let (at, worker) = (world.pick(FAULTS_END_MS), worker.clone());
            world.schedule_at(at, Event::CrashWorker { worker });
        }
    }
    world.run();
    (first_violation(&world, seed), world.id_reuses)
}

/// As [`search_keeping`], and power is lost everywhere once or twice, at any moment; and how often it was.
pub fn search_power_loss(seed: u64) -> (Option<String>, usize) {
    let mut world = World::new(seed, Disabled::Nothing);
    world.keeps_ids = true;
    for worker in world.workers.values_mut() {
        worker.listed.born = Some(Millis(7));
    }
    world.publish_list();
    for _ in 0..1 + world.pick(2) {
        let at = world.pick(FAULTS_END_MS);
        world.schedule_at(at, Event::PowerLoss);
    }
    world.run();
    (first_violation(&world, seed), world.power_losses)
}

/// As [`search_keeping`], and whole failure domains are suspended, with or without the owner and several times within a
/// lease; and how often one was.
pub fn search_suspensions(seed: u64) -> (Option<String>, usize) {
    let mut world = World::new(seed, Disabled::Nothing);
    world.keeps_ids = true;
    for worker in world.workers.values_mut() {
        worker.listed.born = Some(Millis(7));
    }
    world.publish_list();
    for _ in 0..1 + world.pick(3) {
        let (from, domain) = (world.pick(FAULTS_END_MS), world.pick(2));
        for _ in 0..1 + world.pick(3) {
            let at = from + world.pick(LEASE_MS);
            let with_owner = world.pick(2) == 0;
            world.schedule_at(at, Event::SuspendDomain { domain, with_owner });
        }
    }
    world.run();
    (first_violation(&world, seed), world.suspension_count)
}

/// As [`search`], with workspaces whose bounds change, and batches that the store refuses; and how many jobs were given
/// back, if any workspace came near to a bound.
pub fn search_limits(seed: u64, disabled: Disabled) -> (Option<String>, usize) {
    let mut world = World::new(seed, disabled);
    world.add_limits();
    world.run();
    let count = if world.peak_cpu > 3_000 { world.withdrawn_jobs } else { 0 };
    (first_violation(&world, seed), count)
}

/// As [`search`], with jobs that last, workers that fail all they start, lost answers of the advice service, and owners
/// whose processes have just started; and how many lasting tasks lost a run. With `judges_vanished` also tasks whose own
/// worker vanished have to run again in time.
pub fn search_lasting(seed: u64, checks_replaced: bool) -> (Option<String>, usize) {
    let mut world = World::new(seed, Disabled::Nothing);
    world.add_lasting_jobs(seed % 2 == 0);
    world.lasting.checks_replaced = checks_replaced;
    world.outage.has_fresh_owners = true;
    world.run();
    (first_violation(&world, seed), world.lasting.lost_runs)
}

/// As [`search`], with a store that is away once or twice, at any moment; and how often it was.
pub fn search_store_outages(seed: u64, disabled: Disabled) -> (Option<String>, usize) {
    let mut world = World::new(seed, disabled);
    world.outage.has_fresh_owners = true;
    for _ in 0..1 + world.pick(2) {
        let (at, length) = (world.pick(FAULTS_END_MS), 1_000 + world.pick(4_000));
        world.schedule_at(at, Event::StoreOutage { length });
    }
    world.run();
    (first_violation(&world, seed), world.outage.count)
}

/// Lines of the trace that are shown; `SPRUCE_TRACE` sets another number.
fn trace_lines() -> usize {
    let text = std::env::var("SPRUCE_TRACE").unwrap_or_else(|_| "60".to_string());
    text.parse().unwrap_or_else(|err| panic!("SPRUCE_TRACE={text:?}: {err}"))
}

fn first_violation(world: &World, seed: u64) -> Option<String> {
    let from = world.trace.len().saturating_sub(trace_lines());
    let first = world.violations.first();
    first.map(|first| format!("seed {seed}: {first}\n{}", world.trace[from..].join("\n")))
}

fn run_to_violation(mut world: World, seed: u64) -> (Option<String>, usize) {
    world.run();
    (first_violation(&world, seed), world.preemptions)
}
