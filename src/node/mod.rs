//! One entry on the platform: the tasks, timers and sockets around the decisions in `cell`.

mod cells;
mod claims;
mod connection;
mod frame;
mod http_server;
mod job_call;
mod metrics;
mod msg;
mod owner;
mod policy;
mod stop;
mod view;

use crate::cell::owner::witness::History;
use crate::clock::{Clock, Millis};
use crate::id::{EntryId, Name};
use crate::order::ClearedWorkers;
use crate::platform::advice::AdviceClient;
use crate::platform::config::Policy;
use crate::platform::http::HttpClient;
use crate::platform::settings::Settings;
use crate::platform::store::StoreClient;
use crate::workload::StepKey;
use cells::Cells;
use metrics::Metrics;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// How long runs go on without a renewal: longer than a takeover and a restart of the owner
/// together, short enough that tasks of a lost worker start elsewhere within seconds.
const RUN_LEASE: Millis = Millis(6_000);
/// How much longer than reckoned an answer of the advice service may take.
const ADVICE_MARGIN: Millis = Millis(700);
/// Time between attempts after a failure of the store: 25 times its usual answer.
const STORE_RETRY_DELAY: Millis = Millis(100);

/// Why an entry cannot serve.
#[derive(Debug, Error)]
pub enum NodeError {
    /// An address cannot be listened on.
    #[error("cannot listen on {0}: {1}")]
    Listen(Name, std::io::Error),
    /// The metrics have a fault.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// An entry.
#[derive(Debug)]
pub struct Node {
    id: EntryId,
    settings: Settings,
    clock: Clock,
    http: HttpClient,
    store: StoreClient,
    adviser: Option<AdviceClient>,
    metrics: Metrics,
    policy: watch::Sender<Arc<Policy>>,
    /// When the policy was last known to be the operators' newest.
    policy_read_at: Mutex<Millis>,
    /// The cells; `None`: it is not known yet how workers are dealt to them.
    cells: watch::Sender<Option<Arc<Cells>>>,
    stopping: AtomicBool,
    /// What this process told owners of the log.
    history: Mutex<History>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn listen(addr: &Name) -> Result<TcpListener, NodeError> {
    let fail = |err| NodeError::Listen(addr.clone(), err);
    let parsed: SocketAddr = addr.parse().map_err(|err| fail(std::io::Error::other(err)))?;
    let socket = tokio::net::TcpSocket::new_v4().map_err(fail)?;
    socket.set_reuseaddr(true).map_err(fail)?;
    socket.bind(parsed).map_err(fail)?;
    // The backlog holds a burst of callers while the processor is not ours.
    socket.listen(512).map_err(fail)
}

impl Node {
    /// Serves until a planned stop is done; `stop` begins one.
    ///
    /// # Errors
    /// See [`NodeError`].
    pub async fn run(settings: Settings, stop: watch::Receiver<bool>) -> Result<(), NodeError> {
        let id = EntryId { name: settings.name.clone(), incarnation: Millis::now().0 };
        let http = HttpClient::default();
        let clock = Clock::default();
        let node = Arc::new(Self {
            history: Mutex::new(History::new(clock.now())),
            store: StoreClient::new(http.clone(), settings.store_addr.clone()),
            adviser: settings.advice_addr.clone().map(|addr| AdviceClient::new(http.clone(), addr)),
            metrics: Metrics::new()?,
            policy: watch::channel(Arc::new(Policy::default())).0,
            policy_read_at: Mutex::default(),
            cells: watch::channel(None).0,
            stopping: AtomicBool::new(false),
            clock,
            http,
            id,
            settings,
        });
        node.serve(stop).await
    }

    async fn serve(self: Arc<Self>, stop: watch::Receiver<bool>) -> Result<(), NodeError> {
        let front = listen(&self.settings.front_addr).await?;
        let ready = listen(&self.settings.ready_addr).await?;
        let peer = listen(&self.settings.peer_addr).await?;
        let metrics = listen(&self.settings.metrics_addr).await?;
        log::info!(
            "event=up entry={} domain={} front={} store={}",
            self.id,
            self.settings.domain,
            self.settings.front_addr,
            self.settings.store_addr
        );
        let (close, closed) = watch::channel(false);
        let (stay_open, open) = watch::channel(false);
        tokio::spawn(http_server::serve(front, self.clone(), closed, http_server::handle_job_call));
        tokio::spawn(http_server::serve(
            ready,
            self.clone(),
            open.clone(),
            http_server::handle_ready,
        ));
        tokio::spawn(http_server::serve(metrics, self.clone(), open, http_server::handle_metrics));
        tokio::spawn(self.clone().serve_peers(peer));
        tokio::spawn(self.clone().follow_policy());
        tokio::spawn(self.clone().discover_cells());
        self.shut_down_on_signal(stop, close).await;
        drop(stay_open);
        log::info!("event=down entry={}", self.id);
        Ok(())
    }

    /// The time since this process started.
    fn now(&self) -> Millis {
        self.clock.now()
    }

    fn lease(&self) -> Millis {
        RUN_LEASE.min(self.settings.max_lease)
    }

    fn policy(&self) -> Arc<Policy> {
        self.policy.borrow().clone()
    }

    /// How long ago the policy was known to be the operators' newest.
    fn policy_age(&self) -> Millis {
        self.now().since(*lock(&self.policy_read_at))
    }

    fn cells(&self) -> Option<Arc<Cells>> {
        self.cells.borrow().clone()
    }

    /// Whether new callers may come: there is a policy, and owners that can be asked.
    fn is_ready(&self) -> bool {
        let stopping = self.stopping.load(Ordering::Relaxed);
        let accepts = self.cells.borrow().as_ref().is_some_and(|cells| cells.accept_jobs());
        !stopping && self.policy.borrow().version > 0 && accepts
    }

    /// Whether this entry owns a cell.
    fn is_owner(&self) -> bool {
        let cells = self.cells();
        cells.is_some_and(|cells| cells.views.iter().any(|view| view.local_owner().is_some()))
    }

    /// Whether waiting for an owner is of no use: the log cannot be read, so nobody can claim.
    fn is_log_lost(&self) -> bool {
        let home = self.cells().and_then(|cells| cells.home().cloned());
        home.is_none_or(|home| !lock(&home.election).is_fresh(self.now()))
    }

    /// Asks the advice service for the owner.
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
