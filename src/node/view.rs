//! What an entry knows of one cell, and its part in it.

use crate::cell::owner::balance::{Candidate, ServiceLoad};
use crate::cell::owner::election::{Election, Leader};
use crate::cell::owner::log_reports::LogReport;
use crate::clock::Millis;
use crate::id::Name;
use crate::node::link::{Link, LinkError};
use crate::node::msg::{Ask, Refused, Tell};
use crate::node::owner::Owner;
use crate::node::{Node, lock};
use crate::platform::store::Part;
use crate::workload::JobKey;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::sync::{Notify, watch};

/// A question that could not be sent for this long is refused, so that its caller tries another
/// entry: a takeover mostly takes less.
const PATIENCE: Millis = Millis(1_500);
/// What an owner said of its cell's load is good for so long: three of its words.
const LOAD_FRESH: Millis = Millis(2_000);
/// Time between attempts to ask.
const OWNER_PAUSE: Millis = Millis(25);

/// Why a question to the owner got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AskError {
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
pub(super) struct View {
    pub node: Arc<Node>,
    /// The number of the cell, from 0.
    pub cell: u32,
    /// How many cells there are.
    pub cells: u32,
    /// This entry belongs to the cell.
    pub is_home: bool,
    pub election: Mutex<Election>,
    pub leader: watch::Sender<Option<Leader>>,
    /// The owner may have to be replaced.
    pub recheck: Notify,
    pub link: watch::Sender<Option<Arc<Link>>>,
    pub owner: watch::Sender<Option<Arc<Owner>>>,
    /// The last epoch that this entry owned and gave up or lost.
    pub given_up: AtomicU64,
    /// What the cell has to do, as its owner last said, and when.
    pub loads: Mutex<(Millis, Vec<ServiceLoad>)>,
    /// How many other entries the last owner counted; 0: none was heard.
    pub entries: AtomicU32,
    /// The claims on the cell are followed.
    pub watched: watch::Sender<bool>,
}

impl View {
    /// Nothing is known of the cell yet.
    pub fn new(node: Arc<Node>, cell: u32, cells: u32, is_home: bool) -> Self {
        let election = Election::new(node.me.clone(), node.settings.cpu, node.now());
        Self {
            node,
            cell,
            cells,
            is_home,
            election: Mutex::new(election),
            leader: watch::channel(None).0,
            recheck: Notify::new(),
            link: watch::channel(None).0,
            owner: watch::channel(None).0,
            given_up: AtomicU64::new(0),
            loads: Mutex::default(),
            entries: AtomicU32::new(0),
            watched: watch::channel(true).0,
        }
    }

    /// Follows the cell for as long as the process lives.
    pub fn follow(self: &Arc<Self>) {
        tokio::spawn(self.clone().follow_claims());
        tokio::spawn(self.clone().campaign());
        tokio::spawn(self.clone().keep_link());
    }

    /// The time since this process started.
    pub fn now(&self) -> Millis {
        self.node.now()
    }

