//! The process around an entry's controllers: it does all I/O, turns received messages into events
//! for the controllers and their actions into messages.

mod api;
mod handover;
mod heartbeat;
mod http;
mod log;
mod metrics;
mod owner;
mod peers;
mod quota;
mod route;
mod serve;
mod slots;
mod stop;
mod view;

use crate::clock::Millis;
use crate::controller::claims::Claimant;
use crate::controller::gossip::Outbox;
use crate::controller::in_flight::InFlightStarts;
use crate::controller::list::Lists;
use crate::controller::log_state::LogState;
use crate::controller::quota::LimitPool;
use crate::controller::retry::RetryBudget;
use crate::controller::shard::Shard;
use crate::controller::shard::owner::Answer;
use crate::controller::slots::{SlotDecision, SlotLender, Slots};
use crate::id::{EntryId, Name};
use crate::platform::http::HttpClient;
use crate::server::serve;
use crate::settings::Settings;
use crate::table::Table;
use crate::trace::{EventKind, Trace};
use crate::wire::quic::{QuicTransport, WireError};
use metrics::Metrics;
use peers::Peers;
pub(crate) use slots::Slot;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{Notify, oneshot, watch};

/// Why an entry cannot run.
#[derive(Debug, Error)]
pub enum EntryError {
    /// The TCP socket for callers cannot be used.
    #[error("cannot use the HTTP socket for callers: {0}")]
    Http(#[from] io::Error),
    /// The QUIC endpoint for other entries cannot be set up.
    #[error("cannot set up the QUIC endpoint for other entries: {0}")]
    Peer(#[from] WireError),
    /// The metrics cannot be registered.
    #[error("cannot register metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// This entry's state of one shard, behind locks of its own.
#[derive(Debug)]
pub(crate) struct ShardHandle {
    pub id: Name,
    shard: Mutex<Shard>,
    lender: Mutex<SlotLender>,
    /// The amounts lent of the cell-wide limits that this shard manages.
    pool: Mutex<LimitPool>,
    /// Notified when tasks wait for quota.
    quota_wanted: Notify,
    /// Notified when the shard's state has changes to replicate.
    replication_due: Notify,
    /// Whether a search for the shard's state is under way.
    is_searching: AtomicBool,
    /// Task starts that this entry sent and that may still reach a worker, by epoch.
    flights: Mutex<InFlightStarts<u64>>,
}

impl ShardHandle {
    fn new(id: Name, me: EntryId, now: Millis) -> Self {
        Self {
            id: id.clone(),
            shard: Mutex::new(Shard::new(id, me)),
            lender: Mutex::new(SlotLender::new(now)),
            pool: Mutex::new(LimitPool::new(0)),
            quota_wanted: Notify::new(),
            replication_due: Notify::new(),
            is_searching: AtomicBool::new(false),
            flights: Mutex::default(),
        }
    }

    pub fn shard(&self) -> MutexGuard<'_, Shard> {
        lock(&self.shard)
    }

    pub fn flights(&self) -> MutexGuard<'_, InFlightStarts<u64>> {
        lock(&self.flights)
    }

    pub fn pool(&self) -> MutexGuard<'_, LimitPool> {
        lock(&self.pool)
    }

    pub fn lender(&self) -> MutexGuard<'_, SlotLender> {
        lock(&self.lender)
    }
}

