//! The client for the platform's advice service, which decides which workers may run a step.

use crate::clock::Millis;
use crate::id::Name;
use crate::order::ClearedWorkers;
use crate::platform::http::{HttpClient, HttpError, uri};
use crate::workload::StepKey;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::CONTENT_TYPE;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};

/// The maximum number of workers in one request.
pub const MAX_WORKERS: usize = 100;

#[derive(Serialize)]
struct RawRequest<'a> {
    step: String,
    workers: &'a [Name],
}

#[derive(Deserialize)]
struct RawResponse {
    /// Despite its name not about health: the workers that may run the step, each with its ticket.
    #[serde(default)]
    healthy: Vec<(Name, Name)>,
    #[serde(default)]
    valid_ms: Option<f64>,
}

/// A client for the advice service.
#[derive(Debug, Clone)]
pub struct AdviceClient {
    http: HttpClient,
    addr: Name,
}

impl AdviceClient {
    /// Creates a client for the service at `addr`.
    pub fn new(http: HttpClient, addr: Name) -> Self {
        Self { http, addr }
    }

    /// Asks which of `workers` may run a step.
    ///
    /// # Errors
    /// If there is no response, its status isn't 200, or its body is malformed.
    pub async fn ask(
        &self,
        step: StepKey,
        workers: &[Name],
        timeout: Millis,
    ) -> Result<ClearedWorkers, HttpError> {
        let malformed = |err: &dyn std::fmt::Display| {
            HttpError::Malformed(self.addr.to_string(), err.to_string())
        };
        let payload = RawRequest { step: step.to_string(), workers };
        let body = serde_json::to_vec(&payload).map_err(|err| malformed(&err))?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(uri(&self.addr, "/advise")?)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::from(Bytes::from(body)))
            .map_err(|err| malformed(&err))?;
        let response = self.http.send(&self.addr, request, timeout).await?;
        if response.status != StatusCode::OK {
            return Err(HttpError::Status(self.addr.to_string(), response.status));
        }
        let raw: RawResponse =
            serde_json::from_slice(&response.body).map_err(|err| malformed(&err))?;
        let valid_for = raw.valid_ms.map(|ms| Millis(ms.max(0.0) as u64));
        Ok(ClearedWorkers { tickets: raw.healthy, valid_for })
    }
}
