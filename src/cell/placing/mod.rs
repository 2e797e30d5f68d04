//! Which task starts next, and where.
//!
//! `schedule` goes through the steps that wait, `place` picks workers; `preempt` stops less urgent tasks, `reserve` keeps
//! room, `gather` collects it for gangs; `settled` leaves out workers that have just started, for tasks that may have crashed
//! others; `pressure` says what a step need not mind after a long wait; `usage` bounds what a workspace has running, `share`
//! finds what it sends beyond its share.

pub(super) mod candidate;
pub(super) mod fair_share;
pub(super) mod gang;
pub(super) mod preempt;
pub(super) mod relaxation;
pub(super) mod reservation;
pub(super) mod schedule;
pub(super) mod stability;
pub(super) mod usage;
