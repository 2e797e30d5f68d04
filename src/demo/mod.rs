//! A demo: a whole small cell in one process, with a simulated platform, entries, callers and jobs
//! of two users.

mod cell;
mod load;
mod report;

use crate::check;
use crate::clock::Millis;
use anyhow::Result;
use cell::Cell;
use std::sync::Arc;

/// Runs the demo for `length` and prints its report.
///
/// # Errors
/// If the cell cannot be started or a guarantee of the scheduler was violated.
pub async fn run(length: Millis) -> Result<()> {
    let cell = Arc::new(Cell::start().await?);
    println!("cell up: 2 failure domains, 4 entries, 8 workers, 4 runners, 1 platform");
    let before = report::ControlCost::now(&cell);
    load::run(cell.clone(), length).await?;
    let after = report::ControlCost::now(&cell);
    let events = cell.events();
    report::print(&events, &before, &after);
    let violations = check::find_violations(&events);
    violations.iter().for_each(|violation| println!("{violation}"));
    println!("guarantees: events={} broken={}", events.len(), violations.len());
    cell.stop().await;
    match violations.is_empty() {
        true => Ok(()),
        false => {
            Err(crate::cmd::RefusedError("a guarantee of the scheduler was violated".into()).into())
        }
    }
}
