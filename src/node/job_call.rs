//! What callers ask about jobs, and how it is answered.

use crate::cell::JobState;
use crate::cell::owner::admission::{self, retry_after};
use crate::cell::records::journal::JobOutcome;
use crate::clock::Millis;
use crate::id::Name;
use crate::node::cells::Cells;
use crate::node::msg::{EntryMessage, OwnerMessage, RefusalReason};
use crate::node::view::{CellView, RequestError};
use crate::platform::config::{Policy, Route};
use crate::platform::front::Reply;
use crate::platform::submit;
use crate::workload::{JobDefinition, JobKey};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request};
use std::sync::Arc;
use tokio::task::JoinSet;

/// A caller's call about one job.
pub(super) struct JobCall<'a> {
    /// The job's cell.
    pub view: &'a CellView,
    pub policy: &'a Policy,
    pub route: &'a Route,
    pub job: JobKey,
    /// The caller's workspace.
    pub workspace: Option<Name>,
    /// When the answer has to leave.
    pub deadline: Millis,
}

impl JobCall<'_> {
    /// Answers; the name of the call is for metrics.
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
            Err(err) => return Reply::Malformed(err),
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
            Ok(OwnerMessage::Refused(_)) | Err(RequestError::Unsent) => {
                Reply::Busy { after: retry_s }
            }
            Ok(_) | Err(RequestError::Unknown) => Reply::Unconfirmed,
        };
        log::info!(
            "event=not-accepted job={job} cell={} queue={} policy={} answer={answer:?} waited_ms={} \
             reply={reply:?}",
            view.cell,
            route.queue.name,
            policy.version,
            view.now().since(started)
        );
        reply
    }

    /// The job in a request; an error says what is wrong with it.
    async fn read_job(&self, request: Request<Incoming>) -> Result<JobDefinition, String> {
        let body = Limited::new(request.into_body(), self.policy.limits.body_bytes).collect();
        let remaining = self.deadline - self.view.now();
        let body = match tokio::time::timeout(remaining.duration(), body).await {
            Ok(body) => body.map_err(|err| err.to_string())?.to_bytes(),
            Err(_) => return Err("the body did not come in time".to_string()),
        };
        let work = submit::parse(&body).map_err(|err| err.to_string())?;
        work.validate().map_err(|err| err.to_string())?;
        Ok(work)
    }

    /// Asks the job's home, and the cell where the job is if that is another one.
    async fn request(&self, message: EntryMessage) -> Result<OwnerMessage, RequestError> {
        match self.view.request(message.clone(), self.deadline).await {
            Ok(OwnerMessage::Moved { cell }) => self.request_from_cell(cell, message).await,
            answer => answer,
        }
    }

    async fn request_from_cell(
        &self,
        cell: u32,
        message: EntryMessage,
    ) -> Result<OwnerMessage, RequestError> {
        let cells = self.view.node.cells();
        match cells.as_ref().and_then(|cells| cells.get(cell)) {
            Some(view) => view.request(message, self.deadline).await,
            None => {
                log::error!("event=no-such-cell job={} cell={cell}", self.job);
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
            _ => Reply::Busy { after: admission::LEAST },
        }
    }

    async fn cancel(&self) -> Reply {
        let message = EntryMessage::Cancel { job: self.job, workspace: self.workspace.clone() };
        let reply = match self.request(message).await {
            Ok(OwnerMessage::Cancelled(true)) => Reply::Accepted,
            Ok(OwnerMessage::Cancelled(false)) => Reply::NoJob,
            Ok(OwnerMessage::Refused(_)) | Err(RequestError::Unsent) => {
                Reply::Busy { after: admission::LEAST }
            }
            Ok(_) | Err(RequestError::Unknown) => Reply::Unconfirmed,
        };
        log::info!("event=cancel job={} cell={} reply={reply:?}", self.job, self.view.cell);
        reply
    }
}

/// How many jobs of a queue wait, over all cells. One cell that cannot be requests leaves that unknown.
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
        None => Reply::Busy { after: admission::LEAST },
    }
}
