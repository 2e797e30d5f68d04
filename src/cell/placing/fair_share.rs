//! Detection of jobs that a workspace submits in excess of its share.
//!
//! A workspace may submit many times its usual number of jobs for some seconds. In order of deadline they would all go
//! before the jobs that other workspaces submit later, and make those late. So each workspace has a token bucket that
//! is refilled at the rate of its share, and jobs in excess of it become less urgent.

use crate::cell::Cell;
use crate::cell::mechanism::Mechanism;
use crate::clock::Millis;
use crate::id::Name;
use std::collections::HashMap;

/// The capacity of a bucket, in seconds of its refill rate.
const BURST_SECONDS: f64 = 1.0;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// The number of jobs that a workspace may submit now within its share.
#[derive(Debug)]
struct TokenBucket {
    tokens: f64,
    refilled: Millis,
}

/// The token buckets of all workspaces, by name.
#[derive(Debug, Default)]
pub(in crate::cell) struct ShareLimits(HashMap<Name, TokenBucket>);

impl ShareLimits {
    /// Takes a token for a job of a workspace whose share is `rate` jobs per second; returns whether there was none
    /// left.
    pub fn exceeds(&mut self, now: Millis, workspace: &Name, rate: f64) -> bool {
        let capacity = (rate * BURST_SECONDS).max(1.0);
        let full_bucket = || TokenBucket { tokens: capacity, refilled: now };
        let bucket = self.0.entry(workspace.clone()).or_insert_with(full_bucket);
        let refill = now.since(bucket.refilled).0 as f64 / MILLIS_PER_SECOND * rate;
        (bucket.tokens, bucket.refilled) = ((bucket.tokens + refill).min(capacity), now);
        let is_exceeded = bucket.tokens < 1.0;
        if !is_exceeded {
            bucket.tokens -= 1.0;
        }
        is_exceeded
    }
}

impl Cell {
    /// Counts a submitted job against its workspace's share; returns whether it exceeds the share. A workspace with
    /// weight 0 has no share to exceed.
    pub(in crate::cell) fn exceeds_share(&mut self, now: Millis, name: &Name) -> bool {
        let weight = self.usages.workspace(name).map_or(0, |workspace| workspace.weight);
        let is_disabled = self.config.disabled.contains(Mechanism::WorkspaceShares);
        weight > 0 && !is_disabled && self.shares.exceeds(now, name, f64::from(weight))
    }
}
