//! How long an owner may give orders and renew leases without hearing from the log.
//!
//! Another entry claims the cell after [`SILENCE`](crate::cell::election::SILENCE) without a
//! heartbeat in a log that it can read. So for that long after a heartbeat no other owner can be.
//! Beyond it an owner goes on only while most entries say that they cannot read the log either. The
//! entries that cannot be reached count as ones that can: behind a cut they may.

use crate::cell::election::SILENCE;
use crate::clock::Millis;
use crate::id::Name;
use std::collections::BTreeMap;

/// What an entry said of the log is good for this long: three of its pings.
const PEER_FRESH: Millis = Millis(500);
/// An entry counts as one that could be the owner once it was heard for this long.
const SETTLED: Millis = Millis(1_500);
/// An entry that was not heard for this long is taken for removed.
const REMOVED: Millis = Millis(60_000);

#[derive(Debug)]
struct Peer {
    at: Millis,
    log: bool,
    /// What it may use of processors, in thousandths of one.
    cpu: u32,
    since: Millis,
}

/// What an owner knows of its authority.
#[derive(Debug)]
pub struct Authority {
    confirmed: Millis,
    peers: BTreeMap<Name, Peer>,
}

impl Authority {
    /// The owner's claim was in the log at `now`.
    pub fn new(now: Millis) -> Self {
        Self { confirmed: now, peers: BTreeMap::new() }
    }

    /// A heartbeat that was sent at `sent` is in the log.
    pub fn confirm(&mut self, sent: Millis) {
        self.confirmed = self.confirmed.max(sent);
    }

    /// The time since the last heartbeat that is in the log was sent.
    pub fn age(&self, now: Millis) -> Millis {
        now.since(self.confirmed)
    }

    /// Another entry asks this owner from now on; it may use `cpu` thousandths of a processor.
    pub fn join(&mut self, now: Millis, entry: &Name, cpu: u32) {
        self.peers.insert(entry.clone(), Peer { at: now, log: true, cpu, since: now });
    }

    /// Another entry says whether it can read the log.
    pub fn hear(&mut self, now: Millis, entry: &Name, log: bool) {
        let peer = Peer { at: now, log, cpu: 0, since: now };
        let known = self.peers.entry(entry.clone()).or_insert(peer);
        (known.at, known.log) = (now, log);
    }

    /// The processors of the largest other entry that can read the log and was heard all through
    /// the last [`SETTLED`], in thousandths; 0: there is none.
    pub fn largest(&self, now: Millis) -> u32 {
        let sound = self.peers.values().filter(|peer| {
            peer.log && now.since(peer.at) < PEER_FRESH && now.since(peer.since) >= SETTLED
        });
        sound.map(|peer| peer.cpu).max().unwrap_or(0)
    }

    /// Whether orders may go out only because nobody can read the log.
    pub fn rests_on_peers(&self, now: Millis) -> bool {
        self.age(now) >= SILENCE && self.holds(now)
    }

    /// Whether orders may go out.
    pub fn holds(&self, now: Millis) -> bool {
        if self.age(now) < SILENCE {
            return true;
        }
        let known = self.peers.values().filter(|peer| now.since(peer.at) < REMOVED).count();
        let unable =
            self.peers.values().filter(|peer| !peer.log && now.since(peer.at) < PEER_FRESH);
        // This entry is known too, and cannot reach the log.
        2 * (unable.count() + 1) > known + 1
    }
}
