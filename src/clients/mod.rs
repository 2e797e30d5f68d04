//! Limits on what the clients of an entry hold together: its memory, and its descriptors.
//!
//! Clients may send as much as they like as slowly as they like, on as many connections. Each
//! connection has a fixed share of the memory, which a small request fits into. What a client holds
//! beyond that counts toward a common budget. When connections or memory run out, clients that the
//! entry waits for are evicted.
//!
//! - `limits`: the shares of the process's memory and descriptors.
//! - `arrival`: how fast a body arrives.
//! - `table`: the open connections, and which of them is evicted.

pub mod arrival;
pub mod limits;
pub mod table;
