//! How many connections an owner opens to a worker.
//!
//! A worker accepts a limited number of connections, and keeps those of an owner that lost power,
//! because nothing closes them. So each owner takes a small part of them: the worker can be reached
//! until [`FORMER_OWNERS`] owners have left all of theirs behind.

/// The number of owners whose connections a worker can keep.
const FORMER_OWNERS: usize = 16;
/// One connection for reports and one for orders. A report is held back by the worker until a run
/// ends, so orders cannot share its connection.
const MIN_OPEN: usize = 2;
/// One connection for reports and six for orders. Opening a connection takes longer than an
/// order.
const MAX_OPEN: usize = 7;
/// The number of connections that stay open while no call uses them: those for reports and orders.
/// Further ones are opened for bursts of orders and closed after them.
const KEPT_IDLE: usize = 2;

/// How many connections an owner opens to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimit {
    /// The number of open connections.
    pub open: usize,
    /// The number of connections that are kept open while no call uses them.
    pub idle: usize,
}

impl ConnectionLimit {
    /// The limit for a worker that accepts `max` connections; `None` if it accepts any number.
    pub fn new(max: Option<u32>) -> Self {
        let open = match max {
            None => MAX_OPEN,
            Some(max) => {
                let max = max as usize;
                (max / FORMER_OWNERS).clamp(MIN_OPEN, MAX_OPEN).min(max.max(1))
            }
        };
        Self { open, idle: KEPT_IDLE.min(open) }
    }

    /// The number of orders that may be in flight at the same time, beside a request for a report.
    pub fn orders(self) -> usize {
        self.open.saturating_sub(1).max(1)
    }
}
