//! A simulated platform: an append-only log with retention, and a list of VMs that is updated with
//! a delay.

use crate::clock::Millis;
use crate::controller::list::VmList;
use crate::id::Name;
use crate::platform::api::{AppendReply, LogRecord, ReadReply, ReadRequest};
use crate::platform::http::CALLER_HEADER;
use crate::server::TIMELINE_PATH;
use crate::standin::serve_timeline;
use crate::trace::{EventKind, Trace};
use poem::http::StatusCode;
use poem::web::{Data, Json};
use poem::{EndpointExt, IntoEndpoint, Route, handler, post};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Faults that can be set at any time over HTTP.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The log answers every call with an error.
    pub log_down: bool,
    /// The VM list answers every call with an error.
    pub list_down: bool,
    /// Delay of each answer of the log.
    pub slow: Millis,
    /// Number of appends that take effect but are answered with an error.
    pub lose_replies: u32,
    /// Delay after which a new VM list becomes visible.
    pub list_lag: Millis,
    /// Names of callers for which log and list are unavailable.
    pub cut: Vec<Name>,
}

#[derive(Debug, Default)]
struct Log {
    records: VecDeque<(Millis, LogRecord)>,
    next: u64,
    appends: u64,
    bytes: u64,
}

/// How much the log was used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of appends.
    pub appends: u64,
    /// Bytes appended.
    pub bytes: u64,
}

/// The simulated platform.
#[derive(Debug)]
pub struct Platform {
    retention: Millis,
    log: Mutex<Log>,
    lists: Mutex<Vec<(Millis, VmList)>>,
    faults: Mutex<Faults>,
    appended: Notify,
    trace: Arc<Trace>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Platform {
    /// Creates a platform that keeps records for `retention`.
    pub fn new(retention: Millis) -> Arc<Self> {
        let trace = Arc::new(Trace::new("platform".into()));
        trace.record(EventKind::ProcessStarted { role: "platform".into() });
        Arc::new(Self {
            retention,
            log: Mutex::default(),
            lists: Mutex::default(),
            faults: Mutex::default(),
            appended: Notify::new(),
            trace,
        })
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.trace.record(EventKind::PlatformStatus { part: "log".into(), up: !faults.log_down });
        *lock(&self.faults) = faults;
    }

    /// Publishes a new VM list.
    pub fn set_list(&self, list: VmList) {
        lock(&self.lists).push((Millis::now(), list));
    }

    /// The use of the log so far.
    pub fn usage(&self) -> Usage {
        let log = lock(&self.log);
        Usage { appends: log.appends, bytes: log.bytes }
    }

    fn append(&self, data: String) -> AppendReply {
        let mut log = lock(&self.log);
        let offset = log.next;
        log.next += 1;
        log.appends += 1;
        log.bytes += data.len() as u64;
        log.records.push_back((Millis::now(), LogRecord { offset, data }));
        drop(log);
        self.appended.notify_waiters();
        AppendReply { offset }
    }

    fn read(&self, body: &ReadRequest) -> ReadReply {
        let mut log = lock(&self.log);
        let oldest = Millis::now() - self.retention;
        while log.records.front().is_some_and(|(at, _)| *at < oldest) {
            log.records.pop_front();
        }
        let first = log.records.front().map_or(log.next, |(_, record)| record.offset);
        let skip = body.from.saturating_sub(first) as usize;
        let wanted = log.records.iter().skip(skip).take(body.max as usize);
        let records = wanted.map(|(_, record)| record.clone()).collect();
        ReadReply { first, next: log.next, records }
    }

    fn list(&self) -> VmList {
        let newest_visible = Millis::now() - lock(&self.faults).list_lag;
        let lists = lock(&self.lists);
        let newest = lists.iter().rev().find(|(at, _)| *at <= newest_visible).or(lists.first());
        newest.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    /// The HTTP interface of the platform.
    pub fn app(self: Arc<Self>) -> impl IntoEndpoint {
        let trace = self.trace.clone();
        Route::new()
            .at("/log/append", post(append))
            .at("/log/read", post(read))
            .at("/list", post(serve_list))
            .at("/set/list", post(set_list))
            .at("/set/faults", post(set_faults))
            .at("/usage", post(usage))
            .at(TIMELINE_PATH, post(serve_timeline))
            .data(trace)
            .data(self)
    }
}

fn is_cut_off(platform: &Platform, request: &poem::Request) -> bool {
    let caller = request.header(CALLER_HEADER).unwrap_or("");
    lock(&platform.faults).cut.iter().any(|cut| **cut == *caller)
}

fn unavailable() -> poem::Error {
    poem::Error::from_status(StatusCode::SERVICE_UNAVAILABLE)
}

async fn check_faults(platform: &Platform, request: &poem::Request) -> poem::Result<()> {
    let faults = lock(&platform.faults).clone();
    tokio::time::sleep(faults.slow.duration()).await;
    if faults.log_down || is_cut_off(platform, request) { Err(unavailable()) } else { Ok(()) }
}

#[handler]
async fn append(
    platform: Data<&Arc<Platform>>,
    request: &poem::Request,
    data: String,
) -> poem::Result<Json<AppendReply>> {
    check_faults(&platform, request).await?;
    let reply = platform.append(data);
    let mut faults = lock(&platform.faults);
    if faults.lose_replies > 0 {
        faults.lose_replies -= 1;
        return Err(unavailable());
    }
    Ok(Json(reply))
}

#[handler]
async fn read(
    platform: Data<&Arc<Platform>>,
    request: &poem::Request,
    body: Json<ReadRequest>,
) -> poem::Result<Json<ReadReply>> {
    check_faults(&platform, request).await?;
    let appended = platform.appended.notified();
    let reply = platform.read(&body);
    if !reply.records.is_empty() || reply.first > body.from || body.wait == Millis(0) {
        return Ok(Json(reply));
    }
    let _ = tokio::time::timeout(body.wait.duration(), appended).await;
    check_faults(&platform, request).await?;
    Ok(Json(platform.read(&body)))
}

#[handler]
async fn serve_list(
    platform: Data<&Arc<Platform>>,
    request: &poem::Request,
) -> poem::Result<Json<VmList>> {
    if lock(&platform.faults).list_down || is_cut_off(&platform, request) {
        return Err(unavailable());
    }
    Ok(Json(platform.list()))
}

#[handler]
async fn set_list(platform: Data<&Arc<Platform>>, list: Json<VmList>) -> Json<()> {
    platform.set_list(list.0);
    Json(())
}

#[handler]
async fn set_faults(platform: Data<&Arc<Platform>>, faults: Json<Faults>) -> Json<()> {
    platform.set_faults(faults.0);
    Json(())
}

#[handler]
async fn usage(platform: Data<&Arc<Platform>>) -> Json<Usage> {
    Json(platform.usage())
}
