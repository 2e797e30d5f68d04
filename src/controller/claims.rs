//! Who owns each shard: the fold of the log's claims, and when to claim.

use crate::clock::Millis;
use crate::id::{EntryId, Name, hash};
use crate::record::Claim;
use std::collections::{BTreeMap, BTreeSet};

/// An owner not heard for this long is suspected.
pub const OWNER_TIMEOUT: Millis = Millis(3_000);
/// Each further candidate waits this much longer before it claims.
const CLAIM_STAGGER: Millis = Millis(500);
/// A claim not read back after this long is decided again.
const CLAIM_TIMEOUT: Millis = Millis(2_000);

/// Each claim since the last owner that got to work makes the next one wait twice as long, up to
/// this many times: entries that cannot hear each other do not take the shard from one another
/// without end.
const MAX_DOUBLINGS: u32 = 8;
/// Claims without an owner at work that make nobody wait.
const UNDELAYED_CLAIMS: u32 = 3;

/// The claims on all shards, folded in the order of the log: from the last owner that got to work
/// on, or from the first.
#[derive(Debug, Default)]
pub struct Claims {
    shards: BTreeMap<Name, Vec<Claim>>,
}

impl Claims {
    /// Folds one claim; `false` if it is void.
    pub fn fold(&mut self, claim: &Claim) -> bool {
        if claim.epoch != self.epoch(&claim.shard) + 1 {
            return false;
        }
        self.shards.entry(claim.shard.clone()).or_default().push(claim.clone());
        true
    }

    /// The owner of this epoch has its state at all replicas: earlier claims are forgotten.
    pub fn active(&mut self, shard: &str, epoch: u64) {
        if let Some(history) = self.shards.get_mut(shard)
            && history.iter().any(|claim| claim.epoch == epoch)
        {
            history.retain(|claim| claim.epoch >= epoch);
        }
    }

    /// Takes a history from a snapshot of the log if it is newer.
    pub fn restore(&mut self, claims: &[Claim]) -> bool {
        let Some(newest) = claims.last() else { return false };
        if self.epoch(&newest.shard) >= newest.epoch {
            return false;
        }
        self.shards.insert(newest.shard.clone(), claims.to_vec());
        true
    }

    /// The claims on a shard in order.
    pub fn history(&self, shard: &str) -> &[Claim] {
        self.shards.get(shard).map_or(&[], Vec::as_slice)
    }

    /// The claim in force.
    pub fn last(&self, shard: &str) -> Option<&Claim> {
        self.history(shard).last()
    }

    /// The epoch in force, 0 if there is none.
    pub fn epoch(&self, shard: &str) -> u64 {
        self.last(shard).map_or(0, |claim| claim.epoch)
    }

    /// The histories of all shards, for a snapshot of the log.
    pub fn histories(&self) -> Vec<Vec<Claim>> {
        self.shards.values().cloned().collect()
    }

    /// All shards ever claimed, with the claim in force.
    pub fn all(&self) -> impl Iterator<Item = &Claim> {
        self.shards.values().filter_map(|history| history.last())
    }
}

/// What an entry knows about another one of its failure domain.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Its present run.
    pub id: EntryId,
    /// When it was last heard.
    pub heard: Millis,
    /// Whether it is stopping.
    pub leaving: bool,
}

/// Decides when this entry claims shards of its failure domain.
#[derive(Debug)]
pub struct Claimant {
    me: EntryId,
    domain: Name,
    since: Millis,
    last_claims: BTreeMap<Name, (u64, Millis)>,
    released: BTreeMap<Name, u64>,
}

impl Claimant {
    /// A claimant that starts at `now`; peers get the suspicion time to be heard first.
    pub fn new(me: EntryId, domain: Name, now: Millis) -> Self {
        Self { me, domain, since: now, last_claims: BTreeMap::new(), released: BTreeMap::new() }
    }

    /// The owner of `epoch` gave this shard up in favour of this entry.
    pub fn release(&mut self, shard: Name, epoch: u64) {
        self.released.insert(shard, epoch);
    }

    /// The claim to append for one shard, if any.
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

    /// Whether the owner should change the replicas of its shard: one is lost or a new one came.
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

    /// How long this entry waits for candidates that go first.
    fn claim_delay(&self, now: Millis, shard: &Name, peers: &BTreeMap<Name, Peer>) -> Millis {
        let weight = |name: &Name| hash(&[shard.as_bytes(), name.as_bytes()]);
        let mine = weight(&self.me.name);
        let first = self.replicas(now, peers).iter().filter(|id| weight(&id.name) > mine).count();
        Millis(CLAIM_STAGGER.0 * first as u64)
    }
}
