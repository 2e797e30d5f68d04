//! What owners and other entries tell each other of the time before a takeover.

use crate::cell::owner::witness::Word;
use crate::clock::Millis;
use crate::id::Name;
use crate::node::lock;
use crate::node::owner::Owner;
use std::sync::atomic::Ordering;

impl Owner {
    /// Takes in what an entry knows of the time before.
    pub fn add_log_history(&self, entry: &Name, history: Word) {
        let now = self.node.now();
        lock(&self.authority).expect(now, history.entries);
        let mut witnesses = lock(&self.witnesses);
        witnesses.add(entry, history);
        if witnesses.suffice() && lock(&self.cell).trust_records() {
            let (cell, epoch) = (self.view.cell, self.epoch);
            log::info!(
                "event=records-trusted cell={cell} epoch={epoch} steady={} entries={}",
                witnesses.steady(),
                witnesses.entries()
            );
            self.schedule_wake.notify_one();
        }
    }

    /// How many other entries there are. If this process does not own the cell any more, it tells the next owner.
    pub fn entry_count(&self) -> u32 {
        let entry_count = lock(&self.authority).known(self.node.now()) as u32;
        self.view.entry_count.store(entry_count, Ordering::Relaxed);
        entry_count
    }

    /// This owner goes on without the log. It is no witness that no start was sent without a record: a later owner would
    /// count it beside the half of the entries that can read the log.
    pub fn note_unlogged_starts(&self, now: Millis) {
        lock(&self.node.history).note_lost(now);
    }
}
