//! Persistence of an owner's state: the records in the store (`journal`), how they are batched
//! (`batch`), how large ones are split (`parts`), the records of jobs with many tasks (`pieces`), and runs that the progress of a job does not name
//! (`unassigned`).

pub(super) mod batch;
pub mod journal;
pub mod parts;
pub mod pieces;
mod unassigned;
