//! The searches: each one adds one kind of fault to the usual ones.

use super::*;

/// The first violation of a simulation, with the end of its trace.
pub fn search(seed: u64, disabled: Disabled) -> Option<String> {
    run_to_violation(Simulation::new(seed, disabled), seed).0
}

/// As [`search`], with two queues and little capacity. Also returns the number of preempted tasks.
pub fn search_preemption(seed: u64) -> (Option<String>, usize) {
    let mut sim = Simulation::new(seed, Disabled::Nothing);
    sim.is_crowded = true;
    for worker in sim.workers.values_mut() {
        worker.listed.capacity = room(1_200);
    }
    sim.publish_list();
    run_to_violation(sim, seed)
}

/// As [`search`], with queues with ranked objectives and little capacity. Also returns the number of
/// jobs that were late when they started.
pub fn search_ranked(seed: u64) -> (Option<String>, usize) {
    let mut sim = Simulation::new(seed, Disabled::Nothing);
    sim.rank_objectives();
    sim.run();
    (first_violation(&sim, seed), sim.count_late_starts())
}

/// As [`search`], with tasks that crash every worker on which they start, some of which may have
/// copies. Also returns the number of crashes.
pub fn search_crashing_tasks(seed: u64) -> (Option<String>, usize) {
    let mut sim = crashing_world(seed);
    sim.run();
    let crashes = sim.restart_count as usize;
    (first_violation(&sim, seed), crashes)
}

fn crashing_world(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed, Disabled::Nothing);
    for index in 4..8 {
        sim.add_worker(format!("w{index}").into(), index % 2);
    }
    sim.publish_list();
    let jobs: Vec<JobKey> = sim.works.keys().copied().collect();
    for job in jobs.into_iter().filter(|job| job.0 % 4 == 0) {
        let mut work = (*sim.works[&job]).clone();
        for step in work.steps.iter_mut().filter(|step| !step.is_gang) {
            step.allow_copies = job.0 % 8 == 0;
        }
        sim.works.insert(job, Arc::new(work));
        let step = StepKey { job, repetition: 0, step: 0 };
        sim.crash_tasks.insert(TaskKey { step, index: 0 }, BTreeSet::new());
    }
    sim
}

/// As [`search`], with workers whose capacity changes and owners that notice pauses. Also returns
/// the number of changes.
pub fn search_room_changes(seed: u64) -> (Option<String>, usize) {
    let mut sim = Simulation::new(seed, Disabled::Nothing);
    sim.resizes_rooms = true;
    sim.schedule_at(FAULTS_END_MS + TICK_MS, Event::RestoreRooms);
    sim.run();
    (first_violation(&sim, seed), sim.resize_count)
}

/// As [`search_crashing_tasks`], with workers that usually keep their id when they restart, also
/// crash by themselves, and come back with another start time and other capacity. Also returns the
/// number of restarts with the same id.
pub fn search_restarts(seed: u64) -> (Option<String>, usize) {
    search_restarts_with(seed, Disabled::Nothing)
}

/// As [`search_restarts`], with a mechanism that is disabled.
pub fn search_restarts_with(seed: u64, disabled: Disabled) -> (Option<String>, usize) {
    let mut sim = crashing_world(seed);
    sim.disabled = disabled;
    sim.keeps_ids = true;
    let names: Vec<Name> = sim.workers.keys().cloned().collect();
    for worker in sim.workers.values_mut() {
        worker.listed.started_at = Some(Millis(7));
    }
    sim.publish_list();
    for worker in names {
        for _ in 0..sim.pick(3) {
            let (at, worker) = (sim.pick(FAULTS_END_MS), worker.clone());
            sim.schedule_at(at, Event::CrashWorker { worker });
        }
    }
    sim.run();
    (first_violation(&sim, seed), sim.id_reuses)
}

