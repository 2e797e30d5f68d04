//! The queue of requests to the advice service, and their assignment to entries.
//!
//! The service processes one request at a time from each entry, and its time grows with the number
//! of workers in the request. Short requests must not wait behind long ones.

use crate::cell::advice::load::AdviceLoad;
use crate::clock::Millis;
use crate::id::Name;
use crate::workload::StepKey;
use std::collections::{BTreeMap, VecDeque};

/// The duration from which a request is long, which would delay the shortest jobs beyond their
/// objective.
const LONG_REQUEST: Millis = Millis(150);
/// One in this many clients, and at least one, is kept free of long requests.
const CLIENTS_PER_RESERVE: usize = 3;

/// A request is repeated if no answer has arrived this long after twice its duration. An entry
/// times out on the service after twice the duration, and its message to the owner takes some
/// milliseconds.
const ANSWER_GRACE: Millis = Millis(1_500);

/// A request to the advice service.
#[derive(Debug, Clone, PartialEq)]
pub struct AdviceRequest {
    /// The step whose tasks need workers.
    pub step: StepKey,
    /// The workers that the service is asked about.
    pub workers: Vec<Name>,
    /// The time that the service takes to answer.
    pub cost: Millis,
    /// The order of requests; lower ranks go first.
    pub rank: (u32, Millis),
    /// When the request was queued.
    pub queued_at: Millis,
}

/// Requests that wait to be sent, and the entries that can send them.
#[derive(Debug, Default)]
pub struct AdviceQueue {
    waiting: VecDeque<AdviceRequest>,
    clients: BTreeMap<Name, Client>,
}

/// An entry that can send requests to the advice service.
#[derive(Debug)]
struct Client {
    /// Whether the entry belongs to this cell.
    is_home: bool,
    /// The request that waits for an answer, if any.
    pending: Option<PendingRequest>,
}

/// A request that an entry is sending to the service.
#[derive(Debug, Clone, Copy)]
struct PendingRequest {
    step: StepKey,
    is_long: bool,
    /// The job of the step was closed or withdrawn. The entry is busy until the service answers,
    /// but the answer is not used: the same job may have been submitted again.
    is_cancelled: bool,
    /// When the request is repeated if there is no answer.
    deadline: Millis,
}

impl PendingRequest {
    /// The step that waits for the answer, unless the request was cancelled.
    fn wanted_step(self) -> Option<StepKey> {
        (!self.is_cancelled).then_some(self.step)
    }
}

impl AdviceQueue {
    /// Adds an entry. Returns the step whose request was lost with an earlier connection, if any.
    pub fn add_client(&mut self, entry: Name, is_home: bool) -> Option<StepKey> {
        let earlier = self.clients.insert(entry, Client { is_home, pending: None })?;
        earlier.pending.and_then(PendingRequest::wanted_step)
    }

    /// Removes an entry. Returns the step whose request is lost with it, if any.
    pub fn remove_client(&mut self, entry: &Name) -> Option<StepKey> {
        self.clients.remove(entry)?.pending.and_then(PendingRequest::wanted_step)
    }

    /// The state of the queue.
    pub fn load(&self, now: Millis) -> AdviceLoad {
        let busy = self.clients.values().filter(|client| client.pending.is_some()).count();
        let oldest = self.waiting.iter().map(|request| now.since(request.queued_at)).max();
        AdviceLoad {
            clients: self.clients.len(),
            busy,
            queued: self.waiting.len(),
            oldest: oldest.unwrap_or_default(),
        }
    }

    /// Adds a request to the queue, in the order of its rank.
    pub fn push(&mut self, request: AdviceRequest) {
        let index = self.waiting.partition_point(|other| other.rank <= request.rank);
        self.waiting.insert(index, request);
    }

    /// Removes the request of a step from the queue. If it was sent already, its answer will not be
    /// used.
    pub fn cancel(&mut self, step: StepKey) {
        self.waiting.retain(|request| request.step != step);
        let pending = self.clients.values_mut().filter_map(|client| client.pending.as_mut());
        for request in pending.filter(|request| request.step == step) {
            request.is_cancelled = true;
        }
    }

    /// The entry that is sending the request of a step.
    pub fn client_of(&self, step: StepKey) -> Option<&Name> {
        let sends = |client: &Client| {
            client.pending.and_then(PendingRequest::wanted_step).is_some_and(|sent| sent == step)
        };
        self.clients.iter().find(|(_, client)| sends(client)).map(|(name, _)| name)
    }

    /// Records that the request of an entry for a step was answered. Returns whether the answer may
    /// be used: not if the request was cancelled meanwhile.
    pub fn complete(&mut self, entry: &Name, step: StepKey) -> bool {
        let client = self.clients.get_mut(entry);
        let answered =
            client.and_then(|client| client.pending.take_if(|pending| pending.step == step));
        answered.is_none_or(|request| !request.is_cancelled)
    }

    /// Removes the pending requests whose answers are overdue. Returns the steps that still need
    /// one.
    pub fn take_overdue(&mut self, now: Millis) -> Vec<StepKey> {
        let overdue =
            |client: &mut Client| client.pending.take_if(|pending| now >= pending.deadline);
        let overdue = self.clients.values_mut().filter_map(overdue);
        overdue.filter_map(PendingRequest::wanted_step).collect()
    }

    /// Assigns the next request to an idle entry. Entries of other cells are used only while there
    /// is none of this cell.
    pub fn assign_next(&mut self, now: Millis) -> Option<(Name, AdviceRequest)> {
        let no_home = self.clients.values().all(|client| !client.is_home);
        let usable = || self.clients.iter().filter(|(_, client)| client.is_home || no_home);
        let count = usable().count();
        let long = usable()
            .filter_map(|(_, client)| client.pending)
            .filter(|pending| pending.is_long)
            .count();
        let reserved = (count / CLIENTS_PER_RESERVE).max(1);
        let allows_long = long + reserved < count || count == 1;
        let idle = usable().find(|(_, client)| client.pending.is_none());
        let entry = idle.map(|(name, _)| name.clone())?;
        let fits = |request: &AdviceRequest| allows_long || request.cost < LONG_REQUEST;
        let index = self.waiting.iter().position(fits)?;
        let request = self.waiting.remove(index)?;
        let deadline = now + request.cost + request.cost + ANSWER_GRACE;
        let is_long = request.cost >= LONG_REQUEST;
        let pending = PendingRequest { step: request.step, is_long, is_cancelled: false, deadline };
        let client = self.clients.get_mut(&entry)?;
        client.pending = Some(pending);
        Some((entry, request))
    }
}
