//! QUIC between entries: one connection a peer, one stream an exchange.

use crate::clock::Millis;
use crate::id::Name;
use crate::settings::Keys;
use crate::trace::{EventKind, Trace};
use crate::wire::keys::{self, KeyError};
use crate::wire::msg::{Ask, CodecError, Envelope, Tell, decode, encode};
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

/// The largest message, in bytes: a whole shard's state at the first contact of an epoch.
const MAX_MESSAGE: usize = 64 * 1024 * 1024;
/// A connection without traffic is closed after this long.
const IDLE: u32 = 10_000;
/// Exchanges at once on one connection.
const MAX_STREAMS: u32 = 4_096;

/// Why an exchange with another entry failed.
#[derive(Debug, Error)]
pub enum WireError {
    /// No connection: nothing was sent.
    #[error("cannot connect to {0}")]
    Connect(Name),
    /// The exchange broke off.
    #[error("exchange with {0} broke off")]
    Broken(Name),
    /// No answer in time.
    #[error("{0} did not answer in time")]
    Timeout(Name),
    /// The peer's version has no such question: nothing was sent.
    #[error("{0} is too old")]
    TooOld(Name),
    /// A message cannot be read.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The keys cannot be used.
    #[error(transparent)]
    Keys(#[from] KeyError),
    /// The socket cannot be used.
    #[error("socket: {0}")]
    Socket(#[from] io::Error),
}

impl WireError {
    /// Whether surely nothing reached the other entry.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::TooOld(_))
    }
}

/// Bytes and messages that passed between this entry and others.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Questions sent.
    pub asks: AtomicU64,
    /// Bytes sent and received in messages.
    pub bytes: AtomicU64,
}

/// This entry's end of all connections.
#[derive(Debug)]
pub struct Quic {
    endpoint: Endpoint,
    open: Mutex<HashMap<(Name, SocketAddr), Connection>>,
    trace: Arc<Trace>,
    /// What passed.
    pub traffic: Traffic,
}

