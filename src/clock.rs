//! Time in milliseconds: the wall clock, and a monotonic clock for ages and leases that also counts time in
//! suspend.

use nix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, Sub};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// A point in time or a length of time, in milliseconds. Points count from the Unix epoch on a
/// wall clock and from zero on a virtual one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The current wall-clock time.
    pub fn now() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self(since.as_millis() as u64)
    }

    /// Time elapsed from `earlier` to `self`; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Converts this length of time for use with timers.
    pub fn duration(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Minimum time between two readings of the clock that counts as a pause, in which the process or its machine
/// did not run. An idle entry reads the clock every 270 ms. The platform's contract allows a machine to act on
/// its last knowledge for at least 3 s; this threshold plus the age of an owner's knowledge stays within that.
const MIN_PAUSE: Millis = Millis(2_500);

/// A monotonic clock that starts with the process and continues while the machine is suspended. The system's
/// `CLOCK_MONOTONIC` stops in suspend: after 20 s of suspend, an owner would still take its lease for valid.
#[derive(Debug)]
pub struct Clock {
    source: fn() -> Millis,
    origin: Millis,
    /// Latest reading, in milliseconds.
    last_reading: AtomicU64,
    pause_count: AtomicU64,
}

impl Default for Clock {
    fn default() -> Self {
        Self::new(boot_time)
    }
}

impl Clock {
    /// Creates a clock that starts now and takes its time from `source`.
    pub fn new(source: fn() -> Millis) -> Self {
        let (last_reading, pause_count) = (AtomicU64::new(0), AtomicU64::new(0));
        Self { source, origin: source(), last_reading, pause_count }
    }

    /// Milliseconds since the clock started plus one, so never zero. Detects and counts pauses of the process.
    pub fn now(&self) -> Millis {
        let now = (self.source)().since(self.origin) + Millis(1);
        let last = Millis(self.last_reading.fetch_max(now.0, Ordering::Relaxed));
        let pause = now.since(last);
        if last.0 > 0 && pause >= MIN_PAUSE {
            self.pause_count.fetch_add(1, Ordering::Relaxed);
            log::warn!("event=process-paused ms={pause}");
        }
        now
    }

    /// Number of pauses so far. Knowledge from before a pause may be too old to act on.
    pub fn pause_count(&self) -> u64 {
        self.pause_count.load(Ordering::Relaxed)
    }
}

/// Time since boot, including time in suspend.
fn boot_time() -> Millis {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => Millis(time.tv_sec() as u64 * 1_000 + time.tv_nsec() as u64 / 1_000_000),
        Err(err) => {
            // Doesn't happen on Linux 2.6.39 or later, which all have CLOCK_BOOTTIME.
            log::error!("event=boot-clock-unavailable error={err:?}");
            Millis::now()
        }
    }
}
