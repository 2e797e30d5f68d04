//! The HTTP servers of an entry: jobs for callers, readiness for the balancer, and metrics.

use crate::cell::owner::access::{Access, authorize, is_policy_fresh};
use crate::cell::owner::retry::MIN_RETRY_SECONDS;
use crate::clients::limits::MIN_READ_BUFFER;
use crate::clock::Millis;
use crate::node::Node;
use crate::node::clients::{Client, Clients};
use crate::node::job_call::{JobCall, pending};
use crate::node::stream::ClientStream;
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
use std::pin::Pin;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The part of a caller's time that is reserved for sending the answer.
const ANSWER_MARGIN: Millis = Millis(40);
/// The time to answer a caller that names no deadline.
const DEFAULT_TIMEOUT: Millis = Millis(3_000);
/// The longest time in which a caller is answered, whatever it names.
const MAX_TIMEOUT: Millis = Millis(60_000);
/// The time to answer a client that is evicted, until its connection is closed.
const EVICTION_TIME: Millis = Millis(50);
/// Delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Millis = Millis(20);

/// Accepts connections until `stop` is set or closes, and answers their requests with `handler`.
/// Accepts no further one while there are too many, unless a client is evicted.
pub(super) async fn serve<F, R>(
    listener: TcpListener,
    clients: Arc<Clients>,
    mut stop: watch::Receiver<bool>,
    handler: F,
) where
    F: Fn(Arc<Client>, Request<Incoming>) -> R + Copy + Send + 'static,
    R: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_for_stop(&mut stop) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let client = tokio::select! {
                    client = clients.connect() => client,
                    () = wait_for_stop(&mut stop) => return,
                };
                tokio::spawn(serve_connection(stream, client, stop.clone(), handler));
            }
            Err(err) => {
                log::warn!("event=accept-failed at=front error={err:?}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY.duration()).await;
            }
        }
    }
}

/// Waits until the channel is set to `true` or closes.
async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    if stop.wait_for(|stop| *stop).await.is_err() {
        log::debug!("event=stop-channel-closed");
    }
}

/// Serves one connection. Once `stop` is set or the client is evicted, answers the request in
/// progress and closes.
async fn serve_connection<F, R>(
    stream: TcpStream,
    client: Arc<Client>,
    mut stop: watch::Receiver<bool>,
    handler: F,
) where
    F: Fn(Arc<Client>, Request<Incoming>) -> R + Copy + Send + 'static,
    R: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!("event=nodelay-not-set error={err:?}");
    }
    let limits = client.node().policy().limits;
    let served = client.clone();
    let service = service_fn(move |request| {
        let client = served.clone();
        async move {
            let _request = client.open_request();
            Ok::<_, Infallible>(handler(client.clone(), request).await)
        }
    });
    let stream = ClientStream::new(stream, client.clone());
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout.max(limits.idle_timeout).duration())
        .max_buf_size(limits.header_bytes.max(MIN_READ_BUFFER));
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        ended = connection.as_mut() => ended,
        () = wait_for_stop(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
        () = client.evicted() => {
            connection.as_mut().graceful_shutdown();
            close_evicted(connection.as_mut(), &client).await
        }
    };
    if let Err(err) = result {
        log::debug!("event=connection-failed error={err:?}");
    }
}

/// Waits until the connection of an evicted client has ended, as long as it has a request. One
/// that is complete is answered; of the others, the client is told that they are refused.
async fn close_evicted<C>(mut connection: Pin<&mut C>, client: &Client) -> hyper::Result<()>
where
    C: Future<Output = hyper::Result<()>>,
{
    if !client.has_request() {
        return Ok(());
    }
    loop {
        match tokio::time::timeout(EVICTION_TIME.duration(), connection.as_mut()).await {
            Ok(ended) => return ended,
            Err(_) if client.is_complete() => {}
            Err(_) => return Ok(()),
        }
    }
}

/// Answers the request of a caller.
pub(super) async fn handle_job_call(
    client: Arc<Client>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let node = client.node();
    let started = node.now();
    let (call, reply) = route_call(&client, request, started).await;
    let mut response = reply.response();
    if matches!(reply, Reply::Busy { .. }) && !node.is_ready() {
        // During a network partition the balancer sends new connections to other entries, but open
        // ones stay here unless they are closed.
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    let status = response.status().as_u16();
    node.metrics.observe_call(call, status, node.now().since(started));
    response
}

/// Authorizes a request and passes it to the cell of its job. Also returns the kind of the call for
/// the metrics.
async fn route_call(
    client: &Client,
    request: Request<Incoming>,
    started: Millis,
) -> (&'static str, Reply) {
    let node = client.node();
    let policy = node.policy();
    if policy.version == 0 {
        return ("none", Reply::Busy { after: MIN_RETRY_SECONDS });
    }
    let path = request.uri().path().to_string();
    let age = node.policy_age();
    let Some(route) = policy.route(host(&request), &path) else {
        // If the policy here may be outdated, the queue may have been added since.
        let reply = if is_policy_fresh(age) {
            Reply::NoQueue
        } else {
            Reply::Busy { after: MIN_RETRY_SECONDS }
        };
        return ("none", reply);
    };
    let workspace = match node.authorize(&policy, route, api_key(&request), age) {
        Access::Granted(workspace) => workspace.map(|workspace| workspace.name.clone()),
        denied => {
            let reply = match denied {
                Access::Unknown => Reply::Busy { after: MIN_RETRY_SECONDS },
                _ => Reply::InvalidKey,
            };
            log::info!(
                "event=call-denied queue={} policy={} age_ms={age} has_key={} reply={reply:?}",
                route.queue.name,
                policy.version,
                api_key(&request).is_some()
            );
            return ("denied", reply);
        }
    };
    let Some(cells) = node.cells() else {
        return ("none", Reply::Busy { after: MIN_RETRY_SECONDS });
    };
    let requested = deadline(&request).unwrap_or(DEFAULT_TIMEOUT).min(MAX_TIMEOUT);
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
                let call =
                    JobCall { client, view, policy: &policy, route, job, workspace, deadline };
                call.reply(request).await
            }
            Err(err) => ("none", Reply::Malformed(err.to_string())),
        },
        _ => ("none", Reply::NoMethod),
    }
}

impl Node {
    /// Whether a caller may use a route with its key.
    fn authorize(&self, policy: &Policy, route: &Route, key: Option<&str>, age: Millis) -> Access {
        // The settings count too: otherwise a policy that was written without workspaces would
        // admit everybody.
        match policy.requires_keys || self.settings.has_workspaces {
            true => authorize(&policy.workspaces, route.is_anonymous, key, age),
            false => Access::Granted(None),
        }
    }
}

/// Tells the balancer whether this entry takes new callers.
pub(super) async fn handle_ready(
    client: Arc<Client>,
    _: Request<Incoming>,
) -> Response<Full<Bytes>> {
    match client.node().is_ready() {
        true => Reply::Accepted.response(),
        false => Reply::Busy { after: MIN_RETRY_SECONDS }.response(),
    }
}

/// Serves the metrics.
pub(super) async fn handle_metrics(
    client: Arc<Client>,
    _: Request<Incoming>,
) -> Response<Full<Bytes>> {
    match client.node().metrics.render(crate::logs::dropped_lines()) {
        Ok(text) => Response::new(Full::from(text)),
        Err(err) => {
            log::warn!("event=metrics-failed error={err:?}");
            Reply::Busy { after: MIN_RETRY_SECONDS }.response()
        }
    }
}
