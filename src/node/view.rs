//! What an entry knows of one cell, and its part in it.

use crate::cell::owner::balance::{Choice, Load};
use crate::cell::owner::election::{Election, Leader};
use crate::cell::owner::witness::Word;
use crate::clock::Millis;
use crate::id::Name;
use crate::node::connection::{ConnectionError, OwnerConnection};
use crate::node::msg::{EntryMessage, OwnerMessage, RefusalReason};
use crate::node::owner::Owner;
use crate::node::{Node, lock};
use crate::platform::store::Partition;
use crate::workload::JobKey;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::sync::{Notify, watch};

/// A question that could not be sent for this long is refused, so that its caller tries another
/// entry: a takeover mostly takes less.
const SEND_TIMEOUT: Millis = Millis(1_500);
/// What an owner said of its cell's load is good for so long: three of its words.
const LOAD_MAX_AGE: Millis = Millis(2_000);
/// Time between attempts to ask.
const REQUEST_RETRY_DELAY: Millis = Millis(25);

/// Why a question to the owner got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestError {
    /// Surely nothing was done.
    Unsent,
    /// It may have been done.
    Unknown,
}

/// A cell as one entry sees it.
///
/// Every entry can ask the owner of every cell. It follows the claims on its home cell all the time,
/// and on another one only while it does not hear that one's owner: with
/// many cells and entries reading all heartbeats would take more calls than the store has.
#[derive(Debug)]
pub(super) struct CellView {
    pub node: Arc<Node>,
    /// The number of the cell, from 0.
    pub cell: u32,
    /// How many cells there are.
    pub cell_count: u32,
    /// This entry belongs to the cell.
    pub is_home: bool,
    pub election: Mutex<Election>,
    pub leader: watch::Sender<Option<Leader>>,
    /// The owner may have to be replaced.
    pub claim_wake: Notify,
    pub connection: watch::Sender<Option<Arc<OwnerConnection>>>,
    pub owner: watch::Sender<Option<Arc<Owner>>>,
    /// The last epoch that this entry owned and gave up or lost.
    pub ended_epoch: AtomicU64,
    /// What the cell has to do, as its owner last said, and when.
    pub loads: Mutex<(Millis, Vec<Load>)>,
    /// How many other entries the last owner counted; 0: none was heard.
    pub entry_count: AtomicU32,
    /// The claims on the cell are followed.
    pub follows_claims: watch::Sender<bool>,
}

impl CellView {
    /// Nothing is known of the cell yet.
    pub fn new(node: Arc<Node>, cell: u32, cell_count: u32, is_home: bool) -> Self {
        let election = Election::new(node.id.clone(), node.settings.millicores, node.now());
        Self {
            node,
            cell,
            cell_count,
            is_home,
            election: Mutex::new(election),
            leader: watch::channel(None).0,
            claim_wake: Notify::new(),
            connection: watch::channel(None).0,
            owner: watch::channel(None).0,
            ended_epoch: AtomicU64::new(0),
            loads: Mutex::default(),
            entry_count: AtomicU32::new(0),
            follows_claims: watch::channel(true).0,
        }
    }

    /// Follows the cell for as long as the process lives.
    pub fn follow(self: &Arc<Self>) {
        tokio::spawn(self.clone().follow_claims());
        tokio::spawn(self.clone().campaign());
        tokio::spawn(self.clone().keep_connection());
    }

    /// The time since this process started.
    pub fn now(&self) -> Millis {
        self.node.now()
    }

