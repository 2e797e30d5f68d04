//! Starts on their way to workers, counted by a key: the epoch they were sent in, or their task.

use crate::clock::Millis;
use crate::controller::shard::owner::MAX_MESSAGE_DELAY;
use std::collections::BTreeMap;

/// The starts of one key.
#[derive(Debug, Clone, Copy, Default)]
struct Starts {
    /// Not answered and not given up: perhaps not even sent yet.
    open: usize,
    /// When the last one was answered or given up: a copy of it may arrive for a while.
    last: Millis,
}

/// Starts that may still arrive.
#[derive(Debug)]
pub struct InFlightStarts<K> {
    starts: BTreeMap<K, Starts>,
}

impl<K> Default for InFlightStarts<K> {
    fn default() -> Self {
        Self { starts: BTreeMap::new() }
    }
}

impl<K: Ord> InFlightStarts<K> {
    /// `count` starts are about to be sent.
    pub fn begin(&mut self, key: K, count: usize) {
        if count > 0 {
            self.starts.entry(key).or_default().open += count;
        }
    }

    /// A start was answered or given up.
    pub fn end(&mut self, now: Millis, key: &K) {
        if let Some(starts) = self.starts.get_mut(key) {
            starts.open = starts.open.saturating_sub(1);
            starts.last = now;
        }
    }

    /// Whether a start waits for an answer.
    pub fn is_open(&self, key: &K) -> bool {
        self.starts.get(key).is_some_and(|starts| starts.open > 0)
    }

    /// Whether a start may still arrive at a worker.
    pub fn may_arrive(&self, now: Millis, key: &K) -> bool {
        self.starts.get(key).is_some_and(|starts| starts.may_arrive(now))
    }

    /// Whether a start of a key below this one may still arrive at a worker.
    pub fn any_before(&mut self, now: Millis, key: &K) -> bool {
        self.sweep(now);
        self.starts.range(..key).next().is_some()
    }

    /// Forgets starts that cannot arrive any more.
    pub fn sweep(&mut self, now: Millis) {
        self.starts.retain(|_, starts| starts.may_arrive(now));
    }
}

impl Starts {
    fn may_arrive(&self, now: Millis) -> bool {
        self.open > 0 || now.since(self.last) < MAX_MESSAGE_DELAY
    }
}
