//! Admission of new jobs at an owner whose processor does not keep up.
//!
//! The load that this answers: callers submit more tasks than the owner can start, for the seconds
//! of a burst or for good, or a takeover brings a backlog that keeps the owner busy for long. If an
//! owner refused every job until it is on time again, the accepted load would alternate between all
//! and nothing, and a backlog would keep out all new callers until it is done. So the owner accepts
//! a rate of tasks instead, which falls while its ticks are late and rises while they are on time.
//! What goes beyond the rate is refused at once, the least urgent jobs first. The rate is taken
//! from the starts of the owner, as it may accept many times what it can start.

use crate::clock::Millis;

/// The lateness of a tick from which the rate falls, as for the average lateness of an overload.
const LATE_TICK: Millis = Millis(12);
/// The factor on the rate for each late tick. It is close to 1, because a tick can be late for the
/// work of a moment.
const DECREASE_FACTOR: f64 = 0.97;
/// The share of the highest rate of starts that each tick on time adds to the rate.
const INCREASE_SHARE: f64 = 0.06;
/// The least rate, as a share of the highest rate of starts. The lateness may come from a backlog
/// that was accepted before, which refusals do not make smaller.
const MIN_RATE_SHARE: f64 = 0.3;
/// The rate is not limited any more once it exceeds the highest rate of starts by this factor.
const UNLIMITED_FACTOR: f64 = 1.5;
/// The least highest rate of starts a second, for an owner that has started hardly any yet.
const MIN_PEAK_RATE: f64 = 100.0;
/// The time whose tasks may be accepted together.
const BURST_SECONDS: f64 = 0.5;
/// The weight of a tick in the average rate of starts, which covers one second.
const RATE_WEIGHT: f64 = 0.1;
/// The factor on the highest rate of starts for each tick: it halves in a minute, so that it follows
/// a processor that gets slower for good.
const PEAK_DECAY: f64 = 0.998_8;
/// The share of a burst that is kept for more urgent jobs, for each step of priority.
const RESERVE_SHARE: f64 = 0.25;
/// The largest share of a burst that is kept for more urgent jobs.
const MAX_RESERVE_SHARE: f64 = 0.5;

/// Limits the rate at which an owner accepts tasks.
#[derive(Debug)]
pub struct Admission {
    /// The accepted tasks a second; `None` while the rate is not limited.
    limit: Option<f64>,
    /// The tasks that may be accepted now. Negative after a job with more tasks than that.
    tokens: f64,
    /// The starts that the owner has decided on by the last tick.
    starts: u64,
    /// The average of the starts a second.
    rate: f64,
    /// The highest average, which decays.
    peak_rate: f64,
    last_tick: Millis,
    /// The last tick was late.
    was_late: bool,
}

impl Admission {
    /// Creates the state of an owner that takes the cell over at `now` and accepts every job.
    pub fn new(now: Millis) -> Self {
        let (limit, peak_rate) = (None, MIN_PEAK_RATE);
        let (last_tick, was_late) = (now, false);
        Self { limit, tokens: 0.0, starts: 0, rate: 0.0, peak_rate, last_tick, was_late }
    }

    /// Adapts the rate to a tick that came `late`, when the owner has decided on `starts` starts in
    /// all. An owner that is overloaded begins to limit the rate.
    pub fn record_tick(&mut self, now: Millis, late: Millis, is_overloaded: bool, starts: u64) {
        let seconds = now.since(self.last_tick).0.max(1) as f64 / 1_000.0;
        let started = starts.saturating_sub(self.starts) as f64 / seconds;
        (self.last_tick, self.starts) = (now, starts);
        self.rate += (started - self.rate) * RATE_WEIGHT;
        self.peak_rate = (self.peak_rate * PEAK_DECAY).max(self.rate).max(MIN_PEAK_RATE);
        // One late tick may be a pause of the process. With a load far too high the ticks are so late
        // that the average tells of it only seconds later.
        let is_late = late >= LATE_TICK;
        let begins = is_overloaded || (is_late && self.was_late);
        self.was_late = is_late;
        let least = self.peak_rate * MIN_RATE_SHARE;
        self.limit = match self.limit {
            None if begins => Some(self.rate.max(least)),
            None => None,
            Some(limit) if is_late => Some((limit * DECREASE_FACTOR).max(least)),
            Some(limit) => {
                let limit = limit + self.peak_rate * INCREASE_SHARE;
                (limit < self.peak_rate * UNLIMITED_FACTOR).then_some(limit)
            }
        };
        self.tokens = match self.limit {
            Some(limit) => (self.tokens + limit * seconds).min(limit * BURST_SECONDS),
            None => 0.0,
        };
    }

    /// Whether to accept a job with this many tasks. More urgent jobs, which have lower priority
    /// values, may use all that the rate allows, others leave a reserve for them.
    pub fn admit(&mut self, tasks: u32, priority: u32) -> bool {
        if let Some(limit) = self.limit {
            let reserve = (RESERVE_SHARE * f64::from(priority)).min(MAX_RESERVE_SHARE);
            if self.tokens <= reserve * limit * BURST_SECONDS {
                return false;
            }
            self.tokens -= f64::from(tasks);
        }
        true
    }

    /// The accepted tasks a second; `None` while the rate is not limited.
    pub fn limit(&self) -> Option<f64> {
        self.limit
    }
}
