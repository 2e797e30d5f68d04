//! Reservations for gangs that don't find enough free resources.
//!
//! The tasks of a gang all start together. In a cell that is nearly full, tasks that were submitted later would take
//! resources one by one as they become free, and in a small cell a gang with many tasks would wait until nothing else
//! is left to run. So resources are reserved for the gang while they become free.

use crate::cell::Cell;
use crate::cell::mechanism::Mechanism;
use crate::cell::placing::candidate::{Candidate, UnplacedTasks};
use crate::cell::workers::worker::Worker;
use crate::clock::Millis;
use crate::id::Name;
use crate::visits;
use crate::workload::{Resources, Step, StepKey};

/// How long a gang waits, from when it became ready, before resources are reserved for it. Most gangs find enough free
/// resources within this time, and reserved resources stay idle.
const MIN_GANG_WAIT: Millis = Millis(2_000);
/// Resources are reserved for another gang only while less than one in this many cores of the service is reserved for
/// gangs: what is reserved stays idle until all of it is free.
const RESERVED_DIVISOR: u64 = 8;
/// How long a reservation for a gang lasts. The workers are then chosen again, since some may have been lost.
const RESERVATION_TIME: Millis = Millis(1_500);

/// The number of a gang's tasks that a worker can run.
struct GangCapacity {
    worker: Name,
    /// Tasks that fit in its free resources.
    fits_now: usize,
    /// Tasks that fit once all runs have ended, except those of long-running steps.
    fits_later: usize,
}

impl Cell {
    /// Reserves resources for all unplaced tasks of a gang, so that less urgent tasks can't take them. Prefers the
    /// cleared workers on which most of its tasks fit. Several gangs can't block each other: each gets all that it
    /// needs, beside what is reserved for more urgent ones, or nothing.
    pub(in crate::cell) fn reserve_for_gang(
        &mut self,
        now: Millis,
        unplaced_tasks: &UnplacedTasks,
    ) {
        let UnplacedTasks { step: key, spec, count: unplaced } = *unplaced_tasks;
        let Some(job) = self.jobs.get(&key.job) else { return };
        let gang_rank = job.rank();
        let is_early = !job.has_waited(now, key, MIN_GANG_WAIT);
        let is_disabled = self.config.disabled.contains(Mechanism::GatherForGangs);
        if !spec.is_gang || is_disabled || is_early || self.reservations.has_gang(key) {
            return;
        }
        if self.is_enough_reserved(&job.queue.service) {
            return;
        }
        let charge = spec.charged_resources();
        let candidates = self.cleared_candidates(now, key, spec);
        let mut capacities: Vec<GangCapacity> = candidates
            .iter()
            .filter_map(|candidate| self.gang_capacity(candidate, spec, &charge))
            .collect();
        capacities
            .sort_by_key(|capacity| std::cmp::Reverse((capacity.fits_now, capacity.fits_later)));
        let mut missing = unplaced as usize;
        let mut chosen = Vec::new();
        for GangCapacity { worker, fits_later, .. } in capacities {
            let tasks = fits_later.min(missing);
            missing -= tasks;
            if tasks > 0 {
                chosen.push((worker, tasks));
            }
        }
        if missing > 0 {
            return;
        }
        log::info!("event=gang-reservation step={key} tasks={unplaced} workers={}", chosen.len());
        for (worker, tasks) in chosen {
            let room = (0..tasks).fold(Resources::default(), |sum, _| sum.plus(&charge));
            self.reservations.reserve_for_gang(
                &worker,
                key,
                gang_rank,
                room,
                now + RESERVATION_TIME,
            );
        }
    }

    /// Whether no resources are reserved for a further gang of a service.
    fn is_enough_reserved(&self, service: &Name) -> bool {
        let of_service = |worker: &Worker| worker.listed.service == *service;
        let workers = self.workers.values().filter(|worker| of_service(worker));
        let capacities = workers.map(|worker| worker.listed.capacity.cpu);
        let total = capacities.fold(0, u64::saturating_add);
        let reserved = self
            .reservations
            .reserved_for_gangs(|name| self.workers.get(name).is_some_and(of_service));
        reserved.cpu > 0 && reserved.cpu.saturating_mul(RESERVED_DIVISOR) >= total
    }

    /// Counts the gang's tasks that fit on a worker now and once other runs have ended.
    fn gang_capacity(
        &self,
        candidate: &Candidate,
        spec: &Step,
        charge: &Resources,
    ) -> Option<GangCapacity> {
        let worker = self.workers.get(&candidate.name)?;
        let is_lasting = |task: &StepKey| {
            let job = self.jobs.get(&task.job);
            job.and_then(|job| job.spec(task.step)).is_none_or(|spec| spec.long_running)
        };
        visits::add(worker.runs.len());
        let ending = worker.runs.iter().filter(|((task, _), _)| !is_lasting(&task.step));
        let mut after_ends = candidate.clone();
        ending.for_each(|(_, run)| after_ends.release(&run.charge));
        let fits_later = after_ends.count_fitting(spec, charge);
        Some(GangCapacity {
            worker: candidate.name.clone(),
            fits_now: candidate.count_fitting(spec, charge),
            fits_later,
        })
    }
}
