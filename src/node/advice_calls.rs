//! The calls of this entry to the advice service for the owner of one cell.
//!
//! The service processes one request at a time from each machine, so one call is made at a time. An
//! answer is as good for the next connection or owner as for the one that asked, so it is kept until
//! an owner has confirmed it, or its tickets have run out.

use crate::cell::owner::backoff::Backoff;
use crate::clock::Millis;
use crate::id::Name;

use crate::node::frame::IDLE_TIMEOUT;
use crate::node::msg::{EntryMessage, OwnerMessage};
use crate::node::owner_connection::OwnerConnection;
use crate::node::view::CellView;
use crate::node::{Node, lock};
use crate::order::{AdviceAge, ClearedWorkers};
use crate::workload::StepKey;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;

/// Time between two attempts to deliver an answer while the owner stays the same, whose connection
/// may only be slow.
const DELIVERY_RETRY: Millis = Millis(100);
/// How long an owner may take to confirm an answer. Without this bound, a lost confirmation on a
/// connection that stays open would end all calls of this entry. An answer that arrives twice does
/// no harm.
const DELIVERY_TIMEOUT: Millis = IDLE_TIMEOUT;

/// A request of the owner to call the advice service.
#[derive(Debug)]
pub(super) struct AdviceCall {
    pub step: StepKey,
    /// The workers that the service is asked about.
    pub workers: Vec<Name>,
    /// The time that the service takes to answer.
    pub cost: Millis,
    /// The connection on which the owner asked; `None` if the owner is this process.
    pub connection: Option<Arc<OwnerConnection>>,
}

/// The requests of the owner that wait for the call in progress.
#[derive(Debug, Default)]
pub(super) struct AdviceCalls {
    waiting: Mutex<VecDeque<AdviceCall>>,
    wake: Notify,
}

impl AdviceCalls {
    /// Adds a request.
    fn push(&self, call: AdviceCall) {
        lock(&self.waiting).push_back(call);
        self.wake.notify_one();
    }

    /// Waits for the next request.
    async fn next(&self) -> AdviceCall {
        loop {
            let call = lock(&self.waiting).pop_front();
            if let Some(call) = call {
                return call;
            }
            self.wake.notified().await;
        }
    }

    /// Removes the requests for a step, which the answer to an earlier one settles.
    fn take(&self, step: StepKey) -> VecDeque<AdviceCall> {
        let mut waiting = lock(&self.waiting);
        let (taken, others) =
            std::mem::take(&mut *waiting).into_iter().partition(|call| call.step == step);
        *waiting = others;
        taken
    }

    /// Returns requests that were taken and not settled.
    fn put_back(&self, calls: Vec<AdviceCall>) {
        for call in calls {
            self.push(call);
        }
    }
}

/// The answer of the service to a call.
#[derive(Debug)]
struct AdviceAnswer {
    call: AdviceCall,
    /// `None`: the call failed.
    cleared: Option<ClearedWorkers>,
    sent_at: Millis,
    answered_at: Millis,
}

impl AdviceAnswer {
    /// The age of the answer at a time.
    fn age(&self, now: Millis) -> AdviceAge {
        AdviceAge { request: now.since(self.sent_at), answer: now.since(self.answered_at) }
    }

    /// The message to the owner at a time.
    fn message(&self, now: Millis) -> EntryMessage {
        let (step, candidates) = (self.call.step, self.call.workers.clone());
        EntryMessage::Advice { step, candidates, answer: self.cleared.clone(), age: self.age(now) }
    }

    /// Why the answer is of no more use to any owner, if it is not.
    fn uselessness(&self, now: Millis, default_validity: Millis) -> Option<&'static str> {
        match &self.cleared {
            // Only the owner that asked waits for the news that there is no answer.
            None => Some("call-failed"),
            Some(cleared)
                if self.age(now).answer >= cleared.valid_for.unwrap_or(default_validity) =>
            {
                Some("tickets-expired")
            }
            Some(_) => None,
        }
    }
}

impl CellView {
    /// Queues a request of the owner to call the advice service.
    pub fn request_advice(&self, call: AdviceCall) {
        self.advice_calls.push(call);
    }

    /// Calls the advice service for the owner, one request after the other.
    pub(super) async fn run_advice_calls(self: Arc<Self>) {
        let mut backoff = Backoff::default();
        loop {
            let call = self.advice_calls.next().await;
            if !self.is_wanted(&call) {
                log::info!("event=advice-call-dropped step={} why=owner-gone", call.step);
                continue;
            }
            let answer = self.call_service(call, &mut backoff).await;
            self.deliver(&answer).await;
        }
    }

    /// Whether the owner that made a request may still wait for the answer.
    fn is_wanted(&self, call: &AdviceCall) -> bool {
        match &call.connection {
            Some(connection) => !connection.is_closed(),
            None => self.local_owner().is_some(),
        }
    }

    /// Calls the advice service. A failed call takes at least the delay before the next one, so
    /// that the owner, which assigns requests to idle entries, does not take this one for idle. The
    /// delay is shorter than the time after which an owner gives up on an answer.
    async fn call_service(&self, call: AdviceCall, backoff: &mut Backoff) -> AdviceAnswer {
        let sent_at = self.now();
        let cleared = self.node.advise(call.step, &call.workers, call.cost).await;
        let answered_at = self.now();
        match &cleared {
            Some(_) => backoff.record_success(),
            None => {
                let delay = backoff.next_delay(0, self.node.seed()) - answered_at.since(sent_at);
                log::info!("event=advice-held step={} why=call-failed delay_ms={delay}", call.step);
                tokio::time::sleep(delay.duration()).await;
            }
        }
        AdviceAnswer { call, cleared, sent_at, answered_at }
    }

    /// Sends an answer to the owner, and again until an owner has confirmed it or it is useless.
    async fn deliver(self: &Arc<Self>, answer: &AdviceAnswer) {
        let step = answer.call.step;
        let (mut connections, mut owners) = (self.connection.subscribe(), self.owner.subscribe());
        let mut settled = Vec::new();
        let mut is_held = false;
        loop {
            connections.borrow_and_update();
            owners.borrow_and_update();
            settled.extend(self.advice_calls.take(step));
            let now = self.now();
            let sending = self.request_once(answer.message(now));
            let result = tokio::time::timeout(DELIVERY_TIMEOUT.duration(), sending).await;
            let age = answer.age(now).answer;
            if matches!(result, Ok(Ok(OwnerMessage::Ack))) {
                if is_held {
                    log::info!("event=advice-delivered-late step={step} age_ms={age}");
                    self.node.metrics.observe_late_advice(age);
                }
                return;
            }
            if let Some(why) = answer.uselessness(self.now(), self.node.max_ticket_validity()) {
                log::info!(
                    "event=advice-dropped step={step} why={why} age_ms={age} last={result:?}"
                );
                self.node.metrics.dropped_advice.inc();
                return self.advice_calls.put_back(settled);
            }
            if !is_held {
                log::info!("event=advice-held step={step} why=not-delivered last={result:?}");
                is_held = true;
            }
            tokio::select! {
                _ = connections.changed() => {}
                _ = owners.changed() => {}
                () = tokio::time::sleep(DELIVERY_RETRY.duration()) => {}
            }
        }
    }
}

impl Node {
    /// The longest validity of tickets in any queue, for answers that do not state it.
    fn max_ticket_validity(&self) -> Millis {
        let policy = self.policy();
        let advised = policy.queues.values().filter_map(|queue| queue.advice);
        advised.map(|advice| advice.ticket_validity).max().unwrap_or_default()
    }
}
