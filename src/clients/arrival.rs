//! How fast the body of a request arrives.

use crate::clock::Millis;

/// The time over which arriving bytes are counted.
pub const WINDOW: Millis = Millis(250);
/// A body of which less than this arrives within [`WINDOW`] is slow, in bytes. At this rate the
/// largest body takes longer than any route allows for a request.
const MIN_WINDOW_BYTES: usize = 8_192;

/// Counts the bytes of a body as they arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    started: Millis,
    window_start: Millis,
    /// Bytes that arrived since the start of the window.
    current: usize,
    /// Bytes that arrived in the window before.
    previous: usize,
}

impl Arrival {
    /// A body that begins to arrive at `now`.
    pub fn new(now: Millis) -> Self {
        Self { started: now, window_start: now, current: 0, previous: 0 }
    }

    /// When the body began to arrive.
    pub fn started(&self) -> Millis {
        self.started
    }

    /// Counts bytes that have arrived.
    pub fn add(&mut self, now: Millis, bytes: usize) {
        let age = now.since(self.window_start);
        if age >= WINDOW {
            self.previous = if age < WINDOW + WINDOW { self.current } else { 0 };
            (self.window_start, self.current) = (now, 0);
        }
        self.current += bytes;
    }

    /// The bytes that arrived recently, within one window.
    pub fn recent(&self, now: Millis) -> usize {
        match now.since(self.window_start) {
            age if age >= WINDOW + WINDOW => 0,
            age if age >= WINDOW => self.current,
            _ => self.current.max(self.previous),
        }
    }

    /// Whether less arrives than is needed to complete a large body in time.
    pub fn is_slow(&self, now: Millis) -> bool {
        now.since(self.started) >= WINDOW && self.recent(now) < MIN_WINDOW_BYTES
    }
}
