//! Calls of the job API: submitting a job, asking for its state, cancelling it, and counting the
//! jobs that wait.

use crate::cell::JobState;
use crate::cell::jobs::memory::definition_bytes;
use crate::cell::owner::retry::{self, retry_after};
use crate::cell::records::journal::JobOutcome;
use crate::clients::limits::FREE_BYTES;
use crate::clock::Millis;
use crate::id::Name;
use crate::node::body::{self, BodyError};
use crate::node::cells::Cells;
use crate::node::clients::Client;
use crate::node::msg::{EntryMessage, OwnerMessage, RefusalReason};
use crate::node::view::{CellView, RequestError};
use crate::platform::config::{Policy, Route};
use crate::platform::front::Reply;
use crate::platform::submit;
use crate::workload::{JobDefinition, JobKey};
use hyper::body::Incoming;
use hyper::{Method, Request};
use std::sync::Arc;
use tokio::task::JoinSet;

/// A caller's request about one job.
pub(super) struct JobCall<'a> {
    pub client: &'a Client,
    /// The home cell of the job.
    pub view: &'a Arc<CellView>,
    pub policy: &'a Policy,
    pub route: &'a Route,
    pub job: JobKey,
    /// The workspace of the caller, if any.
    pub workspace: Option<Name>,
    /// When the answer has to be sent.
    pub deadline: Millis,
}

