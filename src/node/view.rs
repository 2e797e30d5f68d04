//! What an entry knows about one cell, and how it sends requests to the cell's owner.

use crate::cell::mechanism::Mechanism;
use crate::cell::owner::balance::{Candidate, ServiceLoad};
use crate::cell::owner::election::{Election, Leader};
use crate::cell::owner::log_reports::LogReport;
use crate::clock::Millis;
use crate::id::Name;
use crate::node::advice_calls::AdviceCalls;
use crate::node::owner_connection::{ConnectionError, OwnerConnection};

use crate::node::msg::{EntryMessage, OwnerMessage, RefusalReason};
use crate::node::owner::Owner;
use crate::node::{Node, lock};
use crate::platform::store::Partition;
use crate::workload::JobKey;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::sync::{Notify, watch};

/// A request that could not be sent for this long fails, so that its caller tries another entry.
/// Most takeovers take less time.
const SEND_TIMEOUT: Millis = Millis(1_500);
/// How long the load that an owner last reported may be used: three intervals between its reports.
const LOAD_MAX_AGE: Millis = Millis(2_000);
/// How long the owner of a cell that is not the home cell is not heard before its claims are read:
/// longer than the entries of that cell take to replace it.
const FOREIGN_FOLLOW_DELAY: Millis = Millis(3_000);
/// Delay before a request is retried.
const REQUEST_RETRY_DELAY: Millis = Millis(25);

/// Why a request to the owner of a cell got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestError {
    /// The request was certainly not carried out.
    Unsent,
    /// The request may have been carried out.
    Unknown,
}

/// A cell as one entry sees it.
///
/// Every entry can send requests to the owner of every cell. It always follows the claims on its
/// home cell, and those on another cell only once it has not heard from that cell's owner for a
/// while: with many cells and entries, reading all heartbeats would take more calls than the store
/// can serve.
#[derive(Debug)]
pub(super) struct CellView {
    pub node: Arc<Node>,
    /// The number of the cell, from 0.
    pub cell: u32,
    /// The number of cells.
    pub cell_count: u32,
    /// The cell is the home of this entry.
    pub is_home: bool,
    pub election: Mutex<Election>,
    /// The owner by the last claim that was read.
    pub leader: watch::Sender<Option<Leader>>,
    /// Wakes [`CellView::campaign`] because the owner may have to be replaced.
    pub claim_wake: Notify,
    /// Wakes [`CellView::send_heartbeats`].
    pub heartbeat_wake: Notify,
    /// The connection to the owner, if that is another entry and can be reached.
    pub connection: watch::Sender<Option<Arc<OwnerConnection>>>,
    /// The owner, if it is this entry.
    pub owner: watch::Sender<Option<Arc<Owner>>>,
    /// The last epoch in which this entry owned the cell and no longer does; 0 if there is none.
    pub ended_epoch: AtomicU64,
    /// When the newest record of this entry that reached the log was sent, in milliseconds.
    pub heartbeat_sent: AtomicU64,
    /// The load of the cell by service as its owner last reported it, and when it did.
    pub loads: Mutex<(Millis, Vec<ServiceLoad>)>,
    /// How many other entries the last owner knew; 0 if none has told.
    pub entry_count: AtomicU32,
    /// Whether the claims on the cell are read.
    pub follows_claims: watch::Sender<bool>,
    /// The requests of the owner to the advice service that wait to be sent.
    pub advice_calls: AdviceCalls,
    /// Whether the claims will be read unless the owner is heard before.
    follow_pending: AtomicBool,
}

impl CellView {
    /// A view of a cell of which nothing is known yet.
    pub fn new(node: Arc<Node>, cell: u32, cell_count: u32, is_home: bool) -> Self {
        let mut election = Election::new(node.id.clone(), node.settings.millicores, node.now());
        let disabled = node.settings.disabled;
        election.set_prefers_capacity(!disabled.contains(Mechanism::CapacityElection));
        Self {
            node,
            cell,
            cell_count,
            is_home,
            election: Mutex::new(election),
            leader: watch::channel(None).0,
            claim_wake: Notify::new(),
            heartbeat_wake: Notify::new(),
            connection: watch::channel(None).0,
            owner: watch::channel(None).0,
            ended_epoch: AtomicU64::new(0),
            heartbeat_sent: AtomicU64::new(0),
            loads: Mutex::default(),
            entry_count: AtomicU32::new(0),
            follows_claims: watch::channel(is_home).0,
            advice_calls: AdviceCalls::default(),
            follow_pending: AtomicBool::new(false),
        }
    }

