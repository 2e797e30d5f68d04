//! Room that is gathered for a gang that finds too little of it.
//!
//! The load that this answers: a gang of many tasks in a cell that is nearly full. All its tasks start
//! together, and tasks that came later take each piece of room as it becomes free. In a small
//! cell a wide gang would wait until nothing else is left to run.

use crate::cell::Cell;
use crate::cell::jobs::lifecycle::queue_rank;
use crate::cell::mechanism::Mechanism;
use crate::cell::placing::candidate::{Candidate, UnplacedTasks};
use crate::clock::Millis;
use crate::id::Name;
use crate::workload::{Resources, Step, StepKey};

/// No room is gathered before a gang's turn came so long ago: most find room by themselves before, and
/// gathered room stands idle.
const MIN_GANG_WAIT: Millis = Millis(2_000);
/// Where room is gathered is decided anew after this time: by then some of the workers may be lost.
const RESERVATION_TIME: Millis = Millis(1_500);

/// A worker at which room is gathered.
struct GangCapacity {
    worker: Name,
    /// Tasks of the gang that have room now.
    fits_now: usize,
    /// Tasks that have room once all runs that end by themselves are over.
    fits_later: usize,
}

impl Cell {
    /// Keeps room for all `rest` tasks of a gang, at the workers known to be good for it that have most
    /// of it free, from tasks that rank after it. For one gang at a time: two would hold up each other.
    pub(in crate::cell) fn reserve_for_gang(&mut self, now: Millis, need: &UnplacedTasks) {
        let UnplacedTasks { step: key, spec, count: unplaced } = *need;
        let Some(job) = self.jobs.get(&key.job) else { return };
        let mine = queue_rank(job);
        let is_early = !job.has_waited(now, key, MIN_GANG_WAIT);
        let is_off = self.config.disabled.contains(Mechanism::GatherForGangs);
        if !spec.is_gang || is_off || is_early || self.reservations.has_gang() {
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
        let mut left = unplaced as usize;
        let mut chosen = Vec::new();
        for GangCapacity { worker, fits_later, .. } in capacities {
            let count = fits_later.min(left);
            left -= count;
            if count > 0 {
                chosen.push((worker, count));
            }
        }
        if left > 0 {
            return;
        }
        log::info!("event=room-gathered step={key} tasks={unplaced} workers={}", chosen.len());
        for (worker, count) in chosen {
            let room = (0..count).fold(Resources::default(), |sum, _| sum.plus(&charge));
            self.reservations.reserve_for_gang(&worker, key, mine, room, now + RESERVATION_TIME);
        }
    }

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
