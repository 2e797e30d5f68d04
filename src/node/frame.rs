//! FrameReader between entries: a length in front, then a message in `postcard`.

use crate::clock::Millis;
use crate::node::msg::{Frame, MAX_FRAME_BYTES};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

/// A connection on which nothing came for this long is given up: three pings may be late.
pub(super) const IDLE_TIMEOUT: Millis = Millis(700);

/// FrameReader on their way out.
pub(super) type FrameSender = mpsc::Sender<Bytes>;

/// A frame as bytes.
///
/// # Errors
/// It cannot be encoded.
pub(super) fn encode<T: Serialize>(id: u64, body: T) -> io::Result<Bytes> {
    let bytes = postcard::to_stdvec(&Frame { id, body });
    bytes.map(Bytes::from).map_err(io::Error::other)
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> io::Result<Frame<T>> {
    postcard::from_bytes(bytes).map_err(io::Error::other)
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Writes frames until the channel or the connection closes; what waits goes out together.
pub(super) async fn write_frames(
    half: OwnedWriteHalf,
    mut queue: mpsc::Receiver<Bytes>,
) -> io::Result<()> {
    let mut sink = FramedWrite::new(half, codec());
    while let Some(frame) = queue.recv().await {
        sink.feed(frame).await?;
        while let Ok(more) = queue.try_recv() {
            sink.feed(more).await?;
        }
        SinkExt::<Bytes>::flush(&mut sink).await?;
    }
    Ok(())
}

/// The frames of a connection.
pub(super) struct FrameReader {
    read: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    idle_timeout: Millis,
}

impl FrameReader {
    /// Reads from a connection that is given up once nothing came for `idle_timeout`.
    pub fn new(half: OwnedReadHalf, idle_timeout: Millis) -> Self {
        Self { read: FramedRead::new(half, codec()), idle_timeout }
    }

    /// The connection is given up only after this time.
    pub fn set_idle_timeout(&mut self, idle_timeout: Millis) {
        self.idle_timeout = idle_timeout;
    }

    /// The next frame; `None`: the peer closed, or said nothing for too long.
    ///
    /// # Errors
    /// The connection broke, or the frame cannot be read.
    pub async fn next<T: DeserializeOwned>(&mut self) -> io::Result<Option<Frame<T>>> {
        match tokio::time::timeout(self.idle_timeout.duration(), self.read.next()).await {
            Err(_) | Ok(None) => Ok(None),
            Ok(Some(bytes)) => decode(&bytes?).map(Some),
        }
    }
}
