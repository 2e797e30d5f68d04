//! A TCP proxy on loopback between a process and the service that it calls. Connections through it
//! can be delayed, reset, or stalled in either direction.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Faults of all connections through a proxy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkState {
    /// Delay of each chunk of bytes.
    pub delay: Duration,
    /// Bytes from the caller are held back.
    pub hold_requests: bool,
    /// Bytes to the caller are held back.
    pub hold_replies: bool,
    /// Incremented to reset all open connections.
    pub reset_count: u32,
    /// Callers that end their connections have lost power: the target learns nothing of it, and the
    /// connections stay open for good.
    pub callers_lose_power: bool,
    /// Incremented to stall all open connections for good, without a reset.
    pub stall_count: u32,
}

/// A proxy in front of one address.
#[derive(Debug)]
pub struct Proxy {
    pub addr: SocketAddr,
    state: watch::Sender<LinkState>,
}

impl Proxy {
    /// Listens on `addr` and forwards connections to `target`.
    pub async fn start(addr: SocketAddr, target: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind(addr).await.unwrap();
        let proxy = Arc::new(Self { addr, state: watch::channel(LinkState::default()).0 });
        let states = proxy.state.subscribe();
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                tokio::spawn(proxy_connection(caller, target, states.clone()));
            }
        });
        proxy
    }

    /// Changes the faults of all connections from now on.
    pub fn update(&self, change: impl FnOnce(&mut LinkState)) {
        self.state.send_modify(change);
    }

    /// Ends all faults. Connections that were stalled before stay stalled.
    pub fn restore(&self) {
        self.update(|state| {
            *state = LinkState {
                reset_count: state.reset_count,
                stall_count: state.stall_count,
                ..LinkState::default()
            }
        });
    }
}

async fn proxy_connection(
    caller: TcpStream,
    target: SocketAddr,
    mut states: watch::Receiver<LinkState>,
) {
    let (resets, stalls) = {
        let state = states.borrow_and_update();
        (state.reset_count, state.stall_count)
    };
    let Ok(target_stream) = TcpStream::connect(target).await else { return };
    for stream in [&caller, &target_stream] {
        if let Err(err) = stream.set_nodelay(true) {
            // The connection is closed already: forwarding ends at the first read.
            eprintln!("event=proxy-nodelay-failed error={err:?}");
        }
    }
    let (from_caller, to_caller) = caller.into_split();
    let (from_target, to_target) = target_stream.into_split();
    let (request_states, reply_states) = (states.clone(), states.clone());
    let requests = async move {
        let (mut from, mut to) = (from_caller, to_target);
        let is_held = |state: &LinkState| state.hold_requests || state.stall_count != stalls;
        forward(&mut from, &mut to, request_states.clone(), is_held).await;
        if request_states.borrow().callers_lose_power {
            std::future::pending::<()>().await;
        }
    };
    let replies = async move {
        let (mut from, mut to) = (from_target, to_caller);
        let is_held = |state: &LinkState| state.hold_replies || state.stall_count != stalls;
        forward(&mut from, &mut to, reply_states, is_held).await;
    };
    let both = async {
        tokio::join!(requests, replies);
    };
    tokio::select! {
        () = both => {}
        _ = states.wait_for(|state| state.reset_count != resets) => {}
    }
}

async fn forward(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    mut states: watch::Receiver<LinkState>,
    is_held: impl Fn(&LinkState) -> bool,
) {
    let mut bytes = vec![0; 16 * 1024];
    loop {
        // Either side may close the connection or reset it: the proxy passes that on by closing the
        // other side.
        let Ok(len) = from.read(&mut bytes).await else { return };
        let Ok(state) = states.wait_for(|state| !is_held(state)).await.map(|state| *state) else {
            return;
        };
        tokio::time::sleep(state.delay).await;
        if len == 0 || to.write_all(&bytes[..len]).await.is_err() {
            return;
        }
    }
}
