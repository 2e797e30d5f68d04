//! The open connections of clients: what they hold, and which of them is evicted.
//!
//! A connection may be evicted if the entry waits for it: one on which no request has come
//! yet goes first, then one whose body hardly arrives, then one that is idle after a request.
//! Within each group it is the one that has been waited for the longest. A complete request is
//! always answered.

use crate::clients::arrival::{Arrival, WINDOW};
use crate::clock::Millis;
use std::collections::BTreeMap;

/// Identifies a connection of a client to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(u64);

/// The state of a connection: whose turn it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The client has to send the header of a request, or to read an answer.
    Waiting(Millis),
    /// The client has to send the body of a request.
    Receiving(Arrival),
    /// The entry has to answer.
    Answering,
}

/// How readily a connection is closed for others, the first ones first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Priority {
    NoRequest,
    SlowBody,
    Idle,
}

#[derive(Debug)]
struct Client {
    phase: Phase,
    /// A request on the connection was answered.
    was_served: bool,
    /// The bytes of the current header that have arrived.
    header: usize,
    /// The bytes that the buffers of the connection hold of the common budget, until it closes.
    buffered: u64,
    /// The bytes that its request holds of the common budget, until it is answered.
    requested: u64,
    /// The client was told that it is evicted.
    is_leaving: bool,
}

impl Client {
    fn new(now: Millis) -> Self {
        Self {
            phase: Phase::Waiting(now),
            was_served: false,
            header: 0,
            buffered: 0,
            requested: 0,
            is_leaving: false,
        }
    }

    /// The bytes that it holds of the common budget.
    fn held(&self) -> u64 {
        self.buffered + self.requested
    }

    /// How readily the connection is closed for another one, and since when the entry has waited
    /// for it. `None` if it is not closed.
    fn priority(&self, now: Millis) -> Option<(Priority, Millis)> {
        match self.phase {
            _ if self.is_leaving => None,
            Phase::Waiting(since) if now.since(since) < WINDOW => None,
            Phase::Waiting(since) if self.was_served => Some((Priority::Idle, since)),
            Phase::Waiting(since) => Some((Priority::NoRequest, since)),
            Phase::Receiving(arrival) if arrival.is_slow(now) => {
                Some((Priority::SlowBody, arrival.started()))
            }
            Phase::Receiving(..) | Phase::Answering => None,
        }
    }
}

/// Whether there is room for another connection or for more bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Room<T> {
    /// The room was there, and has been taken.
    Granted(T),
    /// This client has to be told that it is evicted; its room is free once it has left.
    Evict(ClientId),
    /// Room may be free soon: a client is leaving, or none has been waited for long enough.
    Later,
    /// No room is free, and no client can be evicted.
    Exhausted,
}

/// The connections to one listener.
#[derive(Debug, Default)]
pub struct ClientTable {
    clients: BTreeMap<ClientId, Client>,
    last_id: u64,
    /// The memory that all clients hold of the common budget, in bytes.
    held: u64,
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

    /// The memory that all clients hold of the common budget, in bytes.
    pub fn held(&self) -> u64 {
        self.held
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
        match self.evict(now, |_, _| true) {
            Some(id) => Room::Evict(id),
            None => Room::Later,
        }
    }

    /// Lets the request of a client hold `bytes` more if all clients then hold at most `max`, or if
    /// no other one holds any. Otherwise another one is evicted, if the entry waits for any.
    pub fn reserve(&mut self, now: Millis, id: ClientId, bytes: u64, max: u64) -> Room<()> {
        let room = self.room_for(now, id, bytes, max);
        if room == Room::Granted(()) {
            self.held += bytes;
            if let Some(client) = self.clients.get_mut(&id) {
                client.requested += bytes;
            }
        }
        room
    }

