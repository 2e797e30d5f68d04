//! Counts the elements that the decisions of an owner visit: tasks, steps, runs, workers, queued
//! requests.
//!
//! An owner makes each decision in one go, and sends no heartbeat meanwhile. The time of a
//! decision on a slow processor follows from the elements that it visits, which are the same on every
//! machine. A
//! scheduling pass ends at a number of them.

use std::cell::Cell;

thread_local! {
    static COUNT: Cell<u64> = const { Cell::new(0) };
}

/// Counts `number` elements.
pub fn add(number: usize) {
    COUNT.set(COUNT.get().wrapping_add(number as u64));
}

/// The number of elements that this thread has visited. A decision runs on one thread, so that the
/// difference of two readings is what it has visited.
pub fn count() -> u64 {
    COUNT.get()
}
