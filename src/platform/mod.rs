//! Everything that speaks to systems that are not ours: names, formats and calls.

pub mod advice;
pub mod api;
pub mod config;
pub mod front;
pub mod http;
pub mod settings;
pub mod store;
pub mod submit;
pub mod worker;
