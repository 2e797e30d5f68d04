//! The HTTP interface: requests under /run, the administration API under /v1.

use crate::clock::Millis;
use crate::controller::table::Verdict;
use crate::entry::stop::InFlight;
use crate::entry::{Entry, lock};
use crate::filter::identify::Caller;
use crate::filter::{Exchange, identify, not_run, problem};
use crate::id::{JobId, Name};
use crate::job::{JobSpec, JobStatus, Kept};
use crate::record::{Publish, Record};
use crate::size::Size;
use crate::standin::TRACE_PATH;
use crate::table::{Class, Fault, Table};
use crate::trace::Stamp;
use crate::wire::msg::{Forwarded, OwnerAsk, Reason, Refused, Run, ShardStatus, Tell};
use poem::http::StatusCode;
use poem::http::header::{AUTHORIZATION, CONTENT_TYPE};
use poem::web::{Data, Json as PoemJson, Path as PoemPath};
use poem::{Body, Endpoint, EndpointExt, IntoEndpoint, Request, Response, Route, handler, post};
use poem_openapi::param::{Header, Path, Query};
use poem_openapi::payload::{Json, PlainText};
use poem_openapi::{Object, OpenApi, OpenApiService};
use std::sync::Arc;

/// The idempotency key of a request or job (draft-ietf-httpapi-idempotency-key-header).
const KEY_HEADER: &str = "idempotency-key";
/// How long the caller waits, as `wait=SECONDS` (RFC 7240).
const PREFER_HEADER: &str = "prefer";
/// `no`: the request must not be run twice, whatever its row says.
const REPEAT_HEADER: &str = "work-repeat";
/// The longest idempotency key.
const MAX_KEY: usize = 255;
/// Headers of a request that are not passed on to a runner.
const HOP_HEADERS: [&str; 9] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "te",
    "transfer-encoding",
    "upgrade",
];
/// How long the API waits for owners.
const OWNER_LIMIT: Millis = Millis(8_000);
/// How long a publish or a job waits to be read back from the log.
const COMMIT_LIMIT: Millis = Millis(3_000);
/// The most events of one answer.
const MAX_EVENTS: usize = 100_000;

/// A job to run.
#[derive(Debug, Object)]
struct JobRequest {
    /// The kind of work: a row of the table.
    kind: String,
    /// How many tasks.
    #[oai(default = "one")]
    tasks: u32,
    /// Whether all tasks must run at once.
    #[oai(default)]
    gang: bool,
    /// Processors of a task, in thousandths of a core.
    cpu: u32,
    /// Memory of a task, in MB.
    mem: u32,
    /// Accelerators of a task.
    #[oai(default)]
    acc: u32,
    /// The declared run time in milliseconds; 0 for a service.
    #[oai(default)]
    run: u64,
    /// Whether a task may be started again; the row can forbid it.
    #[oai(default = "yes")]
    repeat: bool,
}

fn one() -> u32 {
    1
}

fn yes() -> bool {
    true
}

/// An accepted job.
#[derive(Debug, Object)]
struct JobAccepted {
    /// Its id.
    job: String,
    /// Where it is kept: `log` or `peer`.
    kept: String,
}

/// A job's state.
#[derive(Debug, Object)]
struct JobView {
    /// Its id.
    job: String,
    /// The kind of work.
    kind: String,
    /// Its team.
    team: String,
    /// `queued`, `running`, `ended` or `cancelled`.
    state: String,
    /// Tasks waiting.
    queued: u32,
    /// Tasks bound to a worker.
    running: u32,
    /// Ended tasks by outcome.
    ended: std::collections::BTreeMap<String, u32>,
    /// Why tasks wait, if any do.
    why: String,
}

impl From<JobStatus> for JobView {
    fn from(status: JobStatus) -> Self {
        let state = match () {
            _ if status.running > 0 => "running",
            _ if status.queued > 0 => "queued",
            _ if status.cancelled => "cancelled",
            _ => "ended",
        };
        let name = |outcome| format!("{outcome:?}").to_lowercase();
        Self {
            job: status.job.to_string(),
            kind: status.spec.kind.to_string(),
            team: status.spec.team.to_string(),
            state: state.to_string(),
            queued: status.queued,
            running: status.running,
            ended: status.ended.into_iter().map(|(outcome, n)| (name(outcome), n)).collect(),
            why: status.why,
        }
    }
}

