//! The filter that queues a request until a runner has a free slot.

use crate::controller::slots::SlotRequest;
use crate::entry::{Entry, Slot};
use crate::filter::{ClassifiedRequest, not_run};
use crate::wire::msg::{Reason, RequestError};
use std::sync::Arc;

/// Waits for a slot of a runner.
///
/// # Errors
/// At once if the queue is full or no slot is expected before the deadline; the error says when to
/// retry.
pub async fn apply(
    entry: &Arc<Entry>,
    classified: &ClassifiedRequest,
) -> Result<Slot, RequestError> {
    let now = entry.now();
    let request = SlotRequest {
        id: entry.next_number(),
        kind: classified.row.kind.clone(),
        weight: classified.row.weight,
        limit: classified.row.limit,
        queue: classified.row.queue,
        came: now,
        due: classified.deadline,
    };
    let result = entry.acquire_slot(request).await;
    let slot = result.map_err(|(after, full)| {
        let reason = if full { Reason::QueueFull } else { Reason::TooLate };
        not_run(reason, Some(after))
    })?;
    entry.metrics.request_wait.observe(entry.now().since(now).0 as f64 / 1000.0);
    Ok(slot)
}
