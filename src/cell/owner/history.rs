//! What an entry learns from the log about the owners before a takeover: in which state the last one
//! left the cell, whether owners keep the record of leases, and how their clocks relate to its own.

use crate::cell::owner::claim_record::OwnerState;
use crate::clock::Millis;
use std::collections::BTreeMap;

/// For how many owners the relation of their clocks to the own one is kept. The record of leases is
/// seldom older than the last owner or two.
const MAX_OWNER_CLOCKS: usize = 16;

/// The state in which the last owner left the cell to the next one, if that was in good order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Inheritance {
    /// All starts of the last owner, and of the owners before it, are recorded in the store.
    pub has_complete_records: bool,
    /// When the last lease expires, on this entry's clock; `None` if unknown.
    pub last_lease_end: Option<Millis>,
}

/// The time on the clock of an owner when a record was sent, and when that record was read here.
#[derive(Debug, Clone, Copy)]
struct OwnerClock {
    time: Millis,
    read_at: Millis,
}

/// What the owners told in the records that were read.
#[derive(Debug, Default)]
pub struct OwnerHistory {
    /// The state in which the current owner left the cell.
    left: Inheritance,
    /// The value of `left` when this entry last claimed the cell.
    inherited: Inheritance,
    /// For recent epochs, the clock of the owner by the newest record.
    owner_clocks: BTreeMap<u64, OwnerClock>,
    /// The epoch from which on all owners whose records were read keep the record of leases.
    keeps_leases_since: Option<u64>,
}

impl OwnerHistory {
    /// Records a claim of the cell in `epoch`, before the claimant becomes the leader.
    pub fn record_claim(&mut self, epoch: u64, state: Option<OwnerState>, is_own: bool) {
        if is_own {
            self.inherited = self.left;
        }
        self.note_version(epoch, state);
    }

    /// Records what a record of the owner of `epoch` tells, which was read at `now`.
    pub fn record_state(&mut self, now: Millis, epoch: u64, state: Option<OwnerState>) {
        self.note_version(epoch, state);
        let Some(time) = state.and_then(|state| state.clock) else { return };
        self.owner_clocks.insert(epoch, OwnerClock { time, read_at: now });
        while self.owner_clocks.len() > MAX_OWNER_CLOCKS {
            self.owner_clocks.pop_first();
        }
    }

    /// Records that the owner of `epoch` gave up the cell.
    pub fn record_release(&mut self, now: Millis, epoch: u64, state: Option<OwnerState>) {
        self.record_state(now, epoch, state);
        let left = state.and_then(|state| state.left);
        let lease_end = left.and_then(|left| left.last_lease_end);
        self.left = Inheritance {
            has_complete_records: left.is_some_and(|left| left.has_complete_records),
            last_lease_end: lease_end.and_then(|end| self.to_own_clock(epoch, end)),
        };
    }

    /// Forgets in which state the owner before left the cell, because there is another owner.
    pub fn forget_release(&mut self) {
        self.left = Inheritance::default();
    }

    /// Records that records were lost unread, of owners that are unknown.
    pub fn record_loss(&mut self) {
        (self.left, self.keeps_leases_since) = (Inheritance::default(), None);
    }

    /// Notes whether the owner of `epoch` keeps the record of leases.
    fn note_version(&mut self, epoch: u64, state: Option<OwnerState>) {
        let since = self.keeps_leases_since.unwrap_or(epoch);
        self.keeps_leases_since = state.map(|_| since);
    }

    /// Converts a time on the clock of the owner of `epoch` to this entry's clock. The result may be
    /// too late, by as long as it took to read the newest record of that owner. `None` if none was
    /// read.
    pub fn to_own_clock(&self, epoch: u64, time: Millis) -> Option<Millis> {
        let known = self.owner_clocks.get(&epoch)?;
        Some(known.read_at + time.since(known.time) - known.time.since(time))
    }

    /// The state in which the last owner left the cell to this entry.
    pub fn inherited(&self) -> Inheritance {
        self.inherited
    }

    /// Whether all owners since `epoch` keep the record of leases.
    pub fn keeps_leases_since(&self, epoch: u64) -> bool {
        self.keeps_leases_since.is_some_and(|since| since <= epoch)
    }
}
