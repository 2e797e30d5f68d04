//! Requests between entries over QUIC: one connection per peer, one bidirectional stream per
//! request.

use crate::clock::Millis;
use crate::id::Name;
use crate::settings::Keys;
use crate::trace::{EventKind, Trace};
use crate::wire::keys::{self, KeyError};
use crate::wire::msg::{CodecError, Envelope, PeerRequest, PeerResponse, decode, encode};
use quinn::crypto::rustls::HandshakeData;
use quinn::{
    ClientConfig, Connection, Endpoint, IdleTimeout, ServerConfig, TransportConfig, VarInt,
};
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use thiserror::Error;
use tokio::time::{Instant, timeout_at};

/// The size limit of a message. The largest one carries the complete state of a shard, which a new
/// owner exchanges with each replica at the start of an epoch.
const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;
/// A connection without traffic is closed after this time.
const IDLE_TIMEOUT_MS: u32 = 10_000;
/// The limit of concurrent requests from a peer on one connection.
const MAX_CONCURRENT_STREAMS: u32 = 4_096;

/// Why a request to another entry failed.
#[derive(Debug, Error)]
pub enum WireError {
    /// The connection could not be established: nothing was sent.
    #[error("cannot connect to entry {0}")]
    Connect(Name),
    /// The connection was lost before the response was complete.
    #[error("connection to entry {0} was lost during a request")]
    Broken(Name),
    /// The peer did not respond in time.
    #[error("request to entry {0} timed out")]
    Timeout(Name),
    /// The negotiated protocol version lacks the request: nothing was sent.
    #[error("protocol version of entry {0} is too old for the request")]
    PeerTooOld(Name),
    /// A message could not be encoded or decoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The certificates or the private key cannot be used.
    #[error(transparent)]
    Keys(#[from] KeyError),
    /// The UDP socket cannot be used.
    #[error("cannot use UDP socket: {0}")]
    Socket(#[from] io::Error),
}

impl WireError {
    /// Whether the request certainly did not reach the other entry.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::PeerTooOld(_))
    }
}

/// Counters of the traffic between this entry and its peers.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Requests that were answered, in both directions.
    pub requests: AtomicU64,
    /// Size of these requests and their responses, in bytes.
    pub bytes: AtomicU64,
}

/// Client and server for requests between entries, with a pool of open connections.
#[derive(Debug)]
pub struct QuicTransport {
    endpoint: Endpoint,
    connections: Mutex<HashMap<(Name, SocketAddr), Connection>>,
    trace: Arc<Trace>,
    /// Counters of the traffic with all peers.
    pub traffic: Traffic,
}

