//! Routing of requests to the owner of a shard, and the choice of a shard for a job or an
//! idempotency key.

use crate::clock::Millis;
use crate::controller::shard::owner::{Answer, Event, Refusal};
use crate::controller::shard_ranking::{self, Candidate, JobDemand, ShardCapacity};
use crate::entry::{Entry, ShardHandle, lock};
use crate::id::{JobId, Name, rendezvous};
use crate::job::{JobSpec, JobStatus};
use crate::record::Claim;
use crate::size::Size;
use crate::table::Row;
use crate::wire::msg::{
    Executed, OwnerRequest, PeerRequest, PeerResponse, Reason, RequestError, ShardStatus,
};
use std::sync::Arc;
use tokio::sync::oneshot;

/// Timeout of one attempt to reach an owner.
const OWNER_TIMEOUT: Millis = Millis(2_000);
/// Delay between two attempts.
const OWNER_RETRY_DELAY: Millis = Millis(100);
/// The `Retry-After` delay when a shard has no reachable owner.
const NO_OWNER_RETRY: Millis = Millis(2_000);

/// The error for a request to a shard whose owner could not be reached; `run` says whether the
/// request may have been carried out.
fn no_owner(run: Executed) -> RequestError {
    RequestError { reason: Reason::NoOwner, run, after: Some(NO_OWNER_RETRY) }
}

impl Entry {
    /// Sends a request to the owner of a shard, which may be this entry, and retries while ownership
    /// changes. A retry is safe because all requests to owners are idempotent.
    ///
    /// # Errors
    /// If no owner answers within `limit`.
    pub(crate) async fn ask_owner(
        self: &Arc<Self>,
        shard: &Name,
        request: OwnerRequest,
        limit: Millis,
    ) -> Result<PeerResponse, RequestError> {
        let until = self.now() + limit;
        let mut run = Executed::No;
        loop {
            match self.try_owner(shard, request.clone()).await {
                Ok(PeerResponse::NotOwner) => {}
                Ok(PeerResponse::Pending) => run = Executed::Unknown,
                Ok(response) => return Ok(response),
                Err(true) => {}
                Err(false) => run = Executed::Unknown,
            }
            if self.now() + OWNER_RETRY_DELAY >= until {
                return Err(no_owner(run));
            }
            tokio::time::sleep(OWNER_RETRY_DELAY.duration()).await;
        }
    }

    /// Makes one attempt; the error is `true` if the request certainly was not sent.
    async fn try_owner(
        self: &Arc<Self>,
        shard: &Name,
        request: OwnerRequest,
    ) -> Result<PeerResponse, bool> {
        if let Some(handle) = self.handle(shard)
            && handle.shard().owner().is_some()
        {
            return Ok(self.answer_owner(&handle, request).await);
        }
        let name = self.owner_of(shard).filter(|name| *name != self.me.name).ok_or(true)?;
        let addr = lock(&self.peers).addr(&name).ok_or(true)?;
        let request = PeerRequest::Owner { shard: shard.clone(), request };
        let answer = self.quic.request(&name, addr, request, OWNER_TIMEOUT).await;
        answer.map_err(|err| err.is_unsent())
    }

    /// Handles a request to the owner of a shard, if that is this entry.
    pub(super) async fn answer_owner(
        self: &Arc<Self>,
        handle: &Arc<ShardHandle>,
        request: OwnerRequest,
    ) -> PeerResponse {
        let now = self.now();
        match request {
            OwnerRequest::Submit { job, spec } => {
                self.ask_local_owner(handle, |token| Event::Submit { token, job, spec }).await
            }
            OwnerRequest::Cancel { job } => {
                self.ask_local_owner(handle, |token| Event::Cancel { token, job }).await
            }
            OwnerRequest::TakeKey { key, holder } => {
                self.ask_local_owner(handle, |token| Event::TakeKey { token, key, holder }).await
            }
            OwnerRequest::FreeKey { key, holder } => {
                let done = self.step(handle, Event::FreeKey { key, holder });
                if done { PeerResponse::Done } else { PeerResponse::NotOwner }
            }
            OwnerRequest::JobStatus { job } => match handle.shard().owner() {
                Some(shard_owner) => PeerResponse::JobStatus(shard_owner.status(&job, now)),
                None => PeerResponse::NotOwner,
            },
            OwnerRequest::ListJobs { team } => match handle.shard().owner() {
                Some(shard_owner) => {
                    let jobs = shard_owner.state().jobs.iter();
                    let wanted = jobs
                        .filter(|(_, job)| team.as_ref().is_none_or(|team| job.spec.team == *team));
                    PeerResponse::Jobs(
                        wanted.filter_map(|(id, _)| shard_owner.status(id, now)).collect(),
                    )
                }
                None => PeerResponse::NotOwner,
            },
            OwnerRequest::ShardStatus => {
                self.shard_status(handle).map_or(PeerResponse::NotOwner, PeerResponse::ShardStatus)
            }
        }
    }

