//! The connection from an entry to the owner of the cell, and the owner's side of it.

use crate::cell::owner::election::Leader;
use crate::clock::Millis;
use crate::id::Name;
use crate::node::frame::{Frames, Out, SILENT, encode, write};
use crate::node::msg::{Ask, Frame, Refused, Tell};
use crate::node::owner::Owner;
use crate::node::view::View;
use crate::node::{Node, lock};
use crate::workload::JobKey;
use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};

/// Time between two pings. A silent connection is given up after [`SILENT`].
const PING: Millis = Millis(150);
/// The most time beyond [`PING`] between two pings from one owner to another: they tell each other what
/// their cells have to do.
const OWNERS_PAUSE: Millis = Millis(450);
/// After this time without a frame nothing new is sent: a caller whose request may have been sent
/// and is not answered cannot be told that it was not run.
const STALE: Millis = Millis(350);
/// The longest wait for the answer to a question that changes nothing: 40 times the way to another
/// failure domain and back, as long as an owner whose processor is shared may stand still.
const CHECK: Millis = Millis(80);
/// The most time for opening a connection: a hundred times the way between failure domains.
const CONNECT: Millis = Millis(300);
/// Time between attempts to reach an owner.
const RETRY: Millis = Millis(60);
/// The number of answers to pings, which no question has.
const PONG: u64 = u64::MAX;
/// Frames that may wait to be written; a slower peer loses its connection.
const QUEUE: usize = 4_096;

/// An open connection to an owner.
#[derive(Debug)]
pub(super) struct Link {
    out: Out,
    waiting: Mutex<HashMap<u64, oneshot::Sender<Tell>>>,
    next: AtomicU64,
    /// When the last frame came, in milliseconds.
    heard: AtomicU64,
    /// The owner takes new jobs, by its last answer to a ping.
    accepts: AtomicBool,
    is_closed: AtomicBool,
    /// The time between two pings beyond [`PING`].
    pause: Millis,
}

/// Why a question got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LinkError {
    /// It was not sent.
    Unsent,
    /// It may have reached the owner.
    Broken,
}

impl Link {
    /// Whether the owner was heard a moment ago.
    pub fn is_live(&self, now: Millis) -> bool {
        now.since(Millis(self.heard.load(Ordering::Relaxed))) < STALE + self.pause
    }

    /// Whether the owner was heard a moment ago and takes new jobs. An entry beside an owner that a
    /// cut keeps from the store would be ready, and refuse its callers until the cut heals instead of having them
    /// sent to other failure domains.
    pub fn accepts(&self, now: Millis) -> bool {
        self.is_live(now) && self.accepts.load(Ordering::Relaxed)
    }

    /// Asks and waits for the answer.
    ///
    /// # Errors
    /// [`LinkError::Unsent`] only if surely nothing was sent.
    pub async fn ask(&self, ask: Ask) -> Result<Tell, LinkError> {
        let no = self.next.fetch_add(1, Ordering::Relaxed) + 1;
        let frame = encode(no, ask).map_err(|err| {
            log::error!("event=message-not-encoded error={err:?}");
            LinkError::Unsent
        })?;
        let (tx, rx) = oneshot::channel();
        lock(&self.waiting).insert(no, tx);
        if self.is_closed.load(Ordering::Relaxed) {
            lock(&self.waiting).remove(&no);
            return Err(LinkError::Unsent);
        }
        if let Err(err) = self.out.try_send(frame) {
            // The owner reads too slowly or is gone: nothing left, so the question may be repeated.
            log::info!("event=question-not-sent no={no} error={err}");
            lock(&self.waiting).remove(&no);
            return Err(LinkError::Unsent);
        }
        rx.await.map_err(|_| {
            log::debug!("event=question-unanswered no={no}");
            LinkError::Broken
        })
    }

