//! The row of a request's kind, and when its answer is due.

use crate::clock::Millis;
use crate::entry::Entry;
use crate::filter::{Classified, Exchange, not_run};
use crate::table::WorkClass;
use crate::trace::EventKind;
use crate::wire::msg::{Reason, Refused};

/// Callers come again after this long when no table is in force yet.
const NO_TABLE_RETRY: Millis = Millis(1_000);

/// Finds the row.
///
/// # Errors
/// If there is no table, no such kind, or the row belongs to another team.
pub fn apply(entry: &Entry, exchange: Exchange) -> Result<Classified, Refused> {
    let table = entry.table();
    if table.rows.is_empty() {
        return Err(not_run(Reason::NoTable, Some(NO_TABLE_RETRY)));
    }
    let row = table.rows.get(&exchange.kind).filter(|row| row.class == WorkClass::Request);
    let row = row.ok_or_else(|| not_run(Reason::UnknownKind, None))?.clone();
    if exchange.team.as_ref().is_some_and(|team| *team != row.team) {
        return Err(not_run(Reason::WrongTeam, None));
    }
    let wait = exchange.wait.map_or(row.deadline, |wait| wait.min(row.deadline));
    let due = exchange.came + wait;
    let classified = Classified { exchange, row, due };
    entry.trace.record(EventKind::RequestIn {
        request: classified.exchange.id.clone(),
        kind: classified.exchange.kind.clone(),
        repeat: classified.repeatable(),
    });
    Ok(classified)
}
