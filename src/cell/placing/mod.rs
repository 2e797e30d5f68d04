//! Which task starts next, and where.
//!
//! `schedule` goes through the steps that wait, `place` picks workers; `preempt` stops less urgent tasks, `reserve` keeps
//! room, `gather` collects it for gangs; `settled` leaves out workers that have just started, for tasks that may have crashed
//! others; `pressure` says what a step need not mind after a long wait; `usage` bounds what a workspace has running, `share`
//! finds what it sends beyond its share.

pub(super) mod gather;
pub(super) mod place;
pub(super) mod preempt;
pub(super) mod pressure;
pub(super) mod reserve;
pub(super) mod schedule;
pub(super) mod settled;
pub(super) mod share;
pub(super) mod usage;
