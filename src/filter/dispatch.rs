//! The filter that sends a request to a runner and retries it where that is safe.

use crate::entry::{Entry, Slot};
use crate::filter::{ClassifiedRequest, not_run, queue};
use crate::platform::http::{HttpError, HttpResponse, uri};
use crate::platform::http::{REQUEST_ID_HEADER, UPSTREAM_STATE_HEADER};
use crate::trace::EventKind;
use crate::wire::msg::{Executed, Reason, RequestError};
use http_body_util::Full;
use hyper::{Method, Request};
use std::sync::Arc;

/// The number of times that a request is sent at most.
const MAX_ATTEMPTS: u32 = 3;

/// Sends the request to the runner of its slot and reads the complete response. A failed request
/// is sent again only if it certainly reached no runner or may be run more than once, and only
/// while the entry's retry budget lasts.
///
/// # Errors
/// If there is no complete response; the error says whether the request may have been run.
pub async fn apply(
    entry: &Arc<Entry>,
    classified: &ClassifiedRequest,
    slot: Slot,
) -> Result<HttpResponse, RequestError> {
    entry.deposit_retry();
    let mut slot = slot;
    let mut run = Executed::No;
    for attempt in 1.. {
        let err = match send(entry, classified, &mut slot).await {
            Ok(response) => return Ok(response),
            Err(err) => err,
        };
        drop(slot);
        if !err.is_unsent() {
            run = Executed::Unknown;
        }
        let may_retry = run == Executed::No || classified.repeatable();
        let is_last = attempt >= MAX_ATTEMPTS || entry.now() >= classified.deadline;
        if is_last || !may_retry || !entry.withdraw_retry() {
            return Err(error_for(&err, run));
        }
        slot = match queue::apply(entry, classified).await {
            Ok(slot) => slot,
            Err(refused) => return Err(RequestError { run, ..refused }),
        };
    }
    Err(not_run(Reason::NoUpstream, None))
}

async fn send(
    entry: &Entry,
    classified: &ClassifiedRequest,
    slot: &mut Slot,
) -> Result<HttpResponse, HttpError> {
    let request = &classified.request;
    let not_sent = || HttpError::Connect(slot.runner.to_string());
    let addr = entry.runner_addr(&slot.runner).ok_or_else(not_sent)?;
    let path = format!("/run/{}", request.kind);
    let mut builder = Request::builder().method(Method::POST).uri(uri(&addr, &path)?);
    for (name, value) in &request.headers {
        builder = builder.header(name, value.as_slice());
    }
    let builder = builder.header(REQUEST_ID_HEADER, &*request.id);
    let outgoing = builder.body(Full::from(request.body.clone())).map_err(|_| not_sent())?;
    let (id, runner) = (request.id.clone(), slot.runner.clone());
    entry.trace.record(EventKind::RequestSent { request: id, runner });
    let response = entry.http.send(&addr, outgoing, classified.deadline.since(entry.now())).await?;
    slot.reached = true;
    if response.headers.get(UPSTREAM_STATE_HEADER).is_some_and(|state| state == "leaving") {
        entry.mark_runner_leaving(&slot.runner);
    }
    Ok(response)
}

fn error_for(err: &HttpError, run: Executed) -> RequestError {
    let reason = match err {
        HttpError::Connect(_) => Reason::NoUpstream,
        HttpError::Timeout(_) => Reason::Timeout,
        HttpError::Broken(..) | HttpError::Status(..) | HttpError::Malformed(..) => {
            Reason::BrokenAnswer
        }
    };
    RequestError { reason, run, after: None }
}
