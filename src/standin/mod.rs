//! Small stand-ins for the systems that are not ours, for trial runs and tests.
//!
//! Each is an HTTP server with settable faults and a time line of what truly happened.

pub mod platform;
pub mod process;
pub mod runner;
pub mod site;
pub mod worker;

use crate::server::TimelineRequest;
use crate::trace::{Event, Trace};
use poem::handler;
use poem::web::{Data, Json};
use std::sync::Arc;

/// Gives out the time line.
#[handler]
pub fn serve_timeline(trace: Data<&Arc<Trace>>, ask: Json<TimelineRequest>) -> Json<Vec<Event>> {
    Json(trace.events_after(ask.since, ask.max))
}
