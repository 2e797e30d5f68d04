//! Detection of failing workers, by comparing a worker's failure rate with that of the other
//! workers on the same kind of work.

use crate::clock::Millis;
use crate::id::Name;
use std::collections::BTreeMap;

/// The weight that earlier outcomes keep when a new one is added to the failure rate.
const SCORE_DECAY: f64 = 0.8;
/// The number of outcomes of one kind on a worker that its failure rate must rest on.
const MIN_OUTCOMES: u32 = 3;
/// A worker is failing if its failure rate exceeds the mean of its peers by more than this.
const FAILURE_RATE_MARGIN: f64 = 0.5;
/// The first probation time, doubled each time a probe task fails.
const MIN_PROBATION_TIME: Millis = Millis(10_000);
/// The longest probation time.
const MAX_PROBATION_TIME: Millis = Millis(300_000);
/// At most one in this many workers of a shard is excluded at the same time.
const WORKERS_PER_EXCLUSION: usize = 4;

/// The failure rate of one kind of work on one worker, as a decaying average.
#[derive(Debug, Clone, Copy, Default)]
struct FailureScore {
    rate: f64,
    count: u32,
}

/// The probation of an excluded worker, which gets one probe task at a time after `until`.
#[derive(Debug, Clone, Copy)]
struct Probation {
    until: Millis,
    length: Millis,
    probing: bool,
}

/// Which tasks a worker may get.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerHealth {
    /// Any task.
    Healthy,
    /// One task, which tests whether the worker has recovered.
    Probe,
    /// No task.
    Excluded,
}

/// The failure rates and probations of a shard's workers.
#[derive(Debug, Default)]
pub struct Health {
    scores: BTreeMap<Name, BTreeMap<Name, FailureScore>>,
    excluded: BTreeMap<Name, Probation>,
}

impl Health {
    /// Records an outcome of a task. `workers` is the number of workers in the shard.
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

    /// Whether the worker's failure rate is clearly above that of its peers for any kind of work
    /// that it ran.
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

    /// The mean failure rate of one kind on the other workers; `None` if none of them ran it.
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

    /// Which tasks a worker may get now.
    pub fn worker_health(&self, now: Millis, worker: &str) -> WorkerHealth {
        match self.excluded.get(worker) {
            None => WorkerHealth::Healthy,
            Some(probation) if !probation.probing && now >= probation.until => WorkerHealth::Probe,
            Some(_) => WorkerHealth::Excluded,
        }
    }

    /// Marks that a probe task was bound to this worker.
    pub fn start_probe(&mut self, worker: &str) {
        if let Some(probation) = self.excluded.get_mut(worker) {
            probation.probing = true;
        }
    }

    /// Drops the data of a worker that was removed.
    pub fn forget(&mut self, worker: &Name) {
        self.clear(worker);
    }

    /// The excluded workers.
    pub fn excluded(&self) -> Vec<Name> {
        self.excluded.keys().cloned().collect()
    }
}
