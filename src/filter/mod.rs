//! The chain of filters that a request passes: authenticate, classify, admit, destination, queue,
//! idempotency, dispatch. Each filter passes the request on or refuses it for good.

mod admit;
pub mod authenticate;
mod classify;
mod destination;
mod dispatch;
mod idempotency;
pub mod problem;
mod queue;

use crate::clock::Millis;
use crate::entry::Entry;
use crate::id::Name;
use crate::platform::http::HttpResponse;
use crate::table::Row;
use crate::trace::EventKind;
use crate::wire::msg::{Executed, ForwardedRequest, ForwardedResponse, Reason, RequestError};
use bytes::Bytes;
use hyper::header::CONTENT_TYPE;
use std::sync::Arc;

/// A request as received from a caller or from another failure domain.
#[derive(Debug, Clone)]
pub struct InboundRequest {
    /// The request's id, unique in the cell.
    pub id: Name,
    /// The kind of work.
    pub kind: Name,
    /// The team of its caller; `None` for an operator.
    pub team: Option<Name>,
    /// The idempotency key, if the caller gave one.
    pub key: Option<Name>,
    /// Whether the caller allows the request to be run more than once.
    pub may_repeat: bool,
    /// When this entry received the request.
    pub received: Millis,
    /// How long the caller waits for the response, if it said so.
    pub max_wait: Option<Millis>,
    /// The headers to pass on to the runner.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The request body.
    pub body: Bytes,
}

/// A request with the table row of its kind of work.
#[derive(Debug, Clone)]
pub struct ClassifiedRequest {
    /// The request.
    pub request: InboundRequest,
    /// The table row of its kind of work.
    pub row: Row,
    /// When the response is due.
    pub deadline: Millis,
}

impl ClassifiedRequest {
    /// Whether the request may be run again when an earlier attempt may have been run.
    pub fn repeatable(&self) -> bool {
        self.row.repeatable && self.request.may_repeat
    }
}

impl InboundRequest {
    /// Converts a request that an entry of another failure domain forwarded to this one.
    pub fn from_forwarded(forwarded: ForwardedRequest, now: Millis) -> Self {
        Self {
            id: forwarded.id,
            kind: forwarded.kind,
            team: Some(forwarded.team),
            key: forwarded.key,
            may_repeat: forwarded.may_repeat,
            received: now,
            max_wait: Some(forwarded.remaining),
            headers: forwarded.headers,
            body: forwarded.body.into(),
        }
    }
}

/// The error for a request that was certainly not run.
pub(crate) fn not_run(reason: Reason, after: Option<Millis>) -> RequestError {
    RequestError { reason, run: Executed::No, after }
}

/// Takes a caller's request through the filters and records its outcome.
///
/// # Errors
/// If a filter refuses the request or it fails.
pub async fn run(
    entry: Arc<Entry>,
    request: InboundRequest,
) -> Result<ForwardedResponse, RequestError> {
    let (id, kind, received) = (request.id.clone(), request.kind.clone(), request.received);
    let result = apply_filters(&entry, request).await;
    record_outcome(&entry, id, kind, received, &result);
    result
}

async fn apply_filters(
    entry: &Arc<Entry>,
    request: InboundRequest,
) -> Result<ForwardedResponse, RequestError> {
    let classified = classify::apply(entry, request)?;
    admit::apply(entry, &classified)?;
    match destination::apply(entry, &classified).await? {
        Some(response) => Ok(response),
        None => serve_locally(entry, &classified).await,
    }
}

/// Serves a request that another failure domain forwarded. It was admitted there and is not
/// forwarded again.
pub async fn run_forwarded(entry: Arc<Entry>, request: InboundRequest) -> ForwardedResponse {
    let classified = classify::apply(&entry, request);
    let result = match &classified {
        Ok(classified) => serve_locally(&entry, classified).await,
        Err(refused) => Err(refused.clone()),
    };
    result.unwrap_or_else(ForwardedResponse::Refused)
}

async fn serve_locally(
    entry: &Arc<Entry>,
    classified: &ClassifiedRequest,
) -> Result<ForwardedResponse, RequestError> {
    let slot = queue::apply(entry, classified).await?;
    let key = idempotency::apply(entry, classified).await?;
    let result = dispatch::apply(entry, classified, slot).await;
    if let (Some(key), Err(RequestError { run: Executed::No, .. })) = (key, &result) {
        key.release(entry);
    }
    result.map(complete_response)
}

fn complete_response(response: HttpResponse) -> ForwardedResponse {
    let content_type = response.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    ForwardedResponse::Complete {
        status: response.status.as_u16(),
        content_type: content_type.map(str::to_string),
        body: response.body.to_vec(),
    }
}

fn record_outcome(
    entry: &Entry,
    request: Name,
    kind: Name,
    received: Millis,
    result: &Result<ForwardedResponse, RequestError>,
) {
    let (status, run) = match result {
        Ok(ForwardedResponse::Complete { status, .. }) => (*status, "yes"),
        Ok(ForwardedResponse::Refused(refused)) | Err(refused) => {
            (problem::status(&refused.reason).as_u16(), problem::run_name(refused.run))
        }
    };
    entry.metrics.requests.with_label_values(&[&*kind, &status.to_string()]).inc();
    let waited = entry.now().since(received);
    entry.trace.record(EventKind::RequestAnswered { request, status, run: run.into(), waited });
}
