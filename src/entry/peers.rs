//! What this entry knows of the others.

use crate::clock::Millis;
use crate::controller::claims::Peer;
use crate::controller::gossip::{Inbox, Taken};
use crate::controller::list::{Role, VmList};
use crate::controller::offer::Room;
use crate::controller::slots::OWNER_PROOF;
use crate::id::{EntryId, Name};
use crate::settings::Settings;
use crate::wire::msg::{DeltaHeartbeat, Heartbeat};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A peer not heard for this long counts as not reachable.
const PEER_FRESHNESS: Millis = Millis(2_000);

/// One other entry.
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

/// All other entries, from the settings, the VM list and their own words.
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

    /// Takes in the entries of a new VM list; entries that it dropped are forgotten.
    pub fn apply_vm_list(&mut self, list: &VmList, is_gone: impl Fn(&str) -> bool) {
        self.known.retain(|name, _| !is_gone(name));
        for vm in list.vms.iter().filter(|vm| vm.role == Role::Entry && vm.name != self.me) {
            let Ok(addr) = vm.addr.parse() else { continue };
            let fresh = PeerState::new(vm.domain.clone(), addr);
            self.known.entry(vm.name.clone()).or_insert(fresh).addr = addr;
        }
    }

    /// Takes in a heartbeat; the earlier run of the same entry, if this is a new one.
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

    /// Adds to a heartbeat what it leaves out; `None` if that is not known, or newer is.
    pub fn merge(&mut self, message: DeltaHeartbeat) -> Option<Heartbeat> {
        let DeltaHeartbeat { heartbeat, delta } = message;
        let fresh = PeerState::new(heartbeat.domain.clone(), heartbeat.addr);
        let known = self.known.entry(heartbeat.from.name.clone()).or_insert(fresh);
        let taken = known.inbox.take(&heartbeat.from, delta);
        (taken == Taken::Yes).then(|| Heartbeat { shards: known.inbox.shards(), ..heartbeat })
    }

    /// The newest state held of a run of an entry; 0: none.
    pub fn held_seq(&self, name: &str, inc: u64) -> u64 {
        self.known.get(name).map_or(0, |known| known.inbox.held(inc))
    }

    /// The present run of an entry, as last heard.
    pub fn incarnation(&self, name: &str) -> Option<u64> {
        let (_, beat) = self.known.get(name)?.beat.as_ref()?;
        Some(beat.from.incarnation)
    }

    /// Where an entry answers other entries.
    pub fn addr(&self, name: &str) -> Option<SocketAddr> {
        self.known.get(name).map(|known| known.addr)
    }

    /// All peers with their addresses.
    pub fn all(&self) -> Vec<(Name, SocketAddr)> {
        self.known.iter().map(|(name, known)| (name.clone(), known.addr)).collect()
    }

    /// Peers heard lately and not stopping: names, failure domains and addresses.
    pub fn reachable(&self, now: Millis) -> Vec<(Name, Name, SocketAddr)> {
        let fresh = self.known.iter().filter(|(_, known)| known.is_fresh(now));
        fresh.map(|(name, known)| (name.clone(), known.domain.clone(), known.addr)).collect()
    }

    /// Whether a peer was heard lately, even if it is stopping.
    pub fn is_heard(&self, now: Millis, name: &str) -> bool {
        let beat = self.known.get(name).and_then(|known| known.beat.as_ref());
        beat.is_some_and(|(heard, _)| now.since(*heard) < PEER_FRESHNESS)
    }

    /// What the shards owned by peers could take, as last heard.
    pub fn rooms(&self, now: Millis) -> Vec<(Name, Name, Room)> {
        let fresh = self.known.values().filter(|known| known.is_fresh(now));
        let beats = fresh.filter_map(|known| known.beat.as_ref());
        let rooms = beats.flat_map(|(_, beat)| {
            beat.shards
                .iter()
                .filter_map(|shard| Some((shard.shard.clone(), beat.domain.clone(), shard.room?)))
        });
        rooms.collect()
    }

    /// The peers of this failure domain, heard or not.
    pub fn local_names(&self) -> BTreeSet<Name> {
        let here = self.known.iter().filter(|(_, known)| known.domain == self.domain);
        here.map(|(name, _)| name.clone()).collect()
    }

    /// The peer that says that it owns a shard in `epoch` or a later one.
    pub fn owner(&self, now: Millis, shard: &str, epoch: u64) -> Option<Name> {
        let heard = self.known.iter().filter(|(name, _)| self.is_heard(now, name));
        let mut owners = heard.filter(|(_, known)| {
            let beat = known.beat.as_ref().map(|(_, beat)| beat);
            let at = beat.and_then(|beat| beat.shards.iter().find(|at| *at.shard == *shard));
            at.is_some_and(|at| at.is_owner && at.epoch >= epoch)
        });
        owners.next().map(|(name, _)| name.clone())
    }

    /// Whether every peer of this failure domain was heard lately and knew of no epoch of `shard`
    /// after `epoch`. One that was stopping when last heard claims nothing any more.
    pub fn none_knows_later(&self, now: Millis, shard: &str, epoch: u64) -> bool {
        let mut here = self.known.values().filter(|known| known.domain == self.domain);
        here.all(|known| {
            let Some((heard, beat)) = &known.beat else { return false };
            let later = beat.shards.iter().any(|at| *at.shard == *shard && at.epoch > epoch);
            (beat.is_stopping || now.since(*heard) < OWNER_PROOF) && !later
        })
    }

    /// The peers of this failure domain, for the claimant.
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
