//! This entry's view of the other entries, from the settings, the VM list and heartbeats.

use crate::clock::Millis;
use crate::controller::claims::Peer;
use crate::controller::gossip::{DeltaOutcome, Inbox};
use crate::controller::list::{Role, VmList};
use crate::controller::shard_ranking::ShardCapacity;
use crate::controller::slots::OWNERSHIP_PROOF_TTL;
use crate::id::{EntryId, Name};
use crate::settings::Settings;
use crate::wire::msg::{DeltaHeartbeat, Heartbeat};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A peer without a heartbeat for this long counts as unreachable.
const PEER_FRESHNESS: Millis = Millis(2_000);

/// The last known state of another entry.
#[derive(Debug, Clone)]
pub(crate) struct PeerState {
    pub domain: Name,
    pub addr: SocketAddr,
    pub beat: Option<(Millis, Heartbeat)>,
    inbox: Inbox,
}

impl PeerState {
    fn new(domain: Name, addr: SocketAddr) -> Self {
        Self { domain, addr, beat: None, inbox: Inbox::default() }
    }
}

/// The last known state of all other entries.
#[derive(Debug)]
pub(crate) struct Peers {
    me: Name,
    domain: Name,
    known: BTreeMap<Name, PeerState>,
}

impl Peers {
    pub fn new(settings: &Settings) -> Self {
        let known = settings.peers.iter().map(|peer| {
            let known = PeerState::new(peer.domain.clone(), peer.addr);
            (peer.name.clone(), known)
        });
        Self { me: settings.name.clone(), domain: settings.domain.clone(), known: known.collect() }
    }

    /// Adds the entries of a new VM list and removes those that are gone for good.
    pub fn apply_vm_list(&mut self, list: &VmList, is_gone: impl Fn(&str) -> bool) {
        self.known.retain(|name, _| !is_gone(name));
        for vm in list.vms.iter().filter(|vm| vm.role == Role::Entry && vm.name != self.me) {
            let Ok(addr) = vm.addr.parse() else { continue };
            let fresh = PeerState::new(vm.domain.clone(), addr);
            self.known.entry(vm.name.clone()).or_insert(fresh).addr = addr;
        }
    }

    /// Records a heartbeat; returns the earlier incarnation of the sender if this is a new one.
    pub fn record_heartbeat(&mut self, now: Millis, beat: Heartbeat) -> Option<EntryId> {
        let fresh = PeerState::new(beat.domain.clone(), beat.addr);
        let known = self.known.entry(beat.from.name.clone()).or_insert(fresh);
        let old = known.beat.as_ref().map(|(_, beat)| beat.from.clone());
        if old.as_ref().is_some_and(|old| old.incarnation > beat.from.incarnation) {
            return None;
        }
        let replaced = old.filter(|old| old.incarnation < beat.from.incarnation);
        known.addr = beat.addr;
        known.beat = Some((now, beat));
        replaced
    }

    /// Completes a delta heartbeat with the unchanged shards; `None` if the state that it builds on is
    /// not known, or a newer one is.
    pub fn merge(&mut self, message: DeltaHeartbeat) -> Option<Heartbeat> {
        let DeltaHeartbeat { heartbeat, delta } = message;
        let fresh = PeerState::new(heartbeat.domain.clone(), heartbeat.addr);
        let known = self.known.entry(heartbeat.from.name.clone()).or_insert(fresh);
        let taken = known.inbox.take(&heartbeat.from, delta);
        (taken == DeltaOutcome::Applied)
            .then(|| Heartbeat { shards: known.inbox.shards(), ..heartbeat })
    }

    /// The number of the newest state that is known of an incarnation of an entry; 0 if none is.
    pub fn held_seq(&self, name: &str, inc: u64) -> u64 {
        self.known.get(name).map_or(0, |known| known.inbox.held(inc))
    }

    /// The incarnation in an entry's last heartbeat.
    pub fn incarnation(&self, name: &str) -> Option<u64> {
        let (_, beat) = self.known.get(name)?.beat.as_ref()?;
        Some(beat.from.incarnation)
    }

