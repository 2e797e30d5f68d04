//! Whether an owner may still send orders and renew leases while it cannot write to the log.
//!
//! Another entry claims the cell only after it has read the log for [`OWNER_TIMEOUT`] without
//! finding a heartbeat, so within that time after a heartbeat there can be no other owner. After
//! that, the owner continues only while all entries that may claim the cell report that they cannot
//! read the log either. Entries that it cannot reach are counted as able to read the log, because
//! on the other side of a network partition they may be. The log names the entries that the owner
//! counts; see [`claimants`](crate::cell::owner::claimants).

use crate::cell::owner::claimants::{ClaimantUpdate, Claimants, MAX_RELIANCE};
use crate::cell::owner::election::OWNER_TIMEOUT;
use crate::clock::Millis;
use crate::id::Name;
use std::collections::{BTreeMap, BTreeSet};

/// How long a peer's report about the log is valid, which is three ping intervals.
const PEER_REPORT_TTL: Millis = Millis(500);
/// How long a peer's report about the log is valid for the choice of the next owner while the owner
/// is overloaded and reads pings late. A peer that has failed meanwhile delays the next claim by
/// 400 ms.
const LATE_PEER_REPORT_TTL: Millis = Millis(3_000);
/// How long the store must have failed the owner before it asks its peers whether they can read the
/// log. A call that the store rejected because of its rate limit is retried within this time.
const PROBE_DELAY: Millis = Millis(150);
/// The time between two such probes.
const PROBE_INTERVAL: Millis = Millis(400);
/// How long a peer must have been connected to count as a possible owner.
const MIN_CONNECTED_TIME: Millis = Millis(1_500);
/// A peer that has not been heard from for this long is assumed to have been removed.
const PEER_EXPIRY: Millis = Millis(60_000);
/// How long after the first claim of a cell the owner names itself alone, if no other entry has
/// connected. If it ended before, those that have started with it would claim the cell late.
const FIRST_CLAIMANTS_DELAY: Millis = Millis(2_500);
/// The longest time between two heartbeats that name the claimants. It is much less than the time
/// for which the log is kept, so that entries that read the log for the first time find them.
const CLAIMANTS_INTERVAL: Millis = Millis(4_000);

/// The CPU of an entry that is connected to the owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerCpu {
    /// The entry.
    pub name: Name,
    /// The CPU that it has available, in millicores.
    pub cpu: u32,
}

/// The state of another entry, as known to the owner.
#[derive(Debug)]
struct Peer {
    last_seen: Millis,
    log_readable: bool,
    /// CPU available to the peer, in millicores; 0 if unknown.
    cpu: u32,
    connected_since: Millis,
    /// Since when the peer has been known, with interruptions of less than
    /// [`LATE_PEER_REPORT_TTL`].
    known_since: Millis,
}

/// The state from which an owner derives whether it may still act as the owner.
#[derive(Debug)]
pub struct Authority {
    /// The name of the owner.
    me: Name,
    /// When the newest heartbeat that reached the log was sent.
    last_heartbeat: Millis,
    peers: BTreeMap<Name, Peer>,
    /// Since when the store has been failing this owner's calls.
    failing_since: Option<Millis>,
    /// When the peers were last asked whether they can read the log.
    last_probe: Option<Millis>,
    /// The peers that answered the last probe that they can read the log.
    log_readers: BTreeSet<Name>,
    /// The number of peers that earlier owners counted, and until when that number is used.
    expected_peers: (usize, Millis),
    /// When this state was created.
    created_at: Millis,
    /// The entries that the owner before counted and that have not connected since.
    inherited: Claimants,
    /// The claimants that the log names since the last heartbeat that reached it, and when they were
    /// last named. `None` while any entry may claim the cell.
    named: Option<(Claimants, Millis)>,
}

impl Authority {
    /// Creates the state of the owner `me` at `now`. The newest of its records that reached the log
    /// was sent at `last_heartbeat`, and its claim named the claimants that it inherited, if any.
    pub fn new(
        me: Name,
        now: Millis,
        last_heartbeat: Millis,
        inherited: Option<&Claimants>,
    ) -> Self {
        let mut unheard = inherited.cloned().unwrap_or_default();
        unheard.remove(&me);
        Self {
            me,
            last_heartbeat,
            peers: BTreeMap::new(),
            failing_since: None,
            last_probe: None,
            log_readers: BTreeSet::new(),
            expected_peers: (0, now),
            created_at: now,
            inherited: unheard,
            named: inherited.map(|claimants| (claimants.clone(), now)),
        }
    }

