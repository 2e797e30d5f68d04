//! The chain of filters that a request passes: identify, classify, admit, site, hold, once,
//! forward. Each takes the exchange on or refuses it for good.

mod admit;
mod classify;
mod forward;
mod hold;
pub mod identify;
mod once;
pub mod problem;
mod site;

use crate::clock::Millis;
use crate::entry::Entry;
use crate::id::Name;
use crate::platform::http::HttpResponse;
use crate::table::Row;
use crate::trace::EventKind;
use crate::wire::msg::{Forward, Forwarded, Reason, Refused, Run};
use bytes::Bytes;
use hyper::header::CONTENT_TYPE;
use std::sync::Arc;

/// A request on its way through the chain.
#[derive(Debug, Clone)]
pub struct Exchange {
    /// Its id, unique in the cell.
    pub id: Name,
    /// The kind of work.
    pub kind: Name,
    /// The team of its caller; `None` for an operator.
    pub team: Option<Name>,
    /// Its idempotency key.
    pub key: Option<Name>,
    /// Whether its caller allows that it is run again.
    pub repeat: bool,
    /// When it came.
    pub came: Millis,
    /// How long its caller waits, if it said so.
    pub wait: Option<Millis>,
    /// Headers that go to the runner.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body.
    pub body: Bytes,
}

/// An exchange with its policy.
#[derive(Debug, Clone)]
pub struct Classified {
    /// The exchange.
    pub exchange: Exchange,
    /// The row of its kind.
    pub row: Row,
    /// When its answer is due.
    pub due: Millis,
}

impl Classified {
    /// Whether it may be run again after it may have run.
    pub fn repeatable(&self) -> bool {
        self.row.repeat && self.exchange.repeat
    }
}

impl Exchange {
    /// A request that another failure domain sent here.
    pub fn from_forward(forward: Forward, now: Millis) -> Self {
        Self {
            id: forward.id,
            kind: forward.kind,
            team: Some(forward.team),
            key: forward.key,
            repeat: forward.repeat,
            came: now,
            wait: Some(forward.left),
            headers: forward.headers,
            body: forward.body.into(),
        }
    }
}

/// The refusal of a request of which nothing was run.
pub(crate) fn not_run(reason: Reason, after: Option<Millis>) -> Refused {
    Refused { reason, run: Run::No, after }
}

/// Takes a caller's request through the whole chain.
///
/// # Errors
/// The final refusal.
pub async fn run(entry: Arc<Entry>, exchange: Exchange) -> Result<Forwarded, Refused> {
    let (id, kind, came) = (exchange.id.clone(), exchange.kind.clone(), exchange.came);
    let result = chain(&entry, exchange).await;
    report(&entry, id, kind, came, &result);
    result
}

async fn chain(entry: &Arc<Entry>, exchange: Exchange) -> Result<Forwarded, Refused> {
    let classified = classify::apply(entry, exchange)?;
    admit::apply(entry, &classified)?;
    match site::apply(entry, &classified).await? {
        Some(answer) => Ok(answer),
        None => serve_here(entry, &classified).await,
    }
}

/// Takes a request of another failure domain through the rest of the chain.
pub async fn run_forwarded(entry: Arc<Entry>, exchange: Exchange) -> Forwarded {
    let classified = classify::apply(&entry, exchange);
    let result = match &classified {
        Ok(classified) => serve_here(&entry, classified).await,
        Err(refused) => Err(refused.clone()),
    };
    result.unwrap_or_else(Forwarded::Refused)
}

async fn serve_here(entry: &Arc<Entry>, classified: &Classified) -> Result<Forwarded, Refused> {
    let slot = hold::apply(entry, classified).await?;
    let key = once::apply(entry, classified).await?;
    let result = forward::apply(entry, classified, slot).await;
    if let (Some(key), Err(Refused { run: Run::No, .. })) = (key, &result) {
        key.free(entry);
    }
    result.map(whole)
}

fn whole(answer: HttpResponse) -> Forwarded {
    let content = answer.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    Forwarded::Whole {
        status: answer.status.as_u16(),
        content: content.map(str::to_string),
        body: answer.body.to_vec(),
    }
}

fn report(
    entry: &Entry,
    request: Name,
    kind: Name,
    came: Millis,
    result: &Result<Forwarded, Refused>,
) {
    let (status, run) = match result {
        Ok(Forwarded::Whole { status, .. }) => (*status, "yes"),
        Ok(Forwarded::Refused(refused)) | Err(refused) => {
            (problem::status(&refused.reason).as_u16(), problem::run_name(refused.run))
        }
    };
    entry.metrics.requests.with_label_values(&[&*kind, &status.to_string()]).inc();
    let waited = entry.now().since(came);
    entry.trace.record(EventKind::RequestOut { request, status, run: run.into(), waited });
}
