//! The clients that are connected to a listener, each with a handle that belongs to its connection.

use crate::clients::limits::{ClientLimits, FREE_BYTES, ListenerKind};
use crate::clients::table::{ClientId, ClientTable, Room};
use crate::clock::Millis;
use crate::node::{Node, lock};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use tokio::sync::{Notify, watch};

/// Time between two attempts to find room, if no client leaves before.
const RETRY_DELAY: Millis = Millis(20);
/// How long a request waits for memory until it is refused.
const MEMORY_TIMEOUT: Millis = Millis(200);

/// The clients that are connected to a listener.
#[derive(Debug)]
pub(super) struct Clients {
    node: Arc<Node>,
    kind: ListenerKind,
    limits: ClientLimits,
    table: Mutex<ClientTable>,
    /// Tells a client that it is evicted.
    evictions: Mutex<HashMap<ClientId, watch::Sender<bool>>>,
    /// Wakes those that wait for room.
    room_made: Notify,
}

/// A connected client, until this is dropped.
#[derive(Debug)]
pub(super) struct Client {
    clients: Arc<Clients>,
    id: ClientId,
    evicted: watch::Receiver<bool>,
}

/// A request of a client, until it is answered and this is dropped.
#[derive(Debug)]
pub(super) struct OpenRequest<'a>(&'a Client);

impl Clients {
    /// Creates the clients of a listener, none of which is connected.
    pub fn new(node: Arc<Node>, kind: ListenerKind) -> Arc<Self> {
        let limits = node.settings.client_limits();
        Arc::new(Self {
            node,
            kind,
            limits,
            table: Mutex::default(),
            evictions: Mutex::default(),
            room_made: Notify::new(),
        })
    }

    /// Adds a client. Waits until there is room for its connection, which the eviction of another
    /// client may make.
    pub async fn connect(self: &Arc<Self>) -> Arc<Client> {
        loop {
            let max = self.limits.connections(self.kind);
            let room = lock(&self.table).admit(self.node.now(), max);
            match room {
                Room::Granted(id) => return Arc::new(self.client(id)),
                Room::Evict(id) => self.evict(id, "connections"),
                Room::Later | Room::Exhausted => {}
            }
            self.wait_for_room().await;
        }
    }

    fn client(self: &Arc<Self>, id: ClientId) -> Client {
        let (evict, evicted) = watch::channel(false);
        lock(&self.evictions).insert(id, evict);
        self.update_metrics();
        Client { clients: self.clone(), id, evicted }
    }

    /// Tells a client that it is evicted.
    fn evict(&self, id: ClientId, why: &'static str) {
        self.node.metrics.evicted_clients.with_label_values(&[why]).inc();
        if let Some(evict) = lock(&self.evictions).get(&id) {
            log::debug!("event=client-evicted why={why} client={id:?}");
            evict.send_replace(true);
        }
    }

    async fn wait_for_room(&self) {
        let made = self.room_made.notified();
        if tokio::time::timeout(RETRY_DELAY.duration(), made).await.is_err() {
            log::trace!("event=no-room-yet kind={:?}", self.kind);
        }
    }

    fn update_metrics(&self) {
        if self.kind == ListenerKind::Callers {
            let table = lock(&self.table);
            self.node.metrics.set_clients(table.len(), table.held());
        }
    }
}

impl Client {
    /// The entry that the client is connected to.
    pub fn node(&self) -> &Arc<Node> {
        &self.clients.node
    }

    /// Notes that the client has sent a request, until the answer is ready.
    pub fn open_request(&self) -> OpenRequest<'_> {
        lock(&self.clients.table).begin_answer(self.id);
        OpenRequest(self)
    }

    /// Notes that bytes have arrived on the connection. Returns whether it may stay open.
    pub fn record_read(&self, bytes: usize) -> bool {
        let header = lock(&self.clients.table).record_header(self.id, bytes);
        header <= FREE_BYTES || self.reserve_buffer()
    }

    /// Counts the buffers of the connection toward the common budget, because a header is large or
    /// an answer is not read. Returns whether there is enough.
    pub fn reserve_buffer(&self) -> bool {
        let clients = &self.clients;
        let (now, max) = (clients.node.now(), clients.limits.request_bytes());
        let bytes = ClientLimits::buffer_bytes(clients.node.policy().limits.header_bytes);
        let room = lock(&clients.table).buffer(now, self.id, bytes, max);
        match room {
            Room::Granted(()) => true,
            Room::Evict(id) => {
                clients.evict(id, "memory");
                true
            }
            Room::Later | Room::Exhausted => {
                log::debug!("event=connection-closed why=memory client={:?}", self.id);
                false
            }
        }
    }

    /// Notes that bytes of a body have arrived. The first call, with no bytes, begins the body.
    pub fn record_body(&self, bytes: usize) {
        lock(&self.clients.table).record_body(self.clients.node.now(), self.id, bytes);
    }

    /// Notes that a body is complete.
    pub fn end_body(&self) {
        lock(&self.clients.table).begin_answer(self.id);
    }

    /// Lets the client's request hold `bytes` more memory. Waits a short time for others to make
    /// room. Returns whether there is enough.
    pub async fn reserve(&self, bytes: u64) -> bool {
        let clients = &self.clients;
        let (started, max) = (clients.node.now(), clients.limits.request_bytes());
        while clients.node.now().since(started) < MEMORY_TIMEOUT {
            let room = lock(&clients.table).reserve(clients.node.now(), self.id, bytes, max);
            match room {
                Room::Granted(()) => {
                    clients.update_metrics();
                    return true;
                }
                Room::Evict(id) => clients.evict(id, "memory"),
                Room::Later => {}
                Room::Exhausted => return false,
            }
            clients.wait_for_room().await;
        }
        false
    }

    /// Takes back the memory that the client's request holds.
    pub fn release(&self) {
        lock(&self.clients.table).release(self.id);
        self.clients.room_made.notify_waiters();
    }

    /// Whether the client has sent at least the header of a request that is not answered.
    pub fn has_request(&self) -> bool {
        lock(&self.clients.table).has_request(self.id)
    }

    /// Whether the client has sent a whole request that is not answered.
    pub fn is_complete(&self) -> bool {
        lock(&self.clients.table).is_complete(self.id)
    }

    /// Waits until the client is evicted.
    pub async fn evicted(&self) {
        if self.evicted.clone().wait_for(|evicted| *evicted).await.is_err() {
            // The sender is dropped only with the client.
            std::future::pending::<()>().await;
        }
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        let Client { clients, id, .. } = self.0;
        lock(&clients.table).end_answer(clients.node.now(), *id);
        clients.room_made.notify_waiters();
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        lock(&self.clients.table).remove(self.id);
        lock(&self.clients.evictions).remove(&self.id);
        self.clients.update_metrics();
        self.clients.room_made.notify_waiters();
    }
}
