//! Room that is kept for a step that is about to start.
//!
//! The load that this answers: a gang waits for whole workers while smaller tasks of less urgent jobs
//! come all the time and take every piece of room as it becomes free.

use crate::cell::placing::relaxation::Relaxation;
use crate::clock::Millis;
use crate::id::Name;
use crate::workload::{Resources, StepKey};
use std::collections::HashMap;

/// The place of a job among those that wait: lower ones first.
pub type Rank = (u32, Millis);

/// Room kept at one worker.
#[derive(Debug, Clone)]
struct Reservation {
    step: StepKey,
    rank: Rank,
    room: Resources,
    until: Millis,
    /// Tasks that can be stopped for the step may use the room meanwhile.
    is_shared: bool,
}

/// All room that is kept, by worker.
#[derive(Debug, Default)]
pub struct Reservations {
    by_worker: HashMap<Name, Vec<Reservation>>,
    exclusive: HashMap<StepKey, Millis>,
    shared: HashMap<StepKey, Millis>,
    /// The gang for which room is gathered, and until when.
    gang: Option<(StepKey, Millis)>,
}

impl Reservations {
    /// Keeps room at a worker for a step until a time, from all that are less urgent.
    pub fn reserve(
        &mut self,
        worker: &Name,
        step: StepKey,
        rank: Rank,
        room: Resources,
        until: Millis,
    ) {
        self.insert(worker, Reservation { step, rank, room, until, is_shared: false });
        self.exclusive.insert(step, until);
    }

    /// As [`Self::add`], but tasks that can be stopped for the step may use the room meanwhile.
    pub fn reserve_shared(
        &mut self,
        worker: &Name,
        step: StepKey,
        rank: Rank,
        room: Resources,
        until: Millis,
    ) {
        self.insert(worker, Reservation { step, rank, room, until, is_shared: true });
        self.shared.insert(step, until);
    }

    /// As [`Self::add`], for a gang whose room is not all free yet.
    pub fn reserve_for_gang(
        &mut self,
        worker: &Name,
        step: StepKey,
        rank: Rank,
        room: Resources,
        until: Millis,
    ) {
        self.insert(worker, Reservation { step, rank, room, until, is_shared: false });
        self.gang = Some((step, until));
    }

    /// Whether room is gathered at a worker for a gang of another step.
    pub fn has_gang_at(&self, worker: &Name, step: StepKey) -> bool {
        let Some((gang, _)) = self.gang.filter(|(gang, _)| *gang != step) else { return false };
        self.by_worker.get(worker).is_some_and(|reservations| {
            reservations.iter().any(|reservation| reservation.step == gang)
        })
    }

    /// Whether room is gathered for a gang.
    pub fn has_gang(&self) -> bool {
        self.gang.is_some()
    }

    fn insert(&mut self, worker: &Name, reservation: Reservation) {
        self.by_worker.entry(worker.clone()).or_default().push(reservation);
    }

    /// Whether room is kept for a step alone.
    pub fn has_exclusive(&self, step: StepKey) -> bool {
        self.exclusive.contains_key(&step)
    }

    /// Whether room that others may use is kept for a step.
    pub fn has_shared(&self, step: StepKey) -> bool {
        self.shared.contains_key(&step)
    }

    /// The room at a worker that a step must leave to others that are as urgent or more;
    /// `can_stop`: its tasks can be stopped for steps of a more urgent queue.
    pub fn unavailable(
        &self,
        worker: &Name,
        step: StepKey,
        rank: Rank,
        can_stop: bool,
        relaxation: Relaxation,
    ) -> Resources {
        let reservations = self.by_worker.get(worker).map(Vec::as_slice).unwrap_or_default();
        let is_usable = |reservation: &&Reservation| {
            reservation.is_shared && can_stop && reservation.rank.0 < rank.0
        };
        let others = reservations
            .iter()
            .filter(|reservation| reservation.step != step && reservation.rank <= rank);
        let is_for_gang =
            |reservation: &Reservation| self.gang.is_some_and(|(gang, _)| gang == reservation.step);
        let is_blocked = |reservation: &&Reservation| match relaxation {
            Relaxation::None => true,
            Relaxation::Partial => !is_for_gang(reservation),
            Relaxation::Full => false,
        };
        let others = others.filter(|reservation| !is_usable(reservation)).filter(is_blocked);
        others.fold(Resources::default(), |sum, reservation| sum.plus(&reservation.room))
    }

    /// A step needs no room any more.
    pub fn release(&mut self, step: StepKey) {
        let shared = self.shared.remove(&step);
        let gang = self.gang.take_if(|(gang, _)| *gang == step).map(|(_, until)| until);
        if self.exclusive.remove(&step).or(shared).or(gang).is_some() {
            self.retain(|reservation| reservation.step != step);
        }
    }

    /// Room whose time is over is free for all; whether there was any.
    pub fn expire(&mut self, now: Millis) -> bool {
        let before = self.exclusive.len() + self.shared.len();
        self.exclusive.retain(|_, until| now < *until);
        self.shared.retain(|_, until| now < *until);
        let gang = self.gang.take_if(|(_, until)| now >= *until);
        let has_expired = self.exclusive.len() + self.shared.len() < before || gang.is_some();
        if has_expired {
            self.retain(|reservation| now < reservation.until);
        }
        has_expired
    }

    fn retain(&mut self, is_kept: impl Fn(&Reservation) -> bool) {
        self.by_worker.retain(|_, reservations| {
            reservations.retain(&is_kept);
            !reservations.is_empty()
        });
    }
}
