//! Simulators of the systems that the scheduler calls, for tests and trial runs.
//!
//! Those in `platform`, `runner` and `worker` are HTTP servers with faults that can be set at
//! runtime and a timeline of what happened. `site` simulates the platform of the users' own
//! protocol within one process, and `process` starts entries.

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

/// Returns the events of a simulator's timeline from a position on.
#[handler]
pub fn serve_timeline(
    trace: Data<&Arc<Trace>>,
    request: Json<TimelineRequest>,
) -> Json<Vec<Event>> {
    Json(trace.events_after(request.since, request.max))
}