    /// Asks for the state of a job that is to be submitted. Only an owner that answers is sent the
    /// job: behind a cut its caller can still be told truthfully that it was not run. Else each
    /// cut of a failure domain leaves jobs in doubt, whose callers do not come back.
    ///
    /// # Errors
    /// [`LinkError::Unsent`]: there was no answer, and the job was not sent.
    pub async fn check(&self, job: JobKey) -> Result<(), LinkError> {
        let state = self.ask(Ask::State { job, workspace: None });
        match tokio::time::timeout(CHECK.duration(), state).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(_)) | Err(_) => {
                log::debug!("event=owner-silent job={job}");
                Err(LinkError::Unsent)
            }
        }
    }

    fn answer(&self, frame: Frame<Tell>) {
        if let Some(waiter) = lock(&self.waiting).remove(&frame.no) {
            if waiter.send(frame.body).is_err() {
                // Its caller went away, and does not read the answer.
                log::debug!("event=answer-unread no={}", frame.no);
            }
        }
    }
}

/// Ends all questions of a connection when it is over, also when its task is dropped because
/// another entry owns the cell: they are asked again there.
struct CloseGuard(Arc<Link>);

impl Drop for CloseGuard {
    fn drop(&mut self) {
        self.0.is_closed.store(true, Ordering::Relaxed);
        lock(&self.0.waiting).clear();
    }
}

impl View {
    /// Keeps a connection to whoever owns the cell.
    pub(super) async fn keep_link(self: Arc<Self>) {
        let mut leaders = self.leader.subscribe();
        loop {
            let leader = leaders.borrow_and_update().clone();
            let other = leader.filter(|leader| leader.owner != self.node.me);
            let Some(leader) = other else {
                if leaders.changed().await.is_err() {
                    return;
                }
                continue;
            };
            tokio::select! {
                () = self.link_to(&leader) => tokio::time::sleep(RETRY.duration()).await,
                changed = leaders.changed() => match changed {
                    Ok(()) => {}
                    Err(_) => return,
                },
            }
            self.link.send_replace(None);
            self.watch_claims(true);
        }
    }

    /// Connects to an owner and stays until the connection ends.
    async fn link_to(self: &Arc<Self>, leader: &Leader) {
        let connect = TcpStream::connect(&*leader.addr);
        let stream = match tokio::time::timeout(CONNECT.duration(), connect).await {
            Err(_) => return,
            Ok(Err(err)) => {
                log::debug!("event=owner-unreachable owner={} error={err:?}", leader.owner);
                if err.kind() == io::ErrorKind::ConnectionRefused {
                    lock(&self.election).record_absence(leader.epoch);
                    self.recheck.notify_one();
                }
                return;
            }
            Ok(Ok(stream)) => stream,
        };
        if let Err(err) = self.speak(stream, leader).await {
            log::info!(
                "event=owner-lost owner={} epoch={} error={err:?}",
                leader.owner,
                leader.epoch
            );
        }
    }

