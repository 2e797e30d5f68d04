//! What callers ask about jobs, and how it is answered.

use crate::cell::JobState;
use crate::cell::owner::retry::{self, retry_after};
use crate::cell::records::journal::JobOutcome;
use crate::clock::Millis;
use crate::id::Name;
use crate::node::cells::Cells;
use crate::node::msg::{Ask, Refused, Tell};
use crate::node::view::{AskError, View};
use crate::platform::config::{Policy, Route};
use crate::platform::front::Reply;
use crate::platform::submit;
use crate::workload::{JobKey, Work};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request};
use std::sync::Arc;
use tokio::task::JoinSet;

/// A caller's call about one job.
pub(super) struct Call<'a> {
    /// The job's cell.
    pub view: &'a View,
    pub policy: &'a Policy,
    pub route: &'a Route,
    pub job: JobKey,
    /// The caller's workspace.
    pub workspace: Option<Name>,
    /// When the answer has to leave.
    pub until: Millis,
}

impl Call<'_> {
    /// Answers; the name of the call is for metrics.
    pub async fn reply(&self, request: Request<Incoming>) -> (&'static str, Reply) {
        match *request.method() {
            Method::POST => ("submit", self.submit(request).await),
            Method::DELETE => ("cancel", self.cancel().await),
            _ => ("state", self.state().await),
        }
    }

    async fn submit(&self, request: Request<Incoming>) -> Reply {
        let work = match self.read(request).await {
            Ok(work) => work,
            Err(err) => return Reply::Malformed(err),
        };
        let begun = self.view.now();
        let Call { view, policy, route, job, until, .. } = *self;
        let after = retry_after(&route.queue, &work, job);
        let (queue, work) = (route.queue.name.clone(), Arc::new(work));
        let ask = |stay| {
            let (queue, work, workspace) = (queue.clone(), work.clone(), self.workspace.clone());
            Ask::Submit { job, queue, work, workspace, stay }
        };
        let answer = match view.ask(ask(false), until).await {
            Ok(Tell::Moved { cell }) => self.ask_there(cell, ask(true)).await,
            answer => answer,
        };
        let reply = match &answer {
            Ok(Tell::Accepted) => return Reply::Accepted,
            Ok(Tell::Refused(Refused::NotYours)) => Reply::NotYours,
            Ok(Tell::Refused(_)) | Err(AskError::Unsent) => Reply::Busy { after },
            Ok(_) | Err(AskError::Unknown) => Reply::InDoubt,
        };
        log::info!(
            "event=not-accepted job={job} cell={} queue={} policy={} answer={answer:?} waited_ms={} \
             reply={reply:?}",
            view.cell,
            route.queue.name,
            policy.version,
            view.now().since(begun)
        );
        reply
    }

    /// The job in a request; an error says what is wrong with it.
    async fn read(&self, request: Request<Incoming>) -> Result<Work, String> {
        let body = Limited::new(request.into_body(), self.policy.limits.body).collect();
        let left = self.until - self.view.now();
        let body = match tokio::time::timeout(left.duration(), body).await {
            Ok(body) => body.map_err(|err| err.to_string())?.to_bytes(),
            Err(_) => return Err("the body did not come in time".to_string()),
        };
        let work = submit::parse(&body).map_err(|err| err.to_string())?;
        work.check().map_err(|err| err.to_string())?;
        Ok(work)
    }

    /// Asks the job's home, and the cell where the job is if that is another one.
    async fn ask(&self, ask: Ask) -> Result<Tell, AskError> {
        match self.view.ask(ask.clone(), self.until).await {
            Ok(Tell::Moved { cell }) => self.ask_there(cell, ask).await,
            answer => answer,
        }
    }

    async fn ask_there(&self, cell: u32, ask: Ask) -> Result<Tell, AskError> {
        let cells = self.view.node.cells();
        match cells.as_ref().and_then(|cells| cells.get(cell)) {
            Some(view) => view.ask(ask, self.until).await,
            None => {
                log::error!("event=no-such-cell job={} cell={cell}", self.job);
                Err(AskError::Unsent)
            }
        }
    }

    async fn state(&self) -> Reply {
        match self.ask(Ask::State { job: self.job, workspace: self.workspace.clone() }).await {
            Ok(Tell::State(None)) => Reply::NoJob,
            Ok(Tell::State(Some(JobState::Queued))) => Reply::State("queued"),
            Ok(Tell::State(Some(JobState::Active))) => Reply::State("active"),
            Ok(Tell::State(Some(JobState::Closed(JobOutcome::Completed)))) => {
                Reply::State("completed")
            }
            Ok(Tell::State(Some(JobState::Closed(JobOutcome::Failed)))) => Reply::State("failed"),
            Ok(Tell::State(Some(JobState::Closed(JobOutcome::Cancelled)))) => {
                Reply::State("cancelled")
            }
            _ => Reply::Busy { after: retry::MIN_RETRY_SECONDS },
        }
    }

    async fn cancel(&self) -> Reply {
        let ask = Ask::Cancel { job: self.job, workspace: self.workspace.clone() };
        let reply = match self.ask(ask).await {
            Ok(Tell::Cancelled(true)) => Reply::Accepted,
            Ok(Tell::Cancelled(false)) => Reply::NoJob,
            Ok(Tell::Refused(_)) | Err(AskError::Unsent) => {
                Reply::Busy { after: retry::MIN_RETRY_SECONDS }
            }
            Ok(_) | Err(AskError::Unknown) => Reply::InDoubt,
        };
        log::info!("event=cancel job={} cell={} reply={reply:?}", self.job, self.view.cell);
        reply
    }
}

/// How many jobs of a queue wait, over all cells. One cell that cannot be asked leaves that unknown.
pub(super) async fn pending(cells: &Cells, route: &Route, until: Millis) -> Reply {
    let mut asked = JoinSet::new();
    for view in &cells.views {
        let (view, queue) = (view.clone(), route.queue.name.clone());
        asked.spawn(async move { view.ask(Ask::Pending { queue }, until).await });
    }
    let answers = asked.join_all().await;
    let counts = answers.into_iter().map(|answer| match answer {
        Ok(Tell::Pending(count)) => Some(count),
        _ => None,
    });
    match counts.sum::<Option<u32>>() {
        Some(count) => Reply::Pending(count),
        None => Reply::Busy { after: retry::MIN_RETRY_SECONDS },
    }
}
