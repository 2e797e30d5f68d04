//! The workers of a cell: which are listed, what they report, and the outcomes of orders to them.
//!
//! - `connection_limit`: how many connections an owner opens to a worker.
//! - `leases`: the record of leases, from which later owners know when runs have ended.
//! - `worker`: the state of one worker.
//! - `roster`: the set of workers, and workers that become unreachable, leave or are gone.
//! - `report`: handling of the reports of workers.
//! - `drain`: failure domains in which no task is started.
//! - `orders`: handling of the outcomes of start and stop orders.
//! - `restart`: workers whose process was restarted with the same id.
//! - `run`: a run of a task on a worker.
//! - `run_times`: statistics of how long tasks take compared with their estimates.
//! - `shared_list`: the list of all workers, which one owner reads for the others.
//! - `speed`: how fast each worker is compared with the others.

pub mod connection_limit;
pub(super) mod drain;
pub(super) mod leases;
pub(super) mod orders;
pub(super) mod report;
pub(super) mod restart;
pub mod roster;
pub mod run;
pub mod run_times;
pub mod shared_list;
pub mod speed;
pub mod worker;
