//! How long the caller of a refused job is told to wait before it retries.
//!
//! While the store or the owner is down, every job is refused for some seconds, and a caller
//! retries only a few times. If all callers were given the same short wait, those that came early
//! would use up their retries before the outage ends, although their jobs could have waited
//! longer, and all of them would retry at the same moment.

use crate::workload::{JobDefinition, JobKey, Queue};

const MILLIS_PER_SECOND: u64 = 1_000;
/// The time that a caller keeps retrying, as a multiple of its first wait.
const RETRY_SPAN: u64 = 3;
/// The shortest wait in seconds. A takeover takes about two seconds, and the `Retry-After` header
/// holds whole seconds.
pub const MIN_RETRY_SECONDS: u64 = 1;
/// The longest wait in seconds. Retries that span 9 s outlast the outages that the platform's
/// contract allows; with longer waits, a caller would wait needlessly after a short outage.
const MAX_RETRY_SECONDS: u64 = 3;
/// The wait in seconds of a job for which there is no memory. Memory becomes free when large jobs
/// end, which takes longer than an outage.
pub const MEMORY_RETRY_SECONDS: u64 = 30;

/// The number of seconds after which the caller of a refused job should retry, such that its
/// retries cover the time in which the job can still meet its objective. Jobs with slack get one
/// of two waits, so that their callers neither retry all at once nor before those without slack.
pub fn retry_after(queue: &Queue, work: &JobDefinition, job: JobKey) -> u64 {
    let chain = work.critical_path();
    let slack = queue.objective(work) - chain;
    let after =
        (slack.0 / RETRY_SPAN / MILLIS_PER_SECOND).clamp(MIN_RETRY_SECONDS, MAX_RETRY_SECONDS);
    match after {
        MIN_RETRY_SECONDS => MIN_RETRY_SECONDS,
        after => after - job.0 % 2,
    }
}
