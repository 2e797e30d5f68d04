//! Start commands that may still arrive at workers, grouped by a key: their task, or the epoch in
//! which they were sent.

use crate::clock::Millis;
use crate::controller::shard::owner::MAX_MESSAGE_DELAY;
use std::collections::BTreeMap;

/// The starts of one key that may still arrive.
#[derive(Debug, Clone, Copy, Default)]
struct Starts {
    /// Starts that have neither a reply nor a timeout yet; some may not even be sent.
    open: usize,
    /// When the last start got its reply or timed out. The network may deliver a copy of it up to
    /// [`MAX_MESSAGE_DELAY`] later.
    last: Millis,
}

/// The starts that may still arrive, by key.
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
    /// Counts `count` starts that are about to be sent.
    pub fn begin(&mut self, key: K, count: usize) {
        if count > 0 {
            self.starts.entry(key).or_default().open += count;
        }
    }

    /// Records that a start got its reply or timed out.
    pub fn end(&mut self, now: Millis, key: &K) {
        if let Some(starts) = self.starts.get_mut(key) {
            starts.open = starts.open.saturating_sub(1);
            starts.last = now;
        }
    }

    /// Whether a start of this key has neither a reply nor a timeout yet.
    pub fn is_open(&self, key: &K) -> bool {
        self.starts.get(key).is_some_and(|starts| starts.open > 0)
    }

    /// Whether a start of this key may still arrive at a worker.
    pub fn may_arrive(&self, now: Millis, key: &K) -> bool {
        self.starts.get(key).is_some_and(|starts| starts.may_arrive(now))
    }

    /// Whether a start of any smaller key may still arrive at a worker.
    pub fn any_before(&mut self, now: Millis, key: &K) -> bool {
        self.sweep(now);
        self.starts.range(..key).next().is_some()
    }

    /// Drops starts that can no longer arrive.
    pub fn sweep(&mut self, now: Millis) {
        self.starts.retain(|_, starts| starts.may_arrive(now));
    }
}

impl Starts {
    fn may_arrive(&self, now: Millis) -> bool {
        self.open > 0 || now.since(self.last) < MAX_MESSAGE_DELAY
    }
}
