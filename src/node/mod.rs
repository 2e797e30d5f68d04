//! An entry, one process of the scheduler on the platform: the tasks, timers and sockets around the
//! decisions that are made in [`crate::cell`].

mod advice_calls;
mod body;
mod cells;
mod claims;
mod clients;
mod connection;
mod frame;
mod http_server;
mod job_call;
mod metrics;
mod msg;
mod owner;
mod owner_connection;
mod owners;
mod pages;
mod policy;
mod stop;
mod stream;
mod view;

use crate::cell::owner::log_reports::LogHistory;
use crate::cell::workers::shared_list::SharedList;
use crate::clients::limits::{ListenerKind, RECEIVE_BUFFER};
use crate::clock::{Clock, Millis};
use crate::id::{EntryId, Name, hash};
use crate::order::ClearedWorkers;
use crate::platform::advice::AdviceClient;
use crate::platform::config::Policy;
use crate::platform::http::HttpClient;
use crate::platform::settings::Settings;
use crate::platform::store::StoreClient;
use crate::workload::StepKey;
use cells::Cells;
use clients::Clients;
use metrics::Metrics;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// How long runs go on without a renewal of their lease. It is longer than a takeover and a restart
/// of the owner together, and short enough that tasks of a lost worker start elsewhere within
/// seconds.
const RUN_LEASE: Millis = Millis(6_000);
/// How much longer than expected an answer of the advice service may take.
const ADVICE_MARGIN: Millis = Millis(700);
/// Delay before a failed call to the store is retried: 25 times the usual time of an answer.
const STORE_RETRY_DELAY: Millis = Millis(100);

/// Why an entry cannot start.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The entry cannot listen on an address.
    #[error("cannot listen on {0}: {1}")]
    Listen(Name, std::io::Error),
    /// The metrics cannot be registered.
    #[error("cannot register the metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// An entry and what its tasks share.
#[derive(Debug)]
pub struct Node {
    id: EntryId,
    settings: Settings,
    clock: Clock,
    store: StoreClient,
    adviser: Option<AdviceClient>,
    metrics: Metrics,
    policy: watch::Sender<Arc<Policy>>,
    /// When the policy was last known to be the newest one.
    policy_read_at: Mutex<Millis>,
    /// The failure domains that the operators drain.
    drained_domains: watch::Sender<Arc<BTreeSet<Name>>>,
    /// The cells. `None` until the map that assigns workers to them is loaded.
    cells: watch::Sender<Option<Arc<Cells>>>,
    /// The list of all workers, if this entry reads it for the owners of all cells. Each reading
    /// publishes it anew.
    worker_list: watch::Sender<Option<Arc<SharedList>>>,
    /// A planned stop has begun.
    stopping: AtomicBool,
    /// When this process last told an owner that the log cannot be read.
    history: Mutex<LogHistory>,
}

/// Locks a mutex, also one that is poisoned.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Listens on an address. `receive_buffer`: the receive buffer of each connection in bytes, if it is
/// limited.
fn listen(addr: &Name, receive_buffer: Option<u32>) -> Result<TcpListener, NodeError> {
    let fail = |err| NodeError::Listen(addr.clone(), err);
    let parsed: SocketAddr = addr.parse().map_err(|err| fail(std::io::Error::other(err)))?;
    let socket = tokio::net::TcpSocket::new_v4().map_err(fail)?;
    socket.set_reuseaddr(true).map_err(fail)?;
    if let Some(bytes) = receive_buffer {
        socket.set_recv_buffer_size(bytes).map_err(fail)?;
    }
    socket.bind(parsed).map_err(fail)?;
    // The backlog holds a burst of callers while this process gets no processor time.
    socket.listen(512).map_err(fail)
}

impl Node {
    /// Runs an entry until a planned stop, which `stop` begins, is done.
    ///
    /// # Errors
    /// See [`NodeError`].
    pub async fn run(settings: Settings, stop: watch::Receiver<bool>) -> Result<(), NodeError> {
        let id = EntryId { name: settings.name.clone(), incarnation: Millis::now().0 };
        let http = HttpClient::default();
        let clock = Clock::default();
        let node = Arc::new(Self {
            history: Mutex::new(LogHistory::new(clock.now())),
            store: StoreClient::new(http.clone(), settings.store_addr.clone()),
            adviser: settings.advice_addr.clone().map(|addr| AdviceClient::new(http, addr)),
            metrics: Metrics::new()?,
            policy: watch::channel(Arc::new(Policy::default())).0,
            policy_read_at: Mutex::default(),
            drained_domains: watch::channel(Arc::default()).0,
            cells: watch::channel(None).0,
            worker_list: watch::channel(None).0,
            stopping: AtomicBool::new(false),
            clock,
            id,
            settings,
        });
        node.serve(stop).await
    }

