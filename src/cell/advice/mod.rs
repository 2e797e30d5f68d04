//! Requests to the platform's advice service, which decides on which workers a step may run.
//!
//! `request` creates requests and applies their answers, and `queue` assigns them to entries.

pub mod queue;
pub(super) mod request;
