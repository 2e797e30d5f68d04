//! What tests of the decisions of one owner have in common: its passes, its workers, its settings.

#![allow(dead_code, reason = "no test uses all of these helpers")]

#[path = "../rows/mod.rs"]
pub mod rows;
pub mod series;

use sprucerudder::cell::mechanism::DisabledMechanisms;
use sprucerudder::cell::{Cell, CellConfig};
use sprucerudder::clock::Millis;
use sprucerudder::order::WorkerInfo;
use sprucerudder::workload::{Queue, Resources};
use std::sync::Arc;

/// The settings of a cell in which these mechanisms are disabled.
pub fn config(disabled: DisabledMechanisms) -> CellConfig {
    CellConfig {
        lease: Millis(6_000),
        max_lease: Millis(10_000),
        job_retention: Millis(100_000),
        disabled,
        memory: None,
    }
}

/// A queue whose tasks may start twice.
pub fn queue() -> Arc<Queue> {
    Arc::new(Queue {
        name: "q".into(),
        service: "s".into(),
        priority: 0,
        max_attempts: 2,
        stretch: 1_500,
        target: Millis(250),
        advice: None,
    })
}

/// A worker in the list.
pub fn listed_worker(index: usize, domain: &str, capacity: Resources) -> WorkerInfo {
    let id = format!("w{index}");
    WorkerInfo {
        id: id.as_str().into(),
        started_at: None,
        service: "s".into(),
        addr: id.as_str().into(),
        domain: domain.into(),
        capacity,
        labels: Vec::new(),
        leaves_in: None,
    }
}

/// Stores all records that the owner has collected.
pub fn store_batches(cell: &mut Cell, now: Millis) {
    while let Some(batch) = cell.take_batch(now) {
        cell.mark_stored(now, batch.number);
    }
}

/// Runs the periodic work of the owner and a scheduling pass, and stores their records.
pub fn run_pass(cell: &mut Cell, now: Millis) {
    cell.tick(now, now);
    cell.schedule(now);
    store_batches(cell, now);
}