/// As [`search_restarts`] without crashing tasks, with one or two losses of power at random times.
/// Also returns the number of these.
pub fn search_power_loss(seed: u64) -> (Option<String>, usize) {
    let mut sim = Simulation::new(seed, Disabled::Nothing);
    sim.keeps_ids = true;
    for worker in sim.workers.values_mut() {
        worker.listed.started_at = Some(Millis(7));
    }
    sim.publish_list();
    for _ in 0..1 + sim.pick(2) {
        let at = sim.pick(FAULTS_END_MS);
        sim.schedule_at(at, Event::PowerLoss);
    }
    sim.run();
    (first_violation(&sim, seed), sim.power_losses)
}

/// As [`search_restarts`] without crashing tasks, with suspensions of whole failure domains, with
/// or without the owner, and several times within a lease. Also returns the number of suspensions.
pub fn search_suspensions(seed: u64) -> (Option<String>, usize) {
    let mut sim = Simulation::new(seed, Disabled::Nothing);
    sim.keeps_ids = true;
    for worker in sim.workers.values_mut() {
        worker.listed.started_at = Some(Millis(7));
    }
    sim.publish_list();
    for _ in 0..1 + sim.pick(3) {
        let (from, domain) = (sim.pick(FAULTS_END_MS), sim.pick(2));
        for _ in 0..1 + sim.pick(3) {
            let at = from + sim.pick(LEASE_MS);
            let with_owner = sim.pick(2) == 0;
            sim.schedule_at(at, Event::SuspendDomain { domain, with_owner });
        }
    }
    sim.run();
    (first_violation(&sim, seed), sim.suspension_count)
}

/// As [`search`], with workspaces whose limits change and batches that the store rejects. Also
/// returns the number of withdrawn jobs, or 0 if no workspace came near its limit.
pub fn search_limits(seed: u64, disabled: Disabled) -> (Option<String>, usize) {
    let mut sim = Simulation::new(seed, disabled);
    sim.add_limits();
    sim.run();
    let count = if sim.peak_cpu > 3_000 { sim.withdrawn_jobs } else { 0 };
    (first_violation(&sim, seed), count)
}

/// As [`search`], with long-running jobs, workers that fail all their runs, lost answers of the
/// advice service, and owners whose processes have just started. Also returns how often a
/// long-running task lost its run. With `checks_replaced`, tasks on workers that are gone for good
/// have to run again in time, too.
pub fn search_lasting(seed: u64, checks_replaced: bool) -> (Option<String>, usize) {
    let mut sim = Simulation::new(seed, Disabled::Nothing);
    sim.add_lasting_jobs(seed % 2 == 0);
    sim.lasting.checks_replaced = checks_replaced;
    sim.outage.has_fresh_owners = true;
    sim.run();
    (first_violation(&sim, seed), sim.lasting.lost_runs)
}

/// As [`search_lasting`], with owners that are stopped one after the other once the random faults have
/// ended, beside workers that leave. Also returns how often a long-running task lost its run.
pub fn search_rolling_restarts(seed: u64, disabled: Disabled) -> (Option<String>, usize) {
    let mut sim = Simulation::new(seed, disabled);
    sim.add_lasting_jobs(seed % 2 == 0);
    sim.lasting.checks_replaced = true;
    let start = FAULTS_END_MS + 2_000 + sim.pick(2_000);
    sim.add_rolling_restart(start);
    sim.run();
    (first_violation(&sim, seed), sim.lasting.lost_runs.min(sim.rolling.stops))
}

/// As [`search_store_outages`], with owners that are stopped in good order at random times, mostly soon
/// after an outage. Also returns the number of stops.
pub fn search_stops_after_outages(seed: u64, disabled: Disabled) -> (Option<String>, usize) {
    let mut sim = Simulation::new(seed, disabled);
    sim.outage.has_fresh_owners = true;
    for _ in 0..1 + sim.pick(2) {
        let (at, length) = (sim.pick(FAULTS_END_MS), 1_000 + sim.pick(4_000));
        sim.schedule_at(at, Event::StoreOutage { length });
        for _ in 0..1 + sim.pick(3) {
            let stop_at = at + length + sim.pick(1_500);
            sim.schedule_at(stop_at, Event::StopOwner);
        }
    }
    sim.run();
    (first_violation(&sim, seed), sim.rolling.stops.min(sim.outage.count))
}

