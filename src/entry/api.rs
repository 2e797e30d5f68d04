//! The administration API under /v1. The doc comments of its operations are part of its OpenAPI
//! description.

use crate::clock::Millis;
use crate::controller::shard::owner::{Answer, Load};
use crate::controller::table::Verdict;
use crate::entry::http::{MAX_EVENTS, MAX_KEY_LEN, api_error, bearer, refuse};
use crate::entry::view::{
    JobAccepted, JobRequest, JobView, Published, ShardView, StatusView, TableView,
};
use crate::entry::{Entry, lock};
use crate::filter::authenticate::Caller;
use crate::filter::{authenticate, not_run};
use crate::id::{JobId, Name};
use crate::job::{JobSpec, JobStorage};
use crate::record::{Claim, Record, TablePublish};
use crate::size::Size;
use crate::table::{Fault, Table, WorkClass};
use crate::trace::Stamp;
use crate::wire::msg::{Executed, OwnerRequest, PeerResponse, Reason, RequestError, ShardStatus};
use poem::http::StatusCode;
use poem::http::header::CONTENT_TYPE;
use poem::{Request, Response};
use poem_openapi::param::{Header, Path, Query};
use poem_openapi::payload::{Json, PlainText};
use poem_openapi::{OpenApi, OpenApiService};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Timeout of a request to the owner of a shard.
const OWNER_TIMEOUT: Millis = Millis(8_000);
/// Timeout until a published table or an accepted job is read back from the log.
const COMMIT_TIMEOUT: Millis = Millis(3_000);
/// The administration API.
pub(super) struct Api {
    entry: Arc<Entry>,
}

type Result<T> = poem::Result<T>;

impl Api {
    fn caller(&self, request: &Request) -> Result<Caller> {
        authenticate::apply(&self.entry.settings.tokens, bearer(request)).map_err(api_error)
    }

    fn operator(&self, request: &Request) -> Result<Caller> {
        let caller = self.caller(request)?;
        match caller.team {
            None => Ok(caller),
            Some(_) => Err(refuse(Reason::Forbidden)),
        }
    }

    /// The id for a new job. The same idempotency key always gives the same id.
    async fn job_id(&self, shard: &Name, key: Option<&str>, team: &str) -> Result<JobId> {
        let entry = &self.entry;
        let fresh = JobId::new(shard.clone(), &entry.me, entry.next_number());
        let Some(key) = key else { return Ok(fresh) };
        if key.is_empty() || key.len() > MAX_KEY_LEN {
            return Err(refuse(Reason::Malformed));
        }
        let key: Name = format!("{team}/job/{key}").into();
        let keeper = entry.key_shard(&key).ok_or_else(|| refuse(Reason::NoOwner))?;
        let holder: Name = fresh.to_string().into();
        let ask = OwnerRequest::TakeKey { key, holder };
        match entry.ask_owner(&keeper, ask, OWNER_TIMEOUT).await.map_err(api_error)? {
            PeerResponse::OwnerAnswer(Answer::KeyKnown(known)) => {
                known.parse().map_err(|_| refuse(Reason::KeyKnown))
            }
            _ => Ok(fresh),
        }
    }

    /// Offers a job to shards until one accepts it.
    async fn submit(&self, spec: JobSpec, key: Option<&str>) -> Result<JobAccepted> {
        let entry = &self.entry;
        let table = entry.table();
        let row = table.rows.get(&spec.kind).filter(|row| row.class != WorkClass::Request);
        let row = row.ok_or_else(|| refuse(Reason::UnknownKind))?;
        if row.team != spec.team {
            return Err(refuse(Reason::WrongTeam));
        }
        let order = entry.offer_order(row, &spec, entry.next_number()).map_err(api_error)?;
        let mut last = not_run(Reason::NoOwner, None);
        for shard in order {
            let job = self.job_id(&shard, key, &spec.team).await?;
            match entry.submit_to(job.clone(), spec.clone(), OWNER_TIMEOUT).await {
                Ok(()) => return Ok(self.accepted(job, spec).await),
                Err(refused) if refused.run == Executed::Unknown || key.is_some() => {
                    return Err(api_error(refused));
                }
                Err(refused) => last = refused,
            }
        }
        Err(api_error(last))
    }

    /// Appends an accepted job to the log, and reports it as kept there only if it was read back.
    async fn accepted(&self, job: JobId, spec: JobSpec) -> JobAccepted {
        let entry = &self.entry;
        let record = Record::Job { job: job.clone(), spec, at: entry.now() };
        let logged = entry.is_log_fresh()
            && entry.writer.commit(vec![record], entry.now(), COMMIT_TIMEOUT).await;
        let kept = if logged { JobStorage::Log } else { JobStorage::Peer };
        let kept = format!("{kept:?}").to_lowercase();
        JobAccepted { job: job.to_string(), kept }
    }

