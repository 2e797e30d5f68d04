//! Communication between entries: typed messages over QUIC with mutual TLS.

pub mod keys;
pub mod msg;
pub mod quic;
