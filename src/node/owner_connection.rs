//! An open connection from an entry to the owner of a cell: the requests on it and their answers.

use crate::clock::Millis;
use crate::node::frame::{FrameSender, encode};
use crate::node::lock;
use crate::node::msg::{EntryMessage, Frame, OwnerMessage};
use crate::workload::JobKey;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::sync::oneshot;

/// After this time without a frame from the owner no new requests are sent. The caller of a request
/// that was sent but not answered cannot be told that its job was not run.
const MAX_SILENCE: Millis = Millis(350);
/// Timeout of the check that the owner answers. It is 40 times the round trip to another failure
/// domain, and as long as an owner on a shared processor may be stalled.
const CHECK_TIMEOUT: Millis = Millis(80);

/// An open connection to an owner.
#[derive(Debug)]
pub(super) struct OwnerConnection {
    pub(super) frames: FrameSender,
    /// Requests that wait for an answer, by id.
    pub(super) waiting: Mutex<HashMap<u64, oneshot::Sender<OwnerMessage>>>,
    pub(super) next_id: AtomicU64,
    /// When the last frame was received, in milliseconds.
    pub(super) received_at: AtomicU64,
    /// The owner accepts new jobs, by its last answer to a ping.
    pub(super) accepts_jobs: AtomicBool,
    pub(super) is_closed: AtomicBool,
    /// The time between two pings beyond [`PING_INTERVAL`].
    pub(super) ping_delay: Millis,
}

/// Why a request got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionError {
    /// The request was not sent.
    Unsent,
    /// The connection broke after the request may have reached the owner.
    Broken,
}

impl OwnerConnection {
    /// Whether a frame of the owner was received recently.
    pub fn is_live(&self, now: Millis) -> bool {
        now.since(Millis(self.received_at.load(Ordering::Relaxed))) < MAX_SILENCE + self.ping_delay
    }

    /// Whether a frame of the owner was received recently and the owner accepts new jobs. Without
    /// the second condition, an entry on the same side of a network partition as an owner that
    /// cannot reach the store would report itself as ready. It would refuse its callers until the
    /// partition heals, and the balancer would not send them to other failure domains.
    pub fn accepts_jobs(&self, now: Millis) -> bool {
        self.is_live(now) && self.accepts_jobs.load(Ordering::Relaxed)
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Relaxed)
    }

    /// Sends a request and waits for the answer.
    ///
    /// # Errors
    /// [`ConnectionError::Unsent`] only if it is certain that nothing was sent.
    pub async fn request(&self, message: EntryMessage) -> Result<OwnerMessage, ConnectionError> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed) + 1;
        let frame = encode(id, message).map_err(|err| {
            log::error!("event=message-encoding-failed error={err:?}");
            ConnectionError::Unsent
        })?;
        let (tx, rx) = oneshot::channel();
        lock(&self.waiting).insert(id, tx);
        if self.is_closed.load(Ordering::Relaxed) {
            lock(&self.waiting).remove(&id);
            return Err(ConnectionError::Unsent);
        }
        if let Err(err) = self.frames.try_send(frame) {
            // The owner reads too slowly or is gone. Nothing was sent, so the request may be
            // repeated.
            log::info!("event=request-not-sent no={id} error={err}");
            lock(&self.waiting).remove(&id);
            return Err(ConnectionError::Unsent);
        }
        rx.await.map_err(|_| {
            log::debug!("event=request-unanswered no={id}");
            ConnectionError::Broken
        })
    }

    /// Checks that the owner answers, by asking for the state of a job that is about to be
    /// submitted. A job is sent only to an owner that answers, so that during a network partition
    /// its caller can be told that the job was not run. Otherwise each partition of a failure
    /// domain would leave jobs whose outcome is unknown, and callers don't retry those.
    ///
    /// # Errors
    /// [`ConnectionError::Unsent`]: the owner did not answer, and the job must not be sent.
    pub async fn check_owner(&self, job: JobKey) -> Result<(), ConnectionError> {
        let state = self.request(EntryMessage::State { job, workspace: None });
        match tokio::time::timeout(CHECK_TIMEOUT.duration(), state).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(_)) | Err(_) => {
                log::debug!("event=owner-check-unanswered job={job}");
                Err(ConnectionError::Unsent)
            }
        }
    }

    /// Passes an answer to the task that waits for it.
    pub(super) fn resolve(&self, frame: Frame<OwnerMessage>) {
        if let Some(waiter) = lock(&self.waiting).remove(&frame.id) {
            if waiter.send(frame.body).is_err() {
                // The caller has gone, and the task that waited was dropped.
                log::debug!("event=answer-unread no={}", frame.id);
            }
        }
    }
}

/// Fails all open requests of a connection when it ends, also when its task is dropped because
/// another entry owns the cell: the requests are then repeated there.
pub(super) struct CloseGuard(pub Arc<OwnerConnection>);

impl Drop for CloseGuard {
    fn drop(&mut self) {
        self.0.is_closed.store(true, Ordering::Relaxed);
        lock(&self.0.waiting).clear();
    }
}
