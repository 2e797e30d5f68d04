//! Whether an earlier owner may have sent starts without a record, by the word of the other entries.
//!
//! The load that this answers: an owner is killed, and a process that has just started takes over, often the next one of the
//! same VM. It has read no log before. On its own it would hold back every inherited task until all workers have reported
//! or their leases are over; one worker that is gone would hold up all.
//!
//! An owner sends starts without a record only while most entries tell it that they cannot read the log. So if half of the
//! entries have told no owner so, none did.

use crate::cell::owner::election::STEADY;
use crate::clock::Millis;
use crate::id::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// What an entry tells a new owner of the time before.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Word {
    /// It has told no owner within [`STEADY`] that it cannot read the log.
    pub is_steady: bool,
    /// How many other entries the last owner that it heard counted; 0: it heard none.
    pub entries: u32,
}

/// What one entry said of the log.
#[derive(Debug, Clone, Copy)]
pub struct History {
    /// When it last told an owner that it cannot read the log. Its process before may have done so until it ended.
    lost: Millis,
}

impl History {
    /// That of a process that started now.
    pub fn new(now: Millis) -> Self {
        Self { lost: now }
    }

    /// An owner is told that the log cannot be read.
    pub fn note_lost(&mut self, now: Millis) {
        self.lost = self.lost.max(now);
    }

    /// Whether no owner that a lease may still go back to was told so.
    pub fn is_steady(&self, now: Millis) -> bool {
        now.since(self.lost) >= STEADY
    }
}

/// The words of the entries that connected to a new owner.
#[derive(Debug, Default)]
pub struct Witnesses {
    steady: BTreeSet<Name>,
    entries: u32,
}

impl Witnesses {
    /// Takes in the word of an entry.
    pub fn add(&mut self, entry: &Name, word: Word) {
        self.entries = self.entries.max(word.entries);
        match word {
            Word { is_steady: true, entries: 1.. } => drop(self.steady.insert(entry.clone())),
            // One that no owner heard was not counted among those that can read the log either.
            Word { .. } => drop(self.steady.remove(entry)),
        }
    }

    /// How many entries told no owner that they cannot read the log.
    pub fn steady(&self) -> usize {
        self.steady.len()
    }

    /// How many other entries earlier owners counted.
    pub fn entries(&self) -> u32 {
        self.entries
    }

    /// Whether so many entries told no owner that they cannot read the log that it was not most of them.
    pub fn suffice(&self) -> bool {
        self.entries > 0 && 2 * self.steady.len() > self.entries as usize
    }
}
