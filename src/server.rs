//! What every HTTP server of the project shares: how it is run, and how it gives out its time line.

use crate::trace::Stamp;
use poem::listener::TcpAcceptor;
use poem::{Endpoint, IntoEndpoint, Server};
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::io;
use tokio::net::TcpListener;

/// The path where every process gives out its time line.
pub const TIMELINE_PATH: &str = "/timeline";

/// Asks for events of a time line.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TimelineRequest {
    /// Events after this stamp.
    pub since: Stamp,
    /// The most events.
    pub max: usize,
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
