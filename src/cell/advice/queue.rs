//! The queue of requests to the advice service, and their assignment to entries.
//!
//! The service processes one request at a time from each entry, and its time grows with the number
//! of workers in the request. Short requests must not wait behind long ones.

use crate::cell::advice::expected_use::{ExpectedUse, ExpectedUses};
use crate::cell::advice::load::AdviceLoad;
use crate::cell::advice::short_load::ShortLoad;
use crate::cell::advice::waiting::{Turns, WaitingSteps};
use crate::cell::placing::rank::Rank;
use crate::clock::Millis;
use crate::id::Name;
use crate::workload::{Resources, StepKey};
use std::collections::{BTreeMap, HashMap};

/// The duration from which a request is long, which would delay the shortest jobs beyond their
/// objective.
const LONG_REQUEST: Millis = Millis(150);
/// At most one in this many clients is kept free of long requests.
const CLIENTS_PER_RESERVE: usize = 3;

/// Once the oldest step has waited for this long, every second long request goes by age and not by
/// rank. With the request itself this stays below the 3 s that a step beside free workers may
/// wait.
const MAX_RANKED_WAIT: Millis = Millis(1_000);

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
    /// Whether any of the workers has room for a task, or room can be made there.
    pub has_room: bool,
}

/// A step that waits for a request to be sent. Its workers are chosen when an entry can send it: a
/// worker that has room when the step is queued may be full by then.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedStep {
    /// The step whose tasks need workers.
    pub step: StepKey,
    /// The queue of the step's job.
    pub queue: Name,
    /// The time that the service would take if the request were sent when the step is queued.
    pub cost: Millis,
    /// The rank of the step's job, by its priority and its age; lower ranks go first. While there is
    /// more work than room, jobs of one priority that take turns would all be late.
    pub rank: Rank,
    /// Since when the step waits for an answer. A request that was lost keeps the step's place.
    pub queued_at: Millis,
}

/// An entry that can send the next request.
#[derive(Debug, PartialEq)]
pub struct IdleClient {
    /// The entry.
    pub entry: Name,
    /// Whether the request may be a long one.
    pub allows_long: bool,
}

/// Steps that wait for a request to be sent, and the entries that can send them.
#[derive(Debug, Default)]
pub struct AdviceQueue {
    waiting: WaitingSteps,
    clients: BTreeMap<Name, Client>,
    /// The resources that the requests in progress are expected to take of the workers.
    expected: ExpectedUses,
    /// The load of short requests.
    short_load: ShortLoad,
    /// Whether the next request goes by age, once the oldest has waited for long.
    is_oldest_turn: bool,
}

/// An entry that can send requests to the advice service.
#[derive(Debug)]
struct Client {
    /// Whether the entry belongs to this cell.
    is_home: bool,
    /// The request that waits for an answer, if any.
    pending: Option<PendingRequest>,
    /// When the last request failed; `None` if it was answered. An entry that cannot reach the
    /// service is used after all others.
    failed_at: Option<Millis>,
}

/// A request that an entry is sending to the service.
#[derive(Debug)]
struct PendingRequest {
    step: StepKey,
    /// The resources that the step is expected to take once it is answered.
    expected: ExpectedUse,
    is_long: bool,
    /// The job of the step was closed or withdrawn. The entry is busy until the service answers,
    /// but the answer is not used: the same job may have been submitted again.
    is_cancelled: bool,
    /// When the request is repeated if there is no answer.
    deadline: Millis,
}

impl IdleClient {
    /// Whether the entry may send a request of this duration.
    pub fn may_take(&self, cost: Millis) -> bool {
        self.allows_long || cost < LONG_REQUEST
    }
}

impl PendingRequest {
    /// The step that waits for the answer, unless the request was cancelled.
    fn wanted_step(&self) -> Option<StepKey> {
        (!self.is_cancelled).then_some(self.step)
    }
}

impl AdviceQueue {
    /// Adds an entry. Returns the step whose request was lost with an earlier connection, if any.
    pub fn add_client(&mut self, entry: Name, is_home: bool) -> Option<StepKey> {
        let earlier =
            self.clients.insert(entry, Client { is_home, pending: None, failed_at: None })?;
        earlier.pending.and_then(|request| self.end_request(request))
    }

    /// Removes an entry. Returns the step whose request is lost with it, if any.
    pub fn remove_client(&mut self, entry: &Name) -> Option<StepKey> {
        let client = self.clients.remove(entry)?;
        client.pending.and_then(|request| self.end_request(request))
    }

    /// Removes what a request that ended was expected to take. Returns the step that waits for the
    /// answer, if any.
    fn end_request(&mut self, request: PendingRequest) -> Option<StepKey> {
        self.expected.remove(&request.expected);
        request.wanted_step()
    }

    /// The resources that the requests in progress are expected to take of a worker.
    pub fn expected_use(&self, worker: &Name) -> Resources {
        self.expected.of(worker)
    }

    /// The state of the queue.
    pub fn load(&self, now: Millis) -> AdviceLoad {
        let busy = self.clients.values().filter(|client| client.pending.is_some()).count();
        let oldest = self.waiting.oldest().map(|queued_at| now.since(queued_at));
        AdviceLoad {
            clients: self.clients.len(),
            busy,
            queued: self.waiting.len(),
            oldest: oldest.unwrap_or_default(),
        }
    }