impl Quic {
    /// Binds `addr` with these keys; speaks versions of messages up to `newest`.
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
        transport.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE))));
        transport.max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS));
        let transport = Arc::new(transport);
        let mut server = ServerConfig::with_crypto(Arc::new(keys::server(keys, newest)?));
        server.transport_config(transport.clone());
        let mut client = ClientConfig::new(Arc::new(keys::client(keys, newest)?));
        client.transport_config(transport);
        let mut endpoint = Endpoint::server(server, addr)?;
        endpoint.set_default_client_config(client);
        let (open, traffic) = (Mutex::default(), Traffic::default());
        Ok(Arc::new(Self { endpoint, open, trace, traffic }))
    }

    /// The address that it is bound to.
    ///
    /// # Errors
    /// If the socket is broken.
    pub fn addr(&self) -> Result<SocketAddr, WireError> {
        Ok(self.endpoint.local_addr()?)
    }

    /// Asks the entry `name` at `addr` and waits for its answer, at most `limit`.
    ///
    /// # Errors
    /// [`WireError::Connect`] only if nothing was sent.
    pub async fn ask(
        &self,
        name: &Name,
        addr: SocketAddr,
        ask: Ask,
        limit: Millis,
    ) -> Result<Tell, WireError> {
        let exchange = self.exchange(name, addr, |_| Some(ask));
        self.within(name, addr, limit, exchange).await
    }

    /// As [`Quic::ask`], with a question that depends on the version that the peer speaks; `None`
    /// if that version has no such question.
    ///
    /// # Errors
    /// As [`Quic::ask`], and [`WireError::TooOld`].
    pub async fn ask_by_version(
        &self,
        name: &Name,
        addr: SocketAddr,
        ask: impl FnOnce(u8) -> Option<Ask>,
        limit: Millis,
    ) -> Result<Tell, WireError> {
        let exchange = self.exchange(name, addr, ask);
        self.within(name, addr, limit, exchange).await
    }

    /// The version of messages that a peer and this entry speak.
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
        agreed(&connection).ok_or_else(|| WireError::Connect(name.clone()))
    }

    async fn within(
        &self,
        name: &Name,
        addr: SocketAddr,
        limit: Millis,
        exchange: impl Future<Output = Result<Tell, WireError>>,
    ) -> Result<Tell, WireError> {
        match tokio::time::timeout(limit.duration(), exchange).await {
            Ok(result) => result,
            Err(_) => {
                self.drop_connection(name, addr);
                Err(WireError::Timeout(name.clone()))
            }
        }
    }

    fn count(&self, bytes: usize) {
        self.traffic.asks.fetch_add(1, Ordering::Relaxed);
        self.traffic.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    async fn exchange(
        &self,
        name: &Name,
        addr: SocketAddr,
        ask: impl FnOnce(u8) -> Option<Ask>,
    ) -> Result<Tell, WireError> {
        let connection = self.connect(name, addr).await?;
        let version = agreed(&connection).ok_or_else(|| WireError::Connect(name.clone()))?;
        let body = ask(version).ok_or_else(|| WireError::TooOld(name.clone()))?;
        let message = encode(version, &Envelope { stamp: self.trace.stamp(), body })?;
        let bytes = self.swap(name, addr, &connection, &message).await?;
        self.count(message.len() + bytes.len());
        let envelope: Envelope<Tell> = decode(version, &bytes)?;
        self.trace.observe(envelope.stamp);
        Ok(envelope.body)
    }

    /// Sends a message and reads the answer.
    async fn swap(
        &self,
        name: &Name,
        addr: SocketAddr,
        connection: &Connection,
        message: &[u8],
    ) -> Result<Vec<u8>, WireError> {
        let broken = || {
            self.drop_connection(name, addr);
            WireError::Broken(name.clone())
        };
        let (mut send, mut recv) = connection.open_bi().await.map_err(|_| {
            self.drop_connection(name, addr);
            WireError::Connect(name.clone())
        })?;
        send.write_all(message).await.map_err(|_| broken())?;
        send.finish().map_err(|_| broken())?;
        recv.read_to_end(MAX_MESSAGE).await.map_err(|_| broken())
    }

    fn connections(&self) -> std::sync::MutexGuard<'_, HashMap<(Name, SocketAddr), Connection>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn drop_connection(&self, name: &Name, addr: SocketAddr) {
        self.connections().remove(&(name.clone(), addr));
    }

    async fn connect(&self, name: &Name, addr: SocketAddr) -> Result<Connection, WireError> {
        let key = (name.clone(), addr);
        let known = self.connections().get(&key).cloned();
        if let Some(connection) = known.filter(|known| known.close_reason().is_none()) {
            return Ok(connection);
        }
        let failed = || WireError::Connect(name.clone());
        let connecting = self.endpoint.connect(addr, name).map_err(|_| failed())?;
        let connection = connecting.await.map_err(|_| failed())?;
        self.connections().insert(key, connection.clone());
        if let Some(version) = agreed(&connection) {
            self.trace.record(EventKind::PeerConnected { peer: name.clone(), version });
        }
        Ok(connection)
    }

    /// Answers other entries until the endpoint is closed.
    pub async fn serve<F, A>(self: Arc<Self>, answer: F)
    where
        F: Fn(Ask) -> A + Clone + Send + Sync + 'static,
        A: Future<Output = Tell> + Send + 'static,
    {
        while let Some(incoming) = self.endpoint.accept().await {
            let (quic, answer) = (self.clone(), answer.clone());
            tokio::spawn(async move {
                if let Ok(connection) = incoming.await {
                    quic.serve_connection(connection, answer).await;
                }
            });
        }
    }

    async fn serve_connection<F, A>(self: Arc<Self>, connection: Connection, answer: F)
    where
        F: Fn(Ask) -> A + Clone + Send + Sync + 'static,
        A: Future<Output = Tell> + Send + 'static,
    {
        let Some(version) = agreed(&connection) else { return };
        while let Ok((mut send, mut recv)) = connection.accept_bi().await {
            let (quic, answer) = (self.clone(), answer.clone());
            tokio::spawn(async move {
                let Ok(bytes) = recv.read_to_end(MAX_MESSAGE).await else { return };
                let envelope: Envelope<Ask> = match decode(version, &bytes) {
                    Ok(envelope) => envelope,
                    Err(err) => return log::warn!("event=message-refused error={err:?}"),
                };
                quic.trace.observe(envelope.stamp);
                let body = answer(envelope.body).await;
                let reply = encode(version, &Envelope { stamp: quic.trace.stamp(), body });
                let Ok(reply) = reply else { return };
                quic.count(bytes.len() + reply.len());
                if send.write_all(&reply).await.is_ok() {
                    let _ = send.finish();
                }
            });
        }
    }

    /// Closes all connections.
    pub async fn close(&self) {
        self.endpoint.close(VarInt::from_u32(0), b"stop");
        self.endpoint.wait_idle().await;
    }
}

/// The version of messages that both sides of a connection agreed on.
fn agreed(connection: &Connection) -> Option<u8> {
    let data = connection.handshake_data()?.downcast::<HandshakeData>().ok()?;
    keys::version(&data.protocol?)
}
