//! A cluster scheduler for mixed workloads, configured by one table.

pub mod cell;
pub mod check;
pub mod clients;
pub mod clock;
pub mod cmd;
pub mod controller;
pub mod demo;
pub mod entry;
pub mod filter;
pub mod id;
pub mod job;
pub mod logs;
pub mod node;
pub mod order;
pub mod platform;
pub mod record;
pub mod registry;
pub mod server;
pub mod settings;
pub mod size;
pub mod standin;
pub mod table;
pub mod trace;
pub mod wire;
pub mod workload;
pub mod workspace;
