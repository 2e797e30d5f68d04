//! The ownership of shards: the claims read from the log, and the decision when to claim a shard.

use crate::clock::Millis;
use crate::id::{EntryId, Name, hash};
use crate::record::Claim;
use std::collections::{BTreeMap, BTreeSet};

/// An owner without a heartbeat for this long is taken for failed.
pub const OWNER_TIMEOUT: Millis = Millis(3_000);
/// Each entry waits this much longer for every entry that ranks before it as the next owner.
const CLAIM_STAGGER: Millis = Millis(500);
/// A claim that was not read back from the log after this long is decided anew.
const CLAIM_TIMEOUT: Millis = Millis(2_000);

/// The delay before a claim doubles with each claim since the last active owner, at most this many
/// times, so that entries that cannot reach each other do not keep taking the shard from one
/// another.
const MAX_DOUBLINGS: u32 = 8;
/// The number of claims since the last active owner that cause no delay.
const UNDELAYED_CLAIMS: u32 = 3;

/// The claims on all shards in the order of the log. The claims on a shard start with that of its
/// last active owner, or with the first one.
#[derive(Debug, Default)]
pub struct Claims {
    shards: BTreeMap<Name, Vec<Claim>>,
}

impl Claims {
    /// Applies a claim from the log; returns `false` if it is void because its epoch was claimed
    /// before.
    pub fn fold(&mut self, claim: &Claim) -> bool {
        if claim.epoch != self.epoch(&claim.shard) + 1 {
            return false;
        }
        self.shards.entry(claim.shard.clone()).or_default().push(claim.clone());
        true
    }

    /// Drops the claims before `epoch`, whose owner has its state at all replicas.
    pub fn active(&mut self, shard: &str, epoch: u64) {
        if let Some(history) = self.shards.get_mut(shard)
            && history.iter().any(|claim| claim.epoch == epoch)
        {
            history.retain(|claim| claim.epoch >= epoch);
        }
    }

    /// Replaces the claims on a shard by those from a snapshot of the log; returns `false` if they
    /// are not newer.
    pub fn restore(&mut self, claims: &[Claim]) -> bool {
        let Some(newest) = claims.last() else { return false };
        if self.epoch(&newest.shard) >= newest.epoch {
            return false;
        }
        self.shards.insert(newest.shard.clone(), claims.to_vec());
        true
    }

    /// The claims on a shard, in order of their epochs.
    pub fn history(&self, shard: &str) -> &[Claim] {
        self.shards.get(shard).map_or(&[], Vec::as_slice)
    }

    /// The last valid claim on a shard, which names its owner.
    pub fn last(&self, shard: &str) -> Option<&Claim> {
        self.history(shard).last()
    }

    /// The epoch of the last valid claim; 0 if the shard was never claimed.
    pub fn epoch(&self, shard: &str) -> u64 {
        self.last(shard).map_or(0, |claim| claim.epoch)
    }

    /// The claims on all shards, for a snapshot of the log.
    pub fn histories(&self) -> Vec<Vec<Claim>> {
        self.shards.values().cloned().collect()
    }

    /// The last valid claim on every shard.
    pub fn all(&self) -> impl Iterator<Item = &Claim> {
        self.shards.values().filter_map(|history| history.last())
    }
}

/// Another entry of the same failure domain.
#[derive(Debug, Clone)]
pub struct Peer {
    /// The name and incarnation of the entry.
    pub id: EntryId,
    /// When its last heartbeat arrived.
    pub heard: Millis,
    /// Whether it is stopping.
    pub leaving: bool,
}

/// Decides when this entry claims a shard of its failure domain.
#[derive(Debug)]
pub struct Claimant {
    me: EntryId,
    domain: Name,
    since: Millis,
    last_claims: BTreeMap<Name, (u64, Millis)>,
    released: BTreeMap<Name, u64>,
}

