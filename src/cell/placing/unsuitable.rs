//! Tasks that no worker can run, even if nothing else ran on it.
//!
//! Steps with the same request have the same answer, which does not change during a scheduling pass. A
//! job may have thousands of such steps.

use crate::cell::Cell;
use crate::cell::jobs::job::Job;
use crate::cell::placing::candidate::is_suitable;
use crate::id::Name;
use crate::visits;
use crate::workload::{JobKey, Resources, Step};
use std::collections::HashSet;

/// The service, the label and the resources that a task requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Request {
    service: Name,
    label: Name,
    charge: Resources,
}

impl Request {
    fn new(job: &Job, spec: &Step) -> Self {
        let (service, label) = (job.queue.service.clone(), spec.required_label.clone());
        Self { service, label, charge: spec.charged_resources() }
    }
}

/// The requests that were found to suit no worker in the present scheduling pass.
#[derive(Debug, Default)]
pub(in crate::cell) struct UnsuitableRequests(HashSet<Request>);

impl Cell {
    /// Whether any worker would be large enough for a task of a step if nothing else ran on it.
    pub(in crate::cell) fn has_suitable_worker(&self, job: &Job, spec: &Step) -> bool {
        if self.unsuitable.0.contains(&Request::new(job, spec)) {
            return false;
        }
        self.workers.values().any(|worker| {
            visits::add(1);
            is_suitable(worker, &job.queue.service, spec)
        })
    }

    /// Notes for the rest of the pass that no worker can run the tasks of a step.
    pub(in crate::cell) fn note_unsuitable(&mut self, key: JobKey, spec: &Step) {
        if let Some(job) = self.jobs.get(&key) {
            self.unsuitable.0.insert(Request::new(job, spec));
        }
    }
}
