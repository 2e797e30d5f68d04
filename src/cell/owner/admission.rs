//! When a refused caller should come back.
//!
//! The load that this answers: an outage of the store or of the owner, in which every job is refused
//! for some seconds. A caller comes back a few times only. If all are told the same short time, the
//! tries of those that came early are over before the outage is, also of jobs that had the time to
//! wait; and all come at once when it ends.

use crate::workload::{JobDefinition, JobKey, Queue};

const SECOND: u64 = 1_000;
/// Callers' tries spread over about this many times the first wait.
const SPAN: u64 = 3;
/// The least wait in seconds: a takeover takes about two, and a header has whole seconds.
pub const LEAST: u64 = 1;
/// The most: tries up to 9 s apart outlast the outages of the platform's contract; beyond that a
/// short outage makes a caller wait in vain.
const MOST: u64 = 3;

/// After how many seconds the caller of a refused job should come back: its tries cover the time in
/// which the job can still be on time. Jobs with time to spare are told one of two times, so that
/// they do not come back together, nor before those without.
pub fn retry_after(queue: &Queue, work: &JobDefinition, job: JobKey) -> u64 {
    let chain = work.critical_path();
    let slack = queue.objective(work) - chain;
    let after = (slack.0 / SPAN / SECOND).clamp(LEAST, MOST);
    match after {
        LEAST => LEAST,
        after => after - job.0 % 2,
    }
}
