//! Workers and their lives: who is listed, what they report, what became of orders to them.
//!
//! `worker` is one worker, `roster` all of them; `report` takes in reports, `orders` the answers to orders,
//! `restart` a worker that starts again under its id; `run_times` is how long tasks take.

pub(super) mod orders;
pub(super) mod report;
pub(super) mod restart;
pub mod roster;
pub mod run_times;
pub mod worker;