    /// Starts the tasks that follow the cell for as long as the process runs.
    pub fn follow(self: &Arc<Self>) {
        tokio::spawn(self.clone().follow_claims());
        tokio::spawn(self.clone().campaign());
        tokio::spawn(self.clone().keep_connection());
        tokio::spawn(self.clone().run_advice_calls());
        self.lose_owner();
    }

    /// The time since this process started.
    pub fn now(&self) -> Millis {
        self.node.now()
    }

    /// The partition of the cell in a topic of the store. A topic has a limited number of
    /// partitions: further cells use another topic, whose name has a number appended to `topic`.
    pub fn partition<'a>(&self, topic: &'a mut String) -> Partition<'a> {
        let parts = self.node.settings.partitions.max(1);
        if self.cell >= parts {
            topic.push_str(&(self.cell / parts).to_string());
        }
        Partition { topic, index: self.cell % parts }
    }

    /// The owner in this process, if it owns the cell in `epoch`.
    pub fn local_owner_in(&self, epoch: u64) -> Option<Arc<Owner>> {
        self.owner.borrow().clone().filter(|owner| owner.epoch() == epoch && !owner.has_ended())
    }

    /// The owner in this process, if it owns the cell.
    pub fn local_owner(&self) -> Option<Arc<Owner>> {
        self.owner.borrow().clone().filter(|owner| !owner.has_ended())
    }

    /// Whether this entry is the owner by the last claim that was read, and in `epoch`.
    pub fn is_leader(&self, epoch: u64) -> bool {
        let election = lock(&self.election);
        election.is_owner() && election.leader().is_some_and(|leader| leader.epoch == epoch)
    }

    /// Whether this entry owned the cell in `epoch` or a later epoch and no longer does.
    pub fn has_ended_epoch(&self, epoch: u64) -> bool {
        self.ended_epoch.load(Ordering::Relaxed) >= epoch
    }

    /// Whether the owner of the cell can be reached and accepts new jobs.
    pub fn accepts_jobs(&self) -> bool {
        let owned = self.owner.borrow().as_ref().is_some_and(|owner| owner.is_serving());
        let connected = self
            .connection
            .borrow()
            .as_ref()
            .is_some_and(|connection| connection.accepts_jobs(self.now()));
        owned || connected
    }

    /// The cell as a target for forwarding jobs of a service. `None` if it accepts no jobs, has no
    /// workers of the service, or has not reported its load recently.
    pub fn choice(&self, service: &str) -> Option<Candidate> {
        let loads = lock(&self.loads);
        let (reported_at, loads) = &*loads;
        let is_fresh = self.now().since(*reported_at) < LOAD_MAX_AGE;
        let load = loads.iter().find(|load| *load.service == *service)?;
        let choice = Candidate { cell: self.cell, utilization: load.utilization };
        (is_fresh && self.accepts_jobs()).then_some(choice)
    }

    /// Adds work that was just forwarded to the cell, in thousandths of its processors, to its load
    /// until its owner reports again.
    pub fn add_load(&self, service: &str, share: u32) {
        let mut loads = lock(&self.loads);
        if let Some(load) = loads.1.iter_mut().find(|load| *load.service == *service) {
            load.utilization = load.utilization.saturating_add(share);
        }
    }

    /// Reads the claims on the cell because its owner is not heard: at once on the home cell, and on
    /// others if the owner is still not heard after [`FOREIGN_FOLLOW_DELAY`].
    pub fn lose_owner(self: &Arc<Self>) {
        if self.is_home || self.follow_pending.swap(true, Ordering::Relaxed) {
            return;
        }
        let view = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(FOREIGN_FOLLOW_DELAY.duration()).await;
            view.follow_pending.store(false, Ordering::Relaxed);
            let connection = view.connection.borrow().clone();
            let is_heard = connection.is_some_and(|connection| connection.is_live(view.now()));
            if !is_heard && view.local_owner().is_none() {
                view.set_follows_claims(true);
            }
        });
    }

    /// Starts or stops reading the claims on the cell. Those on the home cell are always read. An
    /// owner reads the claims on its cell too, because only messages of another owner stop the
    /// reading.
    pub fn set_follows_claims(&self, wanted: bool) {
        let wanted = wanted || self.is_home;
        self.follows_claims.send_if_modified(|follows_claims| {
            let changed = *follows_claims != wanted;
            if changed && wanted {
                // Records of the time before were not read, so the silence of the owner counts from
                // now.
                lock(&self.election).resume_reading(self.now());
            }
            *follows_claims = wanted;
            changed
        });
    }

    /// Whether nobody owns the cell, so that callers should retry later; see
    /// [`Election::is_ownerless`].
    fn is_ownerless(&self) -> bool {
        lock(&self.election).is_ownerless(self.now())
    }

    /// Sends a request to the owner of the cell, and again if the owner changes, until it is
    /// answered or `deadline` has passed. Fails at once while nobody owns the cell, unless an earlier
    /// attempt may have been carried out.
    pub async fn request(
        self: &Arc<Self>,
        message: EntryMessage,
        deadline: Millis,
    ) -> Result<OwnerMessage, RequestError> {
        let mut error = RequestError::Unsent;
        let send_until = self.now() + SEND_TIMEOUT;
        loop {
            let remaining = deadline - self.now();
            if remaining == Millis(0) {
                return Err(error);
            }
            let result =
                tokio::time::timeout(remaining.duration(), self.request_once(message.clone()))
                    .await;
            match result {
                Ok(
                    Ok(OwnerMessage::Refused(RefusalReason::NotOwner))
                    | Err(ConnectionError::Unsent),
                ) if error == RequestError::Unsent && self.is_ownerless() => return Err(error),
                Ok(Ok(OwnerMessage::Refused(
                    RefusalReason::NotOwner | RefusalReason::UnknownQueue,
                ))) => {}
                Ok(Ok(OwnerMessage::InDoubt) | Err(ConnectionError::Broken)) => {
                    error = RequestError::Unknown
                }
                Ok(Ok(message)) => return Ok(message),
                Ok(Err(ConnectionError::Unsent))
                    if error == RequestError::Unsent
                        && (self.now() >= send_until || self.node.is_log_unreadable()) =>
                {
                    return Err(error);
                }
                Ok(Err(ConnectionError::Unsent)) => {}
                Err(_) => return Err(RequestError::Unknown),
            }
            tokio::time::sleep(REQUEST_RETRY_DELAY.duration()).await;
        }
    }

    /// Sends a request once, to the owner as it is known now.
    pub async fn request_once(
        self: &Arc<Self>,
        message: EntryMessage,
    ) -> Result<OwnerMessage, ConnectionError> {
        if let Some(owner) = self.local_owner() {
            return Ok(owner.handle_request(&self.node.id.name, message).await);
        }
        let connection = self.connection.borrow().clone();
        match connection {
            Some(connection) if connection.is_live(self.now()) => {
                if let EntryMessage::Submit { job, .. } = &message {
                    self.check_owner(&connection, *job).await?;
                }
                connection.request(message).await
            }
            _ => Err(ConnectionError::Unsent),
        }
    }

    /// Like [`OwnerConnection::check_owner`]. If the owner does not answer, also starts reading the
    /// claims, because it may be lost.
    async fn check_owner(
        self: &Arc<Self>,
        connection: &OwnerConnection,
        job: JobKey,
    ) -> Result<(), ConnectionError> {
        let checked = connection.check_owner(job).await;
        if checked.is_err() {
            self.lose_owner();
        }
        checked
    }

    /// Returns this entry's report to a new owner about the time before its epoch.
    pub fn log_history(&self) -> LogReport {
        let log_steady = lock(&self.node.history).is_log_steady(self.now());
        LogReport { log_steady, peers: self.entry_count.load(Ordering::Relaxed) }
    }

    /// The name of this entry.
    pub fn entry_name(&self) -> &Name {
        &self.node.id.name
    }
}
