//! Sick workers: a worker is judged against its peers on the same kinds of work.

use crate::clock::Millis;
use crate::id::Name;
use std::collections::BTreeMap;

/// The weight that the past keeps with each new outcome.
const DECAY: f64 = 0.8;
/// Outcomes of one kind on one worker before it is judged.
const MIN_OUTCOMES: u32 = 3;
/// A failing share this much above the peers' makes a worker suspect.
const MARGIN: f64 = 0.5;
/// The first probation, doubled each time the probe fails.
const PROBATION: Millis = Millis(10_000);
/// The longest probation.
const MAX_PROBATION: Millis = Millis(300_000);
/// At most one in this many workers of a shard is set aside.
const SET_ASIDE: usize = 4;

/// Outcomes of one kind of work on one worker.
#[derive(Debug, Clone, Copy, Default)]
struct Score {
    failing: f64,
    count: u32,
}

/// A worker set aside; after `until` it gets one probe task at a time.
#[derive(Debug, Clone, Copy)]
struct Probation {
    until: Millis,
    length: Millis,
    probing: bool,
}

/// What a worker may be given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Anything.
    Healthy,
    /// One task, to see whether it works again.
    Probe,
    /// Nothing.
    Aside,
}

/// The outcomes of a shard's workers.
#[derive(Debug, Default)]
pub struct Health {
    scores: BTreeMap<Name, BTreeMap<Name, Score>>,
    aside: BTreeMap<Name, Probation>,
}

impl Health {
    /// Counts an outcome. `workers` is the number of workers in the shard.
    pub fn outcome(&mut self, now: Millis, worker: &Name, kind: &Name, ok: bool, workers: usize) {
        let kinds = self.scores.entry(worker.clone()).or_default();
        let score = kinds.entry(kind.clone()).or_default();
        score.failing = score.failing * DECAY + if ok { 0.0 } else { 1.0 - DECAY };
        score.count += 1;
        let full = self.aside.len() >= workers / SET_ASIDE;
        let sick = !ok && !full && self.is_sick(worker);
        match self.aside.get_mut(worker) {
            Some(_) if ok => self.clear(worker),
            Some(probation) if probation.probing => {
                let length = Millis((probation.length.0 * 2).min(MAX_PROBATION.0));
                *probation = Probation { until: now + length, length, probing: false };
            }
            None if sick => {
                let until = now + PROBATION;
                let probation = Probation { until, length: PROBATION, probing: false };
                self.aside.insert(worker.clone(), probation);
            }
            _ => {}
        }
    }

    /// Whether a worker fails clearly more than its peers do on the kinds it was given.
    fn is_sick(&self, worker: &Name) -> bool {
        let Some(kinds) = self.scores.get(worker) else { return false };
        kinds.iter().any(|(kind, score)| {
            let expected = 1.0 - DECAY.powi(score.count as i32);
            let rate = score.failing / expected.max(f64::EPSILON);
            let peers = self.peers_rate(worker, kind);
            score.count >= MIN_OUTCOMES && peers.is_some_and(|peers| rate > peers + MARGIN)
        })
    }

    /// The failing share of one kind over the other workers; `None` without any outcome there.
    fn peers_rate(&self, worker: &Name, kind: &Name) -> Option<f64> {
        let others = self.scores.iter().filter(|(name, _)| *name != worker);
        let scores: Vec<&Score> = others.filter_map(|(_, kinds)| kinds.get(kind)).collect();
        let rate = |score: &&Score| {
            let expected = 1.0 - DECAY.powi(score.count as i32);
            score.failing / expected.max(f64::EPSILON)
        };
        let sum: f64 = scores.iter().map(rate).sum();
        (!scores.is_empty()).then(|| sum / scores.len() as f64)
    }

    fn clear(&mut self, worker: &Name) {
        self.aside.remove(worker);
        self.scores.remove(worker);
    }

    /// What a worker may be given now.
    pub fn standing(&self, now: Millis, worker: &str) -> Standing {
        match self.aside.get(worker) {
            None => Standing::Healthy,
            Some(probation) if !probation.probing && now >= probation.until => Standing::Probe,
            Some(_) => Standing::Aside,
        }
    }

    /// A probe task was given to this worker.
    pub fn probe(&mut self, worker: &str) {
        if let Some(probation) = self.aside.get_mut(worker) {
            probation.probing = true;
        }
    }

    /// A worker left: what is known of it is dropped.
    pub fn forget(&mut self, worker: &Name) {
        self.clear(worker);
    }

    /// Workers set aside.
    pub fn aside(&self) -> Vec<Name> {
        self.aside.keys().cloned().collect()
    }
}
