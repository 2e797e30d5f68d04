//! A simulated runner: it executes requests, a limited number at a time.

use crate::clock::Millis;
use crate::id::Name;
use crate::platform::http::{REQUEST_ID_HEADER, UPSTREAM_STATE_HEADER};
use crate::server::TIMELINE_PATH;
use crate::standin::serve_timeline;
use crate::trace::{EventKind, Trace};
use bytes::Bytes;
use poem::http::StatusCode;
use poem::http::header::CONTENT_LENGTH;
use poem::web::{Data, Json, Path};
use poem::{Body, EndpointExt, IntoEndpoint, Response, Route, handler, post};
use serde::{Deserialize, Serialize};
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Semaphore;

/// Number of requests that may be executing or waiting for a slot; more are refused.
const MAX_REQUESTS: usize = 64;
/// Run time of a request without `RUN_TIME_HEADER`.
const DEFAULT_RUN_TIME: Millis = Millis(20);
/// The request header with the run time of a request in milliseconds.
pub const RUN_TIME_HEADER: &str = "work-millis";

/// Faults that can be set at any time over HTTP.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The connection breaks off after half of the response body.
    pub cut: bool,
    /// Every request is executed and then answered with an error.
    pub fail: bool,
    /// Responses announce that the runner is leaving.
    pub leaving: bool,
}

/// The simulated runner.
#[derive(Debug)]
pub struct Runner {
    slots: Semaphore,
    requests: Semaphore,
    faults: Mutex<Faults>,
    trace: Arc<Trace>,
}

impl Runner {
    /// Creates a runner that executes `slots` requests at a time.
    pub fn new(name: Name, slots: u32) -> Arc<Self> {
        let trace = Arc::new(Trace::new(name));
        trace.record(EventKind::ProcessStarted { role: "runner".into() });
        Arc::new(Self {
            slots: Semaphore::new(slots as usize),
            requests: Semaphore::new(MAX_REQUESTS),
            faults: Mutex::default(),
            trace,
        })
    }

    fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The timeline of the runner.
    pub fn trace(&self) -> Arc<Trace> {
        self.trace.clone()
    }

    /// The HTTP interface of the runner.
    pub fn app(self: Arc<Self>) -> impl IntoEndpoint {
        let trace = self.trace.clone();
        Route::new()
            .at("/run/:kind", post(run))
            .at("/set/faults", post(set_faults))
            .at(TIMELINE_PATH, post(serve_timeline))
            .data(trace)
            .data(self)
    }
}

fn unavailable() -> poem::Error {
    poem::Error::from_status(StatusCode::SERVICE_UNAVAILABLE)
}

#[handler]
async fn run(
    runner: Data<&Arc<Runner>>,
    kind: Path<String>,
    request: &poem::Request,
    body: Vec<u8>,
) -> poem::Result<Response> {
    let _request = runner.requests.try_acquire().map_err(|_| unavailable())?;
    let _slot = runner.slots.acquire().await.map_err(|_| unavailable())?;
    let run_time = request.header(RUN_TIME_HEADER).and_then(|text| text.parse().ok());
    tokio::time::sleep(Millis(run_time.unwrap_or(DEFAULT_RUN_TIME.0)).duration()).await;
    let id: Name = request.header(REQUEST_ID_HEADER).unwrap_or("").into();
    runner.trace.record(EventKind::RunnerRan { request: id });
    let faults = runner.faults().clone();
    let mut answer = format!("{}:", kind.0).into_bytes();
    answer.extend_from_slice(&body);
    let mut response = Response::builder();
    if faults.leaving {
        response = response.header(UPSTREAM_STATE_HEADER, "leaving");
    }
    if faults.fail {
        return Ok(response.status(StatusCode::INTERNAL_SERVER_ERROR).body(answer));
    }
    if faults.cut {
        let half = Bytes::from(answer[..answer.len() / 2].to_vec());
        let parts: [io::Result<Bytes>; 1] = [Ok(half)];
        let body = Body::from_bytes_stream(futures_util::stream::iter(parts));
        return Ok(response.header(CONTENT_LENGTH, answer.len()).body(body));
    }
    Ok(response.body(answer))
}

#[handler]
async fn set_faults(runner: Data<&Arc<Runner>>, faults: Json<Faults>) -> Json<()> {
    *runner.faults() = faults.0;
    Json(())
}
