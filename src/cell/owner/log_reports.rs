//! Reports of the other entries from which a new owner concludes whether an earlier owner may have
//! started runs that are not recorded in the store.
//!
//! When an owner is killed, the process that takes over has often just started, for example on the
//! same VM, and has not read the log before. From its own knowledge it would have to hold back all
//! inherited tasks until every worker has reported or its lease has expired, so a single lost
//! worker would delay all of them.
//!
//! An owner starts runs without a record only while all entries that it counts tell it that they
//! cannot read the platform's log; owners of earlier versions, while most of them do. So if at least
//! half of the entries have not told that to any owner, no owner has done it.

use crate::cell::owner::election::STEADY_LOG_TIME;
use crate::clock::Millis;
use crate::id::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// An entry's report to a new owner about the time before the takeover.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogReport {
    /// Whether the entry has not told any owner within [`STEADY_LOG_TIME`] that it cannot read the
    /// log.
    pub log_steady: bool,
    /// The number of other entries counted by the last owner that the entry heard from; 0 if it
    /// heard from none.
    pub peers: u32,
}

/// Whether this entry has recently told an owner that it cannot read the log.
#[derive(Debug, Clone, Copy)]
pub struct LogHistory {
    /// When the entry last told an owner that it cannot read the log. For a new process this is its
    /// start, because the previous process may have done so until it ended.
    last_loss: Millis,
}

impl LogHistory {
    /// Creates the history of a process that starts at `now`.
    pub fn new(now: Millis) -> Self {
        Self { last_loss: now }
    }

    /// Records that an owner is told that the log cannot be read.
    pub fn record_loss(&mut self, now: Millis) {
        self.last_loss = self.last_loss.max(now);
    }

    /// Whether no owner from which a lease may still be valid was told that the log cannot be read.
    pub fn is_log_steady(&self, now: Millis) -> bool {
        now.since(self.last_loss) >= STEADY_LOG_TIME
    }
}

/// The reports of the entries that have connected to a new owner.
#[derive(Debug, Default)]
pub struct LogReports {
    steady: BTreeSet<Name>,
    peer_count: u32,
}

impl LogReports {
    /// Records how many other entries an earlier owner counted.
    pub fn expect_peers(&mut self, count: u32) {
        self.peer_count = self.peer_count.max(count);
    }

    /// Adds the report of an entry, which replaces its earlier one.
    pub fn add(&mut self, entry: &Name, report: LogReport) {
        self.expect_peers(report.peers);
        match report {
            LogReport { log_steady: true, peers: 1.. } => drop(self.steady.insert(entry.clone())),
            // An entry that was not connected to an owner was not counted by it as able to read the
            // log either.
            LogReport { .. } => drop(self.steady.remove(entry)),
        }
    }

    /// The number of entries that have not told any owner that they cannot read the log.
    pub fn steady_count(&self) -> usize {
        self.steady.len()
    }

    /// The number of other entries that earlier owners counted.
    pub fn peer_count(&self) -> u32 {
        self.peer_count
    }

    /// Whether the reports prove that there was never a majority of entries that told an owner that
    /// they cannot read the log, so that no unrecorded runs were started.
    pub fn exclude_unrecorded_starts(&self) -> bool {
        self.peer_count > 0 && 2 * self.steady.len() > self.peer_count as usize
    }
}
