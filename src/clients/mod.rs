//! Limits on what the clients of an entry hold together.
//!
//! Clients may open as many connections as they like. When these run out, those clients give way that
//! the entry waits for.
//!
//! - `limits`: the shares of the process's memory and descriptors.
//! - `table`: the open connections, and which of them gives way.

pub mod limits;
pub mod table;