/// An entry: a process that accepts requests and jobs and owns shards of its failure domain.
#[derive(Debug)]
pub struct Entry {
    pub(crate) settings: Settings,
    pub(crate) me: EntryId,
    pub(crate) trace: Arc<Trace>,
    pub(crate) http: HttpClient,
    pub(crate) quic: Arc<QuicTransport>,
    pub(crate) metrics: Metrics,
    fold: Mutex<LogState>,
    table: RwLock<Arc<Table>>,
    vm_lists: Mutex<Lists>,
    peers: Mutex<Peers>,
    outbox: Mutex<Outbox>,
    claimant: Mutex<Claimant>,
    shards: RwLock<BTreeMap<Name, Arc<ShardHandle>>>,
    slots: Mutex<Slots>,
    retry_budget: Mutex<RetryBudget>,
    slot_waiters: Mutex<HashMap<u64, oneshot::Sender<SlotDecision>>>,
    pending_replies: Mutex<HashMap<u64, oneshot::Sender<Answer>>>,
    counter: AtomicU64,
    writer: log::Writer,
    /// Notified when the peers should get a heartbeat at once, for instance after a new table.
    state_changed: Notify,
    /// The offset of the next log record to read.
    next_offset: watch::Sender<u64>,
    stopping: AtomicBool,
    stopped: watch::Sender<bool>,
    open_requests: AtomicUsize,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Entry {
    /// Binds the sockets of an entry and starts its log writer.
    ///
    /// # Errors
    /// If a socket or the keys cannot be used.
    pub async fn bind(mut settings: Settings) -> Result<(Arc<Self>, TcpListener), EntryError> {
        let now = Millis::now();
        let trace = Arc::new(Trace::new(settings.name.clone()));
        let me = EntryId { name: settings.name.clone(), incarnation: now.0 };
        let listener = TcpListener::bind(settings.http).await?;
        let quic = QuicTransport::bind(
            settings.peer,
            &settings.keys,
            settings.wire_version,
            trace.clone(),
        )?;
        settings.peer = quic.addr()?;
        let domain = settings.domain.clone();
        let (writer, queue) = log::Writer::new();
        let entry = Arc::new(Self {
            peers: Mutex::new(Peers::new(&settings)),
            settings,
            me: me.clone(),
            trace,
            http: HttpClient::default(),
            quic,
            metrics: Metrics::new()?,
            fold: Mutex::new(LogState::new(domain.clone())),
            table: RwLock::default(),
            vm_lists: Mutex::default(),
            outbox: Mutex::default(),
            claimant: Mutex::new(Claimant::new(me, domain, now)),
            shards: RwLock::default(),
            slots: Mutex::default(),
            retry_budget: Mutex::default(),
            slot_waiters: Mutex::default(),
            pending_replies: Mutex::default(),
            counter: AtomicU64::new(1),
            writer,
            state_changed: Notify::new(),
            next_offset: watch::Sender::new(0),
            stopping: AtomicBool::new(false),
            stopped: watch::Sender::new(false),
            open_requests: AtomicUsize::new(0),
        });
        entry.trace.record(EventKind::ProcessStarted { role: "entry".into() });
        tokio::spawn(entry.clone().write_log(queue));
        Ok((entry, listener))
    }

    /// Serves callers and peers until `stopped` completes.
    ///
    /// # Errors
    /// If the HTTP server fails.
    pub async fn run(
        self: Arc<Self>,
        listener: TcpListener,
        stopped: impl Future<Output = ()>,
    ) -> io::Result<()> {
        let tasks = [
            tokio::spawn(self.clone().read_log()),
            tokio::spawn(self.clone().poll_vm_list()),
            tokio::spawn(self.clone().send_heartbeats()),
            tokio::spawn(self.clone().tick()),
            tokio::spawn(self.clone().sync_workers()),
            tokio::spawn(self.clone().renew_slots()),
            tokio::spawn(self.clone().serve_peers()),
        ];
        let app = http::app(self.clone());
        let result = serve(listener, app, stopped).await;
        for task in tasks {
            task.abort();
        }
        self.quic.close().await;
        result
    }

    pub(crate) fn now(&self) -> Millis {
        Millis::now()
    }

    /// A number that is unique within this incarnation of the entry.
    pub(crate) fn next_number(&self) -> u64 {
        self.counter.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn table(&self) -> Arc<Table> {
        self.table.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn set_table(&self, table: Arc<Table>) {
        *self.table.write().unwrap_or_else(PoisonError::into_inner) = table;
    }

    pub(crate) fn handle(&self, shard: &str) -> Option<Arc<ShardHandle>> {
        self.shards.read().unwrap_or_else(PoisonError::into_inner).get(shard).cloned()
    }

    pub(crate) fn shards(&self) -> Vec<Arc<ShardHandle>> {
        self.shards.read().unwrap_or_else(PoisonError::into_inner).values().cloned().collect()
    }

    /// The handle of a shard of this failure domain, created if it does not exist yet.
    fn open_shard(self: &Arc<Self>, shard: &Name) -> Arc<ShardHandle> {
        if let Some(handle) = self.handle(shard) {
            return handle;
        }
        let mut shards = self.shards.write().unwrap_or_else(PoisonError::into_inner);
        let known = shards.get(shard).cloned();
        known.unwrap_or_else(|| {
            let handle = Arc::new(ShardHandle::new(shard.clone(), self.me.clone(), self.now()));
            shards.insert(shard.clone(), handle.clone());
            tokio::spawn(self.clone().replicate(handle.clone()));
            tokio::spawn(self.clone().request_quota(handle.clone()));
            handle
        })
    }

    /// Credits a request to the retry budget.
    pub(crate) fn deposit_retry(&self) {
        lock(&self.retry_budget).deposit();
    }

    /// Takes one retry from the budget; `false` if it is used up.
    pub(crate) fn withdraw_retry(&self) -> bool {
        let granted = lock(&self.retry_budget).withdraw();
        self.metrics.retries.inc_by(granted as u64);
        granted
    }

    /// Whether a planned stop of this entry has begun.
    pub(crate) fn stop_requested(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Whether an incarnation of an entry has ended for good.
    pub(crate) fn is_gone(&self, id: &EntryId) -> bool {
        let newer = lock(&self.peers).incarnation(&id.name).is_some_and(|inc| inc > id.incarnation);
        let own = id.name == self.me.name && id.incarnation < self.me.incarnation;
        newer || own || lock(&self.vm_lists).is_gone(&id.name)
    }
}
