//! The chain of filters that a request passes: authenticate, classify, admit, site, hold, once,
//! forward. Each takes the request on or refuses it for good.

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

/// A request on its way through the chain.
#[derive(Debug, Clone)]
pub struct InboundRequest {
    /// Its id, unique in the cell.
    pub id: Name,
    /// The kind of work.
    pub kind: Name,
    /// The team of its caller; `None` for an operator.
    pub team: Option<Name>,
    /// Its idempotency key.
    pub key: Option<Name>,
    /// Whether its caller allows that it is run again.
    pub may_repeat: bool,
    /// When it came.
    pub received: Millis,
    /// How long its caller waits, if it said so.
    pub max_wait: Option<Millis>,
    /// Headers that go to the runner.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body.
    pub body: Bytes,
}

/// A request with its policy.
#[derive(Debug, Clone)]
pub struct ClassifiedRequest {
    /// The request.
    pub request: InboundRequest,
    /// The row of its kind.
    pub row: Row,
    /// When its answer is due.
    pub deadline: Millis,
}

impl ClassifiedRequest {
    /// Whether it may be run again after it may have run.
    pub fn repeatable(&self) -> bool {
        self.row.repeat && self.request.may_repeat
    }
}

impl InboundRequest {
    /// A request that another failure domain sent here.
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

/// The refusal of a request of which nothing was run.
pub(crate) fn not_run(reason: Reason, after: Option<Millis>) -> RequestError {
    RequestError { reason, run: Executed::No, after }
}

/// Takes a caller's request through the whole chain.
///
/// # Errors
/// The final refusal.
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
        Some(answer) => Ok(answer),
        None => serve_locally(entry, &classified).await,
    }
}

/// Takes a request of another failure domain through the rest of the chain.
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
    entry.trace.record(EventKind::RequestOut { request, status, run: run.into(), waited });
}
