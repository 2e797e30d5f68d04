//! One entry on the platform: the tasks, timers and sockets around the decisions in `cell`.

mod frame;
mod front;
mod link;
mod metrics;
mod msg;
mod owner;
mod stop;
mod tail;

use crate::cell::election::{Election, Leader};
use crate::clock::Millis;
use crate::id::{EntryId, Name};
use crate::order::Cleared;
use crate::platform::advice::Adviser;
use crate::platform::config::Policy;
use crate::platform::http::Http;
use crate::platform::settings::Settings;
use crate::platform::store::Store;
use crate::workload::StepKey;
use link::{Link, LinkError};
use metrics::Metrics;
use msg::{Ask, Refused, Tell};
use owner::Owner;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// How long runs go on without a renewal: longer than a takeover and a restart of the owner
/// together, short enough that tasks of a lost worker start elsewhere within seconds.
const LEASE: Millis = Millis(6_000);
/// How much longer than reckoned an answer of the advice service may take.
const ADVICE_SPARE: Millis = Millis(700);
/// A question that could not be sent for this long is refused, so that its caller tries another
/// entry: a takeover mostly takes less.
const PATIENCE: Millis = Millis(1_500);
/// Time between attempts after a failure of the store: 25 times its usual answer.
const STORE_RETRY: Millis = Millis(100);
/// Time between attempts to ask.
const OWNER_PAUSE: Millis = Millis(25);

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
    me: EntryId,
    settings: Settings,
    started: Instant,
    http: Http,
    store: Store,
    adviser: Option<Adviser>,
    metrics: Metrics,
    policy: watch::Sender<Arc<Policy>>,
    election: Mutex<Election>,
    leader: watch::Sender<Option<Leader>>,
    /// The owner may have to be replaced.
    recheck: Notify,
    link: watch::Sender<Option<Arc<Link>>>,
    owner: watch::Sender<Option<Arc<Owner>>>,
    /// The last epoch that this entry owned and gave up or lost.
    given_up: AtomicU64,
    stopping: AtomicBool,
    /// Callers' requests in flight.
    open: AtomicUsize,
}

/// Why a question to the owner got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AskError {
    /// Surely nothing was done.
    Unsent,
    /// It may have been done.
    Unknown,
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
        let me = EntryId { name: settings.name.clone(), inc: Millis::now().0 };
        let http = Http::default();
        let node = Arc::new(Self {
            store: Store::new(http.clone(), settings.store.clone()),
            adviser: settings.advice.clone().map(|addr| Adviser::new(http.clone(), addr)),
            metrics: Metrics::new()?,
            policy: watch::channel(Arc::new(Policy::default())).0,
            election: Mutex::new(Election::new(me.clone(), settings.cpu, Millis(0))),
            leader: watch::channel(None).0,
            recheck: Notify::new(),
            link: watch::channel(None).0,
            owner: watch::channel(None).0,
            given_up: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            open: AtomicUsize::new(0),
            started: Instant::now(),
            http,
            me,
            settings,
        });
        node.serve(stop).await
    }

    async fn serve(self: Arc<Self>, stop: watch::Receiver<bool>) -> Result<(), NodeError> {
        let front = listen(&self.settings.front).await?;
        let ready = listen(&self.settings.ready).await?;
        let peer = listen(&self.settings.peer).await?;
        let metrics = listen(&self.settings.metrics).await?;
        log::info!(
            "event=up entry={} domain={} front={} store={}",
            self.me,
            self.settings.domain,
            self.settings.front,
            self.settings.store
        );
        let (close, closed) = watch::channel(false);
        let (never, open) = watch::channel(false);
        tokio::spawn(front::accept(front, self.clone(), closed, front::answer));
        tokio::spawn(front::accept(ready, self.clone(), open.clone(), front::ready));
        tokio::spawn(front::accept(metrics, self.clone(), open, front::metrics));
        tokio::spawn(self.clone().serve_peers(peer));
        tokio::spawn(self.clone().follow_policy());
        tokio::spawn(self.clone().follow_claims());
        tokio::spawn(self.clone().campaign());
        tokio::spawn(self.clone().keep_link());
        self.wait_for_stop(stop, close).await;
        drop(never);
        log::info!("event=down entry={}", self.me);
        Ok(())
    }

    /// The time since this process started.
    fn now(&self) -> Millis {
        Millis(self.started.elapsed().as_millis() as u64 + 1)
    }

    fn lease(&self) -> Millis {
        LEASE.min(self.settings.lease_max)
    }

    fn policy(&self) -> Arc<Policy> {
        self.policy.borrow().clone()
    }

    /// The owner here, if it is that of an epoch.
    fn owner_of(&self, epoch: u64) -> Option<Arc<Owner>> {
        self.owner.borrow().clone().filter(|owner| owner.epoch() == epoch && !owner.is_over())
    }

    /// Whether this entry is the owner by the last claim that was read, and in this epoch.
    fn is_leader(&self, epoch: u64) -> bool {
        let election = lock(&self.election);
        election.is_mine() && election.leader().is_some_and(|leader| leader.epoch == epoch)
    }

    /// Whether this entry owned the cell in an epoch and does so no more.
    fn has_given_up(&self, epoch: u64) -> bool {
        self.given_up.load(Ordering::Relaxed) >= epoch
    }

    /// Whether new callers may come: there is a policy, and an owner that can be asked.
    fn is_ready(&self) -> bool {
        let stopping = self.stopping.load(Ordering::Relaxed);
        let owned = self.owner.borrow().as_ref().is_some_and(|owner| owner.is_sure());
        let linked = self.link.borrow().as_ref().is_some_and(|link| link.accepts(self.now()));
        !stopping && self.policy.borrow().version > 0 && (owned || linked)
    }

    /// Asks whoever owns the cell, again if the owner changes, until an answer or `until`.
    async fn ask(&self, ask: Ask, until: Millis) -> Result<Tell, AskError> {
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
                        && (self.now() >= patient || self.is_log_lost()) =>
                {
                    return Err(silence);
                }
                Ok(Err(LinkError::Unsent)) => {}
                Err(_) => return Err(AskError::Unknown),
            }
            tokio::time::sleep(OWNER_PAUSE.duration()).await;
        }
    }

    /// Whether waiting for an owner is of no use: the log cannot be read, so nobody can claim.
    fn is_log_lost(&self) -> bool {
        !lock(&self.election).is_fresh(self.now())
    }

    async fn ask_once(&self, ask: Ask) -> Result<Tell, LinkError> {
        let owner = self.owner.borrow().clone();
        if let Some(owner) = owner.filter(|owner| !owner.is_over()) {
            return Ok(owner.answer(&self.me.name, ask).await);
        }
        let link = self.link.borrow().clone();
        match link {
            Some(link) if link.is_live(self.now()) => {
                if let Ask::Submit { job, .. } = &ask {
                    link.check(*job).await?;
                }
                link.ask(ask).await
            }
            _ => Err(LinkError::Unsent),
        }
    }

    /// Asks the advice service for the owner.
    async fn advise(&self, step: StepKey, workers: &[Name], cost: Millis) -> Option<Cleared> {
        let adviser = self.adviser.as_ref()?;
        let begun = self.now();
        let limit = cost + cost + ADVICE_SPARE;
        match adviser.ask(step, workers, limit).await {
            Ok(cleared) => {
                self.metrics.advised(self.now().since(begun));
                Some(cleared)
            }
            Err(err) => {
                log::info!("event=advice-failed step={step} error={err:?}");
                None
            }
        }
    }
}
