//! The HTTP interface: requests under /run, readiness, metrics, the timeline, and the API.

use crate::clock::Millis;
use crate::entry::stop::InFlight;
use crate::entry::{Entry, api};
use crate::filter::{InboundRequest, authenticate, not_run, problem};
use crate::id::Name;
use crate::server::{TIMELINE_PATH, TimelineRequest};
use crate::trace::Event;
use crate::wire::msg::{Executed, ForwardedResponse, Reason, RequestError};
use poem::error::ReadBodyError;
use poem::http::StatusCode;
use poem::http::header::{AUTHORIZATION, CONTENT_TYPE};
use poem::web::{Data, Json, Path};
use poem::{Body, Endpoint, EndpointExt, IntoEndpoint, Request, Response, Route, handler, post};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// The idempotency key of a request or job (draft-ietf-httpapi-idempotency-key-header).
const KEY_HEADER: &str = "idempotency-key";
/// How long the caller waits, as `wait=SECONDS` (RFC 7240).
const PREFER_HEADER: &str = "prefer";
/// The value `no` means that the request must not be run twice, whatever its row says.
const REPEAT_HEADER: &str = "work-repeat";
/// The maximum length of an idempotency key, in bytes.
pub(super) const MAX_KEY_LEN: usize = 255;
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
/// The limit of events in one response.
pub(super) const MAX_EVENTS: usize = 100_000;

pub(super) fn refuse(reason: Reason) -> poem::Error {
    problem::error(&not_run(reason, None))
}

pub(super) fn api_error(refused: RequestError) -> poem::Error {
    problem::error(&refused)
}

pub(super) fn bearer(request: &Request) -> Option<&str> {
    request.header(AUTHORIZATION)?.strip_prefix("Bearer ")
}

/// Serves a caller's request. It runs in a task of its own, so that it completes even if the caller
/// disconnects.
#[handler]
async fn serve_run(
    entry: Data<&Arc<Entry>>,
    kind: Path<String>,
    request: &Request,
    body: Body,
) -> Response {
    match read_request(&entry, kind.0, request, body).await {
        Ok(inbound) => run_request(entry.0.clone(), inbound).await,
        Err(refused) => problem::response(&refused),
    }
}

async fn read_request(
    entry: &Arc<Entry>,
    kind: String,
    request: &Request,
    body: Body,
) -> Result<InboundRequest, RequestError> {
    let received = entry.now();
    let caller = authenticate::apply(&entry.settings.tokens, bearer(request))?;
    let malformed = || not_run(Reason::Malformed, None);
    let key = request.header(KEY_HEADER);
    if key.is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_LEN) {
        return Err(malformed());
    }
    let may_repeat = match request.header(REPEAT_HEADER) {
        None | Some("yes") => true,
        Some("no") => false,
        Some(_) => return Err(malformed()),
    };
    let body = body.into_bytes_limit(entry.settings.max_body).await;
    let body = body.map_err(|err| match err {
        ReadBodyError::PayloadTooLarge => not_run(Reason::TooLarge, None),
        _ => malformed(),
    })?;
    let headers = request.headers().iter();
    let passed = headers.filter(|(name, _)| !HOP_HEADERS.contains(&name.as_str()));
    let id = format!("{}/{}/{}", entry.me.name, entry.me.incarnation, entry.next_number());
    Ok(InboundRequest {
        id: id.into(),
        kind: kind.into(),
        team: caller.team,
        key: key.map(Name::from),
        may_repeat,
        received,
        max_wait: parse_wait(request.header(PREFER_HEADER)),
        headers: passed
            .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
            .collect(),
        body,
    })
}

/// Parses the wait time of `Prefer: wait=SECONDS`.
fn parse_wait(prefer: Option<&str>) -> Option<Millis> {
    let parts = prefer?.split([',', ';']);
    let seconds = parts.filter_map(|part| part.trim().strip_prefix("wait=")).next()?;
    let seconds: f64 = seconds.parse().ok()?;
    (seconds.is_finite() && seconds >= 0.0).then_some(Millis((seconds * 1000.0) as u64))
}

async fn run_request(entry: Arc<Entry>, inbound: InboundRequest) -> Response {
    let flight = InFlight::new(&entry);
    let served = tokio::spawn(async move {
        let result = crate::filter::run(entry, inbound).await;
        drop(flight);
        result
    });
    let unknown =
        RequestError { reason: Reason::BrokenAnswer, run: Executed::Unknown, after: None };
    match served.await {
        Ok(Ok(ForwardedResponse::Complete { status, content_type, body })) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            let mut builder = Response::builder().status(status);
            if let Some(content_type) = content_type {
                builder = builder.header(CONTENT_TYPE, content_type);
            }
            builder.body(body)
        }
        Ok(Ok(ForwardedResponse::Refused(refused)) | Err(refused)) => problem::response(&refused),
        Err(_) => problem::response(&unknown),
    }
}

/// Readiness check for the platform's load balancer: whether it should send callers here.
#[handler]
fn ready(entry: Data<&Arc<Entry>>) -> StatusCode {
    match entry.is_stopping() || entry.table().rows.is_empty() {
        true => StatusCode::SERVICE_UNAVAILABLE,
        false => StatusCode::OK,
    }
}

#[handler]
fn metrics(entry: Data<&Arc<Entry>>) -> String {
    entry.metrics.shards.set(entry.owned_shards() as i64);
    let traffic = &entry.quic.traffic;
    entry.metrics.peer_messages.set(traffic.requests.load(Ordering::Relaxed) as i64);
    entry.metrics.peer_bytes.set(traffic.bytes.load(Ordering::Relaxed) as i64);
    entry.metrics.text()
}

/// The timeline, in the same form as the stand-ins serve it.
#[handler]
fn timeline(
    entry: Data<&Arc<Entry>>,
    request: &Request,
    ask: Json<TimelineRequest>,
) -> poem::Result<Json<Vec<Event>>> {
    let caller = authenticate::apply(&entry.settings.tokens, bearer(request)).map_err(api_error)?;
    match caller.team {
        None => Ok(Json(entry.trace.events_after(ask.since, ask.max.min(MAX_EVENTS)))),
        Some(_) => Err(refuse(Reason::Forbidden)),
    }
}

/// Converts errors of the web framework to `application/problem+json`.
async fn into_problem(err: poem::Error) -> Response {
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

/// The routes of the HTTP interface.
pub fn app(entry: Arc<Entry>) -> impl Endpoint + 'static {
    let service = api::service(entry.clone());
    let description = service.spec_endpoint();
    Route::new()
        .at("/run/:kind", post(serve_run))
        .at("/ready", poem::get(ready))
        .at("/metrics", poem::get(metrics))
        .at(TIMELINE_PATH, post(timeline))
        .at("/v1/openapi.json", description)
        .nest("/v1", service)
        .data(entry)
        .catch_all_error(into_problem)
        .into_endpoint()
}
