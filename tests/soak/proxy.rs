//! A loopback relay between a process and what it calls: connections through it can be delayed,
//! reset, or silenced in either direction.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What becomes of the bytes of all connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Mode {
    /// Each piece is held this long.
    pub delay: Duration,
    /// Nothing passes from the caller.
    pub mute_up: bool,
    /// Nothing passes to the caller.
    pub mute_down: bool,
    /// Rises when all open connections are reset.
    pub resets: u32,
    /// Rises when all open connections go silent for good, without a reset.
    pub silences: u32,
}

/// A relay to one address.
#[derive(Debug)]
pub struct Proxy {
    pub addr: SocketAddr,
    mode: watch::Sender<Mode>,
}

impl Proxy {
    /// Listens on `addr` and passes connections on to `target`.
    pub async fn start(addr: SocketAddr, target: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind(addr).await.unwrap();
        let proxy = Arc::new(Self { addr, mode: watch::channel(Mode::default()).0 });
        let modes = proxy.mode.subscribe();
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                tokio::spawn(relay(caller, target, modes.clone()));
            }
        });
        proxy
    }

    /// Changes what becomes of bytes from now on.
    pub fn set(&self, change: impl FnOnce(&mut Mode)) {
        self.mode.send_modify(change);
    }

    /// Everything passes again.
    pub fn heal(&self) {
        self.set(|mode| {
            *mode = Mode { resets: mode.resets, silences: mode.silences, ..Mode::default() }
        });
    }
}

async fn relay(caller: TcpStream, target: SocketAddr, mut modes: watch::Receiver<Mode>) {
    let (born, heard) = {
        let mode = modes.borrow_and_update();
        (mode.resets, mode.silences)
    };
    let Ok(callee) = TcpStream::connect(target).await else { return };
    for stream in [&caller, &callee] {
        if let Err(err) = stream.set_nodelay(true) {
            // It was closed already: the relay ends at its first read.
            eprintln!("event=relay-odd error={err:?}");
        }
    }
    let (up_in, down_out) = caller.into_split();
    let (down_in, up_out) = callee.into_split();
    let up = pump(up_in, up_out, modes.clone(), move |mode| mode.mute_up || mode.silences != heard);
    let down = pump(down_in, down_out, modes.clone(), move |mode| {
        mode.mute_down || mode.silences != heard
    });
    let both = async {
        tokio::join!(up, down);
    };
    tokio::select! {
        () = both => {}
        _ = modes.wait_for(|mode| mode.resets != born) => {}
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut modes: watch::Receiver<Mode>,
    muted: impl Fn(&Mode) -> bool,
) {
    let mut bytes = vec![0; 16 * 1024];
    loop {
        // Either side may close or break off: the relay passes that on by closing the other.
        let Ok(len) = from.read(&mut bytes).await else { return };
        let Ok(mode) = modes.wait_for(|mode| !muted(mode)).await.map(|mode| *mode) else { return };
        tokio::time::sleep(mode.delay).await;
        if len == 0 || to.write_all(&bytes[..len]).await.is_err() {
            return;
        }
    }
}
