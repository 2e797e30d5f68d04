//! Jobs from their acceptance to their end, and why their steps wait.
//!
//! `job` is what is known of one, `life` what happens to it and its runs; `crash` counts crashes of workers
//! under tasks, `stage` what these mean for the next start; `wait` says why a step waits, `why` names the
//! reasons.

pub mod crash;
pub mod job;
pub mod lifecycle;
pub mod restart_policy;
pub mod wait;
pub mod wait_reason;
