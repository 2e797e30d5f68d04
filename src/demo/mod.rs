//! A whole small cell in one process: stand-ins, entries, callers and jobs of both users.

mod cell;
mod load;
mod report;

use crate::check;
use crate::clock::Millis;
use anyhow::Result;
use cell::Cell;
use std::sync::Arc;

/// Runs the demo and prints its report.
///
/// # Errors
/// If the cell cannot be set up or a promise was broken.
pub async fn run(length: Millis) -> Result<()> {
    let cell = Arc::new(Cell::start().await?);
    println!("cell up: 2 failure domains, 4 entries, 8 workers, 4 runners, 1 platform");
    let before = report::ControlCost::now(&cell);
    load::run(cell.clone(), length).await?;
    let after = report::ControlCost::now(&cell);
    let events = cell.events();
    report::print(&events, &before, &after);
    let broken = check::find_violations(&events);
    broken.iter().for_each(|broken| println!("{broken}"));
    println!("promises: events={} broken={}", events.len(), broken.len());
    cell.stop().await;
    match broken.is_empty() {
        true => Ok(()),
        false => Err(crate::cmd::RefusedError("a promise was broken".into()).into()),
    }
}