    /// The claimants as the heartbeat that is sent at `now` names them.
    pub fn claimants(&self, now: Millis) -> ClaimantUpdate {
        let is_alone = self.peers.is_empty() && now.since(self.created_at) < FIRST_CLAIMANTS_DELAY;
        if self.named.is_none() && is_alone {
            return ClaimantUpdate::Any;
        }
        let mut claimants = self.inherited_at(now);
        claimants.insert(&self.me);
        self.peers_at(now).for_each(|(name, _)| claimants.insert(name));
        match &self.named {
            Some((named, at)) if *named == claimants && now.since(*at) < CLAIMANTS_INTERVAL => {
                ClaimantUpdate::Unchanged
            }
            _ => ClaimantUpdate::Only(claimants),
        }
    }

    /// Whether the log names an entry as one that may claim the cell.
    pub fn names(&self, entry: &Name) -> bool {
        self.named.as_ref().is_some_and(|(claimants, _)| claimants.contains(entry))
    }

    /// Records that a heartbeat sent at `sent` is in the log, with what it told of the claimants.
    pub fn confirm_claimants(&mut self, sent: Millis, update: ClaimantUpdate) {
        self.confirm_heartbeat(sent);
        if let ClaimantUpdate::Only(claimants) = update {
            self.named = Some((claimants, sent));
        }
    }

    /// The peers that are not assumed to have been removed at a time.
    fn peers_at(&self, at: Millis) -> impl Iterator<Item = (&Name, &Peer)> {
        self.peers.iter().filter(move |(_, peer)| at.since(peer.last_seen) < PEER_EXPIRY)
    }

    /// The inherited claimants that are not assumed to have been removed at a time.
    fn inherited_at(&self, at: Millis) -> Claimants {
        match at.since(self.created_at) < PEER_EXPIRY {
            true => self.inherited.clone(),
            false => Claimants::default(),
        }
    }

    /// Records that a heartbeat sent at `sent` is in the log.
    pub fn confirm_heartbeat(&mut self, sent: Millis) {
        self.last_heartbeat = self.last_heartbeat.max(sent);
        self.record_store_success();
    }

    /// Records that a call to the store failed.
    pub fn record_store_failure(&mut self, now: Millis) {
        self.failing_since.get_or_insert(now);
    }

    /// Records that a call to the store succeeded.
    pub fn record_store_success(&mut self) {
        (self.failing_since, self.last_probe) = (None, None);
        self.log_readers.clear();
    }

    /// Whether to ask the peers now whether they can read the log. If so, a new probe begins.
    pub fn should_probe(&mut self, now: Millis) -> bool {
        let is_failing = self.failing_since.is_some_and(|since| now.since(since) >= PROBE_DELAY);
        let is_due = self.last_probe.is_none_or(|at| now.since(at) >= PROBE_INTERVAL);
        if is_failing && is_due {
            self.last_probe = Some(now);
            self.log_readers.clear();
        }
        is_failing && is_due
    }

    /// Records a peer's answer to a probe.
    pub fn record_probe(&mut self, entry: &Name, can_read: bool) {
        if can_read {
            self.log_readers.insert(entry.clone());
        }
    }

    /// Whether most peers can read the log while this owner cannot. One of them should own the cell
    /// then; if the owner did not step down, the cell would be idle for [`OWNER_TIMEOUT`].
    pub fn is_isolated(&self, now: Millis) -> bool {
        self.last_probe.is_some() && 2 * self.log_readers.len() > self.known_peers(now)
    }

    /// Records how many peers an earlier owner counted. Those that have not connected to this owner
    /// may be in another network partition that can read the log.
    pub fn expect_peers(&mut self, now: Millis, count: u32) {
        let (previous, until) = self.expected_peers;
        let current = if now < until { previous } else { 0 };
        self.expected_peers = (current.max(count as usize), now + PEER_EXPIRY);
    }

