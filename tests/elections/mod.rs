//! The log of an election on a virtual clock, and the appends that are on their way to it.

use sprucerudder::cell::owner::claim_record::Extension;
use sprucerudder::cell::owner::election::{Election, ElectionRecord};
use sprucerudder::clock::Millis;

/// How long an append is on its way to the log.
pub const APPEND_TIME: u64 = 20;

/// An append that is on its way.
#[derive(Debug, Clone)]
pub struct Append {
    /// When it was sent.
    pub sent: u64,
    /// The end of the log that it requires.
    pub end: u64,
    pub record: ElectionRecord,
    pub extension: Extension,
}

impl Append {
    /// Whether the record is a claim.
    pub fn is_claim(&self) -> bool {
        matches!(self.record, ElectionRecord::Claim { .. })
    }
}

/// Takes the append that has arrived, if any.
pub fn take_arrived(pending: &mut Option<Append>, now: u64) -> Option<Append> {
    pending.take_if(|append| now >= append.sent + APPEND_TIME)
}

/// The records, and the first offset that the store still has.
#[derive(Debug, Default)]
pub struct Log {
    pub records: Vec<(ElectionRecord, Extension)>,
    pub first: u64,
}

impl Log {
    /// The offset behind the last record.
    pub fn end(&self) -> u64 {
        self.records.len() as u64
    }

    /// Loses all records.
    pub fn lose_records(&mut self) {
        self.first = self.end();
    }

    /// An entry reads what it has not read yet.
    pub fn read_into(&self, election: &mut Election, now: u64) {
        let now = Millis(now);
        election.skip_lost(now, self.first);
        election.caught_up(now);
        for offset in election.next_offset()..self.end() {
            let (record, extension) = self.records[offset as usize].clone();
            election.apply_extended(now, offset, record, extension);
        }
    }

    /// Adds the record of an append, if the log ends where the append requires it, and passes it to
    /// the entry that sent it. Returns whether that is so.
    pub fn accept(&mut self, append: &Append, election: &mut Election, now: u64) -> bool {
        if append.end != self.end() {
            return false;
        }
        let (record, extension) = (append.record.clone(), append.extension.clone());
        self.records.push((record.clone(), extension.clone()));
        election.apply_extended(Millis(now), append.end, record, extension);
        true
    }
}
