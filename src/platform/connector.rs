//! Opens TCP connections, a limited number at a time, and counts them.

use hyper::Uri;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::client::legacy::connect::{Connected, Connection, HttpConnector};
use hyper_util::rt::TokioIo;
use std::error::Error;
use std::future::Future;
use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tower_service::Service;

/// Counts of the connections and calls of a client.
#[derive(Debug, Default)]
pub struct Counts {
    /// Connections that are open.
    pub open: AtomicU64,
    /// Connections that were opened.
    pub opened: AtomicU64,
    /// Calls for which no connection could be opened.
    pub unconnected: AtomicU64,
    /// Calls whose connection ended before the response.
    pub broken: AtomicU64,
    /// Calls without a response in time.
    pub timed_out: AtomicU64,
}

/// Opens connections to one address.
#[derive(Debug, Clone)]
pub(super) struct Connector {
    pub http: HttpConnector,
    /// Limits how many connections are open; `None`: no limit.
    pub permits: Option<Arc<Semaphore>>,
    pub counts: Arc<Counts>,
}

impl Service<Uri> for Connector {
    type Response = CountedStream;
    type Error = Box<dyn Error + Send + Sync>;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.http.poll_ready(cx).map_err(Into::into)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let (permits, counts) = (self.permits.clone(), self.counts.clone());
        let mut http = self.http.clone();
        Box::pin(async move {
            let permit = match permits {
                Some(permits) => Some(permits.acquire_owned().await?),
                None => None,
            };
            let stream = http.call(uri).await?;
            counts.open.fetch_add(1, Ordering::Relaxed);
            counts.opened.fetch_add(1, Ordering::Relaxed);
            Ok(CountedStream { stream, counts, _permit: permit })
        })
    }
}

/// A connection that counts as open, and takes a permit, until it is closed.
#[derive(Debug)]
pub(super) struct CountedStream {
    stream: TokioIo<TcpStream>,
    counts: Arc<Counts>,
    _permit: Option<OwnedSemaphorePermit>,
}

impl Drop for CountedStream {
    fn drop(&mut self) {
        self.counts.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Connection for CountedStream {
    fn connected(&self) -> Connected {
        self.stream.connected()
    }
}

impl Read for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl Write for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }
}
