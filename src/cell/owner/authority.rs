//! How long an owner may give orders and renew leases without hearing from the log.
//!
//! Another entry claims the cell after [`SILENCE`](crate::cell::owner::election::SILENCE) without a
//! heartbeat in a log that it can read. So for that long after a heartbeat no other owner can be.
//! Beyond it an owner goes on only while most entries say that they cannot read the log either. The
//! entries that cannot be reached count as ones that can: behind a cut they may.

use crate::cell::owner::election::SILENCE;
use crate::clock::Millis;
use crate::id::Name;
use std::collections::{BTreeMap, BTreeSet};

/// What an entry said of the log is good for this long: three of its pings.
const PEER_FRESH: Millis = Millis(500);
/// The other entries are asked whether they can read the log once it has failed the owner this
/// long: a call that the store refused for being asked too often is sent again before.
const FAILING: Millis = Millis(150);
/// They are asked again after this time.
const PROBE_EVERY: Millis = Millis(400);
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
    /// Since when the store fails this owner.
    failing: Option<Millis>,
    /// When the others were last asked whether it fails them too.
    asked: Option<Millis>,
    /// Those that could read the log when asked.
    able: BTreeSet<Name>,
    /// How many other entries there are by the word of those that heard earlier owners, until when that counts.
    expected: (usize, Millis),
}

impl Authority {
    /// The owner's claim was in the log at `now`.
    pub fn new(now: Millis) -> Self {
        let (peers, able) = (BTreeMap::new(), BTreeSet::new());
        let expected = (0, now);
        Self { confirmed: now, peers, failing: None, asked: None, able, expected }
    }

    /// A heartbeat that was sent at `sent` is in the log.
    pub fn confirm(&mut self, sent: Millis) {
        self.confirmed = self.confirmed.max(sent);
        self.recover();
    }

    /// The store failed this owner.
    pub fn fail(&mut self, now: Millis) {
        self.failing.get_or_insert(now);
    }

    /// The store serves this owner.
    pub fn recover(&mut self) {
        (self.failing, self.asked) = (None, None);
        self.able.clear();
    }

    /// Whether to ask the other entries now whether they can read the log.
    pub fn should_probe(&mut self, now: Millis) -> bool {
        let fails = self.failing.is_some_and(|since| now.since(since) >= FAILING);
        let due = self.asked.is_none_or(|asked| now.since(asked) >= PROBE_EVERY);
        if fails && due {
            self.asked = Some(now);
            self.able.clear();
        }
        fails && due
    }

    /// What an entry found when it was asked.
    pub fn probed(&mut self, entry: &Name, able: bool) {
        if able {
            self.able.insert(entry.clone());
        }
    }

    /// Whether most other entries read the log after it had failed this owner: one of them should
    /// own the cell. Without this the cell waits for the owner's silence, 1.2 s.
    pub fn is_isolated(&self, now: Millis) -> bool {
        self.asked.is_some() && 2 * self.able.len() > self.known(now)
    }

    /// Earlier owners counted so many other entries. Those that have not connected to this one may be behind a cut, and can
    /// read the log there.
    pub fn expect(&mut self, now: Millis, entries: u32) {
        let (before, until) = self.expected;
        let still = if now < until { before } else { 0 };
        self.expected = (still.max(entries as usize), now + REMOVED);
    }

    /// Other entries that are not taken for removed.
    pub fn known(&self, now: Millis) -> usize {
        self.peers.values().filter(|peer| now.since(peer.at) < REMOVED).count()
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
        let unable =
            self.peers.values().filter(|peer| !peer.log && now.since(peer.at) < PEER_FRESH);
        let expected = if now < self.expected.1 { self.expected.0 } else { 0 };
        // This entry is known too, and cannot reach the log.
        2 * (unable.count() + 1) > self.known(now).max(expected) + 1
    }
}
