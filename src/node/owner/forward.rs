//! Jobs that run in another cell than their home.

use crate::cell::owner::balance::{self, Candidate, ServiceLoad};
use crate::clock::Millis;
use crate::id::Name;
use crate::node::cells::Cells;
use crate::node::lock;
use crate::node::msg::{Ask, Refused};
use crate::node::owner::Owner;
use crate::workload::{JobKey, Work};
use std::sync::Arc;

/// How long the home of a forgotten job is asked to forget it too. Without an answer its record stays
/// there, some 30 bytes.
const FORGET: Millis = Millis(3_000);

impl Owner {
    /// What the cell has to do.
    pub fn loads(&self) -> Vec<ServiceLoad> {
        lock(&self.loads).clone()
    }

    /// The other cell that a job was sent to.
    pub(super) fn forwarded(&self, job: JobKey) -> Option<u32> {
        lock(&self.cell).forwarded_to(job)
    }

    /// Sends a job that is not known here to another cell, if that should run it. An error: no worker of
    /// its service is here, and no other cell is known to have one.
    pub(super) fn send_elsewhere(
        &self,
        job: JobKey,
        queue: &str,
        work: &Work,
        workspace: Option<&Name>,
    ) -> Result<(), Refused> {
        if self.view.cells == 1 || !self.is_sure() || lock(&self.cell).knows_job(job) {
            return Ok(());
        }
        let Some(cells) = self.node.cells() else { return Ok(()) };
        let queue = self.node.policy().queues.get(queue).cloned();
        let Some(service) = queue.map(|queue| queue.service.clone()) else { return Ok(()) };
        // All that counts for a bound is counted here, as long as anything can run here.
        if self.is_bounded(workspace) && lock(&self.cell).service_cpu(&service) > 0 {
            return Ok(());
        }
        let near = self.near_data(&cells, work);
        let to = match near.or_else(|| self.emptier(&cells, &service, job)) {
            Some(to) if to != self.view.cell => to,
            None if lock(&self.cell).service_cpu(&service) == 0 => {
                log::info!("event=refused job={job} why=no-worker service={service}");
                return Err(Refused::NoWorker);
            }
            _ => return Ok(()),
        };
        lock(&self.cell).forward_job(job, to);
        self.count_load(&cells, to, &service, work);
        Ok(())
    }

    fn is_bounded(&self, workspace: Option<&Name>) -> bool {
        let policy = self.node.policy();
        let known = workspace.and_then(|name| policy.workspaces.get(name));
        known.is_some_and(|workspace| workspace.is_bounded())
    }

    /// The cell with the rack that most of a job's tasks want to be on.
    fn near_data(&self, cells: &Cells, work: &Work) -> Option<u32> {
        let wanting = work.steps.iter().filter(|step| !step.near.is_empty());
        let rack = &wanting.max_by_key(|step| step.count)?.near;
        let to = cells.map.cell_of_rack(rack)?;
        cells.get(to).filter(|view| view.accepts())?;
        Some(to)
    }

    /// A cell that has far less to do than this one, or has workers of the service where this one has
    /// none left.
    fn emptier(&self, cells: &Cells, service: &Name, job: JobKey) -> Option<u32> {
        let share =
            lock(&self.loads).iter().find(|load| load.service == *service).map(|l| l.utilization);
        let mine = match share {
            Some(share) => share,
            // Its workers were not heard yet.
            None if lock(&self.cell).service_cpu(service) > 0 => return None,
            None => u32::MAX,
        };
        let others = cells.views.iter().filter(|view| view.cell != self.view.cell);
        let others: Vec<Candidate> = others.filter_map(|view| view.choice(service)).collect();
        balance::choose_cell(mine, &others, job)
    }

    fn count_load(&self, cells: &Cells, to: u32, service: &Name, work: &Work) {
        let cpu: u64 = work
            .steps
            .iter()
            .filter(|step| step.after.is_empty())
            .map(|step| step.charge().cpu * u64::from(step.count))
            .sum();
        let all = lock(&self.cell).service_cpu(service).max(1);
        if let Some(view) = cells.get(to) {
            view.add_load(service, (cpu * 1_000 / all) as u32);
        }
    }

    /// Tells the home of a job that this cell has forgotten it.
    pub(super) fn forget_at_home(self: &Arc<Self>, job: JobKey, workspace: Option<&Name>) {
        let Some(cells) = self.node.cells() else { return };
        let Some(home) = cells.of_job(job, workspace).filter(|home| home.cell != self.view.cell)
        else {
            return;
        };
        let home = home.clone();
        tokio::spawn(async move {
            let until = home.now() + FORGET;
            if let Err(err) = home.ask(Ask::Forget { job }, until).await {
                log::info!("event=not-forgotten job={job} home={} error={err:?}", home.cell);
            }
        });
    }
}
