//! What callers reach: jobs over HTTP, and what the balancer and operators ask.

use crate::cell::owner::access::{Access, access, is_fresh};
use crate::cell::owner::admission::LEAST;
use crate::clock::Millis;
use crate::node::Node;
use crate::node::job_call::{JobCall, pending};
use crate::platform::config::{Policy, Route};
use crate::platform::front::{Reply, api_key, deadline, host};
use crate::workload::JobKey;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What is left of a caller's time for the answer's way back.
const ANSWER_MARGIN: Millis = Millis(40);
/// The most time that a caller waits who does not say.
const DEFAULT_TIMEOUT: Millis = Millis(3_000);
/// Pause after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Millis = Millis(20);

/// Takes connections until `stop` closes or says so, and serves each by `answer`.
pub(super) async fn serve<F, R>(
    listener: TcpListener,
    node: Arc<Node>,
    mut stop: watch::Receiver<bool>,
    handler: F,
) where
    F: Fn(Arc<Node>, Request<Incoming>) -> R + Copy + Send + 'static,
    R: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_for_stop(&mut stop) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, node.clone(), stop.clone(), handler));
            }
            Err(err) => {
                log::warn!("event=accept-failed at=front error={err:?}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY.duration()).await;
            }
        }
    }
}

/// Ready when the channel says stop, or closes.
async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    if stop.wait_for(|stop| *stop).await.is_err() {
        log::debug!("event=listener-closes");
    }
}

async fn serve_connection<F, R>(
    stream: TcpStream,
    node: Arc<Node>,
    mut stop: watch::Receiver<bool>,
    handler: F,
) where
    F: Fn(Arc<Node>, Request<Incoming>) -> R + Copy + Send + 'static,
    R: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!("event=connection-odd error={err:?}");
    }
    let limits = node.policy().limits;
    let service = service_fn(move |request| {
        let node = node.clone();
        async move { Ok::<_, Infallible>(handler(node, request).await) }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout.max(limits.idle_timeout).duration())
        .max_buf_size(limits.header_bytes.max(8_192));
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        ended = connection.as_mut() => ended,
        () = wait_for_stop(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(err) = result {
        log::debug!("event=connection-ended error={err:?}");
    }
}

/// Answers a caller.
pub(super) async fn handle_job_call(
    node: Arc<Node>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let started = node.now();
    let (call, reply) = route_call(&node, request, started).await;
    let mut response = reply.response();
    if matches!(reply, Reply::Busy { .. }) && !node.is_ready() {
        // Behind a cut the balancer sends new connections elsewhere, but an open one stays here.
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    let status = response.status().as_u16();
    node.metrics.observe_call(call, status, node.now().since(started));
    response
}

async fn route_call(
    node: &Arc<Node>,
    request: Request<Incoming>,
    started: Millis,
) -> (&'static str, Reply) {
    let policy = node.policy();
    if policy.version == 0 {
        return ("none", Reply::Busy { after: LEAST });
    }
    let path = request.uri().path().to_string();
    let age = node.policy_age();
    let Some(route) = policy.route(host(&request), &path) else {
        // It may have been added since.
        let reply = if is_fresh(age) { Reply::NoQueue } else { Reply::Busy { after: LEAST } };
        return ("none", reply);
    };
    let workspace = match node.access(&policy, route, api_key(&request), age) {
        Access::Granted(workspace) => workspace.map(|workspace| workspace.name.clone()),
        denied => {
            let reply = match denied {
                Access::Unsure => Reply::Busy { after: LEAST },
                _ => Reply::InvalidKey,
            };
            log::info!(
                "event=denied queue={} policy={} age_ms={age} has_key={} reply={reply:?}",
                route.queue.name,
                policy.version,
                api_key(&request).is_some()
            );
            return ("denied", reply);
        }
    };
    let Some(cells) = node.cells() else {
        return ("none", Reply::Busy { after: LEAST });
    };
    let requested = deadline(&request).unwrap_or(DEFAULT_TIMEOUT);
    let wait = if route.timeout.0 > 0 { requested.min(route.timeout) } else { requested };
    let deadline = started + (wait - ANSWER_MARGIN);
    let rest = path.get(route.prefix.len()..).unwrap_or_default();
    match (request.method().clone(), rest) {
        (Method::GET, "") => ("pending", pending(&cells, route, deadline).await),
        (Method::POST | Method::GET | Method::DELETE, rest) => match rest.parse::<JobKey>() {
            Ok(job) => {
                let Some(view) = cells.of_job(job, workspace.as_ref()) else {
                    return ("none", Reply::NoQueue);
                };
                let call = JobCall { view, policy: &policy, route, job, workspace, deadline };
                call.reply(request).await
            }
            Err(err) => ("none", Reply::Malformed(err.to_string())),
        },
        _ => ("none", Reply::NoMethod),
    }
}

impl Node {
    /// Whether a caller may call on a route with its key.
    fn access(&self, policy: &Policy, route: &Route, key: Option<&str>, age: Millis) -> Access {
        // By the settings too: a policy that was written without workspaces would let anybody in.
        match policy.requires_keys || self.settings.has_workspaces {
            true => access(&policy.workspaces, route.is_anonymous, key, age),
            false => Access::Granted(None),
        }
    }
}

/// Answers the balancer: whether new callers may come.
pub(super) async fn handle_ready(node: Arc<Node>, _: Request<Incoming>) -> Response<Full<Bytes>> {
    match node.is_ready() {
        true => Reply::Accepted.response(),
        false => Reply::Busy { after: LEAST }.response(),
    }
}

/// Answers whoever collects metrics.
pub(super) async fn handle_metrics(node: Arc<Node>, _: Request<Incoming>) -> Response<Full<Bytes>> {
    match node.metrics.render(crate::logs::dropped_lines()) {
        Ok(text) => Response::new(Full::from(text)),
        Err(err) => {
            log::warn!("event=metrics-failed error={err:?}");
            Reply::Busy { after: LEAST }.response()
        }
    }
}