    async fn speak(self: &Arc<Self>, stream: TcpStream, leader: &Leader) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (read, half) = stream.into_split();
        let (out, frames) = mpsc::channel(QUEUE);
        let link = Arc::new(Link {
            out: out.clone(),
            waiting: Mutex::default(),
            next: AtomicU64::new(0),
            heard: AtomicU64::new(self.now().0),
            accepts: AtomicBool::new(true),
            is_closed: AtomicBool::new(false),
            pause: self.ping_pause(),
        });
        let (entry, cpu) = (self.me().clone(), self.node.settings.cpu);
        let (cell, epoch) = (self.cell, leader.epoch);
        let (is_home, word) = (self.is_home, self.word());
        let hello = Ask::Hello { entry, cell, epoch, cpu, is_home, word };
        out.try_send(encode(0, hello)?).map_err(io::Error::other)?;
        let _closer = CloseGuard(link.clone());
        let frames_in = Frames::new(read, SILENT + link.pause + link.pause);
        let read = self.read_tells(frames_in, link.clone(), leader);
        tokio::select! {
            result = write(half, frames) => result,
            result = read => result,
            result = self.ping(&link) => result,
        }
    }

    async fn read_tells(
        self: &Arc<Self>,
        mut frames: Frames,
        link: Arc<Link>,
        leader: &Leader,
    ) -> io::Result<()> {
        while let Some(frame) = frames.next::<Tell>().await? {
            link.heard.store(self.now().0, Ordering::Relaxed);
            self.watch_claims(false);
            match frame {
                Frame { no: 0, body: Tell::Done } => {
                    // The owner greets: it is at work.
                    log::info!(
                        "event=owner-found cell={} owner={} epoch={}",
                        self.cell,
                        leader.owner,
                        leader.epoch
                    );
                    self.link.send_replace(Some(link.clone()));
                }
                Frame { no: 0, body: Tell::Refused(_) } => {
                    lock(&self.election).record_absence(leader.epoch);
                    self.recheck.notify_one();
                    tokio::time::sleep(RETRY.duration()).await;
                    return Ok(());
                }
                Frame { no: 0, body: Tell::Probe } => {
                    let (node, out) = (self.node.clone(), link.out.clone());
                    tokio::spawn(async move {
                        let able = node.probe_log().await;
                        let sent = encode(0, Ask::Probed { able }).map(|frame| out.try_send(frame));
                        if !matches!(sent, Ok(Ok(()))) {
                            log::info!("event=probe-lost able={able}");
                        }
                    });
                }
                Frame { no: 0, body: Tell::SteppedDown { epoch } } => {
                    log::info!("event=owner-stepped-down owner={} epoch={epoch}", leader.owner);
                    lock(&self.election).record_step_down(epoch);
                    self.recheck.notify_one();
                }
                Frame { no: 0, body: Tell::Question { step, workers, cost } } => {
                    let (node, link) = (self.node.clone(), link.clone());
                    tokio::spawn(async move {
                        let answer = node.advise(step, &workers, cost).await;
                        let told = link.ask(Ask::Advised { step, named: workers, answer }).await;
                        if let Err(err) = told {
                            log::info!("event=advice-lost step={step} error={err:?}");
                        }
                    });
                }
                Frame { no: PONG, body } => {
                    let Tell::Pong { accepts, loads, entries } = body else { continue };
                    self.entries.store(entries, Ordering::Relaxed);
                    link.accepts.store(accepts, Ordering::Relaxed);
                    *lock(&self.loads) = (self.now(), loads);
                }
                frame => link.answer(frame),
            }
        }
        Ok(())
    }

    /// How much more time than at home passes between two pings to the owner of another cell: so an
    /// owner hears some 200 pings a second however many entries and cells there are.
    fn ping_pause(&self) -> Millis {
        match self.is_home {
            true => Millis(0),
            false => Millis(PING.0 * u64::from(self.cells.saturating_sub(1))),
        }
    }

    /// Pings the owner. While it is suspected of being lost, or the store cannot be read, that is done
    /// as often as at home: then the owner needs this entry's word, or this entry another owner.
    async fn ping(&self, link: &Link) -> io::Result<()> {
        let mut watched = self.watched.subscribe();
        loop {
            tokio::time::sleep(PING.duration()).await;
            let store = !self.node.is_log_lost();
            if store && !*watched.borrow_and_update() {
                let pause = match self.node.is_owner() {
                    true => link.pause.min(OWNERS_PAUSE),
                    false => link.pause,
                };
                tokio::select! {
                    () = tokio::time::sleep(pause.duration()) => {}
                    changed = watched.changed() => changed.map_err(io::Error::other)?,
                }
            }
            let store = !self.node.is_log_lost();
            if !store {
                lock(&self.node.history).record_loss(self.now());
            }
            link.out.try_send(encode(0, Ask::Ping { store })?).map_err(io::Error::other)?;
            let heard = Millis(link.heard.load(Ordering::Relaxed));
            if *watched.borrow() && !self.is_home && self.now().since(heard) >= SILENT + link.pause
            {
                return Err(io::Error::other("the owner is silent"));
            }
        }
    }
}

impl Node {
    /// Whether the platform's log can be read now.
    async fn probe_log(&self) -> bool {
        let home = self.cells().and_then(|cells| cells.home().cloned());
        match home {
            Some(home) => home.probe_log().await,
            None => false,
        }
    }

