//! Whether an owner's processor keeps up with its work.

use crate::clock::Millis;

/// The weight of one more tick: the last second counts, at ten ticks a second.
const WEIGHT: f64 = 0.1;
/// Ticks that are late by so many milliseconds on average show that work waits for the processor: on a VM
/// that keeps up they are late by less than one.
const HEAVY: f64 = 8.0;
/// One tick counts for this much at the most: a process that was paused for seconds keeps up again.
const MOST: Millis = Millis(30);
/// An owner does not give the cell up before it had it this long: a takeover costs the next owner
/// work, and where all are too slow the cell must not go round.
const TENURE: Millis = Millis(6_000);
/// Ticks that are late by so many milliseconds on average show that more comes than the processor can do: new jobs
/// are turned away, so that those that were accepted go on. A single pause of any length gives 3 ms.
const SHED: f64 = 12.0;
/// New jobs are taken again below this: well under [`SHED`], so that a load that is somewhat too much
/// does not switch to and fro with each tick.
const TAKE: f64 = 4.0;
/// An entry that gave the cell up for this leaves it to others this long.
pub const BACK_OFF: Millis = Millis(8_000);

/// How much longer than the time for which it waits a report may take, and how long an order may: a
/// hundred times the way between failure domains.
const USUAL: Timeouts = Timeouts { report: Millis(250), order: Millis(300), pause: Millis(0) };
/// The same for an owner that does not keep up: answers lie unread there, and each that is given up for
/// that costs another connection. Ends that come meanwhile are told together. An owner that is merely late for a moment keeps the usual ones,
/// which show sooner that a worker is lost.
const LATE: Timeouts = Timeouts { report: Millis(1_500), order: Millis(1_000), pause: Millis(200) };

/// How long an owner waits for workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// For a report, beyond the time for which the worker holds it back.
    pub report: Millis,
    /// For the answer to an order. The room and the task are in doubt for that long if it is lost.
    pub order: Millis,
    /// Between two reports.
    pub pause: Millis,
}

/// How late the ticks of an owner are.
#[derive(Debug)]
pub struct Lag {
    begun: Millis,
    last: Millis,
    late: f64,
    sheds: bool,
}

impl Lag {
    /// The owner takes the cell over.
    pub fn new(now: Millis) -> Self {
        Self { begun: now, last: now, late: 0.0, sheds: false }
    }

    /// A tick that was due `every` after the last one comes now.
    pub fn tick(&mut self, now: Millis, every: Millis) {
        let late = now.since(self.last + every).min(MOST);
        self.last = now;
        self.late += (late.0 as f64 - self.late) * WEIGHT;
        self.sheds = self.late >= if self.sheds { TAKE } else { SHED };
    }

    /// Whether new jobs have to be turned away.
    pub fn sheds(&self) -> bool {
        self.sheds
    }

    /// How long to wait for workers: longer while new jobs are turned away.
    pub fn timeouts(&self) -> Timeouts {
        if self.sheds { LATE } else { USUAL }
    }

    /// Whether another entry should own the cell.
    pub fn is_heavy(&self, now: Millis) -> bool {
        self.late >= HEAVY && now.since(self.begun) >= TENURE
    }
}
