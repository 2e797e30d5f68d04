//! Whether an earlier owner may have sent starts without a record, by the word of the other entries.
//!
//! The load that this answers: an owner is killed, and a process that has just started takes over, often the next one of the
//! same VM. It has read no log before. On its own it would hold back every inherited task until all workers have reported
//! or their leases are over; one worker that is gone would hold up all.
//!
//! An owner sends starts without a record only while most entries tell it that they cannot read the log. So if half of the
//! entries have told no owner so, none did.

use crate::cell::owner::election::STEADY_LOG_TIME;
use crate::clock::Millis;
use crate::id::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// What an entry tells a new owner of the time before.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogReport {
    /// It has told no owner within [`STEADY_LOG_TIME`] that it cannot read the log.
    pub log_steady: bool,
    /// How many other entries the last owner that it heard counted; 0: it heard none.
    pub peers: u32,
}

/// What one entry said of the log.
#[derive(Debug, Clone, Copy)]
pub struct LogHistory {
    /// When it last told an owner that it cannot read the log. Its process before may have done so until it ended.
    last_loss: Millis,
}

impl LogHistory {
    /// That of a process that started now.
    pub fn new(now: Millis) -> Self {
        Self { last_loss: now }
    }

    /// An owner is told that the log cannot be read.
    pub fn record_loss(&mut self, now: Millis) {
        self.last_loss = self.last_loss.max(now);
    }

    /// Whether no owner that a lease may still go back to was told so.
    pub fn is_log_steady(&self, now: Millis) -> bool {
        now.since(self.last_loss) >= STEADY_LOG_TIME
    }
}

/// The words of the entries that connected to a new owner.
#[derive(Debug, Default)]
pub struct LogReports {
    steady: BTreeSet<Name>,
    entry_count: u32,
}

impl LogReports {
    /// Takes in the word of an entry.
    pub fn add(&mut self, entry: &Name, report: LogReport) {
        self.entry_count = self.entry_count.max(report.peers);
        match report {
            LogReport { log_steady: true, peers: 1.. } => drop(self.steady.insert(entry.clone())),
            // One that no owner heard was not counted among those that can read the log either.
            LogReport { .. } => drop(self.steady.remove(entry)),
        }
    }

    /// How many entries told no owner that they cannot read the log.
    pub fn steady_count(&self) -> usize {
        self.steady.len()
    }

    /// How many other entries earlier owners counted.
    pub fn entry_count(&self) -> u32 {
        self.entry_count
    }

    /// Whether so many entries told no owner that they cannot read the log that it was not most of them.
    pub fn exclude_unrecorded_starts(&self) -> bool {
        self.entry_count > 0 && 2 * self.steady.len() > self.entry_count as usize
    }
}