    /// Lets the buffers of a connection hold `bytes`, until it closes, in the same way. Returns
    /// [`Room::Granted`] at once if they hold some already.
    pub fn buffer(&mut self, now: Millis, id: ClientId, bytes: u64, max: u64) -> Room<()> {
        if self.clients.get(&id).is_none_or(|client| client.buffered > 0) {
            return Room::Granted(());
        }
        let room = self.room_for(now, id, bytes, max);
        // The buffers are in use already, so these bytes count although the other client has not
        // closed its connection yet.
        if matches!(room, Room::Granted(()) | Room::Evict(_)) {
            self.held += bytes;
            if let Some(client) = self.clients.get_mut(&id) {
                client.buffered = bytes;
            }
        }
        room
    }

    fn room_for(&mut self, now: Millis, id: ClientId, bytes: u64, max: u64) -> Room<()> {
        let Some(client) = self.clients.get(&id).filter(|client| !client.is_leaving) else {
            return Room::Exhausted;
        };
        // The largest request is served if it is alone, however little memory there is.
        let is_alone = self.held == client.held();
        if is_alone || self.held.saturating_add(bytes) <= max {
            return Room::Granted(());
        }
        if self.clients.values().any(|client| client.is_leaving && client.held() > 0) {
            return Room::Later;
        }
        match self.evict(now, |other, client| other != id && client.held() > 0) {
            Some(victim) => Room::Evict(victim),
            None => Room::Exhausted,
        }
    }

    /// Chooses one of the clients that the entry waits for, among those for which `is_eligible` holds.
    fn evict(
        &mut self,
        now: Millis,
        is_eligible: impl Fn(ClientId, &Client) -> bool,
    ) -> Option<ClientId> {
        let eligible = self.clients.iter().filter(|(id, client)| is_eligible(**id, client));
        let waiting = eligible.filter_map(|(id, client)| Some((client.priority(now)?, *id)));
        let (_, id) = waiting.min()?;
        self.clients.get_mut(&id)?.is_leaving = true;
        Some(id)
    }

    /// Takes back all that the request of a client holds.
    pub fn release(&mut self, id: ClientId) {
        if let Some(client) = self.clients.get_mut(&id) {
            self.held = self.held.saturating_sub(std::mem::take(&mut client.requested));
        }
    }

    /// Notes that bytes have arrived on a connection. Returns how many there are of a header that is
    /// not complete.
    pub fn record_header(&mut self, id: ClientId, bytes: usize) -> usize {
        match self.clients.get_mut(&id) {
            Some(Client { phase: Phase::Waiting(_), header, .. }) => {
                *header += bytes;
                *header
            }
            _ => 0,
        }
    }

    /// Notes that bytes of a body have arrived. The first call, with no bytes, begins the body.
    pub fn record_body(&mut self, now: Millis, id: ClientId, bytes: usize) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        match &mut client.phase {
            Phase::Receiving(arrival) => arrival.add(now, bytes),
            phase => *phase = Phase::Receiving(Arrival::new(now)),
        }
    }

    /// Whether the header of a request has arrived from a client, and there is no answer yet.
    pub fn has_request(&self, id: ClientId) -> bool {
        let phase = self.clients.get(&id).map(|client| client.phase);
        matches!(phase, Some(Phase::Receiving(..) | Phase::Answering))
    }

    /// Whether a whole request has arrived from a client, and there is no answer yet.
    pub fn is_complete(&self, id: ClientId) -> bool {
        self.clients.get(&id).is_some_and(|client| client.phase == Phase::Answering)
    }

    /// Notes that a request of a client is complete. A client that was to be evicted stays until it is
    /// answered.
    pub fn begin_answer(&mut self, id: ClientId) {
        if let Some(client) = self.clients.get_mut(&id) {
            (client.phase, client.header, client.is_leaving) = (Phase::Answering, 0, false);
        }
    }

    /// Notes that there is an answer for a client, and takes back what its request holds.
    pub fn end_answer(&mut self, now: Millis, id: ClientId) {
        self.release(id);
        if let Some(client) = self.clients.get_mut(&id) {
            (client.phase, client.was_served) = (Phase::Waiting(now), true);
        }
    }

    /// Removes a connection that was closed.
    pub fn remove(&mut self, id: ClientId) {
        if let Some(client) = self.clients.remove(&id) {
            self.held = self.held.saturating_sub(client.held());
        }
    }
}
