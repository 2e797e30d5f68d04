//! Error responses as `application/problem+json` (RFC 9457), with two members of our own: `run`,
//! whether the request may have been run, and `reason`, one of a fixed list.

use crate::controller::shard::owner::Refusal;
use crate::wire::msg::{Executed, Reason, RequestError};
use poem::Response;
use poem::http::StatusCode;
use poem::http::header::{CONTENT_TYPE, RETRY_AFTER};
use serde::Serialize;

/// The body of an error response.
#[derive(Debug, Serialize)]
struct Problem {
    #[serde(rename = "type")]
    kind: &'static str,
    title: String,
    status: u16,
    run: Executed,
    reason: serde_json::Value,
}

/// The HTTP status for a reason.
pub fn status(reason: &Reason) -> StatusCode {
    match reason {
        Reason::Unauthorized => StatusCode::UNAUTHORIZED,
        Reason::Forbidden | Reason::WrongTeam => StatusCode::FORBIDDEN,
        Reason::Malformed => StatusCode::BAD_REQUEST,
        Reason::UnknownKind | Reason::NotFound => StatusCode::NOT_FOUND,
        Reason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Reason::QueueFull | Reason::Job(Refusal::QueueFull) => StatusCode::TOO_MANY_REQUESTS,
        Reason::Timeout => StatusCode::GATEWAY_TIMEOUT,
        Reason::BrokenAnswer => StatusCode::BAD_GATEWAY,
        Reason::KeyKnown | Reason::Conflict => StatusCode::CONFLICT,
        Reason::Job(Refusal::NoWorkers) => StatusCode::SERVICE_UNAVAILABLE,
        Reason::Job(_) => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::NoTable
        | Reason::TooLate
        | Reason::NoUpstream
        | Reason::NoSite
        | Reason::NoOwner
        | Reason::NoLog => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// The value of `run` in events of the timeline.
pub fn run_name(run: Executed) -> &'static str {
    match run {
        Executed::No => "no",
        Executed::Unknown => "unknown",
    }
}

/// The HTTP response for a refused or failed request.
pub fn response(refused: &RequestError) -> Response {
    let status = status(&refused.reason);
    let reason = match refused.reason {
        Reason::Job(why) => serde_json::to_value(why),
        other => serde_json::to_value(other),
    };
    let problem = Problem {
        kind: "about:blank",
        title: status.canonical_reason().unwrap_or("").to_string(),
        status: status.as_u16(),
        run: refused.run,
        reason: reason.unwrap_or_default(),
    };
    let mut builder =
        Response::builder().status(status).header(CONTENT_TYPE, "application/problem+json");
    if let Some(after) = refused.after {
        builder = builder.header(RETRY_AFTER, after.0.div_ceil(1000).max(1).to_string());
    }
    builder.body(serde_json::to_vec(&problem).unwrap_or_default())
}

/// The same response as an error of an API handler.
pub fn error(refused: &RequestError) -> poem::Error {
    poem::Error::from_response(response(refused))
}
