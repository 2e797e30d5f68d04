//! Callers' requests and the answers to them, as the platform has them.

use crate::clock::Millis;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{
    AUTHORIZATION, CONTENT_TYPE, HOST, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE,
};
use hyper::{Request, Response, StatusCode};

/// How long a caller waits for its answer, in milliseconds from when it sent the request.
const DEADLINE_HEADER: &str = "X-Sprucerudder-Deadline-Ms";

/// The host that a caller names.
pub fn host<B>(request: &Request<B>) -> &str {
    let header = request.headers().get(HOST).and_then(|host| header_text(HOST.as_str(), host));
    // Without a host no route fits, and the caller is told so.
    header.or(request.uri().host()).unwrap_or_default()
}

/// How callers show their keys.
const AUTH_SCHEME: &str = "Bearer";

/// The key that a caller bears.
pub fn api_key<B>(request: &Request<B>) -> Option<&str> {
    let text = header_text(AUTHORIZATION.as_str(), request.headers().get(AUTHORIZATION)?)?;
    let (scheme, key) = text.trim().split_once(' ')?;
    scheme.eq_ignore_ascii_case(AUTH_SCHEME).then_some(key.trim())
}

/// A header's text; one that is none counts as absent.
fn header_text<'a>(name: &str, value: &'a HeaderValue) -> Option<&'a str> {
    let text = value.to_str();
    text.inspect_err(|err| log::info!("event=header-unreadable name={name} error={err:?}")).ok()
}

/// How long a caller waits.
pub fn deadline<B>(request: &Request<B>) -> Option<Millis> {
    let text = header_text(DEADLINE_HEADER, request.headers().get(DEADLINE_HEADER)?)?;
    let parsed = text.trim().parse::<f64>();
    let parsed = parsed.inspect_err(|err| {
        // The caller is served with the usual time, as one that does not say.
        log::info!("event=header-unreadable name={DEADLINE_HEADER} error={err:?}");
    });
    parsed.ok().map(|ms| Millis(ms.max(0.0) as u64))
}

/// What a caller is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// It is done, and kept.
    Accepted,
    /// The state of a job.
    State(&'static str),
    /// The number of jobs that wait.
    Pending(u32),
    /// There is no such job.
    NoJob,
    /// There is no such queue.
    NoQueue,
    /// The request has a fault and will never be taken.
    Malformed(String),
    /// Only GET, POST and DELETE are served.
    NoMethod,
    /// The caller bears no key, or one that is not in force.
    InvalidKey,
    /// The job belongs to another workspace.
    OtherWorkspace,
    /// Nothing was done, and nothing will be: come back after so many seconds.
    Busy {
        /// Seconds.
        after: u64,
    },
    /// It may have been done: ask again with the same key.
    Unconfirmed,
}

impl Reply {
    /// The answer over HTTP.
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
            Self::Busy { after } => {
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

fn error_body(text: &str) -> String {
    serde_json::json!({ "error": text }).to_string()
}
