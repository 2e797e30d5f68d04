//! Parts shared by all HTTP servers of the project: the serve loop and the timeline API.

use crate::trace::Stamp;
use poem::listener::TcpAcceptor;
use poem::{Endpoint, IntoEndpoint, Server};
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::io;
use tokio::net::TcpListener;

/// Path at which each process serves the events of its trace.
pub const TIMELINE_PATH: &str = "/timeline";

/// Request for events of a process's trace.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TimelineRequest {
    /// Return only events after this stamp.
    pub since: Stamp,
    /// Maximum number of events to return.
    pub max: usize,
}

/// Serves until `stop` completes, then waits for open requests to finish.
///
/// # Errors
/// The listener cannot be used.
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
