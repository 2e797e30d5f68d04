//! Jobs that run in another cell than their home.

use crate::cell::owner::balance::{self, Choice, Load};
use crate::clock::Millis;
use crate::id::Name;
use crate::node::cells::Cells;
use crate::node::lock;
use crate::node::msg::{EntryMessage, RefusalReason};
use crate::node::owner::Owner;
use crate::workload::{JobDefinition, JobKey};
use std::sync::Arc;

/// How long the home of a forgotten job is asked to forget it too. Without an answer its record stays
/// there, some 30 bytes.
const FORGET_TIMEOUT: Millis = Millis(3_000);

impl Owner {
    /// What the cell has to do.
    pub fn loads(&self) -> Vec<Load> {
        lock(&self.loads).clone()
    }

    /// The other cell that a job was sent to.
    pub(super) fn forwarded_to(&self, job: JobKey) -> Option<u32> {
        lock(&self.cell).forwarded(job)
    }

    /// Sends a job that is not known here to another cell, if that should run it. An error: no worker of
    /// its service is here, and no other cell is known to have one.
    pub(super) fn forward_job(
        &self,
        job: JobKey,
        queue: &str,
        work: &JobDefinition,
        workspace: Option<&Name>,
    ) -> Result<(), RefusalReason> {
        if self.view.cell_count == 1 || !self.is_serving() || lock(&self.cell).knows(job) {
            return Ok(());
        }
        let Some(cells) = self.node.cells() else { return Ok(()) };
        let queue = self.node.policy().queues.get(queue).cloned();
        let Some(service) = queue.map(|queue| queue.service.clone()) else { return Ok(()) };
        // All that counts for a bound is counted here, as long as anything can run here.
        if self.has_limits(workspace) && lock(&self.cell).processors(&service) > 0 {
            return Ok(());
        }
        let near_data = self.cell_near_data(&cells, work);
        let target = match near_data.or_else(|| self.less_loaded_cell(&cells, &service, job)) {
            Some(target) if target != self.view.cell => target,
            None if lock(&self.cell).processors(&service) == 0 => {
                log::info!("event=refused job={job} why=no-worker service={service}");
                return Err(RefusalReason::NoWorker);
            }
            _ => return Ok(()),
        };
        lock(&self.cell).forward(job, target);
        self.add_forwarded_load(&cells, target, &service, work);
        Ok(())
    }

    fn has_limits(&self, workspace: Option<&Name>) -> bool {
        let policy = self.node.policy();
        let workspace = workspace.and_then(|name| policy.workspaces.get(name));
        workspace.is_some_and(|workspace| workspace.is_bounded())
    }

    /// The cell with the rack that most of a job's tasks want to be on.
    fn cell_near_data(&self, cells: &Cells, work: &JobDefinition) -> Option<u32> {
        let steps = work.steps.iter().filter(|step| !step.data_rack.is_empty());
        let rack = &steps.max_by_key(|step| step.count)?.data_rack;
        let target = cells.map.of_rack(rack)?;
        cells.get(target).filter(|view| view.accepts_jobs())?;
        Some(target)
    }

    /// A cell that has far less to do than this one, or has workers of the service where this one has
    /// none left.
    fn less_loaded_cell(&self, cells: &Cells, service: &Name, job: JobKey) -> Option<u32> {
        let share = lock(&self.loads).iter().find(|load| load.service == *service).map(|l| l.share);
        let own_share = match share {
            Some(share) => share,
            // Its workers were not heard yet.
            None if lock(&self.cell).processors(service) > 0 => return None,
            None => u32::MAX,
        };
        let others = cells.views.iter().filter(|view| view.cell != self.view.cell);
        let others: Vec<Choice> = others.filter_map(|view| view.choice(service)).collect();
        balance::choose(own_share, &others, job)
    }

    fn add_forwarded_load(&self, cells: &Cells, target: u32, service: &Name, work: &JobDefinition) {
        let cpu: u64 = work
            .steps
            .iter()
            .filter(|step| step.dependencies.is_empty())
            .map(|step| step.charged_resources().cpu * u64::from(step.count))
            .sum();
        let capacity = lock(&self.cell).processors(service).max(1);
        if let Some(view) = cells.get(target) {
            view.add_load(service, (cpu * 1_000 / capacity) as u32);
        }
    }

    /// Tells the home of a job that this cell has forgotten it.
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
                log::info!("event=not-forgotten job={job} home={} error={err:?}", home.cell);
            }
        });
    }
}
