//! How many entries the short requests of the last seconds kept busy, so that as many can be kept
//! free of long ones, and none while no short request comes.

use crate::clock::Millis;
use std::collections::VecDeque;

/// How far back requests count.
const WINDOW: Millis = Millis(2_000);
/// Entries that are kept free for each one that short requests kept busy. At half use a request
/// rarely finds all of them busy.
const CLIENTS_PER_BUSY: u64 = 2;

/// The short requests of the last seconds.
#[derive(Debug, Default)]
pub struct ShortLoad {
    /// When each was sent, and its duration.
    recent: VecDeque<(Millis, Millis)>,
    /// The sum of the durations.
    total: Millis,
}

impl ShortLoad {
    /// Records that a request was sent.
    pub fn record(&mut self, now: Millis, cost: Millis) {
        self.recent.push_back((now, cost));
        self.total = self.total + cost;
    }

    /// The number of entries to keep free of long requests.
    pub fn wanted_clients(&mut self, now: Millis) -> usize {
        while let Some((sent, cost)) = self.recent.front().copied()
            && now.since(sent) >= WINDOW
        {
            self.recent.pop_front();
            self.total = self.total - cost;
        }
        (self.total.0 * CLIENTS_PER_BUSY).div_ceil(WINDOW.0) as usize
    }
}
