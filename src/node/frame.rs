//! Frames on the connections between entries: a length prefix, then a message encoded by
//! `postcard`.

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

/// A connection on which nothing was received for this long is closed: three pings may be late.
pub(super) const IDLE_TIMEOUT: Millis = Millis(700);

/// The largest greeting in bytes, many times that of an entry with a long name.
const MAX_GREETING_BYTES: usize = 16 * 1024;

/// Queue of encoded frames that wait to be written to a connection.
pub(super) type FrameSender = mpsc::Sender<Bytes>;

/// Encodes a message and its id as a frame.
///
/// # Errors
/// The message cannot be encoded.
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

/// Writes queued frames until the queue or the connection closes. Frames that wait together are
/// flushed together.
pub(super) async fn write_frames(
    write_half: OwnedWriteHalf,
    mut queue: mpsc::Receiver<Bytes>,
) -> io::Result<()> {
    let mut sink = FramedWrite::new(write_half, codec());
    while let Some(frame) = queue.recv().await {
        sink.feed(frame).await?;
        while let Ok(more) = queue.try_recv() {
            sink.feed(more).await?;
        }
        SinkExt::<Bytes>::flush(&mut sink).await?;
    }
    Ok(())
}

/// Reads frames from a connection.
pub(super) struct FrameReader {
    reader: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    idle_timeout: Millis,
}

impl FrameReader {
    /// A reader on a connection of which the other end is not known yet: only greetings fit.
    pub fn for_greeting(read_half: OwnedReadHalf, idle_timeout: Millis) -> Self {
        let mut frames = Self::new(read_half, idle_timeout);
        frames.reader.decoder_mut().set_max_frame_length(MAX_GREETING_BYTES);
        frames
    }

    /// A reader that ends once nothing was received for `idle_timeout`.
    pub fn new(read_half: OwnedReadHalf, idle_timeout: Millis) -> Self {
        Self { reader: FramedRead::new(read_half, codec()), idle_timeout }
    }

    /// Accepts frames of up to [`MAX_FRAME_BYTES`] from now on.
    pub fn accept_requests(&mut self) {
        self.reader.decoder_mut().set_max_frame_length(MAX_FRAME_BYTES);
    }

    /// Sets another idle timeout.
    pub fn set_idle_timeout(&mut self, idle_timeout: Millis) {
        self.idle_timeout = idle_timeout;
    }

    /// Reads the next frame. Returns `None` if the peer closed the connection or the idle timeout
    /// has passed.
    ///
    /// # Errors
    /// The connection broke, or the frame cannot be decoded.
    pub async fn next<T: DeserializeOwned>(&mut self) -> io::Result<Option<Frame<T>>> {
        match tokio::time::timeout(self.idle_timeout.duration(), self.reader.next()).await {
            Err(_) | Ok(None) => Ok(None),
            Ok(Some(bytes)) => decode(&bytes?).map(Some),
        }
    }
}
