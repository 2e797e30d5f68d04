//! The connection from an entry to the owner of a cell, on the side of the entry and on that of the
//! owner.

use crate::cell::owner::connections::ConnectionNumber;
use crate::cell::owner::contact::Contact;
use crate::cell::owner::election::Leader;
use crate::clock::Millis;
use crate::id::Name;
use crate::node::advice_calls::AdviceCall;
use crate::node::frame::{FrameReader, FrameSender, IDLE_TIMEOUT, encode, write_frames};
use crate::node::msg::{EntryMessage, Frame, OwnerMessage, RefusalReason};
use crate::node::owner::Owner;
use crate::node::owner::peers::Greeting;
use crate::node::owner_connection::{CloseGuard, OwnerConnection};
use crate::node::view::CellView;
use crate::node::{Node, lock};
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Time between two pings to the owner of the home cell. A connection without any answer is closed
/// after [`IDLE_TIMEOUT`].
const PING_INTERVAL: Millis = Millis(150);
/// The most time beyond [`PING_INTERVAL`] between two pings from one owner to another: the answers
/// tell owners the loads of each other's cells.
const MAX_OWNER_PING_DELAY: Millis = Millis(450);
/// Timeout of opening a connection: a hundred times the latency between failure domains.
const CONNECT_TIMEOUT: Millis = Millis(300);
/// Delay before a failed connection is retried.
const RETRY_DELAY: Millis = Millis(60);
/// The id of answers to pings. No request has it.
const PONG_ID: u64 = u64::MAX;
/// The most frames that may wait to be written. A peer that reads too slowly for that loses its
/// connection.
const QUEUE_CAPACITY: usize = 4_096;

impl CellView {
    /// Keeps a connection to the current owner of the cell, if that is another entry.
    pub(super) async fn keep_connection(self: Arc<Self>) {
        let mut leaders = self.leader.subscribe();
        loop {
            let leader = leaders.borrow_and_update().clone();
            let other = leader.filter(|leader| leader.owner != self.node.id);
            let Some(leader) = other else {
                if leaders.changed().await.is_err() {
                    return;
                }
                continue;
            };
            tokio::select! {
                () = self.connect_to(&leader) => tokio::time::sleep(RETRY_DELAY.duration()).await,
                changed = leaders.changed() => match changed {
                    Ok(()) => {}
                    Err(_) => return,
                },
            }
            self.connection.send_replace(None);
            self.lose_owner();
        }
    }

    /// Connects to an owner and serves the connection until it ends.
    async fn connect_to(self: &Arc<Self>, leader: &Leader) {
        let connecting = TcpStream::connect(&*leader.addr);
        let stream = match tokio::time::timeout(CONNECT_TIMEOUT.duration(), connecting).await {
            Err(_) => return self.record_contact(leader, Contact::Silent),
            Ok(Err(err)) => {
                log::debug!("event=owner-unreachable owner={} error={err:?}", leader.owner);
                return self.record_contact(leader, Contact::Refused);
            }
            Ok(Ok(stream)) => stream,
        };
        if let Err(err) = self.run_connection(stream, leader).await {
            log::info!(
                "event=owner-connection-lost owner={} epoch={} error={err:?}",
                leader.owner,
                leader.epoch
            );
        }
    }

    /// Notes what an attempt to connect to an owner showed.
    fn record_contact(&self, leader: &Leader, contact: Contact) {
        if lock(&self.election).record_contact(leader.epoch, contact) {
            log::info!("event=owner-gone owner={} epoch={}", leader.owner, leader.epoch);
        }
        if contact.proves_end() {
            self.claim_wake.notify_one();
        }
    }