    /// Takes connections of other entries.
    pub(super) async fn serve_peers(self: Arc<Self>, listener: tokio::net::TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, from)) => {
                    let node = self.clone();
                    tokio::spawn(async move {
                        if let Err(err) = node.serve_peer(stream).await {
                            log::debug!("event=peer-lost from={from} error={err:?}");
                        }
                    });
                }
                Err(err) => {
                    log::warn!("event=accept-failed at=peer error={err:?}");
                    tokio::time::sleep(RETRY.duration()).await;
                }
            }
        }
    }

    async fn serve_peer(self: Arc<Self>, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (read, half) = stream.into_split();
        let (out, queue) = mpsc::channel(QUEUE);
        let writer = write(half, queue);
        let reader = self.read_asks(Frames::new(read, SILENT), out);
        tokio::select! {
            result = writer => result,
            result = reader => result,
        }
    }

    async fn read_asks(self: &Arc<Self>, mut frames: Frames, out: Out) -> io::Result<()> {
        let Some(Frame { body: Ask::Hello { entry, cell, epoch, cpu, is_home, word }, .. }) =
            frames.next().await?
        else {
            return Ok(());
        };
        let cells = self.cells();
        let view = cells.as_ref().and_then(|cells| cells.get(cell));
        let owner = match view {
            Some(view) => view.await_owner(epoch).await,
            None => None,
        };
        let (Some(view), Some(owner)) = (view, owner) else {
            let refused = Tell::Refused(Refused::NotOwner);
            out.try_send(encode(0, refused)?).map_err(io::Error::other)?;
            // The refusal has to leave before the connection closes.
            tokio::time::sleep(RETRY.duration()).await;
            return Ok(());
        };
        out.try_send(encode(0, Tell::Done)?).map_err(io::Error::other)?;
        if !is_home {
            frames.wait_longer(Millis(PING.0 * u64::from(view.cells)) + SILENT);
        }
        owner.join(entry.clone(), cpu, is_home, out.clone());
        owner.hear_word(&entry, word);
        let result = self.answer_all(&owner, &entry, &mut frames, &out).await;
        owner.leave(&entry, &out);
        result
    }

    async fn answer_all(
        self: &Arc<Self>,
        owner: &Arc<Owner>,
        entry: &Name,
        frames: &mut Frames,
        out: &Out,
    ) -> io::Result<()> {
        while let Some(Frame { no, body }) = frames.next::<Ask>().await? {
            if owner.is_over() {
                return Ok(());
            }
            match body {
                Ask::Ping { store } => {
                    owner.pinged(entry, store);
                    let (accepts, entries) = (owner.is_sure(), owner.entries());
                    let pong = Tell::Pong { accepts, loads: owner.loads(), entries };
                    out.try_send(encode(PONG, pong)?).map_err(io::Error::other)?;
                }
                Ask::Probed { able } => owner.probed(entry, able),
                body => {
                    let (owner, entry, out) = (owner.clone(), entry.clone(), out.clone());
                    tokio::spawn(async move {
                        let tell = owner.answer(&entry, body).await;
                        let sent = encode(no, tell).map(|frame| out.try_send(frame));
                        if !matches!(sent, Ok(Ok(()))) {
                            log::info!("event=answer-lost entry={entry}");
                        }
                    });
                }
            }
        }
        Ok(())
    }
}

impl View {
    /// The owner of an epoch, once it has taken over; `None`: this process will not be it.
    async fn await_owner(&self, epoch: u64) -> Option<Arc<Owner>> {
        let mut owners = self.owner.subscribe();
        let mut leaders = self.leader.subscribe();
        loop {
            owners.borrow_and_update();
            leaders.borrow_and_update();
            if let Some(owner) = self.owner_of(epoch) {
                return Some(owner);
            }
            let later = lock(&self.election).leader().is_some_and(|leader| leader.epoch >= epoch);
            if later && !self.is_leader(epoch) {
                return None;
            }
            tokio::select! {
                changed = owners.changed() => changed.ok()?,
                changed = leaders.changed() => changed.ok()?,
                () = tokio::time::sleep(SILENT.duration()) => {}
            }
        }
    }
}
