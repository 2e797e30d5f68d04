//! The open connections of clients, and which of them gives way.
//!
//! A connection gives way to others if the entry waits for it: one on which no request has come
//! yet goes first, then one that is idle after a request. Within each group it is the one that has
//! been waited for the longest. A request is always answered.

use crate::clock::Millis;
use std::collections::BTreeMap;

/// How long the entry waits for a client before its connection may be closed for another one.
pub const MIN_WAIT: Millis = Millis(250);

/// Identifies a connection of a client to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(u64);

/// What a connection is waiting for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The client has to send the header of a request, or to read an answer.
    Waiting(Millis),
    /// The entry has to answer.
    Answering,
}

/// How readily a connection is closed for others, the first ones first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Priority {
    NoRequest,
    Idle,
}

#[derive(Debug)]
struct Client {
    phase: Phase,
    /// A request on the connection was answered.
    was_served: bool,
    /// It was told to give way.
    is_leaving: bool,
}

impl Client {
    fn new(now: Millis) -> Self {
        Self { phase: Phase::Waiting(now), was_served: false, is_leaving: false }
    }

    /// How readily the connection is closed for another one, and since when the entry has waited
    /// for it. `None` if it is not closed.
    fn priority(&self, now: Millis) -> Option<(Priority, Millis)> {
        match self.phase {
            _ if self.is_leaving => None,
            Phase::Waiting(since) if now.since(since) < MIN_WAIT => None,
            Phase::Waiting(since) if self.was_served => Some((Priority::Idle, since)),
            Phase::Waiting(since) => Some((Priority::NoRequest, since)),
            Phase::Answering => None,
        }
    }
}

/// Whether there is room for another connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Room<T> {
    /// There is, and it has been taken.
    Granted(T),
    /// There will be once this client, which must be told, has given way.
    Evict(ClientId),
    /// There may be soon: a client is giving way, or none has been waited for long enough.
    Later,
}

/// The connections to one listener.
#[derive(Debug, Default)]
pub struct ClientTable {
    clients: BTreeMap<ClientId, Client>,
    last_id: u64,
}

impl ClientTable {
    /// The number of open connections.
    pub fn len(&self) -> usize {
        self.clients.len()
    }

    /// Whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    /// Adds a connection if there are fewer than `max`.
    pub fn admit(&mut self, now: Millis, max: usize) -> Room<ClientId> {
        if self.clients.len() < max {
            self.last_id += 1;
            let id = ClientId(self.last_id);
            self.clients.insert(id, Client::new(now));
            return Room::Granted(id);
        }
        if self.clients.values().any(|client| client.is_leaving) {
            return Room::Later;
        }
        match self.evict(now) {
            Some(id) => Room::Evict(id),
            None => Room::Later,
        }
    }

    /// Chooses one of the clients that the entry waits for.
    fn evict(&mut self, now: Millis) -> Option<ClientId> {
        let waiting =
            self.clients.iter().filter_map(|(id, client)| Some((client.priority(now)?, *id)));
        let (_, id) = waiting.min()?;
        self.clients.get_mut(&id)?.is_leaving = true;
        Some(id)
    }

    /// Whether the header of a request has arrived from a client, and there is no answer yet.
    pub fn has_request(&self, id: ClientId) -> bool {
        let phase = self.clients.get(&id).map(|client| client.phase);
        matches!(phase, Some(Phase::Answering))
    }

    /// Notes that a request of a client is complete.
    pub fn begin_answer(&mut self, id: ClientId) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.phase = Phase::Answering;
        }
    }

    /// Notes that there is an answer for a client.
    pub fn end_answer(&mut self, now: Millis, id: ClientId) {
        if let Some(client) = self.clients.get_mut(&id) {
            (client.phase, client.was_served) = (Phase::Waiting(now), true);
        }
    }

    /// Removes a connection that was closed.
    pub fn remove(&mut self, id: ClientId) {
        self.clients.remove(&id);
    }
}
