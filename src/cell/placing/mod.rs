//! Placement: decides which waiting task starts next, and on which worker.
//!
//! - `schedule` places the tasks of waiting steps in order of urgency and sends the start orders.
//! - `round` divides the look at all waiting steps into passes of a limited length.
//! - `objectives` tells whether the lateness of jobs can be compared.
//! - `rank` orders the waiting steps.
//! - `lateness` ranks jobs that cannot be on time any more behind the others.
//! - `candidate` selects a worker among those with enough free resources.
//! - `given_up` gives up starts that were decided and not sent.
//! - `preempt` stops less urgent tasks to free resources; `account` decides whether that is worth it, `victims` collects
//!   the figures for it, and `stops` limits the stops.
//! - `reservation` stores reservations of resources; `gang` makes them for gangs.
//! - `stability` keeps tasks that may have crashed workers off recently started workers.
//! - `relaxation` decides which placement restrictions a step that has waited for long may ignore.
//! - `unsuitable` notes requests that suit no worker.
//! - `usage` limits the resources that a workspace has in use.
//! - `fair_share` detects jobs submitted in excess of a workspace's share.

pub(super) mod account;
pub(super) mod candidate;
pub(super) mod fair_share;
pub(super) mod gang;
mod given_up;
pub mod lateness;
pub mod objectives;
pub(super) mod preempt;
pub mod rank;
pub(super) mod relaxation;
pub(super) mod reservation;
pub(super) mod round;
pub(super) mod schedule;
pub(super) mod stability;
pub mod stops;
pub(super) mod unsuitable;
pub(super) mod usage;
pub(super) mod victims;
