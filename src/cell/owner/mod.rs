//! Ownership of cells, and the decisions of an owner that are not about single tasks.
//!
//! - `election` and `authority`: which entry owns a cell, and whether it may send orders.
//! - `claimants`: the entries that may claim a cell as soon as its owner is silent.
//! - `claim_record`: the encoding of the records of the election.
//! - `hand_over`: whether an owner gives up its cell, and to which entry.
//! - `history`: what owners told later ones in the log.
//! - `log_reports`: whether an earlier owner may have started runs without a record.
//! - `connections`: the open connections of the other entries.
//! - `contact`: what an attempt to connect to an owner shows.
//! - `cell_map`: the cell of each worker and job.
//! - `map_writer`: which entry counts the workers and writes that map.
//! - `backoff`: the delay before a failed call to the store is repeated.
//! - `balance` and `forward`: forwarding of jobs from a full cell to another one.
//! - `leader`: the records of the election, and the owner that they name.
//! - `lag`: detection of an overloaded owner.
//! - `admission`: the rate of jobs that an overloaded owner accepts.
//! - `pass_pacing`: the time between two scheduling passes.
//! - `retry`: when callers of refused jobs should retry.
//! - `access`: authorization of callers.

pub mod access;
pub mod admission;
pub mod authority;
pub mod backoff;
pub mod balance;
pub mod cell_map;
pub mod claim_record;
pub mod claimants;
pub mod connections;
pub mod contact;
pub mod election;
pub(super) mod forward;
pub mod hand_over;
pub mod history;
pub mod lag;
pub mod leader;
pub mod log_reports;
pub mod map_writer;
pub mod pass_pacing;
pub mod retry;
