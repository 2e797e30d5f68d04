//! The pooled HTTP client for calls to the platform, workers and runners. It reads whole bodies of limited size within
//! a time limit.

use crate::cell::workers::connection_limit::ConnectionLimit;
use crate::clock::Millis;
use crate::id::Name;
use crate::platform::connector::{Connector, Counts};
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
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use thiserror::Error;
use tokio::sync::Semaphore;

/// The largest response body that is read, in bytes.
pub const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// The header with the name of the entry that sends the request.
pub const CALLER_HEADER: &str = "entry-name";
/// The header with the ID of the request.
pub const REQUEST_ID_HEADER: &str = "request-id";
/// The header by which a runner reports that it is leaving.
pub const UPSTREAM_STATE_HEADER: &str = "upstream-state";
/// The maximum number of idle connections kept for an address without a limit of its own.
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
type Pool = Client<Connector, Full<Bytes>>;

/// The connections to one address.
#[derive(Debug)]
struct Connections {
    pool: Arc<Pool>,
    limit: Option<ConnectionLimit>,
    permits: Option<Arc<Semaphore>>,
}

impl Connections {
    fn new(limit: Option<ConnectionLimit>, counts: &Arc<Counts>) -> Self {
        let permits = limit.map(|limit| Arc::new(Semaphore::new(limit.open)));
        Self { pool: new_pool(limit, permits.clone(), counts), limit, permits }
    }
}

/// An HTTP client with a pool of connections for each address.
///
/// Existing connections may become dead without a reset while new ones work. So an exchange that times out, or can't
/// open a connection, drops all idle connections to its address. Otherwise each of several dead ones would cost one
/// more exchange its whole time limit.
#[derive(Debug, Clone, Default)]
pub struct HttpClient {
    addresses: Arc<Mutex<HashMap<Name, Connections>>>,
    counts: Arc<Counts>,
}

fn new_pool(
    limit: Option<ConnectionLimit>,
    permits: Option<Arc<Semaphore>>,
    counts: &Arc<Counts>,
) -> Arc<Pool> {
    let mut http = HttpConnector::new();
    http.set_nodelay(true);
    http.set_connect_timeout(Some(CONNECT_TIMEOUT.duration()));
    let max_idle = limit.map_or(MAX_IDLE_CONNECTIONS, |limit| limit.idle);
    let mut builder = Client::builder(TokioExecutor::new());
    builder.pool_max_idle_per_host(max_idle).retry_canceled_requests(false);
    Arc::new(builder.build(Connector { http, permits, counts: counts.clone() }))
}

impl HttpClient {
    fn addresses(&self) -> MutexGuard<'_, HashMap<Name, Connections>> {
        self.addresses.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The pool for an address. If the limit has changed, the idle connections are dropped.
    fn pool(&self, addr: &str, limit: Option<ConnectionLimit>) -> Arc<Pool> {
        let mut addresses = self.addresses();
        match addresses.get(addr) {
            Some(known) if known.limit == limit => known.pool.clone(),
            _ => {
                let connections = Connections::new(limit, &self.counts);
                let pool = connections.pool.clone();
                addresses.insert(addr.into(), connections);
                pool
            }
        }
    }

    /// Drops the idle connections to an address, unless its pool has been replaced since `pool` was taken.
    fn drop_pool(&self, addr: &str, pool: &Arc<Pool>) {
        if let Some(known) = self.addresses().get_mut(addr)
            && Arc::ptr_eq(&known.pool, pool)
        {
            known.pool = new_pool(known.limit, known.permits.clone(), &self.counts);
        }
    }

    /// Closes the connections to an address, each once no call uses it any more.
    pub fn close(&self, addr: &str) {
        self.addresses().remove(addr);
    }

    /// Counts of connections and calls.
    pub fn counts(&self) -> &Counts {
        &self.counts
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
        self.send_limited(addr, None, request, timeout).await
    }

    /// As [`HttpClient::send`], with a limit on the number of connections to the address. A request that needs
    /// another one waits, within its time limit, until one is free.
    ///
    /// # Errors
    /// See [`HttpClient::send`].
    pub async fn send_limited(
        &self,
        addr: &str,
        limit: Option<ConnectionLimit>,
        request: Request<Full<Bytes>>,
        timeout: Millis,
    ) -> Result<HttpResponse, HttpError> {
        let pool = self.pool(addr, limit);
        let exchange = exchange(&pool, addr, request);
        let result = match tokio::time::timeout(timeout.duration(), exchange).await {
            Ok(result) => result,
            Err(_) => Err(HttpError::Timeout(addr.to_string())),
        };
        let failures = match &result {
            Err(HttpError::Timeout(_)) => &self.counts.timed_out,
            Err(HttpError::Connect(_)) => &self.counts.unconnected,
            Err(HttpError::Broken(..)) => &self.counts.broken,
            _ => return result,
        };
        failures.fetch_add(1, Ordering::Relaxed);
        if !matches!(result, Err(HttpError::Broken(..))) {
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
