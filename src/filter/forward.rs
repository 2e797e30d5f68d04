//! The exchange with a runner, and when it may be tried again.

use crate::entry::{Entry, Slot};
use crate::filter::{Classified, hold, not_run};
use crate::platform::http::{HttpError, HttpResponse, uri};
use crate::platform::http::{REQUEST_ID_HEADER, UPSTREAM_STATE_HEADER};
use crate::trace::EventKind;
use crate::wire::msg::{Reason, Refused, Run};
use http_body_util::Full;
use hyper::{Method, Request};
use std::sync::Arc;

/// How often a request is sent at most.
const MAX_TRIES: u32 = 3;

/// Sends the request to the runner of its slot and reads the whole answer. It is sent again only
/// if surely nothing reached a runner, or if it may be repeated; and only while the budget lasts.
///
/// # Errors
/// If no whole answer came, and whether it may have run.
pub async fn apply(
    entry: &Arc<Entry>,
    classified: &Classified,
    slot: Slot,
) -> Result<HttpResponse, Refused> {
    entry.deposit_retry();
    let mut slot = slot;
    let mut run = Run::No;
    for tried in 1.. {
        let err = match send(entry, classified, &mut slot).await {
            Ok(answer) => return Ok(answer),
            Err(err) => err,
        };
        drop(slot);
        if !err.is_unsent() {
            run = Run::Unknown;
        }
        let safe = run == Run::No || classified.repeatable();
        let last = tried >= MAX_TRIES || entry.now() >= classified.due;
        if last || !safe || !entry.take_retry() {
            return Err(give_up(&err, run));
        }
        slot = match hold::apply(entry, classified).await {
            Ok(slot) => slot,
            Err(refused) => return Err(Refused { run, ..refused }),
        };
    }
    Err(not_run(Reason::NoUpstream, None))
}

async fn send(
    entry: &Entry,
    classified: &Classified,
    slot: &mut Slot,
) -> Result<HttpResponse, HttpError> {
    let exchange = &classified.exchange;
    let unsent = || HttpError::Connect(slot.runner.to_string());
    let addr = entry.runner_addr(&slot.runner).ok_or_else(unsent)?;
    let path = format!("/run/{}", exchange.kind);
    let mut builder = Request::builder().method(Method::POST).uri(uri(&addr, &path)?);
    for (name, value) in &exchange.headers {
        builder = builder.header(name, value.as_slice());
    }
    let builder = builder.header(REQUEST_ID_HEADER, &*exchange.id);
    let request = builder.body(Full::from(exchange.body.clone())).map_err(|_| unsent())?;
    let (id, runner) = (exchange.id.clone(), slot.runner.clone());
    entry.trace.record(EventKind::RequestSent { request: id, runner });
    let answer = entry.http.send(&addr, request, classified.due.since(entry.now())).await?;
    slot.reached = true;
    if answer.headers.get(UPSTREAM_STATE_HEADER).is_some_and(|state| state == "leaving") {
        entry.runner_leaves(&slot.runner);
    }
    Ok(answer)
}

fn give_up(err: &HttpError, run: Run) -> Refused {
    let reason = match err {
        HttpError::Connect(_) => Reason::NoUpstream,
        HttpError::Timeout(_) => Reason::Timeout,
        HttpError::Broken(..) | HttpError::Status(..) | HttpError::Malformed(..) => {
            Reason::BrokenAnswer
        }
    };
    Refused { reason, run, after: None }
}
