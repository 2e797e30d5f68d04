//! Jobs that run in another cell than their home.

use crate::cell::owner::balance::{self, Choice, Load, Of, share_for};
use crate::clock::Millis;
use crate::id::Name;
use crate::node::cells::Cells;
use crate::node::lock;
use crate::node::msg::{Ask, Refused};
use crate::node::owner::Owner;
use crate::workload::{JobKey, Room, Work};
use std::sync::Arc;

/// How long the home of a forgotten job is asked to forget it too. Without an answer its record stays
/// there, some 30 bytes.
const FORGET: Millis = Millis(3_000);

impl Owner {
    /// What the cell has to do.
    pub fn loads(&self) -> Vec<Load> {
        lock(&self.loads).clone()
    }

    /// The other cell that a job was sent to.
    pub(super) fn forwarded(&self, job: JobKey) -> Option<u32> {
        lock(&self.cell).forwarded(job)
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
        if self.view.cells == 1 || !self.is_sure() || lock(&self.cell).knows(job) {
            return Ok(());
        }
        let Some(cells) = self.node.cells() else { return Ok(()) };
        let queue = self.node.policy().queues.get(queue).cloned();
        let Some(service) = queue.map(|queue| queue.service.clone()) else { return Ok(()) };
        let near = self.near_data(&cells, work);
        let of_workspace = workspace.map(|name| Of::Workspace(name.clone()));
        let emptier = || self.emptier(&cells, &service, of_workspace.as_ref(), job);
        let to = match near.or_else(emptier) {
            Some(to) if to != self.view.cell => to,
            None if lock(&self.cell).processors(&service) == 0 => {
                log::info!("event=refused job={job} why=no-worker service={service}");
                return Err(Refused::NoWorker);
            }
            _ => return Ok(()),
        };
        lock(&self.cell).forward(job, to);
        self.count_load(&cells, to, &service, workspace, work);
        Ok(())
    }

    /// The cell with the rack that most of a job's tasks want to be on.
    fn near_data(&self, cells: &Cells, work: &Work) -> Option<u32> {
        let wanting = work.steps.iter().filter(|step| !step.near.is_empty());
        let rack = &wanting.max_by_key(|step| step.count)?.near;
        let to = cells.map.of_rack(rack)?;
        cells.get(to).filter(|view| view.accepts())?;
        Some(to)
    }

    /// A cell that has far less to do than this one, or has workers of the service where this one has
    /// none left.
    fn emptier(
        &self,
        cells: &Cells,
        service: &Name,
        workspace: Option<&Of>,
        job: JobKey,
    ) -> Option<u32> {
        let of = Of::Service(service.clone());
        let share = share_for(&lock(&self.loads), &of, workspace);
        let mine = match share {
            Some(share) => share,
            // Its workers were not heard yet.
            None if lock(&self.cell).processors(service) > 0 => return None,
            None => u32::MAX,
        };
        let others = cells.views.iter().filter(|view| view.cell != self.view.cell);
        let others: Vec<Choice> = others.filter_map(|view| view.choice(&of, workspace)).collect();
        balance::choose(mine, &others, job)
    }

    fn count_load(
        &self,
        cells: &Cells,
        to: u32,
        service: &Name,
        workspace: Option<&Name>,
        work: &Work,
    ) {
        let first = || work.steps.iter().filter(|step| step.after.is_empty());
        let cpu: u64 = first().map(|step| step.charge().cpu * u64::from(step.count)).sum();
        let rooms = first().map(|step| step.room.times(u64::from(step.count)));
        let room = rooms.fold(Room::default(), |sum, room| sum.plus(&room));
        let all = lock(&self.cell).processors(service).max(1);
        let Some(view) = cells.get(to) else { return };
        view.add_load(&Of::Service(service.clone()), (cpu * 1_000 / all) as u32);
        let policy = self.node.policy();
        let workspaces = policy.workspaces.as_ref();
        if let Some(known) = workspace.and_then(|name| workspaces?.get(name)) {
            let part = known.limit.part(u64::from(self.view.cells));
            view.add_load(&Of::Workspace(known.name.clone()), room.share_of(&part));
        }
    }

    /// Tells the home of a job that this cell has forgotten it.
    pub(super) fn forget_at_home(self: &Arc<Self>, job: JobKey) {
        let Some(cells) = self.node.cells() else { return };
        let Some(home) = cells.of_job(job).filter(|home| home.cell != self.view.cell) else {
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
