//! The connection of a client, which counts what the entry has to buffer for it.

use crate::node::clients::Client;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The most that is read at once, in bytes. The HTTP library enlarges its buffer only after reads
/// that fill it.
const READ_BYTES: usize = 4_096;

/// The connection of a client. It breaks if there is no memory for what the client sends or does not
/// read.
#[derive(Debug)]
pub(super) struct ClientStream {
    stream: TcpStream,
    client: Arc<Client>,
}

impl ClientStream {
    /// Wraps the connection of `client`.
    pub fn new(stream: TcpStream, client: Arc<Client>) -> Self {
        Self { stream, client }
    }

    /// Counts an answer that cannot be written because the client does not read.
    fn check_written(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match written {
            Poll::Pending if !self.client.reserve_buffer() => Poll::Ready(Err(no_memory())),
            written => written,
        }
    }
}

fn no_memory() -> io::Error {
    io::Error::new(io::ErrorKind::OutOfMemory, "no memory for the buffers of the connection")
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut piece = [MaybeUninit::uninit(); READ_BYTES];
        let mut piece = ReadBuf::uninit(&mut piece[..READ_BYTES.min(buffer.remaining())]);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut piece))?;
        buffer.put_slice(piece.filled());
        match self.client.record_read(piece.filled().len()) {
            true => Poll::Ready(Ok(())),
            false => Poll::Ready(Err(no_memory())),
        }
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.check_written(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.check_written(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