    /// Sends the greeting, then reads, writes and pings until the connection ends.
    async fn run_connection(
        self: &Arc<Self>,
        stream: TcpStream,
        leader: &Leader,
    ) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (read_half, write_half) = stream.into_split();
        let (sender, queue) = mpsc::channel(QUEUE_CAPACITY);
        let connection = Arc::new(OwnerConnection {
            frames: sender.clone(),
            waiting: Mutex::default(),
            next_id: AtomicU64::new(0),
            received_at: AtomicU64::new(self.now().0),
            accepts_jobs: AtomicBool::new(true),
            is_closed: AtomicBool::new(false),
            ping_delay: self.extra_ping_delay(),
        });
        let (entry, cpu) = (self.entry_name().clone(), self.node.settings.millicores);
        let (cell, epoch) = (self.cell, leader.epoch);
        let (is_home, history) = (self.is_home, self.log_history());
        let hello = EntryMessage::Hello { entry, cell, epoch, cpu, is_home, history };
        sender.try_send(encode(0, hello)?).map_err(io::Error::other)?;
        let _closer = CloseGuard(connection.clone());
        let frames = FrameReader::new(
            read_half,
            IDLE_TIMEOUT + connection.ping_delay + connection.ping_delay,
        );
        let reader = self.read_owner_messages(frames, connection.clone(), leader);
        tokio::select! {
            result = write_frames(write_half, queue) => result,
            result = reader => result,
            result = self.ping(&connection) => result,
        }
    }

    /// Handles what the owner sends until the connection ends.
    async fn read_owner_messages(
        self: &Arc<Self>,
        mut frames: FrameReader,
        connection: Arc<OwnerConnection>,
        leader: &Leader,
    ) -> io::Result<()> {
        while let Some(frame) = frames.next::<OwnerMessage>().await? {
            connection.received_at.store(self.now().0, Ordering::Relaxed);
            self.set_follows_claims(false);
            match frame {
                Frame { id: 0, body: OwnerMessage::Ack } => {
                    // The owner has accepted the greeting and serves requests.
                    log::info!(
                        "event=owner-connected cell={} owner={} epoch={}",
                        self.cell,
                        leader.owner,
                        leader.epoch
                    );
                    self.connection.send_replace(Some(connection.clone()));
                }
                Frame { id: 0, body: OwnerMessage::Refused(_) } => {
                    self.record_contact(leader, Contact::OtherProcess);
                    tokio::time::sleep(RETRY_DELAY.duration()).await;
                    return Ok(());
                }
                Frame { id: 0, body: OwnerMessage::ProbeLog } => {
                    let (node, sender) = (self.node.clone(), connection.frames.clone());
                    tokio::spawn(async move {
                        let readable = node.probe_log().await;
                        let sent = encode(0, EntryMessage::LogProbed { readable })
                            .map(|frame| sender.try_send(frame));
                        if !matches!(sent, Ok(Ok(()))) {
                            log::info!("event=log-probe-result-not-sent readable={readable}");
                        }
                    });
                }
                Frame { id: 0, body: OwnerMessage::SteppedDown { epoch } } => {
                    log::info!("event=owner-stepped-down owner={} epoch={epoch}", leader.owner);
                    lock(&self.election).record_step_down(epoch);
                    self.claim_wake.notify_one();
                }
                Frame { id: 0, body: OwnerMessage::AskAdvice { step, workers, cost } } => {
                    let connection = Some(connection.clone());
                    self.request_advice(AdviceCall { step, workers, cost, connection });
                }
                Frame { id: PONG_ID, body } => {
                    let OwnerMessage::Pong { accepts_jobs, loads, entry_count } = body else {
                        continue;
                    };
                    self.entry_count.store(entry_count, Ordering::Relaxed);
                    connection.accepts_jobs.store(accepts_jobs, Ordering::Relaxed);
                    *lock(&self.loads) = (self.now(), loads);
                }
                frame => connection.resolve(frame),
            }
        }
        Ok(())
    }

    /// The time beyond [`PING_INTERVAL`] between two pings to the owner of a cell that is not the
    /// home cell. It grows with the number of cells, so that an owner receives some 200 pings a
    /// second however many entries and cells there are.
    fn extra_ping_delay(&self) -> Millis {
        match self.is_home {
            true => Millis(0),
            false => Millis(PING_INTERVAL.0 * u64::from(self.cell_count.saturating_sub(1))),
        }
    }

    /// Pings the owner. While the owner may be lost or the log cannot be read, pings are as
    /// frequent as in the home cell: without a readable log the owner depends on what this entry
    /// tells it, and if the owner is lost this entry needs another one soon.
    async fn ping(&self, connection: &OwnerConnection) -> io::Result<()> {
        let mut follows_claims = self.follows_claims.subscribe();
        loop {
            tokio::time::sleep(PING_INTERVAL.duration()).await;
            let log_readable = !self.node.is_log_unreadable();
            if log_readable && !*follows_claims.borrow_and_update() {
                let pause = match self.node.is_owner() {
                    true => connection.ping_delay.min(MAX_OWNER_PING_DELAY),
                    false => connection.ping_delay,
                };
                tokio::select! {
                    () = tokio::time::sleep(pause.duration()) => {}
                    changed = follows_claims.changed() => changed.map_err(io::Error::other)?,
                }
            }
            let log_readable = !self.node.is_log_unreadable();
            if !log_readable {
                lock(&self.node.history).record_loss(self.now());
            }
            connection
                .frames
                .try_send(encode(0, EntryMessage::Ping { log_readable })?)
                .map_err(io::Error::other)?;
            let received_at = Millis(connection.received_at.load(Ordering::Relaxed));
            if *follows_claims.borrow()
                && !self.is_home
                && self.now().since(received_at) >= IDLE_TIMEOUT + connection.ping_delay
            {
                return Err(io::Error::other("the owner does not answer pings"));
            }
        }
    }
}

