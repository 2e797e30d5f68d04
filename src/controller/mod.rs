//! The decisions, as plain state machines: no socket, no clock, no task inside.
//!
//! Each takes the time and an event and returns what has to be done; the entry's shell does it.

pub mod claims;
pub mod gossip;
pub mod health;
pub mod in_flight;
pub mod list;
pub mod log_state;
pub mod place;
pub mod queue;
pub mod quota;
pub mod recover;
pub mod replica;
pub mod retry;
pub mod shard;
pub mod shard_ranking;
pub mod shard_state;
pub mod slots;
pub mod table;