/// The table in force.
#[derive(Debug, Object)]
struct TableView {
    /// Its revision; 0 if there is none.
    rev: u64,
    /// Who published it.
    by: String,
    /// The table as CSV.
    csv: String,
}

/// An accepted publish.
#[derive(Debug, Object)]
struct Published {
    /// The new revision.
    rev: u64,
}

/// One entry's view of the cell.
#[derive(Debug, Object)]
struct StatusView {
    /// This entry.
    entry: String,
    /// Its failure domain.
    domain: String,
    /// The revision of its table.
    rev: u64,
    /// Whether it can read the log.
    log: bool,
    /// Whether it is stopping.
    stopping: bool,
    /// Entries heard lately.
    peers: Vec<String>,
    /// Runner slots in use here.
    slots: u32,
    /// Requests waiting for a slot here.
    waiting: u32,
    /// The shards of the cell.
    shards: Vec<ShardView>,
}

/// A shard.
#[derive(Debug, Object)]
struct ShardView {
    /// Its name.
    shard: String,
    /// Its failure domain.
    domain: String,
    /// Its epoch.
    epoch: u64,
    /// Its owner.
    owner: String,
    /// Whether the owner answered.
    reached: bool,
    /// Its replicas.
    replicas: Vec<String>,
    /// Workers with what they have and what is set aside.
    workers: Vec<String>,
    /// Workers set aside because they fail their tasks.
    aside: Vec<String>,
    /// Tasks by kind.
    tasks: Vec<String>,
}

struct Api {
    entry: Arc<Entry>,
}

type Result<T> = poem::Result<T>;

fn refuse(reason: Reason) -> poem::Error {
    problem::error(&not_run(reason, None))
}

fn fail(refused: Refused) -> poem::Error {
    problem::error(&refused)
}

fn bearer(request: &Request) -> Option<&str> {
    request.header(AUTHORIZATION)?.strip_prefix("Bearer ")
}

impl Api {
    fn caller(&self, request: &Request) -> Result<Caller> {
        identify::apply(&self.entry.settings.tokens, bearer(request)).map_err(fail)
    }

    fn operator(&self, request: &Request) -> Result<Caller> {
        let caller = self.caller(request)?;
        match caller.team {
            None => Ok(caller),
            Some(_) => Err(refuse(Reason::Forbidden)),
        }
    }

    /// The id for a new job: under the same key always the same.
    async fn job_id(&self, shard: &Name, key: Option<&str>, team: &str) -> Result<JobId> {
        let entry = &self.entry;
        let fresh = JobId::new(shard.clone(), &entry.me, entry.next());
        let Some(key) = key else { return Ok(fresh) };
        if key.is_empty() || key.len() > MAX_KEY {
            return Err(refuse(Reason::Malformed));
        }
        let key: Name = format!("{team}/job/{key}").into();
        let keeper = entry.key_shard(&key).ok_or_else(|| refuse(Reason::NoOwner))?;
        let holder: Name = fresh.to_string().into();
        let ask = OwnerAsk::Key { key, holder };
        match entry.ask_owner(&keeper, ask, OWNER_LIMIT).await.map_err(fail)? {
            Tell::Answer(crate::controller::shard::office::Answer::KeyKnown(known)) => {
                known.parse().map_err(|_| refuse(Reason::KeyKnown))
            }
            _ => Ok(fresh),
        }
    }

    /// Offers a job to shards until one takes it.
    async fn submit(&self, spec: JobSpec, key: Option<&str>) -> Result<JobAccepted> {
        let entry = &self.entry;
        let table = entry.table();
        let row = table.rows.get(&spec.kind).filter(|row| row.class != Class::Request);
        let row = row.ok_or_else(|| refuse(Reason::UnknownKind))?;
        if row.team != spec.team {
            return Err(refuse(Reason::WrongTeam));
        }
        let order = entry.offer_order(row, &spec, entry.next()).map_err(fail)?;
        let mut last = not_run(Reason::NoOwner, None);
        for shard in order {
            let job = self.job_id(&shard, key, &spec.team).await?;
            match entry.submit_to(job.clone(), spec.clone(), OWNER_LIMIT).await {
                Ok(()) => return Ok(self.accepted(job, spec).await),
                Err(refused) if refused.run == Run::Unknown || key.is_some() => {
                    return Err(fail(refused));
                }
                Err(refused) => last = refused,
            }
        }
        Err(fail(last))
    }

