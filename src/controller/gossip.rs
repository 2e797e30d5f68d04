//! Heartbeats that carry only what changed: what an entry says of its shards, and what a peer said.
//!
//! Messages may be lost, late, doubled or swapped, and either side may restart. Each message names
//! the state that it builds on; a receiver that does not hold that state says so and gets a whole
//! one next time.

use crate::id::{EntryId, Name};
use crate::wire::msg::ShardHeartbeat;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Shards whose state changed after the message `base`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The number of this state; each later one is higher.
    pub seq: u64,
    /// The state that it builds on; 0: none, all shards are in it.
    pub base: u64,
    /// The newest state of the receiver that the sender holds; 0: none.
    pub held: u64,
    /// The shards that changed.
    pub shards: Vec<ShardHeartbeat>,
}

/// A shard with the number of the state in which it last changed.
#[derive(Debug)]
struct Change {
    beat: ShardHeartbeat,
    seq: u64,
}

/// What this entry says of its shards.
#[derive(Debug, Default)]
pub struct Outbox {
    seq: u64,
    shards: BTreeMap<Name, Change>,
    /// By peer: its incarnation and the newest state that it holds.
    acked: BTreeMap<Name, (u64, u64)>,
}

impl Outbox {
    /// Takes in the present state of all shards; those that are not named keep theirs.
    pub fn update(&mut self, shards: Vec<ShardHeartbeat>) {
        self.seq += 1;
        for beat in shards {
            let same = self.shards.get(&beat.shard).is_some_and(|known| known.beat == beat);
            if !same {
                self.shards.insert(beat.shard.clone(), Change { beat, seq: self.seq });
            }
        }
    }

    /// What a peer lacks; `held` is what this entry holds of that peer.
    pub fn delta(&self, peer: &str, held: u64) -> Delta {
        let base = self.acked.get(peer).map_or(0, |(_, seq)| *seq);
        let changed = self.shards.values().filter(|change| change.seq > base);
        let shards = changed.map(|change| change.beat.clone()).collect();
        Delta { seq: self.seq, base, held, shards }
    }

    /// A run of a peer holds this state; 0: none.
    pub fn acked(&mut self, peer: &EntryId, held: u64) {
        let fresh = (peer.incarnation, 0);
        let known = self.acked.entry(peer.name.clone()).or_insert(fresh);
        match () {
            _ if peer.incarnation < known.0 => {}
            _ if peer.incarnation > known.0 || held == 0 => *known = (peer.incarnation, held),
            _ => known.1 = known.1.max(held),
        }
    }
}

/// What one peer said of its shards.
#[derive(Debug, Default, Clone)]
pub struct Inbox {
    inc: u64,
    seq: u64,
    shards: BTreeMap<Name, ShardHeartbeat>,
}

/// What became of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeltaOutcome {
    /// The peer's state is now the one of the message.
    Applied,
    /// A newer one is held already.
    Stale,
    /// The state that it builds on is missing: nothing is held any more, so that the sender
    /// learns of it.
    MissingBase,
}

impl Inbox {
    /// Takes in a message from a run of the peer.
    pub fn take(&mut self, from: &EntryId, delta: Delta) -> DeltaOutcome {
        match () {
            _ if from.incarnation < self.inc => return DeltaOutcome::Stale,
            _ if from.incarnation == self.inc && delta.seq <= self.seq => {
                return DeltaOutcome::Stale;
            }
            _ if delta.base == 0 => self.shards.clear(),
            _ if from.incarnation > self.inc || delta.base > self.seq => {
                *self = Self { inc: from.incarnation, ..Self::default() };
                return DeltaOutcome::MissingBase;
            }
            _ => {}
        }
        (self.inc, self.seq) = (from.incarnation, delta.seq);
        let named = delta.shards.into_iter().map(|beat| (beat.shard.clone(), beat));
        self.shards.extend(named);
        DeltaOutcome::Applied
    }

    /// The newest state held of a run of the peer; 0: none.
    pub fn held(&self, inc: u64) -> u64 {
        if inc == self.inc { self.seq } else { 0 }
    }

    /// The shards in that state.
    pub fn shards(&self) -> Vec<ShardHeartbeat> {
        self.shards.values().cloned().collect()
    }
}
