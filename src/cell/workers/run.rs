//! A run of a task on a worker, as known to the owner.

use crate::cell::placing::usage::UsageGuard;
use crate::clock::Millis;
use crate::workload::{Resources, Step};

/// A run that should save its progress is stalled after this time without a new checkpoint. The
/// platform's workers save one after each half second of work, so two are missing by then and the
/// third is late.
const STALL_TIMEOUT: Millis = Millis(1_700);

/// The phase of a run on its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The run was assigned to the worker and has not been confirmed yet.
    Starting,
    /// The worker answered the start, or first reported the run, at this time.
    Running(Millis),
    /// The run has to end. The time is when the worker answered the stop, if it has.
    Stopping(Option<Millis>),
}

/// A run that holds resources of a worker.
#[derive(Debug)]
pub struct Run {
    /// The run number, which rises with each start of the task.
    pub run: u64,
    /// The resources charged for the run.
    pub charge: Resources,
    /// Counts the run towards the usage of its workspace until it is dropped.
    pub usage_guard: Option<UsageGuard>,
    /// Counts the run towards those of its workspace that certainly exist, if others may be unknown.
    pub confirmed_guard: Option<UsageGuard>,
    /// The phase of the run.
    pub phase: Phase,
    /// A stop was sent, and its outcome is not known yet.
    pub stop_pending: bool,
    /// A start was sent and may have reached the worker.
    pub is_sent: bool,
    /// The run was sent to an earlier incarnation of the worker; the current one is told to refuse
    /// it.
    pub is_stale: bool,
    /// When this owner assigned the run or first learned of it.
    pub known_since: Millis,
    /// The worker has confirmed that it started the run.
    pub has_started: bool,
    /// The share of its processor time that the run may use, in percent.
    pub percent: u32,
    /// The run uses only processors that other tasks leave idle.
    pub is_filler: bool,
    /// The run goes on until its job is cancelled.
    pub is_lasting: bool,
    /// The limit for the tail latency of the run's responses; 0 if it serves no requests.
    pub tail_limit: Millis,
    /// The run saves checkpoints of its progress.
    pub saves_progress: bool,
    /// The run continues from a checkpoint.
    pub is_resumed: bool,
    /// When this owner learned that the run had started.
    pub started_at: Millis,
    /// When the run last saved a checkpoint, or started.
    pub progressed_at: Millis,
    /// The run time after which the run is late compared with others of its queue.
    pub late_after: Option<Millis>,
    /// The run was found to be stalled or late.
    pub is_straggler: bool,
}

impl Run {
    /// Creates a run of a task of a step.
    pub fn new(run: u64, spec: &Step, phase: Phase) -> Self {
        Self {
            run,
            charge: spec.charged_resources(),
            usage_guard: None,
            confirmed_guard: None,
            phase,
            stop_pending: false,
            is_sent: false,
            is_stale: false,
            known_since: Millis(0),
            has_started: false,
            percent: 100,
            is_filler: spec.best_effort,
            is_lasting: spec.long_running,
            tail_limit: spec.latency_bound,
            saves_progress: spec.has_checkpoints,
            is_resumed: false,
            started_at: Millis(0),
            progressed_at: Millis(0),
            late_after: None,
            is_straggler: false,
        }
    }

    /// Records that the worker confirmed the start of the run.
    pub fn mark_started(&mut self, now: Millis) {
        self.phase = Phase::Running(now);
        self.has_started = true;
        (self.started_at, self.progressed_at) = (now, now);
    }

    /// Whether the run serves requests of users.
    pub fn serves_users(&self) -> bool {
        self.tail_limit.0 > 0
    }

    /// Whether the run should have saved a checkpoint by now and has not.
    pub fn is_stalled(&self, now: Millis) -> bool {
        self.saves_progress && !self.is_filler && now.since(self.progressed_at) >= STALL_TIMEOUT
    }

    /// Whether the run takes far longer than other runs of its queue.
    pub fn is_late(&self, now: Millis) -> bool {
        self.late_after.is_some_and(|limit| now.since(self.started_at) >= limit)
    }
}
