//! Jobs that another cell runs, and what cells tell each other to decide that.

use crate::cell::Cell;
use crate::cell::owner::balance::Load;
use crate::id::Name;
use crate::workload::JobKey;
use std::collections::BTreeMap;

impl Cell {
    /// Has another cell run a job that is not known here, from when [`Self::batch_of`] it is in the
    /// store.
    pub fn forward(&mut self, key: JobKey, cell: u32) {
        log::info!("event=forwarded job={key} to={cell} batch={}", self.open_batch);
        self.forwarded.insert(key, (cell, self.open_batch));
        self.unstored_jobs.push_back((self.open_batch, key));
        self.dirty_jobs.insert(key);
    }

    /// The cell that a job was sent to, once that is in the store.
    pub fn forwarded(&self, key: JobKey) -> Option<u32> {
        let (cell, batch) = self.forwarded.get(&key)?;
        (*batch <= self.stored_batch).then_some(*cell)
    }

    /// Whether a job is known here, to run here or in another cell.
    pub fn knows(&self, key: JobKey) -> bool {
        self.jobs.contains_key(&key) || self.forwarded.contains_key(&key)
    }

    /// The other cell has forgotten a job that was sent there.
    pub fn forget_forwarded(&mut self, key: JobKey) {
        if self.forwarded.remove(&key).is_some() {
            self.dirty_jobs.insert(key);
        }
    }

    /// The processors of the workers of a service, in thousandths of one.
    pub fn processors(&self, service: &str) -> u64 {
        let of_service = self.workers.values().filter(|worker| *worker.listed.service == *service);
        of_service.map(|worker| worker.listed.capacity.cpu).sum()
    }

    /// What the workers of each service have to do: processors that are taken, and those that tasks
    /// wait for.
    pub fn loads(&self) -> Vec<Load> {
        let mut services: BTreeMap<&Name, (u64, u64)> = BTreeMap::new();
        for worker in self.workers.values().filter(|worker| worker.is_open(self.stored_batch)) {
            let (taken, all) = services.entry(&worker.listed.service).or_default();
            *taken += worker.used.cpu.min(worker.listed.capacity.cpu);
            *all += worker.listed.capacity.cpu;
        }
        for (_, _, key) in &self.ready_steps {
            let Some(job) = self.jobs.get(&key.job) else { continue };
            let (Some(spec), Some(step)) = (job.spec(key.step), job.step(*key)) else { continue };
            if let Some((taken, _)) = services.get_mut(&job.queue.service) {
                *taken += spec.charged_resources().cpu * step.waiting.len() as u64;
            }
        }
        let load = |(service, (taken, all)): (&Name, (u64, u64))| Load {
            service: service.clone(),
            share: (taken * 1_000 / all.max(1)).min(u64::from(u32::MAX)) as u32,
        };
        services.into_iter().map(load).collect()
    }
}
