//! Starts on their way from one entry to the workers of a shard, by the epoch they were sent in.

use crate::clock::Millis;
use crate::controller::shard::office::MAX_FLIGHT;
use std::collections::BTreeMap;

/// The starts of one epoch.
#[derive(Debug, Clone, Copy, Default)]
struct Starts {
    /// Not answered and not given up.
    open: usize,
    /// When the last one was answered or given up: a copy of it may arrive for a while.
    last: Millis,
}

/// Starts that may still arrive.
#[derive(Debug, Default)]
pub struct Flights {
    epochs: BTreeMap<u64, Starts>,
}

impl Flights {
    /// `count` starts are about to be sent.
    pub fn begin(&mut self, epoch: u64, count: usize) {
        if count > 0 {
            self.epochs.entry(epoch).or_default().open += count;
        }
    }

    /// A start was answered or given up.
    pub fn end(&mut self, now: Millis, epoch: u64) {
        let starts = self.epochs.entry(epoch).or_default();
        starts.open = starts.open.saturating_sub(1);
        starts.last = now;
    }

    /// Whether a start sent before `epoch` may still arrive at a worker.
    pub fn any_before(&mut self, now: Millis, epoch: u64) -> bool {
        self.epochs.retain(|_, starts| starts.open > 0 || now.since(starts.last) < MAX_FLIGHT);
        self.epochs.range(..epoch).next().is_some()
    }
}
