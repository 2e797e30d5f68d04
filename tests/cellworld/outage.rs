//! A store that is away for everybody: its owner goes on by the word of the other entries.

use super::*;
use sprucerudder::cell::owner::log_reports::{LogReport, LogReports};

/// Other entries than the owner.
const OTHERS: u64 = 8;

/// A log that was away within this time is no witness, as `election` has it.
const STEADY: u64 = 10_000;
/// An owner without a heartbeat in the log for so long rests on the other entries.
const SILENCE: u64 = 1_200;

/// When the store is away, and was.
#[derive(Debug, Default)]
pub struct Outage {
    /// It is away until then.
    until: u64,
    /// New owners are now and then processes that have just started, and have read no log before.
    pub restarts: bool,
    /// How often it was away.
    pub count: usize,
}

impl Outage {
    /// How long the store stays away, if it is.
    pub fn left(&self, now: u64) -> Option<u64> {
        (self.until > now).then(|| self.until - now)
    }

    fn was_steady(&self, now: u64) -> bool {
        self.until == 0 || now >= self.until + STEADY
    }
}

impl World {
    pub(super) fn lose_store(&mut self, length: u64) {
        self.say(format!("the store is away for {length} ms"));
        self.outage.count += 1;
        self.outage.until = self.outage.until.max(self.now + length);
        self.note_trouble(self.outage.until);
    }

    /// Whether an owner may order only because no entry can read the log.
    pub(super) fn rests_on_peers(&self, owner: usize) -> bool {
        let is_newest = owner + 1 == self.owners.len();
        let is_away = self.outage.left(self.now).is_some();
        is_newest && is_away && self.now - self.owners[owner].confirmed >= SILENCE
    }

    /// Whether the next owner knows that starts may have been sent without a record, as far as its own process saw.
    pub(super) fn has_doubt(&mut self) -> bool {
        let is_new = self.outage.restarts && self.pick(2) == 0;
        let doubt = is_new || !self.outage.was_steady(self.now);
        doubt && self.without != Without::Doubt
    }

    /// So many in ten of the other entries have connected to a new owner, and told what they know of the time before.
    pub(super) fn witness(&mut self, owner: usize, part: u64) {
        let mut witnesses = LogReports::default();
        let log_steady = self.outage.was_steady(self.now);
        let word = LogReport { log_steady, peers: OTHERS as u32 };
        for no in 0..OTHERS {
            if self.pick(10) < part {
                witnesses.add(&format!("e{no}").into(), word);
            }
        }
        if witnesses.exclude_unrecorded_starts() {
            self.owners[owner].cell.trust_records();
            self.drive(owner);
        }
    }
}
