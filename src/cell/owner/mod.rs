//! Who owns which cell, and what an owner takes on.
//!
//! `election` and `authority` say who owns a cell and may give orders, `witness` what a new owner may believe of the time
//! before, `map` which cell a worker or a job
//! belongs to, `balance` and `forward` where a job of a full cell runs, `lag` what an owner does that does not
//! keep up, `admission` when refused callers come back, `access` who may call.

pub mod access;
pub mod authority;
pub mod balance;
pub mod cell_map;
pub mod election;
pub(super) mod forward;
pub mod lag;
pub mod log_reports;
pub mod retry;
