//! Whether an owner's processor keeps up with its work.

use crate::clock::Millis;

/// The weight of one more tick: the last second counts, at ten ticks a second.
const TICK_WEIGHT: f64 = 0.1;
/// Ticks that are late by so many milliseconds on average show that work waits for the processor: on a VM
/// that keeps up they are late by less than one.
const HANDOVER_LATENESS_MS: f64 = 8.0;
/// One tick counts for this much at the most: a process that was paused for seconds keeps up again.
const MAX_TICK_LATENESS: Millis = Millis(30);
/// An owner does not give the cell up before it had it this long: a takeover costs the next owner
/// work, and where all are too slow the cell must not go round.
const MIN_TENURE: Millis = Millis(6_000);
/// Ticks that are late by so many milliseconds on average show that more comes than the processor can do: new jobs
/// are turned away, so that those that were accepted go on. A single pause of any length gives 3 ms.
const SHED_LATENESS_MS: f64 = 12.0;
/// New jobs are taken again below this: well under [`SHED_LATENESS_MS`], so that a load that is somewhat too much
/// does not switch to and fro with each tick.
const ACCEPT_LATENESS_MS: f64 = 4.0;
/// An entry that gave the cell up for this leaves it to others this long.
pub const CLAIM_BACKOFF: Millis = Millis(8_000);

/// How much longer than the time for which it waits a report may take, and how long an order may: a
/// hundred times the way between failure domains.
const DEFAULT_TIMEOUTS: Timeouts =
    Timeouts { report: Millis(250), order: Millis(300), interval: Millis(0) };
/// The same for an owner that does not keep up: answers lie unread there, and each that is given up for
/// that costs another connection. Ends that come meanwhile are told together. An owner that is merely late for a moment keeps the usual ones,
/// which show sooner that a worker is lost.
const OVERLOADED_TIMEOUTS: Timeouts =
    Timeouts { report: Millis(1_500), order: Millis(1_000), interval: Millis(200) };

/// How long an owner waits for workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// For a report, beyond the time for which the worker holds it back.
    pub report: Millis,
    /// For the answer to an order. The room and the task are in doubt for that long if it is lost.
    pub order: Millis,
    /// Between two reports.
    pub interval: Millis,
}

/// How late the ticks of an owner are.
#[derive(Debug)]
pub struct TickLag {
    started: Millis,
    last_tick: Millis,
    average_ms: f64,
    is_shedding: bool,
}

impl TickLag {
    /// The owner takes the cell over.
    pub fn new(now: Millis) -> Self {
        Self { started: now, last_tick: now, average_ms: 0.0, is_shedding: false }
    }

    /// A tick that was due `every` after the last one comes now.
    pub fn record_tick(&mut self, now: Millis, interval: Millis) {
        let late = now.since(self.last_tick + interval).min(MAX_TICK_LATENESS);
        self.last_tick = now;
        self.average_ms += (late.0 as f64 - self.average_ms) * TICK_WEIGHT;
        self.is_shedding =
            self.average_ms >= if self.is_shedding { ACCEPT_LATENESS_MS } else { SHED_LATENESS_MS };
    }

    /// Whether new jobs have to be turned away.
    pub fn is_shedding(&self) -> bool {
        self.is_shedding
    }

    /// How long to wait for workers: longer while new jobs are turned away.
    pub fn timeouts(&self) -> Timeouts {
        if self.is_shedding { OVERLOADED_TIMEOUTS } else { DEFAULT_TIMEOUTS }
    }

    /// Whether another entry should own the cell.
    pub fn should_hand_over(&self, now: Millis) -> bool {
        self.average_ms >= HANDOVER_LATENESS_MS && now.since(self.started) >= MIN_TENURE
    }
}
