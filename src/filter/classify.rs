//! The filter that looks up the table row of a request's kind of work and sets the deadline.

use crate::clock::Millis;
use crate::entry::Entry;
use crate::filter::{ClassifiedRequest, InboundRequest, not_run};
use crate::table::WorkClass;
use crate::trace::EventKind;
use crate::wire::msg::{Reason, RequestError};

/// The `Retry-After` delay while no table is in force.
const NO_TABLE_RETRY: Millis = Millis(1_000);

/// Looks up the row and computes the deadline: the caller's wait time, limited by the row's
/// deadline.
///
/// # Errors
/// If no table is in force, the kind of work is unknown, or it belongs to another team.
pub fn apply(entry: &Entry, request: InboundRequest) -> Result<ClassifiedRequest, RequestError> {
    let table = entry.table();
    if table.rows.is_empty() {
        return Err(not_run(Reason::NoTable, Some(NO_TABLE_RETRY)));
    }
    let row = table.rows.get(&request.kind).filter(|row| row.class == WorkClass::Request);
    let row = row.ok_or_else(|| not_run(Reason::UnknownKind, None))?.clone();
    if request.team.as_ref().is_some_and(|team| *team != row.team) {
        return Err(not_run(Reason::WrongTeam, None));
    }
    let max_wait = request.max_wait.map_or(row.deadline, |wait| wait.min(row.deadline));
    let deadline = request.received + max_wait;
    let classified = ClassifiedRequest { request, row, deadline };
    entry.trace.record(EventKind::RequestReceived {
        request: classified.request.id.clone(),
        kind: classified.request.kind.clone(),
        repeat: classified.repeatable(),
    });
    Ok(classified)
}
