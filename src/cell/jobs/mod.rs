//! Jobs from acceptance to completion, and why their steps wait.
//!
//! - `job`: the state of one job.
//! - `step`: the state of a step and of its tasks.
//! - `summary`: figures of a whole job, computed once.
//! - `repetition`: the steps of an open repetition.
//! - `repetitions`: opening the repetitions of jobs as they come due.
//! - `repetition_set`: a set of repetitions.
//! - `memory`: the memory that jobs take, and its limit.
//! - `lifecycle`: state changes of jobs and of their runs.
//! - `restore`: jobs that earlier owners wrote to the store.
//! - `crash`: worker crashes, counted for each task that ran on the worker.
//! - `restart_policy`: how a task may be started again after such crashes.
//! - `wait`: why a step waits, with the log lines about it.
//! - `wait_reason`: the possible reasons.

pub mod crash;
pub mod job;
pub mod lifecycle;
pub mod memory;
pub mod repetition;
pub mod repetition_set;
pub mod repetitions;
pub mod restart_policy;
mod restore;
pub mod step;
pub mod summary;
pub mod wait;
pub mod wait_reason;
