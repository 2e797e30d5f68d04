//! What the advice service has answered about the workers for a step.

use crate::clock::Millis;
use crate::id::Name;
use std::collections::{BTreeMap, BTreeSet};

/// The ticket with which a worker may run tasks of a step.
#[derive(Debug, Clone, PartialEq)]
pub struct Ticket {
    /// The text that an order to start a task must carry.
    pub text: Name,
    /// When the ticket expires.
    pub expires_at: Millis,
}

/// The answers of the advice service about the workers for a step.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Clearances {
    /// A request for the step is queued or was sent, and has not been answered yet.
    pub request_pending: bool,
    /// When that request was queued, or sent if it was.
    pub requested_at: Millis,
    /// Since when the step waits for an answer; `None` if it does not. A request that is lost and
    /// queued again does not change it.
    pub queued_since: Option<Millis>,
    /// An answer has arrived since the step's tasks were last placed.
    pub answer_new: bool,
    /// No further request is made before this time.
    pub retry_at: Millis,
    /// Workers that may run the step. The clearance of a worker never changes; only its ticket
    /// expires.
    pub cleared: BTreeMap<Name, Ticket>,
    /// Workers that may not run the step.
    pub denied: BTreeSet<Name>,
}

impl Clearances {
    /// Workers whose tickets are valid at a time.
    pub fn ticket_holders(&self, at: Millis) -> impl Iterator<Item = &Name> {
        let is_valid = move |(_, ticket): &(&Name, &Ticket)| ticket.expires_at > at;
        self.cleared.iter().filter(is_valid).map(|(name, _)| name)
    }

    /// Whether the advice service has not cleared or denied any worker yet.
    pub fn has_no_answer(&self) -> bool {
        self.cleared.is_empty() && self.denied.is_empty()
    }

    /// Whether any ticket is valid at a time.
    pub fn has_any_ticket(&self, at: Millis) -> bool {
        self.ticket_holders(at).next().is_some()
    }

    /// Whether a worker's ticket is valid at a time.
    pub fn has_ticket_for(&self, name: &Name, at: Millis) -> bool {
        self.cleared.get(name).is_some_and(|ticket| ticket.expires_at > at)
    }
}
