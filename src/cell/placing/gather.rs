//! Room that is gathered for a gang that finds too little of it.
//!
//! The load that this answers: a gang of many tasks in a cell that is nearly full. All its tasks start
//! together, and tasks that came later take each piece of room as it becomes free. In a small
//! cell a wide gang would wait until nothing else is left to run.

use crate::cell::Cell;
use crate::cell::jobs::lifecycle::queue_rank;
use crate::cell::mechanism::Mechanism;
use crate::cell::placing::place::{Fit, Need};
use crate::clock::Millis;
use crate::id::Name;
use crate::workload::{Room, Step, StepKey};

/// No room is gathered before a gang's turn came so long ago: most find room by themselves before, and
/// gathered room stands idle.
const PATIENCE: Millis = Millis(2_000);
/// Where room is gathered is decided anew after this time: by then some of the workers may be lost.
const KEEP: Millis = Millis(1_500);

/// A worker at which room is gathered.
struct Place {
    worker: Name,
    /// Tasks of the gang that have room now.
    now: usize,
    /// Tasks that have room once all runs that end by themselves are over.
    later: usize,
}

impl Cell {
    /// Keeps room for all `rest` tasks of a gang, at the workers known to be good for it that have most
    /// of it free, from tasks that rank after it. For one gang at a time: two would hold up each other.
    pub(in crate::cell) fn gather_room(&mut self, now: Millis, need: &Need) {
        let Need { step: key, spec, tasks: rest } = *need;
        let Some(job) = self.jobs.get(&key.job) else { return };
        let mine = queue_rank(job);
        let is_early = !job.has_waited(now, key, PATIENCE);
        let is_off = self.config.disabled.contains(Mechanism::GatherForGangs);
        if !spec.gang || is_off || is_early || self.reservations.gathers() {
            return;
        }
        let charge = spec.charge();
        let fits = self.known_good(now, key, spec);
        let mut places: Vec<Place> =
            fits.iter().filter_map(|fit| self.place_for(fit, spec, &charge)).collect();
        places.sort_by_key(|place| std::cmp::Reverse((place.now, place.later)));
        let mut left = rest as usize;
        let mut chosen = Vec::new();
        for Place { worker, later, .. } in places {
            let count = later.min(left);
            left -= count;
            if count > 0 {
                chosen.push((worker, count));
            }
        }
        if left > 0 {
            return;
        }
        log::info!("event=room-gathered step={key} tasks={rest} workers={}", chosen.len());
        for (worker, count) in chosen {
            let room = (0..count).fold(Room::default(), |sum, _| sum.plus(&charge));
            self.reservations.gather(&worker, key, mine, room, now + KEEP);
        }
    }

    fn place_for(&self, fit: &Fit, spec: &Step, charge: &Room) -> Option<Place> {
        let worker = self.workers.get(&fit.name)?;
        let stays = |task: &StepKey| {
            let job = self.jobs.get(&task.job);
            job.and_then(|job| job.spec(task.step)).is_none_or(|spec| spec.lasting)
        };
        let ending = worker.runs.iter().filter(|((task, _), _)| !stays(&task.step));
        let mut then = fit.clone();
        ending.for_each(|(_, run)| then.gain(&run.charge));
        let later = then.count(spec, charge);
        Some(Place { worker: fit.name.clone(), now: fit.count(spec, charge), later })
    }
}
