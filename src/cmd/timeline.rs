//! `timeline`: merges the events of several processes into one order.

use crate::check;
use crate::clock::Millis;
use crate::cmd::{RefusedError, Run, runtime};
use crate::platform::http::{HttpClient, uri};
use crate::server::{TIMELINE_PATH, TimelineRequest};
use crate::trace::{Event, Stamp};
use anyhow::{Context, Result, bail};
use bpaf::Bpaf;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE};
use hyper::{Method, Request};
use std::net::SocketAddr;

/// Timeout for the response of one process.
const CALL_TIMEOUT: Millis = Millis(15_000);

/// Arguments of `timeline`.
#[derive(Debug, Clone, Bpaf)]
pub struct TimelineArgs {
    /// Bearer token; SPRUCERUDDER_TOKEN is read too
    #[bpaf(argument("TOKEN"), env("SPRUCERUDDER_TOKEN"))]
    token: String,
    /// Print events as JSON
    json: bool,
    /// Check the invariants, and show each event that violates one
    check: bool,
    /// Only events whose line contains this text
    #[bpaf(argument("TEXT"))]
    only: Option<String>,
    /// Addresses of entries and stand-ins
    #[bpaf(positional("IP:PORT"), some("at least one address"))]
    addrs: Vec<SocketAddr>,
}

impl Run for TimelineArgs {
    fn run(self) -> Result<()> {
        runtime()?.block_on(run(self))
    }
}

async fn run(args: TimelineArgs) -> Result<()> {
    let mut events = Vec::new();
    for addr in &args.addrs {
        let timeline = fetch_timeline(&HttpClient::default(), *addr, &args.token).await;
        events.extend(timeline.with_context(|| format!("cannot get the timeline of {addr}"))?);
    }
    events.sort_by(|a, b| (a.at, &a.process).cmp(&(b.at, &b.process)));
    let is_selected =
        |text: &str| args.only.as_ref().is_none_or(|only| text.contains(only.as_str()));
    for event in &events {
        let text = if args.json { serde_json::to_string(event)? } else { event.to_string() };
        if is_selected(&text) {
            println!("{text}");
        }
    }
    if args.check {
        let violations = check::find_violations(&events);
        if !violations.is_empty() {
            let lines: Vec<String> = violations.iter().map(ToString::to_string).collect();
            bail!(RefusedError(lines.join("\n")));
        }
        println!("checked events={} broken=0", events.len());
    }
    Ok(())
}

/// Fetches the whole timeline of one process.
pub async fn fetch_timeline(
    http: &HttpClient,
    addr: SocketAddr,
    token: &str,
) -> Result<Vec<Event>> {
    let query = TimelineRequest { since: Stamp(0), max: usize::MAX };
    let addr = addr.to_string();
    let request = Request::builder()
        .method(Method::POST)
        .uri(uri(&addr, TIMELINE_PATH)?)
        .header(AUTHORIZATION, format!("Bearer {token}"))
        .header(CONTENT_TYPE, "application/json")
        .body(Full::from(Bytes::from(serde_json::to_vec(&query)?)))?;
    let answer = http.send(&addr, request, CALL_TIMEOUT).await?;
    if !answer.status.is_success() {
        bail!("status {}", answer.status);
    }
    Ok(serde_json::from_slice(&answer.body)?)
}
