//! One pooled HTTP client for the platform, workers and runners: whole bodies with a bound and a
//! time limit.

use crate::clock::Millis;
use crate::id::Name;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap};
use hyper::{Method, Request, StatusCode, Uri};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use thiserror::Error;

/// The largest body that is read, in bytes.
pub const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// The header by which an entry says who calls.
pub const CALLER_HEADER: &str = "entry-name";
/// The header with the request's id.
pub const REQUEST_ID_HEADER: &str = "request-id";
/// The header with which a runner says that it is leaving.
pub const UPSTREAM_STATE_HEADER: &str = "upstream-state";
/// Idle connections kept for each address.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// The longest wait for a connection to open: a hundred times the way between failure domains, and
/// as much for a first packet that is lost.
const CONNECT_TIMEOUT: Millis = Millis(1_000);

/// Why an exchange failed.
#[derive(Debug, Error)]
pub enum HttpError {
    /// No connection: nothing of the request was sent.
    #[error("cannot connect to {0}")]
    Connect(String),
    /// The exchange broke off after the request may have been sent.
    #[error("{0} broke off: {1}")]
    Broken(String, String),
    /// No answer in time.
    #[error("{0} did not answer in time")]
    Timeout(String),
    /// The answer is not a success.
    #[error("{0} answered {1}")]
    Status(String, StatusCode),
    /// The answer or the address cannot be read.
    #[error("{0}: {1}")]
    Malformed(String, String),
}

impl HttpError {
    /// Whether surely nothing of the request reached the other side.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_))
    }
}

/// A whole answer.
#[derive(Debug)]
pub struct HttpResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, as long as its declared length.
    pub body: Bytes,
}

impl HttpResponse {
    /// What a body says of its answer, or the defaults: most answers have none. A body that cannot
    /// be read leaves the status alone to decide, which is the safe side: a refusal whose reason is
    /// not known counts as the general one.
    pub fn json_or_default<T: DeserializeOwned + Default>(&self) -> T {
        if self.body.is_empty() {
            return T::default();
        }
        serde_json::from_slice(&self.body).unwrap_or_else(|err| {
            log::warn!("event=answer-unreadable status={} error={err:?}", self.status.as_u16());
            T::default()
        })
    }
}

/// The client of one address, with its idle connections.
type Pool = Client<HttpConnector, Full<Bytes>>;

/// The client.
///
/// Connections may go silent for good, without a reset, while new ones work. So an exchange without
/// an answer in time ends all idle connections to its address: without this each of up to [`POOL`]
/// silent ones costs one more exchange its whole time limit.
#[derive(Debug, Clone, Default)]
pub struct HttpClient {
    pools: Arc<Mutex<HashMap<Name, Arc<Pool>>>>,
}

fn new_pool() -> Pool {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT.duration()));
    let mut builder = Client::builder(TokioExecutor::new());
    builder.pool_max_idle_per_host(MAX_IDLE_CONNECTIONS).retry_canceled_requests(false);
    builder.build(connector)
}

impl HttpClient {
    fn pool(&self, addr: &str) -> Arc<Pool> {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(pool) = pools.get(addr) {
            return pool.clone();
        }
        let pool = Arc::new(new_pool());
        pools.insert(addr.into(), pool.clone());
        pool
    }

    /// Lets go of the idle connections to an address, unless that was done since `pool` was taken.
    fn drop_pool(&self, addr: &str, pool: &Arc<Pool>) {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        if pools.get(addr).is_some_and(|known| Arc::ptr_eq(known, pool)) {
            pools.remove(addr);
        }
    }

    /// Sends one request and reads the whole answer within `limit`.
    ///
    /// # Errors
    /// [`HttpError::Connect`] only if nothing was sent.
    pub async fn send(
        &self,
        addr: &str,
        request: Request<Full<Bytes>>,
        limit: Millis,
    ) -> Result<HttpResponse, HttpError> {
        let pool = self.pool(addr);
        let exchange = exchange(&pool, addr, request);
        let result = match tokio::time::timeout(limit.duration(), exchange).await {
            Ok(result) => result,
            Err(_) => Err(HttpError::Timeout(addr.to_string())),
        };
        if matches!(result, Err(HttpError::Timeout(_) | HttpError::Connect(_))) {
            self.drop_pool(addr, &pool);
        }
        result
    }

    /// Posts `ask` as JSON and reads a JSON answer; `caller` says who asks.
    ///
    /// # Errors
    /// As [`Http::post_bytes`].
    pub async fn post_json<P: Serialize, T: DeserializeOwned>(
        &self,
        caller: &str,
        addr: &str,
        path: &str,
        payload: &P,
        limit: Millis,
    ) -> Result<T, HttpError> {
        let body = serde_json::to_vec(payload).map_err(|err| malformed(addr, err))?;
        self.post_bytes(caller, addr, path, body.into(), limit).await
    }

    /// Posts a body and reads a JSON answer.
    ///
    /// # Errors
    /// As [`Http::send`], and [`HttpError::Status`] or [`HttpError::Malformed`].
    pub async fn post_bytes<T: DeserializeOwned>(
        &self,
        caller: &str,
        addr: &str,
        path: &str,
        body: Bytes,
        limit: Millis,
    ) -> Result<T, HttpError> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(uri(addr, path)?)
            .header(CONTENT_TYPE, "application/json")
            .header(CALLER_HEADER, caller)
            .body(Full::from(body))
            .map_err(|err| malformed(addr, err))?;
        let answer = self.send(addr, request, limit).await?;
        if !answer.status.is_success() {
            return Err(HttpError::Status(addr.to_string(), answer.status));
        }
        serde_json::from_slice(&answer.body).map_err(|err| malformed(addr, err))
    }
}

async fn exchange(
    pool: &Pool,
    addr: &str,
    request: Request<Full<Bytes>>,
) -> Result<HttpResponse, HttpError> {
    let broken = |err: String| HttpError::Broken(addr.to_string(), err);
    let answer = pool.request(request).await.map_err(|err| match err.is_connect() {
        true => HttpError::Connect(addr.to_string()),
        false => broken(err.to_string()),
    })?;
    let (parts, body) = answer.into_parts();
    let whole = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let body = whole.map_err(|err| broken(err.to_string()))?.to_bytes();
    let declared = parts.headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    match declared.and_then(|text| text.parse::<usize>().ok()) {
        Some(length) if length != body.len() => Err(broken(format!("{length} bytes declared"))),
        _ => Ok(HttpResponse { status: parts.status, headers: parts.headers, body }),
    }
}

fn malformed(addr: &str, err: impl std::fmt::Display) -> HttpError {
    HttpError::Malformed(addr.to_string(), err.to_string())
}

/// The URI of a path at an address.
///
/// # Errors
/// [`HttpError::Malformed`] if the address or path is not one.
pub fn uri(addr: &str, path: &str) -> Result<Uri, HttpError> {
    let built = Uri::builder().scheme("http").authority(addr).path_and_query(path).build();
    built.map_err(|err| malformed(addr, err))
}
