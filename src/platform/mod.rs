//! Clients, formats and wire names of the platform's systems: its store, its workers, its advice service and its
//! callers.

pub mod advice;
pub mod api;
pub mod config;
pub mod connector;
pub mod front;
pub mod http;
pub mod settings;
pub mod store;
pub mod submit;
pub mod worker;