    /// The number of peers that are not assumed to have been removed.
    pub fn known_peers(&self, now: Millis) -> usize {
        self.peers_at(now).count()
    }

    /// The time since the newest heartbeat that reached the log was sent.
    pub fn heartbeat_age(&self, now: Millis) -> Millis {
        now.since(self.last_heartbeat)
    }

    /// Adds a peer that connected to this owner and has `cpu` millicores available.
    pub fn add_peer(&mut self, now: Millis, entry: &Name, cpu: u32) {
        let known = self
            .peers
            .get(entry)
            .filter(|known| known.cpu == cpu && now.since(known.last_seen) < LATE_PEER_REPORT_TTL);
        let known_since = known.map_or(now, |known| known.known_since);
        let (last_seen, connected_since) = (now, now);
        let peer = Peer { last_seen, log_readable: true, cpu, connected_since, known_since };
        self.inherited.remove(entry);
        self.peers.insert(entry.clone(), peer);
    }

    /// Records a peer's report whether it can read the log.
    pub fn update_peer(&mut self, now: Millis, entry: &Name, log_readable: bool) {
        let (last_seen, connected_since, known_since) = (now, now, now);
        let peer = Peer { last_seen, log_readable, cpu: 0, connected_since, known_since };
        self.inherited.remove(entry);
        let known = self.peers.entry(entry.clone()).or_insert(peer);
        (known.last_seen, known.log_readable) = (now, log_readable);
    }

    /// The most CPU, in millicores, that any peer has that can read the log and has been connected
    /// for at least [`MIN_CONNECTED_TIME`]; 0 if there is no such peer.
    pub fn largest_peer_cpu(&self, now: Millis) -> u32 {
        self.largest_peer(now, false, None).map_or(0, |peer| peer.cpu)
    }

    /// The peer with the most CPU of those that can read the log and have been connected for at
    /// least [`MIN_CONNECTED_TIME`]. Of several, `avoided` is chosen last. An owner that `is_late`
    /// also counts peers that it has not heard from for a while, or that had to connect again
    /// because it was late.
    pub fn largest_peer(
        &self,
        now: Millis,
        is_late: bool,
        avoided: Option<&Name>,
    ) -> Option<PeerCpu> {
        let report_ttl = if is_late { LATE_PEER_REPORT_TTL } else { PEER_REPORT_TTL };
        let since = |peer: &Peer| if is_late { peer.known_since } else { peer.connected_since };
        let eligible = self.peers.iter().filter(|(_, peer)| {
            peer.cpu > 0
                && peer.log_readable
                && now.since(peer.last_seen) < report_ttl
                && now.since(since(peer)) >= MIN_CONNECTED_TIME
        });
        let largest = eligible.max_by_key(|(name, peer)| (peer.cpu, Some(*name) != avoided));
        largest.map(|(name, peer)| PeerCpu { name: name.clone(), cpu: peer.cpu })
    }

    /// Whether the store failed the owner's last call.
    pub fn is_store_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Whether orders may be sent only because no entry that may claim the cell can read the log.
    pub fn depends_on_peers(&self, now: Millis) -> bool {
        self.heartbeat_age(now) >= OWNER_TIMEOUT && self.is_valid(now)
    }

    /// Whether this owner may send orders and renew leases.
    pub fn is_valid(&self, now: Millis) -> bool {
        let age = self.heartbeat_age(now);
        age < OWNER_TIMEOUT || (age < MAX_RELIANCE && self.excludes_claims(now))
    }

    /// Whether no entry can claim the cell because all that may do so cannot read the log.
    fn excludes_claims(&self, now: Millis) -> bool {
        let is_unable =
            |peer: &Peer| !peer.log_readable && now.since(peer.last_seen) < PEER_REPORT_TTL;
        // The log names the entries that counted at the last heartbeat.
        let counted_at = self.last_heartbeat;
        let expected = if now < self.expected_peers.1 { self.expected_peers.0 } else { 0 };
        self.named.is_some()
            && self.inherited_at(counted_at).is_empty()
            && self.peers_at(counted_at).all(|(_, peer)| is_unable(peer))
            && self.peers_at(counted_at).count() >= expected
    }
}
