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
const BURST: f64 = 1.0;
/// In milliseconds.
const SECOND: f64 = 1_000.0;

/// What a workspace may still send within its share.
#[derive(Debug)]
struct Bucket {
    left: f64,
    at: Millis,
}

/// The buckets of all workspaces.
#[derive(Debug, Default)]
pub(in crate::cell) struct Shares(HashMap<Name, Bucket>);

impl Shares {
    /// A job of a workspace came that may send `rate` a second; whether that is beyond its share.
    pub fn exceeds(&mut self, now: Millis, workspace: &Name, rate: f64) -> bool {
        let most = (rate * BURST).max(1.0);
        let fresh = || Bucket { left: most, at: now };
        let bucket = self.0.entry(workspace.clone()).or_insert_with(fresh);
        let gained = now.since(bucket.at).0 as f64 / SECOND * rate;
        (bucket.left, bucket.at) = ((bucket.left + gained).min(most), now);
        let is_beyond = bucket.left < 1.0;
        if !is_beyond {
            bucket.left -= 1.0;
        }
        is_beyond
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
