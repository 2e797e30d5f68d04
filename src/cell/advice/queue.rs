//! Which entry asks the advice service next, and what.
//!
//! The service takes one request at a time from each entry, and a request takes as long as it
//! names workers. Short questions must not wait behind long ones.

use crate::clock::Millis;
use crate::id::Name;
use crate::workload::StepKey;
use std::collections::{BTreeMap, VecDeque};

/// A request of this length or more is long: it holds up the objective of the shortest jobs.
const LONG_REQUEST: Millis = Millis(150);
/// The part of all entries that is kept free of long questions: one in this many, and at least one.
const CLIENTS_PER_RESERVE: usize = 3;

/// A request is put again if there is no answer this much later than twice the time that it takes: an entry
/// gives up on the service after twice that time, and its word takes some milliseconds.
const ANSWER_GRACE: Millis = Millis(1_500);

/// A request.
#[derive(Debug, Clone, PartialEq)]
pub struct AdviceRequest {
    /// The step.
    pub step: StepKey,
    /// The workers.
    pub workers: Vec<Name>,
    /// How long the answer takes.
    pub cost: Millis,
    /// Lower ones first.
    pub rank: (u32, Millis),
}

/// The questions that wait and the entries that can ask.
#[derive(Debug, Default)]
pub struct AdviceQueue {
    waiting: VecDeque<AdviceRequest>,
    clients: BTreeMap<Name, Client>,
}

/// An entry that can ask.
#[derive(Debug)]
struct Client {
    /// It asks for this cell only.
    is_home: bool,
    /// What it asks; `None`: nothing.
    pending: Option<PendingRequest>,
}

/// A request that an entry has put.
#[derive(Debug, Clone, Copy)]
struct PendingRequest {
    step: StepKey,
    is_long: bool,
    /// It is put again if there is no answer by then.
    deadline: Millis,
}

impl AdviceQueue {
    /// An entry can ask from now on; the request that was lost with its earlier connection, if any.
    pub fn add_client(&mut self, entry: Name, is_home: bool) -> Option<StepKey> {
        let earlier = self.clients.insert(entry, Client { is_home, pending: None })?;
        earlier.pending.map(|pending| pending.step)
    }

    /// An entry cannot ask any more; the request that is lost with it, if any.
    pub fn remove_client(&mut self, entry: &Name) -> Option<StepKey> {
        self.clients.remove(entry)?.pending.map(|pending| pending.step)
    }

    /// Adds a request, in the order of its rank.
    pub fn push(&mut self, request: AdviceRequest) {
        let at = self.waiting.partition_point(|other| other.rank <= request.rank);
        self.waiting.insert(at, request);
    }

    /// The request of a step is not needed any more.
    pub fn cancel(&mut self, step: StepKey) {
        self.waiting.retain(|request| request.step != step);
    }

    /// The entry that asks a step's request.
    pub fn client_of(&self, step: StepKey) -> Option<&Name> {
        let asks = |client: &Client| client.pending.is_some_and(|pending| pending.step == step);
        self.clients.iter().find(|(_, client)| asks(client)).map(|(name, _)| name)
    }

    /// An entry has its answer.
    pub fn complete(&mut self, entry: &Name, step: StepKey) {
        if let Some(client) = self.clients.get_mut(entry)
            && client.pending.is_some_and(|pending| pending.step == step)
        {
            client.pending = None;
        }
    }

    /// The steps of questions whose answers are overdue: they are put again.
    pub fn take_overdue(&mut self, now: Millis) -> Vec<StepKey> {
        let overdue =
            |client: &mut Client| client.pending.take_if(|pending| now >= pending.deadline);
        self.clients.values_mut().filter_map(overdue).map(|pending| pending.step).collect()
    }

    /// The next request and who asks it: entries of this cell, or any while there is none of them.
    pub fn assign_next(&mut self, now: Millis) -> Option<(Name, AdviceRequest)> {
        let all_away = self.clients.values().all(|client| !client.is_home);
        let usable = || self.clients.iter().filter(|(_, client)| client.is_home || all_away);
        let count = usable().count();
        let long = usable()
            .filter_map(|(_, client)| client.pending)
            .filter(|pending| pending.is_long)
            .count();
        let kept = (count / CLIENTS_PER_RESERVE).max(1);
        let may_long = long + kept < count || count == 1;
        let idle = usable().find(|(_, client)| client.pending.is_none());
        let entry = idle.map(|(name, _)| name.clone())?;
        let fits = |request: &AdviceRequest| may_long || request.cost < LONG_REQUEST;
        let at = self.waiting.iter().position(fits)?;
        let request = self.waiting.remove(at)?;
        let deadline = now + request.cost + request.cost + ANSWER_GRACE;
        let pending =
            PendingRequest { step: request.step, is_long: request.cost >= LONG_REQUEST, deadline };
        let client = self.clients.get_mut(&entry)?;
        client.pending = Some(pending);
        Some((entry, request))
    }
}
