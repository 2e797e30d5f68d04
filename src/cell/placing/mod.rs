//! Which task starts next, and where.
//!
//! `schedule` goes through the steps that wait, `place` picks workers; `preempt` stops less urgent tasks,
//! `settled` leaves out workers that have just started for tasks that may crash them, `reserve` keeps room,
//! `gather` collects it for gangs; `usage` bounds what a
//! workspace has running, `share` finds what it sends beyond its share.

pub(super) mod gather;
pub(super) mod place;
pub(super) mod preempt;
pub(super) mod reserve;
pub(super) mod schedule;
pub(super) mod settled;
pub(super) mod share;
pub(super) mod usage;
