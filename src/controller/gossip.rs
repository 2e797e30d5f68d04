//! Delta-encoded heartbeats: an entry sends its peers only those of its shard states that changed.
//!
//! Messages may be lost, delayed, duplicated or reordered, and either side may restart. Each
//! message names the state that it builds on. A receiver that does not hold that state reports so
//! and gets the full state next time.

use crate::id::{EntryId, Name};
use crate::wire::msg::ShardHeartbeat;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The shards that changed after the state number `base`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The number of this state; each later one is higher.
    pub seq: u64,
    /// The state that it builds on; 0 if it has all shards and builds on none.
    pub base: u64,
    /// The newest state of the receiver that the sender holds; 0 if it holds none.
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

/// The shard states of this entry, and what each peer holds of them.
#[derive(Debug, Default)]
pub struct Outbox {
    seq: u64,
    shards: BTreeMap<Name, Change>,
    /// The incarnation of each peer and the newest state that it holds.
    acked: BTreeMap<Name, (u64, u64)>,
}

impl Outbox {
    /// Sets the present state of `shards`; other shards keep theirs.
    pub fn update(&mut self, shards: Vec<ShardHeartbeat>) {
        self.seq += 1;
        for beat in shards {
            let same = self.shards.get(&beat.shard).is_some_and(|known| known.beat == beat);
            if !same {
                self.shards.insert(beat.shard.clone(), Change { beat, seq: self.seq });
            }
        }
    }

    /// The delta that a peer needs. `held` is the newest state of that peer that this entry holds.
    pub fn delta(&self, peer: &str, held: u64) -> Delta {
        let base = self.acked.get(peer).map_or(0, |(_, seq)| *seq);
        let changed = self.shards.values().filter(|change| change.seq > base);
        let shards = changed.map(|change| change.beat.clone()).collect();
        Delta { seq: self.seq, base, held, shards }
    }

    /// Records that a peer holds the state `held`; 0 if it holds none.
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

/// The shard states of one peer.
#[derive(Debug, Default, Clone)]
pub struct Inbox {
    inc: u64,
    seq: u64,
    shards: BTreeMap<Name, ShardHeartbeat>,
}

/// The result of applying a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeltaOutcome {
    /// The state of the message is now held.
    Applied,
    /// The same or a newer state was held already.
    Stale,
    /// The state that it builds on is missing. The held state was dropped, so that the next
    /// heartbeat tells the sender to send the full state.
    MissingBase,
}

impl Inbox {
    /// Applies a message from the peer.
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

    /// The newest state held of this incarnation of the peer; 0 if none is held.
    pub fn held(&self, inc: u64) -> u64 {
        if inc == self.inc { self.seq } else { 0 }
    }

    /// The shards in the held state.
    pub fn shards(&self) -> Vec<ShardHeartbeat> {
        self.shards.values().cloned().collect()
    }
}