impl Claimant {
    /// Creates a claimant that starts at `now`. Peers get [`OWNER_TIMEOUT`] for a first heartbeat
    /// before it claims a shard.
    pub fn new(me: EntryId, domain: Name, now: Millis) -> Self {
        Self { me, domain, since: now, last_claims: BTreeMap::new(), released: BTreeMap::new() }
    }

    /// Records that the owner of `epoch` released this shard for this entry to claim.
    pub fn release(&mut self, shard: Name, epoch: u64) {
        self.released.insert(shard, epoch);
    }

    /// The claim on a shard to append to the log, if this entry should claim it now.
    pub fn decide(
        &mut self,
        now: Millis,
        shard: &Name,
        claims: &Claims,
        peers: &BTreeMap<Name, Peer>,
    ) -> Option<Claim> {
        let last = claims.last(shard);
        let epoch = last.map_or(0, |claim| claim.epoch);
        let pending = self.last_claims.get(shard);
        if pending
            .is_some_and(|(last_claims, at)| *last_claims > epoch && now.since(*at) < CLAIM_TIMEOUT)
        {
            return None;
        }
        let idle = claims.history(shard).len() as u32;
        let doublings = idle.saturating_sub(UNDELAYED_CLAIMS).min(MAX_DOUBLINGS);
        let delay = Millis((CLAIM_STAGGER.0 << doublings) - CLAIM_STAGGER.0);
        if pending.is_some_and(|(_, at)| now.since(*at) < delay) {
            return None;
        }
        let replicas = self.replicas(now, peers);
        let wanted = match last {
            None => now.since(self.since) >= OWNER_TIMEOUT + self.claim_delay(now, shard, peers),
            Some(claim) if claim.owner == self.me => self.wants_change(now, claim, &replicas),
            Some(claim) if self.released.get(shard) == Some(&claim.epoch) => true,
            Some(claim) => self.suspects(now, claim, shard, peers),
        };
        if !wanted {
            return None;
        }
        self.last_claims.insert(shard.clone(), (epoch + 1, now));
        let [shard, domain] = [shard, &self.domain].map(Name::clone);
        Some(Claim { shard, domain, epoch: epoch + 1, owner: self.me.clone(), replicas })
    }

    fn replicas(&self, now: Millis, peers: &BTreeMap<Name, Peer>) -> Vec<EntryId> {
        let fresh =
            peers.values().filter(|peer| now.since(peer.heard) < OWNER_TIMEOUT && !peer.leaving);
        fresh.map(|peer| peer.id.clone()).collect()
    }

    /// Whether this owner should claim its shard anew because the set of its possible replicas
    /// changed.
    fn wants_change(&self, now: Millis, claim: &Claim, fresh: &[EntryId]) -> bool {
        let known: BTreeSet<&EntryId> = claim.replicas.iter().collect();
        let seen: BTreeSet<&EntryId> = fresh.iter().collect();
        now.since(self.since) >= OWNER_TIMEOUT && known != seen
    }

    fn suspects(
        &self,
        now: Millis,
        claim: &Claim,
        shard: &Name,
        peers: &BTreeMap<Name, Peer>,
    ) -> bool {
        let limit = OWNER_TIMEOUT + self.claim_delay(now, shard, peers);
        match peers.get(&claim.owner.name) {
            Some(peer) if peer.id.incarnation > claim.owner.incarnation => {
                now.since(self.since) >= self.claim_delay(now, shard, peers)
            }
            Some(peer) => now.since(peer.heard.max(self.since)) >= limit,
            None => now.since(self.since) >= limit,
        }
    }

    /// How long this entry waits for the entries that rank before it for this shard.
    fn claim_delay(&self, now: Millis, shard: &Name, peers: &BTreeMap<Name, Peer>) -> Millis {
        let weight = |name: &Name| hash(&[shard.as_bytes(), name.as_bytes()]);
        let mine = weight(&self.me.name);
        let first = self.replicas(now, peers).iter().filter(|id| weight(&id.name) > mine).count();
        Millis(CLAIM_STAGGER.0 * first as u64)
    }
}
