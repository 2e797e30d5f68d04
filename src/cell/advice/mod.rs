//! Requests to the platform's advice service, which decides on which workers a step may run.
//!
//! `request` creates requests and applies their answers, `budget` selects workers whose tickets can
//! be used, `cleared_share` learns how many of them are cleared, `queue` assigns requests to entries,
//! `expected_use` spreads them over the workers, `short_load` keeps entries free for short ones,
//! `late_answer` decides on answers that an entry held back, and `load` tells how busy the entries
//! are, and `service_time` what the service's time was spent on.

mod budget;
pub mod cleared_share;
pub mod expected_use;
mod late_answer;
pub mod load;
pub mod queue;
pub(super) mod request;
pub mod service_time;
pub mod short_load;
