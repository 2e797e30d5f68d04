//! Whether the objectives of the queues can be compared, on which the order by lateness and the account of stops depend.

use crate::cell::Cell;
use crate::cell::mechanism::Mechanism;
use crate::id::Name;
use crate::workload::Queue;
use std::collections::HashMap;
use std::sync::Arc;

/// The least number of queues with ranked objectives.
const MIN_RANKED_QUEUES: usize = 3;

impl Cell {
    /// Checks whether the policy has ranked objectives, and logs a change.
    pub(in crate::cell) fn update_ranked_objectives(&mut self) {
        let ranked = has_ranked_objectives(&self.queues);
        if std::mem::replace(&mut self.ranked_objectives, ranked) != ranked {
            log::info!("event=ranked-objectives epoch={} in_use={ranked}", self.epoch);
        }
    }

    /// Whether a mechanism that depends on ranked objectives is in use.
    pub fn uses_ranked(&self, mechanism: Mechanism) -> bool {
        self.ranked_objectives && !self.config.disabled.contains(mechanism)
    }
}

/// Whether the lateness of waiting jobs can be compared: the queues that use the advice service all
/// differ in priority, and the less urgent of two has the larger stretch. Then all jobs of one
/// priority have the same stretch and target.
fn has_ranked_objectives(queues: &HashMap<Name, Arc<Queue>>) -> bool {
    let advised = queues.values().filter(|queue| queue.advice.is_some());
    let mut ranked: Vec<(u32, u64)> =
        advised.map(|queue| (queue.priority, queue.stretch)).collect();
    ranked.sort_unstable();
    let rises = |pair: &[(u32, u64)]| pair[0].0 < pair[1].0 && pair[0].1 < pair[1].1;
    ranked.len() >= MIN_RANKED_QUEUES && ranked.windows(2).all(rises)
}
