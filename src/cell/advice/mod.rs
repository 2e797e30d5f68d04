//! Requests to the platform's advice service, which decides on which workers a step may run.
//!
//! `request` creates requests and applies their answers, `queue` assigns them to entries, and
//! `late_answer` decides on answers that an entry held back.

mod late_answer;
pub mod queue;
pub(super) mod request;
