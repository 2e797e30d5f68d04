//! Reads the bodies of callers' requests within the memory for them.

use crate::clients::limits::FREE_BYTES;
use crate::clock::Millis;
use crate::node::clients::Client;
use bytes::Buf;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use thiserror::Error;

/// How long the rest of a refused body is read. A caller that still sends would not see the answer
/// if the connection were closed on it.
const DISCARD_TIMEOUT: Millis = Millis(200);
/// A caller that sends nothing for this long has stopped.
const DISCARD_PAUSE: Millis = Millis(50);

/// Why a body was not read whole.
#[derive(Debug, Error)]
pub(super) enum BodyError {
    /// The body is larger than the policy allows.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// The connection broke, or its content is not a valid body.
    #[error("the body cannot be read: {0}")]
    Broken(#[from] hyper::Error),
    /// The body was not complete in time.
    #[error("the body did not come in time")]
    Late,
    /// Other requests hold the memory for the body.
    #[error("no memory for the body")]
    NoMemory,
    /// The body arrived so slowly that its client was evicted.
    #[error("the body arrives too slowly")]
    Slow,
}

/// Reads the body of a client's request, of at most `max` bytes, within `timeout`. What it holds
/// counts for the client's request.
///
/// # Errors
/// See [`BodyError`].
pub(super) async fn read(
    client: &Client,
    mut body: Incoming,
    max: usize,
    timeout: Millis,
) -> Result<Vec<u8>, BodyError> {
    if body.size_hint().lower() > max as u64 {
        return Err(BodyError::TooLarge(max));
    }
    client.record_body(0);
    let result = tokio::select! {
        result = collect(client, &mut body, max) => result,
        () = tokio::time::sleep(timeout.duration()) => Err(BodyError::Late),
        () = client.evicted() => Err(BodyError::Slow),
    };
    match result {
        Err(BodyError::NoMemory | BodyError::TooLarge(_)) => {
            client.release();
            discard(&mut body).await;
        }
        Ok(_) => client.end_body(),
        Err(_) => {}
    }
    result
}

/// Copies a body into one buffer, however small its chunks are: a chunk kept as it comes keeps the
/// buffer that it was read into.
async fn collect(client: &Client, body: &mut Incoming, max: usize) -> Result<Vec<u8>, BodyError> {
    let mut buffer = Vec::with_capacity(FREE_BYTES);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        client.record_body(data.remaining());
        let length = buffer.len() + data.remaining();
        if length > max {
            return Err(BodyError::TooLarge(max));
        }
        if length > buffer.capacity() {
            let capacity = length.max(2 * buffer.capacity()).min(max);
            if !client.reserve((capacity - buffer.capacity()) as u64).await {
                return Err(BodyError::NoMemory);
            }
            buffer.reserve_exact(capacity - buffer.len());
        }
        buffer.extend_from_slice(&data);
    }
    Ok(buffer)
}

/// Reads the rest of a body while it comes, without keeping it.
async fn discard(body: &mut Incoming) {
    let rest = async {
        let pause = DISCARD_PAUSE.duration();
        while let Ok(Some(Ok(_))) = tokio::time::timeout(pause, body.frame()).await {}
    };
    if tokio::time::timeout(DISCARD_TIMEOUT.duration(), rest).await.is_err() {
        log::debug!("event=body-not-discarded");
    }
}
