//! How a task may be started again after workers that ran it crashed.

use crate::id::Name;
use crate::order::Incarnation;
use crate::workload::Step;
use serde::{Deserialize, Serialize};

/// Number of crashes from which on a task is quarantined. After a single crash it is most likely
/// one of the six to fourteen tasks that happened to share the worker, and isolating all of these
/// would take as many workers.
pub(in crate::cell) const QUARANTINE_CRASHES: usize = 2;
/// Number of crashes after which a task is given up if it ran alone on the worker that crashed
/// last. The platform's contract allows that after two. The third one occupies a worker for some
/// seconds, but it spares tasks that merely shared a worker with the cause.
const ALONE_CRASH_LIMIT: usize = 3;
/// Number of crashes after which a task is given up even if it shared the workers, unless fewer
/// than [`MIN_CERTAIN_CRASHES`] are certain. This is one less than the contract allows because one
/// crash may go uncounted when another entry takes over the cell.
const CRASH_LIMIT: usize = 4;
/// Number of crashes from which on a task is not started any more, even if all of them are
/// doubtful. The contract allows two starts after the third crash.
pub(in crate::cell) const RESTART_CRASH_LIMIT: usize = 5;
/// Number of crashes that must not be [`Evidence::Doubtful`] before a task is given up with fewer
/// than [`RESTART_CRASH_LIMIT`] crashes. Otherwise a task that met two takeovers, or two starts
/// that reached no worker, would be given up for a single crash of a worker.
const MIN_CERTAIN_CRASHES: usize = 2;

/// How strongly a crash of a worker implicates a task that was sent to it.
///
/// Records of earlier versions hold a flag at this position, which decodes as one of the first two
/// variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Evidence {
    /// The worker had been up for long enough when the task was sent. Tasks of other jobs ran on it
    /// as well.
    Shared,
    /// The worker had been up for long enough when the task was sent. No task of another job ran on
    /// it.
    Alone,
    /// The worker had just started and may crash by itself, or the task was started by an earlier
    /// owner, which may have received its end already.
    Doubtful,
    /// As [`Evidence::Shared`], but the worker did not confirm that it had started the task.
    UnansweredShared,
    /// As [`Evidence::Alone`], but the worker did not confirm that it had started the task.
    UnansweredAlone,
}

impl Evidence {
    /// The evidence of a crash of a worker that had been up for long enough.
    pub(in crate::cell) fn of_stable_worker(is_alone: bool, has_started: bool) -> Self {
        match (is_alone, has_started) {
            (true, true) => Self::Alone,
            (false, true) => Self::Shared,
            (true, false) => Self::UnansweredAlone,
            (false, false) => Self::UnansweredShared,
        }
    }

    /// Whether no task of another job was on the worker.
    fn is_alone(self) -> bool {
        matches!(self, Self::Alone | Self::UnansweredAlone)
    }

    /// Whether the worker had confirmed that it had started the task.
    fn was_seen_running(self) -> bool {
        matches!(self, Self::Alone | Self::Shared)
    }
}

/// An unplanned end of a worker's process while a run of a task was on it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Crash {
    /// The incarnation that ended. It counts once for a task, however often its end is noticed.
    pub worker: Incarnation,
    /// The address at which the worker was reached.
    pub addr: Name,
    /// How strongly the crash implicates the task.
    pub evidence: Evidence,
    /// Whether another incarnation was seen at the address. Until then the worker may just be
    /// unreachable.
    pub is_confirmed: bool,
}

/// How a task may be started again, depending on the crashes of workers that ran it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::cell) enum RestartPolicy {
    /// The task runs on any worker with enough free resources.
    Normal,
    /// The task runs only on workers that have been up for long enough, and alone there where that
    /// is possible.
    Quarantined,
    /// The task waits until an unconfirmed crash is confirmed or ruled out.
    Paused,
    /// The task is not started any more, but all its crashes are doubtful. Its job is given up later
    /// than for [`Self::Exhausted`].
    Undecided,
    /// The task is given up, and its job fails.
    Exhausted,
}

pub(in crate::cell) fn restart_policy(crashes: &[Crash]) -> RestartPolicy {
    let confirmed = || crashes.iter().filter(|crash| crash.is_confirmed);
    let certain = confirmed().filter(|crash| crash.evidence != Evidence::Doubtful).count();
    let seen = confirmed().filter(|crash| crash.evidence.was_seen_running()).count();
    let doubtful = confirmed().count() - certain;
    // A start without an answer may have been lost on the way to a worker that ended for another
    // reason. A task that was seen running once answers before it crashes its worker, so only the
    // crashes under which it was seen count then. Otherwise the certain crashes have to outnumber
    // the doubtful ones: where these are many, workers end for other reasons.
    let is_cause = match seen {
        0 => certain >= MIN_CERTAIN_CRASHES && certain > doubtful,
        seen => seen >= MIN_CERTAIN_CRASHES,
    };
    let was_alone = confirmed().next_back().is_some_and(|crash| crash.evidence.is_alone());
    match confirmed().count() {
        // Another start would reveal nothing more.
        RESTART_CRASH_LIMIT.. if certain > 0 => RestartPolicy::Exhausted,
        CRASH_LIMIT.. if is_cause => RestartPolicy::Exhausted,
        ALONE_CRASH_LIMIT.. if was_alone && is_cause => RestartPolicy::Exhausted,
        known if known < crashes.len() && crashes.len() >= CRASH_LIMIT => RestartPolicy::Paused,
        RESTART_CRASH_LIMIT.. => RestartPolicy::Undecided,
        _ if crashes.len() >= QUARANTINE_CRASHES => RestartPolicy::Quarantined,
        _ => RestartPolicy::Normal,
    }
}

/// Whether a task of a step with these crashes is not started now. Tasks that run until their job is
/// cancelled are started again however they end.
pub(in crate::cell) fn is_held_back(spec: &Step, crashes: &[Crash]) -> bool {
    !spec.long_running
        && matches!(restart_policy(crashes), RestartPolicy::Paused | RestartPolicy::Undecided)
}

/// Whether a task with these crashes is placed only on workers that have been up for long enough.
pub(in crate::cell) fn needs_stable_worker(crashes: &[Crash]) -> bool {
    restart_policy(crashes) != RestartPolicy::Normal
}
