//! The decisions of the scheduler, as state machines without sockets, clocks or async tasks.
//!
//! Each takes the present time and an event and returns actions, which the entry carries out.

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