    /// Says where an accepted job is kept, and not more than is so.
    async fn accepted(&self, job: JobId, spec: JobSpec) -> JobAccepted {
        let entry = &self.entry;
        let record = Record::Job { job: job.clone(), spec, at: entry.now() };
        let logged = entry.is_log_fresh()
            && entry.writer.commit(vec![record], entry.now(), COMMIT_LIMIT).await;
        let kept = if logged { Kept::Log } else { Kept::Peer };
        let kept = format!("{kept:?}").to_lowercase();
        JobAccepted { job: job.to_string(), kept }
    }

    async fn shard_view(&self, shard: Name, domain: Name, owner: String, epoch: u64) -> ShardView {
        let answer = self.entry.ask_owner(&shard, OwnerAsk::State, Millis(500)).await;
        let state: Option<ShardStatus> = match answer {
            Ok(Tell::Shard(state)) => Some(state),
            _ => None,
        };
        let reached = state.is_some();
        let state = state.as_ref();
        let texts = |list: Vec<String>| list;
        ShardView {
            shard: shard.to_string(),
            domain: domain.to_string(),
            epoch: state.map_or(epoch, |state| state.epoch),
            owner: state.map_or(owner, |state| state.owner.to_string()),
            reached,
            replicas: texts(state.map_or(Vec::new(), |state| {
                state.replicas.iter().map(ToString::to_string).collect()
            })),
            workers: texts(state.map_or(Vec::new(), |state| {
                let line = |(name, total, used): &(Name, Size, Size)| {
                    format!("{name} used {used} of {total}")
                };
                state.workers.iter().map(line).collect()
            })),
            aside: texts(
                state.map_or(Vec::new(), |state| {
                    state.aside.iter().map(ToString::to_string).collect()
                }),
            ),
            tasks: texts(state.map_or(Vec::new(), |state| {
                let line = |(kind, load): &(Name, crate::controller::shard::office::Load)| {
                    format!("{kind} waiting {} running {}", load.waiting, load.running)
                };
                state.loads.iter().map(line).collect()
            })),
        }
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
        if !caller.may(&row.team) {
            return Err(refuse(Reason::WrongTeam));
        }
        let spec = JobSpec {
            kind: row.kind.clone(),
            team: row.team.clone(),
            tasks: job.tasks,
            gang: job.gang,
            size: Size::new(job.cpu, job.mem, job.acc),
            run: Millis(job.run),
            repeat: job.repeat && row.repeat,
        };
        self.submit(spec, key.as_deref()).await.map(Json)
    }

    /// The state of a job.
    #[oai(path = "/jobs/:id", method = "get")]
    async fn get_job(&self, request: &Request, id: Path<String>) -> Result<Json<JobView>> {
        let caller = self.caller(request)?;
        let id: JobId = id.parse().map_err(|_| refuse(Reason::NotFound))?;
        let status = self.entry.job_status(&id, OWNER_LIMIT).await.map_err(fail)?;
        match caller.may(&status.spec.team) {
            true => Ok(Json(status.into())),
            false => Err(refuse(Reason::NotFound)),
        }
    }

