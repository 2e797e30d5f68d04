//! The searches: each one adds one kind of fault to the usual ones.

use super::*;

/// The first violation of a simulation, with the end of its trace.
pub fn search(seed: u64, disabled: Disabled) -> Option<String> {
    run_to_violation(World::new(seed, disabled), seed).0
}

/// As [`search`], with two queues and little capacity. Also returns the number of preempted tasks.
pub fn search_preemption(seed: u64) -> (Option<String>, usize) {
    let mut world = World::new(seed, Disabled::Nothing);
    world.is_crowded = true;
    for worker in world.workers.values_mut() {
        worker.listed.room = room(1_200);
    }
    world.publish_list();
    run_to_violation(world, seed)
}

/// As [`search`], with tasks that crash every worker on which they start, some of which may have
/// copies. Also returns the number of crashes.
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

/// As [`search`], with workers whose capacity changes and owners that notice pauses. Also returns
/// the number of changes.
pub fn search_room_changes(seed: u64) -> (Option<String>, usize) {
    let mut world = World::new(seed, Disabled::Nothing);
    world.resizes_rooms = true;
    world.schedule_at(FAULTS_END_MS + TICK_MS, Event::RestoreRooms);
    world.run();
    (first_violation(&world, seed), world.resize_count)
}

/// As [`search_crashing_tasks`], with workers that usually keep their id when they restart, also
/// crash by themselves, and come back with another start time and other capacity. Also returns the
/// number of restarts with the same id.
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

/// As [`search_restarts`] without crashing tasks, with one or two losses of power at random times.
/// Also returns the number of these.
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

/// As [`search_restarts`] without crashing tasks, with suspensions of whole failure domains, with
/// or without the owner, and several times within a lease. Also returns the number of suspensions.
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

/// As [`search`], with workspaces whose limits change and batches that the store rejects. Also
/// returns the number of withdrawn jobs, or 0 if no workspace came near its limit.
pub fn search_limits(seed: u64, disabled: Disabled) -> (Option<String>, usize) {
    let mut world = World::new(seed, disabled);
    world.add_limits();
    world.run();
    let count = if world.peak_cpu > 3_000 { world.withdrawn_jobs } else { 0 };
    (first_violation(&world, seed), count)
}

/// As [`search`], with long-running jobs, workers that fail all their runs, lost answers of the
/// advice service, and owners whose processes have just started. Also returns how often a
/// long-running task lost its run. With `checks_replaced`, tasks on workers that are gone for good
/// have to run again in time, too.
pub fn search_lasting(seed: u64, checks_replaced: bool) -> (Option<String>, usize) {
    let mut world = World::new(seed, Disabled::Nothing);
    world.add_lasting_jobs(seed % 2 == 0);
    world.lasting.checks_replaced = checks_replaced;
    world.outage.has_fresh_owners = true;
    world.run();
    (first_violation(&world, seed), world.lasting.lost_runs)
}

/// As [`search`], with one or two outages of the store at random times. Also returns the number of
/// outages.
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

/// The number of lines of the trace that are shown; set by `SPRUCE_TRACE`.
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