    /// Starts the listeners and tasks, then runs until the planned stop is done.
    async fn serve(self: Arc<Self>, stop: watch::Receiver<bool>) -> Result<(), NodeError> {
        // Bytes that have arrived and are not read count as memory.
        let buffer = self.settings.memory.map(|_| RECEIVE_BUFFER);
        let front = listen(&self.settings.front_addr, buffer)?;
        let ready = listen(&self.settings.ready_addr, buffer)?;
        let peer = listen(&self.settings.peer_addr, None)?;
        let metrics = listen(&self.settings.metrics_addr, buffer)?;
        log::info!(
            "event=entry-started entry={} domain={} front={} store={}",
            self.id,
            self.settings.domain,
            self.settings.front_addr,
            self.settings.store_addr
        );
        let (close, closed) = watch::channel(false);
        let (stay_open, open) = watch::channel(false);
        let callers = Clients::new(self.clone(), ListenerKind::Callers);
        tokio::spawn(http_server::serve(front, callers, closed, http_server::handle_job_call));
        let checkers = Clients::new(self.clone(), ListenerKind::Platform);
        tokio::spawn(http_server::serve(ready, checkers, open.clone(), http_server::handle_ready));
        let monitors = Clients::new(self.clone(), ListenerKind::Platform);
        tokio::spawn(http_server::serve(metrics, monitors, open, http_server::handle_metrics));
        tokio::spawn(self.clone().serve_peers(peer));
        tokio::spawn(self.clone().follow_policy());
        tokio::spawn(self.clone().discover_cells());
        self.shut_down_on_signal(stop, close).await;
        drop(stay_open);
        log::info!("event=entry-stopped entry={}", self.id);
        Ok(())
    }

    /// The time since this process started.
    fn now(&self) -> Millis {
        self.clock.now()
    }

    /// How long runs go on without a renewal, within the bound of the settings.
    fn lease(&self) -> Millis {
        RUN_LEASE.min(self.settings.max_lease)
    }

    /// A number that differs from entry to entry, to spread what all of them do.
    fn seed(&self) -> u64 {
        hash(&[self.id.name.as_bytes()])
    }

    /// The number of entries by what the owners of the cells told; 0 if none has.
    fn entry_count(&self) -> u32 {
        let cells = self.cells();
        let counts = cells.iter().flat_map(|cells| &cells.views);
        counts.map(|view| view.entry_count.load(Ordering::Relaxed)).max().unwrap_or(0)
    }

    fn policy(&self) -> Arc<Policy> {
        self.policy.borrow().clone()
    }

    /// The time since the policy was last known to be the newest one.
    fn policy_age(&self) -> Millis {
        self.now().since(*lock(&self.policy_read_at))
    }

    fn cells(&self) -> Option<Arc<Cells>> {
        self.cells.borrow().clone()
    }

    /// Whether new callers can be served: there is a policy, and most cells have an owner that
    /// accepts jobs.
    fn is_ready(&self) -> bool {
        let stopping = self.stopping.load(Ordering::Relaxed);
        let accepts = self.cells.borrow().as_ref().is_some_and(|cells| cells.accept_jobs());
        !stopping && self.policy.borrow().version > 0 && accepts
    }

    /// Whether this entry owns any cell.
    fn is_owner(&self) -> bool {
        let cells = self.cells();
        cells.is_some_and(|cells| cells.views.iter().any(|view| view.local_owner().is_some()))
    }

    /// Whether the log cannot be read. Nobody can claim a cell then, so waiting for an owner is
    /// useless.
    fn is_log_unreadable(&self) -> bool {
        let home = self.cells().and_then(|cells| cells.home().cloned());
        home.is_none_or(|home| !lock(&home.election).is_log_fresh(self.now()))
    }

    /// Asks the advice service about a step on behalf of an owner.
    async fn advise(
        &self,
        step: StepKey,
        workers: &[Name],
        cost: Millis,
    ) -> Option<ClearedWorkers> {
        let adviser = self.adviser.as_ref()?;
        let started = self.now();
        let timeout = cost + cost + ADVICE_MARGIN;
        match adviser.ask(step, workers, timeout).await {
            Ok(cleared) => {
                self.metrics.observe_advice(self.now().since(started));
                Some(cleared)
            }
            Err(err) => {
                log::info!("event=advice-failed step={step} error={err:?}");
                None
            }
        }
    }
}
