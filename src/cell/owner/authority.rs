//! How long an owner may give orders and renew leases without hearing from the log.
//!
//! Another entry claims the cell after [`OWNER_TIMEOUT`](crate::cell::owner::election::OWNER_TIMEOUT) without a
//! heartbeat in a log that it can read. So for that long after a heartbeat no other owner can be.
//! Beyond it an owner goes on only while most entries say that they cannot read the log either. The
//! entries that cannot be reached count as ones that can: behind a cut they may.

use crate::cell::owner::election::OWNER_TIMEOUT;
use crate::clock::Millis;
use crate::id::Name;
use std::collections::{BTreeMap, BTreeSet};

/// What an entry said of the log is good for this long: three of its pings.
const PEER_REPORT_TTL: Millis = Millis(500);
/// The other entries are asked whether they can read the log once it has failed the owner this
/// long: a call that the store refused for being asked too often is sent again before.
const PROBE_DELAY: Millis = Millis(150);
/// They are asked again after this time.
const PROBE_INTERVAL: Millis = Millis(400);
/// An entry counts as one that could be the owner once it was heard for this long.
const MIN_CONNECTED_TIME: Millis = Millis(1_500);
/// An entry that was not heard for this long is taken for removed.
const PEER_EXPIRY: Millis = Millis(60_000);

#[derive(Debug)]
struct Peer {
    last_seen: Millis,
    log_readable: bool,
    /// What it may use of processors, in thousandths of one.
    cpu: u32,
    connected_since: Millis,
}

/// What an owner knows of its authority.
#[derive(Debug)]
pub struct Authority {
    last_heartbeat: Millis,
    peers: BTreeMap<Name, Peer>,
    /// Since when the store fails this owner.
    failing_since: Option<Millis>,
    /// When the others were last asked whether it fails them too.
    last_probe: Option<Millis>,
    /// Those that could read the log when asked.
    log_readers: BTreeSet<Name>,
    /// How many other entries there are by the word of those that heard earlier owners, until when that counts.
    expected_peers: (usize, Millis),
}

impl Authority {
    /// The owner's claim was in the log at `now`.
    pub fn new(now: Millis) -> Self {
        let (peers, log_readers) = (BTreeMap::new(), BTreeSet::new());
        let expected_peers = (0, now);
        Self {
            last_heartbeat: now,
            peers,
            failing_since: None,
            last_probe: None,
            log_readers,
            expected_peers,
        }
    }

    /// A heartbeat that was sent at `sent` is in the log.
    pub fn confirm_heartbeat(&mut self, sent: Millis) {
        self.last_heartbeat = self.last_heartbeat.max(sent);
        self.record_store_success();
    }

    /// The store failed this owner.
    pub fn record_store_failure(&mut self, now: Millis) {
        self.failing_since.get_or_insert(now);
    }

    /// The store serves this owner.
    pub fn record_store_success(&mut self) {
        (self.failing_since, self.last_probe) = (None, None);
        self.log_readers.clear();
    }

    /// Whether to ask the other entries now whether they can read the log.
    pub fn should_probe(&mut self, now: Millis) -> bool {
        let fails = self.failing_since.is_some_and(|since| now.since(since) >= PROBE_DELAY);
        let due = self.last_probe.is_none_or(|asked| now.since(asked) >= PROBE_INTERVAL);
        if fails && due {
            self.last_probe = Some(now);
            self.log_readers.clear();
        }
        fails && due
    }

    /// What an entry found when it was asked.
    pub fn record_probe(&mut self, entry: &Name, able: bool) {
        if able {
            self.log_readers.insert(entry.clone());
        }
    }

    /// Whether most other entries read the log after it had failed this owner: one of them should
    /// own the cell. Without this the cell waits for the owner's silence, 1.2 s.
    pub fn is_isolated(&self, now: Millis) -> bool {
        self.last_probe.is_some() && 2 * self.log_readers.len() > self.known_peers(now)
    }

    /// Earlier owners counted so many other entries. Those that have not connected to this one may be behind a cut, and can
    /// read the log there.
    pub fn expect_peers(&mut self, now: Millis, entries: u32) {
        let (before, until) = self.expected_peers;
        let still = if now < until { before } else { 0 };
        self.expected_peers = (still.max(entries as usize), now + PEER_EXPIRY);
    }

    /// Other entries that are not taken for removed.
    pub fn known_peers(&self, now: Millis) -> usize {
        self.peers.values().filter(|peer| now.since(peer.last_seen) < PEER_EXPIRY).count()
    }

    /// The time since the last heartbeat that is in the log was sent.
    pub fn heartbeat_age(&self, now: Millis) -> Millis {
        now.since(self.last_heartbeat)
    }

    /// Another entry asks this owner from now on; it may use `cpu` thousandths of a processor.
    pub fn add_peer(&mut self, now: Millis, entry: &Name, cpu: u32) {
        self.peers.insert(
            entry.clone(),
            Peer { last_seen: now, log_readable: true, cpu, connected_since: now },
        );
    }

    /// Another entry says whether it can read the log.
    pub fn update_peer(&mut self, now: Millis, entry: &Name, log_readable: bool) {
        let peer = Peer { last_seen: now, log_readable, cpu: 0, connected_since: now };
        let known = self.peers.entry(entry.clone()).or_insert(peer);
        (known.last_seen, known.log_readable) = (now, log_readable);
    }

    /// The processors of the largest other entry that can read the log and was heard all through
    /// the last [`MIN_CONNECTED_TIME`], in thousandths; 0: there is none.
    pub fn largest_peer_cpu(&self, now: Millis) -> u32 {
        let sound = self.peers.values().filter(|peer| {
            peer.log_readable
                && now.since(peer.last_seen) < PEER_REPORT_TTL
                && now.since(peer.connected_since) >= MIN_CONNECTED_TIME
        });
        sound.map(|peer| peer.cpu).max().unwrap_or(0)
    }

    /// Whether orders may go out only because nobody can read the log.
    pub fn depends_on_peers(&self, now: Millis) -> bool {
        self.heartbeat_age(now) >= OWNER_TIMEOUT && self.is_valid(now)
    }

    /// Whether orders may go out.
    pub fn is_valid(&self, now: Millis) -> bool {
        if self.heartbeat_age(now) < OWNER_TIMEOUT {
            return true;
        }
        let unable = self
            .peers
            .values()
            .filter(|peer| !peer.log_readable && now.since(peer.last_seen) < PEER_REPORT_TTL);
        let expected = if now < self.expected_peers.1 { self.expected_peers.0 } else { 0 };
        // This entry is known too, and cannot reach the log.
        2 * (unable.count() + 1) > self.known_peers(now).max(expected) + 1
    }
}
