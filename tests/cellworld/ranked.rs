//! Queues with ranked objectives: jobs that cannot be on time any more go after those that can.

use super::*;
use sprucerudder::workload::AdviceConfig;

/// The queues of the jobs in turn, with their stretches. More urgent ones come first.
const QUEUES: [(&str, u64); 3] = [("high", 1_500), ("mid", 2_200), ("low", 4_000)];
/// The service answers soon, so that steps wait mostly for room.
const ADVICE: AdviceConfig =
    AdviceConfig { base_latency: Millis(10), worker_micros: 1_000, ticket_validity: Millis(2_000) };

impl Simulation {
    /// Replaces the queues by ones with ranked objectives, on workers with less capacity.
    pub(super) fn rank_objectives(&mut self) {
        self.has_ranked_objectives = true;
        for worker in self.workers.values_mut() {
            worker.listed.capacity = room(1_200);
        }
        self.publish_list();
        let queues = self.queues();
        self.owners[0].cell.set_queues(queues);
        self.connect_entries(0);
        self.advance_owner(0);
    }

    pub(super) fn ranked_queues(&self) -> HashMap<Name, Arc<Queue>> {
        let queue = |(priority, (name, stretch)): (usize, &(&str, u64))| {
            let queue = Queue {
                name: (*name).into(),
                priority: priority as u32,
                stretch: *stretch,
                advice: Some(ADVICE),
                ..(*self.base_queue).clone()
            };
            (queue.name.clone(), Arc::new(queue))
        };
        QUEUES.iter().enumerate().map(queue).collect()
    }

    pub(super) fn ranked_queue_of(&self, job: JobKey) -> &'static str {
        QUEUES[(job.0 % QUEUES.len() as u64) as usize].0
    }

    /// The number of jobs that were late when they started.
    pub(super) fn count_late_starts(&self) -> usize {
        let starts = self.owners.iter().map(|owner| owner.cell.stats().first_starts);
        starts.map(|starts| (starts.late + starts.aged) as usize).sum()
    }
}