impl QuicTransport {
    /// Binds a UDP socket to `addr`; supports protocol versions up to `newest`.
    ///
    /// # Errors
    /// If the keys or the address cannot be used.
    pub fn bind(
        addr: SocketAddr,
        keys: &Keys,
        newest: u8,
        trace: Arc<Trace>,
    ) -> Result<Arc<Self>, WireError> {
        let mut transport = TransportConfig::default();
        transport.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))));
        transport.max_concurrent_bidi_streams(VarInt::from_u32(MAX_CONCURRENT_STREAMS));
        let transport = Arc::new(transport);
        let mut server = ServerConfig::with_crypto(Arc::new(keys::server_config(keys, newest)?));
        server.transport_config(transport.clone());
        let mut client = ClientConfig::new(Arc::new(keys::client_config(keys, newest)?));
        client.transport_config(transport);
        let mut endpoint = Endpoint::server(server, addr)?;
        endpoint.set_default_client_config(client);
        let (connections, traffic) = (Mutex::default(), Traffic::default());
        Ok(Arc::new(Self { endpoint, connections, trace, traffic }))
    }

    /// The address that the UDP socket is bound to.
    ///
    /// # Errors
    /// If the socket's address cannot be read.
    pub fn addr(&self) -> Result<SocketAddr, WireError> {
        Ok(self.endpoint.local_addr()?)
    }

    /// Sends a request to the entry `name` at `addr` and waits up to `limit` for its response.
    ///
    /// # Errors
    /// [`WireError::Connect`] only if nothing was sent.
    pub async fn request(
        &self,
        name: &Name,
        addr: SocketAddr,
        request: PeerRequest,
        limit: Millis,
    ) -> Result<PeerResponse, WireError> {
        self.request_by_version(name, addr, |_| Some(request), limit).await
    }

    /// As [`QuicTransport::request`], with a request that depends on the negotiated protocol
    /// version; `None` if that version lacks the request.
    ///
    /// # Errors
    /// As [`QuicTransport::request`], and [`WireError::PeerTooOld`] if there is no request.
    pub async fn request_by_version(
        &self,
        name: &Name,
        addr: SocketAddr,
        request: impl FnOnce(u8) -> Option<PeerRequest>,
        limit: Millis,
    ) -> Result<PeerResponse, WireError> {
        let deadline = Instant::now() + limit.duration();
        let timed_out = |_| WireError::Timeout(name.clone());
        let connecting = timeout_at(deadline, self.connect(name, addr));
        let connection = connecting.await.map_err(timed_out)??;
        let exchange = timeout_at(deadline, self.exchange(name, addr, &connection, request));
        exchange.await.unwrap_or_else(|elapsed| {
            self.drop_connection(name, addr, &connection);
            Err(timed_out(elapsed))
        })
    }

    /// The protocol version negotiated with a peer.
    ///
    /// # Errors
    /// [`WireError::Connect`] if the peer cannot be reached within `limit`.
    pub async fn version(
        &self,
        name: &Name,
        addr: SocketAddr,
        limit: Millis,
    ) -> Result<u8, WireError> {
        let connecting = tokio::time::timeout(limit.duration(), self.connect(name, addr));
        let connection = connecting.await.map_err(|_| WireError::Connect(name.clone()))??;
        negotiated_version(&connection).ok_or_else(|| WireError::Connect(name.clone()))
    }

    fn count_exchange(&self, bytes: usize) {
        self.traffic.requests.fetch_add(1, Ordering::Relaxed);
        self.traffic.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    async fn exchange(
        &self,
        name: &Name,
        addr: SocketAddr,
        connection: &Connection,
        request: impl FnOnce(u8) -> Option<PeerRequest>,
    ) -> Result<PeerResponse, WireError> {
        let version =
            negotiated_version(connection).ok_or_else(|| WireError::Connect(name.clone()))?;
        let body = request(version).ok_or_else(|| WireError::PeerTooOld(name.clone()))?;
        let message = encode(version, &Envelope { stamp: self.trace.stamp(), body })?;
        let bytes = self.send_and_receive(name, addr, connection, &message).await?;
        self.count_exchange(message.len() + bytes.len());
        let envelope: Envelope<PeerResponse> = decode(version, &bytes)?;
        self.trace.observe(envelope.stamp);
        Ok(envelope.body)
    }

    /// Sends an encoded request on a stream of its own and reads the response.
    async fn send_and_receive(
        &self,
        name: &Name,
        addr: SocketAddr,
        connection: &Connection,
        message: &[u8],
    ) -> Result<Vec<u8>, WireError> {
        let broken = || {
            self.drop_connection(name, addr, connection);
            WireError::Broken(name.clone())
        };
        let (mut send, mut recv) = connection.open_bi().await.map_err(|_| {
            self.drop_connection(name, addr, connection);
            WireError::Connect(name.clone())
        })?;
        send.write_all(message).await.map_err(|_| broken())?;
        send.finish().map_err(|_| broken())?;
        recv.read_to_end(MAX_MESSAGE_BYTES).await.map_err(|_| broken())
    }

    fn lock_connections(
        &self,
    ) -> std::sync::MutexGuard<'_, HashMap<(Name, SocketAddr), Connection>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Removes a connection from the pool, unless another one has taken its place.
    fn drop_connection(&self, name: &Name, addr: SocketAddr, connection: &Connection) {
        let key = (name.clone(), addr);
        let mut connections = self.lock_connections();
        if connections.get(&key).is_some_and(|open| open.stable_id() == connection.stable_id()) {
            connections.remove(&key);
        }
    }

    async fn connect(&self, name: &Name, addr: SocketAddr) -> Result<Connection, WireError> {
        let key = (name.clone(), addr);
        let known = self.lock_connections().get(&key).cloned();
        if let Some(connection) = known.filter(|known| known.close_reason().is_none()) {
            return Ok(connection);
        }
        let failed = || WireError::Connect(name.clone());
        let connecting = self.endpoint.connect(addr, name).map_err(|_| failed())?;
        let connection = connecting.await.map_err(|_| failed())?;
        self.lock_connections().insert(key, connection.clone());
        if let Some(version) = negotiated_version(&connection) {
            self.trace.record(EventKind::PeerConnected { peer: name.clone(), version });
        }
        Ok(connection)
    }

    /// Handles the requests of other entries until the endpoint is closed.
    pub async fn serve<F, R>(self: Arc<Self>, handler: F)
    where
        F: Fn(PeerRequest) -> R + Clone + Send + Sync + 'static,
        R: Future<Output = PeerResponse> + Send + 'static,
    {
        while let Some(incoming) = self.endpoint.accept().await {
            let (quic, handler) = (self.clone(), handler.clone());
            tokio::spawn(async move {
                if let Ok(connection) = incoming.await {
                    quic.serve_connection(connection, handler).await;
                }
            });
        }
    }

    async fn serve_connection<F, R>(self: Arc<Self>, connection: Connection, handler: F)
    where
        F: Fn(PeerRequest) -> R + Clone + Send + Sync + 'static,
        R: Future<Output = PeerResponse> + Send + 'static,
    {
        let Some(version) = negotiated_version(&connection) else { return };
        while let Ok((mut send, mut recv)) = connection.accept_bi().await {
            let (quic, handler) = (self.clone(), handler.clone());
            tokio::spawn(async move {
                let Ok(bytes) = recv.read_to_end(MAX_MESSAGE_BYTES).await else { return };
                let envelope: Envelope<PeerRequest> = match decode(version, &bytes) {
                    Ok(envelope) => envelope,
                    Err(err) => return log::warn!("event=message-decoding-failed error={err:?}"),
                };
                quic.trace.observe(envelope.stamp);
                let body = handler(envelope.body).await;
                let reply = encode(version, &Envelope { stamp: quic.trace.stamp(), body });
                let Ok(reply) = reply else { return };
                quic.count_exchange(bytes.len() + reply.len());
                if send.write_all(&reply).await.is_ok() {
                    let _ = send.finish();
                }
            });
        }
    }

    /// Closes all connections and waits until the peers were told.
    pub async fn close(&self) {
        self.endpoint.close(VarInt::from_u32(0), b"stop");
        self.endpoint.wait_idle().await;
    }
}

/// The protocol version that was negotiated in a connection's TLS handshake.
fn negotiated_version(connection: &Connection) -> Option<u8> {
    let data = connection.handshake_data()?.downcast::<HandshakeData>().ok()?;
    keys::version_from_alpn(&data.protocol?)
}