/// As [`search`], with one or two outages of the store at random times. Also returns the number of
/// outages.
pub fn search_store_outages(seed: u64, disabled: Disabled) -> (Option<String>, usize) {
    let mut sim = Simulation::new(seed, disabled);
    sim.outage.has_fresh_owners = true;
    for _ in 0..1 + sim.pick(2) {
        let (at, length) = (sim.pick(FAULTS_END_MS), 1_000 + sim.pick(4_000));
        sim.schedule_at(at, Event::StoreOutage { length });
    }
    sim.run();
    (first_violation(&sim, seed), sim.outage.count)
}

/// As [`search`], with workers that accept few connections, and owners that lose power. Also returns
/// the number of these.
pub fn search_owner_power_losses(seed: u64, disabled: Disabled) -> (Option<String>, usize) {
    let mut sim = Simulation::new(seed, disabled);
    sim.add_owner_power_losses(11, 32);
    sim.run();
    (first_violation(&sim, seed), sim.connections.power_losses)
}

/// As [`search_owner_power_losses`], with owners that are replaced and live on. Also returns the
/// number of owners.
pub fn search_takeovers_with_few_connections(
    seed: u64,
    disabled: Disabled,
) -> (Option<String>, usize) {
    let mut sim = Simulation::new(seed, disabled);
    sim.add_owner_power_losses(0, 20);
    for _ in 0..12 {
        let at = sim.pick(FAULTS_END_MS);
        sim.schedule_at(at, Event::Elect);
    }
    sim.run();
    (first_violation(&sim, seed), sim.owners.len())
}

/// As [`search_store_outages`], with workers that list few ends at once, so that the ends that wait
/// for the store exceed a report. Also returns the number of reports without all ends.
pub fn search_truncated_reports(seed: u64, disabled: Disabled) -> (Option<String>, usize) {
    let mut sim = Simulation::new(seed, disabled);
    sim.max_listed_ends = 2;
    sim.outage.has_fresh_owners = true;
    for _ in 0..1 + sim.pick(2) {
        let (at, length) = (sim.pick(FAULTS_END_MS), 1_000 + sim.pick(4_000));
        sim.schedule_at(at, Event::StoreOutage { length });
    }
    sim.run();
    (first_violation(&sim, seed), sim.truncated_reports)
}

/// As [`search_store_outages`], with short outages in which owners withdraw jobs that are submitted
/// again at once. Also returns the number of jobs that were bound again after a withdrawal.
pub fn search_withdrawals(seed: u64) -> (Option<String>, usize) {
    let mut sim = Simulation::new(seed, Disabled::Nothing);
    sim.withdrawals.enabled = true;
    for _ in 0..2 + sim.pick(4) {
        let (at, length) = (sim.pick(FAULTS_END_MS), 300 + sim.pick(1_500));
        sim.schedule_at(at, Event::StoreOutage { length });
    }
    sim.run();
    (first_violation(&sim, seed), sim.withdrawals.resubmitted.len())
}

/// The number of lines of the trace that are shown; set by `SPRUCE_TRACE`.
fn trace_lines() -> usize {
    let text = std::env::var("SPRUCE_TRACE").unwrap_or_else(|_| "60".to_string());
    text.parse().unwrap_or_else(|err| panic!("SPRUCE_TRACE={text:?}: {err}"))
}

fn first_violation(sim: &Simulation, seed: u64) -> Option<String> {
    let from = sim.trace.len().saturating_sub(trace_lines());
    let first = sim.violations.first();
    first.map(|first| format!("seed {seed}: {first}\n{}", sim.trace[from..].join("\n")))
}

fn run_to_violation(mut sim: Simulation, seed: u64) -> (Option<String>, usize) {
    sim.run();
    (first_violation(&sim, seed), sim.preemptions)
}