    /// Withdraws a job. Doing it twice, or after the job ended, changes nothing.
    #[oai(path = "/jobs/:id", method = "delete")]
    async fn delete_job(&self, request: &Request, id: Path<String>) -> Result<Json<JobView>> {
        let caller = self.caller(request)?;
        let id: JobId = id.parse().map_err(|_| refuse(Reason::NotFound))?;
        let status = self.entry.job_status(&id, OWNER_LIMIT).await.map_err(fail)?;
        if !caller.may(&status.spec.team) {
            return Err(refuse(Reason::NotFound));
        }
        let ask = OwnerAsk::Cancel { job: id.clone() };
        match self.entry.ask_owner(&id.shard, ask, OWNER_LIMIT).await.map_err(fail)? {
            Tell::Answer(crate::controller::shard::office::Answer::Cancelled(status)) => {
                Ok(Json((*status).into()))
            }
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
            let ask = OwnerAsk::Jobs { team: caller.team.clone() };
            if let Ok(Tell::Jobs(found)) = self.entry.ask_owner(&shard, ask, Millis(500)).await {
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
        let number = entry.next();
        let id = key.0.unwrap_or_else(|| format!("{}/{number}", entry.me));
        let id: Name = id.into();
        let by = caller.name;
        let publish = Publish { id: id.clone(), base: base.0, by, csv: csv.0.into() };
        let records = vec![Record::Publish(publish)];
        let read_back = entry.writer.commit(records, entry.now(), COMMIT_LIMIT).await;
        let verdict = lock(&entry.fold).tables.verdict(&id).cloned();
        match verdict {
            Some(Verdict::Accepted(rev)) => Ok(Json(Published { rev })),
            Some(Verdict::Lost { rev, by }) => Err(lost(rev, &by)),
            Some(Verdict::Faulty) => Err(refuse(Reason::Malformed)),
            None if read_back => Err(refuse(Reason::NoLog)),
            None => {
                let (reason, run) = (Reason::NoLog, Run::Unknown);
                Err(fail(Refused { reason, run, after: Some(COMMIT_LIMIT) }))
            }
        }
    }

    /// Entries, shards and their owners, workers and tasks.
    #[oai(path = "/status", method = "get")]
    async fn get_status(&self, request: &Request) -> Result<Json<StatusView>> {
        self.operator(request)?;
        let entry = &self.entry;
        let claims: Vec<crate::record::Claim> = lock(&entry.fold).claims.all().cloned().collect();
        let mut shards = Vec::new();
        for claim in claims {
            let owner = claim.owner.to_string();
            shards.push(self.shard_view(claim.shard, claim.domain, owner, claim.epoch).await);
        }
        let (slots, waiting) = entry.slot_load();
        let peers = lock(&entry.peers).fresh(entry.now());
        Ok(Json(StatusView {
            entry: entry.me.to_string(),
            domain: entry.settings.domain.to_string(),
            rev: lock(&entry.fold).tables.rev(),
            log: entry.is_log_fresh(),
            stopping: entry.is_stopping(),
            peers: peers.into_iter().map(|(name, _, _)| name.to_string()).collect(),
            slots,
            waiting: waiting as u32,
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
        let events = self.entry.trace.after(Stamp(since.0.unwrap_or(0)), max);
        Ok(Json(serde_json::to_value(events).unwrap_or_default()))
    }
}

/// The refusal of a table with faults: all of them.
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

/// The refusal of a publish that came second.
fn lost(rev: u64, by: &str) -> poem::Error {
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

/// Serves a caller's request. It runs on its own, so that it ends even if the caller goes away.
#[handler]
async fn serve_run(
    entry: Data<&Arc<Entry>>,
    kind: PoemPath<String>,
    request: &Request,
    body: Body,
) -> Response {
    match read_exchange(&entry, kind.0, request, body).await {
        Ok(exchange) => run_exchange(entry.0.clone(), exchange).await,
        Err(refused) => problem::response(&refused),
    }
}

async fn read_exchange(
    entry: &Arc<Entry>,
    kind: String,
    request: &Request,
    body: Body,
) -> std::result::Result<Exchange, Refused> {
    let came = entry.now();
    let caller = identify::apply(&entry.settings.tokens, bearer(request))?;
    let malformed = || not_run(Reason::Malformed, None);
    let key = request.header(KEY_HEADER);
    if key.is_some_and(|key| key.is_empty() || key.len() > MAX_KEY) {
        return Err(malformed());
    }
    let repeat = match request.header(REPEAT_HEADER) {
        None | Some("yes") => true,
        Some("no") => false,
        Some(_) => return Err(malformed()),
    };
    let body = body.into_bytes_limit(entry.settings.body_max).await;
    let body = body.map_err(|err| match err {
        poem::error::ReadBodyError::PayloadTooLarge => not_run(Reason::TooLarge, None),
        _ => malformed(),
    })?;
    let headers = request.headers().iter();
    let passed = headers.filter(|(name, _)| !HOP_HEADERS.contains(&name.as_str()));
    let id = format!("{}/{}/{}", entry.me.name, entry.me.inc, entry.next());
    Ok(Exchange {
        id: id.into(),
        kind: kind.into(),
        team: caller.team,
        key: key.map(Name::from),
        repeat,
        came,
        wait: wait_of(request.header(PREFER_HEADER)),
        headers: passed
            .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
            .collect(),
        body,
    })
}

/// The time of `Prefer: wait=SECONDS`.
fn wait_of(prefer: Option<&str>) -> Option<Millis> {
    let parts = prefer?.split([',', ';']);
    let seconds = parts.filter_map(|part| part.trim().strip_prefix("wait=")).next()?;
    let seconds: f64 = seconds.parse().ok()?;
    (seconds.is_finite() && seconds >= 0.0).then_some(Millis((seconds * 1000.0) as u64))
}

async fn run_exchange(entry: Arc<Entry>, exchange: Exchange) -> Response {
    let flight = InFlight::new(&entry);
    let served = tokio::spawn(async move {
        let result = crate::filter::run(entry, exchange).await;
        drop(flight);
        result
    });
    let unknown = Refused { reason: Reason::BrokenAnswer, run: Run::Unknown, after: None };
    match served.await {
        Ok(Ok(Forwarded::Whole { status, content, body })) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            let mut builder = Response::builder().status(status);
            if let Some(content) = content {
                builder = builder.header(CONTENT_TYPE, content);
            }
            builder.body(body)
        }
        Ok(Ok(Forwarded::Refused(refused)) | Err(refused)) => problem::response(&refused),
        Err(_) => problem::response(&unknown),
    }
}

/// For the platform's balancer: whether callers should be sent here.
#[handler]
fn ready(entry: Data<&Arc<Entry>>) -> StatusCode {
    match entry.is_stopping() || entry.table().rows.is_empty() {
        true => StatusCode::SERVICE_UNAVAILABLE,
        false => StatusCode::OK,
    }
}

#[handler]
fn metrics(entry: Data<&Arc<Entry>>) -> String {
    use std::sync::atomic::Ordering;
    entry.metrics.shards.set(entry.owned() as i64);
    let traffic = &entry.quic.traffic;
    entry.metrics.peer_messages.set(traffic.asks.load(Ordering::Relaxed) as i64);
    entry.metrics.peer_bytes.set(traffic.bytes.load(Ordering::Relaxed) as i64);
    entry.metrics.text()
}

/// The time line in the form that stand-ins give it too.
#[handler]
fn timeline(
    entry: Data<&Arc<Entry>>,
    request: &Request,
    ask: PoemJson<crate::standin::TraceRequest>,
) -> Result<PoemJson<Vec<crate::trace::Event>>> {
    let caller = identify::apply(&entry.settings.tokens, bearer(request)).map_err(fail)?;
    match caller.team {
        None => Ok(PoemJson(entry.trace.after(ask.since, ask.max.min(MAX_EVENTS)))),
        Some(_) => Err(refuse(Reason::Forbidden)),
    }
}

/// Turns errors of the framework into problems.
async fn as_problem(err: poem::Error) -> Response {
    let status = err.status();
    let response = err.into_response();
    let content = response.header(CONTENT_TYPE.as_str()).unwrap_or("");
    if content == "application/problem+json" {
        return response;
    }
    let reason = match status {
        StatusCode::NOT_FOUND | StatusCode::METHOD_NOT_ALLOWED => Reason::NotFound,
        StatusCode::PAYLOAD_TOO_LARGE => Reason::TooLarge,
        _ => Reason::Malformed,
    };
    let mut response = problem::response(&not_run(reason, None));
    response.set_status(status);
    response
}

/// The OpenAPI description of the administration API, as JSON.
pub fn describe(entry: Arc<Entry>) -> String {
    service(entry).spec()
}

fn service(entry: Arc<Entry>) -> OpenApiService<Api, ()> {
    OpenApiService::new(Api { entry }, "sprucerudder", env!("CARGO_PKG_VERSION")).server("/v1")
}

/// The whole interface.
pub fn app(entry: Arc<Entry>) -> impl Endpoint + 'static {
    let service = service(entry.clone());
    let description = service.spec_endpoint();
    Route::new()
        .at("/run/:kind", post(serve_run))
        .at("/ready", poem::get(ready))
        .at("/metrics", poem::get(metrics))
        .at(TRACE_PATH, post(timeline))
        .at("/v1/openapi.json", description)
        .nest("/v1", service)
        .data(entry)
        .catch_all_error(as_problem)
        .into_endpoint()
}
