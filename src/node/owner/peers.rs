//! The connections of the other entries to this owner, and what is sent to them unasked.

use crate::cell::owner::connections::{Addition, ConnectionNumber, Removal};
use crate::cell::owner::log_reports::LogReport;
use crate::id::Name;
use crate::node::frame::{FrameSender, encode};
use crate::node::lock;
use crate::node::msg::OwnerMessage;
use crate::node::owner::Owner;
use std::convert::Infallible;
use std::sync::Arc;
use tokio::sync::oneshot;

/// An open connection of another entry.
#[derive(Debug)]
pub(super) struct Peer {
    frames: FrameSender,
    /// The cell is the home of the entry.
    is_home: bool,
    /// Ends the task that serves the connection when it is dropped.
    _open: oneshot::Sender<Infallible>,
}

/// The content of the greeting of an entry.
#[derive(Debug, Clone, Copy)]
pub(in crate::node) struct Greeting {
    /// The processors of the entry, in thousandths of one.
    pub cpu: u32,
    /// The cell is the home of the entry.
    pub is_home: bool,
    /// The report of the entry about the time before this epoch.
    pub history: LogReport,
}

/// Keeps a connection registered at the owner. Dropping it removes the connection, so that this
/// happens in whichever way the connection's task ends.
#[derive(Debug)]
pub(in crate::node) struct Registration {
    owner: Arc<Owner>,
    entry: Name,
    number: ConnectionNumber,
    closed: oneshot::Receiver<Infallible>,
}

impl Registration {
    /// Waits until the owner closes the connection.
    pub async fn closed(&mut self) {
        let Err(_) = (&mut self.closed).await;
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.owner.remove_peer(&self.entry, self.number);
    }
}

impl Owner {
    /// Registers a connection of another entry for as long as the returned value lives.
    pub fn register_peer(
        self: &Arc<Self>,
        entry: &Name,
        number: ConnectionNumber,
        greeting: Greeting,
        frames: FrameSender,
    ) -> Registration {
        let Greeting { cpu, is_home, history } = greeting;
        let (open, closed) = oneshot::channel();
        let mut peers = lock(&self.peers);
        let added = peers.add(entry, number, Peer { frames, is_home, _open: open });
        let Addition { is_newest, is_used, open } = added;
        log::info!(
            "event=entry-connected cell={} entry={entry} epoch={} connection={number} open={open} used={is_used}",
            self.view.cell,
            self.epoch
        );
        self.expect_peers(history.peers);
        // An older greeting tells what held before the newest one was sent.
        if is_newest {
            // The cell is transferred only to entries whose home it is.
            let cpu = if is_home { cpu } else { 0 };
            let mut authority = lock(&self.authority);
            authority.add_peer(self.node.now(), entry, cpu);
            if !authority.names(entry) {
                self.view.heartbeat_wake.notify_one();
            }
            drop(authority);
            self.add_log_history(entry, history);
        }
        if is_used {
            self.restart_advice_client(entry, is_home);
        }
        drop(peers);
        self.schedule_wake.notify_one();
        Registration { owner: self.clone(), entry: entry.clone(), number, closed }
    }

    /// Removes a connection of an entry, if it is still registered. The entry itself is removed with
    /// its last connection.
    fn remove_peer(&self, entry: &Name, number: ConnectionNumber) {
        let mut peers = lock(&self.peers);
        let Some(Removal { was_used, used, open }) = peers.remove(entry, number) else { return };
        let (cell, epoch) = (self.view.cell, self.epoch);
        log::info!(
            "event=entry-disconnected cell={cell} entry={entry} epoch={epoch} connection={number} open={open} used={}",
            used.map_or_else(|| "none".to_string(), |used| used.to_string())
        );
        match peers.used(entry) {
            None => lock(&self.cell).remove_entry(entry),
            // Messages sent on the removed connection are lost.
            Some((_, peer)) if was_used => self.restart_advice_client(entry, peer.is_home),
            Some(_) => {}
        }
        drop(peers);
        self.schedule_wake.notify_one();
    }

    /// Has advice requests for an entry sent on another connection than before.
    fn restart_advice_client(&self, entry: &Name, is_home: bool) {
        if self.node.adviser.is_some() {
            lock(&self.cell).add_entry(entry.clone(), is_home);
        }
    }

    /// Whether a connection is the one that is used for sending to its entry.
    pub(super) fn is_used(&self, entry: &Name, number: ConnectionNumber) -> bool {
        lock(&self.peers).used(entry).is_some_and(|(used, _)| used == number)
    }

    /// The number of other entries with an open connection.
    pub(super) fn connected_entries(&self) -> usize {
        lock(&self.peers).connected().count()
    }

    /// Queues a message for an entry. Returns whether that worked: if not, the connection is closed,
    /// so that the entry opens another one.
    pub(super) fn send_to(&self, entry: &Name, message: &OwnerMessage) -> bool {
        let frame = match encode(0, message.clone()) {
            Ok(frame) => frame,
            Err(err) => {
                log::error!("event=message-encoding-failed entry={entry} error={err:?}");
                return false;
            }
        };
        let used =
            lock(&self.peers).used(entry).map(|(number, peer)| (number, peer.frames.clone()));
        let Some((number, frames)) = used else { return false };
        let Err(err) = frames.try_send(frame) else { return true };
        log::info!("event=message-not-queued entry={entry} connection={number} error={err}");
        self.remove_peer(entry, number);
        false
    }

    /// Sends a message to all connected entries.
    pub(super) fn broadcast(&self, message: &OwnerMessage) {
        let entries: Vec<Name> = lock(&self.peers).connected().cloned().collect();
        for entry in entries {
            if !self.send_to(&entry, message) {
                log::info!("event=broadcast-not-sent entry={entry} message={message:?}");
            }
        }
    }
}
