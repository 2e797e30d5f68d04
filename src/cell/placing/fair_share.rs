//! What a workspace sends beyond its share.
//!
//! The load that this answers: one workspace sends many times its usual for some seconds. In the order of their
//! deadlines its jobs would go before those of all that come later, and make everybody late.

use crate::cell::Cell;
use crate::cell::mechanism::Mechanism;
use crate::clock::Millis;
use crate::id::Name;
use std::collections::HashMap;

/// What a workspace may send in this many seconds may come at once.
const BURST_SECONDS: f64 = 1.0;
/// In milliseconds.
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// What a workspace may still send within its share.
#[derive(Debug)]
struct TokenBucket {
    tokens: f64,
    refilled: Millis,
}

/// The buckets of all workspaces.
#[derive(Debug, Default)]
pub(in crate::cell) struct ShareLimits(HashMap<Name, TokenBucket>);

impl ShareLimits {
    /// A job of a workspace came that may send `rate` a second; whether that is beyond its share.
    pub fn exceeds(&mut self, now: Millis, workspace: &Name, rate: f64) -> bool {
        let capacity = (rate * BURST_SECONDS).max(1.0);
        let fresh = || TokenBucket { tokens: capacity, refilled: now };
        let bucket = self.0.entry(workspace.clone()).or_insert_with(fresh);
        let gained = now.since(bucket.refilled).0 as f64 / MILLIS_PER_SECOND * rate;
        (bucket.tokens, bucket.refilled) = ((bucket.tokens + gained).min(capacity), now);
        let is_exceeded = bucket.tokens < 1.0;
        if !is_exceeded {
            bucket.tokens -= 1.0;
        }
        is_exceeded
    }
}

impl Cell {
    /// A job of a workspace came; whether that is beyond its share. A workspace without a weight has no share.
    pub(in crate::cell) fn exceeds_share(&mut self, now: Millis, name: &Name) -> bool {
        let weight = self.usages.workspace(name).map_or(0, |workspace| workspace.weight);
        let is_off = self.config.disabled.contains(Mechanism::WorkspaceShares);
        weight > 0 && !is_off && self.shares.exceeds(now, name, f64::from(weight))
    }
}