    /// The cell's part of one of the project's topics in the store. Cells beyond the parts of one
    /// topic have the next one.
    pub fn partition<'a>(&self, topic: &'a mut String) -> Partition<'a> {
        let parts = self.node.settings.partitions.max(1);
        if self.cell >= parts {
            topic.push_str(&(self.cell / parts).to_string());
        }
        Partition { topic, index: self.cell % parts }
    }

    /// The owner here, if it is that of an epoch.
    pub fn local_owner_in(&self, epoch: u64) -> Option<Arc<Owner>> {
        self.owner.borrow().clone().filter(|owner| owner.epoch() == epoch && !owner.has_ended())
    }

    /// The owner here, if this entry is it.
    pub fn local_owner(&self) -> Option<Arc<Owner>> {
        self.owner.borrow().clone().filter(|owner| !owner.has_ended())
    }

    /// Whether this entry is the owner by the last claim that was read, and in this epoch.
    pub fn is_leader(&self, epoch: u64) -> bool {
        let election = lock(&self.election);
        election.is_mine() && election.leader().is_some_and(|leader| leader.epoch == epoch)
    }

    /// Whether this entry owned the cell in an epoch and does so no more.
    pub fn has_ended_epoch(&self, epoch: u64) -> bool {
        self.ended_epoch.load(Ordering::Relaxed) >= epoch
    }

    /// Whether the cell's owner can be asked and takes new jobs.
    pub fn accepts_jobs(&self) -> bool {
        let owned = self.owner.borrow().as_ref().is_some_and(|owner| owner.is_serving());
        let linked = self
            .connection
            .borrow()
            .as_ref()
            .is_some_and(|connection| connection.accepts_jobs(self.now()));
        owned || linked
    }

    /// The cell as one that a job of a service could go to; `None`: it takes none, or has said nothing
    /// lately.
    pub fn choice(&self, service: &str) -> Option<Choice> {
        let loads = lock(&self.loads);
        let (at, loads) = &*loads;
        let is_fresh = self.now().since(*at) < LOAD_MAX_AGE;
        let load = loads.iter().find(|load| *load.service == *service)?;
        let choice = Choice { cell: self.cell, share: load.share };
        (is_fresh && self.accepts_jobs()).then_some(choice)
    }

    /// Counts work that was just sent to the cell, in thousandths of its processors, until its owner
    /// speaks again.
    pub fn add_load(&self, service: &str, share: u32) {
        let mut loads = lock(&self.loads);
        if let Some(load) = loads.1.iter_mut().find(|load| *load.service == *service) {
            load.share = load.share.saturating_add(share);
        }
    }

    /// Follows the claims, or leaves them unread. At home and as the owner they are always followed.
    pub fn set_follows_claims(&self, wanted: bool) {
        let wanted = wanted || self.is_home;
        self.follows_claims.send_if_modified(|follows_claims| {
            let changed = *follows_claims != wanted;
            if changed && wanted {
                // What was written meanwhile was not read: error counts from here on.
                lock(&self.election).resume(self.now());
            }
            *follows_claims = wanted;
            changed
        });
    }

    /// Asks whoever owns the cell, again if the owner changes, until an answer or `deadline`.
    pub async fn request(
        &self,
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
            let answered =
                tokio::time::timeout(remaining.duration(), self.request_once(message.clone()))
                    .await;
            match answered {
                Ok(Ok(OwnerMessage::Refused(
                    RefusalReason::NotOwner | RefusalReason::UnknownQueue,
                ))) => {}
                Ok(Ok(OwnerMessage::InDoubt) | Err(ConnectionError::Broken)) => {
                    error = RequestError::Unknown
                }
                Ok(Ok(message)) => return Ok(message),
                Ok(Err(ConnectionError::Unsent))
                    if error == RequestError::Unsent
                        && (self.now() >= send_until || self.node.is_log_lost()) =>
                {
                    return Err(error);
                }
                Ok(Err(ConnectionError::Unsent)) => {}
                Err(_) => return Err(RequestError::Unknown),
            }
            tokio::time::sleep(REQUEST_RETRY_DELAY.duration()).await;
        }
    }

    async fn request_once(&self, message: EntryMessage) -> Result<OwnerMessage, ConnectionError> {
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

    /// As [`OwnerConnection::check_owner`]; an owner that does not answer is suspected of being lost.
    async fn check_owner(
        &self,
        connection: &OwnerConnection,
        job: JobKey,
    ) -> Result<(), ConnectionError> {
        let checked = connection.check_owner(job).await;
        if checked.is_err() {
            self.set_follows_claims(true);
        }
        checked
    }

    /// What this entry tells a new owner of the time before.
    pub fn log_history(&self) -> Word {
        let is_steady = lock(&self.node.history).is_steady(self.now());
        Word { is_steady, entries: self.entry_count.load(Ordering::Relaxed) }
    }

    /// The name under which other entries know this one.
    pub fn entry_name(&self) -> &Name {
        &self.node.id.name
    }
}
