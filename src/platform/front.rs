//! The HTTP headers of callers' requests, and the replies to callers.

use crate::clock::Millis;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{
    AUTHORIZATION, CONTENT_TYPE, HOST, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE,
};
use hyper::{Request, Response, StatusCode};

/// How long a caller waits for its reply, in milliseconds from when it sent the request.
const DEADLINE_HEADER: &str = "X-Sprucerudder-Deadline-Ms";

/// The host named by a request; empty if it names none.
pub fn host<B>(request: &Request<B>) -> &str {
    let header = request.headers().get(HOST).and_then(|host| header_text(HOST.as_str(), host));
    // No route matches an empty host, so the caller gets a 404.
    header.or(request.uri().host()).unwrap_or_default()
}

/// The authentication scheme of callers' API keys.
const AUTH_SCHEME: &str = "Bearer";

/// The API key in a request's `Authorization` header.
pub fn api_key<B>(request: &Request<B>) -> Option<&str> {
    let text = header_text(AUTHORIZATION.as_str(), request.headers().get(AUTHORIZATION)?)?;
    let (scheme, key) = text.trim().split_once(' ')?;
    scheme.eq_ignore_ascii_case(AUTH_SCHEME).then_some(key.trim())
}

/// A header's value as text. A value that isn't text counts as absent.
fn header_text<'a>(name: &str, value: &'a HeaderValue) -> Option<&'a str> {
    let text = value.to_str();
    text.inspect_err(|err| log::info!("event=header-unreadable name={name} error={err:?}")).ok()
}

/// How long a caller waits for its reply, if the request says so.
pub fn deadline<B>(request: &Request<B>) -> Option<Millis> {
    let text = header_text(DEADLINE_HEADER, request.headers().get(DEADLINE_HEADER)?)?;
    let parsed = text.trim().parse::<f64>();
    let parsed = parsed.inspect_err(|err| {
        // The default applies, as for a request without the header.
        log::info!("event=header-unreadable name={DEADLINE_HEADER} error={err:?}");
    });
    parsed.ok().map(|ms| Millis(ms.max(0.0) as u64))
}

/// The reply to a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The request was carried out, and the result is stored.
    Accepted,
    /// The state of a job.
    State(&'static str),
    /// The number of waiting jobs.
    Pending(u32),
    /// There is no such job.
    NoJob,
    /// There is no such queue.
    NoQueue,
    /// The request is invalid; retrying doesn't help.
    Malformed(String),
    /// The method isn't GET, POST or DELETE.
    NoMethod,
    /// The request has no API key, or one that isn't valid.
    InvalidKey,
    /// The job belongs to another workspace.
    OtherWorkspace,
    /// The request was not carried out and never will be; the caller may retry it.
    Busy {
        /// The time after which to retry, in seconds.
        after: u64,
    },
    /// The job was not accepted and never will run, because there is no memory for it while other jobs
    /// are open; the caller may retry it.
    NoMemory {
        /// The time after which to retry, in seconds.
        after: u64,
    },
    /// The request may have been carried out; the caller should retry it with the same key.
    Unconfirmed,
}

impl Reply {
    /// The HTTP response for this reply.
    pub fn response(&self) -> Response<Full<Bytes>> {
        let (status, body) = match self {
            Self::Accepted => (StatusCode::OK, String::new()),
            Self::State(state) => (StatusCode::OK, format!(r#"{{"state":"{state}"}}"#)),
            Self::Pending(count) => (StatusCode::OK, format!(r#"{{"pending":{count}}}"#)),
            Self::NoJob => (StatusCode::GONE, error_body("there is no such job")),
            Self::NoQueue => (StatusCode::NOT_FOUND, error_body("there is no such queue")),
            Self::Malformed(why) => (StatusCode::BAD_REQUEST, error_body(why)),
            Self::NoMethod => {
                (StatusCode::METHOD_NOT_ALLOWED, error_body("only GET, POST and DELETE"))
            }
            Self::InvalidKey => (StatusCode::UNAUTHORIZED, error_body("this key is not in force")),
            Self::OtherWorkspace => {
                (StatusCode::FORBIDDEN, error_body("the job is another workspace's"))
            }
            Self::Busy { .. } => {
                (StatusCode::SERVICE_UNAVAILABLE, error_body("not taken: come back"))
            }
            Self::NoMemory { .. } => (
                StatusCode::SERVICE_UNAVAILABLE,
                error_body("not taken: too many tasks are open, retry once other jobs have ended"),
            ),
            Self::Unconfirmed => (StatusCode::GATEWAY_TIMEOUT, error_body("in doubt: ask again")),
        };
        let is_empty = body.is_empty();
        let mut response = Response::new(Full::from(body));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        if !is_empty {
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        }
        match self {
            Self::Busy { after } | Self::NoMemory { after } => {
                headers.insert(RETRY_AFTER, HeaderValue::from(*after));
            }
            Self::InvalidKey => {
                headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static(AUTH_SCHEME));
            }
            _ => {}
        }
        response
    }
}

/// A JSON body with an error message.
fn error_body(text: &str) -> String {
    serde_json::json!({ "error": text }).to_string()
}
