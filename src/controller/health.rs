//! Sick workers: a worker is judged against its peers on the same kinds of work.

use crate::clock::Millis;
use crate::id::Name;
use std::collections::BTreeMap;

/// The weight that the past keeps with each new outcome.
const SCORE_DECAY: f64 = 0.8;
/// Outcomes of one kind on one worker before it is judged.
const MIN_OUTCOMES: u32 = 3;
/// A failing share this much above the peers' makes a worker suspect.
const FAILURE_RATE_MARGIN: f64 = 0.5;
/// The first probation, doubled each time the probe fails.
const MIN_PROBATION_TIME: Millis = Millis(10_000);
/// The longest probation.
const MAX_PROBATION_TIME: Millis = Millis(300_000);
/// At most one in this many workers of a shard is set aside.
const WORKERS_PER_EXCLUSION: usize = 4;

/// Outcomes of one kind of work on one worker.
#[derive(Debug, Clone, Copy, Default)]
struct FailureScore {
    rate: f64,
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
pub enum WorkerHealth {
    /// Anything.
    Healthy,
    /// One task, to see whether it works again.
    Probe,
    /// Nothing.
    Excluded,
}

/// The outcomes of a shard's workers.
#[derive(Debug, Default)]
pub struct Health {
    scores: BTreeMap<Name, BTreeMap<Name, FailureScore>>,
    excluded: BTreeMap<Name, Probation>,
}

impl Health {
    /// Counts an outcome. `workers` is the number of workers in the shard.
    pub fn record_outcome(
        &mut self,
        now: Millis,
        worker: &Name,
        kind: &Name,
        ok: bool,
        workers: usize,
    ) {
        let kinds = self.scores.entry(worker.clone()).or_default();
        let score = kinds.entry(kind.clone()).or_default();
        score.rate = score.rate * SCORE_DECAY + if ok { 0.0 } else { 1.0 - SCORE_DECAY };
        score.count += 1;
        let full = self.excluded.len() >= workers / WORKERS_PER_EXCLUSION;
        let failing = !ok && !full && self.is_failing(worker);
        match self.excluded.get_mut(worker) {
            Some(_) if ok => self.clear(worker),
            Some(probation) if probation.probing => {
                let length = Millis((probation.length.0 * 2).min(MAX_PROBATION_TIME.0));
                *probation = Probation { until: now + length, length, probing: false };
            }
            None if failing => {
                let until = now + MIN_PROBATION_TIME;
                let probation = Probation { until, length: MIN_PROBATION_TIME, probing: false };
                self.excluded.insert(worker.clone(), probation);
            }
            _ => {}
        }
    }

    /// Whether a worker fails clearly more than its peers do on the kinds it was given.
    fn is_failing(&self, worker: &Name) -> bool {
        let Some(kinds) = self.scores.get(worker) else { return false };
        kinds.iter().any(|(kind, score)| {
            let expected = 1.0 - SCORE_DECAY.powi(score.count as i32);
            let rate = score.rate / expected.max(f64::EPSILON);
            let peers = self.peers_rate(worker, kind);
            score.count >= MIN_OUTCOMES
                && peers.is_some_and(|peers| rate > peers + FAILURE_RATE_MARGIN)
        })
    }

    /// The failing share of one kind over the other workers; `None` without any outcome there.
    fn peers_rate(&self, worker: &Name, kind: &Name) -> Option<f64> {
        let others = self.scores.iter().filter(|(name, _)| *name != worker);
        let scores: Vec<&FailureScore> = others.filter_map(|(_, kinds)| kinds.get(kind)).collect();
        let rate = |score: &&FailureScore| {
            let expected = 1.0 - SCORE_DECAY.powi(score.count as i32);
            score.rate / expected.max(f64::EPSILON)
        };
        let sum: f64 = scores.iter().map(rate).sum();
        (!scores.is_empty()).then(|| sum / scores.len() as f64)
    }

    fn clear(&mut self, worker: &Name) {
        self.excluded.remove(worker);
        self.scores.remove(worker);
    }

    /// What a worker may be given now.
    pub fn worker_health(&self, now: Millis, worker: &str) -> WorkerHealth {
        match self.excluded.get(worker) {
            None => WorkerHealth::Healthy,
            Some(probation) if !probation.probing && now >= probation.until => WorkerHealth::Probe,
            Some(_) => WorkerHealth::Excluded,
        }
    }

    /// A probe task was given to this worker.
    pub fn start_probe(&mut self, worker: &str) {
        if let Some(probation) = self.excluded.get_mut(worker) {
            probation.probing = true;
        }
    }

    /// A worker left: what is known of it is dropped.
    pub fn forget(&mut self, worker: &Name) {
        self.clear(worker);
    }

    /// Workers set aside.
    pub fn excluded(&self) -> Vec<Name> {
        self.excluded.keys().cloned().collect()
    }
}