    /// Whether no step waits for a request to be sent.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a step to the queue, in the order of its rank and of the time since which it waits.
    pub fn push(&mut self, queued: QueuedStep) {
        self.waiting.insert(queued);
    }

    /// Sorts the queue again after the ranks of these steps have changed.
    pub fn update_ranks(&mut self, ranks: &HashMap<StepKey, Rank>) {
        for (step, rank) in ranks {
            self.waiting.update_rank(*step, *rank);
        }
    }

    /// Removes the request of a step from the queue. If it was sent already, its answer will not be
    /// used.
    pub fn cancel(&mut self, step: StepKey) {
        self.waiting.remove(step);
        let pending = self.clients.values_mut().filter_map(|client| client.pending.as_mut());
        for request in pending.filter(|request| request.step == step) {
            request.is_cancelled = true;
            self.expected.remove(&std::mem::take(&mut request.expected));
        }
    }

    /// The entry that is sending the request of a step.
    pub fn client_of(&self, step: StepKey) -> Option<&Name> {
        let sends = |client: &Client| {
            let pending = client.pending.as_ref();
            pending.and_then(PendingRequest::wanted_step).is_some_and(|sent| sent == step)
        };
        self.clients.iter().find(|(_, client)| sends(client)).map(|(name, _)| name)
    }

    /// Records that the request of an entry for a step was answered. Returns whether the answer may
    /// be used: not if the request was cancelled meanwhile.
    pub fn complete(&mut self, entry: &Name, step: StepKey) -> bool {
        let client = self.clients.get_mut(entry);
        let answered =
            client.and_then(|client| client.pending.take_if(|pending| pending.step == step));
        answered.is_none_or(|request| self.end_request(request).is_some())
    }

    /// Records whether the last request of an entry was answered, or when it failed.
    pub fn record_outcome(&mut self, entry: &Name, failed_at: Option<Millis>) {
        if let Some(client) = self.clients.get_mut(entry) {
            client.failed_at = failed_at;
        }
    }

    /// Removes the pending requests whose answers are overdue. Returns the steps that still need
    /// one.
    pub fn take_overdue(&mut self, now: Millis) -> Vec<StepKey> {
        let overdue =
            |client: &mut Client| client.pending.take_if(|pending| now >= pending.deadline);
        let failed = |client: &mut Client| {
            let request = overdue(client)?;
            client.failed_at = Some(now);
            Some(request)
        };
        let overdue: Vec<PendingRequest> = self.clients.values_mut().filter_map(failed).collect();
        overdue.into_iter().filter_map(|request| self.end_request(request)).collect()
    }

    /// An entry that can send a request now, if any is idle. Entries of other cells are used only
    /// while there is none of this cell.
    pub fn idle_client(&mut self, now: Millis) -> Option<IdleClient> {
        let wanted = self.short_load.wanted_clients(now);
        let no_home = self.clients.values().all(|client| !client.is_home);
        let usable = || self.clients.iter().filter(|(_, client)| client.is_home || no_home);
        let count = usable().count();
        let long = usable()
            .filter_map(|(_, client)| client.pending.as_ref())
            .filter(|pending| pending.is_long)
            .count();
        let most_reserved = if count == 1 { 0 } else { (count / CLIENTS_PER_RESERVE).max(1) };
        let allows_long = long + wanted.min(most_reserved) < count;
        let idle = usable().filter(|(_, client)| client.pending.is_none());
        let (entry, _) = idle.min_by_key(|(_, client)| client.failed_at)?;
        Some(IdleClient { entry: entry.clone(), allows_long })
    }

    /// The order in which the queued steps are looked at for the next request.
    pub fn turns(&self, now: Millis) -> Turns {
        let has_waited_long =
            self.waiting.oldest().is_some_and(|oldest| now.since(oldest) >= MAX_RANKED_WAIT);
        Turns::new(self.is_oldest_turn && has_waited_long)
    }

    /// The queued step whose turn is next.
    pub fn next_in_turn(&self, turns: &mut Turns) -> Option<QueuedStep> {
        self.waiting.next(turns).cloned()
    }

    /// Removes a step from the queue.
    pub fn remove(&mut self, step: StepKey) {
        self.waiting.remove(step);
    }

    /// Records that an entry sends a request for this many tasks, each of which takes `charge`.
    pub fn start(
        &mut self,
        now: Millis,
        client: &IdleClient,
        request: &AdviceRequest,
        (charge, tasks): (&Resources, usize),
    ) {
        let Some(client) = self.clients.get_mut(&client.entry) else { return };
        let deadline = now + request.cost + request.cost + ANSWER_GRACE;
        let (step, is_long) = (request.step, request.cost >= LONG_REQUEST);
        // Little is sent before a short request is answered.
        let expected = match is_long {
            true => ExpectedUse::new(&request.workers, charge, tasks),
            false => ExpectedUse::default(),
        };
        if !is_long {
            self.short_load.record(now, request.cost);
        }
        self.expected.add(&expected);
        // Short requests neither take the turn nor end it.
        self.is_oldest_turn = self.is_oldest_turn != is_long;
        client.pending =
            Some(PendingRequest { step, expected, is_long, is_cancelled: false, deadline });
    }
}
