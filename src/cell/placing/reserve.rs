//! Room that is kept for a step that is about to start.
//!
//! The load that this answers: a gang waits for whole workers while smaller tasks of less urgent jobs
//! come all the time and take every piece of room as it becomes free.

use crate::cell::placing::pressure::Pressure;
use crate::clock::Millis;
use crate::id::Name;
use crate::workload::{Room, StepKey};
use std::collections::HashMap;

/// The place of a job among those that wait: lower ones first.
pub type Rank = (u32, Millis);

/// Room kept at one worker.
#[derive(Debug, Clone)]
struct Row {
    step: StepKey,
    rank: Rank,
    room: Room,
    until: Millis,
    /// Tasks that can be stopped for the step may use the room meanwhile.
    is_shared: bool,
}

/// All room that is kept, by worker.
#[derive(Debug, Default)]
pub struct Reservations {
    rows: HashMap<Name, Vec<Row>>,
    steps: HashMap<StepKey, Millis>,
    shared: HashMap<StepKey, Millis>,
    /// The gang for which room is gathered, and until when.
    gang: Option<(StepKey, Millis)>,
}

impl Reservations {
    /// Keeps room at a worker for a step until a time, from all that are less urgent.
    pub fn add(&mut self, worker: &Name, step: StepKey, rank: Rank, room: Room, until: Millis) {
        self.insert(worker, Row { step, rank, room, until, is_shared: false });
        self.steps.insert(step, until);
    }

    /// As [`Self::add`], but tasks that can be stopped for the step may use the room meanwhile.
    pub fn share(&mut self, worker: &Name, step: StepKey, rank: Rank, room: Room, until: Millis) {
        self.insert(worker, Row { step, rank, room, until, is_shared: true });
        self.shared.insert(step, until);
    }

    /// As [`Self::add`], for a gang whose room is not all free yet.
    pub fn gather(&mut self, worker: &Name, step: StepKey, rank: Rank, room: Room, until: Millis) {
        self.insert(worker, Row { step, rank, room, until, is_shared: false });
        self.gang = Some((step, until));
    }

    /// Whether room is gathered at a worker for a gang of another step.
    pub fn gathers_at(&self, worker: &Name, step: StepKey) -> bool {
        let Some((gang, _)) = self.gang.filter(|(gang, _)| *gang != step) else { return false };
        self.rows.get(worker).is_some_and(|rows| rows.iter().any(|row| row.step == gang))
    }

    /// Whether room is gathered for a gang.
    pub fn gathers(&self) -> bool {
        self.gang.is_some()
    }

    fn insert(&mut self, worker: &Name, row: Row) {
        self.rows.entry(worker.clone()).or_default().push(row);
    }

    /// Whether room is kept for a step alone.
    pub fn has(&self, step: StepKey) -> bool {
        self.steps.contains_key(&step)
    }

    /// Whether room that others may use is kept for a step.
    pub fn shares(&self, step: StepKey) -> bool {
        self.shared.contains_key(&step)
    }

    /// The room at a worker that a step must leave to others that are as urgent or more;
    /// `can_stop`: its tasks can be stopped for steps of a more urgent queue.
    pub fn held(
        &self,
        worker: &Name,
        step: StepKey,
        rank: Rank,
        can_stop: bool,
        pressure: Pressure,
    ) -> Room {
        let rows = self.rows.get(worker).map(Vec::as_slice).unwrap_or_default();
        let yields = |row: &&Row| row.is_shared && can_stop && row.rank.0 < rank.0;
        let others = rows.iter().filter(|row| row.step != step && row.rank <= rank);
        let is_gathered = |row: &Row| self.gang.is_some_and(|(gang, _)| gang == row.step);
        let is_left = |row: &&Row| match pressure {
            Pressure::None => true,
            Pressure::Processors => !is_gathered(row),
            Pressure::All => false,
        };
        let others = others.filter(|row| !yields(row)).filter(is_left);
        others.fold(Room::default(), |sum, row| sum.plus(&row.room))
    }

    /// A step needs no room any more.
    pub fn release(&mut self, step: StepKey) {
        let shared = self.shared.remove(&step);
        let gathered = self.gang.take_if(|(gang, _)| *gang == step).map(|(_, until)| until);
        if self.steps.remove(&step).or(shared).or(gathered).is_some() {
            self.keep(|row| row.step != step);
        }
    }

    /// Room whose time is over is free for all; whether there was any.
    pub fn expire(&mut self, now: Millis) -> bool {
        let before = self.steps.len() + self.shared.len();
        self.steps.retain(|_, until| now < *until);
        self.shared.retain(|_, until| now < *until);
        let gathered = self.gang.take_if(|(_, until)| now >= *until);
        let is_over = self.steps.len() + self.shared.len() < before || gathered.is_some();
        if is_over {
            self.keep(|row| now < row.until);
        }
        is_over
    }

    fn keep(&mut self, wanted: impl Fn(&Row) -> bool) {
        self.rows.retain(|_, rows| {
            rows.retain(&wanted);
            !rows.is_empty()
        });
    }
}
