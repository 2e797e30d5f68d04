//! Requests to the platform's advice service, which decides on which workers a step may run.
//!
//! `clearances` keeps the answers of a step, `request` creates requests and applies their answers, `queue` assigns them to entries,
//! `waiting` orders the steps that wait for one,
//! `expected_use` spreads them over the workers, `short_load` keeps entries free for short ones,
//! `ahead` creates requests for tasks that are about to need a worker, `late_answer` decides on
//! answers that an entry held back, and `load` tells how busy the entries are.

mod ahead;
pub mod clearances;
pub mod expected_use;
mod late_answer;
pub mod load;
pub mod queue;
pub(super) mod request;
pub mod short_load;
mod waiting;
