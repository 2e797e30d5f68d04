//! Exchanges with the other entries what is known about the time before a takeover.

use crate::cell::owner::log_reports::LogReport;
use crate::clock::Millis;
use crate::id::Name;
use crate::node::lock;
use crate::node::owner::Owner;
use std::sync::atomic::Ordering;

impl Owner {
    /// Records how many other entries an earlier owner counted.
    pub(super) fn expect_peers(&self, count: u32) {
        lock(&self.authority).expect_peers(self.node.now(), count);
        lock(&self.witnesses).expect_peers(count);
    }

    /// Adds what an entry knows about the time before this epoch. Once enough entries confirm that
    /// no earlier owner started tasks without a record, the stored records are trusted.
    pub(super) fn add_log_history(&self, entry: &Name, history: LogReport) {
        let mut witnesses = lock(&self.witnesses);
        witnesses.add(entry, history);
        if witnesses.exclude_unrecorded_starts() && lock(&self.cell).trust_records() {
            let (cell, epoch) = (self.view.cell, self.epoch);
            log::info!(
                "event=records-trusted cell={cell} epoch={epoch} steady={} entries={}",
                witnesses.steady_count(),
                witnesses.peer_count()
            );
            self.schedule_wake.notify_one();
        }
    }

    /// The number of other entries. It is also kept in the view, from where a later owner is told
    /// it.
    pub fn entry_count(&self) -> u32 {
        let entry_count = lock(&self.authority).known_peers(self.node.now()) as u32;
        self.view.entry_count.store(entry_count, Ordering::Relaxed);
        entry_count
    }

    /// Notes that this owner sends starts without a record because the log cannot be read. It must
    /// not confirm to a later owner that there were no such starts: that owner would count it along
    /// with the half of the entries that can read the log.
    pub fn note_unlogged_starts(&self, now: Millis) {
        lock(&self.node.history).record_loss(now);
    }
}
