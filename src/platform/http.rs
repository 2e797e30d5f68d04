//! The pooled HTTP client for calls to the platform, workers and runners. It reads whole bodies of limited size within
//! a time limit.

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

/// The largest response body that is read, in bytes.
pub const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// The header with the name of the entry that sends the request.
pub const CALLER_HEADER: &str = "entry-name";
/// The header with the ID of the request.
pub const REQUEST_ID_HEADER: &str = "request-id";
/// The header by which a runner reports that it is leaving.
pub const UPSTREAM_STATE_HEADER: &str = "upstream-state";
/// The maximum number of idle connections kept for each address.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// The time limit for opening a connection: a hundred times the latency between failure domains, and as much again in
/// case the first packet is lost.
const CONNECT_TIMEOUT: Millis = Millis(1_000);

/// Why an HTTP exchange failed.
#[derive(Debug, Error)]
pub enum HttpError {
    /// The connection could not be opened; nothing of the request was sent.
    #[error("cannot connect to {0}")]
    Connect(String),
    /// The exchange failed after the request may have been sent.
    #[error("exchange with {0} failed: {1}")]
    Broken(String, String),
    /// There was no response within the time limit.
    #[error("no response from {0} within the time limit")]
    Timeout(String),
    /// The response's status isn't a success.
    #[error("{0} responded with status {1}")]
    Status(String, StatusCode),
    /// The address or the body of the request or response is malformed.
    #[error("malformed data in the exchange with {0}: {1}")]
    Malformed(String, String),
}

impl HttpError {
    /// Whether certainly nothing of the request was sent.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_))
    }
}

/// A response with its whole body.
#[derive(Debug)]
pub struct HttpResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body; its length is the declared one.
    pub body: Bytes,
}

impl HttpResponse {
    /// Decodes the JSON body. Returns the default for an empty body, which most responses have, and for a malformed
    /// one: then only the status decides, and a refusal without a known reason counts as the general one, which is
    /// safe.
    pub fn json_or_default<T: DeserializeOwned + Default>(&self) -> T {
        if self.body.is_empty() {
            return T::default();
        }
        serde_json::from_slice(&self.body).unwrap_or_else(|err| {
            log::warn!(
                "event=response-body-malformed status={} error={err:?}",
                self.status.as_u16()
            );
            T::default()
        })
    }
}

/// The client for one address, with its idle connections.
type Pool = Client<HttpConnector, Full<Bytes>>;

/// An HTTP client with a pool of connections for each address.
///
/// Existing connections may become dead without a reset while new ones work. So an exchange that times out, or can't
/// open a connection, drops all idle connections to its address. Otherwise each of up to `MAX_IDLE_CONNECTIONS` dead
/// ones would cost one more exchange its whole time limit.
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

    /// Drops the idle connections to an address, unless its pool has been replaced since `pool` was taken.
    fn drop_pool(&self, addr: &str, pool: &Arc<Pool>) {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        if pools.get(addr).is_some_and(|current| Arc::ptr_eq(current, pool)) {
            pools.remove(addr);
        }
    }

    /// Sends one request and reads the whole response within the time limit.
    ///
    /// # Errors
    /// [`HttpError::Connect`] if nothing was sent. After any other error the request may have been sent.
    pub async fn send(
        &self,
        addr: &str,
        request: Request<Full<Bytes>>,
        timeout: Millis,
    ) -> Result<HttpResponse, HttpError> {
        let pool = self.pool(addr);
        let exchange = exchange(&pool, addr, request);
        let result = match tokio::time::timeout(timeout.duration(), exchange).await {
            Ok(result) => result,
            Err(_) => Err(HttpError::Timeout(addr.to_string())),
        };
        if matches!(result, Err(HttpError::Timeout(_) | HttpError::Connect(_))) {
            self.drop_pool(addr, &pool);
        }
        result
    }

    /// Posts `payload` as JSON and decodes a JSON response. `caller` is the name of the sending entry.
    ///
    /// # Errors
    /// See [`HttpClient::post_bytes`].
    pub async fn post_json<P: Serialize, T: DeserializeOwned>(
        &self,
        caller: &str,
        addr: &str,
        path: &str,
        payload: &P,
        timeout: Millis,
    ) -> Result<T, HttpError> {
        let body = serde_json::to_vec(payload).map_err(|err| malformed(addr, err))?;
        self.post_bytes(caller, addr, path, body.into(), timeout).await
    }

    /// Posts a body and decodes a JSON response.
    ///
    /// # Errors
    /// See [`HttpClient::send`]; also [`HttpError::Status`] and [`HttpError::Malformed`].
    pub async fn post_bytes<T: DeserializeOwned>(
        &self,
        caller: &str,
        addr: &str,
        path: &str,
        body: Bytes,
        timeout: Millis,
    ) -> Result<T, HttpError> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(uri(addr, path)?)
            .header(CONTENT_TYPE, "application/json")
            .header(CALLER_HEADER, caller)
            .body(Full::from(body))
            .map_err(|err| malformed(addr, err))?;
        let response = self.send(addr, request, timeout).await?;
        if !response.status.is_success() {
            return Err(HttpError::Status(addr.to_string(), response.status));
        }
        serde_json::from_slice(&response.body).map_err(|err| malformed(addr, err))
    }
}

/// Sends a request and reads the whole response; checks the declared length of its body.
async fn exchange(
    pool: &Pool,
    addr: &str,
    request: Request<Full<Bytes>>,
) -> Result<HttpResponse, HttpError> {
    let failed = |err: String| HttpError::Broken(addr.to_string(), err);
    let response = pool.request(request).await.map_err(|err| match err.is_connect() {
        true => HttpError::Connect(addr.to_string()),
        false => failed(err.to_string()),
    })?;
    let (parts, body) = response.into_parts();
    let collected = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let body = collected.map_err(|err| failed(err.to_string()))?.to_bytes();
    let declared = parts.headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    match declared.and_then(|text| text.parse::<usize>().ok()) {
        Some(length) if length != body.len() => {
            Err(failed(format!("the body's length differs from the declared {length} bytes")))
        }
        _ => Ok(HttpResponse { status: parts.status, headers: parts.headers, body }),
    }
}

fn malformed(addr: &str, err: impl std::fmt::Display) -> HttpError {
    HttpError::Malformed(addr.to_string(), err.to_string())
}

/// Builds the URI of a path at an address.
///
/// # Errors
/// [`HttpError::Malformed`] if the address or the path is invalid.
pub fn uri(addr: &str, path: &str) -> Result<Uri, HttpError> {
    let built = Uri::builder().scheme("http").authority(addr).path_and_query(path).build();
    built.map_err(|err| malformed(addr, err))
}