impl JobCall<'_> {
    /// Handles the request. Also returns the kind of the call for the metrics.
    pub async fn reply(&self, request: Request<Incoming>) -> (&'static str, Reply) {
        match *request.method() {
            Method::POST => ("submit", self.submit(request).await),
            Method::DELETE => ("cancel", self.cancel().await),
            _ => ("state", self.state().await),
        }
    }

    async fn submit(&self, request: Request<Incoming>) -> Reply {
        let work = match self.read_job(request).await {
            Ok(work) => work,
            Err(reply) => return reply,
        };
        let started = self.view.now();
        let JobCall { view, policy, route, job, deadline, .. } = *self;
        let retry_s = retry_after(&route.queue, &work, job);
        let (queue, work) = (route.queue.name.clone(), Arc::new(work));
        let message = |is_forwarded| {
            let (queue, work, workspace) = (queue.clone(), work.clone(), self.workspace.clone());
            EntryMessage::Submit { job, queue, work, workspace, is_forwarded }
        };
        let answer = match view.request(message(false), deadline).await {
            Ok(OwnerMessage::Moved { cell }) => self.request_from_cell(cell, message(true)).await,
            answer => answer,
        };
        let reply = match &answer {
            Ok(OwnerMessage::Accepted) => return Reply::Accepted,
            Ok(OwnerMessage::Refused(RefusalReason::OtherWorkspace)) => Reply::OtherWorkspace,
            Ok(OwnerMessage::Refused(RefusalReason::Memory)) => {
                Reply::NoMemory { after: retry::MEMORY_RETRY_SECONDS }
            }
            Ok(OwnerMessage::Refused(_)) | Err(RequestError::Unsent) => {
                Reply::Busy { after: retry_s }
            }
            Ok(_) | Err(RequestError::Unknown) => Reply::Unconfirmed,
        };
        log::info!(
            "event=job-not-accepted job={job} cell={} queue={} policy={} answer={answer:?} waited_ms={} \
             reply={reply:?}",
            view.cell,
            route.queue.name,
            policy.version,
            view.now().since(started)
        );
        reply
    }

    /// Reads a job from the body of a request.
    ///
    /// # Errors
    /// The reply says what is wrong with the job, or that the caller may retry it.
    async fn read_job(&self, request: Request<Incoming>) -> Result<JobDefinition, Reply> {
        let (max, remaining) = (self.policy.limits.body_bytes, self.deadline - self.view.now());
        let body = body::read(self.client, request.into_body(), max, remaining).await;
        let body = body.map_err(|err| self.body_refused(&err))?;
        let work = submit::parse(&body).map_err(|err| Reply::Malformed(err.to_string()))?;
        work.validate().map_err(|err| Reply::Malformed(err.to_string()))?;
        drop(body);
        self.client.release();
        // The decoded job may take many times the memory of its text.
        let beyond_free = definition_bytes(&work).saturating_sub(FREE_BYTES as u64);
        match self.client.reserve(beyond_free).await {
            true => Ok(work),
            false => Err(self.body_refused(&BodyError::NoMemory)),
        }
    }

    /// The reply to a caller whose body was not read whole, so that its job will not run.
    fn body_refused(&self, err: &BodyError) -> Reply {
        log::info!("event=body-refused job={} why={err:?}", self.job);
        match err {
            BodyError::TooLarge(_) | BodyError::Broken(_) => Reply::Malformed(err.to_string()),
            BodyError::Late | BodyError::NoMemory | BodyError::Slow => {
                Reply::Busy { after: retry::MIN_RETRY_SECONDS }
            }
        }
    }

    /// Sends a message to the home cell of the job, then to the cell that the job was forwarded to,
    /// if any.
    async fn request(&self, message: EntryMessage) -> Result<OwnerMessage, RequestError> {
        match self.view.request(message.clone(), self.deadline).await {
            Ok(OwnerMessage::Moved { cell }) => self.request_from_cell(cell, message).await,
            answer => answer,
        }
    }

    /// Sends a message to the cell that the job was forwarded to.
    async fn request_from_cell(
        &self,
        cell: u32,
        message: EntryMessage,
    ) -> Result<OwnerMessage, RequestError> {
        let cells = self.view.node.cells();
        match cells.as_ref().and_then(|cells| cells.get(cell)) {
            Some(view) => view.request(message, self.deadline).await,
            None => {
                log::error!("event=unknown-cell job={} cell={cell}", self.job);
                Err(RequestError::Unsent)
            }
        }
    }

    async fn state(&self) -> Reply {
        match self
            .request(EntryMessage::State { job: self.job, workspace: self.workspace.clone() })
            .await
        {
            Ok(OwnerMessage::State(None)) => Reply::NoJob,
            Ok(OwnerMessage::State(Some(JobState::Queued))) => Reply::State("queued"),
            Ok(OwnerMessage::State(Some(JobState::Active))) => Reply::State("active"),
            Ok(OwnerMessage::State(Some(JobState::Closed(JobOutcome::Completed)))) => {
                Reply::State("completed")
            }
            Ok(OwnerMessage::State(Some(JobState::Closed(JobOutcome::Failed)))) => {
                Reply::State("failed")
            }
            Ok(OwnerMessage::State(Some(JobState::Closed(JobOutcome::Cancelled)))) => {
                Reply::State("cancelled")
            }
            _ => Reply::Busy { after: retry::MIN_RETRY_SECONDS },
        }
    }

    async fn cancel(&self) -> Reply {
        let message = EntryMessage::Cancel { job: self.job, workspace: self.workspace.clone() };
        let reply = match self.request(message).await {
            Ok(OwnerMessage::Cancelled(true)) => Reply::Accepted,
            Ok(OwnerMessage::Cancelled(false)) => Reply::NoJob,
            Ok(OwnerMessage::Refused(_)) | Err(RequestError::Unsent) => {
                Reply::Busy { after: retry::MIN_RETRY_SECONDS }
            }
            Ok(_) | Err(RequestError::Unknown) => Reply::Unconfirmed,
        };
        log::info!("event=cancel job={} cell={} reply={reply:?}", self.job, self.view.cell);
        reply
    }
}

/// Counts the waiting jobs of a queue in all cells. The count is unknown if any cell does not
/// answer.
pub(super) async fn pending(cells: &Cells, route: &Route, deadline: Millis) -> Reply {
    let mut requests = JoinSet::new();
    for view in &cells.views {
        let (view, queue) = (view.clone(), route.queue.name.clone());
        requests
            .spawn(async move { view.request(EntryMessage::Pending { queue }, deadline).await });
    }
    let answers = requests.join_all().await;
    let counts = answers.into_iter().map(|answer| match answer {
        Ok(OwnerMessage::Pending(count)) => Some(count),
        _ => None,
    });
    match counts.sum::<Option<u32>>() {
        Some(count) => Reply::Pending(count),
        None => Reply::Busy { after: retry::MIN_RETRY_SECONDS },
    }
}
