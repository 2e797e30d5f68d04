//! Room that is kept for a step that is about to start.
//!
//! The load that this answers: a gang waits for whole workers while smaller tasks of less urgent jobs
//! come all the time and take every piece of room as it becomes free.

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
}

/// All room that is kept, by worker.
#[derive(Debug, Default)]
pub struct Reservations {
    rows: HashMap<Name, Vec<Row>>,
    steps: HashMap<StepKey, Millis>,
}

impl Reservations {
    /// Keeps room at a worker for a step until a time.
    pub fn add(&mut self, worker: &Name, step: StepKey, rank: Rank, room: Room, until: Millis) {
        let row = Row { step, rank, room, until };
        self.rows.entry(worker.clone()).or_default().push(row);
        self.steps.insert(step, until);
    }

    /// Whether room is kept for a step.
    pub fn has(&self, step: StepKey) -> bool {
        self.steps.contains_key(&step)
    }

    /// The room at a worker that a step must leave to others that are as urgent or more.
    pub fn held(&self, worker: &Name, step: StepKey, rank: Rank) -> Room {
        let rows = self.rows.get(worker).map(Vec::as_slice).unwrap_or_default();
        let others = rows.iter().filter(|row| row.step != step && row.rank <= rank);
        others.fold(Room::default(), |sum, row| sum.plus(&row.room))
    }

    /// A step needs no room any more.
    pub fn release(&mut self, step: StepKey) {
        if self.steps.remove(&step).is_some() {
            self.keep(|row| row.step != step);
        }
    }

    /// Room whose time is over is free for all; whether there was any.
    pub fn expire(&mut self, now: Millis) -> bool {
        let before = self.steps.len();
        self.steps.retain(|_, until| now < *until);
        let is_over = self.steps.len() < before;
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
