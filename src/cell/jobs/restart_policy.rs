//! What the crashes under a task mean for its next start.

use crate::id::Name;
use crate::order::Incarnation;
use serde::{Deserialize, Serialize};

/// Crashes from which a task runs alone: with one it is mostly one of the six to fourteen that shared
/// the worker, and to run all of them alone would take as many workers.
pub(in crate::cell) const QUARANTINE_CRASHES: usize = 2;
/// Crashes after which a task is given up if it ran alone under the last one. The platform's contract
/// allows that after two; a third one is worth a worker for some seconds: it tells apart tasks that
/// merely shared the worker.
const ALONE_CRASH_LIMIT: usize = 3;
/// Crashes after which a task is given up however it ran, unless only one was seen: one less than the contract allows, as one
/// may go uncounted at a takeover.
const CRASH_LIMIT: usize = 4;
/// Crashes from which a task is not started any more, also where all are doubtful: the contract allows two starts after
/// the third crash.
const RESTART_CRASH_LIMIT: usize = 5;
/// Crashes that were seen from the start on without which nothing is given up before [`RESTART_CRASH_LIMIT`]: else a task that met
/// two takeovers, or two starts that reached nobody, would be given up for one crash of a worker.
const MIN_CERTAIN_CRASHES: usize = 2;

/// What a crash tells of a task that was sent to the worker. Records of earlier versions hold a flag in its place, which is
/// read as one of the first two.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Evidence {
    /// The worker had stayed up until the task came; tasks of other jobs ran there, too.
    Shared,
    /// The worker had stayed up until the task came, and nothing of another job ran there.
    Alone,
    /// The worker had just started, and may crash by itself; or the task came from an earlier owner, which may have
    /// read its end.
    Doubtful,
}

/// A life of a worker that ended, not by plan, with a run of a task on it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Crash {
    /// The life: each counts once, however often it is noticed.
    pub worker: Incarnation,
    /// Where it was called.
    pub addr: Name,
    /// What it tells of the task.
    pub evidence: Evidence,
    /// Another life is at the address; else it may be behind a cut.
    pub is_confirmed: bool,
}

/// How a task is started again, by the crashes under it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::cell) enum RestartPolicy {
    /// It runs where there is room.
    Normal,
    /// It runs at a worker that has stayed up, alone where there is room for that.
    Quarantined,
    /// It waits until an unconfirmed crash is settled; for good if all are doubtful, as no job is given up on doubt.
    Paused,
    /// Its job ends.
    Exhausted,
}

pub(in crate::cell) fn restart_policy(crashes: &[Crash]) -> RestartPolicy {
    let confirmed = || crashes.iter().filter(|crash| crash.is_confirmed);
    let seen = confirmed().filter(|crash| crash.evidence != Evidence::Doubtful).count();
    let last = confirmed().next_back().map(|crash| crash.evidence);
    match confirmed().count() {
        // Nothing more can be learned by another start.
        RESTART_CRASH_LIMIT.. if seen > 0 => RestartPolicy::Exhausted,
        CRASH_LIMIT.. if seen >= MIN_CERTAIN_CRASHES => RestartPolicy::Exhausted,
        ALONE_CRASH_LIMIT.. if last == Some(Evidence::Alone) && seen >= MIN_CERTAIN_CRASHES => {
            RestartPolicy::Exhausted
        }
        known if known < crashes.len() && crashes.len() >= CRASH_LIMIT => RestartPolicy::Paused,
        RESTART_CRASH_LIMIT.. => RestartPolicy::Paused,
        _ if crashes.len() >= QUARANTINE_CRASHES => RestartPolicy::Quarantined,
        _ => RestartPolicy::Normal,
    }
}

/// Whether a task with these crashes waits until one is settled.
pub(in crate::cell) fn is_paused(crashes: &[Crash]) -> bool {
    restart_policy(crashes) == RestartPolicy::Paused
}

/// Whether a task with these crashes goes only to workers that have stayed up.
pub(in crate::cell) fn needs_stable_worker(crashes: &[Crash]) -> bool {
    restart_policy(crashes) != RestartPolicy::Normal
}
