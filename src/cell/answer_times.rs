//! How long to wait for the answer to an order.
//!
//! The load that this answers: workers leave one order in twenty unanswered, and a job of nine short
//! tasks meets one of them in three cases. The room and the task are in doubt for as long as the owner
//! waits; a task of half a second has as much again to spare.

use crate::clock::Millis;

/// The weight of one more answer: the last hundred or so count.
const WEIGHT: f64 = 0.02;
/// So many times the usual answer is waited for.
const TIMES: f64 = 25.0;
/// The least wait: 50 times the way between failure domains and back.
const LEAST: f64 = 100.0;
/// The most, and the wait before anything is known.
const MOST: f64 = 300.0;

/// How long workers take to answer orders, in milliseconds.
#[derive(Debug)]
pub struct AnswerTimes {
    mean: f64,
}

impl Default for AnswerTimes {
    fn default() -> Self {
        Self { mean: MOST / TIMES }
    }
}

impl AnswerTimes {
    /// An order was answered after this time.
    pub fn add(&mut self, took: Millis) {
        self.mean += (took.0 as f64 - self.mean) * WEIGHT;
    }

    /// The longest wait for an answer. It grows with what is observed, so that an owner on a busy
    /// processor does not give up orders that are answered.
    pub fn limit(&self) -> Millis {
        Millis((self.mean * TIMES).clamp(LEAST, MOST) as u64)
    }
}
