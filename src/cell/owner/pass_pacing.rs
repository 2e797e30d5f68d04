//! The time between two scheduling passes.
//!
//! The load that this answers: thousands of steps wait, as after a takeover or while all workers are
//! full. A pass looks at each of them, and every report, answer and submission asks for a pass. If
//! each got one, the passes would take all of the processor, and the reports that free room would
//! wait for it.

use crate::clock::Millis;

/// The least time between two passes, as a multiple of the time that the last one took: passes take
/// a quarter of the processor at the most.
const PAUSE_FACTOR: u64 = 3;
/// The longest pause, which a caller of the most urgent jobs hardly notices.
const MAX_PAUSE: Millis = Millis(60);

/// Spaces the scheduling passes by what they take.
#[derive(Debug, Default)]
pub struct PassPacing {
    next_pass: Millis,
}

impl PassPacing {
    /// Records a pass. Passes that take less than a millisecond need no pause.
    pub fn record_pass(&mut self, started: Millis, ended: Millis) {
        let pause = Millis(ended.since(started).0 * PAUSE_FACTOR);
        self.next_pass = ended + pause.min(MAX_PAUSE);
    }

    /// How long the next pass has to wait.
    pub fn pause(&self, now: Millis) -> Millis {
        self.next_pass - now
    }
}
