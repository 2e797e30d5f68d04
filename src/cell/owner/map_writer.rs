//! Which entry counts the workers and writes the map of cells, while there is none.
//!
//! The load that this answers: hundreds of entries start at the same moment and share what the store
//! can send. If each of them read the list of workers, which grows with the fleet, no list would be
//! read in time. So an entry announces in the log that it counts, on the condition that the log ends
//! where it was read, and the others wait for the map alone. An announcement is repeated with each
//! count. Once the last one is too old, because the entry is gone, paused, or turned away by the
//! store, another entry takes over.

use crate::clock::Millis;
use crate::id::{Name, hash};

/// An entry that counts is replaced if its last announcement is older than this. It repeats it
/// after each count, and a count of 25,000 workers takes less than a second.
const COUNTER_TIMEOUT: Millis = Millis(3_000);
/// Entries announce themselves up to this far apart, each with a delay of its own, so that only a
/// few try before the first announcement is read by all.
const MAX_DELAY: Millis = Millis(1_000);
/// Time between two counts. The map is written once two counts in a row are alike: workers register
/// within 1.5 s of each other, so the count grows until all are there.
const COUNT_INTERVAL: Millis = Millis(600);
/// Two counts are alike if they differ by at most one in this many: in a large fleet, some workers
/// come and go all the time.
const CHURN_DIVISOR: usize = 200;
/// After this many counts the map is written even if the number of workers still changes.
const MAX_COUNTS: u32 = 8;

/// The next step of an entry without a map.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MapStep {
    /// Wait for a record, until this time at the latest.
    Wait(Millis),
    /// Announce that this entry counts the workers.
    Announce,
    /// Count the workers, and write the map once they are complete.
    Count,
}

/// The state of an entry that has no map of cells yet.
#[derive(Debug)]
pub struct MapWriter {
    name: Name,
    delay: Millis,
    started: Millis,
    /// The entry that counts, by the last announcement, and when that was first read.
    counter: Option<(Name, Millis)>,
    /// The end of the log when that was read.
    end: u64,
    last_count: usize,
    counts: u32,
    next_count: Millis,
}

impl MapWriter {
    /// Creates the state of an entry that begins to look for the map at `now`.
    pub fn new(name: &Name, now: Millis) -> Self {
        Self {
            name: name.clone(),
            delay: Millis(hash(&[name.as_bytes()]) % MAX_DELAY.0),
            started: now,
            counter: None,
            end: 0,
            last_count: 0,
            counts: 0,
            next_count: Millis(0),
        }
    }

    /// Records that the last announcement is that of `entry`, as read at `now` from a log that ends
    /// at `end`. An announcement that was read before does not become newer.
    pub fn record_announcement(&mut self, now: Millis, end: u64, entry: &str) {
        let is_known = self.end == end && self.counter.is_some();
        if !is_known {
            (self.counter, self.end) = (Some((entry.into(), now)), end);
        }
    }

    /// Records a count of the workers. Returns whether they seem complete: the count has not
    /// changed, or the counts are used up.
    pub fn record_count(&mut self, now: Millis, count: usize) -> bool {
        let last_count = std::mem::replace(&mut self.last_count, count);
        let is_unchanged = count.abs_diff(last_count) <= count / CHURN_DIVISOR;
        self.next_count = now + COUNT_INTERVAL;
        if count == 0 {
            return false;
        }
        self.counts += 1;
        is_unchanged || self.counts >= MAX_COUNTS
    }

    /// The step to take at `now`.
    pub fn next_step(&self, now: Millis) -> MapStep {
        let age = |at: Millis| now.since(at);
        match &self.counter {
            Some((entry, at)) if *entry == self.name && age(*at) < COUNTER_TIMEOUT => {
                match now >= self.next_count {
                    true => MapStep::Count,
                    false => MapStep::Wait(self.next_count),
                }
            }
            counter => {
                let free_from =
                    counter.as_ref().map_or(self.started, |(_, at)| *at + COUNTER_TIMEOUT);
                let due = free_from + self.delay;
                if now >= due { MapStep::Announce } else { MapStep::Wait(due) }
            }
        }
    }

    /// The entry that counts, by the last announcement.
    pub fn counter(&self) -> Option<&Name> {
        self.counter.as_ref().map(|(entry, _)| entry)
    }
}