impl Node {
    /// Reads the platform's log and returns whether that worked.
    async fn probe_log(&self) -> bool {
        let home = self.cells().and_then(|cells| cells.home().cloned());
        match home {
            Some(home) => home.probe_log().await,
            None => false,
        }
    }

    /// Accepts connections of other entries.
    pub(super) async fn serve_peers(self: Arc<Self>, listener: tokio::net::TcpListener) {
        let mut number: ConnectionNumber = 0;
        loop {
            match listener.accept().await {
                Ok((stream, from)) => {
                    number += 1;
                    let node = self.clone();
                    tokio::spawn(async move {
                        if let Err(err) = node.serve_peer(stream, number).await {
                            log::debug!(
                                "event=peer-connection-lost from={from} connection={number} error={err:?}"
                            );
                        }
                    });
                }
                Err(err) => {
                    log::warn!("event=accept-failed at=peer error={err:?}");
                    tokio::time::sleep(RETRY_DELAY.duration()).await;
                }
            }
        }
    }

    /// Serves the connection of another entry until it ends.
    async fn serve_peer(
        self: Arc<Self>,
        stream: TcpStream,
        number: ConnectionNumber,
    ) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (read_half, write_half) = stream.into_split();
        let (sender, queue) = mpsc::channel(QUEUE_CAPACITY);
        let writer = write_frames(write_half, queue);
        let reader =
            self.serve_entry(FrameReader::for_greeting(read_half, IDLE_TIMEOUT), sender, number);
        tokio::select! {
            result = writer => result,
            result = reader => result,
        }
    }

    /// Reads the greeting of an entry, then serves its requests if this process owns the cell.
    async fn serve_entry(
        self: &Arc<Self>,
        mut frames: FrameReader,
        sender: FrameSender,
        number: ConnectionNumber,
    ) -> io::Result<()> {
        let Some(Frame {
            body: EntryMessage::Hello { entry, cell, epoch, cpu, is_home, history },
            ..
        }) = frames.next().await?
        else {
            return Ok(());
        };
        frames.accept_requests();
        let cells = self.cells();
        let view = cells.as_ref().and_then(|cells| cells.get(cell));
        let owner = match view {
            Some(view) => view.wait_for_owner(epoch).await,
            None => None,
        };
        let (Some(view), Some(owner)) = (view, owner) else {
            let refused = OwnerMessage::Refused(RefusalReason::NotOwner);
            sender.try_send(encode(0, refused)?).map_err(io::Error::other)?;
            // Leaves time to write the refusal before the connection is closed.
            tokio::time::sleep(RETRY_DELAY.duration()).await;
            return Ok(());
        };
        sender.try_send(encode(0, OwnerMessage::Ack)?).map_err(io::Error::other)?;
        if !is_home {
            frames.set_idle_timeout(
                Millis(PING_INTERVAL.0 * u64::from(view.cell_count)) + IDLE_TIMEOUT,
            );
        }
        let greeting = Greeting { cpu, is_home, history };
        let mut registration = owner.register_peer(&entry, number, greeting, sender.clone());
        tokio::select! {
            result = self.serve_requests(&owner, &entry, number, &mut frames, &sender) => result,
            () = registration.closed() => Err(io::Error::other("the entry reads too slowly")),
        }
    }

    /// Answers the messages of an entry until its connection or the ownership ends.
    async fn serve_requests(
        self: &Arc<Self>,
        owner: &Arc<Owner>,
        entry: &Name,
        number: ConnectionNumber,
        frames: &mut FrameReader,
        sender: &FrameSender,
    ) -> io::Result<()> {
        while let Some(Frame { id, body }) = frames.next::<EntryMessage>().await? {
            if owner.has_ended() {
                return Ok(());
            }
            match body {
                EntryMessage::Ping { log_readable } => {
                    owner.handle_ping(entry, number, log_readable);
                    let (accepts_jobs, entry_count) = (owner.is_serving(), owner.entry_count());
                    let pong =
                        OwnerMessage::Pong { accepts_jobs, loads: owner.loads(), entry_count };
                    sender.try_send(encode(PONG_ID, pong)?).map_err(io::Error::other)?;
                }
                EntryMessage::LogProbed { readable } => owner.handle_log_probe(entry, readable),
                body => {
                    let Some(held) = owner.hold_submission(&body) else {
                        let refused = OwnerMessage::Refused(RefusalReason::Overload);
                        sender.try_send(encode(id, refused)?).map_err(io::Error::other)?;
                        continue;
                    };
                    let (owner, entry, sender) = (owner.clone(), entry.clone(), sender.clone());
                    tokio::spawn(async move {
                        let _held = held;
                        let message = owner.handle_request(&entry, body).await;
                        let sent = encode(id, message).map(|frame| sender.try_send(frame));
                        if !matches!(sent, Ok(Ok(()))) {
                            log::info!("event=answer-not-sent entry={entry}");
                        }
                    });
                }
            }
        }
        Ok(())
    }
}

impl CellView {
    /// Waits until this process has taken over the cell in an epoch. Returns `None` if it will not
    /// be the owner in that epoch.
    async fn wait_for_owner(&self, epoch: u64) -> Option<Arc<Owner>> {
        let mut owners = self.owner.subscribe();
        let mut leaders = self.leader.subscribe();
        loop {
            owners.borrow_and_update();
            leaders.borrow_and_update();
            if let Some(owner) = self.local_owner_in(epoch) {
                return Some(owner);
            }
            let is_claimed =
                lock(&self.election).leader().is_some_and(|leader| leader.epoch >= epoch);
            if is_claimed && !self.is_leader(epoch) {
                return None;
            }
            tokio::select! {
                changed = owners.changed() => changed.ok()?,
                changed = leaders.changed() => changed.ok()?,
                () = tokio::time::sleep(IDLE_TIMEOUT.duration()) => {}
            }
        }
    }
}
