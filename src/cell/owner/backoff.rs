//! How long an entry waits before it repeats a call that the store or the advice service failed.
//!
//! The load that this answers: the store refuses calls beyond its rate, and hundreds of entries
//! repeat theirs. With a fixed delay their calls alone would exceed the rate for good, and what an
//! owner needs for a takeover, dozens of calls in a row, would never succeed.

use crate::clock::Millis;

/// The delay after the first failure: 25 times the usual time of an answer.
const MIN_DELAY: Millis = Millis(100);
/// The longest delay of an entry that knows no other one.
const MAX_ALONE_DELAY: Millis = Millis(400);
/// The longest delay for each entry of the fleet, so that the repeated calls of all together stay at
/// a thousand a second for each kind of call.
const DELAY_PER_ENTRY: Millis = Millis(1);
/// The most that delays differ from each other, as a divisor of the delay.
const SPREAD_DIVISOR: u64 = 4;

/// The failures in a row of one kind of call.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Records that a call succeeded.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Records a failure and returns the delay before the next call. `entries` is the number of
    /// entries that are known, or 0; `seed` differs from entry to entry.
    pub fn next_delay(&mut self, entries: u32, seed: u64) -> Millis {
        let most = match entries {
            0 => MAX_ALONE_DELAY,
            entries => Millis(DELAY_PER_ENTRY.0 * u64::from(entries)).max(MIN_DELAY),
        };
        let doubled = Millis(MIN_DELAY.0 << self.failures.min(6)).min(most);
        self.failures += 1;
        let spread = doubled.0 / SPREAD_DIVISOR;
        let offset = seed.wrapping_mul(u64::from(self.failures)) % (spread + 1);
        doubled + Millis(offset)
    }
}