    /// The view of a shard, and its task counts by kind of work if its owner answers.
    async fn shard_view(
        &self,
        shard: Name,
        domain: Name,
        owner: String,
        epoch: u64,
    ) -> (ShardView, Vec<(Name, Load)>) {
        let answer = self.entry.ask_owner(&shard, OwnerRequest::ShardStatus, Millis(500)).await;
        let state: Option<ShardStatus> = match answer {
            Ok(PeerResponse::ShardStatus(state)) => Some(state),
            _ => None,
        };
        let reached = state.is_some();
        let mut view = ShardView {
            shard: shard.to_string(),
            domain: domain.to_string(),
            epoch,
            owner,
            reached,
            replicas: Vec::new(),
            workers: Vec::new(),
            aside: Vec::new(),
            tasks: Vec::new(),
        };
        let loads = state.as_ref().map(|state| state.loads.clone()).unwrap_or_default();
        if let Some(state) = state {
            view.fill_from_owner(state);
        }
        (view, loads)
    }

    /// The task counts of each team, formatted for operators.
    fn team_views(&self, loads: &[(Name, Load)]) -> Vec<String> {
        let table = self.entry.table();
        let mut teams: BTreeMap<&Name, (u32, u32)> = BTreeMap::new();
        for (kind, load) in loads {
            let Some(row) = table.rows.get(kind) else { continue };
            let sum = teams.entry(&row.team).or_default();
            sum.0 += load.waiting;
            sum.1 += load.running;
        }
        let view =
            |(team, (waiting, running))| format!("{team} waiting {waiting} running {running}");
        teams.into_iter().map(view).collect()
    }
}

#[OpenApi]
impl Api {
    /// Submits a job.
    #[oai(path = "/jobs", method = "post")]
    async fn post_job(
        &self,
        request: &Request,
        #[oai(name = "Idempotency-Key")] key: Header<Option<String>>,
        job: Json<JobRequest>,
    ) -> Result<Json<JobAccepted>> {
        let caller = self.caller(request)?;
        let table = self.entry.table();
        let row = table.rows.get(job.kind.as_str());
        let row = row.ok_or_else(|| refuse(Reason::UnknownKind))?;
        if !caller.may_act_for(&row.team) {
            return Err(refuse(Reason::WrongTeam));
        }
        let spec = JobSpec {
            kind: row.kind.clone(),
            team: row.team.clone(),
            tasks: job.tasks,
            gang: job.gang,
            size: Size::new(job.cpu, job.mem, job.acc),
            run_time: Millis(job.run),
            repeatable: job.repeat && row.repeatable,
        };
        self.submit(spec, key.as_deref()).await.map(Json)
    }

    /// The state of a job.
    #[oai(path = "/jobs/:id", method = "get")]
    async fn get_job(&self, request: &Request, id: Path<String>) -> Result<Json<JobView>> {
        let caller = self.caller(request)?;
        let id: JobId = id.parse().map_err(|_| refuse(Reason::NotFound))?;
        let status = self.entry.job_status(&id, OWNER_TIMEOUT).await.map_err(api_error)?;
        match caller.may_act_for(&status.spec.team) {
            true => Ok(Json(status.into())),
            false => Err(refuse(Reason::NotFound)),
        }
    }

    /// Withdraws a job. Doing it twice, or after the job ended, changes nothing.
    #[oai(path = "/jobs/:id", method = "delete")]
    async fn delete_job(&self, request: &Request, id: Path<String>) -> Result<Json<JobView>> {
        let caller = self.caller(request)?;
        let id: JobId = id.parse().map_err(|_| refuse(Reason::NotFound))?;
        let status = self.entry.job_status(&id, OWNER_TIMEOUT).await.map_err(api_error)?;
        if !caller.may_act_for(&status.spec.team) {
            return Err(refuse(Reason::NotFound));
        }
        let ask = OwnerRequest::Cancel { job: id.clone() };
        match self.entry.ask_owner(&id.shard, ask, OWNER_TIMEOUT).await.map_err(api_error)? {
            PeerResponse::OwnerAnswer(Answer::Cancelled(status)) => Ok(Json((*status).into())),
            _ => Err(refuse(Reason::NotFound)),
        }
    }

    /// The jobs of the caller's team; for an operator, all.
    #[oai(path = "/jobs", method = "get")]
    async fn list_jobs(&self, request: &Request) -> Result<Json<Vec<JobView>>> {
        let caller = self.caller(request)?;
        let shards: Vec<Name> = {
            let fold = lock(&self.entry.fold);
            fold.claims.all().map(|claim| claim.shard.clone()).collect()
        };
        let mut jobs = Vec::new();
        for shard in shards {
            let ask = OwnerRequest::ListJobs { team: caller.team.clone() };
            if let Ok(PeerResponse::Jobs(found)) =
                self.entry.ask_owner(&shard, ask, Millis(500)).await
            {
                jobs.extend(found.into_iter().map(JobView::from));
            }
        }
        Ok(Json(jobs))
    }

    /// The table in force at this entry.
    #[oai(path = "/table", method = "get")]
    async fn get_table(&self, request: &Request) -> Result<Json<TableView>> {
        self.caller(request)?;
        let fold = lock(&self.entry.fold);
        let current = fold.tables.current();
        Ok(Json(TableView {
            rev: fold.tables.rev(),
            by: current.map_or_else(String::new, |c| c.publish.by.to_string()),
            csv: current.map_or_else(String::new, |c| c.publish.csv.to_string()),
        }))
    }

