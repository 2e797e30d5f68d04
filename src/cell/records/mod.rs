//! Persistence of an owner's state: the records in the store (`journal`) and how they are batched
//! (`batch`).

pub(super) mod batch;
pub mod journal;
