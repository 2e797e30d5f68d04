//! Limits of the whole cell: this entry's shards ask the homes of the limits for their parts, and
//! this entry lends parts of the limits that its shards are home to.

use crate::clock::Millis;
use crate::controller::quota::{HomeRequest, Limit, ShareRequest};
use crate::controller::shard::owner::Event;
use crate::entry::{Entry, ShardHandle, lock};
use crate::id::{Name, rendezvous};
use crate::wire::msg::{PeerRequest, PeerResponse, VERSION_2};
use futures_util::future::join_all;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Time between questions of a shard for which no limit is short.
const SHARE_EVERY: Millis = Millis(1_000);
/// Time between questions of a shard at least.
const SHARE_PAUSE: Millis = Millis(50);
/// How long a home may take to answer.
const HOME_LIMIT: Millis = Millis(1_000);

impl Entry {
    /// Asks for a shard's parts of limits: at once when tasks wait for one, else now and then.
    pub(super) async fn share_limits(self: Arc<Self>, handle: Arc<ShardHandle>) {
        loop {
            let _ = tokio::time::timeout(SHARE_EVERY.duration(), handle.short.notified()).await;
            self.ask_homes(&handle).await;
            tokio::time::sleep(SHARE_PAUSE.duration()).await;
        }
    }

    /// The number of shards over which limits are divided.
    pub(super) fn known_shards(&self) -> usize {
        lock(&self.fold).claims.all().count()
    }

    /// Asks all homes at once and waits for them all, so that a shard never has two questions
    /// under way.
    async fn ask_homes(self: &Arc<Self>, handle: &Arc<ShardHandle>) {
        let known = self.known_shards();
        let (epoch, asks) = {
            let mut shard = handle.shard();
            let Some(shard_owner) = shard.owner() else { return };
            shard_owner.set_shards(known);
            (shard_owner.epoch(), shard_owner.share_requests())
        };
        let questions = self.questions(&handle.id, epoch, asks);
        let answers = questions.into_iter().map(|(home, question)| async move {
            if let PeerResponse::LentQuota(parts) = self.ask_home(&home, question).await {
                self.step(handle, Event::LimitShares { epoch, parts });
            }
        });
        join_all(answers).await;
    }

    /// One question to each home.
    fn questions(
        &self,
        shard: &Name,
        epoch: u64,
        asks: Vec<ShareRequest>,
    ) -> BTreeMap<Name, HomeRequest> {
        let fold = lock(&self.fold);
        let known: Vec<Name> = fold.claims.all().map(|claim| claim.shard.clone()).collect();
        let mut questions: BTreeMap<Name, HomeRequest> = BTreeMap::new();
        for ask in asks {
            let Some(home) = rendezvous(&ask.limit.to_string(), known.iter()) else { continue };
            let fresh = || HomeRequest {
                shard: shard.clone(),
                epoch,
                seq: self.next(),
                home: fold.claims.epoch(home),
                shards: known.len(),
                asks: Vec::new(),
            };
            questions.entry(home.clone()).or_insert_with(fresh).asks.push(ask);
        }
        questions
    }

    async fn ask_home(&self, home: &Name, question: HomeRequest) -> PeerResponse {
        match self.owner_of(home) {
            Some(owner) if owner == self.me.name => self.lend_parts(home, &question),
            Some(owner) => self.ask_home_at(owner, home.clone(), question).await,
            None => PeerResponse::NotOwner,
        }
    }

    async fn ask_home_at(&self, owner: Name, home: Name, question: HomeRequest) -> PeerResponse {
        let Some(addr) = lock(&self.peers).addr(&owner) else { return PeerResponse::NotOwner };
        let ask =
            |version| (version >= VERSION_2).then_some(PeerRequest::LendQuota { home, question });
        let answer = self.quic.request_by_version(&owner, addr, ask, HOME_LIMIT).await;
        answer.unwrap_or(PeerResponse::NotOwner)
    }

    /// Lends parts of the limits that a shard owned here is home to.
    pub(super) fn lend_parts(&self, home: &Name, question: &HomeRequest) -> PeerResponse {
        let Some(handle) = self.handle(home) else { return PeerResponse::NotOwner };
        let Some(epoch) = handle.shard().owner().map(|owner| owner.epoch()) else {
            return PeerResponse::NotOwner;
        };
        let (known, shards) = (self.known_shards(), self.holders());
        let table = self.table();
        let whole = |limit: &Limit| match limit {
            Limit::Row(kind) => table.rows.get(kind).map_or(0, |row| row.limit as u64),
            Limit::Team(team) => table.quota(team),
        };
        let mut pool = handle.pool();
        pool.renew(epoch);
        pool.grant(question, known, &shards, whole)
            .map_or(PeerResponse::NotOwner, PeerResponse::LentQuota)
    }

    /// The shards that may hold parts: not those whose workers and last owner are gone for good.
    fn holders(&self) -> BTreeSet<Name> {
        let claims: Vec<_> = lock(&self.fold).claims.all().cloned().collect();
        let list = lock(&self.lists).newest().clone();
        let listed = |shard: &Name| list.vms.iter().any(|vm| vm.rack == *shard);
        let held = claims
            .into_iter()
            .filter(|claim| listed(&claim.shard) || !self.is_gone(&claim.owner))
            .map(|claim| claim.shard);
        held.collect()
    }
}
