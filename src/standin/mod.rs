//! Small stand-ins for the systems that are not ours, for trial runs and tests.
//!
//! Each is an HTTP server with settable faults and a time line of what truly happened.

pub mod platform;
pub mod runner;
pub mod site;
pub mod worker;

use crate::trace::{Event, Stamp, Trace};
use poem::listener::TcpAcceptor;
use poem::web::{Data, Json};
use poem::{Endpoint, IntoEndpoint, Server, handler};
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::io;
use std::sync::Arc;
use tokio::net::TcpListener;

/// Asks for events of a time line.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TraceRequest {
    /// Events after this stamp.
    pub since: Stamp,
    /// The most events.
    pub max: usize,
}

/// The path where every process gives out its time line.
pub const TRACE_PATH: &str = "/timeline";

/// Gives out the time line.
#[handler]
pub fn timeline(trace: Data<&Arc<Trace>>, ask: Json<TraceRequest>) -> Json<Vec<Event>> {
    Json(trace.after(ask.since, ask.max))
}

/// Serves until `stop` is ready, then lets open exchanges end.
///
/// # Errors
/// If the listener cannot be used.
pub async fn serve<E>(
    listener: TcpListener,
    app: E,
    stop: impl Future<Output = ()>,
) -> io::Result<()>
where
    E: IntoEndpoint,
    E::Endpoint: Endpoint + 'static,
{
    let acceptor = TcpAcceptor::from_tokio(listener)?;
    Server::new_with_acceptor(acceptor).run_with_graceful_shutdown(app, stop, None).await
}
