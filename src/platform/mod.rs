//! Clients of the systems that are not ours: log, VM list, workers and runners.

pub mod api;
pub mod http;
