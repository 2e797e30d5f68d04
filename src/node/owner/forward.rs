//! Forwards jobs from their home cell to another cell.

use crate::cell::owner::balance::{self, Candidate, ServiceLoad};
use crate::clock::Millis;
use crate::id::Name;
use crate::node::cells::Cells;
use crate::node::lock;
use crate::node::msg::{EntryMessage, RefusalReason};
use crate::node::owner::Owner;
use crate::workload::{JobDefinition, JobKey};
use std::sync::Arc;

/// How long to try to reach the home cell of a forgotten job so that it drops its record too.
/// Without an answer the record, some 30 bytes, stays there.
const FORGET_TIMEOUT: Millis = Millis(3_000);

impl Owner {
    /// The load of the cell by service.
    pub fn loads(&self) -> Vec<ServiceLoad> {
        lock(&self.loads).clone()
    }

    /// The cell that a job was forwarded to.
    pub(super) fn forwarded_to(&self, job: JobKey) -> Option<u32> {
        lock(&self.cell).forwarded_to(job)
    }

    /// Forwards a job that is not known here to another cell, if that cell should run it.
    ///
    /// # Errors
    /// [`RefusalReason::NoWorker`]: this cell has no worker of the job's service, and no other cell
    /// is known to have one.
    pub(super) fn forward_job(
        &self,
        job: JobKey,
        queue: &str,
        work: &JobDefinition,
        workspace: Option<&Name>,
    ) -> Result<(), RefusalReason> {
        if self.view.cell_count == 1 || !self.is_serving() || lock(&self.cell).knows_job(job) {
            return Ok(());
        }
        let Some(cells) = self.node.cells() else { return Ok(()) };
        let queue = self.node.policy().queues.get(queue).cloned();
        let Some(service) = queue.map(|queue| queue.service.clone()) else { return Ok(()) };
        // The limits of a workspace are enforced in its home cell, so its jobs stay here as long as
        // any of them can run here.
        if self.has_limits(workspace) && lock(&self.cell).service_cpu(&service) > 0 {
            return Ok(());
        }
        let near_data = self.cell_near_data(&cells, work);
        let target = match near_data.or_else(|| self.less_loaded_cell(&cells, &service, job)) {
            Some(target) if target != self.view.cell => target,
            None if lock(&self.cell).service_cpu(&service) == 0 => {
                log::info!("event=job-refused job={job} why=no-worker service={service}");
                return Err(RefusalReason::NoWorker);
            }
            _ => return Ok(()),
        };
        lock(&self.cell).forward_job(job, target);
        self.add_forwarded_load(&cells, target, &service, work);
        Ok(())
    }

    /// Whether the policy limits what a workspace may run.
    fn has_limits(&self, workspace: Option<&Name>) -> bool {
        let policy = self.node.policy();
        let workspace = workspace.and_then(|name| policy.workspaces.get(name));
        workspace.is_some_and(|workspace| workspace.is_bounded())
    }

    /// The cell with the rack that is preferred by a job's largest step with such a preference, if
    /// that cell accepts jobs.
    fn cell_near_data(&self, cells: &Cells, work: &JobDefinition) -> Option<u32> {
        let steps = work.steps.iter().filter(|step| !step.data_rack.is_empty());
        let rack = &steps.max_by_key(|step| step.count)?.data_rack;
        let target = cells.map.cell_of_rack(rack)?;
        cells.get(target).filter(|view| view.accepts_jobs())?;
        Some(target)
    }

    /// A cell with far less load than this one, or one that has workers of the service if this one
    /// has none.
    fn less_loaded_cell(&self, cells: &Cells, service: &Name, job: JobKey) -> Option<u32> {
        let share =
            lock(&self.loads).iter().find(|load| load.service == *service).map(|l| l.utilization);
        let own_share = match share {
            Some(share) => share,
            // The load is not known yet: none of the workers has reported.
            None if lock(&self.cell).service_cpu(service) > 0 => return None,
            None => u32::MAX,
        };
        let others = cells.views.iter().filter(|view| view.cell != self.view.cell);
        let others: Vec<Candidate> = others.filter_map(|view| view.choice(service)).collect();
        balance::choose_cell(own_share, &others, job)
    }

    /// Adds the first steps of a forwarded job to the load of the target cell, until its owner
    /// sends a newer figure.
    fn add_forwarded_load(&self, cells: &Cells, target: u32, service: &Name, work: &JobDefinition) {
        let cpu: u64 = work
            .steps
            .iter()
            .filter(|step| step.dependencies.is_empty())
            .map(|step| step.charged_resources().cpu * u64::from(step.count))
            .sum();
        let capacity = lock(&self.cell).service_cpu(service).max(1);
        if let Some(view) = cells.get(target) {
            view.add_load(service, (cpu * 1_000 / capacity) as u32);
        }
    }

    /// Tells the home cell of a job that this cell has forgotten the job.
    pub(super) fn forget_at_home_cell(self: &Arc<Self>, job: JobKey, workspace: Option<&Name>) {
        let Some(cells) = self.node.cells() else { return };
        let Some(home) = cells.of_job(job, workspace).filter(|home| home.cell != self.view.cell)
        else {
            return;
        };
        let home = home.clone();
        tokio::spawn(async move {
            let deadline = home.now() + FORGET_TIMEOUT;
            if let Err(err) = home.request(EntryMessage::Forget { job }, deadline).await {
                log::info!("event=forget-failed job={job} home={} error={err:?}", home.cell);
            }
        });
    }
}