    async fn ask_local_owner(
        self: &Arc<Self>,
        handle: &Arc<ShardHandle>,
        event: impl FnOnce(u64) -> Event,
    ) -> PeerResponse {
        let token = self.next_number();
        let (reply, waiting) = oneshot::channel();
        lock(&self.pending_replies).insert(token, reply);
        if !self.step(handle, event(token)) {
            lock(&self.pending_replies).remove(&token);
            return PeerResponse::NotOwner;
        }
        let answer = tokio::time::timeout(OWNER_TIMEOUT.duration(), waiting).await;
        lock(&self.pending_replies).remove(&token);
        match answer {
            Ok(Ok(answer)) => PeerResponse::OwnerAnswer(answer),
            _ => PeerResponse::Pending,
        }
    }

    fn shard_status(&self, handle: &ShardHandle) -> Option<ShardStatus> {
        let mut shard = handle.shard();
        let shard_owner = shard.owner()?;
        let rooms = shard_owner.ledgers();
        let workers = rooms.map(|(name, at)| (name.clone(), at.total(), at.used())).collect();
        Some(ShardStatus {
            shard: handle.id.clone(),
            epoch: shard_owner.epoch(),
            owner: self.me.clone(),
            replicas: shard_owner.replicas(),
            workers,
            set_aside: shard_owner.excluded_workers(),
            loads: shard_owner.loads().iter().map(|(kind, load)| (kind.clone(), *load)).collect(),
        })
    }

    /// The shard that stores an idempotency key.
    pub(crate) fn key_shard(&self, key: &str) -> Option<Name> {
        let fold = lock(&self.fold);
        let shards: Vec<Name> = fold.claims.all().map(|claim| claim.shard.clone()).collect();
        rendezvous(key, shards.iter()).cloned()
    }

    /// The capacity that the shards of the cell offer, as far as this entry knows: shard, failure
    /// domain and capacity.
    fn known_rooms(&self) -> Vec<(Name, Name, ShardCapacity)> {
        let mut rooms = lock(&self.peers).rooms(self.now());
        for handle in self.shards() {
            let mut shard = handle.shard();
            let Some(shard_owner) = shard.owner() else { continue };
            let room = shard_owner.capacity();
            rooms.push((handle.id.clone(), self.settings.domain.clone(), room));
        }
        rooms
    }

    /// The shards to offer a job to, best first: those of this failure domain if the row gives it a
    /// weight above zero, then those that can start the job now, then by the weight of their failure
    /// domain and by their load.
    ///
    /// # Errors
    /// If no worker is large enough, or if that is not known because a shard has no owner now.
    pub(crate) fn offer_order(
        &self,
        row: &Row,
        spec: &JobSpec,
        seed: u64,
    ) -> Result<Vec<Name>, RequestError> {
        let local = &self.settings.domain;
        let rooms = self.known_rooms();
        let candidates: Vec<Candidate> = rooms
            .iter()
            .filter(|(_, domain, _)| row.domain_weight(domain) > 0)
            .map(|(shard, domain, room)| Candidate {
                shard: shard.clone(),
                is_remote: domain != local && row.domain_weight(local) > 0,
                weight: row.domain_weight(domain),
                capacity: *room,
            })
            .collect();
        let count = if spec.gang { spec.tasks } else { 1 };
        let demand = JobDemand { size: spec.size, count, weight: row.weight };
        let order = shard_ranking::rank_shards(&candidates, &demand, seed);
        match order.is_empty() {
            false => Ok(order),
            true if self.knows_all_rooms(row, &rooms) => Err(RequestError {
                reason: Reason::Job(Refusal::NeverFits),
                run: Executed::No,
                after: None,
            }),
            true => Err(no_owner(Executed::No)),
        }
    }

    /// Whether the owners of all shards that may run a row's work have announced their capacity.
    fn knows_all_rooms(&self, row: &Row, rooms: &[(Name, Name, ShardCapacity)]) -> bool {
        let fold = lock(&self.fold);
        let mut shards =
            fold.claims.all().filter(|claim| row.domain_weight(&claim.domain) > 0).peekable();
        let known = |claim: &Claim| {
            rooms
                .iter()
                .any(|(shard, _, room)| *shard == claim.shard && room.largest != Size::default())
        };
        shards.peek().is_some() && shards.all(known)
    }

    /// The status of a job, from the owner of its shard.
    ///
    /// # Errors
    /// If there is no such job, or no owner answers.
    pub(crate) async fn job_status(
        self: &Arc<Self>,
        job: &JobId,
        limit: Millis,
    ) -> Result<JobStatus, RequestError> {
        let ask = OwnerRequest::JobStatus { job: job.clone() };
        match self.ask_owner(&job.shard, ask, limit).await? {
            PeerResponse::JobStatus(Some(status)) => Ok(status),
            _ => Err(RequestError { reason: Reason::NotFound, run: Executed::No, after: None }),
        }
    }

    /// Submits a job to the owner of a shard.
    ///
    /// # Errors
    /// If it is refused, or no owner answers.
    pub(crate) async fn submit_to(
        self: &Arc<Self>,
        job: JobId,
        spec: JobSpec,
        limit: Millis,
    ) -> Result<(), RequestError> {
        let shard = job.shard.clone();
        match self.ask_owner(&shard, OwnerRequest::Submit { job, spec }, limit).await? {
            PeerResponse::OwnerAnswer(Answer::Submitted { .. }) => Ok(()),
            PeerResponse::OwnerAnswer(Answer::Refused(why)) => {
                Err(RequestError { reason: Reason::Job(why), run: Executed::No, after: None })
            }
            _ => Err(no_owner(Executed::Unknown)),
        }
    }
}
