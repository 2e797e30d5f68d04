//! An unavailable store: the owner keeps its authority as long as the other entries tell it that
//! they cannot read the log either.

use super::*;
use sprucerudder::cell::owner::claim_record::FinalState;
use sprucerudder::cell::owner::log_reports::{LogReport, LogReports};

/// The number of entries other than the owner.
const PEERS: u64 = 8;

/// How long ago the last outage must have ended for an entry to vouch for the records; the same as
/// in `election`.
const STEADY_MS: u64 = 10_000;
/// How long after its last heartbeat in the log an owner depends on the other entries.
const LOG_SILENCE_MS: u64 = 1_200;

/// Whether the store is unavailable, and was.
#[derive(Debug, Default)]
pub struct Outage {
    /// When the last outage ends or ended.
    until: u64,
    /// Some new owners are processes that have just started and have not read the log before.
    pub has_fresh_owners: bool,
    /// The number of outages.
    pub count: usize,
}

impl Outage {
    /// How long the store will remain unavailable, if it is.
    pub fn remaining(&self, now: u64) -> Option<u64> {
        (self.until > now).then(|| self.until - now)
    }

    fn is_steady(&self, now: u64) -> bool {
        self.until == 0 || now >= self.until + STEADY_MS
    }
}

impl Simulation {
    pub(super) fn start_outage(&mut self, length: u64) {
        self.log_event(format!("the store is unavailable for {length} ms"));
        self.outage.count += 1;
        self.outage.until = self.outage.until.max(self.now + length);
        self.note_fault(self.outage.until);
    }

    /// Whether an owner may send orders only because no entry can read the log.
    pub(super) fn relies_on_peers(&self, owner: usize) -> bool {
        let is_newest = owner + 1 == self.owners.len();
        let is_away = self.outage.remaining(self.now).is_some();
        is_newest && is_away && self.now - self.owners[owner].confirmed_at >= LOG_SILENCE_MS
    }

    /// Whether the process of the next owner has just started.
    pub(super) fn has_fresh_owner(&mut self) -> bool {
        self.outage.has_fresh_owners && self.pick(2) == 0
    }

    /// Whether the next owner has to assume that starts were sent without a record, by what its own
    /// process has seen and by what the last owner `left`.
    pub(super) fn doubts_records(&self, is_fresh: bool, left: Option<FinalState>) -> bool {
        let has_complete_records = left.is_some_and(|left| left.has_complete_records);
        let doubt = !has_complete_records && (is_fresh || !self.outage.is_steady(self.now));
        doubt && self.disabled != Disabled::UnrecordedStarts
    }

    /// On average, `tenths` in ten of the other entries connect to a new owner and tell it what they
    /// know of the time before.
    pub(super) fn connect_peers(&mut self, owner: usize, tenths: u64) {
        let mut witnesses = LogReports::default();
        let log_steady = self.outage.is_steady(self.now);
        let word = LogReport { log_steady, peers: PEERS as u32 };
        for index in 0..PEERS {
            if self.pick(10) < tenths {
                witnesses.add(&format!("e{index}").into(), word);
            }
        }
        if witnesses.exclude_unrecorded_starts() {
            self.owners[owner].cell.trust_records();
            self.advance_owner(owner);
        }
    }
}