    /// Publishes a table that was edited from revision `base`. Of racing operators one wins.
    #[oai(path = "/table", method = "put")]
    async fn put_table(
        &self,
        request: &Request,
        base: Query<u64>,
        #[oai(name = "Idempotency-Key")] key: Header<Option<String>>,
        csv: PlainText<String>,
    ) -> Result<Json<Published>> {
        let caller = self.operator(request)?;
        if let Err(faults) = Table::parse(&csv) {
            return Err(faulty(&faults));
        }
        let entry = &self.entry;
        let number = entry.next_number();
        let id = key.0.unwrap_or_else(|| format!("{}/{number}", entry.me));
        let id: Name = id.into();
        let by = caller.name;
        let publish = TablePublish { id: id.clone(), base: base.0, by, csv: csv.0.into() };
        let records = vec![Record::Publish(publish)];
        let read_back = entry.writer.commit(records, entry.now(), COMMIT_TIMEOUT).await;
        let verdict = lock(&entry.fold).tables.verdict(&id).cloned();
        match verdict {
            Some(Verdict::Accepted(rev)) => Ok(Json(Published { rev })),
            Some(Verdict::Lost { rev, by }) => Err(conflict(rev, &by)),
            Some(Verdict::Faulty) => Err(refuse(Reason::Malformed)),
            None if read_back => Err(refuse(Reason::NoLog)),
            None => {
                let (reason, run) = (Reason::NoLog, Executed::Unknown);
                Err(api_error(RequestError { reason, run, after: Some(COMMIT_TIMEOUT) }))
            }
        }
    }

    /// Entries, shards and their owners, workers and tasks.
    #[oai(path = "/status", method = "get")]
    async fn get_status(&self, request: &Request) -> Result<Json<StatusView>> {
        self.operator(request)?;
        let entry = &self.entry;
        let claims: Vec<Claim> = lock(&entry.fold).claims.all().cloned().collect();
        let (mut shards, mut loads) = (Vec::new(), Vec::new());
        for claim in claims {
            let owner = claim.owner.to_string();
            let view = self.shard_view(claim.shard, claim.domain, owner, claim.epoch).await;
            shards.push(view.0);
            loads.extend(view.1);
        }
        let (slots, waiting) = entry.slot_load();
        let peers = lock(&entry.peers).reachable(entry.now());
        Ok(Json(StatusView {
            entry: entry.me.to_string(),
            domain: entry.settings.domain.to_string(),
            rev: lock(&entry.fold).tables.rev(),
            log: entry.is_log_fresh(),
            stopping: entry.is_stopping(),
            peers: peers.into_iter().map(|(name, _, _)| name.to_string()).collect(),
            slots,
            waiting: waiting as u32,
            runners: entry.runner_views(),
            teams: self.team_views(&loads),
            shards,
        }))
    }

    /// Begins a planned stop of this entry.
    #[oai(path = "/drain", method = "post")]
    async fn drain(&self, request: &Request) -> Result<Json<bool>> {
        self.operator(request)?;
        let entry = self.entry.clone();
        tokio::spawn(async move { entry.stop().await });
        Ok(Json(true))
    }

    /// Events of this entry's time line after a stamp.
    #[oai(path = "/timeline", method = "get")]
    async fn get_timeline(
        &self,
        request: &Request,
        since: Query<Option<u64>>,
        max: Query<Option<u64>>,
    ) -> Result<Json<serde_json::Value>> {
        self.operator(request)?;
        let max = max.0.map_or(MAX_EVENTS, |max| (max as usize).min(MAX_EVENTS));
        let events = self.entry.trace.events_after(Stamp(since.0.unwrap_or(0)), max);
        Ok(Json(serde_json::to_value(events).unwrap_or_default()))
    }
}

/// The error response for an invalid table, with all of its faults.
fn faulty(faults: &[Fault]) -> poem::Error {
    let body = serde_json::json!({
        "type": "about:blank",
        "title": "Faulty table",
        "status": 422,
        "run": "no",
        "reason": "malformed",
        "faults": faults,
    });
    problem_error(StatusCode::UNPROCESSABLE_ENTITY, &body)
}

/// The error response for a table that lost against another one with the same base revision.
fn conflict(rev: u64, by: &str) -> poem::Error {
    let body = serde_json::json!({
        "type": "about:blank",
        "title": "Another table was published first",
        "status": 409,
        "run": "no",
        "reason": "conflict",
        "rev": rev,
        "by": by,
    });
    problem_error(StatusCode::CONFLICT, &body)
}

fn problem_error(status: StatusCode, body: &serde_json::Value) -> poem::Error {
    let builder = Response::builder().status(status);
    let builder = builder.header(CONTENT_TYPE, "application/problem+json");
    poem::Error::from_response(builder.body(body.to_string()))
}

/// The API with its OpenAPI description.
pub(super) fn service(entry: Arc<Entry>) -> OpenApiService<Api, ()> {
    OpenApiService::new(Api { entry }, "sprucerudder", env!("CARGO_PKG_VERSION")).server("/v1")
}
