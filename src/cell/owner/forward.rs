//! Jobs that were forwarded to another cell, and the load figures on which forwarding is decided.

use crate::cell::Cell;
use crate::cell::owner::balance::ServiceLoad;
use crate::id::Name;
use crate::workload::JobKey;
use std::collections::BTreeMap;

impl Cell {
    /// Forwards a job that is not known here to another cell. The job may be sent there once the
    /// batch [`Self::job_batch`] is stored.
    pub fn forward_job(&mut self, key: JobKey, cell: u32) {
        log::info!("event=forwarded job={key} to={cell} batch={}", self.open_batch);
        self.forwarded.insert(key, (cell, self.open_batch));
        self.unstored_jobs.push_back((self.open_batch, key));
        self.dirty_jobs.insert(key);
    }

    /// The cell to which a job was forwarded, once that is stored.
    pub fn forwarded_to(&self, key: JobKey) -> Option<u32> {
        let (cell, batch) = self.forwarded.get(&key)?;
        (*batch <= self.stored_batch).then_some(*cell)
    }

    /// Whether a job is known here, either because it runs here or because it was forwarded.
    pub fn knows_job(&self, key: JobKey) -> bool {
        self.jobs.contains_key(&key) || self.forwarded.contains_key(&key)
    }

    /// Removes a forwarded job after the other cell has removed it.
    pub fn forget_forwarded(&mut self, key: JobKey) {
        if self.forwarded.remove(&key).is_some() {
            self.dirty_jobs.insert(key);
        }
    }

    /// The total CPU of the workers of a service, in millicores.
    pub fn service_cpu(&self, service: &str) -> u64 {
        let of_service = self.workers.values().filter(|worker| *worker.listed.service == *service);
        of_service.map(|worker| worker.listed.capacity.cpu).fold(0, u64::saturating_add)
    }

    /// The load on the workers of each service: the CPU in use, plus the CPU that waiting tasks
    /// request.
    pub fn service_loads(&self) -> Vec<ServiceLoad> {
        let mut services: BTreeMap<&Name, (u64, u64)> = BTreeMap::new();
        for worker in self.workers.values().filter(|worker| worker.accepts_tasks(self.stored_batch))
        {
            let (used, total) = services.entry(&worker.listed.service).or_default();
            *used += worker.used.cpu.min(worker.listed.capacity.cpu);
            *total += worker.listed.capacity.cpu;
        }
        for key in self.ready_steps.iter() {
            let Some(job) = self.jobs.get(&key.job) else { continue };
            let (Some(spec), Some(step)) = (job.spec(key.step), job.step(key)) else { continue };
            if let Some((used, _)) = services.get_mut(&job.queue.service) {
                let wanted = spec.charged_resources().cpu.saturating_mul(step.waiting.len() as u64);
                *used = used.saturating_add(wanted);
            }
        }
        let load = |(service, (used, total)): (&Name, (u64, u64))| ServiceLoad {
            service: service.clone(),
            utilization: (used * 1_000 / total.max(1)).min(u64::from(u32::MAX)) as u32,
        };
        services.into_iter().map(load).collect()
    }
}
