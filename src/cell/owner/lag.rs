//! Detects whether an owner is overloaded, by how late its periodic ticks are.

use crate::clock::Millis;

/// The weight of a new tick in the moving average, which covers about one second at ten ticks a
/// second.
const TICK_WEIGHT: f64 = 0.1;
/// The average lateness in milliseconds from which another entry should own the cell, because work
/// waits for the processor. On a VM that keeps up, ticks are less than 1 ms late.
const HANDOVER_LATENESS_MS: f64 = 8.0;
/// The most that one tick counts, because a process that was paused for seconds keeps up again
/// afterwards.
const MAX_TICK_LATENESS: Millis = Millis(30);
/// The shortest time for which an owner keeps the cell. A takeover costs the next owner work, and
/// the cell must not circulate where all entries are too slow.
const MIN_TENURE: Millis = Millis(6_000);
/// The average lateness in milliseconds from which the owner is overloaded: more work arrives than
/// the processor can do, and accepted jobs have to progress. A single pause of any length raises the
/// average by 3 ms.
const SHED_LATENESS_MS: f64 = 12.0;
/// The average lateness in milliseconds below which the owner is not overloaded any more. It is well
/// below [`SHED_LATENESS_MS`], so that a slight overload does not end and begin with each tick.
const ACCEPT_LATENESS_MS: f64 = 4.0;
/// How long an entry does not claim a cell that it gave up because of overload.
pub const CLAIM_BACKOFF: Millis = Millis(8_000);

/// The timeouts of an owner that keeps up. They are a hundred times the latency between failure
/// domains.
const DEFAULT_TIMEOUTS: Timeouts =
    Timeouts { report: Millis(250), order: Millis(300), interval: Millis(0) };
/// The timeouts of an overloaded owner. It has answers that it has not read yet, and every call
/// that times out costs another connection. With a longer interval, ends of runs are reported
/// together. An owner that is late only for a moment keeps [`DEFAULT_TIMEOUTS`], which detect a
/// lost worker sooner.
const OVERLOADED_TIMEOUTS: Timeouts =
    Timeouts { report: Millis(1_500), order: Millis(1_000), interval: Millis(200) };

/// How long an owner waits in its communication with workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// The timeout of a report, in addition to the time for which the worker may delay it.
    pub report: Millis,
    /// The timeout of an order. If its answer is lost, the state of the task and its room on the
    /// worker are unknown for that long.
    pub order: Millis,
    /// The pause between two reports.
    pub interval: Millis,
}

/// A moving average of how late the ticks of an owner are.
#[derive(Debug)]
pub struct TickLag {
    started: Millis,
    last_tick: Millis,
    last_lateness: Millis,
    average_ms: f64,
    is_shedding: bool,
}

impl TickLag {
    /// Creates the state of an owner that takes the cell over at `now`.
    pub fn new(now: Millis) -> Self {
        Self {
            started: now,
            last_tick: now,
            last_lateness: Millis(0),
            average_ms: 0.0,
            is_shedding: false,
        }
    }

    /// Records a tick that was due `interval` after the last one.
    pub fn record_tick(&mut self, now: Millis, interval: Millis) {
        let late = now.since(self.last_tick + interval).min(MAX_TICK_LATENESS);
        (self.last_tick, self.last_lateness) = (now, late);
        self.average_ms += (late.0 as f64 - self.average_ms) * TICK_WEIGHT;
        self.is_shedding =
            self.average_ms >= if self.is_shedding { ACCEPT_LATENESS_MS } else { SHED_LATENESS_MS };
    }

    /// Whether the owner is overloaded, so that jobs beyond the rate of its admission are refused.
    pub fn is_shedding(&self) -> bool {
        self.is_shedding
    }

    /// How late the last tick was, as far as it counts.
    pub fn last_lateness(&self) -> Millis {
        self.last_lateness
    }

    /// The timeouts to use for workers, which are longer while the owner is overloaded.
    pub fn timeouts(&self) -> Timeouts {
        if self.is_shedding { OVERLOADED_TIMEOUTS } else { DEFAULT_TIMEOUTS }
    }

    /// Whether the owner is late with all that it does, which includes reading pings.
    pub fn is_late(&self) -> bool {
        self.average_ms >= HANDOVER_LATENESS_MS
    }

    /// Whether another entry should own the cell.
    pub fn should_hand_over(&self, now: Millis) -> bool {
        self.is_late() && now.since(self.started) >= MIN_TENURE
    }
}
