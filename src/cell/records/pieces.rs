//! The records of jobs with many tasks, in pieces that are written on their own.
//!
//! The progress of such a job in one record would be larger than an append, and would be encoded
//! and written as a whole at each change of a task. The tasks of each step are divided into pieces;
//! a piece is written when one of its tasks has changed. Pieces may reach the store in different
//! appends, because the states of different tasks do not depend on each other.

use crate::cell::jobs::job::Job;
use crate::cell::jobs::step::PIECE_TASKS;
use crate::cell::records::journal::{StepProgress, TaskCrashes, TaskProgress, UnassignedRun};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use thiserror::Error;

/// Identifies a piece of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PieceKey {
    /// The index of the repetition.
    pub repetition: u32,
    /// The index of the step.
    pub step: u16,
    /// The number of the piece in its step.
    pub number: u32,
}

/// A text is not the key of a piece.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum ParsePieceError {
    /// There are not three parts.
    #[error("{0:?} does not have the three parts of the key of a piece")]
    Parts(String),
    /// A part is not a number, or one that is too large.
    #[error("a part of the key of a piece is invalid: {0}")]
    Number(#[from] ParseIntError),
}

impl fmt::Display for PieceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.repetition, self.step, self.number)
    }
}

impl FromStr for PieceKey {
    type Err = ParsePieceError;

    fn from_str(s: &str) -> Result<Self, ParsePieceError> {
        let parts: Vec<&str> = s.split('.').collect();
        match parts.as_slice() {
            [repetition, step, number] => Ok(Self {
                repetition: repetition.parse()?,
                step: step.parse()?,
                number: number.parse()?,
            }),
            _ => Err(ParsePieceError::Parts(s.to_string())),
        }
    }
}

impl PieceKey {
    /// The first piece that a job may have.
    pub const FIRST: Self = Self { repetition: 0, step: 0, number: 0 };
    /// The last piece that a job may have.
    pub const LAST: Self = Self { repetition: u32::MAX, step: u16::MAX, number: u32::MAX };

    /// The piece of a run that is not assigned.
    fn of_run(run: &UnassignedRun) -> Self {
        let (repetition, step) = run.step_index;
        Self { repetition, step, number: run.index / PIECE_TASKS }
    }
}

/// The progress of the tasks of a piece.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PieceProgress {
    /// The index of the first task. It is a multiple of 8.
    pub first: u32,
    /// A bitmap of the tasks that are done, starting with the first one.
    pub done: Vec<u8>,
    /// The tasks that are assigned to a worker, have failed or have saved a checkpoint.
    pub tasks: Vec<TaskProgress>,
}

impl PieceProgress {
    /// The progress of the step as far as the piece tells it.
    pub fn to_step(&self, key: PieceKey) -> StepProgress {
        const BITS_PER_BYTE: u32 = 8;
        let mut done = vec![0; (self.first / BITS_PER_BYTE) as usize];
        done.extend_from_slice(&self.done);
        StepProgress { step_index: (key.repetition, key.step), done, tasks: self.tasks.clone() }
    }

    /// Whether there is nothing to record.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty() && self.done.iter().all(|byte| *byte == 0)
    }
}

/// The records of a piece that has changed; `None` for those without content.
#[derive(Debug)]
pub struct PieceRecords {
    /// The piece.
    pub key: PieceKey,
    /// The progress of its tasks.
    pub progress: Option<PieceProgress>,
    /// The crashes of workers that ran its tasks.
    pub crashes: Option<Vec<TaskCrashes>>,
}

impl Job {
    /// Whether the store may have records of the job that an ended job does not need.
    pub fn has_records(&self) -> bool {
        self.has_progress || self.has_crashes || self.has_finished || !self.stored_pieces.is_empty()
    }

    /// The records of the pieces that have changed since the last call, and of those that are stored
    /// and belong to a repetition that is not open any more.
    pub fn take_changed_pieces(&mut self) -> Vec<PieceRecords> {
        let mut changed = Vec::new();
        for (repetition, state) in &mut self.open {
            for (index, step) in state.steps.iter_mut().enumerate() {
                for number in std::mem::take(&mut step.changed) {
                    let key = PieceKey { repetition: *repetition, step: index as u16, number };
                    let progress = step.piece_progress(number);
                    let crashes = step.piece_crashes(key);
                    let progress = Some(progress).filter(|progress| !progress.is_empty());
                    let crashes = Some(crashes).filter(|crashes| !crashes.is_empty());
                    changed.push(PieceRecords { key, progress, crashes });
                }
            }
        }
        let is_closed = |key: &&PieceKey| !self.open.contains_key(&key.repetition);
        let closed = self.stored_pieces.keys().filter(is_closed);
        changed.extend(closed.map(|key| PieceRecords { key: *key, progress: None, crashes: None }));
        changed
    }
}

/// Divides the unassigned runs of a job into pieces.
pub fn split_unassigned(runs: &[UnassignedRun]) -> BTreeMap<PieceKey, Vec<UnassignedRun>> {
    let mut pieces: BTreeMap<PieceKey, Vec<UnassignedRun>> = BTreeMap::new();
    for run in runs {
        pieces.entry(PieceKey::of_run(run)).or_default().push(run.clone());
    }
    pieces
}