    /// The cell's part of one of the project's topics in the store. Cells beyond the parts of one
    /// topic have the next one.
    pub fn part<'a>(&self, topic: &'a mut String) -> Part<'a> {
        let parts = self.node.settings.parts.max(1);
        if self.cell >= parts {
            topic.push_str(&(self.cell / parts).to_string());
        }
        Part { topic, part: self.cell % parts }
    }

    /// The owner here, if it is that of an epoch.
    pub fn owner_of(&self, epoch: u64) -> Option<Arc<Owner>> {
        self.owner.borrow().clone().filter(|owner| owner.epoch() == epoch && !owner.is_over())
    }

    /// The owner here, if this entry is it.
    pub fn living_owner(&self) -> Option<Arc<Owner>> {
        self.owner.borrow().clone().filter(|owner| !owner.is_over())
    }

    /// Whether this entry is the owner by the last claim that was read, and in this epoch.
    pub fn is_leader(&self, epoch: u64) -> bool {
        let election = lock(&self.election);
        election.is_owner() && election.leader().is_some_and(|leader| leader.epoch == epoch)
    }

    /// Whether this entry owned the cell in an epoch and does so no more.
    pub fn has_given_up(&self, epoch: u64) -> bool {
        self.given_up.load(Ordering::Relaxed) >= epoch
    }

    /// Whether the cell's owner can be asked and takes new jobs.
    pub fn accepts(&self) -> bool {
        let owned = self.owner.borrow().as_ref().is_some_and(|owner| owner.is_sure());
        let linked = self.link.borrow().as_ref().is_some_and(|link| link.accepts(self.now()));
        owned || linked
    }

    /// The cell as one that a job of a service could go to; `None`: it takes none, or has said nothing
    /// lately.
    pub fn choice(&self, service: &str) -> Option<Candidate> {
        let loads = lock(&self.loads);
        let (at, loads) = &*loads;
        let is_fresh = self.now().since(*at) < LOAD_FRESH;
        let load = loads.iter().find(|load| *load.service == *service)?;
        let choice = Candidate { cell: self.cell, utilization: load.utilization };
        (is_fresh && self.accepts()).then_some(choice)
    }

    /// Counts work that was just sent to the cell, in thousandths of its processors, until its owner
    /// speaks again.
    pub fn add_load(&self, service: &str, share: u32) {
        let mut loads = lock(&self.loads);
        if let Some(load) = loads.1.iter_mut().find(|load| *load.service == *service) {
            load.utilization = load.utilization.saturating_add(share);
        }
    }

    /// Follows the claims, or leaves them unread. At home and as the owner they are always followed.
    pub fn watch_claims(&self, wanted: bool) {
        let wanted = wanted || self.is_home;
        self.watched.send_if_modified(|watched| {
            let changed = *watched != wanted;
            if changed && wanted {
                // What was written meanwhile was not read: silence counts from here on.
                lock(&self.election).resume_reading(self.now());
            }
            *watched = wanted;
            changed
        });
    }

    /// Asks whoever owns the cell, again if the owner changes, until an answer or `until`.
    pub async fn ask(&self, ask: Ask, until: Millis) -> Result<Tell, AskError> {
        let mut silence = AskError::Unsent;
        let patient = self.now() + PATIENCE;
        loop {
            let left = until - self.now();
            if left == Millis(0) {
                return Err(silence);
            }
            let answered = tokio::time::timeout(left.duration(), self.ask_once(ask.clone())).await;
            match answered {
                Ok(Ok(Tell::Refused(Refused::NotOwner | Refused::NoQueue))) => {}
                Ok(Ok(Tell::InDoubt) | Err(LinkError::Broken)) => silence = AskError::Unknown,
                Ok(Ok(tell)) => return Ok(tell),
                Ok(Err(LinkError::Unsent))
                    if silence == AskError::Unsent
                        && (self.now() >= patient || self.node.is_log_lost()) =>
                {
                    return Err(silence);
                }
                Ok(Err(LinkError::Unsent)) => {}
                Err(_) => return Err(AskError::Unknown),
            }
            tokio::time::sleep(OWNER_PAUSE.duration()).await;
        }
    }

    async fn ask_once(&self, ask: Ask) -> Result<Tell, LinkError> {
        if let Some(owner) = self.living_owner() {
            return Ok(owner.answer(&self.node.me.name, ask).await);
        }
        let link = self.link.borrow().clone();
        match link {
            Some(link) if link.is_live(self.now()) => {
                if let Ask::Submit { job, .. } = &ask {
                    self.check(&link, *job).await?;
                }
                link.ask(ask).await
            }
            _ => Err(LinkError::Unsent),
        }
    }

    /// As [`Link::check`]; an owner that does not answer is suspected of being lost.
    async fn check(&self, link: &Link, job: JobKey) -> Result<(), LinkError> {
        let checked = link.check(job).await;
        if checked.is_err() {
            self.watch_claims(true);
        }
        checked
    }

    /// What this entry tells a new owner of the time before.
    pub fn word(&self) -> LogReport {
        let log_steady = lock(&self.node.history).is_log_steady(self.now());
        LogReport { log_steady, peers: self.entries.load(Ordering::Relaxed) }
    }

    /// The name under which other entries know this one.
    pub fn me(&self) -> &Name {
        &self.node.me.name
    }
}
