//! Reservations of resources on workers for steps that are about to start.
//!
//! Without them a gang that needs whole workers could wait forever, while smaller tasks of less urgent jobs keep
//! arriving and take all resources as they become free.

use crate::cell::placing::rank::Rank;
use crate::cell::placing::relaxation::Relaxation;
use crate::clock::Millis;
use crate::id::Name;
use crate::visits;
use crate::workload::{Resources, StepKey};
use std::collections::HashMap;

/// Resources reserved for a step on one worker.
#[derive(Debug, Clone)]
struct Reservation {
    step: StepKey,
    rank: Rank,
    room: Resources,
    until: Millis,
    /// Tasks that can be stopped for the step may use the resources in the meantime.
    is_shared: bool,
}

/// All reservations in a cell.
#[derive(Debug, Default)]
pub struct Reservations {
    by_worker: HashMap<Name, Vec<Reservation>>,
    /// Steps with reservations that no less urgent task may use, and when these expire.
    exclusive: HashMap<StepKey, Millis>,
    /// Steps with reservations that tasks which can be stopped may use, and when these expire.
    shared: HashMap<StepKey, Millis>,
    /// Gangs for which resources are reserved before they are all free, and when the reservations expire.
    gangs: HashMap<StepKey, Millis>,
}

impl Reservations {
    /// Reserves resources on a worker for a step until a time. Less urgent steps can't use them.
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

    /// As [`Self::reserve`], but tasks that can be stopped for the step may use the resources in the meantime.
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

    /// As [`Self::reserve`], for a gang whose resources aren't all free yet.
    pub fn reserve_for_gang(
        &mut self,
        worker: &Name,
        step: StepKey,
        rank: Rank,
        room: Resources,
        until: Millis,
    ) {
        self.insert(worker, Reservation { step, rank, room, until, is_shared: false });
        self.gangs.insert(step, until);
    }

    /// Whether resources on a worker are reserved for a gang of another step.
    pub fn has_gang_at(&self, worker: &Name, step: StepKey) -> bool {
        let mut reservations = self.by_worker.get(worker).into_iter().flatten();
        reservations.any(|other| {
            visits::add(1);
            other.step != step && self.has_gang(other.step)
        })
    }

    /// Whether resources are reserved for a gang before they are all free.
    pub fn has_gang(&self, step: StepKey) -> bool {
        self.gangs.contains_key(&step)
    }

    /// The resources that are reserved for gangs on workers for which `is_wanted` holds.
    pub fn reserved_for_gangs(&self, is_wanted: impl Fn(&Name) -> bool) -> Resources {
        let wanted = self.by_worker.iter().filter(|(worker, _)| is_wanted(worker));
        let reservations = wanted.flat_map(|(_, reservations)| reservations);
        let of_gangs = reservations.filter(|reservation| self.has_gang(reservation.step));
        of_gangs.fold(Resources::default(), |sum, reservation| sum.plus(&reservation.room))
    }

    fn insert(&mut self, worker: &Name, reservation: Reservation) {
        self.by_worker.entry(worker.clone()).or_default().push(reservation);
    }

    /// Whether a step has exclusive reservations.
    pub fn has_exclusive(&self, step: StepKey) -> bool {
        self.exclusive.contains_key(&step)
    }

    /// Whether a step has reservations that other tasks may use.
    pub fn has_shared(&self, step: StepKey) -> bool {
        self.shared.contains_key(&step)
    }

    /// The resources on a worker that a step may not use, because they are reserved for steps that are at least as
    /// urgent. `can_stop` says whether its tasks can be stopped for steps with a more urgent priority.
    pub fn unavailable(
        &self,
        worker: &Name,
        step: StepKey,
        rank: Rank,
        can_stop: bool,
        relaxation: Relaxation,
    ) -> Resources {
        let reservations = self.by_worker.get(worker).map(Vec::as_slice).unwrap_or_default();
        visits::add(reservations.len());
        let may_be_used = |reservation: &&Reservation| {
            reservation.is_shared && can_stop && reservation.rank.priority < rank.priority
        };
        let others = reservations
            .iter()
            .filter(|reservation| reservation.step != step && reservation.rank <= rank);
        let is_for_gang = |reservation: &Reservation| self.has_gang(reservation.step);
        let is_blocked = |reservation: &&Reservation| match relaxation {
            Relaxation::None => true,
            Relaxation::Partial => !is_for_gang(reservation),
            Relaxation::Full => false,
        };
        let others = others.filter(|reservation| !may_be_used(reservation)).filter(is_blocked);
        others.fold(Resources::default(), |sum, reservation| sum.plus(&reservation.room))
    }

    /// Changes the rank of a step's reservations.
    pub fn update_rank(&mut self, step: StepKey, rank: Rank) {
        if !self.has_exclusive(step) && !self.has_shared(step) && !self.has_gang(step) {
            return;
        }
        let reservations = self.by_worker.values_mut().flatten().inspect(|_| visits::add(1));
        for reservation in reservations.filter(|reservation| reservation.step == step) {
            reservation.rank = rank;
        }
    }

    /// Removes all reservations of a step.
    pub fn release(&mut self, step: StepKey) {
        let shared = self.shared.remove(&step);
        let gang = self.gangs.remove(&step);
        if self.exclusive.remove(&step).or(shared).or(gang).is_some() {
            self.retain(|reservation| reservation.step != step);
        }
    }

    /// Removes expired reservations; returns whether there were any.
    pub fn expire(&mut self, now: Millis) -> bool {
        let count = |kept: &Self| kept.exclusive.len() + kept.shared.len() + kept.gangs.len();
        let before = count(self);
        self.exclusive.retain(|_, until| now < *until);
        self.shared.retain(|_, until| now < *until);
        self.gangs.retain(|_, until| now < *until);
        let has_expired = count(self) < before;
        if has_expired {
            self.retain(|reservation| now < reservation.until);
        }
        has_expired
    }

    /// Keeps only the reservations for which `is_kept` holds.
    fn retain(&mut self, is_kept: impl Fn(&Reservation) -> bool) {
        self.by_worker.retain(|_, reservations| {
            visits::add(reservations.len());
            reservations.retain(&is_kept);
            !reservations.is_empty()
        });
    }
}
