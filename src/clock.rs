//! Time in milliseconds: one type, a wall clock, and the clock that ages and leases are measured on.

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

    /// The time from `earlier` to `self`, zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// This length of time for use with timers.
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

/// A process that did not look at its clock for this long did not run, or its machine did not: an idle
/// entry looks every 270 ms. With what an owner learned before it, that is within the shortest time for
/// which the platform's contract lets a machine act on what it knew (3 s).
const MIN_PAUSE: Millis = Millis(2_500);

/// The time since a process started, which goes on while its machine is suspended. The steady clock of the
/// system does not: by that one an owner would wake after 20 s and believe in its lease.
#[derive(Debug)]
pub struct Clock {
    source: fn() -> Millis,
    origin: Millis,
    /// When it was last looked at.
    last_reading: AtomicU64,
    pause_count: AtomicU64,
}

impl Default for Clock {
    fn default() -> Self {
        Self::new(boot_time)
    }
}

impl Clock {
    /// A clock that begins now, by another one.
    pub fn new(source: fn() -> Millis) -> Self {
        let (last_reading, pause_count) = (AtomicU64::new(0), AtomicU64::new(0));
        Self { source, origin: source(), last_reading, pause_count }
    }

    /// The time since it began, and one: never zero. Notices if the process did not run for long.
    pub fn now(&self) -> Millis {
        let now = (self.source)().since(self.origin) + Millis(1);
        let last = Millis(self.last_reading.fetch_max(now.0, Ordering::Relaxed));
        let length = now.since(last);
        if last.0 > 0 && length >= MIN_PAUSE {
            self.pause_count.fetch_add(1, Ordering::Relaxed);
            log::warn!("event=process-paused ms={length}");
        }
        now
    }

    /// How often the process did not run for so long that what it knew is too old.
    pub fn pause_count(&self) -> u64 {
        self.pause_count.load(Ordering::Relaxed)
    }
}

/// The time since the system started, suspended or not.
fn boot_time() -> Millis {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => Millis(time.tv_sec() as u64 * 1_000 + time.tv_nsec() as u64 / 1_000_000),
        Err(err) => {
            // Every Linux since 2.6.39 has this clock.
            log::error!("event=no-clock error={err:?}");
            Millis::now()
        }
    }
}
