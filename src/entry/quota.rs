//! Cell-wide limits: each limit has a home shard, whose owner lends parts of it to the other shards.
//! An entry requests quota for the shards that it owns and lends quota of the limits whose home
//! shards it owns.

use crate::clock::Millis;
use crate::controller::quota::{HomeRequest, Limit, ShareRequest};
use crate::controller::shard::owner::Event;
use crate::entry::{Entry, ShardHandle, lock};
use crate::id::{Name, rendezvous};
use crate::wire::msg::{PeerRequest, PeerResponse, VERSION_2};
use futures_util::future::join_all;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Interval between quota requests of a shard that lacks no quota.
const QUOTA_INTERVAL: Millis = Millis(1_000);
/// Minimum interval between quota requests of a shard.
const MIN_QUOTA_INTERVAL: Millis = Millis(50);
/// Timeout of a quota request.
const HOME_TIMEOUT: Millis = Millis(1_000);

impl Entry {
    /// Requests quota for a shard: at once when tasks wait for quota, else periodically.
    pub(super) async fn request_quota(self: Arc<Self>, handle: Arc<ShardHandle>) {
        loop {
            let _ = tokio::time::timeout(QUOTA_INTERVAL.duration(), handle.quota_wanted.notified())
                .await;
            self.query_homes(&handle).await;
            tokio::time::sleep(MIN_QUOTA_INTERVAL.duration()).await;
        }
    }

    /// The number of shards over which limits are divided.
    pub(super) fn known_shards(&self) -> usize {
        lock(&self.fold).claims.all().count()
    }

    /// Sends a request to the home of each limit and waits for all of them, so that a shard never has
    /// two requests under way to the same home.
    async fn query_homes(self: &Arc<Self>, handle: &Arc<ShardHandle>) {
        let known = self.known_shards();
        let (epoch, asks) = {
            let mut shard = handle.shard();
            let Some(shard_owner) = shard.owner() else { return };
            shard_owner.set_shards(known);
            (shard_owner.epoch(), shard_owner.share_requests())
        };
        let questions = self.questions(&handle.id, epoch, asks);
        let answers = questions.into_iter().map(|(home, question)| async move {
            if let PeerResponse::LentQuota(parts) = self.query_home(&home, question).await {
                self.step(handle, Event::LimitShares { epoch, parts });
            }
        });
        join_all(answers).await;
    }

    /// Groups the requested limits by home shard, with one request for each.
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
                seq: self.next_number(),
                home: fold.claims.epoch(home),
                shards: known.len(),
                asks: Vec::new(),
            };
            questions.entry(home.clone()).or_insert_with(fresh).asks.push(ask);
        }
        questions
    }

    async fn query_home(&self, home: &Name, question: HomeRequest) -> PeerResponse {
        match self.owner_of(home) {
            Some(owner) if owner == self.me.name => self.lend_quota(home, &question),
            Some(owner) => self.query_remote_home(owner, home.clone(), question).await,
            None => PeerResponse::NotOwner,
        }
    }

    async fn query_remote_home(
        &self,
        owner: Name,
        home: Name,
        question: HomeRequest,
    ) -> PeerResponse {
        let Some(addr) = lock(&self.peers).addr(&owner) else { return PeerResponse::NotOwner };
        let ask =
            |version| (version >= VERSION_2).then_some(PeerRequest::LendQuota { home, question });
        let answer = self.quic.request_by_version(&owner, addr, ask, HOME_TIMEOUT).await;
        answer.unwrap_or(PeerResponse::NotOwner)
    }

    /// Lends quota of the limits whose home is a shard that this entry owns.
    pub(super) fn lend_quota(&self, home: &Name, question: &HomeRequest) -> PeerResponse {
        let Some(handle) = self.handle(home) else { return PeerResponse::NotOwner };
        let Some(epoch) = handle.shard().owner().map(|owner| owner.epoch()) else {
            return PeerResponse::NotOwner;
        };
        let (known, shards) = (self.known_shards(), self.possible_holders());
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

    /// The shards that may hold quota: all but those that have neither listed workers nor a last
    /// owner that may still run.
    fn possible_holders(&self) -> BTreeSet<Name> {
        let claims: Vec<_> = lock(&self.fold).claims.all().cloned().collect();
        let list = lock(&self.vm_lists).newest().clone();
        let listed = |shard: &Name| list.vms.iter().any(|vm| vm.rack == *shard);
        let held = claims
            .into_iter()
            .filter(|claim| listed(&claim.shard) || !self.is_gone(&claim.owner))
            .map(|claim| claim.shard);
        held.collect()
    }
}