    /// The address at which an entry serves other entries.
    pub fn addr(&self, name: &str) -> Option<SocketAddr> {
        self.known.get(name).map(|known| known.addr)
    }

    /// All peers with their addresses.
    pub fn all(&self) -> Vec<(Name, SocketAddr)> {
        self.known.iter().map(|(name, known)| (name.clone(), known.addr)).collect()
    }

    /// The reachable peers that are not stopping: names, failure domains and addresses.
    pub fn reachable(&self, now: Millis) -> Vec<(Name, Name, SocketAddr)> {
        let fresh = self.known.iter().filter(|(_, known)| known.is_fresh(now));
        fresh.map(|(name, known)| (name.clone(), known.domain.clone(), known.addr)).collect()
    }

    /// Whether a peer sent a heartbeat lately, even if it is stopping.
    pub fn is_heard(&self, now: Millis, name: &str) -> bool {
        let beat = self.known.get(name).and_then(|known| known.beat.as_ref());
        beat.is_some_and(|(heard, _)| now.since(*heard) < PEER_FRESHNESS)
    }

    /// The capacity offered by shards of reachable peers: shard, failure domain and capacity.
    pub fn rooms(&self, now: Millis) -> Vec<(Name, Name, ShardCapacity)> {
        let fresh = self.known.values().filter(|known| known.is_fresh(now));
        let beats = fresh.filter_map(|known| known.beat.as_ref());
        let rooms = beats.flat_map(|(_, beat)| {
            beat.shards
                .iter()
                .filter_map(|shard| Some((shard.shard.clone(), beat.domain.clone(), shard.room?)))
        });
        rooms.collect()
    }

    /// The peers of this failure domain, reachable or not.
    pub fn local_names(&self) -> BTreeSet<Name> {
        let here = self.known.iter().filter(|(_, known)| known.domain == self.domain);
        here.map(|(name, _)| name.clone()).collect()
    }

    /// The peer whose last heartbeat says that it owns a shard in `epoch` or a later one.
    pub fn owner(&self, now: Millis, shard: &str, epoch: u64) -> Option<Name> {
        let heard = self.known.iter().filter(|(name, _)| self.is_heard(now, name));
        let mut owners = heard.filter(|(_, known)| {
            let beat = known.beat.as_ref().map(|(_, beat)| beat);
            let at = beat.and_then(|beat| beat.shards.iter().find(|at| *at.shard == *shard));
            at.is_some_and(|at| at.is_owner && at.epoch >= epoch)
        });
        owners.next().map(|(name, _)| name.clone())
    }

    /// Whether every peer of this failure domain sent a heartbeat within the last [`OWNER_PROOF`] and
    /// none knew of a later epoch of `shard` than `epoch`. A peer that was stopping in its last
    /// heartbeat makes no more claims, so that heartbeat may be older.
    pub fn none_knows_later(&self, now: Millis, shard: &str, epoch: u64) -> bool {
        let mut here = self.known.values().filter(|known| known.domain == self.domain);
        here.all(|known| {
            let Some((heard, beat)) = &known.beat else { return false };
            let later = beat.shards.iter().any(|at| *at.shard == *shard && at.epoch > epoch);
            (beat.is_stopping || now.since(*heard) < OWNERSHIP_PROOF_TTL) && !later
        })
    }

    /// The peers of this failure domain that have sent a heartbeat, as the claimant needs them.
    pub fn claimants(&self) -> BTreeMap<Name, Peer> {
        let here = self.known.iter().filter(|(_, known)| known.domain == self.domain);
        let heard = here.filter_map(|(name, known)| {
            let (heard, beat) = known.beat.as_ref()?;
            let peer = Peer { id: beat.from.clone(), heard: *heard, leaving: beat.is_stopping };
            Some((name.clone(), peer))
        });
        heard.collect()
    }
}

impl PeerState {
    fn is_fresh(&self, now: Millis) -> bool {
        self.beat
            .as_ref()
            .is_some_and(|(at, beat)| now.since(*at) < PEER_FRESHNESS && !beat.is_stopping)
    }
}
