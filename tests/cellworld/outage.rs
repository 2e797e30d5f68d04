//! A store that is away for everybody: its owner goes on by the word of the other entries.

use super::*;
use sprucerudder::cell::owner::witness::{Witnesses, Word};

/// Other entries than the owner.
const PEERS: u64 = 8;

/// A log that was away within this time is no witness, as `election` has it.
const STEADY_MS: u64 = 10_000;
/// An owner without a heartbeat in the log for so long rests on the other entries.
const LOG_SILENCE_MS: u64 = 1_200;

/// When the store is away, and was.
#[derive(Debug, Default)]
pub struct Outage {
    /// It is away until then.
    until: u64,
    /// New owners are now and then processes that have just started, and have read no log before.
    pub has_fresh_owners: bool,
    /// How often it was away.
    pub count: usize,
}

impl Outage {
    /// How long the store stays away, if it is.
    pub fn remaining(&self, now: u64) -> Option<u64> {
        (self.until > now).then(|| self.until - now)
    }

    fn is_steady(&self, now: u64) -> bool {
        self.until == 0 || now >= self.until + STEADY_MS
    }
}

impl World {
    pub(super) fn start_outage(&mut self, length: u64) {
        self.log_event(format!("the store is away for {length} ms"));
        self.outage.count += 1;
        self.outage.until = self.outage.until.max(self.now + length);
        self.note_fault(self.outage.until);
    }

    /// Whether an owner may order only because no entry can read the log.
    pub(super) fn relies_on_peers(&self, owner: usize) -> bool {
        let is_newest = owner + 1 == self.owners.len();
        let is_away = self.outage.remaining(self.now).is_some();
        is_newest && is_away && self.now - self.owners[owner].confirmed_at >= LOG_SILENCE_MS
    }

    /// Whether the next owner knows that starts may have been sent without a record, as far as its own process saw.
    pub(super) fn doubts_records(&mut self) -> bool {
        let is_new = self.outage.has_fresh_owners && self.pick(2) == 0;
        let doubt = is_new || !self.outage.is_steady(self.now);
        doubt && self.disabled != Disabled::UnrecordedStarts
    }

    /// So many in ten of the other entries have connected to a new owner, and told what they know of the time before.
    pub(super) fn connect_peers(&mut self, owner: usize, part: u64) {
        let mut witnesses = Witnesses::default();
        let is_steady = self.outage.is_steady(self.now);
        let word = Word { is_steady, entries: PEERS as u32 };
        for index in 0..PEERS {
            if self.pick(10) < part {
                witnesses.add(&format!("e{index}").into(), word);
            }
        }
        if witnesses.suffice() {
            self.owners[owner].cell.trust_records();
            self.advance_owner(owner);
        }
    }
}
